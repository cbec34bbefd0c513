"""Attempts on workers: starts, leases, stops, reports, and when an attempt is dead.

An attempt is dead, and its resources are free, only if (a) its worker confirmed that it ended,
(b) the platform shows the worker gone, or (c) every lease that any owner granted has provably
expired. Nothing else frees resources.
"""

from __future__ import annotations

from collections.abc import Iterable
from typing import TYPE_CHECKING

from .effects import (
    Effect,
    ForgetTasks,
    LogDecision,
    PollWorker,
    RenewLeases,
    StartTasks,
    StopTasks,
    TaskStart,
    ThrottleTasks,
)
from .events import AttemptsReported, LeasesRenewed, TimerFired, WorkerUnreachable
from .identifiers import AttemptId, TaskState, WorkerId, WorkloadKind
from .ownership import (
    AttemptResult,
    AttemptStatus,
    Ownership,
    Suspicion,
    WorkerStatus,
    append_records,
    get_placement_rules,
)
from .records import (
    AttemptEnded,
    AttemptReport,
    AttemptStarted,
    AttemptStopping,
    WorkerView,
)
from .shard import START_NOT_SENT, Attempt, find_worker_shard
from .worker_losses import build_lost_result, mark_suspects

if TYPE_CHECKING:
    from .state import InstanceState

LEASE_TIMER = "leases"
TIMERS: dict[str, str] = {LEASE_TIMER: "worker_poll_interval"}

# Reason with which a worker reports that it stopped or refused an attempt with an expired lease.
LEASE_EXPIRED = "lease-expired"
# A start with less lease time left than this is not sent.
MIN_START_LEASE_SECONDS = 0.2
# A running attempt with less lease left than this is renewed without waiting for the timer.
IMMEDIATE_RENEWAL_SECONDS = 2.0


def get_worker_status(ownership: Ownership, worker_id: WorkerId) -> WorkerStatus:
    """Return the reachability status of a worker; create it if there is none."""
    return ownership.workers.setdefault(worker_id, WorkerStatus())


def find_ownership(state: InstanceState, worker_id: WorkerId) -> Ownership | None:
    """Return the owned shard to which a worker belongs, or None."""
    view = state.membership.workers.get(worker_id)
    for ownership in state.ownerships.list_owned():
        if worker_id in ownership.get_shard_state().attempts_by_worker:
            return ownership
        if view is not None:
            shard = find_worker_shard(view, state.parameters.shards)
            if shard == ownership.shard:
                return ownership
    return None


def _group_by_worker(
    state: InstanceState, attempts: Iterable[Attempt]
) -> list[tuple[WorkerView, list[Attempt]]]:
    """Group attempts by worker, without those on workers that are not listed."""
    grouped: dict[WorkerId, list[Attempt]] = {}
    for attempt in attempts:
        grouped.setdefault(attempt.worker_id, []).append(attempt)
    workers = state.membership.workers
    return [(workers[w], found) for w, found in grouped.items() if w in workers]


def _get_attempt_ids(attempts: Iterable[Attempt]) -> tuple[AttemptId, ...]:
    return tuple(attempt.attempt_id for attempt in attempts)


# Starts


def start_committed(
    state: InstanceState, ownership: Ownership, placed: Iterable[AttemptId]
) -> list[Effect]:
    """Start the attempts whose placement was just committed.

    A placement that was cancelled meanwhile, or whose start window expired while the store was
    slow, is ended without a start.
    """
    starting: list[Attempt] = []
    for attempt_id in placed:
        attempt = ownership.get_shard_state().attempts.get(attempt_id)
        if attempt is None:
            continue
        has_lease_left = state.now < attempt.lease_until - MIN_START_LEASE_SECONDS
        if attempt.state is TaskState.PLACED and has_lease_left:
            starting.append(attempt)
            continue
        ended = TaskState.PENDING if attempt.requeue else TaskState.CANCELLED
        end_attempt(state, ownership, attempt, (ended, START_NOT_SENT, False), urgent=True)
    return send_starts(state, ownership, starting)


def send_starts(
    state: InstanceState, ownership: Ownership, attempts: Iterable[Attempt]
) -> list[Effect]:
    """Send the starts of placed attempts, one call per worker."""
    effects: list[Effect] = []
    for worker, found in _group_by_worker(state, attempts):
        starts = []
        for attempt in found:
            status = ownership.attempt_statuses[attempt.attempt_id]
            status.starts_sent += 1
            status.start_sent_at = state.now
            starts.append(_build_start(ownership, attempt))
        effects.append(
            StartTasks(worker_id=worker.worker_id, address=worker.address, starts=tuple(starts))
        )
    return effects


def _build_start(ownership: Ownership, attempt: Attempt) -> TaskStart:
    spec = ownership.get_shard_state().jobs[attempt.job_id].spec
    command: dict[str, object] = dict(spec.parameters)
    if spec.kind is WorkloadKind.SERVICE:
        command["service"] = {
            "name": spec.name,
            "slots": attempt.slots,
            "connections": attempt.connections,
        }
    else:
        command["run_seconds"] = spec.run_seconds
    return TaskStart(
        attempt_id=attempt.attempt_id,
        task_id=attempt.task_id,
        job_id=attempt.job_id,
        kind=spec.kind.value,
        resources=attempt.resources,
        lease_until=attempt.lease_until,
        command=command,
    )


# Leases


def handle_timer(state: InstanceState, event: TimerFired) -> list[Effect]:
    """Renew leases that are due; poll the workers that have attempts or do not answer."""
    if event.name != LEASE_TIMER:
        return []
    effects: list[Effect] = []
    for ownership in state.ownerships.list_owned():
        unreachable = [w for w, s in ownership.workers.items() if s.unreachable_since is not None]
        for worker_id in {
            **ownership.get_shard_state().attempts_by_worker,
            **dict.fromkeys(unreachable),
        }:
            worker = state.membership.workers.get(worker_id)
            if worker is None:
                continue
            if get_worker_status(ownership, worker_id).renew_due <= state.now:
                effects.extend(renew_leases(state, ownership, worker))
            if _is_poll_due(state, ownership, worker_id):
                effects.append(PollWorker(worker_id=worker_id, address=worker.address))
    return effects


def _is_poll_due(state: InstanceState, ownership: Ownership, worker_id: WorkerId) -> bool:
    """Return whether to poll a worker for its attempts now, and record the poll.

    Only a poll shows that a task has ended. Where only services run, the answer to a renewal shows
    a lost attempt soon enough, and polls only return the resource usage.
    """
    status = get_worker_status(ownership, worker_id)
    attempts = ownership.get_shard_state().attempts_by_worker.get(worker_id, {})
    is_quiet = status.unreachable_since is None and all(
        _is_running_service(ownership, attempt) for attempt in attempts.values()
    )
    interval = state.parameters.service_poll_interval if is_quiet else 0.0
    if state.now - status.polled_at < interval:
        return False
    status.polled_at = state.now
    return True


def _is_running_service(ownership: Ownership, attempt: Attempt) -> bool:
    spec = ownership.get_shard_state().jobs[attempt.job_id].spec
    return spec.kind is WorkloadKind.SERVICE and attempt.state is TaskState.RUNNING


def renew_leases(state: InstanceState, ownership: Ownership, worker: WorkerView) -> list[Effect]:
    """Renew the leases of all confirmed attempts on a worker that have no committed stop.

    An attempt whose stop is decided but not committed is still renewed: in a store outage the
    decision may never take effect.
    """
    status = get_worker_status(ownership, worker.worker_id)
    status.renew_due = state.now + state.parameters.renew_interval
    lease_until = state.now + state.parameters.lease_duration
    renewed: list[AttemptId] = []
    for attempt_id in ownership.get_shard_state().attempts_by_worker.get(worker.worker_id, {}):
        attempt_status = ownership.attempt_statuses[attempt_id]
        if attempt_status.confirmed_at is None or attempt_status.stop_committed:
            continue
        if attempt_status.result is not None:
            continue
        attempt_status.granted_until = max(attempt_status.granted_until, lease_until)
        renewed.append(attempt_id)
    if not renewed:
        return []
    return [
        RenewLeases(
            worker_id=worker.worker_id,
            address=worker.address,
            attempts=tuple(renewed),
            lease_until=lease_until,
        )
    ]


def handle_renewed(state: InstanceState, event: LeasesRenewed) -> list[Effect]:
    """Record which attempts a worker still runs, and poll it if it does not know others.

    An unknown attempt may just have ended; only a poll distinguishes it from a lost one.
    """
    ownership = find_ownership(state, event.worker_id)
    if ownership is None:
        return []
    get_worker_status(ownership, event.worker_id).unreachable_since = None
    for attempt_id in event.attempts:
        _record_start_success(state, ownership, attempt_id)
    worker = state.membership.workers.get(event.worker_id)
    attempts = ownership.get_shard_state().attempts
    if worker is None or not any(attempt_id in attempts for attempt_id in event.unknown):
        return []
    return [PollWorker(worker_id=worker.worker_id, address=worker.address)]


def _record_start_success(
    state: InstanceState, ownership: Ownership, attempt_id: AttemptId
) -> None:
    """Report a start as a success once the attempt has outlived its first lease.

    A worker on which everything fails right after the start would otherwise look healthy.
    """
    status = ownership.attempt_statuses.get(attempt_id)
    if status is None or status.start_succeeded:
        return
    status.start_succeeded = True
    attempt = ownership.get_shard_state().attempts[attempt_id]
    ownership.get_scheduler().report_start(attempt.worker_id, attempt.job_id, True, state.now)


# Stops


def request_stop(
    state: InstanceState, ownership: Ownership, attempt: Attempt, *, requeue: bool
) -> None:
    """Record that an attempt must stop; the stop is sent once that is committed."""
    record = AttemptStopping(at=state.now, attempt_id=attempt.attempt_id, requeue=requeue)
    append_records(state, ownership, [record])


def send_stops(
    state: InstanceState, ownership: Ownership, stopping: Iterable[AttemptId]
) -> list[Effect]:
    """Send the stops of attempts whose stop is committed, one call per worker."""
    effects: list[Effect] = []
    attempts = ownership.get_shard_state().attempts
    found = [attempts[a] for a in stopping if a in attempts]
    for attempt in found:
        status = ownership.attempt_statuses[attempt.attempt_id]
        status.stop_committed = True
        status.stop_sent_at = state.now
    for worker, on_worker in _group_by_worker(state, found):
        for checkpoint in (False, True):
            to_stop = [a for a in on_worker if _needs_checkpoint(ownership, a) is checkpoint]
            if to_stop:
                stop = StopTasks(
                    worker_id=worker.worker_id,
                    address=worker.address,
                    attempts=_get_attempt_ids(to_stop),
                    checkpoint=checkpoint,
                )
                effects.append(stop)
    return effects


def _needs_checkpoint(ownership: Ownership, attempt: Attempt) -> bool:
    spec = ownership.get_shard_state().jobs[attempt.job_id].spec
    return attempt.requeue and spec.kind is not WorkloadKind.SERVICE


def acknowledge_ended(
    state: InstanceState, ownership: Ownership, ended: Iterable[Attempt]
) -> list[Effect]:
    """Let the workers forget ended attempts whose end is committed."""
    effects: list[Effect] = []
    for worker, found in _group_by_worker(state, ended):
        ids = _get_attempt_ids(found)
        effects.append(
            ForgetTasks(worker_id=worker.worker_id, address=worker.address, attempts=ids)
        )
    for attempt in ended:
        ownership.uncommitted_ends.discard(attempt.attempt_id)
    return effects


# Reports


def handle_reports(state: InstanceState, event: AttemptsReported) -> list[Effect]:
    """Process a worker's reports on its attempts."""
    ownership = find_ownership(state, event.worker_id)
    if ownership is None:
        return []
    get_worker_status(ownership, event.worker_id).unreachable_since = None
    effects: list[Effect] = []
    unknown: list[AttemptReport] = []
    for report in event.reports:
        attempt = ownership.get_shard_state().attempts.get(report.attempt_id)
        if attempt is None or attempt.worker_id != event.worker_id:
            unknown.append(report)
        elif report.state == "running":
            effects.extend(_process_running(state, ownership, attempt, report))
        else:
            _process_not_running(state, ownership, attempt, report)
    effects.extend(_resolve_unknown(state, ownership, event.worker_id, unknown))
    if event.complete:
        _process_missing(state, ownership, event)
    return effects


def _process_running(
    state: InstanceState, ownership: Ownership, attempt: Attempt, report: AttemptReport
) -> list[Effect]:
    status = ownership.attempt_statuses[attempt.attempt_id]
    effects: list[Effect] = []
    if attempt.state is TaskState.PLACED:
        status.confirmed_at = state.now
        record = AttemptStarted(at=state.now, attempt_id=attempt.attempt_id, address=report.address)
        append_records(state, ownership, [record], urgent=False)
        get_worker_status(ownership, attempt.worker_id).renew_due = state.now
    worker = state.membership.workers.get(attempt.worker_id)
    if worker is None or attempt.state is not TaskState.RUNNING:
        return effects
    if status.granted_until - state.now < IMMEDIATE_RENEWAL_SECONDS:
        effects.extend(renew_leases(state, ownership, worker))
    effects.extend(_check_usage(state, ownership, attempt, report, worker))
    return effects


def _check_usage(
    state: InstanceState,
    ownership: Ownership,
    attempt: Attempt,
    report: AttemptReport,
    worker: WorkerView,
) -> list[Effect]:
    """Enforce a task's declared resources: throttle excess processors, stop on excess memory."""
    used = report.used
    status = ownership.attempt_statuses[attempt.attempt_id]
    if used is None:
        return []
    if used.memory_mb > attempt.resources.memory_mb and not status.over_memory:
        status.over_memory = True
        request_stop(state, ownership, attempt, requeue=True)
        return [_log_attempt("task-over-memory", attempt, str(used.memory_mb))]
    if used.processors > attempt.resources.processors and not status.throttled:
        status.throttled = True
        ids = (attempt.attempt_id,)
        return [
            ThrottleTasks(worker_id=worker.worker_id, address=worker.address, attempts=ids),
            _log_attempt("task-throttled", attempt, str(used.processors)),
        ]
    return []


def _log_attempt(decision: str, attempt: Attempt, detail: str) -> LogDecision:
    fields: dict[str, object] = {
        "attempt": attempt.attempt_id,
        "worker": attempt.worker_id,
        "detail": detail,
    }
    return LogDecision(decision=decision, fields=fields)


def _process_not_running(
    state: InstanceState, ownership: Ownership, attempt: Attempt, report: AttemptReport
) -> None:
    """Process a report that an attempt ended or that its start was refused."""
    status = ownership.attempt_statuses[attempt.attempt_id]
    if report.state == "refused" and status.confirmed_at is not None:
        return  # A repeated start is refused because the first one succeeded.
    if report.state == "refused" and report.reason != LEASE_EXPIRED and status.starts_sent > 1:
        # An earlier start may still arrive; only a worker with a record of a stop refuses it.
        if attempt.state is not TaskState.STOPPING:
            request_stop(state, ownership, attempt, requeue=True)
        return
    result = _classify_end(state, ownership, attempt, report)
    if _may_late_start_arrive(state, attempt, status, report):
        status.result = result
        ownership.transitional_attempts.add(attempt.attempt_id)
        return
    _report_to_scheduler(state, ownership, attempt, report)
    end_attempt(state, ownership, attempt, result)


def _may_late_start_arrive(
    state: InstanceState, attempt: Attempt, status: AttemptStatus, report: AttemptReport
) -> bool:
    """Return whether a former owner's start may reach the worker after this report.

    A worker that has a record of the stop refuses such a start. Without one it refuses the start
    only once the lease in it has expired.
    """
    if status.is_placed_by_this_owner or report.state in ("done", "failed"):
        return False
    return state.now <= attempt.lease_until + state.parameters.max_clock_skew


def _classify_end(
    state: InstanceState, ownership: Ownership, attempt: Attempt, report: AttemptReport
) -> AttemptResult:
    """Return the task's state after an ended attempt, the reason, and whether it is a failure."""
    job = ownership.get_shard_state().jobs[attempt.job_id]
    is_service = job.spec.kind is WorkloadKind.SERVICE
    reason = report.reason or report.state
    if report.state == "done" and not is_service:
        return TaskState.DONE, reason, False
    if attempt.state is TaskState.STOPPING:
        over_memory = ownership.attempt_statuses[attempt.attempt_id].over_memory
        if not attempt.requeue:
            return TaskState.CANCELLED, reason, False
        if not over_memory:
            return build_lost_result(ownership, attempt, reason)
        reason = "memory-exceeded"
    if report.reason == LEASE_EXPIRED:
        return TaskState.PENDING, reason, False
    failures = ownership.get_shard_state().tasks[attempt.task_id].failures + 1
    rules = get_placement_rules(state, ownership, job)
    if failures >= rules.policy.max_attempts and not is_service:
        return TaskState.FAILED, reason, True
    return TaskState.PENDING, reason, True


def _report_to_scheduler(
    state: InstanceState, ownership: Ownership, attempt: Attempt, report: AttemptReport
) -> None:
    """Report to the scheduler whether the attempt succeeded on its worker."""
    if report.reason == LEASE_EXPIRED or attempt.state is TaskState.STOPPING:
        return
    succeeded = report.state == "done"
    ownership.get_scheduler().report_start(attempt.worker_id, attempt.job_id, succeeded, state.now)


def end_attempt(
    state: InstanceState,
    ownership: Ownership,
    attempt: Attempt,
    result: AttemptResult,
    *,
    urgent: bool = False,
) -> None:
    """Record the end of an attempt that is provably dead."""
    ended, reason, count_as_failure = result
    status = ownership.attempt_statuses.get(attempt.attempt_id)
    record = AttemptEnded(
        at=state.now,
        attempt_id=attempt.attempt_id,
        state=ended,
        reason=reason,
        count_as_failure=count_as_failure,
        count_as_loss=status is not None and status.suspicion is not Suspicion.NONE,
    )
    append_records(state, ownership, [record], urgent=urgent)


def _resolve_unknown(
    state: InstanceState,
    ownership: Ownership,
    worker_id: WorkerId,
    reports: list[AttemptReport],
) -> list[Effect]:
    """Stop running attempts that have ended for this shard, and let workers forget ended ones.

    Attempts of a later epoch belong to an owner that this instance does not know yet, and are
    skipped, like those whose end is not committed.
    """
    worker = state.membership.workers.get(worker_id)
    if worker is None:
        return []
    epoch = ownership.get_shard_state().epoch
    known = [
        r
        for r in reports
        if r.attempt_id not in ownership.uncommitted_ends and _parse_epoch(r.attempt_id) <= epoch
    ]
    running = tuple(r.attempt_id for r in known if r.state == "running")
    ended = tuple(r.attempt_id for r in known if r.state in ("done", "failed"))
    effects: list[Effect] = []
    if running:
        effects.append(StopTasks(worker_id=worker_id, address=worker.address, attempts=running))
    if ended:
        effects.append(ForgetTasks(worker_id=worker_id, address=worker.address, attempts=ended))
    return effects


def _parse_epoch(attempt_id: AttemptId) -> float:
    """Return the epoch in an attempt id; infinity for ids of another form, to skip them."""
    parts = attempt_id.rsplit(".", 2)
    if len(parts) != 3 or not parts[1].isdecimal():
        return float("inf")
    return int(parts[1])


def _process_missing(state: InstanceState, ownership: Ownership, event: AttemptsReported) -> None:
    """Stop the attempts that are missing from a worker's complete report.

    The stop makes the worker refuse a start that is still in transit; only its confirmation ends
    the attempt. A worker that has lost an attempt which ran there has restarted.
    """
    reported = {report.attempt_id for report in event.reports}
    on_worker = ownership.get_shard_state().attempts_by_worker.get(event.worker_id, {})
    missing = [attempt for attempt in on_worker.values() if attempt.attempt_id not in reported]
    lost: list[Attempt] = []
    unstarted: list[Attempt] = []
    for attempt in missing:
        status = ownership.attempt_statuses[attempt.attempt_id]
        if attempt.state is TaskState.RUNNING:
            if status.confirmed_at is not None and status.confirmed_at < event.requested_at:
                lost.append(attempt)
        elif attempt.state is TaskState.PLACED and not status.is_placed_by_this_owner:
            unstarted.append(attempt)
    mark_suspects(ownership, lost, state.now)
    for attempt in lost + unstarted:
        request_stop(state, ownership, attempt, requeue=True)


def handle_unreachable(state: InstanceState, event: WorkerUnreachable) -> list[Effect]:
    """Record since when a worker does not answer."""
    ownership = find_ownership(state, event.worker_id)
    if ownership is not None:
        status = get_worker_status(ownership, event.worker_id)
        if status.unreachable_since is None:
            status.unreachable_since = state.now
    return []


HANDLERS = {
    TimerFired: handle_timer,
    AttemptsReported: handle_reports,
    LeasesRenewed: handle_renewed,
    WorkerUnreachable: handle_unreachable,
}
