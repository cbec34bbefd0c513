"""Steps with a store whose reads are stale after it has lost its history."""

import itertools
import time
from unittest import mock

import gevent
import msgspec
from behave import given, then, when

from features.steps.platform_queues import make_steps
from lavenderhook._internal.instance import table_watcher
from lavenderhook._internal.instance.owner import Owner
from lavenderhook._internal.instance.ownership_proof import OwnershipProof
from lavenderhook._internal.instance.table_watcher import TableWatcher
from lavenderhook._internal.instance.work_table import WorkTable
from lavenderhook._internal.ports.queueing import (
    HistoryLostError,
    HoldRefusal,
    RowChanges,
    RowConflict,
    StoredRow,
    WorkerChanges,
)
from lavenderhook._internal.queueing import finished_runs, unknown_submissions
from lavenderhook._internal.queueing.events import ProgressFound
from lavenderhook._internal.queueing.model import (
    FencingToken,
    FinishedRun,
    QueueTerms,
    ReportedRun,
    Resources,
    RunOutcome,
    StartOutcome,
    StepSpec,
    Submission,
    SubmissionState,
    TaskKey,
    WorkerReport,
)
from lavenderhook._internal.queueing.owner_state import OwnerParameters, OwnerState
from lavenderhook._internal.queueing.records import (
    CONTROL_TABLE,
    ROSTER_KEY,
    WORK_TABLE,
    Outcome,
    Progress,
    Roster,
    StoredCrash,
    choose_part,
    decode,
    encode,
)
from lavenderhook.errors import StoreUnavailableError, TransportError
from lavenderhook.platform.lists import decode_worker

STALE_SECONDS = 0.5
UNMATCHED_SECONDS = 0.3  # in place of the time for which ends of unknown submissions are kept
MAX_STALENESS_SECONDS = 1.0  # in place of the real bound
ENTRY = (
    b'{"service":"s","address":"127.0.0.1:9","zone":"z","state":"ready",'
    b'"capacity":{"cpu":1,"memMb":1},"born":1}'
)


def ignore_event(*_names, **_fields):
    """Accept a log event."""


class StaleSource:
    """Reads that return old items with the newest revision until they are no longer stale."""

    REVISION = 9

    def __init__(self, old, new):
        self.old = old
        self.new = new
        self.stale_until = time.monotonic() + STALE_SECONDS
        self.has_lost_history = True

    def read_items(self):
        """Return the items that a read sees now."""
        return self.old if time.monotonic() < self.stale_until else self.new

    def wait(self, seconds):
        """Wait for a change that does not come; report the lost history once."""
        gevent.sleep(min(seconds, 0.05))
        if self.has_lost_history:
            self.has_lost_history = False
            raise HistoryLostError


class StaleStore(StaleSource):
    """Store with one table."""

    def read(self, *_arguments, **_options):
        """Return the rows."""
        return RowChanges(self.read_items(), self.REVISION)

    def wait_for_changes(self, _table, _after, seconds):
        """Return no change."""
        self.wait(seconds)
        return RowChanges((), self.REVISION)


class StaleWorkerList(StaleSource):
    """List of workers."""

    def read(self):
        """Return the whole list."""
        return WorkerChanges(self.read_items(), self.REVISION, True)

    def wait_for_changes(self, _after, seconds):
        """Return no change."""
        self.wait(seconds)
        return WorkerChanges({}, self.REVISION, False)


def shorten_staleness(context):
    """Replace the bound on the staleness of reads by a shorter one."""
    patch = mock.patch.object(table_watcher, "MAX_READ_STALENESS_SECONDS", MAX_STALENESS_SECONDS)
    patch.start()
    context.add_cleanup(patch.stop)


@given("a store that loses its history while a row is written, with stale reads for a while")
def step_stale_store(context):
    shorten_staleness(context)
    rows = tuple(StoredRow(table="t", key=key, value=b"", revision=5) for key in "ab")
    context.source = StaleStore(rows[:1], rows)


@when("a watcher follows the table")
def step_watcher(context):
    context.found = set()
    watcher = TableWatcher(
        context.source, "t", lambda row: context.found.add(row.key), ("",), ignore_event
    )
    until = time.monotonic() + 2 * MAX_STALENESS_SECONDS
    while time.monotonic() < until:
        watcher.poll(0.05)


@then("it finds the row once reads are no longer stale")
def step_row_found(context):
    assert context.found == {"a", "b"}, context.found


@when("the store's reads are stale for {seconds:f} seconds")
def step_serve_stale_reads(context, seconds):
    context.cluster.platform.store.serve_stale_reads(seconds)


@when("the store's reads are stale for {seconds:f} seconds and its history is dropped")
def step_drop_history(context, seconds):
    context.cluster.platform.store.serve_stale_reads(seconds)
    context.cluster.platform.store.truncate_history()


@given("a store that loses its history while a worker leaves and another comes")
def step_stale_list(context):
    shorten_staleness(context)
    listed = {name: decode_worker(name, ENTRY) for name in ("left", "new")}
    context.source = StaleWorkerList({"left": listed["left"]}, {"new": listed["new"]})


@when("an owner follows the list of workers")
def step_owner_follows(context):
    owner = context.owner = Owner(
        FencingToken(1),
        1,
        store=None,
        worker_list=context.source,
        worker_client=None,
        request_advice=None,
        parameters=OwnerParameters(),
        step_down=lambda *_: None,
        log_event=ignore_event,
        report_error=ignore_event,
        work=WorkTable(None, ignore_event),
        is_isolated=lambda: False,
        proof=OwnershipProof(0.0),
    )
    owner.state = OwnerState(FencingToken(1), 1, 0.0, OwnerParameters())
    owner._workers_revision = 1
    with mock.patch.object(owner, "apply"):  # what follows from the list is not of interest
        loop = gevent.spawn(owner._workers_loop)
        gevent.sleep(2 * MAX_STALENESS_SECONDS)
        loop.kill()


@then("it lists only the new worker once reads are no longer stale")
def step_listed(context):
    assert set(context.owner._listings) == {"new"}, set(context.owner._listings)


class LoadingStore(StaleStore):
    """Store of an owner that loads; reads of the work table are stale for a while."""

    def measure_latency_seconds(self):
        """Return zero: calls take no time."""
        return 0.0

    def read(self, table, start="", end="", part="", **_options):
        """Return the rows of a part with keys from `start` to before `end`."""
        rows = self.read_items() if table == WORK_TABLE else ()
        found = (row for row in rows if row.part == part and row.key >= start)
        return RowChanges(tuple(row for row in found if not end or row.key < end), self.REVISION)

    def transact(self, _writes, conditions=(), *_arguments):
        """Return the revision of a transaction, or the current rows if one is not the expected."""
        current = {row.key: row for row in self.new}
        expected = {c.key: c.revision for c in conditions if c.table == WORK_TABLE}
        if any(current[key].revision != expected[key] for key in expected & current.keys()):
            found = (row for key, row in current.items() if key in expected)
            return RowConflict((make_owner_row(self.REVISION), *found))
        return self.REVISION


class IdleWorker:
    """Client of one worker that runs nothing, and records the starts."""

    def __init__(self):
        self.starts = []

    def start(self, _address, command, _lease_until):
        """Record a start."""
        self.starts.append(command)
        return StartOutcome.STARTED

    def hold(self, *_arguments):
        """Report no runs."""
        gevent.sleep(0.01)
        return WorkerReport(clock=100.0, born=1, running=(), finished=())


def make_stored_submission():
    """Return a submission of one task for the workers of `ENTRY`."""
    return Submission(
        id="s",
        queue=QueueTerms(name="q", service="s"),
        payload="",
        steps=(StepSpec(resources=Resources(1, 1)),),
        accepted_at=time.time(),
    )


def make_submission_row(submission):
    """Return the row of a submission."""
    return StoredRow(
        table=WORK_TABLE,
        key="submission/s",
        value=encode(submission),
        revision=4,
        part=choose_part("s"),
    )


@given("a store that loses its history while a submission ends, with stale reads for a while")
def step_stale_end(context):
    shorten_staleness(context)
    row = make_submission_row(make_stored_submission())
    outcome = Outcome(state=SubmissionState.COMPLETED, at=time.time())
    end = StoredRow(table=WORK_TABLE, key="outcome/s", value=encode(outcome), revision=5)
    context.source = LoadingStore((row,), (row, end))


@when("an owner loads the work and places tasks")
def step_owner_loads(context):
    start_owner(context)
    gevent.sleep(3 * MAX_STALENESS_SECONDS)


class StaleRosterStore(LoadingStore):
    """Store of an owner that loads; only reads of the roster are stale for a while."""

    ROSTER_REVISION = 3

    def read(self, table, *_range, part="", **_options):
        """Return the rows of a part."""
        if table == CONTROL_TABLE:
            return RowChanges(self.read_items(), self.REVISION)
        rows = (make_submission_row(make_stored_submission()),) if table == WORK_TABLE else ()
        return RowChanges(tuple(row for row in rows if row.part == part), self.REVISION)

    def transact(self, writes, conditions=(), *_arguments):
        """Return the revision of a transaction, or the newest roster if another one was read."""
        expected = [(write.key, write.expected) for write in writes]
        expected += [(condition.key, condition.revision) for condition in conditions]
        if any(
            key == ROSTER_KEY and revision != self.ROSTER_REVISION for key, revision in expected
        ):
            return RowConflict((make_owner_row(self.REVISION), *self.new))
        return self.REVISION


class EndedRunWorker(IdleWorker):
    """Client of a worker on which the only task of `make_stored_submission` has ended done."""

    def __init__(self):
        super().__init__()
        self.acknowledged = 0

    def hold(self, _address, _worker, _born, _token, acknowledged, *_arguments):
        """Report the end until it is acknowledged."""
        gevent.sleep(0.01)
        self.acknowledged = max(self.acknowledged, acknowledged)
        end = FinishedRun(1, TaskKey("s", 0, 0, 0), 1, RunOutcome.DONE, "")
        finished = () if self.acknowledged else (end,)
        return WorkerReport(clock=100.0, born=1, running=(), finished=finished)


class LostFeedStore(LoadingStore):
    """Store that is unavailable after it was loaded; then a submission is found in it."""

    is_available = True

    def read(self, *arguments, **options):
        """Return the rows of a part."""
        self._check()
        return super().read(*arguments, **options)

    def read_items(self):
        """Return the rows: none until the store is available again."""
        return self.new if self.has_returned else self.old

    has_returned = False

    def wait_for_changes(self, _table, _after, _seconds):
        """Return the rows that have changed."""
        self._check()
        return RowChanges(self.read_items(), self.REVISION)

    def transact(self, *_arguments):
        """Return the revision of a transaction."""
        self._check()
        return self.REVISION

    def _check(self):
        if not self.is_available:
            raise StoreUnavailableError("the rows are unavailable")


@given("a store without the submission that a former owner has started")
def step_late_submission(context):
    context.source = LostFeedStore((), (make_submission_row(make_stored_submission()),))


@when("the store is unavailable for longer than ends of unknown submissions are kept")
def step_store_outage(context):
    shorten_waits(context)
    start_ended_run_owner(context)
    wait_until_loaded(context)
    context.source.is_available = False
    gevent.sleep(4 * UNMATCHED_SECONDS)
    context.source.has_returned = context.source.is_available = True
    gevent.sleep(1.0)


@when("an owner learns that a task of the submission has ended")
def step_learn_end(context):
    shorten_waits(context)
    start_ended_run_owner(context)
    gevent.sleep(4 * UNMATCHED_SECONDS)


class UnreadableStore(LoadingStore):
    """Store without rows whose reads fail, while transactions succeed."""

    is_readable = True

    def read(self, *arguments, **options):
        """Return no rows."""
        if not self.is_readable:
            raise StoreUnavailableError("the rows can't be read")
        return super().read(*arguments, **options)


@given("a store without any row")
def step_empty_store(context):
    context.source = UnreadableStore((), ())


@when("reads of the rows fail while an owner learns that a task of the submission has ended")
def step_learn_end_unread(context):
    shorten_waits(context)
    start_ended_run_owner(context)
    wait_until_loaded(context)
    context.source.is_readable = False
    gevent.sleep(4 * UNMATCHED_SECONDS)


@when("the store can be read again")
def step_readable(context):
    context.source.is_readable = True


@then("the end is acknowledged")
def step_acknowledged(context):
    with gevent.Timeout(4 * UNMATCHED_SECONDS):
        while not context.client.acknowledged:
            gevent.sleep(0.01)


def wait_until_loaded(context):
    """Wait until the owner has loaded the rows."""
    with gevent.Timeout(1.0):
        while not context.owner.is_loaded:
            gevent.sleep(0.01)


def shorten_waits(context):
    """Keep ends of unknown submissions for a shorter time."""
    for module, name in (
        (finished_runs, "UNMATCHED_FINISHED_RUN_SECONDS"),
        (unknown_submissions, "SEARCH_INTERVAL_SECONDS"),
    ):
        patch = mock.patch.object(module, name, UNMATCHED_SECONDS)
        patch.start()
        context.add_cleanup(patch.stop)


def start_ended_run_owner(context):
    """Start an owner that reads the end of a run."""
    start_owner(context, EndedRunWorker())


@then("the end is not acknowledged")
def step_not_acknowledged(context):
    assert not context.client.acknowledged, context.client.acknowledged


class CutOffWorker(IdleWorker):
    """Client of workers of which one does not answer."""

    def hold(self, _address, worker, *arguments):
        """Report no runs, or nothing at all."""
        gevent.sleep(0.01)
        return HoldRefusal() if worker == "cut" else super().hold(_address, worker, *arguments)


def make_owner_row(revision):
    """Return the row of the owner, whose content no test reads."""
    return StoredRow(table=CONTROL_TABLE, key="owner", value=b"{}", revision=revision)


def make_roster_row(workers, revision, closed=()):
    """Return the row of a roster."""
    roster = Roster(workers=frozenset(workers), closed=dict.fromkeys(closed, revision))
    return StoredRow(table=CONTROL_TABLE, key=ROSTER_KEY, value=encode(roster), revision=revision)


@given("a roster that has changed before an owner loads it with {kind} reads")
def step_changed_roster(context, kind):
    old = make_roster_row(("w", "cut"), 2, closed=("cut",))
    new = make_roster_row(("w", "cut"), StaleRosterStore.ROSTER_REVISION)
    context.source = StaleRosterStore((old if kind == "stale" else new,), (new,))


@when("the owner places tasks while it can't reach a worker of that roster")
def step_place_beside_cut_worker(context):
    start_owner(context, CutOffWorker(), ("w", "cut"))
    gevent.sleep(2 * MAX_STALENESS_SECONDS)


def start_owner(
    context, client=None, names=("w",), worker_list=None, revision=LoadingStore.REVISION
):
    """Start an owner, which loads the rows of the source; it stops with the test.

    `worker_list` replaces a list with these names, `revision` is that of the owner's row.
    """
    context.client = client or IdleWorker()
    listed = {name: decode_worker(name, ENTRY) for name in names}
    owner = context.owner = Owner(
        FencingToken(2),
        revision,
        store=context.source,
        worker_list=worker_list or StaleWorkerList(listed, listed),
        worker_client=context.client,
        request_advice=None,
        parameters=OwnerParameters(),
        step_down=lambda *_: None,
        log_event=ignore_event,
        report_error=ignore_event,
        work=WorkTable(context.source, ignore_event),
        is_isolated=lambda: False,
        proof=OwnershipProof(0.0),
    )
    owner.start()
    context.add_cleanup(owner.stop)


@then("it starts nothing")
def step_no_start(context):
    assert not context.client.starts, context.client.starts


MISSED_CRASH = StoredCrash(age_seconds=0.5)


class ProgressStore(LoadingStore):
    """Store with a progress row that only transactions show."""

    def __init__(self, rows, value=None):
        super().__init__(rows, rows)
        self.value = value
        self.revision = 0 if value is None else 5
        self.drops_responses = False
        self.conflicts = 0

    def transact(self, writes, *_arguments):
        """Write the progress if its revision is the expected one."""
        for write in writes:
            if write.key != "progress/s":
                continue
            if write.expected != self.revision:
                self.conflicts += 1
                row = StoredRow(
                    table=WORK_TABLE, key="progress/s", value=self.value, revision=self.revision
                )
                return RowConflict((make_owner_row(self.REVISION), row))
            self.value, self.revision = write.value, self.revision + 1
            if self.drops_responses:
                self.drops_responses = False
                raise TransportError("the response was lost", sent=True)
            return self.revision
        return self.REVISION


class ThirdTaskEndedWorker(EndedRunWorker):
    """Client of a worker on which task 2 has ended, and tasks run until they are stopped."""

    def __init__(self):
        super().__init__()
        self.acknowledged = 0
        self.stops = []
        self.active = {}

    def start(self, address, command, lease_until):
        """Start a run."""
        self.active[command.task] = command.number
        return super().start(address, command, lease_until)

    def stop(self, _address, _worker, task, number, _token):
        """Stop a run."""
        self.stops.append((task, number))
        self.active.pop(task, None)
        return True

    def hold(self, _address, _worker, _born, _token, acknowledged, *_arguments):
        """Report the end, once the first task runs, until it is acknowledged."""
        gevent.sleep(0.01)
        self.acknowledged = max(self.acknowledged, acknowledged)
        end = FinishedRun(1, TaskKey("s", 0, 0, 2), 1, RunOutcome.DONE, "")
        has_begun = self.active or self.stops
        return WorkerReport(
            clock=100.0,
            born=1,
            running=tuple(ReportedRun(task, n, "") for task, n in self.active.items()),
            finished=(end,) if has_begun and not self.acknowledged else (),
        )


def make_four_tasks_row():
    """Return the row of a submission of four tasks, one of which may run at a time."""
    steps = (StepSpec(resources=Resources(1, 1), count=4),)
    queue = QueueTerms(name="q", service="s", most_attempts=3)
    submission = msgspec.structs.replace(make_stored_submission(), queue=queue, steps=steps)
    return make_submission_row(submission)


@given("a store with progress that a new owner has not loaded")
def step_missed_progress(context):
    progress = Progress(
        done={"0.0": [0, 1]}, failed={"0.0": {3: [7]}}, crashed={"0.0": {3: {8: MISSED_CRASH}}}
    )
    context.source = ProgressStore((make_four_tasks_row(),), encode(progress))


@given("a store with progress that a new owner has not loaded, and can't read")
def step_missed_unreadable_progress(context):
    context.source = ProgressStore((make_four_tasks_row(),), b"[")


@given("a store that carries out the first write of progress but does not respond")
def step_lost_response(context):
    context.source = ProgressStore((make_four_tasks_row(),))
    context.source.drops_responses = True


@when("the owner stores the end of another task")
def step_store_end(context):
    with mock.patch.object(Owner, "apply", autospec=True, side_effect=Owner.apply) as apply:
        start_owner(context, ThirdTaskEndedWorker())
        gevent.sleep(2.0)
    context.found = [c for c in apply.call_args_list if isinstance(c.args[1], ProgressFound)]


@then("the store holds all tasks that are done, and the run that failed and the one that crashed")
def step_merged_progress(context):
    assert context.source.conflicts == 1, context.source.conflicts
    progress = decode(context.source.value, Progress)
    assert progress.done == {"0.0": [0, 1, 2]}, progress
    assert progress.failed == {"0.0": {3: [7]}}, progress
    assert progress.crashed == {"0.0": {3: {8: MISSED_CRASH}}}, progress


@then("tasks that were done in the store are stopped if they have been started, and start no more")
def step_needless_stopped(context):
    client = context.client
    started = [(c.task, c.number) for c in client.starts if c.task.index in (0, 1)]
    assert len(started) == 1, started  # before the conflict, as nothing showed that it was done
    assert client.stops == started, (client.stops, started)
    assert {task.index for task in client.active} == {3}, client.active


@then("the store holds the progress of the owner alone")
def step_own_progress(context):
    assert context.source.conflicts == 1, context.source.conflicts
    assert not context.found, context.found
    assert decode(context.source.value, Progress).done == {"0.0": [2]}, context.source.value
    assert context.client.acknowledged, "the end is not acknowledged"


@then("the progress is not replaced")
def step_progress_kept(context):
    assert context.source.conflicts == 1, context.source.conflicts
    assert context.source.value == b"[", context.source.value


@then("submissions are accepted by each instance, and their cancellations by each other instance")
def step_cancel_at_others(context):
    cluster, statuses = context.cluster, {}
    instances = range(len(cluster.entries))
    for number, (index, other) in enumerate(itertools.permutations(instances, 2), 1):
        name = f"{number:016x}"
        assert cluster.submit(index, name, make_steps(1, 20_000)).status == 200
        statuses[(index, other)] = cluster.call(other, "DELETE", f"/jobs/{name}").status
    assert set(statuses.values()) == {200}, statuses
