"""Bound on how long a step waits while others keep going first."""

from __future__ import annotations

import math
from collections.abc import Collection, Iterable, Sequence
from typing import NamedTuple

from .model import SubmissionId
from .step_progress import StepProgress
from .submissions import SubmissionProgress
from .worker_totals import WorkerTotals
from .workers import Run, Worker

MIN_BOUND_SECONDS = 30.0  # no step goes before urgent ones sooner
BOUND_OBJECTIVES = 10.0  # well after its result has lost its use, which others still have
PROMOTION_INTERVAL_SECONDS = 2.0  # between two occurrences, so that urgent ones keep most room
MAX_PROMOTION_SECONDS = 10.0  # what fits no worker doesn't keep others from their turn
# Of the workers, for all that runs out of its order at a time.
MAX_PROMOTED_SHARE = 0.25

Candidate = tuple[tuple[float, ...], SubmissionProgress, StepProgress]


class _Occurrence(NamedTuple):
    """One occurrence of a submission; the only one where it isn't repeated."""

    submission: SubmissionId
    number: int


def compute_bound_seconds(step: StepProgress) -> float:
    """Return after how many seconds a waiting step goes first."""
    return max(MIN_BOUND_SECONDS, BOUND_OBJECTIVES * (step.objective_at - step.due_at))


class StarvationGuard:
    """Lets one occurrence at a time go first that has waited beyond its bound.

    Handles a load of urgent work that alone needs all capacity: what is less urgent, or too late to
    be of use, still runs. One occurrence goes first at a time, the oldest, and the next one only
    some time after all tasks of its steps have begun, so that a backlog doesn't take the room of
    urgent work.

    Handles a schedule with thousands of overdue occurrences as well, and a submission of thousands
    of tasks: what has gone first uses a part of the workers at a time, but at least one task or
    gang begins in each turn. A turn ends once no more may begin in it; the rest takes its place in
    the order of the ranks.
    """

    def __init__(self) -> None:
        self._promoted: _Occurrence | None = None
        self._promoted_until = 0.0
        self._next_at = 0.0
        self._tried: set[_Occurrence] = set()  # those that had a turn, and wait
        self._runs: list[tuple[StepProgress, Run]] = []  # that began in a turn and are active
        self._has_begun = False  # in this turn
        self._totals = WorkerTotals()

    def choose_turn(
        self, candidates: Sequence[Candidate], workers: Iterable[Worker], now: float
    ) -> list[Candidate]:
        """Return the candidates of a placement pass that go first, with their ranks in this turn.

        Parameters
        ----------
        candidates : sequence of Candidate
            Ready steps with waiting tasks, in the order of their ranks.
        workers : iterable of Worker
        now : float
        """
        starved = {
            _get_occurrence(step): step.due_at
            for _, _, step in candidates
            if now - step.due_at > compute_bound_seconds(step)
        }
        self._tried &= starved.keys()
        self._runs = [(step, run) for step, run in self._runs if step.has_run(run)]
        if self._promoted is not None and (
            self._promoted not in starved or now > self._promoted_until
        ):
            self._end_turn(now)
        if self._promoted is None and starved and now >= self._next_at:
            self._promoted = self._choose_next(starved)
            self._promoted_until = now + MAX_PROMOTION_SECONDS
            self._has_begun = False
            self._tried.add(self._promoted)
        if self._promoted is None:
            return []
        self._totals = WorkerTotals(workers)
        turn = [
            ((-math.inf, *rank), entry, step)
            for rank, entry, step in candidates
            if _get_occurrence(step) == self._promoted
        ]
        if not any(self.count_allowed(step) for _, _, step in turn):
            self._end_turn(now)
            return []
        return turn

    def _end_turn(self, now: float) -> None:
        self._promoted = None
        self._next_at = now + PROMOTION_INTERVAL_SECONDS

    def _choose_next(self, starved: dict[_Occurrence, float]) -> _Occurrence:
        return min(starved, key=lambda item: (item in self._tried, starved[item], item))

    def count_allowed(self, step: StepProgress) -> int:
        """Return how many waiting tasks of a step may start in its turn; of a gang, all or none."""
        unit = step.spec.count if step.spec.is_gang else 1
        used = sum(self._totals.measure_share(begun.spec) for begun, _ in self._runs)
        left = MAX_PROMOTED_SHARE - used
        share = unit * self._totals.measure_share(step.spec)
        units = math.floor(left / share)
        if not self._has_begun:
            units = max(units, 1)
        return unit * max(0, units)

    def record_turn(self, step: StepProgress, former: Collection[Run]) -> None:
        """Record the runs of a step that its turn has added to the former ones."""
        known = set(map(id, former))
        begun = [(step, run) for run in step.list_all_runs() if id(run) not in known]
        self._has_begun |= bool(begun)
        self._runs += begun


def _get_occurrence(step: StepProgress) -> _Occurrence:
    return _Occurrence(step.id.submission, step.id.occurrence)
