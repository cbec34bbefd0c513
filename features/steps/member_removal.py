"""Steps with instances that have gone without leaving."""

import base64
import re
import signal
import time
from unittest import mock

import gevent
import gevent.event
import msgspec
from behave import given, then, when

from features.steps.malformed_messages import read_logs
from features.support.row_table import RowTable
from lavenderhook._internal.instance.member_liveness import MemberLiveness, PingRound
from lavenderhook._internal.instance.member_watch import CHECK_INTERVAL_SECONDS, MemberWatch
from lavenderhook._internal.instance.ownership import OwnershipView
from lavenderhook._internal.instance.ownership_manager import OwnershipManager
from lavenderhook._internal.instance.table_watcher import TableWatcher
from lavenderhook._internal.ports.queueing import Write
from lavenderhook._internal.queueing.authority import CLOCK_RATE_FACTOR
from lavenderhook._internal.queueing.records import (
    CONTROL_TABLE,
    HEARTBEAT_KEY,
    MEMBER_PREFIX,
    OWNER_KEY,
    HeartbeatRecord,
    MemberRecord,
    OwnerRecord,
    decode,
    encode,
)
from lavenderhook.errors import TransportError


def choose_other(context):
    """Select an instance that is neither the owner nor instance 0."""
    owner = context.cluster.find_owner()
    index = next(i for i in range(1, len(context.cluster.entries)) if i != owner)
    return context.cluster.entries[index]


@when("an instance other than the owner is killed for good")
def step_killed(context):
    entry = choose_other(context)
    entry.send(signal.SIGKILL)
    entry.wait(2)


def read_member(context, name):
    """Return the member row of an entry process."""
    row = context.cluster.platform.store.rows[(CONTROL_TABLE, "", MEMBER_PREFIX + name)]
    return decode(base64.b64decode(row["value"]), MemberRecord)


@when("an instance other than the owner is paused")
def step_paused(context):
    context.paused = choose_other(context)
    context.former_process = read_member(context, context.paused.name).boot
    context.paused.send(signal.SIGSTOP)


@when('a process has logged "{text}", or {seconds:f} seconds have passed')
def step_logged_or_passed(context, text, seconds):
    until = time.monotonic() + seconds
    while text not in read_logs(context) and time.monotonic() < until:
        gevent.sleep(0.2)


def read_log_lines(context):
    """Return the log lines of each process."""
    return [entry.log.read_text(encoding="utf-8").splitlines() for entry in context.cluster.entries]


@when("the store is silent for {outage:f} seconds, and {after:f} seconds of real time pass")
def step_outage(context, outage, after):
    context.line_counts = [len(lines) for lines in read_log_lines(context)]
    context.cluster.platform.store.mode = "silent"
    gevent.sleep(outage)
    context.cluster.platform.store.mode = "up"
    gevent.sleep(after)


@then('no process has logged "{text}" since then')
def step_not_logged_since(context, text):
    for lines, count in zip(read_log_lines(context), context.line_counts, strict=True):
        found = [line for line in lines[count:] if text in line]
        assert not found, found


@when("the paused instance goes on")
def step_goes_on(context):
    context.paused.send(signal.SIGCONT)


@then("the paused instance is listed again within {seconds:d} seconds under another process id")
def step_listed_again(context, seconds):
    until = time.monotonic() + seconds
    while (member := read_member(context, context.paused.name)).has_left:
        assert time.monotonic() < until, member
        gevent.sleep(0.05)
    assert member.boot != context.former_process


@given("an owner that pings the members a and b, of which b doesn't answer")
def step_liveness(context):
    context.now = 100.0
    context.liveness = MemberLiveness()


ROUND_SECONDS = 5.0
ROUNDS = re.compile(r"(\d+) ((un)?confirmed|that|in which)( takes 60| b answers| b is)?")


@when("its rounds of pings are {rounds}")
def step_rounds(context, rounds):
    for part in rounds.split(", "):
        if part.startswith("a pause"):
            context.now += 60.0
        elif part.startswith("an interruption"):
            context.now += 60.0
            context.liveness.interrupt()
        else:
            count, kind, un, detail = ROUNDS.match(part).groups()
            for _ in range(int(count)):
                context.removed = context.liveness.record_round(
                    PingRound(
                        started_at=context.now,
                        ended_at=context.now + (60.0 if detail == " takes 60" else 0.5),
                        answers={
                            "a": True,
                            "b2" if detail == " b is" else "b": detail == " b answers",
                        },
                        is_confirmed=un is None,
                    )
                )
                context.now += ROUND_SECONDS


@then("it removes {names}")
def step_removes(context, names):
    assert list(context.removed) == ([] if names == "nobody" else [names]), context.removed


def put(context, key, record):
    """Write a row whatever its revision is, on behalf of another instance."""
    context.rows.transact([Write(CONTROL_TABLE, key, encode(record))])


def read_row(context, key, record_type):
    """Return a row of the table."""
    return decode(context.rows.find(CONTROL_TABLE, key).value, record_type)


def make_member(name, boot):
    """Return the member row of a process."""
    return MemberRecord(name=name, boot=boot, address=f"{name}:1", zone="z")


def make_owner_row(name, fencing):
    """Return the row of an owner whose process is its name."""
    return OwnerRecord(
        fencing=fencing, name=name, boot=f"claim-{fencing}", address=f"{name}:1", process=name
    )


def claim_for(context, name, fencing):
    """Let an instance claim the ownership in the table and in the view of the test."""
    owner = make_owner_row(name, fencing)
    put(context, OWNER_KEY, owner)
    if name == "me":
        context.view.claim_id = owner.boot
        revision = context.rows.find(CONTROL_TABLE, OWNER_KEY).revision
        context.view.update_owner(owner, revision, 0.0)


@given("an owner whose member row b is of a silent instance")
def step_watching_owner(context):
    context.rows = RowTable()
    context.events = []
    context.view = OwnershipView(name="me", claim_id="", process_id="me")
    claim_for(context, "me", 1)
    put(context, MEMBER_PREFIX + "b", make_member("b", "b"))
    row = context.rows.find(CONTROL_TABLE, MEMBER_PREFIX + "b")
    context.view.update_member("b", make_member("b", "b"), row.revision)
    context.now = 100.0
    clock = "lavenderhook._internal.instance.member_watch.read_elapsed_clock"
    patch = mock.patch(clock, lambda: context.now)
    patch.start()
    context.add_cleanup(patch.stop)
    context.watch = MemberWatch(
        context.view,
        context.rows,
        is_confirmed=lambda: True,
        ask_peer=lambda _address: False,
        stopped=gevent.event.Event(),
        log_event=lambda name, **_fields: context.events.append(name),
    )


@when("it has pinged for {seconds:d} seconds")
def step_pinged(context, seconds):
    until = context.now + seconds
    while context.now < until:
        context.now += CHECK_INTERVAL_SECONDS
        context.watch.check()


@when("it claims the ownership again")
def step_claims_again(context):
    claim_for(context, "me", 2)


@when("{event} before its next transaction")
def step_overtaken(context, event):
    def overtake():
        if event == "b registers again":
            put(context, MEMBER_PREFIX + "b", make_member("b", "b"))
        elif event == "another instance claims":
            claim_for(context, "c", 2)
        else:
            context.rows.is_available = False

    context.rows.before_transaction = overtake


@then("b is listed")
def step_b_listed(context):
    assert not read_row(context, MEMBER_PREFIX + "b", MemberRecord).has_left
    assert "member-removed" not in context.events


@then('b is listed, and "{event}" is logged')
def step_b_listed_logged(context, event):
    step_b_listed(context)
    assert event in context.events, context.events


@then('b is removed, and "{event}" is logged')
def step_b_removed(context, event):
    member = read_row(context, MEMBER_PREFIX + "b", MemberRecord)
    assert (member.has_left, member.removed_by) == (True, 2), member
    assert event in context.events, context.events


class SilentPeers:
    """Peers that don't answer."""

    def ping(self, address):
        """Time out."""
        raise TransportError(f"connecting to {address}: timed out", sent=False)


class StandInOwner:
    """Owner that records when it is stopped."""

    def __init__(self, context, fencing):
        self.fencing = fencing
        self._context = context

    def start(self):
        """Do nothing."""

    def record_predecessor_inactive(self, inherited_until):
        """Do nothing."""

    def stop(self):
        """Record the process id at the end of the ownership."""
        self._context.process_at_end = self._context.manager.view.process_id


def make_manager(context):
    """Make the instance m, and let it register and read the control table."""
    context.manager = OwnershipManager(
        "m",
        "z",
        "m:1",
        1.0,
        store=context.rows,
        peer_client=SilentPeers(),
        make_owner=lambda owner, *_: StandInOwner(context, owner.fencing),
        record_peer_version=lambda *_: None,
        stopped=gevent.event.Event(),
        log_event=lambda *_names, **_fields: None,
    )
    context.former_process = context.manager.view.process_id
    loop = gevent.spawn(context.manager._registration.register)
    context.add_cleanup(loop.kill)
    gevent.sleep(0.05)
    context.watcher = TableWatcher(
        context.rows,
        CONTROL_TABLE,
        context.manager._apply_control_row,
        ("",),
        lambda *_names, **_fields: None,
    )
    context.watcher.load()


@given("an instance m that the owner lists in its heartbeat")
def step_listed_instance(context):
    context.rows = RowTable()
    put(context, MEMBER_PREFIX + "o", make_member("o", "o"))
    put(context, OWNER_KEY, make_owner_row("o", 3))
    make_manager(context)
    heartbeat = HeartbeatRecord(
        fencing=3, count=1, peers=(context.former_process,), authority_seconds=0.0
    )
    put(context, HEARTBEAT_KEY, heartbeat)
    context.watcher.poll(0.0)


def remove(context, name, fencing):
    """Mark a member row as left, as the owner with this token does."""
    member = read_row(context, MEMBER_PREFIX + name, MemberRecord)
    removed = msgspec.structs.replace(member, has_left=True, removed_by=fencing)
    put(context, MEMBER_PREFIX + name, removed)


@when("the owner removes m")
def step_remove(context):
    remove(context, "m", 3)


@then("a claim of m conflicts")
def step_claim_conflicts(context):
    context.manager._claim()
    assert context.manager.owner is None


@when("the owner removes m at the moment of its claim")
def step_remove_at_claim(context):
    context.rows.before_transaction = lambda: remove(context, "m", 3)
    context.manager._claim()
    assert context.manager.owner is None


@then("m is registered as another process")
def step_registered(context):
    gevent.sleep(0.3)
    member = read_row(context, MEMBER_PREFIX + "m", MemberRecord)
    assert not member.has_left
    assert member.boot == context.manager.view.process_id != context.former_process


@then("the next claim of m allows {seconds:f} seconds for the owner")
def step_next_claim(context, seconds):
    context.manager._claim()
    owner = read_row(context, OWNER_KEY, OwnerRecord)
    assert owner.name == "m", owner
    assert owner.process == context.manager.view.process_id
    allowed = seconds * CLOCK_RATE_FACTOR
    assert abs(owner.authority_seconds - allowed) < 0.01, owner.authority_seconds


@given("an instance m that is the owner and doesn't know of its successor")
def step_former_owner(context):
    context.rows = RowTable()
    put(context, MEMBER_PREFIX + "other", make_member("other", "other"))
    make_manager(context)
    context.manager._claim()
    assert context.manager.owner is not None
    put(context, OWNER_KEY, make_owner_row("successor", 2))


@when("the successor removes m, and m reads only its own row")
def step_former_removed(context):
    remove(context, "m", 2)
    context.manager._apply_control_row(context.rows.find(CONTROL_TABLE, MEMBER_PREFIX + "m"))


@then("m had ended its ownership when it took another process id")
def step_ended_before(context):
    assert context.manager.owner is None
    assert context.process_at_end == context.former_process
    assert context.manager.view.process_id != context.former_process


@when("the successor removes another instance, and m reads only that row")
def step_other_removed(context):
    remove(context, "other", 2)
    context.manager._apply_control_row(context.rows.find(CONTROL_TABLE, MEMBER_PREFIX + "other"))


@then("m has ended its ownership")
def step_has_ended(context):
    assert context.manager.owner is None


@when("m is stopping")
def step_stopping(context):
    context.manager.is_draining = True


@then("m is not registered")
def step_not_registered(context):
    context.watcher.poll(0.0)
    gevent.sleep(0.3)
    assert read_row(context, MEMBER_PREFIX + "m", MemberRecord).has_left
