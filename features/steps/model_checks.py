"""Steps that run the model checks."""

from typing import NamedTuple

from behave import then, when

from model.calibration import find_miscounts
from model.engine import MAX_STATES, Mutant, Specification, check_specification
from model.registry import find_specification, find_stale_traces


class CounterState(NamedTuple):
    """State of the counter."""

    n: int


class Counter(Specification):
    """A counter from 0 to 3 that never goes below 0; `fault` spoils it in one way."""

    name = "counter"
    covers = "the engine"
    fault = ""

    @classmethod
    def list_configurations(cls, deep):
        """Return one configuration without bounds."""
        return {"only": None}

    def build_initial(self):
        """Return zero."""
        return CounterState(0)

    def list_successors(self, state):
        """Count up, and down below 0 if the rule is taken out or the invariant is to fail."""
        limit = 2 * MAX_STATES if self.fault == "truncated search" else 3
        steps = [("up", CounterState(state.n + 1))] if 0 <= state.n < limit else []
        falls = not self.enforces("never below 0") or self.fault == "violated invariant"
        return [*steps, ("fall", CounterState(-1))] if falls else steps

    def list_invariants(self):
        """Return the lower limit, and one more if it is to have no mutant."""
        invariants = {"not_negative": lambda d: d["n"] >= 0}
        if self.fault == "invariant without mutants":
            invariants["integer"] = lambda d: isinstance(d["n"], int)
        return invariants

    def list_witnesses(self):
        """Return a value that is reached unless it is not to be."""
        value = -2 if self.fault == "unreachable witness" else 3
        return {"value": lambda d: d["n"] == value}


def name_faults(report):
    """Return the faults that a report shows."""
    found = {
        "surviving mutant": bool(report.survivors),
        "violated invariant": any(s.violated for s in report.searches),
        "truncated search": not all(s.exhaustive for s in report.searches),
        "unreachable witness": any(s.unreached for s in report.searches),
        "invariant without mutants": bool(report.untested),
    }
    return [name for name, present in found.items() if present]


@when("a counter with a {fault} is checked")
def step_check_counter(context, fault):
    rule = "no such rule" if fault == "surviving mutant" else "never below 0"
    mutant = Mutant(rule, "not_negative", "falls below 0", "only")
    spoilt = type("Spoilt", (Counter,), {"fault": fault, "mutants": (mutant,)})
    context.report = check_specification(spoilt)


@then("the report shows only the {fault} and does not pass")
def step_fails(context, fault):
    # Guards against a run that reports an unfinished or refuted check as a success.
    assert name_faults(context.report) == [fault], context.report
    assert not context.report.passed


@then("the report passes")
def step_passes(context):
    # Guards against an engine that fails everything, which would void the scenarios above.
    assert name_faults(context.report) == []
    assert context.report.passed


@when("the checker explores protocols with known state counts")
def step_calibrate(context):
    context.problems = find_miscounts()


@then("every count and verdict is the known one")
def step_counts(context):
    # Guards against a checker that skips states and so proves what it has not seen.
    assert not context.problems, context.problems


@when("the {name} specification is checked at the CI bounds")
def step_check(context, name):
    context.report = check_specification(find_specification(name))


@then("the search is exhaustive and no invariant is violated")
def step_exhaustive(context):
    # Guards against a protocol change that breaks an invariant or makes the search vacuous.
    for search in context.report.searches:
        assert search.exhaustive, f"{search.configuration}: gave up after {search.states} states"
        assert not search.violated, f"{search.configuration}: {search.violated} {search.trace}"
        assert not search.unreached, f"{search.configuration}: never reached {search.unreached}"


@then("every mutant is refuted")
def step_mutants(context):
    # Guards against an invariant too weak to notice that a rule is missing.
    assert not context.report.survivors, [m.rule for m in context.report.survivors]
    assert not context.report.untested, f"no mutant for {context.report.untested}"
    assert context.report.refutations


@then("the traces on file are those found")
def step_traces(context):
    # Guards against replay tests that run on traces of an older specification.
    stale = find_stale_traces(context.report.refutations)
    assert not stale, f"rewrite with python -m model --write-traces: {stale}"
