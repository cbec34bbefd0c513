"""Bound on how long a step waits while others keep going first."""

from __future__ import annotations

import math
from collections.abc import Sequence

from .model import SubmissionId
from .submissions import StepProgress, SubmissionProgress

MIN_BOUND_SECONDS = 30.0  # no step goes before urgent ones sooner
BOUND_OBJECTIVES = 10.0  # well after its result has lost its use, which others still have
PROMOTION_INTERVAL_SECONDS = 2.0  # between two submissions, so that urgent ones keep most room
MAX_PROMOTION_SECONDS = 10.0  # what fits no worker doesn't keep others from their turn

Candidate = tuple[tuple[float, ...], SubmissionProgress, StepProgress]


def compute_bound_seconds(step: StepProgress) -> float:
    """Return after how many seconds a waiting step goes first."""
    return max(MIN_BOUND_SECONDS, BOUND_OBJECTIVES * (step.objective_at - step.due_at))


class StarvationGuard:
    """Lets one submission at a time go first that has waited beyond its bound.

    Handles a load of urgent work that alone needs all capacity: what is less urgent, or too late to
    be of use, still runs. One submission goes first at a time, the oldest, and the next one only
    some time after all tasks of its steps have begun, so that a backlog doesn't take the room of
    urgent work.
    """

    def __init__(self) -> None:
        self._promoted: SubmissionId | None = None
        self._promoted_until = 0.0
        self._next_at = 0.0
        self._tried: set[SubmissionId] = set()  # those that had a turn, and wait

    def promote(self, candidates: Sequence[Candidate], now: float) -> list[Candidate]:
        """Return the candidates of a placement pass with those of one starved submission first.

        Parameters
        ----------
        candidates : sequence of Candidate
            Ready steps with waiting tasks, in the order of their ranks.
        now : float
        """
        starved = [
            (step.due_at, entry.submission.id)
            for _, entry, step in candidates
            if now - step.due_at > compute_bound_seconds(step)
        ]
        ids = {id for _, id in starved}
        self._tried &= ids
        if self._promoted is not None and (self._promoted not in ids or now > self._promoted_until):
            self._promoted = None
            self._next_at = now + PROMOTION_INTERVAL_SECONDS
        if self._promoted is None and starved and now >= self._next_at:
            self._promoted = min(starved, key=lambda item: (item[1] in self._tried, item))[1]
            self._promoted_until = now + MAX_PROMOTION_SECONDS
            self._tried.add(self._promoted)
        if self._promoted is None:
            return list(candidates)
        first = [
            ((-math.inf, *rank), entry, step)
            for rank, entry, step in candidates
            if entry.submission.id == self._promoted
        ]
        return first + [c for c in candidates if c[1].submission.id != self._promoted]
