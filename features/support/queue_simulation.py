"""Simulation of queues in virtual time: owners, workers with leases, a store, and faults.

The invariants are checked on the side of the workers, independently of the owner's state.
"""

import collections
import dataclasses
import heapq
import itertools
import math
import random

import msgspec

from lavenderhook._internal.queueing import effects
from lavenderhook._internal.queueing.authority import Predecessor, compute_authority_seconds
from lavenderhook._internal.queueing.events import (
    AdviceArrived,
    FinishedRunPosition,
    HoldUnanswered,
    OutcomeRead,
    ProgressStored,
    ReportArrived,
    RosterStored,
    StartAnswered,
    StopAnswered,
    SubmissionAbsent,
    SubmissionRead,
    SubmissionStored,
    Ticked,
    WorkersListed,
)
from lavenderhook._internal.queueing.model import (
    FencingToken,
    FinishedRun,
    QueueTerms,
    ReportedRun,
    Resources,
    RunOutcome,
    StartOutcome,
    StepSpec,
    Submission,
    SubmissionState,
    WorkerListing,
    WorkerReport,
    WorkerState,
)
from lavenderhook._internal.queueing.owner_state import OwnerParameters, OwnerState
from lavenderhook._internal.queueing.records import Outcome, Roster, set_closing_revisions
from lavenderhook._internal.queueing.start_log import collect_starts
from lavenderhook._internal.queueing.takeover import Takeover
from standins.capacity import ProcessorLimit

from .crashing_tasks import CrashingTasks
from .organisation_limits import OrganisationLimits

LEASE_SECONDS = 4.5
MAX_LEASE_SECONDS = 10.0  # that a worker allows
MAX_STOP_SECONDS = 0.4
GANG_START_TIMEOUT_SECONDS = 3.0
HOLD_INTERVAL_SECONDS = 0.2
LINK_LATENCY_SECONDS = 0.005
LINE_FIELDS = {"time", "level", "instance", "event"}  # of every log line
MAX_CONDITION_CHECKS = 2000
MAX_COMMAND_DELAY_SECONDS = 6.0  # a start or stop without an answer is executed up to this late


@dataclasses.dataclass
class ActiveRun:
    """A run that is active on a simulated worker."""

    task: object
    number: int
    resources: Resources
    started_at: float
    seconds: float = 0.0  # 0 for a run without an end of its own
    is_stopping: bool = False

    def describe(self, now, is_stalled):
        """Return the run as the worker reports it."""
        done = min(1.0, (now - self.started_at) / self.seconds) if self.seconds else 1.0
        return ReportedRun(self.task, self.number, "", 0.0 if is_stalled else round(done, 2))


class SimulatedWorker:
    """A worker that checks only token, lease and run number, as the platform's workers do."""

    def __init__(self, simulation, name, capacity, rack):
        self.simulation = simulation
        self.name = self.address = name  # another worker answers at its former addresses
        self.capacity = capacity
        self.limit = ProcessorLimit(capacity.processors)
        self.rack = rack
        self.service = "desk"
        self.kind = "a"  # one of its labels, which may be another one after a restart
        self.is_partitioned = False
        self.reachable_by = None  # token of the only owner that reaches it; None for all
        self.is_cut_from_store = False  # its entry in the list stays as it is
        self.entry = None  # the newest, as a `WorkerListing`
        self.is_up = True
        self.fails_all_runs = False
        self.stalls_tasks = False
        self.duration_factor = 1
        self.max_listed = 500  # finished runs in a report
        self.state = WorkerState.READY
        self.leaves_at = None  # time at which a draining worker leaves
        self.lost_runs = []
        self.begin_incarnation()

    def begin_incarnation(self):
        """Restart without any state of the previous incarnation."""
        self.born = int(self.simulation.now * 1000) + 1
        self.began_at = self.simulation.now
        self.runs = {}
        self.highest_run_numbers = {}
        self.finished_runs = []
        self.last_sequence = 0
        self.highest_token = 0
        self.lease_until = LEASE_SECONDS  # on its own clock

    def read_clock(self):
        """Return the seconds on the worker's own clock, which starts with each incarnation."""
        return self.simulation.now - self.began_at

    def listing(self):
        """Return the worker's entry in the platform's list of workers."""
        if self.entry is None or not self.is_cut_from_store:
            self.entry = self.make_entry()
        return self.entry

    def make_entry(self):
        """Return the entry that the worker writes."""
        return WorkerListing(
            id=self.name,
            service=self.service,
            address=self.address,
            zone="z",
            state=self.state,
            capacity=self.capacity,
            labels=frozenset({self.kind, self.rack}),
            born=self.born,
            leaves_in_seconds=(
                None if self.leaves_at is None else max(0.0, self.leaves_at - self.simulation.now)
            ),
        )

    def is_reached_by(self, owner):
        """Return whether commands of an owner reach this worker."""
        return not self.is_partitioned and self.reachable_by in (None, owner.fencing)

    def resize(self, processors):
        """Change the capacity while the worker runs."""
        self.capacity = msgspec.structs.replace(self.capacity, processors=processors)
        self.limit.resize(processors, self.simulation.now)

    def leave(self):
        """End with everything that runs."""
        self.lost_runs += self.runs.values()
        self.runs.clear()
        self.is_up = False

    def crash(self):
        """End without notice, with everything that runs."""
        lost = list(self.runs.values())
        self.runs.clear()
        self.is_up = False
        for run in lost:
            self.simulation.crashing_tasks.crashes_beside[run.task] += 1
            self.simulation.break_gang(run)

    def check_token(self, token):
        """Record a command's token; return whether it is not below the highest one seen."""
        if token < self.highest_token:
            return False
        self.highest_token = token
        return True

    def extend_lease(self, lease_until):
        """Extend the lease that all runs share, by at most MAX_LEASE_SECONDS from now."""
        latest = min(lease_until, self.read_clock() + MAX_LEASE_SECONDS)
        self.lease_until = max(self.lease_until, latest)

    def start(self, command, lease_until):
        """Execute a start command."""
        if not self.check_token(command.token):
            return StartOutcome.FENCED
        if self.read_clock() > lease_until:
            return StartOutcome.LEASE_PASSED
        self.extend_lease(lease_until)
        run = self.runs.get(command.task)
        if run is not None and run.number == command.number:
            return StartOutcome.STARTED
        if command.number <= self.highest_run_numbers.get(command.task, 0):
            return StartOutcome.SUPERSEDED
        if run is not None:
            return StartOutcome.SUPERSEDED
        if not self.simulation.check_ticket(self, command):
            return StartOutcome.TICKET_REFUSED
        self.simulation.check_start(self, command)
        spec = self.simulation.find_spec(command.task)
        self.runs[command.task] = ActiveRun(
            command.task, command.number, get_counted_resources(spec), self.simulation.now
        )
        if spec.is_service:
            pass  # it runs until it is stopped
        elif not spec.is_gang:
            seconds = self.duration_factor * self.simulation.choose_duration(spec)
            seconds += self.simulation.crashing_tasks.get_crash_age(command.task)
            self.runs[command.task].seconds = seconds
            self.simulation.call_later(
                seconds,
                self.finish_if_active,
                command.task,
                command.number,
                self.born,
            )
        else:
            self.simulation.join_gang(self, command)
        return StartOutcome.STARTED

    def finish_if_active(self, task, number, born, outcome=None):
        """Finish a run unless the worker restarted or the run is no longer active."""
        run = self.runs.get(task)
        if not self.is_up or born != self.born or run is None or run.number != number:
            return
        if self.stalls_tasks and outcome is None:
            return
        if outcome is None:
            outcome = (
                RunOutcome.FAILED if self.fails_all_runs else self.simulation.choose_outcome(task)
            )
        self.finish_run(run, outcome)

    def finish_run(self, run, outcome):
        """Move a run to the finished ones, which the next report names."""
        del self.runs[run.task]
        self.last_sequence += 1
        self.highest_run_numbers[run.task] = max(
            self.highest_run_numbers.get(run.task, 0), run.number
        )
        self.finished_runs.append((self.last_sequence, run.task, run.number, outcome))
        self.simulation.record_finished_run(self, run, outcome)

    def stop(self, task, number, token):
        """Execute a stop command; return False if fenced."""
        if not self.check_token(token):
            return False
        self.highest_run_numbers[task] = max(self.highest_run_numbers.get(task, 0), number)
        run = self.runs.get(task)
        if run is not None and run.number <= number and not run.is_stopping:
            run.is_stopping = True
            self.simulation.call_later(
                MAX_STOP_SECONDS * self.simulation.random.random(),
                self.finish_if_active,
                task,
                run.number,
                self.born,
                RunOutcome.STOPPED,
            )
        return True

    def hold(self, token, acknowledged_sequence, lease_until):
        """Extend the lease, drop the acknowledged runs, and return a report; None if fenced."""
        if not self.check_token(token):
            return None
        if lease_until is not None:
            self.extend_lease(lease_until)
        for sequence, task, _, outcome in self.finished_runs:
            if sequence <= acknowledged_sequence and outcome is RunOutcome.DONE:
                self.simulation.acknowledged_at.setdefault(task, self.simulation.now)
        self.finished_runs = [
            entry for entry in self.finished_runs if entry[0] > acknowledged_sequence
        ]
        return WorkerReport(
            clock=self.read_clock(),
            born=self.born,
            running=tuple(
                run.describe(self.simulation.now, self.stalls_tasks) for run in self.runs.values()
            ),
            finished=tuple(
                FinishedRun(*entry, "") for entry in self.finished_runs[: self.max_listed]
            ),
            lists_all_finished=len(self.finished_runs) < self.max_listed,
        )

    def expire_lease(self):
        """Finish all runs as lapsed if the lease has expired."""
        if self.is_up and self.read_clock() > self.lease_until:
            for run in list(self.runs.values()):
                self.finish_run(run, RunOutcome.LAPSED)


class SimulatedOwner:
    """The loops of an owner in virtual time."""

    proves_incarnation = True  # of a worker, before it sends what is meant for one

    def __init__(self, simulation, fencing):
        self.simulation = simulation
        self.fencing = fencing
        self.revision = simulation.revision
        self.started_at = simulation.now
        self.is_active = True
        self.connections = {}  # incarnation that has answered last, by worker
        self.is_suspended = False
        self.was_suspended = False
        self.acts_until = math.inf  # it has no later proof that it has not been replaced
        self.stored_proof_at = math.inf  # time of the last proof by the store; infinite for now
        self.unstored_submissions = {}
        self.is_roster_unanswered = False
        self.next_roster = None  # to be stored after the one without an answer
        self.newest_roster = None  # a write that is refused is repeated for this one only
        authority_seconds = simulation.predecessor_seconds if simulation.owners else 0.0
        self.predecessors_act_until = simulation.now + authority_seconds
        self.state = OwnerState(
            FencingToken(fencing),
            self.revision,
            simulation.now,
            OwnerParameters(lease_seconds=LEASE_SECONDS, stop_seconds=MAX_STOP_SECONDS),
            simulation.roster,
            takeover=Takeover(
                simulation.now,
                LEASE_SECONDS,
                authority_seconds,
                min(authority_seconds, simulation.inherited_seconds),
            ),
            former_starts=collect_starts(simulation.start_log_rows.values(), simulation.now),
        )
        for submission_id, outcome in simulation.outcomes.items():
            self.apply(
                OutcomeRead(
                    now=simulation.now,
                    submission=submission_id,
                    outcome=Outcome(state=outcome, at=0.0),
                )
            )
        for submission, revision in simulation.submissions.values():
            self.deliver_submission(submission, revision)
        self.deliver_worker_list()
        simulation.organisation_limits.deliver(self)
        simulation.call_later(0.01, self.tick)
        simulation.call_later(0.03, self.commit)

    def deliver_submission(self, submission, revision):
        """Apply a stored submission; the revision is None if a peer reports it."""
        self.apply(
            SubmissionRead(
                now=self.simulation.now,
                submission=submission,
                revision=revision,
                age=self.simulation.submission_ages.get(submission.id, 0.0),
                progress=self.simulation.progress.get(submission.id),
            )
        )

    def deliver_worker_list(self):
        """Apply the platform's current list of workers."""
        listings = tuple(w.listing() for w in self.simulation.workers.values() if w.is_up)
        self.apply(WorkersListed(now=self.simulation.now, workers=listings))

    def apply(self, event):
        """Apply an event and execute its effects; a suspended owner does so later."""
        if not self.is_active:
            return
        if self.is_suspended:
            self.was_suspended = True
            self.simulation.call_later(0.2, self.apply, event)
            return
        if self.simulation.owners_confirm and self.was_suspended:
            if self.simulation.store_refuses:
                self.simulation.call_later(0.2, self.apply, event)
                return
            self.was_suspended = False
            if self.simulation.latest_fencing_token != self.fencing:
                self.is_active = False
                return
        for effect in self.state.reduce(event):
            self.execute(effect)

    def execute(self, effect):
        """Execute an effect."""
        simulation = self.simulation
        match effect:
            case effects.SendStart():
                message = (effect.command, self.compute_lease_end(effect.command.worker))
                send_start = self.deliver_start if self.proves_incarnation else self.execute_start
                simulation.send(effect.command.worker, send_start, message, self.execute_start)
            case effects.LogDecision():
                hidden = LINE_FIELDS & effect.fields.keys()
                if hidden:
                    simulation.violations.append((simulation.now, "hidden-log-fields", hidden))
                simulation.decisions.append((simulation.now, effect))
            case effects.SendStop():
                simulation.send(effect.worker, self.deliver_stop, effect)
            case effects.WatchWorker():
                # Links differ in speed: the former owner may still command the worker meanwhile.
                simulation.call_later(
                    simulation.random.uniform(0.001, 0.4), self.hold, effect.worker
                )
            case effects.StoreProgress():
                self.unstored_submissions[effect.submission] = None
            case effects.ReadSubmission():
                simulation.call_later(0.02, self.find_submission, effect.submission, simulation.now)
            case effects.StoreRoster():
                self.newest_roster = effect.roster
                simulation.call_later(0.02, self.store_roster, effect.roster)
            case effects.RequestAdvice():
                if simulation.advisory_service is not None:
                    simulation.advisory_service.request(self, effect)
                else:
                    simulation.call_later(simulation.advice_seconds, self.answer_advice, effect)
            case effects.StepDown():
                self.is_active = False

    def find_submission(self, submission, read_at):
        """Apply the rows of a submission, or that it has none."""
        simulation = self.simulation
        if submission in simulation.outcomes:
            outcome = Outcome(state=simulation.outcomes[submission], at=0.0)
            self.apply(OutcomeRead(now=simulation.now, submission=submission, outcome=outcome))
        elif submission in simulation.submissions:
            self.deliver_submission(*simulation.submissions[submission])
        else:
            now = simulation.now
            self.apply(SubmissionAbsent(now=now, submission=submission, read_at=read_at))

    def may_act(self):
        """Return whether the owner has a proof that it has not been replaced."""
        return self.simulation.now <= self.acts_until

    def compute_lease_end(self, name):
        """Return the end of a lease, counted from the worker's last report."""
        if name not in self.state.workers or not self.may_act():
            return None
        return self.state.workers[name].lease.compute_end(LEASE_SECONDS)

    def deliver_start(self, worker, message):
        """Execute a start unless another incarnation is at the other end of the connection."""
        if worker is not None and worker.born != message[0].born:
            self.connections[worker.name] = worker.born
            # The start has not arrived, whether it was sent before the restart or not at all.
            was_sent = self.simulation.now - worker.began_at < LINK_LATENCY_SECONDS
            outcome = StartOutcome.UNKNOWN if was_sent else StartOutcome.NOT_SENT
            return self.make_start_answer(message[0], outcome)
        return self.execute_start(worker, message)

    def execute_start(self, worker, message):
        """Execute a start on `worker` (None if no answer arrives); return the answer event."""
        command, lease_until = message
        if worker is None:
            outcome = StartOutcome.UNKNOWN
        elif worker.is_up and lease_until is not None:
            outcome = worker.start(command, lease_until)
            if self.simulation.crashing_tasks.crash_at_start(worker, command):
                outcome = StartOutcome.UNKNOWN
        else:
            outcome = StartOutcome.NOT_SENT
        return self.make_start_answer(command, outcome)

    def make_start_answer(self, command, outcome):
        """Return the event of a start's outcome."""
        return StartAnswered(
            now=self.simulation.now,
            worker=command.worker,
            task=command.task,
            number=command.number,
            outcome=outcome,
        )

    def deliver_stop(self, worker, effect):
        """Execute a stop on `worker` (None if no answer arrives); return the answer event."""
        is_done = None
        if worker is not None and worker.is_up:
            is_done = worker.stop(effect.task, effect.number, effect.token)
        return StopAnswered(
            now=self.simulation.now,
            worker=effect.worker,
            token=effect.token,
            task=effect.task,
            number=effect.number,
            is_done=is_done,
        )

    def hold(self, name):
        """Renew a worker's lease and read its report, repeatedly while the owner tracks it."""
        if not self.is_active or name not in self.state.workers:
            return
        if self.is_suspended:
            self.simulation.call_later(HOLD_INTERVAL_SECONDS, self.hold, name)
            return
        sent_at = self.simulation.now
        token = self.state.get_command_token(name)
        worker = self.simulation.workers[name]
        stored_sequence = self.state.workers[name].stored_sequence
        has_moved = self.state.workers[name].listing.address != worker.address
        if has_moved or not worker.is_reached_by(self) or not worker.is_up:
            seconds = LINK_LATENCY_SECONDS if has_moved else 0.3
            event = HoldUnanswered(
                now=sent_at + seconds,
                worker=name,
                token=token,
                is_other_incarnation=has_moved,
                proven_at=self.stored_proof_at,
            )
            self.simulation.call_later(seconds, self.apply, event)
        else:
            lease_end = self.compute_lease_end(name)
            known = self.state.workers[name].newest.born
            is_proven = self.connections.get(name) == worker.born == known
            if self.proves_incarnation and not is_proven:
                stored_sequence, lease_end = 0, None
            self.connections[name] = worker.born
            report = worker.hold(token, stored_sequence, lease_end)
            arrives = sent_at + LINK_LATENCY_SECONDS
            if report is None:
                event = HoldUnanswered(now=arrives, worker=name, token=token, is_fenced=True)
            else:
                event = ReportArrived(now=arrives, worker=name, sent_at=sent_at, report=report)
            self.simulation.call_later(LINK_LATENCY_SECONDS, self.apply, event)
        self.simulation.call_later(
            HOLD_INTERVAL_SECONDS + 0.3 * worker.is_partitioned, self.hold, name
        )

    def answer_advice(self, effect):
        """Answer an advice request with a ticket for each allowed worker: when it expires.

        The advisory service must allow a worker before a run starts on it.
        """
        simulation = self.simulation
        queue = simulation.submissions[effect.step.submission][0].queue
        ticket = str(simulation.now + queue.advice.validity_seconds)
        allowed = {
            name: ticket for name in effect.workers if simulation.is_allowed(name, queue.name)
        }
        if simulation.advice_is_unanswered:
            allowed = None
        self.apply(
            AdviceArrived(
                now=simulation.now, step=effect.step, asked=effect.workers, allowed=allowed
            )
        )

    def store_roster(self, roster):
        """Store the roster, the workers that may hold runs, if this owner is the latest one."""
        simulation = self.simulation
        if simulation.latest_fencing_token != self.fencing or not self.is_active:
            return
        if self.is_suspended or simulation.store_refuses:
            simulation.call_later(0.2, self.repeat_roster, roster)
            return
        if self.is_roster_unanswered:
            self.next_roster = roster
            return
        simulation.revision += 1
        simulation.roster = set_closing_revisions(roster, simulation.revision)
        if not simulation.roster_answer_seconds:
            self.apply(RosterStored(now=simulation.now, roster=simulation.roster))
            return
        self.is_roster_unanswered = True
        simulation.call_later(
            simulation.roster_answer_seconds, self.confirm_roster, simulation.roster
        )

    def repeat_roster(self, roster):
        """Store a roster after a refusal, unless a newer one has been requested meanwhile."""
        if roster is self.newest_roster:
            self.store_roster(roster)

    def confirm_roster(self, roster):
        """Apply the answer to the write of a roster, and store the newest one."""
        self.is_roster_unanswered = False
        self.apply(RosterStored(now=self.simulation.now, roster=roster))
        newest, self.next_roster = self.next_roster, None
        if newest is not None:
            self.store_roster(newest)

    def tick(self):
        """Trigger the periodic scheduling."""
        if self.is_active and self.may_act():
            self.apply(Ticked(now=self.simulation.now, proven_at=self.stored_proof_at))
        if self.is_active:
            self.simulation.call_later(0.05, self.tick)

    def commit(self):
        """Store the progress not stored yet if this owner is the latest one."""
        if not self.is_active:
            return
        is_owner = self.simulation.latest_fencing_token == self.fencing
        if is_owner and not self.is_suspended and not self.simulation.store_refuses:
            workers = self.state.list_workers()
            positions = {
                w.id: FinishedRunPosition(w.newest.born, w.processed_sequence) for w in workers
            }
            waiting, self.unstored_submissions = list(self.unstored_submissions), {}
            for submission_id in waiting:
                self.store(submission_id)
            start_log = self.state.scheduler.start_log
            row = start_log.take(self.simulation.now)
            if row is not None:
                self.simulation.start_log_rows[start_log.next_key()] = row
            # A commit whose answer is lost takes effect without the owner's knowledge.
            if self.simulation.random.random() >= self.simulation.lost_answer_share:
                self.apply(ProgressStored(now=self.simulation.now, stored_positions=positions))
                for submission_id in waiting:
                    self.confirm_stored(submission_id)
            else:
                self.unstored_submissions.update(dict.fromkeys(waiting))
        self.simulation.call_later(0.05, self.commit)

    def confirm_stored(self, submission_id):
        """Apply the progress that the store holds of a submission."""
        if submission_id in self.simulation.progress:
            self.apply(
                SubmissionStored(
                    now=self.simulation.now,
                    submission=submission_id,
                    progress=self.simulation.progress[submission_id],
                    revision=self.simulation.revision,
                )
            )

    def store(self, submission_id):
        """Store the progress or the outcome of one submission."""
        entry = self.state.submissions.get(submission_id)
        if entry is None:
            return
        final = entry.find_final_state()
        if final is None:
            self.simulation.progress[submission_id] = entry.export_progress()
            return
        state = self.simulation.outcomes.setdefault(submission_id, final)
        self.simulation.ended_at.setdefault(submission_id, self.simulation.now)
        outcome = Outcome(state=state, at=0.0)
        self.apply(OutcomeRead(now=self.simulation.now, submission=submission_id, outcome=outcome))


class QueueSimulation:
    """Virtual clock, workers, store and links around the simulated owners.

    Parameters
    ----------
    seed : int
    workers : int
    lost_answer_share : float
        Share of the commands that get no answer; 70 % of these are delivered late, unless the
        worker is then partitioned or has restarted, the others never. Commits lose their answer
        with the same probability, but always take effect.
    """

    owner_class = SimulatedOwner

    def __init__(self, seed, workers=4, lost_answer_share=0.0):
        self.random = random.Random(seed)
        self.now = 0.0
        self.lost_answer_share = lost_answer_share
        self.failure_share = 0.0
        self.owners_confirm = False  # that they still are owners, after they were suspended
        self.checks_incarnation = True  # late commands for an earlier incarnation are rejected
        self.store_refuses = False
        self.roster_answer_seconds = 0.0  # from the storing of a roster until its owner knows
        # Until the change feed tells the revision of a submission; 0 if notices do.
        self.feed_seconds = 0.0
        # For how long after the claim a new owner expects earlier ones to act.
        self.predecessor_seconds = compute_authority_seconds(Predecessor.ASKS_PEERS, 0.0)
        self.inherited_seconds = 0.0  # the same of owners before the last one
        self.allowed_workers = None  # names; None for all
        self.allowed_by_queue = {}  # names, for queues with advice of their own
        self.advice_seconds = 0.05
        self.advisory_service = None  # a `SimulatedAdvisoryService`; None for one without a queue
        self.advice_is_unanswered = False  # calls then end without a response
        self.crashing_tasks = CrashingTasks(self)
        self.organisation_limits = OrganisationLimits(self)
        self._events = []
        self._sequence = itertools.count()
        self.revision = 0
        self.latest_fencing_token = 0
        self.roster = Roster()
        self.start_log_rows = {}
        self.submissions = {}
        self.progress = {}
        self.outcomes = {}
        self.submission_ages = {}  # seconds since acceptance when an owner first reads one
        self.ended_at = {}
        self.cancelled_at = {}
        self.completed_at = {}
        self.acknowledged_at = {}
        self.failure_counts = {}
        self.outcome_counts = collections.Counter()
        self.gang_members = {}
        self.violations = []
        self.decisions = []  # logged by any owner: (time, LogDecision)
        self.starts = 0
        self.starts_by_submission = collections.Counter()
        self.started_runs = set()
        self.owners = []
        capacity = Resources(16_000, 64_000, 0)
        self.workers = {
            f"w{i}": SimulatedWorker(self, f"w{i}", capacity, f"r-{i % 2}") for i in range(workers)
        }

    def call_later(self, seconds, call, *arguments):
        """Schedule a call."""
        entry = (self.now + seconds, next(self._sequence), call, arguments)
        heapq.heappush(self._events, entry)

    def run_until(self, is_reached):
        """Let time pass in hundredths of a second until a condition holds."""
        for _ in range(MAX_CONDITION_CHECKS):
            if is_reached():
                return
            self.run(0.01)
        raise AssertionError("the condition was not reached")

    def run(self, seconds):
        """Execute the scheduled calls of the next `seconds`; expire leases before each."""
        end = self.now + seconds
        while self._events and self._events[0][0] <= end:
            self.now, _, call, arguments = heapq.heappop(self._events)
            for worker in self.workers.values():
                worker.expire_lease()
            call(*arguments)
            if self.advisory_service is not None:
                self.advisory_service.settle()
        self.now = end

    def start_new_owner(self):
        """Start a new owner without stopping the former one."""
        self.revision += 1
        self.latest_fencing_token += 1
        owner = self.owner_class(self, self.latest_fencing_token)
        self.owners.append(owner)
        return owner

    def submit(self, name, steps, age=0.0, **terms):
        """Store a submission and notify the owners."""
        self.revision += 1
        self.submission_ages[name] = age
        terms.setdefault("organisation", self.organisation_limits.choose(name))
        submission = make_submission(name, steps, accepted_at=self.now, **terms)
        self.submissions[name] = (submission, self.revision)
        for owner in self.owners:
            known = None if self.feed_seconds else self.revision
            self.call_later(LINK_LATENCY_SECONDS, owner.deliver_submission, submission, known)
            if self.feed_seconds:
                self.call_later(
                    self.feed_seconds, owner.deliver_submission, submission, self.revision
                )

    def cancel(self, name):
        """Store a cancellation and notify the owners."""
        if name in self.outcomes:
            return
        self.outcomes[name] = SubmissionState.CANCELLED
        self.cancelled_at[name] = self.now
        outcome = Outcome(state=SubmissionState.CANCELLED, at=0.0)
        for owner in self.owners:
            event = OutcomeRead(
                now=self.now + LINK_LATENCY_SECONDS, submission=name, outcome=outcome
            )
            self.call_later(LINK_LATENCY_SECONDS, owner.apply, event)

    def send(self, name, deliver, message, deliver_late=None):
        """Send a command over a link that may lose answers and delay commands."""
        worker = self.workers[name]
        owner = deliver.__self__
        if not worker.is_reached_by(owner):
            self.call_later(0.6, self._deliver_and_answer, owner, deliver, None, message)
            return
        if self.random.random() < self.lost_answer_share:
            if self.random.random() < 0.7:
                late = self.random.random() * MAX_COMMAND_DELAY_SECONDS
                execute = deliver_late or deliver
                self.call_later(late, self._deliver_late, worker, worker.born, execute, message)
            self.call_later(0.6, self._deliver_and_answer, owner, deliver, None, message)
            return
        self.call_later(
            LINK_LATENCY_SECONDS, self._deliver_and_answer, owner, deliver, worker, message
        )

    def _deliver_late(self, worker, born, deliver, message):
        # A command names the incarnation that it is for; another one rejects it.
        if not worker.is_partitioned and (worker.born == born or not self.checks_incarnation):
            deliver(worker, message)

    def _deliver_and_answer(self, owner, deliver, worker, message):
        event = deliver(worker, message)
        self.call_later(LINK_LATENCY_SECONDS, owner.apply, event)

    def find_spec(self, task):
        """Return the step of a task."""
        return self.submissions[task.submission][0].steps[task.step]

    def choose_duration(self, spec):
        """Return how long a run takes."""
        return spec.estimate_seconds * self.random.uniform(0.5, 1.5)

    def choose_outcome(self, task):
        """Return the outcome of a run."""
        if self.random.random() < self.failure_share:
            return RunOutcome.FAILED
        return RunOutcome.DONE

    def is_allowed(self, name, queue):
        """Return whether the advisory service allows a worker."""
        allowed = self.allowed_by_queue.get(queue, self.allowed_workers)
        return allowed is None or name in allowed

    def check_ticket(self, worker, command):
        """Return whether a worker accepts the ticket of a start; without a service, its expiry."""
        if self.advisory_service is not None:
            return self.advisory_service.check_ticket(worker, command)
        return not command.ticket or self.now <= float(command.ticket)

    def join_gang(self, worker, command):
        """Let a gang member wait for the others; the complete gang finishes together."""
        spec = self.find_spec(command.task)
        key = (command.task[:3], command.number)
        members = self.gang_members.setdefault(key, [])
        members.append((worker, command.task, worker.born))
        if len(members) == spec.count:
            outcome = self.choose_outcome(command.task)
            for member, task, born in members:
                self.call_later(
                    spec.estimate_seconds,
                    member.finish_if_active,
                    task,
                    command.number,
                    born,
                    outcome,
                )
        else:
            self.call_later(GANG_START_TIMEOUT_SECONDS, self._time_out_gang, key, spec.count)

    def _time_out_gang(self, key, count):
        members = self.gang_members[key]
        if len(members) < count:
            for worker, task, born in members:
                worker.finish_if_active(task, key[1], born, RunOutcome.GANG_INCOMPLETE)

    def record_finished_run(self, worker, run, outcome):
        """Record completions and failures; a gang is broken when one member isn't done."""
        self.outcome_counts[outcome] += 1
        if outcome is RunOutcome.DONE:
            self.completed_at.setdefault(run.task, self.now)
        if outcome is RunOutcome.FAILED:
            self.failure_counts[run.task] = self.failure_counts.get(run.task, 0) + 1
        if outcome is not RunOutcome.DONE:
            self.break_gang(run)

    def break_gang(self, run):
        """End the other members of a gang of which one has ended without being done."""
        if not self.find_spec(run.task).is_gang:
            return
        key = (run.task[:3], run.number)
        for member, task, born in self.gang_members.get(key, ()):
            other = member.runs.get(task)
            if other is not None and other.number == run.number:
                self.call_later(
                    0, member.finish_if_active, task, run.number, born, RunOutcome.GANG_BROKEN
                )

    def check_start(self, worker, command):
        """Check the invariants that apply when a run starts."""
        self.starts += 1
        self.starts_by_submission[command.task.submission] += 1
        # Without incarnation checks, nothing prevents a late command from being carried out again.
        if self.checks_incarnation and (command.task, command.number) in self.started_runs:
            self._add_violation("run-started-twice", worker, command)
        self.started_runs.add((command.task, command.number))
        spec = self.find_spec(command.task)
        used = sum(run.resources.processors for run in worker.runs.values())
        needed = get_counted_resources(spec).processors
        if needed and used + needed > worker.limit.compute(self.now):
            self._add_violation("over-capacity", worker, command)
        queue = self.submissions[command.task.submission][0].queue
        if not self.is_allowed(worker.name, queue.name):
            self._add_violation("not-allowed", worker, command)
        label = spec.placement.label
        if label and label not in (worker.kind, worker.rack):
            self._add_violation("without-label", worker, command)
        for other in self.workers.values():
            if other.is_up and command.task in other.runs and not spec.allows_copies:
                self._add_violation("two-runs", worker, command)
        acknowledged = self.acknowledged_at.get(command.task)
        if acknowledged is not None and acknowledged < self.now - 1.0 and not spec.allows_copies:
            self._add_violation("start-after-done", worker, command)
        for earlier in spec.after:
            count = self.submissions[command.task.submission][0].steps[earlier].count
            done = sum(
                task[:3] == (command.task.submission, command.task.occurrence, earlier)
                for task in self.completed_at
            )
            is_gang = self.submissions[command.task.submission][0].steps[earlier].is_gang
            if done < (1 if is_gang else count):
                self._add_violation("order", worker, command)
        if not self.crashing_tasks.record_start(worker, command):
            self._add_violation("crash-budget", worker, command)
        if not self.organisation_limits.record_start(command):
            self._add_violation("organisation-limit", worker, command)
        cancelled = self.cancelled_at.get(command.task.submission)
        if cancelled is not None and self.now > cancelled + MAX_COMMAND_DELAY_SECONDS + 1.0:
            self._add_violation("start-after-cancel", worker, command)

    def check_outcomes(self):
        """Check that a task of every failed submission used up its attempts or crashed workers."""
        for name, state in self.outcomes.items():
            if state is not SubmissionState.FAILED or self.crashing_tasks.may_be_given_up(name):
                continue
            max_attempts = self.submissions[name][0].queue.most_attempts
            if not any(
                count >= max_attempts
                for task, count in self.failure_counts.items()
                if task.submission == name
            ):
                self.violations.append((round(self.now, 3), "failed-without-cause", name))

    def _add_violation(self, invariant, worker, command):
        self.violations.append(
            (round(self.now, 3), invariant, worker.name, command.task, command.number)
        )


def get_counted_resources(spec):
    """Return the resources that a task uses; the processors of a filler aren't counted."""
    if not spec.is_filler:
        return spec.resources
    return msgspec.structs.replace(spec.resources, processors=0)


def make_submission(
    name, steps, queue="q", organisation="", accepted_at=0.0, schedule=None, **terms
):
    """Return a submission; `terms` are those of its queue, and `schedule` its repetitions."""
    queue = QueueTerms(name=queue, service="desk", **{"most_attempts": 3, **terms})
    return Submission(
        id=name,
        queue=queue,
        payload="p",
        steps=tuple(steps),
        accepted_at=accepted_at,
        organisation=organisation,
        **(schedule or {}),
    )


def make_step(count=2, processors=2000, seconds=1.0, **fields):
    """Return a step."""
    return StepSpec(
        count=count,
        resources=Resources(processors, 1000, 0),
        estimate_seconds=seconds,
        **fields,
    )
