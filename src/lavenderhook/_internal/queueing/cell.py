"""The owner's state and the reducer over its events.

One owner at a time places the tasks of all queues. What runs is recorded by the workers
themselves: a worker keeps each end until the owner says that the store covers it. A new owner
takes a higher fencing token to each worker, which shuts out its predecessor and returns what
runs there. A worker that it can't reach may hold runs until the longest lease has lapsed; until
then, tasks that its predecessor may have started stay where they are.
"""

from __future__ import annotations

from collections.abc import Callable, Sequence

import msgspec

from ..core.identifiers import WorkerId
from .advising import AdvicePlanner
from .effects import (
    Effect,
    FollowWorker,
    LeaveWorker,
    LogDecision,
    SaveProgress,
    SaveRoster,
    SendStart,
    SendStop,
    StepDown,
)
from .events import (
    AdviceArrived,
    Event,
    HoldUnanswered,
    OutcomeSeen,
    PredecessorEnded,
    ProgressStored,
    ReportArrived,
    RosterStored,
    StartAnswered,
    StopAnswered,
    SubmissionSeen,
    Ticked,
    WorkersListed,
)
from .model import (
    FencingToken,
    ListedEnd,
    ListedRun,
    OrderToken,
    Resources,
    RunNumber,
    RunOutcome,
    RunState,
    StartOutcome,
    StepId,
    SubmissionId,
    SubmissionState,
    TaskKey,
)
from .ordering import PriorityThenObjective, WaitingOrder
from .placement import BestFit, PlacementPolicy
from .records import Roster
from .roster import RosterLedger
from .scheduling import Scheduler
from .stragglers import MOST_ON_TRIAL_SHARE, SlowInARow, SpeedPolicy, find_overdue
from .submissions import StepProgress, SubmissionProgress
from .workers import (
    CLOCK_DRIFT,
    REFUSAL_PAUSE_SECONDS,
    Run,
    Worker,
    compute_first_number,
    compute_lease_bound,
    compute_order_token,
)

ORDER_RETRY_SECONDS = 0.3  # an order without an answer is sent again after this time
START_TRIES = 4  # after these a start is given up and stopped, which shuts it out
# Until a former owner that still runs has met a worker that refuses its token: a hold waits a
# second and is given up after 1.7 s. Peers may still tell it of new submissions meanwhile.
SUCCESSION_SECONDS = 2.5
# For which an end of an unknown submission is kept: the store's readings lag by up to 6 s after it
# has lost its history.
EARLY_END_SECONDS = 8.0
SPEED_CHECK_SECONDS = 0.25  # between looks at the lengths of all runs
KEEP_OUTCOMES = 20_000  # final states kept in memory


class CellParameters(msgspec.Struct, frozen=True, kw_only=True):
    """Bounds that the deployment sets.

    Parameters
    ----------
    lease_seconds : float
        Length of the leases on what runs.
    stop_seconds : float
        Longest time that a worker takes to stop a run.
    retention_seconds : float
        For how long rows of ended submissions are kept.
    """

    lease_seconds: float = 4.5
    stop_seconds: float = 1.0
    retention_seconds: float = 150.0


class Cell:
    """State of the owner.

    Parameters
    ----------
    fencing : FencingToken
    owner_revision : int
        Revision of the store at which this owner took over.
    started_at : float
    parameters : CellParameters
    roster : Roster, optional
        Workers that may hold runs of earlier owners.
    """

    def __init__(
        self,
        fencing: FencingToken,
        owner_revision: int,
        started_at: float,
        parameters: CellParameters,
        roster: Roster | None = None,
        *,
        order: WaitingOrder | None = None,
        policy: PlacementPolicy | None = None,
        speed: SpeedPolicy | None = None,
    ) -> None:
        self.fencing = fencing
        self.owner_revision = owner_revision
        self.parameters = parameters
        self.scheduler = Scheduler(
            fencing, order or PriorityThenObjective(), policy or BestFit(), AdvicePlanner()
        )
        self.first_number = compute_first_number(fencing)
        self.takeover_bound = compute_lease_bound(started_at, parameters.lease_seconds)
        self.succession_bound = started_at + SUCCESSION_SECONDS
        self.workers: dict[WorkerId, Worker] = {}
        self.ledger = RosterLedger(roster or Roster())
        self.is_succeeded = False
        self.unanswered: list[Run] = []
        self.submissions: dict[SubmissionId, SubmissionProgress] = {}
        self.outcomes: dict[SubmissionId, SubmissionState] = {}
        self.speed = speed or SlowInARow()
        self.next_speed_check_at = 0.0
        self.is_schedule_due = True

    # State as callers see it.

    def describe(self, submission: SubmissionId) -> SubmissionState | None:
        """Return the state of a submission, or None if it isn't known here.

        One whose tasks have ended is shown so only once that is stored. Its workers keep the ends
        until then, but a worker may leave and all instances be lost while the store is away: the
        task runs again, after its caller was told that it was done.
        """
        state = self.outcomes.get(submission)
        if state is not None:
            return state
        entry = self.submissions.get(submission)
        return entry.state if entry is not None else None

    def count_pending(self) -> dict[str, int]:
        """Return, by queue, how many accepted submissions have not begun."""
        counts: dict[str, int] = {}
        for entry in self.submissions.values():
            if entry.state is SubmissionState.QUEUED:
                name = entry.submission.queue.name
                counts[name] = counts.get(name, 0) + 1
        return counts

    def find_token(self, worker_id: WorkerId) -> OrderToken:
        """Return the token of orders to the present life of a worker."""
        worker = self.workers.get(worker_id)
        return compute_order_token(self.fencing, worker.lives if worker is not None else 0)

    def list_workers(self) -> list[Worker]:
        """Return all workers."""
        return list(self.workers.values())

    # Reducer.

    def reduce(self, event: Event) -> list[Effect]:
        """Change the state by an event and return what has to be done."""
        return _HANDLERS[type(event)](self, event)

    def handle_submission(self, event: SubmissionSeen) -> list[Effect]:
        """Enter a submission; one that is known already changes nothing."""
        submission = event.submission
        if submission.id in self.submissions or submission.id in self.outcomes:
            return []
        entry = SubmissionProgress(
            submission, event.revision, event.now - max(0.0, event.age), self.first_number
        )
        if event.progress is not None:
            entry.import_progress(event.progress)
        self.submissions[submission.id] = entry
        self.is_schedule_due = True
        effects: list[Effect] = [
            LogDecision(
                decision="submission-queued",
                fields={
                    "submission": submission.id,
                    "queue": submission.queue.name,
                    "revision": event.revision,
                    "age": round(event.age, 3),
                    "steps": len(submission.steps),
                },
            )
        ]
        effects += self._adopt_unknown(submission.id, event.now)
        if entry.is_done:
            effects += self._end(entry, SubmissionState.COMPLETED)
        return effects

    def handle_outcome(self, event: OutcomeSeen) -> list[Effect]:
        """Take note of a final state in the store, and stop what still runs."""
        self._keep_outcome(event.submission, event.outcome.state)
        entry = self.submissions.pop(event.submission, None)
        if entry is None:
            return []
        self.is_schedule_due = True
        effects: list[Effect] = [
            LogDecision(
                decision="submission-ended",
                fields={
                    "submission": event.submission,
                    "state": event.outcome.state.value,
                    "seconds": round(event.now - entry.arrived_at, 3),
                    "queue": entry.submission.queue.name,
                    "objective": round(
                        max(step.objective_at for step in entry.steps.values()) - entry.arrived_at,
                        3,
                    ),
                },
            )
        ]
        if event.outcome.state is SubmissionState.COMPLETED:
            return effects  # what is left of its gangs ends by itself
        for step in entry.steps.values():
            for runs in list(step.runs.values()):
                for run in list(runs):
                    effects += self._stop(run, event.now)
        return effects

    def handle_workers(self, event: WorkersListed) -> list[Effect]:
        """Follow the platform's list: new workers, changed ones, and those that left it."""
        effects: list[Effect] = []
        listed = {listing.id: listing for listing in event.workers}
        for worker_id, listing in listed.items():
            worker = self.workers.get(worker_id)
            if worker is None:
                worker = Worker(listing, self.takeover_bound)
                worker.is_enrolled = self.ledger.is_enrolled(worker_id)
                self.workers[worker_id] = worker
                effects.append(FollowWorker(worker=worker_id))
                effects.append(_log_worker("worker-listed", worker))
            elif listing.born > worker.listing.born:
                effects.append(_log_worker("worker-reborn", worker))
                effects += self._begin_new_life(worker, event.now)
                worker.listing = listing
            else:
                if listing.state is not worker.listing.state:
                    effects.append(_log_worker(f"worker-{listing.state.value}", worker))
                worker.listing = listing
            worker.is_listed = True
        for worker in self.workers.values():
            if worker.id not in listed and worker.is_listed:
                worker.is_listed = False
                effects.append(_log_worker("worker-unlisted", worker))
        effects += self._update_roster()
        self.is_schedule_due = True
        return effects

    def handle_roster(self, event: RosterStored) -> list[Effect]:
        """Take note of the workers that the store names; these may be given runs."""
        self.ledger.note_stored(event.roster)
        self.is_schedule_due = True
        return self._update_roster()

    def handle_report(self, event: ReportArrived) -> list[Effect]:
        """Take over what a worker says of its runs."""
        worker = self.workers.get(event.worker)
        if worker is None:
            return []
        effects: list[Effect] = []
        if event.report.born != worker.listing.born:
            if event.report.born < worker.listing.born:
                return []  # a former life's answer, overtaken by the list
            effects.append(_log_worker("worker-reborn", worker))
            effects += self._begin_new_life(worker, event.now)
            worker.listing = msgspec.structs.replace(worker.listing, born=event.report.born)
        worker.last_answer = event.now
        was_usable, worker.silences = worker.is_usable(), 0
        worker.lease_bound = compute_lease_bound(event.now, self.parameters.lease_seconds)
        if not worker.is_reached:
            worker.is_reached = True
            self.ledger.unreached.discard(worker.id)
            self.is_schedule_due = True
            effects.append(_log_worker("worker-reached", worker))
            effects += self._update_roster()
        elif worker.is_usable() != was_usable:
            effects += self._update_roster()
        effects += self._take_ends(worker, event.report.ended, event.now)
        effects += self._compare_runs(worker, event)
        return effects

    def handle_silence(self, event: HoldUnanswered) -> list[Effect]:
        """Follow a hold without a report; past its leases, nothing runs at the worker."""
        worker = self.workers.get(event.worker)
        if worker is None:
            return []
        if event.is_fenced and event.token == self.find_token(worker.id):
            return [StepDown(worker=worker.id)]
        effects: list[Effect] = []
        was_usable = worker.is_usable()
        worker.silences += 1
        if worker.is_usable() != was_usable:
            effects += self._update_roster()
        worker.blocked_until = max(worker.blocked_until, event.now + REFUSAL_PAUSE_SECONDS)
        has_lapsed = event.now > worker.lease_bound
        if event.is_other_boot or has_lapsed:
            if worker.runs or not worker.is_reached:
                effects.append(
                    _log_worker(
                        "worker-lost", worker, other_boot=event.is_other_boot, lapsed=has_lapsed
                    )
                )
                effects += self._reset_worker(worker, event.now)
                worker.is_reached = True  # nothing of an earlier owner is left here
                worker.last_answer = 0.0
                self.ledger.unreached.discard(worker.id)
                self.is_schedule_due = True
            if not worker.is_listed:
                del self.workers[worker.id]
                effects.append(LeaveWorker(worker=worker.id))
                effects += self._update_roster()
        return effects

    def handle_start_answer(self, event: StartAnswered) -> list[Effect]:
        """Follow the answer to a start order."""
        worker = self.workers.get(event.worker)
        run = worker.runs.get((event.task, event.number)) if worker is not None else None
        if worker is None or run is None:
            return []
        is_for_this_life = run.order is not None and run.order.token == self.find_token(worker.id)
        is_fenced = event.outcome is StartOutcome.FENCED and is_for_this_life
        if run.state is RunState.STOPPING and not is_fenced:
            return []  # the stop's answer decides
        run.is_in_flight = False
        if event.outcome is StartOutcome.STARTED:
            run.acknowledged_at = event.now
            run.state = RunState.RUNNING
            entry = self.submissions.get(event.task.submission)
            if entry is not None:
                entry.state = SubmissionState.RUNNING
            return []
        effects: list[Effect] = [
            LogDecision(
                decision="start-not-done",
                fields={
                    "task": str(event.task),
                    "run": event.number,
                    "worker": event.worker,
                    "outcome": event.outcome.value,
                    "tries": run.tries,
                },
            )
        ]
        if is_fenced:
            effects.append(StepDown(worker=worker.id))
        elif event.outcome is StartOutcome.UNKNOWN or (
            event.outcome is StartOutcome.NOT_SENT and run.tries > 1
        ):
            run.has_lost_try = True
            self._repeat_later(run, event.now)
            worker.blocked_until = event.now + ORDER_RETRY_SECONDS
            if run.tries >= START_TRIES and run.state is RunState.STARTING:
                effects += self._stop(run, event.now)
        elif event.outcome is StartOutcome.OTHER_BOOT:
            effects += self.handle_silence(
                HoldUnanswered(
                    now=event.now,
                    worker=worker.id,
                    token=self.find_token(worker.id),
                    is_other_boot=True,
                )
            )
        elif event.outcome is StartOutcome.SUPERSEDED:
            run.acknowledged_at = event.now  # its end is in one of the next reports
        elif run.tries == 1:
            if event.outcome is not StartOutcome.TICKET_REFUSED:
                worker.blocked_until = event.now + REFUSAL_PAUSE_SECONDS
            if event.outcome is StartOutcome.TICKET_REFUSED:
                step = self._find_step(event.task.step_id)
                if step is not None and worker.id in step.allowed:
                    step.allowed[worker.id].expires_at = 0.0
            effects += self._release(run, event.now)
        else:
            # A later try was refused, but an earlier one may still be carried out.
            effects += self._stop(run, event.now)
        return effects

    def handle_stop_answer(self, event: StopAnswered) -> list[Effect]:
        """Follow the answer to a stop order; the room is free once the end is listed."""
        worker = self.workers.get(event.worker)
        run = worker.runs.get((event.task, event.number)) if worker is not None else None
        if worker is None or run is None or event.token != self.find_token(worker.id):
            return []
        run.is_in_flight = False
        if event.is_done is None:
            self._repeat_later(run, event.now)
        elif event.is_done:
            run.acknowledged_at = event.now
        else:
            return [StepDown(worker=worker.id)]
        return []

    def handle_advice(self, event: AdviceArrived) -> list[Effect]:
        """Keep the tickets of a step."""
        step = self._find_step(event.step)
        if step is None:
            return []
        self.scheduler.advice.take_answer(self.submissions[event.step.submission], step, event)
        self.is_schedule_due = True
        return []

    def handle_stored(self, event: ProgressStored) -> list[Effect]:
        """Let workers forget the ends that the store covers."""
        for worker_id, mark in event.seen.items():
            worker = self.workers.get(worker_id)
            if worker is not None and worker.listing.born == mark.born:
                worker.seen = max(worker.seen, min(mark.sequence, worker.processed))
        return []

    def handle_succession(self, event: PredecessorEnded) -> list[Effect]:
        """Place submissions that are newer than the takeover without waiting any more."""
        self.succession_bound = min(self.succession_bound, event.now)
        self.is_schedule_due = True
        return []

    def handle_tick(self, event: Ticked) -> list[Effect]:
        """Send orders again that got no answer, and place what waits."""
        effects = self._follow_succession(event.now)
        waiting, self.unanswered = self.unanswered, []
        for run in waiting:
            effects += self._repeat_order(run, event.now)
        if event.now >= self.next_speed_check_at:
            self.next_speed_check_at = event.now + SPEED_CHECK_SECONDS
            effects += self._check_speed(event.now)
        effects += self.scheduler.schedule(
            self.submissions.values(),
            self.workers.values(),
            self._find_clear_revision(),
            event.now,
        )
        self.is_schedule_due = False
        return effects

    def _follow_succession(self, now: float) -> list[Effect]:
        """Take note of the moments by which orders and leases of earlier owners are over."""
        if self.ledger.unreached and now > self.takeover_bound:
            self.ledger.unreached.clear()
            return self._update_roster()
        if not self.is_succeeded and now >= self.succession_bound:
            self.is_succeeded = True
            return self._update_roster()
        return []

    def _find_clear_revision(self) -> float:
        """Return the revision after which submissions have no runs of earlier owners."""
        revision = self.ledger.find_clear_revision()
        return min(revision, self.owner_revision) if self.is_succeeded else revision

    def _check_speed(self, now: float) -> list[Effect]:
        """Put slow workers on trial, and move work with checkpoints off them."""
        effects: list[Effect] = []
        left = max(1, int(len(self.workers) * MOST_ON_TRIAL_SHARE))
        for worker in self.workers.values():
            if not self.speed.is_suspect(worker, now) or left <= 0:
                continue
            left -= 1
            overdue = find_overdue(worker, now)
            if not worker.is_on_trial:
                worker.is_on_trial = True
                effects.append(_log_worker("worker-slow", worker, overdue=len(overdue)))
            for run in overdue:
                step = self._find_step(run.task.step_id)
                if step is not None and step.spec.has_checkpoints:
                    step.avoid(run.task.index, worker.id)
                    effects += self._stop(run, now)
        return effects

    # Runs.

    def _repeat_later(self, run: Run, now: float) -> None:
        run.next_try_at = now + ORDER_RETRY_SECONDS
        self.unanswered.append(run)

    def _repeat_order(self, run: Run, now: float) -> list[Effect]:
        worker = self.workers.get(run.worker)
        is_current = worker is not None and worker.runs.get((run.task, run.number)) is run
        if run.is_in_flight or run.acknowledged_at is not None or not is_current:
            return []
        if now < run.next_try_at:
            self.unanswered.append(run)
            return []
        run.is_in_flight = True
        run.tries += 1
        if run.state is RunState.STOPPING:
            return [self._make_stop(run)]
        if run.state is RunState.STARTING and run.order is not None:
            return [SendStart(order=run.order)]
        return []

    def _stop(self, run: Run, now: float) -> list[Effect]:
        if run.state is RunState.STOPPING:
            return []
        run.state = RunState.STOPPING
        run.acknowledged_at = None
        run.tries = 1
        run.is_in_flight = True
        return [self._make_stop(run)]

    def _make_stop(self, run: Run) -> SendStop:
        return SendStop(
            worker=run.worker,
            task=run.task,
            number=run.number,
            token=self.find_token(run.worker),
        )

    def _release(self, run: Run, now: float) -> list[Effect]:
        """Remove a run that is certain to have ended, or never to begin."""
        worker = self.workers.get(run.worker)
        if worker is not None:
            worker.remove_run(run)
        self.is_schedule_due = True
        step = self._find_step(run.task.step_id)
        if step is None:
            return []
        step.remove_run(run)
        if not step.spec.is_gang or step.is_done:
            return []
        effects: list[Effect] = []
        for runs in list(step.runs.values()):
            for other in runs:
                effects += self._stop(other, now)
        return effects

    def _take_end(self, worker: Worker, end: ListedEnd, now: float) -> list[Effect]:
        run = worker.runs.get((end.task, end.number))
        step = self._find_step(end.task.step_id)
        effects: list[Effect] = [
            LogDecision(
                decision="run-ended",
                fields={
                    "task": str(end.task),
                    "run": end.number,
                    "worker": worker.id,
                    "outcome": end.outcome.value,
                    "end": end.sequence,
                    "seconds": round(now - run.ordered_at, 3) if run is not None else None,
                },
            )
        ]
        if step is not None:
            step.last_number = RunNumber(max(step.last_number, end.number))
            step.note_checkpoint(end.task.index, end.checkpoint)
            if end.outcome is RunOutcome.FAILED:
                step.avoid(end.task.index, worker.id)
                effects += self._note_trouble(worker, end.task, now)
            elif end.outcome is RunOutcome.DONE:
                worker.troubled.clear()
            effects += self._count_end(step, end, now)
        if run is not None:
            if end.outcome in (RunOutcome.DONE, RunOutcome.FAILED):
                self.speed.note_end(worker, run, now)
            effects += self._release(run, now)
        return effects

    def _take_ends(self, worker: Worker, ends: Sequence[ListedEnd], now: float) -> list[Effect]:
        """Take listed ends into the state, up to the first whose submission isn't known."""
        effects: list[Effect] = []
        worker.early_ends = ()
        for position, end in enumerate(ends):
            if end.sequence <= worker.processed:
                continue
            if self._is_early(worker, end, now):
                worker.early_ends = tuple(ends[position:])
                break
            worker.processed = end.sequence
            effects += self._take_end(worker, end, now)
        return effects

    def _is_early(self, worker: Worker, end: ListedEnd, now: float) -> bool:
        """Return whether an end has to wait until its submission is known here.

        A former owner may have started what was stored after the takeover; its end would be
        forgotten without being stored.
        """
        submission = end.task.submission
        if submission in self.submissions or submission in self.outcomes:
            worker.early_since = None
            return False
        if worker.early_since is None:
            worker.early_since = now
        if now - worker.early_since < EARLY_END_SECONDS:
            return True
        worker.early_since = None  # its rows have been removed
        return False

    def _note_trouble(self, worker: Worker, task: TaskKey, now: float) -> list[Effect]:
        if not worker.note_trouble(task.submission, now):
            return []
        return [_log_worker("worker-set-aside", worker, until=round(worker.blocked_until, 3))]

    def _count_end(self, step: StepProgress, end: ListedEnd, now: float) -> list[Effect]:
        entry = self.submissions[end.task.submission]
        if end.outcome is RunOutcome.DONE and not step.spec.is_service:
            if not step.mark_done(end.task.index):
                return []
            self.is_schedule_due = True
            effects: list[Effect] = []
            for run in list(step.runs.get(end.task.index, ())):
                if run.number != end.number or run.task != end.task:
                    effects += self._stop(run, now)  # a copy that is not needed any more
            if entry.is_done:
                return effects + self._end(entry, SubmissionState.COMPLETED)
            return [*effects, SaveProgress(submission=entry.submission.id)]
        if end.outcome is RunOutcome.FAILED and not step.spec.is_service:
            failures = step.count_failure(end.task.index, end.number)
            if failures >= entry.submission.queue.most_attempts:
                return self._end(entry, SubmissionState.FAILED)
            return [SaveProgress(submission=entry.submission.id)]
        return []

    def _end(self, entry: SubmissionProgress, state: SubmissionState) -> list[Effect]:
        """Ask for the final state to be stored; it counts once it is."""
        if entry.is_ending:
            return []
        entry.is_ending = True
        entry.state = SubmissionState.RUNNING
        return [
            SaveProgress(submission=entry.submission.id),
            LogDecision(
                decision="submission-ending",
                fields={"submission": entry.submission.id, "state": state.value},
            ),
        ]

    def find_final_state(self, entry: SubmissionProgress) -> SubmissionState | None:
        """Return the final state that a submission has reached, or None."""
        if not entry.is_ending:
            return None
        return SubmissionState.COMPLETED if entry.is_done else SubmissionState.FAILED

    def _compare_runs(self, worker: Worker, event: ReportArrived) -> list[Effect]:
        effects: list[Effect] = []
        listed: set[tuple[TaskKey, RunNumber]] = set()
        worker.unknown_runs.clear()
        for item in event.report.running:
            key = (item.task, item.number)
            listed.add(key)
            run = worker.runs.get(key)
            if run is None:
                effects += self._adopt(worker, item, event.now)
                continue
            if item.checkpoint and item.checkpoint != run.checkpoint:
                run.checkpoint = item.checkpoint
                step = self._find_step(item.task.step_id)
                if step is not None:
                    step.note_checkpoint(item.task.index, item.checkpoint)
            if run.state is RunState.STARTING:
                run.state = RunState.RUNNING
                run.acknowledged_at = event.now
        for key, run in list(worker.runs.items()):
            if key not in listed and self._has_vanished(run, event.sent_at):
                effects.append(
                    LogDecision(
                        decision="run-vanished",
                        fields={
                            "task": str(run.task),
                            "run": run.number,
                            "worker": worker.id,
                            "state": run.state.value,
                        },
                    )
                )
                effects += self._release(run, event.now)
        return effects

    def _has_vanished(self, run: Run, sent_at: float) -> bool:
        """Return whether a report requested at `sent_at` would list the run if it were there."""
        if run.is_in_flight or run.acknowledged_at is None:
            return False
        settling = self.parameters.stop_seconds if run.state is RunState.STOPPING else 0.0
        return run.acknowledged_at + settling * CLOCK_DRIFT < sent_at

    def _adopt(self, worker: Worker, item: ListedRun, now: float) -> list[Effect]:
        """Enter a run that an earlier owner started, or stop one that isn't wanted."""
        entry = self.submissions.get(item.task.submission)
        if entry is None and item.task.submission not in self.outcomes:
            worker.unknown_runs[item.task] = item
            return []
        step = self._find_step(item.task.step_id)
        run = Run(
            task=item.task,
            number=item.number,
            worker=worker.id,
            resources=step.spec.resources if step is not None else Resources(),
            is_filler=step.spec.is_filler if step is not None else False,
            has_unknown_size=step is None,
            state=RunState.RUNNING,
            ordered_at=now,
            expected_end=now + (step.spec.estimate_seconds if step is not None else 0.0),
            acknowledged_at=now,
            checkpoint=item.checkpoint,
        )
        worker.add_run(run)
        if step is None or entry is None:
            return self._stop(run, now)
        entry.state = SubmissionState.RUNNING
        step.note_checkpoint(item.task.index, item.checkpoint)
        others = step.runs.get(item.task.index, [])
        is_needed = item.task.index not in step.done and (not others or step.spec.allows_copies)
        if step.spec.is_gang:
            numbers = {run.number for runs in step.runs.values() for run in runs}
            is_needed = is_needed and numbers <= {item.number}
        step.add_run(run)
        effects: list[Effect] = [
            LogDecision(
                decision="run-adopted",
                fields={
                    "task": str(item.task),
                    "run": item.number,
                    "worker": worker.id,
                    "needed": is_needed,
                },
            )
        ]
        if not is_needed:
            effects += self._stop(run, now)
        return effects

    def _adopt_unknown(self, submission: SubmissionId, now: float) -> list[Effect]:
        """Enter the listed runs and ends of a submission that has only now been learnt."""
        effects: list[Effect] = []
        for worker in self.workers.values():
            if worker.early_ends:
                effects += self._take_ends(worker, worker.early_ends, now)
            for task in [t for t in worker.unknown_runs if t.submission == submission]:
                effects += self._adopt(worker, worker.unknown_runs.pop(task), now)
        return effects

    def _begin_new_life(self, worker: Worker, now: float) -> list[Effect]:
        """Follow a restart under the same id.

        What ran has ended. A start without an answer may still reach the new life, which knows
        of no stops: it is stopped there before its task may run again.
        """
        worker.lives += 1
        worker.slow.clear()
        worker.is_on_trial = False
        doubtful = [
            run
            for run in worker.runs.values()
            if run.has_lost_try
            or (run.acknowledged_at is None and run.state is not RunState.RUNNING)
        ]
        effects: list[Effect] = []
        for run in list(worker.runs.values()):
            if run not in doubtful:
                effects += self._release(run, now)
        for run in doubtful:
            run.state = RunState.RUNNING  # a stop to the former life counts for nothing
            effects += self._stop(run, now)
        worker.processed = 0
        worker.seen = 0
        worker.early_ends = ()
        worker.unknown_runs.clear()
        return effects

    def _reset_worker(self, worker: Worker, now: float) -> list[Effect]:
        """Forget everything about a worker that has ended, or whose leases have lapsed."""
        effects: list[Effect] = []
        for run in list(worker.runs.values()):
            effects += self._release(run, now)
        worker.processed = 0
        worker.seen = 0
        worker.early_ends = ()
        worker.unknown_runs.clear()
        return effects

    def _update_roster(self) -> list[Effect]:
        """Close workers at once, and ask for the roster to be stored when it has changed."""
        wanted = self.ledger.request(self.workers.values(), is_succeeded=self.is_succeeded)
        for worker in self.workers.values():
            worker.is_enrolled = self.ledger.is_enrolled(worker.id)
        return [] if wanted is None else [SaveRoster(roster=wanted)]

    def _keep_outcome(self, submission: SubmissionId, state: SubmissionState) -> None:
        self.outcomes[submission] = state
        if len(self.outcomes) > KEEP_OUTCOMES:
            self.outcomes.pop(next(iter(self.outcomes)))

    def _find_step(self, step_id: StepId) -> StepProgress | None:
        entry = self.submissions.get(step_id.submission)
        if entry is None:
            return None
        return entry.steps.get((step_id.occurrence, step_id.step))


def _log_worker(decision: str, worker: Worker, **fields: object) -> LogDecision:
    return LogDecision(
        decision=decision,
        fields={
            "worker": worker.id,
            "address": worker.listing.address,
            "state": worker.listing.state.value,
            "born": worker.listing.born,
            "runs": len(worker.runs),
            **fields,
        },
    )


_HANDLERS: dict[type[Event], Callable[[Cell, Event], list[Effect]]] = {
    SubmissionSeen: Cell.handle_submission,  # type: ignore[dict-item]
    OutcomeSeen: Cell.handle_outcome,  # type: ignore[dict-item]
    WorkersListed: Cell.handle_workers,  # type: ignore[dict-item]
    RosterStored: Cell.handle_roster,  # type: ignore[dict-item]
    ReportArrived: Cell.handle_report,  # type: ignore[dict-item]
    HoldUnanswered: Cell.handle_silence,  # type: ignore[dict-item]
    StartAnswered: Cell.handle_start_answer,  # type: ignore[dict-item]
    StopAnswered: Cell.handle_stop_answer,  # type: ignore[dict-item]
    AdviceArrived: Cell.handle_advice,  # type: ignore[dict-item]
    ProgressStored: Cell.handle_stored,  # type: ignore[dict-item]
    PredecessorEnded: Cell.handle_succession,  # type: ignore[dict-item]
    Ticked: Cell.handle_tick,  # type: ignore[dict-item]
}
