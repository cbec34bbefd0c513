"""Steps for the limits of what listeners hold: decisions, settings, and listeners."""

import contextlib
import math
import random
import tempfile
from types import SimpleNamespace
from unittest.mock import Mock

import gevent
from behave import given, then, when
from gevent import socket

from lavenderhook._internal.adapters.frontend import Listener, ListenerLimits, Reply
from lavenderhook._internal.adapters.intake import (
    BodyBudget,
    Limit,
    Phase,
    ReportSample,
    choose_connection_to_close,
)
from lavenderhook._internal.instance.log_limits import LineLimiter
from lavenderhook.errors import SettingsError
from lavenderhook.platform.intake import LISTENER_LIMITS, compute_intake_limits
from lavenderhook.platform.program import LIMITED_EVENTS, LIMITED_LINES_PER_SECOND
from lavenderhook.platform.settings import load_settings

NOW = 10.0
POST = b"POST / HTTP/1.1\r\nHost: entry\r\n"
SETTINGS = """nodeName = "n"
ip = "127.0.0.1"
zone = "a"
internalPorts = [1,2]
[listen]
frontend = "127.0.0.1:1"
readiness = "127.0.0.1:2"
[platform]
address = "127.0.0.1:3"
"""


@given('a budget of {limit:d} bytes that holds the bodies "{bodies}"')
@given('a budget of {limit:d} bytes that holds the bodies ""')
def step_budget(context, limit, bodies=""):
    context.budget = BodyBudget(limit)
    for text in bodies.split():
        name, _, rest = text.partition("=")
        size, _, second = rest.partition("@")
        context.budget.reserve(name, int(size), float(second.rstrip("!")), lambda n=name: n)
        if text.endswith("!"):
            context.budget.complete(name)


@when("{size:d} bytes of another body arrive in second {second:d}")
def step_arrive(context, size, second):
    context.calls = context.budget.reserve("new", size, float(second), lambda: "new")


@then('"{names}" is dropped')
def step_dropped(context, names):
    if context.calls is None:
        assert names == "nothing, and it is refused", names
        return
    dropped = [drop() for drop in context.calls]
    assert dropped == ([] if names == "nobody" else names.split()), dropped
    assert context.budget.held_bytes <= context.budget.limit_bytes


@when("{count:d} random pieces of bodies arrive, complete and leave, with seed {seed:d}")
def step_random(context, count, seed):
    generator, budget = random.Random(seed), context.budget
    context.peak = 0
    for step in range(count):
        name = generator.randrange(20)
        match generator.randrange(6):
            case 0:
                budget.complete(name)
            case 1:
                budget.release(name)
            case _:
                budget.reserve(name, generator.randrange(1, 200), step / 10, lambda: None)
        context.peak = max(context.peak, budget.held_bytes)
    for name in range(20):
        budget.release(name)


@then("no more than {limit:d} bytes were ever held, and none are held in the end")
def step_bounded(context, limit):
    assert 0 < context.peak <= limit, context.peak
    assert context.budget.held_bytes == 0, context.budget.held_bytes


@when('a connection is added to "{connections}"')
@when('a connection is added in second 10 to "{connections}", where {others} stay longest')
def step_connections(context, connections, others=""):
    states = []
    for text in connections.split():
        phase, _, second = text.partition("@")
        states.append(SimpleNamespace(phase=Phase(phase), phase_began_at=float(second)))
    context.chosen = choose_connection_to_close(states, NOW, keeps_idle=others == "idle ones")


@then('connection "{text}" is closed')
def step_closed(context, text):
    chosen = context.chosen
    seen = f"{chosen.phase.value}@{chosen.phase_began_at:g}" if chosen else "none"
    assert seen == text, seen


@when(
    "{count:d} clients reach a limit within one second, and 1 in the next, with {lines:d} lines a "
    "second"
)
def step_reports(context, count, lines):
    sample = ReportSample(lines)
    times = [5.0 + index / 100 for index in range(count)] + [6.0]
    context.logged = [sample.admit(Limit.CONNECTIONS, now) for now in times]
    context.omitted = sample.take_omitted(Limit.CONNECTIONS)


@then("{count:d} lines are logged, and the last says that {omitted:d} were left out")
def step_logged(context, count, omitted):
    assert sum(context.logged) == count, context.logged
    assert context.logged[-1]
    assert context.omitted == omitted, context.omitted


@when('{count:d} events "{event}" happen within one second')
def step_events(context, count, event):
    limiter = LineLimiter(LIMITED_EVENTS, LIMITED_LINES_PER_SECOND)
    context.logged = [limiter.admit(event, 5.0 + index / count) for index in range(count)]


@then("{count:d} of them are logged, among them the first")
def step_events_logged(context, count):
    assert context.logged[0] == 0, context.logged
    assert sum(omitted is not None for omitted in context.logged) == count, context.logged


def load(context, sections):
    """Load settings with further sections, given by their names and fields."""
    text = SETTINGS
    for section, fields in sections.items():
        lines = "".join(f"{name} = {value}\n" for name, value in fields.items())
        text += f"[{section}]\n{lines}"
    with tempfile.NamedTemporaryFile("w", suffix=".toml", encoding="utf-8") as file:
        file.write(text)
        file.flush()
        return load_settings(file.name)


@when(
    "an instance on a machine of {memory:d} MB and {descriptors:d} descriptors has the setting "
    "{name} = {value}"
)
def step_setting(context, memory, descriptors, name, value):
    sections = {"limits": {"memoryMb": memory, "fileDescriptors": descriptors}}
    section, _, field = name.partition(".")
    sections.setdefault(section, {})[field] = value
    try:
        load(context, sections)
        context.error = None
    except SettingsError as error:
        context.error = error


@then("the settings are refused, naming {name} and {value}")
def step_refused(context, name, value):
    assert context.error is not None, "the settings were accepted"
    assert context.error.field == name, context.error
    assert str(context.error.value) == value, context.error


@when(
    "an instance on a machine of {memory:d} MB and {descriptors:d} descriptors has no setting "
    "of its own"
)
def step_defaults(context, memory, descriptors):
    machine = {"memoryMb": memory, "fileDescriptors": descriptors}
    context.limits = compute_intake_limits(load(context, {"limits": machine}))


@when("an instance has settings without the machine's limits")
def step_unbounded(context):
    context.limits = compute_intake_limits(load(context, {}))


@then("{count:d} clients with bodies of {size:d} bytes each fit")
def step_fit(context, count, size):
    assert context.limits.callers.connections >= count, context.limits
    assert context.limits.body_bytes >= count * size, context.limits


@then("its listeners have no budget and close no stalled connections")
def step_no_bounds(context):
    limits = context.limits
    assert limits.body_bytes == limits.peer_body_bytes == math.inf, limits
    listeners = (limits.callers, limits.peers, limits.readiness, limits.metrics)
    assert not any(listener.closes_stalled for listener in listeners), limits


def connect(context, message):
    """Return a connection to the listener on which a message was sent."""
    sock = socket.create_connection(context.listener.address, 5)
    context.add_cleanup(sock.close)
    sock.sendall(message)
    return sock


def receive(sock):
    """Return the first bytes of a response, or none if the connection is closed."""
    try:
        return sock.recv(65536)
    except ConnectionResetError:
        return b""


def start_listener(context, route, limits, budget_bytes=math.inf):
    """Start a listener without a process of its own, and record the limits that it reports."""
    context.reported = []
    context.listener = Listener(
        ("127.0.0.1", 0),
        limits,
        route,
        lambda *_: None,
        budget=BodyBudget(budget_bytes),
        report_limit=lambda limit, _: context.reported.append(limit),
    )
    context.add_cleanup(context.listener.stop, 0)
    context.listener.start()


@given("a listener with a budget of {size:d} bytes for bodies")
def step_listener(context, size):
    start_listener(context, lambda request: Reply(body=request.read_body()), LISTENER_LIMITS, size)


@when("a body that is {framing} stands still after {size:d} bytes, and {more:d} others arrive")
def step_stand_still(context, framing, size, more):
    field = (
        b"Transfer-Encoding: chunked\r\n" if framing == "chunked" else b"Content-Length: 9999\r\n"
    )
    start = b"%x\r\n" % size if framing == "chunked" else b""
    held = connect(context, POST + field + b"\r\n" + start + b"x" * size)
    gevent.sleep(0.1)
    other = connect(context, POST + b"Content-Length: %d\r\n\r\n" % more)
    gevent.sleep(0.05)
    other.sendall(b"x" * more)
    context.responses = [receive(held), receive(other)]


@then("the former is refused with 503 and Retry-After, the latter accepted")
def step_former_refused(context):
    former, latter = context.responses
    assert b" 503 " in former, former
    assert b"Retry-After" in former, former
    assert b" 200 " in latter, latter
    assert context.reported == [Limit.BODY_BUDGET], context.reported


RECEIVE_BUFFER_BYTES = 262_144
LARGE_BODY = b"x" * 20_000_000
CONFIGURATIONS = {
    "without limits of its own": {},
    "that closes stalled connections": {"closes_stalled": True},
    "with 128 fields a request": {"header_fields": 128},
    "with 128 fields and 3 places more": {"header_fields": 128, "connections": 4},
    "with 1.0 s for 64 KB of a response": {"write_seconds": 1.0},
    "with 16,384 unread bytes": {"unread_body_bytes": 16_384},
}


@given("a listener {configuration}")
def step_configured_listener(context, configuration):
    limits = ListenerLimits(
        body_bytes=262_144,
        header_bytes=65_536,
        line_bytes=8_192,
        read_seconds=3.0,
        idle_seconds=60.0,
        **{"connections": 1, **CONFIGURATIONS[configuration]},
    )

    def answer(request):
        return Reply(body=LARGE_BODY if request.path == "/large" else b"")

    start_listener(context, answer, limits)


@when("a client finds no free connection")
def step_no_connection(context):
    # Connections that are being answered aren't closed for another.
    context.listener.handlers.update(Mock(phase=Phase.ANSWERING) for _ in range(2))
    context.response = receive(connect(context, POST + b"\r\n"))


@when("a client sends {count:d} fields")
def step_fields(context, count):
    fields = b"".join(b"%x:\r\n" % index for index in range(count))
    context.response = receive(connect(context, POST + fields + b"\r\n"))


def receive_large(context, pause, interval):
    sock = socket.socket()
    context.add_cleanup(sock.close)
    # Large buffers would pass on the client's progress late.
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
    sock.connect(context.listener.address)
    sock.sendall(b"GET /large HTTP/1.1\r\nHost: entry\r\nConnection: close\r\n\r\n")
    gevent.sleep(pause)
    blocks = []
    while block := receive(sock):
        blocks.append(block)
        gevent.sleep(interval)
    context.response = b"".join(blocks)


@when("a client reads 20 MB after a pause")
def step_read_late(context):
    receive_large(context, 2.0, 0)


@when("a client reads 20 MB slowly")
def step_read_slowly(context):
    receive_large(context, 0, 0.01)


@when("a client sends two bodies of 60,000 bytes")
def step_unread_bodies(context):
    sock = connect(context, b"")
    context.response = b""
    for _ in range(2):
        with contextlib.suppress(OSError):
            sock.sendall(POST + b"Content-Length: 60000\r\n\r\n")
            gevent.sleep(0.1)
            sock.sendall(b"x" * 60_000)
        context.response += receive(sock)


@then("it gets {status:d} {times:w}")
def step_status(context, status, times):
    count = context.response.count(b" %d " % status)
    assert count == {"once": 1, "twice": 2}[times], context.response[:999]


@then("it gets {status:d}")
@then("it gets {status:d} and {code}")
def step_refusal(context, status, code=""):
    assert b" %d " % status in context.response, context.response[:999]
    assert code.encode() in context.response, context.response[:999]


@then("it gets {part} of it")
def step_part(context, part):
    body = context.response.partition(b"\r\n\r\n")[2]
    assert 0 < len(body) <= len(LARGE_BODY), len(body)
    assert (body == LARGE_BODY) == (part == "all"), len(body)
