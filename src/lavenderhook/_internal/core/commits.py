"""Group commit of a shard: one transaction in flight while the next batch is collected."""

from __future__ import annotations

from typing import TYPE_CHECKING

from .effects import CommitShard, CountMetric, Effect
from .identifiers import IncarnationId, TransactionId
from .ownership import Batch, Ownership, RecordGroup
from .records import AnyRecord, OwnerChanged, ShardHead, ShardSnapshot

if TYPE_CHECKING:
    from .state import InstanceState

# A transaction may hold 1 MB, and values travel as base64, which adds a third.
MAX_BATCH_BYTES = 600_000
# A transaction may hold 100 rows; the head and the log row are two of them.
MAX_DELETED_ROWS = 90
# A snapshot that was not confirmed within this time is requested again.
SNAPSHOT_TIMEOUT_SECONDS = 60.0


def commit_takeover(
    state: InstanceState, ownership: Ownership, head: ShardHead | None
) -> list[Effect]:
    """Commit this instance as the owner, on top of the head that was loaded."""
    epoch = head.epoch + 1 if head is not None else 1
    log_number = head.next_log if head is not None else 1
    new_head = ShardHead(
        owner=state.incarnation,
        epoch=epoch,
        next_log=log_number + 1,
        transaction_id=_build_transaction_id(state, ownership, epoch, log_number),
        snapshot_log=head.snapshot_log if head is not None else 0,
    )
    record = OwnerChanged(at=state.now, owner=state.incarnation, epoch=epoch)
    group = RecordGroup(records=(record,), urgent=True, appended_at=state.now, size=0)
    return _start_transaction(ownership, Batch(new_head.transaction_id, new_head, [group]), ())


def _build_transaction_id(
    state: InstanceState, ownership: Ownership, epoch: int, log_number: int
) -> TransactionId:
    ownership.id_counter += 1
    return TransactionId(
        f"{state.incarnation}.{ownership.shard}.{epoch}.{log_number}.{ownership.id_counter}"
    )


def is_commit_due(state: InstanceState, ownership: Ownership) -> bool:
    """Return whether the waiting groups should be committed now.

    Groups that are not urgent are delayed by up to `lazy_commit_interval`, since each commit
    counts against the store's write rate. An owner that has nothing to commit commits an empty
    batch every `ownership_check_interval`: another instance may have owned the shard and failed
    before a heartbeat of it arrived here, and the jobs that it accepted would never be placed.
    """
    if ownership.in_flight is not None:
        return False
    if not ownership.pending:
        idle = state.now - ownership.committed_at
        return idle >= state.parameters.ownership_check_interval
    oldest = ownership.pending[0].appended_at
    if state.now - oldest >= state.parameters.lazy_commit_interval:
        return True
    return any(group.urgent for group in ownership.pending)


def commit_pending(
    state: InstanceState, ownership: Ownership, owner: IncarnationId
) -> list[Effect]:
    """Commit the waiting groups, as many as a batch may contain, in one transaction.

    Parameters
    ----------
    state : InstanceState
        The instance's state.
    ownership : Ownership
        An owned shard without a transaction in flight.
    owner : IncarnationId
        Owner that the head names afterwards; empty for a hand-over.
    """
    former = ownership.head
    assert former is not None
    groups = _pop_next_groups(state, ownership)
    log_number = former.next_log
    head = ShardHead(
        owner=owner,
        epoch=former.epoch,
        next_log=log_number + 1,
        transaction_id=_build_transaction_id(state, ownership, former.epoch, log_number),
        snapshot_log=max(former.snapshot_log, ownership.stored_snapshot_log),
    )
    if head.snapshot_log > former.snapshot_log:
        ownership.deletable_log_rows.extend(range(former.snapshot_log + 1, head.snapshot_log + 1))
    deletes = tuple(ownership.deletable_log_rows[:MAX_DELETED_ROWS])
    batch = Batch(head.transaction_id, head, groups)
    if not ownership.pending and owner:
        batch.snapshot = _build_snapshot_if_due(state, ownership, log_number)
    return _start_transaction(ownership, batch, deletes)


def _pop_next_groups(state: InstanceState, ownership: Ownership) -> list[RecordGroup]:
    groups: list[RecordGroup] = []
    records = 0
    size = 0
    while ownership.pending:
        group = ownership.pending[0]
        records += len(group.records)
        size += group.size
        if groups and (records > state.parameters.max_batch_records or size > MAX_BATCH_BYTES):
            break
        groups.append(ownership.pending.popleft())
    return groups


def _build_snapshot_if_due(
    state: InstanceState, ownership: Ownership, log_number: int
) -> ShardSnapshot | None:
    """Return a snapshot at a log row if one is due; no decision may be pending beyond that row."""
    assert ownership.head is not None
    covered = max(ownership.head.snapshot_log, ownership.stored_snapshot_log)
    if ownership.requested_snapshot_log > covered:
        covered = ownership.requested_snapshot_log
        if state.now - ownership.snapshot_requested_at < SNAPSHOT_TIMEOUT_SECONDS:
            return None
    if log_number - covered < state.parameters.snapshot_every:
        return None
    ownership.requested_snapshot_log = log_number
    ownership.snapshot_requested_at = state.now
    shard_state = ownership.get_shard_state()
    shard_state.drop_ended_jobs(state.now - state.parameters.ended_job_retention)
    for job_id in [j for j in ownership.placement_rules if j not in shard_state.jobs]:
        del ownership.placement_rules[job_id]
    return ShardSnapshot(
        shard=ownership.shard, log_number=log_number, records=shard_state.build_records()
    )


def _start_transaction(
    ownership: Ownership, batch: Batch, deletes: tuple[int, ...]
) -> list[Effect]:
    ownership.in_flight = batch
    records: list[AnyRecord] = []
    for group in batch.groups:
        records.extend(group.records)
    return [
        CommitShard(
            shard=ownership.shard,
            transaction_id=batch.transaction_id,
            expected_version=ownership.version,
            head=batch.head,
            records=tuple(records),
            delete_logs=deletes,
        ),
        CountMetric(name="commit_records", value=float(len(records))),
    ]


def confirm_batch(state: InstanceState, ownership: Ownership, batch: Batch, version: int) -> None:
    """Update the ownership after a batch was committed."""
    former = ownership.head
    if former is not None and ownership.is_owned():
        del ownership.deletable_log_rows[:MAX_DELETED_ROWS]
    ownership.in_flight = None
    ownership.committed_at = state.now
    ownership.head = batch.head
    ownership.version = version
    for group in batch.groups:
        for job_id in group.jobs:
            if ownership.uncommitted_job_groups.get(job_id) is group:
                del ownership.uncommitted_job_groups[job_id]
