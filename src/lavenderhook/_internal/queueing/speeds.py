"""Lasting speeds of workers, learnt from the durations of their runs.

Answers fleets of uneven machines: a third of the workers takes twice as long as the others for
good, while estimates are off by half and a few tasks in a hundred take several times as long. A run
is compared with the other runs of its step and queue, each corrected by the speed of its worker,
so that a queue whose tasks mostly run on slow workers doesn't seem long by itself.

Speeds only change which worker is preferred. None makes a worker ineligible, and old evidence is
forgotten, so that each worker gets runs again that show its speed.
"""

from __future__ import annotations

import collections
import enum
import math
import statistics
from collections.abc import Iterable
from typing import NamedTuple

from .model import StepId

MAX_OBSERVED_STEPS = 15  # newest on one worker; half of them outvote a temporary slowness
MAX_OBSERVATION_AGE_SECONDS = 60.0
MIN_OBSERVED_STEPS = 1  # on a worker that is compared with others
MIN_COMPARED_WORKERS = 8  # for any to become slow; the median of fewer is no typical worker
MIN_QUEUE_RUNS = 5  # before the runs of a queue tell anything about workers
MIN_SMOOTHING = 1 / 400  # weight of the newest run in the typical duration of a queue
# Bounds the influence that one run far longer than the others has on a mean.
MAX_LOG_RATIO = math.log(3.0)
SLOW_RATIO = 1.2  # of the typical worker's duration
RECOVERED_RATIO = 1.1  # below it, a slow worker is usual again
ERRORS_TO_BE_SLOW = 2.0  # standard errors between a slow worker and the typical one
INITIAL_SPREAD = 0.35  # of the logarithms of the durations on one worker
SHRINKING_STEPS = 2.0  # weight of the assumption that a worker is like the others
REFRESH_INTERVAL_SECONDS = 0.5
MAX_KNOWN_STEPS = 1000
# What is slower than this is broken, however long it has been so.
MAX_LASTING_EXCESS = math.log(3.0)
MAD_TO_DEVIATION = 1.4826  # of a normal distribution
MEDIAN_ERROR_FACTOR = 1.25  # standard error of a median relative to that of a mean


class SpeedClass(enum.Enum):
    """How a worker's lasting speed compares with that of the typical worker."""

    UNKNOWN = "unknown"  # no runs have shown it lately
    USUAL = "usual"
    SLOW = "slow"


class RunDuration(NamedTuple):
    """Duration of a whole run on its worker, in seconds, and the estimate for its step."""

    queue: str
    step: StepId
    estimate_seconds: float
    seconds: float


class _MeanRatio:
    """Mean logarithm of the durations of some runs relative to a reference."""

    __slots__ = ("changed_at", "count", "mean")

    def __init__(self) -> None:
        self.count = 0
        self.mean = 0.0
        self.changed_at = 0.0

    def add(self, log_ratio: float, smoothing: float = 0.0) -> None:
        """Add a run, with the weight `smoothing` at least."""
        self.count += 1
        self.mean += (log_ratio - self.mean) * max(smoothing, 1 / self.count)


class WorkerSpeed:
    """Lasting speed of one worker.

    Runs of one step count as one observation, as they share the error of their estimate.

    Attributes
    ----------
    slowness : float
        Expected duration of its runs relative to that on a typical worker; 1 if nothing is known.
    is_slow, is_usual : bool
        Whether its class is `SpeedClass.SLOW` or `SpeedClass.USUAL`; neither if it is unknown.
    log_ratio : float
        Median logarithm of the durations of its runs relative to those of the others.
    error : float
        Standard error of `log_ratio`.
    """

    __slots__ = (
        "_excess",
        "_is_changed",
        "_observed",
        "error",
        "is_slow",
        "is_usual",
        "log_ratio",
        "slowness",
    )

    def __init__(self) -> None:
        self.slowness = 1.0
        self.is_slow = False
        self.is_usual = False
        self.log_ratio = 0.0
        self.error = math.inf
        self._observed: collections.OrderedDict[StepId, _MeanRatio] = collections.OrderedDict()
        self._is_changed = False
        self._excess = 0.0  # of `log_ratio` over that of the typical worker

    @property
    def speed_class(self) -> SpeedClass:
        """Class of the worker."""
        if self.is_slow:
            return SpeedClass.SLOW
        return SpeedClass.USUAL if self.is_usual else SpeedClass.UNKNOWN

    @property
    def steps(self) -> int:
        """Number of steps whose runs show the speed."""
        return len(self._observed)

    @property
    def lasting_slowness(self) -> float:
        """Slowness that is no sign of a fault: 1 unless the worker is slow for good."""
        return self.slowness if self.is_slow and self._excess <= MAX_LASTING_EXCESS else 1.0

    def observe(self, step: StepId, log_ratio: float, now: float) -> None:
        """Record the logarithm of a run's duration relative to that of other runs."""
        observed = self._observed.setdefault(step, _MeanRatio())
        observed.add(log_ratio)
        observed.changed_at = now
        self._observed.move_to_end(step)
        if len(self._observed) > MAX_OBSERVED_STEPS:
            self._observed.popitem(last=False)
        self._is_changed = True

    def forget_old(self, now: float) -> None:
        """Forget the runs that ended long ago."""
        oldest = next(iter(self._observed.values()), None)
        while oldest is not None and now - oldest.changed_at > MAX_OBSERVATION_AGE_SECONDS:
            self._observed.popitem(last=False)
            self._is_changed = True
            oldest = next(iter(self._observed.values()), None)

    def summarize(self) -> None:
        """Update the median and its standard error if there are other runs than before."""
        if not self._is_changed:
            return
        self._is_changed = False
        ratios = [observed.mean for observed in self._observed.values()]
        if not ratios:
            self.log_ratio, self.error = 0.0, math.inf
            return
        self.log_ratio = statistics.median(ratios)
        deviation = statistics.median([abs(ratio - self.log_ratio) for ratio in ratios])
        spread = (len(ratios) * MAD_TO_DEVIATION * deviation + SHRINKING_STEPS * INITIAL_SPREAD) / (
            len(ratios) + SHRINKING_STEPS
        )
        self.error = MEDIAN_ERROR_FACTOR * spread / math.sqrt(len(ratios))

    def classify(self, typical: float, *, may_become_slow: bool) -> bool:
        """Compare with the typical worker's `log_ratio`; return whether the class has changed."""
        self._excess = excess = self.log_ratio - typical if self.steps else 0.0
        self.slowness = math.exp(excess * self.steps / (self.steps + SHRINKING_STEPS))
        was_slow = self.is_slow
        if was_slow:
            self.is_slow = excess >= math.log(RECOVERED_RATIO)
        elif may_become_slow and self.steps >= MIN_OBSERVED_STEPS:
            self.is_slow = excess >= max(math.log(SLOW_RATIO), ERRORS_TO_BE_SLOW * self.error)
        self.is_usual = self.steps > 0 and not self.is_slow
        return self.is_slow is not was_slow


class _StepRatios:
    """Durations of a step's runs on a typical worker, relative to its queue."""

    __slots__ = ("_by_worker", "_count", "_total")

    def __init__(self) -> None:
        self._count = 0
        self._total = 0.0
        self._by_worker: dict[WorkerSpeed, tuple[int, float]] = {}

    def add(self, speed: WorkerSpeed, log_ratio: float) -> None:
        """Add a run on a worker."""
        count, total = self._by_worker.get(speed, (0, 0.0))
        self._by_worker[speed] = (count + 1, total + log_ratio)
        self._count += 1
        self._total += log_ratio

    def get_mean(self, without: WorkerSpeed | None = None) -> float:
        """Return the mean of the runs on other workers, nearer to zero the fewer there are."""
        count, total = (0, 0.0) if without is None else self._by_worker.get(without, (0, 0.0))
        return (self._total - total) / (self._count - count + 1)


class SpeedLearner:
    """Learns the speeds of workers, and how long tasks take on a typical one.

    Attributes
    ----------
    slow_workers : int
        How many workers were slow at the last refresh.
    typical_slowness : float
        Median slowness of these; 1 if there are none.
    """

    def __init__(self) -> None:
        self.slow_workers = 0
        self.typical_slowness = 1.0
        self._typical = 0.0  # `log_ratio` of the typical worker
        self._queues: dict[str, _MeanRatio] = {}  # duration relative to the estimate
        # Duration relative to that of the queue's other steps; newest last.
        self._steps: collections.OrderedDict[StepId, _StepRatios] = collections.OrderedDict()
        self._refreshed_at = -math.inf

    def record(self, speed: WorkerSpeed, run: RunDuration, now: float) -> None:
        """Record the duration of a run on the worker with this speed."""
        if run.seconds <= 0 or run.estimate_seconds <= 0:
            return
        queue = self._queues.setdefault(run.queue, _MeanRatio())
        step = self._steps.setdefault(run.step, _StepRatios())
        self._steps.move_to_end(run.step)
        if len(self._steps) > MAX_KNOWN_STEPS:
            self._steps.popitem(last=False)
        # The difference of logarithms is finite for any positive estimate of a caller.
        ratio = math.log(run.seconds) - math.log(run.estimate_seconds)
        if queue.count >= MIN_QUEUE_RUNS:
            speed.observe(run.step, ratio - queue.mean - step.get_mean(without=speed), now)
        known = speed.log_ratio if speed.steps >= MIN_OBSERVED_STEPS else 0.0
        corrected = _clip(ratio - known - queue.mean)
        step.add(speed, corrected)
        queue.add(queue.mean + corrected, MIN_SMOOTHING)

    def expect_seconds(self, queue: str, step: StepId, estimate_seconds: float) -> float:
        """Return how long a task of a step takes on a typical worker."""
        ratio = self._typical
        if queue in self._queues:
            ratio += self._queues[queue].mean
        if step in self._steps:
            ratio += self._steps[step].get_mean()
        return estimate_seconds * math.exp(ratio)

    def refresh(self, speeds: Iterable[WorkerSpeed], now: float) -> list[WorkerSpeed]:
        """Compare all workers with the median one; return those whose class has changed.

        Does nothing within half a second.
        """
        if now - self._refreshed_at < REFRESH_INTERVAL_SECONDS:
            return []
        self._refreshed_at = now
        speeds = list(speeds)
        for speed in speeds:
            speed.forget_old(now)
            speed.summarize()
        known = [speed.log_ratio for speed in speeds if speed.steps >= MIN_OBSERVED_STEPS]
        is_comparable = len(known) >= MIN_COMPARED_WORKERS
        if is_comparable:
            self._typical = statistics.median(known)
        changed = [
            speed
            for speed in speeds
            if speed.classify(self._typical, may_become_slow=is_comparable)
        ]
        slow = [speed.slowness for speed in speeds if speed.is_slow]
        self.slow_workers = len(slow)
        self.typical_slowness = statistics.median(slow) if slow else 1.0
        return changed


def _clip(log_ratio: float) -> float:
    return max(-MAX_LOG_RATIO, min(log_ratio, MAX_LOG_RATIO))
