"""Callers of the demo: they send requests, check every answer and keep their own counts."""

from __future__ import annotations

import collections
import dataclasses
import hashlib
import random

import gevent

from .cluster import Cluster, call

RETRY_PAUSE_SECONDS = 0.05
SENDS_PER_REQUEST = 200


@dataclasses.dataclass
class Counts:
    """What the callers saw."""

    answered: int = 0
    sent_again: int = 0
    unknown: int = 0
    wrong: int = 0
    lost: int = 0
    reasons: collections.Counter = dataclasses.field(default_factory=collections.Counter)


class Callers:
    """Greenlets that send requests to a service until they are stopped.

    Parameters
    ----------
    cluster : Cluster
        Whose entry instances are called in turn.
    service : str
        Name of the service.
    count : int
        Number of callers.
    service_ms : int
        Time that the upstream takes for a request.
    idempotent : bool
        Whether the requests are idempotent.
    """

    def __init__(
        self, cluster: Cluster, service: str, count: int, service_ms: int, *, idempotent: bool
    ) -> None:
        self.counts = Counts()
        self._cluster = cluster
        self._service = service
        self._count = count
        self._service_ms = service_ms
        self._idempotent = idempotent
        self._running = False
        self._greenlets: list[gevent.Greenlet] = []

    def start(self) -> None:
        """Start all callers."""
        self._running = True
        self._greenlets = [gevent.spawn(self._run, number) for number in range(self._count)]

    def stop(self) -> Counts:
        """Let every caller finish its request and return the counts."""
        self._running = False
        gevent.joinall(self._greenlets, raise_error=True)
        return self.counts

    def _run(self, number: int) -> None:
        generator = random.Random(f"{self._service}-{number}")
        serial = 0
        while self._running:
            serial += 1
            kind = "idempotent" if self._idempotent else "once"
            self._send(generator, f"{self._service}-{kind}-{number}-{serial}")

    def _send(self, generator: random.Random, request_id: str) -> None:
        """Send one request until it is answered; a repeated send keeps its request id."""
        payload = hashlib.sha256(generator.randbytes(32)).hexdigest().encode()
        for send in range(SENDS_PER_REQUEST):
            answer = self._try_send(generator, request_id, payload, first=send == 0)
            if answer is None:
                self.counts.sent_again += 1
                gevent.sleep(RETRY_PAUSE_SECONDS)
                continue
            if answer.status == 200 and self._is_own(answer.body, request_id, payload):
                self.counts.answered += 1
            else:
                self.counts.wrong += 1
            return
        self.counts.lost += 1

    def _try_send(self, generator, request_id, payload, *, first):
        """Return the answer, or None if the request is to be sent again."""
        entries = list(self._cluster.entries.values())
        entry = generator.choice(entries)
        headers = {
            "lavenderhook-request-id": request_id,
            "lavenderhook-caller": "demo",
            "lavenderhook-idempotent": "true" if self._idempotent else "false",
            "lavenderhook-first-send": "true" if first else "false",
            "x-service-ms": str(self._service_ms),
        }
        path = f"/service/{self._service}/demo"
        try:
            answer = call(entry.address, "POST", path, payload, headers)
        except OSError as error:
            self.counts.reasons[type(error).__name__] += 1
            return None
        outcome = answer.headers.get("lavenderhook-outcome", "")
        if outcome in ("not-run", "unknown") or (not outcome and answer.status == 503):
            # A repeated send with the same id never runs twice, so an unknown outcome of a
            # non-idempotent request is asked for again as well.
            self.counts.reasons[f"{outcome or answer.status}"] += 1
            self.counts.unknown += outcome == "unknown"
            return None
        return answer

    @staticmethod
    def _is_own(body: bytes, request_id: str, payload: bytes) -> bool:
        line, _, rest = body.partition(b"\n")
        return line.split(b" ")[0] == request_id.encode() and rest == payload
