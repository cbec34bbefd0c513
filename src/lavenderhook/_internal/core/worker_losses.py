"""Attempts that are lost with their worker, and the tasks that may have crashed it.

A task that crashes its workers would otherwise take one after the other. Of the attempts on a
worker, only those count whose tasks were lost most often before, and none does if several workers
are lost at once. Lost tasks start again at different times, so that the cause is left as the only
one with the most losses.
"""

from __future__ import annotations

from collections.abc import Collection

from .identifiers import TaskState, WorkloadKind
from .ownership import AttemptResult, Ownership, Suspicion
from .shard import HEALTHY_RUN_SECONDS, Attempt, ShardState

MIN_LOST_WORKERS = 3  # before a task fails; a service only backs off
MAX_SEPARATE_LOSSES = 1  # workers gone at the same time, each for a reason of its own
WORKERS_LOST = "workers-lost"


def mark_suspects(ownership: Ownership, lost: Collection[Attempt], now: float) -> None:
    """Mark the attempts on a lost worker whose tasks may have crashed it."""
    shard_state = ownership.get_shard_state()
    recent = [a for a in lost if now - a.placed_at < HEALTHY_RUN_SECONDS]
    losses = {a.attempt_id: shard_state.tasks[a.task_id].losses for a in recent}
    suspects = [a for a in recent if losses[a.attempt_id] == max(losses.values())]
    # The members of a gang share the cause.
    causes = {_get_cause(shard_state, attempt) for attempt in suspects}
    for attempt in suspects:
        status = ownership.attempt_statuses[attempt.attempt_id]
        status.suspicion = Suspicion.SOLE if len(causes) == 1 else Suspicion.SHARED


def _get_cause(shard_state: ShardState, attempt: Attempt) -> str:
    is_gang = shard_state.jobs[attempt.job_id].spec.kind is WorkloadKind.GANG
    return attempt.job_id if is_gang else attempt.task_id


def build_lost_result(ownership: Ownership, attempt: Attempt, reason: str) -> AttemptResult:
    """Return the result of an attempt that was lost without a failure that it reported."""
    if not attempt.requeue:
        return TaskState.CANCELLED, reason, False
    shard_state = ownership.get_shard_state()
    is_service = shard_state.jobs[attempt.job_id].spec.kind is WorkloadKind.SERVICE
    losses = shard_state.tasks[attempt.task_id].losses
    suspicion = ownership.attempt_statuses[attempt.attempt_id].suspicion
    if suspicion is Suspicion.SOLE and losses + 1 >= MIN_LOST_WORKERS and not is_service:
        return TaskState.FAILED, WORKERS_LOST, False
    return TaskState.PENDING, reason, False
