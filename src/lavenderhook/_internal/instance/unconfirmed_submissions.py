"""Submissions of former owners of which a new owner's first read may have missed what is stored."""

from __future__ import annotations

from collections.abc import Callable, Mapping, Sequence

import gevent
import gevent.event

from ...errors import LavenderhookError
from ..ports.queueing import Condition, RowConflict, StoredRow
from ..queueing.model import Submission, SubmissionId
from ..queueing.records import OUTCOME_PREFIX, PROGRESS_PREFIX, WORK_TABLE
from .table_watcher import LogEvent, describe_failure

# The store takes 100 entries in a transaction: two for each submission and two for the owner.
MAX_SUBMISSIONS_PER_READ = 40
MAX_LISTED_SUBMISSIONS = 5  # in a log line
# A peer that knows the revision of a submission often reports it as well: it isn't read then.
COLLECT_SECONDS = 0.05
RETRY_SECONDS = 0.2  # after a failed call to the store


class UnconfirmedSubmissions:
    """Reads the progress and the final states of submissions, and has them applied.

    Reads may be stale for seconds after the store has lost its history, and a former owner may
    have stored progress. Transactions are never stale: one that expects that the rows don't exist
    returns those that do.

    Parameters
    ----------
    read_current : callable
        Carries out a transaction under conditions and returns its result; raises
        `LavenderhookError` if the rows can't be read, or another instance has taken over.
    apply : callable
        Takes a submission, its revision if it is known, and its rows by prefix.
    log_event : callable
        Logs an event, given by its name and fields.
    """

    def __init__(
        self,
        read_current: Callable[[Sequence[Condition]], int | RowConflict],
        apply: Callable[[Submission, int | None, Mapping[str, StoredRow]], None],
        log_event: LogEvent,
    ) -> None:
        self._read_current = read_current
        self._apply = apply
        self._log_event = log_event
        self._pending: dict[SubmissionId, tuple[Submission, int | None]] = {}
        self._is_due = gevent.event.Event()
        self._is_empty = gevent.event.Event()
        self._is_empty.set()

    def __len__(self) -> int:
        """Return how many submissions wait."""
        return len(self._pending)

    def add(self, submission: Submission, revision: int | None) -> None:
        """Add a submission, unless it has been added with its revision."""
        _, known_revision = self._pending.get(submission.id, (submission, None))
        self._pending[submission.id] = (submission, revision or known_revision)
        self._is_empty.clear()
        self._is_due.set()

    def wait_until_applied(self) -> None:
        """Wait until all that was added has been applied."""
        self._is_empty.wait()

    def discard(self, submission: SubmissionId) -> None:
        """Forget a submission that turns out to be newer than the takeover."""
        self._pending.pop(submission, None)

    def run(self) -> None:
        """Read and apply what is added, until the greenlet is killed."""
        while True:
            self._is_due.wait()
            self._is_due.clear()
            gevent.sleep(COLLECT_SECONDS)
            while self._pending:
                self._apply_next()
            self._is_empty.set()

    def _apply_next(self) -> None:
        submissions = list(self._pending)[:MAX_SUBMISSIONS_PER_READ]
        keys = [prefix + s for s in submissions for prefix in (OUTCOME_PREFIX, PROGRESS_PREFIX)]
        try:
            result = self._read_current([Condition(WORK_TABLE, key, 0) for key in keys])
        except LavenderhookError as error:
            self._log_event(
                "submissions-unconfirmed", count=len(submissions), **describe_failure(error)
            )
            gevent.sleep(RETRY_SECONDS)
            return
        confirmed = [submission for submission in submissions if submission in self._pending]
        ended = progressed = 0
        for submission_id in confirmed:
            submission, revision = self._pending.pop(submission_id)
            rows = {}
            for prefix in (OUTCOME_PREFIX, PROGRESS_PREFIX):
                row = _find_row(result, prefix + submission_id)
                if row is not None:
                    rows[prefix] = row
            ended += OUTCOME_PREFIX in rows
            progressed += PROGRESS_PREFIX in rows
            self._apply(submission, revision, rows)
        self._log_event(
            "submissions-confirmed",
            count=len(confirmed),
            ended=ended,
            progressed=progressed,
            submissions=confirmed[:MAX_LISTED_SUBMISSIONS],
        )


def _find_row(result: int | RowConflict, key: str) -> StoredRow | None:
    """Return a row; a transaction that was carried out shows that none of them exists."""
    return result.find(WORK_TABLE, key) if isinstance(result, RowConflict) else None
