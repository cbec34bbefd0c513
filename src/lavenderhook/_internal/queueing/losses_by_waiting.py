"""Order of waiting steps by what their callers lose while room goes to others."""

from __future__ import annotations

import enum
import math

import msgspec

from .durations import DurationEstimates
from .ranking import ESTIMATE_MARGIN, USELESS_AFTER_OBJECTIVES, StepRanking
from .submissions import StepProgress, SubmissionProgress

# Callers lose four fifths of a result's worth with its objective, and the last fifth when it is
# useless.
LATE_SHARE = 0.2
# What a submission is worth to its caller grows with its work, though less than in proportion.
WORTH_EXPONENT = 0.7
MIN_CORE_SECONDS = 0.01  # of fillers, which need no processors
MIN_WINDOW_SECONDS = 0.001  # of queues without an objective


class Lateness(enum.IntEnum):
    """What a submission meets, as far as is known, if its waiting step starts now."""

    IN_TIME = 0  # it ends before its objective
    LATE = 1
    TOO_LATE = 2  # it ends when it is useless, though the estimate may be wrong


# What is lost with the next limit; what seems too late loses as much as an estimate may be wrong.
_SHARE_AT_STAKE = {
    Lateness.IN_TIME: 1.0 - LATE_SHARE,
    Lateness.LATE: LATE_SHARE,
    Lateness.TOO_LATE: LATE_SHARE / 4,
}


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
    entry: SubmissionProgress, step: StepProgress, durations: DurationEstimates
) -> RemainingWork:
    """Return the work that a submission still needs, with the chain that begins with a step."""
    queue = entry.submission.queue.name
    chains: dict[int, tuple[float, float]] = {}  # from the step through each one after it
    left = total = 0.0
    for index, spec in enumerate(entry.submission.steps):
        expected = durations.estimate(queue, spec)
        if not spec.is_service:
            core_seconds = expected.typical * spec.resources.processors / 1000
            done = len(entry.steps[(step.id.occurrence, index)].done)
            left += core_seconds * (spec.count - done)
            total += core_seconds * spec.count
        earlier = [chains[i] for i in spec.after if i in chains]
        if index == step.id.step:
            # A checkpoint saves an unknown part of the task.
            shortest = 0.0 if step.checkpoints else expected.shortest
            chains[index] = (expected.typical, shortest)
        elif earlier:
            typical, shortest = max(earlier)
            chains[index] = (typical + expected.typical, shortest + expected.shortest)
    typical, shortest = max(chains.values())
    return RemainingWork(
        typical, shortest, max(left, MIN_CORE_SECONDS), max(total, MIN_CORE_SECONDS)
    )


class LeastLossByWaiting(StepRanking):
    """Queue priority first, then what is lost by waiting for each core-second of room.

    Handles a load beyond all capacity that lasts. In the order of objectives, each submission
    would begin just before it is late, and all would be late. Here room goes to submissions that
    need little more work for what they are still worth: what has nearly ended is completed before
    more is begun, and what can't be in time any more gives way to what can. What can't even be
    done within three objectives goes last, whatever its priority, before it has waited that long.

    Parameters
    ----------
    durations : DurationEstimates
    """

    def __init__(self, durations: DurationEstimates) -> None:
        self._durations = durations

    def rank(self, entry: SubmissionProgress, step: StepProgress, now: float) -> tuple[float, ...]:
        """Return uselessness, priority and the logarithm of the room for each unit of loss.

        A service is never too late: its tasks run until it is cancelled, and one that waits again
        has lost its worker.
        """
        priority = entry.submission.queue.priority
        if step.spec.is_service:
            return (False, priority, -math.inf, step.due_at)
        remaining = estimate_remaining(entry, step, self._durations)
        objective_seconds = step.objective_at - step.due_at
        useful_until = step.due_at + USELESS_AFTER_OBJECTIVES * objective_seconds
        lateness, slack = _judge_lateness(now + remaining.typical_seconds, step, useful_until)
        margin_until = step.due_at + ESTIMATE_MARGIN * (useful_until - step.due_at)
        is_useless = now + remaining.shortest_seconds > margin_until
        cost = (
            math.log(remaining.core_seconds)
            - WORTH_EXPONENT * math.log(remaining.total_core_seconds)
            - math.log(_SHARE_AT_STAKE[lateness])
            + slack
        )
        return (is_useless, priority, cost, step.due_at)


def _judge_lateness(
    done_at: float, step: StepProgress, useful_until: float
) -> tuple[Lateness, float]:
    """Return what is met by an end at `done_at`, and the share of its time that is left then."""
    if done_at <= step.objective_at:
        window = step.objective_at - step.due_at
        return Lateness.IN_TIME, (step.objective_at - done_at) / max(window, MIN_WINDOW_SECONDS)
    if done_at <= useful_until:
        window = useful_until - step.objective_at
        return Lateness.LATE, (useful_until - done_at) / max(window, MIN_WINDOW_SECONDS)
    return Lateness.TOO_LATE, 0.0
