"""Work that waits, as instances need it to answer callers."""

from __future__ import annotations

import collections
from collections.abc import Callable, Iterable, Mapping

import msgspec

from ..core.identifiers import ServiceName
from .durations import DurationEstimates
from .losses_by_waiting import estimate_remaining
from .model import USELESS_AFTER_OBJECTIVES, Resources, StepSpec, SubmissionState
from .step_progress import StepProgress
from .submissions import SubmissionProgress
from .workers import Worker


class WaitingWork(msgspec.Struct, frozen=True, kw_only=True):
    """Core-seconds of the waiting submissions of one service and priority.

    Parameters
    ----------
    all : float
        Of submissions that can still be of use.
    in_time : float
        Of those that can still end before their objectives.
    """

    all: float = 0.0
    in_time: float = 0.0


class ServiceBacklog(msgspec.Struct, frozen=True, kw_only=True):
    """What waits for the workers of one service.

    Parameters
    ----------
    cores : float
        Of all listed workers.
    largest_free : Resources
        Most free processors, memory and accelerators of any worker, each on its own.
    waiting : dict
        By priority.
    """

    cores: float
    largest_free: Resources
    waiting: dict[int, WaitingWork]

    def has_room_for(self, spec: StepSpec) -> bool:
        """Return whether one task of a step may fit on a worker now."""
        needs, free = spec.resources, self.largest_free
        return (
            (spec.is_filler or needs.processors <= free.processors)
            and needs.memory_mb <= free.memory_mb
            and needs.accelerators <= free.accelerators
        )

    def estimate_wait(self, priority: int) -> float:
        """Return for how many seconds a new submission of a priority waits at least.

        It waits for all work of better priorities that is of use, and for submissions of its own
        priority that can still be in time. What arrives later isn't counted.
        """
        ahead = sum(work.all for other, work in self.waiting.items() if other < priority)
        if priority in self.waiting:
            ahead += self.waiting[priority].in_time
        return ahead / self.cores if self.cores > 0 else 0.0


class Backlog(msgspec.Struct, frozen=True, kw_only=True):
    """What waits for the workers of each service.

    Parameters
    ----------
    services : dict
        Only those with waiting submissions.
    age_seconds : float
        How long ago it was measured.
    """

    services: dict[ServiceName, ServiceBacklog] = {}
    age_seconds: float = 0.0


def measure_backlog(
    submissions: Iterable[SubmissionProgress],
    workers: Iterable[Worker],
    durations: DurationEstimates,
    now: float,
    gives_way: Callable[[SubmissionProgress, StepProgress, float], bool],
) -> Backlog:
    """Return the work that waits at a time in seconds.

    Submissions that have no task running or done count, from the moment that they are due. Those
    whose objective is three times over are left out, as they give way to all others, and so are
    those that give way to the work of other organisations.
    """
    waiting: dict[tuple[ServiceName, int], WaitingWork] = {}
    for entry in submissions:
        terms = entry.submission.queue
        step = next((step for step in entry.steps.values() if step.waiting), None)
        if entry.state is not SubmissionState.QUEUED or step is None or now < step.due_at:
            continue
        if step.spec.is_service or gives_way(entry, step, now):
            continue
        remaining = estimate_remaining(entry, step.id.occurrence, durations)[step.id.step]
        objective_seconds = step.objective_at - step.due_at
        done_at = now + remaining.shortest_seconds
        if done_at > step.due_at + USELESS_AFTER_OBJECTIVES * objective_seconds:
            continue
        key = (terms.service, terms.priority)
        former = waiting.get(key, WaitingWork())
        is_in_time = now + remaining.typical_seconds <= step.objective_at
        waiting[key] = WaitingWork(
            all=former.all + remaining.core_seconds,
            in_time=former.in_time + (remaining.core_seconds if is_in_time else 0.0),
        )
    by_service: dict[ServiceName, dict[int, WaitingWork]] = collections.defaultdict(dict)
    for (service, priority), work in waiting.items():
        by_service[service][priority] = work
    return Backlog(services=_add_capacity(by_service, workers))


def _add_capacity(
    waiting: Mapping[ServiceName, dict[int, WaitingWork]], workers: Iterable[Worker]
) -> dict[ServiceName, ServiceBacklog]:
    cores: collections.Counter[ServiceName] = collections.Counter()
    free: dict[ServiceName, Resources] = collections.defaultdict(Resources)
    for worker in workers:
        service = worker.listing.service
        if not worker.is_listed or service not in waiting:
            continue
        cores[service] += worker.listing.capacity.processors
        largest, own = free[service], worker.get_free_resources()
        free[service] = Resources(
            max(largest.processors, own.processors),
            max(largest.memory_mb, own.memory_mb),
            max(largest.accelerators, own.accelerators),
        )
    return {
        service: ServiceBacklog(
            cores=cores[service] / 1000, largest_free=free[service], waiting=by_priority
        )
        for service, by_priority in waiting.items()
    }


def count_pending(submissions: Iterable[SubmissionProgress]) -> dict[str, int]:
    """Return, by queue, how many accepted submissions have not begun."""
    return dict(
        collections.Counter(
            entry.submission.queue.name
            for entry in submissions
            if entry.state is SubmissionState.QUEUED
        )
    )
