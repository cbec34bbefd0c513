"""The configuration of the queues, as this instance follows it in the store."""

from __future__ import annotations

import math
from collections.abc import Callable

import gevent
import gevent.event

from ...errors import LavenderhookError
from ..ports.queueing import HistoryLostError, QueueConfiguration
from ..queueing.routes import QueueRoutes
from .contact import read_elapsed_clock
from .table_watcher import LogEvent, describe_failure

WAIT_SECONDS = 0.8  # a change of the configuration ends the wait at once
POLL_INTERVAL_SECONDS = 0.1  # between polls; limits the load of frequent changes
STORE_RETRY_SECONDS = 0.25  # after a failed call to the store


class ConfigurationFollower:
    """Keeps the newest configuration that this instance has read active.

    Attributes
    ----------
    routes : QueueRoutes or None
        The active configuration; None if none has been read yet.

    Parameters
    ----------
    configuration : QueueConfiguration
    bound_seconds : float
        Time after which a change of the configuration has to be in force everywhere.
    stopped : gevent.event.Event
        Ends the loops.
    log_event : callable
        Logs an event, given by its name and fields.
    """

    def __init__(
        self,
        configuration: QueueConfiguration,
        bound_seconds: float,
        stopped: gevent.event.Event,
        log_event: LogEvent,
    ) -> None:
        self.routes: QueueRoutes | None = None
        self._configuration = configuration
        self._bound_seconds = bound_seconds
        self._stopped = stopped
        self._log_event = log_event
        self._confirmed_at = -math.inf  # by `read_elapsed_clock`
        self._is_overdue = True
        self._peer_versions: dict[str, int] = {}  # by address, those newer than the active one

    def list_loops(self) -> tuple[Callable[[], None], ...]:
        """Return the loops to run until the instance stops."""
        return (self._watch_store, self._watch_age)

    def get_version(self) -> int:
        """Return the version of the active configuration; 0 if there is none."""
        return self.routes.version if self.routes is not None else 0

    def measure_age(self) -> float:
        """Return how long ago the active version was known to be the newest, in seconds."""
        return read_elapsed_clock() - self._confirmed_at

    def describe(self) -> dict[str, object]:
        """Return the log fields that describe the active configuration."""
        age = self.measure_age()
        return {"version": self.get_version(), "age": round(age, 3) if age < math.inf else None}

    def record_peer_version(self, address: str, version: int) -> None:
        """Record the version that a peer has."""
        if version <= self.get_version():
            self._peer_versions.pop(address, None)
        elif self._peer_versions.get(address) != version:
            self._peer_versions[address] = version
            self._log_event("configuration-behind", peer=address, newer=version, **self.describe())

    def _watch_store(self) -> None:
        revision: int | None = None
        while not self._stopped.is_set():
            sent_at = read_elapsed_clock()
            try:
                if revision is None:
                    change = self._configuration.read()
                else:
                    change = self._configuration.wait_for_changes(revision, WAIT_SECONDS)
            except HistoryLostError:
                self._log_event("configuration-history-lost", after=revision, **self.describe())
                revision = None
                continue
            except LavenderhookError as error:
                self._log_event(
                    "configuration-unread", **describe_failure(error), **self.describe()
                )
                gevent.sleep(STORE_RETRY_SECONDS)
                continue
            revision = change.revision
            if change.routes is not None:
                self._apply(change.routes, revision, change.row_revision)
            self._confirmed_at = sent_at
            gevent.sleep(POLL_INTERVAL_SECONDS)

    def _apply(self, routes: QueueRoutes, revision: int, row_revision: int) -> None:
        former = self.get_version()
        if routes.version <= former:
            if routes.version < former:
                self._log_event(
                    "configuration-stale",
                    read=routes.version,
                    revision=revision,
                    row_revision=row_revision,
                    **self.describe(),
                )
            return
        self.routes = routes
        self._log_event(
            "configuration-applied",
            version=routes.version,
            former=former,
            queues=len(routes),
            revision=revision,
            row_revision=row_revision,
        )

    def _watch_age(self) -> None:
        """Log when the active version has not been confirmed within the bound, and when it is."""
        while not self._stopped.is_set():
            gevent.sleep(POLL_INTERVAL_SECONDS)
            is_overdue = self.measure_age() > self._bound_seconds
            if is_overdue != self._is_overdue:
                self._is_overdue = is_overdue
                self._log_event(
                    "configuration-unconfirmed" if is_overdue else "configuration-confirmed",
                    **self.describe(),
                )
