"""Specifications, mutants and their exhaustive checking by minicheck."""

import json
import time
from abc import ABC, abstractmethod
from collections.abc import Callable, Iterator, Mapping
from dataclasses import asdict, dataclass
from enum import Enum
from typing import Any, ClassVar

from minicheck import Protocol, check_safety

MAX_STATES = 400_000  # above this count a specification at its CI bound is too slow
MAX_STATES_DEEP = 4_000_000  # the parent map takes about 1 kB a state

State = Any
Step = tuple[str, State]
Predicate = Callable[[Mapping[str, Any]], bool]


class MutantKind(Enum):
    """Why a rule is taken out."""

    GUARD = "guard"
    """A rule that the design page states."""
    LITERAL = "literal"
    """A rule that the page leaves open; without it the literal page is refuted."""


@dataclass(frozen=True)
class Mutant:
    """A specification without one rule.

    Attributes
    ----------
    rule : str
        Name of the rule taken out.
    invariant : str
        Name of the invariant that the checker must refute.
    summary : str
        What the system does without the rule.
    configuration : str
        Label of the bounds under which the refutation is searched.
    kind : MutantKind
        Whether the page states the rule.
    """

    rule: str
    invariant: str
    summary: str
    configuration: str
    kind: MutantKind = MutantKind.GUARD


class Specification(ABC):
    """A finite state machine with invariants.

    Parameters
    ----------
    bounds : object
        Frozen data class with the bounds of the search.
    removed : frozenset of str
        Rules taken out; empty for the specification itself.
    """

    name: ClassVar[str]
    covers: ClassVar[str]
    mutants: ClassVar[tuple[Mutant, ...]]

    def __init__(self, bounds: Any, removed: frozenset[str] = frozenset()) -> None:
        self.bounds = bounds
        self.removed = removed

    @classmethod
    @abstractmethod
    def list_configurations(cls, deep: bool) -> dict[str, Any]:
        """Return the bounds by label; `deep` selects the larger ones."""

    @abstractmethod
    def build_initial(self) -> State:
        """Return the initial state, a named tuple."""

    @abstractmethod
    def list_successors(self, state: State) -> list[Step]:
        """Return every (label, next state) that is enabled in a state."""

    @abstractmethod
    def list_invariants(self) -> dict[str, Predicate]:
        """Return the safety invariants by name."""

    @abstractmethod
    def list_witnesses(self) -> dict[str, Predicate]:
        """Return predicates that some reachable state must satisfy.

        They guard against a specification that holds only because it does nothing.
        """

    def enforces(self, rule: str) -> bool:
        """Tell whether a rule is in force."""
        return rule not in self.removed


@dataclass(frozen=True)
class Refutation:
    """The shortest trace that the checker found against a mutant."""

    specification: str
    mutant: Mutant
    bounds: Any
    steps: tuple[Mapping[str, Any], ...]

    @property
    def length(self) -> int:
        """Number of steps after the initial state."""
        return len(self.steps) - 1


@dataclass(frozen=True)
class Search:
    """The result of one exhaustive search."""

    configuration: str
    states: int
    exhaustive: bool
    violated: tuple[str, ...]
    unreached: tuple[str, ...]
    trace: tuple[Mapping[str, Any], ...] = ()


@dataclass(frozen=True)
class Report:
    """The results of a specification and of its mutants."""

    specification: type[Specification]
    searches: tuple[Search, ...]
    refutations: tuple[Refutation, ...]
    survivors: tuple[Mutant, ...]
    untested: tuple[str, ...]
    """Invariants that no mutant is meant to break."""
    seconds: float

    @property
    def passed(self) -> bool:
        """Whether every search was exhaustive and clean and every mutant was refuted."""
        clean = all(s.exhaustive and not s.violated and not s.unreached for s in self.searches)
        return clean and not self.survivors and not self.untested


def build_protocol(specification: Specification) -> Protocol:
    """Build the minicheck protocol of a specification.

    Witnesses are added as negated invariants, so that one search serves both.
    """
    initial = specification.build_initial()
    invariants = dict(specification.list_invariants())
    for name, predicate in specification.list_witnesses().items():
        invariants[f"witness {name}"] = _negate(predicate)
    return Protocol(
        name=specification.name,
        candidate=not specification.removed,
        fields=type(initial)._fields,
        initial=initial,
        transitions=specification.list_successors,
        invariants=invariants,
    )


def _negate(predicate: Predicate) -> Predicate:
    return lambda d: not predicate(d)


def search_exhaustively(
    specification: Specification, configuration: str, max_states: int
) -> Search:
    """Explore every reachable state of a specification.

    Parameters
    ----------
    specification : Specification
        The specification at its bounds.
    configuration : str
        Label of the bounds.
    max_states : int
        Number of states above which the search gives up and is not exhaustive.

    Returns
    -------
    Search
        The state count, the violated invariants and the witnesses never reached.
    """
    result = check_safety(build_protocol(specification), max_states=max_states)
    properties = result["properties"]
    violated = [n for n in specification.list_invariants() if properties[n]["holds"] is False]
    reached = {n for n, p in properties.items() if p["holds"] is False}
    unreached = [n for n in specification.list_witnesses() if f"witness {n}" not in reached]
    trace = properties[violated[0]]["counterexample"] if violated else ()
    return Search(
        configuration=configuration,
        states=result["reachable_states"],
        exhaustive=result["exhaustive"],
        violated=tuple(violated),
        unreached=tuple(unreached),
        trace=tuple(trace),
    )


def refute_mutant(
    specification_type: type[Specification], mutant: Mutant, bounds: Any, max_states: int
) -> Refutation | None:
    """Search the shortest trace against a mutant.

    minicheck does not stop at the first violation, so no state is expanded after it. The trace is
    a witness by itself, and breadth-first order makes it the shortest one.

    Returns
    -------
    Refutation or None
        None when the mutant survives.
    """
    specification = specification_type(bounds, frozenset({mutant.rule}))
    protocol = build_protocol(specification)
    holds = protocol.invariants[mutant.invariant]
    violations = []

    def record(d: Mapping[str, Any]) -> bool:
        if not holds(d):
            violations.append(mutant.invariant)
        return not violations

    def expand(state: State) -> list[Step]:
        return [] if violations else specification.list_successors(state)

    protocol.invariants = {mutant.invariant: record}
    protocol.transitions = expand
    result = check_safety(protocol, max_states=max_states)
    found = result["properties"][mutant.invariant]
    if found["holds"] is not False:
        return None
    return Refutation(specification_type.name, mutant, bounds, tuple(found["counterexample"]))


def check_specification(specification_type: type[Specification], deep: bool = False) -> Report:
    """Check a specification at all its bounds, and all its mutants at the CI bounds."""
    started = time.perf_counter()
    max_states = MAX_STATES_DEEP if deep else MAX_STATES
    searches = [
        search_exhaustively(specification_type(bounds), label, max_states)
        for label, bounds in specification_type.list_configurations(deep).items()
    ]
    first = next(iter(specification_type.list_configurations(deep).values()))
    aimed_at = {mutant.invariant for mutant in specification_type.mutants}
    untested = [n for n in specification_type(first).list_invariants() if n not in aimed_at]
    refutations = []
    survivors = []
    for mutant, refutation in iterate_refutations(specification_type):
        if refutation is None:
            survivors.append(mutant)
        else:
            refutations.append(refutation)
    return Report(
        specification=specification_type,
        searches=tuple(searches),
        refutations=tuple(refutations),
        survivors=tuple(survivors),
        untested=tuple(untested),
        seconds=time.perf_counter() - started,
    )


def iterate_refutations(
    specification_type: type[Specification],
) -> Iterator[tuple[Mutant, Refutation | None]]:
    """Yield every mutant of a specification with its refutation at the CI bounds."""
    configurations = specification_type.list_configurations(deep=False)
    for mutant in specification_type.mutants:
        bounds = configurations[mutant.configuration]
        yield mutant, refute_mutant(specification_type, mutant, bounds, MAX_STATES)


def encode_refutation(refutation: Refutation) -> str:
    """Encode a refutation as JSON that tests of the implementation can replay."""
    head = {
        "specification": refutation.specification,
        "rule": refutation.mutant.rule,
        "kind": refutation.mutant.kind.value,
        "summary": refutation.mutant.summary,
        "invariant": refutation.mutant.invariant,
        "bounds": asdict(refutation.bounds),
    }
    lines = [f"{json.dumps(key)}: {json.dumps(value)}" for key, value in head.items()]
    steps = [
        json.dumps({"action": step["label"], "state": _make_plain(step["state"])})
        for step in refutation.steps
    ]
    # One step a line, so that a change of a trace reads well as a difference.
    lines.append('"steps": [\n' + ",\n".join(steps) + "\n]")
    return "{\n" + ",\n".join(lines) + "\n}\n"


def _make_plain(value: Any) -> Any:
    """Turn named tuples into dictionaries and sets into sorted lists."""
    if hasattr(value, "_asdict"):
        return _make_plain(value._asdict())
    if isinstance(value, Mapping):
        return {key: _make_plain(item) for key, item in value.items()}
    if isinstance(value, tuple | list):
        return [_make_plain(item) for item in value]
    if isinstance(value, frozenset):
        return [_make_plain(item) for item in sorted(value)]
    return value


def replace_item(items: tuple, index: int, value: Any) -> tuple:
    """Return a copy of a tuple with one item replaced."""
    return (*items[:index], value, *items[index + 1 :])
