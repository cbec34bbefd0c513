"""HTTP client connections that track exactly what was sent and received.

The response parser is geventhttpclient's. Its pooled client is not used, because it retries a
request by itself after a broken connection and does not distinguish a request that was never sent
from one that may have run.
"""

from __future__ import annotations

import contextlib
import re
import socket as sockets
import time
from collections.abc import Callable, Iterable, Iterator

import gevent.lock
import gevent.socket
import msgspec
from geventhttpclient.response import HTTPParseError, HTTPProtocolViolationError, HTTPResponse

from ...errors import AddressError, LavenderhookError, TransportError, TruncatedAnswerError
from ..ports.transfers import Transfer

READ_BLOCK_BYTES = 65536
# A retransmitted SYN takes 1 s, so a lost one counts as a failure.
CONNECT_TIMEOUT_SECONDS = 1.0
FIRST_FINAL_STATUS = 200
MAX_RESPONSE_BYTES = 64 * 1024 * 1024  # bounds the memory that an endless response takes
# Shorter than the idle time-outs of common servers, so that a request is rarely sent on a
# connection that the other side is closing: such a request may or may not have run.
MAX_IDLE_SECONDS = 30.0
MAX_PORT = 65535
MAX_HOST_CHARACTERS = 253
# An IPv4 address or a host name; the path has no spaces and no control characters.
_ADDRESS = re.compile(
    r"(?P<host>[A-Za-z0-9_-]{1,63}(\.[A-Za-z0-9_-]{1,63})*):(?P<port>[0-9]{1,5})(?P<path>(/[!-~]*)?)"
)
_NOT_IN_HEAD = re.compile(r"[^\t -~\x80-\xff]")
Headers = Iterable[tuple[str, str]]
CountTraffic = Callable[[str, str, int, int], None]


class ExchangeTimeoutError(LavenderhookError):
    """The response was not complete at the deadline; reading may continue."""

    code = "exchange-timeout"
    http_status = 504


class ClientResponse(msgspec.Struct, frozen=True):
    """A complete response; header names are in lower case."""

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes

    def get_header(self, name: str) -> str | None:
        """Return the first value of a header, given in lower case, or None."""
        for key, value in self.headers:
            if key == name:
                return value
        return None


class _SingleResponse(HTTPResponse):
    """Parser that rejects a second response in the same exchange.

    The base class starts over when bytes follow a complete response, which would mix the headers
    and bodies of two responses.
    """

    finished = False

    def _on_message_begin(self) -> None:
        if self.finished:
            raise HTTPProtocolViolationError("bytes follow a complete response")
        super()._on_message_begin()

    def _on_message_complete(self) -> None:
        super()._on_message_complete()
        self.finished = self.get_code() >= FIRST_FINAL_STATUS


def split_address(address: str) -> tuple[str, int, str]:
    """Split ``host:port/path`` into host, port and path (without its final slash).

    Raises
    ------
    AddressError
        If no connection can be made to it, or its path can't be part of a request.
    """
    match = _ADDRESS.fullmatch(address)
    if match is None or len(match["host"]) > MAX_HOST_CHARACTERS:
        raise AddressError(address)
    port = int(match["port"])
    if not 1 <= port <= MAX_PORT:
        raise AddressError(address)
    return match["host"], port, match["path"].rstrip("/")


def build_request(method: str, target: str, host: str, headers: Headers, body: bytes) -> bytes:
    """Return the bytes of a request, in one buffer so that a small one fits in one segment.

    Raises
    ------
    TransportError
        If a part of the head has characters that would end a line or can't be sent.
    """
    lines = [f"{method} {target} HTTP/1.1", f"Host: {host}"]
    lines.extend(f"{name}: {value}" for name, value in headers)
    if body or method not in ("GET", "HEAD", "DELETE"):
        lines.append(f"Content-Length: {len(body)}")
    for line in lines:
        if _NOT_IN_HEAD.search(line):
            raise TransportError(f"{line[:100]!r} can't be part of a request's head", sent=False)
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body


class Connection:
    """One connection that carries one exchange at a time.

    Attributes
    ----------
    sent_bytes, received_bytes : int
        Bytes of the current exchange.
    reusable : bool
        Whether the connection may carry another exchange: the last response is complete and the
        server keeps the connection open.
    recipient : object
        What the other side has said of itself on this connection, for callers that have to know
        which process is there; None until they set it.
    """

    def __init__(self, address: str, timeout: float) -> None:
        host, port, _ = split_address(address)
        self.sent_bytes = 0
        self.received_bytes = 0
        self.reusable = False
        self.idle_since = 0.0
        self.recipient: object = None
        self._parser: _SingleResponse | None = None
        self._socket = gevent.socket.socket(sockets.AF_INET, sockets.SOCK_STREAM)
        try:
            # Without TCP_NODELAY the last segment of a request waits for a delayed ACK (40 ms).
            self._socket.setsockopt(sockets.IPPROTO_TCP, sockets.TCP_NODELAY, 1)
            self._socket.settimeout(max(timeout, 0.001))
            self._socket.connect((host, port))
        except (OSError, ValueError) as error:  # ValueError: a host name that can't be encoded
            self._socket.close()
            raise TransportError(f"connecting to {host}:{port}: {error}", sent=False) from error

    def is_usable(self) -> bool:
        """Return whether an idle connection is open and has no unread bytes."""
        try:
            self._socket._sock.recv(1, sockets.MSG_PEEK | sockets.MSG_DONTWAIT)
        except BlockingIOError:
            return True
        except OSError:
            return False
        return False

    def is_nodelay(self) -> bool:
        """Return whether small segments are sent at once."""
        return bool(self._socket.getsockopt(sockets.IPPROTO_TCP, sockets.TCP_NODELAY))

    def send(self, method: str, data: bytes, deadline: float) -> None:
        """Send a request.

        Parameters
        ----------
        method : str
            Method of the request.
        data : bytes
            The whole request.
        deadline : float
            Monotonic time in seconds.

        Raises
        ------
        TransportError
            ``sent`` is False only if the kernel accepted no byte.
        ExchangeTimeoutError
            If only a part was sent by the deadline.
        """
        self.reusable = False
        self.sent_bytes = self.received_bytes = 0
        self._parser = _SingleResponse(method)
        view = memoryview(data)
        try:
            while self.sent_bytes < len(data):
                self._socket.settimeout(max(deadline - time.monotonic(), 0.001))
                self.sent_bytes += self._socket.send(view[self.sent_bytes :])
        except TimeoutError as error:
            if self.sent_bytes > 0:
                raise ExchangeTimeoutError(
                    "the request was only partly sent by the deadline"
                ) from error
            raise TransportError("the request could not be sent in time", sent=False) from error
        except OSError as error:
            raise TransportError(f"sending: {error}", sent=self.sent_bytes > 0) from error

    def receive(self, deadline: float, transfer: Transfer | None = None) -> ClientResponse:
        """Read the response; may be called again after an `ExchangeTimeoutError`.

        Parameters
        ----------
        deadline : float
            Monotonic time in seconds.
        transfer : Transfer, optional
            Records what arrives. While bytes go on arriving, it extends the deadline.

        Raises
        ------
        ExchangeTimeoutError
            If the response is not complete at the deadline (monotonic time in seconds).
        TruncatedAnswerError
            If the body ended before its declared length. A body without a declared length cannot
            be known to be complete and counts as truncated.
        TransportError
            If the connection failed or the response is malformed.
        """
        parser = self._parser
        assert parser is not None, "receive was called before send"
        try:
            while not parser.finished:
                until = deadline if transfer is None else transfer.extend(deadline)
                remaining = until - time.monotonic()
                if remaining <= 0:
                    raise ExchangeTimeoutError("no complete response at the deadline")
                self._socket.settimeout(remaining)
                data = self._socket.recv(READ_BLOCK_BYTES)
                if not data:
                    raise self._build_closed_error(parser)
                self.received_bytes += len(data)
                if transfer is not None:
                    transfer.record(len(data))
                if self.received_bytes > MAX_RESPONSE_BYTES:
                    raise TransportError(
                        f"the response exceeds {MAX_RESPONSE_BYTES} bytes", sent=True
                    )
                parser.feed(data)
        except TimeoutError:
            raise ExchangeTimeoutError("no complete response at the deadline") from None
        except OSError as error:
            raise TransportError(f"receiving: {error}", sent=True) from error
        except (HTTPParseError, ValueError) as error:
            raise TransportError(f"malformed response: {error}", sent=True) from error
        return self._finish(parser)

    def _build_closed_error(self, parser: _SingleResponse) -> TransportError:
        if not parser.headers_complete:
            return TransportError("connection closed before the response", sent=True)
        return TruncatedAnswerError(parser.content_length, len(parser._body_buffer))

    def _finish(self, parser: _SingleResponse) -> ClientResponse:
        body = bytes(parser._body_buffer)
        length = parser.content_length
        if length is not None and parser.method != "HEAD" and length != len(body):
            raise TruncatedAnswerError(length, len(body))
        self.reusable = not parser.should_close()
        headers = tuple(_flatten(parser.headers))
        return ClientResponse(parser.get_code(), headers, body)

    def close(self) -> None:
        """Close the connection."""
        self.reusable = False
        self._socket.close()


def _flatten(headers: Iterable[tuple[str, object]]) -> Iterable[tuple[str, str]]:
    for name, value in headers:
        values = value if isinstance(value, list) else [value]
        for item in values:
            yield name.lower(), str(item)


class ConnectionPool:
    """Connections to one address, at most `size` at a time.

    A released connection is kept only if it is `reusable`; otherwise it is closed.
    """

    def __init__(self, address: str, size: int) -> None:
        self.address = address
        self._size = size
        self._semaphore = gevent.lock.BoundedSemaphore(size)
        self._idle: list[Connection] = []
        self.opened = 0

    def acquire(self, deadline: float) -> Connection:
        """Return an idle connection that was checked to be open, or a new one.

        Raises
        ------
        TransportError
            With ``sent=False`` if no connection is free at the deadline or none can be opened.
        """
        remaining = max(deadline - time.monotonic(), 0.0)
        if not self._semaphore.acquire(timeout=remaining):
            raise TransportError(f"no free connection to {self.address}", sent=False)
        while self._idle:
            connection = self._idle.pop()
            if connection.is_usable():
                return connection
            connection.close()
        try:
            connection = Connection(self.address, min(remaining, CONNECT_TIMEOUT_SECONDS))
        except BaseException:
            self._semaphore.release()
            raise
        self.opened += 1
        return connection

    def release(self, connection: Connection) -> None:
        """Return a connection to the pool; close it if it is not reusable."""
        if connection.reusable:
            connection.idle_since = time.monotonic()
            self._idle.append(connection)
        else:
            connection.close()
        self._semaphore.release()

    def close_expired(self) -> bool:
        """Close connections that are idle for too long; return whether any is left or in use."""
        limit = time.monotonic() - MAX_IDLE_SECONDS
        kept = [connection for connection in self._idle if connection.idle_since >= limit]
        for connection in self._idle:
            if connection.idle_since < limit:
                connection.close()
        self._idle = kept
        return bool(kept) or self._semaphore.counter < self._size

    def close(self) -> None:
        """Close the idle connections."""
        while self._idle:
            self._idle.pop().close()


class HttpClient:
    """Calls to many addresses over pooled connections.

    Parameters
    ----------
    kind : str
        Label of the traffic counters, such as ``table`` or ``peer``.
    headers : iterable of (str, str)
        Sent with every request.
    size : int
        Connections to each address.
    timeout : float
        Time limit of a call in seconds.
    count : callable or None
        Called with (kind, address, bytes sent, bytes received) after each call.
    """

    def __init__(
        self,
        kind: str,
        *,
        headers: Headers = (),
        size: int = 8,
        timeout: float = 2.0,
        count: CountTraffic | None = None,
    ) -> None:
        self.kind = kind
        self.timeout = timeout
        self._headers = tuple(headers)
        self._size = size
        self._count = count
        self._pools: dict[str, ConnectionPool] = {}

    def get_pool(self, address: str) -> ConnectionPool:
        """Return the pool of an address (without its path)."""
        location = address.partition("/")[0]
        pool = self._pools.get(location)
        if pool is None:
            pool = self._pools[location] = ConnectionPool(location, self._size)
        return pool

    def call(
        self,
        address: str,
        method: str,
        path: str,
        body: bytes = b"",
        headers: Headers = (),
        timeout: float | None = None,
        transfer: Transfer | None = None,
    ) -> ClientResponse:
        """Send a request and return its response; `transfer` records what arrives.

        Raises
        ------
        TransportError
            ``sent`` tells whether the request may have reached the other side; a timeout after
            the request was sent counts as sent.
        """
        deadline = time.monotonic() + (self.timeout if timeout is None else timeout)
        data = self._build_request(address, method, path, body, headers)
        with self.reserve(address, deadline) as connection:
            return self._exchange(connection, address, method, data, deadline, transfer)

    @contextlib.contextmanager
    def reserve(self, address: str, deadline: float) -> Iterator[Connection]:
        """Yield a connection to an address for some exchanges, and return it to the pool.

        Raises
        ------
        TransportError
            With ``sent=False`` if none is free or can be opened by the deadline.
        """
        pool = self.get_pool(address)
        connection = pool.acquire(deadline)
        try:
            yield connection
        finally:
            pool.release(connection)

    def exchange(
        self,
        connection: Connection,
        address: str,
        method: str,
        path: str,
        body: bytes,
        headers: Headers,
        deadline: float,
    ) -> ClientResponse:
        """Send a request on a connection that `reserve` has returned; see `call`."""
        data = self._build_request(address, method, path, body, headers)
        return self._exchange(connection, address, method, data, deadline)

    def _build_request(
        self, address: str, method: str, path: str, body: bytes, headers: Headers
    ) -> bytes:
        host, port, prefix = split_address(address)
        all_headers = (*self._headers, *headers)
        return build_request(method, prefix + path, f"{host}:{port}", all_headers, body)

    def _exchange(
        self,
        connection: Connection,
        address: str,
        method: str,
        data: bytes,
        deadline: float,
        transfer: Transfer | None = None,
    ) -> ClientResponse:
        try:
            connection.send(method, data, deadline)
            return connection.receive(deadline, transfer)
        except ExchangeTimeoutError as error:
            raise TransportError(str(error), sent=True) from error
        finally:
            self.count(address.partition("/")[0], connection)

    def count(self, location: str, connection: Connection) -> None:
        """Count the bytes of a connection's last exchange."""
        if self._count is not None:
            self._count(self.kind, location, connection.sent_bytes, connection.received_bytes)

    def close_expired(self) -> None:
        """Close connections that are idle for too long and drop the pools without any."""
        for location, pool in list(self._pools.items()):
            if not pool.close_expired():
                del self._pools[location]

    def close(self) -> None:
        """Close all idle connections."""
        for pool in self._pools.values():
            pool.close()
        self._pools.clear()
