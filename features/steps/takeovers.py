"""Steps that simulate takeovers in a row in virtual time."""

import math

from behave import then, when

from features.steps.queueing import find_violating_seed
from features.support.queue_random_runs import restart
from features.support.takeover_runs import run_takeover_simulation
from lavenderhook._internal.instance.owner import UNKNOWN_WORKER
from lavenderhook._internal.queueing.authority import Predecessor, compute_authority_seconds
from lavenderhook._internal.queueing.records import Roster

MAX_WAIT_SECONDS = 100.0


@when("the random simulations {first:d} to {last:d} of takeovers in a row are run")
def step_takeover_runs(context, first, last):
    context.simulations = {seed: run_takeover_simulation(seed) for seed in range(first, last + 1)}


@when(
    "random simulations of takeovers run until one violates an invariant, with the fault: {fault}"
)
def step_mutant_of_takeovers(context, fault):
    context.violating_seed = find_violating_seed(fault, run_takeover_simulation)


@when('worker "{name}" restarts at another address')
def step_move(context, name):
    worker = context.simulation.workers[name]
    context.former_entry = worker.listing()
    worker.address = "elsewhere"
    restart(context.simulation, worker)
    context.simulation.run(1.0)


@when('the next list of workers shows the former entry of worker "{name}"')
def step_outdated_list(context, name):
    worker = context.simulation.workers[name]
    worker.entry, worker.is_cut_from_store = context.former_entry, True


@when("another owner takes over, which can't read the roster")
def step_unreadable_roster(context):
    context.simulation.roster = Roster(workers=frozenset({UNKNOWN_WORKER}))
    context.simulation.start_new_owner()


@when("another owner takes over that the former one doesn't know")
def step_unaware(context):
    simulation = context.simulation
    simulation.predecessor_seconds = compute_authority_seconds(Predecessor.UNAWARE, 0.0)
    simulation.start_new_owner()


@when("another owner takes over that the store confirms after {seconds:g} s")
def step_late_proof(context, seconds):
    simulation = context.simulation
    owner = simulation.start_new_owner()
    owner.stored_proof_at = simulation.now
    simulation.call_later(seconds, setattr, owner, "stored_proof_at", math.inf)


@then("the wait for unreachable workers ends {seconds:g} seconds after the last takeover")
def step_wait_ends(context, seconds):
    simulation = context.simulation
    owner = simulation.owners[-1]
    started_at = owner.started_at
    while owner.state.roster.unreached:
        assert simulation.now < started_at + MAX_WAIT_SECONDS, owner.state.roster.unreached
        simulation.run(0.05)
    waited = simulation.now - started_at
    assert abs(waited - seconds) <= 0.15, waited


@then("the log tells that it has ended, and that no submission is blocked")
def step_wait_logged(context):
    context.simulation.run(0.1)
    lines = [line for _, line in context.simulation.decisions]
    ended = [line for line in lines if line.decision == "takeover-wait-ended"]
    assert len(ended) == 1, ended
    blocked = [line.fields["through"] for line in lines if line.decision == "submissions-blocked"]
    assert blocked and blocked[-1] == 0, blocked
