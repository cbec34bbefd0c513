"""Why runs are stopped."""

from __future__ import annotations

import enum


class StopReason(enum.Enum):
    """Why the owner stops a run; the log line and the counter of its stop name it."""

    SUBMISSION_ENDED = "submission-ended"  # cancelled, or failed by another of its tasks
    START_UNCONFIRMED = "start-unconfirmed"  # it may or may not have begun
    NEEDLESS = "needless"  # its task is done, or another run of it is active
    REVIEWED = "reviewed"  # it goes on elsewhere; see the line `run-reviewed`
    OVER_CAPACITY = "over-capacity"  # the worker has shrunk before the start
    OVER_LIMIT = "over-limit"  # the limit of its organisation was lowered before the start
    GANG_BROKEN = "gang-broken"  # another member has ended
