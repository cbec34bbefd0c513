"""Table service and object store."""

import base64
import binascii
import bisect
import hashlib
import time
from collections import Counter

import gevent
import msgspec

from .errors import BadRequestError
from .faults import FaultInjector, FaultSet
from .web import Response, reply_json

ROWS_PER_READ_TOKEN = 100  # a larger range read counts as several reads
MAX_RANGE_ROWS = 1000
ROWS_PATH = "/v1/rows"
OBJECTS_PATH = "/v1/objects/"


class TokenBucket:
    """Token bucket; ``rate`` is in tokens per second, and 0 or less means no limit."""

    def __init__(self, rate, burst_seconds):
        self.rate = rate
        self.capacity = max(1.0, rate * burst_seconds)
        self.tokens = self.capacity
        self.refilled_at = time.monotonic()

    def take(self, amount=1):
        """Take tokens if there are enough; return whether there were."""
        if self.rate <= 0:
            return True
        now = time.monotonic()
        self.tokens = min(self.capacity, self.tokens + (now - self.refilled_at) * self.rate)
        self.refilled_at = now
        if self.tokens < amount:
            return False
        self.tokens -= amount
        return True


class Store:
    """Base class of the stores with faults, latency and counters."""

    operations = ()

    def __init__(self, latency_ms=0.0):
        self.faults = FaultSet(self.operations)
        self.fault_injector = FaultInjector(self.faults, self.reply_unavailable)
        self.latency_seconds = latency_ms / 1000
        self.counters = Counter()
        self.by_client = Counter()

    def reply_unavailable(self):
        """Build the response sent while the store is down."""
        self.counters["unavailable"] += 1
        return reply_json({"error": "unavailable"}, 503)

    def reply_throttled(self):
        """Build the response to a request above the rate limit."""
        self.counters["throttled"] += 1
        return reply_json({"error": "rate exceeded"}, 429, {"Retry-After": "1"})

    def respond(self, request):
        """Handle a request."""
        operation = self.get_operation_name(request)
        if operation is None:
            return reply_json({"error": "no such path"}, 404)
        return self.fault_injector.handle_request(request, operation, self.run_operation)

    def run_operation(self, request):
        """Run the operation of a request that no fault has stopped."""
        if self.latency_seconds:
            gevent.sleep(self.latency_seconds)
        response = getattr(self, self.get_operation_name(request))(request)
        if isinstance(response.body, bytes):
            self.counters["bytes_out"] += len(response.body)
        self.by_client[request.client] += 1
        return response

    def get_operation_name(self, request):
        """Return the name of the method that handles a request, or None."""
        raise NotImplementedError

    def describe(self):
        """Return the counters as JSON values."""
        return {"counters": dict(self.counters), "requests_by_client": dict(self.by_client)}


class Table(Store):
    """Transactional table service.

    Transactions are not deduplicated by id: a retry has its row versions checked again.

    Parameters
    ----------
    settings : TableSettings
    ledger : Ledger
    """

    operations = ("commit", "read_row", "read_range")

    def __init__(self, settings, ledger):
        super().__init__(settings.latency_ms)
        self.settings = settings
        self.ledger = ledger
        self.rows = {}
        self.keys = []
        self.revision = 0
        self.set_rates(settings.writes_per_second, settings.reads_per_second)

    def set_rates(self, writes_per_second, reads_per_second):
        """Replace the rate limits; a rate of 0 means no limit."""
        self.write_bucket = TokenBucket(writes_per_second, self.settings.burst_seconds)
        self.read_bucket = TokenBucket(reads_per_second, self.settings.burst_seconds)

    def get_operation_name(self, request):
        """Return ``commit``, ``read_row``, ``read_range`` or None."""
        if request.path == "/v1/transactions" and request.method == "POST":
            return "commit"
        if request.method != "GET":
            return None
        if request.path == ROWS_PATH:
            return "read_range"
        if request.path.startswith(ROWS_PATH + "/"):
            return "read_row"
        return None

    def commit(self, request):
        """Check the row versions of a transaction and apply it atomically."""
        encoded = request.read_body()
        if len(encoded) > self.settings.max_bytes * 4 // 3 + 65_536:
            return reply_json({"error": "transaction too large"}, 413)
        transaction = read_transaction(encoded)
        values = transaction["values"]
        if len(values) + len(transaction["deletes"]) > self.settings.max_rows:
            return reply_json({"error": "too many rows"}, 413)
        size = sum(len(value) for value in values.values())
        if size > self.settings.max_bytes:
            return reply_json({"error": "transaction too large"}, 413)
        if not self.write_bucket.take():
            return self.reply_throttled()
        self.counters["transactions"] += 1
        self.counters["bytes_in"] += len(encoded)
        conflicts = self._find_conflicts(transaction["checks"])
        if conflicts:
            self.counters["conflicts"] += 1
            return reply_json({"conflicts": conflicts}, 409)
        self._apply(transaction, request.client)
        return reply_json({"revision": self.revision})

    def _find_conflicts(self, checks):
        found = []
        for key, version in checks:
            current = self.rows.get(key, (0, b""))[0]
            if current != version:
                found.append({"key": key, "version": current})
        return found

    def _apply(self, transaction, client):
        self.revision += 1
        for key, value in transaction["values"].items():
            if key not in self.rows:
                bisect.insort(self.keys, key)
            self.rows[key] = (self.revision, value)
        for key in transaction["deletes"]:
            if self.rows.pop(key, None) is not None:
                del self.keys[bisect.bisect_left(self.keys, key)]
        rows_written = len(transaction["values"])
        self.counters["rows_written"] += rows_written
        self.counters["rows_deleted"] += len(transaction["deletes"])
        self.ledger.table_commits.append(
            {
                "id": transaction["id"],
                "revision": self.revision,
                "client": client,
                "rows": rows_written,
                "at": time.time(),
            }
        )

    def read_row(self, request):
        """Return one row, or 404 if it does not exist."""
        if not self.read_bucket.take():
            return self.reply_throttled()
        self.counters["reads"] += 1
        key = request.path.removeprefix(ROWS_PATH + "/")
        if key not in self.rows:
            return reply_json({"key": key, "version": 0}, 404)
        self.counters["rows_read"] += 1
        return reply_json(self._encode_row(key))

    def read_range(self, request):
        """Return a consistent range of rows in key order."""
        prefix = request.query.get("prefix", "")
        limit = read_limit(request.query.get("limit", MAX_RANGE_ROWS))
        after = request.query.get("after", "")
        index = bisect.bisect_left(self.keys, prefix)
        if after:
            index = max(index, bisect.bisect_right(self.keys, after))
        found = []
        while (
            index < len(self.keys) and self.keys[index].startswith(prefix) and len(found) <= limit
        ):
            found.append(self.keys[index])
            index += 1
        more = len(found) > limit
        found = found[:limit]
        if not self.read_bucket.take(max(1, -(-len(found) // ROWS_PER_READ_TOKEN))):
            return self.reply_throttled()
        self.counters["reads"] += 1
        self.counters["rows_read"] += len(found)
        rows = [self._encode_row(key) for key in found]
        return reply_json({"rows": rows, "more": more, "revision": self.revision})

    def _encode_row(self, key):
        version, value = self.rows[key]
        return {"key": key, "version": version, "value": base64.b64encode(value).decode()}


def read_limit(text):
    """Parse the limit of a range read, capped at `MAX_RANGE_ROWS`."""
    try:
        limit = int(text)
    except ValueError:
        raise BadRequestError("limit", f"{text!r} is not a number") from None
    if limit < 1:
        raise BadRequestError("limit", "is less than 1")
    return min(limit, MAX_RANGE_ROWS)


def read_transaction(encoded):
    """Parse and validate a transaction.

    Returns
    -------
    dict
        ``id``, ``checks`` as (key, version) pairs, ``values`` as bytes by key, ``deletes``.

    Raises
    ------
    BadRequestError
        If a part is missing or malformed, or if a key is written twice.
    """
    try:
        body = msgspec.json.decode(encoded)
        checks = [(check["key"], check["version"]) for check in body.get("checks", ())]
        puts = [(put["key"], put["value"]) for put in body.get("puts", ())]
        deletes = list(body.get("deletes", ()))
    except (msgspec.DecodeError, KeyError, TypeError, AttributeError) as error:
        raise BadRequestError("body", f"malformed transaction: {error}") from None
    if not body.get("id"):
        raise BadRequestError("id", "is missing")
    keys = [key for key, _ in puts] + deletes
    if len(set(keys)) != len(keys):
        raise BadRequestError("puts", "a key is written twice")
    if not all(isinstance(key, str) and key for key in keys):
        raise BadRequestError("puts", "a key is not a non-empty string")
    try:
        values = {key: base64.b64decode(value, validate=True) for key, value in puts}
    except (binascii.Error, TypeError, ValueError) as error:
        raise BadRequestError("puts", f"a value is not base64: {error}") from None
    return {"id": body["id"], "checks": checks, "values": values, "deletes": deletes}


class ObjectStore(Store):
    """Object store; a write replaces an object atomically."""

    operations = ("put", "get", "delete")

    def __init__(self, latency_ms=0.0):
        super().__init__(latency_ms)
        self.objects = {}

    def get_operation_name(self, request):
        """Return ``put``, ``get``, ``delete`` or None."""
        if not request.path.startswith(OBJECTS_PATH):
            return None
        return {"PUT": "put", "GET": "get", "DELETE": "delete"}.get(request.method)

    def _key(self, request):
        return request.path.removeprefix(OBJECTS_PATH)

    def put(self, request):
        """Store an object after its whole body has been received."""
        body = request.read_body()
        self.objects[self._key(request)] = body
        self.counters["puts"] += 1
        self.counters["bytes_in"] += len(body)
        return reply_json({"sha256": hashlib.sha256(body).hexdigest(), "bytes": len(body)})

    def get(self, request):
        """Return an object, or 404 if it does not exist."""
        self.counters["gets"] += 1
        body = self.objects.get(self._key(request))
        if body is None:
            return reply_json({"error": "no such object"}, 404)
        return Response(200, body, {"Content-Type": "application/octet-stream"})

    def delete(self, request):
        """Delete an object; deleting a missing object succeeds."""
        self.counters["deletes"] += 1
        self.objects.pop(self._key(request), None)
        return reply_json({})
