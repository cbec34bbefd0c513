"""An instance's bookkeeping for each shard beside the shard's own state.

A decision is applied to the state and reserved in the scheduler at once, and waits in a group for
the next commit. Its external effects (starts, stops, answers) are kept with its group and are
executed only after the commit has succeeded. A conflict discards the whole ownership.
"""

from __future__ import annotations

import collections
import dataclasses
import enum
from collections.abc import Sequence
from typing import TYPE_CHECKING

import msgspec
import xxhash

from .declarations import Policy
from .effects import Effect
from .grants import GrantTracker
from .identifiers import (
    AttemptId,
    IncarnationId,
    JobId,
    ShardId,
    TaskId,
    TaskState,
    TransactionId,
    UpstreamId,
    WorkerId,
    WorkloadKind,
)
from .labels import LabelSelector
from .records import AnyRecord, JobResized, ShardHead, ShardSnapshot, UpstreamView, WorkerView
from .scheduler import PendingTask, SchedulableWorker, Scheduler
from .shard import ENDED_STATES, Attempt, Job, ShardState, Task, Transition

if TYPE_CHECKING:
    from .state import InstanceState

LOSS_STAGGER_FACTOR = 4.0  # largest additional delay after a loss, in back-offs

# The task's state after an attempt, the reason, and whether it is a failure.
AttemptResult = tuple[TaskState, str, bool]


class OwnershipPhase(enum.Enum):
    """Phase of a shard's ownership by this instance."""

    IDLE = "idle"
    LOADING = "loading"
    TAKING_OVER = "taking"
    OWNED = "owned"
    RELEASING = "releasing"


@dataclasses.dataclass(slots=True)
class RecordGroup:
    """Records that must be committed together, and the effects of their commit.

    Parameters
    ----------
    urgent : bool
        Whether the commit must not be delayed; other groups may wait to be batched.
    appended_at : float
        Time in seconds.
    size : int
        Encoded size of the records in bytes.
    answers : list of Effect
        Answers to callers.
    placed, stopping : list of AttemptId
        Attempts that are to be started and stopped.
    ended : list of Attempt
        Attempts that their workers may forget.
    jobs : list of JobId
        Jobs that this group accepts or cancels.
    """

    records: tuple[AnyRecord, ...]
    urgent: bool
    appended_at: float
    size: int
    answers: list[Effect] = dataclasses.field(default_factory=list)
    placed: list[AttemptId] = dataclasses.field(default_factory=list)
    stopping: list[AttemptId] = dataclasses.field(default_factory=list)
    ended: list[Attempt] = dataclasses.field(default_factory=list)
    jobs: list[JobId] = dataclasses.field(default_factory=list)


@dataclasses.dataclass(slots=True)
class Batch:
    """The transaction in flight."""

    transaction_id: TransactionId
    head: ShardHead
    groups: list[RecordGroup]
    snapshot: ShardSnapshot | None = None
    delayed: bool = False


class Suspicion(enum.Enum):
    """Whether a task may have crashed the worker of its attempt."""

    NONE = "none"
    SHARED = "shared"  # or another task that ran there
    SOLE = "sole"


@dataclasses.dataclass(slots=True)
class AttemptStatus:
    """What this owner knows of a live attempt and has sent to its worker.

    Parameters
    ----------
    is_placed_by_this_owner : bool
        Whether this owner placed it in this epoch, so that it knows every lease granted.
    granted_until : float
        Latest lease expiry that this owner granted or the placement record names, in seconds.
    stop_committed : bool
        Whether the decision to stop is durable, so that stops may be sent.
    result : AttemptResult or None
        A result that the worker confirmed but that must not be recorded yet.
    drain_since : float or None
        When its upstream was marked leaving.
    suspicion : Suspicion
        Whether its worker was lost, with its task as the possible cause.
    """

    is_placed_by_this_owner: bool
    granted_until: float
    starts_sent: int = 0
    start_sent_at: float = 0.0
    confirmed_at: float | None = None
    start_succeeded: bool = False
    throttled: bool = False
    over_memory: bool = False
    stop_committed: bool = False
    stop_sent_at: float = 0.0
    result: AttemptResult | None = None
    drain_since: float | None = None
    suspicion: Suspicion = Suspicion.NONE


@dataclasses.dataclass(slots=True)
class WorkerStatus:
    """Reachability of a worker as seen by this owner."""

    unreachable_since: float | None = None
    renew_due: float = 0.0
    polled_at: float = 0.0


class JobPlacementRules(msgspec.Struct, frozen=True):
    """Policy and worker selectors that the configuration sets for a job."""

    policy: Policy
    eligible: tuple[LabelSelector, ...]


@dataclasses.dataclass(slots=True)
class Ownership:
    """One shard as seen by this instance.

    Parameters
    ----------
    version : int
        Row version of the head.
    was_superseded : bool
        Whether a commit of this instance conflicted with one of another instance.
    uncommitted_job_groups : dict of JobId to RecordGroup
        Groups that accept or cancel a job and are not committed.
    transitional_attempts : set of AttemptId
        Attempts that are placed or stopping, or whose end is confirmed but not yet recorded.
    uncommitted_ends : set of AttemptId
        Attempts whose end is decided but not committed; their workers must not forget them.
    views : dict of WorkerId to WorkerView
        Last listed view of each worker.
    capacity_checked : bool
        Whether reservations were compared with capacities since the workers last changed.
    id_counter : int
        Makes the ids of transactions and attempts unique within an epoch; it counts both.
    deletable_log_rows : list of int
        Log rows that a snapshot covers and that are not deleted yet.
    grant_tracker : GrantTracker
        Promised limits and demand of the holders of upstream slots.
    committed_grants : dict
        Committed slots by upstream and holder; `grants` in `state` includes uncommitted ones.
    upstream_views : dict
        The upstreams as of the last grant plan.
    preempted_at : dict of TaskId to float
        When attempts were last stopped for an urgent task, in seconds.
    """

    shard: ShardId
    phase: OwnershipPhase = OwnershipPhase.IDLE
    known_owner: IncarnationId | None = None
    unowned_since: float | None = None
    takeover_delay_seconds: float = 0.0
    retry_at: float = 0.0
    deferred_takeovers: int = 0
    load_failed: bool = False
    was_superseded: bool = False
    owned_since: float = 0.0
    committed_at: float = 0.0
    version: int = 0
    head: ShardHead | None = None
    state: ShardState | None = None
    scheduler: Scheduler | None = None
    pending: collections.deque[RecordGroup] = dataclasses.field(default_factory=collections.deque)
    in_flight: Batch | None = None
    uncommitted_job_groups: dict[JobId, RecordGroup] = dataclasses.field(default_factory=dict)
    attempt_statuses: dict[AttemptId, AttemptStatus] = dataclasses.field(default_factory=dict)
    workers: dict[WorkerId, WorkerStatus] = dataclasses.field(default_factory=dict)
    placement_rules: dict[JobId, JobPlacementRules] = dataclasses.field(default_factory=dict)
    transitional_attempts: set[AttemptId] = dataclasses.field(default_factory=set)
    uncommitted_ends: set[AttemptId] = dataclasses.field(default_factory=set)
    views: dict[WorkerId, WorkerView] = dataclasses.field(default_factory=dict)
    schedulable: tuple[SchedulableWorker, ...] = ()
    capacity_checked: bool = False
    applied_version: int = -1
    needs_decision: bool = True
    decided_at: float = 0.0
    id_counter: int = 0
    requested_snapshot_log: int = 0
    snapshot_requested_at: float = 0.0
    stored_snapshot_log: int = 0
    deletable_log_rows: list[int] = dataclasses.field(default_factory=list)
    grant_tracker: GrantTracker = dataclasses.field(default_factory=GrantTracker)
    committed_grants: dict[UpstreamId, dict[IncarnationId, int]] = dataclasses.field(
        default_factory=dict
    )
    upstream_views: dict[UpstreamId, UpstreamView] = dataclasses.field(default_factory=dict)
    preempted_at: dict[TaskId, float] = dataclasses.field(default_factory=dict)

    def is_owned(self) -> bool:
        """Return whether this instance owns the shard."""
        return self.phase is OwnershipPhase.OWNED

    def get_shard_state(self) -> ShardState:
        """Return the state of the shard, which must be loaded."""
        assert self.state is not None
        return self.state

    def get_scheduler(self) -> Scheduler:
        """Return the scheduler of the shard, which exists once this instance owns it."""
        assert self.scheduler is not None
        return self.scheduler

    def is_store_delayed(self) -> bool:
        """Return whether the transaction in flight waits for the store."""
        return self.in_flight is not None and self.in_flight.delayed

    def count_pending_records(self) -> int:
        """Return how many records wait for a commit."""
        return sum(len(group.records) for group in self.pending)


@dataclasses.dataclass(slots=True)
class ShardOwnerships:
    """The shards as seen by this instance."""

    by_shard: dict[ShardId, Ownership] = dataclasses.field(default_factory=dict)
    last_timer_at: float = 0.0

    def get(self, shard: ShardId) -> Ownership:
        """Return the ownership entry of a shard."""
        if shard not in self.by_shard:
            self.by_shard[shard] = Ownership(shard)
        return self.by_shard[shard]

    def list_owned(self) -> list[Ownership]:
        """Return the shards that this instance owns."""
        return [o for o in self.by_shard.values() if o.is_owned()]

    def collect_epochs(self) -> dict[ShardId, int]:
        """Return the epochs of the owned shards, for the digest."""
        return {o.shard: o.get_shard_state().epoch for o in self.list_owned()}


def append_records(
    state: InstanceState,
    ownership: Ownership,
    records: Sequence[AnyRecord],
    *,
    urgent: bool = True,
) -> RecordGroup:
    """Apply decisions tentatively and queue them as one group for the next commit.

    Parameters
    ----------
    state : InstanceState
        The instance's state.
    ownership : Ownership
        An owned shard.
    records : sequence of records
        Committed together or not at all.
    urgent : bool
        Whether the next commit must not wait for more records.

    Returns
    -------
    RecordGroup
        To which answers can be added.
    """
    size = sum(len(msgspec.msgpack.encode(record)) for record in records)
    group = RecordGroup(records=tuple(records), urgent=urgent, appended_at=state.now, size=size)
    for record in records:
        if isinstance(record, JobResized):
            ownership.placement_rules.pop(record.job.job_id, None)
        for transition in ownership.get_shard_state().apply(record):
            _apply_transition(state, ownership, group, transition)
    ownership.pending.append(group)
    return group


def _apply_transition(
    state: InstanceState, ownership: Ownership, group: RecordGroup, transition: Transition
) -> None:
    """Update the scheduler, the attempt statuses and the group after a change of a task."""
    task, attempt = transition.task, transition.attempt
    current = transition.current
    if attempt is not None:
        ownership.transitional_attempts.discard(attempt.attempt_id)
    if current is TaskState.PLACED and attempt is not None:
        ownership.attempt_statuses[attempt.attempt_id] = AttemptStatus(
            is_placed_by_this_owner=True, granted_until=attempt.lease_until
        )
        ownership.transitional_attempts.add(attempt.attempt_id)
        group.placed.append(attempt.attempt_id)
    elif current is TaskState.STOPPING and attempt is not None:
        ownership.transitional_attempts.add(attempt.attempt_id)
        group.stopping.append(attempt.attempt_id)
    elif current is TaskState.PENDING or current in ENDED_STATES:
        if attempt is not None:
            _release_attempt(ownership, group, attempt)
        elif current is not TaskState.PENDING:
            ownership.get_scheduler().remove_pending(task.task_id)
        if current is TaskState.PENDING and task.state is TaskState.PENDING:
            queue_task(state, ownership, task)
        if current is TaskState.DONE:
            update_queued_gang(state, ownership, task)


def _release_attempt(ownership: Ownership, group: RecordGroup, attempt: Attempt) -> None:
    job = ownership.get_shard_state().jobs[attempt.job_id]
    ownership.attempt_statuses.pop(attempt.attempt_id, None)
    ownership.get_scheduler().release(
        attempt.worker_id, attempt.resources, job.spec.team, attempt.job_id
    )
    group.ended.append(attempt)
    ownership.uncommitted_ends.add(attempt.attempt_id)
    ownership.needs_decision = True


def update_queued_gang(state: InstanceState, ownership: Ownership, ended_task: Task) -> None:
    """Update the queued members of a gang after the number of unfinished members has changed."""
    job = ownership.get_shard_state().jobs[ended_task.job_id]
    if job.spec.kind is not WorkloadKind.GANG:
        return
    for task in job.tasks.values():
        if task.state is TaskState.PENDING:
            queue_task(state, ownership, task)


def queue_task(state: InstanceState, ownership: Ownership, task: Task) -> None:
    """Add a pending task to the scheduler's queue."""
    job = ownership.get_shard_state().jobs[task.job_id]
    rules = get_placement_rules(state, ownership, job)
    ownership.get_scheduler().add_pending(build_pending_task(state, job, task, rules))
    ownership.needs_decision = True


def get_placement_rules(state: InstanceState, ownership: Ownership, job: Job) -> JobPlacementRules:
    """Return the placement rules of a job under the active configuration."""
    rules = ownership.placement_rules.get(job.spec.job_id)
    if rules is None:
        rules = build_placement_rules(state, job.spec.kind, job.spec.labels)
        ownership.placement_rules[job.spec.job_id] = rules
    return rules


def build_placement_rules(
    state: InstanceState, kind: WorkloadKind, labels: dict[str, str]
) -> JobPlacementRules:
    """Look up the policy and the placement selectors for jobs of a kind with these labels."""
    selectors = state.configuration.find_placement_selectors(labels)
    return JobPlacementRules(
        policy=state.configuration.find_policy(kind, labels),
        eligible=tuple(selector.workers for selector in selectors),
    )


def build_pending_task(
    state: InstanceState, job: Job, task: Task, rules: JobPlacementRules
) -> PendingTask:
    """Return a task as the scheduler sees it."""
    spec = job.spec
    not_before = 0.0
    if task.failures or task.losses:
        not_before = task.failed_at + compute_backoff(state, task.failures + task.losses)
    if task.losses:
        not_before += compute_loss_stagger(state, job, task)
    return PendingTask(
        task_id=task.task_id,
        job_id=spec.job_id,
        kind=spec.kind,
        team=spec.team,
        resources=spec.resources,
        policy=rules.policy,
        eligible=rules.eligible,
        gang_size=job.open_tasks if spec.kind is WorkloadKind.GANG else 0,
        run_seconds=spec.run_seconds,
        queued_at=task.queued_at,
        not_before=not_before,
        avoid=task.avoid,
    )


def compute_loss_stagger(state: InstanceState, job: Job, task: Task) -> float:
    """Return an additional delay in seconds after the loss of a worker, which differs by task.

    Tasks that were lost together start again at different times, so that the next crash of a
    worker distinguishes its cause from what ran beside it.
    """
    name = job.spec.job_id if job.spec.kind is WorkloadKind.GANG else task.task_id
    share: float = xxhash.xxh32_intdigest(f"{name}-{task.losses}".encode()) / 2**32
    return share * compute_backoff(state, task.losses) * LOSS_STAGGER_FACTOR


def compute_backoff(state: InstanceState, failures: int) -> float:
    """Return the delay in seconds before a task that failed is placed again."""
    parameters = state.parameters
    pause = parameters.task_backoff * 2.0 ** min(failures - 1, 20)
    return min(pause, parameters.max_task_backoff)
