"""What one placement pass leaves out, as it could lead to no start now."""

from __future__ import annotations

from collections.abc import Sequence
from typing import NamedTuple

from ..core.identifiers import ServiceName
from .model import Resources, StepSpec
from .reserved_workers import ENDS_BEFORE_ALL
from .step_progress import StepProgress
from .worker_totals import WorkerTotals
from .workers import Worker

# Of all workers of a service, for the tasks of single-task and parallel steps that wait for a call
# for advice, and as much again for gangs.
MAX_ADVISED_SHARE = 2.0


class _Needs(NamedTuple):
    """What decides whether a task of a step finds room on any worker."""

    service: ServiceName
    label: str
    resources: Resources
    is_filler: bool


class ExhaustedNeeds:
    """Needs for which no worker has room in one placement pass, reserved or not.

    Handles thousands of equal steps that wait for the same room: what is free of a worker only
    shrinks in a pass, so that the workers are searched for one of them, and not for each.
    """

    def __init__(self) -> None:
        self._needs: set[_Needs] = set()

    def includes(self, service: ServiceName, step: StepProgress) -> bool:
        """Return whether a step has needs for which no worker has had room."""
        return _depends_on_needs_only(step) and _find_needs(service, step.spec) in self._needs

    def record(self, service: ServiceName, step: StepProgress, workers: Sequence[Worker]) -> None:
        """Record a step with waiting tasks after all workers that may have room were searched."""
        if not _depends_on_needs_only(step):
            return
        spec, label = step.spec, step.spec.placement.label
        has_room = any(
            worker.has_capacity_for(spec.resources, spec.is_filler, ENDS_BEFORE_ALL)
            for worker in workers
            if worker.listing.service == service and (not label or label in worker.listing.labels)
        )
        if not has_room:
            self._needs.add(_find_needs(service, spec))


def _depends_on_needs_only(step: StepProgress) -> bool:
    spec = step.spec
    return not (
        spec.is_gang or spec.placement.most_per_worker or step.crash_histories or step.avoided
    )


def _find_needs(service: ServiceName, spec: StepSpec) -> _Needs:
    return _Needs(service, spec.placement.label, spec.resources, spec.is_filler)


class AdviceLimit:
    """Bounds the steps that wait for advice in one placement pass by what can start.

    Handles a backlog of thousands of steps beside little free room: each would ask for advice, and
    the calls of those that can start now would wait behind the others. Steps are counted in the
    order of their ranks, so that none waits for one of a lower rank.

    Parameters
    ----------
    totals : dict of ServiceName to WorkerTotals
    """

    def __init__(self, totals: dict[ServiceName, WorkerTotals]) -> None:
        self._totals = totals
        self._used: dict[tuple[ServiceName, bool], float] = {}

    def allows(self, service: ServiceName, step: StepProgress) -> bool:
        """Return whether another step may ask for advice."""
        return self._used.get((service, step.spec.is_gang), 0.0) < MAX_ADVISED_SHARE

    def record(self, service: ServiceName, step: StepProgress) -> None:
        """Record a step that waits for the response to its call."""
        totals = self._totals.get(service, WorkerTotals())
        share = min(
            totals.measure_share(step.spec) * len(step.waiting),
            len(step.asked) / max(1, totals.count),
        )
        key = (service, step.spec.is_gang)
        self._used[key] = self._used.get(key, 0.0) + share
