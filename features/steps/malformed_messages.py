"""Steps with messages that no correct program sends."""

import contextlib
import itertools
import json
import random
import re
import tempfile
import time
from types import SimpleNamespace
from unittest import mock

import gevent
import gevent.socket
import msgspec
from behave import given, then, when
from hypothesis import HealthCheck, Phase, seed, settings, strategies
from hypothesis import given as given_example

from features.steps.stale_reads import (
    LoadingStore,
    make_owner_row,
    make_stored_submission,
    make_submission_row,
    start_owner,
)
from lavenderhook._internal.adapters import workers as own_workers
from lavenderhook._internal.adapters.claims import decode_claim
from lavenderhook._internal.adapters.directory import HttpInstanceDirectory
from lavenderhook._internal.adapters.peers import decode_heartbeat, decode_operation
from lavenderhook._internal.adapters.routes import ConfigurationRequest
from lavenderhook._internal.adapters.table import HttpTableStore
from lavenderhook._internal.adapters.transport import (
    ClientResponse,
    build_request,
    split_address,
)
from lavenderhook._internal.cli.connection import read_connection_file
from lavenderhook._internal.cli.files import load_files
from lavenderhook._internal.daemon.settings import load_settings as load_daemon_settings
from lavenderhook._internal.instance import peers
from lavenderhook._internal.instance.owner import Owner
from lavenderhook._internal.instance.ownership_proof import OwnershipProof
from lavenderhook._internal.instance.supervision import run_until_stopped
from lavenderhook._internal.instance.work_table import WorkTable
from lavenderhook._internal.ports.platform import Row
from lavenderhook._internal.ports.transfers import Transfer
from lavenderhook._internal.queueing import placement, records, scheduling
from lavenderhook._internal.queueing.authentication import AvailableRevocation
from lavenderhook._internal.queueing.events import Ticked, WorkersListed
from lavenderhook._internal.queueing.model import FencingToken
from lavenderhook._internal.queueing.owner_state import OwnerParameters, OwnerState
from lavenderhook._internal.queueing.records import WORK_TABLE
from lavenderhook._internal.queueing.start_log import StartLogRow
from lavenderhook._internal.queueing.validation import check_submission
from lavenderhook._internal.violations import decode_json as decode_body
from lavenderhook.errors import LavenderhookError
from lavenderhook.platform import frontend, lists, store, workers
from lavenderhook.platform.settings import load_settings
from standins.odd_workers import ODD_WORKERS

MAX_LOADING_SECONDS = 5.0
STEPS = [{"count": 2, "cpu": 10, "memMb": 1, "estimateMs": 5.0, "after": []}]
SPEC = {"count": 2, "resources": {"processors": 10}, "after": []}
QUEUE = {"name": "q", "service": "s", "priority": 0}
# A correct message of each kind, which is damaged at random.
EXAMPLES = {
    "a worker's report": {
        "clockMs": 5,
        "born": 7,
        "running": [["a.0.1.2", 1, "c", 5, 3]],
        "finished": [[1, "a.0.1.2", 1, "done", ""]],
    },
    "a refusal": {"clockMs": 5, "reason": "fence"},
    "advice": {"allowed": [["w", "t"]]},
    "a worker's entry": {
        "service": "s",
        "address": "127.0.0.1:80",
        "zone": "z",
        "state": "ready",
        "capacity": {"cpu": 5, "memMb": 3},
        "labels": ["a"],
        "born": 3,
    },
    "a configuration": {
        "version": 3,
        "routes": [{"name": "q", "host": "h", "pathPrefix": "/q/", "service": "s"}],
        "tenants": [
            {
                "name": "o",
                "apiKeys": ["k"],
                "weight": 1,
                "maxCount": {"cpu": 5, "memMb": 3, "gpu": 0},
            }
        ],
    },
    "a stored submission": {
        "id": "a",
        "queue": QUEUE,
        "payload": "p",
        "steps": [SPEC],
        "accepted_at": 1.0,
    },
    "stored progress": {
        "done": {"0.0": [1]},
        "failed": {"0.0": {"1": [2]}},
        "crashed": {"0.0": {"1": {"2": {"age_seconds": 0.5, "weak": True}}}},
        "unresolved": {"0.0": {"1": {"3": {"w": [3, "a:1"]}}}},
    },
    "a row of the starts": {
        "at": 1.0,
        "starts": [[["s", 0, 0, 1], 1, "w", [3, "a:1"]]],
        "withdrawn": [[["s", 0, 0, 2], 1, "w"]],
    },
    "a stored outcome": {"state": "completed", "at": 1.0},
    "an owner row": {"fencing": 1, "name": "n", "boot": "b", "address": "a:1", "process": "p"},
    "a member row": {"name": "n", "boot": "b", "address": "a:1", "zone": "z"},
    "a heartbeat row": {"fencing": 1, "count": 2},
    "a roster": {"workers": ["w"], "closed": {"w": 3}},
    "a peer's notice": {"submissions": [], "cancelled": ["a"]},
    "rows of the store": {
        "rows": [{"table": "t", "key": "k", "value": "AAAA", "schemaVersion": 1}],
        "schemaVersion": 3,
    },
    "a caller's body": {"spec": "text", "steps": STEPS},
    "a settings file": {},
    "a listing": {
        "entries": [
            {
                "id": "w",
                "incarnation": "i",
                "role": "worker",
                "state": "ready",
                "address": "127.0.0.1:80",
                "zone": "z",
                "capacity": {"processors": 4.0, "memory_mb": 5.0, "accelerators": 0},
                "labels": {"a": "b"},
            }
        ]
    },
    "a report of attempts": {
        "tasks": [{"attempt": "a", "state": "running", "usage": {"processors": 1.0}}]
    },
    "a page of the table": {"rows": [{"key": "k", "version": 1, "value": "AAAA"}]},
    "a claim row": {
        "request_id": "r",
        "caller": "c",
        "claim_id": "i",
        "content": "",
        "holder": "h",
        "at": 1.0,
    },
    "a peer's heartbeat": {"type": "Heartbeat", "sender": "a", "sequence": 1},
    "a peer's operation": {"type": "ForwardedQuery", "query": {}},
    "an operator's body": {"change_id": "c", "expected_version": 1, "puts": [], "deletes": []},
    "a daemon's settings": {},
    "a connection file": {},
    "a declaration file": {},
}
SETTINGS_TEXT = """nodeName = "n"
ip = "127.0.0.1"
zone = "z"
internalPorts = [1, 2]
[listen]
[platform]
address = "127.0.0.1:3"
"""


def ignore_event(*_names, **_fields):
    """Accept a log event."""


class StubTransport:
    """Client that answers each call with one body."""

    def __init__(self, status, body):
        self.response = ClientResponse(status, (), body)

    @contextlib.contextmanager
    def reserve(self, *_arguments):
        """Yield a connection on which incarnation 1 of a worker has answered."""
        yield SimpleNamespace(recipient=1)

    def exchange(self, *_arguments):
        """Return the response."""
        return self.response

    def call(self, *_arguments, **_options):
        """Return the response."""
        return self.response


def read_report(body):
    """Read the response to a hold as the client does."""
    client = workers.PlatformWorkerClient(ignore_event)
    client._client = StubTransport(200, body)
    client.hold("a:1", "w", 1, 1, 0, None, 0.0)


def read_refusal(body):
    """Read the response to a start as the client does."""
    client = workers.PlatformWorkerClient(ignore_event)
    client._client = StubTransport(409, body)
    task = workers.parse_task("a.0.0.0")
    command = workers.StartCommand(worker="w", task=task, number=1, payload="p", token=1, born=1)
    client.start("a:1", command, 1.0)


def read_advice(body):
    """Read advice as the client does."""
    advisor = workers.PlatformAdvisor("a:1", ignore_event)
    advisor._client = StubTransport(200, body)
    advisor.request_advice(workers.StepId("a", 0, 0), ["w"], 1.0)


class StubStore:
    """Store that returns one row."""

    def __init__(self, key, value):
        row = store.StoredRow(table="t", key=key, value=value, revision=1)
        self.changes = store.RowChanges((row,), 1)

    def read(self, *_arguments, **_options):
        """Return the row."""
        return self.changes


def read_worker_entry(body):
    """Read a worker's entry, and use what was read as the owner does."""
    changes = lists.PlatformWorkers(StubStore("w", body), ignore_event).read()
    for listing in changes.workers.values():
        if listing is not None:
            use_worker(listing)


def use_worker(listing):
    """Place a task on a worker, and build a command to it."""
    state = OwnerState(FencingToken(1), 1, 0.0, OwnerParameters())
    state.reduce(WorkersListed(now=1.0, workers=(listing,)))
    state.reduce(Ticked(now=2.0))
    msgspec.json.encode(listing)
    _, _, path = split_address(listing.address)
    host = listing.address.partition("/")[0]
    build_request("POST", path + "/x", host, (("X-Expected-Instance", listing.id),), b"")


def read_rows(body):
    """Read a page of the store."""
    store._decode_rows(store._decode(ClientResponse(200, (), body)))


def read_notice(body):
    """Read a message of a peer, which is packed in another format than the other messages."""
    peers.read_message(StubRequest(pack(body)), peers.WriteNotice)


class StubRequest:
    """Request with a body."""

    def __init__(self, body, path="/q/a", method="POST"):
        self.body = body
        self.path = path
        self.method = method
        self.headers = {"host": "h", "x-credential": "k"}

    def read_body(self):
        """Return the body."""
        return self.body


class StubInstance:
    """Instance that accepts every submission, and stores it."""

    def __init__(self):
        content = json.dumps(EXAMPLES["a configuration"]).encode()
        self.configuration = SimpleNamespace(
            routes=lists.decode_configuration(content, ignore_event),
            can_deny_unknown=lambda: True,
            measure_age=lambda: 0.0,
        )

    def refuse(self, _submission, _deadline):
        """Refuse none for lack of room."""

    def may_be_stored(self, _submission):
        """Return that the store has no row."""
        return False

    def submit(self, submission, _deadline):
        """Accept a submission that an owner could read."""
        check_submission(submission)
        records.decode_submission(records.encode(submission))
        return frontend.WriteResult.STORED


def submit_body(body):
    """Send a caller's body to the listener's route."""
    return frontend.Frontend(StubInstance(), ignore_event, AvailableRevocation()).route(
        StubRequest(body)
    )


def read_settings(body):
    """Read the bytes, added to correct settings, as a settings file."""
    with tempfile.NamedTemporaryFile() as file:
        file.write(SETTINGS_TEXT.encode() + body)
        file.flush()
        load_settings(file.name)


def pack(body):
    """Return a JSON message in the other format; unchanged if it can't be converted."""
    with contextlib.suppress(ValueError, RecursionError, OverflowError):
        return msgspec.msgpack.encode(json.loads(body))
    return body


def read_listing(body):
    """Read the platform's list of the product's own interface."""
    client = StubTransport(200, body)
    directory = HttpInstanceDirectory(client, "a:1", ignore_event)
    for worker in directory.list_instances()[1]:
        split_address(worker.address)
        msgspec.json.encode(worker)


def read_table_page(body):
    """Read a page of the product's own table."""
    client = HttpTableStore(StubTransport(200, body), "a:1")
    client.scan("a", "a", 5)


def read_file(read, prefix=""):
    """Return a reader of files."""

    def read_body(body):
        with tempfile.NamedTemporaryFile(suffix=".toml") as file:
            file.write(prefix.encode() + body)
            file.flush()
            try:
                read(file.name)
            except ExceptionGroup as group:
                raise group.exceptions[0] from group

    return read_body


READERS = {
    "a listing": read_listing,
    "a report of attempts": own_workers._decode,
    "a page of the table": read_table_page,
    "a claim row": lambda body: decode_claim(Row("k", 1, pack(body))),
    "a peer's heartbeat": lambda body: decode_heartbeat(pack(body)),
    "a peer's operation": lambda body: decode_operation(pack(body)),
    "an operator's body": lambda body: decode_body(body, ConfigurationRequest),
    "a daemon's settings": read_file(load_daemon_settings),
    "a connection file": read_file(read_connection_file),
    "a declaration file": read_file(lambda path: load_files([path])),
    "a worker's report": read_report,
    "a refusal": read_refusal,
    "advice": read_advice,
    "a worker's entry": read_worker_entry,
    "a configuration": lambda body: lists.PlatformConfiguration(
        StubStore("config", body), ignore_event
    ).read(Transfer()),
    "a stored submission": records.decode_submission,
    "stored progress": lambda body: records.decode(body, records.Progress),
    "a row of the starts": lambda body: records.decode(body, StartLogRow),
    "a stored outcome": lambda body: records.decode(body, records.Outcome),
    "an owner row": lambda body: records.decode(body, records.OwnerRecord),
    "a member row": lambda body: records.decode(body, records.MemberRecord),
    "a heartbeat row": lambda body: records.decode(body, records.HeartbeatRecord),
    "a roster": lambda body: records.decode_roster(body, 1),
    "a peer's notice": read_notice,
    "rows of the store": read_rows,
    "a caller's body": submit_body,
    "a settings file": read_settings,
}

# Markers that are replaced in the encoded message: nesting that json can't encode, by depth, and
# numbers by size.
NESTINGS = strategies.integers(100, 20_000).map(lambda depth: f"\u0001nested {depth}\u0001")
LARGE_NUMBERS = strategies.tuples(
    strategies.sampled_from(["", "-"]), strategies.integers(15, 5_000), strategies.booleans()
).map(lambda parts: f"\u0001number {parts[0]}{parts[1]} {int(parts[2])}\u0001")
MARKER = re.compile(rb'"\\u0001(nested|number) (-?)(\d+) ?(\d?)\\u0001"')
ADDRESSES = strategies.sampled_from(
    [
        "127.0.0.1:70000",
        "127.0.0.1:65536",
        "127.0.0.1:0",
        "127.0.0.1:-1",
        "127.0.0.1:+80",
        "127.0.0.1:8_0",
        "127.0.0.1:\u0668\u0660",
        "127.0.0.1:" + "9" * 40,
        "127.0.0.1:" + "9" * 5_000,
        ":80",
        "80",
        "127.0.0.1:80/a\r\nX-Other: b",
        "127.0.0.1\r\nX-Other: b:80",
        "127.0.0.1:80/\u20ac",
        "a\u0000b:80",
        "a" * 300 + ":80",
        ("a" * 63 + ".") * 5 + "a:80",
        "[::1]:80",
        "::1:80",
        "a..b:80",
    ]
)
SCALARS = (
    strategies.none()
    | strategies.booleans()
    | strategies.integers(-(2**70), 2**70)
    | strategies.floats(allow_nan=False)
    | strategies.text(max_size=8)
    | strategies.sampled_from(["AAA", "\u20ac"])  # no base64
    | NESTINGS
    | LARGE_NUMBERS
    | ADDRESSES
)
VALUES = strategies.recursive(
    SCALARS,
    lambda inner: (
        strategies.lists(inner, max_size=3)
        | strategies.dictionaries(strategies.text(max_size=5), inner, max_size=3)
    ),
    max_leaves=5,
)


def damage(value, draw):
    """Return a message with one part replaced or removed."""
    if isinstance(value, dict) and value and draw(strategies.booleans()):
        key = draw(strategies.sampled_from(sorted(value)))
        rest = {name: part for name, part in value.items() if name != key}
        if draw(strategies.booleans()):
            return rest
        return {**rest, key: damage(value[key], draw)}
    if isinstance(value, list) and value and draw(strategies.booleans()):
        index = draw(strategies.integers(0, len(value) - 1))
        rest = value[:index] + value[index + 1 :]
        if draw(strategies.booleans()):
            return rest
        return [*value[:index], damage(value[index], draw), *value[index + 1 :]]
    return draw(VALUES)


def expand_markers(encoded):
    """Replace the markers of nested values and large numbers."""

    def expand(match):
        kind, sign, size, is_power = match.groups()
        if kind == b"nested":
            return b"[" * int(size) + b"]" * int(size)
        if is_power == b"1":
            return sign + b"1e" + size
        return sign + b"9" * int(size)

    return MARKER.sub(expand, encoded)


def make_messages(example):
    """Return a strategy for messages: arbitrary bytes, cut messages and damaged ones."""
    encoded = json.dumps(example).encode()
    cut = strategies.integers(0, len(encoded)).map(lambda length: encoded[:length])
    damaged = strategies.composite(
        lambda draw: expand_markers(json.dumps(damage(example, draw)).encode())
    )()
    unknown = strategies.composite(
        lambda draw: expand_markers(json.dumps({**example, "unknown": draw(VALUES)}).encode())
    )()
    nested = strategies.integers(100, 20_000).map(lambda depth: b"[" * depth)
    return strategies.binary(max_size=60) | cut | damaged | damaged | damaged | unknown | nested


@when("{count:d} arbitrary and damaged messages are read as {message}")
def step_read_messages(context, count, message):
    context.unexpected = []

    @seed(11)
    @settings(
        max_examples=count,
        deadline=None,
        database=None,
        phases=[Phase.generate],
        suppress_health_check=list(HealthCheck),
    )
    @given_example(make_messages(EXAMPLES[message]))
    def read(body):
        try:
            READERS[message](body)
        except LavenderhookError:
            return
        except Exception as error:
            context.unexpected.append((body[:200], repr(error)))

    read()


@then("each is read or rejected with a typed error")
def step_typed(context):
    assert not context.unexpected, (len(context.unexpected), context.unexpected[:3])


@when("a list with a worker and 6 odd entries is read")
def step_odd_listing(context):
    entry = EXAMPLES["a listing"]["entries"][0]
    odd = [
        {**entry, "address": "127.0.0.1:70000"},
        {**entry, "address": "127.0.0.1:80/a\r\nX-Other: b"},
        {**entry, "capacity": {"processors": 10**30}},
        {**entry, "capacity": {"processors": -1}},
        {**entry, "labels": [1]},
        7,
    ]
    context.unreadable = []
    directory = HttpInstanceDirectory(
        StubTransport(200, json.dumps({"entries": [*odd, entry]}).encode()),
        "a:1",
        lambda position, error: context.unreadable.append((position, error.code)),
    )
    context.listed = directory.list_instances()
    context.unreadable_entries = directory.unreadable


@then("one worker is listed and 6 entries are reported")
def step_listed(context):
    instances, workers = context.listed
    assert not instances and [worker.worker_id for worker in workers] == ["w"], context.listed
    assert [position for position, _ in context.unreadable] == list(range(6)), context.unreadable
    assert set(context.unreadable_entries) == {
        "",
        "w",
        EXAMPLES["a listing"]["entries"][0]["incarnation"],
    }


@when("a caller submits steps with {field} set to {value}")
def step_submit_field(context, field, value):
    body = {"spec": "text", "steps": [dict(STEPS[0])]}
    target = body if field == "repetitions" else body["steps"][0]
    target[field] = json.loads(value)
    context.error = None
    try:
        submit_body(json.dumps(body).encode())
    except LavenderhookError as error:
        context.error = error


@then("it is refused with {code}")
def step_refused_with(context, code):
    assert context.error is not None and context.error.code == code, context.error


@when("malformed rows are written into the tables of the instances")
def step_malformed_rows(context):
    target = context.cluster.platform.store
    for key in ("submission/00000000000000e1", "progress/00000000000000e2", "outcome/x", "y"):
        target.put("lavenderhook-work", key, b"{]")
    for key in ("member/unknown", "owner-heartbeat", "other"):
        target.put("lavenderhook-control", key, b"\xff\x00")
    target.put("servers", "w-unknown", b"[1]")
    for key, entry in ODD_WORKERS.items():
        target.put("servers", key, entry)


@when("a caller gives a length of {digits:d} digits")
def step_long_length(context, digits):
    host, _, port = context.cluster.entries[0].frontend_address.rpartition(":")
    head = b"POST /jobs/00000000000000a1 HTTP/1.1\r\nHost: 127.0.0.1\r\nContent-Length: "
    with gevent.socket.create_connection((host, int(port)), timeout=3.0) as client:
        client.sendall(head + b"9" * digits + b"\r\n\r\n")
        context.raw_answer = client.recv(4096)


@then("it reads status {status:d}")
def step_raw_status(context, status):
    assert context.raw_answer.split(b" ")[1:2] == [b"%d" % status], context.raw_answer[:80]


@when("every second report of worker {index:d} is malformed")
def step_malformed_reports(context, index):
    worker = context.cluster.platform.workers[index]
    generator = random.Random(4)
    respond = worker._hold
    calls = itertools.count()

    def respond_malformed(body):
        response = respond(body)
        if next(calls) % 2:
            return response
        content = generator.choice([b"", b"{", b'{"clockMs":1,"finished":[[1]]}', b"\xff\xfe"])
        return type(response)(200, body=content)

    worker._hold = respond_malformed


def read_logs(context):
    """Return the logs of all processes."""
    return "".join(entry.log.read_text(encoding="utf-8") for entry in context.cluster.entries)


@then('a process has logged "{text}"')
def step_logged(context, text):
    assert text in read_logs(context)


@then('no process has logged "{text}"')
def step_not_logged(context, text):
    assert text not in read_logs(context)


@given("a loop that fails twice with an unexpected error")
def step_failing_loop(context):
    context.loop_runs = 0

    def fail_twice():
        context.loop_runs += 1
        if context.loop_runs <= 2:
            raise KeyError("missing")

    context.loop = fail_twice


@when("it is run until stopped")
def step_run_loop(context):
    context.errors = []
    run_until_stopped(
        context.loop, lambda: False, lambda what, error: context.errors.append((what, error))
    )


@then("it was run {runs:d} times and both errors were reported")
def step_loop_runs(context, runs):
    assert context.loop_runs == runs, context.loop_runs
    assert [type(error) for _, error in context.errors] == [KeyError, KeyError], context.errors


@given("an owner whose reducer fails on one event")
def step_failing_owner(context):
    context.errors, context.reasons = [], []
    owner = context.failing_owner = Owner(
        FencingToken(1),
        1,
        store=None,
        worker_list=None,
        worker_client=None,
        request_advice=None,
        parameters=OwnerParameters(),
        step_down=lambda _, reason: (context.reasons.append(reason), owner.stop()),
        log_event=ignore_event,
        report_error=lambda what, error: context.errors.append((what, error)),
        work=WorkTable(None, ignore_event),
        is_isolated=lambda: False,
        proof=OwnershipProof(0.0),
    )
    owner.state = OwnerState(FencingToken(1), 1, 0.0, OwnerParameters())
    owner.state.scheduler = None  # placement fails
    context.loops = [owner._spawn(owner._tick_loop), owner._spawn(owner._commit_loop)]


@when("the event arrives")
def step_event(context):
    context.failing_owner._spawn(context.failing_owner.apply, Ticked(now=1.0))
    gevent.sleep(0.05)


@then("the owner steps down and reports the error")
def step_stepped_down(context):
    assert "an unexpected error" in context.reasons, context.reasons
    assert context.errors and isinstance(context.errors[0][1], AttributeError), context.errors


@then("none of its loops goes on")
def step_loops_ended(context):
    gevent.joinall(context.loops, timeout=1.0)
    assert all(loop.dead for loop in context.loops)


@given('the placement of "{name}" fails with an error {where}')
def step_failing_placement(context, name, where):
    placed = {"before its first task": 0, "after two of its tasks": 2}[where]
    context.placement_failures = 0

    def fail(policy, step, candidates, ends_at):
        if step.id.submission == name and len(step.runs) == placed:
            context.placement_failures += 1
            raise KeyError(name)
        return placement.choose_worker(policy, step, candidates, ends_at)

    context.failing_placement = mock.patch.object(scheduling, "choose_worker", fail)
    context.failing_placement.start()
    context.add_cleanup(mock.patch.stopall)


@then('the placement of "{name}" has failed {count:d} times')
def step_placement_failures(context, name, count):
    assert context.placement_failures == count, context.placement_failures


@when('the placement of "{name}" fails no longer')
def step_placement_succeeds(context, name):
    context.failing_placement.stop()


@given("a stored submission with a progress that can't be read")
def step_unreadable_progress(context):
    context.submission = make_stored_submission()
    progress = store.StoredRow(table=WORK_TABLE, key="progress/s", value=b"[", revision=5)
    rows = (make_submission_row(context.submission), progress)
    context.source = LoadingStore(rows, rows)


class UnreadableOutcomeStore(LoadingStore):
    """Store with a final state that only transactions show."""

    def transact(self, writes, *_arguments):
        """Return the row in a conflict."""
        if any(write.key == "outcome/s" for write in writes):
            row = store.StoredRow(table=WORK_TABLE, key="outcome/s", value=b"[", revision=5)
            return store.RowConflict((make_owner_row(self.REVISION), row))
        return self.REVISION


@given("a stored submission with a final state that can't be read, and that loading has missed")
def step_unreadable_outcome(context):
    rows = (make_submission_row(make_stored_submission()),)
    context.source = UnreadableOutcomeStore(rows, rows)


@when("an owner has loaded the rows")
def step_load_rows(context):
    start_owner(context)
    until = time.monotonic() + MAX_LOADING_SECONDS
    while not context.owner.is_loaded:
        assert time.monotonic() < until, "the owner has not loaded the rows"
        gevent.sleep(0.01)


@when("an instance reports the submission to the owner")
def step_report_submission(context):
    context.owner.add_submission(context.submission, None)
