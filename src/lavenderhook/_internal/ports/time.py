"""Ports to time: the clock and the timer service."""

from __future__ import annotations

import abc
from collections.abc import Callable


class Clock(abc.ABC):
    """A source of time."""

    @abc.abstractmethod
    def read(self) -> float:
        """Return the time in seconds; it never goes back within a process."""


class Timers(abc.ABC):
    """The timer service to which components subscribe."""

    @abc.abstractmethod
    def subscribe(self, name: str, interval: float, notify: Callable[[str], None]) -> None:
        """Call `notify` with `name` every `interval` seconds until `stop` is called."""

    @abc.abstractmethod
    def stop(self) -> None:
        """End all subscriptions."""
