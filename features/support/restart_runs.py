"""Random simulations of workers that restart under their ids, behind partitions."""

import random

import msgspec

from lavenderhook._internal.queueing.model import Placement

from .queue_random_runs import (
    FAULT_PHASE_SECONDS,
    SETTLE_SECONDS,
    crash,
    make_steps,
    refresh_worker_lists,
    restart,
)
from .queue_simulation import QueueSimulation, make_step

LABEL_A = Placement(label="a")
LIST_INTERVAL_SECONDS = 0.4  # another entry changes, and the whole list is applied


def run_restart_simulation(seed):
    """Run a simulation, let it settle without lost answers, and return it.

    Workers restart while they are cut off from the store, which shows their former entries for
    seconds, some as another kind. Some are cut off from the owners soon after, some owners end.
    """
    generator = random.Random(seed)
    simulation = QueueSimulation(seed, workers=5, lost_answer_share=generator.choice([0.0, 0.05]))
    simulation.start_new_owner()
    for index in range(45):
        at = generator.uniform(0.2, FAULT_PHASE_SECONDS)
        steps = make_steps(generator)
        if generator.random() < 0.7:
            steps = [make_step(2, generator.choice([2500, 6000]), generator.uniform(6.0, 12.0))]
        if generator.random() < 0.5:
            steps = [msgspec.structs.replace(step, placement=LABEL_A) for step in steps]
        simulation.call_later(at, simulation.submit, f"s{index}", steps)
    for _ in range(generator.randint(1, 3)):
        add_restart(simulation, generator)
    for index in range(int((FAULT_PHASE_SECONDS + 12.0) / LIST_INTERVAL_SECONDS)):
        at = index * LIST_INTERVAL_SECONDS
        simulation.call_later(at, refresh_worker_lists, simulation)
    simulation.run(FAULT_PHASE_SECONDS + 12.0)
    simulation.lost_answer_share = 0.0
    simulation.run(SETTLE_SECONDS + 15.0)  # for the longest tasks
    simulation.check_outcomes()
    return simulation


def add_restart(simulation, generator):
    """Schedule a restart behind a cut from the store, and what may come close to it."""
    worker = simulation.workers[generator.choice(sorted(simulation.workers))]
    at = generator.uniform(5.0, FAULT_PHASE_SECONDS)
    back_at = at + generator.choice([0.0, generator.uniform(0.1, 1.3)])
    healed_at = back_at + generator.uniform(0.0, 4.0)
    simulation.call_later(at - 0.1, setattr, worker, "is_cut_from_store", True)
    simulation.call_later(at, crash, simulation, worker)
    if generator.random() < 0.3:
        simulation.call_later(at, setattr, worker, "kind", "b")
    simulation.call_later(back_at, restart, simulation, worker)
    if generator.random() < 0.3:
        simulation.call_later(back_at + generator.uniform(0.1, 2.0), restart, simulation, worker)
    simulation.call_later(healed_at, setattr, worker, "is_cut_from_store", False)
    if generator.random() < 0.8:
        at = healed_at + generator.uniform(0.5, 4.0)
        simulation.call_later(at, read_stale_list, simulation, worker)
    if generator.random() < 0.8:
        cut_at = back_at + generator.uniform(0.2, 2.5)
        simulation.call_later(cut_at, setattr, worker, "is_partitioned", True)
        until = cut_at + generator.uniform(7.0, 11.0)
        simulation.call_later(until, setattr, worker, "is_partitioned", False)
    if generator.random() < 0.5:
        at = back_at + generator.uniform(0.0, 2.0)
        if generator.random() < 0.5:
            simulation.call_later(at, end_owner, simulation)
        simulation.call_later(at + 0.5, simulation.start_new_owner)


def read_stale_list(simulation, worker):
    """Let the owners read a list that shows the first incarnation of a worker."""
    former = msgspec.structs.replace(worker.listing(), born=1)
    worker.entry, worker.is_cut_from_store = former, True
    refresh_worker_lists(simulation)
    simulation.call_later(1.5 * LIST_INTERVAL_SECONDS, setattr, worker, "is_cut_from_store", False)


def end_owner(simulation):
    """Let the process of the latest owner end."""
    simulation.owners[-1].is_active = False
