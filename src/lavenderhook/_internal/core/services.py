"""Reconciliation of the jobs of declared services with the configuration."""

from __future__ import annotations

from collections.abc import Container, Mapping
from typing import TYPE_CHECKING

import msgspec

from .attempts import request_stop
from .declarations import Workload
from .effects import Effect, LogDecision
from .identifiers import AttemptId, CallerName, JobId, TaskState, UpstreamId, WorkloadKind
from .ownership import Ownership, append_records, get_placement_rules
from .records import JobAccepted, JobCancelled, JobResized, JobSpec, UpstreamView, WorkerView
from .shard import Attempt, Job, ShardState, find_job_shard
from .submission import SERVICE_PREFIX

if TYPE_CHECKING:
    from .state import InstanceState

SERVICE_CALLER = CallerName("operators")
# An upstream is drained for at least this long, so that every holder of its grants is notified.
MIN_DRAIN_SECONDS = 1.0
# At most this share of a service's tasks, but at least one, is replaced at a time.
MAX_SURGE_SHARE = 0.25


def list_upstreams(
    shard_state: ShardState,
    workers: Mapping[str, WorkerView],
    draining: Container[AttemptId],
) -> list[UpstreamView]:
    """Return the upstreams of the services of a shard, with their total slots, granted or not.

    Parameters
    ----------
    shard_state : ShardState
        State of an owned shard.
    workers : mapping of str to WorkerView
        Workers as listed by the platform.
    draining : container of AttemptId
        Attempts whose upstreams are being drained.
    """
    upstreams = []
    for job in shard_state.jobs.values():
        if job.spec.kind is not WorkloadKind.SERVICE:
            continue
        for task in job.tasks.values():
            attempt = shard_state.attempts.get(task.attempt_id) if task.attempt_id else None
            if attempt is None or not attempt.address:
                continue
            worker = workers.get(attempt.worker_id)
            if worker is not None:
                upstreams.append(_build_upstream(job, attempt, worker, draining))
    return upstreams


def _build_upstream(
    job: Job, attempt: Attempt, worker: WorkerView, draining: Container[AttemptId]
) -> UpstreamView:
    stopping = attempt.state is TaskState.STOPPING
    return UpstreamView(
        upstream_id=UpstreamId(attempt.attempt_id),
        service=job.spec.name,
        labels=job.spec.labels,
        address=attempt.address,
        worker_id=attempt.worker_id,
        availability_zone=worker.availability_zone,
        slots=attempt.slots,
        connections=attempt.connections,
        leaving=stopping or worker.leaving or attempt.attempt_id in draining,
    )


def list_draining(ownership: Ownership) -> set[AttemptId]:
    """Return the attempts whose upstreams are being drained."""
    return {a for a, status in ownership.attempt_statuses.items() if status.drain_since is not None}


def build_service_spec(workload: Workload, count: int) -> JobSpec:
    """Return the job of a declared service."""
    return JobSpec(
        job_id=JobId(SERVICE_PREFIX + workload.name),
        kind=WorkloadKind.SERVICE,
        name=workload.name,
        caller=SERVICE_CALLER,
        team=workload.team,
        labels=dict(workload.labels),
        resources=workload.resources,
        count=count,
        run_seconds=workload.run_seconds,
        slots=workload.slots,
        connections=workload.connections,
        idempotent=workload.idempotent,
        parameters=dict(workload.parameters),
    )


def reconcile_services(state: InstanceState, ownership: Ownership) -> list[Effect]:
    """Create, resize, drain and end service jobs to match the configuration."""
    if not state.configuration.is_ready() or ownership.is_store_delayed():
        return []
    declared: set[JobId] = set()
    effects: list[Effect] = []
    for workload in state.configuration.list_workloads():
        if workload.type is not WorkloadKind.SERVICE:
            continue
        spec = build_service_spec(workload, workload.count)
        if find_job_shard(spec.job_id, state.parameters.shards) != ownership.shard:
            continue
        declared.add(spec.job_id)
        effects.extend(_reconcile_service(state, ownership, spec))
    for job_id, job in list(ownership.get_shard_state().jobs.items()):
        if job.spec.kind is WorkloadKind.SERVICE and job_id not in declared:
            _remove_service(state, ownership, job)
    _stop_drained(state, ownership)
    return effects


def _reconcile_service(state: InstanceState, ownership: Ownership, spec: JobSpec) -> list[Effect]:
    job = ownership.get_shard_state().jobs.get(spec.job_id)
    if job is None or job.ended_at is not None:
        append_records(state, ownership, [JobAccepted(at=state.now, job=spec)])
        return [LogDecision(decision="service-created", fields={"service": spec.name})]
    if job.cancelled:
        return []  # declared again while its former tasks are still stopping
    _apply_specification(state, ownership, job, spec)
    _drain_surplus(state, ownership, job, spec.count)
    return []


def _apply_specification(
    state: InstanceState, ownership: Ownership, job: Job, spec: JobSpec
) -> None:
    """Apply a changed specification, with additional tasks as replacements.

    The changed fields are recorded first, since that marks the attempts that are outdated.
    """
    current = msgspec.structs.replace(job.spec, count=spec.count)
    if current != spec:
        changed = msgspec.structs.replace(spec, count=max(spec.count, job.spec.count))
        append_records(state, ownership, [JobResized(at=state.now, job=changed)])
    to_replace = [
        a for a in _list_live(ownership, job) if _must_be_replaced(state, ownership, job, a)
    ]
    surge = min(len(to_replace), max(1, int(spec.count * MAX_SURGE_SHARE)))
    active = [t for t in job.tasks.values() if ownership.get_shard_state().is_active(t)]
    target = msgspec.structs.replace(spec, count=spec.count + surge)
    surplus = len(active) > target.count and any(t.state is TaskState.PENDING for t in active)
    if job.spec != target or len(active) < target.count or surplus:
        append_records(state, ownership, [JobResized(at=state.now, job=target)])


def _list_live(ownership: Ownership, job: Job) -> list[Attempt]:
    """Return the attempts of a job that are placed or running, oldest task first."""
    attempts = ownership.get_shard_state().attempts
    live = (TaskState.PLACED, TaskState.RUNNING)
    return [
        attempts[task.attempt_id]
        for task in sorted(job.tasks.values(), key=lambda task: task.index)
        if task.attempt_id is not None and task.state in live
    ]


def _must_be_replaced(
    state: InstanceState, ownership: Ownership, job: Job, attempt: Attempt
) -> bool:
    """Return whether an attempt is outdated or its worker leaves, drains or is not eligible."""
    if attempt.outdated:
        return True
    worker = state.membership.workers.get(attempt.worker_id)
    if worker is None:
        return False  # handled by the reconciler
    configuration = state.configuration
    if worker.leaving or configuration.is_draining(worker):
        return True
    labels = configuration.label_worker(worker)
    rules = get_placement_rules(state, ownership, job)
    return not all(selector.matches(labels) for selector in rules.eligible)


def _drain_surplus(state: InstanceState, ownership: Ownership, job: Job, count: int) -> None:
    """Start to drain as many upstreams as run beyond the declared count.

    Attempts that must be replaced are drained first, then those of the newest tasks. If
    replacements find no free capacity for `service_roll_patience`, one attempt is drained before
    its replacement runs.
    """
    live = _list_live(ownership, job)
    attempt_statuses = ownership.attempt_statuses
    serving = [
        a
        for a in live
        if a.state is TaskState.RUNNING and attempt_statuses[a.attempt_id].drain_since is None
    ]
    serving.sort(key=lambda a: not _must_be_replaced(state, ownership, job, a))
    to_replace = [a for a in serving if _must_be_replaced(state, ownership, job, a)]
    others = [a for a in reversed(serving) if a not in to_replace]
    surplus = len(serving) - count
    if surplus <= 0 and to_replace and _is_replacement_stalled(state, ownership, job, len(live)):
        surplus = 1
    for attempt in [*to_replace, *others][: max(surplus, 0)]:
        attempt_statuses[attempt.attempt_id].drain_since = state.now


def _is_replacement_stalled(
    state: InstanceState, ownership: Ownership, job: Job, live: int
) -> bool:
    """Return whether a task is pending, was first queued too long ago, and nothing drains yet.

    The limit is `service_roll_patience`. A task that has run since it was first queued keeps that
    time.
    """
    limit = state.now - state.parameters.service_roll_patience
    waiting = [t for t in job.tasks.values() if t.state is TaskState.PENDING]
    draining = any(
        task.attempt_id is not None
        and ownership.attempt_statuses[task.attempt_id].drain_since is not None
        for task in job.tasks.values()
    )
    return not draining and any(task.queued_at < limit for task in waiting)


def _remove_service(state: InstanceState, ownership: Ownership, job: Job) -> None:
    """Drain the tasks of a service that is no longer declared, then end its job."""
    if job.ended_at is not None or job.cancelled:
        return
    if job.spec.count > 0:
        empty = msgspec.structs.replace(job.spec, count=0)
        append_records(state, ownership, [JobResized(at=state.now, job=empty)])
    _drain_surplus(state, ownership, job, 0)
    if job.open_tasks == 0:
        record = JobCancelled(at=state.now, job_id=job.spec.job_id)
        append_records(state, ownership, [record])


def _stop_drained(state: InstanceState, ownership: Ownership) -> None:
    """Stop drained tasks without grants, or once `max_request_seconds` has ended all requests."""
    shard_state = ownership.get_shard_state()
    for attempt_id in list_draining(ownership):
        status = ownership.attempt_statuses[attempt_id]
        attempt = shard_state.attempts[attempt_id]
        if attempt.state is not TaskState.RUNNING or status.drain_since is None:
            continue
        elapsed = state.now - status.drain_since
        unused = UpstreamId(attempt_id) not in shard_state.grants
        if elapsed < MIN_DRAIN_SECONDS:
            continue
        if unused or elapsed >= state.parameters.max_request_seconds:
            request_stop(state, ownership, attempt, requeue=False)
