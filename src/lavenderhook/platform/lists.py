"""Queues and live workers, as the operator and the workers write them into the store."""

from __future__ import annotations

import re
import time
from collections.abc import Callable

import msgspec

from .._internal.adapters.transport import split_address
from .._internal.core.identifiers import AvailabilityZone, ServiceName, WorkerId
from .._internal.decoding import Amount, Number, decode_json, reject_malformed
from .._internal.ports.queueing import (
    ConfigurationChange,
    QueueConfiguration,
    RowChanges,
    RowStore,
    StoredRow,
    WorkerChanges,
    WorkerList,
)
from .._internal.ports.transfers import Transfer
from .._internal.queueing.model import (
    AdviceTerms,
    QueueTerms,
    Resources,
    WorkerListing,
    WorkerState,
)
from .._internal.queueing.routes import ANY_HOST, QueueRoute, QueueRoutes, RouteAddress
from ..errors import ProtocolError
from .organisations import decode_organisations

OPERATOR_TABLE = "op"
CONFIGURATION_KEY = "config"
WORKERS_TABLE = "servers"
# Until the first bytes arrive; at 90 times the usual latency, a read takes 0.4 s.
CONFIGURATION_READ_SECONDS = 1.0

_WORKER_ID = re.compile(r"[!-~]{1,200}")  # it is sent in a header of each command

LogEvent = Callable[..., None]


class _Advice(msgspec.Struct, rename="camel"):
    """Costs of an advisory call; `period_ms` is the time for each named worker, not an interval."""

    decision_ms: Amount
    period_ms: Amount
    validity_ms: Amount


class _Route(msgspec.Struct, rename="camel"):
    """A queue; a submission fails after `max_attempts` failed runs of one task."""

    name: str
    host: str
    path_prefix: str
    service: str
    priority: Number = 0
    max_attempts: Number = 1
    slack_factor: Amount = 1.0
    target_latency_ms: Amount = 1000.0
    advice: _Advice | None = None
    public: bool = False


class _RouteAddress(msgspec.Struct, rename="camel"):
    """The part of a route that selects it."""

    host: str
    path_prefix: str


class _Configuration(msgspec.Struct, rename="camel"):
    """The operator's configuration; routes are decoded one by one."""

    version: Number
    routes: list[msgspec.Raw] = []
    tenants: msgspec.Raw | msgspec.UnsetType = msgspec.UNSET


class _Capacity(msgspec.Struct, rename="camel"):
    """Capacity of a worker; `cpu` is in thousandths of a core."""

    cpu: Number
    mem_mb: Number
    gpu: Number = 0


class _Server(msgspec.Struct, rename="camel"):
    """A worker's entry; `labels` contains its kind and its rack.

    While it drains, `drain_remaining_ms` is the shortest time until it leaves.
    """

    service: str
    address: str
    zone: str
    state: str
    capacity: _Capacity
    labels: list[str] = []
    born: Number = 0
    drain_remaining_ms: Amount | None = None


class PlatformConfiguration(QueueConfiguration):
    """The operator's row ``op/config``."""

    def __init__(self, store: RowStore, log_event: LogEvent) -> None:
        self._store = store
        self._log_event = log_event

    def read(self, transfer: Transfer) -> ConfigurationChange:
        """Return the whole configuration."""
        changes = self._store.read(
            OPERATOR_TABLE,
            CONFIGURATION_KEY,
            CONFIGURATION_KEY + "\0",
            timeout_seconds=CONFIGURATION_READ_SECONDS,
            transfer=transfer,
        )
        return self._decode_newest(changes)

    def wait_for_changes(
        self, after: int, wait_seconds: float, transfer: Transfer
    ) -> ConfigurationChange:
        """Return the change after a revision."""
        changes = self._store.wait_for_changes(OPERATOR_TABLE, after, wait_seconds, transfer)
        if not changes.rows:
            return ConfigurationChange(changes.revision, has_waited=True)
        return self._decode_newest(changes)

    def _decode_newest(self, changes: RowChanges) -> ConfigurationChange:
        # After a pause, the change feed may return several versions.
        rows = [r for r in changes.rows if r.key == CONFIGURATION_KEY and not r.is_deleted]
        if not rows:
            return ConfigurationChange(changes.revision)
        return self._decode_row(max(rows, key=lambda row: row.revision), changes.revision)

    def decode(self, content: bytes) -> QueueRoutes:
        """Return the queues of a configuration that a peer has read."""
        return decode_configuration(content, self._log_event)

    def _decode_row(self, row: StoredRow, revision: int) -> ConfigurationChange:
        started_at = time.monotonic()
        try:
            routes = self.decode(row.value)
        except ProtocolError as error:
            self._log_event("configuration-unreadable", revision=row.revision, message=str(error))
            return ConfigurationChange(revision, row_revision=row.revision, is_unreadable=True)
        return ConfigurationChange(
            revision,
            routes,
            row.value,
            row.revision,
            decode_seconds=time.monotonic() - started_at,
        )


class PlatformWorkers(WorkerList):
    """The workers' rows ``servers/ID``."""

    def __init__(self, store: RowStore, log_event: LogEvent) -> None:
        self._store = store
        self._log_event = log_event

    def read(self) -> WorkerChanges:
        """Return the whole list."""
        changes = self._store.read(WORKERS_TABLE)
        return WorkerChanges(self._convert(changes.rows), changes.revision, True)

    def wait_for_changes(self, after: int, wait_seconds: float) -> WorkerChanges:
        """Return the changes after a revision."""
        changes = self._store.wait_for_changes(WORKERS_TABLE, after, wait_seconds)
        return WorkerChanges(self._convert(changes.rows), changes.revision, False)

    def _convert(self, rows: tuple[StoredRow, ...]) -> dict[WorkerId, WorkerListing | None]:
        workers: dict[WorkerId, WorkerListing | None] = {}
        for row in rows:
            worker_id = WorkerId(row.key)
            workers[worker_id] = None
            if row.is_deleted:
                continue
            try:
                workers[worker_id] = decode_worker(worker_id, row.value)
            except ProtocolError as error:
                # An entry that another program wrote doesn't name a worker that can be used.
                self._log_event("worker-unreadable", worker=row.key, message=str(error))
        return workers


def decode_configuration(value: bytes, log_event: LogEvent) -> QueueRoutes:
    """Decode the queues of a configuration.

    A route that can't be decoded is logged and keeps its address, if that can be decoded. Problems
    of the organisations are logged by the follower that applies the configuration.

    Raises
    ------
    ProtocolError
        If there is no version or no list of routes.
    """
    configuration = decode_json(value, _Configuration)
    routes: list[RouteAddress] = []
    for content in configuration.routes:
        try:
            routes.append(_decode_route(content))
        except ProtocolError as error:
            log_event("route-unreadable", version=configuration.version, message=str(error))
            routes.append(_decode_address(content))
    tenants = configuration.tenants
    declared = None if tenants is msgspec.UNSET else decode_organisations(tenants)
    return QueueRoutes(configuration.version, routes, declared=declared)


def _decode_route(content: msgspec.Raw) -> QueueRoute:
    route = decode_json(content, _Route)
    return QueueRoute(
        host=route.host,
        path_prefix=route.path_prefix,
        terms=QueueTerms(
            name=route.name,
            service=ServiceName(route.service),
            priority=route.priority,
            most_attempts=route.max_attempts,
            slack_factor=route.slack_factor,
            latency_seconds=route.target_latency_ms / 1000,
            advice=_convert_advice(route.advice),
        ),
        is_public=route.public,
    )


def _decode_address(content: msgspec.Raw) -> RouteAddress:
    """Return the address of a route that can't be decoded; it matches all requests if unknown."""
    try:
        address = decode_json(content, _RouteAddress)
    except ProtocolError:
        return RouteAddress(host=ANY_HOST, path_prefix="")
    return RouteAddress(host=address.host, path_prefix=address.path_prefix)


def _convert_advice(advice: _Advice | None) -> AdviceTerms | None:
    if advice is None:
        return None
    return AdviceTerms(
        advice.decision_ms / 1000, advice.period_ms / 1000, advice.validity_ms / 1000
    )


def _convert_remaining(server: _Server) -> float | None:
    if server.drain_remaining_ms is None or server.state != WorkerState.DRAINING.value:
        return None
    return server.drain_remaining_ms / 1000


def decode_worker(worker_id: WorkerId, value: bytes) -> WorkerListing:
    """Decode a worker's entry.

    Raises
    ------
    ProtocolError
        If fields are missing, of another type or of an unknown state, or the worker can't be called
        by its address and id.
    """
    server = decode_json(value, _Server)
    with reject_malformed("worker"):
        split_address(server.address)
        if not _WORKER_ID.fullmatch(worker_id):
            raise ValueError(f"the id {worker_id!r} can't be sent in a header")
        return WorkerListing(
            id=worker_id,
            service=ServiceName(server.service),
            address=server.address,
            zone=AvailabilityZone(server.zone),
            state=WorkerState(server.state),
            capacity=Resources(server.capacity.cpu, server.capacity.mem_mb, server.capacity.gpu),
            labels=frozenset(server.labels),
            born=server.born,
            leaves_in_seconds=_convert_remaining(server),
        )
