"""Reading of request bodies, block by block and within the budget of the process."""

from __future__ import annotations

import contextlib
import socket as sockets
import time
from collections.abc import Callable
from typing import Any

import gevent
from gevent.pywsgi import Input

from ...errors import IntakeFullError, PayloadTooLargeError
from .intake import BodyBudget, ConnectionId

# The decoder of chunks keeps a list of pieces for each block, which isn't counted as held.
CHUNKED_BLOCK_BYTES = 1024


class BoundedInput(Input):
    """The body of a request, of which a route may leave a small rest unread."""

    __slots__ = ("discard_seconds", "on_late_rest")

    discard_seconds: float | None
    on_late_rest: Callable[[], None]

    def _discard(self) -> None:
        """Read and discard the rest of the body; report it if it is late."""
        if not self.chunked_input and self.position == (self.content_length or 0):
            return
        try:
            with gevent.Timeout(self.discard_seconds):
                super()._discard()
        except gevent.Timeout:
            self.on_late_rest()

    def has_large_rest(self, buffered_bytes: int, limit: int) -> bool:
        """Return whether the rest is too large to be discarded.

        Parameters
        ----------
        buffered_bytes : int
            Bytes of the body that arrived with the head, and need no waiting.
        limit : int
            Bytes that are discarded at most.
        """
        if self.chunked_input:
            return bool(self.chunk_length != 0)
        rest = (self.content_length or 0) - self.position
        return bool(rest > max(limit, buffered_bytes))


class BodyReader:
    """Reads the bodies of one connection, one after another.

    Parameters
    ----------
    connection : ConnectionId
    sock, rfile : object
        The connection's socket and its buffered reader.
    budget : BodyBudget
    """

    def __init__(self, connection: ConnectionId, sock: Any, rfile: Any, budget: BodyBudget) -> None:
        self._connection = connection
        self._socket = sock
        self._rfile = rfile
        self._budget = budget
        self._is_dropped = False
        self._body = bytearray()

    def read(self, stream: Input, limit: int, expected: int | None) -> bytes:
        """Return a body of `expected` bytes, or of unknown length if that is None.

        Raises
        ------
        PayloadTooLargeError
            If it exceeds the limit.
        IntakeFullError
            If the process has no room for it.
        OSError
            If it can't be read.
        """
        try:
            while block := self._read_block(stream, expected):
                if self._is_dropped:
                    break
                if len(self._body) + len(block) > limit:
                    raise PayloadTooLargeError(f"the body exceeds the limit of {limit} bytes")
                self._reserve(len(block))
                self._body += block
            if self._is_dropped:
                raise IntakeFullError("the instance has no memory for further requests")
            self._budget.complete(self._connection)
            return bytes(self._body)
        except OSError as error:
            if self._is_dropped:  # a waiting read fails when `_drop` shuts the socket
                raise IntakeFullError("the instance has no memory for further requests") from error
            raise
        finally:
            self._body.clear()

    def _read_block(self, stream: Input, expected: int | None) -> bytes:
        if expected is None:
            return stream.read(CHUNKED_BLOCK_BYTES)
        stream.read(0)  # sends an interim response if the client expects one
        if stream.position == expected:
            return b""
        # A blocking read of a whole block would hold its memory while it waits.
        available = len(self._rfile.peek(1))
        return stream.read(available) if available else b""

    def _reserve(self, size: int) -> None:
        dropped = self._budget.reserve(self._connection, size, time.monotonic(), self._drop)
        if dropped is None:
            raise IntakeFullError("the instance has no memory for further requests")
        for drop in dropped:
            drop()

    def _drop(self) -> None:
        """End the reading of a body whose bytes are needed for others."""
        self._is_dropped = True
        self._body.clear()  # its own greenlet may run only after others have read more
        with contextlib.suppress(OSError):
            self._socket.shutdown(sockets.SHUT_RD)

    def release(self) -> None:
        """Return the bytes of the last body to the budget."""
        self._budget.release(self._connection)
