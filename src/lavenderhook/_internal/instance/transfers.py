"""The transfers of one content that an instance has in progress."""

from __future__ import annotations

import contextlib
from collections.abc import Iterator

from ..ports.transfers import MAX_TRANSFER_SECONDS, Transfer


class TrackedTransfer:
    """A transfer, and how many others were receiving at the same time.

    Parameters
    ----------
    tracker : TransferTracker
    max_seconds : float
        Time limit of the transfer from the first bytes on.

    Attributes
    ----------
    beside : int
        The highest number of others at any moment.
    """

    def __init__(self, tracker: TransferTracker, max_seconds: float) -> None:
        self.transfer = Transfer(tracker.record_first_bytes, max_seconds)
        self.beside = 0

    def describe(self) -> dict[str, object]:
        """Return the log fields that describe the transfer."""
        return {
            "received_bytes": self.transfer.received_bytes,
            "transfer_seconds": round(self.transfer.measure_duration(), 3),
            "beside": self.beside,
        }


class TransferTracker:
    """All transfers in progress of one content."""

    def __init__(self) -> None:
        self._active: list[TrackedTransfer] = []

    @contextlib.contextmanager
    def begin(self, max_seconds: float = MAX_TRANSFER_SECONDS) -> Iterator[TrackedTransfer]:
        """Yield a transfer that is in progress until the block ends."""
        tracked = TrackedTransfer(self, max_seconds)
        self._active.append(tracked)
        try:
            yield tracked
        finally:
            self._active.remove(tracked)

    def record_first_bytes(self) -> None:
        """Record that one of the transfers has begun to receive."""
        receiving = [t for t in self._active if t.transfer.is_receiving()]
        for tracked in receiving:
            tracked.beside = max(tracked.beside, len(receiving) - 1)
