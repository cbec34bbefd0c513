"""Who may keep room that it can't use yet, for how long, and what may use it meanwhile.

A gang or a large task needs room together that small tasks would otherwise take piece by piece.
Room is kept for it only if the estimated ends of what runs show when there will be enough; beside
tasks without a known end there is nothing to wait for. Until then, other work goes on if it ends
before that time, or fits beside. Estimates are wrong at times, so that nothing is held for long
while most of the room is unused: see `HoldLimit`.
"""

from __future__ import annotations

import heapq
import math
from collections.abc import Callable, Collection, Iterable

from .model import Resources, RunState, StepId
from .placement import BACKFILL_MARGIN
from .resource_sums import add
from .step_progress import StepProgress
from .stragglers import has_outlived_estimate
from .submissions import SubmissionProgress
from .workers import Run

# assumed for a run that has lasted longer than its estimate, or is being stopped
OVERDUE_RUN_REMAINING_SECONDS = 0.5
# Beside unused room, a submission without any run waits no longer for room that is kept for others.
MAX_HELD_SECONDS = 2.0
# Of all that may be in use; with less, room is unused.
UNUSED_SHARE = 0.5


def find_known_end(run: Run, now: float) -> float:
    """Return when a run ends, as far as is known; infinite if nothing tells."""
    if run.state is RunState.STOPPING:
        return now + OVERDUE_RUN_REMAINING_SECONDS
    if not math.isfinite(run.estimated_end_at) or has_outlived_estimate(run, now):
        return math.inf
    return max(run.estimated_end_at, now + OVERDUE_RUN_REMAINING_SECONDS)


def find_turn(
    runs: Collection[Run], is_enough: Callable[[Resources], bool], now: float
) -> tuple[float, Resources]:
    """Return when enough runs have ended, and what these use; infinite if that isn't known.

    Parameters
    ----------
    runs : collection of Run
    is_enough : callable
        Takes what the ended runs used.
    now : float
    """
    if is_enough(Resources()):
        return now, Resources()
    ends = [(find_known_end(run, now), index, run) for index, run in enumerate(runs)]
    heapq.heapify(ends)
    ended, turn_at = Resources(), now
    while not is_enough(ended):
        if not ends or math.isinf(ends[0][0]):
            return math.inf, ended
        turn_at, _, run = heapq.heappop(ends)
        ended = add(ended, run.resources)
    return turn_at, ended


def ends_before(step: StepProgress, turn_at: float, now: float) -> bool:
    """Return whether a task of a step that starts now ends before the turn of another one."""
    return now + BACKFILL_MARGIN * step.spec.expected_seconds <= turn_at


class HoldLimit:
    """Bounds how long a submission without any run waits for room that is kept for others.

    Handles a gang whose turn moves away again and again, since runs last longer than estimated: as
    long as half of the room is unused, small work isn't held for longer than a bound. Each task of
    a service counts by itself, as its users miss it whether others run or not.
    """

    def __init__(self) -> None:
        self._held_since: dict[StepId, float] = {}
        self._held: dict[StepId, float] = {}  # in this pass

    def may_pass(self, entry: SubmissionProgress, step: StepProgress, now: float) -> bool:
        """Return whether a step that kept room holds in this placement pass uses it nevertheless.

        Called once most of the room is unused.
        """
        since = self._held[step.id] = self._held_since.get(step.id, now)
        if now - since < MAX_HELD_SECONDS:
            return False
        return step.spec.is_service or not any(other.runs for other in entry.steps.values())

    def end_pass(self) -> None:
        """Forget the steps that were not held in this pass."""
        self._held_since, self._held = self._held, {}


def is_mostly_unused(used: Resources, limit: Resources) -> bool:
    """Return whether less than half of each limited resource is in use; 0 is no limit."""
    pairs: Iterable[tuple[int, int]] = (
        (used.processors, limit.processors),
        (used.memory_mb, limit.memory_mb),
        (used.accelerators, limit.accelerators),
    )
    return all(not most or amount < UNUSED_SHARE * most for amount, most in pairs)
