"""Workers on which work takes far longer than its estimates say."""

from __future__ import annotations

import abc

from .workers import Run, Worker

# Estimates are off by half, so that about one task in a hundred takes so long on a sound worker.
OVERDUE_FACTOR = 3.0
SLOW_RUN_SLACK_SECONDS = 0.5  # on top: orders and reports on their way
SLOW_SUBMISSIONS = 2  # on one worker in a row, since one may have a wrong estimate
# Where more workers than this look slow, it is the estimates that are wrong.
MAX_PROBATION_SHARE = 0.25


class SlowWorkerPolicy(abc.ABC):
    """Decides from the lengths of runs which workers are on trial."""

    @abc.abstractmethod
    def record_finished_run(self, worker: Worker, run: Run, now: float) -> None:
        """Take note of a run that has ended by itself."""

    @abc.abstractmethod
    def is_slow(self, worker: Worker, now: float) -> bool:
        """Return whether a worker is to be on trial."""


class ConsecutiveSlowRuns(SlowWorkerPolicy):
    """Suspects a worker when runs of several submissions in a row are slow there.

    Answers workers that turn slow, or whose tasks stand still while the worker itself answers:
    without it, each gets its share of all starts, and a submission of three tasks meets one of
    them nearly always when a seventh of the workers is slow.
    """

    def record_finished_run(self, worker: Worker, run: Run, now: float) -> None:
        """Take note of a run that has ended by itself."""
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
        return len(worker.slow_submissions | overdue) >= SLOW_SUBMISSIONS


def find_overdue(worker: Worker, now: float) -> list[Run]:
    """Return the runs that go on for far longer than their estimates."""
    return [run for run in worker.runs.values() if run.counts_for_speed and is_overdue(run, now)]


def is_overdue(run: Run, now: float) -> bool:
    """Return whether a run has lasted far longer than its estimate."""
    estimate = run.estimated_end_at - run.commanded_at
    return now - run.commanded_at > OVERDUE_FACTOR * estimate + SLOW_RUN_SLACK_SECONDS
