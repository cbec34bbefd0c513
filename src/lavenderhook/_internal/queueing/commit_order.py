"""Which submissions the owner's next commits store."""

from __future__ import annotations

from collections.abc import Collection, Iterable, Mapping

from ..core.identifiers import WorkerId
from .events import FinishedRunPosition
from .model import SubmissionId
from .submissions import SubmissionProgress
from .workers import Worker

# The store takes 100 entries in a transaction: two for each submission and one for the owner.
MAX_SUBMISSIONS_PER_TRANSACTION = 45
# Of these, submissions without a final state, if there are any: planned starts wait for them, and
# so do workers that report finished runs.
MIN_UNFINISHED_PER_TRANSACTION = 10


def choose_submissions_to_commit(
    changed: Iterable[SubmissionId],
    entries: Mapping[SubmissionId, SubmissionProgress],
    *,
    is_store_slow: bool,
) -> tuple[list[SubmissionId], list[SubmissionId]]:
    """Return the submissions to store now, in order, and those to store later.

    Handles a slow store, where one transaction takes as long as a short task: callers are shown a
    final state once it is stored, and would wait behind the progress of all other submissions. So
    final states come first, and only one transaction is made before the next choice.
    """
    final: list[SubmissionId] = []
    others: list[SubmissionId] = []
    for submission in changed:
        entry = entries.get(submission)
        (final if entry is not None and entry.is_finalizing else others).append(submission)
    if not is_store_slow:
        return final + others, []
    reserved = min(len(others), MIN_UNFINISHED_PER_TRANSACTION)
    now = final[: MAX_SUBMISSIONS_PER_TRANSACTION - reserved]
    count = MAX_SUBMISSIONS_PER_TRANSACTION - len(now)
    return now + others[:count], final[len(now) :] + others[count:]


class CommitPlanner:
    """Plans the owner's commits, and tells which finished runs they let it acknowledge.

    Handles a store that is slow for so long that there are always changes left to store: what had
    changed up to one moment is awaited, and acknowledged without what has changed since.
    """

    def __init__(self) -> None:
        self._awaited: set[SubmissionId] = set()
        self._positions: dict[WorkerId, FinishedRunPosition] = {}

    def begin(
        self,
        changed: Collection[SubmissionId],
        positions: dict[WorkerId, FinishedRunPosition],
        entries: Mapping[SubmissionId, SubmissionProgress],
        *,
        is_store_slow: bool,
    ) -> tuple[list[SubmissionId], dict[SubmissionId, None]]:
        """Return the submissions to store now, in order, and those to store later.

        Parameters
        ----------
        changed : collection of SubmissionId
        positions : dict
            Up to where finished runs may be acknowledged once all changes are stored.
        entries : mapping
            The submissions by id.
        is_store_slow : bool
        """
        if not self._awaited:
            self._awaited, self._positions = set(changed), positions
        now, left = choose_submissions_to_commit(changed, entries, is_store_slow=is_store_slow)
        return now, dict.fromkeys(left)

    def end(
        self,
        submissions: Iterable[SubmissionId],
        changed: Iterable[SubmissionId],
        *,
        is_stored: bool,
    ) -> dict[WorkerId, FinishedRunPosition] | None:
        """Return the positions that the store covers, or None if it doesn't cover them yet.

        Parameters
        ----------
        submissions : iterable of SubmissionId
            Those of the commit.
        changed : iterable of SubmissionId
            Those that are to be stored after it.
        is_stored : bool
            Whether all of the commit is stored.
        """
        if is_stored:
            self._awaited.difference_update(submissions)
        self._awaited.intersection_update(changed)
        return self._positions if is_stored and not self._awaited else None


def list_unstored_positions(workers: Iterable[Worker]) -> dict[WorkerId, FinishedRunPosition]:
    """Return up to where the finished runs of each worker are processed but not stored."""
    return {
        worker.id: FinishedRunPosition(worker.newest.born, worker.processed_sequence)
        for worker in workers
        if worker.processed_sequence > worker.stored_sequence
    }
