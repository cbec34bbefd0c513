"""Division of upstream slots among entry instances, on the shard owner's side.

Planning is a pure function of the committed grants, the members and the holders' promises. A
promise is a limit at or below its grant that a holder has acknowledged and keeps to until a later
grant update raises it. Slots without a holder are granted at once. Held slots are reassigned in
three steps: the owner requests a lower limit from the holder, the holder promises it, and only then
the owner commits the change.
"""

from __future__ import annotations

import dataclasses
import heapq
import math
from collections.abc import Collection, Iterable, Mapping

import msgspec

from .identifiers import AvailabilityZone, IncarnationId, MemberState, ShardId, UpstreamId
from .messages import GrantReport, GrantUpdate
from .records import GrantsChanged, UpstreamView

Grants = Mapping[UpstreamId, Mapping[IncarnationId, int]]
Limits = Mapping[IncarnationId, Mapping[UpstreamId, int]]
Version = tuple[int, int]
Shares = dict[IncarnationId, float]
Slots = dict[IncarnationId, int]

# Leaves a holder at steady load some free slots.
SLOTS_PER_ACTIVE_REQUEST = 1.25
# Differences up to this share of a holder's target are ignored. Reassigning slots at every small
# change of demand would cost commits, and slots are idle while they are reassigned.
REASSIGNMENT_TOLERANCE = 0.1
REASSIGNMENT_INTERVAL_SECONDS = 1.0


class GrantMember(msgspec.Struct, frozen=True, kw_only=True):
    """An entry instance as the owner sees it.

    Parameters
    ----------
    state : MemberState
        ALIVE and SUSPECT members are granted slots. Only GONE members lose theirs without a
        promise.
    gone_since : float
        When the platform's list first showed it as gone; used only if `state` is GONE.
    """

    availability_zone: AvailabilityZone
    state: MemberState
    gone_since: float = math.inf


class GrantInputs(msgspec.Struct, frozen=True, kw_only=True):
    """Inputs of a plan.

    Parameters
    ----------
    upstreams : tuple of UpstreamView
        Upstreams of the shard, with their total slots, granted or not.
    grants : mapping
        Committed slots by upstream and holder.
    members : mapping
        Every holder and every instance that may become one. A holder that is missing here keeps
        its slots indefinitely; one that has left the platform's list must be passed as GONE.
    promises : mapping
        Limits that holders promised, by holder and upstream, where lower than the grant.
    demand : mapping
        Requests in progress by holder and service.
    quarantine : float
        Seconds after which a gone holder can have no request left, so that its slots are free.
    uncommitted : collection of UpstreamId
        Upstreams with a planned change that is not committed yet; they are not changed again.
    """

    upstreams: tuple[UpstreamView, ...]
    grants: Grants
    members: Mapping[IncarnationId, GrantMember]
    promises: Limits = {}
    demand: Mapping[IncarnationId, Mapping[str, float]] = {}
    now: float
    quarantine: float
    uncommitted: Collection[UpstreamId] = ()


@dataclasses.dataclass(slots=True)
class _ServiceZone:
    """The usable upstreams of one service in one zone, and the target slots of each holder."""

    service: str
    upstreams: list[UpstreamView] = dataclasses.field(default_factory=list)
    local_members: list[IncarnationId] = dataclasses.field(default_factory=list)
    capacity: int = 0
    floor: int = 0
    shares: Shares = dataclasses.field(default_factory=dict)
    targets: Slots = dataclasses.field(default_factory=dict)

    def add(self, incarnation: IncarnationId, share: float) -> None:
        self.shares[incarnation] = self.shares.get(incarnation, 0.0) + share


# Planning


def plan_grants(inputs: GrantInputs) -> tuple[GrantsChanged, ...]:
    """Return the changes that can be committed now.

    Returns
    -------
    tuple of GrantsChanged
        One for each upstream whose grants change or that has a promise, so that the holder gets an
        update of a later version than its promise.
    """
    zones = _collect_zones(inputs)
    changes: list[GrantsChanged] = []
    for zone in zones:
        changes += _assign_free_slots(inputs, zone)
    return tuple(changes)


def list_candidates(inputs: GrantInputs) -> list[IncarnationId]:
    """Return the members that may be granted slots, in a stable order."""
    usable = (MemberState.ALIVE, MemberState.SUSPECT)
    return sorted(i for i, member in inputs.members.items() if member.state in usable)


def _collect_zones(inputs: GrantInputs) -> list[_ServiceZone]:
    services: dict[str, dict[AvailabilityZone, _ServiceZone]] = {}
    for view in inputs.upstreams:
        if view.leaving:
            continue
        zones = services.setdefault(view.service, {})
        zone = zones.get(view.availability_zone)
        if zone is None:
            zone = zones[view.availability_zone] = _ServiceZone(service=view.service)
        zone.upstreams.append(view)
        zone.capacity += view.slots
    candidates = list_candidates(inputs)
    result: list[_ServiceZone] = []
    for service in sorted(services):
        _compute_shares(inputs, services[service], candidates)
        result += [services[service][name] for name in sorted(services[service])]
    return result


def _compute_shares(
    inputs: GrantInputs,
    zones: dict[AvailabilityZone, _ServiceZone],
    candidates: list[IncarnationId],
) -> None:
    """Divide the slots of a service: local members first, the surplus by shortfall."""
    if not candidates:
        return
    total = sum(zone.capacity for zone in zones.values())
    service = next(iter(zones.values())).service
    desired: Shares = {}
    for incarnation in candidates:
        zone = zones.get(inputs.members[incarnation].availability_zone)
        demand = inputs.demand.get(incarnation, {}).get(service, 0.0)
        desired[incarnation] = max(1.0, demand * SLOTS_PER_ACTIVE_REQUEST)
        if zone is not None:
            zone.local_members.append(incarnation)
        else:
            # Its zone has no upstreams: without a floor it would have to forward every request.
            desired[incarnation] = max(desired[incarnation], total / len(candidates))
    surplus: dict[AvailabilityZone, float] = {}
    shortfall = dict(desired)
    for name, zone in zones.items():
        surplus[name] = _share_among_local_members(zone, desired, shortfall)
    _assign_surplus(zones, surplus, shortfall, has_local_members=False)
    _assign_surplus(zones, surplus, shortfall, has_local_members=True)
    for name, zone in zones.items():
        _share_rest(zone, surplus[name], desired, candidates)
        zone.targets = _round_shares(zone.shares, zone.capacity)


def _share_among_local_members(zone: _ServiceZone, desired: Shares, shortfall: Shares) -> float:
    """Give local members their floor and desired slots; return the capacity that is left."""
    if not zone.local_members:
        return float(zone.capacity)
    count = len(zone.local_members)
    zone.floor = sum(1 for view in zone.upstreams if view.slots >= count)
    rest = zone.capacity - zone.floor * count
    wanted = {i: max(0.0, desired[i] - zone.floor) for i in zone.local_members}
    scale = min(1.0, rest / max(sum(wanted.values()), 1e-9))
    for incarnation in zone.local_members:
        share = zone.floor + wanted[incarnation] * scale
        zone.add(incarnation, share)
        shortfall[incarnation] = max(0.0, desired[incarnation] - share)
    return max(0.0, zone.capacity - sum(zone.shares.values()))


def _assign_surplus(
    zones: dict[AvailabilityZone, _ServiceZone],
    surplus: dict[AvailabilityZone, float],
    shortfall: Shares,
    has_local_members: bool,
) -> None:
    donors = [
        name
        for name, zone in zones.items()
        if bool(zone.local_members) is has_local_members and surplus[name] > 0.0
    ]
    offered = sum(surplus[name] for name in donors)
    needed = sum(shortfall.values())
    if offered <= 0.0 or needed <= 0.0:
        return
    used_share = min(1.0, needed / offered)
    met_share = min(1.0, offered / needed)
    for name in donors:
        assigned = surplus[name] * used_share
        for incarnation, missing in shortfall.items():
            if missing > 0.0:
                zones[name].add(incarnation, assigned * missing / needed)
        surplus[name] -= assigned
    for incarnation in shortfall:
        shortfall[incarnation] *= 1.0 - met_share


def _share_rest(
    zone: _ServiceZone, rest: float, desired: Shares, candidates: list[IncarnationId]
) -> None:
    receivers = zone.local_members or candidates
    weight = sum(desired[i] for i in receivers)
    for incarnation in receivers:
        zone.add(incarnation, rest * desired[incarnation] / weight)


def _round_shares(shares: Shares, total: int) -> Slots:
    """Round shares to whole slots that sum up to `total`, by largest remainder."""
    rounded = {incarnation: int(share + 1e-9) for incarnation, share in shares.items()}
    order = sorted(shares, key=lambda i: (rounded[i] - shares[i], i))
    missing = total - sum(rounded.values())
    for incarnation in order[: max(0, missing)]:
        rounded[incarnation] += 1
    return rounded


def _get_retained_slots(inputs: GrantInputs, upstream_id: UpstreamId) -> Slots:
    """Return the slots of an upstream that each holder may still be using."""
    retained: Slots = {}
    for holder, granted in inputs.grants.get(upstream_id, {}).items():
        if _is_quarantine_over(inputs, holder):
            continue
        promise = inputs.promises.get(holder, {}).get(upstream_id, granted)
        amount = min(granted, promise)
        if amount > 0:
            retained[holder] = amount
    return retained


def _is_quarantine_over(inputs: GrantInputs, holder: IncarnationId) -> bool:
    """Return whether a holder has been gone for the quarantine, so that no request is left."""
    member = inputs.members.get(holder)
    if member is None or member.state is not MemberState.GONE:
        return False
    return inputs.now >= member.gone_since + inputs.quarantine


def _assign_free_slots(inputs: GrantInputs, zone: _ServiceZone) -> list[GrantsChanged]:
    retained = {
        view.upstream_id: _get_retained_slots(inputs, view.upstream_id) for view in zone.upstreams
    }
    held = _sum_held(retained.values())
    heap = [(held.get(i, 0) - target, i) for i, target in zone.targets.items() if target > 0]
    heapq.heapify(heap)
    changes: list[GrantsChanged] = []
    for view in zone.upstreams:
        slots = retained[view.upstream_id]
        if view.upstream_id in inputs.uncommitted:
            continue
        free = view.slots - sum(slots.values())
        if free > 0 and heap:
            _grant_free_slots(zone, view, slots, free, heap)
        former = inputs.grants.get(view.upstream_id, {})
        if slots != former or _has_promise(inputs, view.upstream_id, former):
            change = GrantsChanged(at=inputs.now, upstream_id=view.upstream_id, slots=slots)
            changes.append(change)
    return changes


def _sum_held(grants: Iterable[Mapping[IncarnationId, int]]) -> Slots:
    held: Slots = {}
    for slots in grants:
        for holder, count in slots.items():
            held[holder] = held.get(holder, 0) + count
    return held


def _has_promise(
    inputs: GrantInputs, upstream_id: UpstreamId, former: Mapping[IncarnationId, int]
) -> bool:
    return any(
        inputs.promises.get(holder, {}).get(upstream_id, granted) < granted
        for holder, granted in former.items()
    )


def _grant_free_slots(
    zone: _ServiceZone,
    view: UpstreamView,
    slots: Slots,
    free: int,
    heap: list[tuple[int, IncarnationId]],
) -> None:
    """Grant the free slots of one upstream: one to each local member, then by shortfall."""
    if view.slots >= len(zone.local_members):
        for incarnation in [i for i in zone.local_members if i not in slots][:free]:
            _grant_one_slot(incarnation, slots, heap)
            free -= 1
    for _ in range(free):
        balance, incarnation = heap[0]
        heapq.heapreplace(heap, (balance + 1, incarnation))
        slots[incarnation] = slots.get(incarnation, 0) + 1


def _grant_one_slot(
    incarnation: IncarnationId, slots: Slots, heap: list[tuple[int, IncarnationId]]
) -> None:
    slots[incarnation] = slots.get(incarnation, 0) + 1
    for index, (balance, holder) in enumerate(heap):
        if holder == incarnation:
            heap[index] = (balance + 1, incarnation)
            heapq.heapify(heap)
            return


# Reassignment


def plan_reassignments(inputs: GrantInputs) -> dict[IncarnationId, dict[UpstreamId, int]]:
    """Return the lower limits to request from holders, so that others reach their targets.

    Returns
    -------
    dict of IncarnationId to dict of UpstreamId to int
        Requested limits by holder; empty if the grants are close enough to the targets.
    """
    requested: dict[IncarnationId, dict[UpstreamId, int]] = {}
    candidates = set(list_candidates(inputs))
    for zone in _collect_zones(inputs):
        retained = {
            view.upstream_id: _get_retained_slots(inputs, view.upstream_id)
            for view in zone.upstreams
        }
        held = _sum_held(retained.values())
        excess = _collect_excess(zone, held, candidates)
        shortfall = _count_shortfall(zone, held)
        for holder, amount in excess:
            count = min(amount, shortfall)
            shortfall -= count
            _request_lower_limits(zone, retained, holder, count, requested)
    return requested


def _get_tolerance(target: int) -> int:
    return int(target * REASSIGNMENT_TOLERANCE)


def _collect_excess(
    zone: _ServiceZone, held: Slots, candidates: Collection[IncarnationId]
) -> list[tuple[IncarnationId, int]]:
    """Return the holders with more than their target, the largest excess first."""
    excess = []
    for holder in sorted(held):
        target = zone.targets.get(holder, 0)
        amount = held[holder] - target
        # Failed or gone members cannot answer; leaving ones return all slots by themselves.
        if holder in candidates and amount > _get_tolerance(target):
            excess.append((holder, amount))
    return sorted(excess, key=lambda entry: (-entry[1], entry[0]))


def _count_shortfall(zone: _ServiceZone, held: Slots) -> int:
    """Return how many slots the holders below their target by more than the tolerance lack."""
    shortfall = 0
    for holder, target in zone.targets.items():
        amount = target - held.get(holder, 0)
        if amount > _get_tolerance(target):
            shortfall += amount
    return shortfall


def _request_lower_limits(
    zone: _ServiceZone,
    retained: Mapping[UpstreamId, Slots],
    holder: IncarnationId,
    count: int,
    requested: dict[IncarnationId, dict[UpstreamId, int]],
) -> None:
    """Request `count` slots back from a holder, from the upstreams where it holds the most."""
    retains_one = holder in zone.local_members
    heap: list[tuple[int, UpstreamId]] = []
    for view in zone.upstreams:
        slots = retained[view.upstream_id].get(holder, 0)
        minimum = 1 if retains_one and view.slots >= len(zone.local_members) else 0
        if slots > minimum:
            heap.append((minimum - slots, view.upstream_id))
    heapq.heapify(heap)
    for _ in range(count):
        if not heap:
            return
        negated_removable, upstream_id = heapq.heappop(heap)
        limits = requested.setdefault(holder, {})
        limits[upstream_id] = limits.get(upstream_id, retained[upstream_id][holder]) - 1
        if negated_removable + 1 < 0:
            heapq.heappush(heap, (negated_removable + 1, upstream_id))


# Updates


def build_updates(
    inputs: GrantInputs,
    shard: ShardId,
    version: Version,
    owner: IncarnationId,
    requested: Limits,
    holders: Collection[IncarnationId],
) -> tuple[GrantUpdate, ...]:
    """Return the grants of these holders as messages.

    A promise that is not committed yet is repeated as a requested limit. Otherwise an update of a
    later version would let the holder use slots that are being granted to another one.

    Parameters
    ----------
    version : tuple of int
        Epoch and log number of the committed grants.
    requested : mapping
        Requested limits by holder and upstream.
    holders : collection of IncarnationId
        Receivers, with or without grants.

    Returns
    -------
    tuple of GrantUpdate
        In the order of the holders' ids.
    """
    held: dict[IncarnationId, list[UpstreamView]] = {holder: [] for holder in holders}
    for view in inputs.upstreams:
        for holder, slots in inputs.grants.get(view.upstream_id, {}).items():
            if holder in held and slots > 0:
                held[holder].append(_limit_view(view, slots))
    return tuple(
        GrantUpdate(
            shard=shard,
            version=version,
            owner=owner,
            holder=holder,
            upstreams=tuple(held[holder]),
            requested_limits=_merge_limits(
                requested.get(holder, {}), inputs.promises.get(holder, {})
            ),
        )
        for holder in sorted(held)
    )


def _limit_view(view: UpstreamView, slots: int) -> UpstreamView:
    connections = view.connections * slots // max(view.slots, 1)
    return msgspec.structs.replace(view, slots=slots, connections=connections)


def _merge_limits(
    first: Mapping[UpstreamId, int], second: Mapping[UpstreamId, int]
) -> dict[UpstreamId, int]:
    merged = dict(first)
    for upstream_id, limit in second.items():
        merged[upstream_id] = min(limit, merged.get(upstream_id, limit))
    return merged


@dataclasses.dataclass(slots=True)
class GrantTracker:
    """State of the holders of one shard, kept by its owner during the ownership.

    Call `record_report` for every report, `plan` whenever inputs changed, `record_committed` for
    every committed `GrantsChanged`, and send what `build_due` returns in the same step as a commit.
    Discard the tracker when the ownership ends.

    Parameters
    ----------
    sent : dict of IncarnationId to Version
        Version of the last update built for each holder. A promise counts only if it was made
        on that version: a later update may have raised the limit again.
    uncommitted_upstreams : set of UpstreamId
        Upstreams with a planned change that is not committed yet.
    due : set of IncarnationId
        Holders that need an update.
    """

    promises: dict[IncarnationId, dict[UpstreamId, int]] = dataclasses.field(default_factory=dict)
    demand: dict[IncarnationId, dict[str, float]] = dataclasses.field(default_factory=dict)
    sent: dict[IncarnationId, Version] = dataclasses.field(default_factory=dict)
    requested: dict[IncarnationId, dict[UpstreamId, int]] = dataclasses.field(default_factory=dict)
    uncommitted_upstreams: set[UpstreamId] = dataclasses.field(default_factory=set)
    due: set[IncarnationId] = dataclasses.field(default_factory=set)
    reassignments_planned_at: float = -math.inf

    def record_report(self, report: GrantReport) -> None:
        """Record a holder's demand, and its promised limits if they refer to the last update."""
        holder = report.holder
        self.demand[holder] = report.demand
        if self.sent.get(holder) != report.version:
            self.due.add(holder)
            return
        promises = self.promises.setdefault(holder, {})
        for upstream_id, limit in report.limits.items():
            # An older report on the same version can only show a higher limit.
            promises[upstream_id] = min(limit, promises.get(upstream_id, limit))

    def plan(self, inputs: GrantInputs) -> tuple[GrantsChanged, ...]:
        """Return the changes to commit; their upstreams are not changed again until the commit."""
        changes = plan_grants(self.add_tracked_state(inputs))
        self.uncommitted_upstreams.update(change.upstream_id for change in changes)
        return changes

    def add_tracked_state(self, inputs: GrantInputs) -> GrantInputs:
        """Return `inputs` with the tracker's promises, demand and uncommitted upstreams."""
        return msgspec.structs.replace(
            inputs,
            promises=self.promises,
            demand=self.demand,
            uncommitted=self.uncommitted_upstreams,
        )

    def record_committed(self, change: GrantsChanged, former: Mapping[IncarnationId, int]) -> None:
        """Record a committed change; `former` holds the grants before it."""
        self.uncommitted_upstreams.discard(change.upstream_id)
        for limits in (*self.promises.values(), *self.requested.values()):
            limits.pop(change.upstream_id, None)
        self.due.update(former)
        self.due.update(change.slots)

    def forget(self, holder: IncarnationId) -> None:
        """Drop the state of a holder that is gone and has no grants left."""
        for entries in (self.promises, self.demand, self.sent, self.requested):
            entries.pop(holder, None)
        self.due.discard(holder)

    def request_reassignments(self, inputs: GrantInputs) -> bool:
        """Request lower limits, at most once a second; return whether any was requested."""
        if inputs.now - self.reassignments_planned_at < REASSIGNMENT_INTERVAL_SECONDS:
            return False
        self.reassignments_planned_at = inputs.now
        requested = plan_reassignments(self.add_tracked_state(inputs))
        for limits in requested.values():
            for upstream_id in self.uncommitted_upstreams.intersection(limits):
                del limits[upstream_id]
        self.requested = {holder: limits for holder, limits in requested.items() if limits}
        self.due.update(self.requested)
        return bool(self.requested)

    def build_due(
        self, inputs: GrantInputs, shard: ShardId, version: Version, owner: IncarnationId
    ) -> tuple[GrantUpdate, ...]:
        """Return the updates that are due; `inputs` holds the grants committed at `version`."""
        usable = {i for i, m in inputs.members.items() if m.state is not MemberState.GONE}
        holders = self.due & usable
        self.due.clear()
        updates = build_updates(
            self.add_tracked_state(inputs), shard, version, owner, self.requested, holders
        )
        for update in updates:
            self.sent[update.holder] = update.version
        return updates
