"""Loopback proxy that delays, silences, cuts one way or resets the connections through it."""

import enum
import socket
import struct

import gevent
from gevent.server import StreamServer

BLOCK_BYTES = 65536
RESET = struct.pack("ii", 1, 0)  # SO_LINGER with no time: closing resets the connection


class Mode(enum.Enum):
    """What happens to the bytes of all connections."""

    PASS = "pass"
    DELAY = "delay"
    SILENT = "silent"  # nothing passes, either way
    ONE_WAY = "one-way"  # requests pass, answers don't


class Proxy:
    """Forwards connections to an address.

    Parameters
    ----------
    target : str
        ``ip:port``.
    """

    def __init__(self, target):
        host, _, port = target.rpartition(":")
        self._target = (host, int(port))
        self._server = StreamServer(("127.0.0.1", 0), self._serve)
        self._pairs = set()
        self.mode = Mode.PASS
        self.delay = 0.0

    @property
    def location(self):
        """Return ``host:port`` of the proxy."""
        return f"127.0.0.1:{self._server.server_port}"

    def start(self):
        """Listen."""
        self._server.start()

    def stop(self):
        """End the listener and all connections."""
        self._server.stop(timeout=0)
        self.reset()

    def reset(self):
        """Reset all open connections."""
        for pair in list(self._pairs):
            for end in pair:
                try:
                    end.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
                    end.close()
                except OSError:
                    continue  # it has been closed by its own side
        self._pairs.clear()

    def _serve(self, caller, _):
        try:
            upstream = gevent.socket.create_connection(self._target, timeout=2)
        except OSError:
            caller.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
            caller.close()
            return
        upstream.settimeout(None)
        for end in (caller, upstream):
            end.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        pair = (caller, upstream)
        self._pairs.add(pair)
        back = gevent.spawn(self._copy, upstream, caller, True)
        self._copy(caller, upstream, False)
        back.join(timeout=1)
        back.kill(block=False)
        self._pairs.discard(pair)
        for end in pair:
            end.close()

    def _copy(self, source, sink, is_answer):
        try:
            while data := source.recv(BLOCK_BYTES):
                while self.mode is Mode.SILENT or (self.mode is Mode.ONE_WAY and is_answer):
                    gevent.sleep(0.05)
                if self.mode is Mode.DELAY:
                    gevent.sleep(self.delay)
                sink.sendall(data)
            sink.shutdown(socket.SHUT_WR)
        except OSError:
            return  # the other side has gone, or the connection was reset
