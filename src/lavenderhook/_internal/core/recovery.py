"""Takeover and reconciliation of attempts in transitional or unknown states.

The reconciler checks every transitional attempt at each interval, so that no lost response, dead
worker or missed event leaves an attempt, or its reserved resources, behind indefinitely.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from .attempts import (
    MIN_START_LEASE_SECONDS,
    end_attempt,
    get_worker_status,
    renew_leases,
    request_stop,
    send_starts,
    send_stops,
)
from .effects import Effect, LogDecision, PollWorker
from .events import TimerFired
from .fair_scheduler import FairScheduler
from .grant_handlers import restore_grants
from .identifiers import (
    AttemptId,
    AvailabilityZone,
    IncarnationId,
    RackId,
    TaskState,
    WorkerId,
    WorkloadKind,
)
from .membership import is_list_newer, may_be_unreadable
from .ownership import (
    AttemptStatus,
    Ownership,
    append_records,
    build_placement_rules,
    queue_task,
)
from .records import IncarnationRetired, WorkerView
from .resources import ZERO_RESOURCES, Resources
from .scheduler import SchedulableWorker, Scheduler
from .services import reconcile_services
from .shard import Attempt, find_worker_shard
from .worker_losses import MAX_SEPARATE_LOSSES, build_lost_result, mark_suspects

if TYPE_CHECKING:
    from .state import InstanceState

RECOVERY_TIMER = "recovery"
TIMERS: dict[str, str] = {RECOVERY_TIMER: "worker_poll_interval"}

# Order in which attempts are stopped on a worker whose capacity has become too small.
_STOP_RANKS = {WorkloadKind.BATCH: 0, WorkloadKind.GANG: 1, WorkloadKind.SERVICE: 2}


def build_scheduler(state: InstanceState) -> Scheduler:
    """Return an empty scheduler for a shard."""
    return FairScheduler(
        state.generator,
        max_ejected_share=state.parameters.max_ejected_share,
        lower_class_share=state.parameters.lower_class_share,
    )


# Takeover


def restore_shard(state: InstanceState, ownership: Ownership) -> list[Effect]:
    """Rebuild the scheduler and the status of the attempts in the log.

    Leases of running attempts are renewed at once, since how much of them is left is unknown.
    Workers are polled for the state of placed attempts.
    """
    shard_state = ownership.get_shard_state()
    ownership.applied_version = state.configuration.version
    ownership.scheduler = build_scheduler(state)
    ownership.scheduler.update_quotas(state.configuration.list_quotas())
    restore_grants(ownership)
    ownership.views.clear()
    ownership.schedulable = ()
    refresh_workers(state, ownership)
    for attempt in shard_state.attempts.values():
        _restore_attempt(state, ownership, attempt)
    waiting = [t for t in shard_state.tasks.values() if t.state is TaskState.PENDING]
    for task in sorted(waiting, key=lambda task: task.queued_at):
        queue_task(state, ownership, task)
    _schedule_row_deletion(state, ownership)
    stopping = [a.attempt_id for a in shard_state.attempts.values() if _is_stopping(a)]
    effects: list[Effect] = []
    for worker_id in shard_state.attempts_by_worker:
        worker = state.membership.workers.get(worker_id)
        if worker is not None:
            effects.extend(renew_leases(state, ownership, worker))
            effects.append(PollWorker(worker_id=worker_id, address=worker.address))
    effects.extend(send_stops(state, ownership, stopping))
    return effects


def _is_stopping(attempt: Attempt) -> bool:
    return attempt.state is TaskState.STOPPING


def _restore_attempt(state: InstanceState, ownership: Ownership, attempt: Attempt) -> None:
    running = attempt.state is TaskState.RUNNING
    ownership.attempt_statuses[attempt.attempt_id] = AttemptStatus(
        is_placed_by_this_owner=False,
        granted_until=attempt.lease_until,
        starts_sent=1,
        confirmed_at=state.now if running else None,
        stop_committed=_is_stopping(attempt),
    )
    if not running:
        ownership.transitional_attempts.add(attempt.attempt_id)
    job = ownership.get_shard_state().jobs[attempt.job_id]
    ownership.get_scheduler().reserve(
        attempt.worker_id, attempt.resources, job.spec.team, attempt.job_id
    )


def _schedule_row_deletion(state: InstanceState, ownership: Ownership) -> None:
    """Schedule deletion of rows under the snapshot that the former owner may not have deleted."""
    head = ownership.head
    if head is None or head.snapshot_log == 0:
        return
    first = max(1, head.snapshot_log - 2 * state.parameters.snapshot_every)
    ownership.deletable_log_rows = list(range(first, head.snapshot_log + 1))


# Workers and configuration


def refresh_workers(state: InstanceState, ownership: Ownership) -> None:
    """Update the scheduler's workers of the shard if they or their labels changed.

    A worker that is not listed any more is kept, as draining, until all attempts on it are
    provably dead; otherwise its reservations would be lost if it were listed again. A worker that
    does not answer, or whose capacity is below its reservations, counts as draining too. The
    capacity of the latter counts as at least its reservations until the excess attempts are dead.
    """
    listed = {
        worker.worker_id: worker
        for worker in state.membership.workers.values()
        if find_worker_shard(worker, state.parameters.shards) == ownership.shard
    }
    occupied = ownership.get_shard_state().attempts_by_worker
    ownership.views = {w: v for w, v in ownership.views.items() if w in occupied}
    ownership.views.update(listed)
    workers = [_describe_worker(state, ownership, view) for view in listed.values()]
    for worker_id in occupied:
        if worker_id not in listed:
            view = ownership.views.get(worker_id) or _build_unlisted_worker(worker_id)
            workers.append(SchedulableWorker(view=view, labels={}, draining=True))
    schedulable = tuple(workers)
    if schedulable == ownership.schedulable:
        return
    ownership.schedulable = schedulable
    ownership.get_scheduler().update_workers(schedulable)
    ownership.needs_decision = True
    ownership.capacity_checked = False


def _describe_worker(
    state: InstanceState, ownership: Ownership, view: WorkerView
) -> SchedulableWorker:
    configuration = state.configuration
    status = ownership.workers.get(view.worker_id)
    unreachable = status is not None and status.unreachable_since is not None
    reserved = ownership.get_shard_state().get_reserved(view.worker_id)
    labels = configuration.label_worker(view)
    if not reserved.fits(view.capacity):
        enlarged = msgspec.structs.replace(view, capacity=_compute_maximum(view.capacity, reserved))
        return SchedulableWorker(view=enlarged, labels=labels, draining=True)
    draining = view.leaving or unreachable or configuration.is_draining(view)
    return SchedulableWorker(view=view, labels=labels, draining=draining)


def _compute_maximum(first: Resources, second: Resources) -> Resources:
    """Return the larger amount in each dimension."""
    return Resources(
        max(first.processors, second.processors),
        max(first.memory_mb, second.memory_mb),
        max(first.accelerators, second.accelerators),
    )


def _build_unlisted_worker(worker_id: WorkerId) -> WorkerView:
    """Return a view of an unlisted worker of which this owner has no earlier view."""
    return WorkerView(
        worker_id=worker_id,
        address="",
        availability_zone=AvailabilityZone(""),
        rack=RackId(""),
        capacity=ZERO_RESOURCES,
        leaving=True,
    )


def refresh_placement_rules(state: InstanceState, ownership: Ownership) -> None:
    """Apply a changed configuration to the workers and the pending tasks."""
    ownership.applied_version = state.configuration.version
    ownership.get_scheduler().update_quotas(state.configuration.list_quotas())
    refresh_workers(state, ownership)
    for job_id, job in ownership.get_shard_state().jobs.items():
        if job.ended_at is not None:
            continue
        rules = build_placement_rules(state, job.spec.kind, job.spec.labels)
        if ownership.placement_rules.get(job_id) == rules:
            continue
        ownership.placement_rules[job_id] = rules
        for task in job.tasks.values():
            if task.state is TaskState.PENDING:
                queue_task(state, ownership, task)


# Reconciliation


def handle_timer(state: InstanceState, event: TimerFired) -> list[Effect]:
    """Reconcile workers, attempts in transitional states and services."""
    if event.name != RECOVERY_TIMER:
        return []
    effects: list[Effect] = []
    for ownership in state.ownerships.list_owned():
        _retire_incarnations(state, ownership)
        refresh_workers(state, ownership)
        effects.extend(_reconcile_workers(state, ownership))
        effects.extend(_reconcile_attempts(state, ownership))
        _stop_excess_attempts(state, ownership)
        effects.extend(reconcile_services(state, ownership))
    return effects


def _reconcile_workers(state: InstanceState, ownership: Ownership) -> list[Effect]:
    effects: list[Effect] = []
    occupied = ownership.get_shard_state().attempts_by_worker
    gone = {
        worker_id: found
        for worker_id, on_worker in occupied.items()
        if worker_id not in state.membership.workers
        and (found := [a for a in on_worker.values() if _is_worker_gone(state, a)])
    }
    for worker_id in list(occupied):
        if worker_id in gone:
            is_joint = len(gone) > MAX_SEPARATE_LOSSES
            effects.append(_end_gone(state, ownership, worker_id, gone[worker_id], is_joint))
        elif _is_worker_unreachable(state, ownership, worker_id):
            _stop_unreachable(state, ownership, worker_id)
    return effects


def _end_gone(
    state: InstanceState,
    ownership: Ownership,
    worker_id: WorkerId,
    gone: list[Attempt],
    is_joint: bool,
) -> Effect:
    """End the attempts on a worker that is gone; `is_joint` if others are gone as well."""
    view = ownership.views.get(worker_id)
    is_crash = not is_joint and (view is None or not view.leaving)
    if is_crash:
        mark_suspects(ownership, gone, state.now)
    for attempt in gone:
        # The end of a gang member changes the state of the others, but never removes them.
        result = build_lost_result(ownership, attempt, "worker-gone")
        end_attempt(state, ownership, attempt, result)
    fields: dict[str, object] = {
        "worker": worker_id,
        "attempts": len(gone),
        "is_crash": is_crash,
    }
    return LogDecision(decision="worker-gone", fields=fields)


def _is_worker_gone(state: InstanceState, attempt: Attempt) -> bool:
    """Return whether the platform's list is recent enough to show that an unlisted worker is gone.

    In a list that is older than the attempt, a missing worker may be new rather than gone.
    """
    is_newer = is_list_newer(state, attempt.placed_at)
    return is_newer and not may_be_unreadable(state, attempt.worker_id)


def _is_worker_unreachable(state: InstanceState, ownership: Ownership, worker_id: WorkerId) -> bool:
    since = get_worker_status(ownership, worker_id).unreachable_since
    return since is not None and state.now - since > state.parameters.worker_unreachable_after


def _stop_unreachable(state: InstanceState, ownership: Ownership, worker_id: WorkerId) -> None:
    """Stop renewing leases on a worker that does not answer, so that they expire.

    In a store outage the tasks cannot be started elsewhere, so renewal continues.
    """
    if ownership.is_store_delayed():
        return
    for attempt in list(ownership.get_shard_state().attempts_by_worker[worker_id].values()):
        placed_here = ownership.attempt_statuses[attempt.attempt_id].is_placed_by_this_owner
        placed_elsewhere = attempt.state is TaskState.PLACED and not placed_here
        if attempt.state is TaskState.RUNNING or placed_elsewhere:
            request_stop(state, ownership, attempt, requeue=True)


def _reconcile_attempts(state: InstanceState, ownership: Ownership) -> list[Effect]:
    restarts: list[Attempt] = []
    stops: list[AttemptId] = []
    for attempt_id in list(ownership.transitional_attempts):
        attempt = ownership.get_shard_state().attempts.get(attempt_id)
        if attempt is None:
            ownership.transitional_attempts.discard(attempt_id)
            continue
        status = ownership.attempt_statuses[attempt_id]
        if status.result is not None:
            _end_after_former_lease(state, ownership, attempt, status)
        elif attempt.state is TaskState.PLACED and status.is_placed_by_this_owner:
            if _reconcile_placed(state, ownership, attempt, status):
                restarts.append(attempt)
        elif attempt.state is TaskState.STOPPING and status.stop_committed:
            if are_leases_expired(state, ownership, attempt):
                end_attempt(
                    state, ownership, attempt, build_lost_result(ownership, attempt, "lease-lapsed")
                )
            elif state.now - status.stop_sent_at >= state.parameters.worker_poll_interval:
                stops.append(attempt_id)
    return [
        *send_starts(state, ownership, restarts),
        *send_stops(state, ownership, stops),
    ]


def _end_after_former_lease(
    state: InstanceState, ownership: Ownership, attempt: Attempt, status: AttemptStatus
) -> None:
    """Record a confirmed result once the lease of a former owner's start has expired."""
    assert status.result is not None
    if state.now > attempt.lease_until + state.parameters.max_clock_skew:
        ended, reason, failure = status.result
        if attempt.state is TaskState.STOPPING and not attempt.requeue:
            ended = TaskState.CANCELLED
        end_attempt(state, ownership, attempt, (ended, reason, failure))


def _reconcile_placed(
    state: InstanceState, ownership: Ownership, attempt: Attempt, status: AttemptStatus
) -> bool:
    """End a placement that was never confirmed; return whether to send its start again."""
    if status.starts_sent == 0:
        return False
    if are_leases_expired(state, ownership, attempt):
        ownership.get_scheduler().report_start(attempt.worker_id, attempt.job_id, False, state.now)
        end_attempt(
            state, ownership, attempt, build_lost_result(ownership, attempt, "start-not-confirmed")
        )
        return False
    overdue = state.now - status.start_sent_at >= state.parameters.worker_poll_interval
    return overdue and state.now < attempt.lease_until - MIN_START_LEASE_SECONDS


def are_leases_expired(state: InstanceState, ownership: Ownership, attempt: Attempt) -> bool:
    """Return whether every lease that any owner granted to an attempt has expired.

    Only for attempts that this owner does not renew. For an attempt of an earlier epoch, the
    former owners must have been gone for longer than a lease, since any of them may have renewed
    it until then.
    """
    status = ownership.attempt_statuses[attempt.attempt_id]
    latest_expiry = status.granted_until
    if not status.is_placed_by_this_owner:
        for owner in ownership.get_shard_state().list_former_owners(attempt):
            gone_at = _find_owner_end_time(state, ownership, owner.owner)
            if gone_at is None:
                return False
            latest_expiry = max(latest_expiry, gone_at + state.parameters.lease_duration)
    return state.now > latest_expiry + state.parameters.max_clock_skew


def _find_owner_end_time(
    state: InstanceState, ownership: Ownership, incarnation: IncarnationId
) -> float | None:
    if incarnation == state.incarnation:
        return ownership.owned_since
    return ownership.get_shard_state().retired.get(incarnation)


def _retire_incarnations(state: InstanceState, ownership: Ownership) -> None:
    """Record former owners and holders of grants that the platform shows gone."""
    shard_state = ownership.get_shard_state()
    relevant = {owner.owner for owner in shard_state.owners.values()}
    for slots in shard_state.grants.values():
        relevant.update(slots)
    for incarnation in sorted(relevant - set(shard_state.retired)):
        at = _find_gone_time(state, ownership, incarnation)
        if at is not None:
            record = IncarnationRetired(at=at, incarnation=incarnation)
            append_records(state, ownership, [record], urgent=False)


def _find_gone_time(
    state: InstanceState, ownership: Ownership, incarnation: IncarnationId
) -> float | None:
    """Return when an incarnation was first seen gone, or None if it may still act.

    An incarnation that this instance never saw listed counts as gone only if the list was read
    after the takeover by more than the list lag and clock skew, contains this instance, and the
    incarnation sends no heartbeats.
    """
    view = state.membership
    if incarnation == state.incarnation or incarnation in view.listed:
        return None
    if incarnation not in view.gone and may_be_unreadable(state, incarnation):
        return None
    if incarnation in view.gone:
        return view.gone[incarnation]
    if view.listed_at is None or state.incarnation not in view.listed:
        return None
    member = view.members.get(incarnation)
    if (
        member is not None
        and state.now - member.last_heartbeat_at < 2 * state.parameters.takeover_after
    ):
        return None
    return view.listed_at if is_list_newer(state, ownership.owned_since) else None


def _stop_excess_attempts(state: InstanceState, ownership: Ownership) -> None:
    """Stop attempts on workers whose capacity is below what their attempts reserve.

    Attempts that are stopping already do not count.
    """
    if ownership.capacity_checked:
        return
    ownership.capacity_checked = True
    shard_state = ownership.get_shard_state()
    for worker_id, on_worker in list(shard_state.attempts_by_worker.items()):
        worker = state.membership.workers.get(worker_id)
        if worker is None:
            continue
        remaining = [a for a in on_worker.values() if a.state is not TaskState.STOPPING]
        remaining.sort(key=lambda a: _compute_stop_rank(ownership, a))
        reserved = sum((a.resources for a in remaining), start=ZERO_RESOURCES)
        for attempt in remaining:
            if reserved.fits(worker.capacity):
                break
            request_stop(state, ownership, attempt, requeue=True)
            reserved = reserved - attempt.resources


def _compute_stop_rank(ownership: Ownership, attempt: Attempt) -> tuple[int, float]:
    kind = ownership.get_shard_state().jobs[attempt.job_id].spec.kind
    return _STOP_RANKS[kind], -attempt.placed_at


HANDLERS = {TimerFired: handle_timer}
