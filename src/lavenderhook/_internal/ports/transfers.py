"""The progress of a response that is being received."""

from __future__ import annotations

import time
from collections.abc import Callable


class Transfer:
    """What has arrived of the response to a call, in time and in bytes.

    Parameters
    ----------
    on_first_bytes : callable, optional
        Called when the first bytes arrive.

    Attributes
    ----------
    received_bytes : int
    """

    def __init__(self, on_first_bytes: Callable[[], None] | None = None) -> None:
        self.received_bytes = 0
        self._on_first_bytes = on_first_bytes
        self._first_at: float | None = None
        self._last_at = time.monotonic()

    def record(self, count: int) -> None:
        """Record that bytes have arrived."""
        self._last_at = time.monotonic()
        self.received_bytes += count
        if self._first_at is None:
            self._first_at = self._last_at
            if self._on_first_bytes is not None:
                self._on_first_bytes()

    def is_receiving(self) -> bool:
        """Return whether a part of the response has arrived."""
        return self._first_at is not None

    def measure_silence(self) -> float:
        """Return for how long nothing has arrived, from the call on, in seconds."""
        return time.monotonic() - self._last_at

    def measure_duration(self) -> float:
        """Return the time between the first and the last bytes, in seconds."""
        return 0.0 if self._first_at is None else self._last_at - self._first_at
