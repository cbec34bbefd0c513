"""Steps on refusals for lack of room."""

import time

import gevent
from behave import given, then, when

from features.steps.platform_queues import make_steps
from features.support.queue_simulation import make_step, make_submission
from lavenderhook._internal.instance.admission import AdmissionControl, BacklogMeter
from lavenderhook._internal.instance.submission_writer import WriteResult
from lavenderhook._internal.queueing.admission import Refusal, RefusalReason, find_refusal
from lavenderhook._internal.queueing.backlog import (
    Backlog,
    ServiceBacklog,
    WaitingWork,
)
from lavenderhook._internal.queueing.model import Resources
from lavenderhook._internal.queueing.retry_after import choose_retry_after_backlog
from lavenderhook.errors import StoreUnavailableError

NOW = 100.0
BIG_ESTIMATE_MS = 10_000  # a submission of 100 such tasks takes 24 cores for 42 s
MAX_SENT = 12


def make_new():
    """Return a new submission with an objective of 3 s."""
    terms = {"priority": 1, "slack_factor": 2.0, "latency_seconds": 1.0}
    return make_submission("new", [make_step(10, 1000, 1.0)], **terms)


@given("{ahead:d} core-seconds of work of priority {priority:d} wait for {cores:d} cores")
def step_backlog(context, ahead, priority, cores):
    context.waiting = {priority: WaitingWork(all=ahead, in_time=ahead)}
    context.cores = cores


@given("each worker has {free:d} millicores free")
def step_free(context, free):
    service = ServiceBacklog(
        cores=context.cores, largest_free=Resources(free, 64_000, 0), waiting=context.waiting
    )
    context.backlog = Backlog(services={"desk": service})
    context.stored = set()
    context.is_store_down = False
    context.is_reachable = True
    context.read_seconds = 0.0

    def is_stored(submission):
        if context.is_store_down:
            raise StoreUnavailableError("down")
        is_found = submission in context.stored
        gevent.sleep(context.read_seconds)
        return is_found

    context.control = AdmissionControl(
        is_stored, lambda: context.is_reachable, lambda what, **fields: None
    )
    context.control.record_backlog(context.backlog, NOW)


@then("a submission of priority 1 with an objective of 3 s is {decision:w}")
def step_decided(context, decision):
    refusal = find_refusal(make_new(), context.backlog)
    assert (refusal is not None) == (decision == "refused"), refusal


@when("nothing is known of a submission")
def step_unknown(context):
    pass


@when("a submission has a stored row")
def step_row(context):
    context.stored.add("new")


@when("the store can't be read for a submission")
def step_store_down(context):
    context.is_store_down = True


@when("the store answers after {seconds:d} seconds")
def step_slow_store(context, seconds):
    context.read_seconds = seconds


@when("the instance can't reach the store")
def step_unreachable(context):
    context.is_reachable = False


@when("a write of a submission has an unknown outcome")
def step_unknown_outcome(context):
    context.control.begin_write("new")
    context.control.end_write("new", WriteResult.UNKNOWN)


@when("a write of a submission was rejected")
def step_rejected(context):
    context.control.begin_write("new")
    context.control.end_write("new", WriteResult.NOT_STORED)


@when("the owner's answer is {seconds:d} seconds old")
def step_old_answer(context, seconds):
    context.control.record_backlog(context.backlog, NOW - seconds)


@then("that submission is {decision:w}")
def step_gate(context, decision):
    began_at = time.monotonic()
    refusal = context.control.find_refusal(make_new(), NOW)
    assert time.monotonic() - began_at < 1.0
    assert (refusal is not None) == (decision == "refused"), refusal


def choose_delay(useful_seconds, jitter, **bounds):
    """Return the Retry-After of a caller that would wait for an hour."""
    refusal = Refusal(
        reason=RefusalReason.BACKLOG,
        wait_seconds=3600.0,
        objective_seconds=useful_seconds / 3,
        useful_seconds=useful_seconds,
    )
    return choose_retry_after_backlog(refusal, jitter, **bounds)


@then("callers with 4, 40 and 400 seconds come back after 1, 7 to 12 and 75 to 125 seconds")
def step_delays(context):
    delays = [[choose_delay(useful, jitter) for jitter in (0.0, 1.0)] for useful in (4, 40, 400)]
    assert delays == [[1, 1], [7, 12], [75, 125]], delays


@then("a caller that waits for 6 seconds more comes back within 3 seconds")
def step_bounded_delay(context):
    assert choose_delay(400, 1.0, remaining_seconds=6.0) == 3


def measure(context):
    """Return the backlog of the owner in the simulation."""
    state = context.simulation.owners[-1].state
    return BacklogMeter().measure(state, context.simulation.now)


@then("a less urgent submission waits for {wait:d} seconds")
def step_wait(context, wait):
    service = measure(context).services.get("desk")
    found = 0.0 if service is None else service.estimate_wait(1)
    assert abs(found - wait) < 0.5, found


@when("the waiting submission is of no use any more")
def step_useless(context):
    for step in context.simulation.owners[-1].state.submissions["waiting"].steps.values():
        step.due_at -= 1000.0
        step.objective_at -= 1000.0


@when("more work is sent to instance {index:d} than the workers do while it is of use")
def step_overload(context, index):
    context.accepted = []
    for number in range(MAX_SENT):
        name = f"{number:016x}"
        context.answer = context.cluster.submit(index, name, make_steps(100, BIG_ESTIMATE_MS))
        if context.answer.status != 200:
            context.refused = name
            return
        context.accepted.append(name)
        gevent.sleep(0.4)  # the answer to the next write notice shows this submission
    raise AssertionError("no submission was refused")


@then("a submission is refused with a Retry-After of at least 1 second")
def step_refused(context):
    assert context.answer.status == 503, context.answer.status
    assert int(context.answer.get_header("retry-after")) >= 1, context.answer


@then("nothing is known of the refused submission")
def step_nothing_known(context):
    until = time.monotonic() + 1.5
    while time.monotonic() < until:
        assert context.cluster.read_state(1, context.refused) == 410
        gevent.sleep(0.3)
    rows = [key for key in context.cluster.platform.store.rows if context.refused in key[2]]
    assert not rows, rows


@then("the first accepted submission is accepted again by both instances")
def step_accepted_again(context):
    for index in range(2):
        steps = make_steps(100, BIG_ESTIMATE_MS)
        answer = context.cluster.submit(index, context.accepted[0], steps)
        assert answer.status == 200, (index, answer.status)
