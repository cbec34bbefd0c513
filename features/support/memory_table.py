"""In-memory table with injected faults, shared by the instances of a test."""

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
    lost_request_share, lost_response_share, refusal_share : float
        Probability that a commit or read does not arrive, that the response to a commit is lost,
        and that a commit is refused.
    """

    def __init__(self, seed=1, lost_request_share=0.0, lost_response_share=0.0, refusal_share=0.0):
        self.random = random.Random(seed)
        self.lost_request_share = lost_request_share
        self.lost_response_share = lost_response_share
        self.refusal_share = refusal_share
        self.rows = {}
        self.revision = 0
        self.commits = 0
        self.responses_to_lose = 0
        self.commits_to_refuse = 0

    def commit(self, transaction_id, checks, puts, deletes=()):
        """Apply a transaction, subject to the injected faults."""
        gevent.sleep(LATENCY_SECONDS)
        draw = self.random.random()
        if self.commits_to_refuse > 0:
            self.commits_to_refuse -= 1
            raise StoreUnavailableError("down")
        if draw < self.refusal_share:
            raise StoreUnavailableError("refused")
        if draw < self.refusal_share + self.lost_request_share:
            raise TransportError("request lost", sent=True)
        result = self.apply(checks, puts, deletes)
        if self.responses_to_lose > 0 or self.random.random() < self.lost_response_share:
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

    def read(self, key):
        """Return a row."""
        gevent.sleep(LATENCY_SECONDS)
        if self.random.random() < self.lost_request_share:
            raise TransportError("read lost", sent=True)
        version, value = self.rows.get(key, (0, b""))
        return Row(key, version, value)

    def scan(self, prefix, after="", limit=500):
        """Return rows in key order."""
        gevent.sleep(LATENCY_SECONDS)
        keys = sorted(key for key in self.rows if key.startswith(prefix) and key > after)
        return [Row(key, *self.rows[key]) for key in keys[:limit]]
