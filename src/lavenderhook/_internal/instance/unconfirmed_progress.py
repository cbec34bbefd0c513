"""Progress that an owner has sent to the store, and that it may have stored."""

from __future__ import annotations

import hashlib

from ..queueing.model import SubmissionId


class UnconfirmedProgress:
    """The progress rows sent since the last one of each submission that is known to be stored.

    A write whose response was lost may be carried out late. The next write then conflicts with it,
    as it does with the progress of another owner that a stale read has missed.
    """

    def __init__(self) -> None:
        self._digests: dict[SubmissionId, set[bytes]] = {}

    def record_sent(self, submission: SubmissionId, value: bytes) -> None:
        """Record a row that is about to be sent."""
        self._digests.setdefault(submission, set()).add(_compute_digest(value))

    def record_stored(self, submission: SubmissionId) -> None:
        """Record that the row sent last is stored: no earlier one can be carried out any longer."""
        self._digests.pop(submission, None)

    def has_sent(self, submission: SubmissionId, value: bytes) -> bool:
        """Return whether a row that was found in the store is one of these."""
        return _compute_digest(value) in self._digests.get(submission, set())


def _compute_digest(value: bytes) -> bytes:
    return hashlib.sha256(value).digest()
