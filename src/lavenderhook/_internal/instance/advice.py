"""Spreads the calls to the advisory service over the entry instances.

The service handles one call at a time for each calling machine, also those that their callers have
given up. A call that is sent can't be overtaken or taken back.
"""

from __future__ import annotations

import dataclasses
import heapq
import itertools
import math
import time
from collections.abc import Callable

import gevent.event

from ..core.identifiers import WorkerId
from ..queueing.model import StepId, TicketId
from .table_watcher import LogEvent

# A call waits at most this long beyond its expected duration and the calls before it.
ADVICE_TIMEOUT_MARGIN_SECONDS = 0.6
# Multiples of the expected duration for which the attempts wait, each through another instance: the
# service may be slow as a whole.
ATTEMPT_PATIENCE = (1, 3)
# An instance that did not respond is not used for this time, after the first failure and after
# others in a row; then one call tries it, since an instance that is back is needed under load.
FAILURE_PENALTY_SECONDS = 2.0
REPEATED_FAILURE_PENALTY_SECONDS = 4.0
# Another call is sent to an instance while its open ones take no longer, which covers the round
# trip; the others wait here, where urgent ones overtake.
MAX_OPEN_SECONDS = 0.2
MAX_OPEN_CALLS = 12  # at an instance, whose connections serve other calls as well
SHORT_CALL_SECONDS = 0.1  # expected duration up to which a call doesn't wait behind longer ones

RequestAdvice = Callable[
    [StepId, tuple[WorkerId, ...], float, tuple[float, ...]], "dict[WorkerId, TicketId] | None"
]
RequestAdviceAt = Callable[
    [str, StepId, tuple[WorkerId, ...], float], "dict[WorkerId, TicketId] | None"
]


@dataclasses.dataclass(slots=True)
class _Instance:
    """What is known of the calls through one instance.

    Attributes
    ----------
    open_seconds : float
        Expected duration of the calls that are sent and wait for a response.
    busy_until : float
        When these, and those that were given up, are expected to be done.
    has_failed : bool
        Whether the last call got no response.
    failed_at : float
        The last time of this; calls that were sent before don't count as another one.
    last_use : int
        Number of the last call.
    """

    open_calls: int = 0
    open_seconds: float = 0.0
    busy_until: float = 0.0
    avoided_until: float = 0.0
    has_failed: bool = False
    failed_at: float = -math.inf
    last_use: int = 0

    def accepts_call(self) -> bool:
        """Return whether another call may be sent; one at a time after a failure."""
        if self.has_failed:
            return not self.open_calls
        return self.open_calls < MAX_OPEN_CALLS and self.open_seconds <= MAX_OPEN_SECONDS


@dataclasses.dataclass(order=True, slots=True)
class _Call:
    """A call that waits until an instance accepts it; the lowest rank is sent first."""

    rank: tuple[float, ...]
    number: int
    expected_seconds: float
    patience: int  # see ATTEMPT_PATIENCE
    address: str = ""
    timeout_seconds: float = 0.0
    is_sendable: gevent.event.Event = dataclasses.field(
        default_factory=gevent.event.Event, compare=False
    )


class _WaitingCalls:
    """Calls that wait, in order of rank; short and long ones take turns.

    Handles steps with short calls beside gangs with long ones, of whatever priority: neither waits
    until the other has none, since both get half of the service's time while both wait.
    """

    def __init__(self) -> None:
        self._short: list[_Call] = []  # heaps
        self._long: list[_Call] = []
        self._lead_seconds = 0.0  # by which short calls have had more of the service's time

    def __len__(self) -> int:
        return len(self._short) + len(self._long)

    def add(self, call: _Call) -> None:
        """Add a call."""
        heapq.heappush(self._get_heap(call), call)

    def remove(self, call: _Call) -> None:
        """Remove a call whose caller has gone."""
        heap = self._get_heap(call)
        heap.remove(call)
        heapq.heapify(heap)

    def pop(self) -> _Call:
        """Remove and return the next call."""
        if not self._short or not self._long:
            self._lead_seconds = 0.0
            return heapq.heappop(self._short or self._long)
        if self._lead_seconds <= 0.0:
            call = heapq.heappop(self._short)
            self._lead_seconds += call.expected_seconds
        else:
            call = heapq.heappop(self._long)
            self._lead_seconds -= call.expected_seconds
        return call

    def _get_heap(self, call: _Call) -> list[_Call]:
        return self._short if call.expected_seconds <= SHORT_CALL_SECONDS else self._long


class AdviceDispatcher:
    """Sends each call through the instance that has least to do, urgent calls first.

    Handles instances that are lost, partitioned or slow: a call without a response is repeated
    through another instance, and the one that failed is avoided for longer each time.

    Handles calls that the service is still busy with after their callers have gone: few calls are
    open at an instance, so that fewer are given up than the service handles.

    Parameters
    ----------
    request_advice_at : callable
        Calls the advisory service through the instance at an address.
    list_addresses : callable
        Returns the addresses of all instances.
    log_event : callable
        Takes the name of a log event and its fields.
    """

    def __init__(
        self,
        request_advice_at: RequestAdviceAt,
        list_addresses: Callable[[], list[str]],
        log_event: LogEvent,
    ) -> None:
        self._request_advice_at = request_advice_at
        self._list_addresses = list_addresses
        self._log_event = log_event
        self._instances: dict[str, _Instance] = {}
        self._waiting = _WaitingCalls()
        self._numbers = itertools.count(1)
        self._uses = itertools.count(1)

    def request_advice(
        self,
        step: StepId,
        workers: tuple[WorkerId, ...],
        expected_seconds: float,
        rank: tuple[float, ...] = (),
    ) -> dict[WorkerId, TicketId] | None:
        """Return the workers that may run a step, with their tickets; None without a response.

        Parameters
        ----------
        step : StepId
        workers : tuple of WorkerId
        expected_seconds : float
            For which the service handles the call.
        rank : tuple of float
            Of the step; the lowest is sent first.
        """
        number = next(self._numbers)
        for patience in ATTEMPT_PATIENCE:
            call = _Call(rank, number, expected_seconds, patience)
            allowed = self._send_in_turn(step, workers, call)
            if allowed is not None:
                return allowed
        return None

    def _send_in_turn(
        self, step: StepId, workers: tuple[WorkerId, ...], call: _Call
    ) -> dict[WorkerId, TicketId] | None:
        requested_at = time.monotonic()
        self._waiting.add(call)
        self._admit_calls()
        is_ended = False
        try:
            call.is_sendable.wait()
            sent_at = time.monotonic()
            allowed = self._request_advice_at(call.address, step, workers, call.timeout_seconds)
            is_ended = True
        finally:
            if not is_ended:  # the owner has stopped
                self._withdraw(call)
        now = time.monotonic()
        self._log_event(
            "advice-call",
            step=str(step),
            instance=call.address,
            answered=allowed is not None,
            queued=round(sent_at - requested_at, 3),
            expected=round(call.expected_seconds, 3),
            timeout=round(call.timeout_seconds, 3),
            seconds=round(now - sent_at, 3),
            waiting=len(self._waiting),
        )
        instance = self._close(call)
        if allowed is None:
            _record_failure(instance, sent_at, now)
        else:
            self._record_answer(instance, now)
        self._admit_calls()
        return allowed

    def _admit_calls(self) -> None:
        """Let the calls be sent that an instance accepts."""
        now = time.monotonic()
        while self._waiting:
            address = self._choose_instance(now)
            if address is None:
                return
            call = self._waiting.pop()
            instance = self._instances[address]
            instance.open_calls += 1
            instance.open_seconds += call.expected_seconds
            instance.last_use = next(self._uses)
            before = max(0.0, instance.busy_until - now)
            instance.busy_until = now + before + call.expected_seconds
            call.address = address
            call.timeout_seconds = (
                before + call.patience * call.expected_seconds + ADVICE_TIMEOUT_MARGIN_SECONDS
            )
            call.is_sendable.set()

    def _choose_instance(self, now: float) -> str | None:
        """Return the address for the next call, or None if all that may be used have enough."""
        instances = self._list_instances()
        usable = {a: known for a, known in instances.items() if known.avoided_until <= now}
        candidates = usable or instances
        accepting = {a: known for a, known in candidates.items() if known.accepts_call()}
        return min(
            accepting,
            key=lambda a: (
                max(now, accepting[a].avoided_until),
                accepting[a].open_seconds,
                accepting[a].last_use,
            ),
            default=None,
        )

    def _list_instances(self) -> dict[str, _Instance]:
        return {a: self._instances.setdefault(a, _Instance()) for a in self._list_addresses()}

    def _withdraw(self, call: _Call) -> None:
        if not call.address:
            self._waiting.remove(call)
            return
        self._close(call)
        self._admit_calls()

    def _close(self, call: _Call) -> _Instance:
        instance = self._instances[call.address]
        instance.open_calls -= 1
        instance.open_seconds -= call.expected_seconds
        if not instance.open_calls:
            instance.open_seconds = 0.0
        return instance

    def _record_answer(self, instance: _Instance, now: float) -> None:
        """Record that the service has handled this call and those before it."""
        instances = self._list_instances().values()
        if all(other.avoided_until > now for other in instances):
            # What ends for one, such as an outage of the service, has probably ended for all.
            for other in instances:
                other.has_failed = True
                other.failed_at = other.avoided_until = now
        instance.has_failed = False
        instance.avoided_until = now
        instance.busy_until = now + instance.open_seconds


def _record_failure(instance: _Instance, sent_at: float, now: float) -> None:
    if sent_at <= instance.failed_at:
        return  # lost together with a call that has been counted
    instance.failed_at = now
    is_repeated = instance.has_failed
    penalty = REPEATED_FAILURE_PENALTY_SECONDS if is_repeated else FAILURE_PENALTY_SECONDS
    instance.avoided_until = now + penalty
    instance.has_failed = True
