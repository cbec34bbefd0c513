"""State of submissions: which tasks wait, run or are done."""

from __future__ import annotations

import dataclasses

from ..core.identifiers import WorkerId
from .model import (
    RunNumber,
    StepId,
    StepSpec,
    Submission,
    SubmissionState,
    TicketId,
)
from .records import Progress
from .workers import Run

GANG_INDEX = -1  # key of what a gang's members share: checkpoint, failures, avoided workers
GANG_PLAN_MAX_AGE_SECONDS = 0.2  # few active runs end within it
TICKET_MARGIN_SECONDS = 0.15  # a ticket is not used this close to its expiry


@dataclasses.dataclass(slots=True)
class Ticket:
    """Permission to run a step on one worker."""

    id: TicketId
    expires_at: float


@dataclasses.dataclass(frozen=True, slots=True)
class GangPlan:
    """Where a gang is to run, and when there will be free capacity for it.

    Attributes
    ----------
    members : dict
        How many members each worker gets.
    """

    made_at: float
    ready_at: float
    members: dict[WorkerId, int]

    def is_current(self, now: float) -> bool:
        """Return whether the plan is still used."""
        return now - self.made_at < GANG_PLAN_MAX_AGE_SECONDS


class StepProgress:
    """One occurrence of a step.

    Attributes
    ----------
    waiting : list of int
        Indices of tasks that have no run.
    allowed : dict
        Tickets by worker; a worker with an expired one is still allowed.
    copies : list of int
        Indices of tasks that are to get another run beside the active one.
    durations : list of float
        Of the runs that ended done, in seconds.
    restarts : dict
        By task index, how often a run was stopped since it was slow.
    plan : GangPlan or None
        Where capacity is reserved for a waiting gang.
    refused : set
        Workers that may not run the step.
    avoided : dict
        By task index, workers where a run of the task failed or was overdue.
    """

    __slots__ = (
        "allowed",
        "avoided",
        "checkpoints",
        "copies",
        "done",
        "due_at",
        "durations",
        "failed",
        "id",
        "is_advice_pending",
        "last_run_number",
        "next_advice_at",
        "objective_at",
        "plan",
        "refused",
        "restarts",
        "runs",
        "spec",
        "waiting",
    )

    def __init__(self, step_id: StepId, spec: StepSpec, first_run_number: RunNumber) -> None:
        self.id = step_id
        self.spec = spec
        self.waiting: list[int] = list(range(spec.count))
        self.done: set[int] = set()
        self.failed: dict[int, set[int]] = {}  # run numbers
        self.runs: dict[int, list[Run]] = {}
        self.checkpoints: dict[int, str] = {}
        self.allowed: dict[WorkerId, Ticket] = {}
        self.refused: set[WorkerId] = set()
        self.avoided: dict[int, set[WorkerId]] = {}
        self.copies: list[int] = []
        self.durations: list[float] = []
        self.restarts: dict[int, int] = {}
        self.plan: GangPlan | None = None
        self.is_advice_pending = False
        self.next_advice_at = 0.0
        self.due_at = 0.0
        self.objective_at = 0.0
        self.last_run_number = RunNumber(first_run_number - 1)

    @property
    def is_done(self) -> bool:
        """Whether every task has ended done."""
        return len(self.done) == self.spec.count

    def allocate_run_number(self) -> RunNumber:
        """Return the next run number of the step's tasks."""
        self.last_run_number = RunNumber(self.last_run_number + 1)
        return self.last_run_number

    def drop_needless_copies(self) -> None:
        """Forget the copies of tasks that are done, have one already, or have no run."""
        self.copies = [index for index in self.copies if len(self.runs.get(index, ())) == 1]

    def record_checkpoint(self, index: int, value: str) -> None:
        """Record a checkpoint; members of a gang share theirs."""
        if not value:
            return
        key = GANG_INDEX if self.spec.is_gang else index
        if key != GANG_INDEX or value > self.checkpoints.get(key, ""):
            self.checkpoints[key] = value

    def get_checkpoint(self, index: int) -> str:
        """Return the checkpoint from which a task resumes, or the empty string."""
        return self.checkpoints.get(GANG_INDEX if self.spec.is_gang else index, "")

    def add_run(self, run: Run) -> None:
        """Add a run of one of the tasks."""
        index = run.task.index
        self.runs.setdefault(index, []).append(run)
        if index in self.waiting:
            self.waiting.remove(index)
        self.last_run_number = RunNumber(max(self.last_run_number, run.number))

    def remove_run(self, run: Run) -> None:
        """Remove a run; its task waits again unless it is done or has other runs."""
        index = run.task.index
        left = [other for other in self.runs.get(index, ()) if other is not run]
        if left:
            self.runs[index] = left
            return
        self.runs.pop(index, None)
        if self.spec.is_gang:
            # A gang starts again only when all members of its former run have ended.
            if not self.runs and not self.is_done:
                self.waiting = [i for i in range(self.spec.count) if i not in self.done]
        elif index not in self.done and index not in self.waiting:
            self.waiting.append(index)

    def count_failure(self, index: int, number: RunNumber) -> int:
        """Count a failed run once, however often it is reported; return the failures so far."""
        key = GANG_INDEX if self.spec.is_gang else index
        runs = self.failed.setdefault(key, set())
        runs.add(number)
        return len(runs)

    def avoid(self, index: int, worker: WorkerId) -> None:
        """Avoid a worker for a task, or for a whole gang, if another one is available."""
        key = GANG_INDEX if self.spec.is_gang else index
        self.avoided.setdefault(key, set()).add(worker)

    def is_avoided(self, index: int, worker: WorkerId) -> bool:
        """Return whether a worker is avoided for a task."""
        return worker in self.avoided.get(GANG_INDEX if self.spec.is_gang else index, ())

    def mark_done(self, index: int) -> bool:
        """Mark a task, or all of a gang, as done; return whether the task was not done before."""
        is_new = index not in self.done
        if self.spec.is_gang:
            self.done.update(range(self.spec.count))
        else:
            self.done.add(index)
        self.waiting = [i for i in self.waiting if i not in self.done]
        return is_new


class SubmissionProgress:
    """A submission that has no final state yet.

    Attributes
    ----------
    revision : int
        Revision of the stored submission.
    progress_revision : int
        Revision of the stored progress; 0 if there is none.
    """

    def __init__(
        self,
        submission: Submission,
        revision: int,
        arrived_at: float,
        first_run_number: RunNumber,
    ) -> None:
        self.submission = submission
        self.revision = revision
        self.arrived_at = arrived_at
        self.state = SubmissionState.QUEUED
        self.is_finalizing = False
        self.progress_revision = 0
        self.steps: dict[tuple[int, int], StepProgress] = {}
        for occurrence in range(max(1, submission.repetitions)):
            due = arrived_at
            if submission.repetitions:
                offset = submission.first_due - submission.accepted_at
                due += offset + occurrence * submission.interval_seconds
            for index, spec in enumerate(submission.steps):
                step_id = StepId(submission.id, occurrence, index)
                step = StepProgress(step_id, spec, first_run_number)
                step.due_at = due
                step.objective_at = due + self._compute_objective()
                self.steps[(occurrence, index)] = step

    def _compute_objective(self) -> float:
        critical_path_seconds = 0.0
        path_seconds: list[float] = []
        for spec in self.submission.steps:
            start_seconds = max(
                (path_seconds[i] for i in spec.after if i < len(path_seconds)), default=0.0
            )
            path_seconds.append(start_seconds + spec.estimate_seconds)
            critical_path_seconds = max(critical_path_seconds, path_seconds[-1])
        terms = self.submission.queue
        return terms.slack_factor * critical_path_seconds + terms.latency_seconds

    @property
    def is_done(self) -> bool:
        """Whether every task of every step has ended done."""
        return all(step.is_done for step in self.steps.values())

    def is_ready(self, step: StepProgress, now: float) -> bool:
        """Return whether a step is due and the steps before it are done."""
        occurrence = step.id.occurrence
        return now >= step.due_at and all(
            self.steps[(occurrence, earlier)].is_done for earlier in step.spec.after
        )

    def export_progress(self) -> Progress:
        """Return the progress to store."""
        progress = Progress(done={}, failed={})
        for (occurrence, index), step in self.steps.items():
            key = f"{occurrence}.{index}"
            if step.done:
                progress.done[key] = sorted(step.done)
            if step.failed:
                progress.failed[key] = {i: sorted(runs) for i, runs in step.failed.items()}
        return progress

    def import_progress(self, progress: Progress) -> None:
        """Restore the progress that an earlier owner stored."""
        for (occurrence, index), step in self.steps.items():
            key = f"{occurrence}.{index}"
            for task in progress.done.get(key, ()):
                step.mark_done(task)
            step.failed = {i: set(runs) for i, runs in progress.failed.get(key, {}).items()}
        if progress.done or progress.failed:
            self.state = SubmissionState.RUNNING
