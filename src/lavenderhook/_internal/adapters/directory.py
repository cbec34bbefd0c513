"""Client of the platform's list of entry instances and workers."""

from __future__ import annotations

from collections.abc import Callable

import msgspec

from ...errors import LavenderhookError
from ..core.identifiers import AvailabilityZone, IncarnationId, InstanceName, RackId, WorkerId
from ..core.records import InstanceView, WorkerView
from ..core.resources import Resources
from ..decoding import Amount, Number, decode_json
from ..ports.platform import InstanceDirectory
from .table import require_success
from .transport import HttpClient, split_address

MILLICORES = 1000  # the list gives processors, the core counts thousandths of a processor


class _Capacity(msgspec.Struct):
    processors: Amount = 0.0
    memory_mb: Amount = 0.0
    accelerators: Number = 0


class _Entry(msgspec.Struct):
    id: str
    incarnation: str
    role: str
    state: str
    address: str
    zone: str
    rack: str = ""
    capacity: _Capacity = msgspec.field(default_factory=_Capacity)
    labels: dict[str, str] = {}


class _Identity(msgspec.Struct):
    id: str
    incarnation: str = ""


class _Listing(msgspec.Struct):
    entries: list[msgspec.Raw]


class HttpInstanceDirectory(InstanceDirectory):
    """The platform's list of entry instances and workers over HTTP.

    An entry that can't be decoded, or whose address can't be called, is reported and left out.

    Parameters
    ----------
    client : HttpClient
    address : str
        ``host:port`` of the list.
    report_unreadable : callable
        Takes the position of an entry that is left out, and the error.

    Attributes
    ----------
    zones : dict of str to str
        Availability zone of each address in the last list fetched, for the traffic counters.
    """

    def __init__(
        self,
        client: HttpClient,
        address: str,
        report_unreadable: Callable[[int, LavenderhookError], None],
    ) -> None:
        self._client = client
        self._address = address
        self._report_unreadable = report_unreadable
        self.zones: dict[str, str] = {}
        self.unreadable: tuple[str, ...] = ()

    def list_instances(self) -> tuple[tuple[InstanceView, ...], tuple[WorkerView, ...]]:
        """Return the entry instances and the workers."""
        response = self._client.call(self._address, "GET", "/v1/instances")
        require_success(response)
        zones: dict[str, str] = {}
        instances: list[InstanceView] = []
        workers: list[WorkerView] = []
        unreadable: list[str] = []
        for position, content in enumerate(decode_json(response.body, _Listing).entries):
            try:
                entry = decode_json(content, _Entry)
                split_address(entry.address)
                if entry.role == "entry":
                    instances.append(_build_instance(entry))
                elif entry.role == "worker":
                    workers.append(_build_worker(entry))
            except LavenderhookError as error:
                self._report_unreadable(position, error)
                unreadable += _identify(content)
                continue
            zones[entry.address] = entry.zone
        self.zones = zones
        self.unreadable = tuple(unreadable)
        return tuple(instances), tuple(workers)


def _identify(content: msgspec.Raw) -> list[str]:
    """Return the id and the incarnation of an unreadable entry; an empty id if unknown."""
    try:
        identity = decode_json(content, _Identity)
    except LavenderhookError:
        return [""]
    return [identity.id, identity.incarnation or identity.id]


def _build_instance(entry: _Entry) -> InstanceView:
    return InstanceView(
        name=InstanceName(entry.id),
        incarnation=IncarnationId(entry.incarnation),
        address=entry.address,
        availability_zone=AvailabilityZone(entry.zone),
        leaving=entry.state == "leaving",
    )


def _build_worker(entry: _Entry) -> WorkerView:
    capacity = entry.capacity
    return WorkerView(
        worker_id=WorkerId(entry.id),
        address=entry.address,
        availability_zone=AvailabilityZone(entry.zone),
        rack=RackId(entry.rack),
        capacity=Resources(
            # Rounded down, so that the core never places more than the worker has.
            processors=int(capacity.processors * MILLICORES),
            memory_mb=int(capacity.memory_mb),
            accelerators=capacity.accelerators,
        ),
        labels=entry.labels,
        leaving=entry.state == "leaving",
    )
