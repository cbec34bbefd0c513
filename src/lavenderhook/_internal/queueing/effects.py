"""Effects: the actions that follow from the owner's decisions."""

from __future__ import annotations

import enum

import msgspec

from ..core.identifiers import WorkerId
from .model import CommandToken, RunNumber, StartCommand, StepId, SubmissionId, TaskKey
from .records import Roster
from .stops import StopReason


class Effect(msgspec.Struct, frozen=True, kw_only=True):
    """Base of all effects."""


class SendStart(Effect, frozen=True, kw_only=True):
    """Send a start command."""

    command: StartCommand


class SendStop(Effect, frozen=True, kw_only=True):
    """Send a stop command."""

    worker: WorkerId
    task: TaskKey
    number: RunNumber
    token: CommandToken
    reason: StopReason | None = None

    def describe(self) -> dict[str, object]:
        """Return the fields of its log line."""
        return {
            "task": str(self.task),
            "run": self.number,
            "worker": self.worker,
            "reason": "" if self.reason is None else self.reason.value,
        }


class RequestAdvice(Effect, frozen=True, kw_only=True):
    """Ask the advisory service which of these workers may run a step.

    Attributes
    ----------
    rank : tuple of float
        Of the step; the lowest comes first.
    """

    step: StepId
    workers: tuple[WorkerId, ...]
    expected_seconds: float
    rank: tuple[float, ...]


class StoreProgress(Effect, frozen=True, kw_only=True):
    """Store the progress of a submission, or its final state if it has one."""

    submission: SubmissionId


class ReadSubmission(Effect, frozen=True, kw_only=True):
    """Read all rows of a submission that isn't known, but of which a finished run is reported."""

    submission: SubmissionId


class StoreRoster(Effect, frozen=True, kw_only=True):
    """Store the roster."""

    roster: Roster


class WatchWorker(Effect, frozen=True, kw_only=True):
    """Send holds to a worker from now on."""

    worker: WorkerId


class UnwatchWorker(Effect, frozen=True, kw_only=True):
    """Stop sending holds to a worker that has left for good."""

    worker: WorkerId


class StepDownReason(enum.Enum):
    """Why an owner gives up the ownership."""

    FENCED = "fenced at a worker"  # it has seen the token of a newer owner
    NUMBERS_USED_UP = "run numbers or tokens are used up"


class StepDown(Effect, frozen=True, kw_only=True):
    """Give up the ownership."""

    worker: WorkerId
    reason: StepDownReason = StepDownReason.FENCED


class LogDecision(Effect, frozen=True, kw_only=True):
    """Log a decision."""

    decision: str
    fields: dict[str, object]
