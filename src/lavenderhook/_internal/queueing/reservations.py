"""Reservation of capacity for gangs that don't fit now."""

from __future__ import annotations

import heapq
import math
from collections.abc import Iterable, Sequence

from ..core.identifiers import WorkerId
from .held_room import OVERDUE_RUN_REMAINING_SECONDS
from .model import StepSpec
from .placement import count_fitting_in
from .resource_sums import add
from .step_progress import GangPlan
from .stragglers import has_outlived_estimate
from .workers import Run, Worker


def plan_gang(spec: StepSpec, workers: Sequence[Worker], now: float) -> GangPlan | None:
    """Return the plan by which a gang can begin first; None if the workers can't hold it.

    Handles a stream of small tasks that takes any capacity as soon as it is free, beside long
    tasks: capacity is reserved where it will be free first, by the estimated ends of the active
    runs, and not by draining whole workers.
    """
    if not spec.placement.single_rack:
        return _plan(spec, workers, now)
    racks: dict[str, list[Worker]] = {}
    for worker in workers:
        racks.setdefault(worker.rack, []).append(worker)
    plans = [plan for members in racks.values() if (plan := _plan(spec, members, now))]
    return min(plans, key=lambda plan: plan.ready_at, default=None)


def can_hold_gang(spec: StepSpec, workers: Iterable[Worker], now: float) -> bool:
    """Return whether workers hold a gang, now or once the runs with a known end have ended.

    A run that has lasted far longer than its estimate has no known end.

    Regardless of what is reserved for other gangs, as they end, and of racks, as a gang is placed
    on several if no single one holds it.
    """
    total = 0
    for worker in workers:
        unused = add(worker.get_free_resources(), worker.reserved)
        for run in worker.runs.values():
            if _has_known_end(run) and not has_outlived_estimate(run, now):
                unused = add(unused, run.resources)
        total += count_fitting_in(spec, unused)
        if total >= spec.count:
            return True
    return False


def _has_known_end(run: Run) -> bool:
    return not run.is_filler and math.isfinite(run.estimated_end_at)


def _plan(spec: StepSpec, workers: Sequence[Worker], now: float) -> GangPlan | None:
    free = [worker.get_free_resources() for worker in workers]
    fits = [count_fitting_in(spec, resources) for resources in free]
    total = sum(fits)
    releases = [
        (
            max(run.estimated_end_at, now + OVERDUE_RUN_REMAINING_SECONDS),
            index,
            number,
            run.resources,
        )
        for index, worker in enumerate(workers)
        for number, run in enumerate(worker.runs.values())
        if _has_known_end(run)
    ]
    heapq.heapify(releases)
    ready_at = now
    while total < spec.count:
        if not releases:
            return None
        ready_at, index, _, freed = heapq.heappop(releases)
        free[index] = add(free[index], freed)
        fit = count_fitting_in(spec, free[index])
        total += fit - fits[index]
        fits[index] = fit
    return GangPlan(now, ready_at, _assign_members(spec.count, workers, fits))


def _assign_members(
    count: int, workers: Sequence[Worker], fits: Sequence[int]
) -> dict[WorkerId, int]:
    members: dict[WorkerId, int] = {}
    for fit, worker in sorted(zip(fits, workers, strict=True), key=lambda pair: -pair[0]):
        taken = min(fit, count)
        if taken > 0:
            members[worker.id] = taken
            count -= taken
    return members


def reserve(plan: GangPlan, spec: StepSpec, workers: Iterable[Worker]) -> int:
    """Reserve the capacity of a plan in this placement pass; return the processors reserved."""
    reserved = 0
    for worker in workers:
        count = plan.members.get(worker.id, 0)
        if count:
            worker.reserve(spec.resources, count, plan.ready_at)
            reserved += spec.resources.processors * count
    return reserved
