"""Steps on incarnations of workers and on instances that leave."""

import signal
import time
from unittest import mock

import gevent
import gevent.event
import msgspec
from behave import given, then, when

from features.support.queue_processes import EntryProcess
from features.support.queue_random_runs import crash, refresh_worker_lists, restart
from features.support.queue_simulation import LEASE_SECONDS, make_step, make_submission
from lavenderhook._internal.instance import advice
from lavenderhook._internal.instance.advice import AdviceDispatcher
from lavenderhook._internal.queueing import workers
from lavenderhook._internal.queueing.model import (
    CommandToken,
    Placement,
    Resources,
    StartCommand,
    StartOutcome,
    StepId,
    TaskKey,
    WorkerState,
)
from lavenderhook._internal.queueing.workers import compute_command_token
from lavenderhook.platform.workers import PlatformWorkerClient
from standins import queues
from standins.queues import QueuePlatform


@when('worker "{name}" crashes')
def step_crash(context, name):
    crash(context.simulation, context.simulation.workers[name])


@when('worker "{name}" restarts, as the list of workers shows after a start and before a report')
def step_unnoticed(context, name):
    simulation = context.simulation
    worker = simulation.owners[-1].state.workers[name]
    last_report_at = worker.last_report_at
    while worker.last_report_at == last_report_at:  # the next report comes in 0.2 s
        simulation.run(0.01)
    simulation.workers[name].begin_incarnation()
    simulation.call_later(0.1, refresh_worker_lists, simulation)


@when('worker "{name}" is started and has received the owner\'s last command')
def step_late_command(context, name):
    simulation = context.simulation
    assert name not in simulation.owners[-1].state.workers, "the worker has not been removed"
    restart(simulation, simulation.workers[name])
    simulation.workers[name].check_token(compute_command_token(simulation.owners[-1].fencing, 1))


@when('worker "{name}" is cut off from the store')
def step_cut_from_store(context, name):
    context.simulation.workers[name].is_cut_from_store = True


@when('worker "{name}" runs a task of {seconds:d} seconds that a former owner has started there')
def step_running(context, name, seconds):
    """Start a task by hand, since the owner may place it on any worker."""
    simulation = context.simulation
    command = StartCommand(
        worker=name,
        task=TaskKey("running", 0, 0, 0),
        number=1,
        payload="p",
        token=CommandToken(0),
        born=simulation.workers[name].born,
    )
    step = make_step(1, 2000, seconds)
    simulation.revision += 1
    simulation.submissions["running"] = (make_submission("running", [step]), simulation.revision)
    worker = simulation.workers[name]
    worker.check_token = lambda token: True
    assert worker.start(command, worker.read_clock() + LEASE_SECONDS) is StartOutcome.STARTED
    del worker.check_token
    simulation.run(0.5)  # the next report comes in 0.2 s
    simulation.owners[-1].deliver_submission(*simulation.submissions["running"])


@when('worker "{name}" reaches the store again')
def step_reach_store(context, name):
    context.simulation.workers[name].is_cut_from_store = False
    refresh_worker_lists(context.simulation)


@when('worker "{name}" restarts with the same id as kind "{kind}"')
def step_restart_as_kind(context, name, kind):
    worker = context.simulation.workers[name]
    worker.kind = kind
    restart(context.simulation, worker)
    context.simulation.run(1.0)


@when('worker "{name}" restarts with the same id after its clock was set back')
def step_restart_set_back(context, name):
    worker = context.simulation.workers[name]
    former = worker.born
    restart(context.simulation, worker)
    worker.born = former - 1
    context.simulation.run(1.0)


@when('a submission "{name}" of tasks that need the label "{label}" arrives')
def step_submit_with_label(context, name, label):
    step = make_step(2, 2000, 1.0, placement=Placement(label=label))
    context.simulation.submit(name, [step])


@when('worker "{name}" is about to leave')
def step_about_to_leave(context, name):
    worker = context.simulation.workers[name]
    worker.state = WorkerState.DRAINING
    worker.leaves_at = context.simulation.now + 0.5
    refresh_worker_lists(context.simulation)


@when("the list of workers is read")
def step_read_list(context):
    refresh_worker_lists(context.simulation)


@when('the list of workers is read as it was before the restart of "{name}"')
def step_read_stale(context, name):
    simulation = context.simulation
    worker = simulation.workers[name]
    former = msgspec.structs.replace(worker.entry, born=1)
    worker.entry, worker.is_cut_from_store = former, True
    refresh_worker_lists(simulation)


@then('the owner has {count:d} run on worker "{name}"')
def step_runs_there(context, count, name):
    runs = context.simulation.owners[-1].state.workers[name].runs
    assert len(runs) == count, list(runs)


@then("there was {count:d} start")
def step_count_starts(context, count):
    assert context.simulation.starts == count, context.simulation.starts


@then('the owner computes no end of a lease for worker "{name}"')
def step_no_lease_end(context, name):
    assert context.simulation.owners[-1].compute_lease_end(name) is None


@then('the owner\'s end of a lease for worker "{name}" is at most {seconds:d} seconds on its clock')
def step_lease_end(context, name, seconds):
    end = context.simulation.owners[-1].compute_lease_end(name)
    assert end is not None and end <= seconds, end


@given("a queue worker and its client, which has read the worker's report")
def step_client(context):
    platform = context.platform = QueuePlatform(workers=1)
    context.add_cleanup(platform.stop)
    platform.start()
    context.worker = platform.workers[0]
    context.born = context.worker.born
    context.client = PlatformWorkerClient(lambda *_names, **_fields: None)
    context.add_cleanup(context.client.close)
    platform.record_submission("a", [{"count": 1, "cpu": 1, "memMb": 1, "estimateMs": 100}])
    for _ in range(2):  # the first one reads only
        hold(context, context.born, 0)


def hold(context, born, acknowledged):
    """Send a hold with a lease of an hour to an incarnation; keep its result."""
    address = context.worker.get_address()
    token = CommandToken(1)
    context.report = context.client.hold(address, "w0", born, token, acknowledged, 3600.0, 0.0)


@when("the worker restarts without notice")
def step_restart_worker(context):
    context.worker.crash(0.05)
    gevent.sleep(0.1)
    assert context.worker.born > context.born


@when("the client sends a start that is meant for the former incarnation")
def step_start(context):
    command = StartCommand(
        worker="w0",
        task=TaskKey("a", 0, 0, 0),
        number=1,
        payload="p",
        token=CommandToken(1),
        born=context.born,
    )
    context.outcome = context.client.start(context.worker.get_address(), command, 3600.0)


@then("the start was not sent")
def step_not_sent(context):
    assert context.outcome is StartOutcome.NOT_SENT, context.outcome
    assert not context.platform.starts, context.platform.starts


@then("the worker runs nothing and has no lease")
def step_no_lease(context):
    assert not context.worker.runs, context.worker.runs
    assert context.worker.lease_until == 0.0, context.worker.lease_until


@when("a run ends at the worker")
def step_run_ends(context):
    context.worker.finished_runs.append([1, "a.0.0.0", 1, "done", ""])


@when("the client sends a hold that acknowledges {count:d} finished runs of the former incarnation")
def step_hold_former(context, count):
    hold(context, context.born, count)


@when("the client sends a hold that acknowledges {count:d} finished run of the new incarnation")
def step_hold_new(context, count):
    hold(context, context.worker.born, count)


@then("the report is that of the new incarnation with {count:d} finished run")
@then("the report is that of the new incarnation with {count:d} finished runs")
def step_report(context, count):
    assert context.report.born == context.worker.born
    assert len(context.report.finished) == count, context.report


@when("queue worker {index:d} restarts within {seconds:g} seconds")
def step_restart_in_cluster(context, index, seconds):
    context.cluster.platform.workers[index].crash(seconds)


@when("queue worker {index:d} no longer answers")
def step_no_answers(context, index):
    context.cluster.platform.workers[index].is_answering = False


@given("queue workers that allow leases of {seconds:d} seconds")
def step_longest_lease(context, seconds):
    patch = mock.patch.object(queues, "MAX_HOLD_SECONDS", float(seconds))
    patch.start()
    context.add_cleanup(patch.stop)


@when("queue worker {index:d} has {processors:d} processors")
def step_resize(context, index, processors):
    context.cluster.platform.workers[index].resize(processors)


@then("queue worker {first:d} and later queue worker {second:d} have started {count:d} tasks")
def step_started_both(context, first, second, count):
    histories = context.cluster.platform.histories
    starts = [[e.split()[1] for e in events if "starts" in e] for events in histories.values()]
    assert starts == [[f"w{first}", f"w{second}"]] * count, histories


@when('every run on worker "{name}" succeeds')
def step_succeeding_worker(context, name):
    context.simulation.workers[name].fails_all_runs = False


@then('worker "{name}" is blocked')
def step_blocked(context, name):
    simulation = context.simulation
    assert simulation.owners[-1].state.workers[name].blocked_until > simulation.now


@then('worker "{name}" is not blocked')
def step_not_blocked(context, name):
    simulation = context.simulation
    assert simulation.owners[-1].state.workers[name].blocked_until <= simulation.now


def patch_constant(context, name, value):
    """Replace a constant of the module `workers` until the scenario ends."""
    patch = mock.patch.object(workers, name, value)
    patch.start()
    context.add_cleanup(patch.stop)


@given("run numbers for {count:d} starts of a task")
def step_few_numbers(context, count):
    patch_constant(context, "RUN_NUMBERS_PER_OWNER", count)


@given("command tokens for {count:d} restarts of a worker")
def step_few_tokens(context, count):
    patch_constant(context, "TOKENS_PER_OWNER", count)


@when('a submission "{name}" of {count:d} tasks and {attempts:d} attempts arrives')
def step_attempts(context, name, count, attempts):
    context.simulation.submit(name, [make_step(count, 1000, 0.5)], most_attempts=attempts)


@then("the owner has stepped down after {count:d} starts")
def step_stepped_down_after(context, count):
    assert not context.simulation.owners[-1].is_active
    assert context.simulation.starts == count, context.simulation.starts


@then("the owner is active")
def step_active(context):
    assert context.simulation.owners[-1].is_active


@when(
    'accelerators are reserved on worker "{name}" until {first:d} seconds '
    "and again until {second:d} seconds"
)
def step_reserve(context, name, first, second):
    worker = context.worker = context.simulation.owners[-1].state.workers[name]
    worker.reserve(Resources(0, 0, 1), 1, first)
    worker.reserve(Resources(0, 0, 1), 1, second)


@then("the reservation ends after {seconds:d} seconds")
def step_reserved_until(context, seconds):
    assert context.worker.reserved_until == seconds, context.worker.reserved_until


@when("another instance starts whose first write is carried out {seconds:d} seconds late")
def step_late_join(context, seconds):
    cluster = context.cluster
    entry = context.starting = EntryProcess(cluster, "entry-late")
    cluster.entries.append(entry)
    entry.store_endpoint.delay_next_write("member/", seconds)
    entry.start()
    until = time.monotonic() + 10
    while not entry.store_endpoint.has_delayed_write():
        assert time.monotonic() < until, "the instance has not written its row"
        gevent.sleep(0.02)


@when("that instance receives SIGTERM")
def step_stop_starting(context):
    context.starting.send(signal.SIGTERM)


@then("the table lists no instance but {count:d}")
def step_members(context, count):
    import base64

    rows = context.cluster.platform.store.rows
    members = [
        msgspec.json.decode(base64.b64decode(row["value"]))
        for (table, _, key), row in rows.items()
        if table == "lavenderhook-control" and key.startswith("member/")
    ]
    listed = [member["name"] for member in members if not member.get("has_left")]
    assert len(listed) == count and context.starting.name not in listed, listed


@given("an advisory service that {count:d} instances reach, of which one never responds")
def step_advice(context, count):
    context.calls = []
    context.longest_wait = 0.0
    context.now = 100.0
    addresses = [f"i{index}" for index in range(count)]

    def request_advice_at(address, _step, chosen, seconds):
        context.calls.append(address)
        context.longest_wait = max(context.longest_wait, seconds)
        context.now += seconds if address == "i0" else 0.05
        return None if address == "i0" else dict.fromkeys(chosen, "t")

    context.dispatcher = AdviceDispatcher(
        request_advice_at, lambda: addresses, lambda *_, **__: None
    )


@when("{count:d} calls for advice of {seconds:f} seconds each are made one after the other")
def step_call_advice(context, count, seconds):
    with mock.patch.object(advice.time, "monotonic", lambda: context.now):
        context.answers = [
            context.dispatcher.request_advice(StepId("a", 0, 0), ("w",), seconds)
            for _ in range(count)
        ]


@then("all of them are answered")
def step_answered(context):
    assert None not in context.answers, context.answers.count(None)


@then("none of them has waited for more than {seconds:f} seconds at an instance")
def step_wait_bounded(context, seconds):
    assert context.longest_wait <= seconds, context.longest_wait


@then("at most {count:d} of them went to the instance that never responds")
def step_calls_lost(context, count):
    assert context.calls.count("i0") <= count, context.calls


@given("an advisory service that {count:d} instances reach")
def step_pending_advice(context, count):
    context.calls = []
    context.now = 100.0
    context.connection_lost = gevent.event.Event()
    addresses = [f"i{index}" for index in range(count)]

    def request_advice_at(address, _step, chosen, _seconds):
        is_lost = not context.connection_lost.is_set()
        context.calls.append(address)
        context.connection_lost.wait()
        return None if is_lost and address == "i0" else dict.fromkeys(chosen, "t")

    context.dispatcher = AdviceDispatcher(
        request_advice_at, lambda: addresses, lambda *_, **__: None
    )
    patch = mock.patch.object(advice.time, "monotonic", lambda: context.now)
    patch.start()
    context.add_cleanup(patch.stop)


def call_advice_together(context, count):
    """Make calls at the same time; return their greenlets."""
    request = context.dispatcher.request_advice
    return [gevent.spawn(request, StepId("a", 0, 0), ("w",), 0.01) for _ in range(count)]


@when("{count:d} calls for advice wait at each instance, and those of one are lost together")
def step_lose_advice(context, count):
    greenlets = call_advice_together(context, 3 * count)
    gevent.idle()
    assert context.calls.count("i0") == count, context.calls
    context.connection_lost.set()
    gevent.joinall(greenlets)


@when("{seconds:f} seconds later {count:d} more calls for advice are made")
def step_more_advice(context, seconds, count):
    context.now += seconds
    context.calls.clear()
    gevent.joinall(call_advice_together(context, count))


@then("{count:d} of them went to that instance")
def step_advice_spread(context, count):
    assert context.calls.count("i0") == count, context.calls
