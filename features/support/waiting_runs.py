"""Random simulations of states that keep work from starting, and of whether each of them ends.

Work that arrives after all faults depends on what the faults have left behind.
"""

import random

from lavenderhook._internal.queueing.model import AdviceTerms, Placement
from standins.crashes import CrashBehaviour

from .liveness import LivenessCheck
from .queue_random_runs import (
    announce_leaving,
    cancel_if_submitted,
    crash,
    end_stall,
    restart,
    return_worker,
    schedule_list_reads,
    suspend_owner,
)
from .queue_simulation import QueueSimulation, make_step

FAULT_SECONDS = 18.0
SETTLE_SECONDS = 12.0  # leases expire, and what has waited is placed
LATE_SECONDS = 30.0  # in which submissions arrive after the faults
END_SECONDS = 70.0
LIST_INTERVAL_SECONDS = 1.0
SERVICE_SECONDS = 5.0  # in which services arrive
LATE_SUBMISSIONS = 14
LATE_WIDE_SUBMISSIONS = 3  # with a task on each worker
ADVICE = AdviceTerms(0.04, 0.0006, 2.0)
ADVISED_QUEUES = ("a", "b")
LONG_TASK_SECONDS = 12.0


def run_waiting_simulation(seed):
    """Run a simulation with many faults and work after them, and return it."""
    generator = random.Random(seed)
    simulation = QueueSimulation(
        seed,
        workers=generator.randint(5, 10),
        lost_answer_share=generator.choice([0.0, 0.05, 0.2]),
    )
    simulation.owners_confirm = True
    simulation.failure_share = generator.choice([0.0, 0.05, 0.2])
    simulation.feed_seconds = generator.choice([0.0, 0.0, 0.4])
    names = sorted(simulation.workers)
    for queue in ADVISED_QUEUES:
        share = generator.uniform(0.33, 0.5)
        count = max(2, round(share * len(names)))
        simulation.allowed_by_queue[queue] = frozenset(generator.sample(names, count))
    simulation.start_new_owner()
    for index in range(generator.randint(20, 50)):
        at = generator.uniform(0.3, FAULT_SECONDS)
        add_submission(simulation, generator, f"s{index}", at)
    for index in range(LATE_SUBMISSIONS):
        at = FAULT_SECONDS + generator.uniform(0.0, LATE_SECONDS)
        add_submission(simulation, generator, f"late{index}", at)
    for index in range(LATE_WIDE_SUBMISSIONS):
        at = FAULT_SECONDS + SETTLE_SECONDS + generator.uniform(0.0, LATE_SECONDS)
        name, steps = f"wide{index}", [make_wide_step(generator, len(names))]
        simulation.call_later(at, simulation.submit, name, steps)
    add_small_tasks(simulation, generator)
    add_long_work(simulation, generator)
    for _ in range(generator.randint(3, 10)):
        add_fault(simulation, generator, generator.choice(list(FAULTS)))
    if generator.random() < 0.4:
        add_fault(simulation, generator, "leave")
    if generator.random() < 0.5:  # slow until the end
        name = generator.choice(names)
        at = generator.uniform(0.5, FAULT_SECONDS - 1.0)
        add_slow_workers(simulation, generator, at, FAULT_SECONDS - at, [simulation.workers[name]])
    schedule_list_reads(simulation, END_SECONDS, LIST_INTERVAL_SECONDS)
    simulation.run(FAULT_SECONDS)
    simulation.lost_answer_share = 0.0
    simulation.failure_share = 0.0
    simulation.run(SETTLE_SECONDS)
    LivenessCheck(simulation).start()
    simulation.run(END_SECONDS - FAULT_SECONDS - SETTLE_SECONDS)
    return simulation


def add_submission(simulation, generator, name, at):
    """Schedule a submission, and perhaps its cancellation."""
    steps = make_steps(generator, len(simulation.workers))
    terms = {"priority": generator.choice([0, 1, 2]), "most_attempts": 6}
    if generator.random() < 0.4:
        terms |= {"queue": generator.choice(ADVISED_QUEUES), "advice": ADVICE}
    simulation.call_later(at, submit, simulation, name, steps, terms)
    if generator.random() < 0.1:
        cancelled_at = at + generator.uniform(0.05, 4.0)
        simulation.call_later(cancelled_at, cancel_if_submitted, simulation, name)


def submit(simulation, name, steps, terms):
    """Submit work to a queue with these terms."""
    simulation.submit(name, steps, **terms)


def make_steps(generator, workers):
    """Return the steps of a random submission."""
    kind = generator.random()
    seconds = generator.choice([0.5, 1.0, 3.0])
    processors = generator.choice([800, 2500, 6000, 9000])
    if kind < 0.4:
        placement = Placement(
            single_rack=generator.random() < 0.4, most_per_worker=generator.choice([0, 0, 1])
        )
        count = generator.randint(2, max(2, workers // 2))
        return [make_step(count, processors, seconds, is_gang=True, placement=placement)]
    if kind < 0.5:
        first = make_step(3, 1500, seconds)
        return [first, make_step(2, 2500, 1.0, after=(0,), is_gang=generator.random() < 0.5)]
    if kind < 0.6:
        return [make_step(3, processors, seconds, allows_copies=True)]
    if kind < 0.7:
        label = Placement(label=generator.choice(["r-0", "r-1"]))
        return [make_step(generator.randint(1, 3), processors, seconds, placement=label)]
    return [make_step(generator.randint(1, 6), processors, seconds)]


def make_wide_step(generator, workers):
    """Return a step with a task on each worker."""
    placement = Placement(most_per_worker=1)
    processors = generator.choice([2000, 6000])
    return make_step(workers, processors, 1.0, is_gang=True, placement=placement)


def add_small_tasks(simulation, generator):
    """Schedule a stream of steps of many small tasks, which show how fast each worker is."""
    for index in range(generator.choice([0, 20, 40])):
        at = generator.uniform(0.3, FAULT_SECONDS)
        steps = [make_step(8, 1500, generator.choice([0.5, 1.0]))]
        simulation.call_later(at, simulation.submit, f"small{index}", steps)


def add_long_work(simulation, generator):
    """Schedule services, fillers and long tasks."""
    for index in range(generator.randint(0, 4)):
        count = generator.choice([len(simulation.workers), 3])
        spread = Placement(most_per_worker=generator.choice([0, 1]))
        steps = [make_step(count, 1000, 0.0, is_service=True, placement=spread)]
        at = generator.uniform(0.3, SERVICE_SECONDS)
        simulation.call_later(at, simulation.submit, f"service{index}", steps)
    for index in range(generator.randint(0, 3)):
        count = generator.randint(1, len(simulation.workers))
        steps = [make_step(count, 3000, LONG_TASK_SECONDS, is_filler=generator.random() < 0.5)]
        at = generator.uniform(0.3, FAULT_SECONDS + LATE_SECONDS)
        simulation.call_later(at, simulation.submit, f"long{index}", steps)


def add_fault(simulation, generator, kind):
    """Schedule a fault that is over by `FAULT_SECONDS`."""
    at = generator.uniform(0.5, FAULT_SECONDS - 3.0)
    span = generator.uniform(1.0, FAULT_SECONDS - at)
    names = sorted(simulation.workers)
    count = generator.choice([1, 1, 1, 2, 3])
    workers = [simulation.workers[name] for name in generator.sample(names, count)]
    FAULTS[kind](simulation, generator, at, span, workers)


def add_slow_workers(simulation, generator, at, span, workers):
    """Let tasks that start on some workers take several times as long."""
    for worker in workers:
        simulation.call_later(at, setattr, worker, "duration_factor", generator.choice([4, 8, 16]))
        simulation.call_later(at + span, end_slowness, simulation, worker)


def end_slowness(simulation, worker):
    """Let the tasks of a slow worker go on as fast as on the others."""
    factor, worker.duration_factor = worker.duration_factor, 1
    for run in worker.runs.values():
        elapsed = simulation.now - run.started_at
        left = (run.seconds - elapsed) / factor
        if left > 0:
            run.seconds = elapsed + left
            simulation.call_later(left, worker.finish_if_active, run.task, run.number, worker.born)


def add_stalled_workers(simulation, generator, at, span, workers):
    """Let the tasks of some workers stand still."""
    for worker in workers:
        simulation.call_later(at, setattr, worker, "stalls_tasks", True)
        simulation.call_later(at + span, end_stall, simulation, worker)


def add_failing_workers(simulation, generator, at, span, workers):
    """Let all tasks of some workers fail."""
    for worker in workers:
        simulation.call_later(at, setattr, worker, "fails_all_runs", True)
        simulation.call_later(at + span, setattr, worker, "fails_all_runs", False)


def add_crashes(simulation, generator, at, span, workers):
    """Let some workers crash together, and come back."""
    for worker in workers:
        simulation.call_later(at, crash, simulation, worker)
        simulation.call_later(at + span, restart, simulation, worker)


def add_restarts(simulation, generator, at, span, workers):
    """Let some workers restart; the list shows them as they were for a while."""
    for worker in workers:
        is_cut = generator.random() < 0.5
        if is_cut:
            simulation.call_later(at - 0.1, setattr, worker, "is_cut_from_store", True)
            simulation.call_later(at + span, setattr, worker, "is_cut_from_store", False)
        simulation.call_later(at, restart, simulation, worker)


def add_leaving_workers(simulation, generator, at, span, workers):
    """Let some workers announce that they leave, leave, and come back."""
    for worker in workers:
        notice = span * generator.random()
        simulation.call_later(at, announce_leaving, simulation, worker, notice)
        simulation.call_later(at + span, return_worker, simulation, worker)


def add_cuts(simulation, generator, at, span, workers):
    """Let no owner reach some workers."""
    for worker in workers:
        simulation.call_later(at, setattr, worker, "is_partitioned", True)
        simulation.call_later(at + span, setattr, worker, "is_partitioned", False)
    if generator.random() < 0.5:
        simulation.call_later(at + span * generator.random(), simulation.start_new_owner)


def add_capacity_changes(simulation, generator, at, span, workers):
    """Let some workers shrink and grow again while they run."""
    for worker in workers:
        full = worker.capacity.processors
        simulation.call_later(at, worker.resize, int(full * generator.choice([0.0, 0.2, 0.5])))
        simulation.call_later(at + span, worker.resize, full)


def add_new_owners(simulation, generator, at, span, workers):
    """Let another owner take over, perhaps from one that is suspended or has ended."""
    kind = generator.choice(["elect", "suspend", "kill"])
    if kind == "suspend":
        simulation.call_later(at, suspend_owner, simulation, span)
    elif kind == "kill":
        simulation.call_later(at, end_owner, simulation)
    delay = min(span, generator.uniform(0.1, 2.0))
    simulation.call_later(at + delay, simulation.start_new_owner)


def end_owner(simulation):
    """Let the process of the latest owner end."""
    simulation.owners[-1].is_active = False


def add_refusing_store(simulation, generator, at, span, workers):
    """Let the store refuse all writes, or confirm rosters late."""
    if generator.random() < 0.3:
        seconds = generator.uniform(0.1, 2.0)
        simulation.call_later(at, setattr, simulation, "roster_answer_seconds", seconds)
        simulation.call_later(at + span, setattr, simulation, "roster_answer_seconds", 0.0)
        return
    simulation.call_later(at, setattr, simulation, "store_refuses", True)
    simulation.call_later(at + span, setattr, simulation, "store_refuses", False)
    if generator.random() < 0.5:
        simulation.call_later(at + span * generator.random(), simulation.start_new_owner)


def add_slow_advice(simulation, generator, at, span, workers):
    """Let the advisory service answer late, or not at all."""
    if generator.random() < 0.5:
        simulation.call_later(at, setattr, simulation, "advice_is_unanswered", True)
        simulation.call_later(at + span, setattr, simulation, "advice_is_unanswered", False)
    seconds = generator.uniform(0.2, 3.0)
    simulation.call_later(at, setattr, simulation, "advice_seconds", seconds)
    simulation.call_later(at + span, setattr, simulation, "advice_seconds", 0.05)


def add_deadly_tasks(simulation, generator, at, span, workers):
    """Submit work of which one task, or each, crashes its workers."""
    name = f"deadly{at}"
    steps = make_steps(generator, len(simulation.workers))
    indices = None if generator.random() < 0.3 else frozenset({0})
    age = generator.choice([0.0, 0.1, 0.35 * steps[0].estimate_seconds])
    behaviour = CrashBehaviour(age, generator.uniform(1.0, 4.0), indices)
    simulation.crashing_tasks.budget.add(name, behaviour)
    simulation.call_later(at, submit, simulation, name, steps, {"most_attempts": 6})


FAULTS = {
    "slow": add_slow_workers,
    "stalled": add_stalled_workers,
    "failing": add_failing_workers,
    "crash": add_crashes,
    "restart": add_restarts,
    "leave": add_leaving_workers,
    "cut": add_cuts,
    "capacity": add_capacity_changes,
    "owner": add_new_owners,
    "store": add_refusing_store,
    "advice": add_slow_advice,
    "deadly": add_deadly_tasks,
}
