"""What may be placed on capacity of workers that is reserved for gangs."""

from __future__ import annotations

import math
from collections.abc import Iterable, Sequence

from ..core.identifiers import ServiceName
from .held_room import UNUSED_SHARE, HoldLimit
from .placement import choose_gang_workers, estimate_end, is_available
from .step_progress import StepProgress
from .submissions import SubmissionProgress
from .workers import Worker

ENDS_BEFORE_ALL = -math.inf  # by which a task is placed regardless of reservations


class ReservedWorkers:
    """Bounds how long steps wait for capacity that gangs have reserved.

    Handles a gang that reserves most workers of a service and waits for one long run: the tasks
    that would outlast that run wait for as long, beside workers that are nearly empty.
    """

    def __init__(self) -> None:
        self._hold_limit = HoldLimit()
        self._unused_services: set[ServiceName] = set()

    def begin_pass(self, workers: Iterable[Worker]) -> None:
        """Find the services of which most processors are unused."""
        used: dict[ServiceName, int] = {}
        total: dict[ServiceName, int] = {}
        for worker in workers:
            service = worker.listing.service
            used[service] = used.get(service, 0) + worker.used_processors
            total[service] = total.get(service, 0) + worker.listing.capacity.processors
        self._unused_services = {s for s in total if used[s] < UNUSED_SHARE * total[s]}

    def end_pass(self) -> None:
        """Forget the steps that reservations did not hold in this pass."""
        self._hold_limit.end_pass()

    def compute_end(
        self,
        entry: SubmissionProgress,
        step: StepProgress,
        eligible: Sequence[Worker],
        now: float,
    ) -> float:
        """Return the time by which a task of a step counts as ended where capacity is reserved.

        Parameters
        ----------
        entry : SubmissionProgress
        step : StepProgress
        eligible : sequence of Worker
        now : float
        """
        ends_at = estimate_end(step.spec, now)
        if entry.submission.queue.service not in self._unused_services:
            return ends_at
        if not any(worker.has_reservation for worker in eligible):
            return ends_at
        is_held = not _find_room(step, eligible, ends_at) and _find_room(
            step, eligible, ENDS_BEFORE_ALL
        )
        if is_held and self._hold_limit.may_pass(entry, step, now):
            return ENDS_BEFORE_ALL
        return ends_at


def _find_room(step: StepProgress, workers: Sequence[Worker], ends_at: float) -> bool:
    if step.spec.is_gang:
        return choose_gang_workers(step.spec, workers, ends_at) is not None
    return any(is_available(step, worker, ends_at) for worker in workers)
