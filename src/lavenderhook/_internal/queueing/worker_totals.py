"""What tasks use, relative to all workers together."""

from __future__ import annotations

from collections.abc import Iterable

from .model import StepSpec
from .workers import Worker

MIN_TASK_SHARE = 1e-4  # of tasks that use next to nothing


class WorkerTotals:
    """Capacity of a group of workers.

    Parameters
    ----------
    workers : iterable of Worker
    """

    def __init__(self, workers: Iterable[Worker] = ()) -> None:
        capacities = [worker.listing.capacity for worker in workers]
        self.count = len(capacities)
        self._processors = sum(capacity.processors for capacity in capacities)
        self._memory_mb = sum(capacity.memory_mb for capacity in capacities)

    def measure_share(self, spec: StepSpec) -> float:
        """Return the part of all processors or of all memory, the larger one, of a task."""
        processors = 0 if spec.is_filler else spec.resources.processors
        return max(
            processors / max(1, self._processors),
            spec.resources.memory_mb / max(1, self._memory_mb),
            MIN_TASK_SHARE,
        )
