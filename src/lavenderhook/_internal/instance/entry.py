"""An entry instance of the queues: serves callers, finds its peers and may be the owner."""

from __future__ import annotations

import random
import secrets
import time

import gevent
import gevent.event

from ...errors import (
    LavenderhookError,
    PeerUnavailableError,
    StoreUnavailableError,
    TransportError,
    UnknownNameError,
)
from ..adapters.frontend import HttpRequest, Listener, ListenerLimits, Reply
from ..core.identifiers import WorkerId
from ..ports.queueing import (
    STORE_OUTAGE_SECONDS,
    Advisor,
    HistoryLostError,
    QueueConfiguration,
    QueueWorkerClient,
    RowConflict,
    RowStore,
    StoredRow,
    WorkerList,
    Write,
)
from ..queueing.model import (
    FencingToken,
    StepId,
    Submission,
    SubmissionId,
    SubmissionState,
    TicketId,
)
from ..queueing.owner_state import OwnerParameters
from ..queueing.records import (
    CONTROL_TABLE,
    HEARTBEAT_KEY,
    HEARTBEAT_PART,
    MEMBER_PREFIX,
    OWNER_KEY,
    SUBMISSION_PREFIX,
    WORK_TABLE,
    HeartbeatRecord,
    MemberRecord,
    OwnerRecord,
    choose_part,
    decode,
    encode,
)
from ..queueing.retry_after import choose_retry_after
from ..queueing.routes import QueueRoutes
from . import peers
from .advice import AdviceDispatcher
from .contact import is_isolated, read_elapsed_clock
from .forwarding import ForwardingWriter
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
from .submission_writer import SubmissionWriter, WriteResult
from .supervision import ReportError, run_until_stopped
from .table_watcher import LogEvent, TableWatcher, describe_failure
from .work_table import WorkTable

CONTROL_WAIT_SECONDS = 0.8  # for a change of the control table
CONFIGURATION_WAIT_SECONDS = 0.8  # a change of the configuration ends the wait at once
POLL_INTERVAL_SECONDS = 0.1  # between polls; limits the load of frequent changes
STORE_RETRY_SECONDS = 0.25  # after a failed call to the store
PING_INTERVAL_SECONDS = 0.3
PENDING_REFRESH_SECONDS = 0.5  # age up to which the owner's counts are reused
PENDING_MAX_AGE_SECONDS = 1.8  # age up to which they are used if the owner doesn't respond
MAX_LEAVE_ATTEMPTS = 3  # the row may have changed in the meantime
DRAIN_SECONDS = 2.5  # the balancer removes an instance after two failed checks, 1 s apart
MAX_READ_STALENESS_SECONDS = 6.0  # of reads after the store's change feed has lost its history
MAX_ACCEPTED_IDS = 5_000  # of submissions that this instance has stored
# The control table is small: when 90 times as slow as usual, the store answers in 0.4 s.
CONTROL_READ_TIMEOUT_SECONDS = 0.8
PING_RETRY_SECONDS = 0.1  # a second ping confirms one that was refused or unanswered
MAX_SUCCESSORS = 3  # peers that an owner asks or notifies when it hands over
CONTACT_READ_SECONDS = 0.25  # for a peer that asks whether the store answers
CONTACT_RETRY_SECONDS = 0.6  # before an owner without a successor asks its peers again
STORE_CHECK_SECONDS = 0.1  # between checks whether the owner has lost the store
STANDBY_POLL_SECONDS = 0.5  # between polls of the work table by the next owners
PROBE_INTERVAL_SECONDS = 0.25  # between probes of a store that does not answer
PROBE_AFTER_UNANSWERED_SECONDS = 0.25
# Above the 0.4 s that a read takes when the store is 90 times as slow as usual.
PROBE_TIMEOUT_SECONDS = 0.6


class EntryInstance:
    """An entry instance.

    Parameters
    ----------
    name : str
    zone : str
    peer_address : str
        ``ip:port`` for calls of peers.
    owner_fitness : float
        How suitable this instance is as the owner; see `compute_owner_fitness`.
    log_event : callable
        Logs an event, given by its name and fields.
    report_error : callable
        Takes (what, error) for unexpected failures.
    """

    def __init__(
        self,
        name: str,
        zone: str,
        peer_address: str,
        owner_fitness: float,
        *,
        store: RowStore,
        worker_list: WorkerList,
        configuration: QueueConfiguration,
        worker_client: QueueWorkerClient,
        advisor: Advisor,
        parameters: OwnerParameters,
        limits: ListenerLimits,
        log_event: LogEvent,
        report_error: ReportError,
    ) -> None:
        self.name = name
        self.process_id = self.claim_id = secrets.token_hex(6)
        self.zone = zone
        self.address = peer_address
        self.routes: QueueRoutes | None = None
        self.is_draining = False
        self.stopped = gevent.event.Event()
        self._owner_fitness = owner_fitness
        self._store = store
        self._worker_list = worker_list
        self._configuration = configuration
        self._worker_client = worker_client
        self._advisor = advisor
        self._parameters = parameters
        self._log_event = log_event
        self._report_error = report_error
        self._view = OwnershipView(
            name=name,
            claim_id=self.claim_id,
            process_id=self.process_id,
            owner_fitness=owner_fitness,
        )
        self._predecessor: OwnerRecord | None = None
        self._writer = SubmissionWriter(store, log_event)
        self._forwarding = ForwardingWriter(store, self._can_reach_store, self._list_peers)
        self._work = WorkTable(store, log_event)
        self._peers = peers.PeerClient()
        self._advice_dispatcher = AdviceDispatcher(
            self._request_advice_at, self._list_instance_addresses
        )
        self._owner: Owner | None = None
        self._is_claiming = False
        self._heartbeat_count = 0
        self._member_revision = 0  # of the row of this instance
        self._store_lost_at: float | None = None
        self._accepted_at: dict[SubmissionId, float] = {}  # in order of acceptance
        self._submissions_for_notice: list[Submission] = []
        self._cancellations_for_notice: list[SubmissionId] = []
        self._is_notice_due = gevent.event.Event()
        self._pending_counts: tuple[float, dict[str, int]] | None = None
        self._greenlets: list[gevent.Greenlet] = []
        host, _, port = peer_address.rpartition(":")
        self._listener = Listener((host, int(port)), limits, self._route_peer, report_error)

    def start(self) -> None:
        """Start the listener for peers and the background loops."""
        self._listener.start()
        for loop in (
            self._register_member,
            self._watch_control_table,
            self._probe_store,
            self._watch_configuration,
            self._ping_owner_loop,
            self._heartbeat_loop,
            self._send_write_notices,
            self._follow_work_table,
            self._watch_store_as_owner,
        ):
            self._greenlets.append(
                gevent.spawn(run_until_stopped, loop, self.stopped.is_set, self._report_error)
            )
        self._log_event("started", boot=self.claim_id, address=self.address, zone=self.zone)

    # Operations for callers.

    def is_ready(self) -> bool:
        """Return whether this instance should receive callers' requests."""
        return (
            not self.is_draining
            and self.routes is not None
            and self._view.store_available_since is not None
        )

    def is_owner(self) -> bool:
        """Return whether this instance places tasks."""
        return self._owner is not None

    def get_configuration_version(self) -> int:
        """Return the version of the active configuration; 0 if there is none."""
        return self.routes.version if self.routes is not None else 0

    def submit(self, submission: Submission, deadline: float) -> WriteResult:
        """Store a submission, directly or through a peer."""
        result = self._forwarding.write(
            lambda: self._writer.store_submission(submission, deadline),
            lambda address, seconds: self._peers.submit(address, submission, seconds),
            deadline,
        )
        self._log_event(
            "submission-" + result.value,
            submission=submission.id,
            queue=submission.queue.name,
            configuration=self.routes.version if self.routes is not None else None,
            store_contact=self._view.store_available_since is not None,
        )
        if result is WriteResult.STORED:
            self._record_accepted(submission)
        return result

    def cancel(self, submission: SubmissionId, deadline: float) -> WriteResult:
        """Cancel a submission, directly or through a peer."""
        result = self._forwarding.write(
            lambda: self._cancel_locally(submission, deadline),
            lambda address, seconds: self._peers.cancel(address, submission, seconds),
            deadline,
        )
        self._log_event("cancel-" + result.value, submission=submission)
        if result is WriteResult.STORED:
            self._cancellations_for_notice.append(submission)
            self._is_notice_due.set()
        return result

    def _cancel_locally(self, submission: SubmissionId, deadline: float) -> WriteResult:
        try:
            if not self._is_stored(submission):
                return WriteResult.NO_SUCH
        except LavenderhookError as error:
            self._log_event("cancel-unchecked", submission=submission, **describe_failure(error))
            return WriteResult.NOT_STORED
        return self._writer.store_cancellation(submission, deadline)

    def describe(self, submission: SubmissionId) -> SubmissionState:
        """Return the state of a submission.

        Raises
        ------
        UnknownNameError
            If it was never submitted, or its rows have been deleted after the retention period.
        StoreUnavailableError
            If the owner does not return a state and the store can't be read or the read is stale.
        """
        state = self._ask_owner(submission)
        if state is not None:
            return state
        return self._read_state(submission)

    def count_pending(self, queue: str) -> int:
        """Return how many submissions of a queue have not begun.

        Raises
        ------
        PeerUnavailableError
            If the owner does not return its counts and the last ones are too old.
        """
        if self._owner is not None and self._owner.is_loaded and self._owner.state is not None:
            return self._owner.state.count_pending().get(queue, 0)
        now = time.monotonic()
        if self._pending_counts is None or now - self._pending_counts[0] > PENDING_REFRESH_SECONDS:
            self._refresh_pending(now)
        if self._pending_counts is None or now - self._pending_counts[0] > PENDING_MAX_AGE_SECONDS:
            raise PeerUnavailableError(
                "the owner has not returned its counts of pending submissions"
            )
        return self._pending_counts[1].get(queue, 0)

    def _refresh_pending(self, now: float) -> None:
        address = self._find_owner_address()
        if address is None:
            return
        try:
            counts = self._peers.request_pending_counts(address)
        except LavenderhookError as error:
            self._log_event("pending-unanswered", owner=address, **describe_failure(error))
            return
        if counts is not None:
            self._pending_counts = (now, counts)

    def _record_accepted(self, submission: Submission) -> None:
        if submission.id in self._accepted_at:
            return
        self._accepted_at[submission.id] = time.monotonic()
        if len(self._accepted_at) > MAX_ACCEPTED_IDS:
            self._accepted_at.pop(next(iter(self._accepted_at)))
        self._submissions_for_notice.append(submission)
        self._is_notice_due.set()

    def _ask_owner(self, submission: SubmissionId) -> SubmissionState | None:
        if self._owner is not None:
            return self._owner.describe(submission)
        address = self._find_owner_address()
        if address is None:
            return None
        try:
            return self._peers.request_state(address, submission)
        except LavenderhookError as error:
            self._log_event(
                "state-unanswered",
                submission=submission,
                owner=address,
                **describe_failure(error),
            )
            return None

    def _read_state(self, submission: SubmissionId) -> SubmissionState:
        outcome = self._writer.read_outcome(submission)
        if outcome is not None:
            return outcome.state
        if self._was_recently_accepted(submission):
            return SubmissionState.QUEUED
        if not self._is_stored(submission):
            raise UnknownNameError("submission", submission)
        return SubmissionState.QUEUED

    def _was_recently_accepted(self, submission: SubmissionId) -> bool:
        """Return whether this instance has stored it so recently that reads may still miss it."""
        accepted_at = self._accepted_at.get(submission)
        return (
            accepted_at is not None and time.monotonic() - accepted_at < MAX_READ_STALENESS_SECONDS
        )

    def _is_stored(self, submission: SubmissionId) -> bool:
        if self._was_recently_accepted(submission):
            return True
        key = SUBMISSION_PREFIX + submission
        # The end of a range is exclusive, so this reads one key.
        changes = self._store.read(WORK_TABLE, key, key + "\0", choose_part(submission))
        if changes.rows:
            return True
        if changes.revision < self._view.owner_revision:
            raise StoreUnavailableError("the store returned a stale read")
        return False

    def _can_reach_store(self) -> bool:
        """Return whether the store is available, as far as this instance knows."""
        return (
            self._view.store_available_since is not None
            and self._store.measure_unanswered_seconds() < STORE_OUTAGE_SECONDS
        )

    def compute_retry_after(self, deadline: float) -> int:
        """Return the seconds after which a refused caller with this deadline should retry."""
        now = time.monotonic()
        lost_at = self._store_lost_at
        outage = now - lost_at if lost_at is not None else self._store.measure_unanswered_seconds()
        return choose_retry_after(outage, random.random(), deadline - now)

    def _list_peers(self) -> list[str]:
        """Return the addresses of the peers: the owner first, the others in random order."""
        owner = self._find_owner_address()
        others = [
            member.address
            for member in self._view.members.values()
            if member.name != self.name and member.address != owner
        ]
        random.shuffle(others)
        return [owner, *others] if owner is not None else others

    def _find_owner_address(self) -> str | None:
        """Return the owner's address; None if no other instance is known to be the owner."""
        owner = self._view.owner
        if owner is None or owner.name == self.name:
            return None
        return owner.address

    # Advice.

    def _list_instance_addresses(self) -> list[str]:
        return sorted({self.address, *(member.address for member in self._view.members.values())})

    def _request_advice_at(
        self, address: str, step: StepId, workers: tuple[WorkerId, ...], seconds: float
    ) -> dict[WorkerId, TicketId] | None:
        if address == self.address:
            return self._advisor.request_advice(step, workers, seconds)
        try:
            return self._peers.request_advice(address, step, workers, seconds)
        except LavenderhookError as error:
            self._log_event(
                "advice-unanswered",
                step=str(step),
                peer=address,
                **describe_failure(error),
            )
            return None

    # Watching the store.

    def _watch_control_table(self) -> None:
        """Follow the control table, and claim ownership when due."""
        watcher = TableWatcher(
            self._store,
            CONTROL_TABLE,
            self._apply_control_row,
            ("", HEARTBEAT_PART),
            self._log_event,
            CONTROL_READ_TIMEOUT_SECONDS,
        )
        while not self.stopped.is_set():
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
        while not self.stopped.is_set():
            gevent.sleep(PROBE_INTERVAL_SECONDS)
            is_unanswered = (
                self._store.measure_unanswered_seconds() > PROBE_AFTER_UNANSWERED_SECONDS
            )
            if self._view.store_available_since is not None and not is_unanswered:
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
            self._store_lost_at = None
        elif self._store_lost_at is None:
            self._store_lost_at = time.monotonic()
        was_available = self._view.store_available_since is not None
        self._view.record_store_result(time.monotonic(), succeeded)
        if was_available != succeeded:
            self._log_event("store-regained" if succeeded else "store-lost", **fields)

    def _apply_control_row(self, row: StoredRow) -> None:
        now = time.monotonic()
        if row.key.startswith(MEMBER_PREFIX):
            name = row.key.removeprefix(MEMBER_PREFIX)
            member = None if row.is_deleted else decode(row.value, MemberRecord)
            if name == self.name:
                self._member_revision = max(self._member_revision, row.revision)
            if member is None or member.has_left:
                self._view.members.pop(name, None)
            else:
                self._view.members[name] = member
            self._view.rank = compute_rank(self.name, self._view.members, self._owner_fitness)
            self._check_predecessor()
        elif row.key == OWNER_KEY and not row.is_deleted:
            owner = decode(row.value, OwnerRecord)
            self._update_owner(owner, row.revision)
        elif row.key == HEARTBEAT_KEY and not row.is_deleted:
            heartbeat = decode(row.value, HeartbeatRecord)
            self._view.update_heartbeat(heartbeat, now)

    def _check_predecessor(self) -> None:
        """Notify the local owner once its predecessor can no longer send commands."""
        predecessor, owner = self._predecessor, self._owner
        if owner is not None and (predecessor is None or self._view.is_owner_inactive(predecessor)):
            owner.record_predecessor_inactive()

    def _update_owner(self, owner: OwnerRecord, revision: int) -> None:
        if not self._view.update_owner(owner, revision, time.monotonic()):
            return
        self._log_event("owner-changed", owner=owner.name, fencing=owner.fencing, revision=revision)
        if self._owner is not None and owner.boot != self.claim_id:
            self._step_down("another owner has taken over")

    def _register_member(self) -> None:
        """Write the row that tells peers the address of this instance; retry until stored."""
        while not self.stopped.is_set() and not self.is_draining:
            try:
                if self._write_member_row(has_left=False):
                    return
            except LavenderhookError as error:
                self._log_event("join-failed", **describe_failure(error))
                gevent.sleep(STORE_RETRY_SECONDS)

    def _write_member_row(self, *, has_left: bool) -> bool:
        """Replace the row of this instance; return False if it has changed in the meantime.

        Raises
        ------
        StoreUnavailableError, TransportError
        """
        result = self._store.transact([self._make_member_row(has_left=has_left)])
        if isinstance(result, RowConflict):
            self._record_member_conflict(result)
            return False
        self._member_revision = result
        return True

    def _record_member_conflict(self, conflict: RowConflict) -> None:
        row = conflict.find(CONTROL_TABLE, MEMBER_PREFIX + self.name)
        self._member_revision = row.revision if row is not None else 0

    def _make_member_row(self, *, has_left: bool = False) -> Write:
        record = MemberRecord(
            name=self.name,
            boot=self.process_id,
            address=self.address,
            zone=self.zone,
            strength=self._owner_fitness,
            has_left=has_left,
        )
        key = MEMBER_PREFIX + self.name
        return Write(CONTROL_TABLE, key, encode(record), self._member_revision)

    def _watch_configuration(self) -> None:
        revision: int | None = None
        while not self.stopped.is_set():
            try:
                if revision is None:
                    routes, revision = self._configuration.read()
                else:
                    routes, revision = self._configuration.wait_for_changes(
                        revision, CONFIGURATION_WAIT_SECONDS
                    )
            except HistoryLostError:
                revision = None
                continue
            except LavenderhookError as error:
                self._log_event("configuration-unread", **describe_failure(error))
                gevent.sleep(STORE_RETRY_SECONDS)
                continue
            if routes is not None:
                self._apply_configuration(routes)
            gevent.sleep(POLL_INTERVAL_SECONDS)

    def _apply_configuration(self, routes: QueueRoutes) -> None:
        former = self.routes.version if self.routes is not None else 0
        if routes.version <= former:
            return  # a stale read
        self.routes = routes
        self._log_event(
            "configuration-applied", version=routes.version, former=former, queues=len(routes)
        )

    # Ownership.

    def _claim(self) -> None:
        predecessor = self._view.owner
        owner = OwnerRecord(
            fencing=self._view.compute_next_fencing(),
            name=self.name,
            boot=self.claim_id,
            address=self.address,
            process=self.process_id,
        )
        write = Write(CONTROL_TABLE, OWNER_KEY, encode(owner), self._view.owner_revision)
        try:
            result = self._store.transact([write, self._make_member_row()])
        except LavenderhookError as error:
            # The next change of the control table shows whether the claim was carried out.
            self._log_event("claim-unanswered", fencing=owner.fencing, **describe_failure(error))
            return
        if isinstance(result, RowConflict):
            self._record_member_conflict(result)
            row = result.find(CONTROL_TABLE, OWNER_KEY)
            if row is not None:
                found = decode(row.value, OwnerRecord)
                self._update_owner(found, row.revision)
            return
        self._log_event(
            "ownership-claimed",
            fencing=owner.fencing,
            former=predecessor.name if predecessor is not None else None,
            heartbeat_age=round(time.monotonic() - self._view.heartbeat_seen_at, 3),
            refusals=self._view.refusals,
        )
        self._member_revision = result
        self._update_owner(owner, result)
        self._predecessor = predecessor
        self._start_owner(owner, result)
        self._check_predecessor()

    def _start_owner(self, owner: OwnerRecord, revision: int) -> None:
        self._owner = Owner(
            owner.fencing,
            revision,
            store=self._store,
            worker_list=self._worker_list,
            worker_client=self._worker_client,
            request_advice=self._advice_dispatcher.request_advice,
            parameters=self._parameters,
            step_down=self._end_ownership,
            log_event=self._log_event,
            report_error=self._report_error,
            work=self._work,
            is_isolated=self._is_isolated,
        )
        self._work = WorkTable(self._store, self._log_event)  # for the time after this ownership
        self._owner.start()

    def _is_isolated(self) -> bool:
        """Return whether peers that exist may have taken over without this instance noticing."""
        if all(name == self.name for name in self._view.members):
            return False
        last_contact = max(self._store.get_last_contact(), self._peers.contact.last_sent_at)
        return is_isolated(last_contact, read_elapsed_clock())

    def _end_ownership(self, fencing: FencingToken, reason: str) -> None:
        """Step down unless the call comes from a former `Owner` of this process."""
        if self._owner is not None and self._owner.fencing == fencing:
            self._step_down(reason)

    def _step_down(self, reason: str) -> None:
        owner, self._owner = self._owner, None
        if owner is None:
            return
        self._log_event("ownership-ended", fencing=owner.fencing, reason=reason)
        owner.stop()
        self._view.record_step_down(owner.fencing, time.monotonic())
        self._reset_claim_id()

    def _follow_work_table(self) -> None:
        """Follow the work table while this instance is one of the next owners."""
        while not self.stopped.is_set():
            gevent.sleep(STANDBY_POLL_SECONDS)
            if not self._view.is_standby() or not self._can_reach_store():
                continue
            work = self._work
            try:
                work.poll()
            except LavenderhookError as error:
                self._log_event("standby-unread", **describe_failure(error))

    def _watch_store_as_owner(self) -> None:
        """Hand over the ownership if only this instance has lost the store."""
        while not self.stopped.is_set():
            gevent.sleep(STORE_CHECK_SECONDS)
            owner = self._owner
            is_available = self._view.store_available_since is not None
            unanswered = self._store.measure_unanswered_seconds()
            if owner is None or not may_have_lost_store(is_available, unanswered):
                continue
            own_read = gevent.spawn(self._measure_store_contact)
            peer_contacts = self._request_store_contacts()
            own = own_read.get()
            successors = [a for a, peer in peer_contacts if should_hand_over(own, peer)]
            if successors and self._owner is owner:
                self._step_down("only this instance has lost the store")
                self._send_hand_over(owner.fencing, successors)
            else:
                gevent.sleep(CONTACT_RETRY_SECONDS)

    def _measure_store_contact(self) -> StoreContact:
        """Read one row: what is known of the store may be older than its loss."""
        started_at = time.monotonic()
        try:
            self._store.read(
                CONTROL_TABLE, OWNER_KEY, OWNER_KEY + "\0", timeout_seconds=CONTACT_READ_SECONDS
            )
        except LavenderhookError as error:
            if self._view.store_available_since is not None:
                self._log_event("contact-unread", **describe_failure(error))
            return StoreContact(False, time.monotonic() - started_at)
        return StoreContact(True, time.monotonic() - started_at)

    def _list_successors(self) -> list[str]:
        """Return the addresses of the fittest peers."""
        members = [m for m in self._view.members.values() if m.name != self.name]
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

    def _apply_hand_over(self, notice: peers.HandOverNotice) -> None:
        self._view.record_resignation(notice.fencing, is_designated=notice.is_designated)
        if notice.is_designated:
            gevent.spawn(self._claim_if_due)

    def _claim_if_due(self) -> None:
        """Claim the ownership if this instance should take over now."""
        if self._is_claiming or self.is_draining or not self._view.should_claim(time.monotonic()):
            return
        self._is_claiming = True
        try:
            self._claim()
        finally:
            self._is_claiming = False

    def _ping_owner_loop(self) -> None:
        """Ping the owner: refused connections soon suggest that its process has ended."""
        while not self.stopped.is_set():
            has_failed = self._view.refusals or self._view.unanswered_pings
            gevent.sleep(PING_RETRY_SECONDS if has_failed else PING_INTERVAL_SECONDS)
            owner = self._view.owner
            address = self._find_owner_address()
            if owner is None or address is None or self._view.rank >= MAX_PINGING_INSTANCES:
                continue
            is_refused = is_unanswered = False
            try:
                answer = self._peers.ping(address)
                # One that has stepped down has another id; one that has claimed but has no response
                # yet is not the owner so far.
                is_refused = answer.boot != owner.boot
            except TransportError as error:
                # A refused connection suggests that nothing listens; other failures, such as
                # time-outs, only count together with a heartbeat that does not change.
                is_refused = isinstance(error.__cause__, ConnectionRefusedError)
                is_unanswered = not is_refused
            except LavenderhookError as error:
                self._log_event("ping-failed", owner=address, **describe_failure(error))
            if self._view.owner is owner:
                self._view.record_ping(is_refused=is_refused, is_unanswered=is_unanswered)

    def _heartbeat_loop(self) -> None:
        """Write the heartbeat while this instance is the owner."""
        while not self.stopped.is_set():
            gevent.sleep(HEARTBEAT_INTERVAL_SECONDS)
            if self._owner is not None:
                self._write_heartbeat(self._owner.fencing, has_resigned=False)
            elif self._view.is_owner() and not self._is_claiming:
                # The response to the claim was lost: a new id lets this instance claim again, with
                # a new fencing token.
                self._reset_claim_id()

    def _reset_claim_id(self) -> None:
        self._view.claim_id = self.claim_id = secrets.token_hex(6)

    def _write_heartbeat(self, fencing: FencingToken, *, has_resigned: bool) -> None:
        self._heartbeat_count += 1
        record = HeartbeatRecord(
            fencing=fencing, count=self._heartbeat_count, has_resigned=has_resigned
        )
        # Not conditional on the owner row: that would put the write into the part of the progress,
        # whose transactions may have to wait. Readers check the record's token instead.
        try:
            self._store.transact(
                [Write(CONTROL_TABLE, HEARTBEAT_KEY, encode(record), part=HEARTBEAT_PART)]
            )
        except LavenderhookError as error:
            self._log_event("heartbeat-failed", fencing=fencing, **describe_failure(error))

    # Peers.

    def _send_write_notices(self) -> None:
        """Notify the owner of stored rows; its change feed compensates for lost notices."""
        while not self.stopped.is_set():
            self._is_notice_due.wait()
            self._is_notice_due.clear()
            submissions, self._submissions_for_notice = self._submissions_for_notice, []
            cancelled, self._cancellations_for_notice = self._cancellations_for_notice, []
            notice = peers.WriteNotice(submissions=tuple(submissions), cancelled=tuple(cancelled))
            if self._owner is not None:
                self._apply_write_notice(notice)
                continue
            address = self._find_owner_address()
            if address is None:
                continue
            try:
                self._peers.send_write_notice(address, notice)
            except LavenderhookError as error:
                self._log_event("news-unsent", owner=address, **describe_failure(error))

    def _apply_write_notice(self, notice: peers.WriteNotice) -> None:
        owner = self._owner
        if owner is None:
            return
        for submission in notice.submissions:
            owner.add_submission(submission)
        for cancelled in notice.cancelled:
            owner.refresh_outcome(cancelled)

    def _route_peer(self, incoming: HttpRequest) -> Reply:
        match incoming.path:
            case peers.PING_PATH:
                is_owner = self._owner is not None
                return peers.reply_message(peers.PingResponse(self.claim_id, is_owner))
            case peers.CONTACT_PATH:
                return peers.reply_message(self._measure_store_contact())
            case peers.HAND_OVER_PATH:
                self._apply_hand_over(peers.read_message(incoming, peers.HandOverNotice))
                return Reply()
            case peers.WRITE_NOTICE_PATH:
                self._apply_write_notice(peers.read_message(incoming, peers.WriteNotice))
                return Reply()
            case peers.STATE_PATH:
                state_request = peers.read_message(incoming, peers.StateRequest)
                owner = self._owner
                state = owner.describe(state_request.submission) if owner is not None else None
                return peers.reply_message(peers.StateResponse(state))
            case peers.PENDING_PATH:
                return peers.reply_message(peers.PendingResponse(self._count_pending_as_owner()))
            case peers.SUBMIT_PATH:
                return self._submit_for_peer(incoming)
            case peers.CANCEL_PATH:
                return self._cancel_for_peer(incoming)
            case peers.ADVISE_PATH:
                request = peers.read_message(incoming, peers.AdviceRequest)
                allowed = self._advisor.request_advice(
                    request.step, request.workers, request.seconds
                )
                return peers.reply_message(peers.AdviceResponse(allowed))
            case _:
                raise UnknownNameError("path", incoming.path)

    def _count_pending_as_owner(self) -> dict[str, int] | None:
        owner = self._owner
        if owner is None or not owner.is_loaded or owner.state is None:
            return None
        return owner.state.count_pending()

    def _submit_for_peer(self, incoming: HttpRequest) -> Reply:
        request = peers.read_message(incoming, peers.SubmitRequest)
        result = WriteResult.NOT_STORED
        if self._can_reach_store():
            deadline = time.monotonic() + request.seconds
            result = self._writer.store_submission(request.submission, deadline)
        if result is WriteResult.STORED:
            self._record_accepted(request.submission)
        return peers.reply_message(peers.WriteResponse(result))

    def _cancel_for_peer(self, incoming: HttpRequest) -> Reply:
        request = peers.read_message(incoming, peers.CancelRequest)
        result = WriteResult.NOT_STORED
        if self._can_reach_store():
            deadline = time.monotonic() + request.seconds
            result = self._cancel_locally(request.submission, deadline)
        if result is WriteResult.STORED:
            self._cancellations_for_notice.append(request.submission)
            self._is_notice_due.set()
        return peers.reply_message(peers.WriteResponse(result))

    # Shutdown.

    def drain(self, seconds: float) -> None:
        """Resign and wait up to `seconds` until the balancer has removed this instance."""
        if self.is_draining:
            return
        self.is_draining = True
        ends_at = time.monotonic() + seconds
        self._log_event("stopping", seconds=seconds, is_owner=self._owner is not None)
        owner = self._owner
        if owner is not None:
            # No start may be sent once the store shows that this owner has resigned.
            self._step_down("the instance is stopping")
            self._send_hand_over(owner.fencing, self._list_successors())
            self._write_heartbeat(owner.fencing, has_resigned=True)
        self._store_leaving()
        gevent.sleep(max(0.0, min(DRAIN_SECONDS, ends_at - time.monotonic())))

    def _store_leaving(self) -> None:
        """Let the peers know that this instance takes no more calls."""
        try:
            for _ in range(MAX_LEAVE_ATTEMPTS):
                if self._write_member_row(has_left=True):
                    return
        except LavenderhookError as error:
            self._log_event("leave-unstored", **describe_failure(error))

    def stop(self) -> None:
        """Stop all loops and close all connections."""
        self.stopped.set()
        self._step_down("the instance has stopped")
        gevent.killall(self._greenlets, block=False)
        self._writer.stop()
        self._listener.stop(timeout=0.05)
        self._peers.close()
        self._log_event("stopped")
