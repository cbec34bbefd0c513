"""Faults that a test injects into a stand-in, and the gate that applies them to requests."""

import random
import time
from dataclasses import dataclass, field
from enum import Enum
from itertools import count

import gevent
from gevent.event import Event

from .errors import BadRequestError, DropConnectionError

SEED = 20240611  # seed of the draws for faults with a probability


class FaultKind(Enum):
    """Kinds of fault; standins/README.md has the table."""

    SLOW = "slow"
    SLOW_SERVICE = "slow_service"
    DELAY = "delay"
    DOWN = "down"
    LOSE_ANSWER = "lose_answer"
    UNREACHABLE = "unreachable"
    CUT = "cut"
    FREEZE = "freeze"
    FAIL_START = "fail_start"
    FAIL_TASKS = "fail_tasks"
    SKEW = "skew"
    LEAVING = "leaving"
    GONE = "gone"
    TRUNCATE = "truncate"
    ERROR = "error"
    WRONG_ID = "wrong_id"


TIMES = frozenset({"ms", "jitter_ms"})
OPTIONS = {
    FaultKind.SLOW: TIMES,
    FaultKind.SLOW_SERVICE: TIMES,
    FaultKind.DELAY: TIMES,
    FaultKind.DOWN: frozenset({"mode"}),
    FaultKind.UNREACHABLE: frozenset({"mode"}),
    FaultKind.CUT: frozenset({"mode"}),
    FaultKind.SKEW: frozenset({"seconds"}),
    FaultKind.LEAVING: frozenset({"signal"}),
    FaultKind.ERROR: frozenset({"status"}),
}
REQUEST_KINDS = frozenset(
    {
        FaultKind.SLOW,
        FaultKind.DELAY,
        FaultKind.DOWN,
        FaultKind.LOSE_ANSWER,
        FaultKind.UNREACHABLE,
        FaultKind.CUT,
        FaultKind.FREEZE,
    }
)


@dataclass
class Fault:
    """One active fault.

    Attributes
    ----------
    operations : frozenset of str
        Operations that it applies to; empty for all of them.
    clients : frozenset of str
        Values of ``lavenderhook-instance`` that it applies to; empty for all clients.
    remaining : int or None
        Number of requests that it still applies to; None for no limit.
    ends_at : float or None
        Monotonic time in seconds at which it ends.
    began_at : float
        Wall-clock time in seconds at which it began.
    """

    id: str
    kind: FaultKind
    operations: frozenset
    clients: frozenset
    probability: float
    remaining: int | None
    ends_at: float | None
    options: dict
    began_at: float = field(default_factory=time.time)
    ended: Event = field(default_factory=Event)


def read_fault(body, number):
    """Return the `Fault` that a control request describes.

    Raises
    ------
    BadRequestError
        If the kind or an option is not known.
    """
    options = dict(body)
    try:
        kind = FaultKind(options.pop("kind", None))
    except ValueError as error:
        raise BadRequestError("kind", str(error)) from None
    options.pop("target", None)
    seconds = options.pop("for_seconds", None)
    clients = frozenset(options.pop("clients", ()))
    if kind is FaultKind.CUT and not clients:
        raise BadRequestError("clients", "a cut names the clients that are cut off")
    fault = Fault(
        id=str(options.pop("id", f"fault-{number}")),
        kind=kind,
        operations=frozenset(options.pop("operations", ())),
        clients=clients,
        probability=float(options.pop("probability", 1.0)),
        remaining=options.pop("count", None),
        ends_at=None if seconds is None else time.monotonic() + float(seconds),
        options=options,
    )
    unknown = set(options) - OPTIONS.get(kind, frozenset())
    if unknown:
        raise BadRequestError("options", f"{kind.value} has no {sorted(unknown)}")
    return fault


class FaultSet:
    """The active faults of one stand-in.

    Parameters
    ----------
    operations : iterable of str
        Operations of the stand-in; a fault on any other is refused, since it would never apply.
    kinds : frozenset of FaultKind
        Kinds that the stand-in has.
    on_end : callable or None
        Called with each fault that ended.
    """

    def __init__(self, operations, kinds=REQUEST_KINDS, on_end=None):
        self.operations = frozenset(operations)
        self.kinds = kinds
        self.on_end = on_end
        self.faults = {}
        self.numbers = count(1)
        self.random = random.Random(SEED)

    def add(self, body):
        """Add the fault that a control request describes and return it."""
        fault = read_fault(body, next(self.numbers))
        if fault.kind not in self.kinds:
            raise BadRequestError("kind", f"this stand-in has no fault {fault.kind.value!r}")
        if fault.operations - self.operations:
            raise BadRequestError("operations", f"is not among {sorted(self.operations)}")
        self.faults[fault.id] = fault
        if fault.ends_at is not None:
            gevent.spawn_later(fault.ends_at - time.monotonic(), self.end, fault)
        return fault

    def end(self, fault):
        """End a fault and release every request that it holds."""
        if self.faults.get(fault.id) is not fault:
            return
        del self.faults[fault.id]
        fault.ended.set()
        if self.on_end is not None:
            self.on_end(fault)

    def clear(self):
        """End every fault."""
        for fault in list(self.faults.values()):
            self.end(fault)

    def find(self, kind, operation="", client=""):
        """Return the active fault of a kind that applies to a request, or None.

        A fault with a count is used up by this call.
        """
        for fault in list(self.faults.values()):
            if fault.kind is kind and self._applies(fault, operation, client):
                self._use(fault)
                return fault
        return None

    def _applies(self, fault, operation, client):
        if fault.operations and operation not in fault.operations:
            return False
        if fault.clients and client not in fault.clients:
            return False
        return fault.probability >= 1.0 or self.random.random() < fault.probability

    def _use(self, fault):
        if fault.remaining is None:
            return
        fault.remaining -= 1
        if fault.remaining <= 0:
            self.end(fault)

    def draw_seconds(self, fault):
        """Return the option ``ms`` of a fault in seconds, plus a draw from ``jitter_ms``."""
        jitter = float(fault.options.get("jitter_ms", 0))
        return (float(fault.options.get("ms", 100)) + self.random.random() * jitter) / 1000

    def describe(self):
        """Return the active faults as JSON values."""
        return [
            {
                "id": fault.id,
                "kind": fault.kind.value,
                "operations": sorted(fault.operations),
                "clients": sorted(fault.clients),
                "probability": fault.probability,
                "count": fault.remaining,
                **fault.options,
            }
            for fault in self.faults.values()
        ]


class Gate:
    """Applies the faults of a stand-in to each of its requests.

    Parameters
    ----------
    faults : FaultSet
    unavailable : callable
        Returns the `Response` given while the stand-in is down.
    """

    def __init__(self, faults, unavailable):
        self.faults = faults
        self.unavailable = unavailable

    def pass_request(self, request, operation, handle):
        """Return ``handle(request)`` as changed by the active faults.

        Raises
        ------
        DropConnectionError
            If a fault takes the response away.
        """
        client = request.client
        self._hold_if_unreachable(operation, client)
        self._wait_for_thaw(operation, client)
        slow = self.faults.find(FaultKind.SLOW, operation, client)
        if slow:
            gevent.sleep(self.faults.draw_seconds(slow))
        down = self.faults.find(FaultKind.DOWN, operation, client)
        if down:
            if down.options.get("mode") == "close":
                raise DropConnectionError
            return self.unavailable()
        lose = self.faults.find(FaultKind.LOSE_ANSWER, operation, client)
        delay = self.faults.find(FaultKind.DELAY, operation, client)
        response = handle(request)
        try:
            if delay:
                gevent.sleep(self.faults.draw_seconds(delay))
            self._wait_for_thaw(operation, client)
            self._hold_if_unreachable(operation, client)
            if lose:
                raise DropConnectionError
        except DropConnectionError:
            response.close()
            raise
        return response

    def _wait_for_thaw(self, operation, client):
        while fault := self.faults.find(FaultKind.FREEZE, operation, client):
            fault.ended.wait()

    def _hold_if_unreachable(self, operation, client):
        fault = self.faults.find(FaultKind.UNREACHABLE, operation, client)
        fault = fault or self.faults.find(FaultKind.CUT, operation, client)
        if fault is None:
            return
        if fault.options.get("mode", "hang") == "hang":
            fault.ended.wait()
        raise DropConnectionError
