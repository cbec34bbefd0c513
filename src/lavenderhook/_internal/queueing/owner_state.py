"""The owner's state and the reducer over its events.

One owner at a time places the tasks of all queues. Workers themselves record what runs: a worker
keeps each finished run until the owner acknowledges that the store covers it. A new owner sends a
higher command token to each worker, which from then on refuses commands of the predecessor and
reports its runs. A worker that the owner can't reach may hold runs until the longest lease has
expired; until then, tasks that the predecessor may have started aren't started again.
"""

from __future__ import annotations

from collections.abc import Callable, Sequence

from ..core.identifiers import WorkerId
from .advising import AdvicePlanner
from .durations import DurationEstimates
from .effects import (
    Effect,
    SendStart,
    SendStop,
    StepDown,
    StepDownReason,
    StoreProgress,
    StoreRoster,
    UnwatchWorker,
    WatchWorker,
)
from .events import (
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
from .incarnations import ListingAge
from .log_lines import (
    log_ignored_listing,
    log_listing_changes,
    log_run,
    log_submission_ended,
    log_submission_ending,
    log_submission_queued,
    log_takeover_wait_ended,
    log_worker,
)
from .losses import LossReason, LossRecorder
from .losses_by_waiting import LeastLossByWaiting
from .model import (
    CommandToken,
    FencingToken,
    FinishedRun,
    OrganisationName,
    ReportedRun,
    RunNumber,
    RunOutcome,
    RunState,
    StartOutcome,
    StepId,
    SubmissionId,
    SubmissionState,
    TaskKey,
    WorkerListing,
)
from .parameters import OwnerParameters
from .placement import PlacementPolicy
from .ranking import StepRanking
from .records import FailureReason, Roster
from .review import Decision, RunReviewer
from .roster import RosterTracker
from .scheduling import Scheduler
from .start_log import LoggedStart
from .step_progress import StepProgress
from .stops import StopReason
from .stragglers import RunAction, project_remaining
from .submissions import SubmissionProgress
from .takeover import Takeover
from .unknown_submissions import UnknownSubmissions
from .workers import (
    REFUSAL_BLOCK_SECONDS,
    Run,
    Worker,
    compute_command_token,
    compute_first_run_number,
    has_token_left,
    make_adopted_run,
)

COMMAND_RETRY_SECONDS = 0.3  # after a command without an answer
MAX_START_ATTEMPTS = 4  # then the run is stopped, which prevents a later start
REVIEW_INTERVAL_SECONDS = 0.2


class OwnerState:
    """State of the owner.

    Parameters
    ----------
    fencing : FencingToken
    owner_revision : int
        Revision of the store at which this owner took over.
    started_at : float
    parameters : OwnerParameters
    roster : Roster, optional
        Workers that may hold runs of earlier owners.
    takeover : Takeover, optional
        What to expect of earlier owners; by default, that they have just ended.
    former_starts : dict, optional
        By submission, what earlier owners have started lately.
    """

    def __init__(
        self,
        fencing: FencingToken,
        owner_revision: int,
        started_at: float,
        parameters: OwnerParameters,
        roster: Roster | None = None,
        *,
        takeover: Takeover | None = None,
        former_starts: dict[SubmissionId, list[LoggedStart]] | None = None,
        ranking: StepRanking | None = None,
        policy: PlacementPolicy | None = None,
        reviewer: RunReviewer | None = None,
    ) -> None:
        self.fencing = fencing
        self.parameters = parameters
        self.durations = DurationEstimates()
        self.scheduler = Scheduler(
            fencing,
            ranking or LeastLossByWaiting(self.durations),
            policy,
            AdvicePlanner(),
        )
        self.first_run_number = compute_first_run_number(fencing)
        self.takeover = takeover or Takeover(started_at, parameters.lease_seconds)
        self.workers: dict[WorkerId, Worker] = {}
        self.latest_incarnation = 0
        self.former_starts = former_starts or {}
        ended_before = owner_revision if self.takeover.had_ended else None
        self.roster = RosterTracker(roster or Roster(), ended_before)
        self.scheduler.quotas.expect_runs(self.roster.unreached, self.former_starts)
        self.commands_to_retry: list[Run] = []
        self.submissions: dict[SubmissionId, SubmissionProgress] = {}
        self.outcomes: dict[SubmissionId, SubmissionState] = {}
        self.reviewer = reviewer or RunReviewer(self._find_step, self.scheduler.speeds)
        self.losses = LossRecorder(self._find_step, self._give_up)
        self.unknown_submissions = UnknownSubmissions(
            self.workers, self.submissions, self._process_finished_run, self._remove_run
        )
        self.next_review_at = 0.0
        self.needs_scheduling = True

    # State as callers see it.

    def describe(self, submission: SubmissionId) -> SubmissionState | None:
        """Return the state of a submission, or None if it isn't known here.

        A final state is returned only once it is stored. The workers keep the finished runs until
        then, but a worker may leave and all instances may fail while the store is unavailable: the
        task would run again after its caller was told that it was done.
        """
        state = self.outcomes.get(submission)
        if state is not None:
            return state
        entry = self.submissions.get(submission)
        return entry.state if entry is not None else None

    def get_command_token(self, worker_id: WorkerId) -> CommandToken:
        """Return the token of commands to the current incarnation of a worker."""
        worker = self.workers.get(worker_id)
        return compute_command_token(self.fencing, worker.incarnation if worker is not None else 0)

    def list_workers(self) -> list[Worker]:
        """Return all workers."""
        return list(self.workers.values())

    # Reducer.

    def reduce(self, event: Event) -> list[Effect]:
        """Apply an event to the state and return its effects."""
        return _HANDLERS[type(event)](self, event)

    def handle_submission(self, event: SubmissionRead) -> list[Effect]:
        """Add a submission; of one that is known already, only its revision may be news."""
        submission = event.submission
        if submission.id in self.submissions:
            self.submissions[submission.id].record_revision(event.revision)
        elif self.outcomes.get(submission.id) is SubmissionState.CANCELLED:
            self.scheduler.quotas.record_ended(submission)
        if submission.id in self.submissions or submission.id in self.outcomes:
            return []
        entry = SubmissionProgress(
            submission, event.revision, event.now - max(0.0, event.age), self.first_run_number
        )
        if event.progress is not None:
            entry.import_progress(event.progress, event.now)
        entry.import_starts(self.former_starts.pop(submission.id, ()), event.now)
        self.submissions[submission.id] = entry
        self.needs_scheduling = True
        effects: list[Effect] = [log_submission_queued(entry, event.age)]
        effects += self._adopt_unmatched(submission.id, event.now)
        effects += self.losses.adopt_histories(entry, event.now)
        if entry.is_done:
            effects += self._begin_finalizing(entry)
        return effects

    def handle_outcome(self, event: OutcomeRead) -> list[Effect]:
        """Record a stored final state, and stop what still runs."""
        self.outcomes[event.submission] = event.outcome.state  # until its rows are deleted
        entry = self.submissions.pop(event.submission, None)
        if entry is None:
            return []
        self.needs_scheduling = True
        effects: list[Effect] = [log_submission_ended(entry, event.outcome, event.now)]
        if event.outcome.state is SubmissionState.COMPLETED:
            return effects  # remaining runs of its gangs end by themselves
        for step in entry.steps.values():
            for run in step.list_all_runs():
                effects += self._stop(run, event.now, StopReason.SUBMISSION_ENDED)
        return effects

    def handle_workers(self, event: WorkersListed) -> list[Effect]:
        """Apply the platform's list: new and changed workers, and those that left it."""
        effects: list[Effect] = []
        listed = {listing.id: listing for listing in event.workers}
        for worker_id, listing in listed.items():
            worker = self.workers.get(worker_id)
            effects += self.losses.record_listing(listing, event.now)
            if worker is None:
                worker = Worker(listing, self.takeover.leases_expire_at, self.latest_incarnation)
                worker.organisation_use = self.scheduler.quotas.use
                worker.update_listing(listing, event.now)
                worker.is_open_in_roster = self.roster.is_open_in_roster(worker_id)
                self.workers[worker_id] = worker
                effects.append(WatchWorker(worker=worker_id))
                effects.append(log_worker("worker-listed", worker))
            else:
                effects += self._apply_listing(worker, listing, event.now)
            worker.is_listed = True
        for worker in self.workers.values():
            if worker.id not in listed and worker.is_listed:
                worker.is_listed = False
                effects.append(log_worker("worker-unlisted", worker))
        effects += self._update_roster()
        self.needs_scheduling = True
        return effects

    def _apply_listing(self, worker: Worker, listing: WorkerListing, now: float) -> list[Effect]:
        effects: list[Effect] = []
        age = worker.newest.compare(listing)
        if age is ListingAge.OUTDATED:
            return log_ignored_listing(worker, listing)
        if age is ListingAge.NEWER:
            effects.append(log_worker("worker-reborn", worker, next_born=listing.born))
            effects += self._handle_restart(worker, listing.born, now)
        else:
            effects += log_listing_changes(worker, listing)
        worker.update_listing(listing, now)
        return effects

    def handle_roster(self, event: RosterStored) -> list[Effect]:
        """Record the stored roster; runs may be placed on the workers that it shows as open."""
        self.roster.record_stored(event.roster)
        self.needs_scheduling = True
        return self._update_roster()

    def handle_report(self, event: ReportArrived) -> list[Effect]:
        """Apply a worker's report of its runs."""
        worker = self.workers.get(event.worker)
        if worker is None:
            return []
        effects: list[Effect] = []
        born = event.report.born
        if worker.newest.is_report_outdated(born, event.sent_at):
            return []
        has_restarted = born != worker.newest.born
        if has_restarted:
            effects.append(log_worker("worker-reborn", worker, next_born=born))
            effects += self._handle_restart(worker, born, event.now)
        has_reopened = worker.record_answer(event.now)
        worker.lease.record_report(event.report.clock, event.now, self.parameters.lease_seconds)
        if not worker.is_reached and event.report.lists_all_finished:
            worker.is_reached = True
            self.roster.unreached.discard(worker.id)
            self.needs_scheduling = True
            effects.append(log_worker("worker-reached", worker))
            effects += self._update_roster()
        elif has_reopened or has_restarted:
            effects += self._update_roster()
        effects += self._process_finished_runs(worker, event.report.finished, event.now)
        effects += self.unknown_submissions.search(worker, event.now)
        effects += self._reconcile_runs(worker, event)
        return effects + self.losses.record_report(worker, event.now)

    def handle_hold_unanswered(self, event: HoldUnanswered) -> list[Effect]:
        """Handle a hold without a report; nothing runs at a worker whose leases have expired."""
        worker = self.workers.get(event.worker)
        if worker is None:
            return []
        if event.is_fenced and event.token == self.get_command_token(worker.id):
            return [StepDown(worker=worker.id)]
        effects: list[Effect] = []
        if worker.record_unanswered_hold(event.now):
            effects += self._update_roster()
        have_leases_expired = min(event.now, event.proven_at) > worker.lease.expires_by
        # An earlier owner may know a newer incarnation, at another address.
        has_ended = event.is_other_incarnation and worker.id not in self.roster.unreached
        if has_ended or have_leases_expired:
            if worker.runs or not worker.is_reached:
                reasons = {"other_boot": has_ended, "lapsed": have_leases_expired}
                effects.append(log_worker("worker-lost", worker, **reasons))
                reason = LossReason.REPLACED if has_ended else LossReason.SILENT
                effects += self._reset_worker(worker, reason, event.now)
                worker.is_reached = True  # nothing of an earlier owner is left here
                worker.last_report_at = 0.0
                self.roster.unreached.discard(worker.id)
                self.needs_scheduling = True
            if not worker.is_listed:
                del self.workers[worker.id]
                effects += self._count_incarnation(worker)
                effects.append(UnwatchWorker(worker=worker.id))
                effects += self._update_roster()
        return effects

    def handle_start_answer(self, event: StartAnswered) -> list[Effect]:
        """Handle the response to a start command."""
        worker = self.workers.get(event.worker)
        run = worker.runs.get((event.task, event.number)) if worker is not None else None
        if worker is None or run is None:
            return []
        is_for_this_incarnation = (
            run.command is not None and run.command.token == self.get_command_token(worker.id)
        )
        is_fenced = event.outcome is StartOutcome.FENCED and is_for_this_incarnation
        if run.state is RunState.STOPPING and not is_fenced:
            return []  # the response to the stop decides
        run.is_in_flight = False
        if event.outcome is StartOutcome.STARTED:
            run.acknowledged_at = event.now
            run.state = RunState.RUNNING
            entry = self.submissions.get(event.task.submission)
            if entry is not None:
                entry.state = SubmissionState.RUNNING
            return []
        effects: list[Effect] = [
            log_run(
                "start-not-done",
                event.task,
                event.number,
                event.worker,
                outcome=event.outcome.value,
                tries=run.attempts,
            )
        ]
        if is_fenced:
            effects.append(StepDown(worker=worker.id))
        elif event.outcome is StartOutcome.UNKNOWN or (
            event.outcome is StartOutcome.NOT_SENT and run.attempts > 1
        ):
            run.has_unconfirmed_start = True
            self._schedule_retry(run, event.now)
            worker.blocked_until = event.now + COMMAND_RETRY_SECONDS
            if run.attempts >= MAX_START_ATTEMPTS and run.state is RunState.STARTING:
                effects += self._stop(run, event.now, StopReason.START_UNCONFIRMED)
        elif event.outcome is StartOutcome.OTHER_INCARNATION:
            effects += self.handle_hold_unanswered(
                HoldUnanswered(
                    now=event.now,
                    worker=worker.id,
                    token=self.get_command_token(worker.id),
                    is_other_incarnation=True,
                )
            )
        elif event.outcome is StartOutcome.SUPERSEDED:
            run.acknowledged_at = event.now  # one of the next reports contains it as finished
        elif run.attempts == 1:
            if event.outcome is not StartOutcome.TICKET_REFUSED:
                worker.blocked_until = event.now + REFUSAL_BLOCK_SECONDS
            if event.outcome is StartOutcome.TICKET_REFUSED:
                step = self._find_step(event.task.step_id)
                if step is not None and worker.id in step.allowed:
                    step.allowed[worker.id].expires_at = 0.0
            effects += self._remove_run(run, event.now)
        else:
            # A later attempt was refused, but an earlier one may still be carried out.
            effects += self._stop(run, event.now, StopReason.START_UNCONFIRMED)
        return effects

    def handle_stop_answer(self, event: StopAnswered) -> list[Effect]:
        """Handle the response to a stop; resources are freed once the run is reported finished."""
        worker = self.workers.get(event.worker)
        run = worker.runs.get((event.task, event.number)) if worker is not None else None
        if worker is None or run is None or event.token != self.get_command_token(worker.id):
            return []
        run.is_in_flight = False
        if event.is_done is None:
            self._schedule_retry(run, event.now)
        elif event.is_done:
            run.acknowledged_at = event.now
        else:
            return [StepDown(worker=worker.id)]
        return []

    def handle_advice(self, event: AdviceArrived) -> list[Effect]:
        """Record the advice for a step."""
        step = self._find_step(event.step)
        if step is None:
            return []
        self.scheduler.advice.record_advice(self.submissions[event.step.submission], step, event)
        self.needs_scheduling = True
        return []

    def handle_progress_stored(self, event: ProgressStored) -> list[Effect]:
        """Record which finished runs the store covers, so that holds acknowledge them."""
        for worker_id, position in event.stored_positions.items():
            worker = self.workers.get(worker_id)
            if worker is not None and worker.newest.born == position.born:
                worker.finished_runs.record_stored(position.sequence)
        return []

    def handle_submission_stored(self, event: SubmissionStored) -> list[Effect]:
        """Record the stored progress of a submission; planned starts wait for it."""
        entry = self.submissions.get(event.submission)
        if entry is not None:
            entry.progress_revision = event.revision
            entry.record_stored(event.progress)
            self.needs_scheduling = True
        return []

    def handle_progress_found(self, event: ProgressFound) -> list[Effect]:
        """Add what another owner has stored; the repeated commit stores both."""
        entry = self.submissions.get(event.submission)
        if entry is None:
            return []
        entry.progress_revision = event.revision
        entry.import_progress(event.progress, event.now)
        self.needs_scheduling = True
        effects = self.losses.adopt_histories(entry, event.now)
        for run in entry.list_needless_runs():
            effects += self._stop(run, event.now, StopReason.NEEDLESS)
        if entry.is_done or entry.has_used_up_attempts:
            failure = None if entry.is_done else FailureReason.ATTEMPTS_USED_UP
            effects += self._begin_finalizing(entry, failure)
        return effects

    def handle_predecessor_inactive(self, event: PredecessorInactive) -> list[Effect]:
        """Close the unreached workers; what is stored after that doesn't wait for them."""
        self.takeover.record_inactive(event.now, self.workers.values(), event.inherited_until)
        self.needs_scheduling = True
        return []

    def handle_tick(self, event: Ticked) -> list[Effect]:
        """Retry commands that got no answer, and place waiting tasks."""
        effects = self._check_takeover_deadlines(event)
        pending, self.commands_to_retry = self.commands_to_retry, []
        for run in pending:
            effects += self._retry_command(run, event.now)
        for run in self.scheduler.suspects.list_misplaced(event.now):
            effects.append(log_run("planned-start-dropped", run.task, run.number, run.worker))
            effects += self._remove_run(run, event.now)
        if event.now >= self.next_review_at:
            self.next_review_at = event.now + REVIEW_INTERVAL_SECONDS
            effects += self._review_runs(event.now) + self.losses.expire(event.now)
        effects += self.roster.log_blocked()
        effects += self.scheduler.schedule(
            self.submissions.values(),
            self.workers.values(),
            self.roster.compute_blocked_through_revision(),
            event.now,
        )
        self.needs_scheduling = False
        return effects

    def _check_takeover_deadlines(self, event: Ticked) -> list[Effect]:
        """Check the times at which commands and leases of earlier owners have ended."""
        proven_until = min(event.now, event.proven_at)
        if self.roster.unreached and self.takeover.have_leases_expired(proven_until):
            line = log_takeover_wait_ended(self.roster.unreached)
            self.roster.unreached.clear()
            return [line, *self._update_roster()]
        if self.takeover.check_closing(event.now):
            return self._update_roster()
        return []

    def _review_runs(self, now: float) -> list[Effect]:
        """Put slow workers on probation, and move or copy runs that are better off elsewhere."""
        workers = self.workers.values()
        effects = self.reviewer.update_probation(workers, now)
        for decision in self.reviewer.review(workers, now):
            effects += self._apply_decision(decision, now)
        return effects

    def _apply_decision(self, decision: Decision, now: float) -> list[Effect]:
        run, step = decision.run, decision.step
        index = run.task.index
        if run.state is not RunState.RUNNING or index in step.copies:
            return []  # another member of its gang has been stopped, or the copy has no worker yet
        step.avoid(index, run.worker)
        effects: list[Effect] = [
            log_run(
                "run-reviewed",
                run.task,
                run.number,
                run.worker,
                action=decision.action.value,
                reason=decision.reason.value,
                progress=run.progress,
                seconds=round(now - run.commanded_at, 3),
            )
        ]
        self.needs_scheduling = True
        if decision.action is RunAction.COPY:
            step.copies.append(index)
            return effects
        step.restarts[index] = step.restarts.get(index, 0) + 1
        return effects + self._stop(run, now, StopReason.REVIEWED)

    # Runs.

    def _schedule_retry(self, run: Run, now: float) -> None:
        run.next_attempt_at = now + COMMAND_RETRY_SECONDS
        self.commands_to_retry.append(run)

    def _retry_command(self, run: Run, now: float) -> list[Effect]:
        worker = self.workers.get(run.worker)
        if worker is None or worker.runs.get((run.task, run.number)) is not run:
            return []
        if run.is_in_flight or run.acknowledged_at is not None:
            return []
        # A worker that has crashed and restarted would carry out the start a second time: a report
        # has to show first that it has not.
        unanswered_at = run.next_attempt_at - COMMAND_RETRY_SECONDS
        is_uncertain = run.state is RunState.STARTING and worker.last_report_at < unanswered_at
        if now < run.next_attempt_at or is_uncertain:
            self.commands_to_retry.append(run)
            return []
        if run.state is RunState.STARTING and worker.is_over_capacity():
            return self._stop(run, now, StopReason.OVER_CAPACITY)  # the worker has shrunk meanwhile
        if run.state is RunState.STARTING and self.scheduler.quotas.is_exceeded(run.organisation):
            return self._stop(run, now, StopReason.OVER_LIMIT)
        run.is_in_flight = True
        run.attempts += 1
        if run.state is RunState.STOPPING:
            return [self._make_stop(run)]
        if run.state is RunState.STARTING and run.command is not None:
            return [SendStart(command=run.command)]
        return []

    def _stop(self, run: Run, now: float, reason: StopReason) -> list[Effect]:
        if run.state is RunState.STOPPING:
            return []
        if run.state is RunState.PLANNED:
            return self._remove_run(run, now)
        run.begin_stop(reason)
        return [self._make_stop(run)]

    def _make_stop(self, run: Run) -> SendStop:
        return SendStop(
            worker=run.worker,
            task=run.task,
            number=run.number,
            token=self.get_command_token(run.worker),
            reason=run.stop_reason,
        )

    def _remove_run(self, run: Run, now: float) -> list[Effect]:
        """Remove a run that has certainly ended or can never begin."""
        worker = self.workers.get(run.worker)
        if worker is not None:
            worker.remove_run(run)
        self.needs_scheduling = True
        step = self._find_step(run.task.step_id)
        if step is None:
            return []
        step.remove_run(run)
        if not step.has_lost(run) and run.task.index not in step.done:
            self.scheduler.start_log.withdraw(run)
        if not step.spec.is_gang or step.is_done:
            return []
        effects: list[Effect] = []
        for other in step.list_all_runs():
            effects += self._stop(other, now, StopReason.GANG_BROKEN)
        return effects

    def _process_finished_run(
        self, worker: Worker, finished: FinishedRun, now: float
    ) -> list[Effect]:
        run = worker.runs.get((finished.task, finished.number))
        step = self._find_step(finished.task.step_id)
        effects: list[Effect] = [
            log_run(
                "run-ended",
                finished.task,
                finished.number,
                worker.id,
                outcome=finished.outcome.value,
                end=finished.sequence,
                seconds=round(now - run.commanded_at, 3) if run is not None else None,
            )
        ]
        if step is not None:
            step.last_run_number = RunNumber(max(step.last_run_number, finished.number))
            step.record_checkpoint(finished.task.index, finished.checkpoint)
            self.losses.record_finished_run(worker, step, finished)
            if finished.outcome is RunOutcome.FAILED:
                step.avoid(finished.task.index, worker.id)
                effects += self._record_failure(worker, finished.task, now)
            elif finished.outcome is RunOutcome.DONE:
                worker.failed_submissions.clear()
            effects += self._apply_run_outcome(step, finished, now)
        if run is not None:
            if finished.outcome is RunOutcome.DONE and step is not None and not run.checkpoint:
                step.durations.append(now - run.commanded_at)
                queue = self.submissions[step.id.submission].submission.queue
                self.durations.record_run(queue.name, step.spec, now - run.commanded_at)
            self.reviewer.record_finished_run(worker, run, finished.outcome, now)
            effects += self._remove_run(run, now)
        return effects

    def _process_finished_runs(
        self, worker: Worker, finished_runs: Sequence[FinishedRun], now: float
    ) -> list[Effect]:
        """Process reported finished runs; those of unknown submissions wait."""
        effects: list[Effect] = []
        for finished in worker.finished_runs.select_new(finished_runs):
            submission = finished.task.submission
            is_known = submission in self.submissions or submission in self.outcomes
            if not worker.finished_runs.waits_for_submission(finished, is_known=is_known, now=now):
                effects += self._process_finished_run(worker, finished, now)
        return effects

    def _record_failure(self, worker: Worker, task: TaskKey, now: float) -> list[Effect]:
        if not worker.record_failure(task.submission, now):
            return []
        return [log_worker("worker-set-aside", worker, until=round(worker.blocked_until, 3))]

    def _apply_run_outcome(
        self, step: StepProgress, finished: FinishedRun, now: float
    ) -> list[Effect]:
        entry = self.submissions[finished.task.submission]
        if finished.outcome is RunOutcome.DONE and not step.spec.is_service:
            if not step.mark_done(finished.task.index):
                return []
            self.needs_scheduling = True
            effects: list[Effect] = []
            for run in list(step.runs.get(finished.task.index, ())):
                if run.number != finished.number or run.task != finished.task:
                    effects += self._stop(run, now, StopReason.NEEDLESS)  # a copy
            if entry.is_done:
                return effects + self._begin_finalizing(entry)
            return [*effects, StoreProgress(submission=entry.submission.id)]
        is_done = finished.task.index in step.done
        if finished.outcome is RunOutcome.FAILED and not (step.spec.is_service or is_done):
            failures = step.count_failure(finished.task.index, finished.number)
            if failures >= entry.submission.queue.most_attempts:
                return self._begin_finalizing(entry, FailureReason.ATTEMPTS_USED_UP)
            return [StoreProgress(submission=entry.submission.id)]
        return []

    def _give_up(self, step_id: StepId, now: float) -> list[Effect]:
        """End a submission as failed, since one of its tasks crashes its workers."""
        entry = self.submissions[step_id.submission]
        return self._begin_finalizing(entry, FailureReason.WORKERS_CRASHED)

    def _begin_finalizing(
        self, entry: SubmissionProgress, failure: FailureReason | None = None
    ) -> list[Effect]:
        """Request that the final state be stored; until then, callers see a running submission."""
        if not entry.begin_finalizing(failure):
            return []
        return [
            StoreProgress(submission=entry.submission.id),
            log_submission_ending(entry, failure),
        ]

    def _reconcile_runs(self, worker: Worker, event: ReportArrived) -> list[Effect]:
        effects: list[Effect] = []
        reported_keys: set[tuple[TaskKey, RunNumber]] = set()
        worker.unmatched_runs.clear()
        for reported in event.report.running:
            key = (reported.task, reported.number)
            reported_keys.add(key)
            run = worker.runs.get(key)
            if run is None:
                effects += self._adopt(worker, reported, event.now)
                continue
            run.record_progress(reported.progress, event.report.clock)
            if run.is_suspect:
                effects += self.losses.review_suspect(run, event.now)
            remaining = project_remaining(run)
            if remaining is not None:
                run.estimated_end_at = event.now + remaining
            if reported.checkpoint and reported.checkpoint != run.checkpoint:
                run.checkpoint = reported.checkpoint
                step = self._find_step(reported.task.step_id)
                if step is not None:
                    step.record_checkpoint(reported.task.index, reported.checkpoint)
            if run.state is RunState.STARTING:
                run.state = RunState.RUNNING
                run.acknowledged_at = event.now
        stop_seconds = self.parameters.stop_seconds
        for key, run in list(worker.runs.items()) if event.report.lists_all_finished else ():
            if key not in reported_keys and run.has_vanished(event.sent_at, stop_seconds):
                effects.append(
                    log_run(
                        "run-vanished",
                        run.task,
                        run.number,
                        worker.id,
                        state=run.state.value,
                    )
                )
                effects += self._remove_run(run, event.now)
        return effects

    def _adopt(self, worker: Worker, reported: ReportedRun, now: float) -> list[Effect]:
        """Add a run that an earlier owner started, and stop it if it isn't needed."""
        entry = self.submissions.get(reported.task.submission)
        if entry is None and reported.task.submission not in self.outcomes:
            worker.unmatched_runs[reported.task] = reported
            return []
        step = self._find_step(reported.task.step_id)
        organisation = OrganisationName("") if entry is None else entry.submission.organisation
        spec = step.spec if step is not None else None
        run = make_adopted_run(reported, spec, organisation, worker, now)
        worker.add_run(run)
        if step is None or entry is None:
            return self._stop(run, now, StopReason.SUBMISSION_ENDED)
        entry.state = SubmissionState.RUNNING
        step.record_checkpoint(reported.task.index, reported.checkpoint)
        others = step.runs.get(reported.task.index, [])
        is_needed = reported.task.index not in step.done and (not others or step.spec.allows_copies)
        if step.spec.is_gang:
            numbers = {run.number for runs in step.runs.values() for run in runs}
            is_needed = is_needed and numbers <= {reported.number}
        step.add_run(run)
        effects: list[Effect] = [
            log_run(
                "run-adopted",
                reported.task,
                reported.number,
                worker.id,
                needed=is_needed,
            )
        ]
        if not is_needed:
            effects += self._stop(run, now, StopReason.NEEDLESS)
        return effects

    def _adopt_unmatched(self, submission: SubmissionId, now: float) -> list[Effect]:
        """Process the reported runs of a submission that has only now become known."""
        effects: list[Effect] = []
        for worker in self.workers.values():
            waiting = worker.finished_runs.list_waiting()
            effects += self._process_finished_runs(worker, waiting, now)
            for task in [t for t in worker.unmatched_runs if t.submission == submission]:
                effects += self._adopt(worker, worker.unmatched_runs.pop(task), now)
        return effects

    def _handle_restart(self, worker: Worker, born: int, now: float) -> list[Effect]:
        """Handle a restart under the same id, as the incarnation `born`.

        What ran has ended. An unanswered start may still reach the new incarnation, which knows
        of no stops: the run is stopped there before its task may run again.
        """
        effects = self._record_loss(worker, LossReason.RESTARTED, now)
        last_report_at = worker.last_report_at
        step_down = self._count_incarnation(worker)
        worker.begin_incarnation(self.latest_incarnation, born, now)
        if step_down:
            return step_down
        unconfirmed = [run for run in worker.runs.values() if run.may_run_after(last_report_at)]
        for run in list(worker.runs.values()):
            if run not in unconfirmed:
                effects += self._remove_run(run, now)
        for run in unconfirmed:
            run.state = RunState.RUNNING  # a stop sent to the former incarnation has no effect
            effects += self._stop(run, now, StopReason.START_UNCONFIRMED)
        return effects

    def _record_loss(self, worker: Worker, reason: LossReason, now: float) -> list[Effect]:
        return self.losses.record_loss(worker, self.workers.values(), reason, now)

    def _count_incarnation(self, worker: Worker) -> list[Effect]:
        """Let the next incarnation of any worker have a number of its own."""
        self.latest_incarnation += 1
        if has_token_left(self.latest_incarnation):
            return []
        return [StepDown(worker=worker.id, reason=StepDownReason.NUMBERS_USED_UP)]

    def _reset_worker(self, worker: Worker, reason: LossReason, now: float) -> list[Effect]:
        """Remove all runs of a worker that has ended or whose leases have expired."""
        effects = self._record_loss(worker, reason, now)
        for run in list(worker.runs.values()):
            effects += self._remove_run(run, now)
        worker.forget_reports()
        return effects

    def _update_roster(self) -> list[Effect]:
        """Close workers at once, and request that a changed roster be stored."""
        update = self.roster.prepare_update(
            self.workers.values(), may_close_unreached=self.takeover.may_close_unreached
        )
        for worker in self.workers.values():
            worker.is_open_in_roster = self.roster.is_open_in_roster(worker.id)
        return [] if update is None else [StoreRoster(roster=update)]

    def _find_step(self, step_id: StepId) -> StepProgress | None:
        entry = self.submissions.get(step_id.submission)
        if entry is None:
            return None
        return entry.steps.get((step_id.occurrence, step_id.step))


_HANDLERS: dict[type[Event], Callable[[OwnerState, Event], list[Effect]]] = {
    SubmissionRead: OwnerState.handle_submission,  # type: ignore[dict-item]
    SubmissionAbsent: lambda s, event: s.unknown_submissions.handle_absent(event),  # type: ignore[arg-type]
    SubmissionUnreadable: lambda s, event: s.unknown_submissions.handle_unreadable(event),  # type: ignore[arg-type]
    OutcomeRead: OwnerState.handle_outcome,  # type: ignore[dict-item]
    WorkersListed: OwnerState.handle_workers,  # type: ignore[dict-item]
    RosterStored: OwnerState.handle_roster,  # type: ignore[dict-item]
    ReportArrived: OwnerState.handle_report,  # type: ignore[dict-item]
    HoldUnanswered: OwnerState.handle_hold_unanswered,  # type: ignore[dict-item]
    StartAnswered: OwnerState.handle_start_answer,  # type: ignore[dict-item]
    StopAnswered: OwnerState.handle_stop_answer,  # type: ignore[dict-item]
    AdviceArrived: OwnerState.handle_advice,  # type: ignore[dict-item]
    ProgressFound: OwnerState.handle_progress_found,  # type: ignore[dict-item]
    ProgressStored: OwnerState.handle_progress_stored,  # type: ignore[dict-item]
    SubmissionStored: OwnerState.handle_submission_stored,  # type: ignore[dict-item]
    PredecessorInactive: OwnerState.handle_predecessor_inactive,  # type: ignore[dict-item]
    OrganisationsChanged: lambda s, event: s.scheduler.quotas.handle_change(event),  # type: ignore[arg-type]
    Ticked: OwnerState.handle_tick,  # type: ignore[dict-item]
}
