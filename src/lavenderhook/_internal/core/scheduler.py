"""Interface of the schedulers, and a baseline scheduler.

A scheduler holds the pending tasks of one shard and the free resources of its workers. It chooses
which task is placed next and where, and reserves the resources; `shard_owner` commits the
decision and starts the task. It is rebuilt from the shard state after a takeover, so it stores
nothing by itself.
"""

from __future__ import annotations

import abc
import dataclasses
import random
from collections.abc import Iterable, Sequence

import msgspec

from .declarations import PlacementMode, Policy, Quota
from .identifiers import JobId, PriorityClass, TaskId, TeamName, WorkerId, WorkloadKind
from .labels import LabelSelector
from .records import WorkerView
from .resources import ZERO_RESOURCES, Resources


class PendingTask(msgspec.Struct, frozen=True, kw_only=True):
    """A task that waits for a worker.

    Parameters
    ----------
    eligible : tuple of LabelSelector
        All must match a worker's labels.
    gang_size : int
        Number of tasks of the gang that must be placed together; 0 for other kinds.
    queued_at : float
        Time in seconds at which it was queued.
    not_before : float
        Earliest time of placement, for back-off after failures.
    avoid : tuple of WorkerId
        Workers on which earlier attempts failed; used only if nothing else fits.
    """

    task_id: TaskId
    job_id: JobId
    kind: WorkloadKind
    team: TeamName
    resources: Resources
    policy: Policy
    eligible: tuple[LabelSelector, ...] = ()
    gang_size: int = 0
    run_seconds: float = 60.0
    queued_at: float = 0.0
    not_before: float = 0.0
    avoid: tuple[WorkerId, ...] = ()


class SchedulableWorker(msgspec.Struct, frozen=True, kw_only=True):
    """A worker with its effective labels."""

    view: WorkerView
    labels: dict[str, str]
    draining: bool = False


class Decision(msgspec.Struct, frozen=True, kw_only=True):
    """Placements that are committed together: one pair, or all pairs of a gang."""

    placements: tuple[tuple[TaskId, WorkerId], ...]
    policy: str
    reason: str


class WaitReason(msgspec.Struct, frozen=True, kw_only=True):
    """The reason why a task waits, for operators."""

    code: str
    detail: str


class Scheduler(abc.ABC):
    """Decides placements for one shard."""

    @abc.abstractmethod
    def update_workers(self, workers: Iterable[SchedulableWorker]) -> None:
        """Replace the set of workers; reservations on remaining workers are kept."""

    def update_quotas(self, quotas: Iterable[Quota]) -> None:
        """Replace the teams' quotas; a scheduler without quotas ignores them."""
        return

    @abc.abstractmethod
    def add_pending(self, task: PendingTask) -> None:
        """Queue a task; replaces an earlier entry for the same task."""

    @abc.abstractmethod
    def remove_pending(self, task_id: TaskId) -> None:
        """Remove a task from the queue if it is there."""

    @abc.abstractmethod
    def reserve(
        self, worker_id: WorkerId, resources: Resources, team: TeamName, job_id: JobId
    ) -> None:
        """Reserve the resources of an attempt."""

    @abc.abstractmethod
    def release(
        self, worker_id: WorkerId, resources: Resources, team: TeamName, job_id: JobId
    ) -> None:
        """Free the resources of an attempt that provably cannot run any more."""

    @abc.abstractmethod
    def report_start(self, worker_id: WorkerId, job_id: JobId, succeeded: bool, now: float) -> None:
        """Record whether a start succeeded, for the ejection of failing workers."""

    @abc.abstractmethod
    def decide(self, now: float, limit: int) -> Sequence[Decision]:
        """Choose up to `limit` placements and reserve their resources."""

    def list_pending(self, priority: PriorityClass, limit: int) -> list[PendingTask]:
        """Return up to `limit` pending tasks of a class that may be placed now."""
        return []

    def get_free(self, worker_id: WorkerId, task: PendingTask) -> Resources | None:
        """Return a worker's free resources, or None if `task` may not be placed there now."""
        return None

    @abc.abstractmethod
    def explain_infeasibility(self, tasks: Sequence[PendingTask]) -> WaitReason | None:
        """Return why tasks of one job can never run on the workers, or None.

        The tasks have equal requirements; only those of a gang must fit at the same time.
        """

    @abc.abstractmethod
    def explain(self, task_id: TaskId, now: float) -> WaitReason | None:
        """Return why a pending task waits, or None if it is not pending."""

    @abc.abstractmethod
    def describe_workers(self) -> list[dict[str, object]]:
        """Return a view of every worker: capacity, reservations, ejection, draining."""


@dataclasses.dataclass(slots=True)
class _Worker:
    schedulable: SchedulableWorker
    reserved: Resources = ZERO_RESOURCES

    def get_free(self) -> Resources:
        return self.schedulable.view.capacity - self.reserved

    def accepts_tasks(self) -> bool:
        return not self.schedulable.draining and not self.schedulable.view.leaving


class ScanScheduler(Scheduler):
    """First come, first served, with a scan over all workers; a baseline for comparisons."""

    def __init__(self, generator: random.Random) -> None:
        self._generator = generator
        self._workers: dict[WorkerId, _Worker] = {}
        self._pending: dict[TaskId, PendingTask] = {}
        self._task_counts: dict[tuple[JobId, WorkerId], int] = {}

    def update_workers(self, workers: Iterable[SchedulableWorker]) -> None:
        """Replace the set of workers; reservations on remaining workers are kept."""
        previous = self._workers
        self._workers = {}
        for worker in workers:
            worker_id = worker.view.worker_id
            reserved = previous[worker_id].reserved if worker_id in previous else ZERO_RESOURCES
            self._workers[worker_id] = _Worker(worker, reserved)

    def add_pending(self, task: PendingTask) -> None:
        """Queue a task; replaces an earlier entry for the same task."""
        self._pending[task.task_id] = task

    def remove_pending(self, task_id: TaskId) -> None:
        """Remove a task from the queue if it is there."""
        self._pending.pop(task_id, None)

    def reserve(
        self, worker_id: WorkerId, resources: Resources, team: TeamName, job_id: JobId
    ) -> None:
        """Reserve the resources of an attempt."""
        worker = self._workers.get(worker_id)
        if worker is not None:
            worker.reserved = worker.reserved + resources
        key = (job_id, worker_id)
        self._task_counts[key] = self._task_counts.get(key, 0) + 1

    def release(
        self, worker_id: WorkerId, resources: Resources, team: TeamName, job_id: JobId
    ) -> None:
        """Free the resources of an attempt."""
        worker = self._workers.get(worker_id)
        if worker is not None:
            worker.reserved = worker.reserved - resources
        key = (job_id, worker_id)
        self._task_counts[key] = self._task_counts.get(key, 1) - 1
        if self._task_counts[key] <= 0:
            del self._task_counts[key]

    def report_start(self, worker_id: WorkerId, job_id: JobId, succeeded: bool, now: float) -> None:
        """Ignore outcomes: the baseline ejects nothing."""

    def decide(self, now: float, limit: int) -> Sequence[Decision]:
        """Choose up to `limit` placements and reserve their resources."""
        decisions: list[Decision] = []
        placed = 0
        for group in self._group_pending(now):
            if placed >= limit:
                break
            placements = self._place_group(group)
            if placements is None:
                continue
            placed += len(placements)
            decisions.append(
                Decision(
                    placements=tuple(placements),
                    policy=group[0].policy.name,
                    reason="first-fit-scan",
                )
            )
        return decisions

    def _group_pending(self, now: float) -> list[list[PendingTask]]:
        gangs: dict[JobId, list[PendingTask]] = {}
        groups: list[list[PendingTask]] = []
        for task in self._pending.values():
            if task.not_before > now:
                continue
            if task.gang_size == 0:
                groups.append([task])
                continue
            members = gangs.setdefault(task.job_id, [])
            members.append(task)
            if len(members) == task.gang_size:
                groups.append(members)
        return groups

    def _place_group(self, group: list[PendingTask]) -> list[tuple[TaskId, WorkerId]] | None:
        placements: list[tuple[TaskId, WorkerId]] = []
        for task in group:
            worker_id = self._choose_worker(task)
            if worker_id is None:
                self._release_placements(group, placements)
                return None
            self.reserve(worker_id, task.resources, task.team, task.job_id)
            placements.append((task.task_id, worker_id))
        for task in group:
            del self._pending[task.task_id]
        return placements

    def _release_placements(
        self, group: list[PendingTask], placements: list[tuple[TaskId, WorkerId]]
    ) -> None:
        for task, (_, worker_id) in zip(group, placements, strict=False):
            self.release(worker_id, task.resources, task.team, task.job_id)

    def _choose_worker(self, task: PendingTask) -> WorkerId | None:
        fitting = [
            worker_id
            for worker_id, worker in self._workers.items()
            if worker.accepts_tasks()
            and task.resources.fits(worker.get_free())
            and all(s.matches(worker.schedulable.labels) for s in task.eligible)
        ]
        if not fitting:
            return None
        preferred = [w for w in fitting if w not in task.avoid] or fitting
        if task.policy.mode is PlacementMode.RANDOM:
            return self._generator.choice(preferred)
        if task.policy.mode is PlacementMode.SPREAD:
            return min(preferred, key=lambda w: (self._task_counts.get((task.job_id, w), 0), w))
        return preferred[0]

    def explain_infeasibility(self, tasks: Sequence[PendingTask]) -> WaitReason | None:
        """Return why tasks of one job can never run on the workers, or None."""
        for task in tasks:
            possible = any(
                task.resources.fits(worker.schedulable.view.capacity)
                and all(s.matches(worker.schedulable.labels) for s in task.eligible)
                for worker in self._workers.values()
            )
            if not possible:
                return WaitReason(
                    code="no-worker", detail="no eligible worker is large enough for the task"
                )
        if len(tasks) > 1 and not self._fit_together(tasks):
            return WaitReason(
                code="no-workers", detail="the tasks do not fit on the workers at the same time"
            )
        return None

    def _fit_together(self, tasks: Sequence[PendingTask]) -> bool:
        """Return whether first fit, largest task first, places all tasks on empty workers."""
        free = [(w.schedulable.labels, w.schedulable.view.capacity) for w in self._workers.values()]
        for task in sorted(tasks, key=lambda t: t.resources.processors, reverse=True):
            for number, (labels, amount) in enumerate(free):
                eligible = all(selector.matches(labels) for selector in task.eligible)
                if eligible and task.resources.fits(amount):
                    free[number] = (labels, amount - task.resources)
                    break
            else:
                return False
        return True

    def explain(self, task_id: TaskId, now: float) -> WaitReason | None:
        """Return why a pending task waits, or None if it is not pending."""
        task = self._pending.get(task_id)
        if task is None:
            return None
        if task.not_before > now:
            return WaitReason(code="back-off", detail=f"until {task.not_before:.1f}")
        return WaitReason(code="no-room", detail="no eligible worker has enough free resources")

    def describe_workers(self) -> list[dict[str, object]]:
        """Return a view of every worker."""
        return [
            {
                "worker": worker_id,
                "availability_zone": worker.schedulable.view.availability_zone,
                "rack": worker.schedulable.view.rack,
                "capacity": msgspec.to_builtins(worker.schedulable.view.capacity),
                "reserved": msgspec.to_builtins(worker.reserved),
                "draining": not worker.accepts_tasks(),
                "ejected": False,
            }
            for worker_id, worker in self._workers.items()
        ]
