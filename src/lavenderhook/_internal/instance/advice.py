"""Spreads the calls to the advisory service over the entry instances.

The service handles one call at a time for each calling machine, so the calls of one machine
wait for each other: heavy ones would delay urgent ones.
"""

from __future__ import annotations

import math
import time
from collections.abc import Callable

from ..core.identifiers import WorkerId
from ..queueing.model import StepId, TicketId

# A call waits at most this long beyond its expected duration and the calls before it.
ADVICE_TIMEOUT_MARGIN_SECONDS = 0.6
MAX_ATTEMPTS = 2  # each through another instance
# An instance that did not respond is not used for this time, which doubles with each failure in a
# row: the rows of instances that were lost stay in the table.
FAILURE_PENALTY_SECONDS = 2.0
MAX_FAILURE_PENALTY_SECONDS = 60.0

RequestAdviceAt = Callable[
    [str, StepId, tuple[WorkerId, ...], float], "dict[WorkerId, TicketId] | None"
]


class AdviceDispatcher:
    """Chooses the instance whose calls will be done first.

    Handles instances that are lost, partitioned or slow: a call without a response is repeated
    through another instance, and the one that failed is avoided for longer each time.

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
        self._busy_until: dict[str, float] = {}  # with the calls that wait there
        self._avoided_until: dict[str, float] = {}
        self._failures: dict[str, int] = {}  # in a row
        self._failed_at: dict[str, float] = {}  # the last of these

    def choose_instance(self, expected_seconds: float, now: float) -> tuple[str, float]:
        """Return the address for a call and the seconds until its response is expected."""
        addresses = self._list_addresses()
        best = min(
            addresses,
            key=lambda address: max(
                now, self._busy_until.get(address, 0.0), self._avoided_until.get(address, 0.0)
            ),
        )
        done_at = max(now, self._busy_until.get(best, 0.0)) + expected_seconds
        self._busy_until[best] = done_at
        return best, done_at - now

    def request_advice(
        self, step: StepId, workers: tuple[WorkerId, ...], expected_seconds: float
    ) -> dict[WorkerId, TicketId] | None:
        """Return the workers that may run a step, with their tickets; None without a response."""
        for _ in range(MAX_ATTEMPTS):
            sent_at = time.monotonic()
            address, wait_seconds = self.choose_instance(expected_seconds, sent_at)
            allowed = self._request_advice_at(
                address, step, workers, wait_seconds + ADVICE_TIMEOUT_MARGIN_SECONDS
            )
            if allowed is not None:
                self._failures.pop(address, None)
                return allowed
            self._record_failure(address, sent_at)
        return None

    def _record_failure(self, address: str, sent_at: float) -> None:
        if sent_at <= self._failed_at.get(address, -math.inf):
            return  # lost together with a call that has been counted
        self._failed_at[address] = time.monotonic()
        failures = self._failures.get(address, 0)
        self._failures[address] = failures + 1
        penalty = min(FAILURE_PENALTY_SECONDS * 2**failures, MAX_FAILURE_PENALTY_SECONDS)
        self._avoided_until[address] = time.monotonic() + penalty
        self._busy_until.pop(address, None)
