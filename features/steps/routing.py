"""Steps that drive the request plane of one instance through the reducer.

Events and effects are written one a line; see `EVENTS` and `describe` for the words.
"""

import random
import shlex

from behave import given, then, when

from lavenderhook._internal.core import effects as fx
from lavenderhook._internal.core import events as ev
from lavenderhook._internal.core.declarations import (
    Policy,
    Selector,
    SelectorTarget,
    WorkerLabels,
    Workload,
)
from lavenderhook._internal.core.identifiers import MemberState, PriorityClass, WorkloadKind
from lavenderhook._internal.core.messages import Digest, GrantUpdate
from lavenderhook._internal.core.records import UpstreamView, WorkerView
from lavenderhook._internal.core.reducer import reduce
from lavenderhook._internal.core.resources import Resources
from lavenderhook._internal.core.state import CoreParameters, InstanceState

OWNER = "owner"


def make_state(incarnation="a", zone="z1", seed=1, **parameters):
    """Return the state of an instance that routes the service `desk` with small queues."""
    state = InstanceState(
        name=incarnation,
        incarnation=incarnation,
        availability_zone=zone,
        address=f"{incarnation}:1",
        parameters=CoreParameters(**parameters),
        generator=random.Random(seed),
    )
    puts = (
        Workload(name="desk", type=WorkloadKind.SERVICE, resources=Resources()),
        Policy(name="small", max_queue=16),
        Selector(name="all", target=SelectorTarget.POLICY, policy="small"),
    )
    change = ev.ConfigurationChange(version=1, change_id="c", author="o", at=0.0, puts=puts)
    received = ev.ConfigurationReceived(
        now=0.0, changes=(change,), complete=True, from_table=True, head=1
    )
    reduce(state, received)
    return state


def make_head(ticket, now=0.0, **options):
    """Return the head of a request; `deadline` is relative to `now`."""
    return ev.RequestHead(
        ticket=ticket,
        request_id=options.get("id", f"r{ticket}"),
        caller="caller",
        service=options.get("service", "desk"),
        labels={"tier": options["tier"]} if "tier" in options else {},
        idempotent=options.get("idempotent", "true") == "true",
        deadline=now + float(options.get("deadline", 5)),
        priority=PriorityClass(options.get("class", "normal")),
        forwarded_by=options.get("from"),
        first_send=options.get("first", "false") == "true",
    )


def make_upstream(upstream_id, slots, zone="z1", tier=None, leaving=False):
    """Return a view of an upstream on the worker of the same number."""
    return UpstreamView(
        upstream_id=upstream_id,
        service="desk",
        labels={"tier": tier} if tier else {},
        address=f"{upstream_id}:1",
        worker_id=upstream_id.replace("u", "w"),
        availability_zone=zone,
        slots=slots,
        connections=8 * slots,
        leaving=leaving,
    )


class InstanceDriver:
    """One instance, its clock and its effects since the last script."""

    def __init__(self):
        self.state = make_state()
        self.now = 1.0
        self.effects = []
        self.version = 1
        self.sequence = 0

    def apply_event(self, line):
        """Apply the event that one line of a script describes."""
        word, *rest = shlex.split(line)
        options = dict(part.split("=", 1) for part in rest if "=" in part)
        arguments = [part for part in rest if "=" not in part]
        event = EVENTS[word](self, arguments, options)
        if event is not None:
            self.effects += reduce(self.state, event)

    def build_digest(self, arguments, options):
        """Return a peer's heartbeat."""
        self.sequence += 1
        free = int(options.get("free", 0))
        leaving = options["leaving"].split(",") if "leaving" in options else ()
        digest = Digest(
            name=arguments[0],
            incarnation=arguments[0],
            address=f"{arguments[0]}:1",
            availability_zone=options.get("zone", "z1"),
            sequence=self.sequence,
            state=MemberState(options.get("state", "alive")),
            ready=True,
            configuration_version=1,
            free_slots={"desk": free} if free else {},
            leaving_upstreams=tuple(leaving),
        )
        return ev.HeartbeatReceived(now=self.now, digest=digest)

    def build_grants(self, arguments, options):
        """Return a grant update: ``u1:slots[:zone[:tier]]`` for each upstream."""
        self.version = int(options.pop("version", self.version + 1))
        views = []
        for entry in arguments:
            upstream_id, slots, *zone_and_tier = entry.split(":")
            views.append(make_upstream(upstream_id, int(slots), *zone_and_tier))
        update = GrantUpdate(
            shard=0,
            version=(1, self.version),
            owner=OWNER,
            holder="a",
            upstreams=tuple(views),
            requested_limits={key: int(value) for key, value in options.items()},
        )
        return ev.GrantUpdateReceived(now=self.now, update=update)

    def pause(self, seconds):
        """Advance the time while the process does not run, then fire one timer."""
        self.now += seconds
        self.effects += reduce(self.state, ev.TimerFired(now=self.now, name="requests"))

    def wait(self, seconds):
        """Advance the time and fire the timers that are due meanwhile."""
        end = self.now + seconds
        while self.now < end - 1e-9:
            self.now = min(end, self.now + 0.02)
            for name in ("requests", "shutdown"):
                self.effects += reduce(self.state, ev.TimerFired(now=self.now, name=name))


def build_answer(driver, arguments, options):
    """Return an upstream's response."""
    return ev.UpstreamAnswered(
        now=driver.now,
        ticket=int(arguments[0]),
        upstream_id=arguments[1],
        status=int(options.get("status", 200)),
        not_run="not-run" in arguments,
        leaving="leaving" in arguments,
    )


def build_failure(driver, arguments, options):
    """Return a failed exchange with an upstream."""
    return ev.UpstreamFailed(
        now=driver.now,
        ticket=int(arguments[0]),
        upstream_id=arguments[1],
        sent="unsent" not in arguments,
        timed_out="timeout" in arguments,
        failure=options.get("failure", "reset"),
    )


def build_peer_answer(driver, arguments, options):
    """Return a peer's outcome for a forwarded request."""
    return ev.PeerAnswered(
        now=driver.now,
        ticket=int(arguments[0]),
        peer=arguments[1],
        outcome=ev.PeerOutcome(arguments[2]),
        status=200,
        reason=options.get("reason", ""),
        free_slots=int(options.get("free", 0)),
    )


def build_platform_list(driver, arguments, options):
    """Return the platform's list of workers; ``w1:leaving`` marks one as leaving."""
    workers = tuple(
        WorkerView(
            worker_id=entry.split(":")[0],
            address="",
            availability_zone="z1",
            rack="r",
            capacity=Resources(),
            leaving=entry.endswith(":leaving"),
        )
        for entry in arguments
    )
    return ev.PlatformListed(
        now=driver.now,
        instances=(),
        workers=workers,
        requested_at=driver.now - float(options.get("age", 0)),
    )


def build_drain(driver, arguments, options):
    """Return the operators' change that drains a worker, or ends the drain with ``end``."""
    version = driver.state.configuration.version + 1
    labels = WorkerLabels(name=arguments[0], drain="end" not in arguments)
    change = ev.ConfigurationChange(
        version=version, change_id=f"c{version}", author="o", at=0.0, puts=(labels,)
    )
    return ev.ConfigurationReceived(
        now=driver.now, changes=(change,), complete=False, from_table=True, head=version
    )


EVENTS = {
    "drain": build_drain,
    "arrive": lambda d, p, o: ev.RequestArrived(now=d.now, head=make_head(int(p[0]), d.now, **o)),
    "abandon": lambda d, p, o: ev.RequestAbandoned(now=d.now, ticket=int(p[0])),
    "claim": lambda d, p, o: ev.ClaimResolved(
        now=d.now, ticket=int(p[0]), state=ev.ClaimState(p[1])
    ),
    "answer": build_answer,
    "fail": build_failure,
    "released": lambda d, p, o: ev.UpstreamReleased(now=d.now, ticket=int(p[0]), upstream_id=p[1]),
    "peer-answer": build_peer_answer,
    "peer-fail": lambda d, p, o: ev.PeerFailed(
        now=d.now, ticket=int(p[0]), peer=p[1], sent="unsent" not in p, failure="reset"
    ),
    "heartbeat": InstanceDriver.build_digest,
    "grants": InstanceDriver.build_grants,
    "workers": build_platform_list,
    "shutdown": lambda d, p, o: ev.ShutdownRequested(now=d.now),
    "timer": lambda d, p, o: ev.TimerFired(now=d.now, name=p[0]),
    "wait": lambda d, p, o: d.wait(float(p[0])),
    "pause": lambda d, p, o: d.pause(float(p[0])),
}


def describe(effect):
    """Return an effect as a line, or None for logs, metrics and membership."""
    if isinstance(effect, fx.DispatchToUpstream):
        return f"dispatch {effect.ticket} {effect.upstream_id}"
    if isinstance(effect, fx.ForwardToPeer):
        return f"forward {effect.ticket} {effect.peer}"
    if isinstance(effect, fx.ClaimRequest):
        return f"claim {effect.ticket}"
    if isinstance(effect, fx.RecordOutcome):
        return f"record {effect.ticket} {describe_outcome(effect.outcome)}"
    if isinstance(effect, fx.ReleaseClaim):
        return f"release {effect.request_id}"
    if isinstance(effect, fx.AnswerCaller):
        return f"answer {effect.ticket} {describe_outcome(effect.outcome)}"
    if isinstance(effect, fx.SendGrantReport):
        limits = [f"{key}={value}" for key, value in effect.report.limits.items()]
        return " ".join(["report", *limits])
    if isinstance(effect, fx.CloseListeners | fx.StopProcess):
        return type(effect).__name__
    return None


def describe_outcome(outcome):
    """Return an outcome with its reason."""
    reason = getattr(outcome, "reason", None)
    return type(outcome).__name__ + (f" {reason.value}" if reason else "")


def split_script(text):
    """Return the parts of a script, which are separated by semicolons or lines."""
    return [part.strip() for part in text.replace("\n", ";").split(";") if part.strip()]


@given('an instance with granted slots "{grants}"')
def step_instance(context, grants):
    context.driver = InstanceDriver()
    # The shard owner, so that reports have an address; it has no free slot.
    context.driver.apply_event(f"heartbeat {OWNER} zone=z9")
    context.driver.apply_event(f"grants {grants}")


@when('it receives "{script}"')
@when("it receives")
def step_receive_events(context, script=None):
    context.driver.effects = []
    for line in split_script(script or context.text):
        context.driver.apply_event(line)


@then('it emits "{script}"')
@then("it emits")
def step_check_effects(context, script=None):
    actual = [line for line in map(describe, context.driver.effects) if line]
    expected = split_script(script or context.text)
    assert actual == expected, f"expected {expected} but saw {actual}"


@then("it emits no effects")
def step_check_no_effects(context):
    actual = [line for line in map(describe, context.driver.effects) if line]
    assert not actual, f"expected nothing but saw {actual}"


@then("each request has one routing log line with a reason for each decision")
def step_check_logs(context):
    logs = [e for e in context.driver.effects if isinstance(e, fx.LogDecision)]
    assert logs, "no decision was logged"
    routed = [log.fields for log in logs if log.decision == "route"]
    for kind, action in ((fx.DispatchToUpstream, "dispatched"), (fx.ForwardToPeer, "forwarded")):
        expected = [e.ticket for e in context.driver.effects if isinstance(e, kind)]
        actual = [fields["ticket"] for fields in routed if fields["action"] == action]
        assert actual == expected, (action, actual, expected)
    assert all("reason" in fields for fields in routed)


@then('its heartbeat reports "{free:d}" free slots and leaving upstreams "{leaving}"')
def step_check_heartbeat(context, free, leaving):
    from lavenderhook._internal.core.membership import build_digest

    digest = build_digest(context.driver.state)
    assert digest.free_slots.get("desk", 0) == free, digest
    assert ",".join(digest.leaving_upstreams) == leaving.replace("none", ""), digest


@when("{count:d} more requests arrive")
def step_more_requests(context, count):
    context.driver.effects = []
    for ticket in range(1, count + 1):
        context.driver.apply_event(f"arrive {ticket}")


@when("{count:d} idempotent requests arrive and every exchange gets status 500")
def step_all_fail(context, count):
    driver = context.driver
    driver.effects = []
    context.request_count = count
    for ticket in range(1, count + 1):
        driver.apply_event(f"arrive {ticket}")
    answered = 0
    while answered < len(driver.effects):
        effect = driver.effects[answered]
        answered += 1
        if isinstance(effect, fx.DispatchToUpstream):
            driver.apply_event(f"answer {effect.ticket} {effect.upstream_id} status=500")
        if answered == len(driver.effects):
            driver.wait(0.3)


@then("there are at most {limit:d} retries and every request is answered")
def step_check_retries(context, limit):
    effects = context.driver.effects
    dispatches = sum(isinstance(e, fx.DispatchToUpstream) for e in effects)
    answers = [e.ticket for e in effects if isinstance(e, fx.AnswerCaller)]
    assert 0 < dispatches - context.request_count <= limit, dispatches
    assert sorted(answers) == list(range(1, context.request_count + 1)), answers


@then("request {ticket:d} is dispatched once, recorded and answered as unknown")
def step_check_once(context, ticket):
    lines = [line for line in map(describe, context.driver.effects) if line]
    dispatched = [line for line in lines if line.startswith(f"dispatch {ticket} ")]
    assert len(dispatched) == 1, lines
    assert f"record {ticket} Unknown connection-lost" in lines, lines
    assert f"answer {ticket} Unknown connection-lost" in lines, lines


@when('"{upstream_id}" fails {count:d} requests from peers')
def step_fail_requests(context, upstream_id, count):
    driver = context.driver
    failed = 0
    ticket = 1000
    while failed < count:
        ticket += 1
        driver.apply_event(f"arrive {ticket} from=b")
        dispatch = [e for e in driver.effects if isinstance(e, fx.DispatchToUpstream)][-1]
        if dispatch.upstream_id == upstream_id:
            driver.apply_event(f"fail {ticket} {upstream_id}")
            failed += 1
        else:
            driver.apply_event(f"answer {ticket} {dispatch.upstream_id}")


@then('new requests from peers are dispatched only to "{expected}"')
def step_check_used(context, expected):
    driver = context.driver
    driver.effects = []
    for ticket in range(2001, 2013):
        driver.apply_event(f"arrive {ticket} from=b")
    used = [e for e in driver.effects if isinstance(e, fx.DispatchToUpstream)]
    assert {e.upstream_id for e in used} == set(expected.split(",")), used
    for effect in used:
        driver.apply_event(f"answer {effect.ticket} {effect.upstream_id}")


@then('the concurrency limit of "{upstream_id}" is {count:d}')
def step_check_limit(context, upstream_id, count):
    assert context.driver.state.routing.upstreams[upstream_id].limit == count


@when("half of {count:d} requests from peers fail on every upstream")
def step_fail_half(context, count):
    driver = context.driver
    generator = random.Random(3)
    for ticket in range(1, count + 1):
        driver.apply_event(f"arrive {ticket} from=b")
        dispatch = [e for e in driver.effects if isinstance(e, fx.DispatchToUpstream)][-1]
        status = generator.choice((200, 500))
        driver.apply_event(f"answer {ticket} {dispatch.upstream_id} status={status}")


@then('no upstream of "{expected}" is ejected')
def step_check_not_ejected(context, expected):
    upstreams = context.driver.state.routing.upstreams
    assert [u for u in upstreams if upstreams[u].limit == 4] == expected.split(",")
