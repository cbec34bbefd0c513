"""How long an owner may act on a proof of its ownership, and how long its successor waits for it.

An owner extends leases and starts tasks only for `PROOF_SECONDS` after it has sent a call whose
answer proves that nobody had taken over before. Two things prove that:

- the store has accepted a transaction under the condition of the owner row;
- each listed peer has answered that it has not become a later owner, and a majority of the workers
  has answered this one (`witnesses`). Contact with some of the peers proves nothing, since the
  others may be outside a partition. An instance that has joined without the owner's knowledge isn't
  asked, so that this counts only for `STORELESS_SECONDS` after the last proof by the store.

A lease that has expired by an owner's count proves the end of a run only if the store has confirmed
the owner since: a successor may have reached the worker meanwhile, and extends its leases.

A new owner can't know when its predecessor's last proof was, only that it was before its own claim.
It waits for the bound that applies to its predecessor, or until the answers of the workers show
that all earlier owners have ended, and then for the longest lease.
"""

from __future__ import annotations

import enum

PROOF_SECONDS = 1.2
STORELESS_SECONDS = 60.0
# The clocks of two instances may run at rates that differ by this much.
CLOCK_RATE_FACTOR = 1.01


class Predecessor(enum.Enum):
    """What a claiming instance knows of the present owner."""

    NONE = "none"
    ENDED = "ended"  # it has resigned, or its process has ended
    ASKS_PEERS = "asks-peers"  # it lists this instance, so that it asks it while it has no store
    UNAWARE = "unaware"  # it may go on without asking this instance


_SECONDS = {
    Predecessor.NONE: 0.0,
    Predecessor.ENDED: 0.0,
    Predecessor.ASKS_PEERS: PROOF_SECONDS,
    Predecessor.UNAWARE: STORELESS_SECONDS + PROOF_SECONDS,
}


def is_proof_valid(age_seconds: float) -> bool:
    """Return whether an owner may act on a proof of this age."""
    return age_seconds <= PROOF_SECONDS


def compute_authority_seconds(predecessor: Predecessor, inherited_seconds: float) -> float:
    """Return for how long after a claim earlier owners may still extend leases.

    Parameters
    ----------
    predecessor : Predecessor
    inherited_seconds : float
        What is left of the time for which owners before the predecessor may.
    """
    return max(_SECONDS[predecessor] * CLOCK_RATE_FACTOR, inherited_seconds)
