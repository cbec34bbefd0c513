"""The owner of the queues: the loops that run its reducer and carry out its effects."""

from __future__ import annotations

import time
from collections.abc import Callable, Mapping, Sequence

import gevent
import gevent.event
import gevent.pool
import msgspec

from ...errors import LavenderhookError, ProtocolError, StoreUnavailableError
from ..core.identifiers import WorkerId
from ..ports.queueing import (
    Condition,
    Deletion,
    HistoryLostError,
    HoldRefusal,
    QueueWorkerClient,
    RowConflict,
    RowStore,
    StoredRow,
    WorkerChanges,
    WorkerList,
    Write,
)
from ..queueing import effects
from ..queueing.authority import is_proof_valid
from ..queueing.commit_order import (
    MAX_SUBMISSIONS_PER_TRANSACTION,
    CommitPlanner,
    list_unstored_positions,
)
from ..queueing.events import (
    AdviceArrived,
    Event,
    HoldUnanswered,
    OrganisationsChanged,
    OutcomeRead,
    PredecessorInactive,
    ProgressFound,
    ProgressStored,
    ReportArrived,
    RosterStored,
    StartAnswered,
    StopAnswered,
    SubmissionAbsent,
    SubmissionRead,
    SubmissionStored,
    SubmissionUnreadable,
    Ticked,
    WorkersListed,
)
from ..queueing.model import (
    FencingToken,
    StartOutcome,
    Submission,
    SubmissionId,
    SubmissionState,
    WorkerListing,
)
from ..queueing.owner_state import OwnerState
from ..queueing.parameters import OwnerParameters
from ..queueing.records import (
    CONFIRMATION_KEY,
    CONFIRMATION_TABLE,
    CONTROL_TABLE,
    OUTCOME_PREFIX,
    OWNER_KEY,
    PROGRESS_PREFIX,
    ROSTER_KEY,
    SUBMISSION_PREFIX,
    WORK_TABLE,
    Outcome,
    Progress,
    Roster,
    choose_part,
    decode,
    decode_roster,
    decode_submission,
    encode,
    parse_key,
    set_closing_revisions,
)
from ..queueing.routes import QueueRoutes
from ..queueing.start_log import (
    START_LOG_TABLE,
    LoggedStart,
)
from ..queueing.submissions import SubmissionProgress
from ..queueing.takeover import Takeover
from ..queueing.witnesses import WitnessedEnd, WitnessProof
from ..queueing.workers import Worker
from .advice import RequestAdvice
from .clock import read_elapsed_clock
from .former_starts import read_former_starts
from .ownership_proof import OwnershipProof
from .placement_passes import PlacementPasses
from .slow_store import choose_confirmation_limit, is_store_slow
from .supervision import ReportError
from .table_watcher import LogEvent, Rereading, describe_failure
from .unconfirmed_progress import UnconfirmedProgress
from .unconfirmed_submissions import UnconfirmedSubmissions
from .work_table import WorkTable

# A hold is a long poll of a worker: it renews the worker's leases, acknowledges finished runs and
# returns a report. The worker answers at once when a run finishes.
HOLD_WAIT_SECONDS = 1.0
HOLD_RETRY_SECONDS = 0.3  # after an unanswered hold
# Until a worker is reached, tasks that a former owner may have started there wait.
FIRST_HOLD_RETRY_SECONDS = 0.1
MAX_STORED_WAIT_SECONDS = 0.3  # the worker reports finished runs again until stored
TICK_INTERVAL_SECONDS = 0.1
COMMIT_INTERVAL_SECONDS = 0.03  # finished runs within it share a transaction
PRUNE_INTERVAL_SECONDS = 5.0  # between deletions of expired rows
MAX_PRUNED_PER_TRANSACTION = 40  # submissions, with two rows each
STORE_RETRY_SECONDS = 0.2  # after a failed call to the store
FEED_INTERVAL_SECONDS = 0.4  # the feed only compensates for lost write notices
WORKERS_INTERVAL_SECONDS = 0.25
# While a commit takes longer, no commit is made for started runs alone.
QUICK_COMMIT_SECONDS = 0.1
# Stands in the roster for the workers of a row that can't be decoded: it is never reached, so that
# the longest lease has to expire.
UNKNOWN_WORKER = WorkerId("unknown")

# Written to prove the ownership; nobody reads it.
CONFIRMATION = Write(CONFIRMATION_TABLE, CONFIRMATION_KEY, b"{}")


class Owner:
    """Places the tasks of all queues until it is fenced.

    One instance at a time owns the queues; the owner of a shard in `core` is unrelated to it.

    Parameters
    ----------
    fencing : FencingToken
    revision : int
        Revision of the owner row, on which every write of progress depends.
    request_advice : callable
        Calls the advisory service through any instance.
    step_down : callable
        Takes (token, reason) when another owner has been seen.
    log_event : callable
        Logs an event, given by its name and fields.
    report_error : callable
        Takes (what, error) for unexpected failures.
    work : WorkTable
        The rows, as far as this instance has followed them.
    is_isolated : callable
        Returns whether this owner may have been replaced without noticing; until there is a new
        proof, it extends no leases and starts nothing.
    proof : OwnershipProof
        Records the transactions that were accepted under the condition of the owner row.
    get_routes : callable, optional
        Returns the active configuration of the queues, or None before one has been read.
    authority_seconds, inherited_seconds : float
        For how long after the claim earlier owners may extend leases; see `Takeover`.
    """

    def __init__(
        self,
        fencing: FencingToken,
        revision: int,
        *,
        store: RowStore,
        worker_list: WorkerList,
        worker_client: QueueWorkerClient,
        request_advice: RequestAdvice,
        parameters: OwnerParameters,
        step_down: Callable[[FencingToken, str], None],
        log_event: LogEvent,
        report_error: ReportError,
        work: WorkTable,
        is_isolated: Callable[[], bool],
        proof: OwnershipProof,
        get_routes: Callable[[], QueueRoutes | None] = lambda: None,
        authority_seconds: float = 0.0,
        inherited_seconds: float = 0.0,
    ) -> None:
        self.fencing = fencing
        self.is_loaded = False
        self._revision = revision
        self._store = store
        self._worker_list = worker_list
        self._worker_client = worker_client
        self._request_advice = request_advice
        self._parameters = parameters
        self._step_down = step_down
        self._log_event = log_event
        self._report_error = report_error
        self._passes = PlacementPasses(log_event)
        self._started_at = time.monotonic()
        self.state: OwnerState | None = None
        self._listings: dict[WorkerId, WorkerListing] = {}
        self._unconfirmed_progress = UnconfirmedProgress()
        self._dirty_submissions: dict[SubmissionId, None] = {}
        self._scheduling_due = gevent.event.Event()
        self._progress_stored = gevent.event.Event()
        self._hold_greenlets: dict[WorkerId, gevent.Greenlet] = {}
        self._greenlets = gevent.pool.Group()  # without those that have ended
        self._submissions_during_load: list[tuple[Submission, int | None]] = []
        self._work = work
        self._is_isolated = is_isolated
        self._get_routes = get_routes
        self._applied_routes: QueueRoutes | None = None
        self._proof = proof
        self._takeover = Takeover(
            self._started_at, parameters.lease_seconds, authority_seconds, inherited_seconds
        )
        self._witness_proof = WitnessProof(Roster())
        self._witnessed_end: WitnessedEnd | None = None  # known once the state is loaded
        self._has_proof = True
        self._confirmations = 0  # in flight
        self._is_committing = False
        self._commit_planner = CommitPlanner()
        self._former_starts: dict[SubmissionId, list[LoggedStart]] = {}
        self._commit_seconds = 0.0  # duration of the last commit
        self._ended_at: dict[SubmissionId, float] = {}  # Unix time in seconds
        self._unconfirmed_submissions = UnconfirmedSubmissions(
            self._read_current, self._apply_confirmed, log_event
        )
        self._inherited_until: float | None = None  # known once the predecessor is inactive
        # The roster lists the workers that may hold runs; see `queueing.roster`.
        self._roster_revision = 0
        self._roster_to_store = Roster()
        self._is_roster_due = gevent.event.Event()
        self._is_stopped = False

    def start(self) -> None:
        """Start the greenlet that loads the state and then starts the loops."""
        self._spawn(self._load_and_start_loops)

    def stop(self) -> None:
        """Stop all loops and commands; none is sent after this call.

        A command that waits for a connection would otherwise be sent after a resignation has
        become visible, beside those of the next owner.
        """
        if self._is_stopped:
            return
        self._is_stopped = True
        current = gevent.getcurrent()
        gevent.killall([g for g in self._greenlets if g is not current], block=False)

    def _spawn(self, function: Callable[..., None], *arguments: object) -> gevent.Greenlet:
        return self._greenlets.spawn(self._run_guarded, function, *arguments)

    def _run_guarded(self, function: Callable[..., None], *arguments: object) -> None:
        """Run a loop or a command; give up the ownership after an unexpected error.

        The state may be inconsistent then; the next owner rebuilds it from the store and the
        workers.
        """
        if self._is_stopped:
            return
        try:
            function(*arguments)
        except Exception as error:
            self._report_error(f"unexpected error in {function.__name__}", error)
            self._step_down(self.fencing, "an unexpected error")

    def record_predecessor_inactive(self, inherited_until: float) -> None:
        """Record that the predecessor can no longer send commands.

        Parameters
        ----------
        inherited_until : float
            Until when owners before it may act, as far as is known now.
        """
        self._inherited_until = inherited_until
        self.apply(PredecessorInactive(now=_now(), inherited_until=inherited_until))

    def has_witnesses(self) -> bool:
        """Return whether enough workers have answered this owner lately."""
        return self._witness_proof.is_valid(read_elapsed_clock(), self._proof.stored_at)

    def has_witnessed_end(self) -> bool:
        """Return whether the workers show that no earlier owner acts that asks them."""
        return self._witnessed_end is not None and self._witnessed_end.has_passed(_now())

    def add_submission(self, submission: Submission, revision: int | None = None) -> None:
        """Apply a submission that a peer or this instance has stored.

        Parameters
        ----------
        submission : Submission
        revision : int or None
            That of its row; None if it is not known.
        """
        if self.state is None:
            self._submissions_during_load.append((submission, revision))
        elif self._may_have_missed_progress(submission.id, revision):
            self._unconfirmed_submissions.add(submission, revision)
        else:
            self._unconfirmed_submissions.discard(submission.id)
            self._apply_submission(submission, revision, None)

    def _may_have_missed_progress(self, submission: SubmissionId, revision: int | None) -> bool:
        """Return whether a former owner may have stored progress that has not been read."""
        if revision is not None and revision > self._revision:
            return False
        state = self.state
        return state is not None and not (
            submission in state.submissions
            or submission in state.outcomes
            or submission in self._work.unreadable
        )

    def _apply_confirmed(
        self, submission: Submission, revision: int | None, rows: Mapping[str, StoredRow]
    ) -> None:
        try:
            if OUTCOME_PREFIX in rows:
                self._apply_row(rows[OUTCOME_PREFIX])
            found = rows.get(PROGRESS_PREFIX)
            progress = None if found is None else (decode(found.value, Progress), found.revision)
        except ProtocolError as error:
            self._record_unreadable(submission.id, error)
            return
        self._apply_submission(submission, revision, progress)

    def refresh_outcome(self, submission: SubmissionId) -> None:
        """Read the final state of a submission after a cancellation; an earlier one is kept."""
        self._spawn(self._read_outcome, submission)

    def _read_outcome(self, submission: SubmissionId) -> None:
        key = OUTCOME_PREFIX + submission
        try:
            # The end of a range is exclusive, so this reads one key.
            rows = self._store.read(WORK_TABLE, key, key + "\0").rows
        except LavenderhookError as error:
            self._log_event("cancellation-unread", submission=submission, **describe_failure(error))
            return  # the change feed reports it later
        for row in rows:
            self._apply_conflicting_outcome(row, submission)

    def _find_submission(self, submission: SubmissionId) -> None:
        """Read all rows of a submission of which a finished run is reported."""
        if submission in self._work.unreadable:
            return
        read_at = _now()
        try:
            rows = self._work.read(submission)
        except LavenderhookError as error:
            self._log_event("submission-unread", submission=submission, **describe_failure(error))
            return  # it is read again as long as the run is reported
        if SUBMISSION_PREFIX not in rows and OUTCOME_PREFIX not in rows:
            self._log_event("submission-absent", submission=submission)
            self.apply(SubmissionAbsent(now=_now(), submission=submission, read_at=read_at))
            return
        try:
            self._apply_found_rows(rows)
        except ProtocolError as error:
            self._record_unreadable(submission, error)

    def _apply_found_rows(self, rows: Mapping[str, StoredRow]) -> None:
        """Apply the rows of one submission, by prefix; an outcome outranks the others."""
        if OUTCOME_PREFIX in rows:
            self._apply_row(rows[OUTCOME_PREFIX])
        if SUBMISSION_PREFIX in rows:
            row = rows[SUBMISSION_PREFIX]
            self.add_submission(decode_submission(row.value), row.revision)

    def _record_unreadable(self, submission: SubmissionId, error: ProtocolError) -> None:
        """Leave a submission alone; none of its rows is replaced."""
        self._work.unreadable.add(submission)
        self._log_event("submission-unreadable", submission=submission, **describe_failure(error))
        self.apply(SubmissionUnreadable(now=_now(), submission=submission))

    # Loading.

    def _load_and_start_loops(self) -> None:
        while not self._is_stopped:
            try:
                roster = self._load()
                break
            except LavenderhookError as error:
                self._log_event("owner-loading-failed", **describe_failure(error))
                gevent.sleep(STORE_RETRY_SECONDS)
        else:
            return
        self._restore_state(roster)
        for loop in (
            self._tick_loop,
            self._commit_loop,
            self._feed_loop,
            self._workers_loop,
            self._roster_loop,
            self._prune_loop,
            self._unconfirmed_submissions.run,
        ):
            self._spawn(loop)
        self._unconfirmed_submissions.wait_until_applied()
        self.is_loaded = True

    def _load(self) -> Roster:
        self._work.catch_up(self._revision)
        row = self._read_roster()
        self._former_starts = read_former_starts(self._store, self._revision, self._log_event)
        changes = self._worker_list.read()
        self._update_listings(changes)
        self._workers_revision = changes.revision
        if row is None:
            return Roster()
        self._roster_revision = row.revision
        try:
            return decode_roster(row.value, row.revision)
        except ProtocolError as error:
            self._log_event("roster-unreadable", **describe_failure(error))
            return Roster(workers=frozenset({UNKNOWN_WORKER}))

    def _read_roster(self) -> StoredRow | None:
        """Return the row of the roster, confirmed by a transaction, since a read may be stale.

        Raises
        ------
        LavenderhookError
            If it can't be read or confirmed, or another instance has taken over.
        """
        found = self._store.read(CONTROL_TABLE, ROSTER_KEY, ROSTER_KEY + "\0").rows
        row = found[0] if found else None
        condition = Condition(CONTROL_TABLE, ROSTER_KEY, row.revision if row is not None else 0)
        result = self._read_current([condition])
        if not isinstance(result, RowConflict):
            return row
        self._log_event("roster-read-stale", revision=condition.revision)
        return result.find(CONTROL_TABLE, ROSTER_KEY)

    def _read_current(self, conditions: Sequence[Condition]) -> int | RowConflict:
        """Return the result of a transaction under conditions, which is never stale.

        Raises
        ------
        LavenderhookError
            If it fails, or another instance has taken over.
        """
        result = self._transact([CONFIRMATION], conditions=conditions)
        if isinstance(result, RowConflict) and self._is_superseded(result):
            self._step_down(self.fencing, "the owner row has changed")
            raise StoreUnavailableError("another instance has taken over")
        return result

    def _restore_state(self, roster: Roster) -> None:
        self._witness_proof = WitnessProof(roster)
        self._witnessed_end = WitnessedEnd(roster)
        self.state = OwnerState(
            self.fencing,
            self._revision,
            self._started_at,
            self._parameters,
            roster,
            takeover=self._takeover,
            former_starts=self._former_starts,
        )
        may_be_stale = self._work.may_be_stale()
        for submission_id, outcome in self._work.outcomes.items():
            self._ended_at[submission_id] = outcome.at
            self.apply(OutcomeRead(now=_now(), submission=submission_id, outcome=outcome))
        for submission, revision in self._work.submissions.values():
            if may_be_stale:
                self.add_submission(submission, revision)
                continue
            stored_progress = self._work.progress.get(submission.id)
            self._apply_submission(submission, revision, stored_progress)
        for submission, known_revision in self._submissions_during_load:
            self.add_submission(submission, known_revision)
        self._log_event(
            "owner-loaded",
            fencing=self.fencing,
            submissions=len(self.state.submissions),
            unconfirmed=len(self._unconfirmed_submissions),
            workers=len(self._listings),
            earlier_leases_expire_in=round(self._takeover.leases_expire_at - _now(), 3),
            roster=len(roster.workers),
            closed=len(roster.closed),
            seconds=round(_now() - self._started_at, 3),
        )
        self._work.hand_over(self._apply_row)
        self._submissions_during_load.clear()
        self._apply_listings()
        if self._inherited_until is not None:
            self.record_predecessor_inactive(self._inherited_until)

    def _apply_submission(
        self,
        submission: Submission,
        revision: int | None,
        stored_progress: tuple[Progress, int] | None,
    ) -> None:
        if submission.id in self._work.unreadable:
            return  # without its progress, tasks that are done would run again
        is_known = self.state is not None and submission.id in self.state.submissions
        self.apply(
            SubmissionRead(
                now=_now(),
                submission=submission,
                revision=revision,
                age=time.time() - submission.accepted_at,
                progress=stored_progress[0] if stored_progress is not None else None,
            )
        )
        if stored_progress is not None and self.state is not None and not is_known:
            entry = self.state.submissions.get(submission.id)
            if entry is not None:
                entry.progress_revision = stored_progress[1]

    def _apply_row(self, row: StoredRow) -> None:
        prefix, submission = parse_key(row.key)
        if row.is_deleted:
            return
        if prefix == SUBMISSION_PREFIX:
            self.add_submission(decode_submission(row.value), row.revision)
        elif prefix == OUTCOME_PREFIX and self._is_new_outcome(submission):
            outcome = decode(row.value, Outcome)
            self.apply(OutcomeRead(now=_now(), submission=submission, outcome=outcome))
        elif prefix == PROGRESS_PREFIX and row.revision < self._revision and self.state is not None:
            # A former owner's, which the first read has missed.
            entry = self.state.submissions.get(submission)
            if entry is not None and entry.progress_revision < row.revision:
                self._apply_conflicting_progress(row, entry)

    def _is_new_outcome(self, submission: SubmissionId) -> bool:
        return self.state is not None and submission not in self.state.outcomes

    # Reducer and effects.

    def apply(self, event: Event) -> None:
        """Apply an event to the state and execute its effects."""
        if self._is_stopped or self.state is None:
            return
        if isinstance(event, OutcomeRead):
            self._ended_at.setdefault(event.submission, event.outcome.at)
        for effect in self.state.reduce(event):
            self._execute(effect)
        if self.state.needs_scheduling:
            self._scheduling_due.set()

    def _execute(self, effect: effects.Effect) -> None:
        match effect:
            case effects.LogDecision():
                self._log_event(effect.decision, fencing=self.fencing, **effect.fields)
            case effects.SendStart():
                self._spawn(self._send_start, effect)
            case effects.SendStop():
                self._spawn(self._send_stop, effect)
            case effects.RequestAdvice():
                self._spawn(self._send_advice_request, effect)
            case effects.StoreProgress():
                self._dirty_submissions[effect.submission] = None
            case effects.ReadSubmission():
                self._spawn(self._find_submission, effect.submission)
            case effects.StoreRoster():
                self._roster_to_store = effect.roster
                self._is_roster_due.set()
            case effects.WatchWorker():
                self._hold_greenlets[effect.worker] = self._spawn(self._hold_loop, effect.worker)
            case effects.UnwatchWorker():
                greenlet = self._hold_greenlets.pop(effect.worker, None)
                if greenlet is not None and greenlet is not gevent.getcurrent():
                    greenlet.kill(block=False)
            case effects.StepDown():
                self._log_event(
                    "owner-steps-down",
                    fencing=self.fencing,
                    worker=effect.worker,
                    reason=effect.reason.value,
                )
                self._step_down(self.fencing, effect.reason.value)

    def _compute_lease_end(self, worker: Worker) -> float | None:
        """Return the end of a lease on the worker's clock.

        None if there was no report, or the owner is isolated.
        """
        if not self._may_act():
            return None
        return worker.lease.compute_end(self._parameters.lease_seconds)

    def _send_start(self, effect: effects.SendStart) -> None:
        command = effect.command
        worker = self.state.workers.get(command.worker) if self.state is not None else None
        if worker is None:
            return  # it has been removed in the meantime
        lease_end = self._compute_lease_end(worker)
        if lease_end is None:
            outcome = StartOutcome.NOT_SENT
        else:
            proof_age = self._proof.measure_store_age()
            if not is_proof_valid(proof_age):
                self._log_event(
                    "start-unproven-by-store",
                    fencing=self.fencing,
                    task=str(command.task),
                    run=command.number,
                    worker=command.worker,
                    proof_age=round(proof_age, 3),
                )
            outcome = self._worker_client.start(worker.listing.address, command, lease_end)
        self.apply(
            StartAnswered(
                now=_now(),
                worker=command.worker,
                task=command.task,
                number=command.number,
                outcome=outcome,
            )
        )

    def _send_stop(self, effect: effects.SendStop) -> None:
        worker = self.state.workers.get(effect.worker) if self.state is not None else None
        if worker is None:
            return
        result = self._worker_client.stop(
            worker.listing.address, effect.worker, effect.task, effect.number, effect.token
        )
        self._log_event("stop-answered", **effect.describe(), answered=result)
        self.apply(
            StopAnswered(
                now=_now(),
                worker=effect.worker,
                token=effect.token,
                task=effect.task,
                number=effect.number,
                is_done=result,
            )
        )

    def _send_advice_request(self, effect: effects.RequestAdvice) -> None:
        requested_at = _now()
        allowed = self._request_advice(
            effect.step, effect.workers, effect.expected_seconds, effect.rank
        )
        self._log_event(
            "advice",
            step=str(effect.step),
            asked=len(effect.workers),
            allowed=None if allowed is None else len(allowed),
            seconds=round(_now() - requested_at, 3),
        )
        self.apply(
            AdviceArrived(now=_now(), step=effect.step, asked=effect.workers, allowed=allowed)
        )

    # Loops.

    def _tick_loop(self) -> None:
        while not self._is_stopped:
            self._scheduling_due.wait(TICK_INTERVAL_SECONDS)
            self._scheduling_due.clear()
            gevent.sleep(self._passes.compute_pause())
            self._apply_organisations()
            if self._may_act() and self.state is not None:
                with self._passes.measure(self.state.scheduler.get_pass_size):
                    self.apply(Ticked(now=_now(), proven_at=self._compute_proven_at()))
            else:
                gevent.sleep(TICK_INTERVAL_SECONDS)

    def _apply_organisations(self) -> None:
        routes = self._get_routes()
        if routes is not None and routes is not self._applied_routes:
            self._applied_routes = routes
            self.apply(OrganisationsChanged(now=_now(), organisations=routes.organisations))

    def _may_act(self) -> bool:
        """Return whether the owner may extend leases and send starts."""
        has_proof = not self._is_isolated()
        if has_proof is not self._has_proof:
            self._has_proof = has_proof
            self._log_event(
                "owner-confirmed" if has_proof else "owner-isolated",
                fencing=self.fencing,
                store_age=round(self._proof.measure_store_age(), 3),
                witnessed=self.has_witnesses(),
            )
        return has_proof

    def _compute_proven_at(self) -> float:
        """Return when the last call was sent by which the store has confirmed the owner."""
        return _now() - self._proof.measure_store_age()

    def request_confirmation(self) -> None:
        """Write a row under the condition of the owner row, without waiting for the response.

        Reads may be stale, so that they don't prove that this is still the owner.
        """
        limit = choose_confirmation_limit(
            self._store.measure_latency_seconds(),
            self._proof.measure_store_age(),
            is_committing=self._is_committing,
        )
        if self._confirmations < limit:
            self._confirmations += 1
            self._spawn(self._confirm_ownership)

    def _confirm_ownership(self) -> None:
        try:
            result = self._transact([CONFIRMATION])
        except LavenderhookError as error:
            self._log_event("owner-unconfirmed", **describe_failure(error))
            return
        finally:
            self._confirmations -= 1
        if isinstance(result, RowConflict):
            self._step_down(self.fencing, "the owner row has changed")

    def _hold_loop(self, worker_id: WorkerId) -> None:
        while not self._is_stopped and self.state is not None and worker_id in self.state.workers:
            worker = self.state.workers[worker_id]
            born = worker.newest.born
            sent_at, sent_elapsed = _now(), read_elapsed_clock()
            token = self.state.get_command_token(worker_id)
            result = self._worker_client.hold(
                worker.listing.address,
                worker_id,
                born,
                token,
                worker.stored_sequence,
                self._compute_lease_end(worker),
                HOLD_WAIT_SECONDS if worker.is_reached else 0.0,
            )
            now = _now()
            if isinstance(result, HoldRefusal):
                self._log_event(
                    "hold-unanswered",
                    worker=worker_id,
                    fenced=result.is_fenced,
                    other_worker=result.is_wrong_recipient,
                    seconds=round(now - sent_at, 3),
                )
                self.apply(
                    HoldUnanswered(
                        now=now,
                        worker=worker_id,
                        token=token,
                        is_fenced=result.is_fenced,
                        is_other_incarnation=result.is_wrong_recipient
                        and worker.newest.born == born,
                        proven_at=self._compute_proven_at(),
                    )
                )
                may_answer_soon = not worker.is_reached and not result.is_wrong_recipient
                gevent.sleep(FIRST_HOLD_RETRY_SECONDS if may_answer_soon else HOLD_RETRY_SECONDS)
                continue
            is_new = self._witness_proof.record_answer(
                worker_id, result.born, sent_elapsed, read_elapsed_clock()
            )
            if self._witnessed_end is not None:
                self._witnessed_end.record_answer(worker_id, now)
            if not self._accepts_report(worker_id, result.born):
                if is_new:
                    self._log_event("report-unproven-by-store", worker=worker_id, born=result.born)
                gevent.sleep(HOLD_RETRY_SECONDS)
                continue
            self.apply(ReportArrived(now=now, worker=worker_id, sent_at=sent_at, report=result))
            if worker.stored_sequence < worker.processed_sequence:
                self._progress_stored.clear()
                self._progress_stored.wait(MAX_STORED_WAIT_SECONDS)
            elif worker.finished_runs.has_waiting:
                gevent.sleep(TICK_INTERVAL_SECONDS)  # the worker reports these at once

    def _accepts_report(self, worker: WorkerId, born: int) -> bool:
        """Return whether to apply a report of an incarnation.

        A later owner may have seen how the runs of the former incarnation ended. Without the store,
        a new one doesn't show that they are lost.
        """
        return is_proof_valid(self._proof.measure_store_age()) or self._witness_proof.is_confirmed(
            worker, born, self._proof.stored_at
        )

    def _workers_loop(self) -> None:
        rereading = Rereading()
        rereading.schedule()  # the list that was loaded may be stale
        while not self._is_stopped:
            if rereading.is_due() and self._read_workers():
                rereading.complete()
            try:
                changes = self._worker_list.wait_for_changes(
                    self._workers_revision, TICK_INTERVAL_SECONDS
                )
            except HistoryLostError:
                rereading.schedule()
                self._read_workers()
                continue
            except LavenderhookError as error:
                self._log_event("worker-list-unread", **describe_failure(error))
                gevent.sleep(STORE_RETRY_SECONDS)
                continue
            self._workers_revision = max(changes.revision, self._workers_revision)
            if changes.workers or changes.is_complete:
                self._update_listings(changes)
                self._apply_listings()
            gevent.sleep(WORKERS_INTERVAL_SECONDS)

    def _read_workers(self) -> bool:
        """Read the whole list; return False if it can't be read or is stale."""
        try:
            changes = self._worker_list.read()
        except LavenderhookError as error:
            self._log_event("worker-list-unread", **describe_failure(error))
            gevent.sleep(STORE_RETRY_SECONDS)
            return False
        if changes.revision < self._workers_revision:
            # The list is stale: it may name workers that have left.
            gevent.sleep(STORE_RETRY_SECONDS)
            return False
        self._workers_revision = changes.revision
        self._update_listings(changes)
        self._apply_listings()
        return True

    def _update_listings(self, changes: WorkerChanges) -> None:
        if changes.is_complete:
            self._listings.clear()
        for worker_id, listing in changes.workers.items():
            if listing is None:
                self._listings.pop(worker_id, None)
            else:
                self._listings[worker_id] = listing

    def _apply_listings(self) -> None:
        for listing in self._listings.values():
            self._witness_proof.record_listing(listing.id, listing.born, read_elapsed_clock())
        self.apply(WorkersListed(now=_now(), workers=tuple(self._listings.values())))

    def _feed_loop(self) -> None:
        while not self._is_stopped:
            try:
                self._work.poll()
            except LavenderhookError as error:
                self._log_event("work-feed-unread", **describe_failure(error))
            gevent.sleep(FEED_INTERVAL_SECONDS)

    # Stored progress.

    def _commit_loop(self) -> None:
        while not self._is_stopped:
            gevent.sleep(COMMIT_INTERVAL_SECONDS)
            state = self.state
            if state is None:
                continue
            positions = list_unstored_positions(state.list_workers())
            stores_starts = (
                state.scheduler.start_log.has_changes
                and self._commit_seconds < QUICK_COMMIT_SECONDS
            )
            if not self._dirty_submissions and not positions and not stores_starts:
                continue
            is_slow = is_store_slow(self._store.measure_latency_seconds())
            submissions, self._dirty_submissions = self._commit_planner.begin(
                self._dirty_submissions, positions, state.submissions, is_store_slow=is_slow
            )
            self._is_committing = is_stored = True
            began_at = _now()
            for start in range(0, len(submissions) or 1, MAX_SUBMISSIONS_PER_TRANSACTION):
                is_stored &= self._commit(
                    submissions[start : start + MAX_SUBMISSIONS_PER_TRANSACTION]
                )
            self._is_committing, self._commit_seconds = False, _now() - began_at
            stored = self._commit_planner.end(
                submissions, self._dirty_submissions, is_stored=is_stored
            )
            if stored is not None:
                self.apply(ProgressStored(now=_now(), stored_positions=stored))
                self._progress_stored.set()
            elif not is_stored:
                gevent.sleep(STORE_RETRY_SECONDS)

    def _commit(self, submissions: list[SubmissionId]) -> bool:
        """Store the progress of submissions; mark them dirty again if that fails."""
        state = self.state
        assert state is not None
        writes: list[Write] = []
        outcomes: dict[SubmissionId, Outcome] = {}
        progress: dict[SubmissionId, Progress] = {}
        for submission_id in submissions:
            entry = state.submissions.get(submission_id)
            if entry is None:
                continue
            final = entry.find_final_state()
            if final is not None:
                reason = entry.failure if final is SubmissionState.FAILED else None
                outcome = Outcome(state=final, at=time.time(), reason=reason)
                outcomes[submission_id] = outcome
                key = OUTCOME_PREFIX + submission_id
                writes.append(Write(WORK_TABLE, key, encode(outcome), 0))
            else:
                key = PROGRESS_PREFIX + submission_id
                progress[submission_id] = entry.export_progress()
                value = encode(progress[submission_id])
                writes.append(Write(WORK_TABLE, key, value, entry.progress_revision))
                self._unconfirmed_progress.record_sent(submission_id, value)
        start_log = state.scheduler.start_log
        starts = start_log.take(time.time())
        if starts is not None:
            writes.append(Write(START_LOG_TABLE, start_log.next_key(), encode(starts)))
        if not writes:  # what is acknowledged next has to be confirmed by the store
            writes.append(CONFIRMATION)
        try:
            result = self._transact(writes)
        except LavenderhookError as error:
            self._log_event("progress-unstored", rows=len(writes), **describe_failure(error))
            self._dirty_submissions.update(dict.fromkeys(submissions))
            start_log.put_back(starts)
            return False
        if isinstance(result, RowConflict):
            start_log.put_back(starts)
            return self._resolve_conflict(result, submissions)
        for write in writes:
            if write.table != WORK_TABLE:
                continue
            prefix, submission_id = parse_key(write.key)
            if prefix == OUTCOME_PREFIX:
                outcome = outcomes[submission_id]
                self._unconfirmed_progress.record_stored(submission_id)
                self.apply(OutcomeRead(now=_now(), submission=submission_id, outcome=outcome))
            else:
                self._unconfirmed_progress.record_stored(submission_id)
                self.apply(
                    SubmissionStored(
                        now=_now(),
                        submission=submission_id,
                        progress=progress[submission_id],
                        revision=result,
                    )
                )
        return True

    def _resolve_conflict(self, conflict: RowConflict, submissions: list[SubmissionId]) -> bool:
        """Apply the rows found in the store, and retry in the next transaction."""
        if self._is_superseded(conflict):
            self._step_down(self.fencing, "the owner row has changed")
            return False
        state = self.state
        assert state is not None
        for row in conflict.rows:
            if row.table != WORK_TABLE or row.is_deleted:
                continue
            prefix, submission_id = parse_key(row.key)
            if prefix == OUTCOME_PREFIX:
                self._apply_conflicting_outcome(row, submission_id)
            elif prefix == PROGRESS_PREFIX and submission_id in state.submissions:
                self._apply_conflicting_progress(row, state.submissions[submission_id])
        unstored = [s for s in submissions if s not in self._work.unreadable]
        self._dirty_submissions.update(dict.fromkeys(unstored))
        return False

    def _apply_conflicting_progress(self, row: StoredRow, entry: SubmissionProgress) -> None:
        """Apply stored progress that this owner doesn't know, since a stale read has missed it."""
        if row.revision == entry.progress_revision:
            return  # another row of the transaction conflicts
        submission = entry.submission.id
        if self._unconfirmed_progress.has_sent(submission, row.value):
            entry.progress_revision = row.revision  # it was stored, but the response was lost
            return
        try:
            progress = decode(row.value, Progress)
        except ProtocolError as error:
            self._record_unreadable(submission, error)
            return
        self._log_event("progress-found", submission=submission, revision=row.revision)
        self.apply(
            ProgressFound(
                now=_now(), submission=submission, progress=progress, revision=row.revision
            )
        )

    def _apply_conflicting_outcome(self, row: StoredRow, submission: SubmissionId) -> None:
        """Apply a final state that is already stored; nothing replaces one that is unreadable."""
        try:
            self._apply_row(row)
        except ProtocolError as error:
            self._record_unreadable(submission, error)

    def _prune_loop(self) -> None:
        """Delete the rows of submissions whose retention period has passed.

        Otherwise the rows that a new owner has to load would grow with the deployment's age.
        """
        while not self._is_stopped:
            gevent.sleep(PRUNE_INTERVAL_SECONDS)
            ended_before = time.time() - self._parameters.retention_seconds
            expired = [s for s, at in self._ended_at.items() if at < ended_before]
            for start in range(0, len(expired), MAX_PRUNED_PER_TRANSACTION):
                if not self._prune(expired[start : start + MAX_PRUNED_PER_TRANSACTION]):
                    break

    def _prune(self, submissions: list[SubmissionId]) -> bool:
        """Delete the rows of submissions; return whether that succeeded."""
        deletions_by_part: dict[str, list[Deletion]] = {}
        for submission in submissions:
            key = SUBMISSION_PREFIX + submission
            part = choose_part(submission)
            deletions_by_part.setdefault(part, []).append(Deletion(WORK_TABLE, key, part))
        # Final states are deleted last: a submission that remains without one would run again.
        final = [Deletion(WORK_TABLE, PROGRESS_PREFIX + s) for s in submissions]
        final += [Deletion(WORK_TABLE, OUTCOME_PREFIX + s) for s in submissions]
        try:
            for deletions in deletions_by_part.values():
                self._store.transact([], [], deletions)
            result = self._transact([], final)
        except LavenderhookError as error:
            self._log_event("prune-failed", rows=len(final), **describe_failure(error))
            return False
        if isinstance(result, RowConflict):
            self._step_down(self.fencing, "the owner row has changed")
            return False
        for submission in submissions:
            self._ended_at.pop(submission, None)
            if self.state is not None:
                self.state.outcomes.pop(submission, None)
        self._log_event("submissions-pruned", count=len(submissions))
        return True

    def _roster_loop(self) -> None:
        while not self._is_stopped:
            self._is_roster_due.wait()
            self._is_roster_due.clear()
            if not self._store_roster(self._roster_to_store):
                self._is_roster_due.set()
                gevent.sleep(STORE_RETRY_SECONDS)

    def _store_roster(self, roster: Roster) -> bool:
        """Store a roster; return False if the write has to be repeated.

        The write depends on the revision that it replaces: one whose response was lost may be
        carried out late, and must not replace a newer roster by an older one.
        """
        if self._witnessed_end is not None and not self._takeover.is_inactive(_now()):
            earlier = self._witnessed_end.list_unended(roster)
            roster = msgspec.structs.replace(roster, earlier=earlier)
        self._witness_proof.record_requested(roster)
        write = Write(CONTROL_TABLE, ROSTER_KEY, encode(roster), self._roster_revision)
        try:
            result = self._transact([write])
        except LavenderhookError as error:
            self._log_event("roster-unstored", **describe_failure(error))
            return False
        if isinstance(result, RowConflict):
            if self._is_superseded(result):
                self._step_down(self.fencing, "the owner row has changed")
                return True
            row = result.find(CONTROL_TABLE, ROSTER_KEY)
            self._roster_revision = row.revision if row is not None else 0
            return False
        self._roster_revision = result
        self._witness_proof.record_stored(roster)
        self._log_event(
            "roster-stored",
            revision=result,
            workers=len(roster.workers),
            closed=len(roster.closed),
        )
        self.apply(RosterStored(now=_now(), roster=set_closing_revisions(roster, result)))
        return True

    def _transact(
        self,
        writes: Sequence[Write],
        deletions: Sequence[Deletion] = (),
        conditions: Sequence[Condition] = (),
    ) -> int | RowConflict:
        """Write and delete rows under conditions, one of which is that this is still the owner.

        Raises
        ------
        StoreUnavailableError, TransportError
        """
        is_owner = Condition(CONTROL_TABLE, OWNER_KEY, self._revision)
        sent_at = read_elapsed_clock()
        result = self._store.transact(writes, [is_owner, *conditions], deletions)
        if not isinstance(result, RowConflict):
            self._proof.record_store(sent_at)
        return result

    def _is_superseded(self, conflict: RowConflict) -> bool:
        """Return whether a transaction failed because there is another owner."""
        owner = conflict.find(CONTROL_TABLE, OWNER_KEY)
        return owner is None or owner.revision != self._revision

    def describe(self, submission: SubmissionId) -> SubmissionState | None:
        """Return the state of a submission, or None if the owner does not know it."""
        if self.state is None or not self.is_loaded:
            return None
        return self.state.describe(submission)


def _now() -> float:
    return time.monotonic()
