"""Steps on writes to a slow store."""

import random
import time
import types

from behave import given, then, when

from features.support.row_table import RowTable
from lavenderhook._internal.instance.admission import AdmissionControl
from lavenderhook._internal.instance.slow_store import (
    choose_confirmation_limit,
    choose_gathering_instance,
    compute_hedge_delay,
    compute_outage_seconds,
)
from lavenderhook._internal.instance.submission_writer import SubmissionWriter, WriteResult
from lavenderhook._internal.queueing.commit_order import (
    CommitPlanner,
    choose_submissions_to_commit,
)
from lavenderhook._internal.queueing.model import QueueTerms, StepSpec, Submission
from lavenderhook._internal.queueing.records import SUBMISSION_PARTS
from lavenderhook.errors import StoreBusyError, TransportError


@then("with calls that take {latency:f} seconds a write is forwarded after {hedge:f} seconds")
def step_hedge(context, latency, hedge):
    context.latency = latency
    assert compute_hedge_delay(latency) == hedge


@then("the store counts as unavailable after {seconds:f} seconds without a response")
def step_outage(context, seconds):
    assert compute_outage_seconds(context.latency) == seconds


@then("an owner has at most {idle:d} confirmations in flight, and {committing:d} beside a commit")
def step_confirmations(context, idle, committing):
    found = [
        choose_confirmation_limit(context.latency, 0.5, is_committing=beside)
        for beside in (False, True)
    ]
    assert found == [idle, committing], found


@given("the addresses of {count:d} instances")
def step_addresses(context, count):
    context.addresses = [f"10.1.0.{index}:7560" for index in range(count)]


def choose_for_all_parts(addresses):
    """Return the instance that gathers the rows of each part."""
    return {part: choose_gathering_instance(part, addresses) for part in SUBMISSION_PARTS}


@then("all of them choose the same instance for each part, in any order of their lists")
def step_same_choice(context):
    context.chosen = choose_for_all_parts(context.addresses)
    generator = random.Random(1)
    for _ in range(10):
        shuffled = generator.sample(context.addresses, len(context.addresses))
        assert choose_for_all_parts(shuffled) == context.chosen


@then("without one of them only the parts that it gathered change")
def step_one_lost(context):
    for lost in context.addresses:
        left = choose_for_all_parts([a for a in context.addresses if a != lost])
        changed = {part for part in left if left[part] != context.chosen[part]}
        assert changed == {part for part, chosen in context.chosen.items() if chosen == lost}


class RefusingTable(RowTable):
    """Rows whose store is busy for some transactions, or loses a response."""

    def __init__(self, refusals, loses_response=False):
        super().__init__()
        self.refusals = refusals
        self.loses_response = loses_response
        self.transactions = 0

    def measure_latency_seconds(self):
        """Return what calls of a slow store take."""
        return 0.5

    def transact(self, writes, conditions=(), deletes=()):
        """Refuse the transaction, or carry it out."""
        self.transactions += 1
        if self.loses_response:
            self.loses_response = False
            super().transact(writes, conditions, deletes)
            raise TransportError("the response was lost", sent=True)
        if self.refusals > 0:
            self.refusals -= 1
            raise StoreBusyError("the part has too many transactions")
        return super().transact(writes, conditions, deletes)


@given("a store that turns away the next {count:d} transactions as it is busy")
def step_busy(context, count):
    context.store = RefusingTable(count)


@given("a store that loses the response to the next transaction and turns away all later ones")
def step_lost_response(context):
    context.store = RefusingTable(1_000, loses_response=True)


@when("a submission is stored with {seconds:f} seconds left")
def step_store(context, seconds):
    writer = SubmissionWriter(context.store, lambda *_, **__: None)
    queue = QueueTerms(name="desk", service="desk")
    submission = Submission(
        id="00000000000000aa", queue=queue, payload="", steps=(StepSpec(),), accepted_at=0.0
    )
    context.result = writer.store_submission(submission, time.monotonic() + seconds)
    writer.stop()


@then('the result is "{result}" after {count:d} transactions')
def step_result(context, result, count):
    assert context.result.value == result, context.result
    assert context.store.transactions == count, context.store.transactions


@given("{count:d} submissions with new progress, of which the last {final:d} are to end")
def step_changed(context, count, final):
    context.changed = [f"{index:016x}" for index in range(count)]
    context.final = context.changed[-final:]
    context.entries = {
        submission: types.SimpleNamespace(is_finalizing=submission in context.final)
        for submission in context.changed
    }


@then("a commit to a slow store begins with these {count:d} and leaves {left:d} for later")
def step_slow_commit(context, count, left):
    now, later = choose_submissions_to_commit(context.changed, context.entries, is_store_slow=True)
    assert now[:count] == context.final
    assert len(later) == left
    assert sorted(now + later) == context.changed


@then("a commit to a quick store has all {count:d}")
def step_quick_commit(context, count):
    now, later = choose_submissions_to_commit(context.changed, context.entries, is_store_slow=False)
    assert (len(now), later) == (count, [])


@when(
    "{commits:d} commits to a slow store are made, and {count:d} more submissions are to end "
    "after each"
)
def step_lasting_backlog(context, commits, count):
    planner = CommitPlanner()
    changed = dict.fromkeys(context.changed)
    context.stored, context.acknowledged = set(), 0
    for commit in range(commits):
        now, changed = planner.begin(changed, {}, context.entries, is_store_slow=True)
        for index in range(count):
            added = f"{commit}-{index}"
            context.entries[added] = types.SimpleNamespace(is_finalizing=True)
            changed[added] = None
        context.stored.update(now)
        context.acknowledged += planner.end(now, changed, is_stored=True) is not None


@then("all of the first {count:d} are stored")
def step_all_stored(context, count):
    assert len(context.stored.intersection(context.changed)) == count


@then("finished runs were acknowledged at least twice")
def step_acknowledged(context):
    assert context.acknowledged >= 2, context.acknowledged


@given("an instance that has begun {count:d} writes of a submission")
def step_begun(context, count):
    context.admission = AdmissionControl(lambda _: False, lambda: True, lambda *_, **__: None)
    for _ in range(count):
        context.admission.begin_write("00000000000000aa")


@when('one of them ends as "{result}"')
def step_ended(context, result):
    context.told = context.admission.end_write("00000000000000aa", WriteResult(result))


@then('the caller is told "{result}"')
def step_told(context, result):
    assert context.told is WriteResult(result), context.told
