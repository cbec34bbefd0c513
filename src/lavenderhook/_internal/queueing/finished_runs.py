"""Finished runs that a worker reports until they are acknowledged."""

from __future__ import annotations

from collections.abc import Sequence
from typing import NamedTuple

from .model import FinishedRun

# A finished run of an unknown submission is kept for this time, since results read from the store
# lag by up to 6 s after the change feed no longer covers the revision.
UNMATCHED_FINISHED_RUN_SECONDS = 8.0


class _WaitingRun(NamedTuple):
    """A finished run of an unknown submission, and when it was first reported."""

    finished: FinishedRun
    since: float


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
        self._processed: set[int] = set()  # sequences above the stored one
        self._waiting: dict[int, _WaitingRun] = {}

    @property
    def processed_sequence(self) -> int:
        """Highest finished run that is applied to the state, as are all before it."""
        processed = self._processed
        if self._waiting:
            first = min(self._waiting)
            processed = {sequence for sequence in processed if sequence < first}
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
        """Return whether a finished run has to wait until its submission is known.

        A former owner may have started a submission that was stored after the takeover; without
        the wait, its finished run would be acknowledged without being stored.
        """
        if not is_known:
            waiting = self._waiting.setdefault(finished.sequence, _WaitingRun(finished, now))
            if now - waiting.since < UNMATCHED_FINISHED_RUN_SECONDS:
                return True  # later, the submission's rows have been deleted
        self._waiting.pop(finished.sequence, None)
        self._processed.add(finished.sequence)
        return False

    def record_stored(self, sequence: int) -> None:
        """Record that the store covers the processed runs up to a sequence."""
        self.stored_sequence = max(self.stored_sequence, min(sequence, self.processed_sequence))
        self._processed = {s for s in self._processed if s > self.stored_sequence}
