"""Steps on tasks that wait although capacity is free."""

from behave import given, then, when

from features.support.queue_simulation import make_step
from lavenderhook._internal.queueing.model import AdviceTerms


@given("the advisory service allows no worker")
def step_allow_none(context):
    context.simulation.allowed_workers = ()


@when('a submission "{name}" of {count:d} tasks with advice arrives')
def step_advised(context, name, count):
    context.simulation.submit(name, [make_step(count)], advice=AdviceTerms(0.04, 0.0006, 2.0))


@then('there are {lines:d} lines "{decision}", with "{reason}" for {count:d} workers')
def step_logged_reasons(context, lines, decision, reason, count):
    found = [line for _, line in context.simulation.decisions if line.decision == decision]
    assert len(found) == lines, found
    assert all(line.fields["reasons"] == {reason: count} for line in found), found
