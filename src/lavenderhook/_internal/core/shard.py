"""The state of a shard: the result of applying its log records in order.

Applying a record needs nothing but the state and the record, so that every instance that replays
the log arrives at the same state. Rules that must hold atomically, above all that the members of a
gang run, stop and fail together, are therefore part of applying a record and not left to the owner.
"""

from __future__ import annotations

import dataclasses
from collections.abc import Callable, Iterable
from typing import Any

import msgspec
import xxhash

from .identifiers import (
    AttemptId,
    IncarnationId,
    JobId,
    ShardId,
    TaskId,
    TaskState,
    UpstreamId,
    WorkerId,
    WorkloadKind,
)
from .records import (
    AnyRecord,
    AttemptEnded,
    AttemptRestored,
    AttemptStarted,
    AttemptStopping,
    GrantsChanged,
    IncarnationRetired,
    JobAccepted,
    JobCancelled,
    JobResized,
    JobRestored,
    JobSpec,
    OwnerChanged,
    TaskPlaced,
    TaskRestored,
    WorkerView,
)
from .resources import ZERO_RESOURCES, Resources

# Reason of an attempt that ended before its start was sent; it does not count as a start.
START_NOT_SENT = "start-not-sent"
# A task avoids this many of the last workers on which it failed; earlier ones may be used again.
MAX_AVOIDED = 8
# The back-off of a service task that ran this long is reset; it would only grow otherwise. A task
# that ran this long isn't what crashed its worker.
HEALTHY_RUN_SECONDS = 300.0
ENDED_STATES = frozenset({TaskState.DONE, TaskState.FAILED, TaskState.CANCELLED})


@dataclasses.dataclass(slots=True)
class Attempt:
    """A placement of a task that may still run, and whose resources are reserved.

    Parameters
    ----------
    lease_until : float
        Time at which the lease sent with the start expires, in seconds.
    changed_at : float
        Time of the last change of state, in seconds.
    epoch : int
        Epoch of the owner that placed it.
    requeue : bool
        Whether the task is queued again after a stop.
    outdated : bool
        Whether the job's specification changed after the placement.
    """

    attempt_id: AttemptId
    task_id: TaskId
    job_id: JobId
    worker_id: WorkerId
    resources: Resources
    lease_until: float
    placed_at: float
    changed_at: float
    epoch: int
    state: TaskState = TaskState.PLACED
    address: str = ""
    requeue: bool = True
    outdated: bool = False
    slots: int = 0
    connections: int = 0


@dataclasses.dataclass(slots=True)
class Task:
    """A task of a job.

    Parameters
    ----------
    queued_at : float
        Time at which it was first queued, in seconds.
    losses : int
        Workers that were lost under it, with the task as the possible cause.
    failed_at : float
        Time of the last ended attempt that counts as a failure or loss; back-off starts there.
    starts : int
        Placements, except those that ended before their start was sent.
    """

    task_id: TaskId
    job_id: JobId
    index: int
    queued_at: float
    state: TaskState = TaskState.PENDING
    attempt_id: AttemptId | None = None
    failures: int = 0
    losses: int = 0
    failed_at: float = 0.0
    starts: int = 0
    avoid: tuple[WorkerId, ...] = ()
    reason: str = ""


@dataclasses.dataclass(slots=True)
class Job:
    """An accepted job.

    Parameters
    ----------
    open_tasks : int
        Tasks that have not ended.
    """

    spec: JobSpec
    accepted_at: float
    tasks: dict[TaskId, Task] = dataclasses.field(default_factory=dict)
    next_index: int = 0
    open_tasks: int = 0
    cancelled: bool = False
    ended_at: float | None = None


class Transition(msgspec.Struct, frozen=True):
    """A change of a task's state; `attempt` is the attempt that it concerns, if any."""

    task: Task
    former: TaskState
    current: TaskState
    attempt: Attempt | None = None


class ShardState:
    """Jobs, tasks, attempts, grants, owners and retired incarnations of a shard."""

    def __init__(self, shard: ShardId) -> None:
        self.shard = shard
        self.epoch = 0
        self.owners: dict[int, OwnerChanged] = {}
        self.jobs: dict[JobId, Job] = {}
        self.tasks: dict[TaskId, Task] = {}
        self.attempts: dict[AttemptId, Attempt] = {}
        self.attempts_by_worker: dict[WorkerId, dict[AttemptId, Attempt]] = {}
        self.reserved: dict[WorkerId, Resources] = {}
        self.grants: dict[UpstreamId, dict[IncarnationId, int]] = {}
        self.retired: dict[IncarnationId, float] = {}

    def apply(self, record: AnyRecord) -> list[Transition]:
        """Change the state by one record.

        Records that refer to an unknown job, task or attempt have no effect; only `TaskRestored`
        requires that its job is known.

        Returns
        -------
        list of Transition
            The tasks whose state changed, in order.
        """
        transitions: list[Transition] = []
        _APPLIERS[type(record)](self, record, transitions)
        return transitions

    def apply_all(self, records: Iterable[AnyRecord]) -> None:
        """Change the state by records in order."""
        for record in records:
            self.apply(record)

    def get_reserved(self, worker_id: WorkerId) -> Resources:
        """Return the sum of the resources that attempts reserve on a worker."""
        return self.reserved.get(worker_id, ZERO_RESOURCES)

    def list_former_owners(self, attempt: Attempt) -> list[OwnerChanged]:
        """Return the earlier owners that may have granted a lease to an attempt."""
        return [
            owner for epoch, owner in self.owners.items() if attempt.epoch <= epoch < self.epoch
        ]

    def drop_ended_jobs(self, before: float) -> None:
        """Forget the jobs that ended before a time in seconds."""
        ended = [j for j, job in self.jobs.items() if _has_ended_before(job, before)]
        for job_id in ended:
            for task_id in self.jobs.pop(job_id).tasks:
                self.tasks.pop(task_id, None)

    def build_records(self) -> tuple[AnyRecord, ...]:
        """Return records that rebuild this state when applied to an empty one."""
        self._drop_old_owners()
        records: list[AnyRecord] = [self.owners[epoch] for epoch in sorted(self.owners)]
        records.extend(
            IncarnationRetired(at=at, incarnation=incarnation)
            for incarnation, at in self.retired.items()
        )
        for job in self.jobs.values():
            records.append(_restore_job(job))
            records.extend(self._restore_task(task) for task in job.tasks.values())
        records.extend(
            GrantsChanged(at=0.0, upstream_id=upstream, slots=dict(slots))
            for upstream, slots in self.grants.items()
        )
        return tuple(records)

    def _drop_old_owners(self) -> None:
        """Keep the owners that may have renewed a live attempt, and the current one."""
        oldest = min((a.epoch for a in self.attempts.values()), default=self.epoch)
        self.owners = {epoch: o for epoch, o in self.owners.items() if epoch >= oldest}
        needed = {owner.owner for owner in self.owners.values()}
        for slots in self.grants.values():
            needed.update(slots)
        self.retired = {i: at for i, at in self.retired.items() if i in needed}

    def _restore_task(self, task: Task) -> TaskRestored:
        attempt = self.attempts.get(task.attempt_id) if task.attempt_id else None
        restored = None
        if attempt is not None:
            restored = AttemptRestored(
                attempt_id=attempt.attempt_id,
                worker_id=attempt.worker_id,
                resources=attempt.resources,
                lease_until=attempt.lease_until,
                placed_at=attempt.placed_at,
                changed_at=attempt.changed_at,
                epoch=attempt.epoch,
                address=attempt.address,
                requeue=attempt.requeue,
                outdated=attempt.outdated,
                slots=attempt.slots,
                connections=attempt.connections,
            )
        return TaskRestored(
            at=task.queued_at,
            job_id=task.job_id,
            task_id=task.task_id,
            index=task.index,
            state=task.state,
            failures=task.failures,
            losses=task.losses,
            failed_at=task.failed_at,
            starts=task.starts,
            avoid=task.avoid,
            reason=task.reason,
            attempt=restored,
        )

    # Records

    def _apply_job_accepted(self, record: JobAccepted, transitions: list[Transition]) -> None:
        former = self.jobs.get(record.job.job_id)
        if former is not None:
            if former.ended_at is None:
                return
            for task_id in former.tasks:
                self.tasks.pop(task_id, None)
        job = Job(spec=record.job, accepted_at=record.at)
        self.jobs[record.job.job_id] = job
        self._add_tasks(job, record.job.count, record.at, transitions)

    def _apply_job_resized(self, record: JobResized, transitions: list[Transition]) -> None:
        job = self.jobs.get(record.job.job_id)
        if job is None or job.ended_at is not None:
            return
        if _is_changed(job.spec, record.job):
            for task in job.tasks.values():
                attempt = self.attempts.get(task.attempt_id) if task.attempt_id else None
                if attempt is not None:
                    attempt.outdated = True
        job.spec = record.job
        active = [task for task in job.tasks.values() if self.is_active(task)]
        self._add_tasks(job, record.job.count - len(active), record.at, transitions)
        surplus = len(active) - record.job.count
        pending = [task for task in active if task.state is TaskState.PENDING]
        for task in pending[::-1][: max(surplus, 0)]:
            task.reason = "surplus"
            self._end_task(job, task, TaskState.CANCELLED, record.at, transitions)
        # Reports pending tasks as changed, so that they are queued with the new resources.
        for task in job.tasks.values():
            if task.state is TaskState.PENDING:
                transitions.append(Transition(task, TaskState.PENDING, TaskState.PENDING))

    def is_active(self, task: Task) -> bool:
        """Return whether a task has not ended and, if stopping, will be queued again."""
        if task.state in ENDED_STATES:
            return False
        if task.state is not TaskState.STOPPING or task.attempt_id is None:
            return True
        return self.attempts[task.attempt_id].requeue

    def _add_tasks(self, job: Job, count: int, at: float, transitions: list[Transition]) -> None:
        for _ in range(count):
            task_id = TaskId(f"{job.spec.job_id}.{job.next_index}")
            task = Task(task_id=task_id, job_id=job.spec.job_id, index=job.next_index, queued_at=at)
            job.next_index += 1
            job.open_tasks += 1
            job.tasks[task_id] = task
            self.tasks[task_id] = task
            transitions.append(Transition(task, TaskState.PENDING, TaskState.PENDING))

    def _apply_job_cancelled(self, record: JobCancelled, transitions: list[Transition]) -> None:
        job = self.jobs.get(record.job_id)
        if job is None or job.ended_at is not None:
            return
        job.cancelled = True
        for task in list(job.tasks.values()):
            if task.state is TaskState.PENDING:
                task.reason = "cancelled"
                self._end_task(job, task, TaskState.CANCELLED, record.at, transitions)
            elif task.attempt_id is not None:
                self._mark_stopping(self.attempts[task.attempt_id], record.at, False, transitions)
        if job.open_tasks == 0:
            job.ended_at = record.at

    def _apply_task_placed(self, record: TaskPlaced, transitions: list[Transition]) -> None:
        job = self.jobs.get(record.job_id)
        task = self.tasks.get(record.task_id)
        if job is None or task is None or task.state is not TaskState.PENDING:
            return
        attempt = Attempt(
            attempt_id=record.attempt_id,
            task_id=record.task_id,
            job_id=record.job_id,
            worker_id=record.worker_id,
            resources=job.spec.resources,
            lease_until=record.lease_until,
            placed_at=record.at,
            changed_at=record.at,
            epoch=self.epoch,
            slots=job.spec.slots,
            connections=job.spec.connections,
        )
        task.starts += 1
        self._add_attempt(task, attempt)
        self._set_task_state(task, TaskState.PLACED, attempt, transitions)

    def _add_attempt(self, task: Task, attempt: Attempt) -> None:
        task.attempt_id = attempt.attempt_id
        self.attempts[attempt.attempt_id] = attempt
        on_worker = self.attempts_by_worker.setdefault(attempt.worker_id, {})
        on_worker[attempt.attempt_id] = attempt
        self.reserved[attempt.worker_id] = self.get_reserved(attempt.worker_id) + attempt.resources

    def _release_worker_resources(self, attempt: Attempt) -> None:
        on_worker = self.attempts_by_worker[attempt.worker_id]
        del on_worker[attempt.attempt_id]
        if on_worker:
            self.reserved[attempt.worker_id] -= attempt.resources
        else:
            del self.attempts_by_worker[attempt.worker_id]
            del self.reserved[attempt.worker_id]

    def _apply_attempt_started(self, record: AttemptStarted, transitions: list[Transition]) -> None:
        attempt = self.attempts.get(record.attempt_id)
        if attempt is None:
            return
        attempt.address = record.address
        if attempt.state is TaskState.PLACED:
            attempt.state = TaskState.RUNNING
            attempt.changed_at = record.at
            self._set_task_state(
                self.tasks[attempt.task_id], TaskState.RUNNING, attempt, transitions
            )

    def _apply_attempt_stopping(
        self, record: AttemptStopping, transitions: list[Transition]
    ) -> None:
        attempt = self.attempts.get(record.attempt_id)
        if attempt is not None:
            self._mark_stopping(attempt, record.at, record.requeue, transitions)

    def _mark_stopping(
        self, attempt: Attempt, at: float, requeue: bool, transitions: list[Transition]
    ) -> None:
        if attempt.state is TaskState.STOPPING:
            attempt.requeue = attempt.requeue and requeue
            return
        attempt.requeue = requeue and not self.jobs[attempt.job_id].cancelled
        attempt.state = TaskState.STOPPING
        attempt.changed_at = at
        self._set_task_state(self.tasks[attempt.task_id], TaskState.STOPPING, attempt, transitions)

    def _apply_attempt_ended(self, record: AttemptEnded, transitions: list[Transition]) -> None:
        attempt = self.attempts.pop(record.attempt_id, None)
        if attempt is None:
            return
        self._release_worker_resources(attempt)
        self.grants.pop(UpstreamId(attempt.attempt_id), None)
        job = self.jobs[attempt.job_id]
        task = self.tasks[attempt.task_id]
        task.attempt_id = None
        task.reason = record.reason
        if record.reason == START_NOT_SENT:
            task.starts -= 1
        if record.count_as_failure or record.count_as_loss:
            ran = record.at - attempt.changed_at if attempt.state is TaskState.RUNNING else 0.0
            if job.spec.kind is WorkloadKind.SERVICE and ran > HEALTHY_RUN_SECONDS:
                task.failures = task.losses = 0
            task.failures += record.count_as_failure
            task.losses += record.count_as_loss
            task.failed_at = record.at
            task.avoid = (*task.avoid, attempt.worker_id)[-MAX_AVOIDED:]
        if record.state is TaskState.PENDING and not job.cancelled:
            self._set_task_state(task, TaskState.PENDING, attempt, transitions)
        else:
            ended = record.state if record.state in ENDED_STATES else TaskState.CANCELLED
            self._end_task(job, task, ended, record.at, transitions, attempt)
        if job.spec.kind is WorkloadKind.GANG and not job.cancelled:
            self._stop_gang(job, task, record.at, transitions)

    def _stop_gang(self, job: Job, ended: Task, at: float, transitions: list[Transition]) -> None:
        """Stop the other members of a gang after one ended without success.

        If the ended member is requeued, so are they. If it failed or was cancelled, they are not,
        and pending members fail. Members that are done stay done, so that completed work is not
        repeated.
        """
        if ended.state is TaskState.DONE:
            return
        requeue = ended.state is TaskState.PENDING
        for task in list(job.tasks.values()):
            if task.attempt_id is not None:
                self._mark_stopping(self.attempts[task.attempt_id], at, requeue, transitions)
            elif task.state is TaskState.PENDING and not requeue:
                task.reason = "gang-member-failed"
                self._end_task(job, task, TaskState.FAILED, at, transitions)

    def _end_task(
        self,
        job: Job,
        task: Task,
        state: TaskState,
        at: float,
        transitions: list[Transition],
        attempt: Attempt | None = None,
    ) -> None:
        self._set_task_state(task, state, attempt, transitions)
        job.open_tasks -= 1
        if job.spec.kind is WorkloadKind.SERVICE:
            # A service replaces its tasks indefinitely; ended ones would accumulate.
            del job.tasks[task.task_id]
            del self.tasks[task.task_id]
            if job.open_tasks == 0 and job.cancelled:
                job.ended_at = at
        elif job.open_tasks == 0:
            job.ended_at = at

    def _set_task_state(
        self,
        task: Task,
        state: TaskState,
        attempt: Attempt | None,
        transitions: list[Transition],
    ) -> None:
        transitions.append(Transition(task, task.state, state, attempt))
        task.state = state

    def _apply_grants_changed(self, record: GrantsChanged, transitions: list[Transition]) -> None:
        slots = {holder: amount for holder, amount in record.slots.items() if amount > 0}
        if slots:
            self.grants[record.upstream_id] = slots
        else:
            self.grants.pop(record.upstream_id, None)

    def _apply_incarnation_retired(
        self, record: IncarnationRetired, transitions: list[Transition]
    ) -> None:
        self.retired.setdefault(record.incarnation, record.at)

    def _apply_owner_changed(self, record: OwnerChanged, transitions: list[Transition]) -> None:
        self.epoch = record.epoch
        self.owners[record.epoch] = record

    def _apply_job_restored(self, record: JobRestored, transitions: list[Transition]) -> None:
        self.jobs[record.job.job_id] = Job(
            spec=record.job,
            accepted_at=record.at,
            next_index=record.next_index,
            cancelled=record.cancelled,
            ended_at=record.ended_at,
        )

    def _apply_task_restored(self, record: TaskRestored, transitions: list[Transition]) -> None:
        job = self.jobs[record.job_id]
        task = Task(
            task_id=record.task_id,
            job_id=record.job_id,
            index=record.index,
            queued_at=record.at,
            state=record.state,
            failures=record.failures,
            losses=record.losses,
            failed_at=record.failed_at,
            starts=record.starts,
            avoid=record.avoid,
            reason=record.reason,
        )
        job.tasks[task.task_id] = task
        self.tasks[task.task_id] = task
        if task.state not in ENDED_STATES:
            job.open_tasks += 1
        if record.attempt is None:
            return
        values = msgspec.structs.asdict(record.attempt)
        attempt = Attempt(task_id=task.task_id, job_id=task.job_id, state=record.state, **values)
        self._add_attempt(task, attempt)


_APPLIERS: dict[type, Callable[[ShardState, Any, list[Transition]], None]] = {
    JobAccepted: ShardState._apply_job_accepted,
    JobResized: ShardState._apply_job_resized,
    JobCancelled: ShardState._apply_job_cancelled,
    TaskPlaced: ShardState._apply_task_placed,
    AttemptStarted: ShardState._apply_attempt_started,
    AttemptStopping: ShardState._apply_attempt_stopping,
    AttemptEnded: ShardState._apply_attempt_ended,
    GrantsChanged: ShardState._apply_grants_changed,
    IncarnationRetired: ShardState._apply_incarnation_retired,
    OwnerChanged: ShardState._apply_owner_changed,
    JobRestored: ShardState._apply_job_restored,
    TaskRestored: ShardState._apply_task_restored,
}


def _has_ended_before(job: Job, before: float) -> bool:
    return job.ended_at is not None and job.ended_at < before


def _is_changed(former: JobSpec, current: JobSpec) -> bool:
    """Return whether running tasks must be replaced to follow a new specification."""
    return (former.resources, former.slots, former.connections, former.parameters) != (
        current.resources,
        current.slots,
        current.connections,
        current.parameters,
    )


def _restore_job(job: Job) -> JobRestored:
    return JobRestored(
        at=job.accepted_at,
        job=job.spec,
        next_index=job.next_index,
        cancelled=job.cancelled,
        ended_at=job.ended_at,
    )


def find_job_shard(job_id: JobId, shards: int) -> ShardId:
    """Return the shard of a job."""
    return ShardId(xxhash.xxh64_intdigest(job_id.encode()) % shards)


def find_worker_shard(worker: WorkerView, shards: int) -> ShardId:
    """Return the shard of a worker; all workers of a rack are in one shard."""
    return ShardId(xxhash.xxh64_intdigest(worker.rack.encode()) % shards)
