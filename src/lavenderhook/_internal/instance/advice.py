"""Spreads the calls to the advisory service over the entry instances.

The service handles one call at a time for each calling machine, so the calls of one machine
wait for each other: heavy ones would hold up urgent ones.
"""

from __future__ import annotations

import time
from collections.abc import Callable

from ..core.identifiers import WorkerId
from ..queueing.model import StepId, TicketId

# A call waits at most this long beyond its expected duration and the calls before it.
ADVICE_SLACK_SECONDS = 1.0
FAILURE_PENALTY_SECONDS = 2.0  # how long an instance that gave no answer is passed over

AskAt = Callable[[str, StepId, tuple[WorkerId, ...], float], "dict[WorkerId, TicketId] | None"]


class AdviceDispatcher:
    """Chooses the instance whose calls will be done first.

    Parameters
    ----------
    ask_at : callable
        Asks through the instance at an address.
    list_addresses : callable
        Returns the addresses of all instances.
    """

    def __init__(self, ask_at: AskAt, list_addresses: Callable[[], list[str]]) -> None:
        self._ask_at = ask_at
        self._list_addresses = list_addresses
        self._busy_until: dict[str, float] = {}

    def choose(self, expected_seconds: float, now: float) -> tuple[str, float]:
        """Return the instance for a call and the time until its answer is expected."""
        addresses = self._list_addresses()
        best = min(addresses, key=lambda address: max(now, self._busy_until.get(address, 0.0)))
        done_at = max(now, self._busy_until.get(best, 0.0)) + expected_seconds
        self._busy_until[best] = done_at
        return best, done_at - now

    def request_advice(
        self, step: StepId, workers: tuple[WorkerId, ...], expected_seconds: float
    ) -> dict[WorkerId, TicketId] | None:
        """Ask which workers may run a step; None without an answer."""
        address, wait_seconds = self.choose(expected_seconds, time.monotonic())
        allowed = self._ask_at(address, step, workers, wait_seconds + ADVICE_SLACK_SECONDS)
        if allowed is None:
            self._busy_until[address] = time.monotonic() + FAILURE_PENALTY_SECONDS
        return allowed
