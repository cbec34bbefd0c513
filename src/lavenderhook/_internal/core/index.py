"""Free amounts, places and labels of the workers of a shard, as arrays.

A decision looks at every worker of the shard with a few vector operations. Weighed against it: an
ordered index per label set, whose upkeep costs a removal and an insertion per label set and
placement and which still answers only one dimension at a time; and sampling, which misses the
last fitting worker when the shard is nearly full. `bench/placement.py` compares the three.
"""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from typing import TYPE_CHECKING, TypeAlias

import numpy as np
import numpy.typing as npt

from .identifiers import WorkerId
from .labels import LabelSelector
from .resources import ZERO, Resources

if TYPE_CHECKING:
    from .scheduler import SchedulableWorker

Amounts: TypeAlias = npt.NDArray[np.int64]
Mask: TypeAlias = npt.NDArray[np.bool_]
Positions: TypeAlias = npt.NDArray[np.int64]

DIMENSIONS = 3


def to_amounts(resources: Resources) -> Amounts:
    """Return resources as an array of shape (3,): millicores, mebibytes, accelerators."""
    return np.array(
        (resources.processors, resources.memory_mb, resources.accelerators), dtype=np.int64
    )


class WorkerIndex:
    """Workers by position.

    Attributes
    ----------
    ids : list of WorkerId
        Worker at each position.
    capacity, free : ndarray of int64, shape (workers, 3)
        Amounts in millicores, mebibytes and accelerators. `free` may be negative after the
        platform reported a smaller capacity; such a worker takes nothing.
    open : ndarray of bool, shape (workers,)
        Whether a worker may get new work at all: neither leaving nor draining.
    zone, rack : ndarray of int64, shape (workers,)
        Number of the availability zone and of the rack.
    """

    def __init__(self) -> None:
        self.ids: list[WorkerId] = []
        self.workers: list[SchedulableWorker] = []
        self._position: dict[WorkerId, int] = {}
        self._reserved: dict[WorkerId, Resources] = {}
        self._masks: dict[tuple[LabelSelector, ...], Mask] = {}
        self.capacity: Amounts = np.zeros((0, DIMENSIONS), dtype=np.int64)
        self.free: Amounts = self.capacity.copy()
        self.open: Mask = np.zeros(0, dtype=np.bool_)
        self.zone: Positions = np.zeros(0, dtype=np.int64)
        self.rack: Positions = np.zeros(0, dtype=np.int64)
        self.zones = 0
        self.racks = 0
        self.total = ZERO

    def __len__(self) -> int:
        return len(self.ids)

    def replace(self, workers: Iterable[SchedulableWorker]) -> None:
        """Replace the set of workers; what is reserved stays reserved, also on missing workers."""
        self.workers = sorted(workers, key=lambda worker: worker.view.worker_id)
        self.ids = [worker.view.worker_id for worker in self.workers]
        self._position = {worker_id: n for n, worker_id in enumerate(self.ids)}
        self._masks.clear()
        shape = (len(self.ids), DIMENSIONS)
        capacities = [to_amounts(worker.view.capacity) for worker in self.workers]
        reserved = [to_amounts(self._reserved.get(i, ZERO)) for i in self.ids]
        self.capacity = np.array(capacities, dtype=np.int64).reshape(shape)
        self.free = self.capacity - np.array(reserved, dtype=np.int64).reshape(shape)
        self.open = np.array(
            [not worker.draining and not worker.view.leaving for worker in self.workers],
            dtype=np.bool_,
        )
        self.zone, self.zones = _number([w.view.availability_zone for w in self.workers])
        self.rack, self.racks = _number([w.view.rack for w in self.workers])
        sums = self.capacity.sum(axis=0) if len(self.ids) else np.zeros(DIMENSIONS, dtype=np.int64)
        self.total = Resources(*(int(amount) for amount in sums))

    def get_position(self, worker_id: WorkerId) -> int | None:
        """Return the position of a worker, or None if it is not listed."""
        return self._position.get(worker_id)

    def get_reserved(self, worker_id: WorkerId) -> Resources:
        """Return what is reserved on a worker."""
        return self._reserved.get(worker_id, ZERO)

    def reserve(self, worker_id: WorkerId, resources: Resources) -> None:
        """Take an amount from a worker."""
        self._reserved[worker_id] = self._reserved.get(worker_id, ZERO) + resources
        position = self._position.get(worker_id)
        if position is not None:
            self.free[position] -= to_amounts(resources)

    def release(self, worker_id: WorkerId, resources: Resources) -> None:
        """Give an amount back to a worker."""
        rest = self._reserved.get(worker_id, ZERO) - resources
        if rest == ZERO:
            self._reserved.pop(worker_id, None)
        else:
            self._reserved[worker_id] = rest
        position = self._position.get(worker_id)
        if position is not None:
            self.free[position] += to_amounts(resources)

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

    def count_fitting(self, demand: Amounts, amounts: Amounts) -> Positions:
        """Return how many tasks of `demand` fit into each row of `amounts`, shape (workers,)."""
        needed = demand > 0
        if not needed.any():
            return np.full(len(amounts), np.iinfo(np.int32).max, dtype=np.int64)
        counts: Positions = np.maximum(amounts[:, needed] // demand[needed], 0).min(axis=1)
        return counts


def _number(names: Sequence[str]) -> tuple[Positions, int]:
    numbers: dict[str, int] = {}
    for name in names:
        numbers.setdefault(name, len(numbers))
    return np.array([numbers[name] for name in names], dtype=np.int64), len(numbers)
