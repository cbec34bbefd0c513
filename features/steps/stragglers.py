"""Steps on slow runs, workers that leave, and services."""

import collections

from behave import given, then, when

from features.support.queue_random_runs import refresh_worker_lists
from features.support.queue_simulation import make_step
from lavenderhook._internal.queueing.model import (
    Resources,
    RunOutcome,
    RunState,
    StepId,
    TaskKey,
    WorkerState,
)
from lavenderhook._internal.queueing.step_progress import StepProgress
from lavenderhook._internal.queueing.stragglers import (
    ProjectedEnd,
    RunAction,
    is_stalled,
    project_remaining,
)
from lavenderhook._internal.queueing.workers import Run


@when(
    'a submission "{name}" of {count:d} tasks of {processors:d} millicores '
    "that may be copied arrives"
)
def step_copied(context, name, count, processors):
    context.simulation.submit(name, [make_step(count, processors, 1.0, allows_copies=True)])


@when(
    'a submission "{name}" of {count:d} tasks of {processors:d} millicores with checkpoints '
    "and {seconds:d} seconds arrives"
)
def step_saved(context, name, count, processors, seconds):
    context.simulation.submit(name, [make_step(count, processors, seconds, has_checkpoints=True)])


@when('a service "{name}" of {count:d} tasks of {processors:d} millicores arrives')
def step_service(context, name, count, processors):
    context.simulation.submit(name, [make_step(count, processors, 0.0, is_service=True)])


@when(
    'a service "{name}" of {count:d} tasks of {processors:d} millicores '
    "with priority {priority:d} arrives"
)
def step_service_with_priority(context, name, count, processors, priority):
    steps = [make_step(count, processors, 0.0, is_service=True)]
    context.simulation.submit(name, steps, priority=priority)


@when('worker "{name}" is no longer partitioned')
def step_healed(context, name):
    context.simulation.workers[name].is_partitioned = False


@when('worker "{name}" drains and leaves in {seconds:f} seconds')
def step_leave(context, name, seconds):
    simulation = context.simulation
    worker = simulation.workers[name]
    worker.state = WorkerState.DRAINING
    worker.leaves_at = simulation.now + seconds
    refresh_worker_lists(simulation)
    simulation.call_later(seconds, worker.leave)
    simulation.call_later(seconds, refresh_worker_lists, simulation)


@then("no run was stopped")
def step_none_stopped(context):
    assert not context.simulation.outcome_counts[RunOutcome.STOPPED]


@then("no run was lost with its worker")
def step_none_lost(context):
    lost = [run.task for worker in context.simulation.workers.values() for run in worker.lost_runs]
    assert not lost, lost


def list_active(context, name):
    """Return the workers that run the tasks of a submission."""
    return [
        worker
        for worker in context.simulation.workers.values()
        for task in worker.runs
        if task.submission == name
    ]


@then('"{name}" has {count:d} active tasks')
def step_active_tasks(context, name, count):
    active = list_active(context, name)
    assert len(active) == count, [worker.name for worker in active]


@then('no worker holds more than {tasks:d} task of "{name}" and no rack more than {in_rack:d}')
def step_spread_service(context, name, tasks, in_rack):
    active = list_active(context, name)
    by_worker = collections.Counter(worker.name for worker in active)
    by_rack = collections.Counter(worker.rack for worker in active)
    assert active and max(by_worker.values()) <= tasks and max(by_rack.values()) <= in_rack, (
        by_worker,
        by_rack,
    )


@given("a run of estimated {estimate:d} seconds that has done {progress:f} in {seconds:d} seconds")
def step_run(context, estimate, progress, seconds):
    context.run = Run(
        task=TaskKey("a", 0, 0, 0),
        number=1,
        worker="w",
        resources=Resources(),
        is_filler=False,
        state=RunState.RUNNING,
        commanded_at=0.0,
        estimate_seconds=estimate,
        counts_for_speed=True,
    )
    context.clock = 1000.0
    for second in range(seconds + 1):
        context.run.record_progress(progress * second / seconds, context.clock + second)
    context.clock += seconds


@then("its remaining time is {seconds:f} seconds")
def step_remaining(context, seconds):
    found = project_remaining(context.run)
    assert abs(found - seconds) < 0.01, found


@when("its reports show no more progress for {seconds:d} seconds")
def step_standing(context, seconds):
    for second in range(1, seconds + 1):
        context.run.record_progress(context.run.progress, context.clock + second)


@then("it counts as stalled")
def step_is_stalled(context):
    assert is_stalled(context.run)


@when("a policy judges it on a slow worker, where its task takes {seconds:f} seconds elsewhere")
def step_judge(context, seconds):
    step = StepProgress(StepId("a", 0, 0), make_step(1, 1000, 1.0), 1)
    context.action = ProjectedEnd().choose_action(context.run, step, seconds, 4.0)


@then("the run is to be {action}")
def step_action(context, action):
    expected = {"restarted": RunAction.RESTART, "kept": RunAction.KEEP}[action]
    assert context.action is expected, context.action
