"""Clock and timer service of the process."""

from __future__ import annotations

import time
from collections.abc import Callable

import gevent

from ..ports.time import Clock, Timers

# While the wall clock is behind the last time returned, the returned time advances at this fraction
# of the real rate, so that it neither goes back nor stalls.
SLEW_RATE = 0.5


class SystemClock(Clock):
    """Wall-clock time in seconds that never goes back.

    Leases are absolute times that workers compare with their own clocks, so the wall clock is
    followed; a step back is absorbed by slewing.
    """

    def __init__(
        self,
        read_wall: Callable[[], float] = time.time,
        read_monotonic: Callable[[], float] = time.monotonic,
    ) -> None:
        self._read_wall = read_wall
        self._read_monotonic = read_monotonic
        self._last = read_wall()
        self._last_monotonic = read_monotonic()

    def read(self) -> float:
        """Return the time in seconds; it never goes back."""
        monotonic = self._read_monotonic()
        elapsed = monotonic - self._last_monotonic
        wall = self._read_wall()
        self._last = max(wall, self._last + elapsed * SLEW_RATE)
        self._last_monotonic = monotonic
        return self._last


class GeventTimers(Timers):
    """Timer service with one greenlet for each subscription."""

    def __init__(self) -> None:
        self._greenlets: list[gevent.Greenlet] = []

    def subscribe(self, name: str, interval: float, notify: Callable[[str], None]) -> None:
        """Call `notify` with `name` every `interval` seconds until stopped."""
        self._greenlets.append(gevent.spawn(self._run, name, interval, notify))

    def stop(self) -> None:
        """Cancel all subscriptions."""
        gevent.killall(self._greenlets, block=False)
        self._greenlets.clear()

    def _run(self, name: str, interval: float, notify: Callable[[str], None]) -> None:
        due = time.monotonic()
        while True:
            notify(name)
            now = time.monotonic()
            # Ticks missed while the process was paused are skipped.
            due = max(due + interval, now)
            gevent.sleep(due - now)
