"""Steps that run the model checks."""

from typing import NamedTuple

from behave import then, when

from model.calibration import find_checker_errors
from model.engine import MAX_STATES, Mutant, Specification, check_specification
from model.registry import find_specification, find_stale_traces


class CounterState(NamedTuple):
    """State of the counter."""

    n: int


class Counter(Specification):
    """A counter from 0 to 3 that never goes below 0; `fault` selects a fault to introduce."""

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
        """Count up, and fall below 0 if the rule is removed or the invariant is to be violated."""
        limit = 2 * MAX_STATES if self.fault == "truncated search" else 3
        steps = [("up", CounterState(state.n + 1))] if 0 <= state.n < limit else []
        can_fall = not self.enforces("never below 0") or self.fault == "violated invariant"
        return [*steps, ("fall", CounterState(-1))] if can_fall else steps

    def list_invariants(self):
        """Return the lower limit, and an invariant without a mutant if `fault` asks for it."""
        invariants = {"not_negative": lambda state: state["n"] >= 0}
        if self.fault == "invariant without mutants":
            invariants["integer"] = lambda state: isinstance(state["n"], int)
        return invariants

    def list_witnesses(self):
        """Return a value that is reached unless `fault` asks for an unreachable one."""
        value = -2 if self.fault == "unreachable witness" else 3
        return {"value": lambda state: state["n"] == value}


def list_faults(report):
    """Return the names of the faults that a report shows."""
    faults = {
        "surviving mutant": bool(report.surviving_mutants),
        "violated invariant": any(s.violated_invariants for s in report.searches),
        "truncated search": not all(s.exhaustive for s in report.searches),
        "unreachable witness": any(s.unreached_witnesses for s in report.searches),
        "invariant without mutants": bool(report.untargeted_invariants),
    }
    return [name for name, present in faults.items() if present]


@when("a counter specification with a {fault} is checked")
def step_check_counter(context, fault):
    rule = "no such rule" if fault == "surviving mutant" else "never below 0"
    mutant = Mutant(rule, "not_negative", "falls below 0", "only")
    faulty = type("FaultyCounter", (Counter,), {"fault": fault, "mutants": (mutant,)})
    context.report = check_specification(faulty)


@then("the report shows only the {fault} and does not pass")
def step_fails(context, fault):
    # Guards against a run that reports an incomplete or failed check as passed.
    assert list_faults(context.report) == [fault], context.report
    assert not context.report.passed


@then("the report passes")
def step_passes(context):
    # Guards against an engine that fails every check, which the scenarios above can't detect.
    assert list_faults(context.report) == []
    assert context.report.passed


@when("the checker explores protocols with known state counts")
def step_calibrate(context):
    context.problems = find_checker_errors()


@then("every count and verdict is the known one")
def step_counts(context):
    # Guards against a checker that skips states and so misses violations.
    assert not context.problems, context.problems


@when("the {name} specification is checked at the CI bounds")
def step_check(context, name):
    context.report = check_specification(find_specification(name))


@then("the search is exhaustive, no invariant is violated and every witness is reached")
def step_exhaustive(context):
    # Guards against a protocol change that violates an invariant or stops all progress.
    for result in context.report.searches:
        assert result.exhaustive, f"{result.configuration}: stopped after {result.states} states"
        assert not result.violated_invariants, (
            f"{result.configuration}: {result.violated_invariants} {result.trace}"
        )
        assert not result.unreached_witnesses, (
            f"{result.configuration}: never reached {result.unreached_witnesses}"
        )


@then("every mutant is refuted and every invariant has one")
def step_mutants(context):
    # Guards against an invariant too weak to detect that a rule is missing.
    assert not context.report.surviving_mutants, [m.rule for m in context.report.surviving_mutants]
    assert not context.report.untargeted_invariants, (
        f"no mutant for {context.report.untargeted_invariants}"
    )
    assert context.report.refutations


@then("the stored traces match the traces found")
def step_traces(context):
    # Guards against stored traces of an older specification.
    stale = find_stale_traces(context.report.refutations)
    assert not stale, f"rewrite with python -m model --write-traces: {stale}"
