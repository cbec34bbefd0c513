"""Steps on tasks that crash their workers."""

import functools
import random

from behave import given, then, when

from features.support.crashing_tasks import crash_worker
from features.support.queue_random_runs import (
    announce_leaving,
    refresh_worker_lists,
    return_worker,
    run_random_simulation,
)
from features.support.queue_simulation import make_step
from lavenderhook._internal.queueing.crash_history import RunFate, SuspectRun
from lavenderhook._internal.queueing.model import RunState, SubmissionState
from standins.crashes import CrashBehaviour

WORKER_DOWN_SECONDS = 2.5
OWNER_CHANGE_SECONDS = 1.0


@given("{count:d} submissions of {tasks:d} tasks arrive over {seconds:d} seconds")
def step_load(context, count, tasks, seconds):
    for index in range(count):
        call = functools.partial(
            context.simulation.submit, f"load{index}", [make_step(tasks, 3000, 1.0)]
        )
        context.simulation.call_later(index * seconds / count, call)


@given('{which} of "{name}" crashes its worker after {age:g} seconds')
def step_crashing(context, which, name, age):
    add_crashes(context, name, which, age, WORKER_DOWN_SECONDS)


@given('{which} of "{name}" crashes its worker after {age:g} seconds for {down:g} seconds')
def step_crashing_for(context, which, name, age, down):
    add_crashes(context, name, which, age, down)


def add_crashes(context, name, which, age, down):
    """Let one task, or every one, of a submission crash its worker."""
    indices = None if which == "every task" else frozenset({int(which.removeprefix("task "))})
    context.simulation.crashing_tasks.budget.add(name, CrashBehaviour(age, down, indices))


@given('a service "{name}" of {count:d} tasks of {processors:d} millicores is running')
def step_running_service(context, name, count, processors):
    context.simulation.submit(name, [make_step(count, processors, 0.0, is_service=True)])


@given("the owner ends as a worker crashes for the {first:d}. and the {second:d}. time")
def step_owner_ends(context, first, second):
    context.simulation.crashing_tasks.on_crash = functools.partial(
        end_owner, context.simulation, {first, second}
    )


@given("the owner ends at each of the first {count:d} crashes")
def step_owners_end(context, count):
    context.simulation.crashing_tasks.on_crash = functools.partial(
        end_owner, context.simulation, set(range(1, count + 1))
    )


@when('the worker of "{name}" leaves after {notice:g} seconds and returns {away:g} seconds later')
def step_leave_and_return(context, name, notice, away):
    simulation = context.simulation
    worker = find_worker(simulation, name)
    announce_leaving(simulation, worker, notice)
    simulation.run(notice + away)
    return_worker(simulation, worker)
    refresh_worker_lists(simulation)
    simulation.run(0.5)


def find_worker(simulation, name):
    """Return the worker that runs the first task of a submission."""
    return next(
        worker
        for worker in simulation.workers.values()
        for task in worker.runs
        if task.submission == name
    )


@when('a start of "{name}" is planned')
def step_planned(context, name):
    workers = context.simulation.owners[-1].state.workers
    context.simulation.run_until(
        lambda: any(
            run.task.submission == name and run.state is RunState.PLANNED
            for worker in workers.values()
            for run in worker.runs.values()
        )
    )


@when('"{name}" is cancelled in the simulation')
def step_cancel(context, name):
    context.simulation.cancel(name)


@then('no crash is counted under "{name}"')
def step_no_crash_counted(context, name):
    entry = context.simulation.owners[-1].state.submissions[name]
    crashes = [history.crashes for _, _, history in entry.list_crash_histories()]
    assert not any(crashes), crashes


@when(
    "{count:d} submissions of random size arrive over {seconds:d} seconds, and of those from "
    "{first:d} to {last:d} seconds {share:d} of 100 crash their workers after {age:g} seconds"
)
def step_many_crashing(context, count, seconds, first, last, share, age):
    simulation = context.simulation
    generator = random.Random(1)
    behaviour = CrashBehaviour(age, WORKER_DOWN_SECONDS, frozenset({0}))
    context.crashing = set()
    for index in range(count):
        at, name = index * seconds / count, f"many{index}"
        step = make_step(generator.randint(2, 8), 2000, generator.choice([0.5, 1.0, 2.0]))
        if first <= at < last and generator.random() < share / 100:
            context.crashing.add(name)
            simulation.crashing_tasks.budget.add(name, behaviour)
        simulation.call_later(at, simulation.submit, name, [step])


@when("the owner ends {seconds:d} seconds after the first of them")
def step_owner_ends_later(context, seconds):
    context.simulation.call_later(seconds, end_owner, context.simulation, {0}, 0)


@then("every submission that crashes its workers is failed")
def step_all_failed(context):
    outcomes = context.simulation.outcomes
    assert context.crashing
    states = {name: outcomes.get(name) for name in context.crashing}
    assert set(states.values()) == {SubmissionState.FAILED}, states


@then("every other submission is completed")
def step_all_others_completed(context):
    outcomes = context.simulation.outcomes
    others = context.simulation.submissions.keys() - context.crashing
    left = {name: outcomes.get(name) for name in others}
    left = {name: state for name, state in left.items() if state is not SubmissionState.COMPLETED}
    assert not left, left


@then("at most {count:d} workers crashed for each task that crashes them")
def step_crashes_by_task(context, count):
    crashes = context.simulation.crashing_tasks.budget.crashes
    assert max(crashes.values()) <= count, crashes


@when(
    "the random simulation {seed:d} with crashing tasks, services, changes of capacity and "
    "leaving workers is run"
)
def step_random_run(context, seed):
    simulation = run_random_simulation(
        seed,
        has_crashing_tasks=True,
        has_services=True,
        has_capacity_changes=True,
        has_leaving_workers=True,
    )
    context.simulations = {seed: simulation}


@when("the random simulation {seed:d} with crashing tasks and services is run")
def step_random_run_with_services(context, seed):
    simulation = run_random_simulation(
        seed, has_crashing_tasks=True, has_services=True, owners_confirm=True
    )
    context.simulations = {seed: simulation}


@then("no simulation exceeded the budget of a task")
def step_no_budget_exceeded(context):
    exceeded = [
        violation
        for simulation in context.simulations.values()
        for violation in simulation.violations
        if violation[1] == "crash-budget"
    ]
    assert not exceeded, exceeded


def end_owner(simulation, crashes, count):
    """End the owner at some of the crashes; another one takes over later."""
    if count in crashes:
        simulation.owners[-1].is_active = False
        simulation.call_later(OWNER_CHANGE_SECONDS, simulation.start_new_owner)


@when('a submission "{name}" of a gang of {count:d} tasks of {processors:d} millicores arrives')
def step_gang(context, name, count, processors):
    context.simulation.submit(name, [make_step(count, processors, 3.0, is_gang=True)])


@when("the store accepts writes")
def step_store_accepts(context):
    context.simulation.store_refuses = False


@when(
    'the workers of rack "{one}" and "{other}" crash by turns each {gap:d} seconds '
    "for {seconds:d} seconds"
)
def step_racks_crash(context, one, other, gap, seconds):
    simulation = context.simulation
    for turn, at in enumerate(range(1, seconds, gap)):
        rack = (one, other)[turn % 2]
        for worker in simulation.workers.values():
            if worker.rack == rack:
                simulation.call_later(at, crash_worker, simulation, worker, WORKER_DOWN_SECONDS)
    simulation.run(seconds)


@when("one worker crashes each {gap:g} seconds for {seconds:d} seconds")
def step_workers_crash(context, gap, seconds):
    simulation = context.simulation
    workers = sorted(simulation.workers)
    for turn in range(int(seconds / gap)):
        worker = simulation.workers[workers[turn * 5 % len(workers)]]
        simulation.call_later(turn * gap, crash_worker, simulation, worker, WORKER_DOWN_SECONDS)
    simulation.run(seconds)


@when("each worker is partitioned for {span:d} seconds, {turns:d} times in turn")
def step_partitioned_in_turn(context, span, turns):
    simulation = context.simulation
    workers = list(simulation.workers.values())
    for turn in range(turns * len(workers)):
        worker = workers[turn % len(workers)]
        simulation.call_later(turn * span, setattr, worker, "is_partitioned", True)
        simulation.call_later((turn + 1) * span - 0.1, setattr, worker, "is_partitioned", False)


@when("the random simulations {first:d} to {last:d} with tasks that crash their workers are run")
def step_random_runs(context, first, last):
    context.simulations = {
        seed: run_random_simulation(
            seed, has_leaving_workers=seed % 2 == 0, owners_confirm=True, has_crashing_tasks=True
        )
        for seed in range(first, last + 1)
    }


@then('all submissions but "{name}" are completed')
def step_others_completed(context, name):
    outcomes = context.simulation.outcomes
    left = {
        other: outcomes.get(other)
        for other in context.simulation.submissions
        if other != name and outcomes.get(other) is not SubmissionState.COMPLETED
    }
    assert not left, left


@then('"{name}" is running')
def step_running(context, name):
    simulation = context.simulation
    running = [
        task
        for worker in simulation.workers.values()
        for task in worker.runs
        if task.submission == name
    ]
    assert name not in simulation.outcomes, simulation.outcomes[name]
    assert len(running) == simulation.submissions[name][0].steps[0].count, running


@then("at most {count:d} workers crashed")
def step_crashes(context, count):
    crashes = context.simulation.crashing_tasks.crashed_workers
    assert crashes <= count, crashes


@given("a suspect after two crashes beside workers that are all in use")
def step_suspect(context):
    simulation = context.simulation
    simulation.submit("busy", [make_step(9, 5000, 60.0)])
    simulation.run(1.0)
    simulation.submit("suspect", [make_step(1, 12_000, 1.0)])
    simulation.run(0.05)
    context.state = simulation.owners[-1].state
    context.suspect = context.state.submissions["suspect"].steps[(0, 0)]
    history = context.suspect.get_or_add_crash_history(0)
    history.runs |= {number: SuspectRun(fate=RunFate.CRASHED) for number in (1, 2)}


def play_pass(context, tries):
    """Let the suspect be tried some times in one placement pass."""
    placer, now = context.state.scheduler.suspects, context.simulation.now
    workers, entry = context.state.list_workers(), context.state.submissions["suspect"]
    placer.begin_pass(workers, now)
    for _ in range(tries):
        assert not placer.choose_workers(entry, context.suspect, 0, workers, now)
    placer.end_pass()


@when("it is tried twice in one placement pass")
def step_try_twice(context):
    play_pass(context, 2)


@when("a placement pass doesn't try it")
def step_not_tried(context):
    play_pass(context, 0)


@then("{count:w} worker is kept empty for it")
def step_kept_empty(context, count):
    kept = [worker.id for worker in context.state.list_workers() if worker.emptied_for]
    assert len(kept) == {"no": 0, "one": 1}[count], kept
