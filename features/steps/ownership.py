"""Steps for the decision when an instance claims ownership."""

from behave import given, then, when

from lavenderhook._internal.instance.ownership import (
    OwnershipView,
    compute_owner_fitness,
    compute_rank,
)
from lavenderhook._internal.queueing.records import HeartbeatRecord, MemberRecord, OwnerRecord


def make_owner(name="other", fencing=3):
    """Return an owner's row."""
    return OwnerRecord(fencing=fencing, name=name, boot="b", address="127.0.0.1:1", process="b")


def make_member(boot, address="127.0.0.1:1"):
    """Return the member row of a process with the owner's name."""
    return MemberRecord(name="other", boot=boot, address=address, zone="z")


@given("instances with these resources")
def step_instances(context):
    context.members = {
        row["name"]: MemberRecord(
            name=row["name"],
            boot="b",
            address="127.0.0.1:1",
            zone="z",
            strength=compute_owner_fitness(float(row["processors"]), float(row["link (Mbit/s)"])),
        )
        for row in context.table
    }


@given("their owner has resigned")
def step_resigned(context):
    context.resigned = HeartbeatRecord(fencing=3, count=9, has_resigned=True)


def find_claim_time(context, name):
    """Return the time from the resignation to an instance's claim, in hundredths of a second."""
    view = OwnershipView(name=name, claim_id="x", owner_fitness=context.members[name].strength)
    view.rank = compute_rank(name, context.members, context.members[name].strength)
    view.update_owner(make_owner("gone"), 1, 0.0)
    view.update_heartbeat(context.resigned, 0.0)
    view.record_store_result(0.0, True)
    return next(t for t in range(1000) if view.should_claim(t / 100))


@then('"{first}" claims ownership before "{second}"')
def step_before(context, first, second):
    assert find_claim_time(context, first) < find_claim_time(context, second)


@given("an instance that knows an owner")
def step_view(context):
    context.now = 100.0
    context.view = OwnershipView(name="me", claim_id="x")
    context.view.update_owner(make_owner(), 1, context.now)
    context.view.update_heartbeat(HeartbeatRecord(fencing=3, count=1), context.now)
    context.view.record_store_result(context.now, True)


@when("the owner's heartbeat does not advance for {seconds:f} seconds while the store responds")
def step_no_heartbeat(context, seconds):
    context.now += seconds
    context.view.record_store_result(context.now, True)


@when(
    "the store is unavailable for {unavailable:f} seconds "
    "and available again for {available:f} seconds"
)
def step_unavailable(context, unavailable, available):
    context.view.record_store_result(context.now, False)
    context.now += unavailable
    context.view.record_store_result(context.now, True)
    context.now += available
    context.view.record_store_result(context.now, True)


@when("{count:d} connections to the owner are refused")
def step_refused_connections(context, count):
    context.now += 0.1
    for _ in range(count):
        context.view.record_ping(is_refused=True)


@when("{count:d} pings to the owner time out")
def step_timeouts(context, count):
    for _ in range(count):
        context.view.record_ping(is_unanswered=True)


@when("a heartbeat of the owner's predecessor arrives")
def step_predecessor(context):
    context.view.update_heartbeat(HeartbeatRecord(fencing=2, count=99), context.now)


@when("another {seconds:f} seconds pass for the instance")
def step_another(context, seconds):
    context.now += seconds


@then("the instance claims ownership")
def step_claims(context):
    assert context.view.should_claim(context.now)


@then("the instance does not claim ownership")
def step_claims_not(context):
    assert not context.view.should_claim(context.now)


@when("another process writes its member row at the owner's name and address")
def step_restarted(context):
    context.view.members["other"] = make_member("c")


@when("the owner's process writes its member row again")
def step_rejoined(context):
    context.view.members["other"] = make_member("b")


@when("another process writes its member row at the owner's name and another address")
def step_replaced(context):
    context.view.members["other"] = make_member("c", "127.0.0.1:2")


@then("the instance concludes that the owner process has ended")
def step_ended(context):
    assert context.view.is_owner_inactive(context.view.owner)


@then("the instance does not conclude that the owner process has ended")
def step_not_ended(context):
    assert not context.view.is_owner_inactive(context.view.owner)


@given("an instance with few resources that knows no fitter one and whose owner has ended")
def step_few_resources(context):
    context.now = 100.0
    context.view = OwnershipView(
        name="me", claim_id="x", owner_fitness=compute_owner_fitness(0.5, 5)
    )
    context.view.update_owner(make_owner(), 1, context.now)
    context.view.record_store_result(context.now, True)
    context.view.members["other"] = make_member("c")


@when("{seconds:g} seconds have passed since it read the owner row")
def step_passed(context, seconds):
    context.now = 100.0 + seconds
