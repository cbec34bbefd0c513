"""Writes of rows that callers wait for: directly, or through a peer that reaches the store."""

from __future__ import annotations

import time
from collections.abc import Callable

import gevent

from ..ports.queueing import RowStore
from .slow_store import compute_hedge_delay, compute_max_hedge_delay
from .submission_writer import WriteResult

MAX_PEERS_PER_WRITE = 2  # to which a write is forwarded at the same time
# A peer that does not respond may still write the row, so that callers can't be told that their
# submissions never run. It is skipped for this time.
PEER_SKIP_SECONDS = 3.0
PEER_REFUSAL_VALID_SECONDS = 1.0  # after all peers asked failed to write
PEER_WRITE_TIMEOUT_SECONDS = 0.9
# Calls to a peer share few connections, and one that is gone would keep them.
MAX_GATHERING_SECONDS = 3.0
PEER_RESPONSE_SECONDS = 0.1  # left for the response of the peer that gathers writes
OUTAGE_CHECK_INTERVAL_SECONDS = 0.1  # between checks whether the store still answers

WriteLocally = Callable[[], WriteResult]
WriteAt = Callable[[str, float], WriteResult]  # takes the peer's address and seconds


class ForwardingWriter:
    """Writes rows directly or through peers.

    Parameters
    ----------
    store : RowStore
    can_reach_store : callable
        Returns whether the store is available, as far as this instance knows.
    list_peers : callable
        Returns the addresses of the peers, in the order in which they are asked.
    """

    def __init__(
        self,
        store: RowStore,
        can_reach_store: Callable[[], bool],
        list_peers: Callable[[], list[str]],
    ) -> None:
        self._store = store
        self._can_reach_store = can_reach_store
        self._list_peers = list_peers
        self._skipped_until: dict[str, float] = {}  # by address of the peer
        self._peers_refused_at = -PEER_REFUSAL_VALID_SECONDS  # when peers last failed to write

    def write_gathered(
        self,
        write_locally: WriteLocally,
        write_remotely: WriteAt,
        deadline: float,
        address: str,
    ) -> WriteResult:
        """Write a row through the peer that gathers the rows of its part, or else as `write` does.

        Parameters
        ----------
        address : str
            Of that peer.
        """
        now = time.monotonic()
        if self._skipped_until.get(address, 0.0) > now:
            return self.write(write_locally, write_remotely, deadline)
        seconds = min(max(0.0, deadline - now - PEER_RESPONSE_SECONDS), MAX_GATHERING_SECONDS)
        gathered = gevent.spawn(self._write_at, address, write_remotely, seconds)
        gathered.join(min(seconds, compute_hedge_delay(self._store.measure_latency_seconds())))
        if gathered.ready() and gathered.value in (WriteResult.STORED, WriteResult.NO_SUCH):
            return gathered.value
        result = self.write(write_locally, write_remotely, deadline)
        if result is not WriteResult.NOT_STORED:
            return result
        gathered.join(max(0.0, deadline - time.monotonic()))
        # Without a result from the peer, the row may have been stored or may yet be.
        return gathered.value if gathered.successful() else WriteResult.UNKNOWN

    def write(
        self, write_locally: WriteLocally, write_remotely: WriteAt, deadline: float
    ) -> WriteResult:
        """Write a row, directly or through a peer.

        Handles an instance that is partitioned from the store: a write that gets no response in
        the usual time is forwarded, and at once while the store counts as unavailable. Writing the
        same row from two instances is harmless, since the second write finds the row.
        """
        if not self._can_reach_store():
            return self._write_via_peers(write_remotely, deadline)
        local_write = gevent.spawn(write_locally)
        local_write.join(compute_hedge_delay(self._store.measure_latency_seconds()))
        if local_write.ready() and not local_write.successful():
            return WriteResult.UNKNOWN  # an unexpected error, which gevent reports
        if local_write.ready() and local_write.value is not WriteResult.NOT_STORED:
            return local_write.value
        peer_result = self._write_via_peers(write_remotely, deadline)
        if peer_result in (WriteResult.STORED, WriteResult.NO_SUCH):
            return peer_result
        # When the store has answered neither this instance nor a peer, callers retry sooner if they
        # are told so at once; a write in progress still takes effect if the store carries it out.
        while not local_write.ready() and time.monotonic() < deadline:
            limit_seconds = compute_max_hedge_delay(self._store.measure_latency_seconds())
            if self._store.measure_unanswered_seconds() > limit_seconds:
                break
            local_write.join(OUTAGE_CHECK_INTERVAL_SECONDS)
        if not local_write.successful():
            return WriteResult.UNKNOWN
        if local_write.value is WriteResult.NOT_STORED:
            return peer_result
        return local_write.value

    def _write_via_peers(self, write_remotely: WriteAt, deadline: float) -> WriteResult:
        """Write a row through a peer that reaches the store.

        Handles a store that is unavailable to all instances: after all peers that were asked have
        failed, the next callers are refused at once, without asking peers again.
        """
        now = time.monotonic()
        seconds = min(PEER_WRITE_TIMEOUT_SECONDS, deadline - now)
        if seconds <= 0 or now - self._peers_refused_at < PEER_REFUSAL_VALID_SECONDS:
            return WriteResult.NOT_STORED
        peers_asked = [a for a in self._list_peers() if self._skipped_until.get(a, 0.0) <= now]
        greenlets = [
            gevent.spawn(self._write_at, address, write_remotely, seconds)
            for address in peers_asked[:MAX_PEERS_PER_WRITE]
        ]
        for greenlet in gevent.iwait(greenlets, timeout=seconds):
            if greenlet.value in (WriteResult.STORED, WriteResult.NO_SUCH):
                return greenlet.value
        if all(greenlet.value is WriteResult.NOT_STORED for greenlet in greenlets):
            self._peers_refused_at = time.monotonic()
            return WriteResult.NOT_STORED
        return WriteResult.UNKNOWN

    def _write_at(self, address: str, write_remotely: WriteAt, seconds: float) -> WriteResult:
        """Write a row through one peer; skip the peer for some time if the outcome is unknown."""
        result = write_remotely(address, seconds)
        if result is WriteResult.UNKNOWN:
            self._skipped_until[address] = time.monotonic() + PEER_SKIP_SECONDS
        return result
