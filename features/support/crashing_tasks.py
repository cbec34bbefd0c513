"""Tasks that crash the workers of a simulation, and the budget of starts after such crashes."""

import collections

from lavenderhook._internal.queueing.model import WorkerState
from standins.crashes import CrashBudget

LISTED_AFTER_CRASH_SECONDS = 4.5  # the platform removes a silent worker's entry after this time
LISTED_AFTER_RETURN_SECONDS = 0.2
MIN_CRASHES_TO_GIVE_UP = 2


class CrashingTasks:
    """Lets tasks crash their workers, and counts starts and crashes by task.

    Parameters
    ----------
    simulation : QueueSimulation
    """

    def __init__(self, simulation):
        self._simulation = simulation
        self.budget = CrashBudget()
        self.crashes_beside = collections.Counter()  # by task, whatever crashed the worker
        self.crashed_workers = 0
        self.on_crash = None  # called with the number of crashes so far

    def find(self, task):
        """Return the behaviour of a task, or None if it crashes no worker."""
        return self.budget.find(task.submission, task.index)

    def get_crash_age(self, task):
        """Return the age at which a task crashes its worker, before its end; 0 if it does not."""
        behaviour = self.find(task)
        return 0.0 if behaviour is None else behaviour.age_seconds

    def record_start(self, worker, command):
        """Count a start and arrange its crash; return False if it exceeds the budget."""
        behaviour = self.find(command.task)
        if behaviour is None:
            return True
        if behaviour.age_seconds:
            self._simulation.call_later(
                behaviour.age_seconds, self._crash_under, worker, command, worker.born, behaviour
            )
        return self.budget.record_start(command.task)

    def crash_at_start(self, worker, command):
        """Crash a worker that has just begun a task without an age; return whether it did."""
        behaviour = self.find(command.task)
        if behaviour is None or behaviour.age_seconds:
            return False
        self._crash_under(worker, command, worker.born, behaviour)
        return not worker.is_up

    def _crash_under(self, worker, command, born, behaviour):
        run = worker.runs.get(command.task)
        if not worker.is_up or worker.born != born or run is None or run.number != command.number:
            return
        self.budget.crashes[command.task] += 1
        crash_worker(self._simulation, worker, behaviour.down_seconds)
        self.crashed_workers += 1
        if self.on_crash is not None:
            self.on_crash(self.crashed_workers)

    def may_be_given_up(self, submission):
        """Return whether a submission has crashed a worker, and enough crashed under one task."""
        has_crashed_worker = any(task.submission == submission for task in self.budget.crashes)
        return has_crashed_worker and any(
            count >= MIN_CRASHES_TO_GIVE_UP
            for task, count in self.crashes_beside.items()
            if task.submission == submission
        )


def crash_worker(simulation, worker, down_seconds):
    """Kill a worker's process, and start it again as another incarnation."""
    if not worker.is_up:
        return
    worker.crash()
    simulation.call_later(LISTED_AFTER_CRASH_SECONDS, refresh_if_down, simulation, worker)
    simulation.call_later(down_seconds, return_worker, simulation, worker)


def refresh_if_down(simulation, worker):
    """Let the owners see that the entry of a worker has been removed."""
    if not worker.is_up:
        deliver_worker_lists(simulation)


def return_worker(simulation, worker):
    """Start a crashed worker as another incarnation with the same id."""
    if worker.is_up:
        return  # after another fault
    worker.is_up = True
    worker.state = WorkerState.READY
    worker.leaves_at = None
    worker.begin_incarnation()
    simulation.call_later(LISTED_AFTER_RETURN_SECONDS, deliver_worker_lists, simulation)


def deliver_worker_lists(simulation):
    """Let all owners that aren't suspended read the list of workers."""
    for owner in simulation.owners:
        if not owner.is_suspended:
            owner.deliver_worker_list()
