"""Stores submissions and cancellations; callers are answered once their row is stored."""

from __future__ import annotations

import enum
import time
from collections.abc import Callable

import gevent
import gevent.event

from ...errors import LavenderhookError, StoreBusyError, StoreUnavailableError
from ..ports.queueing import RowConflict, RowStore, Write
from ..queueing.model import Submission, SubmissionId, SubmissionState
from ..queueing.records import (
    OUTCOME_PREFIX,
    SUBMISSION_PREFIX,
    WORK_TABLE,
    Outcome,
    choose_part,
    decode,
    encode,
)
from .slow_store import is_store_slow

MAX_ROWS_PER_TRANSACTION = 20  # the store limits a transaction's entries and bytes
WRITE_RETRY_SECONDS = 0.15  # before a write of unknown outcome is repeated
MAX_REVISIONS = 2_000  # of the submissions stored last; the owner is notified soon after


class WriteResult(enum.Enum):
    """What is known about a write that a caller waits for."""

    STORED = "stored"
    NOT_STORED = "not-stored"  # and will not be
    UNKNOWN = "unknown"
    NO_SUCH = "no-such"  # there is nothing to cancel


class _PendingRow:
    """A row that waits for the result of its transaction."""

    __slots__ = (
        "completed",
        "deadline",
        "is_in_transaction",
        "is_outcome_unknown",
        "key",
        "result",
        "revision",
        "value",
    )

    def __init__(self, key: str, value: bytes, deadline: float) -> None:
        self.key = key
        self.value = value
        self.deadline = deadline
        self.is_in_transaction = False
        self.is_outcome_unknown = False
        self.result: WriteResult | None = None
        self.revision: int | None = None
        self.completed = gevent.event.Event()

    def resolve(self, result: WriteResult, revision: int | None = None) -> None:
        self.result = result
        self.revision = revision
        self.completed.set()

    def resolve_unwritten(self) -> None:
        """Resolve the row that is in no transaction and won't be in one any longer."""
        unwritten = WriteResult.UNKNOWN if self.is_outcome_unknown else WriteResult.NOT_STORED
        self.resolve(unwritten)


class SubmissionWriter:
    """Stores submissions and cancellations; concurrent writes to a part share transactions.

    Parameters
    ----------
    store : RowStore
    log_event : callable
        Logs an event, given by its name and fields.
    """

    def __init__(self, store: RowStore, log_event: Callable[..., None]) -> None:
        self._store = store
        self._log_event = log_event
        self._writers: dict[str, _PartWriter] = {}
        self._revisions: dict[SubmissionId, int] = {}

    def stop(self) -> None:
        """Stop the writers of all parts."""
        for writer in self._writers.values():
            writer.stop()

    def store_submission(self, submission: Submission, deadline: float) -> WriteResult:
        """Store a submission; repeated calls store it once.

        Parameters
        ----------
        submission : Submission
        deadline : float
            Monotonic time in seconds at which the caller stops waiting.
        """
        key = SUBMISSION_PREFIX + submission.id
        row = self._put(choose_part(submission.id), key, encode(submission), deadline)
        if row.revision is not None:
            self._revisions[submission.id] = row.revision
            if len(self._revisions) > MAX_REVISIONS:
                self._revisions.pop(next(iter(self._revisions)))
        return row.result or WriteResult.UNKNOWN

    def find_revision(self, submission: SubmissionId) -> int | None:
        """Return the revision of a submission that was stored lately; None if it isn't known."""
        return self._revisions.get(submission)

    def store_cancellation(self, submission: SubmissionId, deadline: float) -> WriteResult:
        """Store a cancellation; an earlier final state is kept."""
        outcome = Outcome(state=SubmissionState.CANCELLED, at=time.time())
        row = self._put("", OUTCOME_PREFIX + submission, encode(outcome), deadline)
        return row.result or WriteResult.UNKNOWN

    def read_outcome(self, submission: SubmissionId) -> Outcome | None:
        """Return the stored final state, or None."""
        key = OUTCOME_PREFIX + submission
        # The end of a range is exclusive, so this reads one key.
        rows = self._store.read(WORK_TABLE, key, key + "\0").rows
        return decode(rows[0].value, Outcome) if rows else None

    def _put(self, part: str, key: str, value: bytes, deadline: float) -> _PendingRow:
        writer = self._writers.get(part)
        if writer is None:
            writer = self._writers[part] = _PartWriter(self._store, part, self._log_event)
        return writer.put(key, value, deadline)


class _PartWriter:
    """Writes the rows of one part (partition) of the table, one transaction at a time.

    Rows that arrive while a transaction is in progress share the next one, so that a burst takes
    few transactions.
    """

    def __init__(self, store: RowStore, part: str, log_event: Callable[..., None]) -> None:
        self._store = store
        self._part = part
        self._log_event = log_event
        self._queue: list[_PendingRow] = []
        self._has_rows = gevent.event.Event()
        self._greenlet = gevent.spawn(self._write_loop)

    def stop(self) -> None:
        """Stop the writer."""
        self._greenlet.kill(block=False)

    def put(self, key: str, value: bytes, deadline: float) -> _PendingRow:
        """Write a row that must not exist yet, and wait for the result, which may be unknown."""
        row = _PendingRow(key, value, deadline)
        self._queue.append(row)
        self._has_rows.set()
        row.completed.wait(max(deadline - time.monotonic(), 0.001))
        if row.result is None:
            if row.is_in_transaction:
                row.result = WriteResult.UNKNOWN
            else:
                row.resolve_unwritten()
        return row

    def _write_loop(self) -> None:
        while True:
            self._has_rows.wait()
            batch = self._take_batch()
            if not batch:
                self._has_rows.clear()
                continue
            self._write(batch)

    def _take_batch(self) -> list[_PendingRow]:
        batch: list[_PendingRow] = []
        keys: set[str] = set()
        remaining: list[_PendingRow] = []
        for row in self._queue:
            if row.result is not None:
                continue
            if len(batch) < MAX_ROWS_PER_TRANSACTION and row.key not in keys:
                keys.add(row.key)
                row.is_in_transaction = True
                batch.append(row)
            else:
                remaining.append(row)
        self._queue = remaining
        return batch

    def _write(self, batch: list[_PendingRow]) -> None:
        writes = [Write(WORK_TABLE, row.key, row.value, 0, self._part) for row in batch]
        try:
            result = self._store.transact(writes)
        except StoreBusyError as error:
            self._log_event("intake-delayed", rows=len(batch), message=str(error))
            is_slow = is_store_slow(self._store.measure_latency_seconds())
            for row in batch:
                if is_slow or row.is_outcome_unknown:
                    self._schedule_retry(row)
                else:  # another instance may be served
                    row.resolve(WriteResult.NOT_STORED)
            return
        except StoreUnavailableError as error:
            self._log_event("intake-refused", rows=len(batch), message=str(error))
            for row in batch:
                if row.is_outcome_unknown:
                    self._schedule_retry(row)
                else:
                    row.resolve(WriteResult.NOT_STORED)
            return
        except LavenderhookError as error:
            self._log_event("intake-unknown", rows=len(batch), message=str(error))
            for row in batch:
                row.is_outcome_unknown = True
                self._schedule_retry(row)
            return
        if not isinstance(result, RowConflict):
            for row in batch:
                row.resolve(WriteResult.STORED, result)
            return
        # An existing submission was stored by an earlier attempt of the same caller; an existing
        # final state is kept.
        for row in batch:
            found = result.find(WORK_TABLE, row.key)
            if found is not None:
                row.resolve(WriteResult.STORED, found.revision)
            else:
                row.is_in_transaction = False
                self._queue.append(row)
        self._has_rows.set()

    def _schedule_retry(self, row: _PendingRow) -> None:
        """Write the row again later; if it had been stored, a conflict shows that."""
        row.is_in_transaction = False
        if time.monotonic() + WRITE_RETRY_SECONDS >= row.deadline:
            row.resolve_unwritten()
            return
        gevent.spawn_later(WRITE_RETRY_SECONDS, self._requeue, row)

    def _requeue(self, row: _PendingRow) -> None:
        if row.result is None:
            self._queue.append(row)
            self._has_rows.set()
