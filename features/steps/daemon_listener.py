"""Steps that check the listener with raw TCP clients."""

import errno
import json
import statistics
import time

import gevent
from behave import given, then, when
from gevent import socket

from features.support.stub_core import StubCore, start_instance
from lavenderhook._internal.adapters.transport import Connection, HttpClient
from lavenderhook._internal.core.events import RequestAbandoned, RequestArrived
from lavenderhook._internal.daemon.logs import LineWriter

POST = b"POST /service/desk/x HTTP/1.1\r\nHost: entry\r\nAuthorization: Bearer token-of-desk\r\n"
MESSAGES = {
    "a body above the limit": POST + b"Content-Length: 100001\r\n\r\n" + b"x" * 5000,
    "a chunked body above the limit": POST
    + b"Transfer-Encoding: chunked\r\n\r\n"
    + (b"4000\r\n" + b"x" * 0x4000 + b"\r\n") * 8,
    "headers above the limit": POST + b"X-Filler: 12345678\r\n" * 500 + b"\r\n",
    "a request line above the limit": b"GET /" + b"x" * 5000 + b" HTTP/1.1\r\n\r\n",
    "a request line of two words": b"GET /healthz\r\n\r\n",
    "a header without a colon": POST + b"Broken\r\n\r\n",
    "a control byte in the target": POST.replace(b" HTTP", b"\x01 HTTP") + b"\r\n",
    "a length of 30 digits": POST + b"Content-Length: " + b"9" * 30 + b"\r\n\r\n",
    "a space before a colon": POST + b"Content-Length : 3\r\n\r\nabc",
    "a folded header": POST + b"X-Long: a\r\n b\r\n\r\n",
    "two lengths": POST + b"Content-Length: 3\r\nContent-Length: 4\r\n\r\nabcd",
    "a length and chunks": POST
    + b"Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
    "a negative length": POST + b"Content-Length: -3\r\n\r\n",
    "a body that ends early": POST + b"Content-Length: 10\r\n\r\nabc",
    "a malformed chunk": POST + b"Transfer-Encoding: chunked\r\n\r\nzz\r\nabc\r\n",
    "a head that never ends": POST,
    "a head in slow single bytes": POST + b"X-Slow: " + b"x" * 200,
    "a body that never begins": POST + b"Content-Length: 10\r\n\r\n",
    "a body that never ends": POST + b"Content-Length: 10\r\n\r\nabc",
}
BYTE_INTERVAL_SECONDS = 0.01
BEHAVIOURS = {
    "answers every request": "refuse",
    "answers no request": "ignore",
    "fails at every request": "fail",
}
CONNECT_SECONDS = 0.5  # on the loopback interface
CREDENTIAL = ("Authorization", "Bearer token-of-desk")


@given("a running instance whose core {behaviour}")
def step_instance(context, behaviour):
    context.core = StubCore(BEHAVIOURS[behaviour])
    context.daemon = start_instance(context, context.core)


def connect(context):
    """Return a raw connection to the instance."""
    sock = socket.create_connection(context.daemon.listener.address)
    sock.settimeout(5)
    context.add_cleanup(sock.close)
    return sock


def receive_all(sock):
    """Return all bytes until the other side closes the connection."""
    received = b""
    while data := sock.recv(65536):
        received += data
    return received


@when("a raw TCP client sends {name}")
def step_send(context, name):
    sock = connect(context)
    message = MESSAGES[name]
    if "single bytes" in name:
        gevent.spawn(send_slowly, sock, message)
    else:
        sock.sendall(message)
    if name == "a body that ends early":
        sock.shutdown(socket.SHUT_WR)
    received = receive_all(sock)
    head, _, context.reply_body = received.partition(b"\r\n\r\n")
    context.reply_status = int(head.split(b" ")[1])


def send_slowly(sock, message):
    """Send byte by byte, so that no single read times out."""
    try:
        sock.sendall(message[: len(POST)])
        for position in range(len(POST), len(message)):
            sock.sendall(message[position : position + 1])
            gevent.sleep(BYTE_INTERVAL_SECONDS)
    except OSError:
        return


@then("its connection is closed after status {status:d} with error {code}")
@then("it gets status {status:d} with error {code}")
def step_error(context, status, code):
    assert context.reply_status == status, (context.reply_status, context.reply_body)
    fields = json.loads(context.reply_body)
    assert fields["error"] == code and fields["message"], fields


@then("no request has arrived at the core")
def step_not_arrived(context):
    assert not context.core.list_events(RequestArrived)
    assert len(context.daemon.calls) == 0


def send_request(context, *headers):
    """Send a request through the client and keep its reply."""
    client = HttpClient("test", timeout=5)
    context.add_cleanup(client.close)
    names = {name.lower() for name, _ in headers}
    credential = () if "authorization" in names else (CREDENTIAL,)
    answer = client.call(
        context.daemon.listener.location,
        "POST",
        "/service/desk/x",
        b"question",
        (*credential, *headers),
    )
    context.reply_status, context.reply_body = answer.status, answer.body
    return answer


@when("a request has the header {header}")
def step_header(context, header):
    name, _, value = header.partition(": ")
    send_request(context, (name, value))


@when("a request is sent")
def step_request(context):
    send_request(context)


@when("{count:d} requests are sent one after another in two parts each")
def step_two_parts(context, count):
    connection = Connection(context.daemon.listener.location, 1)
    context.add_cleanup(connection.close)
    context.client_nodelay = connection.is_nodelay()
    (handler,) = wait_for_handlers(context)
    context.server_nodelay = handler.socket.getsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY)
    sock = connect(context)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    context.exchange_times = []
    for _ in range(count):
        started = time.monotonic()
        sock.sendall(POST + b"Content-Length: 5\r\n")
        sock.sendall(b"\r\nhello")
        received = b""
        while b"no-such-service" not in received:
            received += sock.recv(65536)
        context.exchange_times.append(time.monotonic() - started)


def wait_for_handlers(context):
    """Return the handlers of the accepted connections once there is one."""
    with gevent.Timeout(2):
        while not context.daemon.listener.handlers:
            gevent.sleep(0.005)
    return context.daemon.listener.handlers


@then("TCP_NODELAY is set on both sides and the median exchange takes less than {limit:d} ms")
def step_nodelay(context, limit):
    assert context.client_nodelay and context.server_nodelay
    median = statistics.median(context.exchange_times) * 1000
    assert median < limit, f"{median:.1f} ms"


@when("a caller sends a request and closes its connection")
def step_abandon(context):
    sock = connect(context)
    sock.sendall(POST + b"Content-Length: 2\r\nlavenderhook-deadline-ms: 900\r\n\r\nok")
    with gevent.Timeout(2):
        while not context.core.list_events(RequestArrived):
            gevent.sleep(0.005)
    sock.close()


@then("the core receives exactly one RequestAbandoned event")
def step_abandoned(context):
    gevent.sleep(0.8)
    (arrived,) = context.core.list_events(RequestArrived)
    (abandoned,) = context.core.list_events(RequestAbandoned)
    assert abandoned.ticket == arrived.head.ticket
    assert abandoned.now < arrived.head.deadline


@when("a request has a deadline of {milliseconds:d} ms")
def step_deadline(context, milliseconds):
    context.started = time.monotonic()
    context.reply = send_request(context, ("lavenderhook-deadline-ms", str(milliseconds)))


@then("it gets status {status:d} with the outcome {outcome} within {seconds:d} s")
def step_outcome(context, status, outcome, seconds):
    assert time.monotonic() - context.started < seconds
    assert context.reply.status == status
    assert context.reply.get_header("lavenderhook-outcome") == outcome


@then("the instance still answers health checks")
def step_healthy(context):
    client = HttpClient("test")
    context.add_cleanup(client.close)
    location = context.daemon.listener.location
    assert client.call(location, "GET", "/healthz").status == 200
    metrics = client.call(location, "GET", "/metrics")
    assert b"lavenderhook_reduce_seconds_count" in metrics.body


class BlockingStream:
    """Stream whose writes block, as with a reader that has stopped reading."""

    def write(self, _text):
        """Block the calling thread."""
        time.sleep(1.0)

    def flush(self):
        """Do nothing."""


@given("a log writer whose stream blocks")
def step_blocking_log(context):
    context.writer = LineWriter(BlockingStream())
    context.writer.start()


@when("{count:d} lines are added")
def step_add_lines(context, count):
    started = time.monotonic()
    for number in range(count):
        context.writer.add(f"{number}\n")
        gevent.sleep(0.001)
    context.adding_seconds = time.monotonic() - started


@then("adding them takes less than {seconds:g} s")
def step_added(context, seconds):
    assert context.adding_seconds < seconds, context.adding_seconds


@when("it drains, and a caller connects between the last accept and the close")
def step_connect_while_closing(context):
    listener = context.daemon.listener
    context.early = connect(context)
    accept = listener._accept_established

    def accept_and_connect():
        accept()
        late = context.late = socket.socket()
        context.add_cleanup(late.close)
        late.settimeout(CONNECT_SECONDS)
        context.late_error = late.connect_ex(listener.address)

    listener._accept_established = accept_and_connect
    context.daemon._drain_listener()


@then("the caller's connection is not established")
def step_not_established(context):
    assert context.late_error in (errno.EAGAIN, errno.ETIMEDOUT), context.late_error


@then("a connection from before is answered")
def step_early_answered(context):
    context.early.sendall(b"GET /healthz HTTP/1.1\r\nHost: entry\r\n\r\n")
    assert context.early.recv(100).startswith(b"HTTP/1.1 200")
