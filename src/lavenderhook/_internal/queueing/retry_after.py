"""Delay after which a refused caller retries."""

from __future__ import annotations

import math

MIN_DELAY_SECONDS = 1.0
# Four attempts outlast an outage of eight seconds, and none waits long after a shorter one.
MAX_DELAY_SECONDS = 2.0
DELAY_PER_OUTAGE_SECOND = 0.5
JITTER_SECONDS = 1.5  # over which callers that are refused together retry


def choose_retry_after(
    outage_seconds: float, jitter: float, remaining_seconds: float = math.inf
) -> int:
    """Return the seconds after which a caller should retry.

    Handles an outage of the store in which all callers are refused: delays grow with it, so that
    their few attempts last beyond its end, and get jitter, so that they don't retry together.

    Parameters
    ----------
    outage_seconds : float
        How long the store has been unavailable.
    jitter : float
        A random number from 0 to 1.
    remaining_seconds : float
        For how long the caller goes on retrying. A delay takes half of it at most, which leaves
        time for one more attempt and its response; a longer one would end the caller's attempts.
    """
    delay = min(max(outage_seconds * DELAY_PER_OUTAGE_SECOND, MIN_DELAY_SECONDS), MAX_DELAY_SECONDS)
    bound = max(MIN_DELAY_SECONDS, remaining_seconds / 2)
    return math.floor(min(math.ceil(delay + jitter * JITTER_SECONDS), bound))
