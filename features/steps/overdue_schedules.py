"""Steps on schedules with many overdue occurrences, and on large submissions beyond their bound."""

import functools
import itertools
import json
import random
import signal
from pathlib import Path

import gevent
from behave import then, when

from features.steps.platform_queues import make_steps as make_wire_steps
from features.support.queue_simulation import make_step, make_submission
from lavenderhook._internal.instance.placement_passes import PlacementPasses
from lavenderhook._internal.queueing.model import AdviceTerms
from lavenderhook._internal.queueing.pass_size import PassSize
from lavenderhook._internal.queueing.records import Progress, decode, encode
from lavenderhook._internal.queueing.submissions import SubmissionProgress

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


@when(
    "a service with priority {priority:d} of {count:d} tasks of {processors:d} millicores arrives"
)
def step_service(context, priority, count, processors):
    steps = [make_step(count, processors, 0.0, is_service=True)]
    context.simulation.submit("lasting", steps, priority=priority)


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


def find_entry(context, name):
    """Return the state of a submission at the newest owner."""
    return context.simulation.owners[-1].state.submissions[name]


@then("a placement pass ranks at most {most:d} steps")
def step_ranked(context, most):
    ranked = context.simulation.owners[-1].state.scheduler.get_pass_size().ranked
    assert 0 < ranked <= most, ranked


@then('at most {most:d} steps of "{name}" are held in memory')
def step_held(context, most, name):
    held = sum(1 for _ in find_entry(context, name).steps.values())
    assert 0 < held <= most, held


@then(
    'the stored progress of "{name}" names at least {least:d} tasks as done '
    "in at most {most:d} bytes"
)
def step_progress(context, name, least, most):
    progress = context.simulation.progress[name]
    progress = progress[0] if isinstance(progress, tuple) else progress
    done = sum(last - first + 1 for first, last in progress.completed)
    done += sum(map(len, progress.done.values()))
    for ranges in progress.done_ranges.values():
        done += sum(last - first + 1 for first, last in ranges)
    size = len(encode(progress))
    assert done >= least and size <= most, (done, size)


@then('what is stored of "{name}" is read as it was')
def step_read_again(context, name):
    progress = decode(encode(find_entry(context, name).export_progress()), Progress)
    read = SubmissionProgress(context.simulation.submissions[name][0], 1, 0.0, 1)
    read.import_progress(progress, 0.0)
    done = [step.done for step in find_entry(context, name).steps.values()]
    assert [step.done for step in read.steps.values()] == done != [set()]


@then('no task of "{name}" has run twice')
def step_once(context, name):
    starts, count = context.simulation.starts_by_submission[name], count_tasks(context, name)
    assert starts == count, (starts, count)


def count_tasks(context, name):
    """Return how many tasks a submission has in all its occurrences."""
    submission = context.simulation.submissions[name][0]
    return submission.repetitions * sum(step.count for step in submission.steps)


@when(
    'a schedule "{name}" of {count:d} occurrences of {tasks:d} tasks of {processors:d} '
    "millicores, due every second for {seconds:d} seconds, arrives"
)
def step_current_schedule(context, name, count, tasks, processors, seconds):
    simulation = context.simulation
    schedule = {
        "repetitions": count,
        "first_due": simulation.now - seconds,
        "interval_seconds": 1.0,
    }
    steps = [make_step(tasks, processors, 1.5)]
    simulation.submit(name, steps, schedule=schedule, slack_factor=3.0)


def list_started_waits(context, name):
    """Return, by start of a schedule, after how many seconds from its due time it was placed."""
    lines = [line for _, line in context.simulation.decisions if line.decision == "task-placed"]
    return [line.fields["waited"] for line in lines if line.fields["task"].startswith(name)]


@then('an occurrence of "{name}" that was due in the last {seconds:d} seconds has started')
def step_new_started(context, name, seconds):
    assert min(list_started_waits(context, name)) <= seconds


@then('an occurrence of "{name}" that was due long ago has started')
def step_old_started(context, name):
    assert max(list_started_waits(context, name)) > 900


@then("for the seeds {first:d} to {last:d}, a schedule of random length runs each occurrence once")
def step_random_tables(context, first, last):
    for seed in range(first, last + 1):
        check_random_schedule(random.Random(seed))


def check_random_schedule(generator):
    """Run the occurrences of a schedule in a random order, partly through another owner's state."""
    count, interval = generator.randint(1, 300), generator.choice([0.0, 0.1, 1.0, 50.0])
    schedule = {
        "repetitions": count,
        "first_due": -generator.uniform(0.0, 300.0),
        "interval_seconds": interval,
    }
    submission = make_submission("s", [make_step(1), make_step(1, after=(0,))], schedule=schedule)
    entry, now, begun = SubmissionProgress(submission, 1, 0.0, 1), 0.0, set()
    while not entry.is_done:
        now += generator.uniform(0.0, 20.0)
        entry.steps.update(now)
        for step in entry.steps.values():
            if step.waiting and entry.is_ready(step, now) and generator.random() < 0.7:
                assert step.id not in begun and step.due_at <= now, step.id
                begun.add(step.id)
                step.mark_done(0)
        if generator.random() < 0.1:
            progress, entry = entry.export_progress(), SubmissionProgress(submission, 1, 0.0, 1)
            entry.import_progress(progress, now)
        assert sum(1 for _ in entry.steps.values()) <= 400
    assert len(begun) == 2 * count, (len(begun), count)


@when("{count:d} submissions of {tasks:d} tasks of {processors:d} millicores arrive at once")
def step_backlog(context, count, tasks, processors):
    context.simulation.run(1.0)
    context.names = [f"equal{index}" for index in range(count)]
    for name in context.names:
        context.simulation.submit(name, [make_step(tasks, processors, 0.3)], advice=ADVICE)


@then("a placement pass tries {least:d} to {most:d} steps")
def step_tried(context, least, most):
    size = context.simulation.owners[-1].state.scheduler.get_pass_size()
    assert least <= size.tried <= most, size


@then("at most {most:d} steps wait for advice")
def step_advice(context, most):
    size = context.simulation.owners[-1].state.scheduler.get_pass_size()
    assert size.advice_waiting <= most, size


@then("at least {least:d} of them have started")
def step_some_started(context, least):
    started = sum(context.simulation.starts_by_submission[name] > 0 for name in context.names)
    assert started >= least, started


class SteppedClock:
    """Clock that is set by the test; in seconds."""

    now = 0.0

    def read(self):
        """Return the time."""
        return self.now


def run_pass(passes, clock, seconds):
    """Measure a pass of some seconds."""
    with passes.measure(lambda: PassSize(ranked=5)):
        clock.now += seconds


@then(
    "passes of {first:d}, {second:d} and {third:d} milliseconds are followed by pauses "
    "of {one:d}, {two:d} and {three:d} milliseconds"
)
def step_pauses(context, first, second, third, one, two, three):
    clock = SteppedClock()
    passes = PlacementPasses(lambda event, **fields: None, clock.read)
    for taken, pause in ((first, one), (second, two), (third, three)):
        run_pass(passes, clock, taken / 1000)
        assert abs(passes.compute_pause() - pause / 1000) < 1e-9, passes.compute_pause()


@then(
    "passes of {milliseconds:d} milliseconds over {seconds:d} seconds are reported "
    "in {least:d} to {most:d} lines"
)
def step_reports(context, milliseconds, seconds, least, most):
    clock, lines = SteppedClock(), []
    passes = PlacementPasses(lambda event, **fields: lines.append(fields), clock.read)
    while clock.now < seconds:
        run_pass(passes, clock, milliseconds / 1000)
    assert least <= len(lines) <= most, lines
    assert all(line["ranked"] == 5 and line["longest"] >= 0.03 for line in lines), lines


# With real processes.

EPOCH_DAY_MS = 86_400_000
COMPLETION_SECONDS = 14.0  # of submissions that each take a third of a second
ORDINARY_IDS = itertools.count(1)


@when('a schedule "{name}" of {count:d} days from 1970 on is sent to instance {index:d}')
def step_send_schedule(context, name, count, index):
    steps = make_wire_steps(1, 200)
    context.cluster.platform.record_submission(name, steps)
    times = {"repetitions": count, "intervalMs": EPOCH_DAY_MS}
    body = json.dumps({"spec": "text", "steps": steps, **times}).encode()
    answer = context.cluster.call(index, "POST", f"/jobs/{name}", body)
    assert answer.status == 200, answer


@when("the instance that owns the queues is killed for good")
def step_kill_owner(context):
    entry = context.cluster.entries[context.cluster.find_owner()]
    entry.send(signal.SIGKILL)
    entry.process.wait()


def count_runs(context, name):
    """Return how many tasks of a submission workers have started."""
    return sum(task.startswith(name) for task in context.cluster.platform.starts)


@then('submissions sent to each instance complete, and with them {least:d} tasks of "{schedule}"')
def step_ordinary_complete(context, least, schedule):
    cluster, begun = context.cluster, count_runs(context, schedule)
    alive = [i for i, entry in enumerate(cluster.entries) if entry.process.poll() is None]
    names = {index: f"{next(ORDINARY_IDS):016x}" for index in alive}
    for index, name in names.items():
        assert cluster.submit(index, name, make_wire_steps(2)).status == 200
    for index, name in names.items():
        state = cluster.wait_state(index, name, "completed", COMPLETION_SECONDS)
        assert state == "completed", (name, state)
    assert count_runs(context, schedule) >= begun + least, count_runs(context, schedule) - begun


@then('after {seconds:g} seconds no line "{event}" has more than {most:d} steps')
def step_pass_lines(context, seconds, event, most):
    gevent.sleep(seconds)  # until the passes of one second are reported
    logs = [entry.log.read_text(encoding="utf-8") for entry in context.cluster.entries]
    lines = [json.loads(line) for log in logs for line in log.splitlines() if f'"{event}"' in line]
    assert lines and all(line["ranked"] <= most for line in lines), lines


@then("no process holds more than {most:d} MB")
def step_memory(context, most):
    alive = [e.process.pid for e in context.cluster.entries if e.process.poll() is None]
    for pid in alive:
        status = Path(f"/proc/{pid}/status").read_text(encoding="utf-8")
        held = next(line for line in status.splitlines() if line.startswith("VmHWM:"))
        assert int(held.split()[1]) <= most * 1024, held
