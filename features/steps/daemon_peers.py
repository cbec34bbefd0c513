"""Steps that check the communication between entry instances."""

import gevent
from behave import given, then, when

from features.support.stub_core import UNUSED_ADDRESS, StubCore, start_instance
from lavenderhook._internal.adapters.peers import PeerEffects
from lavenderhook._internal.adapters.transport import ClientResponse, HttpClient
from lavenderhook._internal.core.declarations import Quota
from lavenderhook._internal.core.effects import CloseListeners
from lavenderhook._internal.core.events import (
    ConfigurationChange,
    ConfigurationReceived,
    RequestArrived,
)
from lavenderhook._internal.core.identifiers import MemberState
from lavenderhook._internal.core.membership import get_member_state
from lavenderhook.errors import TransportError

CREDENTIAL = ("Authorization", "Bearer token-of-desk")


@given("{count:d} running instances with the first one as seed")
def step_instances(context, count):
    context.cores = [StubCore("refuse") for _ in range(count)]
    context.daemons = []
    for number, core in enumerate(context.cores):
        seeds = [context.daemons[0].listener.location] if context.daemons else []
        name = f"entry-{number}"
        context.daemons.append(start_instance(context, core, name=name, seeds=seeds))


@given("2 running instances, the second of which forwards to the first")
def step_forwarding(context):
    first = StubCore("dispatch", upstream=context.upstream.address)
    target = start_instance(context, first, name="entry-0")
    second = StubCore("forward", peer=(target.incarnation, target.listener.location))
    source = start_instance(context, second, name="entry-1", seeds=[target.listener.location])
    context.cores, context.daemons = [first, second], [target, source]


@given("1 running instance that forwards to an address without a listener")
def step_forwarding_unreachable(context):
    core = StubCore("forward", peer=("gone", UNUSED_ADDRESS))
    context.daemons = [start_instance(context, core)]


@given("1 running instance that dispatches to it")
def step_dispatching(context):
    core = StubCore("dispatch", upstream=context.upstream.address)
    context.daemons = [start_instance(context, core)]


def wait_until(is_true, seconds):
    """Wait for a condition.

    Raises
    ------
    AssertionError
        If it does not hold in time. A plain gevent time-out is not an `Exception` and would end
        the whole run instead of failing the scenario.
    """
    with gevent.Timeout(seconds, AssertionError(f"not within {seconds} s")):
        while not is_true():
            gevent.sleep(0.01)


def count_alive(daemon):
    """Return the number of members that an instance considers alive."""
    state = daemon.runtime.state
    members = state.membership.members
    return sum(get_member_state(state, m) is MemberState.ALIVE for m in members)


@given("each instance reports the {count:d} others as alive within {seconds:d} s")
@then("each instance reports the {count:d} others as alive within {seconds:d} s")
def step_alive(context, count, seconds):
    wait_until(lambda: all(count_alive(d) == count for d in context.daemons), seconds)


@when("the last instance stops and another one starts at its address")
def step_restart(context):
    previous = context.daemons.pop()
    address = previous.listener.location
    previous.stop()
    seeds = [context.daemons[1].listener.location]
    core = StubCore("refuse")
    restarted = start_instance(context, core, name="entry-2", seeds=seeds, listen=address)
    context.daemons.append(restarted)


@then(
    "the first instance reports it as alive, and it reports the {count:d} others as alive, "
    "within {seconds:d} s"
)
def step_restarted_alive(context, count, seconds):
    first, restarted = context.daemons[0], context.daemons[-1]
    wait_until(lambda: count_alive(restarted) == count, seconds)
    state = first.runtime.state
    wait_until(lambda: get_member_state(state, restarted.incarnation) is MemberState.ALIVE, seconds)


@when("the first instance receives {count:d} configuration changes")
def step_changes(context, count):
    changes = tuple(
        ConfigurationChange(
            version=version,
            change_id=f"change-{version}",
            author="ann",
            at=1.0,
            puts=(Quota(name=f"quota-{version}", team="maps"),),
        )
        for version in range(1, count + 1)
    )
    runtime = context.daemons[0].runtime
    event = ConfigurationReceived(
        now=runtime.now(), changes=changes, complete=True, from_table=True, head=count
    )
    runtime.apply(event)


@then("the other instances have version {version:d} within {seconds:d} s")
def step_version(context, version, seconds):
    states = [daemon.runtime.state for daemon in context.daemons[1:]]
    wait_until(lambda: all(s.configuration.version == version for s in states), seconds)
    first = context.daemons[0].runtime.state.configuration
    assert all(s.configuration.declarations == first.declarations for s in states)


@when("a request is sent to the last instance")
def step_send(context):
    client = HttpClient("test", timeout=5)
    context.add_cleanup(client.close)
    headers = (CREDENTIAL, ("lavenderhook-request-id", "first"))
    location = context.daemons[-1].listener.location
    context.reply = client.call(location, "POST", "/service/desk/x", b"question", headers)


@when("a request is sent to the last instance and the upstream responds with: {fault}")
def step_send_invalid(context, fault):
    context.upstream.next_response = fault
    step_send(context)


@then("its response is the upstream's response to its own request id")
def step_forwarded(context):
    assert context.reply.status == 200, context.reply
    assert context.reply.body == b"answer to first"
    assert context.reply.get_header("lavenderhook-outcome") == "completed"
    assert context.reply.get_header("lavenderhook-request-id") == "first"


@then("the first instance records the second as the sender")
def step_sender(context):
    (arrived,) = context.cores[0].list_events(RequestArrived)
    assert arrived.head.forwarded_by == context.daemons[1].incarnation
    assert arrived.head.caller == "desk"


@then("its outcome is {outcome} with status {status:d}")
def step_outcome(context, outcome, status):
    assert context.reply.get_header("lavenderhook-outcome") == outcome, context.reply
    assert context.reply.status == status


@when("a heartbeat without credential arrives")
def step_no_credential(context):
    client = HttpClient("test")
    context.add_cleanup(client.close)
    location = context.daemons[0].listener.location
    context.reply = client.call(location, "POST", "/peer/v1/heartbeat", b"x")


@then("it is refused as unauthenticated")
def step_refused(context):
    assert context.reply.status == 401 and b"unauthenticated" in context.reply.body


@when("its listener is closed while a request is in flight")
def step_drain(context):
    context.upstream.next_response, context.upstream.delay = "delayed response", 0.3
    sender = gevent.spawn(step_send, context)
    wait_until(lambda: context.upstream.served, 2)
    runtime = context.daemons[0].runtime
    runtime._execute(CloseListeners())
    sender.join(timeout=5)


@then("the request is answered, its connection closed, and no new connection is accepted")
def step_drained(context):
    assert context.reply.body == b"answer to first"
    assert context.reply.get_header("connection") == "close"
    client = HttpClient("test")
    try:
        client.call(context.daemons[0].listener.location, "GET", "/healthz")
    except TransportError as error:
        assert not error.sent
    else:
        raise AssertionError("a new connection was accepted")


@when("a peer answers a forwarded request with status {status:d}")
def step_peer_status(context, status):
    class Client:
        def call(self, *_arguments, **_options):
            return ClientResponse(status, (), b"")

    effects = PeerEffects.__new__(PeerEffects)
    effects._forwarding_client = Client()
    context.transport_error = None
    try:
        effects._post_request("a:1", b"", 1.0)
    except TransportError as error:
        context.transport_error = error


@then("the request counts as {result}")
def step_counts_as(context, result):
    assert context.transport_error.sent is (result == "maybe run"), context.transport_error
