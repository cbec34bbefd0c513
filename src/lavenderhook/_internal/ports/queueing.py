"""Ports of the queues: rows that last, workers that hold leases, and the advisory service.

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

# Calls wait for the store without any answer for this long: it is away. 90 times as slow as usual,
# it still answers in 0.9 s.
STORE_OUTAGE_SECONDS = 1.1
# Longest time for a call to the store: 90 times as slow as usual, a transaction takes 0.9 s and may
# wait for a second's worth of others; a page of 1 MB over a link of 5 Mbit/s takes 1.6 s.
STORE_CALL_SECONDS = 2.2


class StoredRow(msgspec.Struct, frozen=True, kw_only=True):
    """A row; `revision` is the store's counter at its last change."""

    table: str
    key: str
    value: bytes
    revision: int
    is_deleted: bool = False
    part: str = ""


class RowConflict(msgspec.Struct, frozen=True):
    """A transaction whose conditions did not hold, with the rows as they are."""

    rows: tuple[StoredRow, ...]

    def find(self, table: str, key: str) -> StoredRow | None:
        """Return one of the rows, or None if it does not exist."""
        for row in self.rows:
            if row.table == table and row.key == key and not row.is_deleted:
                return row
        return None


class RowChanges(msgspec.Struct, frozen=True):
    """Rows that changed, and the revision from which to go on."""

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


class Deletion(msgspec.Struct, frozen=True):
    """A row to remove; one that does not exist is no failure."""

    table: str
    key: str
    part: str = ""


class HistoryLostError(Exception):
    """The store no longer has the changes after the given revision."""


class RowStore(abc.ABC):
    """The platform's transactional rows.

    Every method raises `StoreUnavailableError` if nothing was done, and `TransportError` with
    ``sent=True`` if a write may have been done or may still be.
    """

    @abc.abstractmethod
    def transact(
        self,
        writes: Sequence[Write],
        conditions: Sequence[Condition] = (),
        deletes: Sequence[Deletion] = (),
    ) -> int | RowConflict:
        """Write and remove all rows or none; return the revision or the conflict."""

    @abc.abstractmethod
    def measure_unanswered_seconds(self) -> float:
        """Return for how long calls have waited without any answer of the store, in seconds."""

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
    ) -> RowChanges:
        """Return a part's rows with ``start <= key < end`` (all pages) and the revision."""

    @abc.abstractmethod
    def wait_for_changes(self, table: str, after: int, wait_seconds: float) -> RowChanges:
        """Return the changes in all parts after a revision, waiting for one.

        Raises
        ------
        HistoryLostError
        """


class QueueWorkerClient(abc.ABC):
    """Orders to workers. A result of None means that no answer arrived."""

    @abc.abstractmethod
    def start(self, address: str, command: StartCommand, lease_until: float) -> StartOutcome:
        """Order a start; `lease_until` is on the worker's clock, in seconds."""

    @abc.abstractmethod
    def stop(
        self,
        address: str,
        worker: WorkerId,
        task: TaskKey,
        number: RunNumber,
        token: CommandToken,
    ) -> bool | None:
        """Order a stop, which also shuts out a later start of the run; False if fenced."""

    @abc.abstractmethod
    def hold(
        self,
        address: str,
        worker: WorkerId,
        token: CommandToken,
        acknowledged_sequence: int,
        lease_until: float | None,
        wait_seconds: float,
    ) -> WorkerReport | HoldRefusal:
        """Extend all leases, forget ends up to `acknowledged_sequence`, wait for an end, report."""


class HoldRefusal(msgspec.Struct, frozen=True):
    """A worker gave no report.

    Parameters
    ----------
    is_fenced : bool
        A newer owner has been there.
    is_wrong_recipient : bool
        Another worker, or another boot of it, answers at the address.
    """

    is_fenced: bool = False
    is_wrong_recipient: bool = False


class Advisor(abc.ABC):
    """The service that knows which workers may run a step."""

    @abc.abstractmethod
    def request_advice(
        self, step: StepId, workers: Iterable[WorkerId], timeout_seconds: float
    ) -> dict[WorkerId, TicketId] | None:
        """Return the workers that are allowed, with their tickets; None without an answer."""


class WorkerChanges(msgspec.Struct, frozen=True):
    """Changes of the platform's list of workers; None stands for one that has left.

    Parameters
    ----------
    is_complete : bool
        The changes are the whole list; workers that it doesn't name have left.
    """

    workers: dict[WorkerId, WorkerListing | None]
    revision: int
    is_complete: bool


class WorkerList(abc.ABC):
    """The platform's list of live workers."""

    @abc.abstractmethod
    def read(self) -> WorkerChanges:
        """Return the whole list."""

    @abc.abstractmethod
    def wait_for_changes(self, after: int, wait_seconds: float) -> WorkerChanges:
        """Return the changes after a revision.

        Raises
        ------
        HistoryLostError
        """


class QueueConfiguration(abc.ABC):
    """The operator's configuration of the queues."""

    @abc.abstractmethod
    def read(self) -> tuple[QueueRoutes | None, int]:
        """Return the newest queues, if there are any, and the revision of the reading."""

    @abc.abstractmethod
    def wait_for_changes(self, after: int, wait_seconds: float) -> tuple[QueueRoutes | None, int]:
        """Return the queues if they changed after a revision, and the revision to go on from.

        Raises
        ------
        HistoryLostError
        """
