"""Checks of submissions, so that none that is malformed reaches the owner."""

from __future__ import annotations

from ...errors import InvalidArgumentError
from ..decoding import MAX_NUMBER
from .model import StepSpec, Submission

MAX_STEPS = 1000
# Over all steps and repetitions; the owner holds state for each task.
MAX_TASKS = 100_000
MAX_SECONDS = 1e11  # Unix time of the year 5138


def check_submission(submission: Submission) -> None:
    """Check the steps and the repetitions of a submission.

    Handles submissions that every owner would fail on: one that refers to a step that doesn't
    exist, or has more tasks than an instance has memory for, would end each owner that reads it.

    Raises
    ------
    InvalidArgumentError
    """
    if not 1 <= len(submission.steps) <= MAX_STEPS:
        raise InvalidArgumentError("steps", len(submission.steps), f"1 to {MAX_STEPS} steps")
    for index, step in enumerate(submission.steps):
        _check_step(f"steps.{index}", index, step)
    if not 0 <= submission.repetitions <= MAX_TASKS:
        raise InvalidArgumentError("repetitions", submission.repetitions, f"0 to {MAX_TASKS}")
    if submission.repetitions > 1 and submission.interval_seconds < 0:
        raise InvalidArgumentError("interval", submission.interval_seconds, "0 or more")
    times = {"first_due": submission.first_due, "interval": submission.interval_seconds}
    for name, seconds in times.items():
        if abs(seconds) > MAX_SECONDS:
            raise InvalidArgumentError(name, seconds, f"at most {MAX_SECONDS:.0f} seconds")
    tasks = sum(step.count for step in submission.steps) * max(1, submission.repetitions)
    if tasks > MAX_TASKS:
        raise InvalidArgumentError("steps", tasks, f"at most {MAX_TASKS} tasks in all")


def _check_step(field: str, index: int, step: StepSpec) -> None:
    if not 1 <= step.count <= MAX_TASKS:
        raise InvalidArgumentError(f"{field}.count", step.count, f"1 to {MAX_TASKS}")
    for earlier in step.after:
        if not 0 <= earlier < index:
            raise InvalidArgumentError(f"{field}.after", earlier, "the number of an earlier step")
    amounts = {
        "processors": step.resources.processors,
        "memory": step.resources.memory_mb,
        "accelerators": step.resources.accelerators,
        "estimate": step.estimate_seconds,
        "most_per_worker": step.placement.most_per_worker,
        "most_unavailable": step.most_unavailable,
        "latency_target": step.latency_target_ms,
    }
    for name, amount in amounts.items():
        if not 0 <= amount <= MAX_NUMBER:
            raise InvalidArgumentError(f"{field}.{name}", amount, f"0 to {MAX_NUMBER}")
