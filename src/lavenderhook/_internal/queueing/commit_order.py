"""Which submissions the owner's next commits store."""

from __future__ import annotations

from collections.abc import Iterable, Mapping

from ..core.identifiers import WorkerId
from .events import FinishedRunPosition
from .model import SubmissionId
from .submissions import SubmissionProgress
from .workers import Worker

# The store takes 100 entries in a transaction: two for each submission and one for the owner.
MAX_SUBMISSIONS_PER_TRANSACTION = 45


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
    ordered = final + others
    most = MAX_SUBMISSIONS_PER_TRANSACTION if is_store_slow else len(ordered)
    return ordered[:most], ordered[most:]


def list_unstored_positions(workers: Iterable[Worker]) -> dict[WorkerId, FinishedRunPosition]:
    """Return up to where the finished runs of each worker are processed but not stored."""
    return {
        worker.id: FinishedRunPosition(worker.newest.born, worker.processed_sequence)
        for worker in workers
        if worker.processed_sequence > worker.stored_sequence
    }
