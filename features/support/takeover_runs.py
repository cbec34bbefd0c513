"""Random simulations of takeovers in a row, beside workers that the owners don't reach.

Peers report submissions again at any time, without the revisions of their rows.
"""

import random

import msgspec

from lavenderhook._internal.queueing.authority import (
    PROOF_SECONDS,
    Predecessor,
    compute_authority_seconds,
)
from lavenderhook._internal.queueing.events import PredecessorInactive

from .queue_random_runs import (
    SETTLE_SECONDS,
    cancel_if_submitted,
    make_steps,
    refresh_worker_lists,
    restart,
    schedule_list_reads,
)
from .queue_simulation import QueueSimulation, make_step

SUBMISSION_SECONDS = 12.0  # in which submissions arrive
FAULT_SECONDS = 22.0
LIST_INTERVAL_SECONDS = 1.0


def run_takeover_simulation(seed):
    """Run a simulation, let it settle without lost answers, and return it."""
    generator = random.Random(seed)
    simulation = QueueSimulation(seed, workers=5, lost_answer_share=generator.choice([0.0, 0.05]))
    simulation.failure_share = generator.choice([0.0, 0.05])
    simulation.feed_seconds = generator.choice([0.0, 0.4, 2.0])
    simulation.start_new_owner()
    for index in range(generator.randint(40, 60)):
        add_submission(simulation, generator, f"s{index}")
    at = generator.uniform(2.0, 8.0)
    for _ in range(generator.randint(1, 3)):
        add_cut(simulation, generator, at)
    for _ in range(generator.randint(2, 4)):
        has_ended = generator.random() < 0.5
        is_split = not has_ended and generator.random() < 0.5
        simulation.call_later(at, take_over, simulation, generator, has_ended, is_split)
        at += generator.choice([generator.uniform(0.1, 0.9), generator.uniform(1.0, 4.0)])
    if generator.random() < 0.4:
        add_restart(simulation, generator)
    schedule_list_reads(simulation, FAULT_SECONDS, LIST_INTERVAL_SECONDS)
    simulation.run(FAULT_SECONDS)
    simulation.lost_answer_share = 0.0
    simulation.run(SETTLE_SECONDS)
    simulation.check_outcomes()
    return simulation


def add_submission(simulation, generator, name):
    """Schedule a submission, some reports of it, and perhaps its cancellation."""
    at = generator.uniform(0.2, SUBMISSION_SECONDS)
    steps = make_steps(generator)
    if generator.random() < 0.4:
        steps = [make_step(2, generator.choice([1000, 4000]), generator.uniform(3.0, 8.0))]
    simulation.call_later(at, simulation.submit, name, steps)
    if generator.random() < 0.2:
        cancelled_at = at + generator.uniform(0.05, 4.0)
        simulation.call_later(cancelled_at, cancel_if_submitted, simulation, name)
    for _ in range(generator.randint(0, 3)):
        reported_at = at + generator.uniform(0.0, 12.0)
        simulation.call_later(reported_at, report_again, simulation, name)


def report_again(simulation, name):
    """Let a peer report a submission to all owners without its revision."""
    submission, _ = simulation.submissions[name]
    for owner in simulation.owners:
        owner.deliver_submission(submission, None)


def add_cut(simulation, generator, takeover_at):
    """Let one of the owners to come, or all, not reach a worker for some seconds."""
    worker = simulation.workers[generator.choice(sorted(simulation.workers))]
    at = takeover_at + generator.uniform(-1.0, 4.0)
    only_owner = generator.choice([0, 0, 0, 1, 2, 3, 4])  # 0 stands for none
    simulation.call_later(at, setattr, worker, "reachable_by", only_owner)
    until = at + generator.uniform(1.0, 8.0)
    simulation.call_later(until, setattr, worker, "reachable_by", None)


def take_over(simulation, generator, has_ended, is_split):
    """Start the next owner; the former one has ended, or acts until its proof expires."""
    now, former = simulation.now, simulation.owners[-1]
    simulation.inherited_seconds = max(0.0, former.predecessors_act_until - now)
    former.is_active = not has_ended
    former.acts_until = now + PROOF_SECONDS
    former.stored_proof_at = now
    if is_split:
        token = former.fencing
        heals_in = generator.uniform(1.0, 8.0)
        for worker in simulation.workers.values():
            worker.reachable_by = generator.choice([token, token + 1])
            simulation.call_later(heals_in, setattr, worker, "reachable_by", None)
    for worker in simulation.workers.values():
        if worker.address != worker.name and generator.random() < 0.5:
            show_first_entry(simulation, worker)
    assessment = Predecessor.ENDED if has_ended else Predecessor.ASKS_PEERS
    simulation.predecessor_seconds = compute_authority_seconds(
        assessment, simulation.inherited_seconds
    )
    owner = simulation.start_new_owner()
    if not has_ended and generator.random() < 0.3:
        seconds = generator.uniform(0.1, 1.2)
        simulation.call_later(seconds, setattr, former, "is_active", False)
        simulation.call_later(seconds, owner.apply, PredecessorInactive(now=now + seconds))


def add_restart(simulation, generator):
    """Let a worker restart, perhaps at another address, and the owners read an outdated list."""
    worker = simulation.workers[generator.choice(sorted(simulation.workers))]
    at = generator.uniform(1.0, 14.0)
    if generator.random() < 0.5:
        simulation.call_later(at, setattr, worker, "address", "elsewhere")
    simulation.call_later(at, restart, simulation, worker)
    simulation.call_later(at + generator.uniform(0.6, 3.0), show_first_entry, simulation, worker)


def show_first_entry(simulation, worker):
    """Let the lists show the first incarnation of a worker for a moment."""
    worker.entry = msgspec.structs.replace(worker.make_entry(), born=1, address=worker.name)
    worker.is_cut_from_store = True
    refresh_worker_lists(simulation)
    simulation.call_later(0.6, setattr, worker, "is_cut_from_store", False)
