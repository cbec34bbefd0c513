"""Steps that simulate takeovers in a row in virtual time."""

from behave import when

from features.steps.queueing import find_violating_seed
from features.support.queue_random_runs import restart
from features.support.takeover_runs import run_takeover_simulation


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
