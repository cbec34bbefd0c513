"""Durations of placement passes, and the time that is left between them for everything else."""

from __future__ import annotations

import contextlib
import time
from collections.abc import Callable, Iterator

from ..queueing.pass_size import PassSize
from .table_watcher import LogEvent

REPORT_INTERVAL_SECONDS = 1.0
MIN_PAUSE_SECONDS = 0.004  # events within it share a placement pass
MAX_PAUSE_SECONDS = 0.1


class PlacementPasses:
    """Measures placement passes, reports those of each second, and leaves time between them.

    A pass occupies the process: no lease is renewed and no call is answered meanwhile. Handles a
    backlog whose passes take long: each event would cause another one, and nothing else would run.

    Parameters
    ----------
    log_event : callable
        Takes the name of a log event and its fields.
    read_clock : callable
        Returns the time in seconds; replaced in tests.
    """

    def __init__(
        self, log_event: LogEvent, read_clock: Callable[[], float] = time.monotonic
    ) -> None:
        self._log_event = log_event
        self._read_clock = read_clock
        self._next_report_at = 0.0
        self._last_seconds = 0.0
        self._begin_report()

    def compute_pause(self) -> float:
        """Return for how many seconds other work goes on before the next pass.

        As long as the last pass has taken, so that passes take half of the time at most, unless
        they are longer than the longest pause.
        """
        return max(MIN_PAUSE_SECONDS, min(self._last_seconds, MAX_PAUSE_SECONDS))

    def _begin_report(self) -> None:
        self._count = 0
        self._total_seconds = self._longest_seconds = 0.0
        self._largest = PassSize()

    @contextlib.contextmanager
    def measure(self, get_size: Callable[[], PassSize]) -> Iterator[None]:
        """Measure one pass; `get_size` returns what it has handled, once it has ended."""
        began_at = self._read_clock()
        yield
        ended_at = self._read_clock()
        seconds = ended_at - began_at
        self._last_seconds = seconds
        self._count += 1
        self._total_seconds += seconds
        self._longest_seconds = max(self._longest_seconds, seconds)
        self._largest = self._largest.merge(get_size())
        if ended_at >= self._next_report_at:
            self._next_report_at = ended_at + REPORT_INTERVAL_SECONDS
            self._report()

    def _report(self) -> None:
        if self._largest.ranked:
            self._log_event(
                "placement-passes",
                passes=self._count,
                seconds=round(self._total_seconds, 4),
                longest=round(self._longest_seconds, 4),
                ranked=self._largest.ranked,
                tried=self._largest.tried,
                advice_waiting=self._largest.advice_waiting,
                promoted=self._largest.promoted,
            )
        self._begin_report()
