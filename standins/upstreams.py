"""Upstream of a service task, which records every execution."""

import hashlib
import time

import gevent

from .errors import BadRequestError, DropConnectionError
from .faults import FaultKind
from .web import Response

UPSTREAM_PREFIX = "/upstream/"
DEFAULT_SLOTS = 8
DEFAULT_CONNECTIONS = 64
# A new connection may be accepted before the close of an earlier one is read.
CLOSE_GRACE_SECONDS = 0.05
NOT_RUN_HEADERS = {"lavenderhook-leaving": "1", "lavenderhook-not-run": "1"}


class Upstream:
    """Upstream that a worker serves for one service task.

    Requests and connections above the limits are served as well, and recorded as over-commit.

    Parameters
    ----------
    worker : Worker
    task : Task
    """

    def __init__(self, worker, task):
        service = task.command["service"]
        self.worker = worker
        self.task = task
        self.name = service.get("name", "")
        self.slot_limit = int(service.get("slots", DEFAULT_SLOTS))
        self.connection_limit = int(service.get("connections", DEFAULT_CONNECTIONS))
        self.address = f"{worker.listener.location}{UPSTREAM_PREFIX}{task.attempt}"
        self.slots_in_use = 0
        self.open_connections = set()

    def serve(self, request):
        """Serve a request."""
        self._register_connection(request.connection)
        leaving = self.worker.leaving_fault
        if leaving:
            self.worker.ledger.record_while_leaving(self.worker.id, request, leaving.began_at)
        if leaving and leaving.options.get("signal") != "list":
            return self._build(503, request, b"leaving\n", NOT_RUN_HEADERS)
        seconds = read_number(request, "x-service-ms", 0) / 1000
        # A request occupies its slot from its arrival, including while its body is in transit.
        slot = Slot(self)
        try:
            body = request.read_body()
            slot.entry = self._record(request, body)
            response = self._execute(request, body, seconds, slot)
        except BaseException:
            slot.release()
            raise
        if isinstance(response.body, bytes):
            slot.release()
        return response

    def close(self):
        """Abort all connections of the upstream, as the end of its process would."""
        for connection in list(self.open_connections):
            connection.abort()

    def _register_connection(self, connection):
        if connection in self.open_connections:
            return
        self.open_connections.add(connection)
        connection.on_close.append(self.open_connections.discard)
        if len(self.open_connections) > self.connection_limit:
            gevent.spawn_later(CLOSE_GRACE_SECONDS, self._record_excess_connections)

    def _record_excess_connections(self):
        self._record_excess("connections", len(self.open_connections), self.connection_limit)

    def record_excess_slots(self):
        """Record over-commit if more slots are in use than exist."""
        self._record_excess("slots", self.slots_in_use, self.slot_limit)

    def _record_excess(self, resource, used, limit):
        if used > limit:
            attempts = [self.task.attempt]
            self.worker.ledger.record_overcommit(self.worker.id, resource, used, limit, attempts)

    def _record(self, request, body):
        headers = request.headers
        entry = {
            "request": headers.get("lavenderhook-request-id", ""),
            "caller": headers.get("lavenderhook-caller", ""),
            "idempotent": headers.get("lavenderhook-idempotent", "true") != "false",
            "instance": request.client,
            "service": self.name,
            "worker": self.worker.id,
            "attempt": self.task.attempt,
            "start": time.time(),
            "end": None,
            "sha256": hashlib.sha256(body).hexdigest(),
            "bytes": len(body),
            "status": None,
        }
        self.worker.ledger.record_execution(entry)
        return entry

    def _execute(self, request, body, seconds, slot):
        client = request.client
        find = self.worker.faults.find
        entry = slot.entry
        slow = find(FaultKind.SLOW_SERVICE, "service", client)
        if slow:
            seconds += self.worker.faults.draw_seconds(slow)
        gevent.sleep(seconds)
        if self.task.state != "running":
            entry["status"] = "interrupted"
            raise DropConnectionError
        error = find(FaultKind.ERROR, "service", client)
        if error:
            entry["status"] = int(error.options.get("status", 500))
            return self._build(entry["status"], request, b"failed by a fault\n")
        entry["status"] = 200
        content = self._compose(request, body)
        if find(FaultKind.TRUNCATE, "service", client):
            return self._truncate(request, content, slot)
        if "x-response-chunks" in request.headers:
            return self._stream(request, content, slot)
        headers = {}
        if find(FaultKind.WRONG_ID, "service", client):
            headers["lavenderhook-request-id"] = "another-request"
        return self._build(200, request, content, headers)

    def _compose(self, request, body):
        request_id = request.headers.get("lavenderhook-request-id", "")
        filler = b"." * read_number(request, "x-response-bytes", 0)
        return f"{request_id} {self.worker.id}\n".encode() + body + filler

    def _build(self, status, request, body, headers=None):
        return Response(
            status,
            body,
            {
                "lavenderhook-request-id": request.headers.get("lavenderhook-request-id", ""),
                "lavenderhook-worker": self.worker.id,
                "Content-Type": "application/octet-stream",
                **(headers or {}),
            },
        )

    def _truncate(self, request, content, slot):
        half = max(1, len(content) // 2)

        def send():
            yield content[:half]
            raise DropConnectionError

        return self._build(
            200, request, StreamedBody(send(), slot), {"Content-Length": str(len(content))}
        )

    def _stream(self, request, content, slot):
        chunks = max(1, read_number(request, "x-response-chunks", 1))
        pause_seconds = read_number(request, "x-chunk-ms", 0) / 1000
        size = max(1, -(-len(content) // chunks))

        def send():
            for start in range(0, len(content), size):
                gevent.sleep(pause_seconds)
                yield content[start : start + size]

        return self._build(200, request, StreamedBody(send(), slot))


class Slot:
    """Slot that a request occupies.

    Attributes
    ----------
    entry : dict or None
        Execution in the ledger, once the whole request has been received.
    """

    def __init__(self, upstream):
        self.upstream = upstream
        self.entry = None
        self.is_held = True
        upstream.slots_in_use += 1
        upstream.record_excess_slots()

    def release(self):
        """Release the slot and complete the execution; later calls have no effect."""
        if not self.is_held:
            return
        self.is_held = False
        self.upstream.slots_in_use -= 1
        if self.entry is not None:
            self.entry["end"] = time.time()


class StreamedBody:
    """Response body that releases its slot when it ends, is aborted or is never sent."""

    def __init__(self, chunks, slot):
        self.chunks = chunks
        self.slot = slot

    def __iter__(self):
        try:
            yield from self.chunks
        finally:
            self.slot.release()

    def close(self):
        """Release the slot."""
        self.slot.release()


def read_number(request, name, default):
    """Parse a header as a number of at least 0.

    Raises
    ------
    BadRequestError
        If it is not such a number.
    """
    text = request.headers.get(name)
    if text is None:
        return default
    try:
        number = int(text) if text.isdigit() else float(text)
    except ValueError:
        raise BadRequestError(name, f"{text!r} is not a number") from None
    if number < 0:
        raise BadRequestError(name, "is negative")
    return number
