"""Configuration: commit, propagation and start-up (docs/design.md 3.6).

Operators race, through different instances or the same one. The last instance may be replaced and
starts anew, perhaps while the store is down. Pushes are never taken out of the network, so they may
arrive late, again or never. The fault bound counts crashes of instances for good, and links cut for
good.
"""

from collections.abc import Iterator
from dataclasses import dataclass
from typing import Any, NamedTuple

from ..engine import Mutant, MutantKind, Predicate, Specification, Step, replace_item

ABSENT = -1


class Operation(NamedTuple):
    """One operator's change, sent to one instance.

    `phase` is new, sent, applied, known or answered.
    """

    phase: str = "new"
    decided: int = 0  # version on which the operator decided
    expected: int = 0  # version that the transaction checks
    told: str = ""
    version: int = 0  # told with the answer
    tries: int = 0


class Node(NamedTuple):
    """One instance; `version` is the configuration in force on it."""

    phase: str = "ready"  # ready, starting or dead
    version: int = 0
    answers: frozenset = frozenset()  # peers asked at start-up
    floor: int = 0  # highest version accepted before the first peer was asked
    went_back: bool = False


class ConfigurationState(NamedTuple):
    """State of the table, the operators' changes and the instances."""

    store_up: bool
    table: tuple  # change ids by version, from version 1
    operations: tuple
    nodes: tuple
    pushed: frozenset  # versions in the network
    acknowledged: frozenset  # (version, node) whose push was confirmed
    cuts: frozenset  # nodes whose links to all others are cut
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
    """Configuration of one cell."""

    name = "configuration"
    covers = "racing operators, lost answers, push before the answer, start-up in an outage"
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
            MutantKind.LITERAL,
        ),
        Mutant(
            "second acknowledged push",
            "start_is_current",
            "an operator is told 'accepted' after one peer confirmed; it is replaced and the "
            "accepting instance is lost",
            "outage",
            MutantKind.LITERAL,
        ),
        Mutant(
            "acknowledged pushes",
            "start_is_current",
            "an operator is told 'accepted' after the push time limit though no peer confirmed",
            "outage",
            MutantKind.LITERAL,
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
        """Return the state with configuration 0 in force everywhere."""
        return ConfigurationState(
            store_up=True,
            table=(),
            operations=(Operation(),) * self.bounds.operations,
            nodes=(Node(),) * self.bounds.nodes,
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
        for index, operation in enumerate(state.operations):
            for name, following in self._list_operation_steps(state, index, operation):
                steps.append((f"{name}(change={index})", following))
        for index, node in enumerate(state.nodes):
            for name, following in self._list_node_steps(state, index, node):
                steps.append((f"{name}(node={index})", following))
        return steps

    def _host(self, index: int) -> int:
        """Return the instance that serves an operator; several may share one."""
        return index % max(self.bounds.nodes - 1, 1)

    def _list_faults(self, state: ConfigurationState) -> Iterator[Step]:
        dead = sum(node.phase == "dead" for node in state.nodes)
        if dead + len(state.cuts) < self.bounds.faults:
            for index, node in enumerate(state.nodes):
                if node.phase != "dead" and index not in state.cuts:
                    gone = replace_item(state.nodes, index, Node(phase="dead"))
                    yield f"crash(node={index})", state._replace(nodes=gone)
                    cuts = state.cuts | {index}
                    yield f"cut_links(node={index})", state._replace(cuts=cuts)
        last = self.bounds.nodes - 1
        if state.replaced < self.bounds.replacements and state.nodes[last].phase == "ready":
            nodes = replace_item(state.nodes, last, Node(phase="starting"))
            replaced = state.replaced + 1
            kept = frozenset(a for a in state.acknowledged if a[1] != last)
            fresh = state._replace(nodes=nodes, replaced=replaced, acknowledged=kept)
            yield f"replace(node={last})", fresh

    def _list_operation_steps(
        self, state: ConfigurationState, index: int, operation: Operation
    ) -> Iterator[Step]:
        host = self._host(index)
        node = state.nodes[host]
        if operation.phase == "sent" and state.store_up:
            # The transaction takes effect, or never will once the head has moved.
            if operation.expected == len(state.table):
                table = (*state.table, index)
                applied = replace_item(state.operations, index, operation._replace(phase="applied"))
                yield "apply", state._replace(table=table, operations=applied)
            elif not self.enforces("version check"):
                table = (*state.table[: operation.expected], index)
                applied = replace_item(state.operations, index, operation._replace(phase="applied"))
                yield "apply", state._replace(table=table, operations=applied)
        if node.phase != "ready":
            return

        def become(**changes: Any) -> ConfigurationState:
            changed = replace_item(state.operations, index, operation._replace(**changes))
            return state._replace(operations=changed)

        if operation.phase == "new":
            yield "send", become(phase="sent", decided=node.version, expected=node.version)
        elif operation.phase == "sent":
            if not self.enforces("commit before accepted"):
                version = operation.expected + 1
                yield "answer:accepted", become(told="accepted", version=version, phase="answered")
            if state.store_up and operation.expected < len(state.table):
                yield from self._list_conflicts(state, index, operation)
        elif operation.phase == "applied" and state.store_up:
            yield from self._list_results(state, index, operation)
        elif operation.phase == "known":
            version = operation.version
            copies = sum(v == version for v, _ in state.acknowledged)
            confirmed = copies >= (2 if self.enforces("second acknowledged push") else 1)
            pushed = version in state.pushed
            if not self.enforces("push before the answer"):
                pushed = confirmed = True
            if not self.enforces("acknowledged pushes"):
                confirmed = True
            if pushed and confirmed:
                yield "answer:accepted", become(told="accepted", phase="answered")
            if not pushed:
                yield "push", become()._replace(pushed=state.pushed | {version})

    def _list_conflicts(
        self, state: ConfigurationState, index: int, operation: Operation
    ) -> Iterator[Step]:
        if self.enforces("loser gets a conflict"):
            changed = operation._replace(phase="answered", told="conflict")
        else:
            changed = operation._replace(expected=len(state.table))
        operations = replace_item(state.operations, index, changed)
        yield "learn_conflict", state._replace(operations=operations)

    def _list_results(
        self, state: ConfigurationState, index: int, operation: Operation
    ) -> Iterator[Step]:
        host = self._host(index)
        if index not in state.table:
            return
        version = state.table.index(index) + 1
        if len(state.table) > version and not self.enforces("own change row before conflict"):
            yield from self._list_conflicts(state, index, operation)
        node = state.nodes[host]
        node = node._replace(version=max(node.version, version))
        known = operation._replace(phase="known", version=version)
        operations = replace_item(state.operations, index, known)
        nodes = replace_item(state.nodes, host, node)
        yield "learn_applied", state._replace(operations=operations, nodes=nodes)
        if operation.tries < self.bounds.retries and not self.enforces("first result again"):
            again = operation._replace(
                phase="sent", expected=len(state.table), tries=operation.tries + 1
            )
            resent = replace_item(state.operations, index, again)
            yield "apply_again", state._replace(operations=resent)

    def _list_node_steps(self, state: ConfigurationState, index: int, node: Node) -> Iterator[Step]:
        def become(changed: Node, **more: Any) -> ConfigurationState:
            return state._replace(nodes=replace_item(state.nodes, index, changed), **more)

        if node.phase == "ready":
            for version in sorted(state.pushed):
                if index in state.cuts or (version, index) in state.acknowledged:
                    continue
                if version > node.version:
                    yield f"take_push:{version}", become(node._replace(version=version))
                elif version < node.version and not self.enforces("versions only go up"):
                    back = node._replace(version=version, went_back=True)
                    yield f"take_push:{version}", become(back)
                if node.version >= version and not self._is_own(state, index, version):
                    acknowledged = state.acknowledged | {(version, index)}
                    yield f"confirm_push:{version}", become(node, acknowledged=acknowledged)
            if state.store_up and len(state.table) > node.version:
                yield "read_table", become(node._replace(version=len(state.table)))
        elif node.phase == "starting":
            yield from self._list_start_steps(state, index, node)

    def _is_own(self, state: ConfigurationState, index: int, version: int) -> bool:
        """Tell whether a version was accepted by the node itself, which cannot confirm it."""
        change = state.table[version - 1] if version <= len(state.table) else ABSENT
        return change != ABSENT and self._host(change) == index

    def _list_start_steps(
        self, state: ConfigurationState, index: int, node: Node
    ) -> Iterator[Step]:
        def start(version: int) -> ConfigurationState:
            # A change accepted after the first question arrives by heartbeat, as on any peer.
            stale = version < (node.floor if node.answers else _find_accepted(state))
            ready = Node(phase="ready", version=version)
            nodes = replace_item(state.nodes, index, ready)
            return state._replace(nodes=nodes, stale_start=state.stale_start or stale)

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
            if peer not in node.answers:
                # Answers are collected one by one; the highest is kept.
                version = max(node.version, state.nodes[peer].version)
                if not self.enforces("highest of all peers") and node.answers:
                    version = node.version
                floor = node.floor if node.answers else _find_accepted(state)
                answers = node.answers | {peer}
                asked = node._replace(version=version, answers=answers, floor=floor)
                nodes = replace_item(state.nodes, index, asked)
                yield f"ask_peer:{peer}", state._replace(nodes=nodes)
        enough = bool(node.answers) and node.answers >= set(reachable)
        if not self.enforces("highest of all peers"):
            enough = bool(node.answers)
        if not self.enforces("ready with a configuration"):
            enough = True
        if enough:
            yield "start_from_peers", start(node.version)

    def list_invariants(self) -> dict[str, Predicate]:
        """Return the invariants of G8 and of the answers to operators."""

        def is_kept(d: Any) -> bool:
            return all(
                o.told != "accepted"
                or (o.version <= len(d["table"]) and d["table"][o.version - 1] == i)
                for i, o in enumerate(d["operations"])
            )

        def has_one_winner(d: Any) -> bool:
            # Two changes decided on the same version are not both accepted.
            accepted = [i for i, o in enumerate(d["operations"]) if o.told == "accepted"]
            decided = [d["operations"][i].decided for i in accepted]
            return len(decided) == len(set(decided))

        def is_applied_once(d: Any) -> bool:
            return len(d["table"]) == len(set(d["table"]))

        def conflict_is_true(d: Any) -> bool:
            return not any(
                o.told == "conflict" and i in d["table"] for i, o in enumerate(d["operations"])
            )

        return {
            "accepted_is_kept": is_kept,
            "one_winner": has_one_winner,
            "applied_once": is_applied_once,
            "conflict_is_true": conflict_is_true,
            "never_back": lambda d: not any(n.went_back for n in d["nodes"]),
            "start_is_current": lambda d: not d["stale_start"],
        }

    def list_witnesses(self) -> dict[str, Predicate]:
        """Return states that show changes come into force."""

        def in_force(d: Any) -> bool:
            accepted = any(o.told == "accepted" for o in d["operations"])
            return accepted and all(n.version >= 1 for n in d["nodes"])

        return {"in force everywhere": in_force}


def _find_accepted(state: ConfigurationState) -> int:
    """Return the highest version that an operator was told is accepted."""
    return max((o.version for o in state.operations if o.told == "accepted"), default=0)
