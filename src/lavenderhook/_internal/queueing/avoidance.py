"""Workers that a task avoids, and for how long it waits for others."""

from __future__ import annotations

from collections.abc import Sequence

from .model import TaskKey
from .placement import PlacementPolicy, choose_worker
from .step_progress import StepProgress
from .workers import Worker

# Others may be full for a moment. Beside services and long tasks they may stay so, or hold as many
# tasks of the step as they may.
AVOIDANCE_WAIT_SECONDS = 2.0


class AvoidedWorkers:
    """Chooses workers for tasks that avoid some, since a run of theirs failed there or was moved.

    A task takes such a worker only when no other has had capacity for some seconds. One that is
    known to be slow now is left out all the same.
    """

    def __init__(self) -> None:
        # Since when no other worker has had capacity, at the last placement pass and in this one.
        self._former_waits: dict[TaskKey, float] = {}
        self._waits: dict[TaskKey, float] = {}

    def choose_worker(
        self,
        policy: PlacementPolicy,
        step: StepProgress,
        index: int,
        usable: Sequence[Worker],
        ends_at: float,
        now: float,
    ) -> Worker | None:
        """Return the worker for a task that avoids some, or None if it has to wait.

        Parameters
        ----------
        policy : PlacementPolicy
        step : StepProgress
        index : int
        usable : sequence of Worker
            With or without free capacity.
        ends_at : float
            When the task is expected to end.
        now : float
        """
        preferred = [w for w in usable if not step.is_avoided(index, w.id)]
        chosen = choose_worker(policy, step, preferred, ends_at)
        if chosen is not None:
            return chosen
        task = step.make_task_key(index)
        since = self._waits[task] = self._former_waits.get(task, now)
        if not preferred:
            return choose_worker(policy, step, usable, ends_at)
        if now - since < AVOIDANCE_WAIT_SECONDS:
            return None
        others = [w for w in usable if not w.is_on_probation or w.is_of_unknown_speed()]
        return choose_worker(policy, step, others, ends_at)

    def end_pass(self) -> None:
        """Forget the tasks that have not waited in this placement pass."""
        self._former_waits, self._waits = self._waits, {}
