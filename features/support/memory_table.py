"""Table service in memory, with faults, shared by several instances of a test."""

import random

import gevent

from lavenderhook._internal.ports.platform import Row, TableStore, TransactionConflict
from lavenderhook.errors import StoreUnavailableError, TransportError

LATENCY_SECONDS = 0.001


class MemoryTable(TableStore):
    """Table that may lose requests and responses.

    Parameters
    ----------
    seed : int
        Seed of the draws for faults.
    lost_requests, lost_responses, refusals : float
        Probability that a commit or read never arrives, that the response of a commit is lost,
        that a commit is refused.
    """

    def __init__(self, seed=1, lost_requests=0.0, lost_responses=0.0, refusals=0.0):
        self.random = random.Random(seed)
        self.lost_requests = lost_requests
        self.lost_responses = lost_responses
        self.refusals = refusals
        self.rows = {}
        self.revision = 0
        self.commits = 0
        self.lose_next = 0
        self.down_for = 0

    def commit(self, transaction_id, checks, puts, deletes=()):
        """Apply a transaction, with the faults drawn for it."""
        gevent.sleep(LATENCY_SECONDS)
        draw = self.random.random()
        if self.down_for > 0:
            self.down_for -= 1
            raise StoreUnavailableError("down")
        if draw < self.refusals:
            raise StoreUnavailableError("refused")
        if draw < self.refusals + self.lost_requests:
            raise TransportError("request lost", sent=True)
        result = self.apply(checks, puts, deletes)
        if self.lose_next > 0 or self.random.random() < self.lost_responses:
            self.lose_next -= 1
            raise TransportError("response lost", sent=True)
        gevent.sleep(LATENCY_SECONDS)
        return result

    def apply(self, checks, puts, deletes):
        """Check versions and write."""
        actual = {key: self.rows.get(key, (0, b""))[0] for key in checks}
        failed = {key: found for key, found in actual.items() if found != checks[key]}
        if failed:
            return TransactionConflict(failed)
        self.revision += 1
        self.commits += 1
        for key, value in puts.items():
            self.rows[key] = (self.revision, value)
        for key in deletes:
            self.rows.pop(key, None)
        return self.revision

    def read(self, key):
        """Return a row."""
        gevent.sleep(LATENCY_SECONDS)
        if self.random.random() < self.lost_requests:
            raise TransportError("read lost", sent=True)
        version, value = self.rows.get(key, (0, b""))
        return Row(key, version, value)

    def scan(self, prefix, after="", limit=500):
        """Return rows in key order."""
        gevent.sleep(LATENCY_SECONDS)
        keys = sorted(key for key in self.rows if key.startswith(prefix) and key > after)
        return [Row(key, *self.rows[key]) for key in keys[:limit]]
