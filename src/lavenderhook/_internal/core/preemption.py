"""Preemption: running tasks are stopped to free capacity for urgent ones.

Only running attempts of idempotent batch jobs are stopped, whose policy is preemptible and whose
class is below urgent. They are checkpointed where the worker can, and their tasks are queued again.
As with any stop, the capacity is free only once the worker has confirmed it.

An urgent task waits for a short time first, since most capacity is freed by work that ends by
itself, and further victims are chosen for it only if it is still pending after a retry interval.
"""

from __future__ import annotations

from collections.abc import Iterable
from typing import TYPE_CHECKING

from .attempts import request_stop
from .effects import CountMetric, Effect, LogDecision
from .identifiers import PriorityClass, TaskState, WorkerId, WorkloadKind
from .ownership import Ownership, get_placement_rules
from .resources import ZERO_RESOURCES, Resources
from .scheduler import PendingTask
from .shard import Attempt

if TYPE_CHECKING:
    from .state import InstanceState

# Urgent work must start within 2.7 s. A stop takes a commit, a call to the worker and a commit of
# the ended attempt, so a wait of 0.5 s leaves time for a second preemption.
MIN_WAIT_BEFORE_PREEMPTION_SECONDS = 0.5
PREEMPTION_RETRY_SECONDS = 1.0
# Bounds the work of one round and the number of stops after a burst of urgent work.
MAX_TASKS_PER_ROUND = 64


def preempt_for_urgent(state: InstanceState, ownership: Ownership) -> list[Effect]:
    """Stop preemptible attempts for the urgent tasks that found no free capacity.

    Returns
    -------
    list of Effect
        Log lines; the stops follow their commit.
    """
    waiting = _list_due_urgent_tasks(state, ownership)
    if not waiting:
        return []
    victims_by_worker = _collect_candidates(state, ownership)
    effects: list[Effect] = []
    for task in waiting:
        chosen = _choose_victims(ownership, task, victims_by_worker)
        if chosen is None:
            continue
        ownership.preempted_at[task.task_id] = state.now
        worker_id, victims = chosen
        for attempt in victims:
            victims_by_worker[worker_id].remove(attempt)
            request_stop(state, ownership, attempt, requeue=True)
        effects.append(_build_log_effect(task, worker_id, victims))
        effects.append(CountMetric(name="preempted_tasks_total", value=float(len(victims))))
    return effects


def _list_due_urgent_tasks(state: InstanceState, ownership: Ownership) -> list[PendingTask]:
    """Return the urgent tasks that have waited long enough to preempt, the longest first."""
    now = state.now
    pending = ownership.get_scheduler().list_pending(PriorityClass.URGENT, MAX_TASKS_PER_ROUND)
    waiting = {task.task_id for task in pending}
    preempted_at = ownership.preempted_at
    for task_id in [t for t in preempted_at if t not in waiting]:
        del preempted_at[task_id]
    return [
        task
        for task in pending
        if not task.gang_size
        and now - max(task.queued_at, task.not_before) >= MIN_WAIT_BEFORE_PREEMPTION_SECONDS
        and now - preempted_at.get(task.task_id, -PREEMPTION_RETRY_SECONDS)
        >= PREEMPTION_RETRY_SECONDS
    ]


def _collect_candidates(
    state: InstanceState, ownership: Ownership
) -> dict[WorkerId, list[Attempt]]:
    """Return the attempts that may be stopped, by worker, the last started first."""
    found: dict[WorkerId, list[Attempt]] = {}
    for worker_id, attempts in ownership.get_shard_state().attempts_by_worker.items():
        chosen = [a for a in attempts.values() if _is_preemptible(state, ownership, a)]
        if chosen:
            found[worker_id] = sorted(chosen, key=lambda a: -a.placed_at)
    return found


def _is_preemptible(state: InstanceState, ownership: Ownership, attempt: Attempt) -> bool:
    if attempt.state is not TaskState.RUNNING:
        return False
    job = ownership.get_shard_state().jobs[attempt.job_id]
    if job.spec.kind is not WorkloadKind.BATCH or not job.spec.idempotent:
        return False
    policy = get_placement_rules(state, ownership, job).policy
    return policy.preemptible and policy.priority is not PriorityClass.URGENT


def _choose_victims(
    ownership: Ownership, task: PendingTask, candidates: dict[WorkerId, list[Attempt]]
) -> tuple[WorkerId, list[Attempt]] | None:
    """Return the worker that needs the fewest stops to fit a task, with these attempts."""
    best: tuple[WorkerId, list[Attempt]] | None = None
    scheduler = ownership.get_scheduler()
    for worker_id, attempts in candidates.items():
        free = scheduler.get_free(worker_id, task)
        if free is None:
            continue
        victims = _select_until_fits(task.resources, free, attempts)
        if victims and (best is None or len(victims) < len(best[1])):
            best = (worker_id, victims)
            if len(victims) == 1:
                break
    return best


def _select_until_fits(
    needed: Resources, free: Resources, attempts: Iterable[Attempt]
) -> list[Attempt] | None:
    victims: list[Attempt] = []
    freed = ZERO_RESOURCES
    for attempt in attempts:
        if needed.fits(free + freed):
            break
        victims.append(attempt)
        freed = freed + attempt.resources
    return victims if needed.fits(free + freed) else None


def _build_log_effect(
    task: PendingTask, worker_id: WorkerId, victims: list[Attempt]
) -> LogDecision:
    fields: dict[str, object] = {
        "task": task.task_id,
        "worker": worker_id,
        "stopped": [attempt.attempt_id for attempt in victims],
        "reason": "urgent-without-room",
    }
    return LogDecision(decision="tasks-preempted", fields=fields)
