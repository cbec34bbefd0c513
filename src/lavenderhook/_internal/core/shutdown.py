"""The last steps of a graceful shutdown: closing the listeners and stopping the process."""

from __future__ import annotations

import dataclasses
from collections.abc import Callable
from typing import TYPE_CHECKING

from . import held_grants, routing, shard_owner
from .effects import Effect, LogDecision, StopProcess
from .events import TimerFired
from .membership import close_listeners_if_due

if TYPE_CHECKING:
    from .state import InstanceState

SHUTDOWN_TIMER = "shutdown"
TIMERS = {SHUTDOWN_TIMER: "shutdown_check_interval"}
# The process exits once all of these hold.
DRAIN_CHECKS: tuple[Callable[..., bool], ...] = (
    routing.is_drained,
    shard_owner.has_released_shards,
)


@dataclasses.dataclass(slots=True)
class ShutdownState:
    """The steps of the shutdown that are done."""

    listeners_closed: bool = False
    stopped: bool = False


def handle_timer(state: InstanceState, event: TimerFired) -> list[Effect]:
    """Close the listeners after the grace period, and stop once all drain checks hold."""
    if event.name != SHUTDOWN_TIMER or state.shutting_down_since is None:
        return []
    effects: list[Effect] = []
    if not state.shutdown.listeners_closed:
        effects += close_listeners_if_due(state)
        if effects:
            state.shutdown.listeners_closed = True
            effects += routing.drain_queues(state)
    if not state.shutdown.listeners_closed or state.shutdown.stopped:
        return effects
    if all(check(state) for check in DRAIN_CHECKS):
        state.shutdown.stopped = True
        effects += held_grants.report_limits(state)
        effects.append(LogDecision(decision="shutdown-complete", fields={}))
        effects.append(StopProcess())
    return effects


HANDLERS = {TimerFired: handle_timer}
