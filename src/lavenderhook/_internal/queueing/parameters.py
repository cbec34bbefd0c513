"""Parameters of the owner."""

from __future__ import annotations

import msgspec


class OwnerParameters(msgspec.Struct, frozen=True, kw_only=True):
    """Times that the deployment sets.

    Parameters
    ----------
    lease_seconds : float
        Duration of the leases on runs.
    stop_seconds : float
        Longest time that a worker takes to stop a run.
    retention_seconds : float
        How long rows of ended submissions are kept.
    """

    lease_seconds: float = 4.5
    stop_seconds: float = 1.0
    retention_seconds: float = 150.0
