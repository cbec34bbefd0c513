"""Steps that play queues in virtual time."""

import collections
import functools
import random

from behave import given, then, when

from features.support.queue_days import freeze, make_steps, play_day, relist, restart
from features.support.queue_mutants import apply_mutant
from features.support.queue_world import QueueWorld, make_step
from lavenderhook._internal.queueing.effects import RequestAdvice
from lavenderhook._internal.queueing.events import FinishedRunPosition, ProgressStored, Ticked
from lavenderhook._internal.queueing.model import (
    AdviceTerms,
    RunOutcome,
    SubmissionState,
    WorkerState,
)
from lavenderhook._internal.queueing.retry_after import choose_retry_after
from lavenderhook._internal.queueing.submissions import Ticket

MAX_DAYS = 60  # played with a broken protocol


@given("{count:d} workers and an owner")
def step_world(context, count):
    context.world = QueueWorld(seed=7, workers=count)
    context.world.elect()
    context.world.run(0.5)


@given("every run fails")
def step_failing(context):
    context.world.failing = 1.0


@given('worker "{name}" fails all that it starts')
def step_grey(context, name):
    context.world.workers[name].fails_all = True


@given('tasks on worker "{name}" stand still')
def step_still(context, name):
    context.world.workers[name].stands_still = True


@given('tasks on worker "{name}" take {factor:d} times as long')
def step_slow_worker(context, name, factor):
    context.world.workers[name].slowness = factor


@then('at most {count:d} runs ended on worker "{name}"')
def step_ended_there(context, count, name):
    worker = context.world.workers[name]
    assert worker.count <= count, worker.count


@when("{count:d} submissions of {tasks:d} tasks with checkpoints arrive over {seconds:d} seconds")
def step_spread_saved(context, count, tasks, seconds):
    for index in range(count):
        steps = [make_step(tasks, 2000, 1.0, has_checkpoints=True)]
        context.world.after(index * seconds / count, context.world.submit, f"saved{index}", steps)
    context.world.run(seconds)


@then("at most {count:d} submissions are left")
def step_left(context, count):
    left = list_unfinished(context.world)
    assert len(left) <= count, len(left)


@given('every run of "{name}" fails')
def step_poison(context, name):
    choose = context.world.choose_outcome
    context.world.choose_outcome = lambda task: (
        RunOutcome.FAILED if task.submission == name else choose(task)
    )


@when("{count:d} submissions of {tasks:d} tasks arrive over {seconds:d} seconds")
def step_spread(context, count, tasks, seconds):
    for index in range(count):
        name = f"spread{index}"
        steps = [make_step(tasks, 2000, 1.0)]
        context.world.after(index * seconds / count, context.world.submit, name, steps)
    context.world.run(seconds)


@when(
    "a stream of narrow tasks of priority {priority:d} keeps the workers full "
    "for {seconds:d} seconds"
)
def step_stream(context, priority, seconds):
    for index in range(seconds * 20):
        steps = [make_step(2, 1500, 2.0)]
        call = functools.partial(context.world.submit, f"n{index}", steps, priority=priority)
        context.world.after(index / 20, call)


@when(
    'a gang "{name}" of {count:d} tasks on {processors:d} thousandths of priority {priority:d} '
    "arrives after {seconds:d} seconds"
)
def step_gang(context, name, count, processors, priority, seconds):
    context.world.run(seconds)
    step = make_step(count, processors, 3.0, is_gang=True)
    context.world.submit(name, [step], priority=priority)


@given("a gang of {count:d} tasks that fits now and whose tickets end one after another")
def step_tickets(context, count):
    world = context.world
    world.advice_seconds = 1000.0  # no answer in this scenario
    step = make_step(count, 12000, 3.0, is_gang=True)
    world.submit("wide", [step], advice=AdviceTerms(0.4, 0.006, 2.5))
    world.run(0.02)  # it is known
    world.owners[-1].is_active = False  # its own loops stand still from here on
    context.step = world.owners[-1].state.submissions["wide"].steps[(0, 0)]
    context.step.is_advice_pending = False
    for index, name in enumerate(world.workers):
        context.step.allowed[name] = Ticket("t", world.now + 1.0 + index * 0.4)


@when("the first of its tickets has ended")
def step_ticket_ended(context):
    event = Ticked(now=context.world.now + 1.1)
    context.effects = context.world.owners[-1].state.reduce(event)


@then("the next call for advice names all {count:d} workers")
def step_names(context, count):
    calls = [effect for effect in context.effects if isinstance(effect, RequestAdvice)]
    assert len(calls) == 1 and len(calls[0].workers) == count, calls


@then('"{name}" has begun')
def step_begun(context, name):
    owner_state = context.world.owners[-1].state
    state = owner_state.describe(name)
    assert state in (SubmissionState.RUNNING, SubmissionState.COMPLETED), state


@given(
    "an outage of {seconds:d} seconds in which {count:d} callers are refused in its first second"
)
def step_outage(context, seconds, count):
    context.outage = seconds
    context.callers = [index / count for index in range(count)]


@when("each comes back as it is told, {tries:d} times at most")
def step_come_back(context, tries):
    generator = random.Random(5)
    context.returned = []
    for refused_at in context.callers:
        now = refused_at
        for _ in range(tries):
            now += choose_retry_after(now, generator.random())
            if now > context.outage:
                context.returned.append(now)
                break


@given(
    "an outage of {seconds:d} seconds in which {count:d} callers "
    "with {patience:d} seconds of patience are refused"
)
def step_impatient(context, seconds, count, patience):
    context.outage = seconds
    context.patience = patience
    context.callers = [seconds * index / count for index in range(count)]


@when("each comes back as it is told while its patience lasts")
def step_impatient_return(context):
    generator = random.Random(5)
    context.returned = set()
    for refused_at in context.callers:
        now, leaves_at = refused_at, refused_at + context.patience
        while now < context.outage:
            now += choose_retry_after(now, generator.random(), leaves_at - now)
            if now >= leaves_at:
                break
        else:
            context.returned.add(refused_at)


@then("all who were refused in the last {seconds:g} seconds come back after the outage")
def step_all_return(context, seconds):
    since = context.outage - seconds
    lost = [at for at in context.callers if at >= since and at not in context.returned]
    assert not lost, lost


@then("at least {count:d} callers come back after the outage")
def step_returned(context, count):
    assert len(context.returned) >= count, len(context.returned)


@then("no second sees more than {count:d} of them")
def step_spread_out(context, count):
    seconds = collections.Counter(int(moment) for moment in context.returned)
    assert max(seconds.values()) <= count, seconds


@when("the random days are played until one breaks a rule, while {fault}")
def step_mutant(context, fault):
    context.caught = None
    with apply_mutant(fault):
        for seed in range(1, MAX_DAYS + 1):
            # Every second day has workers that leave, which some faults need.
            if play_day(seed, has_leavers=seed % 2 == 0).violations:
                context.caught = seed
                return


@then("one of the first {days:d} days broke a rule")
def step_caught(context, days):
    assert context.caught is not None and context.caught <= days, context.caught


@then("at most {count:d} runs failed")
def step_failures(context, count):
    failed = sum(context.world.failures.values())
    assert failed <= count, failed


@then("no worker was set aside")
def step_none_aside(context):
    world = context.world
    owner_state = world.owners[-1].state
    aside = [w.id for w in owner_state.list_workers() if w.blocked_until > world.now - 5]
    assert not aside, aside


@when("{count:d} submissions of mixed steps arrive")
def step_mixed(context, count):
    generator = random.Random(3)
    for index in range(count):
        context.world.submit(f"mixed{index}", make_steps(generator))


@when(
    'a submission "{name}" of {count:d} tasks on {processors:d} thousandths '
    "for {seconds:d} seconds arrives"
)
def step_submission(context, name, count, processors, seconds):
    context.world.submit(name, [make_step(count, processors, seconds)])


@when("{seconds:d} seconds pass for the queues")
def step_pass(context, seconds):
    context.world.run(seconds)


@when(
    "{count:d} submissions of {tasks:d} tasks for 1 second "
    "that are 0 to {seconds:d} seconds old become known"
)
def step_backlog(context, count, tasks, seconds):
    world = context.world
    context.known_at = world.now
    context.ages = {f"old{i}": i * seconds / count for i in range(count)}
    for name, age in context.ages.items():
        world.submit(name, [make_step(tasks, 3000, 1.0)], age=age, slack_factor=1.0)


@then("at least {count:d} of them were completed within {most:d} objectives of their acceptance")
def step_useful(context, count, most):
    objective = 2.0  # one second of work, and one of latency
    useful = [
        name
        for name, age in context.ages.items()
        if context.world.ended_at[name] - context.known_at + age <= most * objective
    ]
    assert len(useful) >= count, len(useful)


@when('"{name}" is cancelled while its owner is frozen')
def step_cancel_frozen(context, name):
    freeze(context.world, 30.0)
    context.world.cancel(name)


@when("the owner freezes for {seconds:d} seconds")
def step_freeze(context, seconds):
    freeze(context.world, seconds)


@when("another owner takes over")
def step_elect(context):
    context.world.elect()


@when('another owner takes over that has not read "{name}"')
def step_elect_without(context, name):
    context.hidden = context.world.submissions.pop(name)
    owner = context.world.elect()
    context.world.submissions[name] = context.hidden
    context.owner = owner


@when('the new owner reads "{name}"')
def step_read(context, name):
    context.owner.learn(*context.hidden)


@when('worker "{name}" is cut off')
def step_cut(context, name):
    context.world.workers[name].is_cut = True


@when('worker "{name}" is cut off and leaves the list')
def step_cut_unlisted(context, name):
    worker = context.world.workers.pop(name)
    worker.is_cut = True
    relist(context.world)
    context.world.workers[name] = worker
    context.world.after(0, setattr, worker, "is_up", True)


@when('worker "{name}" drains')
def step_drain(context, name):
    context.world.workers[name].state = WorkerState.DRAINING
    relist(context.world)


@when("the random days {first:d} to {last:d} with workers that leave are played")
def step_leaving_days(context, first, last):
    days = range(first, last + 1)
    context.days = {seed: play_day(seed, has_leavers=True) for seed in days}


@when("the random days {first:d} to {last:d} whose workers don't tell their lives apart are played")
def step_lives(context, first, last):
    days = range(first, last + 1)
    context.days = {seed: play_day(seed, tells_lives_apart=False) for seed in days}


@when('a commit begins that covers {count:d} ends of worker "{name}"')
def step_commit_begins(context, count, name):
    worker = context.world.owners[-1].state.workers[name]
    context.marks = {name: FinishedRunPosition(worker.listing.born, count)}


@when('worker "{name}" starts again under its id')
def step_reborn(context, name):
    restart(context.world, context.world.workers[name])
    context.world.run(1.0)


@when("the store refuses")
def step_store_refuses(context):
    context.world.store_refuses = True


@when("the commit ends")
def step_commit_ends(context):
    owner = context.world.owners[-1]
    owner.emit(ProgressStored(now=context.world.now, stored_positions=context.marks))


@then('worker "{name}" is told to forget no end')
def step_forgets_none(context, name):
    worker = context.world.owners[-1].state.workers[name]
    assert worker.processed_sequence > 0, "the worker has listed no end"
    assert worker.stored_sequence == 0, worker.stored_sequence


@when("the random days {first:d} to {last:d} are played")
def step_days(context, first, last):
    context.days = {seed: play_day(seed) for seed in range(first, last + 1)}


def list_unfinished(world):
    """Return the submissions that have no final state."""
    return [name for name in world.submissions if name not in world.outcomes]


@then("every submission is completed")
def step_all_completed(context):
    states = {context.world.outcomes.get(name) for name in context.world.submissions}
    assert states == {SubmissionState.COMPLETED}, (states, list_unfinished(context.world))


@then('"{name}" is {state}')
def step_state(context, name, state):
    found = context.world.outcomes.get(name)
    assert found is SubmissionState(state), found


@then('"{name}" waits')
def step_waits(context, name):
    entry = context.world.owners[-1].state.submissions[name]
    assert entry.state is SubmissionState.QUEUED, entry.state


@then('"{name}" has {count:d} starts')
def step_starts(context, name, count):
    assert context.world.starts == count, context.world.starts


@then("no rule was broken")
def step_no_violation(context):
    assert not context.world.violations, context.world.violations[:5]


@then("no day broke a rule")
def step_days_kept(context):
    broken = {seed: w.violations[:3] for seed, w in context.days.items() if w.violations}
    assert not broken, broken


@then("on every day all submissions have ended")
def step_days_ended(context):
    left = {seed: list_unfinished(w) for seed, w in context.days.items() if list_unfinished(w)}
    assert not left, left
