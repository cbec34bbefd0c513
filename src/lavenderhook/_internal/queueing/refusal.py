"""When a refused caller should come back."""

from __future__ import annotations

import math

SHORTEST_SECONDS = 1.0
# Four tries outlast an outage of eight seconds, and none waits long beyond a shorter one's end.
LONGEST_SECONDS = 2.0
GROWTH = 0.5  # of the time that the outage has lasted
SPREAD_SECONDS = 1.5  # over which callers that are refused together come back


def choose_retry_after(outage_seconds: float, spread: float) -> int:
    """Return the seconds after which a caller should try again.

    Answers an outage of the store in which all callers are refused: pauses grow with it, so that
    their few tries last beyond its end, and are spread, so that they don't return together.

    Parameters
    ----------
    outage_seconds : float
        How long the store has been away.
    spread : float
        A random number from 0 to 1.
    """
    pause = min(max(outage_seconds * GROWTH, SHORTEST_SECONDS), LONGEST_SECONDS)
    return math.ceil(pause + spread * SPREAD_SECONDS)
