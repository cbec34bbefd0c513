"""Log lines on submissions, runs and workers."""

from __future__ import annotations

import math
from collections.abc import Collection, Mapping

from ..core.identifiers import WorkerId
from .effects import Effect, LogDecision
from .model import Resources, RunNumber, TaskKey, WorkerListing
from .records import FailureReason, Outcome
from .submissions import SubmissionProgress
from .workers import Worker

MAX_LISTED_WORKERS = 20  # in one line


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
            "born": worker.newest.born,
            "runs": len(worker.runs),
            **fields,
        },
    )


def log_listing_changes(worker: Worker, listing: WorkerListing) -> list[Effect]:
    """Return the log lines of an entry that shows another state or capacity than before."""
    effects: list[Effect] = []
    if listing.state is not worker.listing.state:
        effects.append(log_worker(f"worker-{listing.state.value}", worker))
    if listing.capacity != worker.listing.capacity:
        effects.append(log_capacity_change(worker, listing.capacity))
    return effects


def log_ignored_listing(worker: Worker, listing: WorkerListing) -> list[Effect]:
    """Return the log line of an ignored entry, once for each incarnation of its worker."""
    if not worker.newest.ignore(listing):
        return []
    return [log_worker("worker-entry-outdated", worker, entry_born=listing.born)]


def log_takeover_wait_ended(unreached: Collection[WorkerId]) -> LogDecision:
    """Return the log line of a new owner that no longer waits for workers it can't reach."""
    return LogDecision(
        decision="takeover-wait-ended",
        fields={"count": len(unreached), "workers": sorted(unreached)[:MAX_LISTED_WORKERS]},
    )


def log_blocked_submissions(
    blocked_through: float, bounds: Mapping[WorkerId, float]
) -> LogDecision:
    """Return the log line of the submissions that wait for workers that a new owner can't reach.

    Parameters
    ----------
    blocked_through : float
        Submissions up to this revision wait; all of them if it is infinite.
    bounds : mapping
        The same by unreached worker.
    """
    listed = sorted(bounds)[:MAX_LISTED_WORKERS]
    return LogDecision(
        decision="submissions-blocked",
        fields={
            "through": _describe_revision(blocked_through),
            "count": len(bounds),
            "workers": {name: _describe_revision(bounds[name]) for name in listed},
        },
    )


def _describe_revision(revision: float) -> int | str:
    return "all" if revision == math.inf else int(revision)


def log_capacity_change(worker: Worker, capacity: Resources) -> LogDecision:
    """Return the log line of a worker that has another capacity than before."""
    former = worker.listing.capacity
    return log_worker(
        "worker-resized",
        worker,
        processors=capacity.processors,
        memory=capacity.memory_mb,
        accelerators=capacity.accelerators,
        former_processors=former.processors,
        used=worker.used_processors,
    )


def log_submission_queued(entry: SubmissionProgress, age: float) -> LogDecision:
    """Return the log line of a submission that the owner has read; `age` is in seconds."""
    submission = entry.submission
    return LogDecision(
        decision="submission-queued",
        fields={
            "submission": submission.id,
            "queue": submission.queue.name,
            "organisation": submission.organisation,
            "revision": entry.revision,
            "age": round(age, 3),
            "steps": len(submission.steps),
        },
    )


def log_submission_ending(entry: SubmissionProgress, failure: FailureReason | None) -> LogDecision:
    """Return the log line of a submission whose final state is about to be stored."""
    return LogDecision(
        decision="submission-ending",
        fields={
            "submission": entry.submission.id,
            "state": "completed" if failure is None else "failed",
            "reason": "" if failure is None else failure.value,
        },
    )


def log_submission_ended(entry: SubmissionProgress, outcome: Outcome, now: float) -> LogDecision:
    """Return the log line of a submission whose final state is stored."""
    return LogDecision(
        decision="submission-ended",
        fields={
            "submission": entry.submission.id,
            "state": outcome.state.value,
            "reason": "" if outcome.reason is None else outcome.reason.value,
            "seconds": round(now - entry.arrived_at, 3),
            "queue": entry.submission.queue.name,
            "organisation": entry.submission.organisation,
            "objective": round(entry.steps.times.last_objective_at - entry.arrived_at, 3),
        },
    )
