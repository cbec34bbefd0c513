"""The transfers of one content that an instance has in progress."""

from __future__ import annotations

import contextlib
from collections.abc import Iterator

from ..ports.transfers import Transfer


class TrackedTransfer:
    """A transfer, and how many others were receiving at the same time.

    Attributes
    ----------
    beside : int
        The highest number of others at any moment.
    """

    def __init__(self, tracker: TransferTracker) -> None:
        self.transfer = Transfer(lambda: tracker.record_first_bytes())
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
    def begin(self) -> Iterator[TrackedTransfer]:
        """Yield a transfer that is in progress until the block ends."""
        tracked = TrackedTransfer(self)
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
