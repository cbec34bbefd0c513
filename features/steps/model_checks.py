"""Steps that run the model checks."""

from behave import then, when

from model.calibration import find_miscounts
from model.engine import check_specification
from model.registry import find_specification, find_stale_traces


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
