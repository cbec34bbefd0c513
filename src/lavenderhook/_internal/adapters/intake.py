"""What a listener holds for its clients, and what it closes when a limit is reached.

The decisions are free of input and output. They answer this load pattern: a crowd of clients that
open connections and send requests of legal size, stop just short of their end or don't read the
responses, and stay connected. Without a common bound, the limits of single requests add up to more
memory than the machine has.
"""

from __future__ import annotations

import collections
import enum
import math
from collections.abc import Callable, Iterable
from typing import NewType, Protocol, TypeVar

ConnectionId = NewType("ConnectionId", int)


class Limit(enum.Enum):
    """A limit because of which a request is refused or a connection is closed."""

    BODY_BUDGET = "body-budget"  # bytes of all bodies that the process holds
    CONNECTIONS = "connections"
    REQUEST_SIZE = "request-size"
    REQUEST_TIME = "request-time"
    RESPONSE_TIME = "response-time"
    UNREAD_BODY = "unread-body"  # of a request that was answered without its body


class Phase(enum.Enum):
    """What a connection waits for."""

    IDLE = "idle"  # the first byte of a request
    READING = "reading"  # the rest of a request
    ANSWERING = "answering"  # the route's reply
    WRITING = "writing"  # the client, which reads the response
    CLOSING = "closing"  # the client, which is to close the connection


# A connection in a phase that isn't listed has a request that may have been carried out.
CLOSING_RANKS = {Phase.CLOSING: 0, Phase.IDLE: 1, Phase.READING: 2, Phase.WRITING: 3}
# Where clients keep a connection between regular checks.
IDLE_KEEPING_RANKS = {Phase.CLOSING: 0, Phase.READING: 1, Phase.IDLE: 2, Phase.WRITING: 3}
FRESH_SECONDS = 1.0  # in which an ordinary client sends its request or reads its response


class Connection(Protocol):
    """State of a connection on which the choice of the one to close depends."""

    phase: Phase
    phase_began_at: float


_Connection = TypeVar("_Connection", bound=Connection)


def choose_connection_to_close(
    connections: Iterable[_Connection], now: float, *, keeps_idle: bool = False
) -> _Connection | None:
    """Return the connection that makes room for a new one, or None if all are being answered.

    Idle connections go first, since their clients lose nothing, then those that have not sent
    their request or read their response for the longest time. So connections that are held open
    can't keep out a new client. One that has just connected is idle too until its first byte
    arrives: it goes only after connections that have stalled for `FRESH_SECONDS`.

    Parameters
    ----------
    connections : iterable of Connection
    now : float
        Monotonic time in seconds.
    keeps_idle : bool
        Whether requests that have not arrived completely go before idle connections.
    """
    ranks = IDLE_KEEPING_RANKS if keeps_idle else CLOSING_RANKS

    def rank(connection: _Connection) -> tuple[bool, int, float]:
        phase, began_at = connection.phase, connection.phase_began_at
        is_ending = phase is Phase.CLOSING
        is_fresh = not (keeps_idle or is_ending) and now - began_at < FRESH_SECONDS
        return is_fresh, ranks[phase], began_at

    return min((c for c in connections if c.phase in ranks), key=rank, default=None)


class _HeldBody:
    """Bytes of one body."""

    __slots__ = ("drop", "is_complete", "progressed_at", "size")

    def __init__(self, drop: Callable[[], None]) -> None:
        self.drop = drop
        self.size = 0
        self.progressed_at = -math.inf
        self.is_complete = False


class BodyBudget:
    """Bytes of all bodies that the listeners of a process hold.

    Bytes are reserved as they arrive and not as a request announces them. When they don't fit,
    incomplete bodies are dropped, first those that hold much and have not grown for long. A quick
    request is complete before it is chosen, so that slow ones can't keep it out.

    Parameters
    ----------
    limit_bytes : float
        Infinite if there is no limit.
    """

    def __init__(self, limit_bytes: float = math.inf) -> None:
        self.limit_bytes = limit_bytes
        self.held_bytes = 0
        self._bodies: dict[ConnectionId, _HeldBody] = {}

    def reserve(
        self, connection: ConnectionId, size: int, now: float, drop: Callable[[], None]
    ) -> list[Callable[[], None]] | None:
        """Reserve bytes that have arrived.

        Parameters
        ----------
        connection : ConnectionId
        size : int
            Number of bytes.
        now : float
            Monotonic time in seconds.
        drop : callable
            Ends the reading of this body; returned when its bytes are needed for others.

        Returns
        -------
        list of callable or None
            The `drop` of each incomplete body that has to end, and no longer holds bytes. None if
            the bytes don't fit even so; nothing is reserved then.
        """
        dropped = self._choose_dropped(connection, self.held_bytes + size - self.limit_bytes, now)
        if dropped is None:
            return None
        calls = [self._bodies[other].drop for other in dropped]
        for other in dropped:
            self.release(other)
        body = self._bodies.setdefault(connection, _HeldBody(drop))
        body.size += size
        body.progressed_at = now
        self.held_bytes += size
        return calls

    def _choose_dropped(
        self, connection: ConnectionId, excess: float, now: float
    ) -> list[ConnectionId] | None:
        if excess <= 0:
            return []
        candidates = [
            (body.size * (now - body.progressed_at), body.size, other)
            for other, body in self._bodies.items()
            if other != connection and not body.is_complete
        ]
        dropped = []
        for _, size, other in sorted(candidates, reverse=True):
            dropped.append(other)
            excess -= size
            if excess <= 0:
                return dropped
        return None

    def complete(self, connection: ConnectionId) -> None:
        """Note that a body has arrived: from now on its request may be carried out."""
        body = self._bodies.get(connection)
        if body is not None:
            body.is_complete = True

    def release(self, connection: ConnectionId) -> None:
        """Release all bytes of a connection, if it holds any."""
        body = self._bodies.pop(connection, None)
        if body is not None:
            self.held_bytes -= body.size


class ReportSample:
    """Which reports about clients are logged: the first ones of each second.

    Parameters
    ----------
    per_second : int
    """

    def __init__(self, per_second: int) -> None:
        self._per_second = per_second
        self._second = -1
        self._logged = 0
        self._omitted: collections.Counter[Limit] = collections.Counter()

    def admit(self, limit: Limit, now: float) -> bool:
        """Return whether a report may be logged; count it otherwise."""
        if int(now) != self._second:
            self._second, self._logged = int(now), 0
        if self._logged < self._per_second:
            self._logged += 1
            return True
        self._omitted[limit] += 1
        return False

    def take_omitted(self, limit: Limit) -> int:
        """Return how many reports about a limit were left out since the last call."""
        return self._omitted.pop(limit, 0)
