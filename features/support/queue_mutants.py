"""Deliberate faults in the protocol of queues, which the random days have to catch."""

import contextlib
from unittest import mock

from lavenderhook._internal.queueing.events import FinishedRunPosition, ProgressStored
from lavenderhook._internal.queueing.model import StartOutcome
from lavenderhook._internal.queueing.owner_state import OwnerState
from lavenderhook._internal.queueing.roster import RosterTracker

from .queue_world import StandInOwner, StandInWorker


def ignore_tokens():
    """Let workers take orders of any owner."""
    return mock.patch.object(StandInWorker, "accept", lambda self, fencing: True)


def forget_before_storing():
    """Tell workers to forget ends that the store doesn't cover."""
    emit = StandInOwner.emit

    def emit_early(self, event):
        emit(self, event)
        if self.is_active and not isinstance(event, ProgressStored):
            workers = self.state.list_workers()
            positions = {
                w.id: FinishedRunPosition(w.listing.born, w.processed_sequence) for w in workers
            }
            emit(self, ProgressStored(now=self.world.now, stored_positions=positions))

    return mock.patch.object(StandInOwner, "emit", emit_early)


def release_unanswered_starts():
    """Take a start without an answer as not carried out."""
    handle = OwnerState.handle_start_answer

    def handle_early(self, event):
        if event.outcome is not StartOutcome.UNKNOWN:
            return handle(self, event)
        worker = self.workers.get(event.worker)
        run = worker.runs.get((event.task, event.number)) if worker is not None else None
        return self._remove_run(run, event.now) if run is not None else []

    handlers = "lavenderhook._internal.queueing.owner_state._HANDLERS"
    from lavenderhook._internal.queueing.events import StartAnswered

    return mock.patch.dict(handlers, {StartAnswered: handle_early})


def forget_unreachable_workers():
    """Let a new owner start tasks that may run on a worker that it can't reach."""
    begin = OwnerState.__init__

    def begin_early(self, *arguments, **named):
        begin(self, *arguments, **named)
        self.earlier_leases_expire_at = 0.0
        self.roster.unreached.clear()

    return mock.patch.object(OwnerState, "__init__", begin_early)


def grant_from_sending():
    """Take a worker as dead at once when it doesn't answer."""
    return mock.patch(
        "lavenderhook._internal.queueing.owner_state.compute_latest_lease_expiry",
        lambda now, seconds: now,
    )


def open_before_storing():
    """Give a closed worker starts before the store shows it as open."""
    return mock.patch.object(
        RosterTracker, "is_open_in_roster", lambda self, worker: worker not in self.requested.closed
    )


MUTANTS = {
    "workers ignore tokens": ignore_tokens,
    "ends are forgotten before they are stored": forget_before_storing,
    "starts without an answer are released": release_unanswered_starts,
    "unreachable workers are forgotten": forget_unreachable_workers,
    "leases are not waited for": grant_from_sending,
    "closed workers get starts at once again": open_before_storing,
}


def apply_mutant(name):
    """Return a context in which a fault is in force."""
    return MUTANTS.get(name, contextlib.nullcontext)()
