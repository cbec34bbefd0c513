"""The roster: the stored list of workers that may hold runs of an owner.

A new owner has to reach every worker on its predecessor's roster, or wait until the leases there
have expired, before it starts a task that may run on one of them.

Each worker in the roster is open or closed; new runs are placed on open workers only. A closed
worker got no start command for any submission stored after the revision of its closing; such
submissions don't wait for it.
"""

from __future__ import annotations

import math
from collections.abc import Iterable

from ..core.identifiers import WorkerId
from .effects import Effect
from .log_lines import log_blocked_submissions
from .records import Roster
from .workers import Worker


class RosterTracker:
    """The roster as one owner updates it.

    A worker is closed in memory as soon as it accepts no starts, and opened only when the store
    can't show it as closed any longer: a write that closes it may have been carried out before its
    answer arrives, or without one.

    Attributes
    ----------
    unreached : set of WorkerId
        Workers of the predecessor's roster that may hold runs unknown to this owner.
    requested : Roster
        The newest roster, whether it is already stored or still to be stored.

    Parameters
    ----------
    inherited : Roster
        The predecessor's roster.
    ended_before : int, optional
        Revision before which all earlier owners had ended; nothing that was stored later has runs
        of theirs.
    """

    def __init__(self, inherited: Roster, ended_before: int | None = None) -> None:
        self.unreached = set(inherited.workers)
        self.requested = inherited
        self._stored = inherited
        # In a roster that was requested after the stored one, which may have replaced it.
        self._may_be_closed: set[WorkerId] = set()
        self._ended_before = math.inf if ended_before is None else ended_before
        self._logged_through = 0.0

    def is_open_in_roster(self, worker: WorkerId) -> bool:
        """Return whether a worker is open in every roster that the store may hold."""
        return (
            worker in self._stored.workers
            and worker not in self._stored.closed
            and worker not in self._may_be_closed
        )

    def record_stored(self, roster: Roster) -> None:
        """Record the roster that the store holds now."""
        self._stored = roster
        if _names_same_workers(roster, self.requested):
            self.requested = roster
        self._may_be_closed = self._find_closed(self.requested)

    def _find_closed(self, roster: Roster) -> set[WorkerId]:
        """Return the workers that a roster closes, or doesn't name although the stored one does."""
        return set(roster.closed) | (self._stored.workers - roster.workers)

    def compute_blocked_through_revision(self) -> float:
        """Return the revision after which no submission has runs at an unreached worker."""
        return max(self._find_bounds().values(), default=0)

    def _find_bounds(self) -> dict[WorkerId, float]:
        """Return, by unreached worker, the revision after which no submission has runs there."""
        closed = self._stored.closed
        return {w: min(closed.get(w, math.inf), self._ended_before) for w in self.unreached}

    def log_blocked(self) -> list[Effect]:
        """Return a log line if other submissions wait for unreached workers than before."""
        bounds = self._find_bounds()
        blocked_through = max(bounds.values(), default=0)
        if blocked_through == self._logged_through:
            return []
        self._logged_through = blocked_through
        return [log_blocked_submissions(blocked_through, bounds)]

    def prepare_update(
        self, workers: Iterable[Worker], *, may_close_unreached: bool
    ) -> Roster | None:
        """Return the roster to store, or None if it has been requested already.

        Parameters
        ----------
        workers : iterable of Worker
        may_close_unreached : bool
            Whether earlier owners can no longer send commands; until then, only they know whether
            an unreached worker gets none.
        """
        names = set(self.unreached)
        closed: dict[WorkerId, int] = {}
        for worker in workers:
            names.add(worker.id)
            if worker.is_reached and not worker.accepts_starts():
                closed[worker.id] = self._stored.closed.get(worker.id, 0)
        for name in self.unreached:
            if may_close_unreached or name in self._stored.closed:
                closed[name] = self._stored.closed.get(name, 0)
        wanted = Roster(workers=frozenset(names), closed=closed)
        if _names_same_workers(wanted, self.requested):
            return None
        self.requested = wanted
        self._may_be_closed |= self._find_closed(wanted)
        return wanted


def _names_same_workers(one: Roster, other: Roster) -> bool:
    return one.workers == other.workers and one.closed.keys() == other.closed.keys()
