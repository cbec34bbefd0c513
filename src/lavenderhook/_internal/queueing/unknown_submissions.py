"""Submissions whose finished runs are reported, but whose rows are missing or unreadable.

Workers keep such finished runs: a row that is found later, or read by a later owner, would start
their tasks again.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping, MutableMapping

from ..core.identifiers import WorkerId
from .effects import Effect, ReadSubmission
from .events import SubmissionAbsent, SubmissionUnreadable
from .model import FinishedRun, RunState, SubmissionId
from .submissions import SubmissionProgress
from .workers import Run, Worker

SEARCH_INTERVAL_SECONDS = 2.5  # for one submission; a call to the store takes 2.2 s at most
MAX_SEARCHES_PER_REPORT = 4  # of a worker that has kept many finished runs for long


class UnknownSubmissions:
    """Has the rows of unknown submissions read, and applies what the reads show.

    Parameters
    ----------
    workers : mapping
    submissions : mutable mapping
        The submissions that are known.
    process_finished_run : callable
        Takes (worker, finished run, now) and returns effects.
    remove_run : callable
        Takes (run, now) of a run that can never begin, and returns effects.
    """

    def __init__(
        self,
        workers: Mapping[WorkerId, Worker],
        submissions: MutableMapping[SubmissionId, SubmissionProgress],
        process_finished_run: Callable[[Worker, FinishedRun, float], list[Effect]],
        remove_run: Callable[[Run, float], list[Effect]],
    ) -> None:
        self._workers = workers
        self._submissions = submissions
        self._process_finished_run = process_finished_run
        self._remove_run = remove_run
        self._next_search_at: dict[SubmissionId, float] = {}

    def search(self, worker: Worker, now: float) -> list[Effect]:
        """Request reads of the submissions whose finished runs have waited for long."""
        self._next_search_at = {s: at for s, at in self._next_search_at.items() if at > now}
        overdue = worker.finished_runs.list_overdue(now)
        due = [submission for submission in overdue if submission not in self._next_search_at]
        effects: list[Effect] = []
        for submission in due[:MAX_SEARCHES_PER_REPORT]:
            self._next_search_at[submission] = now + SEARCH_INTERVAL_SECONDS
            effects.append(ReadSubmission(submission=submission))
        return effects

    def handle_absent(self, event: SubmissionAbsent) -> list[Effect]:
        """Let the finished runs of a submission pass whose rows have been deleted."""
        effects: list[Effect] = []
        for worker in self._workers.values():
            for finished in worker.finished_runs.take_absent(event.submission, event.read_at):
                effects += self._process_finished_run(worker, finished, event.now)
        return effects

    def handle_unreadable(self, event: SubmissionUnreadable) -> list[Effect]:
        """Forget a submission; its finished runs wait, unless the store covers them already."""
        if self._submissions.pop(event.submission, None) is None:
            return []
        effects: list[Effect] = []
        for worker in self._workers.values():
            worker.finished_runs.retract(event.submission, event.now)
            for run in list(worker.runs.values()):
                if run.task.submission == event.submission and run.state is RunState.PLANNED:
                    effects += self._remove_run(run, event.now)
        return effects
