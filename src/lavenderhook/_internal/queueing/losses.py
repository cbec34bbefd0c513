"""Runs that are lost with their worker."""

from __future__ import annotations

import enum

from .effects import LogDecision
from .log_lines import log_run
from .model import WorkerState
from .workers import Worker


class LossReason(enum.Enum):
    """Why the runs of a worker are lost."""

    RESTARTED = "restarted"  # it runs again under the same id
    REPLACED = "replaced"  # another worker or incarnation answers at its address
    SILENT = "silent"  # its leases have expired; it may only have been cut off
    LEFT = "left"  # it was draining before


def find_loss_reason(worker: Worker, reason: LossReason) -> LossReason:
    """Return `reason`, or `LEFT` for a worker that was draining."""
    return LossReason.LEFT if worker.listing.state is WorkerState.DRAINING else reason


def log_lost_runs(worker: Worker, reason: LossReason, now: float) -> list[LogDecision]:
    """Return a log line for each run that is lost with a worker."""
    return [
        log_run(
            "run-lost",
            run.task,
            run.number,
            worker.id,
            reason=reason.value,
            age=round(now - run.commanded_at, 3),
            report_age=round(now - worker.last_report_at, 3),
            beside=len(worker.runs) - 1,
            unconfirmed=run.acknowledged_at is None,
        )
        for run in worker.runs.values()
    ]
