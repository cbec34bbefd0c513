"""Tasks that crash their workers, and the budget of starts after such crashes."""

import collections
import dataclasses

CRASHES_BEFORE_BUDGET = 3
MAX_STARTS_AFTER_BUDGET = 2  # once that many workers have crashed under a task


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


class CrashBudget:
    """Crashing tasks by submission, with their crashes and starts.

    Attributes
    ----------
    crashes : collections.Counter
        Workers that each task has crashed.
    starts_after_budget : collections.Counter
        Starts of each task since it has crashed three workers.
    """

    def __init__(self):
        self._behaviours = {}
        self.crashes = collections.Counter()
        self.starts_after_budget = collections.Counter()

    def add(self, submission, behaviour):
        """Let the tasks of a submission crash their workers."""
        self._behaviours[submission] = behaviour

    def find(self, submission, index):
        """Return the behaviour of a task, or None if it crashes no worker."""
        behaviour = self._behaviours.get(submission)
        if behaviour is None or not (behaviour.indices is None or index in behaviour.indices):
            return None
        return behaviour

    def record_start(self, task):
        """Count a start of a crashing task; return False if it exceeds the budget."""
        if self.crashes[task] >= CRASHES_BEFORE_BUDGET:
            self.starts_after_budget[task] += 1
        return self.starts_after_budget[task] <= MAX_STARTS_AFTER_BUDGET
