"""Which workers a gang may use: those on probation only where it can't start otherwise."""

from __future__ import annotations

from collections.abc import Iterable, Sequence

from ..core.identifiers import WorkerId
from .model import StepId
from .placement import choose_gang_workers
from .reservations import can_hold_gang
from .submissions import GANG_PLAN_MAX_AGE_SECONDS, StepProgress
from .workers import Worker


class GangWorkers:
    """Selects the workers that a gang may use.

    A gang is as slow as its slowest worker, so that workers on probation are left out as long as
    the others hold the gang, now or after the ends of their runs. Where they don't, it takes any:
    nothing else may run on the workers on probation, and then nothing would end their probation.
    It doesn't wait for the ends of runs beside workers whose speed is unknown.
    """

    def __init__(self) -> None:
        # By gang, whether the preferred workers hold it, and when that was found; recent ones only.
        self._held: dict[StepId, tuple[bool, float]] = {}

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
        if len(sound) == len(shared) or choose_gang_workers(step.spec, sound) is not None:
            return sound
        preferred = [w for w in shared if not w.is_on_probation or not w.has_shown_speed]
        return preferred if self._do_hold(step, preferred, now) else shared

    def list_left_out(
        self, step: StepProgress, eligible: Sequence[Worker], now: float
    ) -> set[WorkerId]:
        """Return the workers on probation that a gang leaves out."""
        used = {worker.id for worker in self.select(step, eligible, now)}
        return {worker.id for worker in eligible if worker.is_on_probation} - used

    def _do_hold(self, step: StepProgress, workers: Sequence[Worker], now: float) -> bool:
        known = self._held.get(step.id)
        if known is not None and now - known[1] < GANG_PLAN_MAX_AGE_SECONDS:
            return known[0]
        is_held = can_hold_gang(step.spec, workers)
        self._held = {
            id: (was_held, at)
            for id, (was_held, at) in self._held.items()
            if now - at < GANG_PLAN_MAX_AGE_SECONDS
        }
        self._held[step.id] = (is_held, now)
        return is_held
