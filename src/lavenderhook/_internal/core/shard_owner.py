"""The shard owner: ownership, submissions, cancellations and the group commit.

Ownership only avoids conflicts; safety comes from the version check of every commit. A takeover
is therefore always allowed, and a loss of ownership is detected at the next commit at the latest.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import xxhash

from ...errors import (
    ImpossibleJobError,
    InvalidArgumentError,
    LavenderhookError,
    NotReadyError,
    OutcomeUnknownError,
    StoreUnavailableError,
    UnknownNameError,
)
from .attempts import acknowledge_ended, send_stops, start_committed
from .commits import commit_pending, commit_takeover, confirm_batch, is_commit_due
from .effects import (
    AnswerCancellation,
    AnswerSubmission,
    Effect,
    ForwardOperation,
    LoadShard,
    LogDecision,
    RefuseCall,
    StoreSnapshot,
)
from .events import (
    CommitConflicted,
    CommitDelayed,
    CommitSucceeded,
    ConfigurationCommitted,
    ConfigurationReceived,
    HeartbeatReceived,
    JobCancelRequested,
    JobSubmitted,
    PlatformListed,
    ShardLoaded,
    ShardLoadFailed,
    SnapshotStored,
    Ticket,
    TimerFired,
)
from .grant_handlers import record_committed_grants
from .identifiers import (
    AttemptId,
    CallerName,
    IncarnationId,
    JobId,
    MemberState,
    ShardId,
    TaskId,
    WorkerId,
    WorkloadKind,
)
from .membership import (
    get_member_state,
    get_peer_address,
    list_usable_peers,
)
from .ownership import (
    Batch,
    Ownership,
    OwnershipPhase,
    append_records,
    build_pending_task,
    build_placement_rules,
)
from .preemption import preempt_for_urgent
from .records import JobAccepted, JobCancelled, JobSpec, TaskPlaced
from .recovery import refresh_placement_rules, refresh_workers, restore_shard
from .scheduler import PendingTask
from .shard import Job, ShardState, Task, find_job_shard
from .submission import check_same_submission, resolve_submission

if TYPE_CHECKING:
    from .state import InstanceState

PLACEMENT_TIMER = "placement"
TIMERS: dict[str, str] = {
    PLACEMENT_TIMER: "commit_interval",
}

OPERATORS = CallerName("operators")
NO_OWNER = IncarnationId("")
# Placement is retried this often even if nothing changed, since a back-off may have expired.
IDLE_DECISION_INTERVAL_SECONDS = 0.25
LOAD_RETRY_INTERVAL_SECONDS = 0.5


def handle_timer(state: InstanceState, event: TimerFired) -> list[Effect]:
    """Advance every shard: take it over, place tasks, commit, hand it over."""
    effects: list[Effect] = []
    if event.name != PLACEMENT_TIMER:
        return effects
    _recheck_ownership_after_pause(state)
    for number in range(state.parameters.shards):
        ownership = state.ownerships.get(ShardId(number))
        if ownership.phase is OwnershipPhase.IDLE:
            effects.extend(_take_over_if_due(state, ownership))
        elif ownership.is_owned():
            effects.extend(_advance_owned(state, ownership))
        effects.extend(_expire_calls(state, ownership))
    return effects


def _recheck_ownership_after_pause(state: InstanceState) -> None:
    """Make a commit due on every owned shard if the process was paused."""
    ownerships = state.ownerships
    if state.now - ownerships.last_timer_at > state.parameters.suspect_after:
        for ownership in ownerships.list_owned():
            ownership.committed_at = 0.0
    ownerships.last_timer_at = state.now


# Ownership


def find_claimed_owner(state: InstanceState, shard: ShardId) -> IncarnationId | None:
    """Return the peer that claims a shard in its heartbeats with the highest epoch, or None."""
    best: tuple[int, IncarnationId] | None = None
    for incarnation, member in state.membership.members.items():
        epoch = member.digest.shards.get(shard)
        if epoch is None or not _is_responsive(state, incarnation):
            continue
        if best is None or (epoch, incarnation) > best:
            best = (epoch, incarnation)
    return best[1] if best is not None else None


def _is_responsive(state: InstanceState, incarnation: IncarnationId) -> bool:
    return get_member_state(state, incarnation) not in (MemberState.FAILED, MemberState.GONE)


def _take_over_if_due(state: InstanceState, ownership: Ownership) -> list[Effect]:
    owner = find_claimed_owner(state, ownership.shard)
    if owner is not None:
        ownership.known_owner = owner
        ownership.unowned_since = None
        ownership.deferred_takeovers = 0
        return []
    if ownership.unowned_since is None:
        ownership.unowned_since = state.now
        ownership.takeover_delay_seconds = _compute_takeover_delay(state, ownership.known_owner)
        ownership.known_owner = None
    if state.shutting_down_since is not None or not state.configuration.is_ready():
        return []
    rank = _compute_rank(state, ownership.shard)
    due = (
        ownership.unowned_since
        + ownership.takeover_delay_seconds
        + rank * state.parameters.takeover_after
    )
    if state.now < max(due, ownership.retry_at):
        return []
    ownership.phase = OwnershipPhase.LOADING
    return [LoadShard(shard=ownership.shard)]


def _compute_takeover_delay(state: InstanceState, former: IncarnationId | None) -> float:
    """Return how many seconds a shard must appear unowned before it is taken over.

    A process that resumes from a pause has received no heartbeats for a while, and an instance
    that has just started none at all; the heartbeats of a healthy owner may be in transit.
    """
    if former is None:
        return state.parameters.takeover_after
    if get_member_state(state, former) is MemberState.FAILED:
        return 2 * state.parameters.heartbeat_interval
    return 0.0


def _compute_rank(state: InstanceState, shard: ShardId) -> int:
    """Return this instance's place among the candidates, by rendezvous hash."""
    candidates = [digest.incarnation for digest in list_usable_peers(state)]
    candidates.append(state.incarnation)
    candidates.sort(key=lambda c: xxhash.xxh64_intdigest(f"{shard}:{c}".encode()), reverse=True)
    return candidates.index(state.incarnation)


def handle_loaded(state: InstanceState, event: ShardLoaded) -> list[Effect]:
    """Commit the takeover of the loaded shard.

    It is not committed if it is deferred to another instance, if this instance shuts down, or if
    the loaded rows are inconsistent; inconsistent rows are loaded again.
    """
    ownership = state.ownerships.get(event.shard)
    if ownership.phase is not OwnershipPhase.LOADING:
        return []
    ownership.load_failed = False
    if state.shutting_down_since is not None or _should_defer(state, ownership, event):
        ownership.phase = OwnershipPhase.IDLE
        ownership.retry_at = state.now + state.parameters.takeover_after
        return []
    if not _is_consistent_load(event):
        return _retry_load(state, ownership)
    shard_state = ShardState(event.shard)
    if event.snapshot is not None:
        shard_state.apply_all(event.snapshot.records)
    for batch in event.batches:
        shard_state.apply_all(batch)
    ownership.state = shard_state
    ownership.version = event.version
    ownership.head = event.head
    ownership.phase = OwnershipPhase.TAKING_OVER
    return commit_takeover(state, ownership, event.head)


def _should_defer(state: InstanceState, ownership: Ownership, event: ShardLoaded) -> bool:
    """Return whether to leave the shard to another instance for now.

    The head may name an instance that has just taken over and whose first heartbeat as the owner
    is in transit, even if none came from it before; the takeover is deferred once for it.
    """
    if find_claimed_owner(state, event.shard) is not None:
        return True
    if event.head is None or event.head.owner in (NO_OWNER, state.incarnation):
        return False
    if ownership.deferred_takeovers > 0:
        return False
    if not (ownership.was_superseded or _is_responsive(state, event.head.owner)):
        return False
    ownership.deferred_takeovers += 1
    ownership.known_owner = event.head.owner
    return True


def _is_consistent_load(event: ShardLoaded) -> bool:
    """Return whether the rows match the head; others may commit while rows are read one by one."""
    if event.head is None:
        return not event.batches
    covered = event.snapshot.log_number if event.snapshot is not None else 0
    if covered != event.head.snapshot_log:
        return False
    return len(event.batches) == event.head.next_log - 1 - covered


def handle_load_failed(state: InstanceState, event: ShardLoadFailed) -> list[Effect]:
    """Schedule another load."""
    ownership = state.ownerships.get(event.shard)
    if ownership.phase is OwnershipPhase.LOADING:
        _retry_load(state, ownership)
        ownership.load_failed = True
    return []


def _retry_load(state: InstanceState, ownership: Ownership) -> list[Effect]:
    ownership.phase = OwnershipPhase.IDLE
    ownership.retry_at = state.now + LOAD_RETRY_INTERVAL_SECONDS
    return []


def discard_ownership(state: InstanceState, ownership: Ownership) -> list[Effect]:
    """Discard the state of a shard that this instance no longer owns; refuse the waiting calls.

    A transaction whose response was lost may have taken effect before the new owner's takeover, so
    the callers that wait for it are answered that its outcome is unknown.
    """
    effects: list[Effect] = []
    unknown = OutcomeUnknownError(
        "another instance took over the shard; query the job for its outcome"
    )
    for group in ownership.in_flight.groups if ownership.in_flight is not None else ():
        effects.extend(_refuse(answer, unknown) for answer in group.answers)
    unchanged = NotReadyError("this instance no longer owns the shard; nothing was changed")
    for group in ownership.pending:
        effects.extend(_refuse(answer, unchanged) for answer in group.answers)
    new_ownership = Ownership(
        ownership.shard,
        id_counter=ownership.id_counter,
        takeover_delay_seconds=ownership.takeover_delay_seconds,
    )
    state.ownerships.by_shard[ownership.shard] = new_ownership
    return effects


def _refuse(answer: Effect, error: LavenderhookError) -> RefuseCall:
    assert isinstance(answer, AnswerSubmission | AnswerCancellation)
    return RefuseCall(ticket=answer.ticket, error=error)


def handle_heartbeat(state: InstanceState, event: HeartbeatReceived) -> list[Effect]:
    """Give up a shard that a peer owns at a higher epoch.

    With a transaction in flight its result decides, since whether it took effect is not known yet.
    """
    effects: list[Effect] = []
    for ownership in state.ownerships.list_owned():
        epoch = event.digest.shards.get(ownership.shard, 0)
        if epoch > ownership.get_shard_state().epoch and ownership.in_flight is None:
            effects.extend(discard_ownership(state, ownership))
            effects.append(_log_shard_lost(ownership))
    return effects


def _log_shard_lost(ownership: Ownership) -> LogDecision:
    return LogDecision(decision="shard-lost", fields={"shard": ownership.shard})


# Commits


def _advance_owned(state: InstanceState, ownership: Ownership) -> list[Effect]:
    if ownership.in_flight is not None:
        return []
    effects: list[Effect] = []
    if not _is_hand_over_due(state):
        effects.extend(_place_pending_tasks(state, ownership))
    elif _can_hand_over(state, ownership):
        ownership.phase = OwnershipPhase.RELEASING
        return commit_pending(state, ownership, NO_OWNER)
    if is_commit_due(state, ownership):
        effects.extend(commit_pending(state, ownership, state.incarnation))
    return effects


def _is_hand_over_due(state: InstanceState) -> bool:
    since = state.shutting_down_since
    return since is not None and state.now - since >= state.parameters.drain_grace


def _can_hand_over(state: InstanceState, ownership: Ownership) -> bool:
    """Return whether the pending records fit in the last commit and start nothing.

    A start that is committed but not sent would leave the next owner an attempt of unknown state.
    """
    if ownership.count_pending_records() > state.parameters.max_batch_records:
        return False
    return not any(group.placed for group in ownership.pending)


def has_released_shards(state: InstanceState) -> bool:
    """Return whether this instance owns no shard, so that it may exit."""
    held = (OwnershipPhase.TAKING_OVER, OwnershipPhase.OWNED, OwnershipPhase.RELEASING)
    return all(o.phase not in held for o in state.ownerships.by_shard.values())


def _place_pending_tasks(state: InstanceState, ownership: Ownership) -> list[Effect]:
    """Place pending tasks, just before a commit, so that decisions use the latest state."""
    idle = state.now - ownership.decided_at >= IDLE_DECISION_INTERVAL_SECONDS
    limit = state.parameters.max_batch_records - ownership.count_pending_records()
    if limit <= 0 or not (ownership.needs_decision or idle) or state.membership.listed_at is None:
        return []
    ownership.needs_decision = False
    ownership.decided_at = state.now
    effects: list[Effect] = []
    for decision in ownership.get_scheduler().decide(state.now, limit):
        records = [
            _build_placement_record(
                state, ownership, ownership.get_shard_state().tasks[task_id], worker_id
            )
            for task_id, worker_id in decision.placements
        ]
        append_records(state, ownership, records)
        fields: dict[str, object] = {
            "placements": {r.attempt_id: r.worker_id for r in records},
            "policy": decision.policy,
            "reason": decision.reason,
        }
        effects.append(LogDecision(decision="task-placed", fields=fields))
        ownership.needs_decision = True
    effects.extend(preempt_for_urgent(state, ownership))
    return effects


def _build_placement_record(
    state: InstanceState, ownership: Ownership, task: Task, worker_id: WorkerId
) -> TaskPlaced:
    ownership.id_counter += 1
    epoch = ownership.get_shard_state().epoch
    return TaskPlaced(
        at=state.now,
        job_id=task.job_id,
        task_id=task.task_id,
        attempt_id=AttemptId(f"{task.task_id}.{epoch}.{ownership.id_counter}"),
        worker_id=worker_id,
        lease_until=state.now + state.parameters.start_window,
    )


def handle_succeeded(state: InstanceState, event: CommitSucceeded) -> list[Effect]:
    """Finish a takeover or hand-over, or execute the effects of a committed batch."""
    ownership = state.ownerships.get(event.shard)
    batch = _match_in_flight_batch(ownership, event.transaction_id)
    if batch is None:
        return []
    confirm_batch(state, ownership, batch, event.version)
    if ownership.phase is OwnershipPhase.TAKING_OVER:
        return _finish_takeover(state, ownership, batch)
    if ownership.phase is OwnershipPhase.RELEASING:
        fields: dict[str, object] = {"shard": ownership.shard}
        effects = _execute_batch(state, ownership, batch)
        effects.extend(discard_ownership(state, ownership))
        return [*effects, LogDecision(decision="shard-handed-over", fields=fields)]
    return _execute_batch(state, ownership, batch)


def _match_in_flight_batch(ownership: Ownership, transaction_id: str) -> Batch | None:
    batch = ownership.in_flight
    return batch if batch is not None and batch.transaction_id == transaction_id else None


def _finish_takeover(state: InstanceState, ownership: Ownership, batch: Batch) -> list[Effect]:
    for group in batch.groups:
        ownership.get_shard_state().apply_all(group.records)
    ownership.phase = OwnershipPhase.OWNED
    ownership.owned_since = state.now
    ownership.known_owner = state.incarnation
    ownership.load_failed = False
    fields: dict[str, object] = {"shard": ownership.shard, "epoch": batch.head.epoch}
    return [
        LogDecision(decision="shard-taken", fields=fields),
        *restore_shard(state, ownership),
    ]


def _execute_batch(state: InstanceState, ownership: Ownership, batch: Batch) -> list[Effect]:
    effects = record_committed_grants(state, ownership, batch)
    for group in batch.groups:
        effects.extend(group.answers)
    placed = [attempt for group in batch.groups for attempt in group.placed]
    effects.extend(start_committed(state, ownership, placed))
    stopping = [attempt for group in batch.groups for attempt in group.stopping]
    effects.extend(send_stops(state, ownership, stopping))
    ended = [attempt for group in batch.groups for attempt in group.ended]
    effects.extend(acknowledge_ended(state, ownership, ended))
    if batch.snapshot is not None:
        effects.append(StoreSnapshot(snapshot=batch.snapshot))
    return effects


def handle_conflicted(state: InstanceState, event: CommitConflicted) -> list[Effect]:
    """Discard the local state: another instance has committed; reload unless shutting down."""
    ownership = state.ownerships.get(event.shard)
    if _match_in_flight_batch(ownership, event.transaction_id) is None:
        return []
    effects = discard_ownership(state, ownership)
    effects.append(_log_shard_lost(ownership))
    new_ownership = state.ownerships.get(event.shard)
    if state.shutting_down_since is None:
        new_ownership.phase = OwnershipPhase.LOADING
        new_ownership.was_superseded = True
        effects.append(LoadShard(shard=event.shard))
    return effects


def handle_delayed(state: InstanceState, event: CommitDelayed) -> list[Effect]:
    """Record that the store does not answer; nothing new is accepted until it does."""
    ownership = state.ownerships.get(event.shard)
    batch = _match_in_flight_batch(ownership, event.transaction_id)
    if batch is not None:
        batch.delayed = True
    return []


def handle_snapshot_stored(state: InstanceState, event: SnapshotStored) -> list[Effect]:
    """Let the next commit name the snapshot and delete the rows that it covers."""
    ownership = state.ownerships.get(event.shard)
    if ownership.is_owned() and event.log_number == ownership.requested_snapshot_log:
        ownership.stored_snapshot_log = event.log_number
    return []


def _expire_calls(state: InstanceState, ownership: Ownership) -> list[Effect]:
    """Answer callers past `operation_timeout` that the outcome of their operation is unknown."""
    limit = state.now - state.parameters.operation_timeout
    groups = list(ownership.in_flight.groups) if ownership.in_flight is not None else []
    if ownership.pending and ownership.pending[0].appended_at < limit:
        groups.extend(ownership.pending)
    effects: list[Effect] = []
    for group in groups:
        if group.appended_at >= limit:
            continue
        for answer in group.answers:
            error = OutcomeUnknownError("the store has not confirmed the operation yet")
            effects.append(_refuse(answer, error))
        group.answers.clear()
    return effects


# Operations


def resolve_shard(
    state: InstanceState, shard: ShardId, ticket: Ticket, *, forwarded: bool
) -> Ownership | list[Effect]:
    """Return the owned shard, or the effects that forward or refuse an operation on another."""
    ownership = state.ownerships.get(shard)
    if ownership.is_owned():
        return ownership
    owner = find_claimed_owner(state, shard)
    address = get_peer_address(state, owner) if owner is not None else None
    if owner is not None and address is not None and not forwarded:
        return [ForwardOperation(ticket=ticket, peer=owner, address=address)]
    error: LavenderhookError = NotReadyError(f"shard {shard} has no known owner")
    if ownership.load_failed or ownership.is_store_delayed():
        error = StoreUnavailableError(f"shard {shard} has no owner and cannot be read")
    return [RefuseCall(ticket=ticket, error=error)]


def handle_submission(state: InstanceState, event: JobSubmitted) -> list[Effect]:
    """Accept a job, or confirm its earlier acceptance; the answer follows the commit."""
    shard = find_job_shard(event.job.job_id, state.parameters.shards)
    resolved = resolve_shard(state, shard, event.ticket, forwarded=event.forwarded)
    if isinstance(resolved, list):
        return resolved
    try:
        return _submit(state, resolved, event)
    except LavenderhookError as error:
        fields: dict[str, object] = {"job": event.job.job_id, "error": error.code}
        return [
            LogDecision(decision="job-refused", fields=fields),
            RefuseCall(ticket=event.ticket, error=error),
        ]


def _submit(state: InstanceState, ownership: Ownership, event: JobSubmitted) -> list[Effect]:
    existing = ownership.get_shard_state().jobs.get(event.job.job_id)
    if existing is not None:
        check_same_submission(existing.spec, event.job)
        answer = AnswerSubmission(ticket=event.ticket, job_id=event.job.job_id, repeated=True)
        return _answer_after_commit(ownership, event.job.job_id, answer)
    if state.membership.listed_at is None:
        raise NotReadyError("the platform's list of workers has not been read yet")
    if ownership.is_store_delayed():
        raise StoreUnavailableError("the store does not confirm commits; nothing was changed")
    spec = resolve_submission(state, event.job)
    _check_feasibility(state, ownership, spec)
    group = append_records(state, ownership, [JobAccepted(at=state.now, job=spec)])
    group.jobs.append(spec.job_id)
    ownership.uncommitted_job_groups[spec.job_id] = group
    answer = AnswerSubmission(ticket=event.ticket, job_id=spec.job_id, repeated=False)
    group.answers.append(answer)
    return []


def _answer_after_commit(ownership: Ownership, job_id: JobId, answer: Effect) -> list[Effect]:
    """Answer now, or after the commit of the job's last operation if that is outstanding."""
    group = ownership.uncommitted_job_groups.get(job_id)
    if group is None:
        return [answer]
    group.answers.append(answer)
    return []


def _check_feasibility(state: InstanceState, ownership: Ownership, spec: JobSpec) -> None:
    gang = spec.kind is WorkloadKind.GANG
    if gang and spec.count > state.parameters.max_batch_records:
        raise ImpossibleJobError(
            f"a gang may have at most {state.parameters.max_batch_records} tasks"
        )
    infeasibility = ownership.get_scheduler().explain_infeasibility(
        _build_feasibility_tasks(state, spec)
    )
    if infeasibility is not None:
        raise ImpossibleJobError(f"{infeasibility.code}: {infeasibility.detail}")


def _build_feasibility_tasks(state: InstanceState, spec: JobSpec) -> list[PendingTask]:
    """Return the tasks that must fit at the same time: all of a gang, one of a batch."""
    job = Job(spec=spec, accepted_at=state.now, open_tasks=spec.count)
    rules = build_placement_rules(state, spec.kind, spec.labels)
    count = spec.count if spec.kind is WorkloadKind.GANG else 1
    ids = [TaskId(f"{spec.job_id}.{index}") for index in range(count)]
    tasks = [Task(task_id, spec.job_id, index, state.now) for index, task_id in enumerate(ids)]
    return [build_pending_task(state, job, task, rules) for task in tasks]


def handle_cancellation(state: InstanceState, event: JobCancelRequested) -> list[Effect]:
    """Cancel a job; the answer follows the commit."""
    shard = find_job_shard(event.job_id, state.parameters.shards)
    resolved = resolve_shard(state, shard, event.ticket, forwarded=event.forwarded)
    if isinstance(resolved, list):
        return resolved
    try:
        return _cancel(state, resolved, event)
    except LavenderhookError as error:
        return [RefuseCall(ticket=event.ticket, error=error)]


def _cancel(state: InstanceState, ownership: Ownership, event: JobCancelRequested) -> list[Effect]:
    job = ownership.get_shard_state().jobs.get(event.job_id)
    is_operator = event.caller == OPERATORS
    if job is None or not (is_operator or job.spec.team == event.team):
        raise UnknownNameError("job", event.job_id)
    if job.spec.kind is WorkloadKind.SERVICE:
        raise InvalidArgumentError("job_id", event.job_id, "a job that is not a declared service")
    answer = _count_cancelled(ownership, event, job)
    if job.cancelled or job.ended_at is not None:
        return _answer_after_commit(ownership, event.job_id, answer)
    group = append_records(state, ownership, [JobCancelled(at=state.now, job_id=event.job_id)])
    group.jobs.append(event.job_id)
    group.answers.append(answer)
    ownership.uncommitted_job_groups[event.job_id] = group
    return [LogDecision(decision="job-cancelled", fields={"job": event.job_id})]


def _count_cancelled(
    ownership: Ownership, event: JobCancelRequested, job: Job
) -> AnswerCancellation:
    """Count a job's tasks by what the cancellation does to them.

    Only tasks for which no start was ever sent count as not run. An attempt whose placement is
    not committed has had no start, and gets none once the task is cancelled. Tasks that ran before
    and have no started attempt now count as ended.
    """
    not_run = 0
    stopping = 0
    for task in job.tasks.values():
        unsent_starts = 0
        if task.attempt_id is not None:
            status = ownership.attempt_statuses[task.attempt_id]
            unsent_starts = int(status.is_placed_by_this_owner and status.starts_sent == 0)
        # `starts` includes a placement whose start is not sent yet.
        if task.starts == unsent_starts:
            not_run += 1
        elif task.attempt_id is not None and not unsent_starts:
            stopping += 1
    return AnswerCancellation(
        ticket=event.ticket,
        job_id=event.job_id,
        not_run=not_run,
        stopping=stopping,
        ended=len(job.tasks) - not_run - stopping,
    )


def handle_platform_list(state: InstanceState, event: PlatformListed) -> list[Effect]:
    """Update the workers of the owned shards."""
    for ownership in state.ownerships.list_owned():
        refresh_workers(state, ownership)
    return []


def handle_configuration(
    state: InstanceState, event: ConfigurationReceived | ConfigurationCommitted
) -> list[Effect]:
    """Apply changed labels, selectors and policies to the workers and waiting tasks."""
    for ownership in state.ownerships.list_owned():
        if ownership.applied_version != state.configuration.version:
            refresh_placement_rules(state, ownership)
    return []


HANDLERS = {
    TimerFired: handle_timer,
    HeartbeatReceived: handle_heartbeat,
    PlatformListed: handle_platform_list,
    ConfigurationReceived: handle_configuration,
    ConfigurationCommitted: handle_configuration,
    ShardLoaded: handle_loaded,
    ShardLoadFailed: handle_load_failed,
    CommitSucceeded: handle_succeeded,
    CommitConflicted: handle_conflicted,
    CommitDelayed: handle_delayed,
    SnapshotStored: handle_snapshot_stored,
    JobSubmitted: handle_submission,
    JobCancelRequested: handle_cancellation,
}
