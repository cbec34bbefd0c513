"""Refusal of new submissions at an entry instance, by what the owner says of its backlog."""

from __future__ import annotations

from collections.abc import Callable

import gevent
import msgspec

from ...errors import LavenderhookError, StoreUnavailableError
from ..queueing.admission import BACKLOG_MAX_AGE_SECONDS, Refusal, find_refusal
from ..queueing.backlog import Backlog, measure_backlog
from ..queueing.model import Submission, SubmissionId
from ..queueing.owner_state import OwnerState
from .submission_writer import WriteResult
from .table_watcher import LogEvent, describe_failure

MEASURE_INTERVAL_SECONDS = 0.25
MAX_ATTEMPTS = 5_000
READ_SECONDS = 0.3  # for the row of a submission; a lossy store would use up the caller's time


class BacklogMeter:
    """Measures the backlog of the owner, a few times a second at most."""

    def __init__(self) -> None:
        self._measured_at = -MEASURE_INTERVAL_SECONDS
        self._backlog = Backlog()

    def measure(self, state: OwnerState, now: float) -> Backlog:
        """Return the backlog at a monotonic time in seconds."""
        if now - self._measured_at >= MEASURE_INTERVAL_SECONDS:
            self._measured_at = now
            self._backlog = measure_backlog(
                state.submissions.values(),
                state.workers.values(),
                state.durations,
                now,
                state.scheduler.gives_way,
            )
        return msgspec.structs.replace(self._backlog, age_seconds=now - self._measured_at)


class AdmissionControl:
    """Refuses submissions that would begin when their results are of no use any more.

    A refusal promises that a submission never runs. So nothing is refused of which a write has
    begun here and may take effect, or of which a row is stored, and nothing without a backlog that
    the owner has just measured.

    Parameters
    ----------
    is_stored : callable
        Takes the id of a submission; raises `LavenderhookError` if that can't be known now.
    can_reach_store : callable
        Returns whether the store is available, as far as this instance knows.
    log_event : callable
        Logs an event, given by its name and fields.
    """

    def __init__(
        self,
        is_stored: Callable[[SubmissionId], bool],
        can_reach_store: Callable[[], bool],
        log_event: LogEvent,
    ) -> None:
        self._is_stored = is_stored
        self._can_reach_store = can_reach_store
        self._log_event = log_event
        self._backlog = Backlog()
        self._measured_at = -BACKLOG_MAX_AGE_SECONDS
        # By submission, how many writes have begun here that may take effect, in this order.
        self._attempts: dict[SubmissionId, int] = {}

    def record_backlog(self, backlog: Backlog, asked_at: float) -> None:
        """Record the owner's answer to a call that was sent at a monotonic time in seconds."""
        self._backlog = backlog
        self._measured_at = asked_at - backlog.age_seconds

    def begin_write(self, submission: SubmissionId) -> None:
        """Record that a submission may be stored from now on."""
        self._attempts[submission] = self._attempts.get(submission, 0) + 1
        if len(self._attempts) > MAX_ATTEMPTS:
            self._attempts.pop(next(iter(self._attempts)))

    def end_write(self, submission: SubmissionId, result: WriteResult) -> WriteResult:
        """Record the result of a write; return what is known of all that have begun here.

        Handles a caller that repeats a call whose write is still in progress, or has lost its
        response: the second write may fail for certain, and the first one still take effect.
        """
        if result is not WriteResult.NOT_STORED:
            return result
        left = self._attempts.get(submission, 1) - 1
        if left > 0:
            self._attempts[submission] = left
            return WriteResult.UNKNOWN
        self._attempts.pop(submission, None)
        return result

    def find_refusal(self, submission: Submission, now: float) -> Refusal | None:
        """Return why a submission is refused at a monotonic time in seconds, or None."""
        if now - self._measured_at > BACKLOG_MAX_AGE_SECONDS or submission.id in self._attempts:
            return None
        refusal = find_refusal(submission, self._backlog)
        return None if refusal is None or self.may_be_stored(submission.id) else refusal

    def may_be_stored(self, submission: SubmissionId) -> bool:
        """Return whether a submission is stored, or may be as far as can be known at once."""
        if submission in self._attempts or not self._can_reach_store():
            return True
        # A read that takes longer is left to end by itself.
        reader = gevent.spawn(self._read_is_stored, submission)
        try:
            is_stored = reader.get(timeout=READ_SECONDS)
        except gevent.Timeout:
            self._log_unchecked(submission, StoreUnavailableError("the read takes too long"))
            return True
        # Another attempt may have begun while the store was read.
        return is_stored or submission in self._attempts

    def _read_is_stored(self, submission: SubmissionId) -> bool:
        try:
            return self._is_stored(submission)
        except LavenderhookError as error:
            self._log_unchecked(submission, error)
            return True

    def _log_unchecked(self, submission: SubmissionId, error: LavenderhookError) -> None:
        self._log_event("refusal-unchecked", submission=submission, **describe_failure(error))
