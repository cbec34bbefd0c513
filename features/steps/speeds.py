"""Steps on learnt speeds of workers."""

import random
from unittest import mock

from behave import given, then, when

from features.support.queue_simulation import make_step, make_submission
from features.support.uneven_workers import UnevenSimulation
from lavenderhook._internal.queueing.model import (
    Resources,
    RunOutcome,
    StepId,
    SubmissionState,
    WorkerListing,
    WorkerState,
)
from lavenderhook._internal.queueing.placement import (
    BestFit,
    LearntSpeeds,
    choose_gang,
    choose_worker,
)
from lavenderhook._internal.queueing.speeds import RunDuration, SpeedLearner
from lavenderhook._internal.queueing.submissions import SubmissionProgress
from lavenderhook._internal.queueing.workers import Worker

CORES = 16_000
SHORT_EACH_SECOND, LONG_EACH_SECOND = 0.6, 0.15  # for each worker
GANG_MEMBER = 10_000  # millicores; one fits on a worker
PROPERTY_CASES = 300


@given("{count:d} workers of duration factors {factors}")
def step_workers(context, count, factors):
    context.fleet = {
        "workers": count,
        "factors": [float(factor) for factor in factors.split(",")],
        "has_tail": False,
    }
    context.temporary_factor = None


@given("{count:d} workers with a tail of long tasks, of duration factors {factors}")
def step_workers_with_tail(context, count, factors):
    step_workers(context, count, factors)
    context.fleet["has_tail"] = True


@given('worker "{name}" takes {factor:f} times as long for {seconds:d} seconds')
def step_temporary(context, name, factor, seconds):
    context.temporary_factor = (name, factor, seconds)


def load(context, seconds):
    """Let the load of the feature arrive."""
    workers = context.fleet["workers"]
    context.simulation.load(seconds, SHORT_EACH_SECOND * workers, LONG_EACH_SECOND * workers)


def play(context, seconds, seed):
    """Start a simulation and let the load arrive."""
    context.simulation = simulation = UnevenSimulation(seed, **context.fleet)
    if context.temporary_factor is not None:
        name, factor, until = context.temporary_factor
        worker = simulation.workers[name]
        worker.duration_factor = factor
        simulation.call_later(until, setattr, worker, "duration_factor", 1.0)
    simulation.start_new_owner()
    load(context, seconds)


@when("short and long work arrives for {seconds:d} seconds, with seed {seed:d}")
def step_play(context, seconds, seed):
    context.played = (seconds, seed)
    play(context, seconds, seed)


@when("short and long work arrives for {seconds:d} more seconds")
def step_play_on(context, seconds):
    load(context, seconds)


@when("a new owner takes over")
def step_take_over(context):
    context.simulation.owners[-1].is_active = False
    context.simulation.start_new_owner()


@then("at most {share:f} of the short work after {since:d} seconds was late")
def step_late(context, share, since):
    context.simulation.run(5.0)
    context.late_share = context.simulation.measure_late_share(since)
    assert context.late_share <= share, context.late_share


@when("the same load arrives without regard to speeds")
def step_without(context):
    with mock.patch.object(LearntSpeeds, "compute_penalty", lambda self, worker: 0):
        play(context, *context.played)
        context.simulation.run(5.0)


@then("more than twice that share of the short work was late")
def step_late_without(context):
    share = context.simulation.measure_late_share(5)
    assert share > 2 * context.late_share, (share, context.late_share)


@then("all long work is done")
def step_long_done(context):
    simulation = context.simulation
    simulation.run(20.0)
    names = [name for name in simulation.submissions if name.startswith("long")]
    assert names
    left = [n for n in names if simulation.outcomes.get(n) is not SubmissionState.COMPLETED]
    assert not left, left


def list_slow(context):
    """Return the names of the workers that the last owner takes for slow."""
    workers = context.simulation.owners[-1].state.workers.values()
    return {worker.id for worker in workers if worker.speed.is_slow}


@then("the last owner knows all slow workers and no others")
def step_knows(context):
    workers = context.simulation.workers
    typical = sorted(worker.duration_factor for worker in workers.values())[len(workers) // 2]
    expected = {name for name, w in workers.items() if w.duration_factor > 1.2 * typical}
    assert list_slow(context) == expected, list_slow(context) ^ expected


@then("no run was stopped after {seconds:d} seconds")
def step_not_stopped(context, seconds):
    stopped = [
        decision.fields
        for at, decision in context.simulation.decisions
        if at > seconds
        and decision.decision == "run-ended"
        and decision.fields["outcome"] == RunOutcome.STOPPED.value
    ]
    assert not stopped, stopped


@then("at most {share:f} of the workers are slow")
def step_few_slow(context, share):
    slow = list_slow(context)
    assert len(slow) <= share * context.fleet["workers"], slow


@then('worker "{name}" has a learnt speed of class "{speed}"')
def step_class(context, name, speed):
    found = context.simulation.owners[-1].state.workers[name].speed
    assert found.speed_class.value == speed, (found.slowness, found.steps)


@then('short work ran on worker "{name}" in the last {seconds:d} seconds')
def step_short_there(context, name, seconds):
    simulation = context.simulation
    assert any(
        at > simulation.now - seconds
        and decision.decision == "task-placed"
        and (decision.fields["worker"], decision.fields["queue"]) == (name, "short")
        for at, decision in simulation.decisions
    )


def make_worker(name, processors=CORES, born=1):
    """Return an empty worker, and its entry."""
    listing = WorkerListing(
        id=name,
        service="desk",
        address=name,
        zone="z",
        state=WorkerState.READY,
        capacity=Resources(processors, 64_000, 0),
        labels=frozenset(),
        born=born,
    )
    return Worker(listing, 0.0), listing


def learn(context, factors):
    """Let a learner see runs on workers of these speeds."""
    context.learner = SpeedLearner()
    context.workers = [make_worker(f"w{index}")[0] for index in range(len(factors))]
    for number in range(20):
        for worker, factor in zip(context.workers, factors, strict=True):
            step = StepId(f"s{number}", 0, 0)
            context.learner.record(worker.speed, RunDuration("q", step, 1.0, factor), 0.0)
    context.learner.refresh([worker.speed for worker in context.workers], 0.0)


@given("{count:d} workers with learnt durations of {usual:f} and worker 0 of {slow:f}")
def step_learnt(context, count, usual, slow):
    learn(context, [slow] + [usual] * (count - 1))
    assert context.workers[0].speed.is_slow


@given(
    "{count:d} workers with learnt durations of {usual:f}, and workers 0 to {last:d} of {slow:f}"
)
def step_learnt_half(context, count, usual, last, slow):
    learn(context, [slow] * (last + 1) + [usual] * (count - 1 - last))


@when("{seconds:d} seconds pass without runs on worker 0")
def step_idle(context, seconds):
    for worker in context.workers[1:]:
        context.learner.record(
            worker.speed, RunDuration("q", StepId("later", 0, 0), 1.0, 1.0), seconds - 1.0
        )
    context.learner.refresh([worker.speed for worker in context.workers], seconds)


@then("no worker counts as slow")
def step_none_slow(context):
    slow = [(w.id, w.speed.slowness) for w in context.workers if w.speed.is_slow]
    assert not slow, slow


@when("worker 0 restarts with {processors:d} processors")
def step_reborn(context, processors):
    context.workers[0].update_listing(make_worker("w0", processors, born=2)[1], 1.0)


@then("worker 0 is known to be {speed}")
def step_known(context, speed):
    assert context.workers[0].speed.speed_class.value == speed


@given("two queues whose estimates are off by {one:f} and {other:f}")
def step_queues(context, one, other):
    context.queues = {"one": one, "other": other}


@when("each of {count:d} workers runs tasks of one of them most of the time")
def step_uneven_mix(context, count):
    rng = random.Random(1)
    context.learner = SpeedLearner()
    context.workers = [make_worker(f"w{index}")[0] for index in range(count)]
    for number in range(60):
        for index, worker in enumerate(context.workers):
            is_usual_queue = (rng.random() < 0.9) == (index < count // 2)
            queue = "one" if is_usual_queue else "other"
            seconds = context.queues[queue] * rng.uniform(0.8, 1.2)
            step = StepId(f"{queue}{number}", 0, 0)
            context.learner.record(worker.speed, RunDuration(queue, step, 1.0, seconds), 0.0)
    context.learner.refresh([worker.speed for worker in context.workers], 0.0)


def begin_step(context, spec, seconds_left):
    """Return a policy that has begun a step with this objective, and the step."""
    entry = SubmissionProgress(make_submission("s", [spec], queue="q"), 1, 0.0, 1)
    step = entry.steps[(0, 0)]
    step.objective_at = seconds_left
    policy = LearntSpeeds(BestFit(), context.learner)
    policy.begin_step(entry, step, 0.0)
    return policy, step


@when(
    "workers are chosen for a gang of {members:d} with {seconds:f} seconds left "
    "for 1 second of work"
)
def step_choose_gang(context, members, seconds):
    spec = make_step(members, GANG_MEMBER, 1.0, is_gang=True)
    policy, step = begin_step(context, spec, seconds)
    context.chosen = choose_gang(policy, step.spec, context.workers, 1.0)
    assert len(context.chosen) == members


@then("the gang gets workers {names}")
def step_gang_workers(context, names):
    allowed = {f"w{name.strip()}" for name in names.split(",")}
    chosen = {worker.id for worker in context.chosen}
    assert chosen <= allowed, chosen


@then("with any learnt speeds, a task has a worker if and only if it has one without them")
def step_property(context):
    rng = random.Random(5)
    for _ in range(PROPERTY_CASES):
        count = rng.randint(4, 12)
        learn(context, [rng.choice((0.5, 1.0, 2.0, 7.0)) for _ in range(count)])
        for worker in context.workers:
            worker.used_processors = rng.choice((0, CORES // 2, CORES))
            worker.is_on_probation = rng.random() < 0.2
        spec = make_step(1, rng.choice((1000, CORES // 2, CORES)), rng.uniform(0.1, 9.0))
        policy, step = begin_step(context, spec, rng.uniform(-5.0, 20.0))
        found = choose_worker(policy, step, context.workers, 1.0)
        expected = choose_worker(BestFit(), step, context.workers, 1.0)
        assert (found is None) == (expected is None), (found, expected)
        gang = make_step(rng.randint(2, 12), spec.resources.processors, 1.0, is_gang=True)
        policy, _ = begin_step(context, gang, rng.uniform(-5.0, 20.0))
        assert (choose_gang(policy, gang, context.workers, 1.0) is None) == (
            choose_gang(BestFit(), gang, context.workers, 1.0) is None
        )
