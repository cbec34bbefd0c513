"""Durable claims of non-idempotent requests, written in batches.

A claim is a table row that is only written if it does not exist yet. The claims and outcomes of an
instance share transactions, so that a request costs a fraction of a write. An indeterminate result
is resolved by reading the row: its claim id tells which claim attempt wrote the row.
"""

from __future__ import annotations

import dataclasses
import time
import uuid
from collections.abc import Callable
from urllib.parse import quote

import gevent
import gevent.event
import msgspec

from ...errors import LavenderhookError, ProtocolError, StoreUnavailableError, TransportError
from ..core.effects import ClaimRequest, Completed, NotRun, RecordOutcome, ReleaseClaim, Unknown
from ..core.events import ClaimResolved, ClaimState, Event, OutcomeRecorded
from ..core.identifiers import IncarnationId
from ..decoding import decode_msgpack
from ..ports.platform import Row, TableStore
from ..ports.time import Clock
from .calls import PendingCalls, StoredOutcome
from .commits import Backoff

MAX_BATCH_ROWS = 50
# Waiting for a batch to fill adds to the latency of every claim.
MAX_BATCH_WAIT_SECONDS = 0.01
MAX_BATCH_BYTES = 700_000  # a transaction may hold 1 MB
MAX_BATCHES_IN_FLIGHT = 8
UNAVAILABLE_AFTER_SECONDS = 1.0  # a claim fails after definite refusals for this long
# An outcome that is not written or a claim that is not deleted by then is given up.
OUTCOME_TIMEOUT_SECONDS = 30.0
MAX_BACKOFF_SECONDS = 0.25
MAX_CACHED_ROWS = 100_000  # claimed rows whose outcomes are still to be written


class ClaimRow(msgspec.Struct, frozen=True, kw_only=True):
    """Content of the row of a claimed request."""

    claim_id: str
    content: bytes
    holder: IncarnationId
    at: float
    outcome: StoredOutcome | None = None


def format_claim_key(caller: str, request_id: str) -> str:
    """Return the key of the row of a request."""
    return f"request/{quote(caller, safe='')}/{quote(request_id, safe='')}"


def decode_claim(row: Row) -> ClaimRow:
    """Return the content of a claim row."""
    return decode_msgpack(row.value, ClaimRow)


@dataclasses.dataclass(slots=True, eq=False)
class _Claim:
    effect: ClaimRequest
    key: str
    row: ClaimRow
    value: bytes
    state: ClaimState | None = None


@dataclasses.dataclass(slots=True, eq=False)
class _Record:
    effect: RecordOutcome
    key: str
    row: ClaimRow
    value: bytes


class WriteBatcher:
    """Collects items and writes them in batches.

    A batch is written when it is full or `MAX_BATCH_WAIT_SECONDS` after its first item; while
    `MAX_BATCHES_IN_FLIGHT` batches are being written, items are queued.

    Parameters
    ----------
    flush : callable
        Writes a list of items; runs in its own greenlet.
    """

    def __init__(self, flush: Callable[[list], None]) -> None:
        self._flush = flush
        self._items: list = []
        self._batch_full = gevent.event.Event()
        self._in_flight = 0
        self._batch_finished = gevent.event.Event()
        self._greenlet: gevent.Greenlet | None = None

    def add(self, item: _Claim | _Record) -> None:
        """Add an item; does not block."""
        self._items.append(item)
        if len(self._items) >= MAX_BATCH_ROWS:
            self._batch_full.set()
        if self._greenlet is None:
            self._greenlet = gevent.spawn(self._collect)

    def _collect(self) -> None:
        while self._items:
            self._batch_full.wait(MAX_BATCH_WAIT_SECONDS)
            while self._in_flight >= MAX_BATCHES_IN_FLIGHT:
                self._batch_finished.clear()
                self._batch_finished.wait()
            batch = self._take_batch()
            self._batch_full.clear()
            self._in_flight += 1
            gevent.spawn(self._run, batch)
        self._greenlet = None

    def _take_batch(self) -> list:
        size = 0
        count = 0
        keys: set[str] = set()
        for item in self._items[:MAX_BATCH_ROWS]:
            size += len(item.value)
            if item.key in keys or (count and size > MAX_BATCH_BYTES):
                break
            keys.add(item.key)
            count += 1
        batch = self._items[:count]
        del self._items[:count]
        return batch

    def _run(self, batch: list) -> None:
        try:
            self._flush(batch)
        finally:
            self._in_flight -= 1
            self._batch_finished.set()


class ClaimStore:
    """Executor of the effects on claims.

    Parameters
    ----------
    table : TableStore
    clock : Clock
    calls : PendingCalls
        Holds the content of each request and receives the outcome stored for an earlier one.
    holder : IncarnationId
    emit : callable
        Receives the resulting events.
    max_body_bytes : int
        Size in bytes up to which a response body is stored in the row.
    """

    def __init__(
        self,
        table: TableStore,
        clock: Clock,
        calls: PendingCalls,
        holder: IncarnationId,
        emit: Callable[[Event], None],
        max_body_bytes: int,
    ) -> None:
        self._table = table
        self._clock = clock
        self._calls = calls
        self._holder = holder
        self._emit = emit
        self._max_body_bytes = max_body_bytes
        self._claims = WriteBatcher(self._write_claims)
        self._records = WriteBatcher(self._write_records)
        self._rows: dict[str, tuple[ClaimRow, int]] = {}

    # Claims

    def claim(self, effect: ClaimRequest) -> None:
        """Add a claim to the next batch; does not block."""
        call = self._calls.get(effect.ticket)
        if call is None:
            return
        row = ClaimRow(
            claim_id=effect.claim_id,
            content=call.compute_digest(),
            holder=self._holder,
            at=self._clock.read(),
        )
        key = format_claim_key(effect.caller, effect.request_id)
        claim = _Claim(effect, key, row, msgspec.msgpack.encode(row))
        remaining = max(effect.deadline - self._clock.read(), 0.0)
        gevent.spawn_later(remaining, self._expire, claim)
        self._claims.add(claim)

    def _expire(self, claim: _Claim) -> None:
        self._resolve(claim, ClaimState.UNAVAILABLE)

    def _resolve(self, claim: _Claim, state: ClaimState) -> None:
        if claim.state is not None:
            if state is ClaimState.CLAIMED:
                self._release_unavailable(claim)
            return
        claim.state = state
        event = ClaimResolved(now=self._clock.read(), ticket=claim.effect.ticket, state=state)
        self._emit(event)

    def _release_unavailable(self, claim: _Claim) -> None:
        """Delete the row of a claim that took effect after it was reported as unavailable.

        A claim with any other result keeps its row: its request may have been dispatched.
        """
        if claim.state is ClaimState.UNAVAILABLE:
            gevent.spawn(self._release_row, claim.key, claim.row.claim_id)

    def _write_claims(self, batch: list[_Claim]) -> None:
        started = time.monotonic()
        is_indeterminate = False
        backoff = Backoff(maximum=MAX_BACKOFF_SECONDS)
        while batch := self._drop_resolved(batch, is_indeterminate):
            # Each attempt is a separate transaction: whether an earlier one took effect is read
            # from the rows, so the batch may shrink between attempts.
            checks = {claim.key: 0 for claim in batch}
            puts = {claim.key: claim.value for claim in batch}
            try:
                result = self._table.commit(f"claims-{uuid.uuid4().hex}", checks, puts)
                if isinstance(result, int):
                    self._mark_claimed(batch, result)
                    return
                batch = self._resolve_conflicts(batch, set(result.versions))
                continue
            except StoreUnavailableError:
                if not is_indeterminate and time.monotonic() - started >= UNAVAILABLE_AFTER_SECONDS:
                    self._mark_unavailable(batch)
                    return
            except ProtocolError:
                self._mark_unavailable(batch)
                return
            except TransportError:
                is_indeterminate = True
            backoff.wait()

    def _drop_resolved(self, batch: list[_Claim], is_indeterminate: bool) -> list[_Claim]:
        """Return the claims without a result; delete rows that unavailable ones may have left."""
        if is_indeterminate:
            for claim in batch:
                self._release_unavailable(claim)
        return [claim for claim in batch if claim.state is None]

    def _mark_unavailable(self, batch: list[_Claim]) -> None:
        for claim in batch:
            self._resolve(claim, ClaimState.UNAVAILABLE)

    def _mark_claimed(self, batch: list[_Claim], version: int) -> None:
        for claim in batch:
            self._cache_row(claim.row, version)
            self._resolve(claim, ClaimState.CLAIMED)

    def _resolve_conflicts(self, batch: list[_Claim], keys: set[str]) -> list[_Claim]:
        """Resolve the claims whose rows exist, and return the others."""
        rest: list[_Claim] = []
        for claim in batch:
            if claim.key not in keys or not self._resolve_from_row(claim):
                rest.append(claim)
        return rest

    def _resolve_from_row(self, claim: _Claim) -> bool:
        row = self._table.read(claim.key)
        if row.version == 0:
            return False
        found = decode_claim(row)
        if found.claim_id == claim.row.claim_id:
            self._cache_row(found, row.version)
            self._resolve(claim, ClaimState.CLAIMED)
        elif found.content != claim.row.content:
            self._resolve(claim, ClaimState.DIFFERENT)
        elif found.outcome is None:
            self._resolve(claim, ClaimState.IN_PROGRESS)
        else:
            call = self._calls.get(claim.effect.ticket)
            if call is not None:
                call.stored_outcome = found.outcome
            self._resolve(claim, ClaimState.RECORDED)
        return True

    def _cache_row(self, row: ClaimRow, version: int) -> None:
        self._rows[row.claim_id] = (row, version)
        while len(self._rows) > MAX_CACHED_ROWS:
            del self._rows[next(iter(self._rows))]

    # Outcomes

    def record(self, effect: RecordOutcome) -> None:
        """Add an outcome to the next batch; does not block."""
        outcome = self._build_outcome(effect)
        cached = self._rows.get(effect.claim_id)
        if outcome is None or cached is None:
            self._report_record(effect, False)
            return
        row = msgspec.structs.replace(cached[0], outcome=outcome)
        key = format_claim_key(effect.caller, effect.request_id)
        self._records.add(_Record(effect, key, row, msgspec.msgpack.encode(row)))

    def _build_outcome(self, effect: RecordOutcome) -> StoredOutcome | None:
        outcome = effect.outcome
        if isinstance(outcome, NotRun):
            return StoredOutcome(kind="not-run", reason=outcome.reason.value)
        if isinstance(outcome, Unknown):
            return StoredOutcome(kind="unknown", reason=outcome.reason.value)
        call = self._calls.get(effect.ticket)
        if not isinstance(outcome, Completed) or call is None or call.response is None:
            return None
        response = call.response
        if len(response.body) > self._max_body_bytes:
            return StoredOutcome(kind="completed", status=response.status, kept=False)
        return StoredOutcome(
            kind="completed",
            status=response.status,
            headers=response.headers,
            body=response.body,
        )

    def _report_record(self, effect: RecordOutcome, durable: bool) -> None:
        self._rows.pop(effect.claim_id, None)
        event = OutcomeRecorded(now=self._clock.read(), ticket=effect.ticket, durable=durable)
        self._emit(event)

    def _write_records(self, batch: list[_Record]) -> None:
        ends_at = time.monotonic() + OUTCOME_TIMEOUT_SECONDS
        backoff = Backoff(maximum=MAX_BACKOFF_SECONDS)
        while batch and time.monotonic() < ends_at:
            checks = {record.key: self._rows[record.row.claim_id][1] for record in batch}
            puts = {record.key: record.value for record in batch}
            try:
                result = self._table.commit(f"outcomes-{uuid.uuid4().hex}", checks, puts)
                if isinstance(result, int):
                    for record in batch:
                        self._report_record(record.effect, True)
                    return
                batch = self._resolve_records(batch, set(result.versions))
                continue
            except ProtocolError:
                break
            except (StoreUnavailableError, TransportError):
                backoff.wait()
        for record in batch:
            self._report_record(record.effect, False)

    def _resolve_records(self, batch: list[_Record], keys: set[str]) -> list[_Record]:
        """Return the records that need another write attempt."""
        remaining: list[_Record] = []
        for position, record in enumerate(batch):
            try:
                if not self._resolve_record(record, keys):
                    remaining.append(record)
            except LavenderhookError:
                # Those before it are resolved, and must not be written again.
                return [*remaining, *batch[position:]]
        return remaining

    def _resolve_record(self, record: _Record, keys: set[str]) -> bool:
        """Return whether the outcome needs no further write attempt."""
        if record.key not in keys:
            return False
        row = self._table.read(record.key)
        found = decode_claim(row) if row.version else None
        if found is None or found.claim_id != record.row.claim_id:
            self._report_record(record.effect, False)
            return True
        if found.outcome is not None:
            self._report_record(record.effect, True)
            return True
        self._rows[found.claim_id] = (found, row.version)
        return False

    # Release and queries

    def release(self, effect: ReleaseClaim) -> None:
        """Delete a claim whose request is guaranteed not to have been dispatched.

        The row is kept if it has an outcome or belongs to another claim.
        """
        self._release_row(format_claim_key(effect.caller, effect.request_id), effect.claim_id)

    def _release_row(self, key: str, claim_id: str) -> None:
        backoff = Backoff(maximum=MAX_BACKOFF_SECONDS)
        ends_at = time.monotonic() + OUTCOME_TIMEOUT_SECONDS
        while time.monotonic() < ends_at:
            try:
                row = self._table.read(key)
                if row.version == 0 or not _is_open_claim(row, claim_id):
                    return
                transaction_id = f"release-{uuid.uuid4().hex}"
                result = self._table.commit(transaction_id, {key: row.version}, {}, [key])
                if isinstance(result, int):
                    return
            except LavenderhookError:
                backoff.wait()

    def find(self, caller: str, request_id: str) -> ClaimRow | None:
        """Return the row of a request, or None if it was never claimed.

        Raises
        ------
        StoreUnavailableError, TransportError
            If the table cannot be read.
        """
        row = self._table.read(format_claim_key(caller, request_id))
        return decode_claim(row) if row.version else None


def _is_open_claim(row: Row, claim_id: str) -> bool:
    """Return whether a row has this claim id and no outcome yet."""
    found = decode_claim(row)
    return found.claim_id == claim_id and found.outcome is None
