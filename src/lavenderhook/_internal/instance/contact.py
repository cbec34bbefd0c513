"""How long ago an instance last reached the store or a peer."""

from __future__ import annotations

import time

# Shorter than the time after which a peer takes over from an owner that can't be reached, so that
# the leases of an isolated owner expire before its successor counts them as expired.
ISOLATION_SECONDS = 1.2


def read_elapsed_clock() -> float:
    """Return a clock in seconds that goes on while the machine is suspended."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


class Contact:
    """The newest call that was answered.

    A call counts from the time at which it was sent: an answer that has waited in a buffer while
    the process was paused proves nothing about the time since.
    """

    def __init__(self) -> None:
        self.last_sent_at = 0.0

    def record_answer(self, sent_at: float) -> None:
        """Record that a call was answered.

        Parameters
        ----------
        sent_at : float
            Time on the clock of `read_elapsed_clock`.
        """
        self.last_sent_at = max(self.last_sent_at, sent_at)


def is_isolated(contact_age_seconds: float) -> bool:
    """Return whether an owner has to assume that it has been replaced.

    Handles an owner that is cut off together with some workers, or that was paused: its successor
    can't reach those workers, and starts their tasks elsewhere once their leases must have expired.
    Until it reaches the store or a peer again, the owner extends no lease and starts nothing.
    """
    return contact_age_seconds > ISOLATION_SECONDS
