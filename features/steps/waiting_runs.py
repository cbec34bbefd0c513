"""Steps that simulate faults and the states that they leave behind, in virtual time."""

from behave import when

from features.steps.queueing import find_violating_seed
from features.support.waiting_runs import run_waiting_simulation


@when("the random simulations {first:d} to {last:d} of waiting states are run")
def step_waiting_runs(context, first, last):
    context.simulations = {seed: run_waiting_simulation(seed) for seed in range(first, last + 1)}


@when(
    "random simulations of waiting states run until one violates an invariant, "
    "with the fault: {fault}"
)
def step_mutant_of_waiting(context, fault):
    context.violating_seed = find_violating_seed(fault, run_waiting_simulation)
