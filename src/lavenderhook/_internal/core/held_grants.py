"""Handlers of a holder of slots: grants, reports to shard owners, and leaving upstreams.

These handlers run before those of `routing`, which then starts queued requests on the new slots.
"""

from __future__ import annotations

from collections.abc import Iterable
from typing import TYPE_CHECKING

from .effects import Effect, LogDecision, SendGrantReport
from .events import (
    ConfigurationCommitted,
    ConfigurationReceived,
    GrantUpdateReceived,
    HeartbeatReceived,
    PlatformListed,
    TimerFired,
)
from .identifiers import IncarnationId, ShardId, UpstreamId, WorkerId
from .membership import get_peer_address
from .messages import GrantReport, GrantUpdate
from .records import UpstreamView
from .routing_state import (
    ShardGrants,
    apply_limit,
    create_service,
    has_closed_listeners,
    is_worker_leaving,
    remove_upstream,
)
from .slots import Upstream

if TYPE_CHECKING:
    from .state import InstanceState


GRANT_REPORT_TIMER = "grant-report"
TIMERS = {GRANT_REPORT_TIMER: "grant_report_interval"}
# Weight of the current requests in the reported demand; smooths out single bursts.
DEMAND_WEIGHT = 0.5
# Digests name a leaving upstream for this long. Receivers name it for as long after they learned of
# it, and keep it in `leaving` for longer, so that it does not circulate indefinitely.
LEAVING_GOSSIP_SECONDS = 10.0
LEAVING_RETENTION_SECONDS = 600.0


# Leaving upstreams


def mark_leaving(state: InstanceState, upstream_ids: Iterable[UpstreamId]) -> list[Effect]:
    """Give upstreams no more new work and name them in the digests to peers."""
    effects: list[Effect] = []
    routing = state.routing
    for upstream_id in upstream_ids:
        if upstream_id in routing.leaving:
            continue
        routing.leaving[upstream_id] = state.now
        upstream = routing.upstreams.get(upstream_id)
        if upstream is not None:
            apply_limit(state, upstream)
        fields: dict[str, object] = {"upstream": upstream_id}
        effects.append(LogDecision(decision="upstream-leaving", fields=fields))
    return effects


def handle_platform_list(state: InstanceState, event: PlatformListed) -> list[Effect]:
    """Stop using the upstreams on workers that the platform shows leaving or gone."""
    routing = state.routing
    views = state.membership.workers
    # Only workers of held upstreams are checked: the platform may list 20,000 workers.
    used = {upstream.view.worker_id for upstream in routing.upstreams.values()}
    routing.listed_workers = {
        worker_id for worker_id in used if worker_id in views or worker_id in routing.listed_workers
    }
    return _refresh_leaving_workers(state)


def handle_configuration(
    state: InstanceState, event: ConfigurationCommitted | ConfigurationReceived
) -> list[Effect]:
    """Stop using the upstreams on workers that an operator has marked for draining."""
    changes = event.changes if isinstance(event, ConfigurationReceived) else (event.change,)
    return _refresh_leaving_workers(state) if changes else []


def _refresh_leaving_workers(state: InstanceState) -> list[Effect]:
    routing = state.routing
    leaving: set[WorkerId] = set()
    for upstream in list(routing.upstreams.values()):
        worker_id = upstream.view.worker_id
        is_leaving = is_worker_leaving(state, worker_id)
        if is_leaving:
            leaving.add(worker_id)
        if is_leaving != (worker_id in routing.leaving_workers):
            apply_limit(state, upstream)
    changed = sorted(leaving - routing.leaving_workers)
    routing.leaving_workers = leaving
    return [
        LogDecision(decision="worker-leaving", fields={"worker": worker_id})
        for worker_id in changed
    ]


def expire_leaving_upstreams(state: InstanceState) -> None:
    """Drop the oldest leaving upstreams past LEAVING_RETENTION_SECONDS, up to one still held."""
    leaving = state.routing.leaving
    cutoff = state.now - LEAVING_RETENTION_SECONDS
    while leaving:
        upstream_id = next(iter(leaving))
        if leaving[upstream_id] > cutoff or upstream_id in state.routing.upstreams:
            break
        del leaving[upstream_id]


# Grants


def handle_grant_update(state: InstanceState, event: GrantUpdateReceived) -> list[Effect]:
    """Apply the grants of a shard; ignore older updates and those for other holders."""
    update = event.update
    routing = state.routing
    if update.holder != state.incarnation:
        return []
    known = routing.shards.get(update.shard)
    if known is not None and update.version < known.version:
        return []
    if known is not None and update.version == known.version:
        _lower_limits(state, update)
    else:
        _replace_grants(state, update, known)
    if update.requested_limits:
        # The owner waits for this promise before it grants the slots to another instance.
        return _report_shard(state, update.shard)
    return []


def _lower_limits(state: InstanceState, update: GrantUpdate) -> None:
    for upstream_id, limit in update.requested_limits.items():
        upstream = state.routing.upstreams.get(upstream_id)
        if upstream is None or upstream.shard != update.shard:
            continue
        former = upstream.granted if upstream.requested_limit is None else upstream.requested_limit
        upstream.requested_limit = min(former, limit)
        apply_limit(state, upstream)


def _replace_grants(state: InstanceState, update: GrantUpdate, known: ShardGrants | None) -> None:
    views = [view for view in update.upstreams if view.slots > 0]
    ids = {view.upstream_id for view in views}
    for upstream_id in (known.upstreams if known is not None else set()) - ids:
        _drop_grant(state, upstream_id)
    for view in views:
        _set_grant(state, update, view)
    state.routing.shards[update.shard] = ShardGrants(
        version=update.version, owner=update.owner, upstreams=ids
    )


def _drop_grant(state: InstanceState, upstream_id: UpstreamId) -> None:
    upstream = state.routing.upstreams.get(upstream_id)
    if upstream is None:
        return
    service = state.routing.services[upstream.view.service]
    upstream.granted = 0
    service.slots.set_limit(upstream, 0)
    if not upstream.in_use:
        remove_upstream(state, service, upstream)


def _set_grant(state: InstanceState, update: GrantUpdate, view: UpstreamView) -> None:
    routing = state.routing
    upstream = routing.upstreams.get(view.upstream_id)
    if upstream is None:
        is_local = view.availability_zone == state.availability_zone
        upstream = Upstream(view=view, shard=update.shard, granted=view.slots, is_local=is_local)
        routing.upstreams[view.upstream_id] = upstream
        service = routing.services.get(view.service) or create_service(state, view.service)
        service.slots.add(upstream)
    upstream.view = view
    upstream.granted = view.slots
    upstream.requested_limit = update.requested_limits.get(view.upstream_id)
    apply_limit(state, upstream)


def report_limits(state: InstanceState) -> list[Effect]:
    """Report limits and demand to the owner of each known shard."""
    shards = set(state.routing.shards)
    for member in state.membership.members.values():
        shards.update(member.digest.shards)
    effects: list[Effect] = []
    for shard in sorted(shards):
        effects += _report_shard(state, shard)
    return effects


def _report_shard(state: InstanceState, shard: ShardId) -> list[Effect]:
    grants = state.routing.shards.get(shard)
    owner = _find_owner(state, shard, grants)
    address = state.address if owner == state.incarnation else None
    if owner is not None and address is None:
        address = get_peer_address(state, owner)
    if address is None:
        return []
    report = GrantReport(
        shard=shard,
        version=grants.version if grants is not None else (0, 0),
        holder=state.incarnation,
        limits=_collect_promises(state, grants),
        demand={
            service.name: round(service.demand, 2)
            for service in state.routing.services.values()
            if service.demand >= 0.01
        },
    )
    return [SendGrantReport(address=address, report=report)]


def _find_owner(
    state: InstanceState, shard: ShardId, grants: ShardGrants | None
) -> IncarnationId | None:
    """Return the owner with the highest epoch named by a heartbeat or a grant update."""
    epoch, owner = (grants.version[0], grants.owner) if grants is not None else (-1, None)
    for incarnation, member in state.membership.members.items():
        claimed = member.digest.shards.get(shard, -1)
        if claimed > epoch:
            epoch, owner = claimed, incarnation
    return owner


def _collect_promises(state: InstanceState, grants: ShardGrants | None) -> dict[UpstreamId, int]:
    """Return the promised limits that are lower than the grants, to keep reports short."""
    promises: dict[UpstreamId, int] = {}
    closed = has_closed_listeners(state)
    for upstream_id in sorted(grants.upstreams) if grants is not None else ():
        upstream = state.routing.upstreams[upstream_id]
        promise = upstream.in_use if closed else upstream.get_promise()
        if promise < upstream.granted:
            promises[upstream_id] = promise
    return promises


def update_demand(state: InstanceState) -> None:
    """Update the demand with the open requests that arrived here, wherever they run."""
    for service in state.routing.services.values():
        own = service.slots.in_use + len(service.queue)
        current = max(0, own + service.forwarded_out - service.forwarded_in)
        service.demand += DEMAND_WEIGHT * (current - service.demand)


def get_free_slots(state: InstanceState, service_name: str) -> int:
    """Return the slots that peers may use: none while requests wait here or at shutdown.

    The digest and the answers to forwarded requests carry this number.
    """
    service = state.routing.services.get(service_name)
    if service is None or state.shutting_down_since is not None or len(service.queue):
        return 0
    return service.slots.free_slots


def collect_routing_fields(state: InstanceState) -> dict[str, object]:
    """Return the digest's fields on slots, queues and leaving upstreams."""
    routing = state.routing
    cutoff = state.now - LEAVING_GOSSIP_SECONDS
    queued = {
        service.name: len(service.queue)
        for service in routing.services.values()
        if len(service.queue)
    }
    free_slots = {name: free for name in routing.services if (free := get_free_slots(state, name))}
    return {
        "free_slots": free_slots,
        "queued": queued,
        "leaving_upstreams": tuple(
            sorted(upstream_id for upstream_id, since in routing.leaving.items() if since > cutoff)
        ),
    }


def handle_heartbeat(state: InstanceState, event: HeartbeatReceived) -> list[Effect]:
    """Record the upstreams that a peer names as leaving."""
    return mark_leaving(state, event.digest.leaving_upstreams)


def handle_timer(state: InstanceState, event: TimerFired) -> list[Effect]:
    """Update the demand, expire leaving upstreams and report to the shard owners."""
    if event.name != GRANT_REPORT_TIMER:
        return []
    update_demand(state)
    expire_leaving_upstreams(state)
    return report_limits(state)


HANDLERS = {
    HeartbeatReceived: handle_heartbeat,
    PlatformListed: handle_platform_list,
    ConfigurationCommitted: handle_configuration,
    ConfigurationReceived: handle_configuration,
    GrantUpdateReceived: handle_grant_update,
    TimerFired: handle_timer,
}
