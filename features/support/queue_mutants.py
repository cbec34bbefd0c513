"""Deliberate faults in the protocol of queues, which random simulations must detect."""

import contextlib
import math
from unittest import mock

import msgspec

from lavenderhook._internal.queueing import avoidance, witnesses
from lavenderhook._internal.queueing.events import (
    FinishedRunPosition,
    HoldUnanswered,
    ProgressStored,
    StartAnswered,
    SubmissionRead,
)
from lavenderhook._internal.queueing.gang_workers import GangWorkers
from lavenderhook._internal.queueing.incarnations import NewestIncarnation
from lavenderhook._internal.queueing.leases import WorkerLease
from lavenderhook._internal.queueing.model import StartOutcome, SubmissionState
from lavenderhook._internal.queueing.owner_state import OwnerState
from lavenderhook._internal.queueing.roster import RosterTracker
from lavenderhook._internal.queueing.stragglers import ComparedRuns
from lavenderhook._internal.queueing.submissions import SubmissionProgress
from lavenderhook._internal.queueing.takeover import Takeover
from lavenderhook._internal.queueing.witnesses import WitnessedEnd, WitnessProof
from lavenderhook._internal.queueing.workers import Worker

from .queue_simulation import SimulatedOwner, SimulatedWorker


def ignore_tokens():
    """Let workers accept commands of any owner."""
    return mock.patch.object(SimulatedWorker, "check_token", lambda self, token: True)


def acknowledge_before_commit():
    """Acknowledge finished runs to workers before the store has recorded them."""
    original_apply = SimulatedOwner.apply

    def apply_and_acknowledge(self, event):
        original_apply(self, event)
        if self.is_active and not isinstance(event, ProgressStored):
            workers = self.state.list_workers()
            positions = {
                w.id: FinishedRunPosition(w.newest.born, w.processed_sequence) for w in workers
            }
            original_apply(
                self, ProgressStored(now=self.simulation.now, stored_positions=positions)
            )

    return mock.patch.object(SimulatedOwner, "apply", apply_and_acknowledge)


def release_unanswered_starts():
    """Treat a start without an answer as not executed."""
    original_handle = OwnerState.handle_start_answer

    def handle_as_not_executed(self, event):
        if event.outcome is not StartOutcome.UNKNOWN:
            return original_handle(self, event)
        worker = self.workers.get(event.worker)
        run = worker.runs.get((event.task, event.number)) if worker is not None else None
        return self._remove_run(run, event.now) if run is not None else []

    return replace_handler(StartAnswered, handle_as_not_executed)


def forget_unreachable_workers():
    """Let a new owner start tasks that may run on a worker that it can't reach."""
    original_init = OwnerState.__init__

    def init_without_waiting(self, *arguments, **named):
        original_init(self, *arguments, **named)
        self.takeover.leases_expire_at = 0.0
        self.roster.unreached.clear()

    return mock.patch.object(OwnerState, "__init__", init_without_waiting)


def ignore_leases():
    """Treat the lease of a worker as expired as soon as the worker doesn't answer."""
    modules = ("leases", "takeover")
    patches = contextlib.ExitStack()
    for module in modules:
        name = f"lavenderhook._internal.queueing.{module}.compute_latest_lease_expiry"
        patches.enter_context(mock.patch(name, lambda now, seconds: now))
    return patches


def use_former_clock():
    """Compute the leases of a restarted worker on the clock of its former incarnation."""
    return mock.patch.object(WorkerLease, "begin_incarnation", lambda self: None)


def reach_any_incarnation():
    """Send starts and holds to whichever incarnation of a worker gets them."""
    return mock.patch.object(SimulatedOwner, "proves_incarnation", False)


def accept_outdated_listings():
    """Let an entry of the list replace what is known of a newer incarnation of its worker."""
    original_compare = NewestIncarnation.compare

    def compare_and_forget(self, listing):
        if listing.born < self.born:
            self.born = listing.born
        return original_compare(self, listing)

    return mock.patch.object(NewestIncarnation, "compare", compare_and_forget)


def use_former_labels():
    """Let a restarted worker count with the labels and the capacity of its former incarnation."""
    return mock.patch.object(NewestIncarnation, "is_described_by", lambda self, listing: True)


def reopen_before_commit():
    """Send starts to a closed worker before the store shows it as open."""
    return mock.patch.object(
        RosterTracker, "is_open_in_roster", lambda self, worker: worker not in self.requested.closed
    )


def ignore_capacity_changes():
    """Keep the capacity that a worker had when it was first listed."""
    original_update = Worker.update_listing

    def update_without_capacity(self, listing, now):
        former = self.listing.capacity
        original_update(self, msgspec.structs.replace(listing, capacity=former), now)

    return mock.patch.object(Worker, "update_listing", update_without_capacity)


def forget_crashes():
    """Let a new owner begin without the crashes that earlier owners have seen or caused."""
    original_import = SubmissionProgress.import_progress

    def import_without_crashes(self, progress, now):
        original_import(self, msgspec.structs.replace(progress, crashed={}, unresolved={}), now)

    return mock.patch.multiple(
        SubmissionProgress,
        import_progress=import_without_crashes,
        import_starts=lambda self, starts, now: None,
    )


def guess_unknown_revisions():
    """Let a submission that a peer reports count as stored after the owner's claim."""
    original_deliver = SimulatedOwner.deliver_submission

    def deliver_with_guess(self, submission, revision):
        entry = self.state.submissions.get(submission.id)
        known = entry.revision if entry is not None else 0
        guess = self.revision + 1 if revision is None else revision
        original_deliver(self, submission, max(known, guess))

    return mock.patch.object(SimulatedOwner, "deliver_submission", deliver_with_guess)


def backdate_closings():
    """Store each unreached worker as closed from the beginning."""
    original_prepare = RosterTracker.prepare_update

    def prepare_backdated(self, workers, **named):
        update = original_prepare(self, workers, **named)
        if update is not None:
            closed = {w: 1 if w in self.unreached else r for w, r in update.closed.items()}
            update = self.requested = msgspec.structs.replace(update, closed=closed)
        return update

    return mock.patch.object(RosterTracker, "prepare_update", prepare_backdated)


def replace_handler(event_type, handler):
    """Let the owner handle a type of events differently."""
    handlers = "lavenderhook._internal.queueing.owner_state._HANDLERS"
    return mock.patch.dict(handlers, {event_type: handler})


def presume_other_incarnation():
    """Take the incarnation of a worker that doesn't answer for ended."""

    def handle_as_ended(self, event):
        event = msgspec.structs.replace(event, is_other_incarnation=True)
        return OwnerState.handle_hold_unanswered(self, event)

    return replace_handler(HoldUnanswered, handle_as_ended)


def revive_cancelled_submissions():
    """Let a cancelled submission that a peer reports again count as a new one."""

    def handle_as_new(self, event):
        is_cancelled = self.outcomes.get(event.submission.id) is SubmissionState.CANCELLED
        if event.revision is None and is_cancelled:
            del self.outcomes[event.submission.id]
        return OwnerState.handle_submission(self, event)

    return replace_handler(SubmissionRead, handle_as_new)


def presume_former_owners_ended():
    """Take all earlier owners for ended before the claim."""
    original_init = Takeover.__init__

    def init_as_ended(self, *arguments):
        original_init(self, *arguments)
        self.had_ended = True

    return mock.patch.object(Takeover, "__init__", init_as_ended)


def leave_out_slow_workers():
    """Start gangs on sound workers only, whether these hold them or not."""

    def select_sound(self, step, eligible, now):
        return [w for w in eligible if w.is_shared() and not w.is_on_probation]

    return mock.patch.object(GangWorkers, "select", select_sound)


def prolong_probation():
    """Keep a worker on probation until a run ends there in time, and gangs away from it."""
    patches = contextlib.ExitStack()
    patches.enter_context(leave_out_slow_workers())
    patches.enter_context(
        mock.patch.object(ComparedRuns, "is_evidence_old", lambda self, worker, now: False)
    )
    patches.enter_context(
        mock.patch.object(
            Worker, "is_full_on_probation", lambda self: self.is_on_probation and bool(self.runs)
        )
    )
    return patches


def avoid_without_end():
    """Let a task never return to a worker that it avoids while there are others."""
    return mock.patch.object(avoidance, "AVOIDANCE_WAIT_SECONDS", math.inf)


def count_any_witness():
    """Take the answer of any worker for that of a majority."""

    def has_any_answered(answered, among):
        return not among or bool(among.intersection(answered))

    return mock.patch.object(witnesses, "is_majority", has_any_answered)


def end_at_majority():
    """Take earlier owners for ended while the last answers that they got still count."""
    return mock.patch.object(witnesses, "LAST_WITNESS_SECONDS", 0.0)


def count_any_incarnation():
    """Count workers that have restarted since the last proof by the store."""
    return mock.patch.object(WitnessProof, "is_confirmed", lambda self, *_: True)


def ignore_unanswered_rosters():
    """Ask the witnesses of the last roster only that the store has confirmed."""
    return mock.patch.object(WitnessProof, "record_requested", lambda self, roster: None)


def forget_earlier_rosters():
    """State no witnesses of owners before the predecessor."""
    return mock.patch.object(WitnessedEnd, "list_unended", lambda self, roster: ())


MUTANTS = {
    "workers ignore tokens": ignore_tokens,
    "finished runs are acknowledged before they are stored": acknowledge_before_commit,
    "unanswered starts are treated as not executed": release_unanswered_starts,
    "a new owner ignores unreachable workers": forget_unreachable_workers,
    "the owner does not wait for leases to expire": ignore_leases,
    "closed workers get starts before they are reopened": reopen_before_commit,
    "starts and holds reach any incarnation of a worker": reach_any_incarnation,
    "leases are computed on the clock of a former incarnation": use_former_clock,
    "outdated entries replace what reports have shown": accept_outdated_listings,
    "labels of a former incarnation count": use_former_labels,
    "changes of capacity are ignored": ignore_capacity_changes,
    "a new owner forgets crashes": forget_crashes,
    "an unknown revision counts as one after the claim": guess_unknown_revisions,
    "unreached workers count as closed from the beginning": backdate_closings,
    "an unanswered hold counts as another incarnation": presume_other_incarnation,
    "a cancelled submission becomes active when it is reported again": revive_cancelled_submissions,
    "earlier owners count as ended while they act": presume_former_owners_ended,
    "any worker's answer counts as a majority": count_any_witness,
    "earlier owners count as ended once a majority has answered": end_at_majority,
    "workers that have restarted since the last proof count": count_any_incarnation,
    "unanswered rosters are ignored": ignore_unanswered_rosters,
    "a roster doesn't name the witnesses of earlier owners": forget_earlier_rosters,
    "only a run that ends in time ends a probation": prolong_probation,
    "a task avoids a worker without end": avoid_without_end,
}


def apply_mutant(name):
    """Return a context manager that injects a fault."""
    return MUTANTS[name]()
