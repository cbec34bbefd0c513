"""Client of the platform's list of entry instances and workers."""

from __future__ import annotations

import msgspec

from ..core.identifiers import AvailabilityZone, IncarnationId, InstanceName, RackId, WorkerId
from ..core.records import InstanceView, WorkerView
from ..core.resources import Resources
from ..decoding import decode_json
from ..ports.platform import InstanceDirectory
from .table import require_success
from .transport import HttpClient

MILLICORES = 1000  # the list gives processors, the core counts thousandths of a processor


class _Capacity(msgspec.Struct):
    processors: float = 0.0
    memory_mb: float = 0.0
    accelerators: int = 0


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


class _Listing(msgspec.Struct):
    entries: list[_Entry]


class HttpInstanceDirectory(InstanceDirectory):
    """The platform's list of entry instances and workers over HTTP.

    Attributes
    ----------
    zones : dict of str to str
        Availability zone of each address in the last list fetched, for the traffic counters.
    """

    def __init__(self, client: HttpClient, address: str) -> None:
        self._client = client
        self._address = address
        self.zones: dict[str, str] = {}

    def list_instances(self) -> tuple[tuple[InstanceView, ...], tuple[WorkerView, ...]]:
        """Return the entry instances and the workers."""
        response = self._client.call(self._address, "GET", "/v1/instances")
        require_success(response)
        entries = decode_json(response.body, _Listing).entries
        self.zones = {entry.address: entry.zone for entry in entries}
        instances = tuple(_build_instance(e) for e in entries if e.role == "entry")
        workers = tuple(_build_worker(e) for e in entries if e.role == "worker")
        return instances, workers


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
