"""Free resources, locations and labels of the workers of a shard, as arrays.

A decision examines every worker of the shard with a few vector operations. Two alternatives were
rejected: an ordered index per label set, which costs a removal and an insertion per label set and
placement and still covers only one dimension at a time; and sampling, which misses the last
fitting worker when the shard is nearly full. `bench/placement.py` compares the three.
"""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from typing import TYPE_CHECKING, TypeAlias

import numpy as np
import numpy.typing as npt

from .identifiers import WorkerId
from .labels import LabelSelector
from .resources import ZERO_RESOURCES, Resources

if TYPE_CHECKING:
    from .scheduler import SchedulableWorker

Amounts: TypeAlias = npt.NDArray[np.int64]
Mask: TypeAlias = npt.NDArray[np.bool_]
Positions: TypeAlias = npt.NDArray[np.int64]
Shares: TypeAlias = npt.NDArray[np.float64]

DIMENSIONS = 3


class WorkerIndex:
    """Resources, locations and label matches of workers, by position.

    Attributes
    ----------
    ids : list of WorkerId
        Worker at each position.
    capacity, free : ndarray of int64, shape (3, workers)
        Amounts in millicores, mebibytes and accelerators; one row per dimension, so that a
        comparison reads contiguous memory. `free` may be negative after the platform reported a
        smaller capacity; no task fits on such a worker.
    free_share : ndarray of float64, shape (workers,)
        Free processors and free memory as shares of the worker, summed. Updated with every
        reservation, because computing it for all workers costs more than the choice itself.
    accepts_tasks : ndarray of bool, shape (workers,)
        Whether a worker may get new tasks: neither leaving nor draining.
    zone, rack : ndarray of int64, shape (workers,)
        Number of the availability zone and of the rack.
    """

    def __init__(self) -> None:
        self.ids: list[WorkerId] = []
        self.workers: list[SchedulableWorker] = []
        self._position: dict[WorkerId, int] = {}
        self._reserved: dict[WorkerId, Resources] = {}
        self._masks: dict[tuple[LabelSelector, ...], Mask] = {}
        self.capacity: Amounts = np.zeros((DIMENSIONS, 0), dtype=np.int64)
        self.free: Amounts = self.capacity.copy()
        self.free_share: Shares = np.zeros(0, dtype=np.float64)
        self.accepts_tasks: Mask = np.zeros(0, dtype=np.bool_)
        self.zone: Positions = np.zeros(0, dtype=np.int64)
        self.rack: Positions = np.zeros(0, dtype=np.int64)
        self.zone_count = 0
        self.rack_count = 0
        self.total = ZERO_RESOURCES

    def __len__(self) -> int:
        return len(self.ids)

    def replace(self, workers: Iterable[SchedulableWorker]) -> None:
        """Replace the set of workers; reservations stay, also those on missing workers."""
        self.workers = sorted(workers, key=lambda worker: worker.view.worker_id)
        self.ids = [worker.view.worker_id for worker in self.workers]
        self._position = {worker_id: n for n, worker_id in enumerate(self.ids)}
        self._masks.clear()
        self.capacity = _to_columns([worker.view.capacity for worker in self.workers])
        reserved = _to_columns([self._reserved.get(i, ZERO_RESOURCES) for i in self.ids])
        self.free = self.capacity - reserved
        shares = self.free[:2] / np.maximum(self.capacity[:2], 1)
        self.free_share = shares.sum(axis=0)
        self.accepts_tasks = np.array(
            [not worker.draining and not worker.view.leaving for worker in self.workers],
            dtype=np.bool_,
        )
        self.zone, self.zone_count = _number_names([w.view.availability_zone for w in self.workers])
        self.rack, self.rack_count = _number_names([w.view.rack for w in self.workers])
        self.total = Resources(*(int(amount) for amount in self.capacity.sum(axis=1)))

    def get_position(self, worker_id: WorkerId) -> int | None:
        """Return the position of a worker, or None if it is not listed."""
        return self._position.get(worker_id)

    def get_reserved(self, worker_id: WorkerId) -> Resources:
        """Return the reserved resources of a worker."""
        return self._reserved.get(worker_id, ZERO_RESOURCES)

    def reserve(self, worker_id: WorkerId, resources: Resources) -> None:
        """Reserve resources on a worker."""
        self._reserved[worker_id] = self._reserved.get(worker_id, ZERO_RESOURCES) + resources
        position = self._position.get(worker_id)
        if position is not None:
            self._add_free(position, resources, -1)

    def release(self, worker_id: WorkerId, resources: Resources) -> None:
        """Release reserved resources of a worker."""
        rest = self._reserved.get(worker_id, ZERO_RESOURCES) - resources
        if rest == ZERO_RESOURCES:
            self._reserved.pop(worker_id, None)
        else:
            self._reserved[worker_id] = rest
        position = self._position.get(worker_id)
        if position is not None:
            self._add_free(position, resources, 1)

    def _add_free(self, position: int, resources: Resources, sign: int) -> None:
        free = self.free
        free[0, position] += sign * resources.processors
        free[1, position] += sign * resources.memory_mb
        free[2, position] += sign * resources.accelerators
        processors, memory_mb, _ = self.capacity[:, position].tolist()
        self.free_share[position] = free[0, position] / max(processors, 1) + free[
            1, position
        ] / max(memory_mb, 1)

    def find_fitting(self, resources: Resources, candidates: Mask) -> Mask:
        """Return which of `candidates` have `resources` free, shape (workers,)."""
        free = self.free
        mask = candidates & (free[0] >= resources.processors)
        mask &= free[1] >= resources.memory_mb
        if resources.accelerators:
            mask &= free[2] >= resources.accelerators
        return mask

    def get_mask(self, selectors: tuple[LabelSelector, ...]) -> Mask:
        """Return which workers' labels match all selectors, shape (workers,)."""
        mask = self._masks.get(selectors)
        if mask is None:
            mask = np.array(
                [all(s.matches(worker.labels) for s in selectors) for worker in self.workers],
                dtype=np.bool_,
            )
            self._masks[selectors] = mask
        return mask

    def find_capacity(self, resources: Resources, candidates: Mask) -> tuple[Positions, Positions]:
        """Return the positions in `candidates` where a task fits, and how many fit on each."""
        positions = np.flatnonzero(self.find_fitting(resources, candidates))
        return positions, self.count_fitting(resources, self.free[:, positions])

    def count_fitting(self, resources: Resources, amounts: Amounts) -> Positions:
        """Return how many tasks fit into each column of `amounts`, shape (workers,)."""
        counts = np.full(amounts.shape[1], np.iinfo(np.int32).max, dtype=np.int64)
        demands = (resources.processors, resources.memory_mb, resources.accelerators)
        for amount, demand in zip(amounts, demands, strict=True):
            if demand > 0:
                np.minimum(counts, amount // demand, out=counts)
        return np.maximum(counts, 0)


def _to_columns(amounts: Sequence[Resources]) -> Amounts:
    rows = [(a.processors, a.memory_mb, a.accelerators) for a in amounts]
    return np.array(rows, dtype=np.int64).reshape(len(rows), DIMENSIONS).T.copy()


def _number_names(names: Sequence[str]) -> tuple[Positions, int]:
    numbers: dict[str, int] = {}
    for name in names:
        numbers.setdefault(name, len(numbers))
    return np.array([numbers[name] for name in names], dtype=np.int64), len(numbers)
