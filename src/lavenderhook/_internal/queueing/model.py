"""Submissions, their steps, the queues that they arrive in, and the workers that run them."""

from __future__ import annotations

import enum
import math
from typing import NamedTuple, NewType

import msgspec

from ..core.identifiers import AvailabilityZone, ServiceName, WorkerId

SubmissionId = NewType("SubmissionId", str)
FencingToken = NewType("FencingToken", int)  # one for each owner; increases
CommandToken = NewType("CommandToken", int)  # compared by workers; see `compute_command_token`
RunNumber = NewType("RunNumber", int)  # increases with each start of a task
TicketId = NewType("TicketId", str)
OrganisationName = NewType("OrganisationName", str)

# A result is of no use to the caller once this multiple of the time from when it was due to its
# objective has passed.
USELESS_AFTER_OBJECTIVES = 3.0


class StepId(NamedTuple):
    """One occurrence of one step of a submission."""

    submission: SubmissionId
    occurrence: int
    step: int

    def __str__(self) -> str:
        return ".".join(map(str, tuple(self)))


class TaskKey(NamedTuple):
    """One task of a step."""

    submission: SubmissionId
    occurrence: int
    step: int
    index: int  # type: ignore[assignment]  # hides the tuple's method, which nothing calls

    def __str__(self) -> str:
        return ".".join(map(str, tuple(self)))

    @property
    def step_id(self) -> StepId:
        """Step that the task belongs to."""
        return StepId(self.submission, self.occurrence, self.step)


class SubmissionState(enum.Enum):
    """State of a submission as its caller sees it."""

    QUEUED = "queued"
    RUNNING = "running"
    COMPLETED = "completed"
    FAILED = "failed"
    CANCELLED = "cancelled"


class RunOutcome(enum.Enum):
    """How a run of a task ended."""

    DONE = "done"
    FAILED = "failed"
    STOPPED = "stopped"
    LAPSED = "lapsed"  # its lease expired
    GANG_BROKEN = "gang-broken"
    GANG_INCOMPLETE = "gang-incomplete"


class RunState(enum.Enum):
    """What the owner knows of a run that has not ended."""

    PLANNED = "planned"  # not commanded before the store holds its number
    STARTING = "starting"  # the start command has not been answered
    RUNNING = "running"
    STOPPING = "stopping"


class WorkerState(enum.Enum):
    """State of a worker in the platform's list."""

    READY = "ready"
    DRAINING = "draining"


class Resources(msgspec.Struct, frozen=True):
    """Amounts of resources; processors are in thousandths."""

    processors: int = 0
    memory_mb: int = 0
    accelerators: int = 0


class Placement(msgspec.Struct, frozen=True, kw_only=True, omit_defaults=True):
    """Constraints of a step on the workers that run it; both racks are only preferred."""

    label: str = ""
    data_rack: str = ""
    single_rack: bool = False
    most_per_worker: int = 0


class StepSpec(msgspec.Struct, frozen=True, kw_only=True, omit_defaults=True):
    """A step of `count` identical tasks.

    Parameters
    ----------
    allows_copies : bool
        Several runs of a task may be active at the same time.
    is_filler : bool
        The tasks need no free processors, and the processors that they use aren't counted.
    """

    count: int = 1
    resources: Resources = Resources()
    estimate_seconds: float = 0.0
    after: tuple[int, ...] = ()
    placement: Placement = Placement()
    is_gang: bool = False
    allows_copies: bool = False
    is_service: bool = False
    has_checkpoints: bool = False
    image: str = ""
    latency_target_ms: int = 0
    is_filler: bool = False
    most_unavailable: int = 0

    @property
    def expected_seconds(self) -> float:
        """Expected duration of a task; infinite for a service."""
        return math.inf if self.is_service else self.estimate_seconds


class AdviceTerms(msgspec.Struct, frozen=True):
    """Duration of a call to the advisory service, and validity of its tickets."""

    decision_seconds: float
    seconds_per_worker: float
    validity_seconds: float


class QueueTerms(msgspec.Struct, frozen=True, kw_only=True):
    """Settings of a queue that govern its submissions.

    Parameters
    ----------
    priority : int
        Lower values come first; 0 is the lowest.
    slack_factor, latency_seconds : float
        The objective is `slack_factor` times the critical path plus `latency_seconds`.
    """

    name: str
    service: ServiceName
    priority: int = 0
    most_attempts: int = 1
    slack_factor: float = 1.0
    latency_seconds: float = 1.0
    advice: AdviceTerms | None = None


class Submission(msgspec.Struct, frozen=True, kw_only=True, omit_defaults=True):
    """A submission as it is stored; it carries the terms of its queue.

    Parameters
    ----------
    accepted_at : float
        Unix time in seconds at the instance that accepted it.
    first_due : float
        Unix time in seconds of the first repetition.
    organisation : OrganisationName
        That of the key by which it was submitted; empty if its queue needs none.
    """

    id: SubmissionId
    queue: QueueTerms
    payload: str
    steps: tuple[StepSpec, ...]
    accepted_at: float
    repetitions: int = 0
    first_due: float = 0.0
    interval_seconds: float = 0.0
    organisation: OrganisationName = OrganisationName("")


class WorkerListing(msgspec.Struct, frozen=True, kw_only=True):
    """A worker in the platform's list.

    Parameters
    ----------
    born : int
        Identifies the incarnation; increases when the worker restarts under the same id.
    leaves_in_seconds : float or None
        Shortest time until a draining worker leaves, counted from the entry's last change.
    """

    id: WorkerId
    service: ServiceName
    address: str
    zone: AvailabilityZone
    state: WorkerState
    capacity: Resources
    labels: frozenset[str]
    born: int
    enforces_capacity: bool = False
    leaves_in_seconds: float | None = None


class WorkerIncarnation(NamedTuple):
    """One incarnation of a worker: the `born` and the address of its listing."""

    born: int = 0
    address: str = ""


class ReportedRun(NamedTuple):
    """A run in a worker's report; `progress` is the share that is done, 1 for a service at work."""

    task: TaskKey
    number: RunNumber
    checkpoint: str
    progress: float = 0.0


class FinishedRun(NamedTuple):
    """A finished run in a worker's report.

    Workers report a finished run until a hold acknowledges its `sequence`, which increases within
    one incarnation of the worker and starts again in the next.
    """

    sequence: int
    task: TaskKey
    number: RunNumber
    outcome: RunOutcome
    checkpoint: str


class WorkerReport(msgspec.Struct, frozen=True, kw_only=True):
    """All active runs of a worker, and its finished runs that aren't acknowledged.

    A worker returns its report as the response to a hold: the owner's repeated call that renews
    the worker's leases, acknowledges stored finished runs and waits until a run finishes.

    Parameters
    ----------
    clock : float
        The worker's own clock in seconds when it responded.
    lists_all_finished : bool
        Whether no finished run was left out, so that a run that isn't listed never began.
    """

    clock: float
    born: int
    running: tuple[ReportedRun, ...]
    finished: tuple[FinishedRun, ...]
    lists_all_finished: bool = True


class StartCommand(msgspec.Struct, frozen=True, kw_only=True):
    """A command to start a run.

    Parameters
    ----------
    born : int
        The incarnation of the worker that it is for; another one must not get it.
    """

    worker: WorkerId
    task: TaskKey
    number: RunNumber
    payload: str
    token: CommandToken
    born: int
    checkpoint: str = ""
    ticket: TicketId = TicketId("")


class StartOutcome(enum.Enum):
    """Response to a start command."""

    STARTED = "started"
    FENCED = "fenced"  # the worker has seen a newer owner's token
    SUPERSEDED = "superseded"  # the run or a later one has ended or been stopped there
    LEASE_PASSED = "lease-passed"
    NO_ROOM = "no-room"
    TICKET_REFUSED = "ticket-refused"
    REFUSED = "refused"  # by an unhealthy worker; nothing was started
    OTHER_INCARNATION = "other-boot"  # another worker or incarnation has the address
    INVALID = "invalid"
    UNKNOWN = "unknown"  # no response: it may have been carried out, or will be
    NOT_SENT = "not-sent"
