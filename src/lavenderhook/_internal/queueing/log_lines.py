"""Log lines on runs and workers."""

from __future__ import annotations

from ..core.identifiers import WorkerId
from .effects import LogDecision
from .model import RunNumber, TaskKey
from .workers import Worker


def log_run(
    decision: str, task: TaskKey, number: RunNumber, worker: WorkerId, **fields: object
) -> LogDecision:
    """Return the log line of a decision on one run."""
    return LogDecision(
        decision=decision,
        fields={"task": str(task), "run": number, "worker": worker, **fields},
    )


def log_worker(decision: str, worker: Worker, **fields: object) -> LogDecision:
    """Return the log line of a decision on one worker."""
    return LogDecision(
        decision=decision,
        fields={
            "worker": worker.id,
            "address": worker.listing.address,
            "state": worker.listing.state.value,
            "born": worker.listing.born,
            "runs": len(worker.runs),
            **fields,
        },
    )
