"""Routing of requests to upstreams and peers.

A request waits in a queue until this instance has a free slot on a matching upstream or a peer
reports a free slot. Nothing here waits for the store, except that a non-idempotent request is
routed only after its claim. Every outstanding request occupies one granted slot until the
upstream has answered or closed the connection, or `quarantine` has passed.
"""

from __future__ import annotations

import heapq
from typing import TYPE_CHECKING

import msgspec

from . import claims
from .effects import (
    AnswerCaller,
    Completed,
    DispatchToUpstream,
    Effect,
    ForwardToPeer,
    LogDecision,
    NotRun,
    NotRunReason,
    Outcome,
    Unknown,
    UnknownReason,
)
from .events import (
    ClaimResolved,
    ClaimState,
    ConfigurationCommitted,
    ConfigurationReceived,
    Event,
    GrantUpdateReceived,
    HeartbeatReceived,
    PeerAnswered,
    PeerFailed,
    PeerOutcome,
    PlatformListed,
    PlatformListUnavailable,
    RequestAbandoned,
    RequestArrived,
    RequestHead,
    Ticket,
    TimerFired,
    UpstreamAnswered,
    UpstreamFailed,
    UpstreamReleased,
)
from .held_grants import mark_leaving, report_limits
from .identifiers import IncarnationId, MemberState, UpstreamId
from .membership import get_member_state
from .messages import Digest
from .retries import compute_backoff
from .routing_state import (
    Phase,
    Request,
    Service,
    TimedOutSlot,
    apply_limit,
    estimate_wait,
    find_service,
    get_latest_start,
    has_closed_listeners,
    record_response_seconds,
    remove_upstream,
)
from .slots import Upstream
from .upstream_ejection import EjectionState

if TYPE_CHECKING:
    from .state import InstanceState

REQUEST_TIMER = "requests"
TIMERS = {REQUEST_TIMER: "request_check_interval"}

# Dispatches and forwards of one request, including those refused without effect; bounds the work
# that one request causes.
MAX_TRIES = 4
# A timeout counts as a failure of the upstream only if the request ran for more than this multiple
# of the service's mean response time, so that callers whose deadlines cannot be met do not eject
# healthy upstreams.
TIMEOUT_FAILURE_FACTOR = 3.0
FIRST_ERROR_STATUS = 500
# Queued requests that are skipped in one search because they may not be forwarded; bounds the cost
# when most of the queue was forwarded before.
MAX_SKIPPED_REQUESTS = 16


# Arrival


def handle_arrival(state: InstanceState, event: RequestArrived) -> list[Effect]:
    """Admit a request, claim it if it is not idempotent, and route it."""
    head = _cap_deadline(state, event.head)
    routing = state.routing
    if head.ticket in routing.requests:
        return []
    routing.sequence += 1
    label_key = tuple(sorted(head.labels.items())) if head.labels else ()
    request = Request(
        head=head, sequence=routing.sequence, label_key=label_key, arrived_at=state.now
    )
    routing.requests[head.ticket] = request
    service = find_service(state, head.service)
    if service is None:
        reason = NotRunReason.NO_SERVICE if _is_configured(state) else NotRunReason.NOT_READY
        return _refuse(state, request, reason)
    if head.forwarded_by is None:
        state.retries.get_budget(service.name).deposit(service.policy.retry_budget)
    else:
        service.forwarded_in += 1
    refusal = _check_admission(state, service, request)
    if refusal is not None:
        return _refuse(state, request, refusal)
    if claims.needs_claim(head):
        request.phase = Phase.CLAIMING
        heapq.heappush(routing.claiming, (head.deadline, request.sequence, request))
        return [claims.begin_claim(state, head)]
    return _route(state, service, request)


def _cap_deadline(state: InstanceState, head: RequestHead) -> RequestHead:
    """Cap the deadline, since the quarantine of slots covers only the longest request."""
    latest = state.now + state.parameters.max_request_seconds
    if head.deadline <= latest:
        return head
    return msgspec.structs.replace(head, deadline=latest)


def _is_configured(state: InstanceState) -> bool:
    return state.configuration.is_ready()


def _check_admission(
    state: InstanceState, service: Service, request: Request
) -> NotRunReason | None:
    if request.deadline <= state.now:
        return NotRunReason.DEADLINE
    waiting = service.queue.classes[request.priority].size
    if not waiting:
        return None
    if waiting >= service.policy.max_queue:
        return NotRunReason.QUEUE_FULL
    if state.now + estimate_wait(service, request) > get_latest_start(service, request):
        return NotRunReason.DEADLINE
    return None


# Choice of a destination


def _route(state: InstanceState, service: Service, request: Request) -> list[Effect]:
    """Dispatch, forward or queue a request."""
    if has_closed_listeners(state):
        return _route_at_shutdown(state, service, request)
    effects = _try_start(state, service, request)
    if effects is not None:
        return effects
    if request.head.forwarded_by is not None and not service.slots.could_serve(request.labels):
        return _refuse(state, request, NotRunReason.NO_UPSTREAM)
    request.phase = Phase.WAITING
    service.queue.push(request)
    return [_log(request, "queued", "no-free-slot", {"queued": len(service.queue)})]


def _try_start(state: InstanceState, service: Service, request: Request) -> list[Effect] | None:
    if state.membership.is_list_attempt_pending:
        return None
    slots = service.slots
    if slots.free_slots:
        upstream = slots.choose(state.generator, request.labels, request.tried)
        if upstream is not None:
            return _dispatch(state, service, request, upstream)
    if service.free_slots_by_peer and _may_forward(request):
        peer = _choose_peer(state, service)
        if peer is not None:
            return _forward(state, service, request, peer, "no-free-slot")
    return None


def _may_forward(request: Request) -> bool:
    return request.head.forwarded_by is None and not request.was_forwarded


def _dispatch(
    state: InstanceState, service: Service, request: Request, upstream: Upstream
) -> list[Effect]:
    service.slots.acquire(upstream)
    request.phase = Phase.DISPATCHED
    request.upstream = upstream
    request.started_at = state.now
    request.tries += 1
    head = request.head
    view = upstream.view
    fields: dict[str, object] = {
        "upstream": view.upstream_id,
        "zone": view.availability_zone,
        "try": request.tries,
    }
    reason = "own-zone" if upstream.is_local else "other-zone"
    return [
        _log(request, "dispatched", reason, fields),
        DispatchToUpstream(
            ticket=head.ticket,
            request_id=head.request_id,
            upstream_id=view.upstream_id,
            address=view.address,
            deadline=head.deadline,
        ),
    ]


def _forward(
    state: InstanceState, service: Service, request: Request, peer: Digest, reason: str
) -> list[Effect]:
    _decrement_free_slots_of_peer(service, peer.incarnation)
    service.forwarded_out += 1
    request.phase = Phase.FORWARDED
    request.peer = peer.incarnation
    request.was_forwarded = True
    request.started_at = state.now
    request.tries += 1
    head = request.head
    fields: dict[str, object] = {"peer": peer.incarnation, "zone": peer.availability_zone}
    return [
        _log(request, "forwarded", reason, fields),
        ForwardToPeer(
            ticket=head.ticket,
            peer=peer.incarnation,
            address=peer.address,
            deadline=head.deadline,
        ),
    ]


def _decrement_free_slots_of_peer(service: Service, peer: IncarnationId) -> None:
    free = service.free_slots_by_peer.get(peer, 0) - 1
    if free > 0:
        service.free_slots_by_peer[peer] = free
    else:
        service.free_slots_by_peer.pop(peer, None)


def _choose_peer(state: InstanceState, service: Service) -> Digest | None:
    """Return a usable peer with a free slot: own zone first, the better of two sampled."""
    _drop_unusable_peers(state, service)
    members = state.membership.members
    own: list[IncarnationId] = []
    other: list[IncarnationId] = []
    for incarnation in service.free_slots_by_peer:
        digest = members[incarnation].digest
        is_own = digest.availability_zone == state.availability_zone
        (own if is_own else other).append(incarnation)
    candidates = own or other
    if not candidates:
        return None
    draw = state.generator.random
    first = candidates[int(draw() * len(candidates))]
    second = candidates[int(draw() * len(candidates))]
    chosen = (
        second if service.free_slots_by_peer[second] > service.free_slots_by_peer[first] else first
    )
    return members[chosen].digest


def _drop_unusable_peers(state: InstanceState, service: Service) -> None:
    unusable = [
        incarnation
        for incarnation in service.free_slots_by_peer
        if incarnation not in state.membership.members
        or get_member_state(state, incarnation) is not MemberState.ALIVE
    ]
    for incarnation in unusable:
        del service.free_slots_by_peer[incarnation]


def _start_queued(state: InstanceState, service: Service) -> list[Effect]:
    """Start queued requests while this instance or a peer has free slots."""
    effects: list[Effect] = []
    if state.membership.is_list_attempt_pending:
        return effects
    queue = service.queue
    while len(queue) and service.slots.free_slots:
        request = queue.pop_next(service.slots.has_free)
        if request is None:
            break
        effects += _start_on_held_slot(state, service, request)
    while service.free_slots_by_peer and len(queue):
        peer = _choose_peer(state, service)
        if peer is None:
            break
        request = _pop_forwardable(service)
        if request is None:
            break
        effects += _forward(state, service, request, peer, "queued")
    return effects


def _start_on_held_slot(state: InstanceState, service: Service, request: Request) -> list[Effect]:
    if get_latest_start(service, request) <= state.now:
        return _shed(state, service, request)
    generator = state.generator
    upstream = service.slots.choose(generator, request.labels, request.tried)
    if upstream is None:
        # Every untried upstream is busy; retrying on a tried one costs less than waiting.
        upstream = service.slots.choose(generator, request.labels)
    assert upstream is not None, (
        "no upstream has a free slot for a request that was popped as startable"
    )
    return _dispatch(state, service, request, upstream)


def _pop_forwardable(service: Service) -> Request | None:
    skipped: list[Request] = []
    found: Request | None = None
    while found is None and len(skipped) < MAX_SKIPPED_REQUESTS:
        request = service.queue.pop_next(lambda labels: True)
        if request is None:
            break
        if _may_forward(request):
            found = request
        else:
            skipped.append(request)
    for request in skipped:
        service.queue.push(request)
    return found


def _shed(state: InstanceState, service: Service, request: Request) -> list[Effect]:
    reason = NotRunReason.DEADLINE if service.slots.capacity else NotRunReason.NO_UPSTREAM
    return _refuse(state, request, reason)


# Answers


def _refuse(state: InstanceState, request: Request, reason: NotRunReason) -> list[Effect]:
    return _finish(state, request, NotRun(reason=reason))


def _finish(state: InstanceState, request: Request, outcome: Outcome) -> list[Effect]:
    """Answer a request, once, and record or release its claim.

    A request that an upstream may have run is never answered as not run.
    """
    head = request.head
    if isinstance(outcome, NotRun) and request.may_have_run is not None:
        outcome = Unknown(reason=request.may_have_run)
    elif isinstance(outcome, NotRun) and claims.may_have_run_before(state, head, outcome):
        outcome = Unknown(reason=UnknownReason.EARLIER_SEND)
    del state.routing.requests[head.ticket]
    service = state.routing.services.get(head.service)
    if service is not None and head.forwarded_by is not None:
        service.forwarded_in -= 1
    reason = outcome.reason.value if isinstance(outcome, NotRun | Unknown) else ""
    effects: list[Effect] = [_log(request, type(outcome).__name__.lower(), reason, {})]
    effects += claims.finish_claim(state, head, outcome)
    effects.append(AnswerCaller(ticket=head.ticket, outcome=outcome))
    return effects


def _log(request: Request, action: str, reason: str, fields: dict[str, object]) -> LogDecision:
    head = request.head
    return LogDecision(
        decision="route",
        fields={
            "action": action,
            "reason": reason,
            "ticket": head.ticket,
            "request": head.request_id,
            "service": head.service,
            **fields,
        },
    )


def handle_claim(state: InstanceState, event: ClaimResolved) -> list[Effect]:
    """Route a request that this instance has claimed; otherwise answer it or release the claim."""
    head = claims.resolve_claim(state, event.ticket, event.state)
    if head is None:
        return []
    request = state.routing.requests.get(event.ticket)
    if request is None:
        # The caller has been answered already; the claim must not block the same request id.
        return claims.finish_claim(state, head, NotRun(reason=NotRunReason.ABANDONED))
    if event.state is not ClaimState.CLAIMED:
        return _finish(state, request, claims.get_unclaimed_outcome(event.state))
    if request.deadline <= state.now:
        return _refuse(state, request, NotRunReason.DEADLINE)
    service = find_service(state, head.service)
    if service is None:
        return _refuse(state, request, NotRunReason.NO_SERVICE)
    return _route(state, service, request)


def handle_abandoned(state: InstanceState, event: RequestAbandoned) -> list[Effect]:
    """Drop a request whose caller disconnected, unless it may be running."""
    request = state.routing.requests.get(event.ticket)
    if request is None:
        return []
    request.is_abandoned = True
    if request.phase in (Phase.DISPATCHED, Phase.FORWARDED):
        return []
    if request.phase is Phase.WAITING:
        state.routing.services[request.head.service].queue.remove(request)
    return _refuse(state, request, NotRunReason.ABANDONED)


# Upstreams


def handle_answer(state: InstanceState, event: UpstreamAnswered) -> list[Effect]:
    """Free the slot and return the upstream's response to the caller, or retry.

    A response after the timeout frees the slot but is not returned.
    """
    effects = mark_leaving(state, (event.upstream_id,)) if event.leaving else []
    request = _match_dispatched_request(state, event.ticket, event.upstream_id)
    if request is None:
        return effects + _free_timed_out_slot(state, event.upstream_id, event.ticket)
    upstream = request.upstream
    assert upstream is not None
    service = state.routing.services[request.head.service]
    record_response_seconds(service, request.priority, state.now - request.started_at)
    if event.status >= FIRST_ERROR_STATUS and not event.not_run and not event.leaving:
        effects += _record_failure(state, service, upstream)
    elif not event.not_run:
        state.ejection.record_success(event.upstream_id, service.name)
    service.slots.release(upstream)
    effects += _resolve_answer(state, service, request, event)
    return effects + _after_release(state, service, upstream)


def _resolve_answer(
    state: InstanceState, service: Service, request: Request, event: UpstreamAnswered
) -> list[Effect]:
    if event.not_run:
        skips_budget_and_backoff = event.leaving
        return _retry_or_finish(
            state,
            service,
            request,
            NotRun(reason=NotRunReason.REFUSED_BY_UPSTREAM),
            skips_budget_and_backoff,
        )
    if event.status >= FIRST_ERROR_STATUS and request.head.idempotent:
        completed = Completed(upstream_id=event.upstream_id)
        request.may_have_run = UnknownReason.ERROR_STATUS
        return _retry_or_finish(state, service, request, completed)
    return _finish(state, request, Completed(upstream_id=event.upstream_id))


def handle_failure(state: InstanceState, event: UpstreamFailed) -> list[Effect]:
    """Handle an exchange without a response; after a timeout the slot stays in use."""
    request = _match_dispatched_request(state, event.ticket, event.upstream_id)
    if request is None:
        return []
    upstream = request.upstream
    assert upstream is not None
    service = state.routing.services[request.head.service]
    seconds = state.now - request.started_at
    effects: list[Effect] = []
    if not event.timed_out or seconds > TIMEOUT_FAILURE_FACTOR * service.mean_seconds:
        effects += _record_failure(state, service, upstream)
    if event.sent and event.timed_out:
        key = (event.upstream_id, event.ticket)
        state.routing.timed_out_slots[key] = TimedOutSlot(
            upstream=upstream,
            priority=request.priority,
            started_at=request.started_at,
            since=state.now,
        )
    else:
        service.slots.release(upstream)
    if not event.sent:
        outcome: Outcome = NotRun(reason=NotRunReason.NOT_SENT)
    else:
        request.may_have_run = _get_unknown_reason(event)
        outcome = Unknown(reason=request.may_have_run)
    effects += _retry_or_finish(state, service, request, outcome)
    return effects + _after_release(state, service, upstream)


def _get_unknown_reason(event: UpstreamFailed) -> UnknownReason:
    if event.timed_out:
        return UnknownReason.TIMEOUT
    if event.failure == UnknownReason.TRUNCATED.value:
        return UnknownReason.TRUNCATED
    return UnknownReason.CONNECTION_LOST


def handle_released(state: InstanceState, event: UpstreamReleased) -> list[Effect]:
    """Free a slot that stayed in use after a timeout."""
    return _free_timed_out_slot(state, event.upstream_id, event.ticket)


def _free_timed_out_slot(
    state: InstanceState, upstream_id: UpstreamId, ticket: Ticket
) -> list[Effect]:
    slot = state.routing.timed_out_slots.pop((upstream_id, ticket), None)
    if slot is None:
        return []
    upstream = slot.upstream
    service = state.routing.services[upstream.view.service]
    # Without timed-out requests only fast responses would count, which would hide an overload.
    record_response_seconds(service, slot.priority, state.now - slot.started_at)
    service.slots.release(upstream)
    return _after_release(state, service, upstream)


def _match_dispatched_request(
    state: InstanceState, ticket: Ticket, upstream_id: UpstreamId
) -> Request | None:
    """Return the request in flight at an upstream, which now counts as tried, or None."""
    request = state.routing.requests.get(ticket)
    if request is None or request.phase is not Phase.DISPATCHED:
        return None
    upstream = request.upstream
    if upstream is None or upstream.view.upstream_id != upstream_id:
        return None
    request.tried = (*request.tried, upstream_id)
    return request


def _after_release(state: InstanceState, service: Service, upstream: Upstream) -> list[Effect]:
    if not upstream.granted and not upstream.in_use:
        remove_upstream(state, service, upstream)
    if len(service.queue):
        return _start_queued(state, service)
    return []


def _record_failure(state: InstanceState, service: Service, upstream: Upstream) -> list[Effect]:
    upstream_id = upstream.view.upstream_id
    ejected = state.ejection.record_failure(
        upstream_id,
        service.name,
        len(service.slots.upstreams),
        state.parameters.max_ejected_share,
        state.now,
    )
    if not ejected:
        return []
    apply_limit(state, upstream)
    fields: dict[str, object] = {"upstream": upstream_id, "service": service.name}
    return [LogDecision(decision="upstream-ejected", fields=fields)]


def _retry_or_finish(
    state: InstanceState,
    service: Service,
    request: Request,
    outcome: Outcome,
    skips_budget_and_backoff: bool = False,
) -> list[Effect]:
    """Retry a request if that is allowed; otherwise finish it with this outcome.

    Parameters
    ----------
    skips_budget_and_backoff : bool
        Whether the retry takes no token of the retry budget and has no backoff. True after a
        refusal by a leaving upstream, so that its graceful shutdown does not fail requests.
    """
    if not _may_retry(state, service, request, outcome):
        return _finish(state, request, outcome)
    if skips_budget_and_backoff:
        return _route(state, service, request)
    delay = compute_backoff(state.generator, request.tries)
    if state.now + delay >= get_latest_start(service, request):
        return _finish(state, request, outcome)
    if not state.retries.get_budget(service.name).withdraw():
        return _finish(state, request, outcome)
    request.phase = Phase.BACKING_OFF
    request.upstream = None
    entry = (state.now + delay, request.sequence, request)
    heapq.heappush(state.routing.backing_off, entry)
    return [_log(request, "retried", type(outcome).__name__.lower(), {"delay": delay})]


def _may_retry(state: InstanceState, service: Service, request: Request, outcome: Outcome) -> bool:
    if request.is_abandoned or request.head.forwarded_by is not None:
        return False
    if request.tries >= MAX_TRIES or request.deadline <= state.now:
        return False
    return request.head.idempotent or isinstance(outcome, NotRun)


# Peers


def handle_peer_answer(state: InstanceState, event: PeerAnswered) -> list[Effect]:
    """Return a peer's outcome to the caller, or route the request again if it was not run."""
    matched = _match_forwarded_request(state, event.ticket, event.peer)
    if matched is None:
        return []
    service, request = matched
    if event.free_slots:
        service.free_slots_by_peer[event.peer] = event.free_slots
    else:
        service.free_slots_by_peer.pop(event.peer, None)
    effects = _resolve_peer_answer(state, service, request, event)
    if len(service.queue) and service.free_slots_by_peer:
        effects += _start_queued(state, service)
    return effects


def _resolve_peer_answer(
    state: InstanceState, service: Service, request: Request, event: PeerAnswered
) -> list[Effect]:
    if event.outcome is PeerOutcome.COMPLETED:
        if event.status >= FIRST_ERROR_STATUS and request.head.idempotent:
            request.may_have_run = UnknownReason.ERROR_STATUS
            return _retry_or_finish(state, service, request, Completed())
        return _finish(state, request, Completed())
    if event.outcome is PeerOutcome.UNKNOWN:
        request.may_have_run = _parse_unknown(event.reason)
        outcome = Unknown(reason=request.may_have_run)
        return _retry_or_finish(state, service, request, outcome)
    return _route_refused(state, service, request, _parse_not_run(event.reason))


def _route_refused(
    state: InstanceState, service: Service, request: Request, reason: NotRunReason
) -> list[Effect]:
    if request.is_abandoned or request.deadline <= state.now or request.tries >= MAX_TRIES:
        return _refuse(state, request, reason)
    return _route(state, service, request)


def _parse_unknown(reason: str) -> UnknownReason:
    try:
        return UnknownReason(reason)
    except ValueError:
        return UnknownReason.PEER_LOST


def _parse_not_run(reason: str) -> NotRunReason:
    try:
        return NotRunReason(reason)
    except ValueError:
        return NotRunReason.NO_UPSTREAM


def handle_peer_failure(state: InstanceState, event: PeerFailed) -> list[Effect]:
    """Route the request again if it was not sent; otherwise retry it only if it is idempotent."""
    matched = _match_forwarded_request(state, event.ticket, event.peer)
    if matched is None:
        return []
    service, request = matched
    service.free_slots_by_peer.pop(event.peer, None)
    if not event.sent:
        request.was_forwarded = False
        return _route_refused(state, service, request, NotRunReason.NOT_SENT)
    request.may_have_run = UnknownReason.PEER_LOST
    return _retry_or_finish(state, service, request, Unknown(reason=UnknownReason.PEER_LOST))


def _match_forwarded_request(
    state: InstanceState, ticket: Ticket, peer: IncarnationId
) -> tuple[Service, Request] | None:
    """Return the request in flight at a peer, no longer counted as forwarded, or None."""
    request = state.routing.requests.get(ticket)
    if request is None or request.phase is not Phase.FORWARDED or request.peer != peer:
        return None
    service = state.routing.services[request.head.service]
    service.forwarded_out -= 1
    request.peer = None
    return service, request


def handle_heartbeat(state: InstanceState, event: HeartbeatReceived) -> list[Effect]:
    """Record a peer's free slots and start queued requests on them."""
    digest = event.digest
    member = state.membership.members.get(digest.incarnation)
    if member is None or member.digest is not digest:
        return []
    effects: list[Effect] = []
    is_usable = digest.ready and digest.state is MemberState.ALIVE
    for name in digest.free_slots:
        if name not in state.routing.services:
            find_service(state, name)
    for service in state.routing.services.values():
        free = digest.free_slots.get(service.name, 0) if is_usable else 0
        if not free:
            service.free_slots_by_peer.pop(digest.incarnation, None)
            continue
        service.free_slots_by_peer[digest.incarnation] = free
        if len(service.queue):
            effects += _start_queued(state, service)
    return effects


def handle_slots_changed(state: InstanceState, event: Event) -> list[Effect]:
    """Start queued requests after `held_grants` processed an event that may have freed slots."""
    effects: list[Effect] = []
    for service in state.routing.services.values():
        if len(service.queue):
            effects += _start_queued(state, service)
    return effects


# Timers and shutdown


def handle_timer(state: InstanceState, event: TimerFired) -> list[Effect]:
    """Shed overdue requests, resume retries, and release quarantined slots and ejections."""
    if event.name != REQUEST_TIMER:
        return []
    effects = _shed_due(state)
    effects += _shed_claiming(state)
    effects += _resume_backed_off(state)
    effects += _release_quarantined(state)
    effects += _refresh_ejected(state)
    return effects


def _shed_due(state: InstanceState) -> list[Effect]:
    effects: list[Effect] = []
    for service in state.routing.services.values():
        if not len(service.queue):
            continue
        for request in _pop_overdue(state, service):
            effects += _shed(state, service, request)
        effects += _start_queued(state, service)
    return effects


def _pop_overdue(state: InstanceState, service: Service) -> list[Request]:
    def is_overdue(request: Request) -> bool:
        return get_latest_start(service, request) <= state.now

    return list(service.queue.pop_due(is_overdue))


def _shed_claiming(state: InstanceState) -> list[Effect]:
    """Answer requests whose claim is still pending at their deadline; it is released later."""
    effects: list[Effect] = []
    claiming = state.routing.claiming
    while claiming and claiming[0][0] <= state.now:
        request = heapq.heappop(claiming)[2]
        is_current = state.routing.requests.get(request.head.ticket) is request
        if is_current and request.phase is Phase.CLAIMING:
            effects += _refuse(state, request, NotRunReason.STORE_UNAVAILABLE)
    return effects


def _resume_backed_off(state: InstanceState) -> list[Effect]:
    effects: list[Effect] = []
    waiting = state.routing.backing_off
    while waiting and waiting[0][0] <= state.now:
        request = heapq.heappop(waiting)[2]
        if state.routing.requests.get(request.head.ticket) is not request:
            continue
        service = state.routing.services[request.head.service]
        effects += _route(state, service, request)
    return effects


def _release_quarantined(state: InstanceState) -> list[Effect]:
    effects: list[Effect] = []
    timed_out_slots = state.routing.timed_out_slots
    limit = state.now - state.parameters.quarantine
    while timed_out_slots:
        key, entry = next(iter(timed_out_slots.items()))
        if entry.since > limit:
            break
        effects += _free_timed_out_slot(state, *key)
    return effects


def _refresh_ejected(state: InstanceState) -> list[Effect]:
    ejection: EjectionState = state.ejection
    if not ejection.upstreams:
        return []
    effects: list[Effect] = []
    for upstream_id in ejection.collect_changes(state.now):
        upstream = state.routing.upstreams.get(upstream_id)
        if upstream is None:
            continue
        apply_limit(state, upstream)
        service = state.routing.services[upstream.view.service]
        if len(service.queue):
            effects += _start_queued(state, service)
    return effects


def drain_queues(state: InstanceState) -> list[Effect]:
    """Forward or refuse all queued requests, set all limits to 0 and report them."""
    effects: list[Effect] = []
    for upstream in state.routing.upstreams.values():
        apply_limit(state, upstream)
    for service in state.routing.services.values():
        for request in list(service.queue.pop_all()):
            effects += _route_at_shutdown(state, service, request)
    return effects + report_limits(state)


def _route_at_shutdown(state: InstanceState, service: Service, request: Request) -> list[Effect]:
    if _may_forward(request):
        peer = _choose_peer(state, service) or _choose_any_peer(state)
        if peer is not None:
            return _forward(state, service, request, peer, "shutting-down")
    return _refuse(state, request, NotRunReason.SHUTTING_DOWN)


def _choose_any_peer(state: InstanceState) -> Digest | None:
    """Return a peer whose queue may take the request, own zone first."""
    own: list[Digest] = []
    other: list[Digest] = []
    for incarnation, member in sorted(state.membership.members.items()):
        digest = member.digest
        if not digest.ready or get_member_state(state, incarnation) is not MemberState.ALIVE:
            continue
        is_own = digest.availability_zone == state.availability_zone
        (own if is_own else other).append(digest)
    candidates = own or other
    return state.generator.choice(candidates) if candidates else None


def is_drained(state: InstanceState) -> bool:
    """Return whether no request, pending claim or slot of a timed-out request is left."""
    routing = state.routing
    return not routing.requests and not routing.timed_out_slots and not state.claims.pending


HANDLERS = {
    RequestArrived: handle_arrival,
    RequestAbandoned: handle_abandoned,
    ClaimResolved: handle_claim,
    UpstreamAnswered: handle_answer,
    UpstreamFailed: handle_failure,
    UpstreamReleased: handle_released,
    PeerAnswered: handle_peer_answer,
    PeerFailed: handle_peer_failure,
    HeartbeatReceived: handle_heartbeat,
    PlatformListed: handle_slots_changed,
    PlatformListUnavailable: handle_slots_changed,
    ConfigurationCommitted: handle_slots_changed,
    ConfigurationReceived: handle_slots_changed,
    GrantUpdateReceived: handle_slots_changed,
    TimerFired: handle_timer,
}
