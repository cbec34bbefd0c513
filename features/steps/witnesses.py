"""Steps with workers as witnesses of the ownership."""

import itertools

from behave import given, then, when

from features.steps.queueing import find_violating_seed
from features.support.witness_runs import run_witness_simulation
from lavenderhook._internal.queueing.records import Roster, decode_roster, encode
from lavenderhook._internal.queueing.witnesses import WitnessedEnd, WitnessProof

REVISION = 7  # of a stored roster
SECONDS_BETWEEN_STEPS = 10.0


def parse_workers(names):
    """Return the workers of a list like `a b`."""
    return frozenset() if names == "none" else frozenset(names.split())


def make_roster(opened, closed="none", **fields):
    """Return a roster, given the names of its workers."""
    shut = parse_workers(closed)
    return Roster(
        workers=parse_workers(opened) | shut, closed=dict.fromkeys(shut, REVISION), **fields
    )


@given("an owner whose stored roster has the open workers {opened} and the closed workers {closed}")
def step_owner(context, opened, closed):
    context.proof = WitnessProof(make_roster(opened, closed))
    context.born = dict.fromkeys("abcde", 1)
    context.times = itertools.count(SECONDS_BETWEEN_STEPS, SECONDS_BETWEEN_STEPS)


def record_answers(context, names, sent_at):
    for name in parse_workers(names):
        context.proof.record_answer(name, context.born[name], sent_at, sent_at)


@when("{names} answer it, and the store confirms it")
def step_confirmed(context, names):
    context.now = next(context.times)
    record_answers(context, names, context.now)
    context.confirmed_at = context.now


@when("the list shows {names}, and the store confirms it")
def step_listed_and_confirmed(context, names):
    step_listed(context, names)
    context.confirmed_at = context.now


@when("the list shows {names}")
def step_listed(context, names):
    context.now = next(context.times)
    for name in parse_workers(names):
        context.proof.record_listing(name, context.born[name], context.now)


@when("{names} answer it {seconds:f} seconds before the present")
def step_answer(context, names, seconds):
    context.now = next(context.times)
    record_answers(context, names, context.now - seconds)


@when("{names} restart")
def step_restart(context, names):
    for name in parse_workers(names):
        context.born[name] += 1


@when("it requests a roster with the open workers {opened}")
def step_request(context, opened):
    context.proof.record_requested(make_roster(opened))


@when("the roster with the open workers {opened} is stored")
def step_stored(context, opened):
    context.proof.record_stored(make_roster(opened))


@then("its workers {confirm} it")
def step_confirm(context, confirm):
    is_valid = context.proof.is_valid(context.now, context.confirmed_at)
    assert is_valid is (confirm == "confirm"), context.proof


@given(
    "a new owner that reads a roster with the open workers {opened}, and {names} of earlier owners"
)
def step_new_owner(context, opened, names):
    earlier = () if names == "none" else (parse_workers(names),)
    context.end = WitnessedEnd(make_roster(opened, earlier=earlier))


@when("{names} answer it")
def step_answer_new(context, names):
    for name in parse_workers(names):
        context.end.record_answer(name, SECONDS_BETWEEN_STEPS)


@then("{seconds:f} seconds later its workers {show} the end of all earlier owners")
def step_show(context, seconds, show):
    has_passed = context.end.has_passed(SECONDS_BETWEEN_STEPS + seconds)
    assert has_passed is (show == "show"), context.end


@then("its roster with the open workers {opened} names {names} of earlier owners")
def step_names(context, opened, names):
    named = context.end.list_unended(make_roster(opened))
    assert named == tuple(map(parse_workers, names.split(", "))), named


@then("a roster that names {names} of earlier owners is the same once it is stored and read")
def step_same(context, names):
    roster = make_roster("a", "b", earlier=(parse_workers(names),))
    assert decode_roster(encode(roster), REVISION) == roster


@when("the random simulations {first:d} to {last:d} of witnesses are run")
def step_witness_runs(context, first, last):
    context.simulations = {seed: run_witness_simulation(seed) for seed in range(first, last + 1)}


@when(
    "random simulations of witnesses run until one violates an invariant, with the fault: {fault}"
)
def step_mutant_of_witnesses(context, fault):
    context.violating_seed = find_violating_seed(fault, run_witness_simulation)
