"""Steps for the decision when an instance claims ownership."""

import time
import types
from unittest import mock

import gevent
import msgspec
from behave import given, then, when

from features.support.row_table import RowTable
from lavenderhook._internal.instance import table_watcher
from lavenderhook._internal.instance.clock import read_elapsed_clock
from lavenderhook._internal.instance.owner import Owner
from lavenderhook._internal.instance.ownership import (
    OwnershipView,
    StoreContact,
    compute_owner_fitness,
    compute_rank,
    may_have_lost_store,
    should_hand_over,
)
from lavenderhook._internal.instance.ownership_manager import OwnershipManager
from lavenderhook._internal.instance.ownership_proof import OwnershipProof
from lavenderhook._internal.instance.peers import HandOverNotice, PingResponse
from lavenderhook._internal.instance.registration import Registration
from lavenderhook._internal.instance.work_table import WorkTable
from lavenderhook._internal.ports.queueing import RowChanges, RowConflict, StoredRow, Write
from lavenderhook._internal.queueing.authority import (
    PROOF_SECONDS,
    STORELESS_SECONDS,
    Predecessor,
    compute_authority_seconds,
    is_proof_valid,
)
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
    CONTROL_TABLE,
    HEARTBEAT_KEY,
    MEMBER_PREFIX,
    OWNER_KEY,
    FormerOwner,
    HeartbeatRecord,
    MemberRecord,
    OwnerRecord,
    Roster,
    choose_part,
    decode,
    encode,
)
from lavenderhook._internal.queueing.takeover import Takeover
from lavenderhook.errors import TransportError


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
    context.view = OwnershipView(name="me", claim_id="x", process_id="me")
    context.view.update_owner(make_owner(), 1, context.now)
    heartbeat = HeartbeatRecord(fencing=3, count=1, peers=("me",))
    context.view.update_heartbeat(heartbeat, context.now)
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
    context.view.update_member("other", make_member("c"), 2)


@when("the owner's process writes its member row again")
def step_rejoined(context):
    context.view.update_member("other", make_member("b"), 3)


@when("another process writes its member row at the owner's name and another address")
def step_replaced(context):
    context.view.update_member("other", make_member("c", "127.0.0.1:2"), 4)


@then("the instance concludes that the owner process has ended")
def step_ended(context):
    assert context.view.is_owner_inactive(context.view.owner, 1)


@then("the instance does not conclude that the owner process has ended")
def step_not_ended(context):
    assert not context.view.is_owner_inactive(context.view.owner, 1)


@given("an instance with few resources that knows no fitter one and whose owner has ended")
def step_few_resources(context):
    context.now = 100.0
    context.view = OwnershipView(
        name="me", claim_id="x", owner_fitness=compute_owner_fitness(0.5, 5)
    )
    context.view.update_owner(make_owner(), 1, context.now)
    context.view.record_store_result(context.now, True)
    context.view.update_member("other", make_member("c"), 2)


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
        self.born = 1

    def start(self, _address, command, _lease_until):
        """Record a start."""
        self.starts.append(command)
        return StartOutcome.STARTED

    def hold(self, _address, _worker, _born, _token, _acknowledged, lease_until, _wait):
        """Record the lease; report no runs."""
        gevent.sleep(0.01)
        self.leases.append(lease_until)
        return WorkerReport(clock=100.0, born=self.born, running=(), finished=())


def make_proof(context):
    """Prove the ownership now; `context.pass_time` lets the clock of the proof go on."""
    context.elapsed = 0.0
    for module in ("ownership_proof", "owner", "ownership_manager"):
        clock = f"lavenderhook._internal.instance.{module}.read_elapsed_clock"
        patch = mock.patch(clock, lambda: read_elapsed_clock() + context.elapsed)
        patch.start()
        context.add_cleanup(patch.stop)
    context.proof = OwnershipProof(read_elapsed_clock())


NEW_REVISION = 2  # after that of the owner's row


@given("an owner with one worker whose answers are recorded")
def step_recorded_owner(context):
    make_proof(context)
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
        is_isolated=lambda: not is_proof_valid(context.proof.measure_age(["peer:1"])),
        proof=context.proof,
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


@when("it has had no proof of its ownership for {seconds:f} seconds")
def step_no_proof(context, seconds):
    context.sent_before = read_elapsed_clock() + context.elapsed
    context.elapsed += seconds


@when("its worker restarts")
def step_worker_restarts(context):
    context.client.born += 1
    gevent.sleep(0.5)


@then("it takes its worker for the {incarnation} incarnation")
def step_incarnation(context, incarnation):
    gevent.sleep(0.5)
    born = context.owner.state.workers["w"].newest.born
    assert born == context.client.born - (incarnation == "former"), born


@when("answers arrive to calls that were sent before")
def step_old_answers(context):
    context.proof.record_store(context.sent_before)
    context.proof.record_peer("peer:1", context.sent_before)


class ConfirmingStore:
    """Store that accepts a transaction only if it knows no other owner."""

    def __init__(self, context):
        self.context = context
        self.owner_revision = 1

    def measure_latency_seconds(self):
        """Return zero: calls take no time."""
        return 0.0

    def transact(self, _writes, conditions, _deletes):
        """Check the condition on the owner row."""
        if conditions[0].revision == self.owner_revision:
            return 9
        return RowConflict(())


@when("a new call to the store is answered, which knows {owner} owner")
def step_new_answer(context, owner):
    context.store.owner_revision = 1 if owner == "no other" else 7
    context.owner.request_confirmation()
    gevent.sleep(0.3)


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
    context.owner.add_submission(submission, NEW_REVISION)
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


@then("leases extended on a proof from just before the claim end before the successor's wait")
def step_lease_bound(context):
    for predecessor, storeless_seconds in (
        (Predecessor.ASKS_PEERS, 0.0),
        (Predecessor.UNAWARE, STORELESS_SECONDS),
    ):
        last_lease_ends = storeless_seconds + PROOF_SECONDS + context.longest_lease
        authority_seconds = compute_authority_seconds(predecessor, 0.0)
        takeover = Takeover(0.0, context.lease_seconds, authority_seconds)
        assert last_lease_ends < takeover.leases_expire_at, (predecessor, last_lease_ends)


class AcceptingStore:
    """Store that accepts a claim, and answers nothing else."""

    def transact(self, _writes, _conditions=(), _deletes=()):
        """Return the revision of the claim."""
        return 9


class AnsweringPeers:
    """Peers that all answer pings as one process with the same claim and known owner."""

    def __init__(self, process, claim="c", fencing=4, is_leaving=False):
        self.process = process
        self.claim = claim
        self.fencing = fencing
        self.is_leaving = is_leaving

    def ping(self, _address):
        """Return the answer."""
        return PingResponse(
            self.claim,
            is_owner=False,
            fencing=FencingToken(self.fencing),
            process=self.process,
            is_leaving=self.is_leaving,
        )


@given("an owner that lists one peer, whose address process {process} answers")
def step_peer_process(context, process):
    make_proof(context)
    manager = make_manager(context, AnsweringPeers(process))
    manager.view.record_store_result(0.0, True)
    manager.view.update_owner(make_owner(), 1, time.monotonic())
    manager.view.update_member("other", make_member("b"), 1)
    manager.apply_hand_over(HandOverNotice(3, is_designated=True))
    gevent.sleep(0.05)
    assert manager.owner is not None
    spawn_loop(manager, "_renew_proof_as_owner")
    context.manager = manager


def make_manager(context, peer_client, store=None):
    """Return the manager of an instance, by default with a store that only accepts a claim."""
    stopped = gevent.event.Event()
    context.add_cleanup(stopped.set)
    context.has_witnessed_end = False
    return OwnershipManager(
        "me",
        "z",
        "127.0.0.1:2",
        1.0,
        store=store or AcceptingStore(),
        peer_client=peer_client,
        make_owner=lambda row, *_: mock.Mock(
            fencing=row.fencing, has_witnessed_end=lambda: context.has_witnessed_end
        ),
        record_peer_version=lambda *_: None,
        stopped=stopped,
        log_event=lambda *_names, **_fields: None,
    )


def spawn_loop(manager, name):
    """Run one of the loops of a manager."""
    for loop in manager.list_loops():
        if loop.__name__ == name:
            gevent.spawn(loop)


@given(
    "an instance whose owner with token 3 doesn't list it, and answers pings as {process} process "
    "with {claim} claim that knows token {fencing:d}"
)
def step_pinged_owner(context, process, claim, fencing):
    row = make_row(3)
    answer = AnsweringPeers(
        row.process if process == "the same" else "later",
        row.boot if claim == "the same" else "later",
        fencing,
    )
    manager = make_manager(context, answer)
    context.view = manager.view
    context.view.update_owner(row, 3, time.monotonic())
    spawn_loop(manager, "_ping_owner_loop")


@given("an instance whose former process, at {address}, {state}")
def step_former_process(context, address, state):
    context.rows = RowTable()
    former = MemberRecord(
        name="me",
        boot="before",
        address="me:1" if address == "its address" else "me:2",
        zone="z",
        has_left=state == "has left",
        removed_by=FencingToken(2 if state == "has been removed" else 0),
    )
    context.rows.transact([Write(CONTROL_TABLE, MEMBER_PREFIX + "me", encode(former))])


@when("it has registered, and the heartbeat with token {fencing:d} lists its former process")
def step_registered(context, fencing):
    stopped = gevent.event.Event()
    context.add_cleanup(stopped.set)
    context.view = OwnershipView(name="me", claim_id="c", process_id="me", address="me:1")
    registration = Registration(
        context.view,
        "z",
        "me:1",
        store=context.rows,
        is_draining=lambda: False,
        step_down=lambda _reason: None,
        stopped=stopped,
        log_event=lambda *_names, **_fields: None,
    )
    gevent.spawn(registration.register)
    gevent.sleep(0.05)
    assert (
        decode(context.rows.find(CONTROL_TABLE, MEMBER_PREFIX + "me").value, MemberRecord).boot
        == "me"
    )
    context.view.update_owner(make_row(fencing), fencing, 100.0)
    heartbeat = HeartbeatRecord(fencing=fencing, count=fencing, peers=("before", "third"))
    context.view.update_heartbeat(heartbeat, 100.0)


@given("an instance that has taken over from an owner that doesn't list it")
def step_taken_over(context):
    take_over(context, OwnerUnreached("me"))


@given(
    "an instance that has taken over from an owner that lists only a third, at whose address "
    "process {process} answers that it knows token {fencing:d} and {state}"
)
def step_taken_over_beside_third(context, process, fencing, state):
    is_leaving = state == "leaves"
    take_over(context, OwnerUnreached(process, fencing=fencing, is_leaving=is_leaving))


@given(
    "an instance that has taken over from an owner that lists nobody, and answers that it knows "
    "token {fencing:d}"
)
def step_taken_over_from_cut(context, fencing):
    take_over(context, AnsweringPeers("it", fencing=fencing), ())


@given(
    "an instance that has taken over from an owner without a heartbeat, whose row states "
    "{seconds:f} seconds, and that answers that it knows token {fencing:d}"
)
def step_taken_over_from_unknown(context, seconds, fencing):
    context.peers = NamedPeers("it", fencing=fencing)
    take_over(context, context.peers, None, authority_seconds=seconds)


class NamedPeers(AnsweringPeers):
    """Peers of which only some answer, each as its own process; by default the former owner."""

    processes = types.MappingProxyType({"it:1": "it"})

    def ping(self, address):
        """Return the answer of one that answers."""
        if address not in self.processes:
            raise TransportError(f"connecting to {address}: timed out", sent=False)
        return msgspec.structs.replace(super().ping(address), process=self.processes[address])


@given("reads may be {seconds:f} seconds stale")
def step_stale_reads(context, seconds):
    patch = mock.patch.object(table_watcher, "MAX_READ_STALENESS_SECONDS", seconds)
    patch.start()
    context.add_cleanup(patch.stop)


@given(
    "the instances that know the new owner are {known}, and {unknown} don't answer, "
    "while {removed} is removed"
)
def step_instances_known(context, known, unknown, removed):
    members = {name: make_listed(name) for name in ("it", "third")}
    if removed != "none":
        fields = {"removed_by": FencingToken(2), "has_left": True}
        members[removed] = msgspec.structs.replace(members[removed], **fields)
    for name, member in members.items():
        context.rows.transact([Write(CONTROL_TABLE, MEMBER_PREFIX + name, encode(member))])
    context.peers.processes = {f"{name}:1": name for name in known.split(", ")}


def make_listed(name):
    """Return the row of an instance whose process has its name."""
    return MemberRecord(name=name, boot=name, address=f"{name}:1", zone="z")


class OwnerUnreached(AnsweringPeers):
    """Peers that answer, without the former owner."""

    def ping(self, address):
        """Return the answer of a peer."""
        if address == "it:1":
            raise TransportError("connecting to it:1: timed out", sent=False)
        return super().ping(address)


def take_over(context, peer_client, listed=("third",), **fields):
    """Let an instance claim after an owner that doesn't list it; the peers answer alike.

    Without a list, there is no heartbeat of that owner, and its row lists the instance.
    """
    context.rows = RowTable()
    peers = ("me",) if listed is None else ()
    row = make_row(3, peers=peers, **fields)
    context.rows.transact([Write(CONTROL_TABLE, OWNER_KEY, encode(row))])
    third = make_listed("third")
    context.rows.transact([Write(CONTROL_TABLE, MEMBER_PREFIX + "third", encode(third))])
    manager = make_manager(context, peer_client, context.rows)
    long_ago = time.monotonic() - 5.0
    manager.view.update_owner(row, 1, long_ago)
    if listed is not None:
        heartbeat = HeartbeatRecord(fencing=3, count=1, peers=listed, authority_seconds=0.0)
        manager.view.update_heartbeat(heartbeat, long_ago)
    manager.view.process_id = "me"
    manager.view.record_store_result(long_ago, True)
    spawn_loop(manager, "_watch_control_table")
    spawn_loop(manager, "_heartbeat_loop")
    gevent.sleep(0.3)
    assert manager.owner is not None
    assert read_authority(context) > 50.0


@given(
    "an instance that has taken over from an owner that is lost, and whose row says that it {asks} "
    "its workers"
)
def step_taken_over_from_lost(context, asks):
    take_over(context, OwnerUnreached("third", fencing=3), (), asks_workers=asks == "asks")


@when("its workers show that no earlier owner acts")
def step_witnessed_end(context):
    context.has_witnessed_end = True


@then("its row says that it and all earlier owners {ask} their workers")
def step_row_says(context, ask):
    owner = decode(context.rows.find(CONTROL_TABLE, OWNER_KEY).value, OwnerRecord)
    assert owner.asks_workers is (ask == "ask"), owner


def read_authority(context):
    """Return for how long earlier owners may act, by the stored heartbeat."""
    row = context.rows.find(CONTROL_TABLE, HEARTBEAT_KEY)
    return decode(row.value, HeartbeatRecord).authority_seconds


@when("another process has written its member row at the former owner's name and address")
def step_former_replaced(context):
    member = MemberRecord(name="it", boot="later", address="it:1", zone="z")
    context.rows.transact([Write(CONTROL_TABLE, MEMBER_PREFIX + "it", encode(member))])
    gevent.sleep(1.2)


@then("its heartbeat says that no earlier owner may act")
def step_none_acts(context):
    assert read_authority(context) == 0.0, read_authority(context)


@then("{seconds:f} seconds later its heartbeat says that earlier owners {may} act")
def step_may_act_later(context, seconds, may):
    gevent.sleep(seconds)
    authority = read_authority(context)
    assert authority == 0.0 if may == "may not" else authority > 50.0, authority


@when("the instance has pinged the owner")
def step_pinged(context):
    gevent.sleep(0.5)


@when("the store has been silent towards it for {seconds:f} seconds")
def step_silent_store(context, seconds):
    context.elapsed += seconds
    gevent.sleep(1.0)


@then("the owner {counts} as isolated")
def step_isolated(context, counts):
    assert context.manager.is_isolated() is (counts == "counts")


PEERS = ("a:1", "b:1")


@given("an owner that lists the peers a and b")
def step_listed_peers(context):
    make_proof(context)


@when("{names} answer that they know no later owner")
def step_peers_answer(context, names):
    sent_at = read_elapsed_clock() + context.elapsed
    for name in names.split(" and "):
        context.proof.record_peer(f"{name}:1", sent_at)


@then("the owner {may} act")
def step_may_act(context, may):
    has_proof = is_proof_valid(context.proof.measure_age(PEERS))
    assert has_proof is (may == "may"), context.proof.measure_age(PEERS)


@given("an instance that has just started")
def step_fresh_view(context):
    context.view = OwnershipView(name="me", claim_id="c", process_id="me", address="me:1")


@when("it reads the row of an earlier process of it with token {fencing:d} and {seconds:f} seconds")
def step_earlier_row(context, fencing, seconds):
    row = make_row(fencing, name="me", process="before", authority_seconds=seconds)
    context.view.update_owner(row, fencing, 100.0)


@when("it reads the row of an owner elsewhere with token {fencing:d} and {seconds:f} seconds")
def step_row_elsewhere(context, fencing, seconds):
    context.view.update_owner(make_row(fencing, authority_seconds=seconds), fencing, 100.0)


@when(
    "it reads the row of an owner elsewhere with token {fencing:d} and {seconds:f} seconds, "
    "whose predecessor {state}"
)
def step_row_with_predecessor(context, fencing, seconds, state):
    former = make_row(fencing - 1, name="former")
    predecessor = FormerOwner.of(former, revision=fencing - 1)
    row = make_row(fencing, authority_seconds=seconds, predecessor=predecessor)
    context.view.update_owner(row, fencing, 100.0)
    address = "former:2" if state == "runs at another address" else former.address
    member = MemberRecord(name="former", boot="later", address=address, zone="z")
    revision = fencing + 1 if state != "had been replaced before" else predecessor.revision - 1
    context.view.update_member("former", member, revision)


@when("a heartbeat with token {fencing:d} and {seconds:f} seconds arrives")
def step_heartbeat_left(context, fencing, seconds):
    heartbeat = HeartbeatRecord(fencing=fencing, count=1, authority_seconds=seconds)
    context.view.update_heartbeat(heartbeat, 100.0)


@given("an instance that knows an owner with token {fencing:d}")
def step_view_of_owner(context, fencing):
    context.view = OwnershipView(name="me", claim_id="c", process_id="me", address="me:1")
    context.view.update_owner(make_row(fencing), fencing, 100.0)


def make_row(fencing, name="it", process=None, **fields):
    """Return the row of an owner on another instance, or on one of this name."""
    return OwnerRecord(
        fencing=fencing,
        name=name,
        boot=f"claim-{fencing}",
        address=f"{name}:1",
        process=process or name,
        **fields,
    )


@when("the {record} with token {fencing:d} lists {peer}")
def step_lists(context, record, fencing, peer):
    peers = ("me",) if peer == "this instance" else ()
    if record == "heartbeat":
        heartbeat = HeartbeatRecord(fencing=fencing, count=fencing, peers=peers)
        context.view.update_heartbeat(heartbeat, 100.0)
    else:
        context.view.update_owner(make_row(fencing, peers=peers), fencing, 100.0)


@when("the owner row with token {fencing:d} is from a claim of this instance that got no response")
def step_own_row(context, fencing):
    context.view.members.clear()
    context.view.update_owner(make_row(fencing, name="me"), fencing, 100.0)


@when("the owner row with token {fencing:d} is of an earlier process of this instance")
def step_earlier_process(context, fencing):
    context.view.members.clear()
    context.view.update_owner(make_row(fencing, name="me", process="before"), fencing, 100.0)


@given("the store has been available for {seconds:d} seconds")
def step_available(context, seconds):
    context.view.record_store_result(100.0 - seconds, True)


@then("it claims {seconds:f} seconds after that, and not {earlier:f}")
def step_claims_after(context, seconds, earlier):
    assert context.view.should_claim(100.0 + seconds)
    assert not context.view.should_claim(100.0 + earlier)


@when("the owner's process has been replaced by another one")
def step_process_replaced(context):
    member = MemberRecord(name="it", boot="other", address="it:1", zone="z")
    context.view.update_member("it", member, context.view.owner_revision + 1)


@when("this instance knows the row of another process from before the claim")
def step_old_member(context):
    member = MemberRecord(name="it", boot="other", address="it:1", zone="z")
    context.view.update_member("it", member, context.view.owner_revision - 1)


@when("a claim of this instance with token {fencing:d} has been carried out without its knowledge")
def step_unnoticed_claim(context, fencing):
    row = OwnerRecord(
        fencing=fencing, name="me", boot="c", address="me:1", process="me", authority_seconds=1.2
    )
    context.view.update_owner(row, fencing, 100.0)
    context.view.claim_id = "d"


@then('a claim takes the owner as "{predecessor}"')
def step_assessed(context, predecessor):
    found = context.view.assess_predecessor()
    assert found is Predecessor(predecessor), found


@when("a row with token {fencing:d} says that earlier owners may act for {seconds:f} seconds")
def step_inherited(context, fencing, seconds):
    context.view.update_owner(make_row(fencing, authority_seconds=seconds), fencing, 100.0)


@when("a heartbeat with token {fencing:d} arrives {seconds:f} seconds later")
def step_heartbeat_later(context, fencing, seconds):
    heartbeat = HeartbeatRecord(
        fencing=fencing,
        count=fencing,
        peers=("me",),
        authority_seconds=context.view.owner.authority_seconds,
    )
    context.view.update_heartbeat(heartbeat, 100.0 + seconds)


@then("a claim {passed:f} seconds later allows for {seconds:f} seconds of owners before")
def step_inherited_left(context, passed, seconds):
    found = context.view.compute_inherited_seconds(100.0 + passed)
    assert abs(found - seconds) < 1e-6, found


@given(
    "a takeover with authority of {authority:f} and {inherited:f} seconds, "
    "and leases of {lease:f} seconds"
)
def step_takeover(context, authority, inherited, lease):
    context.takeover = Takeover(0.0, lease, authority, inherited)


@when("the predecessor ends {seconds:f} seconds after the claim")
def step_predecessor_ends(context, seconds):
    context.takeover.record_inactive(seconds, ())


@then(
    "the leases of earlier owners have expired {seconds:f} seconds after the claim, and not before"
)
def step_expired(context, seconds):
    # 2 % of drift and 0.3 s of margin are added to the lease.
    expire_at = seconds / 0.98 + 0.3
    assert context.takeover.have_leases_expired(expire_at + 0.1)
    assert not context.takeover.have_leases_expired(expire_at - 0.1)
