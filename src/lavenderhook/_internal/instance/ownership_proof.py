"""What shows an owner that it has not been replaced, and how old that is."""

from __future__ import annotations

import math
from collections.abc import Collection

from ..queueing.authority import STORELESS_SECONDS
from .clock import read_elapsed_clock


class OwnershipProof:
    """The newest proof that one owner has not been replaced; see the module `authority`.

    All times are by `read_elapsed_clock`. A proof counts from the time at which its call was sent:
    an answer that has waited in a buffer while the process was paused proves nothing about the
    time since.

    Parameters
    ----------
    claimed_at : float
        When the claim was sent.

    Attributes
    ----------
    stored_at : float
        When the transaction was sent that was the last to be accepted.
    """

    def __init__(self, claimed_at: float) -> None:
        self.stored_at = claimed_at
        self._answered_at: dict[str, float] = {}

    def record_store(self, sent_at: float) -> None:
        """Record that a transaction under the condition of the owner row has been accepted."""
        self.stored_at = max(self.stored_at, sent_at)

    def record_peer(self, process: str, sent_at: float) -> None:
        """Record that a peer's process has answered that it has not become a later owner."""
        self._answered_at[process] = max(sent_at, self._answered_at.get(process, -math.inf))

    def measure_store_age(self) -> float:
        """Return the seconds since the last proof by the store."""
        return read_elapsed_clock() - self.stored_at

    def measure_age(self, peers: Collection[str]) -> float:
        """Return the seconds since the last proof by the store or by all peers.

        Parameters
        ----------
        peers : collection of str
            Processes of all listed peers.
        """
        now = read_elapsed_clock()
        answered_at = min((self._answered_at.get(peer, -math.inf) for peer in peers), default=now)
        return now - max(self.stored_at, min(answered_at, self.stored_at + STORELESS_SECONDS))

    def list_unanswered(self, peers: Collection[str], max_age: float) -> list[str]:
        """Return the peers whose last answer is missing or older than `max_age` seconds."""
        since = read_elapsed_clock() - max_age
        return sorted(p for p in peers if self._answered_at.get(p, -math.inf) < since)
