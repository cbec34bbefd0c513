"""When a refused caller should come back."""

from __future__ import annotations

import math

MIN_DELAY_SECONDS = 1.0
# Four tries outlast an outage of eight seconds, and none waits long beyond a shorter one's end.
MAX_DELAY_SECONDS = 2.0
GROWTH = 0.5  # of the time that the outage has lasted
JITTER_SECONDS = 1.5  # over which callers that are refused together come back


def choose_retry_after(
    outage_seconds: float, jitter: float, remaining_seconds: float = math.inf
) -> int:
    """Return the seconds after which a caller should try again.

    Answers an outage of the store in which all callers are refused: pauses grow with it, so that
    their few tries last beyond its end, and are spread, so that they don't return together.

    Parameters
    ----------
    outage_seconds : float
        How long the store has been away.
    jitter : float
        A random number from 0 to 1.
    remaining_seconds : float
        For how long the caller goes on trying. A pause takes half of it at most, so that there is
        time for one more try and an answer; one that outlasts it would end the caller's tries.
    """
    pause = min(max(outage_seconds * GROWTH, MIN_DELAY_SECONDS), MAX_DELAY_SECONDS)
    bound = max(MIN_DELAY_SECONDS, remaining_seconds / 2)
    return math.floor(min(math.ceil(pause + jitter * JITTER_SECONDS), bound))
