"""Workers as witnesses of the ownership (queueing/witnesses.py).

An owner without the store acts while a majority of the witnesses of its roster answers it. A later
owner that a majority has answered takes each earlier one for ended once their last answers no
longer count. The peers of the owners are left out: each confirms it for as long as it asks, as
those behind the same cut do.

Time is in ticks. Any call may fail, and any worker may restart and forget the highest token that it
has seen. What only lets an owner do less is left out: it gets an answer in every tick from the
workers that it has reached and no later owner has, and a proof by the store after each step until
another owner claims.
"""

from collections.abc import Iterator
from dataclasses import dataclass
from typing import Any, NamedTuple

from ..engine import Mutant, Predicate, Specification, Step, replace_item

PROOF_TICKS = 1  # an owner acts on a proof, by the store or by the workers, of at most this age
OLD = PROOF_TICKS + 1  # the age of anything that no longer counts
WORKERS = 3
ALL_WORKERS = 0b111  # as bits
NONE = -1


class Answer(NamedTuple):
    """The last answer of a worker to one owner.

    Attributes
    ----------
    age : int
        Ticks since its call was sent.
    counts : bool
        The owner had known the incarnation before its last proof by the store.
    is_present : bool
        The worker has not restarted since.
    is_known : bool
        The owner had known the present incarnation before that proof.
    """

    age: int = OLD
    counts: bool = False
    is_present: bool = False
    is_known: bool = False


class Owner(NamedTuple):
    """One owner.

    Attributes
    ----------
    store_age : int
        Ticks since its last proof by the store.
    possible : tuple of int
        Witnesses of each roster that the store may hold, as bits.
    answers : tuple of Answer
        By worker.
    earlier : tuple of int
        Witnesses of the rosters of earlier owners; empty once these have ended.
    answered : int
        Workers that have answered, as bits.
    majorities_age : int
        Ticks since a majority of each of the earlier rosters has answered, or NONE.
    asks_workers : bool
        It and each earlier owner act without the store only if workers answer.
    """

    store_age: int = 0
    possible: tuple = ()
    answers: tuple = (Answer(),) * WORKERS
    earlier: tuple = ()
    answered: int = 0
    majorities_age: int = NONE
    asks_workers: bool = True


class WitnessesState(NamedTuple):
    """State of the store, the owners and the workers.

    Attributes
    ----------
    roster : int
        Witnesses of the stored roster, as bits.
    earlier : tuple of int
        What it states of earlier owners.
    owners : tuple of Owner
        In the order of their claims; the last one may write to the store.
    tokens : tuple of int
        Highest token that each worker has seen: the number of an owner, from 1 on.
    restarts : int
    """

    roster: int
    earlier: tuple
    owners: tuple
    tokens: tuple = (0,) * WORKERS
    restarts: int = 0


@dataclass(frozen=True)
class WitnessesBounds:
    """Bounds of the search: how many owners and restarts there are, and the rosters in turn."""

    owners: int
    restarts: int = 0
    rosters: tuple = (ALL_WORKERS,)
    first_asks: bool = True


class WorkerWitnesses(Specification):
    """Majorities of workers that confirm an owner, or show the end of earlier ones."""

    name = "witnesses"
    covers = "workers that confirm an owner without the store, and show the end of earlier ones"
    mutants = (
        Mutant(
            "majority of the witnesses",
            "last_owner_acts",
            "an answer of any worker shows the end of earlier owners",
            "restarts",
        ),
        Mutant(
            "majority for the owner",
            "last_owner_acts",
            "an owner acts while any worker answers it",
            "restarts",
        ),
        Mutant(
            "last answers count",
            "last_owner_acts",
            "earlier owners count as ended as soon as a majority has answered",
            "restarts",
        ),
        Mutant(
            "own token in force",
            "last_owner_acts",
            "a worker that a later owner has reached still answers earlier ones",
            "restarts",
        ),
        Mutant(
            "incarnation before the store proof",
            "last_owner_acts",
            "an incarnation counts that an owner knows only since its last proof by the store",
            "restarts",
        ),
        Mutant(
            "each roster that may be stored",
            "last_owner_acts",
            "an owner whose write of a roster is unanswered asks the witnesses of the one before",
            "rosters",
        ),
        Mutant(
            "rosters of earlier owners",
            "last_owner_acts",
            "a new owner asks the witnesses of the stored roster only, though an owner before its "
            "predecessor has others",
            "owners in a row",
        ),
        Mutant(
            "earlier owners ask their workers",
            "last_owner_acts",
            "workers show the end of an owner that doesn't ask them",
            "build before",
        ),
    )

    @classmethod
    def list_configurations(cls, deep: bool) -> dict[str, Any]:
        """Return the bounds by label."""
        return {
            "restarts": WitnessesBounds(owners=2, restarts=3 if deep else 2),
            "rosters": WitnessesBounds(2, 1 if deep else 0, rosters=(0b001, 0b110, 0b011)),
            "owners in a row": WitnessesBounds(3, 0, rosters=(0b001, 0b110)),
            "build before": WitnessesBounds(owners=2, first_asks=False),
        }

    def build_initial(self) -> WitnessesState:
        """Return the state after the first claim."""
        roster = self.bounds.rosters[0]
        first = Owner(possible=(roster,), majorities_age=OLD, asks_workers=self.bounds.first_asks)
        return WitnessesState(roster=roster, earlier=(), owners=(first,))

    def list_successors(self, state: WitnessesState) -> list[Step]:
        """Return the steps of the clock, the store, the workers and the owners."""
        if not self._is_safe(state):
            return []
        return [(label, self._simplify(changed)) for label, changed in self._list_steps(state)]

    def _list_steps(self, state: WitnessesState) -> Iterator[Step]:
        yield "tick()", self._pass_time(state)
        if len(state.owners) < self.bounds.owners:
            yield "claim()", self._claim(state)
        yield from self._list_roster_writes(state)
        for worker in range(WORKERS):
            if state.restarts < self.bounds.restarts:
                yield f"restart({worker})", _restart(state, worker)
            for index in range(len(state.owners)):
                if index + 1 >= state.tokens[worker]:
                    yield f"hold({index + 1}, {worker})", self._hold(state, index, worker)

    def _pass_time(self, state: WitnessesState) -> WitnessesState:
        owners = []
        for index, owner in enumerate(state.owners):
            answers = []
            for answer, token in zip(owner.answers, state.tokens, strict=True):
                is_own = token == index + 1 or not self.enforces("own token in force")
                is_answered = answer.is_present and is_own
                age = 0 if is_answered else min(answer.age + 1, OLD)
                answers.append(answer._replace(age=age))
            majorities_age = owner.majorities_age
            if majorities_age != NONE:
                majorities_age = min(majorities_age + 1, OLD)
            owner = owner._replace(
                store_age=min(owner.store_age + 1, OLD),
                answers=tuple(answers),
                majorities_age=majorities_age,
            )
            owners.append(_forget_earlier(owner))
        return state._replace(owners=tuple(owners))

    def _claim(self, state: WitnessesState) -> WitnessesState:
        earlier = {state.roster}
        if self.enforces("rosters of earlier owners"):
            earlier |= set(state.earlier)
        asks_workers = state.owners[-1].asks_workers
        if not self.enforces("earlier owners ask their workers"):
            asks_workers = True
        owner = Owner(
            possible=(state.roster,), earlier=tuple(sorted(earlier)), asks_workers=asks_workers
        )
        return state._replace(owners=(*state.owners, owner))

    def _list_roster_writes(self, state: WitnessesState) -> Iterator[Step]:
        last = state.owners[-1]
        for roster in self.bounds.rosters[1:]:
            if roster == state.roster:
                continue
            earlier = tuple(e for e in last.earlier if e != roster)
            written = state._replace(roster=roster, earlier=earlier)
            possible = tuple(sorted({*last.possible, roster}))
            if not self.enforces("each roster that may be stored"):
                possible = last.possible
            yield (
                f"write_unanswered({roster})",
                _replace_last(written, last._replace(possible=possible)),
            )
            yield (
                f"write({roster})",
                _replace_last(written, last._replace(possible=(roster,))),
            )

    def _hold(self, state: WitnessesState, index: int, worker: int) -> WitnessesState:
        owner = state.owners[index]
        is_known = owner.answers[worker].is_known
        counts = is_known or not self.enforces("incarnation before the store proof")
        answer = Answer(age=0, counts=counts, is_present=True, is_known=is_known)
        answered = owner.answered | 1 << worker
        owner = owner._replace(
            answers=replace_item(owner.answers, worker, answer), answered=answered
        )
        if owner.majorities_age == NONE and owner.asks_workers and self._shows_end(owner):
            waits = self.enforces("last answers count")
            owner = _forget_earlier(owner._replace(majorities_age=0 if waits else OLD))
        return state._replace(
            owners=replace_item(state.owners, index, owner),
            tokens=replace_item(state.tokens, worker, index + 1),
        )

    def _shows_end(self, owner: Owner) -> bool:
        if not self.enforces("majority of the witnesses"):
            return bool(owner.answered)
        return all(_is_majority(owner.answered, roster) for roster in owner.earlier)

    def _may_act(self, owner: Owner) -> bool:
        if owner.store_age <= PROOF_TICKS or not owner.asks_workers:
            return True
        answered = sum(
            1 << worker
            for worker, answer in enumerate(owner.answers)
            if answer.counts and answer.age <= PROOF_TICKS
        )
        if not self.enforces("majority for the owner"):
            return bool(answered)
        return all(_is_majority(answered, roster) for roster in owner.possible)

    def _is_safe(self, state: WitnessesState) -> bool:
        """Return whether no owner acts that a later one takes for ended."""
        has_ended = False
        for owner in reversed(state.owners):
            if has_ended and self._may_act(owner):
                return False
            has_ended = has_ended or owner.majorities_age == OLD
        return True

    # Equivalent states.

    def _simplify(self, state: WitnessesState) -> WitnessesState:
        """Prove the last owner by the store; leave out values that no later step uses."""
        owners = [self._simplify_former(owner) for owner in state.owners[:-1]]
        last = state.owners[-1]._replace(store_age=0)
        if len(state.owners) == self.bounds.owners:
            last = last._replace(answers=(Answer(),) * WORKERS, possible=())
        else:
            answers = tuple(
                a._replace(counts=a.counts or a.is_present, is_known=True) for a in last.answers
            )
            last = last._replace(answers=answers)
        owners.append(last)
        owners = [o._replace(answered=0) if o.majorities_age != NONE else o for o in owners]
        if not self.removed_rules and self.bounds.rosters == (ALL_WORKERS,):
            return _sort_workers(state._replace(owners=tuple(owners)))
        return state._replace(owners=tuple(owners))

    def _simplify_former(self, owner: Owner) -> Owner:
        """Leave out the answers that never count."""
        if not self.enforces("incarnation before the store proof"):
            return owner
        answers = tuple(
            a if a.counts and a.age <= PROOF_TICKS else Answer(is_known=a.is_known)
            for a in owner.answers
        )
        return owner._replace(answers=answers)

    def list_invariants(self) -> dict[str, Predicate]:
        """Return the invariant that no owner acts that a later one takes for ended."""
        return {"last_owner_acts": lambda state: self._is_safe(WitnessesState(**state))}

    def list_witnesses(self) -> dict[str, Predicate]:
        """Return states in which workers confirm an owner, and show the end of earlier ones."""
        if not self.bounds.first_asks:
            return {"the second owner is the last": lambda state: len(state["owners"]) == 2}

        def is_confirmed_by_workers(state: Any) -> bool:
            return any(o.store_age == OLD and self._may_act(o) for o in state["owners"])

        def has_last_shown_end(state: Any) -> bool:
            owners = state["owners"]
            return len(owners) == self.bounds.owners and owners[-1].majorities_age == OLD

        return {
            "workers confirm an owner": is_confirmed_by_workers,
            "workers show the end of earlier owners": has_last_shown_end,
        }


def _is_majority(answered: int, roster: int) -> bool:
    return 2 * (answered & roster).bit_count() > roster.bit_count()


def _forget_earlier(owner: Owner) -> Owner:
    """Return an owner that states no rosters of earlier ones once these have ended."""
    return owner._replace(earlier=()) if owner.majorities_age == OLD else owner


def _replace_last(state: WitnessesState, owner: Owner) -> WitnessesState:
    return state._replace(owners=(*state.owners[:-1], owner))


def _sort_workers(state: WitnessesState) -> WitnessesState:
    """Return a state in which workers that are witnesses of the same rosters have an order."""

    def describe(worker: int) -> tuple:
        of_owners = [(o.answers[worker], o.answered >> worker & 1) for o in state.owners]
        return state.tokens[worker], *of_owners

    order = sorted(range(WORKERS), key=describe)
    owners = tuple(
        owner._replace(
            answers=tuple(owner.answers[w] for w in order),
            answered=sum((owner.answered >> w & 1) << i for i, w in enumerate(order)),
        )
        for owner in state.owners
    )
    return state._replace(owners=owners, tokens=tuple(state.tokens[w] for w in order))


def _restart(state: WitnessesState, worker: int) -> WitnessesState:
    owners = tuple(
        owner._replace(
            answers=replace_item(
                owner.answers,
                worker,
                owner.answers[worker]._replace(is_present=False, is_known=False),
            )
        )
        for owner in state.owners
    )
    return state._replace(
        owners=owners,
        tokens=replace_item(state.tokens, worker, 0),
        restarts=state.restarts + 1,
    )
