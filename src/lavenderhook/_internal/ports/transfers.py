"""The progress of a response that is being received."""

from __future__ import annotations

import time
from collections.abc import Callable

# A response that goes on arriving is waited for; a connection that has gone silent is not.
MAX_SILENCE_SECONDS = 1.2
# Bounds a response that arrives without end, or too slowly to be of use.
MAX_TRANSFER_SECONDS = 30.0


class Transfer:
    """What has arrived of the response to a call, in time and in bytes.

    The time limit of the call holds until the first bytes arrive. A large response takes as long as
    the link needs: from then on, only silence ends the call.

    Parameters
    ----------
    on_first_bytes : callable, optional
        Called when the first bytes arrive.
    max_seconds : float, optional
        Time limit from the first bytes on, however much arrives.

    Attributes
    ----------
    received_bytes : int
    """

    def __init__(
        self,
        on_first_bytes: Callable[[], None] | None = None,
        max_seconds: float = MAX_TRANSFER_SECONDS,
    ) -> None:
        self.received_bytes = 0
        self._on_first_bytes = on_first_bytes
        self._max_seconds = max_seconds
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

    def extend(self, deadline: float) -> float:
        """Return until when to wait for the next bytes.

        Parameters
        ----------
        deadline : float
            Of the call, in monotonic time; the result is never earlier.
        """
        if self._first_at is None:
            return deadline
        end = min(self._last_at + MAX_SILENCE_SECONDS, self._first_at + self._max_seconds)
        return max(deadline, end)

    def is_receiving(self) -> bool:
        """Return whether a part of the response has arrived."""
        return self._first_at is not None

    def has_been_active_since(self, moment: float) -> bool:
        """Return whether it was begun, or bytes have arrived, after a moment (monotonic time)."""
        return self._last_at >= moment

    def measure_silence(self) -> float:
        """Return for how long nothing has arrived, from the call on, in seconds."""
        return time.monotonic() - self._last_at

    def measure_duration(self) -> float:
        """Return the time between the first and the last bytes, in seconds."""
        return 0.0 if self._first_at is None else self._last_at - self._first_at
