"""Decisions while the store answers, but slowly.

The store runs the transactions of one part one after another. A hundred times as slow as usual, it
answers a read in 0.4 s and completes fewer than two transactions of a part in a second. Repeating
a write elsewhere, which helps when an answer is lost, then fills the parts until the store turns
further transactions away.
"""

from __future__ import annotations

import hashlib
from collections.abc import Iterable

from ..ports.queueing import STORE_OUTAGE_SECONDS
from ..queueing.authority import PROOF_SECONDS

SLOW_STORE_SECONDS = 0.15  # many times the usual latency and the delay of a long link
# A write without a response is forwarded after a multiple of the usual duration of a call, within
# these bounds.
MIN_HEDGE_DELAY_SECONDS = 0.2
MAX_HEDGE_DELAY_SECONDS = 0.8
HEDGE_DELAY_PER_LATENCY = 8.0
# A slow call waits for one that is in progress, and differs in duration from the average.
UNUSUAL_LATENCIES = 2.5
MAX_CONFIRMATIONS = 4  # in flight


def is_store_slow(latency_seconds: float) -> bool:
    """Return whether the store is far slower than usual, by the duration of answered calls."""
    return latency_seconds >= SLOW_STORE_SECONDS


def compute_hedge_delay(latency_seconds: float) -> float:
    """Return after how many seconds without a response a write is forwarded as well.

    Handles a store that answers all calls slowly: the write of each caller would be repeated by two
    peers, and the parts would have to carry out three times as many transactions.
    """
    delay = HEDGE_DELAY_PER_LATENCY * latency_seconds
    return min(max(delay, MIN_HEDGE_DELAY_SECONDS), compute_max_hedge_delay(latency_seconds))


def compute_max_hedge_delay(latency_seconds: float) -> float:
    """Return for how many seconds at most a write waits for a response before it is forwarded."""
    return max(MAX_HEDGE_DELAY_SECONDS, UNUSUAL_LATENCIES * latency_seconds)


def compute_outage_seconds(latency_seconds: float) -> float:
    """Return after how many seconds without any response the store counts as unavailable.

    Handles a slow store: calls that it will answer would be abandoned and made again.
    """
    return max(STORE_OUTAGE_SECONDS, UNUSUAL_LATENCIES * latency_seconds)


def choose_confirmation_limit(
    latency_seconds: float, proof_age_seconds: float, *, is_committing: bool
) -> int:
    """Return how many confirmations of the ownership an owner may have in flight.

    Handles a part of the store that takes two transactions a second: final states wait behind each
    confirmation there, and confirmations that wait for others are too old once they are answered.
    Commits of progress confirm the ownership as well, unless they conflict: then the last proof
    gets older than two calls take.
    """
    is_recent = proof_age_seconds < 2.0 * UNUSUAL_LATENCIES * latency_seconds
    if is_committing and is_recent and is_store_slow(latency_seconds):
        return 0
    return max(1, min(MAX_CONFIRMATIONS, int(PROOF_SECONDS / max(latency_seconds, 0.001))))


def choose_gathering_instance(part: str, addresses: Iterable[str]) -> str:
    """Return the instance that writes the rows of a part for all others, by rendezvous hashing.

    Handles a burst of submissions to a slow store: what all instances write to a part within one
    transaction's duration shares the next transaction, instead of one transaction each.

    Parameters
    ----------
    part : str
    addresses : iterable of str
        Of the instances, at least one. Those with different lists only share less.
    """
    return min(
        addresses,
        key=lambda address: hashlib.blake2b(f"{part} {address}".encode(), digest_size=8).digest(),
    )
