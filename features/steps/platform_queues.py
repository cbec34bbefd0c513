"""Steps with real processes and stand-ins of the platform."""

import fcntl
import os
import shutil
import signal
import tempfile
import time
from pathlib import Path

import gevent
from behave import given, then, when

from features.support.queue_processes import EntryCluster, EntryProcess
from lavenderhook.errors import TransportError
from standins.crashes import CrashBehaviour

PIPE_BYTES = 4096  # the log of one submission fills it
WORKER_DOWN_SECONDS = 1.5  # after a crash
INSTANCE_DOWN_SECONDS = 0.5  # after it was killed
MAX_REACH_SECONDS = 10.0  # for an owner to load its state and call all workers


@given("{instances:d} entry instances and {workers:d} queue workers")
def step_cluster(context, instances, workers):
    start_cluster(context, instances, workers)


def start_cluster(
    context,
    instances,
    workers,
    output=None,
    state_retention_seconds=120,
    entry_class=EntryProcess,
    extra_bounds="",
):
    """Start stand-ins and processes, and register their clean-up.

    `output` is the target of the processes' standard output; None for one file each.
    """
    folder = Path(tempfile.mkdtemp(prefix="queues-"))
    context.cluster = EntryCluster(
        folder, instances, workers, output=output, entry_class=entry_class
    )
    context.cluster.state_retention_seconds = state_retention_seconds
    context.cluster.extra_bounds = extra_bounds
    context.add_cleanup(shutil.rmtree, folder, ignore_errors=True)
    context.add_cleanup(context.cluster.stop)
    context.cluster.start()
    context.accepted = []
    context.failed_calls = []


def make_steps(count, milliseconds=300):
    """Return the steps of a submission on the wire."""
    return [{"count": count, "cpu": 1000, "memMb": 100, "estimateMs": milliseconds}]


@when('submission "{name}" of {count:d} tasks is sent to instance {index:d}')
def step_submit(context, name, count, index):
    context.sent_at = time.monotonic()
    context.answer = context.cluster.submit(index, name, make_steps(count))
    context.answered_at = time.monotonic()


@when('submission "{name}" of {count:d} long tasks is sent to instance {index:d}')
def step_submit_long(context, name, count, index):
    context.answer = context.cluster.submit(index, name, make_steps(count, 60_000))


@when('submission "{name}" always fails')
def step_fails(context, name):
    context.cluster.platform.failing_submissions.add(name)


@when('task {index:d} of submission "{name}" crashes its workers after {age:g} seconds')
def step_crashing(context, index, name, age):
    behaviour = CrashBehaviour(age, WORKER_DOWN_SECONDS, frozenset({index}))
    context.cluster.platform.crash_budget.add(name, behaviour)


@when("the owner is killed each time that a task crashes its worker, {count:d} times")
def step_kill_owners(context, count):
    def kill_owner(crashes):
        if crashes <= count:
            entry = context.cluster.entries[context.cluster.find_owner()]
            entry.send(signal.SIGKILL)
            gevent.spawn_later(INSTANCE_DOWN_SECONDS, restart_killed, entry)

    context.cluster.platform.on_crash = kill_owner


def restart_killed(entry):
    """Start an instance again that was killed."""
    entry.process.wait()
    entry.start()


@when('"{name}" is cancelled at instance {index:d}')
def step_cancel(context, name, index):
    context.answer = context.cluster.call(index, "DELETE", f"/jobs/{name}")


@when('version {version:d} of the configuration adds "{prefix}"')
def step_configure(context, version, prefix):
    context.cluster.platform.write_configuration(version, ["/jobs/", prefix])


@when("{seconds:f} seconds of real time pass")
def step_sleep(context, seconds):
    gevent.sleep(seconds)


@when("the store's mode is {mode:w}")
def step_store(context, mode):
    context.cluster.platform.store.mode = mode


@when("store transactions take {seconds:f} seconds")
def step_slow(context, seconds):
    context.cluster.platform.store.transaction_seconds = seconds


@then("at least {count:d} submissions were accepted")
def step_accepted(context, count):
    assert len(context.accepted) >= count, (len(context.accepted), context.failed_calls[:3])


@when("the store stops answering an instance that is not the owner")
def step_store_unanswered(context):
    owner = context.cluster.find_owner()
    context.selected_index = (owner + 1) % len(context.cluster.entries)
    context.cluster.entries[context.selected_index].store_endpoint.mode = "silent"


@when("the instance that is not the owner is killed and started again")
def step_restart(context):
    owner = context.cluster.find_owner()
    context.selected_index = (owner + 1) % len(context.cluster.entries)
    entry = context.cluster.entries[context.selected_index]
    entry.send(signal.SIGKILL)
    entry.wait(2)
    entry.start()


@then("that instance is ready within {seconds:f} seconds")
def step_ready_within(context, seconds):
    entry = context.cluster.entries[context.selected_index]
    until = time.monotonic() + seconds
    while not entry.is_ready():
        assert time.monotonic() < until
        gevent.sleep(0.02)


@when("a submission of {count:d} tasks is sent to that instance")
def step_submit_there(context, count):
    name = f"c{len(context.accepted):015x}"
    context.sent_at = time.monotonic()
    context.answer = context.cluster.submit(context.selected_index, name, make_steps(count))
    context.answered_at = time.monotonic()
    context.accepted.append(name)


@then("it took at most {seconds:f} seconds")
def step_took(context, seconds):
    took = context.answered_at - context.sent_at
    assert took <= seconds, took


@then("that instance is not ready")
def step_not_ready(context):
    assert not context.cluster.entries[context.selected_index].is_ready()


@when("a third of the store's answers are lost")
def step_lose(context):
    context.cluster.platform.store.lost_answer_share = 0.33


@when("the store truncates its change history")
def step_truncate(context):
    context.cluster.platform.store.truncate_history()


def send_many(context, count, gap=0.05, indices=None):
    """Send submissions to all instances in turn; record the accepted and the failed ones."""
    greenlets = []
    for number in range(count):
        index = (indices or range(len(context.cluster.entries)))[
            number % len(indices or context.cluster.entries)
        ]
        greenlets.append(gevent.spawn(send_one, context, index, f"{number:016x}"))
        gevent.sleep(gap)
    gevent.joinall(greenlets, timeout=10)


def send_one(context, index, name):
    """Send one submission."""
    try:
        answer = context.cluster.submit(index, name, make_steps(2))
    except TransportError as error:
        context.failed_calls.append((name, index, str(error), error.sent))
        return
    if answer.status == 200:
        context.accepted.append(name)


@when('"{name}" completes')
def step_wait(context, name):
    found = context.cluster.wait_state(0, name, "completed", 5)
    assert found == "completed", found


@given("{instances:d} entry instances whose log is not read and {workers:d} queue workers")
def step_cluster_unread(context, instances, workers):
    context.unread = os.pipe()
    fcntl.fcntl(context.unread[1], fcntl.F_SETPIPE_SZ, PIPE_BYTES)
    for end in context.unread:
        context.add_cleanup(os.close, end)
    start_cluster(context, instances, workers, output=context.unread[1])


@given(
    "{instances:d} entry instances and {workers:d} queue workers "
    "with a state retention of {seconds:d} seconds"
)
def step_cluster_with_retention(context, instances, workers, seconds):
    start_cluster(context, instances, workers, state_retention_seconds=seconds)


@then('within {seconds:d} seconds the store has no row of "{name}"')
def step_no_row(context, seconds, name):
    until = time.monotonic() + seconds
    rows = context.cluster.platform.store.rows
    while left := [key for key in rows if name in key[2]]:
        assert time.monotonic() < until, left
        gevent.sleep(0.2)


@then("the metrics of instance {index:d} include")
def step_metrics(context, index):
    address = f"127.0.0.1:{context.cluster.entries[index].metrics_port}"
    text = context.cluster.client.call(address, "GET", "/metrics").body.decode()
    missing = [row["metric"] for row in context.table if row["metric"] not in text]
    assert not missing, (missing, text[:2000])


@when("{count:d} submissions are sent")
def step_many(context, count):
    send_many(context, count)


@when("an instance other than the owner and instance 0 is paused")
def step_pause_other(context):
    owner = context.cluster.find_owner()
    index = next(i for i in range(1, len(context.cluster.entries)) if i != owner)
    context.cluster.entries[index].send(signal.SIGSTOP)


@when("{count:d} submissions are sent to instance {index:d}")
def step_many_to(context, count, index):
    send_many(context, count, gap=1.0, indices=[index])


@when("the owner has reached every worker")
def step_reached(context):
    until = time.monotonic() + MAX_REACH_SECONDS
    while not all(worker.highest_token > 0 for worker in context.cluster.platform.workers):
        assert time.monotonic() < until, "the owner has not reached every worker"
        gevent.sleep(0.02)


@when("the owner is paused for {seconds:f} seconds, after which the store doesn't answer it")
def step_pause_owner(context, seconds):
    owner = context.former_owner = context.cluster.entries[context.cluster.find_owner()]
    owner.send(signal.SIGSTOP)
    owner.store_endpoint.mode = "silent"  # it can't read that another owner has taken over
    gevent.sleep(seconds)
    owner.send(signal.SIGCONT)


@when("the store's mode towards the owner becomes {mode}")
def step_store_mode_owner(context, mode):
    context.selected_index = context.cluster.find_owner()
    context.cluster.entries[context.selected_index].store_endpoint.mode = mode
    context.changed_at = time.monotonic()


@then("another instance is the owner within {seconds:f} seconds")
def step_other_owner(context, seconds):
    while context.cluster.find_owner() == context.selected_index:
        assert time.monotonic() < context.changed_at + seconds
        gevent.sleep(0.02)


@then("the stand-ins see no command of the former owner after one of the next")
def step_no_stale_commands(context):
    gevent.sleep(1.5)
    assert not sum(worker.stale_command_count for worker in context.cluster.platform.workers)


@then("the ownership has not changed")
def step_same_owner(context):
    log = "".join(entry.log.read_text(encoding="utf-8") for entry in context.cluster.entries)
    assert log.count('"ownership-claimed"') == 1, log.count('"ownership-claimed"')


@then("no command of the former owner reaches a worker within {seconds:f} seconds")
def step_no_command(context, seconds):
    workers = context.cluster.platform.workers
    before = [worker.stale_command_count for worker in workers]
    log = context.former_owner.log.read_text(encoding="utf-8")
    assert '"ownership-ended"' in log, "the former owner has not stepped down"
    gevent.sleep(seconds)
    after = [worker.stale_command_count for worker in workers]
    assert after == before, (before, after)


@when("{count:d} submissions are sent while the owner is killed")
def step_many_killed(context, count):
    owner = context.cluster.find_owner()
    owner_process = context.cluster.entries[owner]
    gevent.spawn_later(0.7, owner_process.send, signal.SIGKILL)
    others = [i for i in range(len(context.cluster.entries)) if i != owner]
    send_many(context, count, indices=others)


@when("the owner receives SIGTERM while {count:d} submissions are sent")
def step_many_stopped(context, count):
    context.stopping = context.cluster.entries[context.cluster.find_owner()]
    context.stopped_at = time.monotonic() + 0.3
    gevent.spawn_later(0.3, context.stopping.send, signal.SIGTERM)
    send_many(context, count)


def send_keep_alive(context, index, until):
    """Request a state repeatedly over one connection until it is closed."""
    while time.monotonic() < until:
        try:
            answer = context.cluster.call(index, "GET", "/jobs/00000000000000ff")
        except TransportError as error:
            if error.sent:
                context.failed_calls.append((index, str(error)))
            return
        if answer.get_header("connection") == "close":
            return
        gevent.sleep(0.02)


@when("callers send on keep-alive connections every 20 ms while the owner receives SIGTERM")
def step_keep_alive(context):
    owner = context.cluster.find_owner()
    context.stopping = context.cluster.entries[owner]
    until = time.monotonic() + 6.0
    callers = [gevent.spawn(send_keep_alive, context, owner, until) for _ in range(20)]
    gevent.sleep(0.5)
    context.stopped_at = time.monotonic()
    context.stopping.send(signal.SIGTERM)
    gevent.joinall(callers)


@then("every fully sent request was answered")
def step_all_answered(context):
    assert not context.failed_calls, context.failed_calls[:3]


@then("it is answered with {status:d}")
def step_status(context, status):
    assert context.answer.status == status, context.answer


@then("it is answered with {status:d} and a Retry-After within {seconds:f} seconds")
def step_refused(context, status, seconds):
    assert context.answer.status == status, context.answer
    assert int(context.answer.get_header("retry-after")) >= 1, context.answer
    took = context.answered_at - context.sent_at
    assert took < seconds, took


@then('"{name}" becomes "{state}" at instance {index:d} within {seconds:d} seconds')
def step_becomes(context, name, state, index, seconds):
    found = context.cluster.wait_state(index, name, state, seconds)
    assert found == state, found


@then('all accepted submissions become "{state}" within {seconds:d} seconds')
def step_all_become(context, state, seconds):
    assert context.accepted, "nothing was accepted"
    until = time.monotonic() + seconds
    alive = next(i for i, e in enumerate(context.cluster.entries) if e.process.poll() is None)
    for name in context.accepted:
        left = max(0.5, until - time.monotonic())
        found = context.cluster.wait_state(alive, name, state, left)
        assert found == state, (name, found)


@then("every task was started once")
def step_started_once(context):
    starts = context.cluster.platform.starts
    assert starts and set(starts.values()) == {1}, starts


@then("the stand-ins saw no violation")
def step_no_violation(context):
    assert not context.cluster.platform.violations, context.cluster.platform.violations[:5]


@then('a {method:w} of "{path}" is answered with {status:d}')
def step_call(context, method, path, status):
    for index in range(len(context.cluster.entries)):
        answer = context.cluster.call(index, method, path)
        assert answer.status == status, (index, answer)


@then("no task is running {seconds:d} seconds later")
def step_nothing_runs(context, seconds):
    gevent.sleep(seconds)
    running = [task for w in context.cluster.platform.workers for task in w.runs]
    assert not running, running


@then("no request that was sent failed without an answer")
def step_none_unanswered(context):
    unanswered = [entry for entry in context.failed_calls if entry[3]]
    assert not unanswered, unanswered


@then("the stopped process ends by itself within {seconds:d} seconds")
def step_ends(context, seconds):
    left = context.stopped_at + seconds - time.monotonic()
    assert context.stopping.wait(max(0.1, left)) == 0
