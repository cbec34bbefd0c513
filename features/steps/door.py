"""Steps with crowds of clients that misuse the addresses of an entry process."""

import collections
import json

import gevent
from behave import given, then, when

from features.steps.platform_queues import make_steps, start_cluster
from features.support.door_crowd import (
    MEGABYTE,
    RESERVED_DESCRIPTORS,
    ClientKind,
    Crowd,
    FewDescriptorsProcess,
    LimitedEntryProcess,
    ResourceSampler,
    choose_target,
)
from lavenderhook.errors import TransportError

ATTEMPTS = 20
ATTEMPT_INTERVAL_SECONDS = 0.5
RUN_SECONDS = 15.0


@given("an entry instance on a small machine")
def step_small_machine(context):
    start_cluster(context, 1, 2, entry_class=LimitedEntryProcess)


@given("an entry instance on a machine with few descriptors")
def step_few_descriptors(context):
    start_cluster(context, 1, 2, entry_class=FewDescriptorsProcess)


def run_crowd(context, kinds, place, count):
    """Run a crowd at a place of the instance and record what the process uses meanwhile."""
    entry = context.cluster.entries[0]
    context.sampler = ResourceSampler(entry)
    crowd = Crowd(choose_target(entry, place), kinds, count)
    try:
        crowd.run()
    finally:
        context.sampler.stop()
        crowd.close()


@when("{count:d} clients send {kind} to {place}")
def step_crowd(context, count, kind, place):
    run_crowd(context, [ClientKind(kind)], place, count)


@when("a mixture of {count:d} clients misuses {place}")
def step_mixture(context, count, place):
    run_crowd(context, list(ClientKind), place, count)


@then("the process lives within its machine's memory and descriptors")
def step_within_limits(context):
    entry, sampler = context.cluster.entries[0], context.sampler
    seen = f"{sampler.memory_bytes / MEGABYTE:.0f} MB and {sampler.descriptors} descriptors"
    status = entry.process.poll()
    assert status is None, f"the process ended with {status} after {seen}"
    assert sampler.memory_bytes <= entry.memory_mb * MEGABYTE, seen
    assert sampler.descriptors <= entry.descriptors - RESERVED_DESCRIPTORS, seen


@then('submission "{name}" is accepted afterwards and completes')
def step_ordinary_request(context, name):
    cluster, answer = context.cluster, None
    for _ in range(ATTEMPTS):
        try:
            answer = cluster.submit(0, name, make_steps(2)).status
        except TransportError as error:
            answer = str(error)
        if answer == 200:
            break
        gevent.sleep(ATTEMPT_INTERVAL_SECONDS)
    assert answer == 200, answer
    state = cluster.wait_state(0, name, "completed", RUN_SECONDS)
    assert state == "completed", state
    assert cluster.entries[0].is_ready(), "the readiness check fails"


@then('the metrics count clients limited by "{limit}"')
def step_counted(context, limit):
    cluster, entry = context.cluster, context.cluster.entries[0]
    address = choose_target(entry, "metrics").address
    text = cluster.client.call(address, "GET", "/metrics", timeout=5.0).body.decode()
    lines = [line for line in text.splitlines() if "clients_limited_total{" in line]
    assert any(f'limit="{limit}"' in line for line in lines), lines


@then('the log has "{event}" lines, but no more than {count:d} a second')
def step_logged(context, event, count):
    lines = context.cluster.entries[0].log.read_text(encoding="utf-8").splitlines()
    records = [json.loads(line) for line in lines if f'"{event}"' in line]
    assert records
    # A second of the log may overlap two of the process.
    seconds = collections.Counter(int(record["time"]) for record in records)
    assert max(seconds.values()) <= 2 * count, seconds
