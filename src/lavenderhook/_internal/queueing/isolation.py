"""Placement of tasks that may crash their workers."""

from __future__ import annotations

import math
from collections.abc import Collection, Sequence
from typing import NamedTuple

from .crash_history import CRASHES_TO_GIVE_UP_ALONE, CrashHistory, SuspicionLevel
from .model import RunState, TaskKey
from .placement import (
    LeastLoss,
    choose_gang_workers,
    choose_worker,
    count_fitting_if_empty,
)
from .quotas import Quotas
from .step_progress import StepProgress
from .submissions import SubmissionProgress
from .workers import Run, Worker

# Share of all workers that may hold isolated tasks at the same time, and never fewer than these.
MAX_ISOLATING_SHARE = 0.1
MIN_ISOLATING_WORKERS = 2
# After this time without an empty worker, an isolated task runs beside others; one with a third
# crash later, as it may be given up after the next.
EMPTY_WORKER_WAIT_SECONDS = 2.5
LAST_EMPTY_WORKER_WAIT_SECONDS = 10.0
# After this time, it no longer waits until fewer workers hold isolated tasks, or until another task
# of its submission has outlived its crashes. A service is away meanwhile.
ISOLATION_WAIT_SECONDS = 6.0
SERVICE_ISOLATION_WAIT_SECONDS = 3.0
# A run that crashed late, as that of a service, would keep its next worker for as long again.
MAX_ALONE_SECONDS = 10.0
# A task with a single crash is started without a record if the store hasn't answered by then.
UNSTORED_START_SECONDS = 0.5


class PlannedRun(NamedTuple):
    """A run of a suspect whose start waits until the store holds its number."""

    run: Run
    step: StepProgress
    worker: Worker

    def is_current(self) -> bool:
        """Return whether the run has neither been started nor given up."""
        run = self.run
        is_held = self.worker.runs.get((run.task, run.number)) is run
        return is_held and run.state is RunState.PLANNED

    def may_be_sent(self, now: float) -> bool:
        """Return whether the start no longer waits for the store."""
        history = self.step.find_crash_history(self.run.task.index)
        found = history.runs.get(self.run.number) if history is not None else None
        if history is None or found is None or found.is_stored:
            return True
        is_isolated = history.level is SuspicionLevel.ISOLATED
        return not is_isolated and now >= self.run.commanded_at + UNSTORED_START_SECONDS


class SuspectPlacer:
    """Chooses workers for suspects, so that a crash costs little and shows its cause.

    Handles a task that crashes each worker on which it runs, beside many that only ran there: after
    one crash, suspects run apart from one another; after two, each runs alone, on few workers at a
    time, and one of a submission after the other. A suspect is started only once the store holds
    the number of its run, so that the next owner counts it if this one ends.

    Parameters
    ----------
    quotas : Quotas
    """

    def __init__(self, quotas: Quotas) -> None:
        self._quotas = quotas
        self._policy = LeastLoss()
        self._left_to_isolate = 0
        # Workers that are kept empty, by suspect: since the last pass, and from this one on.
        self._former_claims: dict[TaskKey, list[Worker]] = {}
        self._claims: dict[TaskKey, list[Worker]] = {}
        self._planned: list[PlannedRun] = []

    # One placement pass.

    def begin_pass(self, workers: Collection[Worker], now: float) -> None:
        """End long isolations, and count the workers that may be isolated in this pass."""
        for worker in workers:
            run = worker.isolated_run
            if run is None or run.state is RunState.PLANNED:
                continue
            if now >= run.commanded_at + MAX_ALONE_SECONDS:
                worker.isolated_run = None
        isolating = sum(worker.isolated_run is not None for worker in workers)
        limit = max(MIN_ISOLATING_WORKERS, int(len(workers) * MAX_ISOLATING_SHARE))
        self._left_to_isolate = limit - isolating

    def end_pass(self) -> None:
        """Release the workers that were kept empty for suspects that no longer need them."""
        for workers in self._former_claims.values():
            _set_claim(workers, None)
        self._former_claims, self._claims = self._claims, {}

    def choose_workers(
        self,
        entry: SubmissionProgress,
        step: StepProgress,
        index: int,
        candidates: Sequence[Worker],
        now: float,
    ) -> Sequence[Worker]:
        """Return the worker of a suspect, or those of a gang; none if it has to wait."""
        history = step.get_or_add_crash_history(index)
        task = step.make_task_key(index)
        claimed = self._former_claims.pop(task, []) + self._claims.pop(task, [])
        _set_claim(claimed, None)
        if not history.may_start(now):
            return []
        candidates = [w for w in candidates if w.is_shared()]
        waited = history.get_waiting_seconds(now)
        max_wait = (
            SERVICE_ISOLATION_WAIT_SECONDS if step.spec.is_service else ISOLATION_WAIT_SECONDS
        )
        if waited < max_wait and _is_other_on_trial(entry, history):
            return []
        if history.level is not SuspicionLevel.ISOLATED:
            return self._fit(step, index, candidates)
        if waited < max_wait and self._left_to_isolate <= 0:
            return []
        chosen = self._fit(step, index, [w for w in candidates if not w.runs])
        is_last = history.crashes >= CRASHES_TO_GIVE_UP_ALONE
        if not chosen and waited >= (
            LAST_EMPTY_WORKER_WAIT_SECONDS if is_last else EMPTY_WORKER_WAIT_SECONDS
        ):
            chosen = self._fit(step, index, candidates)
        if not chosen:
            self._claim(task, _find_first_empty(step, claimed, candidates))
        return chosen

    def _fit(
        self, step: StepProgress, index: int, candidates: Sequence[Worker]
    ) -> Sequence[Worker]:
        """Return workers with capacity for the task or gang, if possible none that it avoids."""
        preferred = [w for w in candidates if not step.is_avoided(index, w.id)]
        for workers in (preferred, candidates):
            if step.spec.is_gang:
                chosen = choose_gang_workers(step.spec, workers)
            else:
                worker = choose_worker(self._policy, step, workers, math.inf)
                chosen = None if worker is None else [worker]
            if chosen is not None:
                return chosen
        return []

    def _claim(self, task: TaskKey, workers: Sequence[Worker]) -> None:
        _set_claim(workers, task)
        self._claims[task] = list(workers)
        self._left_to_isolate -= len(workers)

    # Starts that wait for the store.

    def add_planned(self, step: StepProgress, run: Run, worker: Worker) -> None:
        """Hold back the start of a suspect; place nothing beside it if it has to run alone."""
        self._planned.append(PlannedRun(run, step, worker))
        is_isolated = step.get_suspicion(run.task.index) is SuspicionLevel.ISOLATED
        if is_isolated and worker.isolated_run is None:
            worker.isolated_run = run
            self._left_to_isolate -= 1

    def pop_startable(self, now: float) -> list[Run]:
        """Return the planned runs whose numbers are stored, or that no longer wait for that."""
        self._planned = [planned for planned in self._planned if planned.is_current()]
        startable = [planned for planned in self._planned if planned.may_be_sent(now)]
        self._planned = [planned for planned in self._planned if planned not in startable]
        return [planned.run for planned in startable]

    def list_misplaced(self, now: float) -> list[Run]:
        """Return the planned runs that their workers or limits can't take any longer."""
        return [
            planned.run
            for planned in self._planned
            if planned.is_current()
            and (
                not planned.worker.is_schedulable(now)
                or planned.worker.is_over_capacity()
                or self._quotas.is_exceeded(planned.run.organisation)
            )
        ]


def _is_other_on_trial(entry: SubmissionProgress, history: CrashHistory) -> bool:
    """Return whether another task of the submission with several crashes is on trial."""
    return history.crashes > 1 and any(
        run.is_on_trial
        for step, key, other in entry.list_crash_histories()
        if other is not history and other.crashes > 1
        for run in step.list_runs(key)
    )


def _set_claim(workers: Sequence[Worker], task: TaskKey | None) -> None:
    for worker in workers:
        worker.emptied_for = task


def _find_first_empty(
    step: StepProgress, claimed: Sequence[Worker], candidates: Sequence[Worker]
) -> list[Worker]:
    """Return the workers that will be empty first and hold the task or gang together.

    None, if they would hold only a part of it; those that were claimed before come first.
    """
    chosen: list[Worker] = []
    needed = step.spec.count if step.spec.is_gang else 1
    fitting = [w for w in candidates if math.isfinite(_find_last_end(w))]
    for worker in sorted(fitting, key=lambda w: (w not in claimed, _find_last_end(w))):
        fit = count_fitting_if_empty(step.spec, worker)
        if fit and needed > 0:
            chosen.append(worker)
            needed -= fit
    return chosen if needed <= 0 else []


def _find_last_end(worker: Worker) -> float:
    return max((run.estimated_end_at for run in worker.runs.values()), default=0.0)
