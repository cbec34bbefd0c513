"""Ports to the platform: table service, object store, instance list and workers.

All calls block the calling greenlet and raise typed failures. A `TransportError` with
``sent=True`` leaves open whether a write took effect.
"""

from __future__ import annotations

import abc
from collections.abc import Iterable, Mapping, Sequence

import msgspec

from ..core.effects import TaskStart
from ..core.identifiers import AttemptId
from ..core.records import AttemptReport, InstanceView, WorkerView


class Row(msgspec.Struct, frozen=True):
    """A row of the table; version 0 means that it does not exist."""

    key: str
    version: int
    value: bytes = b""


class TransactionConflict(msgspec.Struct, frozen=True):
    """The checks that failed: the current version of each row by its key."""

    versions: Mapping[str, int]


class TableStore(abc.ABC):
    """The platform's transactional table service."""

    @abc.abstractmethod
    def commit(
        self,
        transaction_id: str,
        checks: Mapping[str, int],
        puts: Mapping[str, bytes],
        deletes: Iterable[str] = (),
    ) -> int | TransactionConflict:
        """Apply all writes if every checked row has the given version.

        Returns
        -------
        int or TransactionConflict
            The new version of the rows that were put, or the checks that failed.

        Raises
        ------
        StoreUnavailableError
            If the write certainly did not take effect.
        TransportError
            If the response was lost.
        """

    @abc.abstractmethod
    def read(self, key: str) -> Row:
        """Return a row that reflects every commit answered before."""

    @abc.abstractmethod
    def scan(self, prefix: str, after: str = "", limit: int = 500) -> Sequence[Row]:
        """Return rows in key order whose keys start with `prefix` and are above `after`."""


class ObjectStore(abc.ABC):
    """The platform's object store."""

    @abc.abstractmethod
    def put(self, key: str, value: bytes) -> None:
        """Store an object, replacing an existing one."""

    @abc.abstractmethod
    def get(self, key: str) -> bytes | None:
        """Return an object, or None if it does not exist."""

    @abc.abstractmethod
    def delete(self, key: str) -> None:
        """Delete an object if it exists."""


class InstanceDirectory(abc.ABC):
    """The platform's list of instances and workers, which lags behind the actual state.

    Attributes
    ----------
    unreadable : tuple of str
        Ids and incarnations of entries of the last list that could not be read; empty strings stand
        for those that are unknown.
    """

    unreadable: tuple[str, ...] = ()

    @abc.abstractmethod
    def list_instances(self) -> tuple[tuple[InstanceView, ...], tuple[WorkerView, ...]]:
        """Return the entry instances and the workers."""


class WorkerClient(abc.ABC):
    """Calls to workers."""

    @abc.abstractmethod
    def start(self, address: str, starts: Sequence[TaskStart]) -> list[AttemptReport]:
        """Start attempts; idempotent by attempt id."""

    @abc.abstractmethod
    def renew(
        self, address: str, attempts: Sequence[AttemptId], lease_until: float
    ) -> tuple[list[AttemptId], list[AttemptId]]:
        """Extend leases and return the attempts that were renewed and those that are unknown."""

    @abc.abstractmethod
    def stop(
        self, address: str, attempts: Sequence[AttemptId], *, checkpoint: bool
    ) -> list[AttemptReport]:
        """Stop attempts; the worker refuses a later start of each."""

    @abc.abstractmethod
    def throttle(
        self, address: str, attempts: Sequence[AttemptId], processors: Sequence[int]
    ) -> None:
        """Limit each attempt to its entry of `processors`, in thousandths of a processor."""

    @abc.abstractmethod
    def forget(self, address: str, attempts: Sequence[AttemptId]) -> None:
        """Acknowledge ended attempts."""

    @abc.abstractmethod
    def list_attempts(self, address: str) -> list[AttemptReport]:
        """Return every attempt that the worker knows."""
