"""Which worker runs a task: what must hold, and the policy that chooses among the rest."""

from __future__ import annotations

import abc
from collections.abc import Iterable, Sequence

from .model import Resources, StepSpec
from .submissions import StepProgress
from .workers import Worker

RACK_PREFIX = "r"  # labels of racks look like r1-3


def find_rack(worker: Worker) -> str:
    """Return the rack of a worker, by its labels."""
    for label in worker.listing.labels:
        if label.startswith(RACK_PREFIX) and "-" in label:
            return label
    return ""


def is_eligible(step: StepProgress, service: str, worker: Worker) -> bool:
    """Return whether a worker may ever run the step, whatever else it holds."""
    label = step.spec.placement.label
    return (
        worker.listing.service == service
        and (not label or label in worker.listing.labels)
        and worker.id not in step.refused
    )


def count_on_worker(step: StepProgress, worker: Worker) -> int:
    """Return how many runs of a step a worker holds."""
    return sum(run.worker == worker.id for runs in step.runs.values() for run in runs)


class PlacementPolicy(abc.ABC):
    """Chooses a worker among those that may run a task and have room for it."""

    @abc.abstractmethod
    def rank(self, step: StepProgress, worker: Worker) -> float:
        """Return the rank of a worker for the step; the lowest is taken."""


class BestFit(PlacementPolicy):
    """Takes the worker that is left with the least free room.

    Answers the load in which gangs of wide tasks arrive among many narrow ones: narrow tasks
    fill workers that are nearly full, so that others keep room for the wide ones.
    """

    def rank(self, step: StepProgress, worker: Worker) -> float:
        """Return the processors that stay free; racks without the data come last."""
        left = worker.free_processors() - step.spec.resources.processors
        rack = step.spec.placement.data_rack
        far = worker.listing.capacity.processors if rack and find_rack(worker) != rack else 0
        return left + far


def choose_worker(
    policy: PlacementPolicy, step: StepProgress, candidates: Iterable[Worker], ends_at: float
) -> Worker | None:
    """Return the worker for one task of the step that ends at a time; None if none has room."""
    spec = step.spec
    most = spec.placement.most_per_worker
    best: Worker | None = None
    best_rank = 0.0
    for worker in candidates:
        if not worker.has_capacity_for(spec.resources, spec.is_filler, ends_at):
            continue
        if most and count_on_worker(step, worker) >= most:
            continue
        rank = policy.rank(step, worker)
        if best is None or rank < best_rank:
            best, best_rank = worker, rank
    return best


def choose_gang_workers(spec: StepSpec, candidates: Sequence[Worker]) -> list[Worker] | None:
    """Return a worker for each member of a gang, or None if they don't all fit now.

    Members are packed on as few workers as possible, those with most room first, or on one rack
    if the step asks for it.
    """
    if spec.placement.single_rack:
        racks: dict[str, list[Worker]] = {}
        for worker in candidates:
            racks.setdefault(find_rack(worker), []).append(worker)
        for members in racks.values():
            found = _pack(spec, members)
            if found is not None:
                return found
    return _pack(spec, candidates)


def _pack(spec: StepSpec, candidates: Sequence[Worker]) -> list[Worker] | None:
    chosen: list[Worker] = []
    for worker in sorted(candidates, key=Worker.free_processors, reverse=True):
        chosen.extend([worker] * min(count_fitting(spec, worker), spec.count - len(chosen)))
        if len(chosen) >= spec.count:
            return chosen
    return None


def count_in_empty(spec: StepSpec, worker: Worker) -> int:
    """Return how many tasks of a step an empty worker holds."""
    return count_in(spec, worker.listing.capacity)


def count_fitting(spec: StepSpec, worker: Worker) -> int:
    """Return how many tasks of a step fit on a worker beside what it holds."""
    return count_in(spec, worker.get_free_resources())


def count_in(spec: StepSpec, left: Resources) -> int:
    """Return how many tasks of a step fit into some room on one worker."""
    needs = spec.resources
    room = [spec.count]
    if needs.processors and not spec.is_filler:
        room.append(left.processors // needs.processors)
    if needs.memory_mb:
        room.append(left.memory_mb // needs.memory_mb)
    if needs.accelerators:
        room.append(left.accelerators // needs.accelerators)
    if spec.placement.most_per_worker:
        room.append(spec.placement.most_per_worker)
    return max(0, min(room))
