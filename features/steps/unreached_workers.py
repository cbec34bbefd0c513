"""Steps with a worker that no instance reaches while owners change."""

import signal
import time

import gevent
import msgspec
from behave import given, then, when

from features.steps.platform_queues import make_steps
from features.support.queue_simulation import make_step, make_submission
from features.support.row_table import RowTable
from lavenderhook._internal.instance.submission_writer import SubmissionWriter, WriteResult
from lavenderhook._internal.queueing.records import SUBMISSION_PREFIX, WORK_TABLE

PROCESSORS = 3000  # of each task, in thousandths; two fit on a worker
SUBMISSION = "00000000000000e1"
MAX_START_SECONDS = 10.0
# A killed owner may act until its proof has expired. Then its successor closes the worker.
ACTIVE_SECONDS = 1.6
SIGNALS = {"receive SIGTERM": signal.SIGTERM, "are killed": signal.SIGKILL}


@when("a submission of {count:d} tasks of {seconds:d} seconds runs on {workers:d} workers")
def step_run(context, count, seconds, workers):
    context.steps = make_steps(count, seconds * 1000)
    context.steps[0]["cpu"] = PROCESSORS
    assert context.cluster.submit(0, SUBMISSION, context.steps).status == 200
    until = time.monotonic() + MAX_START_SECONDS
    while sum(counts := count_runs(context)) < count:
        assert time.monotonic() < until, counts
        gevent.sleep(0.02)
    assert sum(map(bool, counts)) == workers, counts


def count_runs(context):
    """Return how many runs each worker has."""
    return [len(worker.runs) for worker in context.cluster.platform.workers]


@when("no instance reaches one of its workers any more")
def step_cut_worker(context):
    workers = context.cluster.platform.workers
    context.cluster.cut_off((), [next(worker for worker in workers if worker.runs)])


@when("{count:d} owners in a row {end}")
def step_end_owners(context, count, end):
    cluster = context.cluster
    former = None
    for _ in range(count):
        owner = wait_for_new_owner(cluster, former)
        if former is not None:
            gevent.sleep(ACTIVE_SECONDS)
        cluster.entries[owner].send(SIGNALS[end])
        former = owner
    wait_for_new_owner(cluster, former)


def wait_for_new_owner(cluster, former):
    """Return the index of the owner once it is not the former one."""
    until = time.monotonic() + MAX_START_SECONDS
    while (owner := cluster.find_owner()) == former:
        assert time.monotonic() < until, "there is no new owner"
        gevent.sleep(0.02)
    return owner


@when("the submission is sent again to every instance that is left")
def step_send_again(context):
    gevent.sleep(0.3)  # until the new owner has loaded
    answers = []
    for index, entry in enumerate(context.cluster.entries):
        if entry.is_ready():
            answers.append(context.cluster.submit(index, SUBMISSION, context.steps).status)
    assert 200 in answers, answers


def ignore_event(*_names, **_fields):
    """Accept a log event."""


@given("rows of the queues that two instances store")
def step_writers(context):
    context.rows = RowTable()
    context.writers = [SubmissionWriter(context.rows, ignore_event) for _ in range(2)]
    for writer in context.writers:
        context.add_cleanup(writer.stop)


@when(
    "one instance stores a submission, then another one, and the other instance the first one again"
)
def step_store_again(context):
    one, other = context.writers
    first, second = (make_submission(name, [make_step()]) for name in ("first", "second"))
    for writer, submission in ((one, first), (one, second), (other, first)):
        result = writer.store_submission(submission, time.monotonic() + MAX_START_SECONDS)
        assert result is WriteResult.STORED, result


@then("both report the first submission with the revision of its row")
def step_reported(context):
    revision = context.rows.find(WORK_TABLE, SUBMISSION_PREFIX + "first").revision
    reported = [writer.find_revision("first") for writer in context.writers]
    assert reported == [revision, revision], (revision, reported)


@when("a submission is sent to every instance")
def step_send_to_all(context):
    for index in range(len(context.cluster.entries)):
        name = f"{index:016x}"
        assert context.cluster.submit(index, name, make_steps(1)).status == 200
        assert context.cluster.wait_state(0, name, "completed", MAX_START_SECONDS) == "completed"
        context.accepted.append(name)


@then("the owner has queued each of them by the revision of its row")
def step_queued_by_revision(context):
    owner = context.cluster.entries[context.cluster.find_owner()]
    lines = [msgspec.json.decode(line) for line in owner.log.read_bytes().splitlines()]
    queued = {e["submission"]: e["revision"] for e in lines if e["event"] == "submission-queued"}
    rows = context.cluster.platform.store.rows
    stored = {key: row["schemaVersion"] for (_, _, key), row in rows.items()}
    expected = {name: stored[SUBMISSION_PREFIX + name] for name in context.accepted}
    assert queued == expected, (queued, expected)
