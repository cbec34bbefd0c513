"""Leases of a worker that restarts, as it counts them and as its owners do (queueing/leases.py).

One task, and a worker that may restart under its id. The owner starts the task there, extends its
lease, and starts it elsewhere once it counts the lease as expired or knows of a restart. Then a
successor may take over, which knows nothing of before. It finds the task elsewhere, or waits for
the longest lease that its predecessor may have granted.

Time is in ticks. Any answer may be lost, and any step may fail to be taken, as behind a partition.
A restart ends the run and all connections. What is carried out late, by the incarnation that got
it, differs from what is carried out at once only by the lease, which is fixed when it is sent.
"""

from collections.abc import Iterator
from dataclasses import dataclass
from typing import Any, NamedTuple

from ..engine import Mutant, Predicate, Specification, Step

LEASE_TICKS = 1  # that an owner grants, from the last report
LONGEST_TICKS = 3  # to which a worker cuts a lease
NONE = -1


class LeasesState(NamedTuple):
    """State of the worker and of the present owner.

    Attributes
    ----------
    incarnation : int
        Of the worker.
    lease : int
        Ticks until the worker ends what runs there; NONE after that. It outlasts the task.
    runs : bool
        The task runs at the worker.
    is_elsewhere : bool
        The task runs, or has run, at another worker.
    known : int
        The incarnation of which the owner knows.
    clock : int
        The incarnation by whose clock the owner computes the end of a lease, or NONE.
    age : int
        Ticks since that clock was read.
    connection : int
        The incarnation that has answered on the connection, or NONE.
    may_run : bool
        The owner believes that the task may run at the worker.
    wait : int
        Ticks until the owner counts the lease as expired; NONE after that.
    has_taken_over : bool
        The present owner is the successor.
    """

    incarnation: int = 0
    lease: int = NONE
    runs: bool = False
    is_elsewhere: bool = False
    known: int = 0
    clock: int = NONE
    age: int = 0
    connection: int = NONE
    may_run: bool = False
    wait: int = NONE
    has_taken_over: bool = False


@dataclass(frozen=True)
class LeasesBounds:
    """Bounds of the search: how often the worker restarts, and whether a successor takes over."""

    restarts: int
    has_successor: bool


class Leases(Specification):
    """The end of a lease on a worker's clock, and the wait for it on an owner's."""

    name = "leases"
    covers = "leases across restarts of a worker: clocks, connections, owner and successor"
    mutants = (
        Mutant(
            "clock of the incarnation",
            "one_run",
            "the end of a lease is computed on the clock of a former incarnation, after the list "
            "has shown the next one and a start has found it at the other end",
            "restarts",
        ),
        Mutant(
            "connection for a hold",
            "one_run",
            "a hold extends the lease of whichever incarnation gets it",
            "restarts",
        ),
        Mutant(
            "connection for a start",
            "one_run",
            "a start is carried out by whichever incarnation gets it, and the successor can't know",
            "takeover",
        ),
        Mutant(
            "wait for the lease",
            "one_run",
            "an owner starts the task elsewhere as soon as the worker doesn't answer",
            "restarts",
        ),
        Mutant(
            "wait of the successor",
            "one_run",
            "a successor starts the task elsewhere at once",
            "takeover",
        ),
    )

    @classmethod
    def list_configurations(cls, deep: bool) -> dict[str, Any]:
        """Return the bounds by label."""
        restarts = 4 if deep else 2
        return {
            "restarts": LeasesBounds(restarts, has_successor=False),
            "takeover": LeasesBounds(restarts, has_successor=True),
        }

    def build_initial(self) -> LeasesState:
        """Return the state in which the owner knows the worker by the list only."""
        return LeasesState()

    def list_successors(self, state: LeasesState) -> list[Step]:
        """Return the steps of the clock, the worker, the list, the owner and its successor."""
        if not _is_one_run(state):
            return []
        return [(f"{name}()", changed) for name, changed in self._list_steps(state)]

    def _list_steps(self, state: LeasesState) -> Iterator[Step]:
        yield "tick", _pass_time(state)
        if state.incarnation < self.bounds.restarts:
            yield (
                "restart",
                state._replace(
                    incarnation=state.incarnation + 1, lease=NONE, runs=False, connection=NONE
                ),
            )
        if state.known < state.incarnation:
            yield "read_list", self._record_restart(state)
        if self.bounds.has_successor and not state.has_taken_over:
            waits = self.enforces("wait of the successor")
            yield (
                "take_over",
                state._replace(
                    known=0,
                    clock=NONE,
                    age=0,
                    connection=NONE,
                    may_run=not state.is_elsewhere,
                    wait=LEASE_TICKS if waits else NONE,
                    has_taken_over=True,
                ),
            )
        yield "look", self._report(state)
        yield "identify", state._replace(connection=state.incarnation)
        yield from self._list_commands(state)
        has_expired = state.wait == NONE or not self.enforces("wait for the lease")
        if state.may_run and not state.is_elsewhere and has_expired:
            yield "start_elsewhere", state._replace(is_elsewhere=True, may_run=False)

    def _list_commands(self, state: LeasesState) -> Iterator[Step]:
        if state.clock == NONE or state.age > LEASE_TICKS:
            return
        granted = self._compute_lease(state)
        is_proven = state.connection == state.known == state.incarnation
        # Without an answer, the owner doesn't know which incarnation has got it.
        if is_proven or not self.enforces("connection for a hold"):
            extended = state._replace(lease=max(state.lease, granted))
            yield "hold_unanswered", extended
            yield "hold", self._report(extended)
        if state.may_run or state.is_elsewhere:
            return
        # The owner sends a start only while it gets reports.
        if state.age == 0 and (is_proven or not self.enforces("connection for a start")):
            lease = max(state.lease, granted)
            yield "start", state._replace(lease=lease, runs=True, may_run=True)

    def _compute_lease(self, state: LeasesState) -> int:
        """Return the ticks that a worker grants to the end of a lease that it gets now."""
        if state.clock == state.incarnation:
            return LEASE_TICKS - state.age
        return LONGEST_TICKS  # its clock started later

    def _report(self, state: LeasesState) -> LeasesState:
        """Return the state after a report has arrived."""
        state = self._record_restart(state)
        return state._replace(
            clock=state.incarnation,
            age=0,
            connection=state.incarnation,
            may_run=state.runs,
            wait=LEASE_TICKS,
        )

    def _record_restart(self, state: LeasesState) -> LeasesState:
        """Return the state after the owner has learnt which incarnation there is now."""
        if state.known == state.incarnation:
            return state
        clock = NONE if self.enforces("clock of the incarnation") else state.clock
        may_run = state.may_run and state.has_taken_over and state.clock == NONE
        return state._replace(known=state.incarnation, clock=clock, may_run=may_run)

    def list_invariants(self) -> dict[str, Predicate]:
        """Return the invariant that the task never runs twice at once."""
        return {"one_run": lambda state: not (state["runs"] and state["is_elsewhere"])}

    def list_witnesses(self) -> dict[str, Predicate]:
        """Return states that show that the task runs after a restart, and elsewhere."""
        last = self.bounds.restarts
        return {
            "the last incarnation runs the task": lambda state: (
                state["incarnation"] == last and state["runs"]
            ),
            "the task runs elsewhere": lambda state: state["is_elsewhere"],
        }


def _pass_time(state: LeasesState) -> LeasesState:
    lease = max(state.lease - 1, NONE)
    return state._replace(
        lease=lease,
        runs=state.runs and lease != NONE,
        age=min(state.age + 1, LEASE_TICKS + 1),
        wait=max(state.wait - 1, NONE),
    )


def _is_one_run(state: LeasesState) -> bool:
    return not (state.runs and state.is_elsewhere)
