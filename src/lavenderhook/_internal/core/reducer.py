"""The reducer of all events.

`reduce` is the only function that changes an instance's state. It mutates a state object that it
alone owns: at 340,000 tasks, copying a persistent state would dominate the decision time, and
nothing else reads the state. Every component, a module of this package, contributes a table from
event type to handler; the order of the tables is the order in which components handle an event.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping
from typing import Any, TypeAlias

from .effects import Effect
from .events import Event
from .membership import handle_pause
from .state import InstanceState

Handler: TypeAlias = Callable[..., list[Effect]]
# Keys are event types; the metaclass of msgspec structures hides them from the type checker.
HandlerTable: TypeAlias = Mapping[Any, Handler]


def _merge(tables: tuple[HandlerTable, ...]) -> dict[Any, tuple[Handler, ...]]:
    merged: dict[Any, tuple[Handler, ...]] = {}
    for table in tables:
        for event_type, handler in table.items():
            merged[event_type] = (*merged.get(event_type, ()), handler)
    return merged


def _list_components() -> tuple[Any, ...]:
    from . import (
        attempts,
        claims,
        configuration,
        grant_handlers,
        held_grants,
        membership,
        queries,
        recovery,
        routing,
        shard_owner,
        shutdown,
    )

    return (
        membership,
        configuration,
        held_grants,
        routing,
        claims,
        shard_owner,
        grant_handlers,
        attempts,
        recovery,
        queries,
        shutdown,
    )


def collect_timers() -> dict[str, str]:
    """Map the name of each timer to the `CoreParameters` attribute that holds its interval."""
    timers: dict[str, str] = {}
    for component in _list_components():
        timers.update(getattr(component, "TIMERS", {}))
    return timers


_HANDLERS = _merge(tuple(component.HANDLERS for component in _list_components()))


def reduce(state: InstanceState, event: Event) -> tuple[Effect, ...]:
    """Apply an event to the state of an instance.

    Parameters
    ----------
    state : InstanceState
        Changed in place.
    event : Event
        What happened.

    Returns
    -------
    tuple of Effect
        What the adapters must do, in order.
    """
    effects = handle_pause(state, event.now)
    state.now = max(state.now, event.now)
    for handler in _HANDLERS.get(type(event), ()):
        effects.extend(handler(state, event))
    return tuple(effects)
