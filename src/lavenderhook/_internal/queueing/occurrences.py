"""Occurrences of a submission: those that may run now are open, the others are only counted."""

from __future__ import annotations

import dataclasses
import math
from collections.abc import Callable, Iterable, Iterator

from .model import USELESS_AFTER_OBJECTIVES
from .number_ranges import NumberRanges
from .step_progress import StepProgress

# Of one submission, without any run. Another one is opened for each of which a task starts, so that
# this bounds what is ranked and what asks for advice, and not what runs.
MAX_WAITING_OCCURRENCES = 32
MAX_SURPLUS_OCCURRENCES = 32  # that were in time when they were opened, before any is closed


@dataclasses.dataclass(frozen=True, slots=True)
class OccurrenceTimes:
    """When the occurrences of a submission are due.

    Attributes
    ----------
    count : int
    first_due_at : float
        On the owner's clock.
    interval_seconds : float
    objective_seconds : float
        From the time at which an occurrence is due until it is to be done.
    """

    count: int
    first_due_at: float
    interval_seconds: float
    objective_seconds: float

    def compute_due_at(self, occurrence: int) -> float:
        """Return when an occurrence is due."""
        return self.first_due_at + occurrence * self.interval_seconds

    @property
    def last_objective_at(self) -> float:
        """When the last occurrence is to be done."""
        return self.compute_due_at(self.count - 1) + self.objective_seconds

    def count_due(self, now: float) -> int:
        """Return how many occurrences, from the first one on, are due at a time."""
        return self._count_until(now, math.floor, 1)

    def find_first_since(self, since: float) -> int:
        """Return the first occurrence that is due at a time or later."""
        return self._count_until(since, math.ceil, 0)

    def _count_until(self, at: float, to_whole: Callable[[float], int], extra: int) -> int:
        if self.interval_seconds <= 0:
            return self.count if at >= self.first_due_at else 0
        position = to_whole((at - self.first_due_at) / self.interval_seconds) + extra
        return max(0, min(position, self.count))


class OccurrenceTable:
    """Steps of the open occurrences of a submission, by occurrence and step.

    Handles schedules of tens of thousands of occurrences, many of which may be overdue: an
    occurrence is opened when it is due and few others of its submission wait, or when something
    refers to it, and is closed once all its tasks are done. So neither the owner's memory nor the
    duration of a placement pass grows with the number of repetitions.

    Parameters
    ----------
    times : OccurrenceTimes
    make_steps : callable
        Returns the steps of an occurrence, without any run.
    """

    def __init__(
        self, times: OccurrenceTimes, make_steps: Callable[[int], list[StepProgress]]
    ) -> None:
        self.times = times
        self._make_steps = make_steps
        self._open: dict[int, list[StepProgress]] = {}
        self._completed = NumberRanges()

    def __getitem__(self, key: tuple[int, int]) -> StepProgress:
        return self._get_or_open(key[0])[key[1]]

    def get(self, key: tuple[int, int]) -> StepProgress | None:
        """Return a step, or None if the submission has no such one."""
        occurrence, index = key
        if not 0 <= occurrence < self.times.count:
            return None
        steps = self._get_or_open(occurrence)
        return steps[index] if 0 <= index < len(steps) else None

    def values(self) -> Iterator[StepProgress]:
        """Yield the steps of the open occurrences."""
        for steps in list(self._open.values()):
            yield from steps

    def _get_or_open(self, occurrence: int) -> list[StepProgress]:
        steps = self._open.get(occurrence)
        if steps is None:
            steps = self._open[occurrence] = self._make_steps(occurrence)
            if occurrence in self._completed:
                for step in steps:
                    step.mark_all_done()
        return steps

    def update(self, now: float) -> None:
        """Open the occurrences that are due, as far as they may wait, and close the done ones.

        Those that are in time, those that are late and those that are of no use any longer are
        bounded apart, so that none keeps the more useful ones from their turn. Each are opened in
        the order in which they are due.
        """
        if self.times.count == 1 and self._open:
            return
        self.close_done()
        objective, end = self.times.objective_seconds, self.times.count_due(now)
        useful = self.times.find_first_since(now - USELESS_AFTER_OBJECTIVES * objective)
        in_time = self.times.find_first_since(now - objective)
        for first, last in ((0, useful), (useful, in_time), (in_time, end)):
            self._limit_waiting(first, min(last, end))

    def _limit_waiting(self, first: int, end: int) -> None:
        """Open or close occurrences from `first` up to `end`, which is excluded."""
        waiting = [
            occurrence
            for occurrence, steps in self._open.items()
            if first <= occurrence < end and not any(step.runs for step in steps)
        ]
        if len(waiting) > MAX_WAITING_OCCURRENCES + MAX_SURPLUS_OCCURRENCES:
            for occurrence in sorted(waiting)[MAX_WAITING_OCCURRENCES:]:
                if all(step.is_untouched for step in self._open[occurrence]):
                    del self._open[occurrence]
            return
        occurrence = self._completed.find_missing(first)
        while occurrence < end and len(waiting) < MAX_WAITING_OCCURRENCES:
            if occurrence not in self._open:
                self._get_or_open(occurrence)
                waiting.append(occurrence)
            occurrence = self._completed.find_missing(occurrence + 1)

    def close_done(self) -> None:
        """Close the occurrences of which all tasks are done and no run is active."""
        for occurrence, steps in list(self._open.items()):
            if all(step.is_done and not step.runs for step in steps):
                del self._open[occurrence]
                self._completed.add_range(occurrence, occurrence)

    @property
    def is_done(self) -> bool:
        """Whether every task of every occurrence has ended done."""
        done = 0
        for occurrence, steps in self._open.items():
            if not all(step.is_done for step in steps):
                return False
            done += occurrence not in self._completed
        return done + len(self._completed) == self.times.count

    def count_unopened(self) -> int:
        """Return how many occurrences are neither open nor done."""
        known = sum(occurrence not in self._completed for occurrence in self._open)
        return self.times.count - len(self._completed) - known

    def export_completed(self) -> list[tuple[int, int]]:
        """Return the ranges of closed occurrences, by their first and last numbers."""
        return list(self._completed)

    def import_completed(self, ranges: Iterable[tuple[int, int]]) -> None:
        """Add ranges of occurrences of which all tasks are done."""
        for first, last in ranges:
            first, last = max(first, 0), min(last, self.times.count - 1)
            self._completed.add_range(first, last)
            for occurrence, steps in self._open.items():
                if first <= occurrence <= last:
                    for step in steps:
                        step.mark_all_done()
