"""Events that change the owner's state. Times are seconds of a monotonic clock."""

from __future__ import annotations

import math
from typing import NamedTuple

import msgspec

from ..core.identifiers import WorkerId
from .model import (
    CommandToken,
    RunNumber,
    StartOutcome,
    StepId,
    Submission,
    SubmissionId,
    TaskKey,
    TicketId,
    WorkerListing,
    WorkerReport,
)
from .organisations import Organisations
from .records import Outcome, Progress, Roster


class Event(msgspec.Struct, frozen=True, kw_only=True):
    """Base of all events."""

    now: float


class SubmissionRead(Event, frozen=True, kw_only=True):
    """A stored submission has become known to the owner.

    Parameters
    ----------
    revision : int or None
        Revision of its row; None if a peer has reported it that doesn't know it.
    age : float
        Seconds since it was accepted.
    """

    submission: Submission
    revision: int | None
    age: float
    progress: Progress | None = None


class SubmissionAbsent(Event, frozen=True, kw_only=True):
    """A read that was sent at `read_at` has found no row of a submission."""

    submission: SubmissionId
    read_at: float


class SubmissionUnreadable(Event, frozen=True, kw_only=True):
    """A row of a submission can't be decoded."""

    submission: SubmissionId


class OutcomeRead(Event, frozen=True, kw_only=True):
    """A submission's final state is stored."""

    submission: SubmissionId
    outcome: Outcome


class WorkersListed(Event, frozen=True, kw_only=True):
    """The platform's complete list of workers has been read."""

    workers: tuple[WorkerListing, ...]


class RosterStored(Event, frozen=True, kw_only=True):
    """The store holds this roster; every closed worker has its revision."""

    roster: Roster


class ReportArrived(Event, frozen=True, kw_only=True):
    """A worker has answered a hold that was sent at `sent_at`."""

    worker: WorkerId
    sent_at: float
    report: WorkerReport


class HoldUnanswered(Event, frozen=True, kw_only=True):
    """A worker has not answered a hold.

    Parameters
    ----------
    token : CommandToken
        Token of the hold.
    is_other_incarnation : bool
        Another worker or incarnation answers at the address, so this one has ended.
    proven_at : float
        When the last call was sent by which the store has confirmed the owner. Leases that expire
        later may have been extended by a successor.
    """

    worker: WorkerId
    token: CommandToken
    is_fenced: bool = False
    is_other_incarnation: bool = False
    proven_at: float = math.inf


class StartAnswered(Event, frozen=True, kw_only=True):
    """A start command has been answered or has timed out."""

    worker: WorkerId
    task: TaskKey
    number: RunNumber
    outcome: StartOutcome


class StopAnswered(Event, frozen=True, kw_only=True):
    """A stop command has been carried out (True), fenced (False) or not answered (None)."""

    worker: WorkerId
    token: CommandToken
    task: TaskKey
    number: RunNumber
    is_done: bool | None


class AdviceArrived(Event, frozen=True, kw_only=True):
    """The advisory service has answered for `asked`; `allowed` is None without an answer."""

    step: StepId
    asked: tuple[WorkerId, ...]
    allowed: dict[WorkerId, TicketId] | None


class FinishedRunPosition(NamedTuple):
    """Sequence of a finished run within one worker incarnation, identified by `born`."""

    born: int
    sequence: int


class ProgressStored(Event, frozen=True, kw_only=True):
    """The store covers all finished runs up to these positions."""

    stored_positions: dict[WorkerId, FinishedRunPosition]


class SubmissionStored(Event, frozen=True, kw_only=True):
    """The store holds this progress of a submission."""

    submission: SubmissionId
    progress: Progress
    revision: int


class ProgressFound(Event, frozen=True, kw_only=True):
    """The store holds progress of a submission that another owner has stored."""

    submission: SubmissionId
    progress: Progress
    revision: int


class OrganisationsChanged(Event, frozen=True, kw_only=True):
    """Another configuration is active; its organisations are None if it has none."""

    organisations: Organisations | None


class PredecessorInactive(Event, frozen=True, kw_only=True):
    """The predecessor can no longer send commands.

    Parameters
    ----------
    inherited_until : float
        Until when owners before it may act, if that is less than was known before.
    """

    inherited_until: float = math.inf


class Ticked(Event, frozen=True, kw_only=True):
    """Time has passed.

    Parameters
    ----------
    proven_at : float
        As in `HoldUnanswered`.
    """

    proven_at: float = math.inf
