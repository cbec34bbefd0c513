"""Starts that an owner has commanded lately, stored so that the next owner knows of them.

An owner may end before it learns that a worker has crashed, and its successor sees neither the run
nor the crash. Rows of the log are overwritten in turn; each is stored with the next commit after
its starts were sent, so that starts don't wait for the store. Runs that have ended otherwise, or
never began, are withdrawn.
"""

from __future__ import annotations

import itertools
from collections.abc import Iterable
from typing import NamedTuple

import msgspec

from ..core.identifiers import WorkerId
from .model import RunNumber, StartCommand, SubmissionId, TaskKey, WorkerIncarnation
from .workers import Run

START_LOG_TABLE = "lavenderhook-starts"
ROWS = 256  # with one each 30 ms, they cover a crash that is noticed once the leases have expired
MAX_ENTRIES_PER_ROW = 400  # a row holds 64 KB
# Older starts are known from the reports of their workers, or have ended.
MAX_AGE_SECONDS = 15.0


class LoggedStart(NamedTuple):
    """A start command, and the incarnation of the worker that it was sent to."""

    task: TaskKey
    number: RunNumber
    worker: WorkerId
    incarnation: WorkerIncarnation


class StartLogRow(msgspec.Struct, frozen=True, kw_only=True, omit_defaults=True):
    """A row of the log; `at` is Unix time in seconds."""

    at: float
    starts: list[LoggedStart] = []
    withdrawn: list[tuple[TaskKey, RunNumber, WorkerId]] = []


class StartLog:
    """Starts of one owner that aren't stored yet."""

    def __init__(self) -> None:
        self._starts: dict[tuple[TaskKey, RunNumber, WorkerId], WorkerIncarnation] = {}
        self._withdrawn: dict[tuple[TaskKey, RunNumber, WorkerId], None] = {}
        self._row = 0

    @property
    def has_changes(self) -> bool:
        """Whether there is something to store."""
        return bool(self._starts or self._withdrawn)

    def add(self, command: StartCommand, incarnation: WorkerIncarnation) -> None:
        """Add a start."""
        self._starts[(command.task, command.number, command.worker)] = incarnation

    def withdraw(self, run: Run) -> None:
        """Record that a run has ended, or never began, without a crash of its worker."""
        key = (run.task, run.number, run.worker)
        if self._starts.pop(key, None) is None:
            self._withdrawn[key] = None

    def take(self, at: float) -> StartLogRow | None:
        """Return the next row to store, or None if there are no changes."""
        if not self.has_changes:
            return None
        starts = dict(itertools.islice(self._starts.items(), MAX_ENTRIES_PER_ROW))
        withdrawn = list(itertools.islice(self._withdrawn, MAX_ENTRIES_PER_ROW - len(starts)))
        for key in starts:
            del self._starts[key]
        for key in withdrawn:
            del self._withdrawn[key]
        return StartLogRow(
            at=at,
            starts=[LoggedStart(*key, incarnation) for key, incarnation in starts.items()],
            withdrawn=withdrawn,
        )

    def put_back(self, row: StartLogRow | None) -> None:
        """Store the entries of a row, if there is one, with the next commit."""
        if row is None:
            return
        self._withdrawn |= dict.fromkeys(row.withdrawn)
        for start in row.starts:
            key = (start.task, start.number, start.worker)
            if key not in self._withdrawn:
                self._starts[key] = start.incarnation

    def next_key(self) -> str:
        """Return the key of the next row; it replaces the oldest one."""
        self._row = (self._row + 1) % ROWS
        return f"{self._row:03}"


def collect_starts(
    rows: Iterable[StartLogRow], now: float
) -> dict[SubmissionId, list[LoggedStart]]:
    """Return the starts of stored rows by submission; `now` is Unix time in seconds."""
    recent = [row for row in rows if now - row.at <= MAX_AGE_SECONDS]
    withdrawn = {key for row in recent for key in row.withdrawn}
    starts: dict[SubmissionId, list[LoggedStart]] = {}
    for row in recent:
        for start in row.starts:
            if (start.task, start.number, start.worker) not in withdrawn:
                starts.setdefault(start.task.submission, []).append(start)
    return starts
