"""The scheduler that entry instances use.

A round serves the priority classes in order, with a share of the placed processors reserved for the
lower classes, and within a class the teams by weighted dominant share. A placement requirement
(resources and eligible workers) that no worker can satisfy is not tried again until resources are
released. The oldest gang that does not fit holds a reservation: workers on which its tasks will fit
once running work ends. Other work may use those workers only if it is declared to end before the
reservation's start.
"""

from __future__ import annotations

import dataclasses
import heapq
import itertools
import math
import random
from collections.abc import Iterable, Sequence
from typing import NamedTuple

import msgspec
import numpy as np

from .declarations import Quota
from .identifiers import JobId, PriorityClass, TaskId, TeamName, WorkerId, WorkloadKind
from .index import Amounts, Mask, WorkerIndex
from .labels import LabelSelector
from .policies import POLICIES
from .quotas import TeamShareTracker
from .resources import ZERO_RESOURCES, Resources
from .scheduler import Decision, PendingTask, SchedulableWorker, Scheduler, WaitReason
from .task_queue import JobQueueKey, PendingJob, TaskQueue
from .worker_ejection import WorkerEjection

CLASS_ORDER = (PriorityClass.URGENT, PriorityClass.NORMAL, PriorityClass.BATCH)
# Smaller steps are fairer between teams; larger steps spread the cost of scanning all workers over
# more tasks of the job.
MAX_TASKS_PER_STEP = 64
# A gang reserves workers only after it has waited this long.
RESERVE_AFTER_SECONDS = 1.0


class _PlacementRequirement(NamedTuple):
    """What decides whether a task fits on some worker."""

    resources: Resources
    eligible: tuple[LabelSelector, ...]
    may_use_reserved: bool


@dataclasses.dataclass(slots=True)
class _GangReservation:
    job_id: JobId
    workers: Mask
    starts_at: float


@dataclasses.dataclass(slots=True)
class _Round:
    """The state of one call of `decide`.

    Parameters
    ----------
    remaining : int
        Tasks that may still be placed.
    start_limits : dict of WorkerId to int
        Starts that workers in slow start may still get; 0 for ejected workers.
    """

    now: float
    remaining: int
    decisions: list[Decision] = dataclasses.field(default_factory=list)
    start_limits: dict[WorkerId, int] = dataclasses.field(default_factory=dict)


class FairScheduler(Scheduler):
    """Priority classes, dominant-share fairness, quotas, gang reservation and ejection.

    Parameters
    ----------
    generator : random.Random
        Source of randomness for policies that need it.
    max_ejected_share : float
        Largest share of the workers ejected at a time.
    lower_class_share : float
        Share of the placed processors reserved for lower classes while they have pending tasks.
    """

    def __init__(
        self,
        generator: random.Random,
        max_ejected_share: float = 0.3,
        lower_class_share: float = 0.125,
    ) -> None:
        self._generator = generator
        self._index = WorkerIndex()
        self._task_queue = TaskQueue()
        self._shares = TeamShareTracker()
        self._worker_ejection = WorkerEjection(max_ejected_share)
        self._lower_class_share = lower_class_share
        self._lower_class_credit = 0.0
        self._task_counts_by_job: dict[JobId, dict[WorkerId, int]] = {}
        self._work_ends_at: dict[WorkerId, float] = {}
        self._unplaceable: set[_PlacementRequirement] = set()
        self._released_workers: set[WorkerId] = set()
        self._start_limits: dict[WorkerId, int] = {}
        self._changed = True
        self._gang_reservation: _GangReservation | None = None
        self._gang_reservation_due = math.inf
        self._now = 0.0
        self._workers: tuple[SchedulableWorker, ...] = ()

    def update_workers(self, workers: Iterable[SchedulableWorker]) -> None:
        """Replace the workers; keep the resources of attempts, cancel the gang reservation."""
        listed = tuple(workers)
        if listed == self._workers:
            return
        self._workers = listed
        self._index.replace(listed)
        self._shares.set_total(self._index.total)
        self._set_gang_reservation(None)

    def update_quotas(self, quotas: Iterable[Quota]) -> None:
        """Replace the teams' quotas."""
        self._shares.replace_quotas(quotas)
        self._changed = True

    def add_pending(self, task: PendingTask) -> None:
        """Queue a task; replaces an earlier entry for the same task."""
        self._task_queue.add(task, self._now)
        self._changed = True

    def remove_pending(self, task_id: TaskId) -> None:
        """Remove a task from the queue if it is there."""
        task = self._task_queue.remove(task_id)
        if task is not None:
            self._cancel_gang_reservation(task.job_id)

    def _cancel_gang_reservation(self, job_id: JobId) -> None:
        if self._gang_reservation is not None and self._gang_reservation.job_id == job_id:
            self._set_gang_reservation(None)

    def _set_gang_reservation(self, reservation: _GangReservation | None) -> None:
        self._gang_reservation = reservation
        self._unplaceable.clear()
        self._changed = True

    def reserve(
        self, worker_id: WorkerId, resources: Resources, team: TeamName, job_id: JobId
    ) -> None:
        """Reserve the resources of an attempt."""
        self._index.reserve(worker_id, resources)
        self._shares.add(team, resources)
        task_counts = self._task_counts_by_job.setdefault(job_id, {})
        task_counts[worker_id] = task_counts.get(worker_id, 0) + 1

    def release(
        self, worker_id: WorkerId, resources: Resources, team: TeamName, job_id: JobId
    ) -> None:
        """Free the resources of an attempt that provably cannot run any more."""
        self._index.release(worker_id, resources)
        self._shares.subtract(team, resources)
        self._released_workers.add(worker_id)
        if self._index.get_reserved(worker_id) == ZERO_RESOURCES:
            self._work_ends_at.pop(worker_id, None)
        self._changed = True
        task_counts = self._task_counts_by_job.get(job_id)
        if task_counts is None:
            return
        task_counts[worker_id] = task_counts.get(worker_id, 0) - 1
        if task_counts[worker_id] <= 0:
            del task_counts[worker_id]
        if not task_counts:
            del self._task_counts_by_job[job_id]

    def report_start(self, worker_id: WorkerId, job_id: JobId, succeeded: bool, now: float) -> None:
        """Record whether a start succeeded, for the ejection of failing workers."""
        self._worker_ejection.record_outcome(worker_id, job_id, succeeded, now)

    def decide(self, now: float, limit: int) -> Sequence[Decision]:
        """Choose up to `limit` placements and reserve their resources."""
        self._now = now
        if self._task_queue.release_delayed(now):
            self._changed = True
        start_limits = self._worker_ejection.update_start_limits(now, len(self._index))
        if start_limits != self._start_limits:
            self._start_limits = dict(start_limits)
            self._unplaceable.clear()
            self._changed = True
        is_gang_reservation_due = now >= self._gang_reservation_due
        if not self._changed and not is_gang_reservation_due:
            return []
        self._changed = False
        self._gang_reservation_due = math.inf
        if not len(self._task_queue) or not len(self._index):
            return []
        self._drop_placeable_requirements()
        round_ = _Round(now=now, remaining=limit, start_limits=start_limits)
        if self._lower_class_credit > 0.0:
            self._serve_lower_classes(round_)
        for priority in CLASS_ORDER:
            self._serve_class(round_, priority)
        if round_.remaining <= 0:
            self._changed = True
        return round_.decisions

    def _drop_placeable_requirements(self) -> None:
        """Drop the requirements that fit on a worker whose resources were released."""
        positions = [self._index.get_position(worker_id) for worker_id in self._released_workers]
        self._released_workers.clear()
        free = self._index.free[:, [p for p in positions if p is not None]]
        self._unplaceable = {
            requirement
            for requirement in self._unplaceable
            if not _has_capacity(free, requirement.resources)
        }

    def _serve_lower_classes(self, round_: _Round) -> None:
        """Spend the credit of the lower classes before the urgent class is served."""
        if not self._task_queue.has_class(PriorityClass.URGENT):
            self._lower_class_credit = 0.0
            return
        for priority in CLASS_ORDER[1:]:
            self._serve_class(round_, priority, budget=self._lower_class_credit)

    def _serve_class(
        self, round_: _Round, priority: PriorityClass, budget: float = math.inf
    ) -> None:
        """Serve the teams of a class, lowest weighted dominant share first."""
        queues = self._task_queue.list_queues(priority)
        by_team: dict[TeamName, list[JobQueueKey]] = {}
        for key in queues:
            by_team.setdefault(key.team, []).append(key)
        heap = [(self._shares.get_weighted_share(team), n, team) for n, team in enumerate(by_team)]
        heapq.heapify(heap)
        while heap and round_.remaining > 0 and budget > 0.0:
            _, n, team = heapq.heappop(heap)
            next_share = heap[0][0] if heap else math.inf
            placed = self._serve_team(round_, by_team[team], next_share, budget)
            if placed is None:
                continue
            budget -= placed
            self._update_lower_class_credit(priority, placed)
            heapq.heappush(heap, (self._shares.get_weighted_share(team), n, team))

    def _update_lower_class_credit(self, priority: PriorityClass, processors: float) -> None:
        if priority is PriorityClass.URGENT:
            self._lower_class_credit += processors * self._lower_class_share
        else:
            self._lower_class_credit = max(0.0, self._lower_class_credit - processors)

    def _serve_team(
        self, round_: _Round, queues: list[JobQueueKey], next_share: float, budget: float
    ) -> float | None:
        """Place tasks of the first job that fits, going through the queues in order.

        Parameters
        ----------
        round_ : _Round
        queues : list of JobQueueKey
            Queues of the team; those from which nothing can be placed are removed.
        next_share : float
            Weighted share of the team that is served next. A step ends when this team exceeds it;
            otherwise one team's backlog would take all free resources in a single step.
        budget : float
            Millicores that the class may still use.

        Returns
        -------
        float or None
            Millicores placed, or None if nothing of this team can be placed in this round.
        """
        while queues:
            key = queues[0]
            if not self._task_queue.has_queue(key):
                queues.pop(0)
                continue
            step = self._shares.count_tasks_to_share(
                key.team, key.resources, next_share, MAX_TASKS_PER_STEP
            )
            step = min(step, round_.remaining)
            if budget < math.inf:
                step = min(step, max(1, math.ceil(budget / key.resources.processors)))
            placed = self._serve_queue(round_, key, step)
            if placed:
                return float(placed * key.resources.processors)
            queues.pop(0)
        return None

    def _serve_queue(self, round_: _Round, key: JobQueueKey, step: int) -> int:
        for job in self._task_queue.list_jobs(key):
            if not job.is_complete():
                continue
            gang_size = job.get_first_task().gang_size
            wanted = gang_size or min(len(job.tasks), step)
            allowed = self._shares.count_allowed(key.team, key.resources, wanted)
            if allowed < (gang_size or 1):
                return 0
            requirement = self._build_requirement(round_, key, job)
            if requirement in self._unplaceable and not gang_size:
                return 0
            placed = self._place_job(round_, key, job, allowed)
            if placed:
                return placed
            if gang_size:
                self._reserve_for_gang(round_, key, job)
                continue
            self._unplaceable.add(requirement)
            return 0
        return 0

    def _build_requirement(
        self, round_: _Round, key: JobQueueKey, job: PendingJob
    ) -> _PlacementRequirement:
        may_use_reserved = self._may_use_reserved(round_, job.get_first_task())
        return _PlacementRequirement(key.resources, key.eligible, may_use_reserved)

    def _may_use_reserved(self, round_: _Round, task: PendingTask) -> bool:
        """Return whether a task may use the workers that are reserved for a gang."""
        reservation = self._gang_reservation
        if reservation is None or reservation.job_id == task.job_id:
            return True
        if task.policy.priority is PriorityClass.URGENT:
            return True
        if task.kind is WorkloadKind.SERVICE:
            return False
        return round_.now + task.run_seconds <= reservation.starts_at

    def _place_job(self, round_: _Round, key: JobQueueKey, job: PendingJob, count: int) -> int:
        task = job.get_first_task()
        candidates = self._find_candidates(round_, task)
        policy = POLICIES[task.policy.mode]
        task_counts = self._task_counts_by_job.get(job.job_id, {})
        positions = policy.choose(
            self._index, key.resources, candidates, count, task_counts, self._generator
        )
        if not task.gang_size:
            # A gang may exceed a slow-start allowance: it fits nowhere else, and without some of
            # its workers it could not start, so the allowance would never grow.
            positions = self._apply_start_limits(round_, positions)
        if not positions or (task.gang_size and len(positions) < task.gang_size):
            return 0
        tasks = list(job.tasks.values())[: len(positions)]
        placements = []
        for chosen, position in zip(tasks, positions, strict=True):
            worker_id = self._index.ids[position]
            self._assign(round_, chosen, worker_id)
            placements.append((chosen.task_id, worker_id))
        round_.remaining -= len(placements)
        self._cancel_gang_reservation(job.job_id)
        self._add_decisions(round_, task, policy.name, placements)
        return len(placements)

    def _add_decisions(
        self,
        round_: _Round,
        task: PendingTask,
        reason: str,
        placements: list[tuple[TaskId, WorkerId]],
    ) -> None:
        groups = [tuple(placements)] if task.gang_size else [(pair,) for pair in placements]
        round_.decisions.extend(
            Decision(placements=group, policy=task.policy.name, reason=reason) for group in groups
        )

    def _apply_start_limits(self, round_: _Round, positions: list[int]) -> list[int]:
        """Drop positions beyond the slow-start allowance of their worker."""
        if not round_.start_limits:
            return positions
        allowed: list[int] = []
        used: dict[WorkerId, int] = {}
        for position in positions:
            worker_id = self._index.ids[position]
            used[worker_id] = used.get(worker_id, 0) + 1
            if used[worker_id] <= round_.start_limits.get(worker_id, len(positions)):
                allowed.append(position)
        return allowed

    def _assign(self, round_: _Round, task: PendingTask, worker_id: WorkerId) -> None:
        self._task_queue.remove(task.task_id)
        self.reserve(worker_id, task.resources, task.team, task.job_id)
        self._worker_ejection.record_start(worker_id)
        if worker_id in round_.start_limits:
            round_.start_limits[worker_id] -= 1
        ends_at = math.inf
        if task.kind is not WorkloadKind.SERVICE:
            ends_at = round_.now + task.run_seconds
        self._work_ends_at[worker_id] = max(self._work_ends_at.get(worker_id, 0.0), ends_at)

    def _find_candidates(self, round_: _Round, task: PendingTask) -> Mask:
        mask = self._index.accepts_tasks & self._index.get_mask(task.eligible)
        for worker_id, limit in round_.start_limits.items():
            position = self._index.get_position(worker_id)
            if position is not None and limit <= 0:
                mask[position] = False
        if self._gang_reservation is not None and not self._may_use_reserved(round_, task):
            mask &= ~self._gang_reservation.workers
        if task.avoid:
            mask = self._prefer_other_workers(task, mask)
        return mask

    def _prefer_other_workers(self, task: PendingTask, mask: Mask) -> Mask:
        others = mask.copy()
        for worker_id in task.avoid:
            position = self._index.get_position(worker_id)
            if position is not None:
                others[position] = False
        return others if self._index.find_fitting(task.resources, others).any() else mask

    def _reserve_for_gang(self, round_: _Round, key: JobQueueKey, job: PendingJob) -> None:
        """Reserve workers for the oldest gang that does not fit now."""
        if self._gang_reservation is not None:
            return
        due = job.queued_at + RESERVE_AFTER_SECONDS
        if round_.now < due:
            self._gang_reservation_due = min(self._gang_reservation_due, due)
            return
        task = job.get_first_task()
        candidates = self._index.accepts_tasks & self._index.get_mask(task.eligible)
        positions = np.flatnonzero(candidates)
        counts = self._index.count_fitting(key.resources, self._index.capacity[:, positions])
        free_counts = self._index.count_fitting(key.resources, self._index.free[:, positions])
        ends = np.array([self._work_ends_at.get(self._index.ids[p], round_.now) for p in positions])
        # Services have no expected end, so only what is free now counts on their workers.
        counts = np.where(np.isinf(ends), free_counts, counts)
        ends = np.where(free_counts >= counts, round_.now, ends)
        mask = np.zeros(len(self._index), dtype=np.bool_)
        found, starts_at = 0, round_.now
        for n in np.argsort(ends, kind="stable"):
            if found >= task.gang_size:
                break
            if counts[n] <= 0:
                continue
            mask[positions[n]] = True
            found += int(counts[n])
            starts_at = max(starts_at, float(ends[n]))
        if found >= task.gang_size:
            self._set_gang_reservation(_GangReservation(job.job_id, mask, starts_at))

    def list_pending(self, priority: PriorityClass, limit: int) -> list[PendingTask]:
        """Return up to `limit` pending tasks of a class that may be placed now."""
        found: list[PendingTask] = []
        for key in self._task_queue.list_queues(priority):
            for job in self._task_queue.list_jobs(key):
                found.extend(itertools.islice(job.tasks.values(), limit - len(found)))
                if len(found) >= limit:
                    return found
        return found

    def get_free(self, worker_id: WorkerId, task: PendingTask) -> Resources | None:
        """Return a worker's free resources, or None if `task` may not be placed there now."""
        position = self._index.get_position(worker_id)
        if position is None:
            return None
        round_ = _Round(now=self._now, remaining=1, start_limits=self._start_limits)
        if not self._find_candidates(round_, task)[position]:
            return None
        return Resources(*(int(amount) for amount in self._index.free[:, position]))

    def explain_infeasibility(self, tasks: Sequence[PendingTask]) -> WaitReason | None:
        """Return why tasks of one job can never run on the workers, or None."""
        task = tasks[0]
        mask = self._index.get_mask(task.eligible)
        counts = self._index.count_fitting(task.resources, self._index.capacity[:, mask])
        max_tasks = int(counts.sum()) if len(counts) else 0
        if not mask.any():
            return WaitReason(code="no-eligible-worker", detail="no worker matches the selectors")
        if max_tasks == 0:
            return WaitReason(
                code="too-large", detail="the task is larger than every eligible worker"
            )
        if task.gang_size > max_tasks:
            return WaitReason(
                code="gang-too-large",
                detail=f"{max_tasks} of {task.gang_size} tasks fit on the eligible workers",
            )
        if not self._shares.can_ever_hold(task.team, task.resources, max(1, task.gang_size)):
            return WaitReason(code="quota", detail=f"beyond the quota of team {task.team}")
        return None

    def explain(self, task_id: TaskId, now: float) -> WaitReason | None:
        """Return why a pending task waits, or None if it is not pending."""
        task = self._task_queue.get(task_id)
        if task is None:
            return None
        if task.not_before > now:
            detail = f"{task.not_before - now:.1f} s until the next attempt after a failure"
            return WaitReason(code="back-off", detail=detail)
        infeasibility = self.explain_infeasibility((task,))
        if infeasibility is not None:
            return infeasibility
        if not self._shares.count_allowed(task.team, task.resources, 1):
            return WaitReason(code="quota", detail=f"team {task.team} is at its quota")
        reservation = self._gang_reservation
        if reservation is not None and reservation.job_id == task.job_id:
            seconds = max(0.0, reservation.starts_at - now)
            detail = f"workers are reserved; expected to fit in {seconds:.1f} s"
            return WaitReason(code="gang-reserved", detail=detail)
        return self._explain_capacity(task, now)

    def _explain_capacity(self, task: PendingTask, now: float) -> WaitReason:
        round_ = _Round(now=now, remaining=1)
        round_.start_limits = self._worker_ejection.update_start_limits(now, len(self._index))
        candidates = self._find_candidates(round_, task)
        counts = self._index.count_fitting(task.resources, self._index.free[:, candidates])
        fitting = int(counts.sum()) if len(counts) else 0
        if fitting >= max(1, task.gang_size):
            return WaitReason(code="turn", detail="fits; waits for its turn")
        eligible = int(self._index.get_mask(task.eligible).sum())
        detail = (
            f"{eligible} workers are eligible, {int(candidates.sum())} usable now, "
            f"{fitting} of {max(1, task.gang_size)} tasks fit"
        )
        return WaitReason(code="no-room", detail=detail)

    def describe_workers(self) -> list[dict[str, object]]:
        """Return a view of every worker: capacity, reservations, ejection, draining."""
        return [
            {
                "worker": worker.view.worker_id,
                "availability_zone": worker.view.availability_zone,
                "rack": worker.view.rack,
                "labels": dict(worker.labels),
                "capacity": msgspec.to_builtins(worker.view.capacity),
                "reserved": msgspec.to_builtins(self._index.get_reserved(worker.view.worker_id)),
                "leaving": worker.view.leaving,
                "draining": worker.draining,
                "ejected": self._worker_ejection.is_ejected(worker.view.worker_id),
            }
            for worker in self._index.workers
        ]


def _has_capacity(free: Amounts, resources: Resources) -> bool:
    fits = (free[0] >= resources.processors) & (free[1] >= resources.memory_mb)
    fits &= free[2] >= resources.accelerators
    return bool(fits.any())
