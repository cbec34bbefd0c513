"""Spreads the calls to the advisory service over the entry instances.

The service handles one call at a time for each calling machine, so the calls of one machine
wait for each other: heavy ones would delay urgent ones.
"""

from __future__ import annotations

import time
from collections.abc import Callable

from ..core.identifiers import WorkerId
from ..queueing.model import StepId, TicketId

# A call waits at most this long beyond its expected duration and the calls before it.
ADVICE_TIMEOUT_MARGIN_SECONDS = 1.0
FAILURE_PENALTY_SECONDS = 2.0  # how long an instance that did not respond counts as busy

RequestAdviceAt = Callable[
    [str, StepId, tuple[WorkerId, ...], float], "dict[WorkerId, TicketId] | None"
]


class AdviceDispatcher:
    """Chooses the instance whose calls will be done first.

    Parameters
    ----------
    request_advice_at : callable
        Calls the advisory service through the instance at an address.
    list_addresses : callable
        Returns the addresses of all instances.
    """

    def __init__(
        self, request_advice_at: RequestAdviceAt, list_addresses: Callable[[], list[str]]
    ) -> None:
        self._request_advice_at = request_advice_at
        self._list_addresses = list_addresses
        self._busy_until: dict[str, float] = {}

    def choose_instance(self, expected_seconds: float, now: float) -> tuple[str, float]:
        """Return the address for a call and the seconds until its response is expected."""
        addresses = self._list_addresses()
        best = min(addresses, key=lambda address: max(now, self._busy_until.get(address, 0.0)))
        done_at = max(now, self._busy_until.get(best, 0.0)) + expected_seconds
        self._busy_until[best] = done_at
        return best, done_at - now

    def request_advice(
        self, step: StepId, workers: tuple[WorkerId, ...], expected_seconds: float
    ) -> dict[WorkerId, TicketId] | None:
        """Return the workers that may run a step, with their tickets; None without a response."""
        address, wait_seconds = self.choose_instance(expected_seconds, time.monotonic())
        allowed = self._request_advice_at(
            address, step, workers, wait_seconds + ADVICE_TIMEOUT_MARGIN_SECONDS
        )
        if allowed is None:
            self._busy_until[address] = time.monotonic() + FAILURE_PENALTY_SECONDS
        return allowed
