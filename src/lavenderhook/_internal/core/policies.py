"""Placement policies: which of the workers that fit get the tasks of a job."""

from __future__ import annotations

import abc
import random
from collections.abc import Mapping

import numpy as np

from .declarations import PlacementMode
from .identifiers import WorkerId
from .index import Mask, Positions, Shares, WorkerIndex
from .resources import Resources

# A worker with free accelerators is worth this many whole workers to a task that needs none, so
# that work without accelerators fills the other workers first.
_ACCELERATOR_PENALTY = 4.0


class PlacementPolicy(abc.ABC):
    """Chooses workers for tasks of equal size."""

    name: str

    @abc.abstractmethod
    def choose(
        self,
        index: WorkerIndex,
        resources: Resources,
        candidates: Mask,
        count: int,
        held: Mapping[WorkerId, int],
        generator: random.Random,
    ) -> list[int]:
        """Choose positions for up to `count` tasks.

        Parameters
        ----------
        index : WorkerIndex
            Not changed.
        resources : Resources
            Amount of each task.
        candidates : ndarray of bool, shape (workers,)
            Workers that may be used.
        count : int
            Number of tasks, at least 1.
        held : mapping of WorkerId to int
            Tasks of the same job that each worker has already.
        generator : random.Random
            Source of randomness.

        Returns
        -------
        list of int
            A position for each task that can be placed; shorter than `count` if not all fit.
        """


def _score_free_share(index: WorkerIndex, resources: Resources, mask: Mask) -> Shares:
    """Return how empty each worker is, infinite outside `mask`, shape (workers,)."""
    score = np.where(mask, index.free_share, np.inf)
    if not resources.accelerators and index.total.accelerators:
        score += _ACCELERATOR_PENALTY * (index.free[2] > 0)
    return score


def _fill_in_order(positions: Positions, room: Positions, count: int) -> list[int]:
    """Return up to `count` positions, using up the room of each before the next."""
    chosen: list[int] = []
    for position, fitting in zip(positions, room, strict=True):
        chosen.extend([int(position)] * min(int(fitting), count - len(chosen)))
        if len(chosen) == count:
            break
    return chosen


class PackPolicy(PlacementPolicy):
    """Best fit: fills the fullest worker on which a task fits."""

    name = "pack"

    def choose(
        self,
        index: WorkerIndex,
        resources: Resources,
        candidates: Mask,
        count: int,
        held: Mapping[WorkerId, int],
        generator: random.Random,
    ) -> list[int]:
        """Choose positions for up to `count` tasks."""
        mask = index.find_fitting(resources, candidates)
        score = _score_free_share(index, resources, mask)
        chosen: list[int] = []
        while len(chosen) < count:
            best = int(score.argmin())
            if not mask[best]:
                break
            room = int(index.count_fitting(resources, index.free[:, best : best + 1])[0])
            chosen.extend([best] * min(room, count - len(chosen)))
            score[best] = np.inf
            mask[best] = False
        return chosen


class SpreadPolicy(PlacementPolicy):
    """Puts the tasks of a job on as many availability zones, racks and workers as there are."""

    name = "spread"

    def choose(
        self,
        index: WorkerIndex,
        resources: Resources,
        candidates: Mask,
        count: int,
        held: Mapping[WorkerId, int],
        generator: random.Random,
    ) -> list[int]:
        """Choose positions for up to `count` tasks."""
        positions = np.flatnonzero(index.find_fitting(resources, candidates))
        if not len(positions):
            return []
        by_worker = np.zeros(len(index), dtype=np.int64)
        for worker_id, tasks in held.items():
            position = index.get_position(worker_id)
            if position is not None:
                by_worker[position] = tasks
        by_rack = np.bincount(index.rack, weights=by_worker, minlength=index.racks)
        by_zone = np.bincount(index.zone, weights=by_worker, minlength=index.zones)
        room = index.count_fitting(resources, index.free[:, positions])
        fullness = 1.0 - index.free_share[positions] / 4.0
        chosen: list[int] = []
        while len(chosen) < count:
            # Lexicographic order in one number: no count reaches the next factor.
            score = (
                by_zone[index.zone[positions]] * 1e10
                + by_rack[index.rack[positions]] * 1e5
                + by_worker[positions]
                + fullness
            )
            score[room <= 0] = np.inf
            best = int(score.argmin())
            if room[best] <= 0:
                break
            position = int(positions[best])
            chosen.append(position)
            room[best] -= 1
            by_worker[position] += 1
            by_rack[index.rack[position]] += 1
            by_zone[index.zone[position]] += 1
        return chosen


class GangPolicy(PackPolicy):
    """Puts a gang on few workers, emptiest first, so that its tasks are close together."""

    name = "gang"

    def choose(
        self,
        index: WorkerIndex,
        resources: Resources,
        candidates: Mask,
        count: int,
        held: Mapping[WorkerId, int],
        generator: random.Random,
    ) -> list[int]:
        """Choose positions for all `count` tasks, or none."""
        positions, room = index.find_capacity(resources, candidates)
        if int(room.sum()) < count:
            return []
        # Within one availability zone if one can hold the whole gang: its tasks talk to each
        # other, and links between zones cost more.
        by_zone = np.bincount(index.zone[positions], weights=room, minlength=index.zones)
        holding = np.flatnonzero(by_zone >= count)
        if len(holding):
            zone = holding[by_zone[holding].argmin()]
            inside = index.zone[positions] == zone
            positions, room = positions[inside], room[inside]
        order = np.argsort(-room, kind="stable")
        return _fill_in_order(positions[order], room[order], count)


class RandomPolicy(PlacementPolicy):
    """A random worker among those that fit; a baseline."""

    name = "random"

    def choose(
        self,
        index: WorkerIndex,
        resources: Resources,
        candidates: Mask,
        count: int,
        held: Mapping[WorkerId, int],
        generator: random.Random,
    ) -> list[int]:
        """Choose positions for up to `count` tasks."""
        positions, room = index.find_capacity(resources, candidates)
        left = {int(p): int(r) for p, r in zip(positions, room, strict=True)}
        chosen: list[int] = []
        while left and len(chosen) < count:
            position = generator.choice(tuple(left))
            chosen.append(position)
            left[position] -= 1
            if not left[position]:
                del left[position]
        return chosen


class FirstFitPolicy(PlacementPolicy):
    """The first workers by id that fit; a baseline."""

    name = "first-fit"

    def choose(
        self,
        index: WorkerIndex,
        resources: Resources,
        candidates: Mask,
        count: int,
        held: Mapping[WorkerId, int],
        generator: random.Random,
    ) -> list[int]:
        """Choose positions for up to `count` tasks."""
        positions, room = index.find_capacity(resources, candidates)
        return _fill_in_order(positions, room, count)


POLICIES: Mapping[PlacementMode, PlacementPolicy] = {
    PlacementMode.PACK: PackPolicy(),
    PlacementMode.SPREAD: SpreadPolicy(),
    PlacementMode.GANG: GangPolicy(),
    PlacementMode.RANDOM: RandomPolicy(),
    PlacementMode.FIRST_FIT: FirstFitPolicy(),
}
