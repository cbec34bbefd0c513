"""Random simulations of owners that only their workers confirm or show to have ended.

All instances are behind the cuts of their owner, so that its peers confirm it for as long as it
asks them, and no owner lists the next one. Some owners are lost at once, others go on without the
store.
"""

import random

import msgspec

from lavenderhook._internal.queueing.authority import (
    STORELESS_SECONDS,
    Predecessor,
    compute_authority_seconds,
    is_proof_valid,
)
from lavenderhook._internal.queueing.events import (
    PredecessorInactive,
    ReportArrived,
    RosterStored,
)
from lavenderhook._internal.queueing.model import WorkerState
from lavenderhook._internal.queueing.witnesses import WitnessedEnd, WitnessProof

from .queue_random_runs import make_steps, restart, schedule_list_reads
from .queue_simulation import QueueSimulation, SimulatedOwner, make_step

WORKERS = 8
SUBMISSION_SECONDS = 16.0  # in which submissions arrive
FAULT_SECONDS = 26.0
SETTLE_SECONDS = 90.0  # longer than the wait for owners whose end nobody shows
LIST_INTERVAL_SECONDS = 0.5


class WitnessedOwner(SimulatedOwner):
    """An owner that acts on proofs by the store, or by its workers and all its peers."""

    def __init__(self, simulation, fencing):
        self.proven_at = simulation.now
        self.witness_proof = WitnessProof(simulation.roster)
        self.witnessed_end = WitnessedEnd(simulation.roster)
        self.has_ended_wait = False
        super().__init__(simulation, fencing)

    def may_act(self):
        """Return whether a proof is valid."""
        now = self.simulation.now
        age = now - self.proven_at
        if is_proof_valid(age):
            return True
        return age <= STORELESS_SECONDS and self.witness_proof.is_valid(now, self.proven_at)

    def has_store(self):
        """Return whether the store answers this owner."""
        simulation = self.simulation
        return simulation.latest_fencing_token == self.fencing and not simulation.store_refuses

    def deliver_worker_list(self):
        """Apply the list of workers, which the store holds."""
        if self.has_store():
            for worker in self.simulation.workers.values():
                if worker.is_up:
                    born = worker.listing().born
                    self.witness_proof.record_listing(worker.name, born, self.simulation.now)
            super().deliver_worker_list()

    def tick(self):
        """Renew the proof by the store, and end the wait for earlier owners."""
        now = self.simulation.now
        if self.has_store():
            self.proven_at = now
        self.stored_proof_at = self.proven_at
        if not self.has_ended_wait and self.witnessed_end.has_passed(now):
            self.has_ended_wait = True
            self.predecessors_act_until = min(self.predecessors_act_until, now)
            self.apply(PredecessorInactive(now=now, inherited_until=now))
        super().tick()

    def apply(self, event):
        """Record the answers of workers and the stored rosters."""
        if isinstance(event, ReportArrived) and self.is_active:
            now = self.simulation.now
            self.witness_proof.record_answer(event.worker, event.report.born, event.sent_at, now)
            self.witnessed_end.record_answer(event.worker, now)
            if not self.accepts_report(event):
                return
        elif isinstance(event, RosterStored):
            self.witness_proof.record_stored(event.roster)
        super().apply(event)

    def accepts_report(self, event):
        """Return whether the store has confirmed the owner lately, or since the incarnation."""
        proven_at = self.proven_at
        return is_proof_valid(self.simulation.now - proven_at) or self.witness_proof.is_confirmed(
            event.worker, event.report.born, proven_at
        )

    def store_roster(self, roster):
        """Store a roster, which the next owner may read before this one knows."""
        if self.simulation.now < self.predecessors_act_until:
            earlier = self.witnessed_end.list_unended(roster)
            roster = self.newest_roster = msgspec.structs.replace(roster, earlier=earlier)
        self.witness_proof.record_requested(roster)
        super().store_roster(roster)


class WitnessedSimulation(QueueSimulation):
    """Simulation with owners of this kind."""

    owner_class = WitnessedOwner


def run_witness_simulation(seed):
    """Run a simulation, let it settle without faults, and return it."""
    generator = random.Random(seed)
    simulation = WitnessedSimulation(seed, WORKERS, generator.choice([0.0, 0.05]))
    simulation.roster_answer_seconds = generator.choice([0.0, 0.3, 1.5])
    for name in sorted(simulation.workers)[generator.randint(3, WORKERS) :]:
        simulation.workers[name].is_up = False  # it joins later
    simulation.start_new_owner()
    for index in range(generator.randint(15, 25)):
        at = generator.uniform(0.2, SUBMISSION_SECONDS)
        steps = make_steps(generator)
        if generator.random() < 0.5:
            steps = [make_step(3, generator.choice([1000, 4000]), generator.uniform(6.0, 20.0))]
        simulation.call_later(at, simulation.submit, f"s{index}", steps)
    at = generator.uniform(2.0, 7.0)
    for _ in range(generator.randint(1, 4)):
        simulation.call_later(at, take_over, simulation, generator)
        at += generator.choice([generator.uniform(0.1, 2.0), generator.uniform(2.0, 7.0)])
    for _ in range(generator.randint(0, 6)):
        add_fault(simulation, generator, generator.uniform(1.0, FAULT_SECONDS - 8.0))
    schedule_list_reads(simulation, FAULT_SECONDS + SETTLE_SECONDS, LIST_INTERVAL_SECONDS)
    simulation.run(FAULT_SECONDS)
    simulation.lost_answer_share = 0.0
    simulation.run(SETTLE_SECONDS)
    simulation.check_outcomes()
    return simulation


def take_over(simulation, generator):
    """Start an owner that the former one doesn't list, which is lost or acts behind a cut."""
    simulation.store_refuses = False
    former = simulation.owners[-1]
    left = max(0.0, former.predecessors_act_until - simulation.now)
    simulation.inherited_seconds = left
    simulation.predecessor_seconds = compute_authority_seconds(Predecessor.UNAWARE, left)
    former.is_active = generator.random() < 0.8
    token = former.fencing
    for worker in simulation.workers.values():
        sides = [token, token + 1] if former.is_active else [None, None, None, 0]
        cut_off(simulation, worker, generator.choice(sides), generator.uniform(3.0, 18.0))
    for _ in range(generator.randint(0, 3)):
        add_return(simulation, generator, token)
    simulation.start_new_owner()


def cut_off(simulation, worker, token, seconds):
    """Let only one owner reach a worker for some seconds, none if the token is 0."""
    worker.reachable_by = token
    simulation.call_later(seconds, end_cut, worker, token)


def end_cut(worker, token):
    """Let all owners reach a worker, unless another cut has begun."""
    if worker.reachable_by == token:
        worker.reachable_by = None


def add_return(simulation, generator, token):
    """Let a worker, which may be down, come back on a former owner's side of the cut."""
    worker = simulation.workers[generator.choice(sorted(simulation.workers))]
    at = generator.uniform(0.3, 4.0)
    simulation.call_later(at, restart, simulation, worker)
    simulation.call_later(at, cut_off, simulation, worker, token, generator.uniform(5.0, 15.0))


def add_fault(simulation, generator, at):
    """Schedule a fault of a worker or of the store."""
    worker = simulation.workers[generator.choice(sorted(simulation.workers))]
    span = generator.uniform(1.0, 7.0)
    match generator.choice(["restart", "restart", "lose", "drain", "refuse"]):
        case "restart":
            simulation.call_later(at, restart, simulation, worker)
        case "lose":
            simulation.call_later(at, worker.crash)
        case "drain":
            simulation.call_later(at, setattr, worker, "state", WorkerState.DRAINING)
            simulation.call_later(at + span, setattr, worker, "state", WorkerState.READY)
        case "refuse":
            simulation.call_later(at, setattr, simulation, "store_refuses", True)
            simulation.call_later(at + span, setattr, simulation, "store_refuses", False)
