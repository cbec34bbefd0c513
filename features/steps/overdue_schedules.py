"""Steps on schedules with many overdue occurrences, and on large submissions beyond their bound."""

import functools

from behave import then, when

from features.support.queue_simulation import make_step
from lavenderhook._internal.queueing.model import AdviceTerms

DAY_SECONDS = 86_400.0
ADVICE = AdviceTerms(0.05, 0.001, 5.0)


@when(
    'a schedule "{name}" of {count:d} overdue occurrences of {tasks:d} tasks '
    "of {processors:d} millicores arrives"
)
def step_schedule(context, name, count, tasks, processors):
    simulation = context.simulation
    schedule = {
        "repetitions": count,
        "first_due": simulation.now - 2 * count * DAY_SECONDS,
        "interval_seconds": DAY_SECONDS,
    }
    steps = [make_step(tasks, processors, 0.3)]
    simulation.submit(name, steps, schedule=schedule, advice=ADVICE)
    simulation.run(1.0)


@when("{count:d} submissions of {tasks:d} tasks of {processors:d} millicores arrive, one a second")
def step_ordinary(context, count, tasks, processors):
    context.names = [f"ordinary{index}" for index in range(count)]
    steps = [make_step(tasks, processors, 0.3)]
    for index, name in enumerate(context.names):
        submit = functools.partial(context.simulation.submit, name, steps, advice=ADVICE)
        context.simulation.call_later(float(index), submit)


@then("each of them has started within {seconds:g} second")
def step_waits(context, seconds):
    waited = {}  # until the first start
    for _, line in context.simulation.decisions:
        if line.decision == "task-placed":
            waited.setdefault(line.fields["task"].partition(".")[0], line.fields["waited"])
    found = {name: waited.get(name) for name in context.names}
    assert all(at is not None and at <= seconds for at in found.values()), found


@then('"{name}" has had at least {least:d} starts')
def step_starts(context, name, least):
    starts = context.simulation.starts_by_submission[name]
    assert starts >= least, starts


@when(
    'a submission "{name}" with priority {priority:d} of {count:d} tasks '
    "of {processors:d} millicores arrives"
)
def step_large(context, name, priority, count, processors):
    steps = [make_step(count, processors, 1.0)]
    context.simulation.submit(name, steps, priority=priority)


@then('over {seconds:d} seconds, "{name}" uses {least:d} to {most:d} of {all:d} cores at most')
def step_share(context, seconds, name, least, most, all):
    simulation = context.simulation
    assert sum(worker.capacity.processors for worker in simulation.workers.values()) == 1000 * all
    used = 0
    for _ in range(10 * seconds):
        simulation.run(0.1)
        runs = [run for worker in simulation.workers.values() for run in worker.runs.values()]
        own = sum(run.resources.processors for run in runs if run.task.submission == name)
        used = max(used, own / 1000)
    assert least <= used <= most, used
