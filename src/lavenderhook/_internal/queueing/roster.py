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

    A worker is closed in memory as soon as it accepts no starts, and opened only after the store
    shows it as open: a worker that is closed in the stored row never gets starts.

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
        self._ended_before = math.inf if ended_before is None else ended_before
        self._logged_through = 0.0

    def is_open_in_roster(self, worker: WorkerId) -> bool:
        """Return whether a worker is open in the stored roster and not being closed."""
        return (
            worker in self._stored.workers
            and worker not in self._stored.closed
            and worker not in self.requested.closed
        )

    def record_stored(self, roster: Roster) -> None:
        """Record the roster that the store holds now."""
        self._stored = roster
        if _names_same_workers(roster, self.requested):
            self.requested = roster

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
        self, workers: Iterable[Worker], *, is_predecessor_inactive: bool
    ) -> Roster | None:
        """Return the roster to store, or None if it has been requested already.

        Parameters
        ----------
        workers : iterable of Worker
        is_predecessor_inactive : bool
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
            if is_predecessor_inactive or name in self._stored.closed:
                closed[name] = self._stored.closed.get(name, 0)
        wanted = Roster(workers=frozenset(names), closed=closed)
        if _names_same_workers(wanted, self.requested):
            return None
        self.requested = wanted
        return wanted


def _names_same_workers(one: Roster, other: Roster) -> bool:
    return one.workers == other.workers and one.closed.keys() == other.closed.keys()
