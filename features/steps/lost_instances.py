"""Steps in which all instances are lost, and new ones take over at other addresses."""

import signal
import time

import gevent
import msgspec
from behave import then, when

from features.steps.platform_queues import make_steps
from features.steps.unreached_workers import wait_for_new_owner
from lavenderhook.errors import TransportError

FOR_GOOD_SECONDS = 3600.0
FROZEN_OR_KILLED = {"are killed": signal.SIGKILL, "are frozen": signal.SIGSTOP}
MAX_READY_SECONDS = 20.0
LONG_TASKS = 13
LONG_TASK_MILLISECONDS = 60_000
LONG_TASK_PROCESSORS = 3000  # of the 8000 of a worker, in thousandths
MAX_START_SECONDS = 15.0
SLOW_SECONDS = 0.2
# The answer to a watch that began before a cut still arrives; it would list a new instance.
LAST_ANSWER_SECONDS = 1.0


def send_submissions(context, count, indices, milliseconds=300):
    """Send submissions of two tasks to the instances in turn."""
    for number in range(count):
        name = f"{time.time_ns():016x}"
        index = indices[number % len(indices)]
        assert context.cluster.submit(index, name, make_steps(2, milliseconds)).status == 200
        context.accepted.append(name)


@when("{count:d} submissions run while all instances {are_lost}, and one worker {is_lost}")
def step_lose_all(context, count, are_lost, is_lost):
    cluster = context.cluster
    context.execute_steps("When the owner has reached every worker")
    send_submissions(context, count, range(len(cluster.entries)), milliseconds=3000)
    gevent.sleep(0.5)
    for entry in cluster.entries:
        entry.send(FROZEN_OR_KILLED[are_lost])
    worker = next(w for w in cluster.platform.workers if w.runs)
    if is_lost == "crashes":
        worker.crash(FOR_GOOD_SECONDS)
    else:
        cluster.cut_off((), [worker])


@when("{count:d} new instances are ready {seconds:f} seconds later")
def step_new_instances(context, count, seconds):
    gevent.sleep(seconds)
    context.new = [context.cluster.add_entry() for _ in range(count)]
    for entry in context.new:
        entry.start()
    until = time.monotonic() + MAX_READY_SECONDS
    while not all(entry.is_ready() for entry in context.new):
        assert time.monotonic() < until, "the new instances are not ready"
        gevent.sleep(0.1)


@when("from then on the store {state}")
def step_store(context, state):
    store = context.cluster.platform.store
    store.delay_seconds = SLOW_SECONDS if state == "takes 0.2 s for each call" else 0.0


@when("the new owner is killed {seconds:f} seconds after its claim")
def step_kill_new_owner(context, seconds):
    cluster = context.cluster
    names = [entry.name for entry in context.new]
    until = time.monotonic() + MAX_START_SECONDS
    while cluster.entries[cluster.find_owner()].name not in names:
        assert time.monotonic() < until, "no new instance has claimed the ownership"
        gevent.sleep(0.01)
    gevent.sleep(seconds)
    for entry in context.new:
        entry.send(signal.SIGKILL)
        entry.wait(2)


@when("{count:d} submissions are sent to the new instances")
def step_send_to_new(context, count):
    entries = context.cluster.entries
    send_submissions(context, count, [entries.index(entry) for entry in context.new])


def read_state(context, index, name):
    """Return the state of a submission, or None if there is no answer."""
    try:
        return context.cluster.read_state(index, name)
    except TransportError:
        return None


@then("nothing that was accepted still waits at a new instance after {seconds:d} seconds")
def step_none_waits(context, seconds):
    index = context.cluster.entries.index(context.new[0])
    until = time.monotonic() + seconds
    waiting = list(context.accepted)
    while waiting:
        assert time.monotonic() < until, waiting
        gevent.sleep(0.1)
        states = {name: read_state(context, index, name) for name in waiting}
        waiting = [name for name in waiting if states[name] not in ("running", "completed")]


@then("the last owner has ended the wait for earlier owners by its workers")
def step_ended_by_workers(context):
    owner = context.cluster.entries[context.cluster.find_owner()]
    lines = [msgspec.json.decode(line) for line in owner.log.read_bytes().splitlines()]
    ends = [e["reason"] for e in lines if e["event"] == "earlier-owners-inactive"]
    assert ends == ["workers"], ends


@when("long tasks run on all workers")
def step_long_tasks(context):
    cluster = context.cluster
    context.execute_steps("When the owner has reached every worker")
    steps = make_steps(LONG_TASKS, LONG_TASK_MILLISECONDS)
    steps[0]["cpu"] = LONG_TASK_PROCESSORS
    assert cluster.submit(0, "00000000000000e1", steps).status == 200
    until = time.monotonic() + MAX_START_SECONDS
    while sum(len(worker.runs) for worker in cluster.platform.workers) < LONG_TASKS:
        assert time.monotonic() < until, "the tasks have not started"
        gevent.sleep(0.02)
    gevent.sleep(1.5)  # until the owner's holds have been answered since its last start


@when(
    "all instances and {inside:d} of the workers are cut off for {seconds:f} seconds, "
    "and {count:d} new instances start"
)
def step_cut_off(context, inside, seconds, count):
    cluster = context.cluster
    former = cluster.find_owner()
    context.inside = [worker for worker in cluster.platform.workers if worker.runs][:inside]
    context.before = [(w, task, r["run"]) for w in context.inside for task, r in w.runs.items()]
    cluster.cut_off(cluster.entries, context.inside)
    until = time.monotonic() + seconds
    gevent.sleep(LAST_ANSWER_SECONDS)
    for entry in [cluster.add_entry() for _ in range(count)]:
        entry.start()
    wait_for_new_owner(cluster, former)
    gevent.sleep(until - time.monotonic())
    context.after = [(w, task, r["run"]) for w in context.inside for task, r in w.runs.items()]
    cluster.heal()


@then("the runs of the workers inside {state}")
def step_inside(context, state):
    expected = context.before if state == "have gone on" else []
    assert context.before and context.after == expected, (context.before, context.after)


@then("all long tasks run within {seconds:d} seconds")
def step_all_run(context, seconds):
    until = time.monotonic() + seconds
    workers = context.cluster.platform.workers
    while sum(len(worker.runs) for worker in workers) < LONG_TASKS:
        assert time.monotonic() < until, [len(worker.runs) for worker in workers]
        gevent.sleep(0.1)
