"""Runs on workers that are about to leave."""

from __future__ import annotations

import abc

from .step_progress import StepProgress
from .stragglers import project_remaining
from .workers import Run, Worker

# Before the worker leaves: a run is stopped, reported, and started elsewhere in this time.
EVACUATION_LEAD_SECONDS = 1.5
# Estimates are off by half; progress is known better.
UNCERTAIN_DURATION_FACTOR = 1.3


class EvacuationPolicy(abc.ABC):
    """Decides which runs leave a worker before it does."""

    @abc.abstractmethod
    def should_move(self, worker: Worker, run: Run, step: StepProgress, now: float) -> bool:
        """Return whether to stop a run on a draining worker, to start it on another one."""


class MoveBeforeLeaving(EvacuationPolicy):
    """Moves what would not end before its worker leaves.

    Handles workers that are replaced one after the other, and those taken away at short notice.
    What still runs when a worker leaves is only started again once its lease has expired, seconds
    later, and without what it has done since its last checkpoint.
    """

    def should_move(self, worker: Worker, run: Run, step: StepProgress, now: float) -> bool:
        """Return whether to stop a run on a draining worker, to start it on another one."""
        if worker.leaves_at is None:
            return False
        if step.spec.is_service:
            return True
        remaining = project_remaining(run)
        if remaining is None:
            remaining = UNCERTAIN_DURATION_FACTOR * run.estimate_seconds - (now - run.commanded_at)
        if now + remaining <= worker.leaves_at:
            return False
        if step.spec.has_checkpoints:
            return worker.leaves_at - now < EVACUATION_LEAD_SECONDS
        return True
