"""An entry instance of the queues: serves callers, finds its peers and may be the owner."""

from __future__ import annotations

import random
import time
from collections.abc import Callable

import gevent
import gevent.event

from ...errors import (
    LavenderhookError,
    PeerUnavailableError,
    ProtocolError,
    StoreUnavailableError,
    UnknownNameError,
)
from ..adapters.frontend import HttpRequest, Listener, Reply, Route
from ..core.identifiers import WorkerId
from ..ports.queueing import (
    MAX_READ_STALENESS_SECONDS,
    Advisor,
    Condition,
    QueueConfiguration,
    QueueWorkerClient,
    RowConflict,
    RowStore,
    StoredRow,
    WorkerList,
    Write,
)
from ..queueing.backlog import count_pending
from ..queueing.model import (
    StepId,
    Submission,
    SubmissionId,
    SubmissionState,
    TicketId,
)
from ..queueing.parameters import OwnerParameters
from ..queueing.records import (
    ABSENCE_KEY,
    CONFIRMATION_TABLE,
    SUBMISSION_PREFIX,
    WORK_TABLE,
    OwnerRecord,
    choose_part,
    decode_submission,
)
from ..queueing.retry_after import choose_retry_after, choose_retry_after_backlog
from . import peers
from .admission import AdmissionControl, BacklogMeter
from .advice import AdviceDispatcher
from .configuration import ConfigurationFollower
from .forwarding import ForwardingWriter
from .owner import Owner
from .ownership_manager import OwnershipManager
from .ownership_proof import OwnershipProof
from .slow_store import choose_gathering_instance, is_store_slow
from .submission_writer import SubmissionWriter, WriteResult
from .supervision import ReportError, run_until_stopped
from .table_watcher import LogEvent, describe_failure
from .work_table import WorkTable

PENDING_REFRESH_SECONDS = 0.5  # age up to which the owner's counts are reused
PENDING_MAX_AGE_SECONDS = 1.8  # age up to which they are used if the owner doesn't respond
DRAIN_SECONDS = 2.5  # the balancer removes an instance after two failed checks, 1 s apart
MAX_ACCEPTED_IDS = 5_000  # of submissions that this instance has stored


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
    configuration_bound_seconds : float
        Time after which a change of the configuration has to be in force everywhere.
    make_listener : callable
        Returns a listener for an address and a route.
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
        configuration_bound_seconds: float,
        make_listener: Callable[[str, Route], Listener],
        log_event: LogEvent,
        report_error: ReportError,
    ) -> None:
        self.name = name
        self.zone = zone
        self.address = peer_address
        self.is_draining = False
        self.stopped = gevent.event.Event()
        self._store = store
        self._worker_list = worker_list
        self._worker_client = worker_client
        self._advisor = advisor
        self._parameters = parameters
        self._log_event = log_event
        self._report_error = report_error
        self._peers = peers.PeerClient()
        self.configuration = ConfigurationFollower(
            configuration,
            configuration_bound_seconds,
            peer_client=self._peers,
            list_peers=lambda: self._ownership.list_peers(),
            stopped=self.stopped,
            log_event=log_event,
        )
        self._ownership = OwnershipManager(
            name,
            zone,
            peer_address,
            owner_fitness,
            store=store,
            peer_client=self._peers,
            make_owner=self._make_owner,
            record_peer_version=self.configuration.record_peer_version,
            stopped=self.stopped,
            log_event=log_event,
        )
        self._writer = SubmissionWriter(store, log_event)
        self._forwarding = ForwardingWriter(
            store, self._ownership.can_reach_store, self._ownership.list_peers
        )
        self._advice_dispatcher = AdviceDispatcher(
            self._request_advice_at, self._ownership.list_instance_addresses, log_event
        )
        self._admission = AdmissionControl(
            self._is_stored, self._ownership.can_reach_store, log_event
        )
        self._backlog_meter = BacklogMeter()
        self._accepted_at: dict[SubmissionId, float] = {}  # in order of acceptance
        # With the revisions of their rows, as far as they are known.
        self._submissions_for_notice: list[tuple[Submission, int | None]] = []
        self._cancellations_for_notice: list[SubmissionId] = []
        self._is_notice_due = gevent.event.Event()
        self._pending_counts: tuple[float, dict[str, int]] | None = None
        self._greenlets: list[gevent.Greenlet] = []
        self._listener = make_listener(peer_address, self._route_peer)

    def start(self) -> None:
        """Start the listener for peers and the background loops."""
        self._listener.start()
        for loop in (
            *self._ownership.list_loops(),
            *self.configuration.list_loops(),
            self._send_write_notices,
        ):
            self._greenlets.append(
                gevent.spawn(run_until_stopped, loop, self.stopped.is_set, self._report_error)
            )
        self._log_event(
            "started", boot=self._ownership.claim_id, address=self.address, zone=self.zone
        )

    # Operations for callers.

    def is_ready(self) -> bool:
        """Return whether this instance should receive callers' requests."""
        return (
            not self.is_draining
            and self.configuration.routes is not None
            and self._ownership.view.store_available_since is not None
        )

    def is_owner(self) -> bool:
        """Return whether this instance places tasks."""
        return self._ownership.owner is not None

    def measure_proof_age(self) -> float:
        """Return the seconds since it was last proven that this instance is still the owner."""
        return self._ownership.measure_proof_age()

    def submit(self, submission: Submission, deadline: float) -> WriteResult:
        """Store a submission, directly or through a peer."""
        self._admission.begin_write(submission.id)
        result = self._write_submission(submission, deadline)
        result = self._admission.end_write(submission.id, result)
        self._log_event(
            "submission-" + result.value,
            submission=submission.id,
            queue=submission.queue.name,
            organisation=submission.organisation,
            configuration=self.configuration.get_version(),
            store_contact=self._ownership.view.store_available_since is not None,
        )
        if result is WriteResult.STORED:
            self._record_accepted(submission)
        return result

    def _write_submission(self, submission: Submission, deadline: float) -> WriteResult:
        def write_locally() -> WriteResult:
            return self._writer.store_submission(submission, deadline)

        def write_remotely(address: str, seconds: float) -> WriteResult:
            return self._peers.submit(address, submission, seconds)

        if is_store_slow(self._store.measure_latency_seconds()):
            gatherer = choose_gathering_instance(
                choose_part(submission.id), self._ownership.list_instance_addresses()
            )
            if gatherer != self.address:
                return self._forwarding.write_gathered(
                    write_locally, write_remotely, deadline, gatherer
                )
        return self._forwarding.write(write_locally, write_remotely, deadline)

    def refuse(self, submission: Submission, deadline: float) -> int | None:
        """Return the seconds after which the caller should retry, or None if it isn't refused.

        Nothing has been written or forwarded for a submission that is refused.
        """
        now = time.monotonic()
        owner = self._ownership.owner
        if owner is not None and owner.is_loaded and owner.state is not None:
            self._admission.record_backlog(self._backlog_meter.measure(owner.state, now), now)
        refusal = self._admission.find_refusal(submission, now)
        if refusal is None:
            return None
        retry_after = choose_retry_after_backlog(refusal, random.random(), deadline - now)
        self._log_event(
            "submission-refused",
            submission=submission.id,
            queue=submission.queue.name,
            reason=refusal.reason.value,
            wait=round(refusal.wait_seconds, 1),
            objective=round(refusal.objective_seconds, 1),
            retry_after=retry_after,
        )
        return retry_after

    def may_be_stored(self, submission: SubmissionId) -> bool:
        """Return whether a submission is stored, or may be as far as can be known at once."""
        return self._was_recently_accepted(submission) or self._admission.may_be_stored(submission)

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
            if (
                not self._was_recently_accepted(submission)
                and self._find_current_row(submission) is None
            ):
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
        answer = self._ask_owner(submission)
        if answer is not None and answer.state is not None:
            return answer.state
        return self._read_state(submission, is_unknown=answer is not None and answer.is_loaded)

    def count_pending(self, queue: str) -> int:
        """Return how many submissions of a queue have not begun.

        Raises
        ------
        PeerUnavailableError
            If the owner does not return its counts and the last ones are too old.
        """
        if (
            self._ownership.owner is not None
            and self._ownership.owner.is_loaded
            and self._ownership.owner.state is not None
        ):
            return count_pending(self._ownership.owner.state.submissions.values()).get(queue, 0)
        now = time.monotonic()
        if self._pending_counts is None or now - self._pending_counts[0] > PENDING_REFRESH_SECONDS:
            self._refresh_pending(now)
        if self._pending_counts is None or now - self._pending_counts[0] > PENDING_MAX_AGE_SECONDS:
            raise PeerUnavailableError(
                "the owner has not returned its counts of pending submissions"
            )
        return self._pending_counts[1].get(queue, 0)

    def _refresh_pending(self, now: float) -> None:
        address = self._ownership.find_owner_address()
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
        revision = self._writer.find_revision(submission.id)
        self._submissions_for_notice.append((submission, revision))
        self._is_notice_due.set()

    def _ask_owner(self, submission: SubmissionId) -> peers.StateResponse | None:
        if self._ownership.owner is not None:
            return _describe_to_peer(self._ownership.owner, submission)
        address = self._ownership.find_owner_address()
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

    def _read_state(self, submission: SubmissionId, *, is_unknown: bool) -> SubmissionState:
        """Read the state of a submission; report it to an owner to which it `is_unknown`."""
        outcome = self._writer.read_outcome(submission)
        if outcome is not None:
            return outcome.state
        if self._was_recently_accepted(submission):
            return SubmissionState.QUEUED
        row = self._find_current_row(submission)
        if row is None:
            raise UnknownNameError("submission", submission)
        self._log_event(
            "submission-unknown-to-owner",
            submission=submission,
            owner=self._ownership.find_owner_address(),
            reported=is_unknown,
        )
        if is_unknown:
            self._report(row)
        return SubmissionState.QUEUED

    def _report(self, row: StoredRow) -> None:
        """Notify the owner of a submission that it has missed."""
        try:
            submission = decode_submission(row.value)
        except ProtocolError as error:
            self._log_event("row-unreadable", key=row.key, **describe_failure(error))
            return
        self._submissions_for_notice.append((submission, row.revision))
        self._is_notice_due.set()

    def _was_recently_accepted(self, submission: SubmissionId) -> bool:
        """Return whether this instance has stored it so recently that reads may still miss it."""
        accepted_at = self._accepted_at.get(submission)
        return (
            accepted_at is not None and time.monotonic() - accepted_at < MAX_READ_STALENESS_SECONDS
        )

    def _is_stored(self, submission: SubmissionId) -> bool:
        return self._was_recently_accepted(submission) or self._find_row(submission) is not None

    def _find_current_row(self, submission: SubmissionId) -> StoredRow | None:
        """Return the row of a submission, or None once a transaction has shown that there is none.

        A read may be stale without a sign of it, as far as this instance has seen.
        """
        row = self._find_row(submission)
        if row is not None:
            return row
        key, part = SUBMISSION_PREFIX + submission, choose_part(submission)
        write = Write(CONFIRMATION_TABLE, ABSENCE_KEY, b"{}", part=part)
        result = self._store.transact([write], [Condition(WORK_TABLE, key, 0, part)])
        return result.find(WORK_TABLE, key) if isinstance(result, RowConflict) else None

    def _find_row(self, submission: SubmissionId) -> StoredRow | None:
        key = SUBMISSION_PREFIX + submission
        newest = max(self._store.get_newest_revision(), self._ownership.view.owner_revision)
        # The end of a range is exclusive, so this reads one key.
        changes = self._store.read(WORK_TABLE, key, key + "\0", choose_part(submission))
        if changes.rows:
            return changes.rows[0]
        if changes.revision < newest:
            raise StoreUnavailableError("the store returned a stale read")
        return None

    def compute_retry_after(self, deadline: float) -> int:
        """Return the seconds after which a refused caller with this deadline should retry."""
        now = time.monotonic()
        lost_at = self._ownership.store_lost_at
        outage = now - lost_at if lost_at is not None else self._store.measure_unanswered_seconds()
        return choose_retry_after(outage, random.random(), deadline - now)

    # Advice.

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

    def _make_owner(
        self,
        row: OwnerRecord,
        revision: int,
        work: WorkTable,
        proof: OwnershipProof,
        inherited_seconds: float,
    ) -> Owner:
        return Owner(
            row.fencing,
            revision,
            authority_seconds=row.authority_seconds,
            inherited_seconds=inherited_seconds,
            store=self._store,
            worker_list=self._worker_list,
            worker_client=self._worker_client,
            request_advice=self._advice_dispatcher.request_advice,
            parameters=self._parameters,
            step_down=self._ownership.end_ownership,
            log_event=self._log_event,
            report_error=self._report_error,
            work=work,
            is_isolated=self._ownership.is_isolated,
            get_routes=lambda: self.configuration.routes,
            proof=proof,
        )

    # Peers.

    def _send_write_notices(self) -> None:
        """Notify the owner of stored rows; its change feed compensates for lost notices."""
        while not self.stopped.is_set():
            self._is_notice_due.wait()
            self._is_notice_due.clear()
            submissions, self._submissions_for_notice = self._submissions_for_notice, []
            cancelled, self._cancellations_for_notice = self._cancellations_for_notice, []
            notice = peers.WriteNotice(
                submissions=tuple(submission for submission, _ in submissions),
                revisions={s.id: revision for s, revision in submissions if revision is not None},
                cancelled=tuple(cancelled),
            )
            if self._ownership.owner is not None:
                self._apply_write_notice(notice)
                continue
            address = self._ownership.find_owner_address()
            if address is None:
                continue
            sent_at = time.monotonic()
            try:
                backlog = self._peers.send_write_notice(address, notice)
                self._admission.record_backlog(backlog, sent_at)
            except LavenderhookError as error:
                self._log_event("news-unsent", owner=address, **describe_failure(error))

    def _apply_write_notice(self, notice: peers.WriteNotice) -> None:
        owner = self._ownership.owner
        if owner is None:
            return
        for submission in notice.submissions:
            owner.add_submission(submission, notice.revisions.get(submission.id))
        for cancelled in notice.cancelled:
            owner.refresh_outcome(cancelled)

    def _reply_backlog(self) -> Reply:
        """Return the answer to a write notice; an instance that isn't the owner knows none."""
        owner = self._ownership.owner
        if owner is None or not owner.is_loaded or owner.state is None:
            return Reply()
        backlog = self._backlog_meter.measure(owner.state, time.monotonic())
        return peers.reply_message(backlog) if backlog.services else Reply()

    def _route_peer(self, incoming: HttpRequest) -> Reply:
        match incoming.path:
            case peers.PING_PATH:
                version = self.configuration.get_version()
                return peers.reply_message(self._ownership.describe_to_peer(version))
            case peers.CONTACT_PATH:
                return peers.reply_message(self._ownership.measure_store_contact())
            case peers.CONFIGURATION_STATUS_PATH:
                return peers.reply_message(self.configuration.get_status())
            case peers.CONFIGURATION_PATH:
                request = peers.read_configuration_request(incoming)
                return peers.reply_message(self.configuration.get_content(request))
            case peers.HAND_OVER_PATH:
                self._ownership.apply_hand_over(peers.read_message(incoming, peers.HandOverNotice))
                return Reply()
            case peers.WRITE_NOTICE_PATH:
                self._apply_write_notice(peers.read_message(incoming, peers.WriteNotice))
                return self._reply_backlog()
            case peers.STATE_PATH:
                state_request = peers.read_message(incoming, peers.StateRequest)
                owner = self._ownership.owner
                if owner is None:
                    return peers.reply_message(peers.StateResponse(None))
                return peers.reply_message(_describe_to_peer(owner, state_request.submission))
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
        owner = self._ownership.owner
        if owner is None or not owner.is_loaded or owner.state is None:
            return None
        return count_pending(owner.state.submissions.values())

    def _submit_for_peer(self, incoming: HttpRequest) -> Reply:
        request = peers.read_message(incoming, peers.SubmitRequest)
        result = WriteResult.NOT_STORED
        if self._ownership.can_reach_store():
            deadline = time.monotonic() + request.seconds
            self._admission.begin_write(request.submission.id)
            result = self._writer.store_submission(request.submission, deadline)
            result = self._admission.end_write(request.submission.id, result)
        if result is WriteResult.STORED:
            self._record_accepted(request.submission)
        return peers.reply_message(peers.WriteResponse(result))

    def _cancel_for_peer(self, incoming: HttpRequest) -> Reply:
        request = peers.read_message(incoming, peers.CancelRequest)
        result = WriteResult.NOT_STORED
        if self._ownership.can_reach_store():
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
        self._log_event("stopping", seconds=seconds, is_owner=self._ownership.owner is not None)
        self._ownership.resign()
        gevent.sleep(max(0.0, min(DRAIN_SECONDS, ends_at - time.monotonic())))

    def stop(self) -> None:
        """Stop all loops and close all connections."""
        self.stopped.set()
        self._ownership.step_down("the instance has stopped")
        gevent.killall(self._greenlets, block=False)
        self._writer.stop()
        self._listener.stop(timeout=0.05)
        self._peers.close()
        self._log_event("stopped")


def _describe_to_peer(owner: Owner, submission: SubmissionId) -> peers.StateResponse:
    """Return what an owner knows of a submission."""
    return peers.StateResponse(owner.describe(submission), owner.is_loaded)
