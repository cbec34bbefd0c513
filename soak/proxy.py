"""Loopback proxy that delays, blocks (one way or both), resets or slows down connections."""

import enum
import socket
import struct
import time

import gevent
from gevent.server import StreamServer

from features.support.thin_link import MAX_SEGMENT_BYTES

READ_BYTES = 65536
RESET_ON_CLOSE = struct.pack("ii", 1, 0)  # SO_LINGER of 0 seconds: close() resets the connection


class Mode(enum.Enum):
    """Handling of the bytes of all connections."""

    PASS = "pass"
    DELAY = "delay"
    SILENT = "silent"  # blocked in both directions
    ONE_WAY = "one-way"  # requests are forwarded, responses are blocked


class Proxy:
    """Forwards connections to an address.

    Parameters
    ----------
    target : str
        ``ip:port``.

    Attributes
    ----------
    link : ThinLink or None
        Bandwidth that all responses share; None for no limit.
    """

    def __init__(self, target):
        host, _, port = target.rpartition(":")
        self._target = (host, int(port))
        self._server = StreamServer(("127.0.0.1", 0), self._serve)
        self._pairs = set()
        self.mode = Mode.PASS
        self.delay_seconds = 0.0
        self.link = None
        self.reset_at = 0.0  # monotonic time of the last reset

    @property
    def location(self):
        """Return ``host:port`` of the proxy."""
        return f"127.0.0.1:{self._server.server_port}"

    def start(self):
        """Start the listener."""
        self._server.start()

    def stop(self):
        """Close the listener and all connections."""
        self._server.stop(timeout=0)
        self.reset()

    def reset(self):
        """Reset all open connections."""
        self.reset_at = time.monotonic()
        for pair in list(self._pairs):
            for connection in pair:
                try:
                    connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
                    connection.close()
                except OSError:
                    continue  # already closed
        self._pairs.clear()

    def _serve(self, caller, _):
        try:
            upstream = gevent.socket.create_connection(self._target, timeout=2)
        except OSError:
            caller.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
            caller.close()
            return
        upstream.settimeout(None)
        for connection in (caller, upstream):
            connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        pair = (caller, upstream)
        self._pairs.add(pair)
        response_copier = gevent.spawn(self._copy, upstream, caller, True)
        self._copy(caller, upstream, False)
        response_copier.join(timeout=1)
        response_copier.kill(block=False)
        self._pairs.discard(pair)
        for connection in pair:
            connection.close()

    def _copy(self, source, sink, is_response):
        try:
            while data := source.recv(self._choose_block_bytes(is_response)):
                while self.mode is Mode.SILENT or (self.mode is Mode.ONE_WAY and is_response):
                    gevent.sleep(0.05)
                if self.mode is Mode.DELAY:
                    gevent.sleep(self.delay_seconds)
                if self.link is not None and is_response:
                    self.link.carry(len(data))
                sink.sendall(data)
            sink.shutdown(socket.SHUT_WR)
        except OSError:
            return  # closed or reset

    def _choose_block_bytes(self, is_response):
        return READ_BYTES if self.link is None or not is_response else MAX_SEGMENT_BYTES
