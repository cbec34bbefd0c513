"""Everything that can happen to the owner's state. Times are seconds of a steady clock."""

from __future__ import annotations

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
from .records import Outcome, Progress, Roster


class Event(msgspec.Struct, frozen=True, kw_only=True):
    """Base of all events."""

    now: float


class SubmissionRead(Event, frozen=True, kw_only=True):
    """A stored submission has been learnt.

    Parameters
    ----------
    age : float
        Seconds since it was accepted.
    """

    submission: Submission
    revision: int
    age: float
    progress: Progress | None = None


class OutcomeRead(Event, frozen=True, kw_only=True):
    """A submission's final state stands in the store."""

    submission: SubmissionId
    outcome: Outcome


class WorkersListed(Event, frozen=True, kw_only=True):
    """The platform's list of workers has been read; it is complete."""

    workers: tuple[WorkerListing, ...]


class RosterStored(Event, frozen=True, kw_only=True):
    """The store holds this roster, with the revision of every closing."""

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
        Another worker answers at the address, so this one has ended.
    """

    worker: WorkerId
    token: CommandToken
    is_fenced: bool = False
    is_other_incarnation: bool = False


class StartAnswered(Event, frozen=True, kw_only=True):
    """A start order has been answered, or its time is over."""

    worker: WorkerId
    task: TaskKey
    number: RunNumber
    outcome: StartOutcome


class StopAnswered(Event, frozen=True, kw_only=True):
    """A stop order has been carried out (True), fenced off (False) or not answered (None)."""

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
    """An end of one life of a worker, which numbers its ends anew in each."""

    born: int
    sequence: int


class ProgressStored(Event, frozen=True, kw_only=True):
    """All ends up to these marks are covered by the store."""

    stored_positions: dict[WorkerId, FinishedRunPosition]


class PredecessorEnded(Event, frozen=True, kw_only=True):
    """The former owner is sure to give no more orders."""


class Ticked(Event, frozen=True, kw_only=True):
    """Time has passed."""
