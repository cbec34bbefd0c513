"""What a new owner still has to expect of earlier owners."""

from __future__ import annotations

import math
from collections.abc import Iterable

from .leases import compute_latest_lease_expiry
from .workers import Worker

# Most workers answer sooner after the state was loaded; closing and opening them again would take
# two writes before they get starts.
REACH_SECONDS = 0.5


class Takeover:
    """When the commands and the leases of earlier owners have ended.

    Parameters
    ----------
    started_at : float
        When this owner began, after its claim was stored.
    lease_seconds : float
    authority_seconds, inherited_seconds : float
        For how long after the claim any earlier owner, and those before the last one, may extend
        leases and start tasks; see `compute_authority_seconds`.

    Attributes
    ----------
    leases_expire_at : float
        Time by which the leases that earlier owners have granted have expired.
    had_ended : bool
        All earlier owners had ended before the claim.
    may_close_unreached : bool
        No earlier owner sends commands any more, and this one had time to reach the workers.
    """

    def __init__(
        self,
        started_at: float,
        lease_seconds: float,
        authority_seconds: float = 0.0,
        inherited_seconds: float = 0.0,
    ) -> None:
        self._lease_seconds = lease_seconds
        self._inherited_until = started_at + inherited_seconds
        # Until then, peers may notify an earlier owner of new submissions, and it starts them.
        self._inactive_at = started_at + authority_seconds
        self.leases_expire_at = self._compute_expiry(self._inactive_at)
        self.had_ended = authority_seconds <= 0.0
        self.may_close_unreached = False
        self._reach_until: float | None = None

    def _compute_expiry(self, extended_until: float) -> float:
        return compute_latest_lease_expiry(extended_until, self._lease_seconds)

    def record_inactive(
        self, now: float, workers: Iterable[Worker], inherited_until: float = math.inf
    ) -> None:
        """Record that the predecessor has ended; its leases are no longer extended.

        Parameters
        ----------
        now : float
        workers : iterable of Worker
        inherited_until : float, optional
            Until when owners before it may act, if that is less than was known before.
        """
        self._inherited_until = min(self._inherited_until, inherited_until)
        self._inactive_at = min(self._inactive_at, max(now, self._inherited_until))
        expire_at = self._compute_expiry(self._inactive_at)
        if expire_at >= self.leases_expire_at:
            return
        for worker in workers:
            if worker.lease.expires_by == self.leases_expire_at:
                worker.lease.expires_by = expire_at
        self.leases_expire_at = expire_at

    def is_inactive(self, now: float) -> bool:
        """Return whether no earlier owner sends commands any more."""
        return now >= self._inactive_at

    def have_leases_expired(self, now: float) -> bool:
        """Return whether all leases that earlier owners have granted have expired."""
        return now > self.leases_expire_at

    def check_closing(self, now: float) -> bool:
        """Return whether unreached workers may be closed from this call on.

        The first call follows the loading of the state.
        """
        if self._reach_until is None:
            self._reach_until = now + REACH_SECONDS
        if self.may_close_unreached or now < max(self._inactive_at, self._reach_until):
            return False
        self.may_close_unreached = True
        return True
