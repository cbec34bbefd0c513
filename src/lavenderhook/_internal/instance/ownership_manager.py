"""Which instance is the owner: the instance's own row, claims, heartbeats, and hand-overs."""

from __future__ import annotations

import random
import secrets
import time
from collections.abc import Callable

import gevent
import gevent.event

from ...errors import LavenderhookError, TransportError
from ..ports.queueing import STORE_OUTAGE_SECONDS, RowConflict, RowStore, StoredRow, Write
from ..queueing.authority import (
    PROOF_SECONDS,
    STORELESS_SECONDS,
    compute_authority_seconds,
    is_proof_valid,
)
from ..queueing.model import FencingToken
from ..queueing.records import (
    CONTROL_TABLE,
    HEARTBEAT_KEY,
    HEARTBEAT_PART,
    MEMBER_PREFIX,
    OWNER_KEY,
    FormerOwner,
    HeartbeatRecord,
    MemberRecord,
    OwnerRecord,
    decode,
    encode,
)
from . import peers
from .clock import read_elapsed_clock
from .member_watch import MemberWatch
from .owner import Owner
from .ownership import (
    HEARTBEAT_INTERVAL_SECONDS,
    MAX_PINGING_INSTANCES,
    OwnershipView,
    StoreContact,
    compute_rank,
    may_have_lost_store,
    should_hand_over,
)
from .ownership_proof import OwnershipProof
from .predecessor import (
    ASKING_INTERVAL_SECONDS,
    LAST_PROOF_SECONDS,
    EndReason,
    PredecessorInquiry,
)
from .registration import STORE_RETRY_SECONDS, Registration
from .table_watcher import LogEvent, TableWatcher, describe_failure
from .work_table import WorkTable

CONTROL_WAIT_SECONDS = 0.8  # for a change of the control table
POLL_INTERVAL_SECONDS = 0.1  # between polls; limits the load of frequent changes
PING_INTERVAL_SECONDS = 0.3
# The control table is small: when 90 times as slow as usual, the store answers in 0.4 s.
CONTROL_READ_TIMEOUT_SECONDS = 0.8
PING_RETRY_SECONDS = 0.1  # a second ping confirms one that was refused or unanswered
MAX_SUCCESSORS = 3  # peers that an owner asks or notifies when it hands over
CONTACT_READ_SECONDS = 0.25  # for a peer that asks whether the store answers
CONTACT_RETRY_SECONDS = 0.6  # before an owner without a successor asks its peers again
# An owner renews its proof by the store when it is this old, and asks its peers as well when that
# doesn't succeed, so that work goes on in an outage of the whole store.
PROOF_RENEWAL_SECONDS = PROOF_SECONDS / 3
ASKING_AFTER_SECONDS = PROOF_SECONDS / 2
PROOF_CHECK_SECONDS = 0.1
STORE_CHECK_SECONDS = 0.1  # between checks whether the owner has lost the store
STANDBY_POLL_SECONDS = 0.5  # between polls of the work table by the next owners
PROBE_INTERVAL_SECONDS = 0.25  # between probes of a store that does not answer
PROBE_AFTER_UNANSWERED_SECONDS = 0.25
# Above the 0.4 s that a read takes when the store is 90 times as slow as usual.
PROBE_TIMEOUT_SECONDS = 0.6


class OwnershipManager:
    """Manages one instance's part in the ownership of the queues.

    It follows the control table, claims the ownership when due, and gives it up.

    Attributes
    ----------
    view : OwnershipView
        What this instance knows about the owner and its peers.
    owner : Owner or None
        The owner that this instance runs.
    claim_id : str
        Id of this instance's next or present claim.
    store_lost_at : float or None
        Since when the store has not answered.

    Parameters
    ----------
    name, zone, address : str
        Of this instance; the address is the one for calls of peers.
    fitness : float
        How suitable this instance is as the owner; see `compute_owner_fitness`.
    make_owner : callable
        Returns an owner that isn't started, given its row and its revision, the work table, the
        proof of its ownership, and the seconds for which owners before the last one may extend
        leases.
    record_peer_version : callable
        Takes the address of a peer and the version of its configuration.
    stopped : gevent.event.Event
        Ends the loops.
    """

    def __init__(
        self,
        name: str,
        zone: str,
        address: str,
        fitness: float,
        *,
        store: RowStore,
        peer_client: peers.PeerClient,
        make_owner: Callable[[OwnerRecord, int, WorkTable, OwnershipProof, float], Owner],
        record_peer_version: Callable[[str, int], None],
        stopped: gevent.event.Event,
        log_event: LogEvent,
    ) -> None:
        self.name = name
        self.claim_id = secrets.token_hex(6)
        self.view = OwnershipView(
            name=name,
            claim_id=self.claim_id,
            process_id=self.claim_id,
            address=address,
            owner_fitness=fitness,
        )
        self.owner: Owner | None = None
        self.store_lost_at: float | None = None
        self.is_draining = False
        self._address = address
        self._fitness = fitness
        self._store = store
        self._peers = peer_client
        self._make_owner = make_owner
        self._record_peer_version = record_peer_version
        self._stopped = stopped
        self._log_event = log_event
        self._work = WorkTable(store, log_event)
        self._control_watcher = TableWatcher(
            store,
            CONTROL_TABLE,
            self._apply_control_row,
            ("", HEARTBEAT_PART),
            log_event,
            CONTROL_READ_TIMEOUT_SECONDS,
        )
        self._predecessor: OwnerRecord | None = None
        self._claimed_from = 0  # revision of the predecessor's row
        self._inherited_until = 0.0  # until when owners before the predecessor may act
        self._is_predecessor_inactive = False
        self._proof = OwnershipProof(0.0)
        self._has_proof_by_store = True
        self._is_claiming = False
        self._heartbeat_count = 0
        self._registration = Registration(
            self.view,
            zone,
            address,
            store=store,
            is_draining=lambda: self.is_draining,
            step_down=self.step_down,
            stopped=stopped,
            log_event=log_event,
        )
        self._member_watch = MemberWatch(
            self.view,
            store,
            is_confirmed=self._is_confirmed_by_store,
            ask_peer=self._ask_peer_as_owner,
            stopped=stopped,
            log_event=log_event,
        )

    def list_loops(self) -> tuple[Callable[[], None], ...]:
        """Return the loops to run until the instance stops."""
        return (
            self._registration.register,
            self._watch_control_table,
            self._probe_store,
            self._ping_owner_loop,
            self._heartbeat_loop,
            self._follow_work_table,
            self._watch_store_as_owner,
            self._renew_proof_as_owner,
            self._member_watch.run,
        )

    def resign(self) -> None:
        """Give up the ownership, if this instance has it, and tell the peers that it leaves."""
        self.is_draining = True
        owner = self.owner
        if owner is not None:
            # No start may be sent once the store shows that this owner has resigned.
            self.step_down("the instance is stopping")
            self._send_hand_over(owner.fencing, self._list_successors())
            self._write_heartbeat(owner.fencing, has_resigned=True)
        self._registration.leave()

    def can_reach_store(self) -> bool:
        """Return whether the store is available, as far as this instance knows."""
        return (
            self.view.store_available_since is not None
            and self._store.measure_unanswered_seconds() < STORE_OUTAGE_SECONDS
        )

    def list_peers(self) -> list[str]:
        """Return the addresses of the peers: the owner first, the others in random order."""
        owner = self.find_owner_address()
        others = [
            member.address
            for member in self.view.members.values()
            if member.name != self.name and member.address != owner
        ]
        random.shuffle(others)
        return [owner, *others] if owner is not None else others

    def find_owner_address(self) -> str | None:
        """Return the owner's address; None if no other instance is known to be the owner."""
        owner = self.view.owner
        if owner is None or owner.name == self.name:
            return None
        return owner.address

    def list_instance_addresses(self) -> list[str]:
        """Return the addresses of all instances, this one included."""
        return sorted({self._address, *(member.address for member in self.view.members.values())})

    # The control table.

    def _watch_control_table(self) -> None:
        """Follow the control table, and claim ownership when due."""
        watcher = self._control_watcher
        while not self._stopped.is_set():
            try:
                self._poll(watcher)
            except LavenderhookError as error:
                self._record_store_result(False, describe_failure(error))
                gevent.sleep(STORE_RETRY_SECONDS)
                continue
            self._record_store_result(True, {})
            self._claim_if_due()
            gevent.sleep(POLL_INTERVAL_SECONDS)

    def _poll(self, watcher: TableWatcher) -> None:
        """Wait for changes; a broken watch alone does not mean that the store is unavailable."""
        started_at = time.monotonic()
        try:
            watcher.poll(CONTROL_WAIT_SECONDS)
        except LavenderhookError as error:
            is_overdue = time.monotonic() - started_at > CONTROL_WAIT_SECONDS
            if is_overdue and not self._store.has_answered_since(started_at):
                raise
            self._log_event("control-watch-cut", **describe_failure(error))
            watcher.load()

    def _probe_store(self) -> None:
        """Probe a store that does not answer, to notice its recovery before calls time out."""
        while not self._stopped.is_set():
            gevent.sleep(PROBE_INTERVAL_SECONDS)
            is_unanswered = (
                self._store.measure_unanswered_seconds() > PROBE_AFTER_UNANSWERED_SECONDS
            )
            if self.view.store_available_since is not None and not is_unanswered:
                continue
            try:
                self._store.read(
                    CONTROL_TABLE,
                    OWNER_KEY,
                    OWNER_KEY + "\0",
                    timeout_seconds=PROBE_TIMEOUT_SECONDS,
                )
            except LavenderhookError as error:
                # Without this, each call that begins later would wait for a response again.
                if self._store.measure_unanswered_seconds() > PROBE_AFTER_UNANSWERED_SECONDS:
                    self._record_store_result(False, describe_failure(error))
                continue
            self._record_store_result(True, {"probed": True})

    def _record_store_result(self, succeeded: bool, fields: dict[str, object]) -> None:
        if succeeded:
            self.store_lost_at = None
        elif self.store_lost_at is None:
            self.store_lost_at = time.monotonic()
        was_available = self.view.store_available_since is not None
        self.view.record_store_result(time.monotonic(), succeeded)
        if was_available != succeeded:
            self._log_event("store-regained" if succeeded else "store-lost", **fields)

    def _apply_control_row(self, row: StoredRow) -> None:
        now = time.monotonic()
        if row.key.startswith(MEMBER_PREFIX):
            name = row.key.removeprefix(MEMBER_PREFIX)
            member = None if row.is_deleted else decode(row.value, MemberRecord)
            if member is not None and self.owner is not None:
                self._check_removal(member, self.owner.fencing)
            if name == self.name:
                self._registration.apply_row(row)
            self.view.update_member(name, member, row.revision)
            self.view.rank = compute_rank(self.name, self.view.members, self._fitness)
            self._check_predecessor()
        elif row.key == OWNER_KEY and not row.is_deleted:
            owner = decode(row.value, OwnerRecord)
            self._update_owner(owner, row.revision)
        elif row.key == HEARTBEAT_KEY and not row.is_deleted:
            heartbeat = decode(row.value, HeartbeatRecord)
            self.view.update_heartbeat(heartbeat, now)

    def _check_removal(self, member: MemberRecord, fencing: FencingToken) -> None:
        """Step down if a later owner has removed an instance, which may be a later owner as well.

        This owner would not ask that instance any more.
        """
        if member.removed_by > fencing:
            self.step_down("a later owner has removed an instance")

    def _check_predecessor(self) -> None:
        """Notify the local owner once its predecessor can no longer send commands."""
        predecessor, owner = self._predecessor, self.owner
        if owner is not None and (
            predecessor is None or self.view.is_owner_inactive(predecessor, self._claimed_from)
        ):
            self._record_predecessor_inactive(owner)

    def _record_predecessor_inactive(self, owner: Owner) -> None:
        self._is_predecessor_inactive = True
        owner.record_predecessor_inactive(self._inherited_until)

    def _measure_authority_left(self) -> float:
        """Return for how many seconds earlier owners may still act, as this owner knows."""
        now = time.monotonic()
        left = self.view.compute_authority_left(now)
        if self._is_predecessor_inactive:
            return min(left, max(0.0, self._inherited_until - now))
        return left

    def _update_owner(self, owner: OwnerRecord, revision: int) -> None:
        if not self.view.update_owner(owner, revision, time.monotonic()):
            return
        self._log_event("owner-changed", owner=owner.name, fencing=owner.fencing, revision=revision)
        if self.owner is not None and owner.boot != self.claim_id:
            self.step_down("another owner has taken over")

    # Claims.

    def _claim_if_due(self) -> None:
        """Claim the ownership if this instance should take over now."""
        if self._is_claiming or self.is_draining or not self.view.should_claim(time.monotonic()):
            return
        self._is_claiming = True
        try:
            self._claim()
        finally:
            self._is_claiming = False

    def _claim(self) -> None:
        predecessor, claimed_from = self.view.owner, self.view.owner_revision
        predecessor_peers = self.view.list_owner_peers()
        assessment = self.view.assess_predecessor()
        inherited = self.view.compute_inherited_seconds(time.monotonic())
        authority_seconds = compute_authority_seconds(assessment, inherited)
        owner = OwnerRecord(
            fencing=self.view.compute_next_fencing(),
            name=self.name,
            boot=self.claim_id,
            address=self._address,
            process=self.view.process_id,
            authority_seconds=authority_seconds,
            peers=self._list_peer_processes(),
            predecessor=(
                FormerOwner.of(predecessor, claimed_from) if predecessor is not None else None
            ),
            asks_workers=(
                predecessor is None or authority_seconds == 0.0 or predecessor.asks_workers
            ),
        )
        write = Write(CONTROL_TABLE, OWNER_KEY, encode(owner), claimed_from)
        sent_at = read_elapsed_clock()
        try:
            result = self._store.transact([write, self._registration.make_row()])
        except LavenderhookError as error:
            # The next change of the control table shows whether the claim was carried out.
            self._log_event("claim-unanswered", fencing=owner.fencing, **describe_failure(error))
            return
        if isinstance(result, RowConflict):
            self._registration.record_conflict(result)
            row = result.find(CONTROL_TABLE, OWNER_KEY)
            if row is not None:
                found = decode(row.value, OwnerRecord)
                self._update_owner(found, row.revision)
            return
        self._registration.record_stored(result)
        if self.view.process_id != owner.process:
            return  # a later owner has removed this instance before the response was read
        self._log_event(
            "ownership-claimed",
            fencing=owner.fencing,
            former=predecessor.name if predecessor is not None else None,
            heartbeat_age=round(time.monotonic() - self.view.heartbeat_seen_at, 3),
            refusals=self.view.refusals,
            predecessor=assessment.value,
            authority_seconds=round(owner.authority_seconds, 3),
        )
        self._update_owner(owner, result)
        self._predecessor, self._claimed_from = predecessor, claimed_from
        self._inherited_until = time.monotonic() + inherited
        self._is_predecessor_inactive = False
        self._proof = OwnershipProof(sent_at)
        self._start_owner(owner, result, inherited)
        self._check_predecessor()
        if predecessor is not None and owner.authority_seconds > LAST_PROOF_SECONDS:
            gevent.spawn(self._ask_predecessor, self.owner, predecessor, predecessor_peers)

    def _are_all_listed(self) -> bool:
        """Return whether each instance that may run is certainly listed."""
        return not self.view.removed_members and not self._control_watcher.may_be_stale()

    def _ask_predecessor(
        self, owner: Owner, predecessor: OwnerRecord, processes: tuple[str, ...]
    ) -> None:
        """End a long wait for owners that get no proof by their peers any longer."""
        claimed_at = time.monotonic()
        stated_seconds = self._measure_authority_left()
        inquiry = PredecessorInquiry(
            predecessor,
            processes,
            owner.fencing,
            peer_client=self._peers,
            list_members=self.view.list_peers,
            are_all_listed=self._are_all_listed,
            log_event=self._log_event,
        )
        while self.owner is owner:
            inquiry.ask()
            if self.owner is not owner:
                return
            if inquiry.confirms_nobody() and predecessor.authority_seconds < STORELESS_SECONDS:
                stated_until = claimed_at + predecessor.authority_seconds
                self._inherited_until = min(self._inherited_until, stated_until)
            reason = inquiry.find_end(
                has_witnessed_end=predecessor.asks_workers and owner.has_witnessed_end()
            )
            if reason in (EndReason.ALL_KNOW, EndReason.WORKERS):
                self._inherited_until = min(self._inherited_until, time.monotonic())
            if reason is not None:
                self._record_predecessor_inactive(owner)
            if self._measure_authority_left() <= 0.0:
                self._log_event(
                    "earlier-owners-inactive",
                    fencing=owner.fencing,
                    former=predecessor.fencing,
                    reason=(reason or EndReason.EXPIRED).value,
                    seconds=round(time.monotonic() - claimed_at, 3),
                    stated=round(stated_seconds, 3),
                )
                return
            gevent.sleep(ASKING_INTERVAL_SECONDS)

    def _start_owner(self, owner: OwnerRecord, revision: int, inherited_seconds: float) -> None:
        self.owner = self._make_owner(owner, revision, self._work, self._proof, inherited_seconds)
        self._work = WorkTable(self._store, self._log_event)  # for the time after this ownership
        self.owner.start()
        # Shows the next claimant that this instance knows of its claim.
        gevent.spawn(self._write_heartbeat, owner.fencing, has_resigned=False)

    def is_isolated(self) -> bool:
        """Return whether a peer may have taken over without this instance noticing."""
        if is_proof_valid(self._proof.measure_store_age()):
            return False
        if not is_proof_valid(self._proof.measure_age(self._list_peer_processes())):
            return True
        return self.owner is None or not self.owner.has_witnesses()

    def measure_proof_age(self) -> float:
        """Return the seconds since the last proof of the ownership; 0 if there is no owner here."""
        if self.owner is None:
            return 0.0
        return self._proof.measure_age(self._list_peer_processes())

    def _list_peer_processes(self) -> tuple[str, ...]:
        return tuple(sorted(member.boot for member in self.view.list_peers()))

    def end_ownership(self, fencing: FencingToken, reason: str) -> None:
        """Step down unless the call comes from a former `Owner` of this process."""
        if self.owner is not None and self.owner.fencing == fencing:
            self.step_down(reason)

    def step_down(self, reason: str) -> None:
        """Give up the ownership, if this instance has it."""
        owner, self.owner = self.owner, None
        if owner is None:
            return
        self._log_event("ownership-ended", fencing=owner.fencing, reason=reason)
        owner.stop()
        self.view.record_step_down(owner.fencing, time.monotonic())
        self._reset_claim_id()

    def _reset_claim_id(self) -> None:
        self.view.claim_id = self.claim_id = secrets.token_hex(6)

    # Hand-over.

    def _follow_work_table(self) -> None:
        """Follow the work table while this instance is one of the next owners."""
        while not self._stopped.is_set():
            gevent.sleep(STANDBY_POLL_SECONDS)
            if not self.view.is_standby() or not self.can_reach_store():
                continue
            work = self._work
            try:
                work.poll()
            except LavenderhookError as error:
                self._log_event("standby-unread", **describe_failure(error))

    def _watch_store_as_owner(self) -> None:
        """Hand over the ownership if only this instance has lost the store."""
        while not self._stopped.is_set():
            gevent.sleep(STORE_CHECK_SECONDS)
            owner = self.owner
            is_available = self.view.store_available_since is not None
            unanswered = self._store.measure_unanswered_seconds()
            if owner is None or not may_have_lost_store(is_available, unanswered):
                continue
            own_read = gevent.spawn(self.measure_store_contact)
            peer_contacts = self._request_store_contacts()
            own = own_read.get()
            successors = [a for a, peer in peer_contacts if should_hand_over(own, peer)]
            if successors and self.owner is owner:
                self.step_down("only this instance has lost the store")
                self._send_hand_over(owner.fencing, successors)
            else:
                gevent.sleep(CONTACT_RETRY_SECONDS)

    def _renew_proof_as_owner(self) -> None:
        """Let the store, or else all peers, confirm that nobody has taken over."""
        while not self._stopped.is_set():
            gevent.sleep(PROOF_CHECK_SECONDS)
            owner = self.owner
            if owner is None:
                continue
            age = self._proof.measure_store_age()
            self._log_proof_by_store(owner.fencing, age)
            if age < PROOF_RENEWAL_SECONDS:
                continue
            if self.view.store_available_since is not None:
                owner.request_confirmation()
            if age > ASKING_AFTER_SECONDS:
                for member in self.view.list_peers():
                    gevent.spawn(self._ask_peer, member, owner.fencing, self._proof)
            gevent.sleep(PROOF_RENEWAL_SECONDS - PROOF_CHECK_SECONDS)

    def _log_proof_by_store(self, fencing: FencingToken, age: float) -> None:
        """Log when the store has last confirmed the ownership, at the beginning and the end."""
        has_proof = is_proof_valid(age)
        if has_proof is not self._has_proof_by_store:
            self._has_proof_by_store = has_proof
            self._log_event(
                "owner-proven-by-store" if has_proof else "owner-unproven-by-store",
                fencing=fencing,
                age=round(age, 3),
                unanswered=self._proof.list_unanswered(self._list_peer_processes(), PROOF_SECONDS),
            )

    def _is_confirmed_by_store(self) -> bool:
        """Return whether this instance is the owner, as the store has just confirmed."""
        is_owner = self.owner is not None and self.view.is_owner()
        return is_owner and is_proof_valid(self._proof.measure_store_age())

    def _ask_peer_as_owner(self, member: MemberRecord) -> bool:
        owner = self.owner
        return owner is not None and self._ask_peer(member, owner.fencing, self._proof)

    def _ask_peer(self, member: MemberRecord, fencing: FencingToken, proof: OwnershipProof) -> bool:
        """Ask a peer whether it has become a later owner; return whether it has answered.

        Another process that answers at its address can't know what that one had claimed.
        """
        address = member.address
        sent_at = read_elapsed_clock()
        try:
            answer = self._peers.ping(address)
        except LavenderhookError as error:
            self._log_event("contact-unanswered", peer=address, **describe_failure(error))
            return False
        self._record_peer_version(address, answer.configuration)
        if answer.fencing is None or answer.process != member.boot:
            self._log_event("contact-proves-nothing", peer=address, fencing=fencing)
        elif answer.fencing > fencing:
            self.end_ownership(fencing, "a peer knows a later owner")
        else:
            proof.record_peer(member.boot, sent_at)
        return True

    def describe_to_peer(self, configuration_version: int) -> peers.PingResponse:
        """Return the response to a peer's ping."""
        owner = self.view.owner
        return peers.PingResponse(
            self.claim_id,
            self.owner is not None,
            configuration_version,
            fencing=owner.fencing if owner is not None else None,
            process=self.view.process_id,
            is_leaving=self.is_draining,
        )

    def measure_store_contact(self) -> StoreContact:
        """Read one row: what is known of the store may be older than its loss."""
        started_at = time.monotonic()
        try:
            self._store.read(
                CONTROL_TABLE, OWNER_KEY, OWNER_KEY + "\0", timeout_seconds=CONTACT_READ_SECONDS
            )
        except LavenderhookError as error:
            if self.view.store_available_since is not None:
                self._log_event("contact-unread", **describe_failure(error))
            return StoreContact(False, time.monotonic() - started_at)
        return StoreContact(True, time.monotonic() - started_at)

    def _list_successors(self) -> list[str]:
        """Return the addresses of the fittest peers."""
        members = self.view.list_peers()
        members.sort(key=lambda member: (-member.strength, member.name))
        return [member.address for member in members[:MAX_SUCCESSORS]]

    def _request_store_contacts(self) -> list[tuple[str, StoreContact]]:
        """Return how the fittest peers reach the store, in order of their fitness."""
        addresses = self._list_successors()
        calls = [gevent.spawn(self._request_store_contact, address) for address in addresses]
        gevent.joinall(calls)
        contacts = zip(addresses, calls, strict=True)
        return [(address, call.value) for address, call in contacts if call.value is not None]

    def _request_store_contact(self, address: str) -> StoreContact | None:
        try:
            return self._peers.request_store_contact(address)
        except LavenderhookError as error:
            self._log_event("contact-unanswered", peer=address, **describe_failure(error))
            return None

    def _send_hand_over(self, fencing: FencingToken, successors: list[str]) -> None:
        """Tell the peers that the owner has resigned; the first that answers takes over."""
        is_designated = True
        for address in successors:
            try:
                self._peers.send_hand_over(address, peers.HandOverNotice(fencing, is_designated))
            except LavenderhookError as error:
                self._log_event("hand-over-unsent", peer=address, **describe_failure(error))
                continue
            self._log_event(
                "ownership-handed-over", peer=address, fencing=fencing, designated=is_designated
            )
            is_designated = False

    def apply_hand_over(self, notice: peers.HandOverNotice) -> None:
        """Record that an owner has resigned, and claim if it designates this instance."""
        self.view.record_resignation(notice.fencing, is_designated=notice.is_designated)
        if notice.is_designated:
            gevent.spawn(self._claim_if_due)

    # Heartbeats and pings.

    def _ping_owner_loop(self) -> None:
        """Ping the owner: refused connections soon suggest that its process has ended."""
        while not self._stopped.is_set():
            has_failed = self.view.refusals or self.view.unanswered_pings
            gevent.sleep(PING_RETRY_SECONDS if has_failed else PING_INTERVAL_SECONDS)
            owner = self.view.owner
            address = self.find_owner_address()
            if owner is None or address is None or self.view.rank >= MAX_PINGING_INSTANCES:
                continue
            is_refused = is_unanswered = False
            answer: peers.PingResponse | None = None
            try:
                answer = self._peers.ping(address)
                # One that has stepped down has another id; one that has claimed but has no response
                # yet is not the owner so far.
                is_refused = answer.boot != owner.boot
                self._record_peer_version(address, answer.configuration)
            except TransportError as error:
                # A refused connection suggests that nothing listens; other failures, such as
                # time-outs, only count together with a heartbeat that does not change.
                is_refused = isinstance(error.__cause__, ConnectionRefusedError)
                is_unanswered = not is_refused
            except LavenderhookError as error:
                self._log_event("ping-failed", owner=address, **describe_failure(error))
            if self.view.owner is owner:
                self.view.record_ping(is_refused=is_refused, is_unanswered=is_unanswered)
                if answer is not None and self.view.record_owner_answer(
                    answer.boot, answer.fencing
                ):
                    self._log_event("owner-given-up", owner=address, fencing=owner.fencing)

    def _heartbeat_loop(self) -> None:
        """Write the heartbeat while this instance is the owner."""
        while not self._stopped.is_set():
            gevent.sleep(HEARTBEAT_INTERVAL_SECONDS)
            if self.owner is not None:
                self._write_heartbeat(self.owner.fencing, has_resigned=False)
            elif self.view.is_owner() and not self._is_claiming:
                # The response to the claim was lost: a new id lets this instance claim again, with
                # a new fencing token.
                self._reset_claim_id()

    def _write_heartbeat(self, fencing: FencingToken, *, has_resigned: bool) -> None:
        self._heartbeat_count += 1
        record = HeartbeatRecord(
            fencing=fencing,
            count=self._heartbeat_count,
            has_resigned=has_resigned,
            peers=self._list_peer_processes(),
            authority_seconds=self._measure_authority_left(),
        )
        # Not conditional on the owner row: that would put the write into the part of the progress,
        # whose transactions may have to wait. Readers check the record's token instead.
        try:
            self._store.transact(
                [Write(CONTROL_TABLE, HEARTBEAT_KEY, encode(record), part=HEARTBEAT_PART)]
            )
        except LavenderhookError as error:
            self._log_event("heartbeat-failed", fencing=fencing, **describe_failure(error))
