"""State of services and requests in the request plane, and the limits on their upstreams."""

from __future__ import annotations

import dataclasses
import enum
from typing import TYPE_CHECKING

from .declarations import DEFAULT_POLICIES, Policy
from .effects import UnknownReason
from .events import RequestHead, Ticket
from .identifiers import (
    ConfigurationVersion,
    IncarnationId,
    PriorityClass,
    ShardId,
    UpstreamId,
    WorkerId,
    WorkloadKind,
)
from .labels import Labels
from .request_queues import LabelKey, ServiceQueue
from .slots import SlotPool, Upstream

if TYPE_CHECKING:
    from .state import InstanceState


# Weight of a new response time in the mean of a service.
MEAN_WEIGHT = 0.05
# The estimate of the 95th percentile of a class's response times rises by 0.95 of a step when a
# response took longer and falls by 0.05 of it otherwise, relative to its own value.
P95_STEP = 0.05
P95_QUANTILE = 0.95
# A queued request may wait for this share of its time to the deadline even if the 95th percentile
# exceeds the rest, so that a short deadline is not refused because other requests take longer.
WAIT_SHARE = 0.5


class Phase(enum.Enum):
    """Stage of a request between its arrival and its answer."""

    CLAIMING = "claiming"
    WAITING = "waiting"
    BACKING_OFF = "backing-off"
    DISPATCHED = "dispatched"
    FORWARDED = "forwarded"


@dataclasses.dataclass(slots=True, eq=False)
class Request:
    """A request that has arrived and is not answered yet.

    Parameters
    ----------
    tries : int
        Dispatches and forwards so far.
    was_forwarded : bool
        Whether this instance forwarded it to a peer; it is then not forwarded again.
    may_have_run : UnknownReason or None
        Set once an upstream may have run it; it is then no longer answered as not run.
    """

    head: RequestHead
    sequence: int
    label_key: LabelKey
    arrived_at: float
    phase: Phase = Phase.WAITING
    tries: int = 0
    was_forwarded: bool = False
    may_have_run: UnknownReason | None = None
    is_abandoned: bool = False
    upstream: Upstream | None = None
    peer: IncarnationId | None = None
    started_at: float = 0.0
    tried: tuple[UpstreamId, ...] = ()

    @property
    def deadline(self) -> float:
        """Absolute time in seconds."""
        return self.head.deadline

    @property
    def priority(self) -> PriorityClass:
        """Class of the queue in which it waits."""
        return self.head.priority

    @property
    def labels(self) -> Labels:
        """Labels that the upstream must carry."""
        return self.head.labels


@dataclasses.dataclass(slots=True)
class Service:
    """State of a service on this instance.

    Parameters
    ----------
    free_slots_by_peer : dict of IncarnationId to int
        Slots assumed free at peers: those of the last digest or answer, less the requests
        forwarded since.
    mean_seconds : float
        Mean response time; 0 before the first response.
    p95_seconds : dict of PriorityClass to float
        Estimated 95th percentile of the response times, by class.
    forwarded_in, forwarded_out : int
        Open requests that peers forwarded to this instance, and that it forwarded to peers.
    """

    name: str
    queue: ServiceQueue[Request]
    slots: SlotPool = dataclasses.field(default_factory=SlotPool)
    free_slots_by_peer: dict[IncarnationId, int] = dataclasses.field(default_factory=dict)
    policy: Policy = DEFAULT_POLICIES[WorkloadKind.SERVICE]
    policy_version: ConfigurationVersion = ConfigurationVersion(-1)
    mean_seconds: float = 0.0
    p95_seconds: dict[PriorityClass, float] = dataclasses.field(default_factory=dict)
    forwarded_in: int = 0
    forwarded_out: int = 0
    demand: float = 0.0


@dataclasses.dataclass(slots=True)
class TimedOutSlot:
    """The slot of a timed-out request, still in use; times are in seconds."""

    upstream: Upstream
    priority: PriorityClass
    started_at: float
    since: float


@dataclasses.dataclass(slots=True)
class ShardGrants:
    """The last grant update of a shard."""

    version: tuple[int, int]
    owner: IncarnationId
    upstreams: set[UpstreamId] = dataclasses.field(default_factory=set)


@dataclasses.dataclass(slots=True)
class RoutingState:
    """The request plane of one instance.

    Parameters
    ----------
    timed_out_slots : dict of (UpstreamId, Ticket) to TimedOutSlot
        Slots of timed-out requests that are still in use, oldest first.
    leaving : dict of UpstreamId to float
        Upstreams known to be leaving, with the time at which this was first known, oldest first.
    leaving_workers : set of WorkerId
        Workers of held upstreams that are leaving, gone or drained, as of the last check.
    listed_workers : set of WorkerId
        Workers of held upstreams that the platform has listed at least once.
    """

    services: dict[str, Service] = dataclasses.field(default_factory=dict)
    upstreams: dict[UpstreamId, Upstream] = dataclasses.field(default_factory=dict)
    requests: dict[Ticket, Request] = dataclasses.field(default_factory=dict)
    shards: dict[ShardId, ShardGrants] = dataclasses.field(default_factory=dict)
    timed_out_slots: dict[tuple[UpstreamId, Ticket], TimedOutSlot] = dataclasses.field(
        default_factory=dict
    )
    backing_off: list[tuple[float, int, Request]] = dataclasses.field(default_factory=list)
    claiming: list[tuple[float, int, Request]] = dataclasses.field(default_factory=list)
    leaving: dict[UpstreamId, float] = dataclasses.field(default_factory=dict)
    leaving_workers: set[WorkerId] = dataclasses.field(default_factory=set)
    listed_workers: set[WorkerId] = dataclasses.field(default_factory=set)
    sequence: int = 0


def find_service(state: InstanceState, name: str) -> Service | None:
    """Return a service with its current policy, or None if no such workload is declared."""
    service = state.routing.services.get(name)
    version = state.configuration.version
    if service is not None and service.policy_version == version:
        return service
    workload = state.configuration.get_workload(name)
    if workload is None or workload.type is not WorkloadKind.SERVICE:
        return None
    if service is None:
        service = create_service(state, name)
    labels = {"name": name, **workload.labels}
    service.policy = state.configuration.find_policy(WorkloadKind.SERVICE, labels)
    service.policy_version = version
    return service


def create_service(state: InstanceState, name: str) -> Service:
    """Add a service without upstreams."""
    queue: ServiceQueue[Request] = ServiceQueue(state.parameters.lower_class_share)
    service = state.routing.services[name] = Service(name=name, queue=queue)
    return service


def apply_limit(state: InstanceState, upstream: Upstream) -> None:
    """Recompute how many slots of an upstream new work may use."""
    service = state.routing.services[upstream.view.service]
    service.slots.set_limit(upstream, _compute_limit(state, upstream))


def is_worker_leaving(state: InstanceState, worker_id: WorkerId) -> bool:
    """Return whether a worker is leaving, drained or no longer listed."""
    view = state.membership.workers.get(worker_id)
    if view is None:
        return worker_id in state.routing.listed_workers
    return view.leaving or state.configuration.is_draining(view)


def _compute_limit(state: InstanceState, upstream: Upstream) -> int:
    view = upstream.view
    routing = state.routing
    if has_closed_listeners(state) or view.leaving or view.upstream_id in routing.leaving:
        return 0
    if is_worker_leaving(state, view.worker_id):
        return 0
    limit = upstream.granted
    if upstream.requested_limit is not None:
        limit = min(limit, upstream.requested_limit)
    return state.ejection.cap_limit(view.upstream_id, limit, state.now)


def remove_upstream(state: InstanceState, service: Service, upstream: Upstream) -> None:
    """Remove an upstream without a grant and without outstanding requests."""
    upstream_id = upstream.view.upstream_id
    service.slots.remove(upstream)
    state.ejection.forget(upstream_id)
    if state.routing.upstreams.get(upstream_id) is upstream:
        del state.routing.upstreams[upstream_id]


def has_closed_listeners(state: InstanceState) -> bool:
    """Return whether the grace period of a shutdown is over, so that no new work starts."""
    return state.shutdown.listeners_closed


def get_latest_start(service: Service, request: Request) -> float:
    """Return the time after which a queued request is not expected to meet its deadline.

    Requests that start later mostly waste a slot: if all started just before their deadlines, the
    slots would be busy and hardly any caller would get a response.
    """
    p95 = service.p95_seconds.get(request.priority, 0.0)
    max_reserve = WAIT_SHARE * (request.deadline - request.arrived_at)
    return request.deadline - min(p95, max_reserve)


def estimate_wait(service: Service, request: Request) -> float:
    """Return the expected time in seconds until the request starts, 0 if it is not known."""
    slots = service.slots
    if slots.free_slots or not slots.capacity:
        return 0.0
    ahead = service.queue.count_ahead(request.priority, request.deadline)
    return (ahead + 1) * service.mean_seconds / slots.capacity


def record_response_seconds(service: Service, priority: PriorityClass, seconds: float) -> None:
    """Record how long an upstream was busy with one request."""
    if service.mean_seconds == 0.0:
        service.mean_seconds = seconds
    service.mean_seconds += MEAN_WEIGHT * (seconds - service.mean_seconds)
    p95 = service.p95_seconds.get(priority, seconds)
    if seconds > p95:
        p95 *= 1.0 + P95_STEP * P95_QUANTILE
    else:
        p95 *= 1.0 - P95_STEP * (1.0 - P95_QUANTILE)
    service.p95_seconds[priority] = p95
