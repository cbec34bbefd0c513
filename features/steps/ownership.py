"""Steps for the decision when an instance claims ownership."""

import time

import gevent
from behave import given, then, when

from lavenderhook._internal.instance.contact import ISOLATION_SECONDS, Contact, is_isolated
from lavenderhook._internal.instance.owner import Owner
from lavenderhook._internal.instance.ownership import (
    HEARTBEAT_TIMEOUT_WITH_FAILED_PINGS_SECONDS,
    OwnershipView,
    StoreContact,
    compute_owner_fitness,
    compute_rank,
    may_have_lost_store,
    should_hand_over,
)
from lavenderhook._internal.instance.ownership_proof import OwnershipProof
from lavenderhook._internal.instance.work_table import WorkTable
from lavenderhook._internal.ports.queueing import RowChanges, RowConflict, StoredRow
from lavenderhook._internal.queueing.events import RosterStored, WorkersListed
from lavenderhook._internal.queueing.model import (
    FencingToken,
    QueueTerms,
    Resources,
    StartOutcome,
    StepSpec,
    Submission,
    WorkerListing,
    WorkerReport,
    WorkerState,
)
from lavenderhook._internal.queueing.owner_state import OwnerParameters, OwnerState
from lavenderhook._internal.queueing.records import (
    HeartbeatRecord,
    MemberRecord,
    OwnerRecord,
    Roster,
    choose_part,
    encode,
)
from lavenderhook._internal.queueing.workers import compute_latest_lease_expiry


def make_owner(name="other", fencing=3):
    """Return an owner's row."""
    return OwnerRecord(fencing=fencing, name=name, boot="b", address="127.0.0.1:1", process="b")


def make_member(boot, address="127.0.0.1:1"):
    """Return the member row of a process with the owner's name."""
    return MemberRecord(name="other", boot=boot, address=address, zone="z")


@given("instances with these resources")
def step_instances(context):
    context.members = {
        row["name"]: MemberRecord(
            name=row["name"],
            boot="b",
            address="127.0.0.1:1",
            zone="z",
            strength=compute_owner_fitness(float(row["processors"]), float(row["link (Mbit/s)"])),
        )
        for row in context.table
    }


@given("their owner has resigned")
def step_resigned(context):
    context.resigned = HeartbeatRecord(fencing=3, count=9, has_resigned=True)


def find_claim_time(context, name):
    """Return the time from the resignation to an instance's claim, in hundredths of a second."""
    view = OwnershipView(name=name, claim_id="x", owner_fitness=context.members[name].strength)
    view.rank = compute_rank(name, context.members, context.members[name].strength)
    view.update_owner(make_owner("gone"), 1, 0.0)
    view.update_heartbeat(context.resigned, 0.0)
    view.record_store_result(0.0, True)
    return next(t for t in range(1000) if view.should_claim(t / 100))


@then('"{first}" claims ownership before "{second}"')
def step_before(context, first, second):
    assert find_claim_time(context, first) < find_claim_time(context, second)


@given("an instance that knows an owner")
def step_view(context):
    context.now = 100.0
    context.view = OwnershipView(name="me", claim_id="x")
    context.view.update_owner(make_owner(), 1, context.now)
    context.view.update_heartbeat(HeartbeatRecord(fencing=3, count=1), context.now)
    context.view.record_store_result(context.now, True)


@when("the owner's heartbeat does not advance for {seconds:f} seconds while the store responds")
def step_no_heartbeat(context, seconds):
    context.now += seconds
    context.view.record_store_result(context.now, True)


@when(
    "the store is unavailable for {unavailable:f} seconds "
    "and available again for {available:f} seconds"
)
def step_unavailable(context, unavailable, available):
    context.view.record_store_result(context.now, False)
    context.now += unavailable
    context.view.record_store_result(context.now, True)
    context.now += available
    context.view.record_store_result(context.now, True)


@when("{count:d} connections to the owner are refused")
def step_refused_connections(context, count):
    context.now += 0.1
    for _ in range(count):
        context.view.record_ping(is_refused=True)


@when("{count:d} pings to the owner time out")
def step_timeouts(context, count):
    for _ in range(count):
        context.view.record_ping(is_unanswered=True)


@when("a heartbeat of the owner's predecessor arrives")
def step_predecessor(context):
    context.view.update_heartbeat(HeartbeatRecord(fencing=2, count=99), context.now)


@when("another {seconds:f} seconds pass for the instance")
def step_another(context, seconds):
    context.now += seconds


@then("the instance claims ownership")
def step_claims(context):
    assert context.view.should_claim(context.now)


@then("the instance does not claim ownership")
def step_claims_not(context):
    assert not context.view.should_claim(context.now)


@when("another process writes its member row at the owner's name and address")
def step_restarted(context):
    context.view.members["other"] = make_member("c")


@when("the owner's process writes its member row again")
def step_rejoined(context):
    context.view.members["other"] = make_member("b")


@when("another process writes its member row at the owner's name and another address")
def step_replaced(context):
    context.view.members["other"] = make_member("c", "127.0.0.1:2")


@then("the instance concludes that the owner process has ended")
def step_ended(context):
    assert context.view.is_owner_inactive(context.view.owner)


@then("the instance does not conclude that the owner process has ended")
def step_not_ended(context):
    assert not context.view.is_owner_inactive(context.view.owner)


@given("an instance with few resources that knows no fitter one and whose owner has ended")
def step_few_resources(context):
    context.now = 100.0
    context.view = OwnershipView(
        name="me", claim_id="x", owner_fitness=compute_owner_fitness(0.5, 5)
    )
    context.view.update_owner(make_owner(), 1, context.now)
    context.view.record_store_result(context.now, True)
    context.view.members["other"] = make_member("c")


@when("{seconds:g} seconds have passed since it read the owner row")
def step_passed(context, seconds):
    context.now = 100.0 + seconds


@given("it is the {rank:d}th in the order of claims")
def step_rank(context, rank):
    context.view.rank = rank - 1


@when("the owner announces its resignation and designates {recipient}")
def step_announced(context, recipient):
    context.view.record_resignation(3, is_designated=recipient == "this instance")


@when("this instance takes over and steps down")
def step_took_over(context):
    view = context.view
    view.process_id = "p"
    owner = OwnerRecord(fencing=4, name="me", boot="x", address="127.0.0.1:2", process="p")
    view.update_owner(owner, 2, context.now)
    view.record_step_down(4, context.now)
    view.claim_id = "y"


# Whether the store answered the last calls, for how long none was answered, and a new read.
OWN_CONTACTS = {
    "answers": (True, 0.0, StoreContact(True, 0.01)),
    "has not answered for 0.6 s": (True, 0.6, StoreContact(False, 0.25)),
    "answers again after 0.6 s": (True, 0.6, StoreContact(True, 0.01)),
    "rejects calls": (False, 0.0, StoreContact(False, 0.01)),
}
PEER_CONTACTS = {
    "is answered in 0.01 s": StoreContact(True, 0.01),
    "is answered in 0.24 s": StoreContact(True, 0.24),
    "fails": StoreContact(False, 0.25),
}


@then("an owner whose store {own} asks its peers: {asks}")
def step_asks(context, own, asks):
    context.own = OWN_CONTACTS[own]
    assert may_have_lost_store(*context.own[:2]) is (asks == "yes")


@then("it hands over to a peer whose read {peer}: {expected}")
def step_hands_over(context, peer, expected):
    is_handed_over = should_hand_over(context.own[2], PEER_CONTACTS[peer])
    assert is_handed_over is (expected == "yes")


class CountingStore:
    """Store that counts its calls."""

    def __init__(self):
        self.rows = []
        self.calls = 0

    def add(self, name):
        """Store a submission."""
        queue = QueueTerms(name="q", service="s")
        submission = Submission(id=name, queue=queue, payload="", steps=STEPS, accepted_at=0.0)
        row = StoredRow(
            table="lavenderhook-work",
            key=f"submission/{name}",
            value=encode(submission),
            revision=len(self.rows) + 1,
            part=choose_part(name),
        )
        self.rows.append(row)

    def read(self, _table, part="", timeout_seconds=0.0):
        """Return the rows of a part."""
        self.calls += 1
        return RowChanges(tuple(row for row in self.rows if row.part == part), len(self.rows))

    def wait_for_changes(self, _table, after, _wait_seconds):
        """Return the rows after a revision."""
        self.calls += 1
        return RowChanges(tuple(self.rows[after:]), len(self.rows))


STEPS = (StepSpec(),)


@given("a work table with {count:d} submissions that a standby follows")
def step_work_table(context, count):
    context.store = CountingStore()
    for number in range(count):
        context.store.add(f"s{number}")
    context.work = WorkTable(context.store, lambda *_names, **_fields: None)
    context.work.poll()


@when("{count:d} submissions are stored and the standby takes over")
def step_standby_takes_over(context, count):
    for number in range(count):
        context.store.add(f"new{number}")
    context.store.calls = 0
    context.work.catch_up(len(context.store.rows))


@then("it knows {count:d} submissions after {calls:d} call to the store")
def step_knows(context, count, calls):
    assert len(context.work.submissions) == count, len(context.work.submissions)
    assert context.store.calls == calls, context.store.calls


@given("{count:d} instances of which the fittest is the owner")
def step_many_instances(context, count):
    context.members = {
        f"i{number:02}": MemberRecord(
            name=f"i{number:02}", boot="b", address="a:1", zone="z", strength=float(-number)
        )
        for number in range(count)
    }


@then("the second and the third fittest are standbys and no others")
def step_standbys(context):
    standbys = []
    for name in context.members:
        view = OwnershipView(name=name, claim_id="x", members=context.members)
        view.update_owner(make_owner("i00"), 1, 0.0)
        if view.is_standby():
            standbys.append(name)
    assert standbys == ["i01", "i02"], standbys


class RecordingWorkerClient:
    """Client of one worker that records the leases of holds, and the starts."""

    def __init__(self):
        self.starts = []
        self.leases = []

    def start(self, _address, command, _lease_until):
        """Record a start."""
        self.starts.append(command)
        return StartOutcome.STARTED

    def hold(self, _address, _worker, _token, _acknowledged, lease_until, _wait):
        """Record the lease; report no runs."""
        gevent.sleep(0.01)
        self.leases.append(lease_until)
        return WorkerReport(clock=100.0, born=1, running=(), finished=())


@given("an owner with one worker whose answers are recorded")
def step_recorded_owner(context):
    context.elapsed = 1000.0
    context.contact = Contact()
    context.contact.record_answer(context.elapsed)
    context.client = RecordingWorkerClient()
    context.store = ConfirmingStore(context)
    context.step_downs = []
    context.owner = Owner(
        FencingToken(2),
        1,
        store=context.store,
        worker_list=None,
        worker_client=context.client,
        request_advice=None,
        parameters=OwnerParameters(),
        step_down=lambda _, reason: (context.step_downs.append(reason), context.owner.stop()),
        log_event=lambda *_names, **_fields: None,
        report_error=lambda *_: None,
        work=WorkTable(None, lambda *_names, **_fields: None),
        is_isolated=lambda: is_isolated(context.elapsed - context.contact.last_sent_at),
        proof=OwnershipProof(0.0),
    )
    context.add_cleanup(context.owner.stop)
    owner = context.owner
    owner.state = OwnerState(FencingToken(2), 1, time.monotonic(), OwnerParameters())
    listing = WorkerListing(
        id="w",
        service="s",
        address="a:1",
        zone="z",
        state=WorkerState.READY,
        capacity=Resources(9000, 9000),
        labels=frozenset(),
        born=1,
    )
    now = time.monotonic()
    owner.apply(WorkersListed(now=now, workers=(listing,)))
    owner.apply(RosterStored(now=now, roster=Roster(workers=frozenset({"w"}))))
    owner._spawn(owner._tick_loop)
    gevent.sleep(0.1)


@when("it reaches neither the store nor a peer for {seconds:f} seconds")
def step_no_contact(context, seconds):
    context.sent_before = context.elapsed
    context.elapsed += seconds


@when("an answer arrives that was sent before")
def step_old_answer(context):
    context.contact.record_answer(context.sent_before)


class ConfirmingStore:
    """Store that accepts a transaction only if it knows no other owner."""

    def __init__(self, context):
        self.context = context
        self.owner_revision = 1

    def transact(self, _writes, conditions):
        """Check the condition on the owner row."""
        self.context.contact.record_answer(self.context.elapsed)
        if conditions[0].revision == self.owner_revision:
            return 9
        return RowConflict(())


@when("a new call to the store is answered, which knows {owner} owner")
def step_new_answer(context, owner):
    context.store.owner_revision = 1 if owner == "no other" else 7
    context.contact.record_answer(context.elapsed)
    gevent.sleep(0.3)  # the owner confirms its ownership with its next tick


@then("it has sent no start and steps down")
def step_replaced(context):
    gevent.sleep(0.5)
    assert not context.client.starts and context.step_downs, context.client.starts


def submit_and_observe(context):
    """Submit a task; return the starts and the leases that follow within a while."""
    name = f"s{time.monotonic()}"
    submission = Submission(
        id=name,
        queue=QueueTerms(name="q", service="s"),
        payload="",
        steps=(StepSpec(resources=Resources(1, 1), estimate_seconds=1.0),),
        accepted_at=time.time(),
    )
    gevent.sleep(0.05)  # holds that were sent before
    context.client.starts.clear()
    context.client.leases.clear()
    context.owner.add_submission(submission)
    gevent.sleep(0.3)
    return context.client.starts, context.client.leases


@then("it sends no start, and its holds extend no lease")
def step_nothing_sent(context):
    starts, leases = submit_and_observe(context)
    assert not starts and leases and set(leases) == {None}, (starts, leases)


@then("it sends starts, and its holds extend the lease")
def step_something_sent(context):
    starts, leases = submit_and_observe(context)
    assert starts and None not in leases, (starts, leases)


@given("leases of {seconds:f} seconds on a worker's clock that runs {percent:d} percent slow")
def step_leases(context, seconds, percent):
    context.lease_seconds = seconds
    context.longest_lease = seconds / (1 - percent / 100)


@then("the last lease of an isolated owner ends before the wait of the earliest successor")
def step_lease_bound(context):
    last_lease_ends = ISOLATION_SECONDS + context.longest_lease
    takeover = HEARTBEAT_TIMEOUT_WITH_FAILED_PINGS_SECONDS
    wait_ends = compute_latest_lease_expiry(takeover, context.lease_seconds)
    assert last_lease_ends < wait_ends, (last_lease_ends, wait_ends)
