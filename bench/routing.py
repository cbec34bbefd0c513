"""Measure request routing: decision times, and goodput under overload on a virtual clock.

Run ``python -m bench.routing [--json FILE]``. Decision times are wall-clock; goodput depends only
on the seed. Two baselines share the simulated upstreams: the same routing without a
retry budget, and least-outstanding balancing (``least-loaded``) without limits shared between
the instances.
"""

from __future__ import annotations

import argparse
import heapq
import itertools
import json
import random
import time
from collections.abc import Callable

from lavenderhook._internal.core import effects as fx
from lavenderhook._internal.core import events as ev
from lavenderhook._internal.core.declarations import Workload
from lavenderhook._internal.core.grants import GrantInputs, GrantMember, GrantTracker
from lavenderhook._internal.core.identifiers import MemberState, PriorityClass, WorkloadKind
from lavenderhook._internal.core.membership import build_digest
from lavenderhook._internal.core.messages import GrantUpdate
from lavenderhook._internal.core.records import UpstreamView
from lavenderhook._internal.core.reducer import reduce
from lavenderhook._internal.core.resources import Resources
from lavenderhook._internal.core.retries import RetryBudget, RetryState
from lavenderhook._internal.core.state import CoreParameters, InstanceState

SEED = 20_240_607
DECISION_REQUESTS = 20_000
OCCUPIED_SLOT_SHARE = 0.8
LOAD_SHARE_BY_INSTANCE = {"a": 0.5, "b": 0.3, "c": 0.2}
UPSTREAMS = 12
SLOTS_PER_UPSTREAM = 4
MEAN_SERVICE_SECONDS = 0.05
DEADLINE_SECONDS = 0.5
ERROR_SHARE = 0.2  # of the responses; high, so that retries affect goodput
SIMULATED_SECONDS = 12.0
WARM_UP_SECONDS = 2.0
NETWORK_DELAY_SECONDS = 0.0005


def make_state(name: str, seed: int) -> InstanceState:
    """Return an instance whose active configuration has the service `desk`."""
    state = InstanceState(
        name=name,
        incarnation=name,
        availability_zone="z1",
        address=name,
        parameters=CoreParameters(),
        generator=random.Random(seed),
    )
    workload = Workload(name="desk", type=WorkloadKind.SERVICE, resources=Resources())
    change = ev.ConfigurationChange(
        version=1, change_id="c", author="bench", at=0.0, puts=(workload,)
    )
    event = ev.ConfigurationReceived(
        now=0.0, changes=(change,), complete=True, from_table=True, head=1
    )
    reduce(state, event)
    return state


def make_views(count: int, slots: int) -> tuple[UpstreamView, ...]:
    """Return upstreams in one zone."""
    return tuple(
        UpstreamView(
            upstream_id=f"u{number}",
            service="desk",
            labels={},
            address=f"u{number}",
            worker_id=f"w{number}",
            availability_zone="z1",
            slots=slots,
            connections=8 * slots,
        )
        for number in range(count)
    )


def make_head(ticket: int, now: float, seconds: float, **overrides: object) -> ev.RequestHead:
    """Return the head of an idempotent request."""
    fields = {
        "ticket": ticket,
        "request_id": f"r{ticket}",
        "caller": "bench",
        "service": "desk",
        "labels": {},
        "idempotent": True,
        "deadline": now + seconds,
        "priority": PriorityClass.NORMAL,
    }
    return ev.RequestHead(**{**fields, **overrides})


# Decision time


def measure_decisions(upstreams: int) -> dict[str, float]:
    """Return the reducer's time per request in microseconds.

    Each sample is the time of one arrival and of the response to one outstanding request.
    """
    state = make_state("a", SEED)
    views = make_views(upstreams, 8)
    update = GrantUpdate(shard=0, version=(1, 1), owner="a", holder="a", upstreams=views)
    reduce(state, ev.GrantUpdateReceived(now=0.0, update=update))
    generator = random.Random(SEED)
    outstanding: list[tuple[int, str]] = []
    outstanding_target = int(upstreams * 8 * OCCUPIED_SLOT_SHARE)
    samples_us: list[float] = []
    now = 0.0
    for ticket in range(outstanding_target + DECISION_REQUESTS):
        now += 0.0001
        decision_seconds = 0.0
        if len(outstanding) >= outstanding_target:
            index = generator.randrange(len(outstanding))
            outstanding[index], outstanding[-1] = outstanding[-1], outstanding[index]
            answered_ticket, upstream_id = outstanding.pop()
            answer = ev.UpstreamAnswered(
                now=now,
                ticket=answered_ticket,
                upstream_id=upstream_id,
                status=200,
                not_run=False,
                leaving=False,
            )
            started = time.perf_counter()
            reduce(state, answer)
            decision_seconds = time.perf_counter() - started
        arrival = ev.RequestArrived(now=now, head=make_head(ticket, now, 30.0))
        started = time.perf_counter()
        request_effects = reduce(state, arrival)
        decision_seconds += time.perf_counter() - started
        dispatch = next(e for e in request_effects if isinstance(e, fx.DispatchToUpstream))
        outstanding.append((ticket, dispatch.upstream_id))
        if ticket >= outstanding_target:
            samples_us.append(decision_seconds * 1e6)
    samples_us.sort()
    return {
        "upstreams": upstreams,
        "p50_us": round(samples_us[len(samples_us) // 2], 1),
        "p99_us": round(samples_us[len(samples_us) * 99 // 100], 1),
    }


# Goodput


class UnlimitedBudget(RetryBudget):
    """Retry budget that allows every retry."""

    def withdraw(self) -> bool:
        """Return True."""
        return True


class UnlimitedRetries(RetryState):
    """Retries without a budget."""

    def get_budget(self, service: str) -> RetryBudget:
        """Return a budget that allows every retry."""
        return UnlimitedBudget()


class Simulation:
    """Callers and upstreams in virtual time; upstreams with more requests than slots slow down."""

    def __init__(self, load: float) -> None:
        self.generator = random.Random(SEED)
        self.now = 0.0
        self.scheduled_actions: list[tuple[float, int, Callable[[], None]]] = []
        self.sequence_numbers = itertools.count()
        self.outstanding = dict.fromkeys(
            (v.upstream_id for v in make_views(UPSTREAMS, SLOTS_PER_UPSTREAM)), 0
        )
        self.rate = load * UPSTREAMS * SLOTS_PER_UPSTREAM / MEAN_SERVICE_SECONDS
        self.tickets = itertools.count(1)
        self.counts = {"sent": 0, "good": 0, "exchanges": 0, "most_outstanding": 0}

    def call_later(self, delay: float, action: Callable[[], None]) -> None:
        """Schedule an action after a delay in seconds."""
        heapq.heappush(
            self.scheduled_actions, (self.now + delay, next(self.sequence_numbers), action)
        )

    def run(self, handle_request: Callable[[str, ev.RequestHead], None]) -> dict[str, float]:
        """Run to the end and return rates per second."""
        self.call_later(0.0, lambda: self._generate_request(handle_request))
        while self.scheduled_actions and self.scheduled_actions[0][0] < SIMULATED_SECONDS:
            self.now, _, action = heapq.heappop(self.scheduled_actions)
            action()
        seconds = SIMULATED_SECONDS - WARM_UP_SECONDS
        return {
            "offered_per_s": round(self.counts["sent"] / seconds),
            "goodput_per_s": round(self.counts["good"] / seconds),
            "exchanges_per_s": round(self.counts["exchanges"] / seconds),
            "most_outstanding": self.counts["most_outstanding"],
        }

    def increment(self, name: str) -> None:
        """Increment a counter, unless the warm-up is not over."""
        if self.now >= WARM_UP_SECONDS:
            self.counts[name] += 1

    def _generate_request(self, handle_request: Callable[[str, ev.RequestHead], None]) -> None:
        instance = self.generator.choices(
            list(LOAD_SHARE_BY_INSTANCE), list(LOAD_SHARE_BY_INSTANCE.values())
        )[0]
        self.increment("sent")
        handle_request(instance, make_head(next(self.tickets), self.now, DEADLINE_SECONDS))
        self.call_later(
            self.generator.expovariate(self.rate), lambda: self._generate_request(handle_request)
        )

    def serve_request(self, upstream_id: str, on_response: Callable[[bool], None]) -> None:
        """Serve a request at an upstream and call `on_response` with whether it succeeded."""
        self.outstanding[upstream_id] += 1
        outstanding_requests = self.outstanding[upstream_id]
        self.increment("exchanges")
        self.counts["most_outstanding"] = max(self.counts["most_outstanding"], outstanding_requests)
        service_seconds = self.generator.expovariate(1.0 / MEAN_SERVICE_SECONDS) * max(
            1.0, outstanding_requests / SLOTS_PER_UPSTREAM
        )
        succeeded = self.generator.random() >= ERROR_SHARE

        def finish_request() -> None:
            self.outstanding[upstream_id] -= 1
            on_response(succeeded)

        self.call_later(service_seconds + 2 * NETWORK_DELAY_SECONDS, finish_request)


class RoutedSystem:
    """Three instances that run the core, with their owner's grants and their messages."""

    def __init__(self, simulation: Simulation, has_budget: bool) -> None:
        self.simulation = simulation
        self.states = {
            instance: make_state(instance, SEED + i)
            for i, instance in enumerate(LOAD_SHARE_BY_INSTANCE)
        }
        if not has_budget:
            for state in self.states.values():
                state.retries = UnlimitedRetries()
        self.heads: dict[tuple[str, int], ev.RequestHead] = {}
        self.statuses: dict[tuple[str, int], int] = {}
        self.origins: dict[tuple[str, int], tuple[str, int]] = {}
        self.views = make_views(UPSTREAMS, SLOTS_PER_UPSTREAM)
        self.grant_tracker = GrantTracker(due=set(LOAD_SHARE_BY_INSTANCE))
        self.committed: dict[str, dict[str, int]] = {}
        self.log_number = 1
        self._run_grant_round()
        for instance in LOAD_SHARE_BY_INSTANCE:
            self._schedule_periodically(0.02, lambda n=instance: self._fire_timer(n, "requests"))
            self._schedule_periodically(0.2, lambda n=instance: self._send_heartbeats(n))
            self._schedule_periodically(0.5, lambda n=instance: self._fire_timer(n, "grant-report"))
        self._schedule_periodically(0.5, self._run_grant_round)

    def _schedule_periodically(self, interval: float, action: Callable[[], None]) -> None:
        def run_and_reschedule() -> None:
            action()
            self.simulation.call_later(interval, run_and_reschedule)

        self.simulation.call_later(interval, run_and_reschedule)

    def _fire_timer(self, instance: str, timer: str) -> None:
        self.handle_event(instance, ev.TimerFired(now=self.simulation.now, name=timer))

    def _send_heartbeats(self, instance: str) -> None:
        digest = build_digest(self.states[instance])
        for other in LOAD_SHARE_BY_INSTANCE:
            if other != instance:
                self.handle_event(
                    other, ev.HeartbeatReceived(now=self.simulation.now, digest=digest)
                )

    def _run_grant_round(self) -> None:
        changes = self.grant_tracker.plan(self._build_grant_inputs())
        self.log_number += bool(changes)
        for change in changes:
            self.grant_tracker.record_committed(change, self.committed.get(change.upstream_id, {}))
            self.committed[change.upstream_id] = change.slots
        self.grant_tracker.request_reassignments(self._build_grant_inputs())
        for update in self.grant_tracker.build_due(
            self._build_grant_inputs(), 0, (1, self.log_number), "a"
        ):
            event = ev.GrantUpdateReceived(now=self.simulation.now, update=update)
            self.handle_event(update.holder, event)

    def _build_grant_inputs(self) -> GrantInputs:
        members = {
            instance: GrantMember(availability_zone="z1", state=MemberState.ALIVE)
            for instance in LOAD_SHARE_BY_INSTANCE
        }
        return GrantInputs(
            upstreams=self.views,
            grants=self.committed,
            members=members,
            now=self.simulation.now,
            quarantine=30.0,
        )

    def handle_request(self, instance: str, head: ev.RequestHead) -> None:
        """Deliver a request to an instance."""
        self.heads[instance, head.ticket] = head
        self.handle_event(instance, ev.RequestArrived(now=self.simulation.now, head=head))

    def handle_event(self, instance: str, event: ev.Event) -> None:
        """Process an event at an instance and execute its effects."""
        for effect in reduce(self.states[instance], event):
            if isinstance(effect, fx.DispatchToUpstream):
                self._dispatch(instance, effect)
            elif isinstance(effect, fx.ForwardToPeer):
                self._forward(instance, effect)
            elif isinstance(effect, fx.AnswerCaller):
                self._answer_caller(instance, effect)
            elif isinstance(effect, fx.SendGrantReport):
                self.grant_tracker.record_report(effect.report)

    def _dispatch(self, instance: str, effect: fx.DispatchToUpstream) -> None:
        common = {"ticket": effect.ticket, "upstream_id": effect.upstream_id}
        ended: list[bool] = []

        def handle_response(succeeded: bool) -> None:
            now = self.simulation.now
            if ended:
                self.handle_event(instance, ev.UpstreamReleased(now=now, **common))
                return
            ended.append(True)
            status = 200 if succeeded else 500
            event = ev.UpstreamAnswered(
                now=now, **common, status=status, not_run=False, leaving=False
            )
            self.statuses[instance, effect.ticket] = status
            self.handle_event(instance, event)

        def handle_timeout() -> None:
            if not ended:
                ended.append(True)
                now = self.simulation.now
                event = ev.UpstreamFailed(
                    now=now, **common, sent=True, timed_out=True, failure="timeout"
                )
                self.handle_event(instance, event)

        self.simulation.serve_request(effect.upstream_id, handle_response)
        self.simulation.call_later(effect.deadline - self.simulation.now, handle_timeout)

    def _forward(self, instance: str, effect: fx.ForwardToPeer) -> None:
        ticket = next(self.simulation.tickets)
        head = self.heads[instance, effect.ticket]
        remaining = head.deadline - self.simulation.now
        forwarded = make_head(ticket, self.simulation.now, remaining, forwarded_by=instance)
        self.origins[effect.peer, ticket] = (instance, effect.ticket)
        self.simulation.call_later(
            NETWORK_DELAY_SECONDS, lambda: self.handle_request(effect.peer, forwarded)
        )

    def _answer_caller(self, instance: str, effect: fx.AnswerCaller) -> None:
        head = self.heads.pop((instance, effect.ticket))
        status = self.statuses.pop((instance, effect.ticket), 0)
        origin = self.origins.pop((instance, effect.ticket), None)
        is_complete = isinstance(effect.outcome, fx.Completed)
        if origin is None:
            if is_complete and status == 200 and self.simulation.now <= head.deadline:
                self.simulation.increment("good")
            return
        outcome = ev.PeerOutcome.COMPLETED if is_complete else ev.PeerOutcome.UNKNOWN
        if isinstance(effect.outcome, fx.NotRun):
            outcome = ev.PeerOutcome.NOT_RUN

        def deliver() -> None:
            self.statuses[origin] = status
            event = ev.PeerAnswered(
                now=self.simulation.now,
                ticket=origin[1],
                peer=instance,
                outcome=outcome,
                status=status,
            )
            self.handle_event(origin[0], event)

        self.simulation.call_later(NETWORK_DELAY_SECONDS, deliver)


class LeastOutstandingBaseline:
    """Immediate dispatch to the upstream with the fewest outstanding requests of the instance."""

    def __init__(self, simulation: Simulation) -> None:
        self.simulation = simulation
        ids = [view.upstream_id for view in make_views(UPSTREAMS, SLOTS_PER_UPSTREAM)]
        self.outstanding = {instance: dict.fromkeys(ids, 0) for instance in LOAD_SHARE_BY_INSTANCE}

    def handle_request(self, instance: str, head: ev.RequestHead, attempt: int = 1) -> None:
        """Dispatch a request without limit; retry an error up to twice before the deadline."""
        outstanding = self.outstanding[instance]
        upstream_id = min(
            outstanding, key=lambda u: (outstanding[u], self.simulation.generator.random())
        )
        outstanding[upstream_id] += 1

        def handle_response(succeeded: bool) -> None:
            outstanding[upstream_id] -= 1
            if self.simulation.now > head.deadline:
                return
            if succeeded:
                self.simulation.increment("good")
            elif attempt < 3:
                self.handle_request(instance, head, attempt + 1)

        self.simulation.serve_request(upstream_id, handle_response)


def measure_goodput(system: str, load: float) -> dict[str, object]:
    """Return the rates of one system at a multiple of the upstreams' capacity."""
    simulation = Simulation(load)
    if system == "least-loaded":
        handle_request = LeastOutstandingBaseline(simulation).handle_request
    else:
        handle_request = RoutedSystem(
            simulation, has_budget=system == "lavenderhook"
        ).handle_request
    return {"system": system, "load": load, **simulation.run(handle_request)}


def print_table(rows: list[dict[str, object]]) -> None:
    """Print rows with their keys as the heading."""
    widths = {key: max(len(key), *(len(str(row[key])) for row in rows)) for key in rows[0]}
    print("  ".join(key.ljust(width) for key, width in widths.items()))
    for row in rows:
        print("  ".join(str(row[key]).ljust(width) for key, width in widths.items()))
    print()


def main() -> None:
    """Run all measurements."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--json", help="file for the results")
    arguments = parser.parse_args()
    decisions = [measure_decisions(count) for count in (24, 2000)]
    print_table(decisions)
    goodput = [
        measure_goodput(system, load)
        for system in ("lavenderhook", "no-retry-budget", "least-loaded")
        for load in (1.0, 2.0, 3.0)
    ]
    print_table(goodput)
    result = {"seed": SEED, "decisions": decisions, "goodput": goodput}
    if arguments.json:
        with open(arguments.json, "w", encoding="utf-8") as file:
            json.dump(result, file, indent=2)
    else:
        print(json.dumps(result))


if __name__ == "__main__":
    main()
