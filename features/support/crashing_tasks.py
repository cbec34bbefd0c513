"""Tasks that crash the workers of a simulation, and the budget of starts after such crashes."""

import collections
import dataclasses

from lavenderhook._internal.queueing.model import WorkerState

LISTED_AFTER_CRASH_SECONDS = 4.5  # the platform removes a silent worker's entry after this time
LISTED_AFTER_RETURN_SECONDS = 0.2
CRASHES_BEFORE_BUDGET = 3
MAX_STARTS_AFTER_BUDGET = 2  # once a task has crashed that many workers
MIN_CRASHES_TO_GIVE_UP = 2


@dataclasses.dataclass(frozen=True)
class CrashBehaviour:
    """How the tasks of a submission crash their workers.

    Attributes
    ----------
    age_seconds : float
        Age of a run at the crash; with 0, its start is not answered.
    down_seconds : float
        Time after which the worker is back as another incarnation.
    indices : frozenset of int or None
        Tasks that crash their workers; None for all.
    """

    age_seconds: float = 0.1
    down_seconds: float = 2.5
    indices: frozenset | None = None


class CrashingTasks:
    """Lets tasks crash their workers, and counts starts and crashes by task.

    Parameters
    ----------
    simulation : QueueSimulation
    """

    def __init__(self, simulation):
        self._simulation = simulation
        self._behaviours = {}
        self.crashes = collections.Counter()  # by task
        self.starts_after_budget = collections.Counter()  # by task
        self.crashed_workers = 0
        self.on_crash = None  # called with the number of crashes so far

    def add(self, submission, behaviour):
        """Let the tasks of a submission crash their workers."""
        self._behaviours[submission] = behaviour

    def find(self, task):
        """Return the behaviour of a task, or None if it crashes no worker."""
        behaviour = self._behaviours.get(task.submission)
        if behaviour is None or not (behaviour.indices is None or task.index in behaviour.indices):
            return None
        return behaviour

    def record_start(self, worker, command):
        """Count a start and arrange its crash; return False if it exceeds the budget."""
        behaviour = self.find(command.task)
        if behaviour is None:
            return True
        if self.crashes[command.task] >= CRASHES_BEFORE_BUDGET:
            self.starts_after_budget[command.task] += 1
        if behaviour.age_seconds:
            self._simulation.call_later(
                behaviour.age_seconds, self._crash_under, worker, command, worker.born, behaviour
            )
        return self.starts_after_budget[command.task] <= MAX_STARTS_AFTER_BUDGET

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
        self.crashes[command.task] += 1
        crash_worker(self._simulation, worker, behaviour.down_seconds)
        self.crashed_workers += 1
        if self.on_crash is not None:
            self.on_crash(self.crashed_workers)

    def may_be_given_up(self, submission):
        """Return whether a task of a submission has crashed enough workers to be given up."""
        return any(
            count >= MIN_CRASHES_TO_GIVE_UP
            for task, count in self.crashes.items()
            if task.submission == submission
        )


def crash_worker(simulation, worker, down_seconds):
    """Kill a worker's process, and start it again as another incarnation."""
    if not worker.is_up:
        return
    worker.is_up = False
    worker.runs.clear()
    simulation.call_later(LISTED_AFTER_CRASH_SECONDS, refresh_if_down, simulation, worker)
    simulation.call_later(down_seconds, return_worker, simulation, worker)


def refresh_if_down(simulation, worker):
    """Let the owners see that the entry of a worker has been removed."""
    if not worker.is_up:
        deliver_worker_lists(simulation)


def return_worker(simulation, worker):
    """Start a crashed worker as another incarnation with the same id."""
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
