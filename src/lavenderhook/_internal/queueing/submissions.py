"""State of submissions: which tasks wait, run or are done."""

from __future__ import annotations

import collections
from collections.abc import Iterable, Iterator, Sequence

from .crash_history import CrashHistory
from .model import (
    RunNumber,
    StepId,
    StepSpec,
    Submission,
    SubmissionState,
)
from .number_ranges import NumberRanges
from .occurrences import OccurrenceTable, OccurrenceTimes
from .records import FailureReason, Progress
from .start_log import LoggedStart
from .step_progress import StepProgress
from .workers import Run

MAX_LISTED_DONE = 100  # of one step; more are stored as ranges


def compute_following_seconds(steps: Sequence[StepSpec]) -> list[float]:
    """Return, by step, the estimate for the longest path of the steps after it, in seconds."""
    following = [0.0] * len(steps)
    for index in reversed(range(len(steps))):
        path_seconds = steps[index].estimate_seconds + following[index]
        for earlier in steps[index].after:
            if earlier < index:
                following[earlier] = max(following[earlier], path_seconds)
    return following


def compute_objective_seconds(submission: Submission) -> float:
    """Return the objective of a submission, counted from the time at which it is due."""
    ends: list[float] = []  # of the chain through each step, from its estimates
    for spec in submission.steps:
        starts_after = max((ends[i] for i in spec.after if i < len(ends)), default=0.0)
        ends.append(starts_after + spec.estimate_seconds)
    terms = submission.queue
    return terms.slack_factor * max(ends, default=0.0) + terms.latency_seconds


class SubmissionProgress:
    """A submission that has no final state yet.

    Attributes
    ----------
    revision : int or None
        Revision of the stored submission; None until its row has been read.
    progress_revision : int
        Revision of the stored progress; 0 if there is none.
    failure : FailureReason or None
        Why it is to fail.
    blocked_until : float
        Until then, nothing is placed, after an unexpected error.
    is_owed : bool or None
        Whether it is within the rate of its organisation; None before that is decided.
    """

    def __init__(
        self,
        submission: Submission,
        revision: int | None,
        arrived_at: float,
        first_run_number: RunNumber,
    ) -> None:
        self.submission = submission
        self.revision = revision
        self.arrived_at = arrived_at
        self.state = SubmissionState.QUEUED
        self.is_finalizing = False
        self.failure: FailureReason | None = None
        self.blocked_until = 0.0
        self.is_owed: bool | None = None
        self.progress_revision = 0
        self._first_run_number = first_run_number
        self._following_seconds = compute_following_seconds(submission.steps)
        has_schedule = submission.repetitions > 0
        times = OccurrenceTimes(
            max(1, submission.repetitions),
            arrived_at + (submission.first_due - submission.accepted_at if has_schedule else 0.0),
            submission.interval_seconds,
            compute_objective_seconds(submission),
        )
        self.steps = OccurrenceTable(times, self._make_steps)
        if not has_schedule:
            self.steps.get((0, 0))

    def _make_steps(self, occurrence: int) -> list[StepProgress]:
        """Return the steps of one occurrence, of which nothing has begun."""
        due_at = self.steps.times.compute_due_at(occurrence)
        steps: list[StepProgress] = []
        for index, spec in enumerate(self.submission.steps):
            step_id = StepId(self.submission.id, occurrence, index)
            step = StepProgress(step_id, spec, self._first_run_number)
            step.due_at = due_at
            step.objective_at = due_at + self.steps.times.objective_seconds
            step.following_seconds = self._following_seconds[index]
            steps.append(step)
        return steps

    def record_revision(self, revision: int | None) -> None:
        """Record the revision of the stored row; None if a report doesn't tell it."""
        if revision is not None:
            self.revision = revision

    def is_blocked_through(self, revision: float) -> bool:
        """Return whether it was, or may have been, stored up to a revision; 0 stands for none."""
        return revision > 0 and (self.revision is None or self.revision <= revision)

    @property
    def is_done(self) -> bool:
        """Whether every task of every step has ended done."""
        return self.steps.is_done

    def import_starts(self, starts: Iterable[LoggedStart], now: float) -> None:
        """Record the runs that earlier owners have started, and whose fate isn't known here."""
        for start in starts:
            step = self.steps.get((start.task.occurrence, start.task.step))
            if step is not None and start.task.index not in step.done:
                step.get_or_add_crash_history(start.task.index).add_uncertain(
                    start.number, start.worker, start.incarnation, now
                )

    def begin_finalizing(self, failure: FailureReason | None) -> bool:
        """Begin to store the final state; return whether that had not begun before.

        Parameters
        ----------
        failure : FailureReason or None
            None if all tasks are done.
        """
        if self.is_finalizing:
            return False
        self.is_finalizing = True
        self.failure = failure
        self.state = SubmissionState.RUNNING
        return True

    def find_final_state(self) -> SubmissionState | None:
        """Return the final state that the submission has reached, or None."""
        if not self.is_finalizing:
            return None
        return SubmissionState.COMPLETED if self.is_done else SubmissionState.FAILED

    def list_needless_runs(self) -> list[Run]:
        """Return the runs of tasks that are done."""
        return [
            run
            for step in self.steps.values()
            for index in step.done
            for run in step.runs.get(index, ())
        ]

    @property
    def has_used_up_attempts(self) -> bool:
        """Whether a task that isn't done has failed as often as its queue allows."""
        most_attempts = self.submission.queue.most_attempts
        return any(step.has_failed_often(most_attempts) for step in self.steps.values())

    def is_ready(self, step: StepProgress, now: float) -> bool:
        """Return whether a step is due and the steps before it are done."""
        occurrence = step.id.occurrence
        return now >= step.due_at and all(
            self.steps[(occurrence, earlier)].is_done for earlier in step.spec.after
        )

    def count_waiting(self) -> Iterator[tuple[StepSpec, int]]:
        """Yield the steps with how many tasks wait, also of occurrences that aren't open."""
        for step in self.steps.values():
            yield step.spec, len(step.waiting)
        unopened = self.steps.count_unopened()
        for spec in self.submission.steps:
            yield spec, unopened * spec.count

    def list_crash_histories(self) -> Iterator[tuple[StepProgress, int, CrashHistory]]:
        """Yield the crash histories of all steps, each with its step and its task index or -1."""
        for step in self.steps.values():
            for key, history in step.crash_histories.items():
                yield step, key, history

    def export_progress(self) -> Progress:
        """Return the progress to store."""
        completed = self.steps.export_completed()
        progress = Progress(
            done={}, done_ranges={}, failed={}, crashed={}, unresolved={}, completed=completed
        )
        for step in self.steps.values():
            key = f"{step.id.occurrence}.{step.id.step}"
            if len(step.done) > MAX_LISTED_DONE:
                progress.done_ranges[key] = list(NumberRanges(step.done))
            elif step.done:
                progress.done[key] = sorted(step.done)
            if step.failed:
                progress.failed[key] = {i: sorted(runs) for i, runs in step.failed.items()}
            for task, history in step.crash_histories.items():
                crashed, unresolved = history.export_crashed(), history.export_unresolved()
                if crashed:
                    progress.crashed.setdefault(key, {})[task] = crashed
                if unresolved:
                    progress.unresolved.setdefault(key, {})[task] = unresolved
        return progress

    def record_stored(self, progress: Progress) -> None:
        """Record the progress that the store holds now."""
        for step, task, history in self.list_crash_histories():
            key = f"{step.id.occurrence}.{step.id.step}"
            history.record_stored(progress.unresolved.get(key, {}).get(task, {}))

    def import_progress(self, progress: Progress, now: float) -> None:
        """Add the progress that another owner has stored to what is known here."""
        self.steps.import_completed(progress.completed)
        for key in progress.list_steps():
            step = self.steps.get(_parse_step_key(key))
            if step is None:
                continue
            for task in progress.done.get(key, ()):
                step.mark_done(task)
            for first, last in progress.done_ranges.get(key, ()):
                for task in range(max(first, 0), min(last + 1, step.spec.count)):
                    step.mark_done(task)
            for task, runs in progress.failed.get(key, {}).items():
                step.failed.setdefault(task, set()).update(runs)
            crashed, unresolved = progress.crashed.get(key, {}), progress.unresolved.get(key, {})
            for task in crashed.keys() | unresolved.keys():
                stored = CrashHistory.restore(crashed.get(task, {}), unresolved.get(task, {}), now)
                step.merge_crash_history(task, stored)
        if progress.has_begun:
            self.state = SubmissionState.RUNNING


def _parse_step_key(key: str) -> tuple[int, int]:
    """Return the occurrence and the step of a key of stored progress; -1 if it has none."""
    occurrence, _, step = key.partition(".")
    if not (occurrence.isdecimal() and step.isdecimal()):
        return (-1, -1)
    return (int(occurrence), int(step))


def count_queued(entries: Iterable[SubmissionProgress]) -> dict[str, int]:
    """Return, by queue, how many submissions have not begun."""
    names = (e.submission.queue.name for e in entries if e.state is SubmissionState.QUEUED)
    return dict(collections.Counter(names))
