"""In which order waiting steps are offered room."""

from __future__ import annotations

import abc
import enum

from .submissions import StepProgress, SubmissionProgress

# objectives after which a completed submission is of no use to its caller
USELESS_AFTER_OBJECTIVES = 3.0
# Estimates of lengths are off by half and more: what seems too late may not be, for a while.
ESTIMATE_MARGIN = 1.3


class Lateness(enum.IntEnum):
    """By which limit a step that starts now will be done, as far as its estimate tells."""

    IN_TIME = 0
    LATE = 1
    TOO_LATE = 2


class StepRanking(abc.ABC):
    """Orders the steps whose turn has come."""

    @abc.abstractmethod
    def rank(self, entry: SubmissionProgress, step: StepProgress, now: float) -> tuple[float, ...]:
        """Return the rank of a step; the lowest comes first."""


class PriorityThenObjective(StepRanking):
    """Queue priority first, then the nearest limit that can still be met.

    Answers a burst on one queue: work that is late beyond its objective goes behind work of the
    same priority that is still in time, so that a backlog doesn't make all later work late too.
    Answers the backlog after an outage as well: what is too late to be of use goes behind
    everything else, whatever its priority, so that work which is only late is still useful.
    """

    def rank(self, entry: SubmissionProgress, step: StepProgress, now: float) -> tuple[float, ...]:
        """Return uselessness, priority, lateness and the next limit."""
        latest = step.due_at + USELESS_AFTER_OBJECTIVES * (step.objective_at - step.due_at)
        is_useless = now > step.due_at + ESTIMATE_MARGIN * (latest - step.due_at)
        done_at = now + step.spec.estimate_seconds
        if done_at <= step.objective_at:
            lateness, limit = Lateness.IN_TIME, step.objective_at
        elif done_at <= latest:
            lateness, limit = Lateness.LATE, latest
        else:
            lateness, limit = Lateness.TOO_LATE, latest
        return (is_useless, entry.submission.queue.priority, lateness, limit)
