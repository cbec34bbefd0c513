"""Finished runs that a worker reports until they are acknowledged."""

from __future__ import annotations

from collections.abc import Sequence
from typing import NamedTuple

from .model import FinishedRun, SubmissionId

# Reads may lag by up to 6 s. One that is sent this long after a finished run was reported shows
# the row of its submission, which was stored before the run began, unless it has been deleted.
UNMATCHED_FINISHED_RUN_SECONDS = 8.0


class _WaitingRun(NamedTuple):
    """A finished run of an unknown submission, and when it was first reported."""

    finished: FinishedRun
    since: float

    def is_overdue(self, now: float) -> bool:
        """Return whether a read sent now shows whether the submission's rows have been deleted."""
        return now - self.since >= UNMATCHED_FINISHED_RUN_SECONDS


class FinishedRunTracker:
    """Which finished runs of one incarnation of a worker are applied to the state and stored.

    They are applied in any order, so that one whose submission isn't known holds up no others. The
    worker forgets all up to an acknowledged one, so that only those before the first that waits
    can be acknowledged.

    Attributes
    ----------
    stored_sequence : int
        Highest finished run that is covered by the store, as are all before it.
    """

    def __init__(self) -> None:
        self.stored_sequence = 0
        self._processed: dict[int, FinishedRun] = {}  # by sequence, above the stored one
        self._waiting: dict[int, _WaitingRun] = {}

    @property
    def processed_sequence(self) -> int:
        """Highest finished run that is applied to the state, as are all before it."""
        if not self._waiting:
            return max(self._processed, default=self.stored_sequence)
        first = min(self._waiting)
        processed = (sequence for sequence in self._processed if sequence < first)
        return max(processed, default=self.stored_sequence)

    @property
    def has_waiting(self) -> bool:
        """Whether finished runs wait for their submissions."""
        return bool(self._waiting)

    def list_waiting(self) -> list[FinishedRun]:
        """Return the finished runs that wait for their submissions."""
        return [run.finished for run in self._waiting.values()]

    def select_new(self, reported: Sequence[FinishedRun]) -> list[FinishedRun]:
        """Return the reported finished runs that aren't applied to the state yet."""
        return [
            finished
            for finished in reported
            if finished.sequence > self.stored_sequence and finished.sequence not in self._processed
        ]

    def waits_for_submission(self, finished: FinishedRun, *, is_known: bool, now: float) -> bool:
        """Return whether a finished run has to wait until its submission is known, or absent.

        A former owner may have started a submission that was stored after the takeover; without
        the wait, its finished run would be acknowledged without being stored.
        """
        if is_known:
            self._record_processed(finished)
        else:
            self._waiting.setdefault(finished.sequence, _WaitingRun(finished, now))
        return not is_known

    def _record_processed(self, finished: FinishedRun) -> None:
        self._waiting.pop(finished.sequence, None)
        self._processed[finished.sequence] = finished

    def list_overdue(self, now: float) -> list[SubmissionId]:
        """Return the submissions whose rows a read can show to have been deleted."""
        waiting = self._waiting.values()
        overdue = [run.finished.task.submission for run in waiting if run.is_overdue(now)]
        return list(dict.fromkeys(overdue))

    def take_absent(self, submission: SubmissionId, read_at: float) -> list[FinishedRun]:
        """Return the finished runs that needn't wait any longer, as the submission has no row.

        Parameters
        ----------
        submission : SubmissionId
        read_at : float
            When the read was sent that has found no row.
        """
        taken = [
            run.finished
            for run in self._waiting.values()
            if run.finished.task.submission == submission and run.is_overdue(read_at)
        ]
        for finished in taken:
            self._record_processed(finished)
        return taken

    def retract(self, submission: SubmissionId, now: float) -> None:
        """Let the finished runs of a submission wait that were applied, but not stored."""
        for finished in list(self._processed.values()):
            if finished.task.submission == submission:
                del self._processed[finished.sequence]
                self._waiting[finished.sequence] = _WaitingRun(finished, now)

    def record_stored(self, sequence: int) -> None:
        """Record that the store covers the processed runs up to a sequence."""
        self.stored_sequence = max(self.stored_sequence, min(sequence, self.processed_sequence))
        self._processed = {n: f for n, f in self._processed.items() if n > self.stored_sequence}
