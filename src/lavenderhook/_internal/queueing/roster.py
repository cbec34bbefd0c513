"""Which workers may hold runs of an owner, as the store says.

A new owner has to reach every worker on its predecessor's roster, or wait out the leases there,
before it starts a task that may run on one of them. A worker that is closed got no start order
for any submission that was stored after its closing; such submissions don't wait for it.
"""

from __future__ import annotations

import math
from collections.abc import Iterable

from ..core.identifiers import WorkerId
from .records import Roster
from .workers import Worker


class RosterTracker:
    """The roster from the point of view of one owner.

    A worker is closed in memory as soon as nothing more is to be started there, and opened only
    after the store shows it as open, so that the stored row never names a worker as closed that
    may get starts.

    Attributes
    ----------
    unreached : set of WorkerId
        Workers of the predecessor's roster that may hold runs this owner has not seen.
    requested : Roster
        The roster that the store was last asked to keep.

    Parameters
    ----------
    inherited : Roster
        The predecessor's roster.
    """

    def __init__(self, inherited: Roster) -> None:
        self.unreached = set(inherited.workers)
        self.requested = inherited
        self._stored = inherited
        self._inherited_closed = dict(inherited.closed)

    def is_open_in_roster(self, worker: WorkerId) -> bool:
        """Return whether the store says that the worker may hold runs of any submission."""
        return (
            worker in self._stored.workers
            and worker not in self._stored.closed
            and worker not in self.requested.closed
        )

    def record_stored(self, roster: Roster) -> None:
        """Take over what the store holds now."""
        self._stored = roster
        if _names_same_workers(roster, self.requested):
            self.requested = roster

    def compute_blocked_through_revision(self) -> float:
        """Return the revision after which no submission has runs at an unreached worker."""
        return max((self._inherited_closed.get(w, math.inf) for w in self.unreached), default=0)

    def prepare_update(
        self, workers: Iterable[Worker], *, is_predecessor_inactive: bool
    ) -> Roster | None:
        """Return the roster to store, or None if it has been asked for already.

        Parameters
        ----------
        workers : iterable of Worker
        is_predecessor_inactive : bool
            Whether the predecessor is sure to give no more orders; before, only it can tell
            whether an unreached worker gets none.
        """
        names = set(self.unreached)
        closed: dict[WorkerId, int] = {}
        for worker in workers:
            names.add(worker.id)
            if worker.is_reached and not worker.accepts_starts():
                closed[worker.id] = self._stored.closed.get(worker.id, 0)
        for name in self.unreached:
            if is_predecessor_inactive or name in self._stored.closed:
                closed[name] = self._stored.closed.get(name, 0)
        wanted = Roster(workers=frozenset(names), closed=closed)
        if _names_same_workers(wanted, self.requested):
            return None
        self.requested = wanted
        return wanted


def _names_same_workers(one: Roster, other: Roster) -> bool:
    return one.workers == other.workers and one.closed.keys() == other.closed.keys()
