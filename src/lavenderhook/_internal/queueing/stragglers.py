"""Detection of workers on which runs take far longer than estimated.

A slow worker is put on probation: it gets one run at a time until one finishes in time.
"""

from __future__ import annotations

import abc

from .workers import Run, Worker

# Estimates are off by half, so that about one task in a hundred takes so long on a healthy worker.
OVERDUE_FACTOR = 3.0
SLOW_RUN_SLACK_SECONDS = 0.5  # on top, for commands and reports in transit
SLOW_SUBMISSIONS_FOR_PROBATION = 2  # on one worker in a row, since one may have a wrong estimate
# If more workers than this seem slow, the estimates are wrong.
MAX_PROBATION_SHARE = 0.25


class SlowWorkerPolicy(abc.ABC):
    """Decides from the durations of runs which workers are slow."""

    @abc.abstractmethod
    def record_finished_run(self, worker: Worker, run: Run, now: float) -> None:
        """Record a run that finished without being stopped."""

    @abc.abstractmethod
    def is_slow(self, worker: Worker, now: float) -> bool:
        """Return whether a worker should be on probation."""


class ConsecutiveSlowRuns(SlowWorkerPolicy):
    """Treats a worker as slow when runs of several submissions in a row are slow there.

    Handles workers that become slow, or whose tasks are stalled while the worker itself answers.
    Otherwise each would get its share of all starts, and with a seventh of the workers slow, a
    submission of three tasks would nearly always meet one of them.
    """

    def record_finished_run(self, worker: Worker, run: Run, now: float) -> None:
        """Record a run that finished without being stopped."""
        if not run.counts_for_speed:
            return
        if is_overdue(run, now):
            worker.slow_submissions.add(run.task.submission)
        else:
            worker.slow_submissions.clear()
            worker.is_on_probation = False

    def is_slow(self, worker: Worker, now: float) -> bool:
        """Return whether runs of several submissions were slow in a row."""
        overdue = {run.task.submission for run in find_overdue(worker, now)}
        return len(worker.slow_submissions | overdue) >= SLOW_SUBMISSIONS_FOR_PROBATION


def find_overdue(worker: Worker, now: float) -> list[Run]:
    """Return the active runs that have lasted far longer than their estimates."""
    return [run for run in worker.runs.values() if run.counts_for_speed and is_overdue(run, now)]


def is_overdue(run: Run, now: float) -> bool:
    """Return whether a run has lasted far longer than its estimate."""
    estimate = run.estimated_end_at - run.commanded_at
    return now - run.commanded_at > OVERDUE_FACTOR * estimate + SLOW_RUN_SLACK_SECONDS
