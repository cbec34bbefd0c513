"""Which entry instances exist and whether they can be used.

There are two separate sources. Heartbeats show quickly whether a peer responds; routing and
takeover use them and are safe when this view is wrong. The platform's list shows, with a delay,
that an incarnation is gone and can never act again; only the list may free what it holds.
"""

from __future__ import annotations

import dataclasses
import math
from typing import TYPE_CHECKING

from .effects import CloseListeners, Effect, ListPlatform, LogDecision, SendHeartbeat
from .events import (
    HeartbeatReceived,
    PeerUnreachable,
    PlatformListed,
    PlatformListUnavailable,
    ShutdownRequested,
    TimerFired,
)
from .identifiers import IncarnationId, MemberState
from .messages import Digest
from .records import InstanceView, WorkerView

if TYPE_CHECKING:
    from .state import InstanceState

HEARTBEAT_TIMER = "heartbeat"
PLATFORM_TIMER = "platform-list"
# Timer name to the attribute of CoreParameters that holds its interval.
TIMERS = {HEARTBEAT_TIMER: "heartbeat_interval", PLATFORM_TIMER: "platform_poll_interval"}
# A peer without heartbeats counts as failed once this many members suspect it, this instance
# included, so that the failure of a single link does not suffice.
SUSPICIONS_TO_FAIL = 2


@dataclasses.dataclass(slots=True)
class Member:
    """The last digest of a peer, and the members that suspect the peer."""

    digest: Digest
    last_heartbeat_at: float
    suspected_by: set[IncarnationId] = dataclasses.field(default_factory=set)


@dataclasses.dataclass(slots=True)
class MembershipState:
    """The membership view.

    Parameters
    ----------
    seeds : tuple of str
        Addresses of peers from the settings; always among the candidates for heartbeats.
    first_listed : dict of IncarnationId to float
        When a list first showed each incarnation, in seconds.
    gone : dict of IncarnationId to float
        Incarnations that the platform listed before and no longer lists, with the time at which
        that was first observed.
    listed_at, list_requested_at : float
        When the last list arrived, and when it was requested, in seconds.
    unreadable : frozenset of str
        Ids and incarnations of entries of the last list that could not be read; an empty string for
        an unknown one.
    is_list_attempt_pending : bool
        Whether the process was paused and has not tried to read the list since. Routing starts
        nothing meanwhile: an upstream may have left during the pause.
    resumed_at : float
        End of the last pause, in seconds.
    """

    seeds: tuple[str, ...] = ()
    members: dict[IncarnationId, Member] = dataclasses.field(default_factory=dict)
    known_addresses: dict[IncarnationId, str] = dataclasses.field(default_factory=dict)
    listed: dict[IncarnationId, InstanceView] = dataclasses.field(default_factory=dict)
    first_listed: dict[IncarnationId, float] = dataclasses.field(default_factory=dict)
    gone: dict[IncarnationId, float] = dataclasses.field(default_factory=dict)
    workers: dict[str, WorkerView] = dataclasses.field(default_factory=dict)
    listed_at: float | None = None
    list_requested_at: float = -math.inf
    unreadable: frozenset[str] = frozenset()
    sequence: int = 0
    is_list_attempt_pending: bool = False
    resumed_at: float = 0.0


def get_member_state(state: InstanceState, incarnation: IncarnationId) -> MemberState:
    """Return the state of a member, the worst that its sources show.

    Parameters
    ----------
    state : InstanceState
        The instance's state.
    incarnation : IncarnationId
        The member.

    Returns
    -------
    MemberState
        GONE only if the platform's list no longer shows the member.
    """
    view = state.membership
    if incarnation in view.gone:
        return MemberState.GONE
    if incarnation == state.incarnation:
        return MemberState.ALIVE if state.shutting_down_since is None else MemberState.LEAVING
    member = view.members.get(incarnation)
    if member is None:
        return MemberState.FAILED
    seconds_since_heartbeat = state.now - member.last_heartbeat_at
    if seconds_since_heartbeat > state.parameters.takeover_after and _is_failure_confirmed(
        state, member
    ):
        return MemberState.FAILED
    if seconds_since_heartbeat > state.parameters.suspect_after:
        return MemberState.SUSPECT
    if member.digest.state is MemberState.LEAVING or _is_listed_leaving(state, incarnation):
        return MemberState.LEAVING
    return MemberState.ALIVE


def _is_listed_leaving(state: InstanceState, incarnation: IncarnationId) -> bool:
    view = state.membership.listed.get(incarnation)
    return view is not None and view.leaving


def _is_failure_confirmed(state: InstanceState, member: Member) -> bool:
    """Return whether enough live members suspect a peer, this instance included.

    Without other live members the suspicion of this instance is enough.
    """
    others = [m for m in list_live_members(state) if m != member.digest.incarnation]
    if not others:
        return True
    suspicions = len(member.suspected_by & set(others)) + 1
    return suspicions >= SUSPICIONS_TO_FAIL


def list_live_members(state: InstanceState) -> list[IncarnationId]:
    """Return the peers whose last heartbeat is within `suspect_after`, in a stable order."""
    limit = state.now - state.parameters.suspect_after
    members = state.membership.members
    return sorted(
        incarnation
        for incarnation, member in members.items()
        if member.last_heartbeat_at >= limit and incarnation not in state.membership.gone
    )


def list_usable_peers(state: InstanceState) -> list[Digest]:
    """Return the digests of peers that are alive and ready, in a stable order."""
    return [
        state.membership.members[incarnation].digest
        for incarnation in list_live_members(state)
        if state.membership.members[incarnation].digest.ready
        and get_member_state(state, incarnation) is MemberState.ALIVE
    ]


def get_peer_address(state: InstanceState, incarnation: IncarnationId) -> str | None:
    """Return the address of a member, or None if it is not known."""
    member = state.membership.members.get(incarnation)
    if member is not None:
        return member.digest.address
    listed = state.membership.listed.get(incarnation)
    if listed is not None:
        return listed.address
    return state.membership.known_addresses.get(incarnation)


def build_digest(state: InstanceState) -> Digest:
    """Return the digest of this instance for the next heartbeat."""
    from .digest import collect_digest_fields

    view = state.membership
    view.sequence += 1
    leaving = state.shutting_down_since is not None
    suspected = tuple(
        sorted(
            incarnation
            for incarnation, member in view.members.items()
            if state.now - member.last_heartbeat_at > state.parameters.suspect_after
            and incarnation not in view.gone
        )
    )
    return Digest(
        name=state.name,
        incarnation=state.incarnation,
        address=state.address,
        availability_zone=state.availability_zone,
        sequence=view.sequence,
        state=MemberState.LEAVING if leaving else MemberState.ALIVE,
        suspected=suspected,
        **collect_digest_fields(state),
    )


def handle_timer(state: InstanceState, event: TimerFired) -> list[Effect]:
    """Send heartbeats and read the platform's list when due."""
    if event.name == HEARTBEAT_TIMER:
        return [_send_heartbeat(state)]
    if event.name == PLATFORM_TIMER:
        return [ListPlatform()]
    return []


def _send_heartbeat(state: InstanceState) -> SendHeartbeat:
    addresses = _collect_addresses(state)
    if len(addresses) > state.parameters.full_mesh_limit:
        addresses = sorted(state.generator.sample(addresses, state.parameters.gossip_fanout))
    members = {
        incarnation: state.membership.members[incarnation].digest.address
        for incarnation in list_live_members(state)[: state.parameters.full_mesh_limit]
    }
    return SendHeartbeat(addresses=tuple(addresses), digest=build_digest(state), members=members)


def _collect_addresses(state: InstanceState) -> list[str]:
    view = state.membership
    addresses = set(view.seeds)
    addresses.update(member.digest.address for member in view.members.values())
    addresses.update(instance.address for instance in view.listed.values())
    addresses.update(view.known_addresses.values())
    addresses.discard(state.address)
    return sorted(addresses)


def handle_heartbeat(state: InstanceState, event: HeartbeatReceived) -> list[Effect]:
    """Record a peer's digest unless a newer one was received."""
    digest = event.digest
    view = state.membership
    if digest.incarnation == state.incarnation or digest.incarnation in view.gone:
        return []
    member = view.members.get(digest.incarnation)
    if member is not None and member.digest.sequence >= digest.sequence:
        return []
    if member is None:
        view.members[digest.incarnation] = Member(digest=digest, last_heartbeat_at=event.now)
    else:
        member.digest = digest
        member.last_heartbeat_at = event.now
        member.suspected_by.clear()
    for incarnation, address in event.members.items():
        if incarnation not in view.members and incarnation != state.incarnation:
            view.known_addresses[incarnation] = address
    view.known_addresses.pop(digest.incarnation, None)
    _record_suspicions(state, digest)
    _remove_former_incarnations(state, digest)
    if member is None:
        fields: dict[str, object] = {"member": digest.incarnation, "address": digest.address}
        return [LogDecision(decision="member-joined", fields=fields)]
    return []


def _record_suspicions(state: InstanceState, digest: Digest) -> None:
    for incarnation, member in state.membership.members.items():
        if incarnation in digest.suspected:
            member.suspected_by.add(digest.incarnation)
        else:
            member.suspected_by.discard(digest.incarnation)


def _remove_former_incarnations(state: InstanceState, digest: Digest) -> None:
    """Drop earlier incarnations at the same address, so that they get no more heartbeats.

    Only those without a heartbeat within `takeover_after` are dropped.
    """
    members = state.membership.members
    limit = state.now - state.parameters.takeover_after
    former = [
        incarnation
        for incarnation, member in members.items()
        if member.digest.address == digest.address
        and incarnation != digest.incarnation
        and member.last_heartbeat_at < limit
    ]
    for incarnation in former:
        del members[incarnation]


def handle_unreachable(state: InstanceState, event: PeerUnreachable) -> list[Effect]:
    """Drop an unreachable address that is known only from the heartbeats of other members."""
    known = state.membership.known_addresses
    for incarnation in [i for i, address in known.items() if address == event.address]:
        del known[incarnation]
    return []


def handle_platform_list(state: InstanceState, event: PlatformListed) -> list[Effect]:
    """Record the platform's list and the incarnations that are gone."""
    view = state.membership
    requested_at = min(event.now, event.requested_at)
    if requested_at < view.list_requested_at:
        return []
    view.list_requested_at = requested_at
    view.unreadable = frozenset(event.unreadable)
    listed = {instance.incarnation: instance for instance in event.instances}
    workers: dict[str, WorkerView] = {worker.worker_id: worker for worker in event.workers}
    if view.unreadable:
        for incarnation, instance in view.listed.items():
            if may_be_unreadable(state, incarnation):
                listed.setdefault(incarnation, instance)
        for worker_id, worker in view.workers.items():
            if may_be_unreadable(state, worker_id):
                workers.setdefault(worker_id, worker)
    view.listed = listed
    view.workers = workers
    view.listed_at = event.now
    _record_list_attempt(state, event.requested_at)
    for incarnation in view.listed:
        view.first_listed.setdefault(incarnation, event.now)
    effects: list[Effect] = []
    for incarnation in sorted(set(view.first_listed) - set(view.listed) - set(view.gone)):
        if incarnation == state.incarnation or not is_list_newer(
            state, view.first_listed[incarnation]
        ):
            continue
        view.gone[incarnation] = event.now
        view.members.pop(incarnation, None)
        view.known_addresses.pop(incarnation, None)
        effects.append(LogDecision(decision="member-gone", fields={"member": incarnation}))
    return effects


def is_list_newer(state: InstanceState, moment: float) -> bool:
    """Return whether what existed at a moment and is missing in the last list is gone.

    In a list that is older, it may be new rather than gone.
    """
    margin = state.parameters.platform_list_lag + state.parameters.max_clock_skew
    return state.membership.list_requested_at - margin > moment


def may_be_unreadable(state: InstanceState, identity: str) -> bool:
    """Return whether the last list may have an entry with this id that could not be read."""
    unreadable = state.membership.unreadable
    return identity in unreadable or "" in unreadable


def handle_list_unavailable(state: InstanceState, event: PlatformListUnavailable) -> list[Effect]:
    """Keep the last list; record the failed read, so that an outage does not stop all requests."""
    _record_list_attempt(state, event.requested_at)
    return []


def _record_list_attempt(state: InstanceState, requested_at: float) -> None:
    if requested_at >= state.membership.resumed_at:
        state.membership.is_list_attempt_pending = False


def handle_pause(state: InstanceState, now: float) -> list[Effect]:
    """Refresh the view of the platform if the process has not run for a while."""
    if state.now == 0.0 or now - state.now <= state.parameters.pause_threshold:
        return []
    state.membership.is_list_attempt_pending = True
    state.membership.resumed_at = now
    fields: dict[str, object] = {"seconds": round(now - state.now, 3)}
    return [LogDecision(decision="process-resumed", fields=fields), ListPlatform()]


def handle_shutdown(state: InstanceState, event: ShutdownRequested) -> list[Effect]:
    """Start a graceful shutdown."""
    if state.shutting_down_since is None:
        state.shutting_down_since = event.now
    return []


def close_listeners_if_due(state: InstanceState) -> list[Effect]:
    """Return the effect that ends the grace period of a shutdown once it has passed."""
    since = state.shutting_down_since
    if since is None or state.now - since < state.parameters.drain_grace:
        return []
    return [CloseListeners()]


HANDLERS = {
    TimerFired: handle_timer,
    HeartbeatReceived: handle_heartbeat,
    PeerUnreachable: handle_unreachable,
    PlatformListed: handle_platform_list,
    PlatformListUnavailable: handle_list_unavailable,
    ShutdownRequested: handle_shutdown,
}
