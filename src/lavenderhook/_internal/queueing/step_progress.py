"""State of one occurrence of a step: which of its tasks wait, run or are done."""

from __future__ import annotations

import dataclasses

from ..core.identifiers import WorkerId
from .crash_history import CrashHistory, SuspicionLevel
from .model import RunNumber, StepId, StepSpec, TaskKey, TicketId
from .workers import Run, Worker

GANG_INDEX = -1  # key of what a gang's members share: checkpoint, failures, avoided workers
GANG_PLAN_MAX_AGE_SECONDS = 0.2  # few active runs end within it
TICKET_MARGIN_SECONDS = 0.15  # a ticket is not used this close to its expiry


@dataclasses.dataclass(slots=True)
class Ticket:
    """Permission to run a step on one incarnation of a worker.

    Attributes
    ----------
    incarnation : int
        See `Worker`.
    """

    id: TicketId
    expires_at: float
    incarnation: int

    def is_valid(self, worker: Worker, now: float) -> bool:
        """Return whether a worker starts tasks with this ticket."""
        return self.expires_at > now and self.incarnation == worker.incarnation


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
        Tickets by worker; a worker with one that is not valid any longer is still allowed.
    asked : dict
        Incarnations of the workers that the last call for advice has named.
    copies : list of int
        Indices of tasks that are to get another run beside the active one.
    durations : list of float
        Of the runs that ended done, in seconds.
    restarts : dict
        By task index, how often a run was stopped since it was slow.
    following_seconds : float
        Estimate for the longest path of the steps after this one.
    plan : GangPlan or None
        Where capacity is reserved for a waiting gang.
    refused : set
        Workers that may not run the step.
    avoided : dict
        By task index, workers where a run of the task failed, was overdue or crashed the worker.
    crash_histories : dict
        By task index, the crashes of workers on which the task ran.
    """

    __slots__ = (
        "_by_rack",
        "_by_worker",
        "allowed",
        "asked",
        "avoided",
        "checkpoints",
        "copies",
        "crash_histories",
        "done",
        "due_at",
        "durations",
        "failed",
        "first_run_number",
        "following_seconds",
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
        self.first_run_number = first_run_number
        self.waiting: list[int] = list(range(spec.count))
        self.done: set[int] = set()
        self.failed: dict[int, set[int]] = {}  # run numbers
        self.runs: dict[int, list[Run]] = {}
        self._by_worker: dict[str, int] = {}
        self._by_rack: dict[str, int] = {}
        self.checkpoints: dict[int, str] = {}
        self.allowed: dict[WorkerId, Ticket] = {}
        self.asked: dict[WorkerId, int] = {}
        self.refused: set[WorkerId] = set()
        self.avoided: dict[int, set[WorkerId]] = {}
        self.copies: list[int] = []
        self.crash_histories: dict[int, CrashHistory] = {}
        self.durations: list[float] = []
        self.restarts: dict[int, int] = {}
        self.plan: GangPlan | None = None
        self.is_advice_pending = False
        self.next_advice_at = 0.0
        self.due_at = 0.0
        self.objective_at = 0.0
        self.following_seconds = 0.0
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
        """Forget the copies of tasks that are done, copied, without a run, or suspects."""
        self.copies = [
            index
            for index in self.copies
            if len(self.runs.get(index, ())) == 1 and not self.is_suspect(index)
        ]

    def record_checkpoint(self, index: int, value: str) -> None:
        """Record a checkpoint; members of a gang share theirs."""
        if not value:
            return
        key = self._get_key(index)
        if key != GANG_INDEX or value > self.checkpoints.get(key, ""):
            self.checkpoints[key] = value

    def get_checkpoint(self, index: int) -> str:
        """Return the checkpoint from which a task resumes, or the empty string."""
        return self.checkpoints.get(self._get_key(index), "")

    def add_run(self, run: Run) -> None:
        """Add a run of one of the tasks."""
        index = run.task.index
        self.runs.setdefault(index, []).append(run)
        self._count_run(run, 1)
        if index in self.waiting:
            self.waiting.remove(index)
        self.last_run_number = RunNumber(max(self.last_run_number, run.number))
        history = self.find_crash_history(index)
        if history is not None:
            history.add_active(run.number, run.worker, run.incarnation)
            run.is_suspect = run.is_on_trial = self.is_suspect(index)

    def remove_run(self, run: Run) -> None:
        """Remove a run; its task waits again unless it is done or has other runs."""
        index = run.task.index
        history = self.find_crash_history(index)
        if history is not None:
            history.remove_inactive(run.number, run.worker)
        if self.has_run(run):
            self._count_run(run, -1)
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

    def _count_run(self, run: Run, change: int) -> None:
        for counts, key in ((self._by_worker, str(run.worker)), (self._by_rack, run.rack)):
            counts[key] = counts.get(key, 0) + change
            if not counts[key]:
                del counts[key]

    def count_on_worker(self, worker: Worker) -> int:
        """Return how many runs a worker holds."""
        return self._by_worker.get(worker.id, 0)

    def count_in_rack(self, worker: Worker) -> int:
        """Return how many runs the rack of a worker holds."""
        return self._by_rack.get(worker.rack, 0)

    def count_failure(self, index: int, number: RunNumber) -> int:
        """Count a failed run once, however often it is reported; return the failures so far."""
        key = self._get_key(index)
        runs = self.failed.setdefault(key, set())
        runs.add(number)
        return len(runs)

    def avoid(self, index: int, worker: WorkerId) -> None:
        """Avoid a worker for a task, or for a whole gang, if another one is available."""
        key = self._get_key(index)
        self.avoided.setdefault(key, set()).add(worker)

    def stop_avoiding(self, index: int, worker: WorkerId) -> None:
        """Stop avoiding a worker for a task, or for a whole gang."""
        self.avoided.get(self._get_key(index), set()).discard(worker)

    def is_avoided(self, index: int, worker: WorkerId) -> bool:
        """Return whether a worker is avoided for a task."""
        return worker in self.avoided.get(self._get_key(index), ())

    def mark_done(self, index: int) -> bool:
        """Mark a task, or all of a gang, as done; return whether the task was not done before."""
        is_new = index not in self.done
        if self.spec.is_gang:
            self.done.update(range(self.spec.count))
        else:
            self.done.add(index)
        if self.spec.is_gang:
            self.waiting.clear()
        elif index in self.waiting:
            self.waiting.remove(index)
        self.crash_histories.pop(self._get_key(index), None)
        return is_new

    def mark_all_done(self) -> None:
        """Mark every task as done."""
        self.done.update(range(self.spec.count))
        self.waiting.clear()
        self.crash_histories.clear()

    @property
    def is_untouched(self) -> bool:
        """Whether nothing would be lost if this object were made anew."""
        has_history = self.failed or self.crash_histories or self.checkpoints or self.avoided
        return (
            self.last_run_number < self.first_run_number
            and not (self.runs or self.done or has_history)
            and not self.is_advice_pending
        )

    def make_task_key(self, index: int) -> TaskKey:
        """Return the key of a task."""
        return TaskKey(self.id.submission, self.id.occurrence, self.id.step, index)

    def has_failed_often(self, most_attempts: int) -> bool:
        """Return whether a task, or the gang, that isn't done has used up its attempts."""
        return any(
            len(runs) >= most_attempts and not self._is_done(key)
            for key, runs in self.failed.items()
        )

    def _is_done(self, key: int) -> bool:
        return self.is_done if key == GANG_INDEX else key in self.done

    def _get_key(self, index: int) -> int:
        return GANG_INDEX if self.spec.is_gang else index

    # Crashes of workers under the tasks of the step.

    def find_crash_history(self, index: int) -> CrashHistory | None:
        """Return the crashes under a task, or under its gang, if there were any."""
        return self.crash_histories.get(self._get_key(index))

    def get_or_add_crash_history(self, index: int) -> CrashHistory:
        """Return the crashes under a task, or under its gang."""
        return self.crash_histories.setdefault(self._get_key(index), CrashHistory())

    def merge_crash_history(self, key: int, found: CrashHistory) -> None:
        """Add the crashes under a task, or under its gang, that another owner has stored."""
        if self._is_done(key):
            return
        history = self.crash_histories.setdefault(key, CrashHistory())
        history.merge(found)
        for run in self.list_runs(key):
            history.add_active(run.number, run.worker, run.incarnation)
            if not run.is_suspect:
                run.is_suspect = run.is_on_trial = self.is_suspect(run.task.index)

    def has_lost(self, run: Run) -> bool:
        """Return whether a run has crashed its worker, or may have done so."""
        history = self.find_crash_history(run.task.index)
        return history is not None and run.number in history.runs

    def drop_empty_history(self, index: int) -> None:
        """Forget the history of a task or gang that names no run any longer."""
        history = self.find_crash_history(index)
        if history is not None and not history.runs:
            del self.crash_histories[self._get_key(index)]

    def forget_crashes(self, index: int) -> None:
        """Forget the crashes under a task or gang that is not their cause."""
        self.crash_histories.pop(self._get_key(index), None)
        for run in self.list_runs(self._get_key(index)):
            run.is_suspect = run.is_on_trial = False

    def get_suspicion(self, index: int) -> SuspicionLevel:
        """Return how a task is to be placed."""
        history = self.find_crash_history(index)
        return SuspicionLevel.NONE if history is None else history.level

    def is_suspect(self, index: int) -> bool:
        """Return whether a task may have crashed workers."""
        return self.get_suspicion(index) is not SuspicionLevel.NONE

    def list_runs(self, key: int) -> list[Run]:
        """Return the runs of the task or gang that a crash history is kept for."""
        return self.list_all_runs() if key == GANG_INDEX else self.runs.get(key, [])

    def list_all_runs(self) -> list[Run]:
        """Return the runs of all tasks."""
        return [run for runs in self.runs.values() for run in runs]

    def has_run(self, run: Run) -> bool:
        """Return whether a run of the step is still active."""
        return any(other is run for other in self.runs.get(run.task.index, ()))

    def shares_history(self, run: Run, other: Run) -> bool:
        """Return whether a run of this step belongs to the same task or gang as another run."""
        if self.spec.is_gang:
            return run.task.step_id == other.task.step_id
        return run.task == other.task
