"""Acceptance of submissions and cancellations: an answer follows the stored row."""

from __future__ import annotations

import enum
import time
from collections.abc import Callable

import gevent
import gevent.event

from ...errors import LavenderhookError, StoreUnavailableError
from ..ports.queueing import RowConflict, RowStore, Write
from ..queueing.model import Submission, SubmissionId, SubmissionState
from ..queueing.records import (
    OUTCOME_PREFIX,
    SUBMISSION_PREFIX,
    WORK_TABLE,
    Outcome,
    choose_part,
    decode_outcome,
    encode,
)

MAX_ROWS_PER_TRANSACTION = 20  # submissions; the store limits entries and bytes of a transaction
RETRY_SECONDS = 0.15  # before a write of unknown effect is tried again


class WriteResult(enum.Enum):
    """What is certain about a write that a caller waits for."""

    STORED = "stored"
    NOT_STORED = "not-stored"  # it never will be
    UNKNOWN = "unknown"
    NO_SUCH = "no-such"  # there is nothing to cancel


class _Waiting:
    """A row that waits for its transaction."""

    __slots__ = ("answered", "deadline", "is_outcome_unknown", "key", "result", "value")

    def __init__(self, key: str, value: bytes, deadline: float) -> None:
        self.key = key
        self.value = value
        self.deadline = deadline
        self.is_outcome_unknown = False
        self.result: WriteResult | None = None
        self.answered = gevent.event.Event()

    def resolve(self, result: WriteResult) -> None:
        self.result = result
        self.answered.set()


class SubmissionWriter:
    """Writes rows of callers in shared transactions.

    Parameters
    ----------
    store : RowStore
    log_event : callable
        Takes (what, fields) for the log.
    """

    def __init__(self, store: RowStore, log_event: Callable[..., None]) -> None:
        self._store = store
        self._log_event = log_event
        self._writers: dict[str, _PartWriter] = {}

    def stop(self) -> None:
        """End the writers."""
        for writer in self._writers.values():
            writer.stop()

    def store_submission(self, submission: Submission, deadline: float) -> WriteResult:
        """Store a submission once, however often it is sent.

        Parameters
        ----------
        submission : Submission
        deadline : float
            Monotonic time in seconds at which the caller stops waiting.
        """
        key = SUBMISSION_PREFIX + submission.id
        return self._put(choose_part(submission.id), key, encode(submission), deadline)

    def store_cancellation(self, submission: SubmissionId, deadline: float) -> WriteResult:
        """Store a cancellation; an earlier final state stands."""
        outcome = Outcome(state=SubmissionState.CANCELLED, at=time.time())
        return self._put("", OUTCOME_PREFIX + submission, encode(outcome), deadline)

    def read_outcome(self, submission: SubmissionId) -> Outcome | None:
        """Return the stored final state, or None."""
        key = OUTCOME_PREFIX + submission
        rows = self._store.read(WORK_TABLE, key, key + "\0").rows
        return decode_outcome(rows[0].value) if rows else None

    def _put(self, part: str, key: str, value: bytes, deadline: float) -> WriteResult:
        writer = self._writers.get(part)
        if writer is None:
            writer = self._writers[part] = _PartWriter(self._store, part, self._log_event)
        return writer.put(key, value, deadline)


class _PartWriter:
    """Writes the rows of one part, one transaction at a time.

    Rows that arrive while a transaction is under way share the next one, so that a burst costs
    few transactions.
    """

    def __init__(self, store: RowStore, part: str, log_event: Callable[..., None]) -> None:
        self._store = store
        self._part = part
        self._log_event = log_event
        self._queue: list[_Waiting] = []
        self._filled = gevent.event.Event()
        self._greenlet = gevent.spawn(self._run)

    def stop(self) -> None:
        """End the writer."""
        self._greenlet.kill(block=False)

    def put(self, key: str, value: bytes, deadline: float) -> WriteResult:
        """Write a row that must not exist, and wait for the answer."""
        waiting = _Waiting(key, value, deadline)
        self._queue.append(waiting)
        self._filled.set()
        waiting.answered.wait(max(deadline - time.monotonic(), 0.001))
        if waiting.result is None:
            # The row may be in a transaction right now.
            waiting.result = WriteResult.UNKNOWN
        return waiting.result

    def _run(self) -> None:
        while True:
            self._filled.wait()
            batch = self._take_batch()
            if not batch:
                self._filled.clear()
                continue
            self._write(batch)

    def _take_batch(self) -> list[_Waiting]:
        batch: list[_Waiting] = []
        keys: set[str] = set()
        left: list[_Waiting] = []
        for waiting in self._queue:
            if waiting.result is not None:
                continue
            if len(batch) < MAX_ROWS_PER_TRANSACTION and waiting.key not in keys:
                keys.add(waiting.key)
                batch.append(waiting)
            else:
                left.append(waiting)
        self._queue = left
        return batch

    def _write(self, batch: list[_Waiting]) -> None:
        writes = [Write(WORK_TABLE, waiting.key, waiting.value, 0, self._part) for waiting in batch]
        try:
            result = self._store.transact(writes)
        except StoreUnavailableError as error:
            self._log_event("intake-refused", rows=len(batch), message=str(error))
            for waiting in batch:
                if waiting.is_outcome_unknown:
                    self._try_again(waiting)
                else:
                    waiting.resolve(WriteResult.NOT_STORED)
            return
        except LavenderhookError as error:
            self._log_event("intake-unknown", rows=len(batch), message=str(error))
            for waiting in batch:
                waiting.is_outcome_unknown = True
                self._try_again(waiting)
            return
        if not isinstance(result, RowConflict):
            for waiting in batch:
                waiting.resolve(WriteResult.STORED)
            return
        # A row that exists was stored before, by an earlier attempt of the same caller.
        for waiting in batch:
            if result.find(WORK_TABLE, waiting.key) is not None:
                waiting.resolve(WriteResult.STORED)
            else:
                self._queue.append(waiting)
        self._filled.set()

    def _try_again(self, waiting: _Waiting) -> None:
        """Write the row again: a conflict then shows that it was stored."""
        if time.monotonic() + RETRY_SECONDS >= waiting.deadline:
            waiting.resolve(WriteResult.UNKNOWN)
            return
        gevent.spawn_later(RETRY_SECONDS, self._requeue, waiting)

    def _requeue(self, waiting: _Waiting) -> None:
        if waiting.result is None:
            self._queue.append(waiting)
            self._filled.set()
