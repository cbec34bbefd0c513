"""Crowds of clients that misuse an entry instance, and the resources that its process uses."""

import dataclasses
import enum
import itertools
import os

import gevent
import gevent.pool
from gevent import socket

from .queue_processes import EntryProcess

BODY_BYTES = 262_144  # the largest body inside the platform's limits
HELD_BYTES = 200  # of a body that is never completed
PIECE_BYTES = 4096
CHUNK_BYTES = 16_384
OVERSIZED_BYTES = 8 * 1024 * 1024
PIPELINED_REQUESTS = 4000
HEAD_FIELDS = 2500
SLOW_INTERVAL_SECONDS = 0.1
MAX_SLOW_BYTES = 200
CONNECT_SECONDS = 3.0
CROWD_SECONDS = 6.0  # after which clients that still send are stopped
REST_SECONDS = 1.0  # for which a crowd that has sent everything stays connected
SAMPLE_SECONDS = 0.05
RESERVED_DESCRIPTORS = 200
MEGABYTE = 1024 * 1024


class ClientKind(enum.Enum):
    """How a client misuses its connection."""

    WHOLE_BODY = "bodies in one piece"
    PIECES = "bodies in small pieces"
    CHUNKS = "bodies in chunks"
    OVERSIZED = "bodies far over the limit"
    OVERSIZED_CHUNKS = "chunks far over the limit"
    SHORT_ITEMS = "bodies of very many short items"
    SHORT_FIELDS = "heads of very many short fields"
    PIPELINED = "requests without reading the answers"
    SLOW_SENDER = "single bytes"
    SLOW_READER = "requests and reads single bytes"
    HALF_HEAD = "half of a head"
    SILENT = "nothing"


@dataclasses.dataclass(frozen=True)
class Target:
    """What a client asks for: an address, and method, path and further fields of its requests."""

    address: str
    method: str
    path: str
    fields: tuple = ()

    def make_head(self, *fields):
        """Return the head of a request without its last line end."""
        lines = (
            f"{self.method} {self.path} HTTP/1.1",
            f"Host: {self.address}",
            *self.fields,
            *fields,
        )
        return "\r\n".join(lines).encode() + b"\r\n"


class LimitedEntryProcess(EntryProcess):
    """An entry instance on a machine with little memory and few descriptors."""

    memory_mb = 72
    descriptors = 1638

    def write_settings(self):
        """Write the settings file with the limits of the machine."""
        super().write_settings()
        with self.settings.open("a", encoding="utf-8") as file:
            file.write(
                f"[limits]\nmemoryMb = {self.memory_mb}\nfileDescriptors = {self.descriptors}\n"
            )


class FewDescriptorsProcess(LimitedEntryProcess):
    """An entry instance whose machine has fewer descriptors than a crowd has clients."""

    descriptors = 400


def choose_target(entry, place):
    """Return the target at a place of an instance."""
    metrics = f"127.0.0.1:{entry.metrics_port}"
    return {
        "a path with a route": Target(entry.frontend_address, "POST", "/jobs/00000000000000d0"),
        "a path without a route": Target(entry.frontend_address, "POST", "/none/00000000000000d0"),
        "readiness": Target(entry.readiness_address, "GET", "/lavenderhook/readiness"),
        "metrics": Target(metrics, "GET", "/metrics"),
        "the peers' address": Target(f"127.0.0.1:{entry.internal_port}", "POST", "/peer/submit"),
    }[place]


def make_messages(kind, target):
    """Return the bytes that a client of this kind sends, in pieces."""
    post = target.make_head(f"Content-Length: {BODY_BYTES}") + b"\r\n"
    chunked = target.make_head("Transfer-Encoding: chunked") + b"\r\n"
    chunk = b"%x\r\n" % CHUNK_BYTES + b"x" * CHUNK_BYTES + b"\r\n"
    body = b'{"spec":"' + b"x" * (BODY_BYTES - 9 - HELD_BYTES)
    match kind:
        case ClientKind.WHOLE_BODY:
            return [post + body]
        case ClientKind.PIECES:
            pieces = range(0, len(body), PIECE_BYTES)
            return [post, *(body[start : start + PIECE_BYTES] for start in pieces)]
        case ClientKind.CHUNKS:
            whole = BODY_BYTES // CHUNK_BYTES - 1
            return [chunked, *[chunk] * whole, chunk[:-HELD_BYTES]]
        case ClientKind.OVERSIZED:
            head = target.make_head(f"Content-Length: {OVERSIZED_BYTES}") + b"\r\n"
            return [head, *[b"x" * CHUNK_BYTES] * (OVERSIZED_BYTES // CHUNK_BYTES)]
        case ClientKind.OVERSIZED_CHUNKS:
            return [chunked, *[chunk] * (OVERSIZED_BYTES // CHUNK_BYTES)]
        case ClientKind.SHORT_ITEMS:
            items = b'{"spec":"x","steps":[' + b"{}," * 87_000 + b"{}]}"
            return [target.make_head(f"Content-Length: {len(items)}") + b"\r\n" + items]
        case ClientKind.SHORT_FIELDS:
            fields = (f"{index:x}:" for index in range(HEAD_FIELDS))
            head = target.make_head(*fields, "Content-Length: 9")
            return [head + b"\r\n{"]
        case ClientKind.PIPELINED:
            return [(target.make_head("Content-Length: 0") + b"\r\n") * PIPELINED_REQUESTS]
        case ClientKind.SLOW_SENDER:
            return [post, *[b"x"] * MAX_SLOW_BYTES]
        case ClientKind.SLOW_READER:
            return [(target.make_head("Content-Length: 0") + b"\r\n") * 10]
        case ClientKind.HALF_HEAD:
            return [post[: len(post) // 2]]
        case ClientKind.SILENT:
            return []


class Crowd:
    """Clients of one kind; each sends its bytes and keeps its connection open.

    Parameters
    ----------
    target : Target
    kinds : list of ClientKind
        The kinds of the clients in turn.
    count : int
        Number of clients.
    """

    def __init__(self, target, kinds, count):
        messages = {kind: make_messages(kind, target) for kind in kinds}
        host, _, port = target.address.rpartition(":")
        self._address = host, int(port)
        self._clients = list(itertools.islice(itertools.cycle(kinds), count))
        self._messages = messages
        self._sockets = []
        self._pool = gevent.pool.Pool()

    def run(self):
        """Connect all clients and let them send, for a bounded time."""
        for kind in self._clients:
            self._pool.spawn(self._run_client, kind)
        self._pool.join(timeout=CROWD_SECONDS)
        gevent.sleep(REST_SECONDS)

    def close(self):
        """Stop all clients and close their connections."""
        self._pool.kill(timeout=CONNECT_SECONDS)
        for sock in self._sockets:
            sock.close()

    def _run_client(self, kind):
        try:
            sock = socket.create_connection(self._address, CONNECT_SECONDS)
            self._sockets.append(sock)
            sock.settimeout(CROWD_SECONDS)
            for message in self._messages[kind]:
                sock.sendall(message)
                gevent.sleep(SLOW_INTERVAL_SECONDS if kind is ClientKind.SLOW_SENDER else 0)
            if kind is ClientKind.SLOW_READER:
                for _ in range(MAX_SLOW_BYTES):
                    if not sock.recv(1):
                        return
                    gevent.sleep(SLOW_INTERVAL_SECONDS)
        except OSError:
            return  # the instance may refuse the client or close its connection


class ResourceSampler:
    """Samples the memory and the descriptors of an entry process.

    Attributes
    ----------
    memory_bytes : int
        Largest sum of the resident memory and of the bytes that the process has received and not
        yet read, which count toward the memory of a machine of the platform.
    descriptors : int
        Largest number of open descriptors.
    """

    def __init__(self, entry):
        self.memory_bytes = 0
        self.descriptors = 0
        self._folder = f"/proc/{entry.process.pid}"
        addresses = (entry.frontend_address, entry.readiness_address)
        ports = {int(address.rpartition(":")[2]) for address in addresses}
        self._ports = ports | {entry.internal_port, entry.metrics_port}
        self._greenlet = gevent.spawn(self._run)

    def stop(self):
        """Stop sampling and include the peak that the kernel has recorded."""
        self._greenlet.kill()
        self._sample("VmHWM")

    def _run(self):
        while True:
            self._sample("VmRSS")
            gevent.sleep(SAMPLE_SECONDS)

    def _sample(self, field):
        try:
            with open(f"{self._folder}/status", encoding="ascii") as file:
                sizes = dict(line.split(":", 1) for line in file)
            descriptors = len(os.listdir(f"{self._folder}/fd"))
        except OSError:
            return  # the process has ended, which has a check of its own
        resident = int(sizes[field].split()[0]) * 1024 if field in sizes else 0
        unread = self._count_unread() if field == "VmRSS" else 0
        self.memory_bytes = max(self.memory_bytes, resident + unread)
        self.descriptors = max(self.descriptors, descriptors)

    def _count_unread(self):
        total = 0
        with open("/proc/net/tcp", encoding="ascii") as file:
            next(file)
            for line in file:
                words = line.split()
                is_established = words[3] == "01"
                if is_established and int(words[1].rpartition(":")[2], 16) in self._ports:
                    total += int(words[4].partition(":")[2], 16)
        return total
