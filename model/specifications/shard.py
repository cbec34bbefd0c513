"""Shard ownership and group commit (docs/design.md 3.1).

The log is the tuple of its transactions, so its length is the head's version and its last item
carries the head's transaction id. A transaction in transit may take effect at any later time, and
its response may be lost. Each transaction is a batch of allocations on a worker of limited
capacity, or a takeover. A job is one batch, identified by its transaction.
"""

from collections.abc import Iterator
from dataclasses import dataclass
from typing import Any, NamedTuple

from ..engine import Mutant, Predicate, RuleOrigin, Specification, Step, replace_item


class Transaction(NamedTuple):
    """One transaction: its id (instance and number), the version it expects, and its batch."""

    instance: int
    number: int
    expected: int
    units: int  # allocated by the batch; 0 for a takeover


class Instance(NamedTuple):
    """One instance and its copy of the shard's state."""

    view: tuple = ()  # the prefix of the log that it has applied
    version: int = 0  # of the head in the last response
    owner: bool = False
    pending: Transaction | None = None
    number: int = 0  # of the last transaction; a restart keeps it, so that ids stay unique
    restarts: int = 0


class ShardState(NamedTuple):
    """State of the table, the network and the instances."""

    store_up: bool
    log: tuple
    network: frozenset
    instances: tuple
    told: frozenset  # (instance, number, "accepted" or "not accepted")


@dataclass(frozen=True)
class ShardBounds:
    """Bounds of the search; `transactions` counts per instance."""

    instances: int
    capacity: int
    batch: int
    transactions: int
    restarts: int


class Shard(Specification):
    """Ownership and group commit of one shard."""

    name = "shard"
    covers = "group commit with version check, lost responses, retries, takeover, restarts"
    mutants = (
        Mutant(
            "version check",
            "within_capacity",
            "a commit does not check the head's version",
            "two instances",
        ),
        Mutant(
            "takeover at the version read",
            "within_capacity",
            "a takeover commits on whatever version the head has, over a state read earlier",
            "two instances",
        ),
        Mutant(
            "one commit in flight",
            "within_capacity",
            "a second batch is decided on a state that lacks the first, and sent under its "
            "successor's version",
            "two instances",
        ),
        Mutant(
            "same transaction again",
            "applied_once",
            "a batch whose answer was lost is sent as a new transaction at the version read anew",
            "two instances",
        ),
        Mutant(
            "state read again",
            "view_is_log",
            "an instance that lost ownership keeps its pending batch in its state",
            "two instances",
        ),
        Mutant(
            "unknown until definite",
            "answers_are_true",
            "a commit is given up as not accepted while the store is down",
            "two instances",
        ),
        Mutant(
            "accepted after commit",
            "answers_are_true",
            "the caller is told 'accepted' before the commit is known",
            "two instances",
        ),
        Mutant(
            "own row before not accepted",
            "answers_are_true",
            "a conflict with another owner is taken as proof that our transaction had no effect, "
            "though the new owner committed after it",
            "two instances",
            RuleOrigin.UNSTATED,
        ),
    )

    @classmethod
    def list_configurations(cls, deep: bool) -> dict[str, Any]:
        """Return the bounds by label."""
        if deep:
            return {
                "two instances": ShardBounds(2, 2, 2, 3, 1),
                "three instances": ShardBounds(3, 2, 1, 3, 0),
            }
        return {
            "two instances": ShardBounds(2, 2, 2, 2, 1),
            "three instances": ShardBounds(3, 2, 1, 2, 0),
        }

    def build_initial(self) -> ShardState:
        """Return the state with an empty log and no owner."""
        return ShardState(
            store_up=True,
            log=(),
            network=frozenset(),
            instances=(Instance(),) * self.bounds.instances,
            told=frozenset(),
        )

    def list_successors(self, state: ShardState) -> list[Step]:
        """Return the steps of the store, the network and the instances."""
        label = "store_fails()" if state.store_up else "store_returns()"
        steps: list[Step] = [(label, state._replace(store_up=not state.store_up))]
        if state.store_up:
            for transaction in sorted(state.network):
                if self._can_apply(state, transaction):
                    applied = state._replace(log=(*state.log, transaction))
                    label = f"apply(instance={transaction.instance}, number={transaction.number})"
                    steps.append((label, self._drop_obsolete(applied)))
        for index, instance in enumerate(state.instances):
            for name, next_state in self._list_instance_steps(state, index, instance):
                steps.append((f"{name}(instance={index})", self._drop_obsolete(next_state)))
        return steps

    def _can_apply(self, state: ShardState, transaction: Transaction) -> bool:
        if transaction.expected == len(state.log):
            return True
        guarding_rule = (
            "takeover at the version read" if transaction.units == 0 else "version check"
        )
        return not self.enforces(guarding_rule) and transaction not in state.log

    def _drop_obsolete(self, state: ShardState) -> ShardState:
        """Remove transactions from the network that can no longer take effect."""
        disabled_checks = {"version check", "takeover at the version read"} & self.removed_rules
        if disabled_checks:
            return state
        applicable = frozenset(t for t in state.network if t.expected >= len(state.log))
        return state._replace(network=applicable) if applicable != state.network else state

    def _list_instance_steps(
        self, state: ShardState, index: int, instance: Instance
    ) -> Iterator[Step]:
        def replace_instance(changed: Instance, **fields: Any) -> ShardState:
            instances = replace_item(state.instances, index, changed)
            return state._replace(instances=instances, **fields)

        if instance.restarts < self.bounds.restarts and instance.number:
            restarted = Instance(number=instance.number, restarts=instance.restarts + 1)
            yield "restart", replace_instance(restarted)
        if instance.pending is not None:
            yield from self._list_results(state, index, instance)
            return
        if state.store_up and not instance.owner and instance.version != len(state.log):
            updated = instance._replace(view=state.log, version=len(state.log))
            yield "read", replace_instance(updated)
        if instance.number >= self.bounds.transactions:
            return
        if not instance.owner:
            yield "take_over", self._send(state, index, instance, 0)
            return
        used_units = sum(t.units for t in instance.view)
        for units in range(1, self.bounds.batch + 1):
            if used_units + units <= self.bounds.capacity:
                yield f"commit:{units}", self._send(state, index, instance, units)

    def _send(self, state: ShardState, index: int, instance: Instance, units: int) -> ShardState:
        number = instance.number + 1
        transaction = Transaction(index, number, instance.version, units)
        network = state.network | {transaction}
        told = state.told
        if units and not self.enforces("accepted after commit"):
            told = told | {(index, number, "accepted")}
        if units and not self.enforces("one commit in flight") and number < 3:
            used_units = sum(t.units for t in instance.view)
            if used_units + units <= self.bounds.capacity:
                network = network | {
                    transaction._replace(number=number + 10, expected=transaction.expected + 1)
                }
        changed = instance._replace(pending=transaction, number=number)
        instances = replace_item(state.instances, index, changed)
        return state._replace(instances=instances, network=network, told=told)

    def _list_results(self, state: ShardState, index: int, instance: Instance) -> Iterator[Step]:
        pending = instance.pending
        assert pending is not None
        row = state.log[pending.expected] if pending.expected < len(state.log) else None

        def record_answer(changed: Instance, answer: str) -> ShardState:
            told = state.told
            if pending.units and answer:
                told = told | {(index, pending.number, answer)}
            instances = replace_item(state.instances, index, changed)
            return state._replace(instances=instances, told=told)

        idle = instance._replace(pending=None)
        if pending.units and not self.enforces("unknown until definite") and not state.store_up:
            yield "give_up", record_answer(idle, "not accepted")
        if not state.store_up or pending not in state.log and row is None:
            return
        if state.log and state.log[-1] == pending:
            view = (*instance.view, pending)
            owner = idle._replace(view=view, version=len(state.log), owner=True)
            # The commit succeeded, or a retry got a conflict that names this transaction.
            yield "learn_applied", record_answer(owner, "accepted")
            if not self.enforces("same transaction again") and pending.units:
                yield from self._resend_as_new(state, index, instance)
            return
        # The head is another transaction, so this instance does not own the shard.
        non_owner = idle._replace(view=state.log, version=len(state.log), owner=False)
        if not self.enforces("state read again"):
            non_owner = idle._replace(view=(*instance.view, pending), owner=False)
        was_applied = pending in state.log
        if not self.enforces("own row before not accepted"):
            was_applied = False
        yield (
            "learn_conflict",
            record_answer(non_owner, "accepted" if was_applied else "not accepted"),
        )

    def _resend_as_new(self, state: ShardState, index: int, instance: Instance) -> Iterator[Step]:
        pending = instance.pending
        assert pending is not None
        resent = pending._replace(expected=len(state.log))
        changed = instance._replace(pending=resent)
        instances = replace_item(state.instances, index, changed)
        yield "resend_as_new", state._replace(instances=instances, network=state.network | {resent})

    def list_invariants(self) -> dict[str, Predicate]:
        """Return the invariants of the log, the views of it and the answers to callers."""
        capacity = self.bounds.capacity

        def within_capacity(state: Any) -> bool:
            return sum(t.units for t in state["log"]) <= capacity

        def applied_once(state: Any) -> bool:
            ids = [(t.instance, t.number) for t in state["log"]]
            return len(ids) == len(set(ids))

        def view_is_log(state: Any) -> bool:
            return all(state["log"][: len(i.view)] == i.view for i in state["instances"])

        def answers_are_true(state: Any) -> bool:
            ids = {(t.instance, t.number) for t in state["log"]}
            for instance, number, answer in state["told"]:
                if answer == "not accepted" and (instance, number) in ids:
                    return False
                if answer == "accepted" and (instance, number) not in ids:
                    return False
            return True

        return {
            "within_capacity": within_capacity,
            "applied_once": applied_once,
            "view_is_log": view_is_log,
            "answers_are_true": answers_are_true,
        }

    def list_witnesses(self) -> dict[str, Predicate]:
        """Return states that show that ownership changes."""

        def two_owners_allocate(state: Any) -> bool:
            return {t.instance for t in state["log"] if t.units} == {0, 1}

        return {"two owners allocate in turn": two_owners_allocate}
