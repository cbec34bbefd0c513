"""Steps that plan and commit grants of slots as a shard owner does."""

import msgspec
from behave import given, then, when
from steps.routing import make_upstream

from lavenderhook._internal.core import grants
from lavenderhook._internal.core.identifiers import MemberState
from lavenderhook._internal.core.messages import GrantReport


class GrantOwnerHarness:
    """The grant planning of a shard owner with its committed grants."""

    def __init__(self, members, upstreams):
        self.grant_tracker = grants.GrantTracker()
        self.now = 1000.0
        self.log_number = 1
        self.members = {}
        self.committed = {}
        self.planned = ()
        self.views = tuple(
            make_upstream(upstream_id, int(slots), zone)
            for upstream_id, slots, zone in (entry.split(":") for entry in upstreams.split())
        )
        for entry in members.split():
            self.join(entry)

    def join(self, entry):
        """Add an alive member."""
        name, zone = entry.split(":")
        self.members[name] = grants.GrantMember(availability_zone=zone, state=MemberState.ALIVE)
        self.grant_tracker.due.add(name)

    def collect(self):
        """Return the inputs of a plan."""
        return grants.GrantInputs(
            upstreams=self.views,
            grants=self.committed,
            members=self.members,
            now=self.now,
            quarantine=30.0,
        )

    def commit(self, changes):
        """Commit planned changes and send the updates."""
        self.log_number += 1
        for change in changes:
            self.grant_tracker.record_committed(change, self.committed.get(change.upstream_id, {}))
            self.committed[change.upstream_id] = change.slots
        return self.grant_tracker.build_due(self.collect(), 0, (1, self.log_number), "a")

    def report(self, holder, limits, version):
        """Process a report of a holder."""
        pairs = (entry.split("=") for entry in limits.split())
        self.grant_tracker.record_report(
            GrantReport(
                shard=0,
                version=version,
                holder=holder,
                limits={upstream_id: int(limit) for upstream_id, limit in pairs},
                demand={},
            )
        )

    def count(self, holder):
        """Return the number of slots that a holder has."""
        return sum(slots.get(holder, 0) for slots in self.committed.values())


def describe(limits):
    """Return limits as text."""
    return " ".join(f"{key}={value}" for key, value in sorted(limits.items()))


@given('members "{members}" and upstreams "{upstreams}"')
def step_owner(context, members, upstreams):
    context.owner = GrantOwnerHarness(members, upstreams)


@when("the owner plans and commits")
def step_plan_commit(context):
    context.owner.commit(context.owner.grant_tracker.plan(context.owner.collect()))


@when("the owner plans")
def step_plan(context):
    context.owner.planned = context.owner.grant_tracker.plan(context.owner.collect())


@when("other records are committed and updates are sent")
def step_other(context):
    context.owner.grant_tracker.due.update(context.owner.members)
    context.updates = {update.holder: update for update in context.owner.commit(())}


@when('member "{entry}" joins')
def step_join(context, entry):
    context.owner.join(entry)


@when('"{holder}" reports the limits "{limits}"')
def step_report(context, holder, limits):
    context.owner.report(holder, limits, context.owner.grant_tracker.sent[holder])


@when('"{holder}" reports the limits "{limits}" for an older version')
def step_report_old(context, holder, limits):
    epoch, number = context.owner.grant_tracker.sent[holder]
    context.owner.report(holder, limits, (epoch, number - 1))


@when('the demand of "{holder}" is {count:d} slots')
def step_demand(context, holder, count):
    context.owner.grant_tracker.demand[holder] = {"desk": float(count)}


@when('"{holder}" has been {state} for {seconds:d} s')
def step_state(context, holder, state, seconds):
    owner = context.owner
    member = owner.members[holder]
    since = owner.now - seconds
    owner.members[holder] = msgspec.structs.replace(
        member, state=MemberState(state), gone_since=since
    )


@then('the grants are "{expected}"')
def step_check_grants(context, expected):
    committed = context.owner.committed
    actual = "; ".join(f"{key} {describe(committed[key])}" for key in sorted(committed))
    assert actual == expected, actual


@then("every slot is granted")
def step_check_all(context):
    for view in context.owner.views:
        slots = context.owner.committed[view.upstream_id]
        assert sum(slots.values()) == view.slots, (view.upstream_id, slots)


@then('"{first}" and "{second}" both hold slots of "{upstream_id}"')
def step_check_both(context, first, second, upstream_id):
    slots = context.owner.committed[upstream_id]
    assert slots.get(first) and slots.get(second), slots


@then('"{holder}" holds from {low:d} to {high:d} slots')
def step_check_count(context, holder, low, high):
    assert low <= context.owner.count(holder) <= high, context.owner.committed


@then('the owner requests that "{holder}" reduce its limits to "{limits}"')
def step_check_requested(context, holder, limits):
    owner = context.owner
    assert owner.grant_tracker.request_reassignments(owner.collect())
    updates = {u.holder: u for u in owner.commit(())}
    assert describe(updates[holder].requested_limits) == limits, updates[holder]


@then("the owner sends no further request within {seconds:f} s")
def step_check_no_request(context, seconds):
    context.owner.now += seconds
    assert not context.owner.grant_tracker.request_reassignments(context.owner.collect())


@then("the owner sends another request after {seconds:f} s")
def step_check_next_request(context, seconds):
    context.owner.now += seconds
    assert context.owner.grant_tracker.request_reassignments(context.owner.collect())


@then('an update for "{holder}" is pending')
def step_check_due(context, holder):
    assert holder in context.owner.grant_tracker.due


@then('the update for "{holder}" limits "{upstream_id}" to {limit:d}')
def step_check_update(context, holder, upstream_id, limit):
    assert context.updates[holder].requested_limits.get(upstream_id) == limit


@then("the plan contains no new changes while changes are uncommitted")
def step_check_no_changes(context):
    assert context.owner.planned == ()
