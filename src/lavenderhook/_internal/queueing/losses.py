"""Runs that are lost with their worker, and the tasks that may have crashed it.

A worker that crashes takes all its runs with it, of which at most a few are the cause. Suspects
run apart from one another, then alone, until one has outlived the earlier crashes, is done, or has
to be given up. A worker that was only silent, or that was draining, has not crashed.

A crash is weak evidence against a task if something else explains it better: several workers
crashed at about the same time (a rack, an availability zone), a task with more crashes ran beside
it, or the run had outlived the earlier crashes.
"""

from __future__ import annotations

import enum
from collections.abc import Callable, Collection
from typing import NamedTuple

from ..core.identifiers import WorkerId
from .crash_history import CrashHistory, RunFate, SuspectRun, SuspicionLevel
from .effects import Effect, LogDecision, StoreProgress
from .log_lines import log_run
from .model import FinishedRun, RunNumber, RunState, StepId, WorkerListing
from .step_progress import StepProgress
from .submissions import SubmissionProgress
from .workers import Run, Worker

JOINT_CRASH_WORKERS = 3  # silent since about the same time: no task is blamed at once
JOINT_CRASH_SECONDS = 1.5  # holds are answered at least each second
# A worker that isn't back after this time is not counted as crashed. A worker that was crashed by a
# task is back within seconds.
UNCERTAIN_LOSS_SECONDS = 60.0

GiveUp = Callable[[StepId, float], list[Effect]]


class LossReason(enum.Enum):
    """Why the runs of a worker are lost."""

    RESTARTED = "restarted"  # it runs again under the same id
    REPLACED = "replaced"  # another worker or incarnation answers at its address
    SILENT = "silent"  # its leases have expired; it may only have been cut off
    LEFT = "left"  # it was draining before


class UncertainRun(NamedTuple):
    """A run that a worker may have lost, by the step and the task index or -1 of its history."""

    step_id: StepId
    key: int
    number: RunNumber


class LossRecorder:
    """Records which runs were lost with their workers, and which tasks are suspected.

    Parameters
    ----------
    find_step : callable
        Returns the step with an id, or None if its submission has ended.
    give_up : callable
        Takes (step id, now) of a task that has crashed too many workers, and returns effects.
    """

    def __init__(self, find_step: Callable[[StepId], StepProgress | None], give_up: GiveUp) -> None:
        self._find_step = find_step
        self._give_up = give_up
        # By worker, with the time from which on it is known.
        self._uncertain: dict[WorkerId, dict[UncertainRun, float]] = {}
        self._by_address: dict[str, set[WorkerId]] = {}  # the workers of uncertain runs
        self._crashed_at: dict[WorkerId, float] = {}  # the last crash of each worker

    # Losses.

    def record_loss(
        self, worker: Worker, workers: Collection[Worker], reason: LossReason, now: float
    ) -> list[Effect]:
        """Record the loss of all runs of a worker; the caller removes them.

        Parameters
        ----------
        worker : Worker
            Still as it was before the loss.
        workers : collection of Worker
        reason : LossReason
        now : float
        """
        if worker.is_draining():
            reason = LossReason.LEFT
        runs = [run for run in worker.runs.values() if run.state is not RunState.PLANNED]
        crashed_at = now if worker.silent_since is None else worker.silent_since
        if runs and reason is not LossReason.LEFT:
            self._crashed_at[worker.id] = crashed_at
        is_joint = self._count_crashed_with(crashed_at, workers) >= JOINT_CRASH_WORKERS
        effects: list[Effect] = []
        for run in runs:
            effects.append(
                log_run(
                    "run-lost",
                    run.task,
                    run.number,
                    worker.id,
                    reason=reason.value,
                    age=round(now - run.commanded_at, 3),
                    report_age=round(now - worker.last_report_at, 3),
                    beside=len(runs) - 1,
                    unconfirmed=run.acknowledged_at is None,
                    joint=is_joint,
                )
            )
        if reason is LossReason.LEFT:
            return effects
        most_crashes = max(map(self._count_crashes, runs), default=0)
        for run in runs:
            loss = SuspectRun(
                fate=RunFate.UNCERTAIN if reason is LossReason.SILENT else RunFate.CRASHED,
                age_seconds=max(0.0, crashed_at - run.commanded_at),
                is_weak=is_joint
                or self._count_crashes(run) < most_crashes
                or (run.is_suspect and not run.is_on_trial),
            )
            effects += self._blame(run, loss, runs, now)
        return effects

    def _count_crashed_with(self, crashed_at: float, workers: Collection[Worker]) -> int:
        """Return how many workers crashed, or fell silent, at about this time."""
        times = dict(self._crashed_at)
        for worker in workers:
            if worker.silent_since is not None:
                times[worker.id] = worker.silent_since
        return sum(abs(at - crashed_at) < JOINT_CRASH_SECONDS for at in times.values())

    def _count_crashes(self, run: Run) -> int:
        """Return under how many crashes of workers the task of a run has been before."""
        step = self._find_step(run.task.step_id)
        history = step.find_crash_history(run.task.index) if step is not None else None
        return 0 if history is None else history.crashes

    def _blame(
        self, run: Run, loss: SuspectRun, runs_of_worker: Collection[Run], now: float
    ) -> list[Effect]:
        step = self._find_step(run.task.step_id)
        if step is None or run.task.index in step.done:
            return []
        loss.was_alone = all(step.shares_history(run, other) for other in runs_of_worker)
        history = step.get_or_add_crash_history(run.task.index)
        if loss.fate is RunFate.UNCERTAIN:
            loss.incarnations = {run.worker: run.incarnation}
        history.add_loss(run.number, loss, now)
        self._watch(step, history, now)
        if not loss.is_weak:
            step.avoid(run.task.index, run.worker)
        return self._judge(step, run.task.index, run.number, now)

    def _judge(self, step: StepProgress, index: int, number: RunNumber, now: float) -> list[Effect]:
        """Return the consequences of a crash that has been added or confirmed."""
        effects: list[Effect] = [StoreProgress(submission=step.id.submission)]
        history = step.get_or_add_crash_history(index)
        if history.is_exhausted:
            effects.append(_log_history("task-given-up", step, index, number, history))
            return effects + self._give_up(step.id, now)
        if history.level is not SuspicionLevel.NONE:
            effects.append(_log_history("task-suspected", step, index, number, history))
        return effects

    # Runs whose fate is uncertain.

    def adopt_histories(self, entry: SubmissionProgress, now: float) -> list[Effect]:
        """Take over the crashes that an earlier owner has recorded."""
        effects: list[Effect] = []
        for step, key, history in entry.list_crash_histories():
            self._watch(step, history, now)
            if history.is_exhausted and not any(history.list_uncertain()):
                effects += self._judge(step, key, max(history.runs), now)
        return effects

    def _watch(self, step: StepProgress, history: CrashHistory, now: float) -> None:
        key = next(k for k, found in step.crash_histories.items() if found is history)
        for number, worker, incarnation in history.list_uncertain():
            self._by_address.setdefault(incarnation.address, set()).add(worker)
            watched = self._uncertain.setdefault(worker, {})
            watched.setdefault(UncertainRun(step.id, key, number), now)

    def record_listing(self, listing: WorkerListing, now: float) -> list[Effect]:
        """Recognise a lost worker that is back as another incarnation, or under another id."""
        effects: list[Effect] = []
        for worker_id in {listing.id} | self._by_address.get(listing.address, set()):
            if worker_id in self._uncertain:
                effects += self._resolve(worker_id, listing.born, None, now)
        return effects

    def record_report(self, worker: Worker, now: float) -> list[Effect]:
        """Resolve the runs that a worker may have lost, from its report, which has been applied."""
        if worker.id not in self._uncertain:
            return []
        return self._resolve(worker.id, worker.newest.born, worker, now)

    def _resolve(
        self, worker_id: WorkerId, born: int, reporting: Worker | None, now: float
    ) -> list[Effect]:
        """Confirm or retract the losses of a worker.

        Parameters
        ----------
        worker_id : WorkerId
        born : int
            Incarnation that has its id or its address now.
        reporting : Worker or None
            The worker, if its report has been applied.
        now : float
        """
        effects: list[Effect] = []
        left: dict[UncertainRun, float] = {}
        for uncertain, since in self._uncertain.pop(worker_id).items():
            step = self._find_step(uncertain.step_id)
            history = step.crash_histories.get(uncertain.key) if step is not None else None
            run = history.runs.get(uncertain.number) if history is not None else None
            if step is None or history is None or run is None or run.fate is not RunFate.UNCERTAIN:
                continue
            if worker_id not in run.incarnations:
                continue
            if born > run.incarnations[worker_id].born:
                if history.confirm(uncertain.number):
                    effects.append(_log_resolved(step, uncertain, worker_id, crashed=True))
                    effects += self._judge(step, uncertain.key, uncertain.number, now)
            elif reporting is not None and not _has_active_run(step, uncertain, worker_id):
                history.clear_worker(uncertain.number, worker_id)
                step.stop_avoiding(uncertain.key, worker_id)
                step.drop_empty_history(uncertain.key)
                effects.append(_log_resolved(step, uncertain, worker_id, crashed=False))
                effects.append(StoreProgress(submission=step.id.submission))
            else:
                left[uncertain] = since
        if left:
            self._uncertain[worker_id] = left
        return effects

    def expire(self, now: float) -> list[Effect]:
        """Retract losses of workers that have not come back for long."""
        effects: list[Effect] = []
        for worker_id, watched in list(self._uncertain.items()):
            for uncertain, since in list(watched.items()):
                if now - since < UNCERTAIN_LOSS_SECONDS:
                    continue
                del watched[uncertain]
                step = self._find_step(uncertain.step_id)
                history = step.crash_histories.get(uncertain.key) if step is not None else None
                if step is None or history is None:
                    continue
                history.clear_worker(uncertain.number, worker_id)
                step.drop_empty_history(uncertain.key)
                effects.append(_log_resolved(step, uncertain, worker_id, crashed=False))
                effects.append(StoreProgress(submission=step.id.submission))
            if not watched:
                del self._uncertain[worker_id]
        for address, workers in list(self._by_address.items()):
            workers.intersection_update(self._uncertain)
            if not workers:
                del self._by_address[address]
        return effects

    # Suspects that have not crashed their worker.

    def record_finished_run(
        self, worker: Worker, step: StepProgress, finished: FinishedRun
    ) -> None:
        """Record that a run has ended without a crash of its worker.

        The other members of a gang are broken when one of them crashes its worker.
        """
        history = step.find_crash_history(finished.task.index)
        if history is not None:
            history.clear_worker(finished.number, worker.id)
            step.drop_empty_history(finished.task.index)

    def review_suspect(self, run: Run, now: float) -> list[Effect]:
        """Clear the task of an active run that has outlived the ages of the earlier crashes."""
        step = self._find_step(run.task.step_id)
        history = step.find_crash_history(run.task.index) if step is not None else None
        if step is None or history is None:
            return []
        age = now - run.commanded_at
        if history.has_outlived_crashes(age):
            run.is_on_trial = False
        if not history.is_cleared_by(age):
            return []
        step.forget_crashes(run.task.index)
        return [
            StoreProgress(submission=run.task.submission),
            log_run("task-cleared", run.task, run.number, run.worker, age=round(age, 3)),
        ]


def _has_active_run(step: StepProgress, uncertain: UncertainRun, worker: WorkerId) -> bool:
    runs = step.list_runs(uncertain.key)
    return any(run.number == uncertain.number and run.worker == worker for run in runs)


def _log_history(
    decision: str, step: StepProgress, index: int, number: RunNumber, history: CrashHistory
) -> LogDecision:
    return LogDecision(
        decision=decision,
        fields={
            "task": str(step.make_task_key(index)),
            "run": number,
            "suspicion": history.level.value,
            "crashes": history.crashes,
            "uncertain": len(set(history.list_uncertain())),
            "longest_age": round(history.longest_age, 3),
        },
    )


def _log_resolved(
    step: StepProgress, uncertain: UncertainRun, worker: WorkerId, *, crashed: bool
) -> LogDecision:
    task = step.make_task_key(uncertain.key)
    return log_run("loss-resolved", task, uncertain.number, worker, crashed=crashed)
