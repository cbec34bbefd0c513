"""Order of waiting steps by what their callers lose while room goes to others."""

from __future__ import annotations

import enum

import msgspec

from .durations import DurationEstimates, ExpectedDuration
from .model import USELESS_AFTER_OBJECTIVES, SubmissionId
from .ranking import ESTIMATE_MARGIN, StepRanking
from .step_progress import StepProgress
from .submissions import SubmissionProgress

NO_DURATION = ExpectedDuration(0.0, 0.0)
MIN_CORE_SECONDS = 0.01  # of fillers, which need no processors
# Hundreds of steps are ranked in each placement pass, and what they need changes slowly.
REUSE_SECONDS = 0.25


class Lateness(enum.IntEnum):
    """Limit that a submission meets, as far as is known, if its waiting step starts now."""

    IN_TIME = 0  # it ends before its objective
    LATE = 1
    TOO_LATE = 2  # it ends when it is useless, though the estimate may be wrong


class RemainingWork(msgspec.Struct, frozen=True):
    """What a submission needs until its last step has ended.

    Parameters
    ----------
    typical_seconds, shortest_seconds : float
        Duration of the longest chain of steps from the waiting one; see `ExpectedDuration`.
    core_seconds : float
        Of all tasks that aren't done.
    total_core_seconds : float
    """

    typical_seconds: float
    shortest_seconds: float
    core_seconds: float
    total_core_seconds: float


def estimate_remaining(
    entry: SubmissionProgress, occurrence: int, durations: DurationEstimates
) -> list[RemainingWork]:
    """Return, by step, the work that one occurrence of a submission still needs.

    Handles submissions of a thousand steps that are all ready: one pass over the steps serves all.
    Services don't count, as their tasks have no end.
    """
    queue, specs = entry.submission.queue.name, entry.submission.steps
    chains: list[tuple[float, float]] = [(0.0, 0.0)] * len(specs)
    following = list(chains)  # the longest chains of the steps after each one
    left = total = 0.0
    for index in reversed(range(len(specs))):
        spec, step = specs[index], entry.steps[(occurrence, index)]
        expected = NO_DURATION if spec.is_service else durations.estimate(queue, spec)
        core_seconds = expected.typical * spec.resources.processors / 1000
        left += core_seconds * (spec.count - len(step.done))
        total += core_seconds * spec.count
        typical, shortest = following[index]
        typical += expected.typical
        # A checkpoint saves an unknown part of the task.
        chains[index] = (typical, shortest + (0.0 if step.checkpoints else expected.shortest))
        for earlier in spec.after:
            if earlier < index:
                chain = (typical, shortest + expected.shortest)
                following[earlier] = max(following[earlier], chain)
    left, total = max(left, MIN_CORE_SECONDS), max(total, MIN_CORE_SECONDS)
    return [RemainingWork(*chain, left, total) for chain in chains]


class LeastLossByWaiting(StepRanking):
    """Queue priority first, then the submissions whose callers lose most by waiting.

    Handles a load beyond all capacity. What can still be in time goes before what is late, as most
    of the worth of a result is lost with its objective, and what can't even be done within three
    objectives goes last, whatever its priority, before it has waited that long. Among submissions
    that meet the same limit, the nearest limit counts, later by an objective the more work is left:
    room goes to what needs little more of it, and what has nearly ended is completed before more is
    begun than can end. It is the share of the work that counts, so that large submissions don't
    wait behind all small ones.

    Parameters
    ----------
    durations : DurationEstimates
    """

    def __init__(self, durations: DurationEstimates) -> None:
        self._durations = durations
        self._remaining: dict[tuple[SubmissionId, int], list[RemainingWork]] = {}
        self._reused_until = 0.0

    def rank(self, entry: SubmissionProgress, step: StepProgress, now: float) -> tuple[float, ...]:
        """Return uselessness, priority, lateness and the next limit, later by the work left.

        A service is never too late: its tasks run until it is cancelled, and one that waits again
        has lost its worker.
        """
        priority = entry.submission.queue.priority
        if step.spec.is_service:
            return (False, priority, Lateness.IN_TIME, step.due_at)
        remaining = self._estimate_remaining(entry, step, now)
        objective_seconds = step.objective_at - step.due_at
        useful_seconds = USELESS_AFTER_OBJECTIVES * objective_seconds
        useful_until = step.due_at + useful_seconds
        is_useless = (
            now + remaining.shortest_seconds > step.due_at + ESTIMATE_MARGIN * useful_seconds
        )
        done_at = now + remaining.typical_seconds
        if done_at <= step.objective_at:
            lateness, limit = Lateness.IN_TIME, step.objective_at
        elif done_at <= useful_until:
            lateness, limit = Lateness.LATE, useful_until
        else:
            lateness, limit = Lateness.TOO_LATE, useful_until
        share_left = remaining.core_seconds / remaining.total_core_seconds
        return (is_useless, priority, lateness, limit + objective_seconds * share_left)

    def _estimate_remaining(
        self, entry: SubmissionProgress, step: StepProgress, now: float
    ) -> RemainingWork:
        if now >= self._reused_until:
            self._remaining.clear()
            self._reused_until = now + REUSE_SECONDS
        key = (step.id.submission, step.id.occurrence)
        if key not in self._remaining:
            self._remaining[key] = estimate_remaining(entry, step.id.occurrence, self._durations)
        return self._remaining[key][step.id.step]
