"""Callers of the demo, which check each answer and count the results."""

from __future__ import annotations

import collections
import dataclasses
import hashlib
import random

import gevent

from .cluster import Cluster, call

RETRY_INTERVAL_SECONDS = 0.05
MAX_SENDS_PER_REQUEST = 200


@dataclasses.dataclass
class Counts:
    """Results counted by the callers."""

    answered: int = 0
    resends: int = 0
    unknown_outcomes: int = 0
    mismatched_answers: int = 0
    unanswered: int = 0
    reasons: collections.Counter = dataclasses.field(default_factory=collections.Counter)


class Callers:
    """Greenlets that send requests to a service until stopped.

    Parameters
    ----------
    cluster : Cluster
        Cluster whose entry instances are called at random.
    service : str
        Name of the service.
    count : int
        Number of callers.
    service_ms : int
        Service time of a request in milliseconds.
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
        self._is_running = False
        self._greenlets: list[gevent.Greenlet] = []

    def start(self) -> None:
        """Start all callers."""
        self._is_running = True
        self._greenlets = [
            gevent.spawn(self._run, caller_number) for caller_number in range(self._count)
        ]

    def stop(self) -> Counts:
        """Wait for the callers to finish their current requests and return the counts."""
        self._is_running = False
        gevent.joinall(self._greenlets, raise_error=True)
        return self.counts

    def _run(self, caller_number: int) -> None:
        generator = random.Random(f"{self._service}-{caller_number}")
        request_number = 0
        while self._is_running:
            request_number += 1
            kind = "idempotent" if self._idempotent else "once"
            self._send(generator, f"{self._service}-{kind}-{caller_number}-{request_number}")

    def _send(self, generator: random.Random, request_id: str) -> None:
        """Send a request until it is answered; resends have the same request id."""
        payload = hashlib.sha256(generator.randbytes(32)).hexdigest().encode()
        for send in range(MAX_SENDS_PER_REQUEST):
            answer = self._try_send(generator, request_id, payload, first=send == 0)
            if answer is None:
                self.counts.resends += 1
                gevent.sleep(RETRY_INTERVAL_SECONDS)
                continue
            if answer.status == 200 and self._matches_request(answer.body, request_id, payload):
                self.counts.answered += 1
            else:
                self.counts.mismatched_answers += 1
            return
        self.counts.unanswered += 1

    def _try_send(self, generator, request_id, payload, *, first):
        """Send a request once; return the answer, or None if it must be resent."""
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
            # A resend with the same id never runs twice, so non-idempotent requests with an
            # unknown outcome are resent as well.
            self.counts.reasons[f"{outcome or answer.status}"] += 1
            self.counts.unknown_outcomes += outcome == "unknown"
            return None
        return answer

    @staticmethod
    def _matches_request(body: bytes, request_id: str, payload: bytes) -> bool:
        line, _, rest = body.partition(b"\n")
        return line.split(b" ")[0] == request_id.encode() and rest == payload
