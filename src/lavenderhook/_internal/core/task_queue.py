"""Queues of the pending tasks of a shard.

Tasks of one job request the same resources, so they are queued as one entry. Jobs whose tasks have
the same team, priority class, kind, resources and eligible workers share a queue, in the order in
which they were queued: if one of them cannot be placed, the others in the queue need not be tried.
"""

from __future__ import annotations

import dataclasses
import heapq
from collections import OrderedDict
from typing import NamedTuple

from .identifiers import JobId, PriorityClass, TaskId, TeamName, WorkloadKind
from .labels import LabelSelector
from .resources import Resources
from .scheduler import PendingTask


class JobQueueKey(NamedTuple):
    """The properties that all jobs of a queue share."""

    priority: PriorityClass
    team: TeamName
    kind: WorkloadKind
    resources: Resources
    eligible: tuple[LabelSelector, ...]


@dataclasses.dataclass(slots=True)
class PendingJob:
    """The pending tasks of a job that may be placed now."""

    job_id: JobId
    queued_at: float
    tasks: OrderedDict[TaskId, PendingTask] = dataclasses.field(default_factory=OrderedDict)

    def get_first_task(self) -> PendingTask:
        """Return the first task; all request the same resources."""
        return next(iter(self.tasks.values()))

    def is_complete(self) -> bool:
        """Return whether all tasks of a gang are queued; always true for other kinds."""
        return len(self.tasks) >= self.get_first_task().gang_size


def make_queue_key(task: PendingTask) -> JobQueueKey:
    """Return the key of the queue to which a task belongs."""
    return JobQueueKey(task.policy.priority, task.team, task.kind, task.resources, task.eligible)


class TaskQueue:
    """All pending tasks of a shard, in queues by `JobQueueKey`."""

    def __init__(self) -> None:
        self._tasks: dict[TaskId, PendingTask] = {}
        self._delayed: list[tuple[float, TaskId]] = []
        self._queues: dict[JobQueueKey, OrderedDict[JobId, PendingJob]] = {}

    def __len__(self) -> int:
        return len(self._tasks)

    def get(self, task_id: TaskId) -> PendingTask | None:
        """Return a pending task, or None."""
        return self._tasks.get(task_id)

    def add(self, task: PendingTask, now: float) -> None:
        """Add a task, replacing an earlier entry for it."""
        self.remove(task.task_id)
        self._tasks[task.task_id] = task
        if task.not_before > now:
            heapq.heappush(self._delayed, (task.not_before, task.task_id))
        else:
            self._enqueue(task)

    def _enqueue(self, task: PendingTask) -> None:
        queue = self._queues.setdefault(make_queue_key(task), OrderedDict())
        pending_job = queue.get(task.job_id)
        if pending_job is None:
            pending_job = queue[task.job_id] = PendingJob(task.job_id, task.queued_at)
        pending_job.tasks[task.task_id] = task

    def remove(self, task_id: TaskId) -> PendingTask | None:
        """Remove a task if it is pending."""
        task = self._tasks.pop(task_id, None)
        if task is None:
            return None
        key = make_queue_key(task)
        queue = self._queues.get(key)
        pending_job = queue.get(task.job_id) if queue is not None else None
        if queue is None or pending_job is None:
            return task
        pending_job.tasks.pop(task_id, None)
        if not pending_job.tasks:
            del queue[task.job_id]
        if not queue:
            del self._queues[key]
        return task

    def release_delayed(self, now: float) -> bool:
        """Enqueue tasks whose back-off has passed; return whether there were any."""
        moved = False
        while self._delayed and self._delayed[0][0] <= now:
            not_before, task_id = heapq.heappop(self._delayed)
            task = self._tasks.get(task_id)
            if task is not None and task.not_before == not_before:
                self._enqueue(task)
                moved = True
        return moved

    def list_queues(self, priority: PriorityClass) -> list[JobQueueKey]:
        """Return the keys of the queues of a class, sorted by `queued_at` of their first job."""
        keys = [key for key in self._queues if key.priority is priority]
        return sorted(keys, key=lambda key: self.peek(key).queued_at)

    def peek(self, key: JobQueueKey) -> PendingJob:
        """Return the first job of a queue."""
        return next(iter(self._queues[key].values()))

    def has_queue(self, key: JobQueueKey) -> bool:
        """Return whether a queue has jobs."""
        return key in self._queues

    def list_jobs(self, key: JobQueueKey) -> list[PendingJob]:
        """Return the jobs of a queue in order."""
        return list(self._queues[key].values())

    def has_class(self, priority: PriorityClass) -> bool:
        """Return whether a class has queues."""
        return any(key.priority is priority for key in self._queues)
