"""One entry instance of the queues: serves callers, finds its peers and may be the owner."""

from __future__ import annotations

import random
import secrets
import time
from collections.abc import Callable

import gevent
import gevent.event
import msgspec

from ...errors import (
    LavenderhookError,
    PeerUnavailableError,
    StoreUnavailableError,
    TransportError,
    UnknownNameError,
)
from ..adapters.frontend import Incoming, Listener, ListenerLimits, Reply
from ..core.identifiers import WorkerId
from ..ports.queueing import (
    STORE_OUTAGE_SECONDS,
    Advisor,
    Conflict,
    HistoryLostError,
    QueueConfiguration,
    Removal,
    RowStore,
    StoredRow,
    WorkerCalls,
    WorkerList,
    Write,
)
from ..queueing.cell import CellParameters
from ..queueing.model import (
    FencingToken,
    StepId,
    Submission,
    SubmissionId,
    SubmissionState,
    TicketId,
)
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
    encode,
)
from ..queueing.refusal import choose_retry_after
from ..queueing.routes import QueueRoutes
from . import peers
from .advice import AdviceDispatcher
from .intake import Acceptance, Intake
from .owner import Owner
from .ownership import HEARTBEAT_SECONDS, WATCHERS, OwnershipView, rank_members
from .watching import Report, TableFollower, describe_failure

CONTROL_WAIT_SECONDS = 0.8  # of a poll of the control table
CONFIGURATION_WAIT_SECONDS = 0.8  # a change of the configuration ends the wait at once
POLL_PAUSE_SECONDS = 0.1  # between polls, so that a busy table doesn't keep an instance busy
STORE_PAUSE_SECONDS = 0.25  # after a failed call to the store
PING_SECONDS = 0.3
PENDING_VALID_SECONDS = 0.5  # age up to which the owner's counts are used again
PENDING_STALE_SECONDS = 1.8  # age up to which they are used when the owner does not answer
PEERS_TRIED = 2  # peers to which a write is passed on at the same time
# A peer that is lost leaves it open whether it writes the row in the end, so that callers can't be
# told that their submissions never run.
PASSED_OVER_SECONDS = 3.0
REFUSED_SECONDS = 1.0  # for which a refusal by all of them stands
# Before a write is passed on as well: a slow store answers within 0.7 s.
HEDGE_SECONDS = 0.8
PASS_ON_SECONDS = 0.9  # that a peer gets for a write
OUTAGE_CHECK_SECONDS = 0.1  # between looks whether the store still answers
LEAVING_SECONDS = 2.5  # the balancer needs two missed checks, a second apart, to leave us out
OLD_READING_SECONDS = 6.0  # by which the store's readings lag after it has lost its history
KEEP_ACCEPTED = 5_000  # ids of submissions that this instance has stored
# Of the control table, which is small: 90 times as slow as usual, the store answers in 0.4 s.
CONTROL_READ_SECONDS = 0.8
REPEATED_PING_SECONDS = 0.1  # after a ping that was refused or timed out: a second confirms it
PROBE_SECONDS = 0.25  # between checks whether a silent store is back
PROBED_SILENCE_SECONDS = 0.6  # above the 0.4 s that a reading takes 90 times as slow as usual
PROBE_TIMEOUT_SECONDS = 0.6


class EntryInstance:
    """An entry instance.

    Parameters
    ----------
    name : str
    zone : str
    peer_address : str
        ``ip:port`` for calls of peers.
    strength : float
        How well this instance can carry the ownership.
    report : callable
        Takes (what, fields) for the log.
    report_error : callable
        Takes (what, error) for failures that nothing expected.
    """

    def __init__(
        self,
        name: str,
        zone: str,
        peer_address: str,
        strength: float,
        *,
        store: RowStore,
        worker_list: WorkerList,
        configuration: QueueConfiguration,
        calls: WorkerCalls,
        advisor: Advisor,
        parameters: CellParameters,
        limits: ListenerLimits,
        report: Report,
        report_error: Callable[[str, BaseException], None],
    ) -> None:
        self.name = name
        self.process = self.boot = secrets.token_hex(6)
        self.zone = zone
        self.address = peer_address
        self.routes: QueueRoutes | None = None
        self.is_leaving = False
        self.stopped = gevent.event.Event()
        self._strength = strength
        self._store = store
        self._worker_list = worker_list
        self._configuration = configuration
        self._calls = calls
        self._advisor = advisor
        self._parameters = parameters
        self._report = report
        self._view = OwnershipView(name=name, boot=self.boot, strength=strength)
        self._predecessor: OwnerRecord | None = None
        self._intake = Intake(store, report)
        self._peers = peers.PeerClient()
        self._advice = AdviceDispatcher(self._ask_advice_at, self._list_advisers)
        self._owner: Owner | None = None
        self._heartbeat_count = 0
        self._contact_lost_at: float | None = None
        self._passed_over: dict[str, float] = {}  # peers by address, and until when
        self._refused_at = -REFUSED_SECONDS  # when peers last could not write either
        self._accepted: dict[SubmissionId, float] = {}  # when, in the order of acceptance
        self._news: list[Submission] = []
        self._cancelled: list[SubmissionId] = []
        self._has_news = gevent.event.Event()
        self._pending: tuple[float, dict[str, int]] | None = None
        self._greenlets: list[gevent.Greenlet] = []
        host, _, port = peer_address.rpartition(":")
        self._listener = Listener((host, int(port)), limits, self._route_peer, report_error)

    def start(self) -> None:
        """Listen to peers and begin to follow the store."""
        self._listener.start()
        for loop in (
            self._join,
            self._follow_control,
            self._probe_store,
            self._follow_configuration,
            self._watch_owner,
            self._renew,
            self._send_news,
        ):
            self._greenlets.append(gevent.spawn(loop))
        self._report("started", boot=self.boot, address=self.address, zone=self.zone)

    # Operations for callers.

    def is_ready(self) -> bool:
        """Return whether callers should be sent here."""
        return (
            not self.is_leaving and self.routes is not None and self._view.contact_since is not None
        )

    def is_owner(self) -> bool:
        """Return whether this instance places tasks."""
        return self._owner is not None

    def get_configuration_version(self) -> int:
        """Return the version of the configuration in force here; 0 if there is none."""
        return self.routes.version if self.routes is not None else 0

    def submit(self, submission: Submission, deadline: float) -> Acceptance:
        """Store a submission, here or through a peer."""
        result = self._write(
            lambda: self._intake.store_submission(submission, deadline),
            lambda address, seconds: self._peers.submit(address, submission, seconds),
            deadline,
        )
        self._report(
            "submission-" + result.value,
            submission=submission.id,
            queue=submission.queue.name,
            configuration=self.routes.version if self.routes is not None else None,
            store_contact=self._view.contact_since is not None,
        )
        if result is Acceptance.STORED:
            self._note_accepted(submission)
        return result

    def cancel(self, submission: SubmissionId, deadline: float) -> Acceptance:
        """Cancel a submission, here or through a peer."""
        result = self._write(
            lambda: self._cancel_here(submission, deadline),
            lambda address, seconds: self._peers.cancel(address, submission, seconds),
            deadline,
        )
        self._report("cancel-" + result.value, submission=submission)
        if result is Acceptance.STORED:
            self._cancelled.append(submission)
            self._has_news.set()
        return result

    def _cancel_here(self, submission: SubmissionId, deadline: float) -> Acceptance:
        try:
            if not self._is_stored(submission):
                return Acceptance.NO_SUCH
        except LavenderhookError as error:
            self._report("cancel-unchecked", submission=submission, **describe_failure(error))
            return Acceptance.NOT_STORED
        return self._intake.store_cancellation(submission, deadline)

    def _write(
        self,
        write_here: Callable[[], Acceptance],
        write_there: Callable[[str, float], Acceptance],
        deadline: float,
    ) -> Acceptance:
        """Write a row once, from here or through a peer, whichever reaches the store.

        Answers an instance that is cut off from the store: the first call that it would wait for
        in vain is passed on after a moment, later ones at once. Writing the same row from two
        instances is harmless, since the second meets the row that exists.
        """
        if not self._reaches_store():
            return self._pass_on(write_there, deadline)
        here = gevent.spawn(write_here)
        here.join(HEDGE_SECONDS)
        if here.ready() and here.value is not Acceptance.NOT_STORED:
            return here.value
        there = self._pass_on(write_there, deadline)
        if there in (Acceptance.STORED, Acceptance.NO_SUCH):
            return there
        # Where the store has answered neither here nor there, callers come back sooner if they are
        # told so at once; what is under way for them counts when it is carried out.
        while not here.ready() and time.monotonic() < deadline:
            if self._store.measure_silence() > HEDGE_SECONDS:
                break
            here.join(OUTAGE_CHECK_SECONDS)
        if not here.ready():
            return Acceptance.UNKNOWN
        if here.value is Acceptance.NOT_STORED:
            return there
        return here.value

    def describe(self, submission: SubmissionId) -> SubmissionState:
        """Return the state of a submission.

        Raises
        ------
        UnknownNameError
            If it was never submitted.
        StoreUnavailableError
            If neither the owner nor the store can say.
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
            If the owner can't be asked and the last count is too old.
        """
        if self._owner is not None and self._owner.is_loaded and self._owner.cell is not None:
            return self._owner.cell.count_pending().get(queue, 0)
        now = time.monotonic()
        if self._pending is None or now - self._pending[0] > PENDING_VALID_SECONDS:
            self._refresh_pending(now)
        if self._pending is None or now - self._pending[0] > PENDING_STALE_SECONDS:
            raise PeerUnavailableError("the owner can't be asked for its counts")
        return self._pending[1].get(queue, 0)

    def _refresh_pending(self, now: float) -> None:
        address = self._find_owner_address()
        if address is None:
            return
        try:
            counts = self._peers.ask_pending(address)
        except LavenderhookError as error:
            self._report("pending-unanswered", owner=address, **describe_failure(error))
            return
        if counts is not None:
            self._pending = (now, counts)

    def _note_accepted(self, submission: Submission) -> None:
        if submission.id in self._accepted:
            return
        self._accepted[submission.id] = time.monotonic()
        if len(self._accepted) > KEEP_ACCEPTED:
            self._accepted.pop(next(iter(self._accepted)))
        self._news.append(submission)
        self._has_news.set()

    def _ask_owner(self, submission: SubmissionId) -> SubmissionState | None:
        if self._owner is not None:
            return self._owner.describe(submission)
        address = self._find_owner_address()
        if address is None:
            return None
        try:
            return self._peers.ask_state(address, submission)
        except LavenderhookError as error:
            self._report(
                "state-unanswered",
                submission=submission,
                owner=address,
                **describe_failure(error),
            )
            return None

    def _read_state(self, submission: SubmissionId) -> SubmissionState:
        outcome = self._intake.read_outcome(submission)
        if outcome is not None:
            return outcome.state
        if self._was_just_accepted(submission):
            return SubmissionState.QUEUED
        if not self._is_stored(submission):
            raise UnknownNameError("submission", submission)
        return SubmissionState.QUEUED

    def _was_just_accepted(self, submission: SubmissionId) -> bool:
        """Return whether this instance has stored it within the age of an old reading."""
        accepted_at = self._accepted.get(submission)
        return accepted_at is not None and time.monotonic() - accepted_at < OLD_READING_SECONDS

    def _is_stored(self, submission: SubmissionId) -> bool:
        if self._was_just_accepted(submission):
            return True
        key = SUBMISSION_PREFIX + submission
        changes = self._store.read(WORK_TABLE, key, key + "\0", choose_part(submission))
        if changes.rows:
            return True
        if changes.revision < self._view.owner_revision:
            raise StoreUnavailableError("the store's reading is old")
        return False

    def _reaches_store(self) -> bool:
        """Return whether the store answers, as far as this instance knows."""
        return (
            self._view.contact_since is not None
            and self._store.measure_silence() < STORE_OUTAGE_SECONDS
        )

    def suggest_retry(self, deadline: float) -> int:
        """Return the seconds after which a refused caller that waits until then comes back."""
        now = time.monotonic()
        lost_at = self._contact_lost_at
        outage = now - lost_at if lost_at is not None else self._store.measure_silence()
        return choose_retry_after(outage, random.random(), deadline - now)

    def _pass_on(
        self, write_there: Callable[[str, float], Acceptance], deadline: float
    ) -> Acceptance:
        """Let a peer that reaches the store write a row.

        Answers an outage for everybody: where all peers that were asked have just been refused,
        the next callers are refused at once and not after another round of questions.
        """
        now = time.monotonic()
        seconds = min(PASS_ON_SECONDS, deadline - now)
        if seconds <= 0 or now - self._refused_at < REFUSED_SECONDS:
            return Acceptance.NOT_STORED
        peers_asked = [a for a in self._list_peers() if self._passed_over.get(a, 0.0) <= now]
        calls = [
            gevent.spawn(self._write_at, address, write_there, seconds)
            for address in peers_asked[:PEERS_TRIED]
        ]
        for call in gevent.iwait(calls, timeout=seconds):
            if call.value in (Acceptance.STORED, Acceptance.NO_SUCH):
                return call.value
        if all(call.value is Acceptance.NOT_STORED for call in calls):
            self._refused_at = time.monotonic()
            return Acceptance.NOT_STORED
        return Acceptance.UNKNOWN

    def _write_at(
        self, address: str, write_there: Callable[[str, float], Acceptance], seconds: float
    ) -> Acceptance:
        """Let one peer write a row; one that gives no answer is passed over for a while."""
        result = write_there(address, seconds)
        if result is Acceptance.UNKNOWN:
            self._passed_over[address] = time.monotonic() + PASSED_OVER_SECONDS
        return result

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
        owner = self._view.owner
        if owner is None or owner.name == self.name:
            return None
        return owner.address

    # Advice.

    def _list_advisers(self) -> list[str]:
        return sorted({self.address, *(member.address for member in self._view.members.values())})

    def _ask_advice_at(
        self, address: str, step: StepId, workers: tuple[WorkerId, ...], seconds: float
    ) -> dict[WorkerId, TicketId] | None:
        if address == self.address:
            return self._advisor.ask(step, workers, seconds)
        try:
            return self._peers.advise(address, step, workers, seconds)
        except LavenderhookError as error:
            self._report(
                "advice-unanswered",
                step=str(step),
                peer=address,
                **describe_failure(error),
            )
            return None

    # Following the store.

    def _follow_control(self) -> None:
        follower = TableFollower(
            self._store,
            CONTROL_TABLE,
            self._apply_control,
            ("", HEARTBEAT_PART),
            CONTROL_READ_SECONDS,
        )
        while not self.stopped.is_set():
            try:
                self._poll(follower)
            except LavenderhookError as error:
                self._note_contact(False, describe_failure(error))
                gevent.sleep(STORE_PAUSE_SECONDS)
                continue
            self._note_contact(True, {})
            if self._view.should_claim(time.monotonic()) and not self.is_leaving:
                self._claim()
            gevent.sleep(POLL_PAUSE_SECONDS)

    def _poll(self, follower: TableFollower) -> None:
        """Wait for changes; a watch that is cut is no sign that the store is away."""
        begun = time.monotonic()
        try:
            follower.poll(CONTROL_WAIT_SECONDS)
        except LavenderhookError as error:
            is_overdue = time.monotonic() - begun > CONTROL_WAIT_SECONDS
            if is_overdue and not self._store.has_answered_since(begun):
                raise
            self._report("control-watch-cut", **describe_failure(error))
            follower.load()

    def _probe_store(self) -> None:
        """Ask a silent store often, so that its return is noticed before calls time out."""
        while not self.stopped.is_set():
            gevent.sleep(PROBE_SECONDS)
            is_silent = self._store.measure_silence() > PROBED_SILENCE_SECONDS
            if self._view.contact_since is not None and not is_silent:
                continue
            try:
                self._store.read(
                    CONTROL_TABLE,
                    OWNER_KEY,
                    OWNER_KEY + "\0",
                    timeout_seconds=PROBE_TIMEOUT_SECONDS,
                )
            except LavenderhookError:
                continue  # the calls that wait report the outage
            self._note_contact(True, {"probed": True})

    def _note_contact(self, succeeded: bool, fields: dict[str, object]) -> None:
        if succeeded:
            self._contact_lost_at = None
        elif self._contact_lost_at is None:
            self._contact_lost_at = time.monotonic()
        had = self._view.contact_since is not None
        self._view.note_contact(time.monotonic(), succeeded)
        if had != succeeded:
            self._report("store-regained" if succeeded else "store-lost", **fields)

    def _apply_control(self, row: StoredRow) -> None:
        now = time.monotonic()
        if row.key.startswith(MEMBER_PREFIX):
            name = row.key.removeprefix(MEMBER_PREFIX)
            if row.is_deleted:
                self._view.members.pop(name, None)
            else:
                self._view.members[name] = msgspec.json.decode(row.value, type=MemberRecord)
            self._view.rank = rank_members(self.name, self._view.members, self._strength)
            self._follow_predecessor()
        elif row.key == OWNER_KEY and not row.is_deleted:
            owner = msgspec.json.decode(row.value, type=OwnerRecord)
            self._note_owner(owner, row.revision)
        elif row.key == HEARTBEAT_KEY and not row.is_deleted:
            heartbeat = msgspec.json.decode(row.value, type=HeartbeatRecord)
            self._view.note_heartbeat(heartbeat, now)

    def _follow_predecessor(self) -> None:
        """Tell the owner here when its predecessor is known to have ended."""
        former, owner = self._predecessor, self._owner
        if owner is not None and (former is None or self._view.has_ended(former)):
            owner.note_predecessor_ended()

    def _note_owner(self, owner: OwnerRecord, revision: int) -> None:
        if not self._view.note_owner(owner, revision, time.monotonic()):
            return
        self._report("owner-changed", owner=owner.name, fencing=owner.fencing, revision=revision)
        if self._owner is not None and owner.boot != self.boot:
            self._step_down("another owner has taken over")

    def _join(self) -> None:
        """Write the row by which peers find this instance."""
        row = self._make_member_row()
        while not self.stopped.is_set():
            try:
                self._store.transact([row])
                return
            except LavenderhookError as error:
                self._report("join-failed", **describe_failure(error))
                gevent.sleep(STORE_PAUSE_SECONDS)

    def _make_member_row(self) -> Write:
        record = MemberRecord(
            name=self.name,
            boot=self.process,
            address=self.address,
            zone=self.zone,
            strength=self._strength,
        )
        return Write(CONTROL_TABLE, MEMBER_PREFIX + self.name, encode(record))

    def _follow_configuration(self) -> None:
        revision: int | None = None
        while not self.stopped.is_set():
            try:
                if revision is None:
                    routes, revision = self._configuration.read()
                else:
                    routes, revision = self._configuration.follow(
                        revision, CONFIGURATION_WAIT_SECONDS
                    )
            except HistoryLostError:
                revision = None
                continue
            except LavenderhookError as error:
                self._report("configuration-unread", **describe_failure(error))
                gevent.sleep(STORE_PAUSE_SECONDS)
                continue
            if routes is not None:
                self._apply_configuration(routes)
            gevent.sleep(POLL_PAUSE_SECONDS)

    def _apply_configuration(self, routes: QueueRoutes) -> None:
        former = self.routes.version if self.routes is not None else 0
        if routes.version <= former:
            return  # an old reading of the store
        self.routes = routes
        self._report(
            "configuration-applied", version=routes.version, former=former, queues=len(routes)
        )

    # Ownership.

    def _claim(self) -> None:
        former = self._view.owner
        owner = OwnerRecord(
            fencing=self._view.next_fencing(),
            name=self.name,
            boot=self.boot,
            address=self.address,
            process=self.process,
        )
        write = Write(CONTROL_TABLE, OWNER_KEY, encode(owner), self._view.owner_revision)
        try:
            result = self._store.transact([write, self._make_member_row()])
        except LavenderhookError as error:
            # The next reading of the control table tells whether it was carried out.
            self._report("claim-unanswered", fencing=owner.fencing, **describe_failure(error))
            return
        if isinstance(result, Conflict):
            row = result.find(CONTROL_TABLE, OWNER_KEY)
            if row is not None:
                found = msgspec.json.decode(row.value, type=OwnerRecord)
                self._note_owner(found, row.revision)
            return
        self._report(
            "ownership-claimed",
            fencing=owner.fencing,
            former=former.name if former is not None else None,
            heartbeat_age=round(time.monotonic() - self._view.heartbeat_seen_at, 3),
            refusals=self._view.refusals,
        )
        self._note_owner(owner, result)
        self._predecessor = former
        self._own(owner, result)
        self._follow_predecessor()

    def _own(self, owner: OwnerRecord, revision: int) -> None:
        self._owner = Owner(
            owner.fencing,
            revision,
            store=self._store,
            worker_list=self._worker_list,
            calls=self._calls,
            ask_advice=self._advice.ask,
            parameters=self._parameters,
            step_down=self._end_ownership,
            report=self._report,
        )
        self._owner.start()

    def _end_ownership(self, fencing: FencingToken, reason: str) -> None:
        """Follow an owner that has seen another one; it may be an earlier owner of this process."""
        if self._owner is not None and self._owner.fencing == fencing:
            self._step_down(reason)

    def _step_down(self, reason: str) -> None:
        owner, self._owner = self._owner, None
        if owner is None:
            return
        self._report("ownership-ended", fencing=owner.fencing, reason=reason)
        owner.stop()

    def _watch_owner(self) -> None:
        """Ping the owner: refused connections show at once that its process has ended."""
        while not self.stopped.is_set():
            has_failed = self._view.refusals or self._view.timeouts
            gevent.sleep(REPEATED_PING_SECONDS if has_failed else PING_SECONDS)
            owner = self._view.owner
            address = self._find_owner_address()
            if owner is None or address is None or self._view.rank >= WATCHERS:
                continue
            is_refused = is_timeout = False
            try:
                answer = self._peers.ping(address)
                is_refused = answer.boot != owner.boot or not answer.is_owner
            except TransportError as error:
                # A refused connection shows that nothing listens; a time-out only adds to a
                # heartbeat that stands still.
                is_refused = isinstance(error.__cause__, ConnectionRefusedError)
                is_timeout = not is_refused
            except LavenderhookError as error:
                self._report("ping-failed", owner=address, **describe_failure(error))
            if self._view.owner is owner:
                self._view.note_ping(is_refused=is_refused, is_timeout=is_timeout)

    def _renew(self) -> None:
        """Write the heartbeat while this instance is the owner."""
        while not self.stopped.is_set():
            gevent.sleep(HEARTBEAT_SECONDS)
            if self._owner is not None:
                self._write_heartbeat(self._owner.fencing, has_resigned=False)
            elif self._view.is_owner() and not self.is_leaving:
                # The claim's answer was lost, or its loops have ended: take a new token.
                self._reclaim()

    def _reclaim(self) -> None:
        self._view.boot = self.boot = secrets.token_hex(6)

    def _write_heartbeat(self, fencing: FencingToken, *, has_resigned: bool) -> None:
        self._heartbeat_count += 1
        record = HeartbeatRecord(
            fencing=fencing, count=self._heartbeat_count, has_resigned=has_resigned
        )
        # Not under the condition that the owner row is unchanged: that would tie it to the part of
        # the progress, whose transactions may have to wait. Others go by the token in it.
        try:
            self._store.transact(
                [Write(CONTROL_TABLE, HEARTBEAT_KEY, encode(record), part=HEARTBEAT_PART)]
            )
        except LavenderhookError as error:
            self._report("heartbeat-failed", fencing=fencing, **describe_failure(error))

    # Peers.

    def _send_news(self) -> None:
        """Tell the owner of what this instance has stored; its feed makes up for losses."""
        while not self.stopped.is_set():
            self._has_news.wait()
            self._has_news.clear()
            submissions, self._news = self._news, []
            cancelled, self._cancelled = self._cancelled, []
            news = peers.News(submissions=tuple(submissions), cancelled=tuple(cancelled))
            if self._owner is not None:
                self._take_news(news)
                continue
            address = self._find_owner_address()
            if address is None:
                continue
            try:
                self._peers.send_news(address, news)
            except LavenderhookError as error:
                self._report("news-unsent", owner=address, **describe_failure(error))

    def _take_news(self, news: peers.News) -> None:
        owner = self._owner
        if owner is None:
            return
        for submission in news.submissions:
            owner.take_news(submission)
        for cancelled in news.cancelled:
            owner.take_cancellation(cancelled)

    def _route_peer(self, incoming: Incoming) -> Reply:
        match incoming.path:
            case peers.PING_PATH:
                is_owner = self._owner is not None
                return peers.reply_message(peers.Ping(self.boot, is_owner))
            case peers.NEWS_PATH:
                self._take_news(peers.read_message(incoming, peers.News))
                return Reply()
            case peers.STATE_PATH:
                question = peers.read_message(incoming, peers.StateQuestion)
                owner = self._owner
                state = owner.describe(question.submission) if owner is not None else None
                return peers.reply_message(peers.StateAnswer(state))
            case peers.PENDING_PATH:
                return peers.reply_message(peers.PendingAnswer(self._count_owned()))
            case peers.SUBMIT_PATH:
                return self._submit_for_peer(incoming)
            case peers.CANCEL_PATH:
                return self._cancel_for_peer(incoming)
            case peers.ADVISE_PATH:
                request = peers.read_message(incoming, peers.AdviceRequest)
                allowed = self._advisor.ask(request.step, request.workers, request.seconds)
                return peers.reply_message(peers.AdviceAnswer(allowed))
            case _:
                raise UnknownNameError("path", incoming.path)

    def _count_owned(self) -> dict[str, int] | None:
        owner = self._owner
        if owner is None or not owner.is_loaded or owner.cell is None:
            return None
        return owner.cell.count_pending()

    def _submit_for_peer(self, incoming: Incoming) -> Reply:
        request = peers.read_message(incoming, peers.SubmitRequest)
        result = Acceptance.NOT_STORED
        if self._reaches_store():
            deadline = time.monotonic() + request.seconds
            result = self._intake.store_submission(request.submission, deadline)
        if result is Acceptance.STORED:
            self._note_accepted(request.submission)
        return peers.reply_message(peers.AcceptanceAnswer(result))

    def _cancel_for_peer(self, incoming: Incoming) -> Reply:
        request = peers.read_message(incoming, peers.CancelRequest)
        result = Acceptance.NOT_STORED
        if self._reaches_store():
            deadline = time.monotonic() + request.seconds
            result = self._cancel_here(request.submission, deadline)
        if result is Acceptance.STORED:
            self._cancelled.append(request.submission)
            self._has_news.set()
        return peers.reply_message(peers.AcceptanceAnswer(result))

    # Stop.

    def leave(self, seconds: float) -> None:
        """Resign, let the balancer take this instance out, and stop within `seconds`."""
        if self.is_leaving:
            return
        self.is_leaving = True
        ends_at = time.monotonic() + seconds
        self._report("stopping", seconds=seconds, is_owner=self._owner is not None)
        owner = self._owner
        if owner is not None:
            # Nothing more may be started here once the store says that this owner has resigned.
            self._step_down("the instance is stopping")
            self._write_heartbeat(owner.fencing, has_resigned=True)
        try:
            self._store.transact([], [], [Removal(CONTROL_TABLE, MEMBER_PREFIX + self.name)])
        except LavenderhookError as error:
            self._report("leave-unstored", **describe_failure(error))
        gevent.sleep(max(0.0, min(LEAVING_SECONDS, ends_at - time.monotonic())))

    def stop(self) -> None:
        """End all loops."""
        self.stopped.set()
        self._step_down("the instance has stopped")
        gevent.killall(self._greenlets, block=False)
        self._intake.stop()
        self._listener.stop(timeout=0.05)
        self._peers.close()
        self._report("stopped")
