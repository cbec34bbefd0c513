"""Steps on when an instance takes over."""

from behave import given, then, when

from lavenderhook._internal.instance.ownership import (
    OwnershipView,
    compute_strength,
    rank_members,
)
from lavenderhook._internal.queueing.records import HeartbeatRecord, MemberRecord, OwnerRecord


def make_owner(name="other", fencing=3):
    """Return an owner's row."""
    return OwnerRecord(fencing=fencing, name=name, boot="b", address="127.0.0.1:1")


@given("instances of these strengths")
def step_instances(context):
    context.members = {
        row["name"]: MemberRecord(
            name=row["name"],
            boot="b",
            address="127.0.0.1:1",
            zone="z",
            strength=compute_strength(float(row["processors"]), float(row["link"])),
        )
        for row in context.table
    }


@given("their owner has resigned")
def step_resigned(context):
    context.resigned = HeartbeatRecord(fencing=3, count=9, has_resigned=True)


def find_claim_time(context, name):
    """Return how long after the resignation an instance claims, in hundredths of a second."""
    view = OwnershipView(name=name, boot="x")
    view.rank = rank_members(name, context.members, context.members[name].strength)
    view.note_owner(make_owner("gone"), 1, 0.0)
    view.note_heartbeat(context.resigned, 0.0)
    view.note_contact(0.0, True)
    return next(t for t in range(1000) if view.should_claim(t / 100))


@then('"{first}" would claim before "{second}"')
def step_before(context, first, second):
    assert find_claim_time(context, first) < find_claim_time(context, second)


@given("an instance that knows an owner")
def step_view(context):
    context.now = 100.0
    context.view = OwnershipView(name="me", boot="x")
    context.view.note_owner(make_owner(), 1, context.now)
    context.view.note_heartbeat(HeartbeatRecord(fencing=3, count=1), context.now)
    context.view.note_contact(context.now, True)


@when("the heartbeat stands still for {seconds:f} seconds while the store answers")
def step_still(context, seconds):
    context.now += seconds
    context.view.note_contact(context.now, True)


@when("the store is away for {away:f} seconds and back for {back:f} seconds")
def step_away(context, away, back):
    context.view.note_contact(context.now, False)
    context.now += away
    context.view.note_contact(context.now, True)
    context.now += back
    context.view.note_contact(context.now, True)


@when("{count:d} connections to the owner are refused")
def step_refused_connections(context, count):
    context.now += 0.1
    for _ in range(count):
        context.view.note_ping(is_refused=True)


@when("{count:d} pings to the owner time out")
def step_timeouts(context, count):
    for _ in range(count):
        context.view.note_ping(is_timeout=True)


@when("a heartbeat of a former owner arrives")
def step_former(context):
    context.view.note_heartbeat(HeartbeatRecord(fencing=2, count=99), context.now)


@when("{seconds:f} seconds more go by")
def step_more(context, seconds):
    context.now += seconds


@then("the instance claims")
def step_claims(context):
    assert context.view.should_claim(context.now)


@then("the instance does not claim")
def step_claims_not(context):
    assert not context.view.should_claim(context.now)
