"""Which incarnation of a worker is known, and whether an entry of the list is about it.

The entry of a worker in the list and its reports are not ordered: a report may show a restart
before the list does, and a list that is read late, or from a store that the worker does not reach,
may show an incarnation that has ended. What is known of a worker is that of its newest incarnation,
and nothing about an older one replaces it.
"""

from __future__ import annotations

import collections
import enum
import math

from .model import WorkerListing

MAX_ENDED = 16  # former incarnations of a worker that are remembered


class ListingAge(enum.Enum):
    """Which incarnation an entry of the list is about, compared with the newest known one."""

    OUTDATED = "outdated"
    CURRENT = "current"
    NEWER = "newer"


class NewestIncarnation:
    """The newest known incarnation of a worker.

    A worker whose clock was set back may come back with a lower `born`. Only a report to a hold
    that was sent after the higher one was learnt shows that: entries may be read late.

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
        self._learnt_at = -math.inf
        self._ended: collections.deque[int] = collections.deque(maxlen=MAX_ENDED)
        self._ignored: WorkerListing | None = None
        self._logged_outdated = born

    def compare(self, listing: WorkerListing) -> ListingAge:
        """Return which incarnation an entry is about."""
        if listing.born == self.born:
            return ListingAge.CURRENT
        if listing.born > self.born and listing.born not in self._ended:
            return ListingAge.NEWER
        return ListingAge.OUTDATED

    def is_described_by(self, listing: WorkerListing) -> bool:
        """Return whether an entry is about this incarnation."""
        return listing.born == self.born

    def is_report_outdated(self, born: int, sent_at: float) -> bool:
        """Return whether an incarnation has ended that has answered a hold sent at `sent_at`."""
        is_older = born < self.born or born in self._ended
        return born != self.born and is_older and sent_at <= self._learnt_at

    def record(self, born: int, now: float) -> WorkerListing | None:
        """Record an incarnation that an entry or a report shows first.

        Returns
        -------
        WorkerListing or None
            Its entry, if that was taken for an outdated one.
        """
        self._ended.append(self.born)
        self.born = born
        self._learnt_at = now
        ignored, self._ignored = self._ignored, None
        return ignored if ignored is not None and ignored.born == born else None

    def ignore(self, listing: WorkerListing) -> bool:
        """Ignore an outdated entry; return whether it is the first one of this incarnation."""
        self._ignored = listing
        if self._logged_outdated == self.born:
            return False
        self._logged_outdated = self.born
        return True
