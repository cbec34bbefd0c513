"""Configuration: commit, propagation and start-up (docs/design.md 3.6).

Operators send concurrent changes, through different instances or the same one. The last instance
may be replaced and starts again, perhaps while the store is down. Pushes are never removed from the
network, so they may arrive late, repeatedly or never. The fault bound counts the instances that
crash permanently and those that are permanently partitioned.
"""

from collections.abc import Iterator
from dataclasses import dataclass
from typing import Any, NamedTuple

from ..engine import Mutant, Predicate, RuleOrigin, Specification, Step, replace_item

ABSENT = -1


class Change(NamedTuple):
    """One operator's change, sent to one instance.

    `phase` is new, sent, applied, known or answered.
    """

    phase: str = "new"
    decided: int = 0  # version that the operator's decision is based on
    expected: int = 0  # version that the transaction checks
    told: str = ""  # result returned to the operator
    version: int = 0  # returned in the response
    tries: int = 0


class Instance(NamedTuple):
    """One instance; `version` is that of its active configuration."""

    phase: str = "ready"  # ready, starting or dead
    version: int = 0
    answers: frozenset = frozenset()  # peers that answered at start-up
    floor: int = 0  # highest version accepted before the first peer was asked
    went_back: bool = False


class ConfigurationState(NamedTuple):
    """State of the table, the operators' changes and the instances."""

    store_up: bool
    table: tuple  # change ids by version, from version 1
    operations: tuple
    nodes: tuple
    pushed: frozenset  # versions whose push is in transit
    acknowledged: frozenset  # (version, instance) of each confirmed push
    cuts: frozenset  # instances that are partitioned from all others
    replaced: int
    stale_start: bool


@dataclass(frozen=True)
class ConfigurationBounds:
    """Bounds of the search."""

    nodes: int
    operations: int
    faults: int
    replacements: int
    retries: int


class Configuration(Specification):
    """Distribution of configuration changes to all instances."""

    name = "configuration"
    covers = "racing operators, lost responses, push before the response, start-up in an outage"
    mutants = (
        Mutant(
            "version check",
            "accepted_is_kept",
            "a change is written without a check of the head's version",
            "race",
        ),
        Mutant(
            "commit before accepted",
            "accepted_is_kept",
            "an operator is told 'accepted' before the commit is known",
            "race",
        ),
        Mutant(
            "loser gets a conflict",
            "one_winner",
            "the loser's change is committed on top without a new decision of its operator",
            "race",
        ),
        Mutant(
            "first result again",
            "applied_once",
            "a change whose answer was lost is applied again under a new version",
            "race",
        ),
        Mutant(
            "versions only go up",
            "never_back",
            "an instance applies an older push that arrives late",
            "race",
        ),
        Mutant(
            "ready with a configuration",
            "start_is_current",
            "a new instance is ready without an answer of the table or a peer",
            "outage",
        ),
        Mutant(
            "highest of all peers",
            "start_is_current",
            "a new instance takes the first peer's answer instead of the highest",
            "outage",
        ),
        Mutant(
            "push before the answer",
            "start_is_current",
            "an operator is told 'accepted' before any push is sent",
            "outage",
        ),
        Mutant(
            "own change row before conflict",
            "conflict_is_true",
            "a conflict is answered from the head alone, though the change was committed before "
            "the winner's",
            "race",
            RuleOrigin.UNSTATED,
        ),
        Mutant(
            "second acknowledged push",
            "start_is_current",
            "an operator is told 'accepted' after one peer confirmed; it is replaced and the "
            "accepting instance is lost",
            "outage",
            RuleOrigin.UNSTATED,
        ),
        Mutant(
            "acknowledged pushes",
            "start_is_current",
            "an operator is told 'accepted' after the push time limit though no peer confirmed",
            "outage",
            RuleOrigin.UNSTATED,
        ),
    )

    @classmethod
    def list_configurations(cls, deep: bool) -> dict[str, Any]:
        """Return the bounds by label."""
        if deep:
            return {
                "race": ConfigurationBounds(4, 3, 0, 0, 0),
                "outage": ConfigurationBounds(5, 1, 1, 1, 0),
            }
        return {
            "race": ConfigurationBounds(3, 3, 0, 0, 1),
            "outage": ConfigurationBounds(4, 1, 1, 1, 0),
        }

    def build_initial(self) -> ConfigurationState:
        """Return the state in which configuration 0 is active on every instance."""
        return ConfigurationState(
            store_up=True,
            table=(),
            operations=(Change(),) * self.bounds.operations,
            nodes=(Instance(),) * self.bounds.nodes,
            pushed=frozenset(),
            acknowledged=frozenset(),
            cuts=frozenset(),
            replaced=0,
            stale_start=False,
        )

    def list_successors(self, state: ConfigurationState) -> list[Step]:
        """Return the steps of the store, the operators and the instances."""
        label = "store_fails()" if state.store_up else "store_returns()"
        steps: list[Step] = [(label, state._replace(store_up=not state.store_up))]
        steps.extend(self._list_faults(state))
        for index, change in enumerate(state.operations):
            for name, next_state in self._list_change_steps(state, index, change):
                steps.append((f"{name}(change={index})", next_state))
        for index, instance in enumerate(state.nodes):
            for name, next_state in self._list_instance_steps(state, index, instance):
                steps.append((f"{name}(node={index})", next_state))
        return steps

    def _get_serving_instance(self, index: int) -> int:
        """Return the instance that serves a change; several changes may share one."""
        return index % max(self.bounds.nodes - 1, 1)

    def _list_faults(self, state: ConfigurationState) -> Iterator[Step]:
        """Yield the crashes and partitions of instances and the replacement of the last one."""
        dead_count = sum(instance.phase == "dead" for instance in state.nodes)
        if dead_count + len(state.cuts) < self.bounds.faults:
            for index, instance in enumerate(state.nodes):
                if instance.phase != "dead" and index not in state.cuts:
                    crashed_nodes = replace_item(state.nodes, index, Instance(phase="dead"))
                    yield f"crash(node={index})", state._replace(nodes=crashed_nodes)
                    cuts = state.cuts | {index}
                    yield f"cut_links(node={index})", state._replace(cuts=cuts)
        last = self.bounds.nodes - 1
        if state.replaced < self.bounds.replacements and state.nodes[last].phase == "ready":
            nodes = replace_item(state.nodes, last, Instance(phase="starting"))
            replaced = state.replaced + 1
            # The new process has lost the pushes that its predecessor confirmed.
            acknowledged = frozenset(a for a in state.acknowledged if a[1] != last)
            after_replacement = state._replace(
                nodes=nodes, replaced=replaced, acknowledged=acknowledged
            )
            yield f"replace(node={last})", after_replacement

    def _list_change_steps(
        self, state: ConfigurationState, index: int, change: Change
    ) -> Iterator[Step]:
        host = self._get_serving_instance(index)
        instance = state.nodes[host]
        if change.phase == "sent" and state.store_up:
            # The transaction can take effect only until the head's version changes.
            if change.expected == len(state.table):
                table = (*state.table, index)
                operations = replace_item(state.operations, index, change._replace(phase="applied"))
                yield "apply", state._replace(table=table, operations=operations)
            elif not self.enforces("version check"):
                # Without the check, the change replaces all versions after the expected one.
                table = (*state.table[: change.expected], index)
                operations = replace_item(state.operations, index, change._replace(phase="applied"))
                yield "apply", state._replace(table=table, operations=operations)
        if instance.phase != "ready":
            return

        def replace_change(**fields: Any) -> ConfigurationState:
            operations = replace_item(state.operations, index, change._replace(**fields))
            return state._replace(operations=operations)

        if change.phase == "new":
            yield (
                "send",
                replace_change(phase="sent", decided=instance.version, expected=instance.version),
            )
        elif change.phase == "sent":
            if not self.enforces("commit before accepted"):
                version = change.expected + 1
                yield (
                    "answer:accepted",
                    replace_change(told="accepted", version=version, phase="answered"),
                )
            if state.store_up and change.expected < len(state.table):
                yield from self._list_conflicts(state, index, change)
        elif change.phase == "applied" and state.store_up:
            yield from self._list_results(state, index, change)
        elif change.phase == "known":
            version = change.version
            confirmations = sum(v == version for v, _ in state.acknowledged)
            is_confirmed = confirmations >= (2 if self.enforces("second acknowledged push") else 1)
            is_pushed = version in state.pushed
            if not self.enforces("push before the answer"):
                is_pushed = is_confirmed = True
            if not self.enforces("acknowledged pushes"):
                is_confirmed = True
            if is_pushed and is_confirmed:
                yield "answer:accepted", replace_change(told="accepted", phase="answered")
            if not is_pushed:
                yield "push", replace_change()._replace(pushed=state.pushed | {version})

    def _list_conflicts(
        self, state: ConfigurationState, index: int, change: Change
    ) -> Iterator[Step]:
        if self.enforces("loser gets a conflict"):
            changed = change._replace(phase="answered", told="conflict")
        else:
            changed = change._replace(expected=len(state.table))
        operations = replace_item(state.operations, index, changed)
        yield "learn_conflict", state._replace(operations=operations)

    def _list_results(
        self, state: ConfigurationState, index: int, change: Change
    ) -> Iterator[Step]:
        """Yield the steps in which the serving instance learns the result of an applied change."""
        host = self._get_serving_instance(index)
        if index not in state.table:
            return
        version = state.table.index(index) + 1
        if len(state.table) > version and not self.enforces("own change row before conflict"):
            yield from self._list_conflicts(state, index, change)
        instance = state.nodes[host]
        instance = instance._replace(version=max(instance.version, version))
        known = change._replace(phase="known", version=version)
        operations = replace_item(state.operations, index, known)
        nodes = replace_item(state.nodes, host, instance)
        yield "learn_applied", state._replace(operations=operations, nodes=nodes)
        if change.tries < self.bounds.retries and not self.enforces("first result again"):
            resent = change._replace(
                phase="sent", expected=len(state.table), tries=change.tries + 1
            )
            resent_operations = replace_item(state.operations, index, resent)
            yield "apply_again", state._replace(operations=resent_operations)

    def _list_instance_steps(
        self, state: ConfigurationState, index: int, instance: Instance
    ) -> Iterator[Step]:
        def replace_instance(changed: Instance, **fields: Any) -> ConfigurationState:
            return state._replace(nodes=replace_item(state.nodes, index, changed), **fields)

        if instance.phase == "ready":
            for version in sorted(state.pushed):
                if index in state.cuts or (version, index) in state.acknowledged:
                    continue
                if version > instance.version:
                    yield (
                        f"take_push:{version}",
                        replace_instance(instance._replace(version=version)),
                    )
                elif version < instance.version and not self.enforces("versions only go up"):
                    reverted = instance._replace(version=version, went_back=True)
                    yield f"take_push:{version}", replace_instance(reverted)
                if instance.version >= version and not self._is_accepted_by(state, index, version):
                    acknowledged = state.acknowledged | {(version, index)}
                    yield (
                        f"confirm_push:{version}",
                        replace_instance(instance, acknowledged=acknowledged),
                    )
            if state.store_up and len(state.table) > instance.version:
                yield "read_table", replace_instance(instance._replace(version=len(state.table)))
        elif instance.phase == "starting":
            yield from self._list_start_steps(state, index, instance)

    def _is_accepted_by(self, state: ConfigurationState, index: int, version: int) -> bool:
        """Return whether the instance accepted the version itself, so that it can't confirm it."""
        change_index = state.table[version - 1] if version <= len(state.table) else ABSENT
        return change_index != ABSENT and self._get_serving_instance(change_index) == index

    def _list_start_steps(
        self, state: ConfigurationState, index: int, instance: Instance
    ) -> Iterator[Step]:
        def start(version: int) -> ConfigurationState:
            # A start is stale only if it lacks a change accepted before the first peer was asked;
            # later changes arrive by heartbeat, as at any running instance.
            is_stale = version < (
                instance.floor if instance.answers else _find_highest_accepted(state)
            )
            ready = Instance(phase="ready", version=version)
            nodes = replace_item(state.nodes, index, ready)
            return state._replace(nodes=nodes, stale_start=state.stale_start or is_stale)

        if state.store_up:
            yield "start_from_table", start(len(state.table))
        if index in state.cuts:
            return
        reachable = [
            i
            for i, peer in enumerate(state.nodes)
            if i != index and peer.phase == "ready" and i not in state.cuts
        ]
        for peer in reachable:
            if peer not in instance.answers:
                # Responses arrive one by one; the highest version is kept.
                version = max(instance.version, state.nodes[peer].version)
                if not self.enforces("highest of all peers") and instance.answers:
                    version = instance.version
                floor = instance.floor if instance.answers else _find_highest_accepted(state)
                answers = instance.answers | {peer}
                updated = instance._replace(version=version, answers=answers, floor=floor)
                nodes = replace_item(state.nodes, index, updated)
                yield f"ask_peer:{peer}", state._replace(nodes=nodes)
        may_start = bool(instance.answers) and instance.answers >= set(reachable)
        if not self.enforces("highest of all peers"):
            may_start = bool(instance.answers)
        if not self.enforces("ready with a configuration"):
            may_start = True
        if may_start:
            yield "start_from_peers", start(instance.version)

    def list_invariants(self) -> dict[str, Predicate]:
        """Return the invariants of G8 and of the results returned to operators.

        G8: an accepted configuration is active everywhere within seconds and never reverts. The
        invariants check that an accepted change is kept and that no instance returns to an older
        configuration or starts with one.
        """

        def accepted_is_kept(state: Any) -> bool:
            return all(
                o.told != "accepted"
                or (o.version <= len(state["table"]) and state["table"][o.version - 1] == i)
                for i, o in enumerate(state["operations"])
            )

        def one_winner(state: Any) -> bool:
            # Of the changes based on the same version, at most one is accepted.
            accepted = [i for i, o in enumerate(state["operations"]) if o.told == "accepted"]
            decided = [state["operations"][i].decided for i in accepted]
            return len(decided) == len(set(decided))

        def applied_once(state: Any) -> bool:
            return len(state["table"]) == len(set(state["table"]))

        def conflict_is_true(state: Any) -> bool:
            return not any(
                o.told == "conflict" and i in state["table"]
                for i, o in enumerate(state["operations"])
            )

        return {
            "accepted_is_kept": accepted_is_kept,
            "one_winner": one_winner,
            "applied_once": applied_once,
            "conflict_is_true": conflict_is_true,
            "never_back": lambda state: not any(n.went_back for n in state["nodes"]),
            "start_is_current": lambda state: not state["stale_start"],
        }

    def list_witnesses(self) -> dict[str, Predicate]:
        """Return states that show that changes become active."""

        def active_everywhere(state: Any) -> bool:
            is_accepted = any(o.told == "accepted" for o in state["operations"])
            return is_accepted and all(n.version >= 1 for n in state["nodes"])

        return {"active everywhere": active_everywhere}


def _find_highest_accepted(state: ConfigurationState) -> int:
    """Return the highest version that was returned to an operator as accepted."""
    return max((o.version for o in state.operations if o.told == "accepted"), default=0)
