"""What shows a new owner that its predecessor gets no proof by its peers any longer.

A predecessor that doesn't list the new owner may go on without asking it, as long as all instances
that it lists answer that they know no later owner. Once one of these knows the new owner, it only
has the proofs from before.
"""

from __future__ import annotations

import time
from collections.abc import Callable, Collection

import gevent

from ...errors import LavenderhookError
from ..queueing.authority import CLOCK_RATE_FACTOR, PROOF_SECONDS
from ..queueing.model import FencingToken
from ..queueing.records import MemberRecord, OwnerRecord
from .peers import PeerClient, PingResponse
from .table_watcher import LogEvent, describe_failure

ASKING_INTERVAL_SECONDS = 0.3


class PredecessorPeers:
    """Asks a predecessor and the processes that it lists until one of them knows the new owner.

    Parameters
    ----------
    predecessor : OwnerRecord
    processes : collection of str
        The `boot` of each instance that the predecessor lists.
    fencing : FencingToken
        Token of the new owner.
    peer_client : PeerClient
    list_members : callable
        Returns the rows of the listed instances.
    log_event : callable
        Logs an event, given by its name and fields.
    """

    def __init__(
        self,
        predecessor: OwnerRecord,
        processes: Collection[str],
        fencing: FencingToken,
        *,
        peer_client: PeerClient,
        list_members: Callable[[], list[MemberRecord]],
        log_event: LogEvent,
    ) -> None:
        self._predecessor = predecessor
        self._processes = frozenset(processes)
        self._fencing = fencing
        self._peers = peer_client
        self._list_members = list_members
        self._log_event = log_event
        self._heard_at: float | None = None

    def wait_for_last_proof(self, should_go_on: Callable[[], bool]) -> bool:
        """Wait until the last proof by peers has expired; return False if that is given up.

        Parameters
        ----------
        should_go_on : callable
            Returns whether the answer still matters.
        """
        while self._heard_at is None:
            if not should_go_on():
                return False
            listed = {m.address for m in self._list_members() if m.boot in self._processes}
            addresses = listed | {self._predecessor.address}
            calls = [gevent.spawn(self._ask, address) for address in sorted(addresses)]
            gevent.joinall(calls, timeout=ASKING_INTERVAL_SECONDS)
            if self._heard_at is None:
                gevent.sleep(ASKING_INTERVAL_SECONDS)
        expires_at = self._heard_at + PROOF_SECONDS * CLOCK_RATE_FACTOR
        gevent.sleep(max(0.0, expires_at - time.monotonic()))
        return should_go_on()

    def _ask(self, address: str) -> None:
        try:
            answer = self._peers.ping(address)
        except LavenderhookError as error:
            self._log_event("contact-unanswered", peer=address, **describe_failure(error))
            return
        if self._ends_proofs(address, answer) and self._heard_at is None:
            self._heard_at = time.monotonic()
            self._log_event("predecessor-unproven", peer=address, fencing=self._fencing)

    def _ends_proofs(self, address: str, answer: PingResponse) -> bool:
        """Return whether an answer shows that the predecessor gets no more proofs by its peers.

        The predecessor may no longer list a process that leaves; one that it has removed knows so,
        and has another id, if it knows the later claim.
        """
        if answer.fencing is None or answer.fencing < self._fencing:
            return False
        if address == self._predecessor.address and answer.boot != self._predecessor.boot:
            return True
        return answer.process in self._processes and not answer.is_leaving
