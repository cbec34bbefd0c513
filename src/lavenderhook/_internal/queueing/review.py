"""Periodic review of the active runs: which ones are to be moved or copied, and why."""

from __future__ import annotations

import enum
import math
from collections.abc import Callable, Collection, Iterable, Iterator
from typing import NamedTuple

from .effects import Effect
from .evacuation import EvacuationPolicy, MoveBeforeLeaving
from .log_lines import log_worker
from .model import RunOutcome, RunState, StepId
from .speeds import RunDuration, SpeedLearner
from .step_progress import StepProgress
from .stragglers import (
    MAX_PROBATION_SHARE,
    ComparedRuns,
    ProjectedEnd,
    RunAction,
    RunSpeed,
    SlowWorkerPolicy,
    StragglerPolicy,
    estimate_duration,
    is_stalled,
    project_duration,
)
from .workers import Run, Worker

# Progress is reported in hundredths; by then, the projected duration is off by a tenth at most.
MIN_PROJECTED_PROGRESS = 0.1
STALL_BLOCK_SECONDS = 3.0  # a worker on which a run stands still gets no others for this time


class ReviewReason(enum.Enum):
    """Why a run is moved or copied."""

    WORKER_LEAVES = "worker-leaves"
    WORKER_SLOW = "worker-slow"
    STALLED = "stalled"


class Decision(NamedTuple):
    """What to do about one run."""

    action: RunAction
    run: Run
    step: StepProgress
    reason: ReviewReason


class RunReviewer:
    """Applies the policies on slow workers, stragglers and workers that leave.

    Parameters
    ----------
    find_step : callable
        Returns the step with an id, or None if its submission has ended.
    learner : SpeedLearner, optional
        Told the durations of runs; the policies allow for what it has learnt.
    """

    def __init__(
        self,
        find_step: Callable[[StepId], StepProgress | None],
        learner: SpeedLearner | None = None,
        *,
        slow_worker_policy: SlowWorkerPolicy | None = None,
        straggler_policy: StragglerPolicy | None = None,
        evacuation_policy: EvacuationPolicy | None = None,
    ) -> None:
        self._find_step = find_step
        self._learner = learner or SpeedLearner()
        self.slow_worker_policy = slow_worker_policy or ComparedRuns()
        self._straggler_policy = straggler_policy or ProjectedEnd()
        self._evacuation_policy = evacuation_policy or MoveBeforeLeaving()
        self._reviewed_at = -math.inf
        self._expected: dict[StepId, float | None] = {}  # durations by step, for one review

    def record_finished_run(
        self, worker: Worker, run: Run, outcome: RunOutcome, now: float
    ) -> None:
        """Record a finished run; what it tells of its worker depends on how it ended."""
        if outcome is RunOutcome.DONE:
            self._record_duration(worker, run, now - run.commanded_at, now)
        if outcome in (RunOutcome.DONE, RunOutcome.FAILED):
            self.slow_worker_policy.record_finished_run(worker, run, now)

    def _record_duration(self, worker: Worker, run: Run, seconds: float, now: float) -> None:
        """Record how long a run takes, once."""
        if not run.shows_speed:
            return
        run.shows_speed = False
        duration = RunDuration(run.queue, run.task.step_id, run.estimate_seconds, seconds)
        self._learner.record(worker.speed, duration, now)

    def _update_speeds(self, workers: Iterable[Worker], now: float) -> list[Effect]:
        """Compare the workers' speeds; return a line for each whose class has changed.

        A worker on probation that turns out to be slow for good is no longer on probation, and its
        runs are judged by its own speed.
        """
        by_speed = {worker.speed: worker for worker in workers}
        effects: list[Effect] = []
        for speed in self._learner.refresh(by_speed, now):
            worker = by_speed[speed]
            worker.apply_lasting_slowness()
            effects.append(
                log_worker(
                    "worker-speed",
                    worker,
                    speed=speed.speed_class.value,
                    slowness=round(speed.slowness, 2),
                    steps=speed.steps,
                    slow_workers=self._learner.slow_workers,
                )
            )
        return effects

    def update_probation(self, workers: Collection[Worker], now: float) -> list[Effect]:
        """Put slow workers on probation, note old evidence; return the log lines.

        Only workers that have reported since the last call are judged again. Where no more may be
        on probation, a worker that seems slow takes the place of one whose speed is unknown.
        """
        max_slow_workers = max(1, int(len(workers) * MAX_PROBATION_SHARE))
        slow_workers = sum(worker.is_on_probation for worker in workers)
        self._expected.clear()
        effects = self._update_speeds(workers, now)
        for worker in workers:
            if worker.last_report_at <= self._reviewed_at:
                continue
            speeds = self._measure_speeds(worker, now)
            if speeds:
                worker.record_shown_speed(now)
            elif worker.has_shown_speed and self.slow_worker_policy.is_evidence_old(worker, now):
                worker.has_shown_speed = False
                if worker.is_on_probation:
                    effects.append(log_worker("worker-speed-unknown", worker))
            if worker.is_on_probation and self._is_shown_sound(worker):
                worker.end_probation()
                slow_workers -= 1
                effects.append(log_worker("worker-probation-ended", worker))
            if not speeds or not self.slow_worker_policy.is_slow(worker, speeds, now):
                continue
            if not worker.is_on_probation and slow_workers >= max_slow_workers:
                unknown = next((w for w in workers if w.is_of_unknown_speed()), None)
                if unknown is not None:
                    unknown.end_probation()
                    slow_workers -= 1
                    effects.append(log_worker("worker-probation-ended", unknown))
            if not worker.is_on_probation and slow_workers < max_slow_workers:
                worker.begin_probation()
                slow_workers += 1
                effects.append(log_worker("worker-slow", worker))
            if worker.is_on_probation and any(is_stalled(speed.run) for speed in speeds):
                worker.blocked_until = max(worker.blocked_until, now + STALL_BLOCK_SECONDS)
        self._reviewed_at = now
        return effects

    def review(self, workers: Collection[Worker], now: float) -> Iterator[Decision]:
        """Yield the runs to be moved or copied."""
        for worker in workers:
            if not worker.is_draining() and not worker.is_on_probation:
                continue
            for run in list(worker.runs.values()):
                step = self._find_step(run.task.step_id)
                if run.state is not RunState.RUNNING or step is None:
                    continue
                decision = self._review_run(worker, run, step, now)
                if decision is not None:
                    yield decision

    def _review_run(
        self, worker: Worker, run: Run, step: StepProgress, now: float
    ) -> Decision | None:
        if worker.is_draining() and self._evacuation_policy.should_move(worker, run, step, now):
            return Decision(RunAction.RESTART, run, step, ReviewReason.WORKER_LEAVES)
        if not worker.is_on_probation:
            return None
        expected = self._estimate_duration(step)
        if expected is None:
            expected = run.estimate_seconds
        action = self._straggler_policy.choose_action(run, step, expected, now)
        if action is RunAction.KEEP:
            return None
        reason = ReviewReason.STALLED if is_stalled(run) else ReviewReason.WORKER_SLOW
        return Decision(action, run, step, reason)

    def _is_shown_sound(self, worker: Worker) -> bool:
        return any(map(self.slow_worker_policy.shows_sound_worker, worker.runs.values()))

    def _measure_speeds(self, worker: Worker, now: float) -> list[RunSpeed]:
        speeds: list[RunSpeed] = []
        for run in worker.runs.values():
            if run.counts_for_speed:
                speeds.append(RunSpeed(run, self._measure_slowness(worker, run, now)))
        return speeds

    def _measure_slowness(self, worker: Worker, run: Run, now: float) -> float | None:
        projected = project_duration(run)
        if projected is not None and run.progress >= MIN_PROJECTED_PROGRESS:
            self._record_duration(worker, run, projected, now)
        step = self._find_step(run.task.step_id) if projected is not None else None
        expected = self._estimate_duration(step) if step is not None else None
        if projected is None or expected is None:
            return None
        return projected / (expected * run.lasting_slowness)

    def _estimate_duration(self, step: StepProgress) -> float | None:
        if step.id not in self._expected:
            self._expected[step.id] = estimate_duration(step)
        return self._expected[step.id]
