"""Measure the request plane: decision times, and goodput under overload on a virtual clock.

Run ``python -m bench.routing [--json FILE]``. Decision times are wall-clock; goodput depends only
on the seed. Two baselines share the simulated upstreams: the same routing with retries that no
budget limits, and balancing by least outstanding requests without limits shared by the instances.
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
USED_SHARE = 0.8
INSTANCES = {"a": 0.5, "b": 0.3, "c": 0.2}  # share of the callers' load
UPSTREAMS = 12
SLOTS = 4
MEAN_SECONDS = 0.05
DEADLINE_SECONDS = 0.5
ERROR_SHARE = 0.2  # of the responses; high, so that retries matter
SIMULATED_SECONDS = 12.0
WARM_UP_SECONDS = 2.0
NETWORK_SECONDS = 0.0005


def make_state(name: str, seed: int) -> InstanceState:
    """Return an instance with the service desk in force."""
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


def make_head(ticket: int, now: float, seconds: float, **more: object) -> ev.RequestHead:
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
    return ev.RequestHead(**{**fields, **more})


# Decision time


def measure_decisions(upstreams: int) -> dict[str, float]:
    """Return the time in microseconds that one request takes in the core, both events summed."""
    state = make_state("a", SEED)
    views = make_views(upstreams, 8)
    update = GrantUpdate(shard=0, version=(1, 1), owner="a", holder="a", upstreams=views)
    reduce(state, ev.GrantUpdateReceived(now=0.0, update=update))
    generator = random.Random(SEED)
    outstanding: list[tuple[int, str]] = []
    target = int(upstreams * 8 * USED_SHARE)
    samples: list[float] = []
    now = 0.0
    for ticket in range(target + DECISION_REQUESTS):
        now += 0.0001
        spent = 0.0
        if len(outstanding) >= target:
            index = generator.randrange(len(outstanding))
            outstanding[index], outstanding[-1] = outstanding[-1], outstanding[index]
            done, upstream_id = outstanding.pop()
            answer = ev.UpstreamAnswered(
                now=now,
                ticket=done,
                upstream_id=upstream_id,
                status=200,
                not_run=False,
                leaving=False,
            )
            started = time.perf_counter()
            reduce(state, answer)
            spent = time.perf_counter() - started
        arrival = ev.RequestArrived(now=now, head=make_head(ticket, now, 30.0))
        started = time.perf_counter()
        found = reduce(state, arrival)
        spent += time.perf_counter() - started
        dispatch = next(e for e in found if isinstance(e, fx.DispatchToUpstream))
        outstanding.append((ticket, dispatch.upstream_id))
        if ticket >= target:
            samples.append(spent * 1e6)
    samples.sort()
    return {
        "upstreams": upstreams,
        "p50_us": round(samples[len(samples) // 2], 1),
        "p99_us": round(samples[len(samples) * 99 // 100], 1),
    }


# Goodput


class UnlimitedBudget(RetryBudget):
    """A budget that allows every retry."""

    def withdraw(self) -> bool:
        """Return True."""
        return True


class UnlimitedRetries(RetryState):
    """Retries without a budget."""

    def get_budget(self, service: str) -> RetryBudget:
        """Return a budget that allows every retry."""
        return UnlimitedBudget()


class Simulation:
    """Virtual time, upstreams that slow down when they have more requests than slots, callers."""

    def __init__(self, load: float) -> None:
        self.generator = random.Random(SEED)
        self.now = 0.0
        self.agenda: list[tuple[float, int, Callable[[], None]]] = []
        self.order = itertools.count()
        self.outstanding = dict.fromkeys((v.upstream_id for v in make_views(UPSTREAMS, SLOTS)), 0)
        self.rate = load * UPSTREAMS * SLOTS / MEAN_SECONDS
        self.tickets = itertools.count(1)
        self.counts = {"sent": 0, "good": 0, "exchanges": 0, "most_outstanding": 0}

    def call_later(self, delay: float, action: Callable[[], None]) -> None:
        """Run an action after a delay in seconds."""
        heapq.heappush(self.agenda, (self.now + delay, next(self.order), action))

    def run(self, arrive: Callable[[str, ev.RequestHead], None]) -> dict[str, float]:
        """Run to the end and return rates per second."""
        self.call_later(0.0, lambda: self._send(arrive))
        while self.agenda and self.agenda[0][0] < SIMULATED_SECONDS:
            self.now, _, action = heapq.heappop(self.agenda)
            action()
        seconds = SIMULATED_SECONDS - WARM_UP_SECONDS
        return {
            "offered_per_s": round(self.counts["sent"] / seconds),
            "goodput_per_s": round(self.counts["good"] / seconds),
            "exchanges_per_s": round(self.counts["exchanges"] / seconds),
            "most_outstanding": self.counts["most_outstanding"],
        }

    def count(self, name: str) -> None:
        """Count something after the warm-up."""
        if self.now >= WARM_UP_SECONDS:
            self.counts[name] += 1

    def _send(self, arrive: Callable[[str, ev.RequestHead], None]) -> None:
        name = self.generator.choices(list(INSTANCES), list(INSTANCES.values()))[0]
        self.count("sent")
        arrive(name, make_head(next(self.tickets), self.now, DEADLINE_SECONDS))
        self.call_later(self.generator.expovariate(self.rate), lambda: self._send(arrive))

    def exchange(self, upstream_id: str, answer: Callable[[bool], None]) -> None:
        """Serve a request at an upstream and call `answer` with whether it succeeded."""
        self.outstanding[upstream_id] += 1
        busy = self.outstanding[upstream_id]
        self.count("exchanges")
        self.counts["most_outstanding"] = max(self.counts["most_outstanding"], busy)
        seconds = self.generator.expovariate(1.0 / MEAN_SECONDS) * max(1.0, busy / SLOTS)
        succeeded = self.generator.random() >= ERROR_SHARE

        def end() -> None:
            self.outstanding[upstream_id] -= 1
            answer(succeeded)

        self.call_later(seconds + 2 * NETWORK_SECONDS, end)


class Routed:
    """Three instances with the core, their owner and the messages among them."""

    def __init__(self, simulation: Simulation, has_budget: bool) -> None:
        self.simulation = simulation
        self.states = {name: make_state(name, SEED + i) for i, name in enumerate(INSTANCES)}
        if not has_budget:
            for state in self.states.values():
                state.retries = UnlimitedRetries()
        self.heads: dict[tuple[str, int], ev.RequestHead] = {}
        self.statuses: dict[tuple[str, int], int] = {}
        self.origins: dict[tuple[str, int], tuple[str, int]] = {}
        self.views = make_views(UPSTREAMS, SLOTS)
        self.grant_tracker = GrantTracker(due=set(INSTANCES))
        self.committed: dict[str, dict[str, int]] = {}
        self.log_number = 1
        self._own()
        for name in INSTANCES:
            self._repeat(0.02, lambda n=name: self._fire(n, "requests"))
            self._repeat(0.2, lambda n=name: self._tell(n))
            self._repeat(0.5, lambda n=name: self._fire(n, "grant-report"))
        self._repeat(0.5, self._own)

    def _repeat(self, interval: float, action: Callable[[], None]) -> None:
        def act() -> None:
            action()
            self.simulation.call_later(interval, act)

        self.simulation.call_later(interval, act)

    def _fire(self, name: str, timer: str) -> None:
        self.feed(name, ev.TimerFired(now=self.simulation.now, name=timer))

    def _tell(self, name: str) -> None:
        digest = build_digest(self.states[name])
        for other in INSTANCES:
            if other != name:
                self.feed(other, ev.HeartbeatReceived(now=self.simulation.now, digest=digest))

    def _own(self) -> None:
        changes = self.grant_tracker.plan(self._collect())
        self.log_number += bool(changes)
        for change in changes:
            self.grant_tracker.record_committed(change, self.committed.get(change.upstream_id, {}))
            self.committed[change.upstream_id] = change.slots
        self.grant_tracker.request_reassignments(self._collect())
        for update in self.grant_tracker.build_due(self._collect(), 0, (1, self.log_number), "a"):
            event = ev.GrantUpdateReceived(now=self.simulation.now, update=update)
            self.feed(update.holder, event)

    def _collect(self) -> GrantInputs:
        members = {
            name: GrantMember(availability_zone="z1", state=MemberState.ALIVE) for name in INSTANCES
        }
        return GrantInputs(
            upstreams=self.views,
            grants=self.committed,
            members=members,
            now=self.simulation.now,
            quarantine=30.0,
        )

    def arrive(self, name: str, head: ev.RequestHead) -> None:
        """Give a request to an instance."""
        self.heads[name, head.ticket] = head
        self.feed(name, ev.RequestArrived(now=self.simulation.now, head=head))

    def feed(self, name: str, event: ev.Event) -> None:
        """Give an event to an instance and carry out its effects."""
        for effect in reduce(self.states[name], event):
            if isinstance(effect, fx.DispatchToUpstream):
                self._dispatch(name, effect)
            elif isinstance(effect, fx.ForwardToPeer):
                self._forward(name, effect)
            elif isinstance(effect, fx.AnswerCaller):
                self._answer(name, effect)
            elif isinstance(effect, fx.SendGrantReport):
                self.grant_tracker.record_report(effect.report)

    def _dispatch(self, name: str, effect: fx.DispatchToUpstream) -> None:
        common = {"ticket": effect.ticket, "upstream_id": effect.upstream_id}
        ended: list[bool] = []

        def answer(succeeded: bool) -> None:
            now = self.simulation.now
            if ended:
                self.feed(name, ev.UpstreamReleased(now=now, **common))
                return
            ended.append(True)
            status = 200 if succeeded else 500
            event = ev.UpstreamAnswered(
                now=now, **common, status=status, not_run=False, leaving=False
            )
            self.statuses[name, effect.ticket] = status
            self.feed(name, event)

        def time_out() -> None:
            if not ended:
                ended.append(True)
                now = self.simulation.now
                event = ev.UpstreamFailed(
                    now=now, **common, sent=True, timed_out=True, failure="timeout"
                )
                self.feed(name, event)

        self.simulation.exchange(effect.upstream_id, answer)
        self.simulation.call_later(effect.deadline - self.simulation.now, time_out)

    def _forward(self, name: str, effect: fx.ForwardToPeer) -> None:
        ticket = next(self.simulation.tickets)
        head = self.heads[name, effect.ticket]
        remaining = head.deadline - self.simulation.now
        forwarded = make_head(ticket, self.simulation.now, remaining, forwarded_by=name)
        self.origins[effect.peer, ticket] = (name, effect.ticket)
        self.simulation.call_later(NETWORK_SECONDS, lambda: self.arrive(effect.peer, forwarded))

    def _answer(self, name: str, effect: fx.AnswerCaller) -> None:
        head = self.heads.pop((name, effect.ticket))
        status = self.statuses.pop((name, effect.ticket), 0)
        origin = self.origins.pop((name, effect.ticket), None)
        is_complete = isinstance(effect.outcome, fx.Completed)
        if origin is None:
            if is_complete and status == 200 and self.simulation.now <= head.deadline:
                self.simulation.count("good")
            return
        outcome = ev.PeerOutcome.COMPLETED if is_complete else ev.PeerOutcome.UNKNOWN
        if isinstance(effect.outcome, fx.NotRun):
            outcome = ev.PeerOutcome.NOT_RUN

        def deliver() -> None:
            self.statuses[origin] = status
            event = ev.PeerAnswered(
                now=self.simulation.now,
                ticket=origin[1],
                peer=name,
                outcome=outcome,
                status=status,
            )
            self.feed(origin[0], event)

        self.simulation.call_later(NETWORK_SECONDS, deliver)


class LeastLoaded:
    """Each instance sends at once to the upstream where it has the fewest outstanding."""

    def __init__(self, simulation: Simulation) -> None:
        self.simulation = simulation
        ids = [view.upstream_id for view in make_views(UPSTREAMS, SLOTS)]
        self.own = {name: dict.fromkeys(ids, 0) for name in INSTANCES}

    def arrive(self, name: str, head: ev.RequestHead, tries: int = 1) -> None:
        """Dispatch a request without limit; retry an error up to twice before the deadline."""
        own = self.own[name]
        upstream_id = min(own, key=lambda u: (own[u], self.simulation.generator.random()))
        own[upstream_id] += 1

        def answer(succeeded: bool) -> None:
            own[upstream_id] -= 1
            if self.simulation.now > head.deadline:
                return
            if succeeded:
                self.simulation.count("good")
            elif tries < 3:
                self.arrive(name, head, tries + 1)

        self.simulation.exchange(upstream_id, answer)


def measure_goodput(system: str, load: float) -> dict[str, object]:
    """Return the rates of one system at a multiple of the upstreams' capacity."""
    simulation = Simulation(load)
    if system == "least-loaded":
        arrive = LeastLoaded(simulation).arrive
    else:
        arrive = Routed(simulation, has_budget=system == "lavenderhook").arrive
    return {"system": system, "load": load, **simulation.run(arrive)}


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
