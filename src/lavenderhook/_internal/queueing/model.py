"""Submissions, their steps, the queues that they arrive in, and the workers that run them."""

from __future__ import annotations

import enum
from typing import NamedTuple, NewType

import msgspec

from ..core.identifiers import AvailabilityZone, ServiceName, WorkerId

SubmissionId = NewType("SubmissionId", str)
FencingToken = NewType("FencingToken", int)  # one for each owner, rising
CommandToken = NewType("CommandToken", int)  # what a worker compares; see `compute_command_token`
RunNumber = NewType("RunNumber", int)  # one for each start of a task, rising
TicketId = NewType("TicketId", str)


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
    LAPSED = "lapsed"
    GANG_BROKEN = "gang-broken"
    GANG_INCOMPLETE = "gang-incomplete"


class RunState(enum.Enum):
    """What the owner knows of a run that has not ended."""

    STARTING = "starting"  # the order has been sent and not answered
    RUNNING = "running"
    STOPPING = "stopping"


class WorkerState(enum.Enum):
    """What a worker says of itself."""

    READY = "ready"
    DRAINING = "draining"


class Resources(msgspec.Struct, frozen=True):
    """An amount of what a worker has: thousandths of a processor, megabytes, accelerators."""

    processors: int = 0
    memory_mb: int = 0
    accelerators: int = 0


class Placement(msgspec.Struct, frozen=True, kw_only=True, omit_defaults=True):
    """Conditions of a step on the workers that run it."""

    label: str = ""
    data_rack: str = ""
    single_rack: bool = False
    most_per_worker: int = 0


class StepSpec(msgspec.Struct, frozen=True, kw_only=True, omit_defaults=True):
    """A step: `count` tasks that are alike."""

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


class AdviceTerms(msgspec.Struct, frozen=True):
    """What a call to the advisory service costs, in seconds, and how long its tickets hold."""

    decision_seconds: float
    seconds_per_worker: float
    validity_seconds: float


class QueueTerms(msgspec.Struct, frozen=True, kw_only=True):
    """Settings of a queue that govern its submissions.

    Parameters
    ----------
    priority : int
        0 comes first.
    slack_factor, latency_seconds : float
        The objective is `slack_factor` times the chain of work, and `latency_seconds` more.
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
    """

    id: SubmissionId
    queue: QueueTerms
    payload: str
    steps: tuple[StepSpec, ...]
    accepted_at: float
    repetitions: int = 0
    first_due: float = 0.0
    interval_seconds: float = 0.0


class WorkerListing(msgspec.Struct, frozen=True, kw_only=True):
    """A worker as the platform's list shows it."""

    id: WorkerId
    service: ServiceName
    address: str
    zone: AvailabilityZone
    state: WorkerState
    capacity: Resources
    labels: frozenset[str]
    born: int
    enforces_capacity: bool = False


class ReportedRun(NamedTuple):
    """A run in a worker's report."""

    task: TaskKey
    number: RunNumber
    checkpoint: str


class FinishedRun(NamedTuple):
    """An end in a worker's report; `sequence` rises within one boot of the worker."""

    sequence: int
    task: TaskKey
    number: RunNumber
    outcome: RunOutcome
    checkpoint: str


class WorkerReport(msgspec.Struct, frozen=True, kw_only=True):
    """Everything that runs on a worker, and the ends that it has not been told to forget.

    Parameters
    ----------
    clock : float
        The worker's own clock in seconds when it answered.
    """

    clock: float
    born: int
    running: tuple[ReportedRun, ...]
    finished: tuple[FinishedRun, ...]


class StartCommand(msgspec.Struct, frozen=True, kw_only=True):
    """An order to start a run."""

    worker: WorkerId
    task: TaskKey
    number: RunNumber
    payload: str
    token: CommandToken
    checkpoint: str = ""
    ticket: TicketId = TicketId("")


class StartOutcome(enum.Enum):
    """Answer to a start order."""

    STARTED = "started"
    FENCED = "fenced"  # a newer owner has been there
    SUPERSEDED = "superseded"  # the run or a later one has ended or been stopped there
    LEASE_PASSED = "lease-passed"
    NO_ROOM = "no-room"
    TICKET_REFUSED = "ticket-refused"
    REFUSED = "refused"  # an unhealthy worker; nothing was done
    OTHER_INCARNATION = "other-boot"  # the worker has restarted
    INVALID = "invalid"
    UNKNOWN = "unknown"  # no answer: it may have been carried out, or will be
    NOT_SENT = "not-sent"
