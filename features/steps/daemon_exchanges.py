"""Steps that check exchanges with a scripted upstream on raw sockets."""

import time

import gevent
from behave import given, then, when

from features.support.raw_upstream import RawUpstream
from lavenderhook._internal.adapters.calls import PendingCalls
from lavenderhook._internal.adapters.time import SystemClock
from lavenderhook._internal.adapters.transport import HttpClient
from lavenderhook._internal.adapters.upstreams import UpstreamEffects
from lavenderhook._internal.adapters.workers import _build_report, _Entry
from lavenderhook._internal.core.attempts import LEASE_EXPIRED
from lavenderhook._internal.core.effects import DispatchToUpstream
from lavenderhook._internal.core.events import UpstreamAnswered, UpstreamFailed, UpstreamReleased

QUARANTINE_SECONDS = 0.3


@given("a scripted TCP upstream")
def step_upstream(context):
    context.upstream = RawUpstream()
    context.add_cleanup(context.upstream.stop)
    build_exchanges(context, 64)


@given("a scripted TCP upstream that has stopped")
def step_stopped(context):
    step_upstream(context)
    context.upstream.stop()


def build_exchanges(context, connections):
    """Build the executor of dispatches."""
    context.exchange_events = []
    context.exchange_calls = PendingCalls()
    context.exchange_clock = SystemClock()
    client = HttpClient("upstream", size=connections)
    context.add_cleanup(client.close)
    context.exchanges = UpstreamEffects(
        client,
        context.exchange_clock,
        context.exchange_calls,
        context.exchange_events.append,
        QUARANTINE_SECONDS,
    )


def dispatch(context, request_id, seconds=2.0):
    """Dispatch one request and return its call."""
    call = context.exchange_calls.add(method="POST", target="/x", body=b"question")
    effect = DispatchToUpstream(
        ticket=call.ticket,
        request_id=request_id,
        upstream_id="upstream-1",
        address=context.upstream.address,
        deadline=context.exchange_clock.read() + seconds,
    )
    with gevent.Timeout(10):
        context.exchanges.dispatch(effect)
    return call


@when("a request is dispatched and the upstream responds with: {fault}")
def step_dispatch(context, fault):
    context.upstream.next_response = fault
    context.call = dispatch(context, "first")
    gevent.sleep(0.03)


@when("a request has a deadline in {deadline:g} s and its response arrives after {delay:g} s")
def step_late(context, deadline, delay):
    context.upstream.next_response, context.upstream.delay = "delayed response", delay
    started = time.monotonic()
    context.call = dispatch(context, "first", deadline)
    context.exchange_seconds = time.monotonic() - started


@when("{count:d} requests are dispatched at once over at most {connections:d} connections")
def step_many(context, count, connections):
    build_exchanges(context, connections)
    names = [f"request-{number}" for number in range(count)]
    greenlets = [gevent.spawn(dispatch, context, name) for name in names]
    gevent.joinall(greenlets, timeout=10, raise_error=True)
    context.concurrent_calls = dict(
        zip(names, (greenlet.value for greenlet in greenlets), strict=True)
    )


@then("the dispatch fails with {failure} after it was sent, without a response")
def step_failed(context, failure):
    (event,) = context.exchange_events
    assert isinstance(event, UpstreamFailed), event
    assert event.failure == failure and event.sent and not event.timed_out, event
    assert context.call.response is None


@then("the dispatch fails with {failure} before anything was sent")
def step_not_sent(context, failure):
    (event,) = context.exchange_events
    assert isinstance(event, UpstreamFailed), event
    assert event.failure == failure and not event.sent, event


@then("the dispatch completes")
def step_answered(context):
    (event,) = context.exchange_events
    assert isinstance(event, UpstreamAnswered) and event.status == 200, event
    assert context.call.response.body == b"answer to first"


@then("the dispatch times out at its deadline and the upstream is released by {cause}")
def step_released(context, cause):
    failed, released = context.exchange_events
    assert isinstance(failed, UpstreamFailed) and failed.timed_out and failed.sent, failed
    assert isinstance(released, UpstreamReleased), released
    assert context.call.response is None, "a late response must not be kept"
    seconds_held = released.now - failed.now
    bounds = (0.05, 0.25) if cause == "the late response" else (QUARANTINE_SECONDS - 0.05, 1.0)
    assert bounds[0] <= seconds_held <= bounds[1], seconds_held


@then("the next request gets its own response")
def step_next(context):
    call = dispatch(context, "second")
    assert call.response is not None and call.response.body == b"answer to second"


@then("the next request gets its own response over {which} connection")
def step_next_connection(context, which):
    step_next(context)
    numbers = [number for number, _ in context.upstream.served]
    expected = 2 if which == "a new" else 1
    assert len(set(numbers)) == expected, context.upstream.served


@then("each gets its own response and at most {limit:d} connections were opened")
def step_each(context, limit):
    for name, call in context.concurrent_calls.items():
        assert call.response.body == f"answer to {name}".encode()
    assert context.upstream.connections <= limit, context.upstream.connections


@when('a worker reports a stopped attempt with the reason "{reason}"')
def step_worker_reason(context, reason):
    context.report = _build_report(_Entry(attempt="a", state="stopped", reason=reason))


@then("the attempt's lease has expired")
def step_lease_expired(context):
    assert context.report.reason == LEASE_EXPIRED, context.report
