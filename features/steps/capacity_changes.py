"""Steps with workers whose capacity changes."""

from behave import when

from features.support.queue_random_runs import refresh_worker_lists, run_random_simulation


@when("every worker {change:w} to {processors:d} millicores")
def step_resize(context, change, processors):
    for worker in context.simulation.workers.values():
        worker.resize(processors)
    refresh_worker_lists(context.simulation)


@when('its worker has crashed {count:d} times under "{name}"')
def step_crashed(context, count, name):
    crashes = context.simulation.crashing_tasks.budget.crashes
    context.simulation.run_until(
        lambda: sum(n for task, n in crashes.items() if task.submission == name) >= count
    )


@when("{seconds:g} seconds of simulated time pass")
def step_pass(context, seconds):
    context.simulation.run(seconds)


@when("the random simulations {first:d} to {last:d} with changes of capacity are run")
def step_random_runs(context, first, last):
    context.simulations = {
        seed: run_random_simulation(
            seed,
            has_services=seed % 2 == 0,
            has_crashing_tasks=seed % 3 == 0,
            has_capacity_changes=True,
        )
        for seed in range(first, last + 1)
    }
