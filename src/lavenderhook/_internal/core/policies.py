"""Placement policies, which choose among the workers on which the tasks of a job fit."""

from __future__ import annotations

import abc
import random
from collections.abc import Mapping

import numpy as np

from .declarations import PlacementMode
from .identifiers import WorkerId
from .index import Mask, Positions, Shares, WorkerIndex
from .resources import Resources

# Added to the score of workers with free accelerators. It exceeds the score of an empty worker, 2,
# so that tasks without accelerators fill the other workers first.
_ACCELERATOR_PENALTY = 4.0


class PlacementPolicy(abc.ABC):
    """Chooses workers for tasks that request equal resources."""

    name: str

    @abc.abstractmethod
    def choose(
        self,
        index: WorkerIndex,
        resources: Resources,
        candidates: Mask,
        count: int,
        task_counts: Mapping[WorkerId, int],
        generator: random.Random,
    ) -> list[int]:
        """Choose positions for up to `count` tasks.

        Parameters
        ----------
        index : WorkerIndex
            Workers to choose from; not modified.
        resources : Resources
            Resources of each task.
        candidates : ndarray of bool, shape (workers,)
            Workers that may be used.
        count : int
            Number of tasks, at least 1.
        task_counts : mapping of WorkerId to int
            Number of tasks of the same job on each worker.
        generator : random.Random
            Source of randomness.

        Returns
        -------
        list of int
            A position for each task that can be placed; shorter than `count` if not all fit.
        """


def _score_free_share(index: WorkerIndex, resources: Resources, mask: Mask) -> Shares:
    """Return a score that is lowest for the fullest worker, shape (workers,).

    It is infinite outside `mask`.
    """
    score = np.where(mask, index.free_share, np.inf)
    if not resources.accelerators and index.total.accelerators:
        score += _ACCELERATOR_PENALTY * (index.free[2] > 0)
    return score


def _fill_in_order(positions: Positions, counts: Positions, count: int) -> list[int]:
    """Return up to `count` positions; each is used up to its count before the next."""
    chosen: list[int] = []
    for position, fitting in zip(positions, counts, strict=True):
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
        task_counts: Mapping[WorkerId, int],
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
            fitting = int(index.count_fitting(resources, index.free[:, best : best + 1])[0])
            chosen.extend([best] * min(fitting, count - len(chosen)))
            score[best] = np.inf
            mask[best] = False
        return chosen


class SpreadPolicy(PlacementPolicy):
    """Spreads the tasks of a job over availability zones, then racks, then workers."""

    name = "spread"

    def choose(
        self,
        index: WorkerIndex,
        resources: Resources,
        candidates: Mask,
        count: int,
        task_counts: Mapping[WorkerId, int],
        generator: random.Random,
    ) -> list[int]:
        """Choose positions for up to `count` tasks."""
        positions = np.flatnonzero(index.find_fitting(resources, candidates))
        if not len(positions):
            return []
        by_worker = np.zeros(len(index), dtype=np.int64)
        for worker_id, tasks in task_counts.items():
            position = index.get_position(worker_id)
            if position is not None:
                by_worker[position] = tasks
        by_rack = np.bincount(index.rack, weights=by_worker, minlength=index.rack_count)
        by_zone = np.bincount(index.zone, weights=by_worker, minlength=index.zone_count)
        counts = index.count_fitting(resources, index.free[:, positions])
        fullness = 1.0 - index.free_share[positions] / 4.0
        chosen: list[int] = []
        while len(chosen) < count:
            # Lexicographic order in one number; task counts stay below the ratio of the factors.
            score = (
                by_zone[index.zone[positions]] * 1e10
                + by_rack[index.rack[positions]] * 1e5
                + by_worker[positions]
                + fullness
            )
            score[counts <= 0] = np.inf
            best = int(score.argmin())
            if counts[best] <= 0:
                break
            position = int(positions[best])
            chosen.append(position)
            counts[best] -= 1
            by_worker[position] += 1
            by_rack[index.rack[position]] += 1
            by_zone[index.zone[position]] += 1
        return chosen


class GangPolicy(PackPolicy):
    """Places a gang on few workers, those on which most tasks fit first, to keep it together."""

    name = "gang"

    def choose(
        self,
        index: WorkerIndex,
        resources: Resources,
        candidates: Mask,
        count: int,
        task_counts: Mapping[WorkerId, int],
        generator: random.Random,
    ) -> list[int]:
        """Choose positions for all `count` tasks, or none."""
        positions, counts = index.find_capacity(resources, candidates)
        if int(counts.sum()) < count:
            return []
        # Use a single availability zone if the whole gang fits there: its tasks communicate with
        # each other, and links between zones cost more. Of several such zones, use the one with
        # capacity for the fewest tasks.
        by_zone = np.bincount(index.zone[positions], weights=counts, minlength=index.zone_count)
        sufficient = np.flatnonzero(by_zone >= count)
        if len(sufficient):
            zone = sufficient[by_zone[sufficient].argmin()]
            is_in_zone = index.zone[positions] == zone
            positions, counts = positions[is_in_zone], counts[is_in_zone]
        order = np.argsort(-counts, kind="stable")
        return _fill_in_order(positions[order], counts[order], count)


class RandomPolicy(PlacementPolicy):
    """Chooses randomly among the workers on which a task fits; a baseline."""

    name = "random"

    def choose(
        self,
        index: WorkerIndex,
        resources: Resources,
        candidates: Mask,
        count: int,
        task_counts: Mapping[WorkerId, int],
        generator: random.Random,
    ) -> list[int]:
        """Choose positions for up to `count` tasks."""
        positions, counts = index.find_capacity(resources, candidates)
        remaining = {int(p): int(r) for p, r in zip(positions, counts, strict=True)}
        chosen: list[int] = []
        while remaining and len(chosen) < count:
            position = generator.choice(tuple(remaining))
            chosen.append(position)
            remaining[position] -= 1
            if not remaining[position]:
                del remaining[position]
        return chosen


class FirstFitPolicy(PlacementPolicy):
    """Chooses the first workers by id on which a task fits; a baseline."""

    name = "first-fit"

    def choose(
        self,
        index: WorkerIndex,
        resources: Resources,
        candidates: Mask,
        count: int,
        task_counts: Mapping[WorkerId, int],
        generator: random.Random,
    ) -> list[int]:
        """Choose positions for up to `count` tasks."""
        positions, counts = index.find_capacity(resources, candidates)
        return _fill_in_order(positions, counts, count)


POLICIES: Mapping[PlacementMode, PlacementPolicy] = {
    PlacementMode.PACK: PackPolicy(),
    PlacementMode.SPREAD: SpreadPolicy(),
    PlacementMode.GANG: GangPolicy(),
    PlacementMode.RANDOM: RandomPolicy(),
    PlacementMode.FIRST_FIT: FirstFitPolicy(),
}
