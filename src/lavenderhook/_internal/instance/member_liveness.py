"""Which listed instances have not answered the owner for so long that it removes them.

While it has no store, an owner may act only if all listed instances answer, so that one whose
machine has gone for good without leaving would stop it in each outage.
"""

from __future__ import annotations

from collections.abc import Mapping

import msgspec

MEMBER_PING_INTERVAL_SECONDS = 5.0
MEMBER_TIMEOUT_SECONDS = 20.0
# Longer gaps and rounds are those of an owner that was paused.
MAX_PING_GAP_SECONDS = 1.5 * MEMBER_PING_INTERVAL_SECONDS
MAX_ROUND_SECONDS = 1.5  # a ping times out after 0.45 s


class PingRound(msgspec.Struct, frozen=True, kw_only=True):
    """Pings that the owner has sent to all listed instances at the same time.

    Parameters
    ----------
    started_at, ended_at : float
        By `read_elapsed_clock`.
    answers : mapping of str to bool
        Whether each process has answered, by the `boot` of its member row.
    is_confirmed : bool
        At the end, the store had just confirmed the ownership.
    """

    started_at: float
    ended_at: float
    answers: Mapping[str, bool]
    is_confirmed: bool


class MemberLiveness:
    """For how long each listed process has not answered one owner.

    Only time between two rounds counts, and only if the owner had the store all the while: a
    process that answers nobody in an outage or a partition of the owner may be well.
    """

    def __init__(self) -> None:
        self._silent_seconds: dict[str, float] = {}
        self._last_round_at: float | None = None

    def interrupt(self) -> None:
        """Record that the owner isn't confirmed by the store; the time around it doesn't count."""
        self._last_round_at = None

    def is_round_due(self, now: float) -> bool:
        """Return whether to ping all listed instances."""
        last = self._last_round_at
        return last is None or now - last >= MEMBER_PING_INTERVAL_SECONDS

    def record_round(self, pings: PingRound) -> dict[str, float]:
        """Record the answers; return the silent seconds of each process to remove."""
        is_counted = (
            pings.is_confirmed and 0.0 <= pings.ended_at - pings.started_at <= MAX_ROUND_SECONDS
        )
        gap = 0.0
        if is_counted and self._last_round_at is not None:
            gap = pings.started_at - self._last_round_at
            if gap > MAX_PING_GAP_SECONDS:
                gap = 0.0
        self._last_round_at = pings.started_at if is_counted else None
        self._silent_seconds = {
            process: 0.0 if has_answered else self._add_silence(process, gap)
            for process, has_answered in pings.answers.items()
        }
        if not is_counted:
            return {}
        return {p: s for p, s in self._silent_seconds.items() if s >= MEMBER_TIMEOUT_SECONDS}

    def _add_silence(self, process: str, gap: float) -> float:
        known = self._silent_seconds.get(process)
        return 0.0 if known is None else known + gap
