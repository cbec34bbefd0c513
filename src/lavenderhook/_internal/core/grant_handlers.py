"""Handlers of the shard owner that plan grants and exchange messages with the holders of slots.

The owner plans on tentative state but sends holders only committed grants, so it keeps the
committed ones separately. A grant that ended with its attempt needs no message of its own: the next
update omits the upstream.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from .effects import Effect, LogDecision, SendGrantUpdate
from .events import GrantReportReceived, TimerFired
from .grants import GrantInputs, GrantMember, GrantTracker
from .identifiers import IncarnationId, MemberState, UpstreamId
from .membership import get_member_state, get_peer_address
from .ownership import Batch, Ownership, append_records
from .records import GrantsChanged, UpstreamView
from .services import list_draining, list_upstreams

if TYPE_CHECKING:
    from .state import InstanceState

GRANT_TIMER = "grants"
TIMERS: dict[str, str] = {GRANT_TIMER: "grant_plan_interval"}


def restore_grants(ownership: Ownership) -> None:
    """Copy the grants from the shard state after a takeover, and reset the tracker."""
    grants = ownership.get_shard_state().grants
    ownership.grant_tracker = GrantTracker()
    ownership.committed_grants = {upstream: dict(slots) for upstream, slots in grants.items()}


def handle_timer(state: InstanceState, event: TimerFired) -> list[Effect]:
    """Plan the grants of every owned shard when due."""
    if event.name != GRANT_TIMER:
        return []
    effects: list[Effect] = []
    for ownership in state.ownerships.list_owned():
        effects.extend(plan_owned_grants(state, ownership))
    return effects


def plan_owned_grants(state: InstanceState, ownership: Ownership) -> list[Effect]:
    """Queue changes of grants for the next commit and send the updates that are due."""
    upstreams = _list_owned_upstreams(state, ownership)
    _drop_ended_grants(ownership, upstreams)
    inputs = _build_inputs(state, ownership, upstreams)
    grant_tracker = ownership.grant_tracker
    _record_changed_views(ownership, upstreams)
    changes: tuple[GrantsChanged, ...] = ()
    if not ownership.is_store_delayed():
        changes = grant_tracker.plan(inputs)
    if changes:
        append_records(state, ownership, changes, urgent=True)
    grant_tracker.request_reassignments(inputs)
    return [*_log_changes(changes), *_send_updates(state, ownership, inputs)]


def _list_owned_upstreams(state: InstanceState, ownership: Ownership) -> tuple[UpstreamView, ...]:
    draining = list_draining(ownership)
    return tuple(list_upstreams(ownership.get_shard_state(), state.membership.workers, draining))


def _drop_ended_grants(ownership: Ownership, upstreams: tuple[UpstreamView, ...]) -> None:
    """Drop grants of ended attempts, and mark updates as due for their holders.

    The id of an upstream is that of its attempt.
    """
    kept = {view.upstream_id for view in upstreams}
    kept.update(UpstreamId(attempt_id) for attempt_id in ownership.get_shard_state().attempts)
    for upstream_id in [u for u in ownership.committed_grants if u not in kept]:
        former_slots = ownership.committed_grants.pop(upstream_id)
        ownership.grant_tracker.uncommitted_upstreams.discard(upstream_id)
        ownership.grant_tracker.due.update(former_slots)


def _record_changed_views(ownership: Ownership, upstreams: tuple[UpstreamView, ...]) -> None:
    """Mark updates as due for the holders of upstreams that changed or are now leaving."""
    views = {view.upstream_id: view for view in upstreams}
    for upstream_id, view in views.items():
        former = ownership.upstream_views.get(upstream_id)
        if former is not None and former != view:
            ownership.grant_tracker.due.update(ownership.committed_grants.get(upstream_id, {}))
    ownership.upstream_views = views


def _build_inputs(
    state: InstanceState, ownership: Ownership, upstreams: tuple[UpstreamView, ...]
) -> GrantInputs:
    return GrantInputs(
        upstreams=upstreams,
        grants=ownership.committed_grants,
        members=_collect_members(state, ownership),
        now=state.now,
        quarantine=state.parameters.quarantine,
    )


def _collect_members(
    state: InstanceState, ownership: Ownership
) -> dict[IncarnationId, GrantMember]:
    retired = ownership.get_shard_state().retired
    holders = {i for slots in ownership.committed_grants.values() for i in slots}
    members: dict[IncarnationId, GrantMember] = {}
    for incarnation in sorted({state.incarnation, *state.membership.members, *holders}):
        gone_since = retired.get(incarnation)
        if gone_since is not None:
            members[incarnation] = GrantMember(
                availability_zone=state.availability_zone,
                state=MemberState.GONE,
                gone_since=gone_since,
            )
            continue
        members[incarnation] = _build_member(state, incarnation)
    return members


def _build_member(state: InstanceState, incarnation: IncarnationId) -> GrantMember:
    member = state.membership.members.get(incarnation)
    zone = state.availability_zone if member is None else member.digest.availability_zone
    member_state = get_member_state(state, incarnation)
    if member_state is MemberState.GONE:
        # An instance counts as gone only from its `IncarnationRetired` record, so that every owner
        # of the shard counts the quarantine from the same time.
        member_state = MemberState.FAILED
    return GrantMember(availability_zone=zone, state=member_state)


def _log_changes(changes: tuple[GrantsChanged, ...]) -> list[Effect]:
    return [
        LogDecision(
            decision="slots-granted",
            fields={"upstream": change.upstream_id, "slots": dict(change.slots)},
        )
        for change in changes
    ]


def _send_updates(state: InstanceState, ownership: Ownership, inputs: GrantInputs) -> list[Effect]:
    head = ownership.head
    if head is None:
        return []
    version = (head.epoch, head.next_log - 1)
    updates = ownership.grant_tracker.build_due(inputs, ownership.shard, version, state.incarnation)
    effects: list[Effect] = []
    for update in updates:
        address = get_peer_address(state, update.holder)
        if update.holder == state.incarnation:
            address = state.address
        if address is not None:
            effects.append(SendGrantUpdate(address=address, update=update))
    return effects


def record_committed_grants(
    state: InstanceState, ownership: Ownership, batch: Batch
) -> list[Effect]:
    """Record the grants of a committed batch and send updates to their holders."""
    changed = False
    for group in batch.groups:
        for record in group.records:
            if isinstance(record, GrantsChanged):
                former = ownership.committed_grants.get(record.upstream_id, {})
                ownership.committed_grants[record.upstream_id] = dict(record.slots)
                ownership.grant_tracker.record_committed(record, former)
                changed = True
    if not changed:
        return []
    inputs = _build_inputs(state, ownership, _list_owned_upstreams(state, ownership))
    return _send_updates(state, ownership, inputs)


def handle_report(state: InstanceState, event: GrantReportReceived) -> list[Effect]:
    """Record a holder's promised limits and demand, if this instance owns the shard."""
    ownership = state.ownerships.get(event.report.shard)
    if ownership.is_owned():
        ownership.grant_tracker.record_report(event.report)
    return []


HANDLERS = {
    TimerFired: handle_timer,
    GrantReportReceived: handle_report,
}
