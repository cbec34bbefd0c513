"""Delay after which a refused caller retries."""

from __future__ import annotations

import math

from .admission import Refusal

MIN_DELAY_SECONDS = 1.0
# Four retries outlast an outage of eight seconds, and none waits long after a shorter one.
MAX_BASE_DELAY_SECONDS = 2.0
DELAY_PER_OUTAGE_SECOND = 0.5
JITTER_SECONDS = 1.5  # at most; keeps callers refused together from retrying together
MAX_RETRIES = 4  # of a caller, which have to fit into the time in which a result is of use


def choose_retry_after(
    outage_seconds: float, jitter: float, remaining_seconds: float = math.inf
) -> int:
    """Return the seconds after which a caller should retry.

    Handles an outage of the store in which all callers are refused: delays grow with it, so that
    their few attempts last beyond its end, and get jitter, so that they don't retry at the
    same time.

    Parameters
    ----------
    outage_seconds : float
        How long the store has been unavailable.
    jitter : float
        A random number from 0 to 1.
    remaining_seconds : float
        How much time the caller has left. The delay is at most half of it, which leaves time for
        one more attempt and its response, but never less than `MIN_DELAY_SECONDS`. A longer delay
        would end the caller's attempts.
    """
    delay = min(
        max(outage_seconds * DELAY_PER_OUTAGE_SECOND, MIN_DELAY_SECONDS), MAX_BASE_DELAY_SECONDS
    )
    bound = max(MIN_DELAY_SECONDS, remaining_seconds / 2)
    return math.floor(min(math.ceil(delay + jitter * JITTER_SECONDS), bound))


def choose_retry_after_backlog(
    refusal: Refusal, jitter: float, remaining_seconds: float = math.inf
) -> int:
    """Return the seconds after which a caller refused because of the backlog should retry.

    Handles a backlog that drains while many callers are refused: they come back when what waits has
    gone down to what is of use, yet early enough for all their retries. So those whose results lose
    their use first come back first, each at another time within a quarter around it.

    Parameters
    ----------
    refusal : Refusal
    jitter : float
        A random number from 0 to 1.
    remaining_seconds : float
        See `choose_retry_after`.
    """
    drained_in = refusal.wait_seconds - refusal.useful_seconds
    delay = min(drained_in, refusal.useful_seconds / MAX_RETRIES) * (0.75 + 0.5 * jitter)
    bound = max(MIN_DELAY_SECONDS, remaining_seconds / 2)
    return math.floor(min(max(delay, MIN_DELAY_SECONDS), bound))
