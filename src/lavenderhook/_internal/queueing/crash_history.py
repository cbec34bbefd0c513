"""What is known of the workers that crashed while a task ran on them."""

from __future__ import annotations

import dataclasses
import enum
import math
from collections.abc import Iterator, Mapping

from ..core.identifiers import WorkerId
from .model import RunNumber, WorkerIncarnation
from .records import StoredCrash

# A task is given up only if at least this many workers have certainly crashed under it.
MIN_CERTAIN_CRASHES = 2
# It is given up after this many crashes, if one of them came while nothing else ran on the worker.
CRASHES_TO_GIVE_UP_ALONE = 3
# It is not started again after this many in any case. One more start is left for a crash that no
# owner has seen.
MAX_CRASHES = 4
# From this number of crashes on, a task is not started while it is unknown what became of a run.
CRASHES_TO_AWAIT_RUNS = 3
MAX_AWAIT_SECONDS = 5.0
# A task that runs this much longer than any run that crashed is not what crashes its workers.
CLEARING_AGE_FACTOR = 2.0
CLEARING_AGE_SECONDS = 5.0
# A run that lasts this much longer than those that crashed has probably outlived the crash.
TRIAL_MARGIN_SECONDS = 1.0


class SuspicionLevel(enum.Enum):
    """How a task is placed after crashes."""

    NONE = "none"
    SEPARATED = "separated"  # beside as few other suspects as possible
    ISOLATED = "isolated"  # on a worker of its own


class RunFate(enum.Enum):
    """What became of a run."""

    ACTIVE = "active"  # about to be started, or running
    UNCERTAIN = "uncertain"  # its worker or its owner was lost, so that it may have crashed
    CRASHED = "crashed"  # its worker crashed


@dataclasses.dataclass(slots=True)
class SuspectRun:
    """A run of a task with crashes.

    Attributes
    ----------
    incarnations : dict
        By worker, the incarnation on which the run, or a member of the gang, may still be
        active or may have crashed.
    age_seconds : float
        Upper bound on its age at the crash.
    is_weak : bool
        The crash has probably another cause; see `losses`.
    was_alone : bool
        Nothing else ran on the worker.
    is_stored : bool
        The store holds its number, so that a later owner knows of it.
    """

    fate: RunFate = RunFate.ACTIVE
    incarnations: dict[WorkerId, WorkerIncarnation] = dataclasses.field(default_factory=dict)
    age_seconds: float = 0.0
    is_weak: bool = False
    was_alone: bool = False
    is_stored: bool = False


class CrashHistory:
    """Crashes under one task, or under one gang, whose members share their run number.

    Attributes
    ----------
    runs : dict of RunNumber to SuspectRun
    lost_at : float
        When a run was last lost without certainty of a crash.
    waits_since : float or None
        Since when the task has waited for a worker of its own.
    """

    __slots__ = ("lost_at", "runs", "waits_since")

    def __init__(self) -> None:
        self.runs: dict[RunNumber, SuspectRun] = {}
        self.lost_at = -math.inf
        self.waits_since: float | None = None

    def _list_crashes(self) -> list[SuspectRun]:
        """Return the runs whose workers crashed or may have crashed."""
        return [run for run in self.runs.values() if run.fate is not RunFate.ACTIVE]

    @property
    def crashes(self) -> int:
        """Number of crashes, certain or not."""
        return len(self._list_crashes())

    @property
    def level(self) -> SuspicionLevel:
        """How the task is to be placed."""
        crashes = self._list_crashes()
        has_strong = any(not run.is_weak for run in crashes)
        if len(crashes) > 2 or (len(crashes) == 2 and has_strong):
            return SuspicionLevel.ISOLATED
        if len(crashes) == 2 or has_strong:
            return SuspicionLevel.SEPARATED
        return SuspicionLevel.NONE

    @property
    def is_exhausted(self) -> bool:
        """Whether the task is to be given up."""
        crashes = self._list_crashes()
        certain = [run for run in crashes if run.fate is RunFate.CRASHED]
        if len(certain) < MIN_CERTAIN_CRASHES:
            return False
        has_crashed_alone = any(run.was_alone and not run.is_weak for run in certain)
        return len(crashes) >= MAX_CRASHES or (
            has_crashed_alone and len(crashes) >= CRASHES_TO_GIVE_UP_ALONE
        )

    @property
    def longest_age(self) -> float:
        """Upper bound on the ages of the runs at their crashes, in seconds."""
        return max((run.age_seconds for run in self.runs.values()), default=0.0)

    def may_start(self, now: float) -> bool:
        """Return whether another run may be started, or another crash would be one too many."""
        crashes = self._list_crashes()
        if len(crashes) >= MAX_CRASHES:
            return False
        is_unknown = any(run.fate is RunFate.UNCERTAIN for run in crashes)
        return not (
            is_unknown
            and len(crashes) >= CRASHES_TO_AWAIT_RUNS
            and now < self.lost_at + MAX_AWAIT_SECONDS
        )

    def is_cleared_by(self, age_seconds: float) -> bool:
        """Return whether a run that has reached an age shows that the task is not the cause."""
        return age_seconds > CLEARING_AGE_FACTOR * self.longest_age + CLEARING_AGE_SECONDS

    def has_outlived_crashes(self, age_seconds: float) -> bool:
        """Return whether a run has become older than those that crashed."""
        return age_seconds > self.longest_age + TRIAL_MARGIN_SECONDS

    def get_waiting_seconds(self, now: float) -> float:
        """Return for how long the task has waited for a worker of its own; begin if it has not."""
        if self.waits_since is None:
            self.waits_since = now
        return now - self.waits_since

    # Changes.

    def add_active(
        self, number: RunNumber, worker: WorkerId, incarnation: WorkerIncarnation
    ) -> None:
        """Record that a run is about to be started, or is reported by a worker.

        One member of a gang that is reported doesn't show that no other has crashed its worker.
        """
        run = self.runs.setdefault(number, SuspectRun())
        run.incarnations[worker] = incarnation
        if run.fate is RunFate.UNCERTAIN and len(run.incarnations) == 1:
            run.fate = RunFate.ACTIVE
        self.waits_since = None

    def add_loss(self, number: RunNumber, loss: SuspectRun, now: float) -> None:
        """Record that a run was lost with its worker."""
        if loss.fate is RunFate.UNCERTAIN:
            self.lost_at = now
        if self.is_cleared_by(loss.age_seconds):
            crashed = [n for n, run in self.runs.items() if run.fate is not RunFate.ACTIVE]
            for earlier in crashed:
                del self.runs[earlier]
        run = self.runs.get(number)
        if run is not None and run.fate is RunFate.CRASHED:
            return
        if run is not None and loss.fate is RunFate.UNCERTAIN:
            loss.incarnations = {**run.incarnations, **loss.incarnations}
        self.runs[number] = loss

    def add_uncertain(
        self, number: RunNumber, worker: WorkerId, incarnation: WorkerIncarnation, now: float
    ) -> None:
        """Record a run that an earlier owner has started, unless its fate is known."""
        run = self.runs.setdefault(number, SuspectRun(fate=RunFate.UNCERTAIN, is_stored=True))
        if run.fate is RunFate.UNCERTAIN:
            run.incarnations.setdefault(worker, incarnation)
            self.lost_at = now

    def merge(self, other: CrashHistory) -> None:
        """Add the runs that another owner knows of; a fate that is known here is kept."""
        self.lost_at = max(self.lost_at, other.lost_at)
        for number, found in other.runs.items():
            run = self.runs.setdefault(number, found)
            run.is_stored = True
            if run.fate is not RunFate.CRASHED and found.fate is RunFate.CRASHED:
                self.runs[number] = found
            elif run.fate is RunFate.UNCERTAIN:
                run.incarnations = {**found.incarnations, **run.incarnations}

    def confirm(self, number: RunNumber) -> bool:
        """Record that the worker of a lost run has crashed; return whether that is new."""
        run = self.runs.get(number)
        if run is None or run.fate is not RunFate.UNCERTAIN:
            return False
        run.fate = RunFate.CRASHED
        run.incarnations = {}
        return True

    def clear_worker(self, number: RunNumber, worker: WorkerId) -> bool:
        """Record that a worker no longer has a run; return whether the run is forgotten by that."""
        run = self.runs.get(number)
        if run is None or run.fate is RunFate.CRASHED:
            return False
        run.incarnations.pop(worker, None)
        if run.incarnations:
            return False
        del self.runs[number]
        return True

    def remove_inactive(self, number: RunNumber, worker: WorkerId) -> None:
        """Record that a run is no longer active, unless it was lost with its worker."""
        run = self.runs.get(number)
        if run is not None and run.fate is RunFate.ACTIVE:
            self.clear_worker(number, worker)

    def list_uncertain(self) -> Iterator[tuple[RunNumber, WorkerId, WorkerIncarnation]]:
        """Yield the runs of unknown fate with the workers that they may have been started on."""
        for number, run in self.runs.items():
            if run.fate is RunFate.UNCERTAIN:
                for worker, incarnation in run.incarnations.items():
                    yield number, worker, incarnation

    # The stored form.

    def export_crashed(self) -> dict[int, StoredCrash]:
        """Return the runs that crashed, by number."""
        return {
            number: StoredCrash(
                age_seconds=round(run.age_seconds, 3), weak=run.is_weak, alone=run.was_alone
            )
            for number, run in self.runs.items()
            if run.fate is RunFate.CRASHED
        }

    def export_unresolved(self) -> dict[int, dict[WorkerId, WorkerIncarnation]]:
        """Return, by number, the incarnations of workers on which other runs may be."""
        return {
            number: dict(run.incarnations)
            for number, run in self.runs.items()
            if run.fate is not RunFate.CRASHED
        }

    def record_stored(self, numbers: Mapping[int, object]) -> None:
        """Record that the store holds these unresolved runs."""
        for number, run in self.runs.items():
            run.is_stored = run.is_stored or number in numbers

    @classmethod
    def restore(
        cls,
        crashed: Mapping[int, StoredCrash],
        unresolved: Mapping[int, Mapping[WorkerId, WorkerIncarnation]],
        now: float,
    ) -> CrashHistory:
        """Return the history that an earlier owner stored."""
        history = cls()
        for number, crash in crashed.items():
            history.runs[RunNumber(number)] = SuspectRun(
                fate=RunFate.CRASHED,
                age_seconds=crash.age_seconds,
                is_weak=crash.weak,
                was_alone=crash.alone,
                is_stored=True,
            )
        for number, incarnations in unresolved.items():
            for worker, incarnation in incarnations.items():
                history.add_uncertain(RunNumber(number), worker, incarnation, now)
        return history
