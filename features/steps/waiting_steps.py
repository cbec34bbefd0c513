"""Steps on tasks that wait although capacity is free."""

from behave import given, then, when

from features.support.queue_random_runs import refresh_worker_lists
from features.support.queue_simulation import make_step
from lavenderhook._internal.queueing.model import AdviceTerms, Placement, WorkerState


@given("the advisory service allows no worker")
def step_allow_none(context):
    context.simulation.allowed_workers = ()


@when('a submission "{name}" of {count:d} tasks with advice arrives')
def step_advised(context, name, count):
    context.simulation.submit(name, [make_step(count)], advice=AdviceTerms(0.04, 0.0006, 2.0))


@when('worker "{name}" is as fast as the others again')
def step_sound_again(context, name):
    context.simulation.workers[name].duration_factor = 1


@then("no run is active")
def step_none_active(context):
    active = [
        run.task for worker in context.simulation.workers.values() for run in worker.runs.values()
    ]
    assert not active, active


@given("a service on each worker")
def step_services(context):
    count = len(context.simulation.workers)
    context.simulation.submit("feed", [make_step(count, 1000, 0.0, is_service=True)])
    context.simulation.run(1.0)


@when('runs on worker "{name}" succeed again')
def step_succeed_again(context, name):
    context.simulation.workers[name].fails_all_runs = False


@given('a service "{name}" with one task on each worker')
def step_spread_service(context, name):
    count = len(context.simulation.workers)
    placement = Placement(most_per_worker=1)
    step = make_step(count, 1000, 0.0, is_service=True, placement=placement)
    context.simulation.submit(name, [step])
    context.simulation.run(1.0)


@when('worker "{name}" no longer drains')
def step_no_longer_drains(context, name):
    worker = context.simulation.workers[name]
    worker.state, worker.leaves_at = WorkerState.READY, None
    refresh_worker_lists(context.simulation)


@then('"{name}" has no run on worker "{worker}"')
def step_no_run(context, name, worker):
    submissions = {task.submission for task in context.simulation.workers[worker].runs}
    assert name not in submissions, submissions


@then('there are {lines:d} lines "{decision}", with "{reason}" for {count:d} workers')
def step_logged_reasons(context, lines, decision, reason, count):
    found = [line for _, line in context.simulation.decisions if line.decision == decision]
    assert len(found) == lines, found
    assert all(line.fields["reasons"] == {reason: count} for line in found), found
