"""Specifications, their mutants and exhaustive checking of both with minicheck."""

import json
import time
from abc import ABC, abstractmethod
from collections.abc import Callable, Iterator, Mapping
from dataclasses import asdict, dataclass
from enum import Enum
from typing import Any, ClassVar

from minicheck import Protocol, check_safety

MAX_STATES = 400_000  # checking more states than this at the CI bounds takes too long
MAX_STATES_DEEP = 4_000_000  # minicheck's parent map takes about 1 kB per state

State = Any
Step = tuple[str, State]
Predicate = Callable[[Mapping[str, Any]], bool]


class RuleOrigin(Enum):
    """Whether the design states the rule that a mutant lacks; written as "kind" in the traces."""

    STATED = "guard"
    """The design states the rule."""
    UNSTATED = "literal"
    """The design does not state the rule; the design taken literally violates an invariant."""


@dataclass(frozen=True)
class Mutant:
    """A specification without one rule.

    Attributes
    ----------
    rule : str
        Name of the rule that is removed.
    invariant : str
        Name of the invariant that the mutant must violate.
    summary : str
        What the system does without the rule.
    configuration : str
        Label of the bounds at which the mutant is checked.
    origin : RuleOrigin
        Whether the design states the rule.
    """

    rule: str
    invariant: str
    summary: str
    configuration: str
    origin: RuleOrigin = RuleOrigin.STATED


class Specification(ABC):
    """A finite state machine with invariants.

    Parameters
    ----------
    bounds : object
        Frozen data class with the bounds of the search.
    removed_rules : frozenset of str
        Names of the removed rules; empty for the specification itself.
    """

    name: ClassVar[str]
    covers: ClassVar[str]
    mutants: ClassVar[tuple[Mutant, ...]]

    def __init__(self, bounds: Any, removed_rules: frozenset[str] = frozenset()) -> None:
        self.bounds = bounds
        self.removed_rules = removed_rules

    @classmethod
    @abstractmethod
    def list_configurations(cls, deep: bool) -> dict[str, Any]:
        """Return the bounds by label; `deep` selects the larger ones."""

    @abstractmethod
    def build_initial(self) -> State:
        """Return the initial state as a named tuple."""

    @abstractmethod
    def list_successors(self, state: State) -> list[Step]:
        """Return every enabled step of a state as a pair of its label and the next state."""

    @abstractmethod
    def list_invariants(self) -> dict[str, Predicate]:
        """Return the safety invariants by name."""

    @abstractmethod
    def list_witnesses(self) -> dict[str, Predicate]:
        """Return predicates that some reachable state must satisfy.

        They guard against a specification whose invariants hold only because it makes no progress.
        """

    def enforces(self, rule: str) -> bool:
        """Return whether a rule is enforced, that is, not removed."""
        return rule not in self.removed_rules


@dataclass(frozen=True)
class Refutation:
    """The shortest trace on which a mutant violates its invariant."""

    specification: str
    mutant: Mutant
    bounds: Any
    steps: tuple[Mapping[str, Any], ...]

    @property
    def length(self) -> int:
        """Number of steps after the initial state."""
        return len(self.steps) - 1


@dataclass(frozen=True)
class SearchResult:
    """The result of one exhaustive search."""

    configuration: str
    states: int
    exhaustive: bool
    violated_invariants: tuple[str, ...]
    unreached_witnesses: tuple[str, ...]
    trace: tuple[Mapping[str, Any], ...] = ()


@dataclass(frozen=True)
class Report:
    """The results of a specification and of its mutants."""

    specification: type[Specification]
    searches: tuple[SearchResult, ...]
    refutations: tuple[Refutation, ...]
    surviving_mutants: tuple[Mutant, ...]
    untargeted_invariants: tuple[str, ...]
    """Invariants that no mutant is expected to violate."""
    seconds: float

    @property
    def passed(self) -> bool:
        """Whether the specification holds and its mutants are refuted.

        Every search must be exhaustive, violate no invariant and reach every witness. Every mutant
        must be refuted, and every invariant must be the target of a mutant.
        """
        searches_passed = all(
            s.exhaustive and not s.violated_invariants and not s.unreached_witnesses
            for s in self.searches
        )
        return searches_passed and not self.surviving_mutants and not self.untargeted_invariants


def build_protocol(specification: Specification) -> Protocol:
    """Build the minicheck protocol of a specification.

    Witnesses are added as negated invariants, so that one search checks both.
    """
    initial = specification.build_initial()
    invariants = dict(specification.list_invariants())
    for name, predicate in specification.list_witnesses().items():
        invariants[f"witness {name}"] = _negate(predicate)
    return Protocol(
        name=specification.name,
        candidate=not specification.removed_rules,
        fields=type(initial)._fields,
        initial=initial,
        transitions=specification.list_successors,
        invariants=invariants,
    )


def _negate(predicate: Predicate) -> Predicate:
    return lambda state: not predicate(state)


def search_exhaustively(
    specification: Specification, configuration: str, max_states: int
) -> SearchResult:
    """Explore every reachable state of a specification.

    Parameters
    ----------
    specification : Specification
        The specification at its bounds.
    configuration : str
        Label of the bounds.
    max_states : int
        Number of states above which the search stops and is not exhaustive.

    Returns
    -------
    SearchResult
        The state count, the violated invariants and the unreached witnesses.
    """
    result = check_safety(build_protocol(specification), max_states=max_states)
    properties = result["properties"]
    violated_invariants = [
        n for n in specification.list_invariants() if properties[n]["holds"] is False
    ]
    refuted_properties = {n for n, p in properties.items() if p["holds"] is False}
    unreached_witnesses = [
        n for n in specification.list_witnesses() if f"witness {n}" not in refuted_properties
    ]
    trace = properties[violated_invariants[0]]["counterexample"] if violated_invariants else ()
    return SearchResult(
        configuration=configuration,
        states=result["reachable_states"],
        exhaustive=result["exhaustive"],
        violated_invariants=tuple(violated_invariants),
        unreached_witnesses=tuple(unreached_witnesses),
        trace=tuple(trace),
    )


def refute_mutant(
    specification_type: type[Specification], mutant: Mutant, bounds: Any, max_states: int
) -> Refutation | None:
    """Search for the shortest trace on which a mutant violates its invariant.

    minicheck does not stop at the first violation, so no state is expanded after it. A
    counterexample needs no exhaustive search, and breadth-first order makes it the shortest one.

    Returns
    -------
    Refutation or None
        None when the mutant survives.
    """
    specification = specification_type(bounds, frozenset({mutant.rule}))
    protocol = build_protocol(specification)
    invariant = protocol.invariants[mutant.invariant]
    violations = []

    def check_invariant(state: Mapping[str, Any]) -> bool:
        if not invariant(state):
            violations.append(mutant.invariant)
        # Only the first violation counts; list_successors expands no state after it.
        return not violations

    def list_successors(state: State) -> list[Step]:
        return [] if violations else specification.list_successors(state)

    protocol.invariants = {mutant.invariant: check_invariant}
    protocol.transitions = list_successors
    result = check_safety(protocol, max_states=max_states)
    verdict = result["properties"][mutant.invariant]
    if verdict["holds"] is not False:
        return None
    return Refutation(specification_type.name, mutant, bounds, tuple(verdict["counterexample"]))


def check_specification(specification_type: type[Specification], deep: bool = False) -> Report:
    """Check a specification at all its bounds, and its mutants at the CI bounds."""
    started_at = time.perf_counter()
    max_states = MAX_STATES_DEEP if deep else MAX_STATES
    searches = [
        search_exhaustively(specification_type(bounds), label, max_states)
        for label, bounds in specification_type.list_configurations(deep).items()
    ]
    first_bounds = next(iter(specification_type.list_configurations(deep).values()))
    targeted_invariants = {mutant.invariant for mutant in specification_type.mutants}
    untargeted_invariants = [
        n
        for n in specification_type(first_bounds).list_invariants()
        if n not in targeted_invariants
    ]
    refutations = []
    surviving_mutants = []
    for mutant, refutation in iterate_refutations(specification_type):
        if refutation is None:
            surviving_mutants.append(mutant)
        else:
            refutations.append(refutation)
    return Report(
        specification=specification_type,
        searches=tuple(searches),
        refutations=tuple(refutations),
        surviving_mutants=tuple(surviving_mutants),
        untargeted_invariants=tuple(untargeted_invariants),
        seconds=time.perf_counter() - started_at,
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
    """Encode a refutation as the JSON text of its file under `model/traces`."""
    header = {
        "specification": refutation.specification,
        "rule": refutation.mutant.rule,
        "kind": refutation.mutant.origin.value,
        "summary": refutation.mutant.summary,
        "invariant": refutation.mutant.invariant,
        "bounds": asdict(refutation.bounds),
    }
    lines = [f"{json.dumps(key)}: {json.dumps(value)}" for key, value in header.items()]
    steps = [
        json.dumps({"action": step["label"], "state": _to_json_value(step["state"])})
        for step in refutation.steps
    ]
    # Each step is on its own line, so that a changed trace gives a readable diff.
    lines.append('"steps": [\n' + ",\n".join(steps) + "\n]")
    return "{\n" + ",\n".join(lines) + "\n}\n"


def _to_json_value(value: Any) -> Any:
    """Convert named tuples to dictionaries, and tuples and sets to lists; sets are sorted."""
    if hasattr(value, "_asdict"):
        return _to_json_value(value._asdict())
    if isinstance(value, Mapping):
        return {key: _to_json_value(item) for key, item in value.items()}
    if isinstance(value, tuple | list):
        return [_to_json_value(item) for item in value]
    if isinstance(value, frozenset):
        return [_to_json_value(item) for item in sorted(value)]
    return value


def replace_item(items: tuple, index: int, value: Any) -> tuple:
    """Return a copy of a tuple with one item replaced."""
    return (*items[:index], value, *items[index + 1 :])
