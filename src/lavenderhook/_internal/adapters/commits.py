"""Shard log: commits, loading and snapshots."""

from __future__ import annotations

import collections
import random
import zlib
from collections.abc import Callable

import gevent
import msgspec

from ...errors import LavenderhookError, ProtocolError, StoreUnavailableError, TransportError
from ..core.effects import CommitShard, LoadShard, StoreSnapshot
from ..core.events import (
    CommitConflicted,
    CommitDelayed,
    CommitSucceeded,
    Event,
    ShardLoaded,
    ShardLoadFailed,
    SnapshotStored,
)
from ..core.identifiers import ShardId
from ..core.records import AnyRecord, ShardHead, ShardSnapshot
from ..decoding import decode_msgpack, reject_malformed
from ..ports.platform import ObjectStore, Row, TableStore
from ..ports.time import Clock

SLOW_COMMIT_SECONDS = 1.0
MIN_BACKOFF_SECONDS = 0.02
MAX_BACKOFF_SECONDS = 0.5  # bounds the delay after an outage
# A transaction may hold 100 rows; 10 are left for the head row, the log row and a reserve.
MAX_DELETES = 90
SCAN_ROWS = 100  # a range read of up to this many rows counts as one read
LOAD_ATTEMPTS = 5
KEPT_SNAPSHOTS = 2
COMPRESS_ABOVE_BYTES = 65536  # below this, compression takes longer than it saves in transfer
RAW, COMPRESSED = b"\x00", b"\x01"

_BATCH_TYPE = tuple[AnyRecord, ...]


def format_head_key(shard: ShardId) -> str:
    """Return the key of a shard's head row."""
    return f"shard/{shard}/head"


def format_log_key(shard: ShardId, number: int) -> str:
    """Return the key of a log row; keys sort in log order."""
    return f"shard/{shard}/log/{number:012d}"


def format_snapshot_key(shard: ShardId, number: int) -> str:
    """Return the key of a snapshot object."""
    return f"shard/{shard}/snapshot/{number:012d}"


def encode_batch(records: tuple[AnyRecord, ...]) -> bytes:
    """Encode the records of a log row, compressed above `COMPRESS_ABOVE_BYTES`."""
    encoded = msgspec.msgpack.encode(records)
    if len(encoded) <= COMPRESS_ABOVE_BYTES:
        return RAW + encoded
    return COMPRESSED + zlib.compress(encoded, 1)


def decode_batch(value: bytes) -> tuple[AnyRecord, ...]:
    """Decode the records of a log row."""
    content = value[1:]
    if value[:1] == COMPRESSED:
        content = _decompress(content)
    return decode_msgpack(content, _BATCH_TYPE)


def _decompress(content: bytes) -> bytes:
    with reject_malformed("compressed row"):
        return zlib.decompress(content)


class Backoff:
    """Exponential backoff with jitter."""

    def __init__(
        self, initial: float = MIN_BACKOFF_SECONDS, maximum: float = MAX_BACKOFF_SECONDS
    ) -> None:
        self._next_wait = initial
        self._maximum = maximum

    def wait(self) -> None:
        """Sleep before the next attempt."""
        gevent.sleep(self._next_wait * random.uniform(0.5, 1.0))
        self._next_wait = min(self._next_wait * 2, self._maximum)


class ShardLog:
    """Executor of the effects on shard logs.

    Parameters
    ----------
    table : TableStore
    objects : ObjectStore
    clock : Clock
    emit : callable
        Receives the resulting events.
    """

    def __init__(
        self,
        table: TableStore,
        objects: ObjectStore,
        clock: Clock,
        emit: Callable[[Event], None],
    ) -> None:
        self._table = table
        self._objects = objects
        self._clock = clock
        self._emit = emit
        self._snapshots: dict[ShardId, collections.deque[int]] = {}

    def commit(self, effect: CommitShard) -> None:
        """Send a transaction and retry until it is committed or conflicts.

        Raises
        ------
        ProtocolError
            If the table rejects a call as malformed or too large; no event is emitted.
        """
        slow_commit_timer = gevent.spawn_later(SLOW_COMMIT_SECONDS, self._report_delay, effect)
        try:
            version = self._commit_until_definite(effect)
        finally:
            slow_commit_timer.kill(block=False)
        now = self._clock.read()
        shard, transaction_id = effect.shard, effect.transaction_id
        if version is None:
            self._emit(CommitConflicted(now=now, shard=shard, transaction_id=transaction_id))
            return
        self._emit(
            CommitSucceeded(now=now, shard=shard, transaction_id=transaction_id, version=version)
        )
        self._delete_remaining_log_rows(effect)

    def _report_delay(self, effect: CommitShard) -> None:
        event = CommitDelayed(
            now=self._clock.read(), shard=effect.shard, transaction_id=effect.transaction_id
        )
        self._emit(event)

    def _commit_until_definite(self, effect: CommitShard) -> int | None:
        """Return the head's new version, or None after a conflict with another owner."""
        head_key = format_head_key(effect.shard)
        log_key = format_log_key(effect.shard, effect.head.next_log - 1)
        puts = {
            head_key: msgspec.msgpack.encode(effect.head),
            log_key: encode_batch(effect.records),
        }
        deletes = [format_log_key(effect.shard, n) for n in effect.delete_logs[:MAX_DELETES]]
        checks = {head_key: effect.expected_version}
        backoff = Backoff()
        while True:
            try:
                result = self._table.commit(effect.transaction_id, checks, puts, deletes)
                if isinstance(result, int):
                    return result
                return self._resolve_conflict(effect)
            except (StoreUnavailableError, TransportError):
                backoff.wait()

    def _resolve_conflict(self, effect: CommitShard) -> int | None:
        row = self._table.read(format_head_key(effect.shard))
        if row.version == 0:
            return None
        head = decode_msgpack(row.value, ShardHead)
        return row.version if head.transaction_id == effect.transaction_id else None

    def _delete_remaining_log_rows(self, effect: CommitShard) -> None:
        """Delete the log rows that did not fit into the transaction.

        A snapshot covers them, so their deletion needs no check and may fail.
        """
        remaining = effect.delete_logs[MAX_DELETES:]
        for low in range(0, len(remaining), MAX_DELETES):
            keys = [format_log_key(effect.shard, n) for n in remaining[low : low + MAX_DELETES]]
            try:
                self._table.commit(f"{effect.transaction_id}-{low}", {}, {}, keys)
            except LavenderhookError:
                return

    def load(self, effect: LoadShard) -> None:
        """Read a shard's head, snapshot and log."""
        backoff = Backoff()
        for _ in range(LOAD_ATTEMPTS):
            try:
                loaded = self._read_shard(effect.shard)
            except LavenderhookError:
                loaded = None
            if loaded is not None:
                self._emit(loaded)
                return
            backoff.wait()
        self._emit(ShardLoadFailed(now=self._clock.read(), shard=effect.shard))

    def _read_shard(self, shard: ShardId) -> ShardLoaded | None:
        """Return a shard, or None if its owner compacted the log during the read."""
        row = self._table.read(format_head_key(shard))
        if row.version == 0:
            return self._build_loaded(shard, None, row, None, ())
        head = decode_msgpack(row.value, ShardHead)
        snapshot = None
        if head.snapshot_log:
            stored = self._objects.get(format_snapshot_key(shard, head.snapshot_log))
            if stored is None:
                return None
            snapshot = decode_msgpack(_decompress(stored), ShardSnapshot)
        batches = self._read_log(shard, head)
        if len(batches) != head.next_log - 1 - head.snapshot_log:
            return None
        return self._build_loaded(shard, head, row, snapshot, batches)

    def _build_loaded(
        self,
        shard: ShardId,
        head: ShardHead | None,
        row: Row,
        snapshot: ShardSnapshot | None,
        batches: tuple[tuple[AnyRecord, ...], ...],
    ) -> ShardLoaded:
        return ShardLoaded(
            now=self._clock.read(),
            shard=shard,
            head=head,
            version=row.version,
            snapshot=snapshot,
            batches=batches,
        )

    def _read_log(self, shard: ShardId, head: ShardHead) -> tuple[tuple[AnyRecord, ...], ...]:
        batches: list[tuple[AnyRecord, ...]] = []
        after = format_log_key(shard, head.snapshot_log)
        end = format_log_key(shard, head.next_log)
        while True:
            rows = self._table.scan(f"shard/{shard}/log/", after, SCAN_ROWS)
            batches.extend(decode_batch(row.value) for row in rows if row.key < end)
            if len(rows) < SCAN_ROWS or rows[-1].key >= end:
                return tuple(batches)
            after = rows[-1].key

    def store_snapshot(self, effect: StoreSnapshot) -> None:
        """Put a snapshot into the object store and delete superseded ones."""
        snapshot = effect.snapshot
        content = zlib.compress(msgspec.msgpack.encode(snapshot), 1)
        backoff = Backoff()
        key = format_snapshot_key(snapshot.shard, snapshot.log_number)
        while True:
            try:
                self._objects.put(key, content)
                break
            except (StoreUnavailableError, TransportError):
                backoff.wait()
        event = SnapshotStored(
            now=self._clock.read(), shard=snapshot.shard, log_number=snapshot.log_number
        )
        self._emit(event)
        self._delete_old_snapshots(snapshot)

    def _delete_old_snapshots(self, snapshot: ShardSnapshot) -> None:
        stored = self._snapshots.setdefault(snapshot.shard, collections.deque())
        stored.append(snapshot.log_number)
        while len(stored) > KEPT_SNAPSHOTS:
            try:
                self._objects.delete(format_snapshot_key(snapshot.shard, stored.popleft()))
            except (StoreUnavailableError, TransportError, ProtocolError):
                return
