"""Random simulations of queues: submissions, worker faults and changes of owner."""

import random

from lavenderhook._internal.queueing.authority import PROOF_SECONDS
from lavenderhook._internal.queueing.model import WorkerState
from standins.crashes import CrashBehaviour

from .organisation_limits import make_organisation
from .queue_simulation import QueueSimulation, make_step

FAULT_PHASE_SECONDS = 15.0
SETTLE_SECONDS = 40.0
PARTITION_PHASE_SECONDS = 12.0  # in which submissions arrive
MAX_BEAT_SECONDS = 1.5  # between a worker's entries in the platform's list


def make_steps(generator):
    """Return the steps of a random submission."""
    kind = generator.random()
    if kind < 0.2:
        return [make_step(generator.randint(2, 5), 3000, 1.5, is_gang=True)]
    if kind < 0.4:
        first = make_step(3, 1500, 0.8)
        return [first, make_step(2, 2500, 1.0, after=(0,))]
    if kind < 0.5:
        return [make_step(3, 2000, 1.0, allows_copies=True)]
    return [make_step(generator.randint(1, 4), generator.choice([800, 2500, 6000]), 0.8)]


def run_random_simulation(
    seed,
    has_leaving_workers=False,
    checks_incarnation=True,
    has_services=False,
    owners_confirm=False,
    has_crashing_tasks=False,
    has_capacity_changes=False,
    has_organisations=False,
):
    """Run a simulation with random faults, let it settle without lost answers, and return it.

    With services, workers slow down, stall, and announce when they leave as well.
    """
    generator = random.Random(seed)
    simulation = QueueSimulation(
        seed, workers=5, lost_answer_share=generator.choice([0.0, 0.05, 0.2])
    )
    simulation.checks_incarnation = checks_incarnation
    simulation.owners_confirm = owners_confirm
    simulation.failure_share = generator.choice([0.0, 0.05, 0.2])
    if has_organisations:
        add_organisations(simulation, seed)
    simulation.start_new_owner()
    for index in range(40):
        at = generator.uniform(0.5, FAULT_PHASE_SECONDS)
        name = f"s{index}"
        simulation.call_later(at, simulation.submit, name, make_steps(generator))
        if generator.random() < 0.15:
            simulation.call_later(
                at + generator.uniform(0.05, 3.0), cancel_if_submitted, simulation, name
            )
    for _ in range(generator.randint(1, 5)):
        add_fault(simulation, generator)
    for _ in range(generator.randint(1, 3) if has_leaving_workers else 0):
        add_leaving_worker(simulation, generator)
    if has_services:
        add_services(simulation, generator)
    for index in range(generator.randint(1, 3) if has_crashing_tasks else 0):
        add_crashing_tasks(simulation, generator, f"crashing{index}")
    for _ in range(generator.randint(2, 6) if has_capacity_changes else 0):
        add_capacity_change(simulation, generator)
    simulation.run(FAULT_PHASE_SECONDS)
    simulation.lost_answer_share = 0.0
    simulation.run(SETTLE_SECONDS)
    simulation.check_outcomes()
    return simulation


def run_partition_simulation(seed):
    """Run a simulation in which a former owner goes on with some workers, and return it.

    Its last proof is from just before the claim, and both owners get notices of all submissions.
    In every second simulation, workers restart around the claim.
    """
    generator = random.Random(seed)
    simulation = QueueSimulation(
        seed, workers=5, lost_answer_share=generator.choice([0.0, 0.05, 0.2])
    )
    simulation.feed_seconds = 0.4
    former = simulation.start_new_owner()
    for index in range(60):
        at = generator.uniform(0.2, PARTITION_PHASE_SECONDS)
        simulation.call_later(at, simulation.submit, f"s{index}", make_steps(generator))
    partitioned_at = generator.uniform(2.0, 6.0)
    claimed_at = partitioned_at + generator.uniform(-0.3, 3.0)
    names = sorted(simulation.workers)
    inside = set(generator.sample(names, generator.randint(1, len(names) - 1)))
    for name, worker in simulation.workers.items():
        token = former.fencing + (name not in inside)
        simulation.call_later(partitioned_at, setattr, worker, "reachable_by", token)
        simulation.call_later(claimed_at + 6.0, setattr, worker, "reachable_by", None)
    simulation.call_later(claimed_at, setattr, former, "acts_until", claimed_at + PROOF_SECONDS)
    simulation.call_later(claimed_at, setattr, former, "stored_proof_at", claimed_at)
    simulation.call_later(claimed_at, simulation.start_new_owner)
    for _ in range(3 if seed % 2 else 0):
        at = claimed_at + generator.uniform(-0.5, 2.5)
        worker = simulation.workers[generator.choice(names)]
        simulation.call_later(at, restart, simulation, worker)
    simulation.run(FAULT_PHASE_SECONDS)
    simulation.lost_answer_share = 0.0
    simulation.run(SETTLE_SECONDS)
    return simulation


def cancel_if_submitted(simulation, name):
    """Cancel a submission if it has been submitted by now."""
    if name in simulation.submissions:
        simulation.cancel(name)


def add_fault(simulation, generator):
    """Schedule a random fault."""
    at = generator.uniform(1.0, FAULT_PHASE_SECONDS - 1)
    span = generator.uniform(1.0, 7.0)
    worker = simulation.workers[generator.choice(sorted(simulation.workers))]
    kind = generator.choice(["cut", "restart", "elect", "freeze", "drain", "crash", "refuse"])
    if kind == "cut":
        simulation.call_later(at, setattr, worker, "is_partitioned", True)
        simulation.call_later(at + span, setattr, worker, "is_partitioned", False)
        if generator.random() < 0.5:
            simulation.call_later(at + span * generator.random(), simulation.start_new_owner)
    elif kind == "restart":
        simulation.call_later(at, restart, simulation, worker)
    elif kind == "crash":
        simulation.call_later(at, crash, simulation, worker)
        simulation.call_later(at + span, restart, simulation, worker)
    elif kind == "drain":
        simulation.call_later(at, setattr, worker, "state", WorkerState.DRAINING)
        simulation.call_later(at + 0.2, refresh_worker_lists, simulation)
        simulation.call_later(at + span, restart, simulation, worker)
    elif kind == "refuse":
        simulation.call_later(at, setattr, simulation, "store_refuses", True)
        simulation.call_later(at + span, setattr, simulation, "store_refuses", False)
        simulation.call_later(at + span * generator.random(), simulation.start_new_owner)
    elif kind == "elect":
        simulation.call_later(at, simulation.start_new_owner)
    else:
        simulation.call_later(at, suspend_owner, simulation, span)
        simulation.call_later(at + 2.0, simulation.start_new_owner)


def add_leaving_worker(simulation, generator):
    """Let a worker drain or be partitioned around changes of owner, and return afterwards."""
    at = generator.uniform(1.0, FAULT_PHASE_SECONDS - 3)
    worker = simulation.workers[generator.choice(sorted(simulation.workers))]
    if generator.random() < 0.6:
        simulation.call_later(at, setattr, worker, "state", WorkerState.DRAINING)
        simulation.call_later(at + 0.1, refresh_worker_lists, simulation)
    partitioned_at = at + generator.uniform(0.0, 1.5)
    simulation.call_later(partitioned_at, setattr, worker, "is_partitioned", True)
    returns_at = partitioned_at + generator.uniform(0.2, 6.0)
    simulation.call_later(returns_at, setattr, worker, "is_partitioned", False)
    simulation.call_later(returns_at, setattr, worker, "state", WorkerState.READY)
    simulation.call_later(returns_at + 0.1, refresh_worker_lists, simulation)
    for _ in range(generator.randint(1, 2)):
        simulation.call_later(
            partitioned_at + generator.uniform(0.0, 5.0), simulation.start_new_owner
        )


def add_crashing_tasks(simulation, generator, name):
    """Submit work of which one task, or each, crashes its workers."""
    steps = make_steps(generator)
    indices = None if generator.random() < 0.3 else frozenset({0})
    age = generator.choice([0.0, 0.1, 0.5, 0.35 * steps[0].estimate_seconds])
    behaviour = CrashBehaviour(age, generator.uniform(1.0, 7.0), indices)
    simulation.crashing_tasks.budget.add(name, behaviour)
    at = generator.uniform(0.5, FAULT_PHASE_SECONDS)
    simulation.call_later(at, simulation.submit, name, steps)


def add_organisations(simulation, seed):
    """Give each submission an organisation, and change the limits of two of them in between.

    The limits hold the widest gang of `make_steps`.
    """
    generator = random.Random(-seed - 1)
    limits = simulation.organisation_limits
    limits.assigned = ["narrow", "wide", "free"]
    for at in (0.0, *(generator.uniform(2.0, FAULT_PHASE_SECONDS) for _ in range(3))):
        organisations = [
            make_organisation("narrow", generator.choice([15_000, 16_000, 20_000])),
            make_organisation("wide", generator.choice([20_000, 30_000])),
            make_organisation("free", weight=generator.choice([0.1, 1.0, 3.0])),
        ]
        simulation.call_later(at, limits.change, *organisations)
    simulation.call_later(0.0, limits.check_accounts)


def add_capacity_change(simulation, generator):
    """Let a worker shrink and grow again while it runs; its entry shows that with its next beat."""
    worker = simulation.workers[generator.choice(sorted(simulation.workers))]
    at, span = generator.uniform(0.5, FAULT_PHASE_SECONDS - 2), generator.uniform(1.0, 9.0)
    full = worker.capacity.processors
    for time, processors in (
        (at, int(full * generator.choice([0.0, 0.2, 0.5, 0.8]))),
        (at + span, full),
    ):
        simulation.call_later(time, worker.resize, processors)
        beat = generator.uniform(0.0, MAX_BEAT_SECONDS)
        simulation.call_later(time + beat, refresh_worker_lists, simulation)


def add_services(simulation, generator):
    """Submit services, which are cancelled at the end, and let workers slow down and leave."""
    for index in range(4):
        name = f"service{index}"
        steps = [make_step(generator.randint(1, 4), 1500, 0.0, is_service=True)]
        simulation.call_later(generator.uniform(0.5, 5.0), simulation.submit, name, steps)
        simulation.call_later(FAULT_PHASE_SECONDS + 25.0, simulation.cancel, name)
    for _ in range(2):
        worker = simulation.workers[generator.choice(sorted(simulation.workers))]
        at, span = generator.uniform(1.0, 10.0), generator.uniform(2.0, 5.0)
        simulation.call_later(at, setattr, worker, "stalls_tasks", True)
        simulation.call_later(at + span, end_stall, simulation, worker)
    worker = simulation.workers[generator.choice(sorted(simulation.workers))]
    at, notice = generator.uniform(2.0, 10.0), generator.uniform(0.5, 4.0)
    simulation.call_later(at, announce_leaving, simulation, worker, notice)
    simulation.call_later(at + notice + 3.0, return_worker, simulation, worker)


def end_stall(simulation, worker):
    """Let the tasks of a stalled worker go on; those that were due end now."""
    worker.stalls_tasks = False
    for run in list(worker.runs.values()):
        if run.seconds and simulation.now >= run.started_at + run.seconds:
            worker.finish_if_active(run.task, run.number, worker.born)


def announce_leaving(simulation, worker, notice):
    """Let a worker drain, and leave with everything that runs after `notice` seconds."""
    worker.state = WorkerState.DRAINING
    worker.leaves_at = simulation.now + notice
    refresh_worker_lists(simulation)
    simulation.call_later(notice, worker.leave)
    simulation.call_later(notice, refresh_worker_lists, simulation)


def return_worker(simulation, worker):
    """Restart a worker that has left."""
    worker.leaves_at = None
    restart(simulation, worker)


def suspend_owner(simulation, span):
    """Suspend the latest owner for `span` seconds."""
    owner = simulation.owners[-1]
    owner.is_suspended = True
    simulation.call_later(span, setattr, owner, "is_suspended", False)


def crash(simulation, worker):
    """Kill a worker's process; the list of workers shows it 4 s later."""
    worker.crash()
    simulation.call_later(4.0, refresh_worker_lists, simulation)


def restart(simulation, worker):
    """Restart a worker as a new incarnation with the same id."""
    worker.crash()
    worker.is_up = True
    worker.state = WorkerState.READY
    worker.begin_incarnation()
    simulation.call_later(0.5, refresh_worker_lists, simulation)


def schedule_list_reads(simulation, seconds, interval_seconds):
    """Let the owners read the list of workers at intervals from now on."""
    for index in range(int(seconds / interval_seconds)):
        simulation.call_later(index * interval_seconds, refresh_worker_lists, simulation)


def refresh_worker_lists(simulation):
    """Let all owners that are not suspended read the list of workers."""
    for owner in simulation.owners:
        if not owner.is_suspended:
            owner.deliver_worker_list()
