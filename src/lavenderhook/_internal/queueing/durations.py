"""How long tasks take, learnt from the runs of their kind that have ended."""

from __future__ import annotations

import dataclasses
import math
from typing import NamedTuple

from .model import StepSpec

# Callers' estimates are off by half and more, so a kind without runs has this spread.
PRIOR_LOG_SPREAD = 0.4
PRIOR_RUNS = 5  # runs that the callers' own estimates count as
MAX_RUNS = 200  # older runs lose weight, so that a kind whose duration changes is followed
MAX_KINDS = 500
MAX_LOG_RATIO = math.log(10.0)  # one run that stood still doesn't decide for its kind


class DurationKind(NamedTuple):
    """Tasks that are expected to behave alike.

    Parameters
    ----------
    queue : str
    image : str
        What the tasks run; empty for all tasks of the queue.
    """

    queue: str
    image: str


class ExpectedDuration(NamedTuple):
    """Duration of a task in seconds.

    Parameters
    ----------
    typical : float
        Half of the runs are expected to be longer.
    shortest : float
        Few runs are expected to be shorter.
    """

    typical: float
    shortest: float


@dataclasses.dataclass(slots=True)
class _Ratio:
    """Moving mean and variance of the logarithm of real durations over estimated ones."""

    runs: float = PRIOR_RUNS
    mean: float = 0.0
    variance: float = PRIOR_LOG_SPREAD**2

    def record(self, value: float) -> None:
        self.runs = min(self.runs + 1, MAX_RUNS)
        delta = value - self.mean
        self.mean += delta / self.runs
        self.variance += (delta * (value - self.mean) - self.variance) / self.runs


_PRIOR_RATIO = _Ratio()


class DurationEstimates:
    """Durations by kind, as a multiple of what callers estimate.

    Handles queues whose callers estimate too little or too much: what waits is judged by the time
    that it will take. Few runs change little, as the callers' estimates count as some runs.
    """

    def __init__(self) -> None:
        self._ratios: dict[DurationKind, _Ratio] = {}

    def record_run(self, queue: str, spec: StepSpec, seconds: float) -> None:
        """Record a run that has ended done after its whole duration in seconds."""
        if spec.estimate_seconds <= 0 or seconds <= 0:
            return
        ratio = math.log(seconds / spec.estimate_seconds)
        ratio = max(-MAX_LOG_RATIO, min(ratio, MAX_LOG_RATIO))
        for kind in {DurationKind(queue, ""), DurationKind(queue, spec.image)}:
            self._get_or_add(kind).record(ratio)

    def _get_or_add(self, kind: DurationKind) -> _Ratio:
        ratio = self._ratios.get(kind)
        if ratio is None:
            if len(self._ratios) >= MAX_KINDS:
                self._ratios.pop(next(iter(self._ratios)))
            ratio = self._ratios[kind] = _Ratio()
        return ratio

    def estimate(self, queue: str, spec: StepSpec) -> ExpectedDuration:
        """Return the expected duration of a task; infinite for a service."""
        ratio = self._ratios.get(DurationKind(queue, spec.image))
        if ratio is None:
            ratio = self._ratios.get(DurationKind(queue, ""), _PRIOR_RATIO)
        typical = spec.expected_seconds * math.exp(ratio.mean)
        return ExpectedDuration(typical, typical * math.exp(-2.0 * math.sqrt(ratio.variance)))
