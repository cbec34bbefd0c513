"""Faults of the stand-ins and their injection into requests."""

import random
import time
from dataclasses import dataclass, field
from enum import Enum
from itertools import count

import gevent
from gevent.event import Event

from .errors import BadRequestError, DropConnectionError

RANDOM_SEED = 20240611  # for faults with a probability or a random delay


class FaultKind(Enum):
    """Kinds of fault; standins/README.md describes them."""

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


DELAY_OPTIONS = frozenset({"ms", "jitter_ms"})
OPTIONS_BY_KIND = {
    FaultKind.SLOW: DELAY_OPTIONS,
    FaultKind.SLOW_SERVICE: DELAY_OPTIONS,
    FaultKind.DELAY: DELAY_OPTIONS,
    FaultKind.DOWN: frozenset({"mode"}),
    FaultKind.UNREACHABLE: frozenset({"mode"}),
    FaultKind.CUT: frozenset({"mode"}),
    FaultKind.SKEW: frozenset({"seconds"}),
    FaultKind.LEAVING: frozenset({"signal"}),
    FaultKind.ERROR: frozenset({"status"}),
}
REQUEST_FAULT_KINDS = frozenset(
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
    """Active fault.

    Attributes
    ----------
    operations : frozenset of str
        Operations that it applies to; empty for all operations.
    clients : frozenset of str
        Values of ``lavenderhook-instance`` that it applies to; empty for all clients.
    remaining : int or None
        Number of further requests that it applies to; None for no limit.
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
    """Parse a `Fault` from the body of a control request.

    Raises
    ------
    BadRequestError
        If the kind or an option is unknown.
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
        raise BadRequestError("clients", "is required for a cut")
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
    unknown = set(options) - OPTIONS_BY_KIND.get(kind, frozenset())
    if unknown:
        raise BadRequestError("options", f"{kind.value} does not take {sorted(unknown)}")
    return fault


class FaultSet:
    """Active faults of one stand-in.

    Parameters
    ----------
    operations : iterable of str
        Operations of the stand-in. A fault on any other operation is rejected, because it would
        never apply.
    kinds : frozenset of FaultKind
        Kinds that the stand-in supports.
    on_end : callable or None
        Called with each fault that has ended.
    """

    def __init__(self, operations, kinds=REQUEST_FAULT_KINDS, on_end=None):
        self.operations = frozenset(operations)
        self.kinds = kinds
        self.on_end = on_end
        self.faults = {}
        self.numbers = count(1)
        self.random = random.Random(RANDOM_SEED)

    def add(self, body):
        """Add the fault described by a control request and return it."""
        fault = read_fault(body, next(self.numbers))
        if fault.kind not in self.kinds:
            raise BadRequestError("kind", f"this stand-in does not support {fault.kind.value!r}")
        if fault.operations - self.operations:
            raise BadRequestError("operations", f"must be among {sorted(self.operations)}")
        self.faults[fault.id] = fault
        if fault.ends_at is not None:
            gevent.spawn_later(fault.ends_at - time.monotonic(), self.end, fault)
        return fault

    def end(self, fault):
        """End a fault and unblock all requests that wait for its end."""
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

        Each match reduces the remaining count of a fault that has one.
        """
        for fault in list(self.faults.values()):
            if fault.kind is kind and self._applies(fault, operation, client):
                self._consume(fault)
                return fault
        return None

    def _applies(self, fault, operation, client):
        if fault.operations and operation not in fault.operations:
            return False
        if fault.clients and client not in fault.clients:
            return False
        return fault.probability >= 1.0 or self.random.random() < fault.probability

    def _consume(self, fault):
        if fault.remaining is None:
            return
        fault.remaining -= 1
        if fault.remaining <= 0:
            self.end(fault)

    def draw_seconds(self, fault):
        """Return the delay of a fault in seconds: ``ms`` plus a random part of ``jitter_ms``."""
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


class FaultInjector:
    """Apply the faults of a stand-in to its requests.

    Parameters
    ----------
    faults : FaultSet
    build_unavailable : callable
        Returns the `Response` sent while the stand-in is down.
    """

    def __init__(self, faults, build_unavailable):
        self.faults = faults
        self.build_unavailable = build_unavailable

    def handle_request(self, request, operation, handle):
        """Handle a request under the active faults and return the response.

        Raises
        ------
        DropConnectionError
            If a fault suppresses the response.
        """
        client = request.client
        self._block_if_unreachable(operation, client)
        self._wait_while_frozen(operation, client)
        slow = self.faults.find(FaultKind.SLOW, operation, client)
        if slow:
            gevent.sleep(self.faults.draw_seconds(slow))
        down = self.faults.find(FaultKind.DOWN, operation, client)
        if down:
            if down.options.get("mode") == "close":
                raise DropConnectionError
            return self.build_unavailable()
        lose_answer = self.faults.find(FaultKind.LOSE_ANSWER, operation, client)
        delay = self.faults.find(FaultKind.DELAY, operation, client)
        response = handle(request)
        try:
            if delay:
                gevent.sleep(self.faults.draw_seconds(delay))
            self._wait_while_frozen(operation, client)
            self._block_if_unreachable(operation, client)
            if lose_answer:
                raise DropConnectionError
        except DropConnectionError:
            response.close()
            raise
        return response

    def _wait_while_frozen(self, operation, client):
        while fault := self.faults.find(FaultKind.FREEZE, operation, client):
            fault.ended.wait()

    def _block_if_unreachable(self, operation, client):
        fault = self.faults.find(FaultKind.UNREACHABLE, operation, client)
        fault = fault or self.faults.find(FaultKind.CUT, operation, client)
        if fault is None:
            return
        if fault.options.get("mode", "hang") == "hang":
            fault.ended.wait()
        raise DropConnectionError
