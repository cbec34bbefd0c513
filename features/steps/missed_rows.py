"""Steps with a store whose reads are stale when a process starts."""

import base64
import time

import gevent
import msgspec
from behave import given, then, when

from features.steps.platform_queues import make_steps
from features.steps.stale_reads import (
    ENTRY,
    MAX_STALENESS_SECONDS,
    IdleWorker,
    LoadingStore,
    StaleStore,
    StaleWorkerList,
    make_four_tasks_row,
    shorten_staleness,
    start_owner,
    wait_until_loaded,
)
from features.support.row_table import RowTable
from lavenderhook._internal.ports.queueing import HoldRefusal, RowChanges, StoredRow, Write
from lavenderhook._internal.queueing.model import (
    FinishedRun,
    RunOutcome,
    StartOutcome,
    SubmissionState,
    WorkerReport,
)
from lavenderhook._internal.queueing.records import (
    CONTROL_TABLE,
    OUTCOME_PREFIX,
    OWNER_KEY,
    PROGRESS_PREFIX,
    SUBMISSION_PREFIX,
    WORK_TABLE,
    Outcome,
    Progress,
    choose_part,
    decode,
    decode_submission,
    encode,
)
from lavenderhook.platform.lists import decode_worker

DONE = [0, 1]  # tasks of `make_four_tasks_row`


@given("a store whose reads are stale when a process starts")
def step_stale_at_start(context):
    shorten_staleness(context)
    rows = tuple(StoredRow(table="t", key=key, value=b"", revision=5) for key in "ab")
    context.source = StaleStore(rows[:1], rows)
    context.source.has_lost_history = False  # it was lost before


@given("a list of workers that is stale when an owner reads it first")
def step_stale_first_list(context):
    shorten_staleness(context)
    listed = {name: decode_worker(name, ENTRY) for name in ("left", "new")}
    context.source = LoadingStore((), ())
    context.source.has_lost_history = False
    context.worker_list = StaleWorkerList({"left": listed["left"]}, {"new": listed["new"]})
    context.worker_list.has_lost_history = False


class GappedTable(RowTable):
    """Rows of which reads miss some until they are no longer stale, and the change feed as well."""

    def __init__(self):
        super().__init__()
        self.missed = set()
        self.stale_until = 0.0

    def read(self, table, start="", end="", part="", timeout_seconds=0.0):
        """Return the rows of a table with keys from `start` to before `end`."""
        changes = super().read(table)
        is_stale = time.monotonic() < self.stale_until
        rows = (row for row in changes.rows if not (is_stale and row.key in self.missed))
        found = (row for row in rows if row.key >= start and (not end or row.key < end))
        return RowChanges(tuple(found), changes.revision)


class FinishingWorker(IdleWorker):
    """Client of a worker whose runs end done at once; it may be out of reach."""

    def __init__(self, *, is_reachable=True):
        super().__init__()
        self.is_reachable = is_reachable
        self.finished = []

    def start(self, _address, command, _lease_until):
        """Record a start and the end of its run."""
        self.starts.append(command)
        end = FinishedRun(len(self.starts), command.task, command.number, RunOutcome.DONE, "")
        self.finished.append(end)
        return StartOutcome.STARTED

    def hold(self, _address, _worker, _born, _token, acknowledged, *_arguments):
        """Report the ends that are not acknowledged."""
        gevent.sleep(0.01)
        if not self.is_reachable:
            return HoldRefusal()
        self.finished = [end for end in self.finished if end.sequence > acknowledged]
        return WorkerReport(clock=100.0, born=1, running=(), finished=tuple(self.finished))


def make_gapped_table(context, missed_prefixes, record=PROGRESS_PREFIX):
    """Store a submission with its progress or outcome, and the row of a new owner after it."""
    shorten_staleness(context)
    table = context.source = GappedTable()
    submission = make_four_tasks_row()
    records = {
        PROGRESS_PREFIX: Progress(done={"0.0": DONE}),
        OUTCOME_PREFIX: Outcome(state=SubmissionState.COMPLETED, at=time.time()),
    }
    table.transact([Write(WORK_TABLE, submission.key, submission.value)])
    table.transact([Write(WORK_TABLE, record + "s", encode(records[record]))])
    context.owner_revision = table.transact([Write(CONTROL_TABLE, OWNER_KEY, b"{}")])
    table.missed = {prefix + "s" for prefix in missed_prefixes}
    table.stale_until = time.monotonic() + 0.9 * MAX_STALENESS_SECONDS


@given("a store with a submission and its {record} that a stale first read misses")
def step_missed_submission(context, record):
    prefix = record + "/"
    make_gapped_table(context, (SUBMISSION_PREFIX, prefix), prefix)


@given("a store with a submission whose progress alone a stale first read misses")
def step_missed_first_progress(context):
    make_gapped_table(context, (PROGRESS_PREFIX,))


def load_table(context, *, is_reachable=True):
    """Start an owner, and wait until it has loaded the table."""
    start_owner(
        context, FinishingWorker(is_reachable=is_reachable), revision=context.owner_revision
    )
    wait_until_loaded(context)


@when("an owner reads the list and places tasks")
def step_owner_reads_list(context):
    start_owner(context, worker_list=context.worker_list)
    gevent.sleep(2 * MAX_STALENESS_SECONDS)


@when("a new owner loads the table, and reads are no longer stale")
def step_load_and_wait(context):
    load_table(context)
    gevent.sleep(2.5 * MAX_STALENESS_SECONDS)


@when("a new owner loads the table, and a peer reports the submission {manner}")
def step_load_and_report(context, manner):
    load_table(context)
    row = context.source.find(WORK_TABLE, SUBMISSION_PREFIX + "s")
    revision = None if manner == "without a revision" else row.revision
    context.owner.add_submission(decode_submission(row.value), revision)
    gevent.sleep(0.6 * MAX_STALENESS_SECONDS)


@when("a new owner that can't reach its worker loads the table, and reads are no longer stale")
def step_load_unreached(context):
    load_table(context, is_reachable=False)
    gevent.sleep(1.5 * MAX_STALENESS_SECONDS)


@when("it reaches the worker")
def step_reach(context):
    context.client.is_reachable = True
    gevent.sleep(MAX_STALENESS_SECONDS)


@then("it starts only what is not done")
def step_started_rest(context):
    started = sorted(command.task.index for command in context.client.starts)
    assert started == [2, 3], started
    outcome = context.source.find(WORK_TABLE, OUTCOME_PREFIX + "s")
    assert outcome is not None, "the submission has not ended"
    assert decode(outcome.value, Outcome).state is SubmissionState.COMPLETED, outcome


@then("it starts none of the tasks")
def step_started_none(context):
    assert not context.client.starts, context.client.starts


@when('the store holds submission "{name}", of which the change feed says nothing')
def step_untold_row(context, name):
    platform = context.cluster.platform
    index = context.other_index = 1 - context.cluster.find_owner()
    sample = "00000000000000e6"
    assert context.cluster.submit(index, sample, make_steps(1)).status == 200
    platform.record_submission(name, make_steps(1))
    key = (WORK_TABLE, choose_part(sample), SUBMISSION_PREFIX + sample)
    row = platform.store.rows[key]
    submission = decode_submission(base64.b64decode(row["value"]))
    value = base64.b64encode(encode(msgspec.structs.replace(submission, id=name))).decode()
    part, key = choose_part(name), SUBMISSION_PREFIX + name
    platform.store.rows[WORK_TABLE, part, key] = {
        **row,
        "part": part,
        "key": key,
        "value": value,
        "schemaVersion": 1,
    }


@then('"{name}" is completed within {seconds:f} seconds at the instance that is not the owner')
def step_completed_there(context, name, seconds):
    found = context.cluster.wait_state(context.other_index, name, "completed", seconds)
    assert found == "completed", found
