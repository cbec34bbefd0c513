"""What shows an owner that it has not been replaced, and how old that is."""

from __future__ import annotations

from .contact import read_elapsed_clock


class OwnershipProof:
    """The newest proof that one owner has not been replaced.

    Parameters
    ----------
    proven_at : float
        When the claim was sent, by `read_elapsed_clock`.
    """

    def __init__(self, proven_at: float) -> None:
        self._stored_at = proven_at

    def record_store(self, sent_at: float) -> None:
        """Record that a transaction under the condition of the owner row has been accepted.

        Parameters
        ----------
        sent_at : float
            When it was sent, by `read_elapsed_clock`.
        """
        self._stored_at = max(self._stored_at, sent_at)

    def measure_store_age(self) -> float:
        """Return the seconds since the last proof by the store."""
        return read_elapsed_clock() - self._stored_at
