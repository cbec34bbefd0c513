"""The lease of a worker, as the worker counts it and as an owner does.

All runs of a worker share one lease, which ends at a time on the worker's own clock. Two things
have to agree, or a task starts elsewhere while it still runs:

- What an owner grants: a lease that ends `lease_seconds` after the last report, by the clock in
  that report. Each incarnation of a worker has a clock of its own, and a worker cuts an end that is
  too far ahead to the longest lease that the platform allows, which may exceed `lease_seconds`. So
  no end is computed on the clock of a former incarnation, and none is sent except on a connection
  on which the incarnation that is meant has answered (`QueueWorkerClient`): the process at the
  other end of a connection doesn't change.
- What an owner counts: `compute_latest_lease_expiry` from the arrival of a report. A new owner
  can't know of restarts that its predecessor saw. It counts the same from the time at which earlier
  owners have ceased to act (`takeover`).

`model/specifications/leases.py` checks that both suffice, and that neither rule can be left out.
"""

from __future__ import annotations

# A worker's clock may run 2 % slow, so its leases may last this much longer by the owner's clock.
CLOCK_DRIFT_FACTOR = 1.0 / 0.98
LEASE_MARGIN_SECONDS = 0.3  # network and scheduling delay on top of the drift


def compute_latest_lease_expiry(now: float, lease_seconds: float) -> float:
    """Return the time by which any lease of this length granted until now has expired."""
    return now + lease_seconds * CLOCK_DRIFT_FACTOR + LEASE_MARGIN_SECONDS


class WorkerLease:
    """The lease of one incarnation of a worker, as an owner counts it.

    Parameters
    ----------
    expires_by : float
        Time by which every lease that any owner may have granted has expired; later after each
        report.
    """

    def __init__(self, expires_by: float) -> None:
        self.expires_by = expires_by
        self._reported_clock: float | None = None  # the worker's own, at its last report

    def record_report(self, clock: float, now: float, lease_seconds: float) -> None:
        """Record a report that arrived at `now`; `clock` is the worker's, in seconds."""
        self._reported_clock = clock
        self.expires_by = compute_latest_lease_expiry(now, lease_seconds)

    def compute_end(self, lease_seconds: float) -> float | None:
        """Return the end of a lease on the worker's clock, counted from its last report.

        None if the incarnation has not reported yet.

        While reports are lost, the end stays fixed even if commands reach the worker, so that the
        latest time at which its lease expires does not move.
        """
        return None if self._reported_clock is None else self._reported_clock + lease_seconds

    def begin_incarnation(self) -> None:
        """Forget the clock of the former incarnation."""
        self._reported_clock = None
