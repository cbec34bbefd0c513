"""HTTP listener for callers, operators, peers, health checks and metrics."""

from __future__ import annotations

import contextlib
import errno
import itertools
import re
import socket as sockets
import time
from collections.abc import Callable, Iterable, Mapping
from http import HTTPStatus
from typing import Any

import gevent
import gevent.pool
import msgspec
from gevent.pywsgi import WSGIHandler, WSGIServer

from ...errors import (
    IntakeFullError,
    LavenderhookError,
    NotReadyError,
    PayloadTooLargeError,
    ProtocolError,
    RequestTimeoutError,
)
from .bodies import BodyReader, BoundedInput
from .intake import BodyBudget, ConnectionId, Limit, Phase, choose_connection_to_close
from .socket_filters import drop_new_connections

BACKLOG = 1024
MAX_SINGLE_SEND_BYTES = 65536  # up to this size, headers and body are sent in one call
READ_BLOCK_BYTES = 65536
SEND_BLOCK_BYTES = 65536
RETRY_AFTER_HEADERS = (("Retry-After", "1"),)
# Connections above the limit serve only peers, operators and health checks.
RESERVED_CONNECTIONS = 256
RESERVED_PREFIXES = ("/peer/", "/operator/", "/healthz", "/readyz", "/metrics")
# Of the connections. A short field takes some twelve times its bytes when parsed.
CROWDED_SHARE = 1 / 4
LINGER_SECONDS = 1.0
LINGER_BYTES = 1024 * 1024
HEAD_END = b"\r\n\r\n"
VERSIONS = frozenset({"HTTP/1.0", "HTTP/1.1"})
# Headers whose repetition would change the meaning of a request.
SINGLE_FIELDS = frozenset(
    {"authorization", "content-length", "host", "lavenderhook-request-id", "transfer-encoding"}
)
STATUS_LINES = {status.value: f"{status.value} {status.phrase}" for status in HTTPStatus}
_TOKEN = re.compile(r"[!#$%&'*+\-.^_`|~0-9A-Za-z]+\Z")
_TARGET = re.compile(r"/[\x21-\x7e\x80-\xff]*\Z")
_LENGTH = re.compile(r"[0-9]{1,100}\Z")
_VALUE = re.compile(r"[\t\x20-\x7e\x80-\xff]*\Z")
JSON_TYPE = "application/json"
REFUSING_LIMITS: dict[type[LavenderhookError], Limit] = {
    PayloadTooLargeError: Limit.REQUEST_SIZE,
    RequestTimeoutError: Limit.REQUEST_TIME,
}
_connection_numbers = itertools.count()

Environ = dict[str, Any]


class Reply(msgspec.Struct, frozen=True, kw_only=True):
    """HTTP response that a route returns."""

    status: int = 200
    headers: tuple[tuple[str, str], ...] = ()
    body: bytes = b""


def reply_json(value: object, status: int = 200, headers: Iterable[tuple[str, str]] = ()) -> Reply:
    """Return a reply that carries a JSON value."""
    body = msgspec.json.encode(value, enc_hook=str)
    return Reply(status=status, headers=(("Content-Type", JSON_TYPE), *headers), body=body)


def reply_error(error: LavenderhookError, headers: Iterable[tuple[str, str]] = ()) -> Reply:
    """Return the reply that reports a failure."""
    return reply_json(error.to_fields(), error.http_status, headers)


class HttpRequest:
    """One request as passed to routes.

    Attributes
    ----------
    method, path, query : str
    headers : mapping of str to str
        Header names in lower case.
    """

    __slots__ = ("_environ", "_limits", "headers", "method", "path", "query")

    def __init__(self, environ: Environ, limits: ListenerLimits) -> None:
        self._environ = environ
        self._limits = limits
        self.method: str = environ["REQUEST_METHOD"]
        # The raw path is kept, so that an upstream receives it exactly as the caller sent it.
        self.path, _, self.query = environ["lavenderhook.target"].partition("?")
        self.headers: Mapping[str, str] = environ["lavenderhook.headers"]

    def read_body(self, extra_bytes: int = 0) -> bytes:
        """Return the whole body, which may exceed the limit by `extra_bytes`.

        Raises
        ------
        PayloadTooLargeError, RequestTimeoutError
            If the sender exceeds a limit.
        ProtocolError
            If the body ends before its Content-Length.
        """
        expected: int | None = self._environ["lavenderhook.length"]
        if expected is None and "transfer-encoding" not in self.headers:
            return b""
        limit = self._limits.body_bytes + extra_bytes
        if expected is not None and expected > limit:
            self._close_after_reply()
            raise PayloadTooLargeError(f"the body has {expected} bytes, the limit is {limit}")
        handler: Handler = self._environ["lavenderhook.handler"]
        try:
            if expected is not None and handler.has_buffered(expected):
                body = self._environ["wsgi.input"].read(expected)
            else:
                timeout_error = RequestTimeoutError("the request body was not complete in time")
                try:
                    with gevent.Timeout(self._limits.read_seconds, timeout_error):
                        body = handler.read_body(limit, expected)
                finally:
                    del timeout_error  # its traceback refers to this frame
        except (LavenderhookError, OSError) as error:
            if isinstance(error, IntakeFullError):
                handler.server.report_limit(Limit.BODY_BUDGET, handler)
            handler.body_reader.release()
            self._close_after_reply()
            if isinstance(error, LavenderhookError):
                raise
            raise ProtocolError(f"the body cannot be read: {error}") from error
        if expected is not None and len(body) != expected:
            self._close_after_reply()
            raise ProtocolError(f"the body has {len(body)} of {expected} bytes")
        return body

    def _close_after_reply(self) -> None:
        """Close the connection after the reply, because the rest of the body is not read."""
        self._environ["lavenderhook.handler"].abandon_input()

    def is_disconnected(self) -> bool:
        """Return whether the sender has closed its connection."""
        return self._environ["lavenderhook.handler"].is_peer_closed()


class ListenerLimits(msgspec.Struct, frozen=True, kw_only=True):
    """Limits on requests and connections; durations are in seconds.

    Parameters
    ----------
    connections : int
        Above it, callers' requests are refused, and connections are closed if `closes_stalled`.
    reserved_connections : int
        Further connections, which serve only peers, operators and health checks.
    header_fields : int or None
        Of one request while the listener is crowded; otherwise, and if it is None, as many as
        `header_bytes` allows.
    write_seconds : float or None
        In which a client has to take each block of `SEND_BLOCK_BYTES` of a response; None for no
        limit.
    unread_body_bytes : int or None
        Of a body that its route does not read, up to which the connection is used further if they
        arrive within `read_seconds`; None for no limit.
    receive_buffer_bytes : int
        Size that the kernel is asked for, as it holds what has not been read; 0 for its default.
    closes_stalled : bool
        Whether a new connection above the limit closes the one that has been idle, or made no
        progress, for the longest time.
    keeps_idle : bool
        Whether incomplete requests are closed before idle connections.
    """

    body_bytes: int
    header_bytes: int
    line_bytes: int
    read_seconds: float
    idle_seconds: float
    connections: int
    header_fields: int | None = None
    reserved_connections: int = RESERVED_CONNECTIONS
    write_seconds: float | None = None
    unread_body_bytes: int | None = None
    receive_buffer_bytes: int = 0
    closes_stalled: bool = False
    keeps_idle: bool = False


Route = Callable[[HttpRequest], Reply]


class Handler(WSGIHandler):
    """Handler of one accepted connection.

    The head of a request is parsed here instead of by the base class, whose parser accepts folded
    and duplicate headers, has no time limit and takes several times as long.
    """

    server: Listener

    def __init__(self, sock: Any, address: Any, server: Listener, rfile: Any = None) -> None:
        # Without TCP_NODELAY the last segment of a response waits for a delayed ACK (40 ms).
        sock.setsockopt(sockets.IPPROTO_TCP, sockets.TCP_NODELAY, 1)
        super().__init__(sock, address, server, rfile)
        self._fields: dict[str, str] = {}
        self._input_abandoned = False
        self._buffered_body = 0
        self._is_sent_ahead = False  # the next request arrived together with the last one
        self.id = ConnectionId(next(_connection_numbers))
        self.body_reader = BodyReader(self.id, sock, self.rfile, server.budget)
        self.enter(Phase.IDLE)

    def enter(self, phase: Phase) -> None:
        """Note what the connection waits for from now on."""
        self.phase = phase
        self.phase_began_at = time.monotonic()

    def handle(self) -> None:
        """Serve the connection; connection errors are ignored."""
        self.server.admit(self)
        try:
            super().handle()
        except OSError:
            pass
        finally:
            self.server.handlers.discard(self)
            self.body_reader.release()
            # References of the handler to itself; full collections are rare.
            self.__dict__.pop("environ", None)
            self.__dict__.pop("_head_timeout", None)

    def handle_one_request(self) -> Any:
        """Read a request within the time and size limits and answer it."""
        limits = self.server.limits
        self.enter(Phase.IDLE)
        try:
            with gevent.Timeout(limits.idle_seconds):
                if not self.rfile.peek(1):
                    return None
        except (OSError, ValueError, gevent.Timeout):
            return None
        self.enter(Phase.READING)
        if self._is_sent_ahead:
            gevent.sleep(0)  # without a pause, they would keep the event loop busy
        timeout_error = RequestTimeoutError("the request head was not complete in time")
        self._head_timeout = gevent.Timeout(limits.read_seconds, timeout_error)
        del timeout_error  # its traceback refers to this frame
        buffered = self.rfile.peek(1)
        head_end = buffered.find(HEAD_END)
        if head_end < 0:
            self._head_timeout.start()
        # Peeking later would block once the buffer is empty.
        self._buffered_body = len(buffered) - head_end - len(HEAD_END) if head_end >= 0 else 0
        try:
            result = super().handle_one_request()
            self._is_sent_ahead = self._buffered_body > (self.content_length or 0)
        except LavenderhookError as error:
            result = self._handle_client_error(error)
        finally:
            self._head_timeout.close()
            self.body_reader.release()
        if self._input_abandoned or isinstance(result, tuple):
            return self._linger(result)
        return result

    def log_request(self) -> None:
        """Write nothing; decisions are logged by the core."""

    def has_buffered(self, size: int) -> bool:
        """Return whether a body of this size arrived together with its head."""
        return size <= self._buffered_body

    def read_body(self, limit: int, expected: int | None) -> bytes:
        """Return a body that arrives in several parts; for errors see `BodyReader.read`."""
        self.enter(Phase.READING)
        body = self.body_reader.read(self.wsgi_input, limit, expected)
        self.enter(Phase.ANSWERING)
        return body

    def read_requestline(self) -> str:
        """Return the request line.

        Raises
        ------
        PayloadTooLargeError
            If it exceeds the limit.
        """
        limit = self.server.limits.line_bytes
        line = self.rfile.readline(limit + 1)
        if len(line) > limit:
            raise PayloadTooLargeError(f"the request line exceeds {limit} bytes")
        return line.decode("latin-1")

    def read_request(self, raw_requestline: str) -> bool:
        """Parse the head of a request.

        Raises
        ------
        ProtocolError, PayloadTooLargeError
            If it is malformed or too large.
        """
        self.requestline = raw_requestline.rstrip("\r\n")
        words = self.requestline.split(" ")
        if len(words) != 3 or words[2] not in VERSIONS or not _TARGET.match(words[1]):
            raise ProtocolError("malformed request line")
        self.command, self.path, self.request_version = words
        self._fields = self._read_fields()
        self.content_length = self._read_length()
        connection = self._fields.get("connection", "").lower()
        if self.request_version == "HTTP/1.0":
            self.close_connection = connection != "keep-alive"
        else:
            self.close_connection = connection == "close"
        self._head_timeout.close()
        return True

    def _read_fields(self) -> dict[str, str]:
        limits = self.server.limits
        fields: dict[str, str] = {}
        size = 0
        while True:
            line = self.rfile.readline(limits.line_bytes + 1)
            size += len(line)
            if len(line) > limits.line_bytes or size > limits.header_bytes:
                raise PayloadTooLargeError(f"the headers exceed {limits.header_bytes} bytes")
            if line in (b"\r\n", b"\n"):
                return fields
            if not line.endswith(b"\n"):
                raise ProtocolError("truncated headers")
            name, colon, value = line.decode("latin-1").rstrip("\r\n").partition(":")
            if not colon or not _TOKEN.match(name) or not _VALUE.match(value):
                raise ProtocolError(f"malformed header {name[:80]!r}")
            name = name.lower()
            if name in fields and name in SINGLE_FIELDS:
                raise ProtocolError(f"header {name!r} is given twice")
            value = value.strip(" \t")
            fields[name] = f"{fields[name]}, {value}" if name in fields else value
            if (
                limits.header_fields is not None
                and len(fields) > limits.header_fields
                and self.server.is_crowded()
            ):
                raise PayloadTooLargeError(f"the head exceeds {limits.header_fields} fields")

    def _read_length(self) -> int | None:
        coding = self._fields.get("transfer-encoding")
        text = self._fields.get("content-length")
        if coding is not None and (text is not None or coding.lower() != "chunked"):
            # Ambiguous framing would allow request smuggling.
            raise ProtocolError("the length of the body is ambiguous")
        if text is None:
            return None
        if not _LENGTH.match(text):
            raise ProtocolError("malformed Content-Length")
        return int(text)

    def get_environ(self) -> Environ:
        """Return the environment of the request."""
        expects_continue = self._fields.get("expect", "").lower() == "100-continue"
        self.wsgi_input = BoundedInput(
            self.rfile,
            self.content_length,
            socket=self.socket if expects_continue else None,
            chunked_input="transfer-encoding" in self._fields,
        )
        limits = self.server.limits
        bounds_rest = limits.unread_body_bytes is not None
        self.wsgi_input.discard_seconds = limits.read_seconds if bounds_rest else None
        self.wsgi_input.on_late_rest = self._close_after_late_rest
        return {
            "REQUEST_METHOD": self.command,
            "wsgi.input": self.wsgi_input,
            "lavenderhook.handler": self,
            "lavenderhook.headers": self._fields,
            "lavenderhook.target": self.path,
            "lavenderhook.length": self.content_length,
        }

    def _write_with_headers(self, data: bytes) -> None:
        if len(data) > MAX_SINGLE_SEND_BYTES or self.response_use_chunked:
            super()._write_with_headers(data)
            return
        self.headers_sent = True
        self.finalize_headers()
        lines = [b"HTTP/1.1 " + self.status]
        lines.extend(name + b": " + value for name, value in self.response_headers)
        # One call sends one segment instead of two.
        self._sendall(b"\r\n".join(lines) + b"\r\n\r\n" + data)

    def _sendall(self, data: bytes) -> None:
        """Send a part of a response; a client that does not read it is closed in time."""
        self.enter(Phase.WRITING)
        self.socket.settimeout(self.server.limits.write_seconds)
        blocks = memoryview(data)
        try:
            # The time limit holds for each call.
            for start in range(0, len(blocks), SEND_BLOCK_BYTES):
                super()._sendall(blocks[start : start + SEND_BLOCK_BYTES])
        except TimeoutError as error:
            self.server.report_limit(Limit.RESPONSE_TIME, self)
            raise ConnectionResetError(errno.ECONNRESET, "the response was not read") from error
        finally:
            self.socket.settimeout(None)

    def _close_after_late_rest(self) -> None:
        # What arrives later would be taken for the next request.
        self.close_connection = True
        self.server.report_limit(Limit.UNREAD_BODY, self)

    def has_large_rest(self) -> bool:
        """Return whether too much of the body is unread for the connection to be used further."""
        limit = self.server.limits.unread_body_bytes
        return limit is not None and self.wsgi_input.has_large_rest(self._buffered_body, limit)

    def abandon_input(self) -> None:
        """Leave the rest of the request's body unread and close the connection afterwards."""
        self.close_connection = True
        self._input_abandoned = True
        self.wsgi_input = BoundedInput(self.rfile, 0)

    def close_now(self) -> None:
        """Close the connection in whatever phase it is."""
        with contextlib.suppress(OSError):
            self.socket.shutdown(sockets.SHUT_RDWR)

    def close_if_idle(self) -> None:
        """Close the connection unless a request is being answered or has begun to arrive."""
        if self.is_silent():
            self.close_now()

    def is_silent(self) -> bool:
        """Return whether the connection is idle and open, and nothing has arrived on it."""
        if self.phase is not Phase.IDLE:
            return False
        try:
            self.socket._sock.recv(1, sockets.MSG_PEEK | sockets.MSG_DONTWAIT)
        except BlockingIOError:
            return True
        except OSError:
            pass  # closed by the other side
        return False

    def is_peer_closed(self) -> bool:
        """Return whether the other side has closed the connection."""
        try:
            flags = sockets.MSG_PEEK | sockets.MSG_DONTWAIT
            return not self.socket._sock.recv(1, flags)
        except BlockingIOError:
            return False
        except OSError:
            return True

    def _linger(self, result: Any) -> None:
        """Send a last response and keep reading for up to `LINGER_SECONDS`.

        Closing a socket with unread bytes resets the connection, and the other side could lose
        the response.
        """
        if isinstance(result, tuple):
            self.enter(Phase.WRITING)
            with gevent.Timeout(self.server.limits.write_seconds, False):
                self.socket.sendall(result[1])
        self.enter(Phase.CLOSING)
        self.socket.shutdown(sockets.SHUT_WR)
        remaining = LINGER_BYTES
        with gevent.Timeout(LINGER_SECONDS, False):
            while remaining > 0 and (data := self.socket.recv(READ_BLOCK_BYTES)):
                remaining -= len(data)

    def _handle_client_error(self, ex: Exception) -> tuple[str, bytes]:
        error = ex if isinstance(ex, LavenderhookError) else ProtocolError(str(ex))
        self.server.count_rejection(error)
        self.server.report_refusal(error, self)
        reply = reply_error(error)
        head = (
            f"HTTP/1.1 {reply.status} {HTTPStatus(reply.status).phrase}\r\n"
            f"Content-Type: {JSON_TYPE}\r\nContent-Length: {len(reply.body)}\r\n"
            "Connection: close\r\n\r\n"
        )
        return str(reply.status), head.encode() + reply.body


class Listener(WSGIServer):
    """The listener of the process.

    Parameters
    ----------
    address : tuple of (str, int)
    limits : ListenerLimits
    route : callable
        Answers a request; may raise any `LavenderhookError`.
    log_failure : callable
        Logs unexpected failures of routes; called with (context, error).
    budget : BodyBudget, optional
        Bounds the bytes of bodies, together with other listeners.
    report_limit : callable, optional
        Called with (limit, address of the client) when a limit refuses a request or closes a
        connection.
    """

    handler_class = Handler

    def __init__(
        self,
        address: tuple[str, int],
        limits: ListenerLimits,
        route: Route,
        log_failure: Callable[[str, BaseException], None],
        *,
        budget: BodyBudget | None = None,
        report_limit: Callable[[Limit, str], None] | None = None,
    ) -> None:
        # Setting the server name avoids a resolver look-up.
        super().__init__(
            address,
            self._run,
            backlog=BACKLOG,
            log=None,
            spawn=gevent.pool.Pool(limits.connections + limits.reserved_connections),
            environ={"SERVER_NAME": address[0]},
        )
        self.limits = limits
        self.budget = budget or BodyBudget()
        self.handlers: set[Handler] = set()
        self.is_draining = False
        self.refusals: dict[str, int] = {}
        self._route = route
        self._log_failure = log_failure
        self._report_limit = report_limit

    def init_socket(self) -> None:
        """Create the listening socket, from which connections inherit the size of their buffer."""
        super().init_socket()
        size = self.limits.receive_buffer_bytes
        if not size:
            return
        try:
            self.socket.setsockopt(sockets.SOL_SOCKET, sockets.SO_RCVBUF, size)
        except OSError as error:  # the system's own size holds more
            self._log_failure("limiting the receive buffers", error)

    def admit(self, handler: Handler) -> None:
        """Add a connection; close a stalled one for it if there are too many."""
        if self.limits.closes_stalled and len(self.handlers) >= self.limits.connections:
            stalled = self._choose_stalled()
            while stalled and stalled.phase is Phase.IDLE and not stalled.is_silent():
                # A request has arrived that its greenlet has not begun to read.
                stalled.enter(Phase.READING)
                stalled = self._choose_stalled()
            if stalled is not None:
                # Its greenlet ends later, and must not be chosen again by then.
                self.handlers.discard(stalled)
                self.report_limit(Limit.CONNECTIONS, stalled)
                stalled.close_now()
        self.handlers.add(handler)

    def is_crowded(self) -> bool:
        """Return whether so many connections are open that their requests have to be small."""
        return len(self.handlers) > self.limits.connections * CROWDED_SHARE

    def _choose_stalled(self) -> Handler | None:
        keeps_idle = self.limits.keeps_idle
        return choose_connection_to_close(self.handlers, time.monotonic(), keeps_idle=keeps_idle)

    def report_limit(self, limit: Limit, handler: Handler) -> None:
        """Report that a limit has refused a request or closed a connection."""
        if self._report_limit is not None:
            self._report_limit(limit, str(handler.client_address[0]))

    def report_refusal(self, error: LavenderhookError, handler: Handler) -> None:
        """Report the limit because of which a request was refused, if it was one."""
        limit = REFUSING_LIMITS.get(type(error))
        if limit is not None:
            self.report_limit(limit, handler)

    @property
    def location(self) -> str:
        """Return ``ip:port`` of the listener."""
        return f"{self.server_host}:{self.server_port}"

    def count_rejection(self, error: LavenderhookError) -> None:
        """Count a request that was refused before it reached a route."""
        self.refusals[error.code] = self.refusals.get(error.code, 0) + 1

    def drain(self, *, drops_new_connections: bool = False) -> None:
        """Accept no new connections; callers' open ones are closed after their next response.

        Connections of peers stay open, since grants and heartbeats are exchanged over them until
        the process stops.

        Parameters
        ----------
        drops_new_connections : bool
            Whether no connection may be established between the last accept and the close, where
            it would be reset. Needless if a balancer sends no new connections by then.
        """
        self.is_draining = True
        self.stop_accepting()
        if drops_new_connections:
            try:
                drop_new_connections(self.socket)
            except OSError as error:  # connections of these microseconds are reset
                self._log_failure("dropping new connections", error)
        self._accept_established()
        self.close()

    def close_idle(self) -> None:
        """Close the connections on which no request is being answered."""
        for handler in list(self.handlers):
            handler.close_if_idle()

    def _accept_established(self) -> None:
        """Accept the connections that the kernel has already established.

        Closing the socket would reset them, and their callers may have sent a request already.
        """
        while True:
            accepted = self.do_read()
            if not accepted:
                return
            self.do_handle(*accepted)

    def _run(self, environ: Environ, start_response: Callable[..., Any]) -> list[bytes]:
        handler: Handler = environ["lavenderhook.handler"]
        handler.enter(Phase.ANSWERING)
        incoming = HttpRequest(environ, self.limits)
        is_full = len(self.handlers) > self.limits.connections
        is_reserved = incoming.path.startswith(RESERVED_PREFIXES)
        try:
            if is_full and not is_reserved:
                self.report_limit(Limit.CONNECTIONS, handler)
                refusal = IntakeFullError if self.limits.closes_stalled else NotReadyError
                raise refusal("the instance has no free connections")
            reply = self._route(incoming)
        except IntakeFullError as error:
            reply = reply_error(error, RETRY_AFTER_HEADERS)
        except LavenderhookError as error:
            self.report_refusal(error, handler)
            reply = reply_error(error)
        except Exception as error:  # the caller of a faulty route must still get a reply
            self._log_failure(f"answering {incoming.path}", error)
            reply = reply_error(LavenderhookError("the request could not be processed"))
        if handler.has_large_rest():
            self.report_limit(Limit.UNREAD_BODY, handler)
            handler.abandon_input()
        headers = list(reply.headers)
        closes_connection = handler._input_abandoned or (
            (self.is_draining or is_full) and not incoming.path.startswith("/peer/")
        )
        if closes_connection:
            headers.append(("Connection", "close"))
        start_response(STATUS_LINES.get(reply.status, f"{reply.status} Status"), headers)
        if incoming.path.startswith("/peer/"):
            # Peers do not use the Date header; leaving it out saves bytes.
            handler.provided_date = ""
        return [reply.body]
