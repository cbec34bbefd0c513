"""What shows a new owner that earlier owners get no proof by their peers any longer.

A predecessor that doesn't list the new owner may go on without asking it, as long as all instances
that it lists answer that they know no later owner. Once one of these, or its own process, knows the
new owner, it only has the proofs from before.

A predecessor that may not have known of its own claim may have confirmed the owner before it, until
its process knows a later one.

No earlier owner acts once all listed instances know the new one, unless an owner has removed one
that may still run, or a stale read has missed one. Nor does any once a majority of the workers has
answered the new one (`queueing.witnesses`), which needs no answer of any instance.
"""

from __future__ import annotations

import enum
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
LAST_PROOF_SECONDS = PROOF_SECONDS * CLOCK_RATE_FACTOR  # for which one from before an answer counts


class EndReason(enum.Enum):
    """What has shown that no earlier owner acts any longer."""

    ALL_KNOW = "all-know"  # all listed instances know the new owner
    WORKERS = "workers"  # a majority of the workers answers the new owner only
    PREDECESSOR = "predecessor"  # it has no proof by its peers any longer
    EXPIRED = "expired"  # the stated time has passed, or the predecessor's process has ended


class PredecessorInquiry:
    """Asks a predecessor and all listed instances whether they know the new owner.

    Parameters
    ----------
    predecessor : OwnerRecord
    processes : collection of str
        The `boot` of each instance that the predecessor lists.
    fencing : FencingToken
        Token of the new owner.
    peer_client : PeerClient
    list_members : callable
        Returns the rows of the other listed instances.
    are_all_listed : callable
        Returns whether each instance that may run is certainly listed.
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
        are_all_listed: Callable[[], bool],
        log_event: LogEvent,
    ) -> None:
        self._predecessor = predecessor
        self._processes = frozenset(processes)
        self._fencing = fencing
        self._peers = peer_client
        self._list_members = list_members
        self._are_all_listed = are_all_listed
        self._log_event = log_event
        self._heard: set[str] = set()  # processes that know the new owner
        self._heard_at: float | None = None  # from anyone who ends its proofs
        self._answered_at: float | None = None  # by itself

    def ask(self) -> None:
        """Ask those who have not answered that they know the new owner."""
        addresses = {m.address for m in self._list_members() if m.boot not in self._heard}
        if self._answered_at is None:
            addresses.add(self._predecessor.address)
        calls = [gevent.spawn(self._ask, address) for address in sorted(addresses)]
        gevent.joinall(calls, timeout=ASKING_INTERVAL_SECONDS)

    def find_end(self, *, has_witnessed_end: bool) -> EndReason | None:
        """Return what shows that the predecessor acts no longer, and perhaps no earlier owner.

        Parameters
        ----------
        has_witnessed_end : bool
            The workers show that no earlier owner acts any longer.
        """
        if self.do_all_know_owner():
            return EndReason.ALL_KNOW
        if has_witnessed_end:
            return EndReason.WORKERS
        return EndReason.PREDECESSOR if _is_past(self._heard_at) else None

    def confirms_nobody(self) -> bool:
        """Return whether all proofs have expired that the predecessor's process may have given."""
        return _is_past(self._answered_at)

    def do_all_know_owner(self) -> bool:
        """Return whether all instances know the new owner, so that no earlier one acts."""
        members = self._list_members()
        are_listed_heard = bool(members) and all(m.boot in self._heard for m in members)
        is_predecessor_listed = any(m.address == self._predecessor.address for m in members)
        is_predecessor_heard = is_predecessor_listed or self._answered_at is not None
        return are_listed_heard and is_predecessor_heard and self._are_all_listed()

    def _ask(self, address: str) -> None:
        try:
            answer = self._peers.ping(address)
        except LavenderhookError as error:
            self._log_event("contact-unanswered", peer=address, **describe_failure(error))
            return
        if answer.fencing is None or answer.fencing < self._fencing:
            return
        self._heard.add(answer.process)
        is_its_own = address == self._predecessor.address and answer.boot != self._predecessor.boot
        if self._answered_at is None and is_its_own:
            self._answered_at = time.monotonic()
        if self._heard_at is None and (is_its_own or self._is_listed(answer)):
            self._heard_at = time.monotonic()
            self._log_event("predecessor-unproven", peer=address, fencing=self._fencing)

    def _is_listed(self, answer: PingResponse) -> bool:
        """Return whether the predecessor still asks the process that has answered.

        It may no longer list one that leaves. One that it has removed knows so, and has another id,
        if it knows the later claim.
        """
        return answer.process in self._processes and not answer.is_leaving


def _is_past(moment: float | None) -> bool:
    return moment is not None and time.monotonic() >= moment + LAST_PROOF_SECONDS
