"""Effects, the operations that the core requests from its adapters.

Effects are data. The runtime hands each to the adapter that is registered for its type; adapters
report back with events.
"""

from __future__ import annotations

import enum
from typing import TypeAlias

import msgspec

from .events import ConfigurationChange, Ticket
from .identifiers import (
    AttemptId,
    ConfigurationVersion,
    IncarnationId,
    RequestId,
    ShardId,
    TransactionId,
    UpstreamId,
    WorkerId,
)
from .messages import Digest, GrantReport, GrantUpdate
from .records import AnyRecord, ShardHead, ShardSnapshot
from .resources import Resources


class Effect(msgspec.Struct, frozen=True, kw_only=True):
    """Base of all effects."""


class LogDecision(Effect, frozen=True, kw_only=True):
    """Write one structured log line for a routing or placement decision."""

    decision: str
    fields: dict[str, object]


class CountMetric(Effect, frozen=True, kw_only=True):
    """Add to a counter or observe a value in a histogram (metric names end in their unit)."""

    name: str
    value: float = 1.0
    labels: dict[str, str] = {}


# Membership


class SendHeartbeat(Effect, frozen=True, kw_only=True):
    """Send a digest to the peers at these addresses."""

    addresses: tuple[str, ...]
    digest: Digest
    members: dict[IncarnationId, str]


class ListPlatform(Effect, frozen=True, kw_only=True):
    """Read the platform's instance list."""


class StopProcess(Effect, frozen=True, kw_only=True):
    """The graceful shutdown is complete."""


class CloseListeners(Effect, frozen=True, kw_only=True):
    """Accept no new connections."""


# Configuration


class CommitConfiguration(Effect, frozen=True, kw_only=True):
    """Commit a change if the head row is at ``change.version - 1``."""

    ticket: Ticket
    change: ConfigurationChange


class PushConfiguration(Effect, frozen=True, kw_only=True):
    """Send a committed change to the peers, then report `ConfigurationPushFinished`."""

    ticket: Ticket
    addresses: tuple[str, ...]
    change: ConfigurationChange


class PullConfiguration(Effect, frozen=True, kw_only=True):
    """Request the changes after a version from a peer."""

    address: str
    after: ConfigurationVersion


class LoadConfiguration(Effect, frozen=True, kw_only=True):
    """Read the changes after a version from the table."""

    after: ConfigurationVersion


class AnswerConfiguration(Effect, frozen=True, kw_only=True):
    """Tell an operator that a change is accepted, and how many peers confirmed it.

    `confirmed_by` is None for a repeated change, whose confirmations are not stored.
    """

    ticket: Ticket
    version: ConfigurationVersion
    change_id: str
    repeated: bool
    confirmed_by: int | None = None


# Answers


class RefuseCall(Effect, frozen=True, kw_only=True):
    """Answer a pending call with a typed failure.

    Parameters
    ----------
    error : Exception
        A `LavenderhookError`.
    """

    ticket: Ticket
    error: Exception


class AnswerView(Effect, frozen=True, kw_only=True):
    """Answer a query with plain data."""

    ticket: Ticket
    view: object


class NotRunReason(enum.Enum):
    """Why a request was certainly not run."""

    QUEUE_FULL = "queue-full"
    DEADLINE = "deadline-before-start"
    NO_SERVICE = "no-such-service"
    NO_UPSTREAM = "no-upstream"
    STORE_UNAVAILABLE = "store-unavailable"
    SHUTTING_DOWN = "shutting-down"
    NOT_READY = "not-ready"
    NOT_SENT = "not-sent"
    REFUSED_BY_UPSTREAM = "refused-by-upstream"
    REQUEST_ID_REUSED = "request-id-reused"
    ABANDONED = "abandoned"


class UnknownReason(enum.Enum):
    """Why it is not known whether a request was run."""

    TIMEOUT = "timeout"
    ERROR_STATUS = "error-status"  # an upstream answered with one, and no later attempt succeeded
    CONNECTION_LOST = "connection-lost"
    IN_PROGRESS = "in-progress"
    PEER_LOST = "peer-lost"
    TRUNCATED = "truncated-answer"
    EARLIER_SEND = "earlier-send"


class Completed(msgspec.Struct, frozen=True, kw_only=True):
    """The adapter holds the upstream's whole response under the ticket."""

    upstream_id: UpstreamId | None = None


class NotRun(msgspec.Struct, frozen=True, kw_only=True):
    """The request certainly did not run and may be sent again."""

    reason: NotRunReason


class Unknown(msgspec.Struct, frozen=True, kw_only=True):
    """The request may have run."""

    reason: UnknownReason


class Stored(msgspec.Struct, frozen=True, kw_only=True):
    """An earlier request with the same id has this stored outcome; the adapter read it."""


Outcome: TypeAlias = Completed | NotRun | Unknown | Stored


class AnswerCaller(Effect, frozen=True, kw_only=True):
    """Give the caller, or the peer that forwarded the request, its outcome."""

    ticket: Ticket
    outcome: Outcome


class DispatchToUpstream(Effect, frozen=True, kw_only=True):
    """Send a request to an upstream."""

    ticket: Ticket
    request_id: RequestId
    upstream_id: UpstreamId
    address: str
    deadline: float


class ForwardToPeer(Effect, frozen=True, kw_only=True):
    """Forward a request to a peer that has a free slot."""

    ticket: Ticket
    peer: IncarnationId
    address: str
    deadline: float


class ClaimRequest(Effect, frozen=True, kw_only=True):
    """Insert the claim row of a non-idempotent request; claims are committed in batches."""

    ticket: Ticket
    claim_id: str
    caller: str
    request_id: RequestId
    deadline: float


class RecordOutcome(Effect, frozen=True, kw_only=True):
    """Store the outcome of a claimed request, with its answer if it is small enough."""

    ticket: Ticket
    claim_id: str
    caller: str
    request_id: RequestId
    outcome: Outcome


class ReleaseClaim(Effect, frozen=True, kw_only=True):
    """Delete a claim whose request was certainly never dispatched."""

    claim_id: str
    caller: str
    request_id: RequestId


class SendGrantReport(Effect, frozen=True, kw_only=True):
    """Report limits and demand to the owner of a shard."""

    address: str
    report: GrantReport


class SendGrantUpdate(Effect, frozen=True, kw_only=True):
    """Send a holder its grants."""

    address: str
    update: GrantUpdate


# Placement


class ForwardOperation(Effect, frozen=True, kw_only=True):
    """Forward the pending call to the peer that owns the shard and relay its answer."""

    ticket: Ticket
    peer: IncarnationId
    address: str


class AnswerSubmission(Effect, frozen=True, kw_only=True):
    """Tell the caller that its job is durable, now or since an earlier submission."""

    ticket: Ticket
    job_id: str
    repeated: bool


class AnswerCancellation(Effect, frozen=True, kw_only=True):
    """Tell the caller how many tasks will not run, are stopping or have ended."""

    ticket: Ticket
    job_id: str
    not_run: int
    stopping: int
    ended: int


class LoadShard(Effect, frozen=True, kw_only=True):
    """Read a shard's head, snapshot and log."""

    shard: ShardId


class CommitShard(Effect, frozen=True, kw_only=True):
    """Commit a batch: check the head's version, write the head, insert the log row.

    The adapter sends the same transaction until its result is definite. The log row's key holds
    ``head.next_log - 1``. Rows in `delete_logs` are covered by the snapshot and deleted.
    """

    shard: ShardId
    transaction_id: TransactionId
    expected_version: int
    head: ShardHead
    records: tuple[AnyRecord, ...]
    delete_logs: tuple[int, ...] = ()


class StoreSnapshot(Effect, frozen=True, kw_only=True):
    """Put a snapshot into the object store."""

    snapshot: ShardSnapshot


class TaskStart(msgspec.Struct, frozen=True, kw_only=True):
    """One task in a start call."""

    attempt_id: AttemptId
    task_id: str
    job_id: str
    kind: str
    resources: Resources
    lease_until: float
    command: dict[str, object]


class StartTasks(Effect, frozen=True, kw_only=True):
    """Start attempts on a worker."""

    worker_id: WorkerId
    address: str
    starts: tuple[TaskStart, ...]


class RenewLeases(Effect, frozen=True, kw_only=True):
    """Extend the leases of attempts on a worker."""

    worker_id: WorkerId
    address: str
    attempts: tuple[AttemptId, ...]
    lease_until: float


class StopTasks(Effect, frozen=True, kw_only=True):
    """Stop attempts on a worker, which records the stop of unknown ones to prevent later starts."""

    worker_id: WorkerId
    address: str
    attempts: tuple[AttemptId, ...]
    checkpoint: bool = False


class ThrottleTasks(Effect, frozen=True, kw_only=True):
    """Limit attempts to their declared processors.

    `processors` are the declared thousandths of a processor of each attempt, in order.
    """

    worker_id: WorkerId
    address: str
    attempts: tuple[AttemptId, ...]
    processors: tuple[int, ...] = ()


class ForgetTasks(Effect, frozen=True, kw_only=True):
    """Acknowledge ended attempts, so that the worker drops them."""

    worker_id: WorkerId
    address: str
    attempts: tuple[AttemptId, ...]


class PollWorker(Effect, frozen=True, kw_only=True):
    """Read the attempts that a worker knows."""

    worker_id: WorkerId
    address: str
