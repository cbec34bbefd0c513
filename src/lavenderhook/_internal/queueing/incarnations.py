"""Which incarnation of a worker is known, and whether an entry of the list is about it.

The entry of a worker in the list and its reports are not ordered: a report may show a restart
before the list does, and a list that is read late, or from a store that the worker does not reach,
may show an incarnation that has ended. What is known of a worker is that of its newest incarnation,
and nothing about an older one replaces it.
"""

from __future__ import annotations

import enum

from .model import WorkerListing


class ListingAge(enum.Enum):
    """Which incarnation an entry of the list is about, compared with the newest known one."""

    OUTDATED = "outdated"
    CURRENT = "current"
    NEWER = "newer"


class NewestIncarnation:
    """The newest known incarnation of a worker.

    Parameters
    ----------
    born : int
        That of the first entry.

    Attributes
    ----------
    born : int
        Start of the incarnation in Unix milliseconds; see `WorkerListing`.
    """

    def __init__(self, born: int) -> None:
        self.born = born
        self._logged_outdated = born

    def compare(self, listing: WorkerListing) -> ListingAge:
        """Return which incarnation an entry is about."""
        if listing.born == self.born:
            return ListingAge.CURRENT
        return ListingAge.NEWER if listing.born > self.born else ListingAge.OUTDATED

    def is_described_by(self, listing: WorkerListing) -> bool:
        """Return whether an entry is about this incarnation."""
        return self.compare(listing) is ListingAge.CURRENT

    def record(self, born: int) -> None:
        """Record an incarnation that an entry or a report has shown first."""
        self.born = born

    def must_log_outdated(self) -> bool:
        """Return whether the present incarnation has an outdated entry for the first time."""
        if self._logged_outdated == self.born:
            return False
        self._logged_outdated = self.born
        return True
