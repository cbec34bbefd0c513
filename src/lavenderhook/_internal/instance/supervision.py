"""Loops that go on after an unexpected error."""

from __future__ import annotations

from collections.abc import Callable

import gevent

RESTART_DELAY_SECONDS = 0.5  # keeps a loop that fails at once from using the processor

ReportError = Callable[[str, BaseException], None]  # takes what failed and the error


def run_until_stopped(
    loop: Callable[[], None], is_stopped: Callable[[], bool], report_error: ReportError
) -> None:
    """Run a loop, and start it again after an unexpected error.

    An error that no handler expects ends only the iteration in which it occurs: a process whose
    loop had ended silently would look healthy and no longer do its work.
    """
    while not is_stopped():
        try:
            loop()
            return
        except Exception as error:
            report_error(f"unexpected error in {loop.__name__}", error)
            gevent.sleep(RESTART_DELAY_SECONDS)
