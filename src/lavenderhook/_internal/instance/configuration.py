"""The configuration of the queues, followed in the store and, while it is unreachable, at peers."""

from __future__ import annotations

import contextlib
import math
import random
import time
from collections.abc import Callable, Iterator

import gevent
import gevent.event

from ...errors import LavenderhookError, ProtocolError
from ..ports.queueing import (
    MAX_READ_STALENESS_SECONDS,
    ConfigurationChange,
    HistoryLostError,
    QueueConfiguration,
)
from ..queueing.routes import QueueRoutes
from .clock import read_elapsed_clock
from .content_encoding import ContentEncoding, encode_content
from .peers import (
    ConfigurationContent,
    ConfigurationRequest,
    ConfigurationStatus,
    PeerClient,
)
from .table_watcher import LogEvent, Rereading, describe_failure
from .transfers import TrackedTransfer, TransferTracker

WAIT_SECONDS = 0.8  # a change of the configuration ends the wait at once
POLL_INTERVAL_SECONDS = 0.1  # between polls; limits the load of frequent changes
STORE_RETRY_SECONDS = 0.25  # after a failed call to the store
# Longer than a wait for changes, the pause after it and a response that is late under load.
ASK_PEERS_AFTER_SECONDS = 1.2
PEER_INTERVAL_SECONDS = 0.3
MAX_PEER_INTERVAL_SECONDS = 1.2  # while no peer knows more than this instance
MAX_PEERS_ASKED = 3
MAX_FETCH_SECONDS = 5.0  # of a version from one peer, before others are asked
MAX_LOGGED_PROBLEMS = 20  # of one version


class ConfigurationFollower:
    """Keeps the newest configuration that this instance or a peer has read active.

    Handles an instance that the store turns away while it serves others and the operator: it asks
    its peers for their versions, and for the content of a newer one. A version is never replaced
    by an older one, and it counts as the newest only as of the time at which the store last said
    so, to this instance or to the peer that passes it on.

    Attributes
    ----------
    routes : QueueRoutes or None
        The active configuration; None if none has been read yet.

    Parameters
    ----------
    configuration : QueueConfiguration
    bound_seconds : float
        Time after which a change of the configuration has to be in force everywhere.
    peer_client : PeerClient
    list_peers : callable
        Returns the addresses of the peers, in the order in which they are asked.
    stopped : gevent.event.Event
        Ends the loops.
    log_event : callable
        Logs an event, given by its name and fields.
    """

    def __init__(
        self,
        configuration: QueueConfiguration,
        bound_seconds: float,
        *,
        peer_client: PeerClient,
        list_peers: Callable[[], list[str]],
        stopped: gevent.event.Event,
        log_event: LogEvent,
    ) -> None:
        self.routes: QueueRoutes | None = None
        self._configuration = configuration
        self._bound_seconds = bound_seconds
        self._peer_client = peer_client
        self._list_peers = list_peers
        self._stopped = stopped
        self._log_event = log_event
        self._content = b""  # of the active configuration
        self._compressed: bytes | None = None  # the same, from the first request for it on
        # By `read_elapsed_clock`: when the active version was last known to be the newest, and
        # when the store itself last said so.
        self._confirmed_at = -math.inf
        self._store_confirmed_at = -math.inf
        self._is_overdue = True
        self._row_revision = 0  # of the newest row that was read
        self._is_newest_unreadable = False
        self._history_lost_at: float | None = None  # until reads can't be stale any longer
        # The first read may be stale as well, if the store lost its history before this process
        # began: a peer is asked, and the configuration is read once more.
        self._has_asked_peer = False
        self._rereading = Rereading()
        self._transfers = TransferTracker()
        self._watch: TrackedTransfer | None = None  # the call that waits for a change
        self._beside_watch: gevent.Greenlet | None = None  # the last read beside it
        self._newer_peers: dict[str, int] = {}  # versions by address
        self._unreadable: dict[str, int] = {}  # versions by address

    def list_loops(self) -> tuple[Callable[[], None], ...]:
        """Return the loops to run until the instance stops."""
        return (self._watch_store, self._watch_peers, self._watch_age)

    def get_version(self) -> int:
        """Return the version of the active configuration; 0 if there is none."""
        return self.routes.version if self.routes is not None else 0

    def measure_age(self) -> float:
        """Return how long ago the active version was known to be the newest, in seconds."""
        return read_elapsed_clock() - self._confirmed_at

    def can_deny_unknown(self) -> bool:
        """Return whether a queue or key that the active version does not have does not exist.

        An instance that has not heard for longer than a change takes to be in force may have missed
        the change that added it. Queues and keys that it knows are still served: while no instance
        reaches the store, nobody can have removed them, and while one does, a peer tells.
        """
        return (
            self.routes is not None
            and not self._is_newest_unreadable
            and self.measure_age() <= self._bound_seconds
        )

    def describe(self) -> dict[str, object]:
        """Return the log fields that describe the active configuration."""
        age = self.measure_age()
        return {"version": self.get_version(), "age": round(age, 3) if age < math.inf else None}

    def record_peer_version(self, address: str, version: int) -> None:
        """Record the version that a peer has."""
        if version <= max(self.get_version(), self._unreadable.get(address, 0)):
            self._newer_peers.pop(address, None)
        elif self._newer_peers.get(address) != version:
            self._newer_peers[address] = version
            self._log_event("configuration-behind", peer=address, newer=version, **self.describe())

    def _watch_store(self) -> None:
        revision: int | None = None
        self._rereading.schedule()
        while not self._stopped.is_set():
            try:
                revision = self._read() if revision is None else self._wait_for_changes(revision)
                if self._history_lost_at is not None or self._rereading.is_due():
                    # What was read before may be stale, and its revision too new for its rows.
                    self._read()
                    self._rereading.complete()
            except HistoryLostError:
                self._log_event("configuration-history-lost", after=revision, **self.describe())
                revision = self._beside_watch = None
                self._history_lost_at = read_elapsed_clock()
                continue
            except LavenderhookError:
                gevent.sleep(STORE_RETRY_SECONDS)
                revision = self._join_read_beside_watch(revision)
                continue
            gevent.sleep(POLL_INTERVAL_SECONDS)

    def _read(self) -> int:
        sent_at = read_elapsed_clock()
        with self._transfers.begin() as tracked, self._log_unread(tracked):
            change = self._configuration.read(tracked.transfer)
        self._apply_change(change, sent_at, tracked)
        return change.revision

    def _wait_for_changes(self, revision: int) -> int:
        sent_at = read_elapsed_clock()
        with self._transfers.begin() as tracked, self._log_unread(tracked):
            self._watch = tracked
            try:
                change = self._configuration.wait_for_changes(
                    revision, WAIT_SECONDS, tracked.transfer
                )
            finally:
                self._watch = None
        current_at = sent_at
        if change.has_waited and read_elapsed_clock() >= sent_at + WAIT_SECONDS:
            current_at += WAIT_SECONDS
        self._apply_change(change, current_at, tracked)
        return change.revision

    def _read_beside_watch(self) -> int | None:
        """Read the configuration while the watch is silent.

        Handles a response that is lost on a connection that has gone silent. While a watch receives
        a version, a second copy of it would only slow it down.

        Returns
        -------
        int or None
            Revision from which the next watch can continue; None if the read has failed.
        """
        try:
            return self._read()
        except LavenderhookError:  # which has been logged
            return None

    def _join_read_beside_watch(self, revision: int | None) -> int | None:
        """Wait for a read that replaces a silent watch; return where the next watch continues.

        A watch that began while the read is receiving would receive the same version again.
        """
        beside_watch, self._beside_watch = self._beside_watch, None
        if beside_watch is None or revision is None:
            return revision
        beside_watch.join()
        return max(beside_watch.value or 0, revision)

    @contextlib.contextmanager
    def _log_unread(self, tracked: TrackedTransfer) -> Iterator[None]:
        """Log the failure of a read, other than that of a lost history."""
        try:
            yield
        except HistoryLostError:
            raise
        except LavenderhookError as error:
            self._log_event(
                "configuration-unread",
                **describe_failure(error),
                **tracked.describe(),
                **self.describe(),
            )
            raise

    def _apply_change(
        self, change: ConfigurationChange, current_at: float, tracked: TrackedTransfer
    ) -> None:
        """Apply what was read, which was current at a moment or later."""
        if change.row_revision > self._row_revision:
            self._row_revision = change.row_revision
            self._is_newest_unreadable = change.is_unreadable
        if change.routes is not None:
            self._apply(
                change.routes,
                change.content,
                revision=change.revision,
                row_revision=change.row_revision,
                decode_seconds=round(change.decode_seconds, 4),
                **tracked.describe(),
            )
        is_stale = change.routes is not None and change.routes.version < self.get_version()
        if is_stale or self._is_newest_unreadable:
            return
        if self._history_lost_at is not None:
            if current_at < self._history_lost_at + MAX_READ_STALENESS_SECONDS:
                current_at -= MAX_READ_STALENESS_SECONDS
            elif change.routes is not None:
                self._history_lost_at = None
        self._store_confirmed_at = max(self._store_confirmed_at, current_at)
        self._confirmed_at = max(self._confirmed_at, current_at)

    def _apply(self, routes: QueueRoutes, content: bytes, **source: object) -> None:
        former = self.get_version()
        if routes.version <= former:
            if routes.version < former:
                self._log_event(
                    "configuration-stale", read=routes.version, **source, **self.describe()
                )
            return
        if self.routes is not None:
            routes.inherit(self.routes)
        self.routes = routes
        self._content = content
        self._compressed = None
        self._newer_peers = {a: v for a, v in self._newer_peers.items() if v > routes.version}
        self._log_event(
            "configuration-applied",
            version=routes.version,
            former=former,
            queues=len(routes),
            **source,
        )
        for problem in routes.problems[:MAX_LOGGED_PROBLEMS]:
            self._log_event(
                "organisation-unreadable",
                version=routes.version,
                path=problem.path,
                message=problem.message,
                problems=len(routes.problems),
            )

    # Peers.

    def get_status(self) -> ConfigurationStatus:
        """Return what a peer is told about the active configuration."""
        return ConfigurationStatus(self.get_version(), self.measure_age())

    def get_content(self, request: ConfigurationRequest) -> ConfigurationContent:
        """Return the content of the active configuration for a peer; empty if there is none."""
        if ContentEncoding.ZLIB.value not in request.encodings:
            return ConfigurationContent(self._content)
        if self._compressed is None:
            self._compressed = encode_content(self._content, ContentEncoding.ZLIB)
        return ConfigurationContent(self._compressed, ContentEncoding.ZLIB)

    def _watch_peers(self) -> None:
        """Ask peers for their versions while the store does not confirm the active one."""
        interval = PEER_INTERVAL_SECONDS
        while not self._stopped.is_set():
            gevent.sleep(interval)
            age = read_elapsed_clock() - self._store_confirmed_at
            is_unconfirmed = age >= ASK_PEERS_AFTER_SECONDS
            if not (is_unconfirmed or self._newer_peers or self._is_first_question_due()):
                interval = PEER_INTERVAL_SECONDS
                continue
            if self._is_watch_silent() and (self._beside_watch is None or self._beside_watch.dead):
                self._beside_watch = gevent.spawn(self._read_beside_watch)
            self._ask_peers()
            # While the store is unavailable to all instances, no peer knows more.
            is_outage = self.measure_age() > self._bound_seconds and not self._newer_peers
            interval = (
                min(2 * interval, MAX_PEER_INTERVAL_SECONDS) if is_outage else PEER_INTERVAL_SECONDS
            )

    def _is_watch_silent(self) -> bool:
        """Return whether nothing has arrived for longer than a watch that works would take."""
        watch = self._watch
        return watch is not None and watch.transfer.measure_silence() >= ASK_PEERS_AFTER_SECONDS

    def _is_first_question_due(self) -> bool:
        """Return whether no peer has answered since the start, and reads may still be stale."""
        return not self._has_asked_peer and self._rereading.is_pending()

    def _ask_peers(self) -> None:
        addresses = list(dict.fromkeys([*self._newer_peers, *self._list_peers()]))
        calls = [gevent.spawn(self._ask_peer, address) for address in addresses[:MAX_PEERS_ASKED]]
        gevent.joinall(calls)
        if not self._newer_peers:
            return
        version = max(self._newer_peers.values())
        # Any of them, so that not all instances ask the same one.
        address = random.choice([a for a, v in self._newer_peers.items() if v == version])
        del self._newer_peers[address]  # the next round finds it again if this fails
        with self._transfers.begin(MAX_FETCH_SECONDS) as tracked:
            self._fetch_and_apply(address, version, tracked)

    def _fetch_and_apply(self, address: str, version: int, tracked: TrackedTransfer) -> None:
        started_at = time.monotonic()
        try:
            content = self._peer_client.request_configuration(address, tracked.transfer)
            decoding_at = time.monotonic()
            routes = self._decode_fetched(content, version)
        except LavenderhookError as error:
            if isinstance(error, ProtocolError):
                self._unreadable[address] = version  # leaves the next round to other peers
            self._log_event(
                "configuration-not-fetched",
                peer=address,
                newer=version,
                seconds=round(time.monotonic() - started_at, 3),
                **describe_failure(error),
                **tracked.describe(),
                **self.describe(),
            )
            return
        self._apply(
            routes,
            content,
            peer=address,
            decode_seconds=round(time.monotonic() - decoding_at, 4),
            **tracked.describe(),
        )

    def _decode_fetched(self, content: bytes, version: int) -> QueueRoutes:
        routes = self._configuration.decode(content)
        if routes.version < version:
            raise ProtocolError(f"the peer has version {version} and sent {routes.version}")
        return routes

    def _ask_peer(self, address: str) -> None:
        sent_at = read_elapsed_clock()
        try:
            status = self._peer_client.request_configuration_status(address)
        except LavenderhookError as error:
            self._newer_peers.pop(address, None)
            self._log_event("configuration-unanswered", peer=address, **describe_failure(error))
            return
        self._has_asked_peer = True
        self.record_peer_version(address, status.version)
        if status.version == self.get_version():
            self._confirmed_at = max(self._confirmed_at, sent_at - status.age_seconds)

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
