"""Choice of a worker for a task: constraints, and a policy that ranks eligible workers."""

from __future__ import annotations

import abc
import math
from collections.abc import Iterable, Sequence

from .model import USELESS_AFTER_OBJECTIVES, Resources, StepSpec
from .speeds import SpeedLearner
from .step_progress import StepProgress
from .submissions import SubmissionProgress
from .workers import Worker

# Estimated durations are off by half; a task that uses capacity reserved for a gang has to end in
# time.
BACKFILL_MARGIN = 1.5
# Estimates are off and tasks of one step differ, by half each; a step ends with its longest task.
UNCERTAINTY_FACTOR = 2.0
MIN_EXPECTED_SECONDS = 0.05


def is_eligible(step: StepProgress, service: str, worker: Worker) -> bool:
    """Return whether a worker may run the step, regardless of its free capacity."""
    label = step.spec.placement.label
    return (
        worker.listing.service == service
        and (not label or label in worker.listing.labels)
        and worker.id not in step.refused
    )


class PlacementPolicy(abc.ABC):
    """Ranks the workers that may run a task and have capacity for it."""

    @abc.abstractmethod
    def begin_step(self, entry: SubmissionProgress, step: StepProgress, now: float) -> None:
        """Prepare to place tasks of a step; what the other methods return is for this step."""

    @abc.abstractmethod
    def compute_penalty(self, worker: Worker) -> int:
        """Return what comes before the capacity of a worker in its rank; the lowest is taken."""

    @abc.abstractmethod
    def group_for_gang(self, workers: Sequence[Worker]) -> list[Sequence[Worker]]:
        """Return the groups of workers to try in turn for all members of a gang."""

    @abc.abstractmethod
    def rank(self, step: StepProgress, worker: Worker) -> tuple[float, ...]:
        """Return the rank of a worker for the step; the lowest is taken."""


class UniformPolicy(PlacementPolicy):
    """Ranks workers without regard to their speeds."""

    def begin_step(self, entry: SubmissionProgress, step: StepProgress, now: float) -> None:
        """Prepare nothing."""

    def compute_penalty(self, worker: Worker) -> int:
        """Return the same for each worker."""
        return 0

    def group_for_gang(self, workers: Sequence[Worker]) -> list[Sequence[Worker]]:
        """Return all workers as one group."""
        return [workers]


class BestFit(UniformPolicy):
    """Prefers the worker that is left with the least free capacity.

    Handles gangs of large tasks that arrive among many small ones: small tasks fill workers that
    are nearly full, so that others have free capacity for the large ones.
    """

    def rank(self, step: StepProgress, worker: Worker) -> tuple[float, ...]:
        """Return the processors left free, plus all the capacity if the data is on another rack."""
        remaining = worker.get_free_processors() - step.spec.resources.processors
        rack = step.spec.placement.data_rack
        rack_penalty = worker.listing.capacity.processors if rack and worker.rack != rack else 0
        return (remaining + rack_penalty,)


class SpreadServices(PlacementPolicy):
    """Spreads the tasks of a service over racks and workers; other steps follow another policy.

    Handles workers that crash, racks that are lost and workers that are replaced in turn: few tasks
    of one service are away at a time.
    """

    def __init__(self, other: PlacementPolicy) -> None:
        self._other = other

    def rank(self, step: StepProgress, worker: Worker) -> tuple[float, ...]:
        """Return how many tasks of the step the worker and its rack hold, then the other rank."""
        rank = self._other.rank(step, worker)
        if not step.spec.is_service:
            return rank
        return (step.count_on_worker(worker), step.count_in_rack(worker), *rank)

    def begin_step(self, entry: SubmissionProgress, step: StepProgress, now: float) -> None:
        """Prepare the other policy."""
        self._other.begin_step(entry, step, now)

    def compute_penalty(self, worker: Worker) -> int:
        """Return the other policy's penalty."""
        return self._other.compute_penalty(worker)

    def group_for_gang(self, workers: Sequence[Worker]) -> list[Sequence[Worker]]:
        """Return the other policy's groups."""
        return self._other.group_for_gang(workers)


class LearntSpeeds(PlacementPolicy):
    """Keeps slow workers for steps that end in time on them too; then follows another policy.

    Handles a fleet of which a third takes twice as long for good, under short steps whose objective
    is little more than their own duration, beside long ones with much time left. Packed by capacity
    alone, the short ones go to the slow workers, as these are busy for longer, and end late while
    faster ones are free. Members of a gang wait for the slowest: they get workers of one class if
    these hold them all.

    Where no worker is slow, all are ranked by the other policy only; so they are for services, and
    for steps with a preferred rack, where the distance weighs as much.

    Parameters
    ----------
    other : PlacementPolicy
    learner : SpeedLearner
    """

    def __init__(self, other: PlacementPolicy, learner: SpeedLearner) -> None:
        self._other = other
        self._learner = learner
        self._max_slowness: float | None = None  # of a worker on which the step ends in time
        self._is_late = False

    def begin_step(self, entry: SubmissionProgress, step: StepProgress, now: float) -> None:
        """Compute on how slow a worker the step still ends in time."""
        spec = step.spec
        self._max_slowness = None
        if (
            not self._learner.slow_workers
            or spec.is_service
            or spec.is_filler
            or spec.placement.data_rack
            or spec.placement.single_rack
        ):
            return
        queue = entry.submission.queue.name
        seconds = self._learner.expect_seconds(queue, step.id, spec.estimate_seconds)
        seconds = max(seconds, MIN_EXPECTED_SECONDS)
        remaining = step.objective_at - step.following_seconds - now
        self._is_late = remaining < seconds  # on any worker; when is it of no use?
        if self._is_late:
            remaining += (USELESS_AFTER_OBJECTIVES - 1) * (step.objective_at - step.due_at)
        self._max_slowness = remaining / (UNCERTAINTY_FACTOR * seconds)

    def compute_penalty(self, worker: Worker) -> int:
        """Return 2 for a slow worker on which the step may end late, -2 for other slow ones.

        Workers of unknown speed are in between, so that work with much time left shows their speed.
        What is late anyway doesn't prefer slow workers, nor avoid them if it is useless everywhere.
        """
        speed = worker.speed
        if self._max_slowness is None or speed.is_usual:
            return 0
        if self._is_late:
            return 2 if speed.is_slow and speed.slowness > self._max_slowness > 0 else 0
        if speed.is_slow:
            return 2 if speed.slowness > self._max_slowness else -2
        return 1 if self._learner.typical_slowness > self._max_slowness else -1

    def rank(self, step: StepProgress, worker: Worker) -> tuple[float, ...]:
        """Return the penalty, then the other rank."""
        rank = self._other.rank(step, worker)
        if self._max_slowness is None:
            return rank
        return (0 if worker.speed.is_usual else self.compute_penalty(worker), *rank)

    def group_for_gang(self, workers: Sequence[Worker]) -> list[Sequence[Worker]]:
        """Return the workers of the lowest penalty, then also those of the next, up to all."""
        if self._max_slowness is None:
            return [workers]
        penalties = [self.compute_penalty(worker) for worker in workers]
        return [
            [w for w, penalty in zip(workers, penalties, strict=True) if penalty <= highest]
            for highest in sorted(set(penalties))
        ]


class LeastLoss(UniformPolicy):
    """Prefers workers whose crash would cost least; data stays near.

    Handles a worker that has crashed with twenty runs, of which at most a few are the cause:
    started again together, they would crash the next worker together.
    """

    def rank(self, step: StepProgress, worker: Worker) -> tuple[float, ...]:
        """Return whether the data is on another rack, the suspects there, and what is in use."""
        rack = step.spec.placement.data_rack
        is_remote = bool(rack) and worker.rack != rack
        return (is_remote, worker.count_suspects(), worker.used_processors)


def estimate_end(spec: StepSpec, now: float) -> float:
    """Return when a task that starts now ends at the latest, as far as its estimate tells."""
    return now + BACKFILL_MARGIN * spec.expected_seconds


def is_available(step: StepProgress, worker: Worker, ends_at: float) -> bool:
    """Return whether a task of a step that ends at a time may be placed on an eligible worker."""
    spec = step.spec
    if not worker.has_capacity_for(spec.resources, spec.is_filler, ends_at):
        return False
    most = spec.placement.most_per_worker
    return not most or step.count_on_worker(worker) < most


def list_workers_with_room(workers: Iterable[Worker], specs: Sequence[StepSpec]) -> list[Worker]:
    """Return the workers that may have room for a task of any of the steps.

    Handles a load far beyond all capacity: in each placement pass, hundreds of waiting steps would
    be compared with hundreds of full workers. What is free of a worker only shrinks in a pass.
    """
    counted = [0 if spec.is_filler else spec.resources.processors for spec in specs]
    processors = min(counted, default=0)
    memory_mb = min((spec.resources.memory_mb for spec in specs), default=0)
    return [
        worker
        for worker in workers
        if worker.get_free_processors() >= processors
        and worker.get_free_resources().memory_mb >= memory_mb
    ]


def choose_worker(
    policy: PlacementPolicy, step: StepProgress, candidates: Iterable[Worker], ends_at: float
) -> Worker | None:
    """Return the worker for one task of the step that ends at a time, or None."""
    best: Worker | None = None
    best_rank: tuple[float, ...] = ()
    for worker in candidates:
        if not is_available(step, worker, ends_at):
            continue
        rank = policy.rank(step, worker)
        if best is None or rank < best_rank:
            best, best_rank = worker, rank
    return best


def choose_gang(
    policy: PlacementPolicy, spec: StepSpec, candidates: Sequence[Worker], ends_at: float
) -> list[Worker] | None:
    """Return a worker for each member, of one group of the policy, or None if none holds them."""
    for group in policy.group_for_gang(candidates):
        chosen = choose_gang_workers(spec, group, ends_at)
        if chosen is not None:
            return chosen
    return None


def choose_gang_workers(
    spec: StepSpec, candidates: Sequence[Worker], ends_at: float = math.inf
) -> list[Worker] | None:
    """Return a worker for each member of a gang that ends at a time, or None if it doesn't fit now.

    Members are assigned greedily to the workers with most free processors, on one rack if the step
    asks for it and a rack holds them all.
    """
    if spec.placement.single_rack:
        racks: dict[str, list[Worker]] = {}
        for worker in candidates:
            racks.setdefault(worker.rack, []).append(worker)
        for members in racks.values():
            found = _assign_greedily(spec, members, ends_at)
            if found is not None:
                return found
    return _assign_greedily(spec, candidates, ends_at)


def _assign_greedily(
    spec: StepSpec, candidates: Sequence[Worker], ends_at: float
) -> list[Worker] | None:
    chosen: list[Worker] = []
    for worker in sorted(candidates, key=Worker.get_free_processors, reverse=True):
        chosen.extend(
            [worker] * min(count_fitting(spec, worker, ends_at), spec.count - len(chosen))
        )
        if len(chosen) >= spec.count:
            return chosen
    return None


def count_fitting_if_empty(spec: StepSpec, worker: Worker) -> int:
    """Return how many tasks of a step an empty worker holds."""
    return count_fitting_in(spec, worker.listing.capacity)


def count_fitting(spec: StepSpec, worker: Worker, ends_at: float = math.inf) -> int:
    """Return how many tasks of a step that end at a time fit into what is free of a worker."""
    return count_fitting_in(spec, worker.get_free_resources(ends_at))


def count_fitting_in(spec: StepSpec, free: Resources) -> int:
    """Return how many tasks of a step may be placed on one worker with these free resources."""
    needs = spec.resources
    limits = [spec.count]
    if needs.processors and not spec.is_filler:
        limits.append(free.processors // needs.processors)
    if needs.memory_mb:
        limits.append(free.memory_mb // needs.memory_mb)
    if needs.accelerators:
        limits.append(free.accelerators // needs.accelerators)
    if spec.placement.most_per_worker:
        limits.append(spec.placement.most_per_worker)
    return max(0, min(limits))
