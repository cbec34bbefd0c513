"""Refusal of new submissions at an entry instance, by what the owner says of its backlog."""

from __future__ import annotations

from collections.abc import Callable

import msgspec

from ...errors import LavenderhookError
from ..queueing.admission import BACKLOG_MAX_AGE_SECONDS, Refusal, find_refusal
from ..queueing.backlog import Backlog, measure_backlog
from ..queueing.model import Submission, SubmissionId
from ..queueing.owner_state import OwnerState
from .submission_writer import WriteResult
from .table_watcher import LogEvent, describe_failure

MEASURE_INTERVAL_SECONDS = 0.25
MAX_ATTEMPTS = 5_000


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
    log_event : callable
        Logs an event, given by its name and fields.
    """

    def __init__(self, is_stored: Callable[[SubmissionId], bool], log_event: LogEvent) -> None:
        self._is_stored = is_stored
        self._log_event = log_event
        self._backlog = Backlog()
        self._measured_at = -BACKLOG_MAX_AGE_SECONDS
        # Submissions whose write has begun here, in this order.
        self._attempts: dict[SubmissionId, None] = {}

    def record_backlog(self, backlog: Backlog, asked_at: float) -> None:
        """Record the owner's answer to a call that was sent at a monotonic time in seconds."""
        self._backlog = backlog
        self._measured_at = asked_at - backlog.age_seconds

    def begin_write(self, submission: SubmissionId) -> None:
        """Record that a submission may be stored from now on."""
        self._attempts[submission] = None
        if len(self._attempts) > MAX_ATTEMPTS:
            self._attempts.pop(next(iter(self._attempts)))

    def end_write(self, submission: SubmissionId, result: WriteResult) -> None:
        """Record the result of a write."""
        if result is WriteResult.NOT_STORED:
            self._attempts.pop(submission, None)

    def find_refusal(self, submission: Submission, now: float) -> Refusal | None:
        """Return why a submission is refused at a monotonic time in seconds, or None."""
        if now - self._measured_at > BACKLOG_MAX_AGE_SECONDS or submission.id in self._attempts:
            return None
        refusal = find_refusal(submission, self._backlog)
        if refusal is None:
            return None
        try:
            is_stored = self._is_stored(submission.id)
        except LavenderhookError as error:
            self._log_event(
                "refusal-unchecked", submission=submission.id, **describe_failure(error)
            )
            return None
        # Another attempt may have begun while the store was read.
        return None if is_stored or submission.id in self._attempts else refusal
