"""Order in which the tasks of ready steps are placed."""

from __future__ import annotations

import abc

from .step_progress import StepProgress
from .submissions import SubmissionProgress

# Estimated durations are off by half and more: a step that seems too late may not be, for a while.
ESTIMATE_MARGIN = 1.3


class StepRanking(abc.ABC):
    """Ranks the steps that are ready."""

    @abc.abstractmethod
    def rank(self, entry: SubmissionProgress, step: StepProgress, now: float) -> tuple[float, ...]:
        """Return the rank of a step; the lowest comes first."""
