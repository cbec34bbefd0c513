"""Events of an entry instance, the inputs of the core.

Each event carries `now`, the time in seconds at which the runtime saw it, because the core reads
no clock. Tickets are numbers that an adapter assigns to a pending call; the adapter keeps bodies
and connections under them.
"""

from __future__ import annotations

import enum
from typing import NewType, TypeAlias

import msgspec

from .declarations import AnyDeclaration
from .identifiers import (
    AttemptId,
    CallerName,
    ConfigurationVersion,
    IncarnationId,
    JobId,
    PriorityClass,
    RequestId,
    ShardId,
    TeamName,
    TransactionId,
    UpstreamId,
    WorkerId,
)
from .messages import Digest, GrantReport, GrantUpdate
from .records import (
    AnyRecord,
    AttemptReport,
    InstanceView,
    JobSpec,
    ShardHead,
    ShardSnapshot,
    WorkerView,
)

Ticket = NewType("Ticket", int)


class Event(msgspec.Struct, frozen=True, kw_only=True):
    """Base of all events."""

    now: float


# Time and life cycle


class TimerFired(Event, frozen=True, kw_only=True):
    """A subscription of the timer service is due."""

    name: str


class ShutdownRequested(Event, frozen=True, kw_only=True):
    """The process was asked to stop gracefully."""


# Membership


class HeartbeatReceived(Event, frozen=True, kw_only=True):
    """A peer's digest arrived, in its heartbeat or in its reply to one of this instance."""

    digest: Digest
    members: dict[IncarnationId, str] = {}


class PeerUnreachable(Event, frozen=True, kw_only=True):
    """A heartbeat to an address failed."""

    address: str


class PlatformListed(Event, frozen=True, kw_only=True):
    """The platform's instance list was read: entry instances and workers.

    `requested_at` is when the call was sent: a list that was requested before a pause of the
    process says nothing about the time since. `unreadable` has the ids and incarnations of entries
    that could not be read, and an empty string for an unknown one: what they name is not gone.
    """

    instances: tuple[InstanceView, ...]
    workers: tuple[WorkerView, ...]
    requested_at: float = float("inf")
    unreadable: tuple[str, ...] = ()


class PlatformListUnavailable(Event, frozen=True, kw_only=True):
    """The platform's instance list could not be read; `requested_at` as in `PlatformListed`."""

    requested_at: float = float("inf")


# Configuration


class ConfigurationChange(msgspec.Struct, frozen=True, kw_only=True):
    """One accepted change: declarations put and keys deleted, at one version."""

    version: ConfigurationVersion
    change_id: str
    author: str
    at: float
    puts: tuple[AnyDeclaration, ...] = ()
    deletes: tuple[tuple[str, str], ...] = ()


class ConfigurationProposed(Event, frozen=True, kw_only=True):
    """An operator asks for a change that is based on `expected` (None: the latest)."""

    ticket: Ticket
    change_id: str
    author: str
    expected: ConfigurationVersion | None
    puts: tuple[AnyDeclaration, ...]
    deletes: tuple[tuple[str, str], ...]


class ConfigurationCommitted(Event, frozen=True, kw_only=True):
    """A proposed change was committed."""

    ticket: Ticket
    change: ConfigurationChange


class ConfigurationRefused(Event, frozen=True, kw_only=True):
    """A proposed change was certainly not committed.

    `actual` is the version that won, or None if the store was unavailable.
    """

    ticket: Ticket
    expected: ConfigurationVersion
    actual: ConfigurationVersion | None


class ConfigurationUncertain(Event, frozen=True, kw_only=True):
    """The result of a proposed change could not be determined in time."""

    ticket: Ticket


class ConfigurationPushFinished(Event, frozen=True, kw_only=True):
    """The pushes of a change to the peers finished; `reached` peers confirmed it."""

    ticket: Ticket
    version: ConfigurationVersion
    reached: int


class ConfigurationReceived(Event, frozen=True, kw_only=True):
    """Changes arrived from the table or a peer, oldest first.

    `complete` means that they start at version 1; otherwise they continue from the version that
    was requested. `from_table` means that they come from the table and not from a peer. `head` is
    the latest version that the sender knows.
    """

    changes: tuple[ConfigurationChange, ...]
    complete: bool
    from_table: bool
    head: ConfigurationVersion


class ConfigurationUnavailable(Event, frozen=True, kw_only=True):
    """The table could not be read."""


# Requests


class RequestHead(msgspec.Struct, frozen=True, kw_only=True):
    """The attributes of a request that routing uses.

    Parameters
    ----------
    ticket : Ticket
        The adapter's number for the pending call.
    deadline : float
        Absolute time in seconds.
    forwarded_by : IncarnationId or None
        The peer that forwarded it; such a request is never forwarded or retried again.
    first_send : bool
        Whether the caller states that it never sent this request id before. Without that, a
        non-idempotent request whose claim could not be read may have run after an earlier send.
    """

    ticket: Ticket
    request_id: RequestId
    caller: CallerName
    service: str
    labels: dict[str, str]
    idempotent: bool
    deadline: float
    priority: PriorityClass
    forwarded_by: IncarnationId | None = None
    first_send: bool = False


class RequestArrived(Event, frozen=True, kw_only=True):
    """A request was read completely from a caller or a peer."""

    head: RequestHead


class RequestAbandoned(Event, frozen=True, kw_only=True):
    """The caller closed its connection before the answer."""

    ticket: Ticket


class UpstreamAnswered(Event, frozen=True, kw_only=True):
    """An upstream's whole response was read."""

    ticket: Ticket
    upstream_id: UpstreamId
    status: int
    not_run: bool
    leaving: bool


class UpstreamFailed(Event, frozen=True, kw_only=True):
    """The exchange with an upstream failed or timed out.

    `sent` is False only if no byte of the request can have reached the upstream. `timed_out` means
    that the upstream may still be working on it; `UpstreamReleased` follows.
    """

    ticket: Ticket
    upstream_id: UpstreamId
    sent: bool
    timed_out: bool
    failure: str


class UpstreamReleased(Event, frozen=True, kw_only=True):
    """After a timeout, an upstream answered, its connection ended or the quarantine passed."""

    ticket: Ticket
    upstream_id: UpstreamId


class PeerOutcome(enum.Enum):
    """Outcome that a peer reports for a forwarded request."""

    COMPLETED = "completed"
    NOT_RUN = "not-run"
    UNKNOWN = "unknown"


class PeerAnswered(Event, frozen=True, kw_only=True):
    """A peer answered a forwarded request; the body of a completed one is with the adapter."""

    ticket: Ticket
    peer: IncarnationId
    outcome: PeerOutcome
    status: int
    reason: str = ""
    free_slots: int = 0


class PeerFailed(Event, frozen=True, kw_only=True):
    """The exchange with a peer failed; `sent` as in `UpstreamFailed`."""

    ticket: Ticket
    peer: IncarnationId
    sent: bool
    failure: str


class ClaimState(enum.Enum):
    """What the table says about a request id."""

    CLAIMED = "claimed"  # by this claim: the request may be dispatched
    IN_PROGRESS = "in-progress"  # by another claim without an outcome
    RECORDED = "recorded"  # an outcome is stored
    DIFFERENT = "different"  # the id was used with other content
    UNAVAILABLE = "unavailable"  # the store is unavailable


class ClaimResolved(Event, frozen=True, kw_only=True):
    """The claim of a non-idempotent request was decided."""

    ticket: Ticket
    state: ClaimState


class OutcomeRecorded(Event, frozen=True, kw_only=True):
    """The outcome of a claimed request is durable, or with ``durable=False`` was not stored."""

    ticket: Ticket
    durable: bool


class GrantUpdateReceived(Event, frozen=True, kw_only=True):
    """The owner of a shard sent this instance's grants."""

    update: GrantUpdate


class GrantReportReceived(Event, frozen=True, kw_only=True):
    """A holder reported to this instance as the owner of a shard."""

    report: GrantReport


# Placement


class JobSubmitted(Event, frozen=True, kw_only=True):
    """A caller or operator submits a job; `job.job_id` makes it idempotent."""

    ticket: Ticket
    job: JobSpec
    forwarded: bool = False


class JobCancelRequested(Event, frozen=True, kw_only=True):
    """A caller cancels a job."""

    ticket: Ticket
    job_id: JobId
    caller: CallerName
    team: TeamName
    forwarded: bool = False


class QueryKind(enum.Enum):
    """Kind of view that a query requests."""

    JOB = "job"
    JOBS = "jobs"
    QUEUE = "queue"
    WORKERS = "workers"
    INSTANCES = "instances"
    CONFIGURATION = "configuration"
    HISTORY = "history"
    EXPLAIN = "explain"
    SUMMARY = "summary"


class QueryReceived(Event, frozen=True, kw_only=True):
    """A caller or an operator requests a view; `caller` and `team` limit what it may show.

    ``team=None`` marks an operator, who sees everything.
    """

    ticket: Ticket
    kind: QueryKind
    key: str
    caller: CallerName
    team: TeamName | None
    forwarded: bool = False


class ShardLoaded(Event, frozen=True, kw_only=True):
    """A shard was read from the table and the object store.

    `head` is None if the shard does not exist yet; `version` is its row version (0 then).
    """

    shard: ShardId
    head: ShardHead | None
    version: int
    snapshot: ShardSnapshot | None
    batches: tuple[tuple[AnyRecord, ...], ...]


class ShardLoadFailed(Event, frozen=True, kw_only=True):
    """A shard could not be read."""

    shard: ShardId


class CommitSucceeded(Event, frozen=True, kw_only=True):
    """A transaction on a shard's head took effect; `version` is the head's new row version."""

    shard: ShardId
    transaction_id: TransactionId
    version: int


class CommitConflicted(Event, frozen=True, kw_only=True):
    """A transaction did not and cannot take effect: another owner committed."""

    shard: ShardId
    transaction_id: TransactionId


class CommitDelayed(Event, frozen=True, kw_only=True):
    """The result of a transaction is not known yet; the adapter keeps trying."""

    shard: ShardId
    transaction_id: TransactionId


class SnapshotStored(Event, frozen=True, kw_only=True):
    """A snapshot is in the object store."""

    shard: ShardId
    log_number: int


class AttemptsReported(Event, frozen=True, kw_only=True):
    """A worker answered a start or a stop, or was polled.

    `complete` means that `reports` lists every attempt that the worker knows. `requested_at` is
    when the call was sent, so that an attempt started later is not taken as missing.
    """

    worker_id: WorkerId
    reports: tuple[AttemptReport, ...]
    complete: bool
    requested_at: float


class LeasesRenewed(Event, frozen=True, kw_only=True):
    """A worker confirmed the renewal of these leases; others in the call are unknown to it."""

    worker_id: WorkerId
    attempts: tuple[AttemptId, ...]
    unknown: tuple[AttemptId, ...]


class WorkerUnreachable(Event, frozen=True, kw_only=True):
    """A call to a worker failed; whether it took effect is unknown."""

    worker_id: WorkerId
    attempts: tuple[AttemptId, ...]
    operation: str


AnyEvent: TypeAlias = Event
