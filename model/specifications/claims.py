"""Claims of non-idempotent requests (docs/design.md 3.4).

A caller transmits one request id several times, through any instance and without waiting for the
previous response. Each transmission is called a send and is processed by one handler. The last send
may reach the host of the first one again, which may have restarted as a new incarnation. A claim in
transit may take effect at any later time, also after its handler has given up or crashed, and its
response may be lost.
"""

from collections.abc import Iterator
from dataclasses import dataclass
from typing import Any, NamedTuple

from ..engine import Mutant, Predicate, RuleOrigin, Specification, Step, replace_item

ABSENT = -1


class Handler(NamedTuple):
    """The handling of one send by one instance.

    `phase` is new, claiming, owned, dispatched, answered or dead. `claim` is the state of the
    claim's transaction: none, sent or applied.
    """

    phase: str = "new"
    incarnation: int = 0
    claim: str = "none"
    dispatches: int = 0  # requests sent to the upstream
    result: str = ""  # at the upstream: "", completed or refused
    told: str = ""  # outcome returned to the caller


class ClaimsState(NamedTuple):
    """State of the claim row, the handlers and the upstream."""

    store_up: bool
    row: int  # index of the handler that owns the claim row, or ABSENT
    outcome: str  # stored in the claim row: "", completed or not run
    handlers: tuple
    incarnations: tuple  # per host
    executions: tuple  # per handler


@dataclass(frozen=True)
class ClaimsBounds:
    """Bounds of the search; `hosts` names the instance that receives each send."""

    hosts: tuple
    crashes: int


class Claims(Specification):
    """At-most-once execution of one request id."""

    name = "claims"
    covers = "insert-if-absent, lost response, racing instances, crash after claim or dispatch"
    mutants = (
        Mutant(
            "claim before dispatch",
            "at_most_once",
            "a request is dispatched before its claim is known to be ours",
            "race",
        ),
        Mutant(
            "insert if absent",
            "at_most_once",
            "the claim overwrites an existing row",
            "race",
        ),
        Mutant(
            "conflict names the claimer",
            "at_most_once",
            "a conflict after a lost answer is taken for our own earlier write",
            "race",
        ),
        Mutant(
            "claim by incarnation",
            "at_most_once",
            "a restarted instance takes the row of its former incarnation for its own",
            "restart",
        ),
        Mutant(
            "no retry after dispatch",
            "at_most_once",
            "a dispatched request is sent to another upstream after a transport error",
            "race",
        ),
        Mutant(
            "unknown after dispatch",
            "not_run_is_true",
            "a transport error after dispatch is answered 'not run'",
            "race",
        ),
        Mutant(
            "completed only on a response",
            "completed_is_true",
            "a connection closed without a response is answered 'completed'",
            "race",
        ),
        Mutant(
            "unknown for an open claim",
            "not_run_is_true",
            "a row without an outcome is answered 'not run'",
            "race",
        ),
        Mutant(
            "give up means no dispatch",
            "not_run_is_true",
            "a handler that answered 'not run' dispatches once its claim turns out to be written",
            "race",
        ),
        Mutant(
            "repeat is unknown in an outage",
            "not_run_is_true",
            "a repeated send is answered 'not run' while the store is down or before its claim is "
            "known, though an earlier send has run",
            "race",
            RuleOrigin.UNSTATED,
        ),
    )

    @classmethod
    def list_configurations(cls, deep: bool) -> dict[str, Any]:
        """Return the bounds by label."""
        if deep:
            return {
                "race": ClaimsBounds((0, 1), 2),
                "restart": ClaimsBounds((0, 0), 2),
                "three sends": ClaimsBounds((0, 1, 0), 3),
            }
        return {
            "race": ClaimsBounds((0, 1), 2),
            "restart": ClaimsBounds((0, 0), 2),
            "three sends": ClaimsBounds((0, 1, 0), 1),
        }

    def build_initial(self) -> ClaimsState:
        """Return the state before the first send."""
        count = len(self.bounds.hosts)
        return ClaimsState(
            store_up=True,
            row=ABSENT,
            outcome="",
            handlers=(Handler(),) * count,
            incarnations=(0,) * (max(self.bounds.hosts) + 1),
            executions=(0,) * count,
        )

    def list_successors(self, state: ClaimsState) -> list[Step]:
        """Return the steps of the store, the instances, the network and the upstream."""
        steps: list[Step] = []
        label = "store_fails()" if state.store_up else "store_returns()"
        steps.append((label, state._replace(store_up=not state.store_up)))
        steps.extend(self._list_crashes(state))
        for index, handler in enumerate(state.handlers):
            arguments = f"(send={index})"
            for name, next_state in self._list_handler_steps(state, index, handler):
                steps.append((f"{name}{arguments}", next_state))
            for name, next_state in self._list_store_and_upstream_steps(state, index, handler):
                steps.append((f"{name}{arguments}", next_state))
        return steps

    def _list_crashes(self, state: ClaimsState) -> Iterator[Step]:
        if sum(state.incarnations) >= self.bounds.crashes:
            return
        for host in range(len(state.incarnations)):
            handlers = tuple(
                h._replace(phase="dead")
                if self.bounds.hosts[i] == host and h.phase not in ("new", "answered")
                else h
                for i, h in enumerate(state.handlers)
            )
            incarnations = replace_item(state.incarnations, host, state.incarnations[host] + 1)
            restarted = state._replace(handlers=handlers, incarnations=incarnations)
            yield f"restart(host={host})", restarted

    def _list_handler_steps(
        self, state: ClaimsState, index: int, handler: Handler
    ) -> Iterator[Step]:
        def replace_handler(**fields: Any) -> ClaimsState:
            handlers = replace_item(state.handlers, index, handler._replace(**fields))
            return state._replace(handlers=handlers)

        if handler.phase == "new":
            # The caller sends in order, without waiting for responses.
            if index == 0 or state.handlers[index - 1].phase != "new":
                incarnation = state.incarnations[self.bounds.hosts[index]]
                yield "receive", replace_handler(phase="claiming", incarnation=incarnation)
        elif handler.phase == "claiming":
            if handler.claim == "none":
                yield "send_claim", replace_handler(claim="sent")
            if not self.enforces("claim before dispatch") and handler.claim == "sent":
                yield "dispatch", replace_handler(phase="dispatched", dispatches=1)
            if state.store_up and state.row != ABSENT and handler.claim == "applied":
                if self._owns_row(state, index, handler):
                    yield "learn_owned", replace_handler(phase="owned")
                else:
                    told = self._answer_from_row(state)
                    yield f"learn_conflict:{told}", replace_handler(phase="answered", told=told)
            # The store is down, or the deadline passes before the claim is known.
            if index == 0 or not self.enforces("repeat is unknown in an outage"):
                yield "give_up:not run", replace_handler(phase="answered", told="not run")
            else:
                yield "give_up:unknown", replace_handler(phase="answered", told="unknown")
        elif handler.phase == "owned":
            yield "dispatch", replace_handler(phase="dispatched", dispatches=1)
            rejected = replace_handler(phase="answered", told="not run")
            yield "shed:not run", rejected
            if state.store_up and state.row == index:
                yield "shed_and_store:not run", rejected._replace(outcome="not run")
        elif handler.phase == "dispatched":
            yield from self._list_dispatched_steps(state, index, handler)
        is_late_claim = (
            handler.phase == "answered" and handler.told == "not run" and state.row == index
        )
        if (
            is_late_claim
            and not self.enforces("give up means no dispatch")
            and not handler.dispatches
        ):
            yield "dispatch", replace_handler(dispatches=1)

    def _list_dispatched_steps(
        self, state: ClaimsState, index: int, handler: Handler
    ) -> Iterator[Step]:
        def replace_handler(stored_outcome: str, **fields: Any) -> ClaimsState:
            handlers = replace_item(state.handlers, index, handler._replace(**fields))
            can_store_outcome = state.row == index and state.store_up
            outcome = stored_outcome if can_store_outcome and stored_outcome else state.outcome
            return state._replace(handlers=handlers, outcome=outcome)

        if handler.result:
            told = "completed" if handler.result == "completed" else "not run"
            yield f"answer:{told}", replace_handler(told, phase="answered", told=told)
        if self.enforces("unknown after dispatch"):
            yield "lose_connection:unknown", replace_handler("", phase="answered", told="unknown")
        else:
            yield "lose_connection:not run", replace_handler("", phase="answered", told="not run")
        if not self.enforces("completed only on a response"):
            yield (
                "lose_connection:completed",
                replace_handler("", phase="answered", told="completed"),
            )
        if not self.enforces("no retry after dispatch") and not handler.result:
            yield "retry", replace_handler("", dispatches=2)

    def _owns_row(self, state: ClaimsState, index: int, handler: Handler) -> bool:
        if state.row == index or not self.enforces("conflict names the claimer"):
            return True
        is_same_host = self.bounds.hosts[state.row] == self.bounds.hosts[index]
        return is_same_host and not self.enforces("claim by incarnation")

    def _answer_from_row(self, state: ClaimsState) -> str:
        if state.outcome:
            return state.outcome
        return "unknown" if self.enforces("unknown for an open claim") else "not run"

    def _list_store_and_upstream_steps(
        self, state: ClaimsState, index: int, handler: Handler
    ) -> Iterator[Step]:
        if handler.claim == "sent" and state.store_up:
            applied = handler._replace(claim="applied")
            handlers = replace_item(state.handlers, index, applied)
            may_insert = state.row == ABSENT or not self.enforces("insert if absent")
            row = index if may_insert else state.row
            yield "apply_claim", state._replace(handlers=handlers, row=row)
        # The upstream runs or refuses a request; it never runs one that it has refused.
        if handler.dispatches and handler.result != "refused":
            executed = state.executions[index]
            if executed < handler.dispatches:
                handlers = replace_item(state.handlers, index, handler._replace(result="completed"))
                executions = replace_item(state.executions, index, executed + 1)
                yield "execute", state._replace(handlers=handlers, executions=executions)
            if executed == 0 and handler.dispatches == 1:
                handlers = replace_item(state.handlers, index, handler._replace(result="refused"))
                yield "refuse", state._replace(handlers=handlers)

    def list_invariants(self) -> dict[str, Predicate]:
        """Return the invariants G4 and G5, and that of the outcome completed.

        G4: a request answered with not run has not run. G5: a non-idempotent request runs at most
        once. An outcome of completed means that the request has run.
        """

        def at_most_once(state: Any) -> bool:
            return sum(state["executions"]) <= 1

        def not_run_is_true(state: Any) -> bool:
            # The response to a send covers that send and the earlier ones; a later send may run.
            return not any(
                h.told == "not run" and sum(state["executions"][: i + 1])
                for i, h in enumerate(state["handlers"])
            )

        def completed_is_true(state: Any) -> bool:
            is_told_completed = any(h.told == "completed" for h in state["handlers"])
            return not is_told_completed or sum(state["executions"]) == 1

        return {
            "at_most_once": at_most_once,
            "not_run_is_true": not_run_is_true,
            "completed_is_true": completed_is_true,
        }

    def list_witnesses(self) -> dict[str, Predicate]:
        """Return states that show that the protocol makes progress."""

        def repeated_send_gets_outcome(state: Any) -> bool:
            return state["handlers"][1].told == "completed" and state["executions"][0] == 1

        def repeated_send_runs(state: Any) -> bool:
            return state["handlers"][0].told == "not run" and state["executions"][1] == 1

        return {
            "a repeated send gets the outcome": repeated_send_gets_outcome,
            "a repeated send runs": repeated_send_runs,
        }
