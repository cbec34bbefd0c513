"""Load generator for the entry instances of a cluster that checks every answer."""

import dataclasses
import random
import re
import time

import gevent

from demo.cluster import call

CALLER = "load"
DEADLINE_MS = 3000
CLIENTS_PER_ENTRY = 4
MAX_PAYLOAD_BYTES = 8000
CONNECT_RETRY_SECONDS = 0.01


@dataclasses.dataclass(frozen=True)
class Result:
    """Result of one request; `outcome` is ``closed`` if the connection ended early."""

    request: str
    address: str
    idempotent: bool
    outcome: str
    began_at: float
    ended_at: float
    detail: str


class LoadGenerator:
    """Clients that send requests one after another, each to a fixed instance.

    A client sends either only idempotent requests or only others, so that clients that wait for a
    paused instance or for the table do not reduce the load of the other clients.

    Parameters
    ----------
    cluster : Cluster
    service : str
    seed : int
        Seed of the payloads and service times.
    """

    def __init__(self, cluster, service, seed):
        self.results = []
        self.invalid_answers = []
        self._cluster = cluster
        self._path = f"/service/{service}/echo"
        self._random = random.Random(seed)
        self._running = True
        self._number = 0
        count = CLIENTS_PER_ENTRY * len(cluster.entries)
        self._clients = [gevent.spawn(self._send_requests, number) for number in range(count)]

    def stop(self):
        """Wait until every client has finished its request."""
        self._running = False
        gevent.joinall(self._clients, raise_error=True, timeout=40)
        assert all(client.dead for client in self._clients), "a client has no answer"

    def _send_requests(self, client_index):
        idempotent = client_index // len(self._cluster.entries) % 2 == 0
        while self._running:
            self._send_request(client_index, idempotent)

    def _send_request(self, entry_index, idempotent):
        self._number += 1
        request = f"r{self._number}"
        payload = self._random.randbytes(self._random.randrange(MAX_PAYLOAD_BYTES))
        headers = {
            "lavenderhook-request-id": request,
            "lavenderhook-caller": CALLER,
            "lavenderhook-idempotent": str(idempotent).lower(),
            "lavenderhook-deadline-ms": str(DEADLINE_MS),
            "lavenderhook-first-send": "true",
            "x-service-ms": str(self._random.randint(5, 60)),
        }
        began_at = time.monotonic()
        answer = None
        detail = ""
        while answer is None and not detail:
            addresses = [entry.address for entry in self._cluster.entries.values()]
            address = addresses[entry_index % len(addresses)]
            try:
                answer = call(address, "POST", self._path, payload, headers, timeout=30.0)
            except ConnectionRefusedError:
                # Nothing was sent, so the same request goes to the next instance.
                entry_index += 1
                gevent.sleep(CONNECT_RETRY_SECONDS)
            except Exception as error:
                detail = repr(error)
        outcome = "closed"
        if answer is not None:
            outcome = answer.headers.get("lavenderhook-outcome", "")
            detail = f"{answer.status} {answer.body[:120]!r}"
            self._check_answer(request, payload, outcome, answer)
        self.results.append(
            Result(request, address, idempotent, outcome, began_at, time.monotonic(), detail)
        )

    def _check_answer(self, request, payload, outcome, answer):
        if outcome == "completed":
            first, _, rest = answer.body.partition(b"\n")
            echoed = re.fullmatch(rb"(\S+) w-\d+", first)
            is_valid = answer.status == 200 and echoed and echoed[1] == request.encode()
            is_valid = is_valid and rest == payload
        else:
            is_valid = {"not-run": 503, "unknown": 504}.get(outcome) == answer.status
        if not is_valid:
            self.invalid_answers.append((request, outcome, answer.status, answer.body[:120]))
