"""The owner's pings to all listed instances, and the removal of those that stay silent."""

from __future__ import annotations

from collections.abc import Callable

import gevent
import gevent.event
import msgspec

from ...errors import LavenderhookError
from ..ports.queueing import Condition, RowConflict, RowStore, Write
from ..queueing.records import CONTROL_TABLE, MEMBER_PREFIX, OWNER_KEY, MemberRecord, encode
from .clock import read_elapsed_clock
from .member_liveness import MemberLiveness, PingRound
from .ownership import OwnershipView
from .table_watcher import LogEvent, describe_failure

CHECK_INTERVAL_SECONDS = 0.5  # between checks whether pings are due


class MemberWatch:
    """Removes the member rows of silent instances while this instance is the owner.

    Parameters
    ----------
    view : OwnershipView
    store : RowStore
    is_confirmed : callable
        Returns whether this instance is the owner and the store has just confirmed it.
    ask_peer : callable
        Pings a listed instance; returns whether it has answered.
    stopped : gevent.event.Event
        Ends the loop.
    """

    def __init__(
        self,
        view: OwnershipView,
        store: RowStore,
        *,
        is_confirmed: Callable[[], bool],
        ask_peer: Callable[[MemberRecord], bool],
        stopped: gevent.event.Event,
        log_event: LogEvent,
    ) -> None:
        self._view = view
        self._store = store
        self._is_confirmed = is_confirmed
        self._ask_peer = ask_peer
        self._stopped = stopped
        self._log_event = log_event
        self._owner_revision = 0
        self._liveness = MemberLiveness()

    def run(self) -> None:
        """Check the members until the instance stops."""
        while not self._stopped.is_set():
            gevent.sleep(CHECK_INTERVAL_SECONDS)
            self.check()

    def check(self) -> None:
        """Ping all listed instances if that is due, and remove those that stay silent."""
        owner, revision = self._view.owner, self._view.owner_revision
        if revision != self._owner_revision:
            self._owner_revision = revision
            self._liveness = MemberLiveness()
        if owner is None or not self._is_confirmed():
            self._liveness.interrupt()
            return
        started_at = read_elapsed_clock()
        if not self._liveness.is_round_due(started_at):
            return
        # A row that changes meanwhile is that of an instance that runs.
        revisions = dict(self._view.member_revisions)
        members = {m.boot: m for m in self._view.list_peers()}
        pings = {boot: gevent.spawn(self._ask_peer, m) for boot, m in members.items()}
        gevent.joinall(list(pings.values()))
        silent_seconds = self._liveness.record_round(
            PingRound(
                started_at=started_at,
                ended_at=read_elapsed_clock(),
                answers={boot: bool(ping.value) for boot, ping in pings.items()},
                is_confirmed=self._is_confirmed(),
            )
        )
        for boot, seconds in silent_seconds.items():
            member = members[boot]
            row = msgspec.structs.replace(member, has_left=True, removed_by=owner.fencing)
            key = MEMBER_PREFIX + member.name
            self._log_removal(
                self._store_removal(
                    Write(CONTROL_TABLE, key, encode(row), revisions.get(member.name, 0)),
                    Condition(CONTROL_TABLE, OWNER_KEY, revision),
                ),
                member=member.name,
                address=member.address,
                silent=round(seconds, 1),
            )

    def _store_removal(
        self, write: Write, condition: Condition
    ) -> RowConflict | LavenderhookError | None:
        """Store a marked row unless it or the owner has changed; return what prevented it."""
        try:
            result = self._store.transact([write], [condition])
        except LavenderhookError as error:
            return error
        return result if isinstance(result, RowConflict) else None

    def _log_removal(
        self, failure: RowConflict | LavenderhookError | None, **fields: object
    ) -> None:
        if failure is None:
            self._log_event("member-removed", **fields)
        elif isinstance(failure, RowConflict):
            self._log_event("member-unremoved", **fields, error="RowConflict")
        else:
            self._log_event("member-unremoved", **fields, **describe_failure(failure))
