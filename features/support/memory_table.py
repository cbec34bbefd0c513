"""In-memory table with injected faults, shared by the instances of a test."""

import random
import time

import gevent

from lavenderhook._internal.ports.platform import Row, TableStore, TransactionConflict
from lavenderhook.errors import StoreUnavailableError, TransportError

LATENCY_SECONDS = 0.001


class MemoryTable(TableStore):
    """Table that may lose requests and responses.

    Parameters
    ----------
    seed : int
        Seed of the random faults.
    lost_request_probability, lost_response_probability, rejection_probability : float
        Probability that a commit or read does not arrive, that the response to a commit is lost,
        and that a commit is rejected as unavailable.
    """

    def __init__(
        self,
        seed=1,
        lost_request_probability=0.0,
        lost_response_probability=0.0,
        rejection_probability=0.0,
    ):
        self.random = random.Random(seed)
        self.lost_request_probability = lost_request_probability
        self.lost_response_probability = lost_response_probability
        self.rejection_probability = rejection_probability
        self.rows = {}
        self.revision = 0
        self.commits = 0
        self.responses_to_lose = 0
        self._reads_until_loss = 0
        self.commits_to_reject = 0
        self.unavailable_until = 0.0  # monotonic time in seconds

    def commit(self, transaction_id, checks, puts, deletes=()):
        """Apply a transaction, subject to the injected faults."""
        gevent.sleep(LATENCY_SECONDS)
        draw = self.random.random()
        if self.commits_to_reject > 0:
            self.commits_to_reject -= 1
            raise StoreUnavailableError("table unavailable")
        if time.monotonic() < self.unavailable_until:
            raise StoreUnavailableError("table unavailable")
        if draw < self.rejection_probability:
            raise StoreUnavailableError("commit rejected")
        if draw < self.rejection_probability + self.lost_request_probability:
            raise TransportError("request lost", sent=True)
        result = self.apply(checks, puts, deletes)
        if self.responses_to_lose > 0 or self.random.random() < self.lost_response_probability:
            self.responses_to_lose -= 1
            raise TransportError("response lost", sent=True)
        gevent.sleep(LATENCY_SECONDS)
        return result

    def apply(self, checks, puts, deletes):
        """Check the versions and write the rows."""
        actual = {key: self.rows.get(key, (0, b""))[0] for key in checks}
        failed = {key: version for key, version in actual.items() if version != checks[key]}
        if failed:
            return TransactionConflict(failed)
        self.revision += 1
        self.commits += 1
        for key, value in puts.items():
            self.rows[key] = (self.revision, value)
        for key in deletes:
            self.rows.pop(key, None)
        return self.revision

    def lose_read(self, number):
        """Lose one of the reads that follow: the first for 1."""
        self._reads_until_loss = number

    def read(self, key):
        """Return a row."""
        gevent.sleep(LATENCY_SECONDS)
        self._reads_until_loss -= 1
        if self._reads_until_loss == 0:
            raise TransportError("read lost", sent=True)
        if self.random.random() < self.lost_request_probability:
            raise TransportError("read lost", sent=True)
        version, value = self.rows.get(key, (0, b""))
        return Row(key, version, value)

    def scan(self, prefix, after="", limit=500):
        """Return rows in key order."""
        gevent.sleep(LATENCY_SECONDS)
        keys = sorted(key for key in self.rows if key.startswith(prefix) and key > after)
        return [Row(key, *self.rows[key]) for key in keys[:limit]]
