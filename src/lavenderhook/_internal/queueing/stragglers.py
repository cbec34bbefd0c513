"""Runs and workers that are far slower than expected, or stand still.

A slow worker is put on probation: it gets one run at a time until one finishes in time, or has been
as fast as expected for some seconds, so that no long task keeps others waiting. Gangs leave it out
as long as others hold them; once no run has shown its speed for some seconds, a gang that can't
start elsewhere now takes it, as there may be no other run. A run that would end sooner elsewhere is
started there again.
"""

from __future__ import annotations

import abc
import enum
import statistics
from collections.abc import Sequence
from typing import NamedTuple

from .step_progress import StepProgress
from .workers import Run, Worker

# Estimates are off by half, so that about one task in a hundred takes so long on a healthy worker.
OVERDUE_FACTOR = 3.0
SLOW_RUN_SLACK_SECONDS = 0.5  # on top, for commands and reports in transit
SLOW_SUBMISSIONS_FOR_PROBATION = 2  # on one worker in a row, since one may have a wrong estimate
# If more workers than this seem slow, the estimates are wrong.
MAX_PROBATION_SHARE = 0.25
# Nothing is known of a worker's speed after this time without runs that show it. A run that has
# been as fast as expected for this time shows that its worker is sound.
PROBATION_EVIDENCE_SECONDS = 5.0
# Progress is reported in hundredths: a run without any for this long, and for this share of its
# estimate, stands still.
STALL_SECONDS = 0.7
STALL_SHARE_OF_ESTIMATE = 0.04
# Tasks of one step differ by half and more; on a slow worker, all take several times as long.
SLOW_FACTOR = 2.5
MIN_COMPARED_RUNS = 2  # on one worker
MIN_COMPARED_TASKS = 4  # of one step
RESTART_SECONDS = 0.5  # to stop the run and to start the next
MAX_RESTARTS_PER_TASK = 2  # by the policy below; a task that is slow everywhere is left alone


class RunSpeed(NamedTuple):
    """An active run and how slow it is.

    Parameters
    ----------
    slowness : float or None
        Its projected duration divided by that of the other tasks of its step, and by the lasting
        slowness of its worker, if both durations are known.
    """

    run: Run
    slowness: float | None


class SlowWorkerPolicy(abc.ABC):
    """Decides from the durations of runs which workers are slow."""

    @abc.abstractmethod
    def record_finished_run(self, worker: Worker, run: Run, now: float) -> None:
        """Record a run that finished without being stopped."""

    @abc.abstractmethod
    def is_evidence_old(self, worker: Worker, now: float) -> bool:
        """Return whether no run has shown the speed of a worker for long."""

    @abc.abstractmethod
    def shows_sound_worker(self, run: Run) -> bool:
        """Return whether an active run shows that its worker is sound."""

    @abc.abstractmethod
    def is_slow(self, worker: Worker, speeds: Sequence[RunSpeed], now: float) -> bool:
        """Return whether a worker with these active runs should be on probation."""


class ComparedRuns(SlowWorkerPolicy):
    """Treats a worker as slow when its runs stand still, or are slow beside others of their steps.

    Handles workers that become slow, or whose tasks are stalled while the worker itself answers.
    Otherwise each would get its share of all starts, and with a seventh of the workers slow, a
    submission of three tasks would nearly always meet one of them. Where nothing can be compared,
    runs of several submissions in a row have to last far longer than estimated.
    """

    def record_finished_run(self, worker: Worker, run: Run, now: float) -> None:
        """Record a run that finished without being stopped."""
        if not run.counts_for_speed:
            return
        if is_overdue(run, now):
            worker.slow_submissions.add(run.task.submission)
        else:
            worker.end_probation()

    def is_evidence_old(self, worker: Worker, now: float) -> bool:
        """Return whether no run has shown the speed of a worker for long."""
        return now - worker.speed_shown_at >= PROBATION_EVIDENCE_SECONDS

    def shows_sound_worker(self, run: Run) -> bool:
        """Return whether an active run has been as fast as estimated for some seconds."""
        rate = run.get_lasting_rate(PROBATION_EVIDENCE_SECONDS)
        return (
            run.counts_for_speed
            and rate is not None
            and 1.0 / rate <= SLOW_FACTOR * run.estimate_seconds * run.lasting_slowness
            and not is_stalled(run)
        )

    def is_slow(self, worker: Worker, speeds: Sequence[RunSpeed], now: float) -> bool:
        """Return whether a worker with these active runs should be on probation."""
        if any(is_stalled(speed.run) for speed in speeds):
            return True
        slowness = [speed.slowness for speed in speeds if speed.slowness is not None]
        if len(slowness) >= MIN_COMPARED_RUNS:
            return statistics.median_low(slowness) > SLOW_FACTOR
        overdue = {speed.run.task.submission for speed in speeds if is_overdue(speed.run, now)}
        return len(worker.slow_submissions | overdue) >= SLOW_SUBMISSIONS_FOR_PROBATION


class RunAction(enum.Enum):
    """What to do about a run."""

    KEEP = "keep"
    COPY = "copy"  # start a copy on another worker, and keep the run
    RESTART = "restart"  # stop the run, and start it again on another worker


class StragglerPolicy(abc.ABC):
    """Decides about single runs on slow workers."""

    @abc.abstractmethod
    def choose_action(
        self, run: Run, step: StepProgress, expected_seconds: float, now: float
    ) -> RunAction:
        """Return what to do about a run on a slow worker.

        Parameters
        ----------
        run : Run
        step : StepProgress
        expected_seconds : float
            Duration of a task of the step on a sound worker.
        now : float
        """


class ProjectedEnd(StragglerPolicy):
    """Compares the projected end of a run with that of a new one on another worker.

    Handles a worker that stands still or turns slow under a submission of a few short tasks, whose
    objective is as long as one task takes: waiting for the worker, or until its lease expires,
    makes the submission late. Tasks that are long by themselves, on sound workers, are left alone.
    """

    def choose_action(
        self, run: Run, step: StepProgress, expected_seconds: float, now: float
    ) -> RunAction:
        """Return what to do about a run on a slow worker."""
        index = run.task.index
        if not run.counts_for_speed or len(step.runs.get(index, ())) > 1:
            return RunAction.KEEP
        remaining = project_remaining(run)
        if remaining is None:
            if not is_overdue(run, now):
                return RunAction.KEEP
        elif remaining < RESTART_SECONDS + expected_seconds:
            return RunAction.KEEP
        if step.spec.allows_copies:
            return RunAction.COPY
        if step.restarts.get(index, 0) >= MAX_RESTARTS_PER_TASK:
            return RunAction.KEEP
        return RunAction.RESTART


def estimate_duration(step: StepProgress) -> float | None:
    """Return the median duration of a step's tasks, in seconds, if enough of them are known.

    Of the tasks that are done and those whose end can be projected.
    """
    projected = [project_duration(run) for runs in step.runs.values() for run in runs]
    durations = step.durations + [seconds for seconds in projected if seconds is not None]
    return statistics.median(durations) if len(durations) >= MIN_COMPARED_TASKS else None


def project_duration(run: Run) -> float | None:
    """Return the duration of the whole run at its present rate, in seconds, if it is known."""
    rate = run.get_progress_rate()
    return None if rate is None else 1.0 / rate


def project_remaining(run: Run) -> float | None:
    """Return the time to the run's end at its present rate, in seconds, if it is known."""
    rate = run.get_progress_rate()
    return None if rate is None else (1.0 - run.progress) / rate


def is_stalled(run: Run) -> bool:
    """Return whether the worker's reports show that a run makes no progress.

    Only reports count, by the worker's own clock: a worker that is silent for a while says nothing
    about its runs.
    """
    limit = max(STALL_SECONDS, STALL_SHARE_OF_ESTIMATE * run.estimate_seconds)
    return run.counts_for_speed and run.progress < 1.0 and run.get_standing_seconds() >= limit


def is_overdue(run: Run, now: float) -> bool:
    """Return whether a run stands still, or has lasted far longer than its estimate."""
    if not run.counts_for_speed:
        return False
    return has_outlived_estimate(run, now) or is_stalled(run)


def has_outlived_estimate(run: Run, now: float) -> bool:
    """Return whether a run has lasted far longer than its estimate."""
    expected = run.estimate_seconds * run.lasting_slowness
    limit = OVERDUE_FACTOR * expected + SLOW_RUN_SLACK_SECONDS
    return now - run.commanded_at > limit
