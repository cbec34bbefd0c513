"""The event loop: reduces queued events and executes the resulting effects."""

from __future__ import annotations

import collections
import time
from collections.abc import Callable
from typing import Any

import gevent
import gevent.event
import gevent.queue

from ...errors import LavenderhookError
from ..core.effects import Effect, RefuseCall
from ..core.events import Event, TimerFired
from ..core.reducer import collect_timers, reduce
from ..core.state import InstanceState
from ..ports.time import Clock, Timers

Execute = Callable[[Any], None]
Reduce = Callable[[InstanceState, Event], tuple[Effect, ...]]


class EffectFailedError(LavenderhookError):
    """No adapter can carry out an effect."""

    code = "effect-failed"


class EffectPool:
    """Greenlets that execute blocking effects, at most `limit` at a time.

    Effects above the limit wait in order; adding one never blocks. Separate pools keep a slow
    store from delaying requests.
    """

    def __init__(self, name: str, limit: int) -> None:
        self.name = name
        self.limit = limit
        self.running = 0
        self.waiting: collections.deque[tuple[Execute, Effect]] = collections.deque()
        self.log_failure: Callable[[Effect, BaseException], None] = lambda effect, error: None

    def add(self, execute: Execute, effect: Effect) -> None:
        """Execute an effect as soon as a greenlet is free."""
        if self.running >= self.limit:
            self.waiting.append((execute, effect))
            return
        self.running += 1
        gevent.spawn(self._run, execute, effect)

    def count_running(self) -> int:
        """Return the number of effects that are being executed."""
        return self.running

    def count_waiting(self) -> int:
        """Return the number of effects that wait for a greenlet."""
        return len(self.waiting)

    def _run(self, execute: Execute, effect: Effect) -> None:
        try:
            while True:
                try:
                    execute(effect)
                except Exception as error:  # a faulty adapter must not end the greenlet
                    self.log_failure(effect, error)
                if not self.waiting:
                    return
                execute, effect = self.waiting.popleft()
        finally:
            self.running -= 1


class Runtime:
    """Runs the reducer and hands its effects to the registered executors.

    Events are queued and reduced by one greenlet. A greenlet that already runs, such as the one
    that read a request, may call `apply` instead, which saves two greenlet switches. Greenlets are
    switched only at I/O, and neither the reducer nor an executor that doesn't block does any, so
    calls of the reducer never overlap.

    Parameters
    ----------
    state : InstanceState
    clock : Clock
    reduce_event : callable
        The reducer; tests replace it.
    """

    def __init__(self, state: InstanceState, clock: Clock, reduce_event: Reduce = reduce) -> None:
        self.state = state
        self.clock = clock
        self.observe: Callable[[Event, float], None] = lambda event, seconds: None
        self.log_failure: Callable[[str, BaseException], None] = lambda what, error: None
        self.pools: dict[str, EffectPool] = {}
        self._reduce = reduce_event
        self._executors: dict[type, Execute] = {}
        self._queue: gevent.queue.SimpleQueue = gevent.queue.SimpleQueue()
        self._is_reducing = False
        self._greenlet: gevent.Greenlet | None = None

    def now(self) -> float:
        """Return the current time for events, in seconds."""
        return self.clock.read()

    def register(self, effect_type: Any, execute: Execute) -> None:
        """Register a non-blocking executor that runs effects of a type in the calling greenlet."""
        self._executors[effect_type] = execute

    def register_blocking(self, effect_type: Any, pool: EffectPool, execute: Execute) -> None:
        """Register an executor that runs effects of a type in greenlets of a pool."""
        pool.log_failure = self._log_effect_failure
        self.pools[pool.name] = pool
        self._executors[effect_type] = lambda effect: pool.add(execute, effect)

    def emit(self, event: Event) -> None:
        """Queue an event."""
        self._queue.put(event)

    def count_queued(self) -> int:
        """Return the number of events that wait for the reducer."""
        return self._queue.qsize()

    def apply(self, event: Event) -> None:
        """Reduce an event now, or queue it if called by an executor."""
        if self._is_reducing:
            self._queue.put(event)
            return
        self._is_reducing = True
        started = time.perf_counter()
        try:
            effects = self._reduce(self.state, event)
            self.observe(event, time.perf_counter() - started)
            for effect in effects:
                self._execute(effect)
        except Exception as error:  # other events must still be processed
            self.log_failure(f"reducing {type(event).__name__}", error)
            self._refuse_call(event)
        finally:
            self._is_reducing = False

    def _execute(self, effect: Effect) -> None:
        execute = self._executors.get(type(effect))
        if execute is None:
            missing = EffectFailedError("no adapter is registered")
            self.log_failure(f"carrying out {type(effect).__name__}", missing)
            return
        try:
            execute(effect)
        except Exception as error:  # the event's other effects must still run
            self._log_effect_failure(effect, error)

    def _refuse_call(self, event: Event) -> None:
        ticket = getattr(event, "ticket", None) or getattr(
            getattr(event, "head", None), "ticket", None
        )
        if ticket is not None:
            failure = LavenderhookError("the event could not be processed")
            self._execute(RefuseCall(ticket=ticket, error=failure))

    def _log_effect_failure(self, effect: Effect, error: BaseException) -> None:
        self.log_failure(f"carrying out {type(effect).__name__}", error)

    def start(self, timers: Timers) -> None:
        """Start reducing queued events and subscribe to the core's timers."""
        self._greenlet = gevent.spawn(self._run)
        for name, attribute in sorted(collect_timers().items()):
            interval = getattr(self.state.parameters, attribute)
            timers.subscribe(name, interval, self._emit_timer_event)

    def stop(self) -> None:
        """Stop reducing queued events."""
        if self._greenlet is not None:
            self._greenlet.kill(block=False)

    def _emit_timer_event(self, name: str) -> None:
        self.emit(TimerFired(now=self.now(), name=name))

    def _run(self) -> None:
        while True:
            self.apply(self._queue.get())
