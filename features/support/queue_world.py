"""A cell of queues in virtual time: owners, workers that hold leases, a store, and faults.

Workers check from their own side what must always hold, as the real ones' operators would.
"""

import dataclasses
import heapq
import itertools
import random

from lavenderhook._internal.queueing import effects
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
    SubmissionRead,
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

LEASE_SECONDS = 4.5
STOP_SECONDS = 0.4
GANG_SECONDS = 3.0
HOLD_SECONDS = 0.2
LINK_SECONDS = 0.005
LATEST_SECONDS = 6.0  # an order without an answer is carried out up to this late


@dataclasses.dataclass
class HeldRun:
    """A run on a stand-in worker."""

    task: object
    number: int
    resources: Resources
    started_at: float
    is_stopping: bool = False


class StandInWorker:
    """A worker that starts whatever it is told, as those of the users do."""

    def __init__(self, world, name, capacity, rack):
        self.world = world
        self.name = name
        self.capacity = capacity
        self.rack = rack
        self.is_cut = False
        self.is_up = True
        self.fails_all = False
        self.stands_still = False
        self.slowness = 1
        self.state = WorkerState.READY
        self.boot()

    def boot(self):
        """Start anew: nothing of before is known."""
        self.born = int(self.world.now * 1000) + 1
        self.runs = {}
        self.highest = {}
        self.ends = []
        self.count = 0
        self.fencing = 0
        self.lease_until = self.world.now + LEASE_SECONDS

    def listing(self):
        """Return the worker's entry in the platform's list."""
        return WorkerListing(
            id=self.name,
            service="desk",
            address=self.name,
            zone="z",
            state=self.state,
            capacity=self.capacity,
            labels=frozenset({self.rack}),
            born=self.born,
        )

    def accept(self, fencing):
        """Return whether an order's token is not below the highest seen."""
        if fencing < self.fencing:
            return False
        self.fencing = fencing
        return True

    def grant(self, lease_until):
        """Extend all leases."""
        longest = min(lease_until, self.world.now + LEASE_SECONDS)
        self.lease_until = max(self.lease_until, longest)

    def start(self, command, lease_until):
        """Carry out a start order."""
        if not self.accept(command.token):
            return StartOutcome.FENCED
        if self.world.now > lease_until:
            return StartOutcome.LEASE_PASSED
        self.grant(lease_until)
        held = self.runs.get(command.task)
        if held is not None and held.number == command.number:
            return StartOutcome.STARTED
        if command.number <= self.highest.get(command.task, 0):
            return StartOutcome.SUPERSEDED
        if held is not None:
            return StartOutcome.SUPERSEDED
        self.world.check_start(self, command)
        spec = self.world.find_spec(command.task)
        self.runs[command.task] = HeldRun(
            command.task, command.number, spec.resources, self.world.now
        )
        if not spec.is_gang:
            self.world.after(
                self.slowness * self.world.choose_duration(spec),
                self.finish,
                command.task,
                command.number,
                self.born,
            )
        else:
            self.world.join_gang(self, command)
        return StartOutcome.STARTED

    def finish(self, task, number, born, outcome=None):
        """End a run by itself."""
        held = self.runs.get(task)
        if not self.is_up or born != self.born or held is None or held.number != number:
            return
        if self.stands_still and outcome is None:
            return
        if outcome is None:
            outcome = RunOutcome.FAILED if self.fails_all else self.world.choose_outcome(task)
        self.end(held, outcome)

    def end(self, held, outcome):
        """List an end."""
        del self.runs[held.task]
        self.count += 1
        self.highest[held.task] = max(self.highest.get(held.task, 0), held.number)
        self.ends.append((self.count, held.task, held.number, outcome))
        self.world.note_end(self, held, outcome)

    def stop(self, task, number, fencing):
        """Carry out a stop order."""
        if not self.accept(fencing):
            return False
        self.highest[task] = max(self.highest.get(task, 0), number)
        held = self.runs.get(task)
        if held is not None and held.number <= number and not held.is_stopping:
            held.is_stopping = True
            self.world.after(
                STOP_SECONDS * self.world.random.random(),
                self.finish,
                task,
                held.number,
                self.born,
                RunOutcome.STOPPED,
            )
        return True

    def hold(self, fencing, acknowledged_sequence, lease_until):
        """Extend the lease and report; None if fenced."""
        if not self.accept(fencing):
            return None
        if lease_until is not None:
            self.grant(lease_until)
        for sequence, task, _, outcome in self.ends:
            if sequence <= acknowledged_sequence and outcome is RunOutcome.DONE:
                self.world.noted_done.setdefault(task, self.world.now)
        self.ends = [end for end in self.ends if end[0] > acknowledged_sequence]
        return WorkerReport(
            clock=self.world.now,
            born=self.born,
            running=tuple(ReportedRun(r.task, r.number, "") for r in self.runs.values()),
            finished=tuple(FinishedRun(*end, "") for end in self.ends),
        )

    def lapse(self):
        """Kill everything whose lease has ended."""
        if self.is_up and self.world.now > self.lease_until:
            for held in list(self.runs.values()):
                self.end(held, RunOutcome.LAPSED)


class StandInOwner:
    """The loops of an owner in virtual time."""

    def __init__(self, world, fencing):
        self.world = world
        self.fencing = fencing
        self.is_active = True
        self.is_frozen = False
        self.dirty = {}
        self.clocks = {}
        self.state = OwnerState(
            FencingToken(fencing),
            world.revision,
            world.now,
            OwnerParameters(lease_seconds=LEASE_SECONDS, stop_seconds=STOP_SECONDS),
            world.roster,
        )
        for submission_id, outcome in world.outcomes.items():
            self.emit(
                OutcomeRead(
                    now=world.now,
                    submission=submission_id,
                    outcome=Outcome(state=outcome, at=0.0),
                )
            )
        for submission, revision in world.submissions.values():
            self.learn(submission, revision)
        self.list_workers()
        world.after(0.01, self.tick)
        world.after(0.03, self.commit)

    def learn(self, submission, revision):
        """Take a stored submission."""
        self.emit(
            SubmissionRead(
                now=self.world.now,
                submission=submission,
                revision=revision,
                age=self.world.ages.get(submission.id, 0.0),
                progress=self.world.progress.get(submission.id),
            )
        )

    def list_workers(self):
        """Read the platform's list."""
        listings = tuple(w.listing() for w in self.world.workers.values() if w.is_up)
        self.emit(WorkersListed(now=self.world.now, workers=listings))

    def emit(self, event):
        """Apply an event and carry out its effects."""
        if not self.is_active:
            return
        if self.is_frozen:
            self.world.after(0.2, self.emit, event)
            return
        if isinstance(event, ReportArrived):
            self.clocks[event.worker] = event.report.clock
        for effect in self.state.reduce(event):
            self.execute(effect)

    def execute(self, effect):
        """Carry out an effect."""
        world = self.world
        match effect:
            case effects.SendStart():
                lease_until = self.clocks[effect.command.worker] + LEASE_SECONDS
                message = (effect.command, lease_until)
                world.send(effect.command.worker, self.deliver_start, message)
            case effects.SendStop():
                world.send(effect.worker, self.deliver_stop, effect)
            case effects.WatchWorker():
                # Slow links: meanwhile the former owner gives orders to this worker.
                world.after(world.random.uniform(0.001, 0.4), self.hold, effect.worker)
            case effects.StoreProgress():
                self.dirty[effect.submission] = None
            case effects.StoreRoster():
                world.after(0.02, self.save_roster, effect.roster)
            case effects.RequestAdvice():
                world.after(world.advice_seconds, self.advise, effect)
            case effects.StepDown():
                self.is_active = False

    def deliver_start(self, worker, message):
        """Let a worker carry out a start; None stands for no answer."""
        command, lease_until = message
        if worker is None:
            outcome = StartOutcome.UNKNOWN
        elif worker.is_up:
            outcome = worker.start(command, lease_until)
        else:
            outcome = StartOutcome.NOT_SENT
        return StartAnswered(
            now=self.world.now,
            worker=command.worker,
            task=command.task,
            number=command.number,
            outcome=outcome,
        )

    def deliver_stop(self, worker, effect):
        """Let a worker carry out a stop."""
        is_done = None
        if worker is not None and worker.is_up:
            is_done = worker.stop(effect.task, effect.number, effect.token)
        return StopAnswered(
            now=self.world.now,
            worker=effect.worker,
            token=effect.token,
            task=effect.task,
            number=effect.number,
            is_done=is_done,
        )

    def hold(self, name):
        """Hold a worker, and go on while it is followed."""
        if not self.is_active or name not in self.state.workers:
            return
        if self.is_frozen:
            self.world.after(HOLD_SECONDS, self.hold, name)
            return
        sent_at = self.world.now
        token = self.state.get_command_token(name)
        worker = self.world.workers[name]
        stored_sequence = self.state.workers[name].stored_sequence
        if worker.is_cut or not worker.is_up:
            self.world.after(
                0.3, self.emit, HoldUnanswered(now=sent_at + 0.3, worker=name, token=token)
            )
        else:
            clock = self.clocks.get(name)
            lease_until = None if clock is None else clock + LEASE_SECONDS
            report = worker.hold(token, stored_sequence, lease_until)
            arrives = sent_at + LINK_SECONDS
            if report is None:
                event = HoldUnanswered(now=arrives, worker=name, token=token, is_fenced=True)
            else:
                event = ReportArrived(now=arrives, worker=name, sent_at=sent_at, report=report)
            self.world.after(LINK_SECONDS, self.emit, event)
        self.world.after(HOLD_SECONDS + 0.3 * worker.is_cut, self.hold, name)

    def advise(self, effect):
        """Answer for the advisory service: every second worker may run a step."""
        allowed = {name: "t" for name in effect.workers if self.world.is_allowed(name)}
        self.emit(
            AdviceArrived(
                now=self.world.now, step=effect.step, asked=effect.workers, allowed=allowed
            )
        )

    def save_roster(self, roster):
        """Store the roster if this owner is the newest."""
        world = self.world
        if world.owner_fencing != self.fencing or not self.is_active:
            return
        if self.is_frozen or world.store_refuses:
            world.after(0.2, self.save_roster, roster)
            return
        world.revision += 1
        world.roster = set_closing_revisions(roster, world.revision)
        self.emit(RosterStored(now=world.now, roster=world.roster))

    def tick(self):
        """Place what waits."""
        if self.is_active:
            self.emit(Ticked(now=self.world.now))
            self.world.after(0.05, self.tick)

    def commit(self):
        """Store progress if this owner is the newest."""
        if not self.is_active:
            return
        is_owner = self.world.owner_fencing == self.fencing
        if is_owner and not self.is_frozen and not self.world.store_refuses:
            workers = self.state.list_workers()
            positions = {
                w.id: FinishedRunPosition(w.listing.born, w.processed_sequence) for w in workers
            }
            waiting, self.dirty = list(self.dirty), {}
            for submission_id in waiting:
                self.store(submission_id)
            # A commit whose answer is lost is carried out without the owner knowing.
            if self.world.random.random() >= self.world.lost:
                self.emit(ProgressStored(now=self.world.now, stored_positions=positions))
        self.world.after(0.05, self.commit)

    def store(self, submission_id):
        """Store what is known of one submission."""
        entry = self.state.submissions.get(submission_id)
        if entry is None:
            return
        final = self.state.find_final_state(entry)
        if final is None:
            self.world.progress[submission_id] = entry.export_progress()
            return
        state = self.world.outcomes.setdefault(submission_id, final)
        self.world.ended_at.setdefault(submission_id, self.world.now)
        outcome = Outcome(state=state, at=0.0)
        self.emit(OutcomeRead(now=self.world.now, submission=submission_id, outcome=outcome))


class QueueWorld:
    """Everything around the owners.

    Parameters
    ----------
    seed : int
    workers : int
    lost : float
        Share of the orders that get no answer; half of these are carried out, late or at once.
    """

    def __init__(self, seed, workers=4, lost=0.0):
        self.random = random.Random(seed)
        self.now = 0.0
        self.lost = lost
        self.failing = 0.0
        self.tells_lives_apart = True  # whether a worker rejects late orders for a former life
        self.store_refuses = False
        self.allowed = None
        self.advice_seconds = 0.05
        self._events = []
        self._sequence = itertools.count()
        self.revision = 0
        self.owner_fencing = 0
        self.roster = Roster()
        self.submissions = {}
        self.progress = {}
        self.outcomes = {}
        self.ages = {}  # seconds since the acceptance, when the submission becomes known
        self.ended_at = {}
        self.cancelled_at = {}
        self.done_at = {}
        self.noted_done = {}
        self.failures = {}
        self.gangs = {}
        self.violations = []
        self.starts = 0
        self.owners = []
        capacity = Resources(16_000, 64_000, 0)
        self.workers = {
            f"w{i}": StandInWorker(self, f"w{i}", capacity, f"r-{i % 2}") for i in range(workers)
        }

    def after(self, seconds, call, *arguments):
        """Call something later."""
        entry = (self.now + seconds, next(self._sequence), call, arguments)
        heapq.heappush(self._events, entry)

    def run(self, seconds):
        """Let time pass."""
        until = self.now + seconds
        while self._events and self._events[0][0] <= until:
            self.now, _, call, arguments = heapq.heappop(self._events)
            for worker in self.workers.values():
                worker.lapse()
            call(*arguments)
        self.now = until

    def elect(self):
        """Make a new owner, whatever the former one does."""
        self.revision += 1
        self.owner_fencing += 1
        owner = StandInOwner(self, self.owner_fencing)
        self.owners.append(owner)
        return owner

    def submit(self, name, steps, age=0.0, **terms):
        """Store a submission and tell the owners."""
        self.revision += 1
        self.ages[name] = age
        queue = QueueTerms(name="q", service="desk", **{"most_attempts": 3, **terms})
        submission = Submission(
            id=name, queue=queue, payload="p", steps=tuple(steps), accepted_at=0.0
        )
        self.submissions[name] = (submission, self.revision)
        for owner in self.owners:
            self.after(LINK_SECONDS, owner.learn, submission, self.revision)

    def cancel(self, name):
        """Store a cancellation and tell the owners."""
        if name in self.outcomes:
            return
        self.outcomes[name] = SubmissionState.CANCELLED
        self.cancelled_at[name] = self.now
        outcome = Outcome(state=SubmissionState.CANCELLED, at=0.0)
        for owner in self.owners:
            event = OutcomeRead(now=self.now + LINK_SECONDS, submission=name, outcome=outcome)
            self.after(LINK_SECONDS, owner.emit, event)

    def send(self, name, deliver, message):
        """Send an order over a link that may lose answers and carry orders out late."""
        worker = self.workers[name]
        owner = deliver.__self__
        if worker.is_cut:
            self.after(0.6, self._answer, owner, deliver, None, message)
            return
        if self.random.random() < self.lost:
            if self.random.random() < 0.7:
                late = self.random.random() * LATEST_SECONDS
                self.after(late, self._carry_out, worker, worker.born, deliver, message)
            self.after(0.6, self._answer, owner, deliver, None, message)
            return
        self.after(LINK_SECONDS, self._answer, owner, deliver, worker, message)

    def _carry_out(self, worker, born, deliver, message):
        # Every order names the worker that it is for, and another one rejects it.
        if not worker.is_cut and (worker.born == born or not self.tells_lives_apart):
            deliver(worker, message)

    def _answer(self, owner, deliver, worker, message):
        event = deliver(worker, message)
        self.after(LINK_SECONDS, owner.emit, event)

    def find_spec(self, task):
        """Return the step of a task."""
        return self.submissions[task.submission][0].steps[task.step]

    def choose_duration(self, spec):
        """Return how long a run takes."""
        return spec.estimate_seconds * self.random.uniform(0.5, 1.5)

    def choose_outcome(self, task):
        """Return how a run ends."""
        if self.random.random() < self.failing:
            return RunOutcome.FAILED
        return RunOutcome.DONE

    def is_allowed(self, name):
        """Return whether the advisory service allows a worker."""
        return self.allowed is None or name in self.allowed

    def join_gang(self, worker, command):
        """Let a member of a gang wait for the others, then work together."""
        spec = self.find_spec(command.task)
        key = (command.task[:3], command.number)
        members = self.gangs.setdefault(key, [])
        members.append((worker, command.task, worker.born))
        if len(members) == spec.count:
            outcome = self.choose_outcome(command.task)
            for member, task, born in members:
                self.after(
                    spec.estimate_seconds, member.finish, task, command.number, born, outcome
                )
        else:
            self.after(GANG_SECONDS, self._give_up_gang, key, spec.count)

    def _give_up_gang(self, key, count):
        members = self.gangs[key]
        if len(members) < count:
            for worker, task, born in members:
                worker.finish(task, key[1], born, RunOutcome.GANG_INCOMPLETE)

    def note_end(self, worker, held, outcome):
        """Keep the books of the ends."""
        if outcome is RunOutcome.DONE:
            self.done_at.setdefault(held.task, self.now)
        if outcome is RunOutcome.FAILED:
            self.failures[held.task] = self.failures.get(held.task, 0) + 1
        if self.find_spec(held.task).is_gang and outcome is not RunOutcome.DONE:
            key = (held.task[:3], held.number)
            for member, task, born in self.gangs.get(key, ()):
                other = member.runs.get(task)
                if other is not None and other.number == held.number:
                    self.after(0, member.finish, task, held.number, born, RunOutcome.GANG_BROKEN)

    def check_start(self, worker, command):
        """Check what must hold when a run begins."""
        self.starts += 1
        spec = self.find_spec(command.task)
        used = sum(held.resources.processors for held in worker.runs.values())
        if used + spec.resources.processors > worker.capacity.processors:
            self._violate("over-capacity", worker, command)
        for other in self.workers.values():
            if other.is_up and command.task in other.runs and not spec.allows_copies:
                self._violate("two-runs", worker, command)
        noted = self.noted_done.get(command.task)
        if noted is not None and noted < self.now - 1.0 and not spec.allows_copies:
            self._violate("start-after-done", worker, command)
        for earlier in spec.after:
            count = self.submissions[command.task.submission][0].steps[earlier].count
            done = sum(
                task[:3] == (command.task.submission, command.task.occurrence, earlier)
                for task in self.done_at
            )
            is_gang = self.submissions[command.task.submission][0].steps[earlier].is_gang
            if done < (1 if is_gang else count):
                self._violate("order", worker, command)
        cancelled = self.cancelled_at.get(command.task.submission)
        if cancelled is not None and self.now > cancelled + LATEST_SECONDS + 1.0:
            self._violate("start-after-cancel", worker, command)

    def check_outcomes(self):
        """Check that only submissions with enough failed runs have ended so."""
        for name, state in self.outcomes.items():
            if state is not SubmissionState.FAILED:
                continue
            most = self.submissions[name][0].queue.most_attempts
            if not any(n >= most for t, n in self.failures.items() if t.submission == name):
                self.violations.append((round(self.now, 3), "failed-without-cause", name))

    def _violate(self, rule, worker, command):
        self.violations.append(
            (round(self.now, 3), rule, worker.name, command.task, command.number)
        )


def make_step(count=2, processors=2000, seconds=1.0, **fields):
    """Return a step."""
    return StepSpec(
        count=count,
        resources=Resources(processors, 1000, 0),
        estimate_seconds=seconds,
        **fields,
    )
