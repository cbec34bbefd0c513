"""Steps that check commits, claims and configuration against an in-memory table."""

import collections
import time

import gevent
import msgspec
from behave import given, then, when

from features.support.memory_table import MemoryTable
from lavenderhook._internal.adapters.calls import PendingCalls
from lavenderhook._internal.adapters.claims import ClaimStore, decode_claim
from lavenderhook._internal.adapters.commits import ShardLog
from lavenderhook._internal.adapters.configuration import ConfigurationStore
from lavenderhook._internal.adapters.time import SystemClock
from lavenderhook._internal.adapters.transport import ClientResponse
from lavenderhook._internal.adapters.workers import HttpWorkerClient
from lavenderhook._internal.core.declarations import Quota
from lavenderhook._internal.core.effects import (
    ClaimRequest,
    CommitConfiguration,
    CommitShard,
    Completed,
    LoadConfiguration,
    LoadShard,
    RecordOutcome,
    ReleaseClaim,
    StoreSnapshot,
    TaskStart,
)
from lavenderhook._internal.core.events import (
    ClaimResolved,
    ClaimState,
    CommitConflicted,
    CommitDelayed,
    CommitSucceeded,
    ConfigurationChange,
    ConfigurationCommitted,
    ConfigurationReceived,
    ConfigurationRefused,
    OutcomeRecorded,
    ShardLoaded,
)
from lavenderhook._internal.core.records import JobCancelled, ShardHead, ShardSnapshot
from lavenderhook._internal.core.resources import Resources
from lavenderhook._internal.ports.platform import Row

CLAIM_SECONDS = 2.0
RESPONSE = ClientResponse(201, (("content-type", "text/plain"),), b"quote 17")


class MemoryObjects(dict):
    """In-memory object store."""

    put = dict.__setitem__

    def delete(self, key):
        """Delete an object if it exists."""
        self.pop(key, None)


@given("an in-memory table")
def step_table(context):
    context.store_table = MemoryTable()
    context.objects = MemoryObjects()
    context.store_events = []
    context.shard_log = ShardLog(
        context.store_table, context.objects, SystemClock(), context.store_events.append
    )


@given("an in-memory table that loses the next commit response")
def step_losing(context):
    step_table(context)
    context.store_table.responses_to_lose = 1


@given("an in-memory table that rejects {count:d} commit attempts as unavailable")
def step_rejecting(context, count):
    step_table(context)
    context.store_table.commits_to_reject = count


@given("an in-memory table that is unavailable for {seconds:f} seconds")
def step_unavailable(context, seconds):
    step_table(context)
    context.store_table.unavailable_until = time.monotonic() + seconds


@given(
    "an in-memory table with seed {seed:d} "
    "and fault rates {requests:g}, {responses:g}, {rejections:g}"
)
def step_faulty(context, seed, requests, responses, rejections):
    context.store_table = MemoryTable(seed, requests, responses, rejections)


# Shard log


def commit(context, number, *, owner="one", version=0, records=None, **extra):
    """Commit one batch as log row `number`."""
    head = ShardHead(
        owner=owner, epoch=1, next_log=number + 1, transaction_id=f"{owner}-{number}", **extra
    )
    delete_logs = tuple(range(1, extra.get("snapshot_log", 0) + 1))
    if records is None:
        records = (JobCancelled(at=float(number), job_id="job"),)
    effect = CommitShard(
        shard=0,
        transaction_id=head.transaction_id,
        expected_version=version,
        head=head,
        records=records,
        delete_logs=delete_logs,
    )
    with gevent.Timeout(10):
        context.shard_log.commit(effect)
    return context.store_events[-1]


def load(context):
    """Load the shard and return the event."""
    context.shard_log.load(LoadShard(shard=0))
    event = context.store_events.pop()
    assert isinstance(event, ShardLoaded), event
    return event


@when("owner one commits records to shard 0")
def step_commit(context):
    commit(context, 1)


@when("owner two commits records to shard 0 with an outdated version")
def step_commit_outdated(context):
    commit(context, 1, owner="two")


@then("the commit succeeds with the head's version")
def step_succeeds(context):
    (event,) = context.store_events
    assert isinstance(event, CommitSucceeded), event
    assert event.version == context.store_table.rows["shard/0/head"][0]
    assert context.store_table.commits == 1, "the transaction must not be applied twice"


@then("the commit is a conflict")
def step_conflict(context):
    assert isinstance(context.store_events[-1], CommitConflicted), context.store_events


@then("the commit is delayed once and then succeeds")
def step_delayed(context):
    kinds = [type(event) for event in context.store_events]
    assert kinds == [CommitDelayed, CommitSucceeded], kinds


@when(
    "shard 0 gets {count:d} commits, a snapshot of the first {covered:d} "
    "and a deletion of the covered rows"
)
def step_compact(context, count, covered):
    version = 0
    for number in range(1, count + 1):
        extra = {}
        if number == count:
            snapshot = ShardSnapshot(shard=0, log_number=covered, records=())
            context.shard_log.store_snapshot(StoreSnapshot(snapshot=snapshot))
            extra = {"snapshot_log": covered}
        version = commit(context, number, version=version, **extra).version


@then("the shard loads with {count:d} batch")
def step_loads(context, count):
    assert len(load(context).batches) == count


@then("the shard loads with {count:d} batches and the snapshot of the first {covered:d}")
def step_loads_snapshot(context, count, covered):
    event = load(context)
    assert len(event.batches) == count and event.snapshot.log_number == covered, event
    assert event.batches[-1][0].at == count + covered


@then("no log row up to {covered:d} is left")
def step_deleted(context, covered):
    remaining = [key for key in context.store_table.rows if key.startswith("shard/0/log/")]
    assert all(int(key.rpartition("/")[2]) > covered for key in remaining), remaining


@when("shard 0 gets a batch of {count:d} records")
def step_large(context, count):
    context.records = tuple(JobCancelled(at=1.0, job_id=f"job-{n}") for n in range(count))
    commit(context, 1, records=context.records)


@then("the shard loads with the same {count:d} records")
def step_large_loads(context, count):
    (batch,) = load(context).batches
    assert batch == context.records and len(batch) == count


# Claims


class ClaimClient:
    """Claims of one instance."""

    def __init__(self, table, name):
        self.name = name
        self.events = []
        self.calls = PendingCalls()
        self.clock = SystemClock()
        self.store = ClaimStore(table, self.clock, self.calls, name, self.events.append, 1000)

    def claim(self, request_id, body=b"order", seconds=CLAIM_SECONDS):
        """Start a claim and return its call."""
        call = self.calls.add(method="POST", target="/x", body=body)
        effect = ClaimRequest(
            ticket=call.ticket,
            claim_id=f"{self.name}-{call.ticket}",
            caller="desk",
            request_id=request_id,
            deadline=self.clock.read() + seconds,
        )
        self.store.claim(effect)
        return call

    def wait(self, count, event_type=ClaimResolved):
        """Wait for events of a type and return their states by ticket."""
        with gevent.Timeout(8):
            while len(received := [e for e in self.events if isinstance(e, event_type)]) < count:
                gevent.sleep(0.002)
        return {event.ticket: event for event in received}

    def claim_one(self, request_id, body=b"order"):
        """Claim and return (call, state)."""
        call = self.claim(request_id, body)
        return call, self.wait(len(self.calls))[call.ticket].state


@when("{instances:d} instances claim the same {count:d} ids at once")
def step_race(context, instances, count):
    context.claim_clients = [
        ClaimClient(context.store_table, f"entry-{n}") for n in range(instances)
    ]
    context.claims = {
        (claim_client.name, number): claim_client.claim(f"order/{number}")
        for number in range(count)
        for claim_client in context.claim_clients
    }
    context.claim_states = collections.defaultdict(list)
    for claim_client in context.claim_clients:
        events = claim_client.wait(count)
        for (name, number), call in context.claims.items():
            if name == claim_client.name:
                context.claim_states[number].append(events[call.ticket].state)


@then("each id is claimed by exactly one instance, or by none if the table was unavailable to one")
def step_exactly_one(context):
    for number, states in context.claim_states.items():
        winners = states.count(ClaimState.CLAIMED)
        assert winners <= 1, (number, states)
        others = {*states} - {ClaimState.CLAIMED}
        assert others <= {ClaimState.IN_PROGRESS, ClaimState.UNAVAILABLE}, (number, states)
        if winners == 0:
            assert ClaimState.UNAVAILABLE in states, (number, states)


@then("no row remains held by an abandoned claim")
def step_no_abandoned_claim(context):
    won = [
        f"{claim_client.name}-{event.ticket}"
        for claim_client in context.claim_clients
        for event in claim_client.events
        if event.state is ClaimState.CLAIMED
    ]
    with gevent.Timeout(5):
        while collect_claim_ids(context.store_table) != sorted(won):
            gevent.sleep(0.05)


def collect_claim_ids(table):
    """Return the claim ids in the table's rows."""
    rows = [Row("", version, value) for version, value in table.rows.values()]
    return sorted(decode_claim(row).claim_id for row in rows)


@when("{count:d} claims are made at once")
def step_many_claims(context, count):
    context.claim_client = ClaimClient(context.store_table, "entry-1")
    for number in range(count):
        context.claim_client.claim(f"order/{number}")
    context.claim_events = context.claim_client.wait(count)


@then("all are claimed with at most {limit:d} commits")
def step_batched(context, limit):
    states = {event.state for event in context.claim_events.values()}
    assert states == {ClaimState.CLAIMED}, states
    assert context.store_table.commits <= limit, context.store_table.commits


@when("a request is claimed")
def step_claim(context):
    context.claim_client = ClaimClient(context.store_table, "entry-1")
    started = time.monotonic()
    context.call, context.claim_state = context.claim_client.claim_one("order/1")
    context.claim_seconds = time.monotonic() - started


@when("a request is claimed and its response recorded")
def step_recorded(context):
    step_claim(context)
    context.call.response = RESPONSE
    identity = {"claim_id": f"entry-1-{context.call.ticket}", "caller": "desk"}
    effect = RecordOutcome(
        ticket=context.call.ticket, request_id="order/1", outcome=Completed(), **identity
    )
    context.claim_client.store.record(effect)
    (event,) = context.claim_client.wait(1, OutcomeRecorded).values()
    assert event.durable


@when("a request is claimed and released")
def step_release(context):
    step_claim(context)
    effect = ReleaseClaim(
        claim_id=f"entry-1-{context.call.ticket}", caller="desk", request_id="order/1"
    )
    context.claim_client.store.release(effect)


@then("a second claim of it by another instance is {state}, with the response")
def step_second_recorded(context, state):
    call, actual = ClaimClient(context.store_table, "entry-2").claim_one("order/1")
    assert actual.value == state, actual
    assert (call.stored_outcome.status, call.stored_outcome.body) == (
        RESPONSE.status,
        RESPONSE.body,
    )


@then("a second claim of it by another instance is {state}")
def step_second(context, state):
    _, actual = ClaimClient(context.store_table, "entry-2").claim_one("order/1")
    assert actual.value == state, actual


@then("a second claim with other content is {state}")
def step_second_different(context, state):
    _, actual = ClaimClient(context.store_table, "entry-2").claim_one("order/1", b"another order")
    assert actual.value == state, actual


@then("the outcome can be found by request id")
def step_find(context):
    row = context.claim_client.store.find("desk", "order/1")
    assert row.outcome.kind == "completed" and row.outcome.body == RESPONSE.body
    assert context.claim_client.store.find("desk", "order/2") is None


@then("the claim is {state} within {seconds:g} s")
def step_claim_unavailable(context, state, seconds):
    assert context.claim_state.value == state, context.claim_state
    assert context.claim_seconds < seconds, context.claim_seconds
    assert not context.store_table.rows


# Workers


class RecordingClient:
    """Client that records the tasks of a start call."""

    def call(self, _address, _method, _path, body=b"", headers=()):
        """Record the tasks in the body."""
        self.tasks = msgspec.json.decode(body)["tasks"]
        return ClientResponse(200, (), b'{"tasks": []}')


@when("start calls for a service task and a batch task are sent to a worker")
def step_starts(context):
    commands = {
        "service": {"service": {"name": "desk", "slots": 8, "connections": 64}},
        "batch": {"run_seconds": 60.0, "exit_code": 3},
    }
    starts = [
        TaskStart(
            attempt_id=kind,
            task_id=kind,
            job_id="job",
            kind=kind,
            resources=Resources(processors=1500),
            lease_until=1.0,
            command=command,
        )
        for kind, command in commands.items()
    ]
    client = RecordingClient()
    HttpWorkerClient(client).start("127.0.0.1:1", starts)
    context.service_task, context.batch_task = client.tasks


@then("the service has a name, {slots:d} slots and {connections:d} connections and no run time")
def step_service_start(context, slots, connections):
    command = context.service_task["command"]
    expected = {"name": "desk", "slots": slots, "connections": connections}
    assert command["service"] == expected and "run_seconds" not in command, command


@then("the batch task has its run time and parameters and {processors:g} processors")
def step_batch_start(context, processors):
    command = context.batch_task["command"]
    assert "service" not in command and command["run_seconds"] == 60.0, command
    assert command["exit_code"] == 3, command
    assert context.batch_task["resources"]["processors"] == processors


# Configuration


def commit_change(context, name, version=1):
    """Commit a change through a separate store and return the event."""
    events = []
    store = ConfigurationStore(context.store_table, SystemClock(), events.append)
    change = ConfigurationChange(
        version=version,
        change_id=name,
        author="ann",
        at=1.0,
        puts=(Quota(name=name, team="maps"),),
    )
    with gevent.Timeout(10):
        store.commit(CommitConfiguration(ticket=1, change=change))
    return events[0]


@when("two instances commit different changes for version 1 at once")
def step_two_changes(context):
    greenlets = [gevent.spawn(commit_change, context, name) for name in ("a", "b")]
    gevent.joinall(greenlets, timeout=10, raise_error=True)
    context.changes = [greenlet.value for greenlet in greenlets]


@then("one is committed and the other is refused with version 1")
def step_one_change(context):
    (committed,) = [e for e in context.changes if isinstance(e, ConfigurationCommitted)]
    (refused,) = [e for e in context.changes if isinstance(e, ConfigurationRefused)]
    assert committed.change.version == 1 and refused.actual == 1 and refused.expected == 0


@when("an instance commits a change for version 1")
def step_change(context):
    context.change_event = commit_change(context, "a")


@then("the change is committed and read back by another instance")
def step_change_committed(context):
    assert isinstance(context.change_event, ConfigurationCommitted), context.change_event
    events = []
    ConfigurationStore(context.store_table, SystemClock(), events.append).load(
        LoadConfiguration(after=0)
    )
    (event,) = events
    assert isinstance(event, ConfigurationReceived) and event.head == 1
    assert event.changes == (context.change_event.change,)


@then("the change is refused because the store is unavailable")
def step_change_unavailable(context):
    assert isinstance(context.change_event, ConfigurationRefused), context.change_event
    assert context.change_event.actual is None


@when("{count:d} requests are claimed")
def step_claim_several(context, count):
    context.claim_client = ClaimClient(context.store_table, "entry-1")
    context.claimed = [context.claim_client.claim(f"order/{number}") for number in range(count)]
    context.claim_client.wait(count)


@when(
    "their responses are recorded while the response to the write and then read {number:d} are lost"
)
def step_record_several(context, number):
    table = context.store_table
    table.responses_to_lose = 1
    table.lose_read(number)
    for index, call in enumerate(context.claimed):
        call.response = RESPONSE
        context.claim_client.store.record(
            RecordOutcome(
                ticket=call.ticket,
                claim_id=f"entry-1-{call.ticket}",
                caller="desk",
                request_id=f"order/{index}",
                outcome=Completed(),
            )
        )


@then("all {count:d} outcomes are reported as durable, once each")
def step_all_durable(context, count):
    context.claim_client.wait(count, OutcomeRecorded)
    gevent.sleep(0.3)
    recorded = [e for e in context.claim_client.events if isinstance(e, OutcomeRecorded)]
    assert len(recorded) == count and all(event.durable for event in recorded), recorded
