"""Views for callers and operators, as plain data.

A caller sees the work of its own team only. Another team's work is reported as not existing, so
that names cannot be probed.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING, TypeAlias

import msgspec

from ...errors import (
    InvalidArgumentError,
    LavenderhookError,
    PermissionDeniedError,
    UnknownNameError,
)
from .declarations import get_kind
from .effects import AnswerView, Effect, RefuseCall
from .events import ConfigurationChange, QueryKind, QueryReceived
from .identifiers import JobId, ShardId, TaskId, TaskState, TeamName, WorkerId
from .membership import get_member_state
from .ownership import Ownership
from .resources import ZERO_RESOURCES, Resources
from .shard import Job, Task, find_job_shard
from .shard_owner import resolve_shard

if TYPE_CHECKING:
    from .state import InstanceState

TIMERS: dict[str, str] = {}

# Longer lists are truncated; a key of the form "after:<id>" continues after that entry.
MAX_ENTRIES = 500
CONTINUATION = "after:"

View: TypeAlias = dict[str, object]
ShardView: TypeAlias = "Callable[[InstanceState, Ownership, QueryReceived], View]"
LocalView: TypeAlias = "Callable[[InstanceState, QueryReceived], View]"


def handle_query(state: InstanceState, event: QueryReceived) -> list[Effect]:
    """Answer a query, forward it to the owner of its shard, or refuse it."""
    try:
        local = _LOCAL_VIEWS.get(event.kind)
        if local is not None:
            return [AnswerView(ticket=event.ticket, view=local(state, event))]
        shard = _find_shard(state, event)
        resolved = resolve_shard(state, shard, event.ticket, forwarded=event.forwarded)
        if isinstance(resolved, list):
            return resolved
        view = _SHARD_VIEWS[event.kind](state, resolved, event)
        return [AnswerView(ticket=event.ticket, view=view)]
    except LavenderhookError as error:
        return [RefuseCall(ticket=event.ticket, error=error)]


def _find_shard(state: InstanceState, event: QueryReceived) -> ShardId:
    """Return the shard that a query names, directly or by its job; 0 if it names none."""
    shards = state.parameters.shards
    if event.kind is QueryKind.JOB:
        return find_job_shard(JobId(event.key), shards)
    if event.kind is QueryKind.EXPLAIN:
        return find_job_shard(_parse_job_id(event.key), shards)
    if event.key.startswith("shard:"):
        number = event.key.removeprefix("shard:")
        if not number.isdecimal() or int(number) >= shards:
            raise InvalidArgumentError("key", event.key, f"a shard from 0 to {shards - 1}")
        return ShardId(int(number))
    return ShardId(0)


def _parse_job_id(key: str) -> JobId:
    """Return the job of a key that names a task (``job/index``) or a whole job."""
    return JobId(key.split("/", 1)[0])


def _is_visible(event: QueryReceived, team: TeamName) -> bool:
    return event.team is None or event.team == team


def _require_operator(event: QueryReceived) -> None:
    if event.team is not None:
        raise PermissionDeniedError(f"the view {event.kind.value!r} is for operators")


def _find_job(ownership: Ownership, event: QueryReceived, job_id: JobId) -> Job:
    """Return a visible job whose acceptance is durable."""
    job = ownership.get_shard_state().jobs.get(job_id)
    if job is None or not _is_visible(event, job.spec.team) or _is_uncommitted(ownership, job):
        raise UnknownNameError("job", job_id)
    return job


def _is_uncommitted(ownership: Ownership, job: Job) -> bool:
    return ownership.uncommitted_job_groups.get(job.spec.job_id) is not None and not job.cancelled


# Jobs


def _view_job(state: InstanceState, ownership: Ownership, event: QueryReceived) -> View:
    job = _find_job(ownership, event, JobId(event.key))
    view = _summarise_job(job)
    tasks = list(job.tasks.values())
    view["resources"] = msgspec.to_builtins(job.spec.resources)
    view["labels"] = dict(job.spec.labels)
    view["tasks"] = [_view_task(ownership, task) for task in tasks[:MAX_ENTRIES]]
    view["truncated"] = len(tasks) > MAX_ENTRIES
    return view


def _summarise_job(job: Job) -> View:
    return {
        "job": job.spec.job_id,
        "kind": job.spec.kind.value,
        "name": job.spec.name,
        "team": job.spec.team,
        "caller": job.spec.caller,
        "state": describe_job(job),
        "count": job.spec.count,
        "counts": count_by_state(job),
        "submitted_at": job.accepted_at,
        "ended_at": job.ended_at,
    }


def describe_job(job: Job) -> str:
    """Return the state of a job as a whole."""
    counts = count_by_state(job)
    if job.ended_at is None:
        if job.cancelled:
            return TaskState.STOPPING.value
        started = any(counts.get(s.value) for s in (TaskState.RUNNING, TaskState.STOPPING))
        if started or counts.get(TaskState.DONE.value):
            return TaskState.RUNNING.value
        placed = counts.get(TaskState.PLACED.value)
        return TaskState.PLACED.value if placed else TaskState.PENDING.value
    if counts.get(TaskState.FAILED.value):
        return TaskState.FAILED.value
    if job.cancelled and counts.get(TaskState.DONE.value, 0) < len(job.tasks):
        return TaskState.CANCELLED.value
    return TaskState.DONE.value if job.tasks else TaskState.CANCELLED.value


def count_by_state(job: Job) -> dict[str, int]:
    """Return the number of a job's tasks in each state that occurs."""
    counts: dict[str, int] = {}
    for task in job.tasks.values():
        counts[task.state.value] = counts.get(task.state.value, 0) + 1
    return counts


def _view_task(ownership: Ownership, task: Task) -> View:
    view: View = {
        "task": task.task_id,
        "state": task.state.value,
        "failures": task.failures,
        "reason": task.reason,
    }
    if task.attempt_id is not None:
        attempt = ownership.get_shard_state().attempts[task.attempt_id]
        view["attempt"] = attempt.attempt_id
        view["worker"] = attempt.worker_id
        view["since"] = attempt.changed_at
    return view


def _view_jobs(state: InstanceState, ownership: Ownership, event: QueryReceived) -> View:
    visible = [
        job
        for job in ownership.get_shard_state().jobs.values()
        if _is_visible(event, job.spec.team) and not _is_uncommitted(ownership, job)
    ]
    visible.sort(key=lambda job: job.spec.job_id)
    if event.key.startswith(CONTINUATION):
        after = event.key.removeprefix(CONTINUATION)
        visible = [job for job in visible if job.spec.job_id > after]
    return {
        "jobs": [_summarise_job(job) for job in visible[:MAX_ENTRIES]],
        "truncated": len(visible) > MAX_ENTRIES,
    }


def _view_queue(state: InstanceState, ownership: Ownership, event: QueryReceived) -> View:
    jobs = ownership.get_shard_state().jobs
    waiting: list[tuple[float, TaskId, Job]] = [
        (task.queued_at, task.task_id, job)
        for job in jobs.values()
        if job.ended_at is None and _is_visible(event, job.spec.team)
        for task in job.tasks.values()
        if task.state is TaskState.PENDING
    ]
    waiting.sort(key=lambda entry: entry[:2])
    return {
        "length": len(waiting),
        "tasks": [
            {
                "task": task_id,
                "job": job.spec.job_id,
                "team": job.spec.team,
                "waiting_seconds": state.now - queued_at,
                "reason": _explain(state, ownership, task_id),
            }
            for queued_at, task_id, job in waiting[:MAX_ENTRIES]
        ],
        "truncated": len(waiting) > MAX_ENTRIES,
    }


def _explain(state: InstanceState, ownership: Ownership, task_id: TaskId) -> View | None:
    reason = ownership.get_scheduler().explain(task_id, state.now)
    if reason is None:
        return None
    if ownership.is_store_delayed():
        return {"code": "store-unavailable", "detail": "placements wait for the store"}
    return {"code": reason.code, "detail": reason.detail}


def _view_explanation(state: InstanceState, ownership: Ownership, event: QueryReceived) -> View:
    """Explain one task (``job/index``), or all pending tasks of a job."""
    job = _find_job(ownership, event, _parse_job_id(event.key))
    tasks = list(job.tasks.values())
    if "/" in event.key:
        index = event.key.split("/", 1)[1]
        tasks = [task for task in tasks if str(task.index) == index]
        if not tasks:
            raise UnknownNameError("task", event.key)
    else:
        tasks = [task for task in tasks if task.state is TaskState.PENDING]
    explained = []
    for task in tasks[:MAX_ENTRIES]:
        view = _view_task(ownership, task)
        view["waits_for"] = _explain(state, ownership, task.task_id)
        explained.append(view)
    return {"job": job.spec.job_id, "state": describe_job(job), "tasks": explained}


# Workers and totals


def _view_workers(state: InstanceState, ownership: Ownership, event: QueryReceived) -> View:
    _require_operator(event)
    shard_state = ownership.get_shard_state()
    workers = ownership.get_scheduler().describe_workers()
    for view in workers:
        worker_id = WorkerId(str(view["worker"]))
        status = ownership.workers.get(worker_id)
        view["attempts"] = len(shard_state.attempts_by_worker.get(worker_id, {}))
        view["unreachable_since"] = status.unreachable_since if status is not None else None
        view["listed"] = worker_id in state.membership.workers
    return {"workers": workers}


def _view_summary(state: InstanceState, ownership: Ownership, event: QueryReceived) -> View:
    shard_state = ownership.get_shard_state()
    jobs: dict[str, int] = {}
    tasks: dict[str, int] = {}
    reserved = ZERO_RESOURCES
    for job in shard_state.jobs.values():
        if not _is_visible(event, job.spec.team):
            continue
        jobs[describe_job(job)] = jobs.get(describe_job(job), 0) + 1
        for name, count in count_by_state(job).items():
            tasks[name] = tasks.get(name, 0) + count
    for attempt in shard_state.attempts.values():
        if _is_visible(event, shard_state.jobs[attempt.job_id].spec.team):
            reserved = reserved + attempt.resources
    view: View = {
        "shard": ownership.shard,
        "jobs": jobs,
        "tasks": tasks,
        "reserved": msgspec.to_builtins(reserved),
    }
    if event.team is None:
        view["capacity"] = msgspec.to_builtins(_sum_capacity(ownership))
        view["owner"] = state.incarnation
        view["epoch"] = shard_state.epoch
        view["uncommitted_records"] = ownership.count_pending_records()
        view["store_delayed"] = ownership.is_store_delayed()
    return view


def _sum_capacity(ownership: Ownership) -> Resources:
    return sum((worker.view.capacity for worker in ownership.schedulable), start=ZERO_RESOURCES)


# Instances and configuration


def _view_instances(state: InstanceState, event: QueryReceived) -> View:
    _require_operator(event)
    instances: list[View] = [
        {
            "name": state.name,
            "incarnation": state.incarnation,
            "address": state.address,
            "availability_zone": state.availability_zone,
            "state": get_member_state(state, state.incarnation).value,
            "ready": state.configuration.is_ready(),
            "configuration_version": state.configuration.version,
            "shards": sorted(state.ownerships.collect_epochs()),
        }
    ]
    for incarnation, member in sorted(state.membership.members.items()):
        digest = member.digest
        instances.append(
            {
                "name": digest.name,
                "incarnation": incarnation,
                "address": digest.address,
                "availability_zone": digest.availability_zone,
                "state": get_member_state(state, incarnation).value,
                "ready": digest.ready,
                "configuration_version": digest.configuration_version,
                "shards": sorted(digest.shards),
            }
        )
    return {"instances": instances}


def _view_configuration(state: InstanceState, event: QueryReceived) -> View:
    _require_operator(event)
    declarations = sorted(
        state.configuration.declarations.values(), key=lambda d: (get_kind(d), d.name)
    )
    return {
        "version": state.configuration.version,
        "declarations": [msgspec.to_builtins(declaration) for declaration in declarations],
    }


def _view_history(state: InstanceState, event: QueryReceived) -> View:
    """Return the latest configuration changes, newest first."""
    _require_operator(event)
    history = state.configuration.history[-MAX_ENTRIES:]
    return {
        "version": state.configuration.version,
        "changes": [_view_change(change) for change in reversed(history)],
    }


def _view_change(change: ConfigurationChange) -> View:
    return {
        "version": change.version,
        "change": change.change_id,
        "author": change.author,
        "at": change.at,
        "puts": [msgspec.to_builtins(declaration) for declaration in change.puts],
        "deletes": [list(key) for key in change.deletes],
    }


_LOCAL_VIEWS: dict[QueryKind, LocalView] = {
    QueryKind.INSTANCES: _view_instances,
    QueryKind.CONFIGURATION: _view_configuration,
    QueryKind.HISTORY: _view_history,
}
_SHARD_VIEWS: dict[QueryKind, ShardView] = {
    QueryKind.JOB: _view_job,
    QueryKind.JOBS: _view_jobs,
    QueryKind.QUEUE: _view_queue,
    QueryKind.WORKERS: _view_workers,
    QueryKind.EXPLAIN: _view_explanation,
    QueryKind.SUMMARY: _view_summary,
}

HANDLERS = {QueryReceived: handle_query}
