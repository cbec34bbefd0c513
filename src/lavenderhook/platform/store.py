"""Client of the platform's store."""

from __future__ import annotations

import base64
import time
from collections.abc import Callable, Sequence
from typing import Any
from urllib.parse import urlencode

import gevent
import msgspec

from .._internal.adapters.transport import ClientResponse, Headers, HttpClient
from .._internal.decoding import Number, decode_json, reject_malformed
from .._internal.instance.slow_store import compute_outage_seconds
from .._internal.ports.queueing import (
    STORE_CALL_SECONDS,
    Condition,
    Deletion,
    HistoryLostError,
    RowChanges,
    RowConflict,
    RowStore,
    StoredRow,
    Write,
)
from .._internal.ports.transfers import Transfer
from ..errors import ProtocolError, StoreBusyError, StoreUnavailableError, TransportError

TRANSACT_PATH = "/lavenderhook/rows-tx"
READ_PATH = "/lavenderhook/rows-get"
FEED_PATH = "/lavenderhook/rows-feed"
# Beyond the wait: 70 times the usual latency of 4 ms, and the delay of a long link.
WATCH_TIMEOUT_MARGIN_SECONDS = 1.2
CONNECTIONS = 64
INITIAL_LATENCY_SECONDS = 0.1  # assumed before the first response
LATENCY_SMOOTHING = 0.3  # weight of the newest call in the moving average
LATENCY_VALID_SECONDS = 5.0  # after the last answered call
JSON_HEADERS = (("Content-Type", "application/json"),)
BUSY_STATUS = 429  # a part has a second's worth of transactions queued; nothing was done
REFUSAL_STATUSES = (BUSY_STATUS, 503)  # the request had no effect


class _Row(msgspec.Struct, rename="camel", omit_defaults=True):
    """A row on the wire; `schema_version` is the store's change counter at its last change."""

    table: str
    key: str
    part: str = ""
    value: str = ""
    schema_version: Number = 0
    deleted: bool = False


class _Rows(msgspec.Struct, rename="camel"):
    """A response with rows; `schema_version` is the newest revision of the store."""

    rows: list[_Row] = []
    schema_version: Number = 0
    more_pages: bool = False


class PlatformStore(RowStore):
    """Rows in the platform's store.

    Parameters
    ----------
    address : str
        ``ip:port``.
    observe : callable
        Takes (metric, seconds, labels) of each call except those that wait for a change.
    """

    def __init__(self, address: str, observe: Callable[..., None]) -> None:
        self.address = address
        self._observe = observe
        self._client = HttpClient("store", size=CONNECTIONS)
        self._calls_in_flight = 0  # without those that wait for a change
        self._unanswered_since = 0.0
        self._last_response_at = 0.0
        self._newest_revision = 0
        self._latency_seconds = INITIAL_LATENCY_SECONDS
        self._latency_recorded_at = 0.0
        self._exchanges: dict[gevent.Greenlet, Transfer] = {}  # in progress

    def close(self) -> None:
        """Close all connections."""
        self._client.close()

    def measure_unanswered_seconds(self) -> float:
        """Return for how long calls have waited without any response of the store, in seconds.

        A response that is arriving counts, since a large one may take longer than an outage.
        """
        if not self._calls_in_flight:
            return 0.0
        receiving = [t.measure_silence() for t in self._exchanges.values() if t.is_receiving()]
        return min([time.monotonic() - self._unanswered_since, *receiving])

    def measure_latency_seconds(self) -> float:
        """Return the smoothed duration of recent calls that were answered, in seconds."""
        is_old = time.monotonic() - self._latency_recorded_at > LATENCY_VALID_SECONDS
        return INITIAL_LATENCY_SECONDS if is_old else self._latency_seconds

    def get_newest_revision(self) -> int:
        """Return the newest revision in any response of the store; 0 before the first."""
        return self._newest_revision

    def has_answered_since(self, moment: float) -> bool:
        """Return whether any call was answered after a moment."""
        return self._last_response_at > moment

    def _call(
        self,
        method: str,
        target: str,
        body: bytes,
        headers: Headers,
        timeout: float,
        name: str,
        transfer: Transfer | None = None,
    ) -> ClientResponse:
        started_at = time.monotonic()
        if not self._calls_in_flight:
            self._unanswered_since = started_at
        self._calls_in_flight += 1
        try:
            response = self._exchange(method, target, body, headers, timeout, transfer)
            self._record_latency(time.monotonic() - started_at)
            return response
        finally:
            self._calls_in_flight -= 1
            self._observe("store_seconds", time.monotonic() - started_at, call=name)

    def _record_latency(self, seconds: float) -> None:
        # An instance whose rows are gathered by others makes few calls: none may be left from the
        # time at which the store was slow.
        former_seconds = self.measure_latency_seconds()
        self._latency_seconds = former_seconds + (seconds - former_seconds) * LATENCY_SMOOTHING
        self._latency_recorded_at = time.monotonic()

    def _exchange(
        self,
        method: str,
        target: str,
        body: bytes,
        headers: Headers,
        timeout: float,
        transfer: Transfer | None = None,
    ) -> ClientResponse:
        """Carry out one exchange, abandoned if a later one is answered after an outage."""
        started_at = time.monotonic()
        if transfer is None:
            transfer = Transfer()
        exchange = gevent.spawn(self._call_client, method, target, body, headers, timeout, transfer)
        self._exchanges[exchange] = transfer
        try:
            exchange.join()
        finally:
            del self._exchanges[exchange]
            exchange.kill(block=False)
        result = exchange.value
        if isinstance(result, ClientResponse):
            self._record_response(started_at)
            return result
        if isinstance(result, TransportError):
            raise result
        raise TransportError(
            "abandoned: the store was unavailable and has answered a later call", sent=True
        )

    def _call_client(
        self,
        method: str,
        target: str,
        body: bytes,
        headers: Headers,
        timeout: float,
        transfer: Transfer,
    ) -> ClientResponse | TransportError:
        # Returned and not raised, since gevent logs what a greenlet raises as unhandled.
        try:
            return self._client.call(self.address, method, target, body, headers, timeout, transfer)
        except TransportError as error:
            return error

    def _record_response(self, started_at: float) -> None:
        """Abandon the calls that were lost in an outage, as soon as a later one is answered.

        The store never answers what was sent to it during an outage; without this, callers would
        wait for the time-out of these calls although the store is available again. A call whose
        response has been arriving since the later one was made is not lost.
        """
        now = time.monotonic()
        outage_seconds = compute_outage_seconds(self.measure_latency_seconds())
        was_unavailable = (
            self._calls_in_flight > 0 and now - self._unanswered_since > outage_seconds
        )
        self._unanswered_since = self._last_response_at = now
        if was_unavailable:
            for exchange, transfer in list(self._exchanges.items()):
                if not transfer.has_been_active_since(started_at):
                    exchange.kill(block=False)

    def transact(
        self,
        writes: Sequence[Write],
        conditions: Sequence[Condition] = (),
        deletes: Sequence[Deletion] = (),
    ) -> int | RowConflict:
        """Write and delete all rows or none."""
        expected = [
            {"table": w.table, "part": w.part, "key": w.key, "schemaVersion": w.expected}
            for w in writes
            if w.expected is not None
        ]
        expected += [
            {"table": c.table, "part": c.part, "key": c.key, "schemaVersion": c.revision}
            for c in conditions
        ]
        body = {
            "expectedRevision": expected,
            "setKeys": [
                {
                    "table": w.table,
                    "part": w.part,
                    "key": w.key,
                    "value": base64.b64encode(w.value).decode(),
                }
                for w in writes
            ],
            "remove": [{"table": r.table, "part": r.part, "key": r.key} for r in deletes],
        }
        data = msgspec.json.encode(body)
        response = self._call(
            "POST", TRANSACT_PATH, data, JSON_HEADERS, STORE_CALL_SECONDS, "transact"
        )
        if response.status == 412:
            return RowConflict(_decode_rows(self._decode(response)))
        _check_status(response, "transaction")
        return self._decode(response).schema_version

    def read(
        self,
        table: str,
        start: str = "",
        end: str = "",
        part: str = "",
        timeout_seconds: float = STORE_CALL_SECONDS,
        transfer: Transfer | None = None,
    ) -> RowChanges:
        """Return all existing rows of a key range in key order (all pages)."""
        rows: list[StoredRow] = []
        revision: int | None = None
        while True:
            query = {"table": table, "part": part}
            if start:
                query["from"] = start
            if end:
                query["to"] = end
            page = self._get(READ_PATH, query, timeout_seconds, transfer)
            rows.extend(_decode_rows(page))
            if revision is None:
                revision = page.schema_version
            if not page.more_pages or not page.rows:
                return RowChanges(tuple(rows), revision)
            start = page.rows[-1].key + "\0"

    def wait_for_changes(
        self, table: str, after: int, wait_seconds: float, transfer: Transfer | None = None
    ) -> RowChanges:
        """Return the changes after a revision."""
        query = {"table": table, "after": after, "waitMs": int(wait_seconds * 1000)}
        page = self._get(FEED_PATH, query, wait_seconds + WATCH_TIMEOUT_MARGIN_SECONDS, transfer)
        return RowChanges(_decode_rows(page), page.schema_version)

    def _get(
        self, path: str, query: dict[str, Any], timeout: float, transfer: Transfer | None
    ) -> _Rows:
        target = f"{path}?{urlencode(query)}"
        try:
            if path == FEED_PATH:
                # It waits for a change, so that a missing response is no sign of an outage.
                response = self._exchange("GET", target, b"", (), timeout, transfer)
            else:
                response = self._call("GET", target, b"", (), timeout, "read", transfer)
        except TransportError as error:
            # A read has no effect whose outcome could be unknown.
            raise StoreUnavailableError(f"{path}: {error}") from error
        if response.status == 410:
            raise HistoryLostError(
                f"the change feed no longer covers revision {query.get('after')}"
            )
        _check_status(response, path)
        return self._decode(response)

    def _decode(self, response: ClientResponse) -> _Rows:
        page = _decode(response)
        self._newest_revision = max(self._newest_revision, page.schema_version)
        return page


def _check_status(response: ClientResponse, what: str) -> None:
    if response.status == BUSY_STATUS:
        raise StoreBusyError(f"{what}: the store answered {response.status}")
    if response.status in REFUSAL_STATUSES:
        raise StoreUnavailableError(f"{what}: the store answered {response.status}")
    if response.status != 200:
        raise ProtocolError(
            f"{what}: the store answered {response.status}: {response.body[:200]!r}"
        )


def _decode(response: ClientResponse) -> _Rows:
    try:
        return decode_json(response.body, _Rows)
    except ProtocolError as error:
        raise TransportError(
            f"cannot decode the response of the store: {error}", sent=True
        ) from error


def _decode_rows(page: _Rows) -> tuple[StoredRow, ...]:
    try:
        with reject_malformed("row"):
            return tuple(map(_convert, page.rows))
    except ProtocolError as error:
        raise TransportError(f"cannot decode a row of the store: {error}", sent=True) from error


def _convert(row: _Row) -> StoredRow:
    return StoredRow(
        table=row.table,
        key=row.key,
        value=base64.b64decode(row.value),
        revision=row.schema_version,
        is_deleted=row.deleted,
        part=row.part,
    )
