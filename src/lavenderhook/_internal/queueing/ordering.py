"""In which order waiting steps are offered room."""

from __future__ import annotations

import abc

from .submissions import StepProgress, SubmissionProgress


class WaitingOrder(abc.ABC):
    """Orders the steps whose turn has come."""

    @abc.abstractmethod
    def rank(self, entry: SubmissionProgress, step: StepProgress, now: float) -> tuple[float, ...]:
        """Return the rank of a step; the lowest comes first."""


class PriorityThenObjective(WaitingOrder):
    """Queue priority first, then the nearest objective that can still be met.

    Answers a burst on one queue: work that is late beyond its objective goes behind work of the
    same priority that is still in time, so that a backlog doesn't make all later work late too.
    """

    def rank(self, entry: SubmissionProgress, step: StepProgress, now: float) -> tuple[float, ...]:
        """Return priority, whether the objective has passed, and the objective."""
        priority = entry.submission.queue.priority
        is_late = now + step.spec.estimate_seconds > step.objective_at
        return (priority, is_late, step.objective_at)
