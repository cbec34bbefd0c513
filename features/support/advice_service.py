"""Simulation of the advisory service in virtual time, called through a real dispatcher."""

import collections
import dataclasses
import hashlib
import math
from unittest import mock

import gevent
import gevent.event

from lavenderhook._internal.instance import advice
from lavenderhook._internal.instance.advice import AdviceDispatcher
from lavenderhook._internal.queueing.events import AdviceArrived

MAX_WAITING_CALLS = 32  # of one machine; the service refuses more
LATENCY_SECONDS = 0.02  # from an instance to the service and back


@dataclasses.dataclass
class ServiceCall:
    """A call at the service, which handles it whether or not its caller still waits.

    Attributes
    ----------
    seconds : float
        For which the service handles it.
    """

    step: object
    workers: tuple
    seconds: float
    response: gevent.event.AsyncResult = dataclasses.field(default_factory=gevent.event.AsyncResult)
    is_given_up: bool = False


@dataclasses.dataclass
class Machine:
    """A calling machine; the service handles its calls one after the other.

    Attributes
    ----------
    is_lost : bool
        No call that is made through it arrives or is answered.
    slowdown : float
        Multiple of the published duration that its calls take.
    """

    calls: collections.deque = dataclasses.field(default_factory=collections.deque)
    is_lost: bool = False
    slowdown: float = 1.0


class SimulatedAdvisoryService:
    """The advisory service, one machine for each instance, and the owner's dispatcher.

    Parameters
    ----------
    simulation : QueueSimulation
    instances : int
    allowed_share : float
        Of the workers, for each step.
    """

    def __init__(self, simulation, instances, allowed_share):
        self.simulation = simulation
        self.allowed_share = allowed_share
        self.machines = {f"i{index}": Machine() for index in range(instances)}
        self.lines = []  # logged by the dispatcher: (time, event, fields)
        self.calls = 0
        self.given_up = 0
        self.refused = 0
        self.refused_tickets = 0
        self._tickets = {}  # step, worker, its incarnation and the end of validity
        self.first_requested_at = {}  # by step
        self.first_answered_at = {}  # by step
        self.first_named = {}  # workers, by step
        self._greenlets = []
        self._is_changed = False
        self._clock = mock.patch.object(advice.time, "monotonic", lambda: simulation.now)
        self._clock.start()
        self.dispatcher = None
        self.begin_dispatcher()

    def begin_dispatcher(self):
        """Replace the dispatcher by one that knows nothing, as that of a new owner."""
        self.dispatcher = AdviceDispatcher(self.call, lambda: sorted(self.machines), self.log_event)

    def log_event(self, name, **fields):
        """Keep a line of the dispatcher."""
        self.lines.append((self.simulation.now, name, fields))

    def end_callers(self):
        """End the callers, as an owner does that stops."""
        gevent.killall(self._greenlets)

    def close(self):
        """End the callers and restore the clock."""
        self.end_callers()
        self._clock.stop()

    def request(self, owner, effect):
        """Let the dispatcher request advice, and apply its answer."""
        self.first_requested_at.setdefault(effect.step, self.simulation.now)
        self.first_named.setdefault(effect.step, effect.workers)
        self._greenlets = [greenlet for greenlet in self._greenlets if not greenlet.dead]
        self._greenlets.append(gevent.spawn(self._request, owner, effect))
        self._is_changed = True

    def _request(self, owner, effect):
        allowed = self._dispatch(effect)
        if allowed is not None:
            self.first_answered_at.setdefault(effect.step, self.simulation.now)
        owner.apply(
            AdviceArrived(
                now=self.simulation.now, step=effect.step, asked=effect.workers, allowed=allowed
            )
        )

    def _dispatch(self, effect):
        return self.dispatcher.request_advice(
            effect.step, effect.workers, effect.expected_seconds, effect.rank
        )

    def add_calls(self, count, seconds):
        """Let calls wait at each machine whose callers have gone."""
        for machine in self.machines.values():
            for _ in range(count):
                self._enqueue(machine, ServiceCall(None, (), seconds, is_given_up=True))

    def call(self, address, step, workers, seconds):
        """Call the service through an instance; return None without a response in time."""
        self.calls += 1
        machine = self.machines[address]
        terms = self.simulation.submissions[step.submission][0].queue.advice
        duration = terms.decision_seconds + terms.seconds_per_worker * len(workers)
        call = ServiceCall(step, workers, duration)
        self.simulation.call_later(LATENCY_SECONDS / 2, self._arrive, machine, call)
        self.simulation.call_later(seconds, self._give_up, call)
        return call.response.get()

    def settle(self):
        """Let all callers go on that can."""
        while self._is_changed:
            self._is_changed = False
            gevent.idle()

    def _arrive(self, machine, call):
        if machine.is_lost:
            return
        if len(machine.calls) > MAX_WAITING_CALLS:
            self.refused += 1
            self.simulation.call_later(LATENCY_SECONDS / 2, self._respond, call, None)
            return
        self._enqueue(machine, call)

    def _enqueue(self, machine, call):
        machine.calls.append(call)
        if len(machine.calls) == 1:
            self._begin(machine)

    def _begin(self, machine):
        call = machine.calls[0]
        self.simulation.call_later(call.seconds * machine.slowdown, self._end, machine, call)

    def _end(self, machine, call):
        machine.calls.popleft()
        if machine.calls:
            self._begin(machine)
        if not machine.is_lost and not call.is_given_up:
            allowed = {
                worker: self._make_ticket(call.step, worker)
                for worker in call.workers
                if self._is_allowed(call.step, worker)
            }
            self.simulation.call_later(LATENCY_SECONDS / 2, self._respond, call, allowed)

    def _is_allowed(self, step, worker):
        digest = hashlib.sha256(f"{step} {worker}".encode()).digest()
        return digest[0] < math.ceil(256 * self.allowed_share)

    def _make_ticket(self, step, worker):
        """Return a ticket for this life of a worker."""
        ticket = f"{len(self._tickets)}"
        terms = self.simulation.submissions[step.submission][0].queue.advice
        valid_until = self.simulation.now + terms.validity_seconds
        self._tickets[ticket] = (step, worker, self.simulation.workers[worker].born, valid_until)
        return ticket

    def check_ticket(self, worker, command):
        """Return whether a start on a worker carries a valid ticket, if it needs one."""
        if self.simulation.submissions[command.task.submission][0].queue.advice is None:
            return True
        *found, valid_until = self._tickets.get(command.ticket, (None, None, None, 0.0))
        is_valid = found == [command.task.step_id, worker.name, worker.born]
        is_valid = is_valid and self.simulation.now <= valid_until
        self.refused_tickets += not is_valid
        return is_valid

    def _respond(self, call, allowed):
        if not call.response.ready():
            call.response.set(allowed)
            self._is_changed = True

    def _give_up(self, call):
        if not call.response.ready():
            call.is_given_up = True
            self.given_up += 1
            self._respond(call, None)
