"""Ports of the queues: durable rows, workers, the advisory service and the configuration.

All calls block the calling greenlet.
"""

from __future__ import annotations

import abc
from collections.abc import Iterable, Sequence

import msgspec

from ..core.identifiers import WorkerId
from ..queueing.model import (
    CommandToken,
    RunNumber,
    StartCommand,
    StartOutcome,
    StepId,
    TaskKey,
    TicketId,
    WorkerListing,
    WorkerReport,
)
from ..queueing.routes import QueueRoutes
from .transfers import Transfer

# The store counts as unavailable once calls have waited this long without any response. At 90 times
# the usual latency, it still responds within 0.9 s.
STORE_OUTAGE_SECONDS = 1.1
# Time limit of a call to the store. At 90 times the usual latency, a transaction takes 0.9 s and
# may wait a second for other ones; a page of 1 MB over a link of 5 Mbit/s takes 1.6 s.
STORE_CALL_SECONDS = 2.2
# Of reads after the store has lost its history; their revision may be newer than their rows.
MAX_READ_STALENESS_SECONDS = 6.0


class StoredRow(msgspec.Struct, frozen=True, kw_only=True):
    """A row; `revision` is the store's change counter at the last change of the row."""

    table: str
    key: str
    value: bytes
    revision: int
    is_deleted: bool = False
    part: str = ""


class RowConflict(msgspec.Struct, frozen=True):
    """A transaction whose conditions did not hold, with the current rows."""

    rows: tuple[StoredRow, ...]

    def find(self, table: str, key: str) -> StoredRow | None:
        """Return the current row, or None if it does not exist."""
        for row in self.rows:
            if row.table == table and row.key == key and not row.is_deleted:
                return row
        return None


class RowChanges(msgspec.Struct, frozen=True):
    """Rows that were read or have changed, and the revision to continue from."""

    rows: tuple[StoredRow, ...]
    revision: int


class Write(msgspec.Struct, frozen=True):
    """A row to set.

    Parameters
    ----------
    expected : int or None
        Revision that the row must have; 0 if it must not exist, None for any.
    part : str
        Part of the table; one transaction writes to one part.
    """

    table: str
    key: str
    value: bytes
    expected: int | None = None
    part: str = ""


class Condition(msgspec.Struct, frozen=True):
    """A row that must have the given revision; 0 means that it must not exist."""

    table: str
    key: str
    revision: int
    part: str = ""


class Deletion(msgspec.Struct, frozen=True):
    """A row to delete; it is no error if the row does not exist."""

    table: str
    key: str
    part: str = ""


class HistoryLostError(Exception):
    """The change feed no longer covers the given revision."""


class RowStore(abc.ABC):
    """The platform's transactional rows.

    `transact`, `read` and `wait_for_changes` raise `StoreUnavailableError` if the call had no
    effect, and `TransportError` with ``sent=True`` if a write may have been done or may still be.
    """

    @abc.abstractmethod
    def transact(
        self,
        writes: Sequence[Write],
        conditions: Sequence[Condition] = (),
        deletes: Sequence[Deletion] = (),
    ) -> int | RowConflict:
        """Write and delete all rows or none; return the new revision or the conflict."""

    @abc.abstractmethod
    def measure_unanswered_seconds(self) -> float:
        """Return for how long calls have waited without any response of the store, in seconds."""

    @abc.abstractmethod
    def measure_latency_seconds(self) -> float:
        """Return the smoothed duration of recent calls that were answered, in seconds."""

    @abc.abstractmethod
    def get_newest_revision(self) -> int:
        """Return the newest revision in any response of the store; 0 before the first."""

    @abc.abstractmethod
    def has_answered_since(self, moment: float) -> bool:
        """Return whether any call was answered after a moment (monotonic time in seconds)."""

    @abc.abstractmethod
    def read(
        self,
        table: str,
        start: str = "",
        end: str = "",
        part: str = "",
        timeout_seconds: float = STORE_CALL_SECONDS,
        transfer: Transfer | None = None,
    ) -> RowChanges:
        """Return all existing rows of a part with ``start <= key < end``, and the revision.

        The result is the full content of that range (all pages), not a list of changes. An empty
        `end` means no upper limit. `transfer` records what arrives.
        """

    @abc.abstractmethod
    def wait_for_changes(
        self, table: str, after: int, wait_seconds: float, transfer: Transfer | None = None
    ) -> RowChanges:
        """Return the changes in all parts after a revision; wait if there are none yet.

        Raises
        ------
        HistoryLostError
        """


class QueueWorkerClient(abc.ABC):
    """Commands to workers.

    A worker may restart under the same id and address. What a start or a hold carries was computed
    for one incarnation, and would harm another one: the end of a lease on its clock, and the number
    of a finished run. Both are sent only on a connection on which that incarnation has answered.
    """

    @abc.abstractmethod
    def start(self, address: str, command: StartCommand, lease_until: float) -> StartOutcome:
        """Start a run; `lease_until` is on the worker's clock, in seconds.

        It isn't sent to another incarnation than that of the command.
        """

    @abc.abstractmethod
    def stop(
        self,
        address: str,
        worker: WorkerId,
        task: TaskKey,
        number: RunNumber,
        token: CommandToken,
    ) -> bool | None:
        """Stop a run and prevent a later start; return False if fenced, None if unknown."""

    @abc.abstractmethod
    def hold(
        self,
        address: str,
        worker: WorkerId,
        born: int,
        token: CommandToken,
        acknowledged_sequence: int,
        lease_until: float | None,
        wait_seconds: float,
    ) -> WorkerReport | HoldRefusal:
        """Renew the worker's leases, acknowledge finished runs and return the worker's report.

        The worker forgets finished runs up to `acknowledged_sequence`. If it has no others, it
        waits up to `wait_seconds` for a run to finish before it reports. With a `lease_until` of
        None, no lease is renewed. Unless the incarnation `born` is known to be at the other end,
        the worker only reports.
        """


class HoldRefusal(msgspec.Struct, frozen=True):
    """The result of a hold that returned no report.

    Parameters
    ----------
    is_fenced : bool
        The worker has accepted calls of a newer owner.
    is_wrong_recipient : bool
        Another worker, or another incarnation of the worker, uses the address.
    """

    is_fenced: bool = False
    is_wrong_recipient: bool = False


class Advisor(abc.ABC):
    """The advisory service: it decides which workers may run a step and issues their tickets."""

    @abc.abstractmethod
    def request_advice(
        self, step: StepId, workers: Iterable[WorkerId], timeout_seconds: float
    ) -> dict[WorkerId, TicketId] | None:
        """Return the allowed workers with their tickets, or None if the call failed."""


class WorkerChanges(msgspec.Struct, frozen=True):
    """Entries of the platform's list of workers.

    Parameters
    ----------
    workers : dict
        None stands for a worker that has left or whose entry can't be decoded.
    is_complete : bool
        `workers` is the whole list; workers that it doesn't name have left.
    """

    workers: dict[WorkerId, WorkerListing | None]
    revision: int
    is_complete: bool


class WorkerList(abc.ABC):
    """The platform's list of live workers."""

    @abc.abstractmethod
    def read(self) -> WorkerChanges:
        """Return the whole list, with `is_complete` set."""

    @abc.abstractmethod
    def wait_for_changes(self, after: int, wait_seconds: float) -> WorkerChanges:
        """Return the changes after a revision.

        Raises
        ------
        HistoryLostError
        """


class ConfigurationChange(msgspec.Struct, frozen=True):
    """The result of reading the configuration.

    Parameters
    ----------
    revision : int
        Revision to continue from.
    routes : QueueRoutes or None
        The queues; None if they did not change or can't be decoded.
    content : bytes
        What the queues were decoded from.
    row_revision : int
        Revision of the row that was read; 0 if none was.
    is_unreadable : bool
        The newest row can't be decoded.
    has_waited : bool
        Nothing was written, so that the store answered at the end of the wait.
    decode_seconds : float
        How long the content took to decode.
    """

    revision: int
    routes: QueueRoutes | None = None
    content: bytes = b""
    row_revision: int = 0
    is_unreadable: bool = False
    has_waited: bool = False
    decode_seconds: float = 0.0


class QueueConfiguration(abc.ABC):
    """The operator's configuration of the queues."""

    @abc.abstractmethod
    def read(self, transfer: Transfer) -> ConfigurationChange:
        """Return the whole configuration; `transfer` records what arrives of it."""

    @abc.abstractmethod
    def wait_for_changes(
        self, after: int, wait_seconds: float, transfer: Transfer
    ) -> ConfigurationChange:
        """Return the change after a revision; `transfer` records what arrives of it.

        Raises
        ------
        HistoryLostError
        """

    @abc.abstractmethod
    def decode(self, content: bytes) -> QueueRoutes:
        """Return the queues of a configuration that a peer has read.

        Raises
        ------
        ProtocolError
        """
