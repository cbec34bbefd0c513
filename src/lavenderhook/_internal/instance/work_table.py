"""Rows of the work table, as a standby follows them and a new owner takes them over."""

from __future__ import annotations

from collections.abc import Callable

from ...errors import ProtocolError, StoreUnavailableError
from ..ports.queueing import RowStore, StoredRow
from ..queueing.model import Submission, SubmissionId
from ..queueing.records import (
    OUTCOME_PREFIX,
    PROGRESS_PREFIX,
    SUBMISSION_PARTS,
    SUBMISSION_PREFIX,
    WORK_TABLE,
    Outcome,
    Progress,
    choose_part,
    decode,
    decode_submission,
    parse_key,
)
from .table_watcher import LogEvent, TableWatcher


class WorkTable:
    """The decoded rows of the work table.

    Handles takeovers while the store is slow, the link thin or the table large: an instance that
    has followed the table reads one page of changes instead of every part.

    Attributes
    ----------
    submissions, progress : dict
        Records with the revisions of their rows.
    outcomes : dict
    unreadable : set of SubmissionId
        Submissions with a row that can't be decoded; without its progress, tasks that are done
        would run again.

    Parameters
    ----------
    store : RowStore
    log_event : callable
        Logs an event, given by its name and fields.
    """

    def __init__(self, store: RowStore, log_event: LogEvent) -> None:
        self.submissions: dict[SubmissionId, tuple[Submission, int]] = {}
        self.progress: dict[SubmissionId, tuple[Progress, int]] = {}
        self.outcomes: dict[SubmissionId, Outcome] = {}
        self.unreadable: set[SubmissionId] = set()
        self._store = store
        self._apply: Callable[[StoredRow], None] = self._record
        parts = ("", *SUBMISSION_PARTS)
        self._watcher = TableWatcher(store, WORK_TABLE, self._apply_row, parts, log_event)

    def poll(self) -> None:
        """Apply the changes since the last call; the first call reads the whole table.

        Raises
        ------
        StoreUnavailableError, TransportError
        """
        self._watcher.poll(0.0)

    def may_be_stale(self) -> bool:
        """Return whether the rows may lack some that had been stored before they were read."""
        return self._watcher.may_be_stale()

    def catch_up(self, revision: int) -> None:
        """Read the table as it is at a revision or later.

        Raises
        ------
        StoreUnavailableError, TransportError
            If a read fails, or returns an older state.
        """
        self.poll()
        if (self._watcher.revision or 0) < revision:
            raise StoreUnavailableError("the store returned rows older than the takeover")

    def read(self, submission: SubmissionId) -> dict[str, StoredRow]:
        """Read the rows of a submission, by the prefixes of their keys.

        Raises
        ------
        StoreUnavailableError, TransportError
        """
        parts = {
            SUBMISSION_PREFIX: choose_part(submission),
            PROGRESS_PREFIX: "",
            OUTCOME_PREFIX: "",
        }
        rows: dict[str, StoredRow] = {}
        for prefix, part in parts.items():
            key = prefix + submission
            # The end of a range is exclusive, so this reads one key.
            found = self._store.read(WORK_TABLE, key, key + "\0", part).rows
            rows.update((prefix, row) for row in found)
        return rows

    def hand_over(self, apply: Callable[[StoredRow], None]) -> None:
        """Discard the records; later changes go to `apply`."""
        self._apply = apply
        self.submissions.clear()
        self.progress.clear()
        self.outcomes.clear()

    def _apply_row(self, row: StoredRow) -> None:
        self._apply(row)

    def _record(self, row: StoredRow) -> None:
        prefix, submission = parse_key(row.key)
        if row.is_deleted:
            self._forget(prefix, submission)
            return
        try:
            if prefix == SUBMISSION_PREFIX:
                self.submissions[submission] = (decode_submission(row.value), row.revision)
            elif prefix == PROGRESS_PREFIX:
                self.progress[submission] = (decode(row.value, Progress), row.revision)
            elif prefix == OUTCOME_PREFIX:
                self.outcomes[submission] = decode(row.value, Outcome)
        except ProtocolError:
            self.unreadable.add(submission)
            raise

    def _forget(self, prefix: str, submission: SubmissionId) -> None:
        if prefix == SUBMISSION_PREFIX:
            self.submissions.pop(submission, None)
        elif prefix == PROGRESS_PREFIX:
            self.progress.pop(submission, None)
        elif prefix == OUTCOME_PREFIX:
            self.outcomes.pop(submission, None)
