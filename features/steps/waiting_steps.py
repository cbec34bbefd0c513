"""Steps on tasks that wait although capacity is free."""

import sys

from behave import given, then, when

from features.support.queue_random_runs import refresh_worker_lists
from features.support.queue_simulation import QueueSimulation, make_step
from lavenderhook._internal.queueing.model import AdviceTerms, Placement, WorkerState


@given("the advisory service allows no worker")
def step_allow_none(context):
    context.simulation.allowed_workers = ()


@when('a submission "{name}" of {count:d} tasks with advice arrives')
def step_advised(context, name, count):
    context.simulation.submit(name, [make_step(count)], advice=AdviceTerms(0.04, 0.0006, 2.0))


@when(
    'a gang "{name}" of {count:d} tasks of {processors:d} millicores '
    "and {seconds:d} seconds arrives"
)
def step_long_gang(context, name, count, processors, seconds):
    steps = [make_step(count, processors, float(seconds), is_gang=True)]
    context.simulation.submit(name, steps, slack_factor=2.0)


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


@given('worker "{name}" is on probation')
@when('worker "{name}" is on probation')
def step_on_probation(context, name):
    simulation = context.simulation
    simulation.run_until(lambda: simulation.owners[-1].state.workers[name].last_report_at)
    worker = simulation.owners[-1].state.workers[name]
    worker.begin_probation()
    worker.slow_submissions.update(("slow0", "slow1"))
    worker.record_shown_speed(simulation.now)


@when('tasks on worker "{name}" stand still from now on')
def step_stand_still(context, name):
    context.simulation.workers[name].stalls_tasks = True


@when('a gang "{name}" of {count:d} tasks of {processors:d} millicores for one rack arrives')
def step_gang_on_rack(context, name, count, processors):
    step = make_step(count, processors, 3.0, is_gang=True, placement=Placement(single_rack=True))
    context.simulation.submit(name, [step])


@given('the workers from "{name}" on belong to another service, and are full')
def step_other_service(context, name):
    simulation = context.simulation
    others = [other for other in simulation.workers.values() if other.name >= name]
    for worker in others:
        worker.service = "other"
    refresh_worker_lists(simulation)
    simulation.run(0.5)
    for worker in others:
        known = simulation.owners[-1].state.workers[worker.name]
        known.used_processors = known.listing.capacity.processors


@when('a service "{name}" of {count:d} tasks, one on each worker of rack "{rack}", arrives')
def step_service_on_rack(context, name, count, rack):
    placement = Placement(label=rack, most_per_worker=1)
    step = make_step(count, 2000, 0.0, is_service=True, placement=placement)
    context.simulation.submit(name, [step])


@when(
    'a submission "{name}" of {count:d} tasks of {processors:d} millicores '
    'and {seconds:d} seconds on rack "{rack}" arrives'
)
def step_on_rack(context, name, count, processors, seconds, rack):
    step = make_step(count, processors, seconds, placement=Placement(label=rack))
    context.simulation.submit(name, [step])


@when("{count:d} submissions with advice arrive")
def step_several_advised(context, count):
    for index in range(count):
        step_advised(context, f"kept{index}", 2)


@then('"{name}" has not started')
def step_not_started(context, name):
    assert not context.simulation.starts_by_submission[name]


@then('worker "{name}" has {count:d} active runs')
def step_count_active(context, name, count):
    active = list(context.simulation.workers[name].runs)
    assert len(active) == count, active


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


@then('the last line "step-waits" has the reason "{reason}" for {count:d} workers')
def step_last_reasons(context, reason, count):
    found = [line for _, line in context.simulation.decisions if line.decision == "step-waits"]
    assert found and found[-1].fields["reasons"] == {reason: count}, found


@then('there are {lines:d} lines "{decision}", with "{reason}" for {count:d} workers')
def step_logged_reasons(context, lines, decision, reason, count):
    found = [line for _, line in context.simulation.decisions if line.decision == decision]
    assert len(found) == lines, found
    assert all(line.fields["reasons"] == {reason: count} for line in found), found


@then('there are {lines:d} lines "{decision}"')
def step_logged(context, lines, decision):
    found = [line for _, line in context.simulation.decisions if line.decision == decision]
    assert len(found) == lines, found


def count_placement_calls(tasks, workers):
    """Return how many functions are called in the placement pass for the tasks of a service."""
    simulation = QueueSimulation(1, workers=workers)
    scheduler, calls = simulation.start_new_owner().state.scheduler, 0
    schedule = scheduler.schedule
    simulation.run(1.0)

    def count(frame, event, argument):
        nonlocal calls
        calls += event == "call"

    def schedule_and_count(*arguments):
        sys.setprofile(count)
        try:
            return schedule(*arguments)
        finally:
            sys.setprofile(None)

    scheduler.schedule = schedule_and_count
    simulation.submit("large", [make_step(tasks, 100, 0.0, is_service=True)])
    simulation.run_until(lambda: simulation.starts == tasks)
    return calls


@then(
    "placing {tasks:d} tasks of a service on {workers:d} workers takes at most {factor:d} times "
    "as many calls as {fewer:d}"
)
def step_proportional(context, tasks, workers, factor, fewer):
    calls, least = count_placement_calls(tasks, workers), count_placement_calls(fewer, workers)
    assert calls <= factor * least, (calls, least)
