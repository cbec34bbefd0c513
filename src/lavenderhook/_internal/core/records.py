"""Records of the shard log, and views of the platform's lists.

The state of a shard results from applying these records in log order, so each record carries
everything that its application needs; nothing is looked up in the configuration while replaying.
"""

from __future__ import annotations

from typing import TypeAlias

import msgspec

from .identifiers import (
    AttemptId,
    AvailabilityZone,
    CallerName,
    IncarnationId,
    InstanceName,
    JobId,
    RackId,
    ShardId,
    TaskId,
    TaskState,
    TeamName,
    TransactionId,
    UpstreamId,
    WorkerId,
    WorkloadKind,
)
from .resources import Resources


class JobSpec(msgspec.Struct, frozen=True, kw_only=True):
    """A job as it was accepted: one declaration's or submission's tasks."""

    job_id: JobId
    kind: WorkloadKind
    name: str
    caller: CallerName
    team: TeamName
    labels: dict[str, str]
    resources: Resources
    count: int
    run_seconds: float
    slots: int = 8
    connections: int = 64
    idempotent: bool = True
    parameters: dict[str, str | int | float | bool] = {}
    submitted_at: float = 0.0


class Record(msgspec.Struct, frozen=True, tag=True, kw_only=True):
    """Base of all log records; `at` is the deciding owner's time in seconds."""

    at: float


class JobAccepted(Record, frozen=True, tag=True, kw_only=True):
    """A job was made durable; its tasks are pending."""

    job: JobSpec


class JobResized(Record, frozen=True, tag=True, kw_only=True):
    """The specification of a service changed, for example its number of tasks."""

    job: JobSpec


class JobCancelled(Record, frozen=True, tag=True, kw_only=True):
    """A job was cancelled; pending tasks end, running ones are stopped."""

    job_id: JobId


class TaskPlaced(Record, frozen=True, tag=True, kw_only=True):
    """An attempt was placed on a worker; its resources are reserved there.

    `lease_until` is the lease with which the start is sent, in seconds of wall-clock time.
    """

    job_id: JobId
    task_id: TaskId
    attempt_id: AttemptId
    worker_id: WorkerId
    lease_until: float


class AttemptStarted(Record, frozen=True, tag=True, kw_only=True):
    """The worker confirmed that the attempt runs; `address` is set for services."""

    attempt_id: AttemptId
    address: str = ""


class AttemptStopping(Record, frozen=True, tag=True, kw_only=True):
    """The attempt must stop: cancelled, preempted, drained or scaled down."""

    attempt_id: AttemptId
    requeue: bool


class AttemptEnded(Record, frozen=True, tag=True, kw_only=True):
    """The attempt provably cannot run any more; its resources are free.

    `state` is DONE, FAILED or CANCELLED, or PENDING if the task is queued again. With
    `count_as_loss`, its worker was lost and the task may be the cause.
    """

    attempt_id: AttemptId
    state: TaskState
    reason: str
    count_as_failure: bool = False
    count_as_loss: bool = False


class GrantsChanged(Record, frozen=True, tag=True, kw_only=True):
    """Slots of an upstream that each entry instance holds from now on."""

    upstream_id: UpstreamId
    slots: dict[IncarnationId, int]


class IncarnationRetired(Record, frozen=True, tag=True, kw_only=True):
    """The platform's list showed an entry instance gone at `at`."""

    incarnation: IncarnationId


class OwnerChanged(Record, frozen=True, tag=True, kw_only=True):
    """An instance took over the shard at `epoch`.

    A later owner must know every owner that may have renewed a lease, not only the last one that
    the head row names.
    """

    owner: IncarnationId
    epoch: int


class JobRestored(Record, frozen=True, tag=True, kw_only=True):
    """A job in a snapshot, without its tasks; `at` is when it was accepted."""

    job: JobSpec
    next_index: int
    cancelled: bool = False
    ended_at: float | None = None


class TaskRestored(Record, frozen=True, tag=True, kw_only=True):
    """A task in a snapshot, with its live attempt if it has one; `at` is when it was queued."""

    job_id: JobId
    task_id: TaskId
    index: int
    state: TaskState
    failures: int = 0
    losses: int = 0
    starts: int = 0
    avoid: tuple[WorkerId, ...] = ()
    failed_at: float = 0.0
    reason: str = ""
    attempt: AttemptRestored | None = None


class AttemptRestored(msgspec.Struct, frozen=True, kw_only=True):
    """The live attempt of a task in a snapshot."""

    attempt_id: AttemptId
    worker_id: WorkerId
    resources: Resources
    lease_until: float
    placed_at: float
    changed_at: float
    epoch: int
    address: str = ""
    requeue: bool = True
    outdated: bool = False
    slots: int = 0
    connections: int = 0


AnyRecord: TypeAlias = (
    JobAccepted
    | JobResized
    | JobCancelled
    | TaskPlaced
    | AttemptStarted
    | AttemptStopping
    | AttemptEnded
    | GrantsChanged
    | IncarnationRetired
    | OwnerChanged
    | JobRestored
    | TaskRestored
)


class ShardHead(msgspec.Struct, frozen=True, kw_only=True):
    """The row that names a shard's owner and fences stale owners.

    Parameters
    ----------
    owner : IncarnationId
        Incarnation of the owner, or empty after a hand-over.
    epoch : int
        Number of ownership changes.
    next_log : int
        Number of the next log row.
    transaction_id : TransactionId
        Last committed transaction, which shows whether a write with a lost response took effect.
    snapshot_log : int
        Log number up to which the snapshot object covers the log; 0 without a snapshot.
    """

    owner: IncarnationId
    epoch: int
    next_log: int
    transaction_id: TransactionId
    snapshot_log: int = 0


class WorkerView(msgspec.Struct, frozen=True, kw_only=True):
    """A worker as the platform lists it."""

    worker_id: WorkerId
    address: str
    availability_zone: AvailabilityZone
    rack: RackId
    capacity: Resources
    labels: dict[str, str] = {}
    leaving: bool = False


class InstanceView(msgspec.Struct, frozen=True, kw_only=True):
    """An entry instance as the platform lists it."""

    name: InstanceName
    incarnation: IncarnationId
    address: str
    availability_zone: AvailabilityZone
    leaving: bool = False


class UpstreamView(msgspec.Struct, frozen=True, kw_only=True):
    """An upstream and the slots that one holder may use on it."""

    upstream_id: UpstreamId
    service: str
    labels: dict[str, str]
    address: str
    worker_id: WorkerId
    availability_zone: AvailabilityZone
    slots: int
    connections: int
    leaving: bool = False


class AttemptReport(msgspec.Struct, frozen=True, kw_only=True):
    """A worker's report on one attempt.

    `state` is one of running, done, failed, stopped, refused.
    """

    attempt_id: AttemptId
    state: str
    address: str = ""
    exit_code: int | None = None
    reason: str = ""
    used: Resources | None = None


class ShardSnapshot(msgspec.Struct, frozen=True, kw_only=True):
    """A shard's state after log row `log_number`, as the records that rebuild it."""

    shard: ShardId
    log_number: int
    records: tuple[AnyRecord, ...]
