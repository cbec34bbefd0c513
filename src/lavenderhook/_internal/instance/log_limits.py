"""Limit on log lines that clients cause.

Answers crowds of refused clients: a refusal costs less than the line that reports it.
"""

from __future__ import annotations

from collections.abc import Collection


class LineLimiter:
    """Admits a number of lines a second of some events, and counts the others.

    Parameters
    ----------
    events : collection of str
        Those that are limited.
    lines_per_second : int
        Of each of them.
    """

    def __init__(self, events: Collection[str], lines_per_second: int) -> None:
        self._lines_per_second = lines_per_second
        self._windows = dict.fromkeys(events, (0.0, 0))  # start in seconds, and lines since
        self._omitted = dict.fromkeys(events, 0)

    def admit(self, event: str, now: float) -> int | None:
        """Return how many lines were omitted since the last one, or None to omit this one too.

        Parameters
        ----------
        event : str
        now : float
            Monotonic time in seconds.
        """
        if event not in self._windows:
            return 0
        started_at, lines = self._windows[event]
        if now - started_at >= 1.0:
            started_at, lines = now, 0
        self._windows[event] = (started_at, lines + 1)
        if lines >= self._lines_per_second:
            self._omitted[event] += 1
            return None
        omitted, self._omitted[event] = self._omitted[event], 0
        return omitted
