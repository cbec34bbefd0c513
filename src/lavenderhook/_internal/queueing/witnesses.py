"""Workers as witnesses of who owns the queues.

An owner that has lost the store acts only while the workers answer it as well: of each roster that
the store may hold, more than half of the witnesses, under its own command token. A later owner that
more than half of the same witnesses have answered has thereby ended each earlier one, whether these
list it as a peer or not. Two majorities of a roster share a worker, which answers the later owner
only.

This holds under three conditions:

- An owner counts only incarnations that it knew, from the list or a report, before its last proof
  by the store was requested. One that has started since may not know the token of a later owner.
- While a write of the roster is unanswered, the owner needs a majority of each roster that may be
  stored, since the next owner reads one of them.
- Owners in a row may have different rosters. The stored roster names the witnesses of each earlier
  owner that is not known to have ended, and the next owner needs a majority of each.

`model/specifications/witnesses.py` checks that they suffice, and that none can be left out.
"""

from __future__ import annotations

import math
from collections.abc import Iterable

import msgspec

from ..core.identifiers import WorkerId
from .authority import CLOCK_RATE_FACTOR
from .records import Roster

# The answer to a hold may take a second, so that the newest one is up to two seconds old.
WITNESS_SECONDS = 2.5
LAST_WITNESS_SECONDS = WITNESS_SECONDS * CLOCK_RATE_FACTOR  # by the clock of a later owner

Witnesses = frozenset[WorkerId]


def select_witnesses(roster: Roster) -> Witnesses:
    """Return the workers that answer for the owner of a roster.

    These are the open ones, as closed workers may have left for good; if there are none, all.
    """
    return frozenset(roster.workers - roster.closed.keys()) or roster.workers


def is_majority(answered: Iterable[WorkerId], witnesses: Witnesses) -> bool:
    """Return whether more than half of the witnesses have answered; true if there are none.

    An owner whose roster is empty has started nothing.
    """
    return not witnesses or 2 * len(witnesses.intersection(answered)) > len(witnesses)


class _Answers(msgspec.Struct):
    """The answers of one incarnation of a worker.

    Parameters
    ----------
    born : int
        Start of the incarnation; see `WorkerListing`.
    sent_at : float
        When the call was sent that was answered last.
    """

    born: int
    sent_at: float


class WitnessProof:
    """What the workers show an owner about its own ownership.

    All times are by one clock, which goes on while the process is paused.

    Parameters
    ----------
    roster : Roster
        The stored roster, as the owner has read it after its claim.
    """

    def __init__(self, roster: Roster) -> None:
        self._possible = {select_witnesses(roster)}  # of each roster that the store may hold
        self._known_since: dict[WorkerId, tuple[int, float]] = {}  # of the newest incarnation
        self._answers: dict[WorkerId, _Answers] = {}
        self._valid_until = -math.inf

    def record_listing(self, worker: WorkerId, born: int, now: float) -> None:
        """Record that the list shows an incarnation; an outdated one changes nothing."""
        known = self._known_since.get(worker)
        if known is None or born > known[0]:
            self._known_since[worker] = born, now

    def record_answer(
        self, worker: WorkerId, born: int, sent_at: float, answered_at: float
    ) -> bool:
        """Record the answer of an incarnation to a hold; return whether it is its first one.

        Parameters
        ----------
        worker : WorkerId
        born : int
            Start of the incarnation; see `WorkerListing`.
        sent_at, answered_at : float
            When the hold was sent, and when its answer arrived.

        """
        known = self._known_since.get(worker)
        if known is None or known[0] != born:
            self._known_since[worker] = born, answered_at
        answers = self._answers.get(worker)
        if answers is not None and answers.born == born:
            answers.sent_at = max(answers.sent_at, sent_at)
            return False
        self._answers[worker] = _Answers(born, sent_at)
        self._valid_until = -math.inf  # the former incarnation may have been counted
        return True

    def is_confirmed(self, worker: WorkerId, born: int, store_proof_sent_at: float) -> bool:
        """Return whether an incarnation was known before the last proof by the store.

        Parameters
        ----------
        worker : WorkerId
        born : int
        store_proof_sent_at : float
            When the call was sent by which the store has last confirmed the owner.
        """
        known = self._known_since.get(worker)
        return known is not None and known[0] == born and known[1] <= store_proof_sent_at

    def record_requested(self, roster: Roster) -> None:
        """Record that a roster is sent to the store, which may hold it from now on."""
        self._possible.add(select_witnesses(roster))
        self._valid_until = -math.inf

    def record_stored(self, roster: Roster) -> None:
        """Record that the store holds a roster, and can't store an earlier one any more."""
        self._possible = {select_witnesses(roster)}

    def is_valid(self, now: float, store_proof_sent_at: float) -> bool:
        """Return whether enough witnesses have answered lately.

        Parameters
        ----------
        now : float
        store_proof_sent_at : float
            When the call was sent by which the store has last confirmed the owner.
        """
        if now > self._valid_until:
            self._valid_until = self._compute_valid_until(store_proof_sent_at)
        return now <= self._valid_until

    def _compute_valid_until(self, store_proof_sent_at: float) -> float:
        """Return until when each roster has a majority of answers that count."""
        counted = {
            worker: answers.sent_at
            for worker, answers in self._answers.items()
            if self.is_confirmed(worker, answers.born, store_proof_sent_at)
        }
        valid_until = math.inf
        for witnesses in self._possible:
            if not witnesses:
                continue
            sent = sorted((counted.get(worker, -math.inf) for worker in witnesses), reverse=True)
            valid_until = min(valid_until, sent[len(witnesses) // 2] + WITNESS_SECONDS)
        return valid_until


class WitnessedEnd:
    """What the workers show a new owner about the end of all earlier ones.

    Parameters
    ----------
    inherited : Roster
        The stored roster, as the new owner has read it after its claim.
    """

    def __init__(self, inherited: Roster) -> None:
        self._rosters = frozenset({select_witnesses(inherited), *inherited.earlier})
        self._answered: set[WorkerId] = set()
        self._has_majorities = False
        self._ended_at = math.inf

    def record_answer(self, worker: WorkerId, now: float) -> None:
        """Record that a worker has answered the new owner, and no earlier one any more."""
        if self._has_majorities:
            return
        self._answered.add(worker)
        if all(is_majority(self._answered, witnesses) for witnesses in self._rosters):
            self._has_majorities = True
            self._ended_at = now + LAST_WITNESS_SECONDS

    def has_passed(self, now: float) -> bool:
        """Return whether no earlier owner that asks its workers acts any longer."""
        return now >= self._ended_at

    def list_unended(self, roster: Roster) -> tuple[Witnesses, ...]:
        """Return the witnesses of earlier owners to state in a roster of the new owner.

        Its own witnesses are left out.
        """
        others = self._rosters - {select_witnesses(roster), frozenset()}
        return tuple(sorted(others, key=sorted))
