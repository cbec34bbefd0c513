"""Random event sequences of three instances that share upstreams, checked against invariants.

`World` simulates the upstreams, the table of claims, the network between instances and the shard
owner. It records which requests ran, and checks every effect as it occurs.
"""

import collections

import msgspec
from behave import given, then
from hypothesis import HealthCheck, Phase, settings
from hypothesis import given as generate
from hypothesis import strategies as st
from steps.routing import make_head, make_state, make_upstream

from lavenderhook._internal.core import effects as fx
from lavenderhook._internal.core import events as ev
from lavenderhook._internal.core import grants
from lavenderhook._internal.core.identifiers import MemberState
from lavenderhook._internal.core.membership import build_digest
from lavenderhook._internal.core.reducer import collect_timers, reduce

ZONES = {"a": "z1", "b": "z2", "c": "z1"}
SLOTS = 5
SHARED = ("u1", "u2")


class World:
    """Three instances and the systems with which they communicate."""

    def __init__(self):
        self.now = 100.0
        self.states = {name: make_state(name, zone) for name, zone in ZONES.items()}
        self.views = tuple(make_upstream(u, SLOTS, "z1") for u in SHARED)
        self.grant_tracker = grants.GrantTracker()
        self.committed = {u: {} for u in SHARED}
        self.uncommitted_batches = []  # batches of planned changes, committed in order
        self.epoch = 1
        self.log_number = 0
        self.pending_messages = []  # messages in transit between instances and the others
        self.running = collections.Counter()  # (instance, upstream) -> outstanding exchanges
        self.exchanges = []  # (instance, ticket, upstream), not answered
        self.timed_out_exchanges = []  # timed out at the instance, still running at the upstream
        self.claims = {}  # request id -> (instance, ticket) or "recorded"
        self.origin = {}  # (peer, ticket there) -> (instance, ticket here)
        self.request_of = {}  # (instance, ticket) -> request id
        self.may_have_run = collections.Counter()  # request id of non-idempotent -> executions
        # (instance, ticket) whose request may have reached an upstream
        self.possibly_executed = set()
        self.answers = collections.Counter()
        self.tickets = 0

    def deliver_event(self, name, event):
        """Pass an event to an instance and apply its effects."""
        for effect in reduce(self.states[name], event):
            handler = HANDLERS.get(type(effect))
            if handler is not None:
                handler(self, name, effect)

    # Effects

    def _on_dispatch(self, name, effect):
        key = (name, effect.upstream_id)
        self.running[key] += 1
        self.exchanges.append((name, effect.ticket, effect.upstream_id))
        held = self.committed[effect.upstream_id].get(name, 0)
        assert self.running[key] <= held, f"{key} runs {self.running[key]} of {held}"
        total = sum(n for (_, u), n in self.running.items() if u == effect.upstream_id)
        assert total <= SLOTS, f"{effect.upstream_id} runs {total} of {SLOTS}"

    def _on_forward(self, name, effect):
        self.pending_messages.append(("forward", name, effect))

    def _on_answer(self, name, effect):
        key = (name, effect.ticket)
        self.answers[key] += 1
        assert self.answers[key] == 1, f"{key} was answered twice"
        if isinstance(effect.outcome, fx.NotRun):
            assert key not in self.possibly_executed, f"{key} may have run but ended as not run"
        if key in self.origin:
            self.pending_messages.append(("peer-answer", name, effect))

    def _on_claim(self, name, effect):
        self.pending_messages.append(("claim", name, effect))

    def _on_record(self, name, effect):
        assert self.claims.get(effect.request_id) == effect.claim_id
        self.claims[effect.request_id] = "recorded"

    def _on_release(self, name, effect):
        assert self.claims.get(effect.request_id) == effect.claim_id
        del self.claims[effect.request_id]

    def _on_report(self, name, effect):
        self.pending_messages.append(("report", name, effect))

    # Actions, each chosen by a number

    def act_arrive(self, number):
        """Send a request; a third is not idempotent, and some of these repeat an earlier id."""
        # The load moves between instances, so that grants must follow it.
        busy = int(self.now / 6) % 3
        name = sorted(ZONES)[busy if number % 4 else number // 4 % 3]
        number //= 12
        self.tickets += 1
        options = {"deadline": 1 + number // 3 % 7, "class": ("urgent", "normal")[number // 3 % 2]}
        if number % 3 == 0:
            options["idempotent"] = "false"
            options["id"] = f"n{self.tickets - (number // 3 % 5 == 0)}"
        head = make_head(self.tickets, self.now, **options)
        self.request_of[name, self.tickets] = head
        self.deliver_event(name, ev.RequestArrived(now=self.now, head=head))

    def _take_exchange(self, number):
        name, ticket, upstream_id = self.exchanges.pop(number % len(self.exchanges))
        return name, ticket, upstream_id

    def record_possible_execution(self, name, ticket):
        """Record that an upstream may have run the request of a ticket and of its origin."""
        head = self.request_of[name, ticket]
        self.possibly_executed.add((name, ticket))
        if (name, ticket) in self.origin:
            self.possibly_executed.add(self.origin[name, ticket])
        if not head.idempotent:
            self.may_have_run[head.request_id] += 1
            assert self.may_have_run[head.request_id] == 1, f"{head.request_id} ran twice"

    def act_answer(self, number):
        """Simulate a response, a rejection or a broken connection of an upstream."""
        if not self.exchanges:
            return
        name, ticket, upstream_id = self._take_exchange(number)
        self.running[name, upstream_id] -= 1
        kind = number // 7 % 6
        common = {"now": self.now, "ticket": ticket, "upstream_id": upstream_id}
        if kind < 4:
            not_run = kind == 3
            if not not_run:
                self.record_possible_execution(name, ticket)
            status = (200, 200, 500, 503)[kind]
            event = ev.UpstreamAnswered(**common, status=status, not_run=not_run, leaving=False)
        else:
            if kind == 5:
                self.record_possible_execution(name, ticket)
            event = ev.UpstreamFailed(**common, sent=kind == 5, timed_out=False, failure="reset")
        self.deliver_event(name, event)

    def act_time_out(self, number):
        """Time out an exchange that is past its deadline; the upstream continues."""
        due = [e for e in self.exchanges if self.request_of[e[:2]].deadline <= self.now]
        if not due:
            return
        name, ticket, upstream_id = exchange = due[number % len(due)]
        self.exchanges.remove(exchange)
        self.timed_out_exchanges.append(exchange)
        self.record_possible_execution(name, ticket)
        event = ev.UpstreamFailed(
            now=self.now,
            ticket=ticket,
            upstream_id=upstream_id,
            sent=True,
            timed_out=True,
            failure="timeout",
        )
        self.deliver_event(name, event)

    def act_release(self, number):
        """End a request at an upstream after it was reported as timed out."""
        if not self.timed_out_exchanges:
            return
        name, ticket, upstream_id = self.timed_out_exchanges.pop(
            number % len(self.timed_out_exchanges)
        )
        self.running[name, upstream_id] -= 1
        event = ev.UpstreamReleased(now=self.now, ticket=ticket, upstream_id=upstream_id)
        self.deliver_event(name, event)

    def act_deliver(self, number):
        """Deliver a message out of order; one in eight is lost."""
        if not self.pending_messages:
            return
        kind, name, payload = self.pending_messages.pop(number % min(len(self.pending_messages), 8))
        getattr(self, "_deliver_" + kind.replace("-", "_"))(name, payload, number // 11 % 8 == 0)

    def _deliver_forward(self, name, effect, is_lost):
        common = {"now": self.now, "ticket": effect.ticket, "peer": effect.peer}
        if is_lost:
            self.deliver_event(name, ev.PeerFailed(**common, sent=False, failure="refused"))
            return
        self.tickets += 1
        head = self.request_of[name, effect.ticket]
        head = msgspec.structs.replace(head, ticket=self.tickets, forwarded_by=name)
        self.request_of[effect.peer, self.tickets] = head
        self.origin[effect.peer, self.tickets] = (name, effect.ticket)
        self.deliver_event(effect.peer, ev.RequestArrived(now=self.now, head=head))

    def _deliver_peer_answer(self, name, effect, is_lost):
        origin, ticket = self.origin[name, effect.ticket]
        common = {"now": self.now, "ticket": ticket, "peer": name}
        if is_lost:
            self.deliver_event(origin, ev.PeerFailed(**common, sent=True, failure="reset"))
            return
        outcome = {fx.Completed: "completed", fx.NotRun: "not-run"}.get(type(effect.outcome))
        event = ev.PeerAnswered(**common, outcome=ev.PeerOutcome(outcome or "unknown"), status=200)
        self.deliver_event(origin, event)

    def _deliver_claim(self, name, effect, is_lost):
        if is_lost:
            result = ev.ClaimState.UNAVAILABLE
        elif effect.request_id not in self.claims:
            self.claims[effect.request_id] = effect.claim_id
            result = ev.ClaimState.CLAIMED
        elif self.claims[effect.request_id] == "recorded":
            result = ev.ClaimState.RECORDED
        else:
            result = ev.ClaimState.IN_PROGRESS
        self.deliver_event(name, ev.ClaimResolved(now=self.now, ticket=effect.ticket, state=result))

    def _deliver_report(self, name, effect, is_lost):
        if not is_lost:
            self.grant_tracker.record_report(effect.report)

    def _deliver_update(self, name, update, is_lost):
        if not is_lost:
            self.deliver_event(name, ev.GrantUpdateReceived(now=self.now, update=update))

    def _deliver_heartbeat(self, name, digest, is_lost):
        if not is_lost:
            self.deliver_event(name, ev.HeartbeatReceived(now=self.now, digest=digest))

    def act_heartbeat(self, number):
        """Send the digest of one instance to another one."""
        sender, receiver = (
            sorted(ZONES)[number % 3],
            sorted(ZONES)[(number + 1 + number // 3 % 2) % 3],
        )
        self.pending_messages.append(("heartbeat", receiver, build_digest(self.states[sender])))

    def act_wait(self, number):
        """Advance the time and fire the timers."""
        self.now += (0.02, 0.1, 0.5, 2.0)[number % 4]
        for name in sorted(ZONES):
            for timer in ("requests", "grant-report", "shutdown"):
                assert timer in collect_timers()
                self.deliver_event(name, ev.TimerFired(now=self.now, name=timer))

    def act_abandon(self, number):
        """Close a caller's connection."""
        if self.request_of:
            name, ticket = sorted(self.request_of)[number % len(self.request_of)]
            self.deliver_event(name, ev.RequestAbandoned(now=self.now, ticket=ticket))

    def act_own(self, number):
        """Let the shard owner plan, commit or request reassignments of slots."""
        if self.uncommitted_batches and number % 2:
            self.log_number += 1
            for change in self.uncommitted_batches.pop(0):
                previous = self.committed[change.upstream_id]
                self.committed[change.upstream_id] = change.slots
                assert sum(change.slots.values()) <= SLOTS
                self.grant_tracker.record_committed(change, previous)
        elif number % 4 == 2:
            # A commit of other records: only the log number moves.
            self.log_number += 1
            self.grant_tracker.due.update(ZONES)
        else:
            inputs = self._collect_inputs()
            self.grant_tracker.request_reassignments(inputs)
            self.uncommitted_batches.append(self.grant_tracker.plan(inputs))
        version = (self.epoch, self.log_number)
        for update in self.grant_tracker.build_due(self._collect_inputs(), 0, version, "a"):
            self.pending_messages.append(("update", update.holder, update))

    def act_take_over(self, number):
        """Replace the shard owner: only committed grants remain, old updates still arrive."""
        if number % 4 == 0:
            self.epoch += 1
            self.uncommitted_batches = []
            self.grant_tracker = grants.GrantTracker(due=set(ZONES))

    def _collect_inputs(self):
        members = {
            name: grants.GrantMember(availability_zone=zone, state=MemberState.ALIVE)
            for name, zone in ZONES.items()
        }
        return grants.GrantInputs(
            upstreams=self.views,
            grants=self.committed,
            members=members,
            now=self.now,
            quarantine=30.0,
        )

    def act_shut_down(self, number):
        """Shut one instance down; the others continue."""
        if number % 16 == 0:
            self.deliver_event("c", ev.ShutdownRequested(now=self.now))

    def finish(self):
        """Deliver all messages, end all exchanges and check that each request got one answer."""
        for _ in range(400):
            self.act_wait(2)
            while self.pending_messages:
                kind, name, payload = self.pending_messages.pop(0)
                getattr(self, "_deliver_" + kind.replace("-", "_"))(name, payload, False)
            while self.exchanges:
                self.act_answer(0)
            while self.timed_out_exchanges:
                self.act_release(0)
            if not any(state.routing.requests for state in self.states.values()):
                break
        missing = [key for key in self.request_of if self.answers[key] != 1]
        assert not missing, f"without an answer: {missing}"
        for name, state in self.states.items():
            used = {u: up.in_use for u, up in state.routing.upstreams.items() if up.in_use}
            assert not used, f"{name} counts slots in use after everything ended: {used}"


HANDLERS = {
    fx.DispatchToUpstream: World._on_dispatch,
    fx.ForwardToPeer: World._on_forward,
    fx.AnswerCaller: World._on_answer,
    fx.ClaimRequest: World._on_claim,
    fx.RecordOutcome: World._on_record,
    fx.ReleaseClaim: World._on_release,
    fx.SendGrantReport: World._on_report,
}
# Frequent actions are listed several times.
ACTIONS = (
    *[World.act_arrive] * 9,
    *[World.act_answer] * 5,
    *[World.act_deliver] * 12,
    *[World.act_own] * 6,
    *[World.act_heartbeat] * 2,
    *[World.act_wait] * 2,
    World.act_time_out,
    World.act_release,
    World.act_abandon,
    World.act_shut_down,
    World.act_take_over,
)


@given("{count:d} generated event sequences for three instances sharing a shard owner")
def step_generate(context, count):
    context.tally = collections.Counter()

    @settings(
        max_examples=count,
        derandomize=True,
        database=None,
        deadline=None,
        # Shrinking histories of this length takes minutes; the first one found is reported.
        phases=(Phase.explicit, Phase.generate),
        suppress_health_check=list(HealthCheck),
    )
    @generate(st.lists(st.integers(0, 2**24), min_size=300, max_size=400))
    def check(numbers):
        world = World()
        for number in numbers:
            ACTIONS[number % len(ACTIONS)](world, number // len(ACTIONS))
        world.finish()
        context.tally["answers"] += sum(world.answers.values())
        context.tally["forwards"] += len(world.origin)
        context.tally["executions"] += sum(world.may_have_run.values())
        context.tally["moves"] += world.log_number

    context.check = check


@then("no sequence violates an invariant, and the sequences together complete work")
def step_check(context):
    context.check()
    assert all(context.tally[key] > 50 for key in ("answers", "forwards", "executions", "moves")), (
        context.tally
    )
