"""Order in which the tasks of ready steps are placed."""

from __future__ import annotations

import abc
import enum

from .submissions import StepProgress, SubmissionProgress

# A result is of no use to the caller once this multiple of the time from `due_at` to `objective_at`
# has passed.
USELESS_AFTER_OBJECTIVES = 3.0
# Estimated durations are off by half and more: a step that seems too late may not be, for a while.
ESTIMATE_MARGIN = 1.3


class Lateness(enum.IntEnum):
    """Limit that a step meets, by its estimate, if it starts now."""

    IN_TIME = 0
    LATE = 1
    TOO_LATE = 2


class StepRanking(abc.ABC):
    """Ranks the steps that are ready."""

    @abc.abstractmethod
    def rank(self, entry: SubmissionProgress, step: StepProgress, now: float) -> tuple[float, ...]:
        """Return the rank of a step; the lowest comes first."""


class PriorityThenObjective(StepRanking):
    """Queue priority first, then the nearest limit that can still be met.

    Handles a burst on one queue: work that is late beyond its objective goes behind work of the
    same priority that is still in time, so that a backlog doesn't make all later work late too.
    Handles the backlog after an outage as well: what is too late to be of use goes behind
    everything else, whatever its priority, so that work which is only late is still useful.
    """

    def rank(self, entry: SubmissionProgress, step: StepProgress, now: float) -> tuple[float, ...]:
        """Return uselessness, priority, lateness and the next limit.

        A service is never too late: its tasks run until it is cancelled, and one that waits again
        has lost its worker.
        """
        if step.spec.is_service:
            return (False, entry.submission.queue.priority, Lateness.IN_TIME, step.due_at)
        useful_until = step.due_at + USELESS_AFTER_OBJECTIVES * (step.objective_at - step.due_at)
        is_useless = now > step.due_at + ESTIMATE_MARGIN * (useful_until - step.due_at)
        done_at = now + step.spec.estimate_seconds
        if done_at <= step.objective_at:
            lateness, limit = Lateness.IN_TIME, step.objective_at
        elif done_at <= useful_until:
            lateness, limit = Lateness.LATE, useful_until
        else:
            lateness, limit = Lateness.TOO_LATE, useful_until
        return (is_useless, entry.submission.queue.priority, lateness, limit)
