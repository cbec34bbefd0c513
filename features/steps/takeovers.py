"""Steps that simulate takeovers in a row in virtual time."""

from behave import when

from features.support.takeover_runs import run_takeover_simulation


@when("the random simulations {first:d} to {last:d} of takeovers in a row are run")
def step_takeover_runs(context, first, last):
    context.simulations = {seed: run_takeover_simulation(seed) for seed in range(first, last + 1)}
