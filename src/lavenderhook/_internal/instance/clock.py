"""The clock by which the age of a proof or a confirmation is measured."""

from __future__ import annotations

import time


def read_elapsed_clock() -> float:
    """Return a clock in seconds that goes on while the machine is suspended."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)
