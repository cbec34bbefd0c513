"""Which workers a gang may use: those on probation only where it can't start otherwise."""

from __future__ import annotations

import enum
from collections.abc import Iterable, Sequence

from ..core.identifiers import WorkerId
from .model import StepId
from .placement import choose_gang_workers
from .reservations import can_hold_gang
from .step_progress import GANG_PLAN_MAX_AGE_SECONDS, StepProgress
from .workers import Worker


class Selection(enum.Enum):
    """Which of the workers that tasks may share a gang may use."""

    SOUND = enum.auto()
    PREFERRED = enum.auto()  # also those on probation whose speed is unknown
    ALL = enum.auto()


class GangWorkers:
    """Selects the workers that a gang may use.

    A gang is as slow as its slowest worker, so that workers on probation are left out as long as
    the others hold the gang, now or after the ends of their runs. Where they don't, it takes any:
    nothing else may run on the workers on probation, and then nothing would end their probation.
    It doesn't wait for the ends of runs beside workers whose speed is unknown.
    """

    def __init__(self) -> None:
        self._found: dict[StepId, tuple[Selection, float]] = {}  # by gang, and when; recent ones
        self._next_pruning_at = 0.0

    def select(self, step: StepProgress, eligible: Iterable[Worker], now: float) -> list[Worker]:
        """Return the workers that a gang may use, with or without free capacity.

        Parameters
        ----------
        step : StepProgress
        eligible : iterable of Worker
            Those that may run the step, also if the advisory service has not been asked yet.
        now : float
        """
        shared = [worker for worker in eligible if worker.is_shared()]
        sound = [worker for worker in shared if not worker.is_on_probation]
        if len(sound) == len(shared):
            return sound
        preferred = [w for w in shared if not w.is_on_probation or w.is_of_unknown_speed()]
        match self._find_selection(step, sound, preferred, now):
            case Selection.SOUND:
                return sound
            case Selection.PREFERRED:
                return preferred
            case Selection.ALL:
                return shared

    def _find_selection(
        self, step: StepProgress, sound: Sequence[Worker], preferred: Sequence[Worker], now: float
    ) -> Selection:
        self._prune(now)
        found = self._found.get(step.id)
        if found is not None and now - found[1] < GANG_PLAN_MAX_AGE_SECONDS:
            return found[0]
        if choose_gang_workers(step.spec, sound) is not None:
            selection = Selection.SOUND
        elif can_hold_gang(step.spec, preferred, now):
            selection = Selection.PREFERRED
        else:
            selection = Selection.ALL
        self._found[step.id] = (selection, now)
        return selection

    def _prune(self, now: float) -> None:
        if now < self._next_pruning_at:
            return
        self._next_pruning_at = now + GANG_PLAN_MAX_AGE_SECONDS
        self._found = {
            id: found
            for id, found in self._found.items()
            if now - found[1] < GANG_PLAN_MAX_AGE_SECONDS
        }

    def list_left_out(
        self, step: StepProgress, eligible: Sequence[Worker], now: float
    ) -> set[WorkerId]:
        """Return the workers on probation that a gang leaves out."""
        used = {worker.id for worker in self.select(step, eligible, now)}
        return {worker.id for worker in eligible if worker.is_on_probation} - used
