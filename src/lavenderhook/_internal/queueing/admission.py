"""Which new submissions are refused because of the work that waits."""

from __future__ import annotations

import enum

import msgspec

from .backlog import Backlog
from .model import USELESS_AFTER_OBJECTIVES, Submission
from .submissions import compute_objective_seconds

BACKLOG_MAX_AGE_SECONDS = 1.0  # an older one shows room that is taken, or work that has ended
# Durations are off by half, and a submission that is refused in error is lost to its caller.
REFUSAL_MARGIN = 1.5


class RefusalReason(enum.Enum):
    """Why a new submission is refused."""

    BACKLOG = "backlog"  # it would begin after its result has lost its use


class Refusal(msgspec.Struct, frozen=True, kw_only=True):
    """A new submission is refused.

    Parameters
    ----------
    wait_seconds : float
        For how long it would wait at least.
    objective_seconds, useful_seconds : float
        Within which its result is in time, and of any use.
    """

    reason: RefusalReason
    wait_seconds: float
    objective_seconds: float
    useful_seconds: float


def find_refusal(submission: Submission, backlog: Backlog) -> Refusal | None:
    """Return why a new submission is refused, or None if it isn't.

    Handles a load beyond all capacity that lasts longer than callers have use for a result: they
    learn at once that it can't be had, and what is accepted has fewer others before it. Nothing is
    refused while a worker has room for one of its tasks, nor what is due later or lasts.

    Parameters
    ----------
    submission : Submission
    backlog : Backlog
        As the owner has just measured it.
    """
    waiting = backlog.services.get(submission.queue.service)
    if waiting is None or submission.repetitions:
        return None
    if any(spec.is_service for spec in submission.steps):
        return None
    if any(waiting.has_room_for(spec) for spec in submission.steps if not spec.after):
        return None
    objective_seconds = compute_objective_seconds(submission)
    useful_seconds = USELESS_AFTER_OBJECTIVES * objective_seconds
    wait_seconds = waiting.estimate_wait(submission.queue.priority)
    if wait_seconds <= REFUSAL_MARGIN * useful_seconds:
        return None
    return Refusal(
        reason=RefusalReason.BACKLOG,
        wait_seconds=wait_seconds,
        objective_seconds=objective_seconds,
        useful_seconds=useful_seconds,
    )
