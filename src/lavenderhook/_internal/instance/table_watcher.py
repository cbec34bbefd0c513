"""Follows a table of the store through gaps in its change feed and stale reads."""

from __future__ import annotations

import time
from collections.abc import Callable, Sequence

import gevent.pool

from ...errors import LavenderhookError, ProtocolError
from ..ports.queueing import (
    MAX_READ_STALENESS_SECONDS,
    STORE_CALL_SECONDS,
    HistoryLostError,
    RowChanges,
    RowStore,
    StoredRow,
)

LogEvent = Callable[..., None]  # logs an event, given by its name and fields
MAX_CONCURRENT_READS = 16  # of parts, the partitions of a table


class TableWatcher:
    """Applies the newest revision of each row of a table.

    Parameters
    ----------
    store : RowStore
    table : str
    apply : callable
        Takes each row that is newer than the one applied before; raises `ProtocolError` for one
        that can't be decoded.
    parts : sequence of str
        Parts of the table that `load` reads.
    log_event : callable
        Logs an event, given by its name and fields.
    read_timeout_seconds : float, optional
        Time limit for reading one part.
    """

    def __init__(
        self,
        store: RowStore,
        table: str,
        apply: Callable[[StoredRow], None],
        parts: Sequence[str],
        log_event: LogEvent,
        read_timeout_seconds: float = STORE_CALL_SECONDS,
    ) -> None:
        self._read_timeout_seconds = read_timeout_seconds
        self._store = store
        self._table = table
        self._apply = apply
        self._parts = parts
        self._log_event = log_event
        self._revisions: dict[str, int] = {}
        self._rereading = Rereading()
        self.revision: int | None = None

    def load(self) -> None:
        """Read the whole table.

        Reads may be seconds stale after the store's change feed has lost its history; a row that
        is already known at a newer revision keeps it. The first read may be stale as well, if the
        history was lost before this process began to follow the table: it is read once more.

        Raises
        ------
        StoreUnavailableError, TransportError
        """
        pool = gevent.pool.Pool(MAX_CONCURRENT_READS)
        results = pool.map(self._read_part, self._parts)
        for result in results:
            if isinstance(result, LavenderhookError):
                raise result
        rows = [row for result in results for row in result.rows]
        newer = sum(self.apply_if_newer(row) for row in rows)
        revision = min(result.revision for result in results)
        self._log_event(
            "table-read",
            table=self._table,
            rows=len(rows),
            newer=newer,
            revision=revision,
            former_revision=self.revision,
        )
        if self.revision is None:
            self._rereading.schedule()
        self.revision = max(revision, self.revision or 0)

    def _read_part(self, part: str) -> RowChanges | LavenderhookError:
        try:
            return self._store.read(
                self._table, part=part, timeout_seconds=self._read_timeout_seconds
            )
        except LavenderhookError as error:
            return error  # raised by the caller, since a pool prints what its greenlets raise

    def poll(self, wait_seconds: float) -> None:
        """Apply the changes since the last call, waiting for one; load the table if they are lost.

        Raises
        ------
        StoreUnavailableError, TransportError
        """
        if self.revision is None:
            self.load()
            return
        if self._rereading.is_due():
            self.load()
            self._rereading.complete()
        try:
            changes = self._store.wait_for_changes(self._table, self.revision, wait_seconds)
        except HistoryLostError:
            self._rereading.schedule()
            self.load()
            return
        for row in changes.rows:
            self.apply_if_newer(row)
        self.revision = max(changes.revision, self.revision)

    def may_be_stale(self) -> bool:
        """Return whether the last read of the whole table may have missed rows."""
        return self._rereading.is_scheduled()

    def apply_if_newer(self, row: StoredRow) -> bool:
        """Apply a row unless it is known at this or a newer revision; return whether it was not.

        A row that can't be decoded is logged and left out; it must not hold up the others.
        """
        if row.revision <= self._revisions.get(row.key, 0):
            return False
        self._revisions[row.key] = row.revision
        try:
            self._apply(row)
        except ProtocolError as error:
            self._log_event(
                "row-unreadable",
                table=self._table,
                key=row.key,
                revision=row.revision,
                **describe_failure(error),
            )
        return True


class Rereading:
    """When a table is read once more after the store has lost its history, or may have lost it.

    The read that follows the loss may be stale, with a revision that is newer than its rows: the
    change feed would go on behind the changes that the read has missed. The first read of a process
    may follow a loss that the process has not seen.
    """

    def __init__(self) -> None:
        self._due_at: float | None = None

    def schedule(self) -> None:
        """Schedule a read for when none can be stale any longer."""
        self._due_at = time.monotonic() + MAX_READ_STALENESS_SECONDS

    def is_scheduled(self) -> bool:
        """Return whether the table will have to be read, now or later."""
        return self._due_at is not None

    def is_due(self) -> bool:
        """Return whether the table has to be read now."""
        return self._due_at is not None and time.monotonic() >= self._due_at

    def is_pending(self) -> bool:
        """Return whether the table will have to be read, but not yet."""
        return self._due_at is not None and not self.is_due()

    def complete(self) -> None:
        """Record that the table has been read."""
        self._due_at = None


def describe_failure(error: LavenderhookError) -> dict[str, object]:
    """Return the log fields that describe a failed call."""
    return {"error": error.code, "message": str(error)}
