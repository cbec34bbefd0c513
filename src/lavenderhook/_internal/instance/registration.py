"""The member row by which the peers know this instance."""

from __future__ import annotations

import secrets
from collections.abc import Callable

import gevent
import gevent.event

from ...errors import LavenderhookError, ProtocolError
from ..ports.queueing import RowConflict, RowStore, StoredRow, Write
from ..queueing.records import CONTROL_TABLE, MEMBER_PREFIX, MemberRecord, decode, encode
from .ownership import OwnershipView
from .table_watcher import LogEvent, describe_failure

STORE_RETRY_SECONDS = 0.25  # after a failed call to the store
REMOVAL_CHECK_SECONDS = 0.25  # between checks whether the instance was removed
MAX_LEAVE_ATTEMPTS = 3  # the row may have changed in the meantime


class Registration:
    """Keeps the row of this instance in the control table.

    An owner marks the row of an instance that doesn't answer it. If this process runs on, it
    registers again under a new process id, which the owner doesn't list: with the old one, it would
    take itself for one that the owner asks before it acts without the store.

    Parameters
    ----------
    view : OwnershipView
        Holds the name, the fitness and the process id of this instance.
    zone, address : str
    is_draining : callable
        Returns whether this instance is about to stop; it doesn't register any more.
    step_down : callable
        Gives up the ownership, given the reason. Peers take another process id at an owner's name
        and address as proof that the owner has ended.
    stopped : gevent.event.Event
        Ends the loop.
    """

    def __init__(
        self,
        view: OwnershipView,
        zone: str,
        address: str,
        *,
        store: RowStore,
        is_draining: Callable[[], bool],
        step_down: Callable[[str], None],
        stopped: gevent.event.Event,
        log_event: LogEvent,
    ) -> None:
        self._view = view
        self._zone = zone
        self._address = address
        self._store = store
        self._is_draining = is_draining
        self._step_down = step_down
        self._stopped = stopped
        self._log_event = log_event
        self._revision = 0
        self._found: MemberRecord | None = None  # the row of that revision, if it was read

    def register(self) -> None:
        """Write the row, and again after a removal; retry until stored."""
        registered = ""
        while not self._stopped.is_set() and not self._is_draining():
            process_id = self._view.process_id
            if process_id == registered:
                gevent.sleep(REMOVAL_CHECK_SECONDS)
                continue
            try:
                if self._write_row(has_left=False):
                    registered = process_id
            except LavenderhookError as error:
                self._log_event("join-failed", **describe_failure(error))
                gevent.sleep(STORE_RETRY_SECONDS)

    def leave(self) -> None:
        """Let the peers know that this instance takes no more calls."""
        try:
            for _ in range(MAX_LEAVE_ATTEMPTS):
                if self._write_row(has_left=True):
                    return
        except LavenderhookError as error:
            self._log_event("leave-unstored", **describe_failure(error))

    def make_row(self, *, has_left: bool = False) -> Write:
        """Return the row of this instance under the condition that nobody has changed it."""
        record = MemberRecord(
            name=self._view.name,
            boot=self._view.process_id,
            address=self._address,
            zone=self._zone,
            strength=self._view.owner_fitness,
            has_left=has_left,
        )
        key = MEMBER_PREFIX + self._view.name
        return Write(CONTROL_TABLE, key, encode(record), self._revision)

    def record_stored(self, revision: int) -> None:
        """Record that the row has been stored, and which process it has replaced."""
        self._revision = max(self._revision, revision)
        found, self._found = self._found, None
        if found is None or found.boot == self._view.process_id:
            return
        is_listed = not found.has_left and not found.removed_by
        if is_listed and found.address == self._address:
            self._view.former_process_id = found.boot

    def record_conflict(self, conflict: RowConflict) -> None:
        """Record the row that was found instead of the expected one."""
        row = conflict.find(CONTROL_TABLE, MEMBER_PREFIX + self._view.name)
        self._found = None
        if row is None:
            self._revision = 0
            return
        try:
            self._check_removal(row)
        except ProtocolError as error:
            self._log_event("row-unreadable", key=row.key, **describe_failure(error))
        self._revision = row.revision

    def apply_row(self, row: StoredRow) -> None:
        """Apply a row of this instance that was read.

        Raises
        ------
        ProtocolError
        """
        if row.revision > self._revision:
            self._found = None
        if not row.is_deleted:
            self._check_removal(row)
        self._revision = max(self._revision, row.revision)

    def _check_removal(self, row: StoredRow) -> None:
        """Take a new process id if an owner has removed this process.

        Until the caller has recorded the row's revision, no claim with the old id can succeed.
        """
        member = decode(row.value, MemberRecord)
        if row.revision >= self._revision:
            self._found = member
        is_removed = member.removed_by and member.boot == self._view.process_id
        if not is_removed or self._is_draining():
            return
        self._step_down("another owner has removed this instance")
        self._view.process_id = secrets.token_hex(6)
        self._view.former_process_id = ""
        self._log_event("membership-lost", removed_by=member.removed_by, process=member.boot)

    def _write_row(self, *, has_left: bool) -> bool:
        """Replace the row of this instance; return False if it has changed in the meantime.

        Raises
        ------
        StoreUnavailableError, TransportError
        """
        result = self._store.transact([self.make_row(has_left=has_left)])
        if isinstance(result, RowConflict):
            self.record_conflict(result)
            return False
        self.record_stored(result)
        return True
