"""Following a table of the store in spite of lost history and old readings."""

from __future__ import annotations

from collections.abc import Callable, Sequence

import gevent.pool

from ...errors import LavenderhookError
from ..ports.queueing import STORE_CALL_SECONDS, HistoryLostError, RowChanges, RowStore, StoredRow

LogEvent = Callable[..., None]  # takes (what, fields) for the log
READERS = 16  # parts that are read at the same time


class TableWatcher:
    """Keeps the newest revision of each row of a table.

    Parameters
    ----------
    store : RowStore
    table : str
    apply : callable
        Takes each row that is newer than the one applied before.
    parts : sequence of str
        Parts of the table that are read.
    read_seconds : float, optional
        Time limit of a reading of one part.
    """

    def __init__(
        self,
        store: RowStore,
        table: str,
        apply: Callable[[StoredRow], None],
        parts: Sequence[str] = ("",),
        read_seconds: float = STORE_CALL_SECONDS,
    ) -> None:
        self._read_seconds = read_seconds
        self._store = store
        self._table = table
        self._apply = apply
        self._parts = parts
        self._revisions: dict[str, int] = {}
        self.revision: int | None = None

    def load(self) -> None:
        """Read the whole table.

        A reading may be seconds old after the store has lost its history; rows that are already
        known at a newer revision keep it.

        Raises
        ------
        StoreUnavailableError, TransportError
        """
        pool = gevent.pool.Pool(READERS)
        readings = pool.map(self._read_part, self._parts)
        for reading in readings:
            if isinstance(reading, LavenderhookError):
                raise reading
        for reading in readings:
            for row in reading.rows:
                self.offer(row)
        self.revision = max(min(reading.revision for reading in readings), self.revision or 0)

    def _read_part(self, part: str) -> RowChanges | LavenderhookError:
        try:
            return self._store.read(self._table, part=part, timeout_seconds=self._read_seconds)
        except LavenderhookError as error:
            return error  # raised by the caller, since a pool prints what its greenlets raise

    def poll(self, wait_seconds: float) -> None:
        """Apply what has changed, waiting for a change.

        Raises
        ------
        StoreUnavailableError, TransportError
        """
        if self.revision is None:
            self.load()
            return
        try:
            changes = self._store.wait_for_changes(self._table, self.revision, wait_seconds)
        except HistoryLostError:
            self.load()
            return
        for row in changes.rows:
            self.offer(row)
        self.revision = max(changes.revision, self.revision)

    def offer(self, row: StoredRow) -> None:
        """Apply a row unless it is known at this or a newer revision."""
        if row.revision > self._revisions.get(row.key, 0):
            self._revisions[row.key] = row.revision
            self._apply(row)


def describe_failure(error: LavenderhookError) -> dict[str, object]:
    """Return the fields of a log line about a failed call."""
    return {"error": error.code, "message": str(error)}
