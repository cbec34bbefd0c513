"""Ejection of workers on which starts fail.

A worker on which every start fails immediately looks idle and would attract all work. It is ejected
when starts of several different jobs have failed in a row, since one bad job must not eject good
workers. At most a configured share of the workers is ejected at a time. After an ejection, a worker
returns by slow start: one start at first, and twice as many with each success.
"""

from __future__ import annotations

import dataclasses

from .identifiers import JobId, WorkerId

FAILED_JOBS_TO_EJECT = 3
MIN_EJECTION_SECONDS = 10.0
MAX_EJECTION_SECONDS = 600.0
SLOW_START_LIMIT = 16


@dataclasses.dataclass(slots=True)
class _WorkerHealth:
    failed_jobs: set[JobId] = dataclasses.field(default_factory=set)
    ejected_until: float | None = None
    ejections: int = 0
    allowance: int | None = None
    outstanding_starts: int = 0


class WorkerEjection:
    """Ejections and slow starts of workers, by the outcomes of their starts.

    Parameters
    ----------
    max_ejected_share : float
        Largest share of the workers that may be ejected at a time.
    """

    def __init__(self, max_ejected_share: float) -> None:
        self._max_ejected_share = max_ejected_share
        self._health: dict[WorkerId, _WorkerHealth] = {}

    def record_outcome(
        self, worker_id: WorkerId, job_id: JobId, succeeded: bool, now: float
    ) -> None:
        """Record the outcome of a start."""
        if succeeded and worker_id not in self._health:
            return
        health = self._health.setdefault(worker_id, _WorkerHealth())
        health.outstanding_starts = max(0, health.outstanding_starts - 1)
        if succeeded:
            self._record_success(worker_id, health)
            return
        health.failed_jobs.add(job_id)
        is_in_slow_start = health.allowance is not None
        if health.ejected_until is None and (
            is_in_slow_start or len(health.failed_jobs) >= FAILED_JOBS_TO_EJECT
        ):
            self._eject(health, now)

    def _record_success(self, worker_id: WorkerId, health: _WorkerHealth) -> None:
        health.failed_jobs.clear()
        if health.allowance is None:
            if health.ejected_until is None:
                del self._health[worker_id]
            return
        health.allowance *= 2
        if health.allowance >= SLOW_START_LIMIT:
            del self._health[worker_id]

    def _eject(self, health: _WorkerHealth, now: float) -> None:
        duration = MIN_EJECTION_SECONDS * 2**health.ejections
        health.ejected_until = now + min(duration, MAX_EJECTION_SECONDS)
        health.ejections += 1
        health.allowance = None

    def record_start(self, worker_id: WorkerId) -> None:
        """Count a start against the allowance of a worker in slow start."""
        health = self._health.get(worker_id)
        if health is not None and health.allowance is not None:
            health.outstanding_starts += 1

    def update_start_limits(self, now: float, worker_count: int) -> dict[WorkerId, int]:
        """Begin due slow starts; return how many starts each restricted worker may still get.

        The number is 0 for ejected workers.

        Parameters
        ----------
        now : float
            Time in seconds.
        workers : int
            Number of workers, to which the largest ejected share refers.
        """
        limits: dict[WorkerId, int] = {}
        ejected: list[tuple[float, WorkerId]] = []
        for worker_id, health in self._health.items():
            if health.ejected_until is not None and health.ejected_until <= now:
                health.ejected_until = None
                health.allowance = 1
                health.outstanding_starts = 0
            if health.ejected_until is not None:
                ejected.append((health.ejected_until, worker_id))
            elif health.allowance is not None:
                limits[worker_id] = max(0, health.allowance - health.outstanding_starts)
        max_ejected = int(worker_count * self._max_ejected_share)
        for _, worker_id in sorted(ejected, reverse=True)[:max_ejected]:
            limits[worker_id] = 0
        return limits

    def is_ejected(self, worker_id: WorkerId) -> bool:
        """Return whether a worker is ejected, even if `max_ejected_share` keeps it in use."""
        health = self._health.get(worker_id)
        return health is not None and health.ejected_until is not None
