"""The scheduler that entry instances use.

A round serves the priority classes in order, with a share of the placed processors kept for the
lower classes, and within a class the teams by weighted dominant share. A shape (size and eligible
workers) that found no room is not tried again until something was released. The oldest gang that
does not fit holds a reservation: workers on which its tasks will fit once running work ends. Other
work may use those workers only if it is declared to end before the reservation's start.
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
# Tasks of one job placed in one step; smaller steps are fairer between teams, larger ones
# spread the cost of looking at all workers over more tasks.
STEP_TASKS = 64
# How long gangs wait before the oldest one reserves workers.
RESERVE_AFTER_SECONDS = 1.0


class _PlacementRequirement(NamedTuple):
    """What decides whether there is room for a task."""

    resources: Resources
    eligible: tuple[LabelSelector, ...]
    may_use_reserved: bool


@dataclasses.dataclass(slots=True)
class _Reservation:
    job_id: JobId
    workers: Mask
    starts_at: float


@dataclasses.dataclass(slots=True)
class _Round:
    """What one call of `decide` has used and learned."""

    now: float
    left: int
    decisions: list[Decision] = dataclasses.field(default_factory=list)
    limits: dict[WorkerId, int] = dataclasses.field(default_factory=dict)


class FairScheduler(Scheduler):
    """Priority classes, dominant-share fairness, quotas, gang reservation and ejection.

    Parameters
    ----------
    generator : random.Random
        Source of randomness for policies that need it.
    max_ejected_share : float
        Largest share of the workers ejected at a time.
    lower_class_share : float
        Share of the placed processors kept for lower classes while they wait.
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
        self._held: dict[JobId, dict[WorkerId, int]] = {}
        self._ends: dict[WorkerId, float] = {}
        self._unplaceable: set[_PlacementRequirement] = set()
        self._released: set[WorkerId] = set()
        self._limits: dict[WorkerId, int] = {}
        self._changed = True
        self._reservation: _Reservation | None = None
        self._gang_due = math.inf
        self._now = 0.0
        self._workers: tuple[SchedulableWorker, ...] = ()

    def update_workers(self, workers: Iterable[SchedulableWorker]) -> None:
        """Replace the set of workers; reservations on workers that stay are kept."""
        ordered = tuple(workers)
        if ordered == self._workers:
            return
        self._workers = ordered
        self._index.replace(ordered)
        self._shares.set_total(self._index.total)
        self._set_reservation(None)

    def update_quotas(self, quotas: Iterable[Quota]) -> None:
        """Replace the teams' quotas."""
        self._shares.replace_quotas(quotas)
        self._changed = True

    def add_pending(self, task: PendingTask) -> None:
        """Queue a task; replaces an earlier entry for the same task."""
        self._task_queue.add(task, self._now)
        self._changed = True

    def remove_pending(self, task_id: TaskId) -> None:
        """Take a task out of the queue if it is there."""
        task = self._task_queue.remove(task_id)
        if task is not None:
            self._cancel_reservation(task.job_id)

    def _cancel_reservation(self, job_id: JobId) -> None:
        if self._reservation is not None and self._reservation.job_id == job_id:
            self._set_reservation(None)

    def _set_reservation(self, reservation: _Reservation | None) -> None:
        self._reservation = reservation
        self._unplaceable.clear()
        self._changed = True

    def reserve(
        self, worker_id: WorkerId, resources: Resources, team: TeamName, job_id: JobId
    ) -> None:
        """Count a running attempt, when the state is rebuilt after a takeover."""
        self._index.reserve(worker_id, resources)
        self._shares.add(team, resources)
        held = self._held.setdefault(job_id, {})
        held[worker_id] = held.get(worker_id, 0) + 1

    def release(
        self, worker_id: WorkerId, resources: Resources, team: TeamName, job_id: JobId
    ) -> None:
        """Free what an attempt held, once it provably cannot run any more."""
        self._index.release(worker_id, resources)
        self._shares.subtract(team, resources)
        self._released.add(worker_id)
        if self._index.get_reserved(worker_id) == ZERO_RESOURCES:
            self._ends.pop(worker_id, None)
        self._changed = True
        held = self._held.get(job_id)
        if held is None:
            return
        held[worker_id] = held.get(worker_id, 0) - 1
        if held[worker_id] <= 0:
            del held[worker_id]
        if not held:
            del self._held[job_id]

    def report_start(self, worker_id: WorkerId, job_id: JobId, succeeded: bool, now: float) -> None:
        """Tell whether a start on a worker succeeded, for ejection by outcome."""
        self._worker_ejection.report(worker_id, job_id, succeeded, now)

    def decide(self, now: float, limit: int) -> Sequence[Decision]:
        """Choose up to `limit` placements and reserve their resources."""
        self._now = now
        if self._task_queue.release_delayed(now):
            self._changed = True
        limits = self._worker_ejection.find_limits(now, len(self._index))
        if limits != self._limits:
            self._limits = dict(limits)
            self._unplaceable.clear()
            self._changed = True
        gang_waits = now >= self._gang_due
        if not self._changed and not gang_waits:
            return []
        self._changed = False
        self._gang_due = math.inf
        if not len(self._task_queue) or not len(self._index):
            return []
        self._forget_released()
        round_ = _Round(now=now, left=limit, limits=limits)
        if self._lower_class_credit > 0.0:
            self._serve_lower_classes(round_)
        for priority in CLASS_ORDER:
            self._serve_class(round_, priority)
        if round_.left <= 0:
            self._changed = True
        return round_.decisions

    def _forget_released(self) -> None:
        """Drop the shapes for which a worker that released something has room now."""
        positions = [self._index.get_position(worker_id) for worker_id in self._released]
        self._released.clear()
        free = self._index.free[:, [p for p in positions if p is not None]]
        self._unplaceable = {
            requirement
            for requirement in self._unplaceable
            if not _has_capacity(free, requirement.resources)
        }

    def _serve_lower_classes(self, round_: _Round) -> None:
        """Spend the credit of the lower classes before the urgent class takes the room."""
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
        while heap and round_.left > 0 and budget > 0.0:
            _, n, team = heapq.heappop(heap)
            next_share = heap[0][0] if heap else math.inf
            placed = self._serve_team(round_, by_team[team], next_share, budget)
            if placed is None:
                continue
            budget -= placed
            self._account(priority, placed)
            heapq.heappush(heap, (self._shares.get_weighted_share(team), n, team))

    def _account(self, priority: PriorityClass, processors: float) -> None:
        if priority is PriorityClass.URGENT:
            self._lower_class_credit += processors * self._lower_class_share
        else:
            self._lower_class_credit = max(0.0, self._lower_class_credit - processors)

    def _serve_team(
        self, round_: _Round, queues: list[JobQueueKey], next_share: float, budget: float
    ) -> float | None:
        """Place the first job of the first line that has room.

        Parameters
        ----------
        round_ : _Round
        queues : list of JobQueueKey
            Lines of the team; those without room are removed.
        next_share : float
            Weighted share of the team that is served next. A step ends when this team has passed
            it, otherwise one team's backlog would take everything in a single step.
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
            step = self._shares.count_until(key.team, key.resources, next_share, STEP_TASKS)
            step = min(step, round_.left)
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
            gang_size = job.get_example().gang_size
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
        may_use_reserved = self._may_use_reserved(round_, job.get_example())
        return _PlacementRequirement(key.resources, key.eligible, may_use_reserved)

    def _may_use_reserved(self, round_: _Round, task: PendingTask) -> bool:
        """Return whether a task may use the workers that are reserved for a gang."""
        reservation = self._reservation
        if reservation is None or reservation.job_id == task.job_id:
            return True
        if task.policy.priority is PriorityClass.URGENT:
            return True
        if task.kind is WorkloadKind.SERVICE:
            return False
        return round_.now + task.run_seconds <= reservation.starts_at

    def _place_job(self, round_: _Round, key: JobQueueKey, job: PendingJob, count: int) -> int:
        task = job.get_example()
        candidates = self._find_candidates(round_, task)
        policy = POLICIES[task.policy.mode]
        held = self._held.get(job.job_id, {})
        positions = policy.choose(
            self._index, key.resources, candidates, count, held, self._generator
        )
        if not task.gang_size:
            # A gang may exceed a slow-start allowance: it fits nowhere else, and dropping some of
            # its workers would leave both the gang and the worker waiting for each other.
            positions = self._respect_limits(round_, positions)
        if not positions or (task.gang_size and len(positions) < task.gang_size):
            return 0
        tasks = list(job.tasks.values())[: len(positions)]
        placements = []
        for chosen, position in zip(tasks, positions, strict=True):
            worker_id = self._index.ids[position]
            self._take(round_, chosen, worker_id)
            placements.append((chosen.task_id, worker_id))
        round_.left -= len(placements)
        self._cancel_reservation(job.job_id)
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

    def _respect_limits(self, round_: _Round, positions: list[int]) -> list[int]:
        """Drop choices beyond the slow-start allowance of a returning worker."""
        if not round_.limits:
            return positions
        kept: list[int] = []
        used: dict[WorkerId, int] = {}
        for position in positions:
            worker_id = self._index.ids[position]
            used[worker_id] = used.get(worker_id, 0) + 1
            if used[worker_id] <= round_.limits.get(worker_id, len(positions)):
                kept.append(position)
        return kept

    def _take(self, round_: _Round, task: PendingTask, worker_id: WorkerId) -> None:
        self._task_queue.remove(task.task_id)
        self.reserve(worker_id, task.resources, task.team, task.job_id)
        self._worker_ejection.record_start(worker_id)
        if worker_id in round_.limits:
            round_.limits[worker_id] -= 1
        ends_at = math.inf
        if task.kind is not WorkloadKind.SERVICE:
            ends_at = round_.now + task.run_seconds
        self._ends[worker_id] = max(self._ends.get(worker_id, 0.0), ends_at)

    def _find_candidates(self, round_: _Round, task: PendingTask) -> Mask:
        mask = self._index.open & self._index.get_mask(task.eligible)
        for worker_id, limit in round_.limits.items():
            position = self._index.get_position(worker_id)
            if position is not None and limit <= 0:
                mask[position] = False
        if self._reservation is not None and not self._may_use_reserved(round_, task):
            mask &= ~self._reservation.workers
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
        if self._reservation is not None:
            return
        due = job.queued_at + RESERVE_AFTER_SECONDS
        if round_.now < due:
            self._gang_due = min(self._gang_due, due)
            return
        task = job.get_example()
        candidates = self._index.open & self._index.get_mask(task.eligible)
        positions = np.flatnonzero(candidates)
        room = self._index.count_fitting(key.resources, self._index.capacity[:, positions])
        now_room = self._index.count_fitting(key.resources, self._index.free[:, positions])
        ends = np.array([self._ends.get(self._index.ids[p], round_.now) for p in positions])
        # Workers that hold services never drain, so only what is free now counts there.
        room = np.where(np.isinf(ends), now_room, room)
        ends = np.where(now_room >= room, round_.now, ends)
        mask = np.zeros(len(self._index), dtype=np.bool_)
        found, starts_at = 0, round_.now
        for n in np.argsort(ends, kind="stable"):
            if found >= task.gang_size:
                break
            if room[n] <= 0:
                continue
            mask[positions[n]] = True
            found += int(room[n])
            starts_at = max(starts_at, float(ends[n]))
        if found >= task.gang_size:
            self._set_reservation(_Reservation(job.job_id, mask, starts_at))

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
        """Return what is free on a worker, or None if `task` may not be placed there now."""
        position = self._index.get_position(worker_id)
        if position is None:
            return None
        round_ = _Round(now=self._now, left=1, limits=self._limits)
        if not self._find_candidates(round_, task)[position]:
            return None
        return Resources(*(int(amount) for amount in self._index.free[:, position]))

    def explain_infeasibility(self, tasks: Sequence[PendingTask]) -> WaitReason | None:
        """Return why these tasks together can never run on the workers, or None."""
        task = tasks[0]
        mask = self._index.get_mask(task.eligible)
        room = self._index.count_fitting(task.resources, self._index.capacity[:, mask])
        most = int(room.sum()) if len(room) else 0
        if not mask.any():
            return WaitReason(code="no-eligible-worker", detail="no worker matches the selectors")
        if most == 0:
            return WaitReason(
                code="too-large", detail="the task is larger than every eligible worker"
            )
        if task.gang_size > most:
            return WaitReason(
                code="gang-too-large",
                detail=f"{most} of {task.gang_size} tasks fit on the eligible workers",
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
        reservation = self._reservation
        if reservation is not None and reservation.job_id == task.job_id:
            seconds = max(0.0, reservation.starts_at - now)
            detail = f"workers are reserved; expected to fit in {seconds:.1f} s"
            return WaitReason(code="gang-reserved", detail=detail)
        return self._explain_capacity(task, now)

    def _explain_capacity(self, task: PendingTask, now: float) -> WaitReason:
        round_ = _Round(now=now, left=1)
        round_.limits = self._worker_ejection.find_limits(now, len(self._index))
        candidates = self._find_candidates(round_, task)
        room = self._index.count_fitting(task.resources, self._index.free[:, candidates])
        fitting = int(room.sum()) if len(room) else 0
        if fitting >= max(1, task.gang_size):
            return WaitReason(code="turn", detail="fits; waits for its turn")
        eligible = int(self._index.get_mask(task.eligible).sum())
        detail = (
            f"{eligible} workers are eligible, {int(candidates.sum())} usable now, "
            f"{fitting} of {max(1, task.gang_size)} tasks fit"
        )
        return WaitReason(code="no-room", detail=detail)

    def describe_workers(self) -> list[dict[str, object]]:
        """Return a view of every worker: capacity, reserved amounts, ejection, draining."""
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
