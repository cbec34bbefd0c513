"""Placement pass: which waiting tasks start, and on which workers."""

from __future__ import annotations

import dataclasses
import traceback
from collections.abc import Collection, Iterable, Sequence

from ..core.identifiers import ServiceName
from .advising import AdvicePlanner
from .avoidance import AvoidedWorkers
from .effects import Effect, LogDecision, SendStart, StepDown, StepDownReason, StoreProgress
from .gang_workers import GangWorkers
from .isolation import SuspectPlacer
from .log_lines import log_run
from .model import FencingToken, RunNumber, RunState, StartCommand, StepId, TicketId
from .pass_limits import AdviceLimit, ExhaustedNeeds
from .pass_size import PassSize
from .placement import (
    BestFit,
    LearntSpeeds,
    PlacementPolicy,
    SpreadServices,
    choose_gang,
    choose_worker,
    estimate_end,
    list_workers_with_room,
)
from .quotas import Quotas
from .ranking import StepRanking
from .reservations import GangPlan, plan_gang, reserve
from .reserved_workers import ReservedWorkers
from .shares import ShareRanking
from .speeds import SpeedLearner
from .start_log import StartLog
from .starvation import Candidate, StarvationGuard
from .step_progress import StepProgress
from .submissions import SubmissionProgress
from .waiting_steps import WaitingSteps
from .worker_totals import WorkerTotals
from .workers import Worker, compute_command_token, is_run_number_of, make_run

MAX_RESERVED_SHARE = 0.5  # of the schedulable workers' processors, for all gangs at a time
PLACEMENT_RETRY_SECONDS = 5.0  # after an unexpected error
MAX_TRACE_ENTRIES = 4


@dataclasses.dataclass(slots=True)
class _Pass:
    """One placement pass.

    Attributes
    ----------
    schedulable : sequence of Worker
    roomy : sequence of Worker
        Of these, those that may have room for a task that isn't part of a gang.
    left_to_reserve : float
        Processors that gangs may still reserve.
    advice_limit : AdviceLimit
    exhausted : ExhaustedNeeds
    tried : int
        Steps for which workers were searched.
    settled : set of StepId
        Steps that aren't tried again: gangs that don't fit now, and others that choose among all
        workers and have had their turn.
    """

    schedulable: Sequence[Worker]
    roomy: Sequence[Worker]
    left_to_reserve: float
    advice_limit: AdviceLimit
    exhausted: ExhaustedNeeds = dataclasses.field(default_factory=ExhaustedNeeds)
    tried: int = 0
    settled: set[StepId] = dataclasses.field(default_factory=set)


class Scheduler:
    """Places the tasks of one owner.

    Parameters
    ----------
    fencing : FencingToken
    ranking : StepRanking
    policy : PlacementPolicy or None
        None for the product's own.
    advice : AdvicePlanner
    """

    def __init__(
        self,
        fencing: FencingToken,
        ranking: StepRanking,
        policy: PlacementPolicy | None,
        advice: AdvicePlanner,
    ) -> None:
        self.advice = advice
        self.start_log = StartLog()
        self._gang_workers = GangWorkers()
        self._avoided_workers = AvoidedWorkers()
        self.quotas = Quotas()
        self.suspects = SuspectPlacer(self.quotas)
        self._starvation = StarvationGuard()
        self._reserved_workers = ReservedWorkers()
        self._waiting_steps = WaitingSteps(self._gang_workers, self.quotas)
        # In one placement pass, by the list that was searched.
        self._workers_of_services: dict[tuple[int, str], list[Worker]] = {}
        self._fencing = fencing
        self._ranking = ShareRanking(ranking, self.quotas)
        self.speeds = SpeedLearner()
        self._policy = policy or SpreadServices(LearntSpeeds(BestFit(), self.speeds))
        self._pass_size = PassSize()

    def get_pass_size(self) -> PassSize:
        """Return how much the last placement pass has handled."""
        return self._pass_size

    def schedule(
        self,
        submissions: Collection[SubmissionProgress],
        workers: Collection[Worker],
        blocked_through_revision: float,
        now: float,
    ) -> list[Effect]:
        """Place the tasks of ready steps, in the order of the ranking.

        Parameters
        ----------
        submissions : collection of SubmissionProgress
        workers : collection of Worker
        blocked_through_revision : float
            Submissions up to this revision of the store, and those whose revision isn't known, may
            have runs at unreached workers; 0 if none has.
        now : float
        """
        self._workers_of_services.clear()
        self.quotas.begin_pass(submissions, workers, blocked_through_revision, now)
        self._ranking.begin_pass(submissions, workers)
        candidates, effects = self._rank_steps(submissions, workers, blocked_through_revision, now)
        schedulable_workers = [worker for worker in workers if worker.is_schedulable(now)]
        self.suspects.begin_pass(workers, now)
        self._reserved_workers.begin_pass(schedulable_workers)
        effects += self._send_planned_starts(now)
        placement_pass = _Pass(
            schedulable_workers,
            list_workers_with_room(
                schedulable_workers,
                [step.spec for _, _, step in candidates if not step.spec.is_gang],
            ),
            left_to_reserve=MAX_RESERVED_SHARE
            * sum(worker.listing.capacity.processors for worker in schedulable_workers),
            advice_limit=AdviceLimit(_sum_by_service(schedulable_workers)),
        )
        turn = self._starvation.choose_turn(candidates, schedulable_workers, now)
        for candidate in turn:
            effects += self._try_step(candidate, placement_pass, workers, now, is_turn=True)
        for candidate in candidates:
            effects += self._try_step(candidate, placement_pass, workers, now)
        for worker in schedulable_workers:
            worker.clear_reservation()
        self._workers_of_services.clear()
        self.suspects.end_pass()
        self._reserved_workers.end_pass()
        self._avoided_workers.end_pass()
        effects += self.quotas.end_pass(now)
        self._pass_size = PassSize(
            ranked=len(candidates),
            tried=placement_pass.tried,
            advice_waiting=sum(step.is_advice_pending for _, _, step in candidates),
            promoted=len(turn),
        )
        return effects + self._waiting_steps.review(
            submissions, workers, blocked_through_revision, now
        )

    def _rank_steps(
        self,
        submissions: Collection[SubmissionProgress],
        workers: Collection[Worker],
        blocked_through_revision: float,
        now: float,
    ) -> tuple[list[Candidate], list[Effect]]:
        """Return the ready steps with waiting tasks in the order of the ranking, and log lines."""
        effects: list[Effect] = []
        candidates: list[Candidate] = []
        for entry in submissions:
            if entry.is_finalizing or now < entry.blocked_until:
                continue
            if entry.is_blocked_through(blocked_through_revision):
                continue
            entry.steps.update(now)
            for step in entry.steps.values():
                if not (step.waiting or step.copies) or not entry.is_ready(step, now):
                    continue
                try:
                    candidates.append((self._ranking.rank(entry, step, now), entry, step))
                except Exception as error:
                    effects.append(self._block(entry, step, workers, error, now))
                    break
        candidates.sort(key=lambda candidate: candidate[0])
        return candidates, effects

    def _try_step(
        self,
        candidate: Candidate,
        placement_pass: _Pass,
        workers: Collection[Worker],
        now: float,
        *,
        is_turn: bool = False,
    ) -> list[Effect]:
        """Place tasks of one step, and reserve capacity for a gang that doesn't fit.

        In a turn, the step goes before those of better rank, with a part of its tasks.
        """
        rank, entry, step = candidate
        max_starts = self._starvation.count_allowed(step) if is_turn else step.spec.count
        service = entry.submission.queue.service
        is_over = step.id in placement_pass.settled or now < entry.blocked_until
        if is_over or max_starts == 0 or placement_pass.exhausted.includes(service, step):
            return []
        former_runs = step.list_all_runs() if is_turn else []
        try:
            if not self.quotas.may_start(entry, step, now):
                return []
            placement_pass.tried += 1
            needs_all = step.spec.is_gang or step.crash_histories or step.avoided
            placed_on = placement_pass.schedulable if needs_all else placement_pass.roomy
            if is_turn and needs_all:
                placement_pass.settled.add(step.id)
            effects = self._place_step(
                entry, step, placed_on, rank, now, max_starts, placement_pass.advice_limit
            )
            if step.waiting:
                placement_pass.exhausted.record(service, step, placement_pass.roomy)
            if step.spec.is_gang and step.waiting:
                placement_pass.settled.add(step.id)
                is_next = placement_pass.left_to_reserve > 0
                step.plan = (
                    self._plan(entry, step, placement_pass.schedulable, now) if is_next else None
                )
                if step.plan is not None:
                    placement_pass.left_to_reserve -= reserve(
                        step.plan, step.spec, placement_pass.schedulable
                    )
        except Exception as error:
            return [self._block(entry, step, workers, error, now)]
        if is_turn:
            self._starvation.record_turn(step, former_runs)
        return effects

    def gives_way(self, entry: SubmissionProgress, step: StepProgress, now: float) -> bool:
        """Return whether a new submission of another organisation would be placed before a step."""
        return self._ranking.is_excess(entry, step, now) or self.quotas.is_held(entry, step)

    def _block(
        self,
        entry: SubmissionProgress,
        step: StepProgress,
        workers: Iterable[Worker],
        error: Exception,
        now: float,
    ) -> LogDecision:
        """Leave a submission alone for a while whose placement has failed with an error.

        Otherwise it would end this owner, and then one after the other. What was placed in this
        pass is undone, as its commands are lost with the error.
        """
        entry.blocked_until = now + PLACEMENT_RETRY_SECONDS
        for worker in workers:
            for run in list(worker.runs.values()):
                is_of_this_pass = run.commanded_at == now and run.acknowledged_at is None
                if run.task.step_id == step.id and is_of_this_pass:
                    worker.remove_run(run)
                    step.remove_run(run)
                    self.start_log.withdraw(run)
        return LogDecision(
            decision="placement-failed",
            fields={
                "submission": entry.submission.id,
                "step": str(step.id),
                "error": type(error).__name__,
                "trace": traceback.format_exception(error)[-MAX_TRACE_ENTRIES:],
            },
        )

    def _send_planned_starts(self, now: float) -> list[Effect]:
        """Start the suspects whose run numbers are stored."""
        effects: list[Effect] = []
        for run in self.suspects.pop_startable(now):
            assert run.command is not None
            waited = round(now - run.commanded_at, 3)
            effects.append(
                log_run("planned-start-sent", run.task, run.number, run.worker, waited=waited)
            )
            run.begin_start(now)
            self.start_log.add(run.command, run.incarnation)
            effects.append(SendStart(command=run.command))
        return effects

    def _plan(
        self,
        entry: SubmissionProgress,
        step: StepProgress,
        workers: Sequence[Worker],
        now: float,
    ) -> GangPlan | None:
        """Return where capacity is reserved for a gang in this pass."""
        if step.plan is not None and step.plan.is_current(now):
            return step.plan
        eligible = self._find_eligible(entry, step, workers, now)
        if entry.submission.queue.advice is not None:
            eligible = [worker for worker in eligible if worker.id in step.allowed]
        return plan_gang(step.spec, eligible, now)

    def _find_eligible(
        self,
        entry: SubmissionProgress,
        step: StepProgress,
        workers: Iterable[Worker],
        now: float,
    ) -> list[Worker]:
        """Return the workers that may run a step, with or without free capacity and a ticket."""
        service = entry.submission.queue.service
        eligible = self._workers_of_services.get((id(workers), service))
        if eligible is None:
            eligible = [worker for worker in workers if worker.listing.service == service]
            self._workers_of_services[id(workers), service] = eligible
        # As `is_eligible`, without a call for each of hundreds of workers.
        label, refused = step.spec.placement.label, step.refused
        if label:
            eligible = [worker for worker in eligible if label in worker.listing.labels]
        if refused:
            eligible = [worker for worker in eligible if worker.id not in refused]
        return self._gang_workers.select(step, eligible, now) if step.spec.is_gang else eligible

    def _place_step(
        self,
        entry: SubmissionProgress,
        step: StepProgress,
        schedulable_workers: Sequence[Worker],
        rank: tuple[float, ...],
        now: float,
        max_starts: int,
        advice_limit: AdviceLimit,
    ) -> list[Effect]:
        self._policy.begin_step(entry, step, now)
        eligible = self._find_eligible(entry, step, schedulable_workers, now)
        if entry.submission.queue.advice is None:
            usable = eligible
        else:
            usable = [
                worker
                for worker in eligible
                if worker.id in step.allowed and step.allowed[worker.id].is_valid(worker, now)
            ]
        ends_at = self._reserved_workers.compute_end(entry, step, eligible, now)
        if step.spec.is_gang:
            effects = self._place_gang(entry, step, usable, ends_at, now)
        else:
            effects = self._place_tasks(entry, step, usable, ends_at, now, max_starts)
            effects += self._place_copies(entry, step, usable, now)
        if (step.waiting or step.copies) and entry.submission.queue.advice is not None:
            service = entry.submission.queue.service
            if advice_limit.allows(service, step):
                effects += self.advice.request_advice(
                    entry, step, eligible, rank, ends_at, now, self._policy.compute_penalty
                )
            if step.is_advice_pending:
                advice_limit.record(service, step)
        return effects

    def _place_tasks(
        self,
        entry: SubmissionProgress,
        step: StepProgress,
        usable: Sequence[Worker],
        ends_at: float,
        now: float,
        max_starts: int,
    ) -> list[Effect]:
        effects: list[Effect] = []
        for index in step.waiting[:max_starts]:
            if not self.quotas.may_start(entry, step, now):
                break
            if step.is_suspect(index):
                effects += self._place_suspect(entry, step, index, usable, now)
                continue
            if index in step.avoided:
                worker = self._avoided_workers.choose_worker(
                    self._policy, step, index, usable, ends_at, now
                )
            else:
                worker = choose_worker(self._policy, step, usable, ends_at)
            if worker is None:
                if index in step.avoided or step.crash_histories:
                    continue  # other tasks may fit on workers that this one avoids
                break
            effects += self._start(entry, step, index, worker, step.allocate_run_number(), now)
        return effects

    def _place_suspect(
        self,
        entry: SubmissionProgress,
        step: StepProgress,
        index: int,
        usable: Sequence[Worker],
        now: float,
    ) -> list[Effect]:
        """Plan the start of a task or gang that may crash its workers, and let it be stored."""
        workers = self.suspects.choose_workers(entry, step, index, usable, now)
        if not workers:
            return []
        return [
            *self._start_on(entry, step, index, workers, now),
            StoreProgress(submission=entry.submission.id),
        ]

    def _start_on(
        self,
        entry: SubmissionProgress,
        step: StepProgress,
        first_index: int,
        workers: Sequence[Worker],
        now: float,
    ) -> list[Effect]:
        """Start a task, or all members of a gang, on these workers with one run number."""
        number = step.allocate_run_number()
        effects: list[Effect] = []
        for index, worker in enumerate(workers, first_index):
            effects += self._start(entry, step, index, worker, number, now)
        return effects

    def _place_copies(
        self,
        entry: SubmissionProgress,
        step: StepProgress,
        usable: Sequence[Worker],
        now: float,
    ) -> list[Effect]:
        """Start a second run of tasks that are slow on their worker."""
        effects: list[Effect] = []
        step.drop_needless_copies()
        ends_at = estimate_end(step.spec, now)
        for index in list(step.copies):
            if not self.quotas.may_start(entry, step, now):
                break
            candidates = [w for w in usable if not step.is_avoided(index, w.id)]
            worker = choose_worker(self._policy, step, candidates, ends_at)
            if worker is None:
                continue
            step.copies.remove(index)
            effects += self._start(entry, step, index, worker, step.allocate_run_number(), now)
        return effects

    def _place_gang(
        self,
        entry: SubmissionProgress,
        step: StepProgress,
        usable: Sequence[Worker],
        ends_at: float,
        now: float,
    ) -> list[Effect]:
        if len(step.waiting) < step.spec.count:
            return []
        if step.is_suspect(0):
            return self._place_suspect(entry, step, 0, usable, now)
        preferred = [w for w in usable if not step.is_avoided(0, w.id)]
        chosen = choose_gang(self._policy, step.spec, preferred, ends_at)
        if chosen is None and len(preferred) < len(usable):
            chosen = choose_gang(self._policy, step.spec, usable, ends_at)
        if chosen is None:
            return []
        return self._start_on(entry, step, 0, chosen, now)

    def _start(
        self,
        entry: SubmissionProgress,
        step: StepProgress,
        index: int,
        worker: Worker,
        number: RunNumber,
        now: float,
    ) -> list[Effect]:
        if not is_run_number_of(number, self._fencing):
            return [StepDown(worker=worker.id, reason=StepDownReason.NUMBERS_USED_UP)]
        task = step.make_task_key(index)
        ticket = step.allowed.get(worker.id)
        command = StartCommand(
            worker=worker.id,
            task=task,
            number=number,
            payload=entry.submission.payload,
            token=compute_command_token(self._fencing, worker.incarnation),
            born=worker.newest.born,
            checkpoint=step.get_checkpoint(index),
            ticket=ticket.id if ticket is not None else TicketId(""),
        )
        queue = entry.submission.queue.name
        run = make_run(command, step.spec, entry.submission, worker, now)
        self.quotas.record_start(step, entry.submission.organisation, now)
        seconds = self.speeds.expect_seconds(queue, step.id, step.spec.estimate_seconds)
        worker.add_run(run)
        step.add_run(run)
        placed = LogDecision(
            decision="task-placed",
            fields={
                "task": str(task),
                "queue": queue,
                "revision": entry.revision,
                "run": number,
                "worker": worker.id,
                "report_age": round(now - worker.last_report_at, 3),
                "free": worker.get_free_processors(),
                "waited": round(now - step.due_at, 3),
                "priority": entry.submission.queue.priority,
                "objective_in": round(step.objective_at - now, 3),
                "suspicion": step.get_suspicion(index).value,
                "slowness": round(worker.speed.slowness, 2),
                "expected": round(worker.speed.slowness * seconds, 3),
            },
        )
        if run.is_suspect:
            run.state = RunState.PLANNED
            run.is_in_flight = False
            self.suspects.add_planned(step, run, worker)
            return [placed]
        self.start_log.add(command, run.incarnation)
        return [placed, SendStart(command=command)]


def _sum_by_service(workers: Iterable[Worker]) -> dict[ServiceName, WorkerTotals]:
    by_service: dict[ServiceName, list[Worker]] = {}
    for worker in workers:
        by_service.setdefault(worker.listing.service, []).append(worker)
    return {service: WorkerTotals(members) for service, members in by_service.items()}
