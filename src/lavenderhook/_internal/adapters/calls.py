"""Calls that wait for the core's answer, by ticket."""

from __future__ import annotations

import hashlib
import itertools
from collections.abc import Iterator

import gevent.event
import msgspec

from ..core.effects import Effect
from ..core.events import JobCancelRequested, JobSubmitted, QueryReceived, Ticket
from .transport import ClientResponse


class StoredOutcome(msgspec.Struct, frozen=True, kw_only=True):
    """Outcome of a claimed request, as stored in its claim row.

    `kind` is completed, not-run or unknown. `kept` is False if the response was too large to store.
    """

    kind: str
    reason: str = ""
    status: int = 0
    headers: tuple[tuple[str, str], ...] = ()
    body: bytes = b""
    kept: bool = True


class RelayedAnswer(Effect, frozen=True, kw_only=True):
    """Response of the peer that executed a forwarded operation."""

    status: int
    body: bytes


Operation = JobSubmitted | JobCancelRequested | QueryReceived


class PendingCall:
    """One call and the state that the adapters hold for it.

    Attributes
    ----------
    answer : Effect or None
        Effect with which the core answered.
    response : ClientResponse or None
        Response of the upstream, complete.
    stored_outcome : StoredOutcome or None
        Outcome of an earlier request with the same id.
    operation : Operation or None
        Event to forward if another instance has to process it.
    """

    __slots__ = (
        "_answered",
        "_digest",
        "answer",
        "body",
        "forwarded",
        "headers",
        "method",
        "operation",
        "request",
        "response",
        "stored_outcome",
        "target",
        "ticket",
    )

    def __init__(
        self,
        ticket: Ticket,
        *,
        method: str = "",
        target: str = "",
        headers: tuple[tuple[str, str], ...] = (),
        body: bytes = b"",
    ) -> None:
        self.ticket = ticket
        self.method = method
        self.target = target
        self.headers = headers
        self.body = body
        self.forwarded = False
        self.request: object = None
        self.operation: Operation | None = None
        self.answer: Effect | None = None
        self.response: ClientResponse | None = None
        self.stored_outcome: StoredOutcome | None = None
        self._answered = gevent.event.Event()
        self._digest: bytes | None = None

    def resolve(self, answer: Effect) -> None:
        """Store the first answer and wake the call's greenlet; ignore later answers."""
        if self.answer is None:
            self.answer = answer
            self._answered.set()

    def wait(self, timeout: float) -> Effect | None:
        """Return the answer, or None if there is none within `timeout` seconds."""
        self._answered.wait(timeout)
        return self.answer

    def compute_digest(self) -> bytes:
        """Return the hash that detects the reuse of a request id for other content."""
        if self._digest is None:
            content = hashlib.sha256(f"{self.method} {self.target}\n".encode())
            content.update(self.body)
            self._digest = content.digest()
        return self._digest


class PendingCalls:
    """All pending calls of the process."""

    def __init__(self) -> None:
        self._calls: dict[Ticket, PendingCall] = {}
        self._numbers: Iterator[int] = itertools.count(1)

    def __len__(self) -> int:
        return len(self._calls)

    def add(
        self,
        *,
        method: str = "",
        target: str = "",
        headers: tuple[tuple[str, str], ...] = (),
        body: bytes = b"",
    ) -> PendingCall:
        """Add a call under a new ticket."""
        ticket = Ticket(next(self._numbers))
        call = PendingCall(ticket, method=method, target=target, headers=headers, body=body)
        self._calls[ticket] = call
        return call

    def get(self, ticket: Ticket) -> PendingCall | None:
        """Return a call, or None if it has ended."""
        return self._calls.get(ticket)

    def remove(self, call: PendingCall) -> None:
        """Remove a call."""
        self._calls.pop(call.ticket, None)

    def resolve(self, ticket: Ticket, answer: Effect) -> None:
        """Answer a call if it is still pending."""
        call = self._calls.get(ticket)
        if call is not None:
            call.resolve(answer)
