"""Workers as the owner knows them: capacity, leases and the runs that they hold."""

from __future__ import annotations

import dataclasses
import enum
import math

from ..core.identifiers import WorkerId
from .finished_runs import FinishedRunTracker
from .incarnations import NewestIncarnation
from .leases import CLOCK_DRIFT_FACTOR, WorkerLease
from .model import (
    CommandToken,
    FencingToken,
    OrganisationName,
    ReportedRun,
    Resources,
    RunNumber,
    RunState,
    StartCommand,
    StepSpec,
    Submission,
    SubmissionId,
    TaskKey,
    WorkerIncarnation,
    WorkerListing,
    WorkerState,
)
from .organisation_use import OrganisationUse
from .speeds import WorkerSpeed
from .stops import StopReason

# A hold waits up to a second and a long link adds tens of milliseconds.
MAX_REPORT_AGE_SECONDS = 2.5
FAILED_SUBMISSIONS_TO_BLOCK = 3  # in a row, without a run that ended done
FAILURE_BLOCK_SECONDS = 3.0
UNANSWERED_HOLDS_TO_CLOSE = 2  # in a row
RACK_PREFIX = "r"  # labels of racks look like r1-3
MIN_RATE_SECONDS = 0.3  # between the samples from which a rate of progress is taken
MIN_RATE_PROGRESS = 0.03  # progress is reported in hundredths
REFUSAL_BLOCK_SECONDS = 0.5  # after a refused start or an unanswered hold


def find_rack(listing: WorkerListing) -> str:
    """Return the rack in the labels of a worker, or the empty string."""
    for label in listing.labels:
        if label.startswith(RACK_PREFIX) and "-" in label:
            return label
    return ""


class UnschedulableReason(enum.Enum):
    """Why no new runs may be placed on a worker; the first that applies."""

    UNLISTED = "unlisted"
    NOT_READY = "not-ready"
    NO_ENTRY = "no-entry"  # of its newest incarnation in the platform's list
    NOT_ANSWERING = "not-answering"
    UNREACHED = "unreached"
    CLOSED = "closed"  # in the roster
    UNMATCHED_RUNS = "unmatched-runs"  # of submissions that aren't known
    UNKNOWN_RESOURCES = "unknown-resources"  # of runs whose submissions have ended
    BLOCKED = "blocked"
    SILENT = "silent"


@dataclasses.dataclass(slots=True)
class Run:
    """One attempt to execute a task on a worker, not known to have ended.

    The package `core` calls this an attempt.

    Attributes
    ----------
    incarnation : WorkerIncarnation
        That of its worker.
    acknowledged_at : float or None
        When the worker confirmed the last command for it.
    attempts : int
        Start or stop commands sent.
    is_filler : bool
        Its processors aren't counted; see `StepSpec`.
    progress : float
        Share that is done, by the worker's last report.
    is_suspect : bool
        The task may crash its worker.
    is_on_trial : bool
        It is suspect, and not known to have become older than the runs that crashed.
    has_unknown_resources : bool
        The submission has ended and its steps aren't loaded; nothing is placed on the worker.
    queue : str
        Name of the queue of its submission; empty if an earlier owner started it.
    lasting_slowness : float
        That of its worker; see `WorkerSpeed`.
    shows_speed : bool
        Its duration still has to be recorded for its worker's speed.
    """

    task: TaskKey
    number: RunNumber
    worker: WorkerId
    resources: Resources
    is_filler: bool
    state: RunState
    commanded_at: float
    incarnation: WorkerIncarnation = WorkerIncarnation()
    organisation: OrganisationName = OrganisationName("")  # of its submission, if that is known
    estimate_seconds: float = 0.0
    estimated_end_at: float = 0.0  # infinite for a service
    acknowledged_at: float | None = None
    next_attempt_at: float = 0.0
    attempts: int = 0
    checkpoint: str = ""
    command: StartCommand | None = None
    is_in_flight: bool = False
    counts_for_speed: bool = False  # its duration depends on its worker only
    has_unconfirmed_start: bool = False  # an unanswered start may be carried out late
    has_unknown_resources: bool = False
    is_suspect: bool = False
    is_on_trial: bool = False
    queue: str = ""
    lasting_slowness: float = 1.0
    shows_speed: bool = False
    stop_reason: StopReason | None = None
    rack: str = ""
    progress: float = 0.0
    # Samples of the progress, with the time on the worker's clock in seconds.
    _samples: list[tuple[float, float]] = dataclasses.field(default_factory=list)
    _moved_clock: float = 0.0  # when the progress last increased
    _measured_from: tuple[float, float] | None = None

    def begin_start(self, now: float) -> None:
        """Begin the start of a planned run."""
        self.state = RunState.STARTING
        self.commanded_at = now
        self.estimated_end_at = now + self.estimate_seconds
        self.is_in_flight = True

    def begin_stop(self, reason: StopReason) -> None:
        """Begin the stop of the run; its end is reported like any other."""
        self.state = RunState.STOPPING
        self.stop_reason = reason
        self.acknowledged_at = None
        self.attempts = 1
        self.is_in_flight = True

    def may_run_after(self, last_report_at: float) -> bool:
        """Return whether the next incarnation of its worker may have got the start, or get it.

        Parameters
        ----------
        last_report_at : float
            When the former incarnation reported last; the next one may have answered the start
            since then.
        """
        is_unanswered = self.acknowledged_at is None and self.state not in (
            RunState.RUNNING,
            RunState.PLANNED,
        )
        return (
            self.has_unconfirmed_start
            or is_unanswered
            or (self.acknowledged_at or 0.0) > last_report_at
        )

    def has_vanished(self, sent_at: float, stop_seconds: float) -> bool:
        """Return whether a hold sent at `sent_at` would have reported the run if it existed.

        Parameters
        ----------
        sent_at : float
        stop_seconds : float
            Longest time that a worker takes to stop a run.
        """
        if self.is_in_flight or self.acknowledged_at is None:
            return False
        stop_delay = stop_seconds if self.state is RunState.STOPPING else 0.0
        return self.acknowledged_at + stop_delay * CLOCK_DRIFT_FACTOR < sent_at

    def record_progress(self, progress: float, clock: float) -> None:
        """Record the progress that a worker has reported at a time on its own clock."""
        if not self._samples or progress > self.progress:
            self._moved_clock = clock
        self.progress = progress
        if self._measured_from is None:
            self._measured_from = (progress, clock)
        if len(self._samples) > 2 and clock - self._samples[1][1] >= MIN_RATE_SECONDS:
            del self._samples[0]
        if (
            len(self._samples) > 1
            and self._samples[-1][1] - self._samples[-2][1] < MIN_RATE_SECONDS
        ):
            self._samples[-1] = (progress, clock)
        else:
            self._samples.append((progress, clock))

    def get_progress_rate(self) -> float | None:
        """Return the recent progress for each second, or None if it is not known well enough."""
        if len(self._samples) < 2:
            return None
        (earlier, earlier_clock), (latest, latest_clock) = self._samples[0], self._samples[-1]
        progress, seconds = latest - earlier, latest_clock - earlier_clock
        if seconds < MIN_RATE_SECONDS or progress < MIN_RATE_PROGRESS:
            return None
        return progress / seconds

    def restart_measurement(self) -> None:
        """Measure the progress over a long time from now on."""
        self._measured_from = self._samples[-1] if self._samples else None

    def get_lasting_rate(self, seconds: float) -> float | None:
        """Return the progress for each second, if it has been measured for this time."""
        if self._measured_from is None:
            return None
        progress = self.progress - self._measured_from[0]
        measured_seconds = self._samples[-1][1] - self._measured_from[1]
        if measured_seconds < seconds or progress < MIN_RATE_PROGRESS:
            return None
        return progress / measured_seconds

    def get_standing_seconds(self) -> float:
        """Return for how long the reports have shown no progress, by the worker's clock."""
        return self._samples[-1][1] - self._moved_clock if self._samples else 0.0


class Worker:
    """A worker as the owner knows it; the object is kept when the worker restarts.

    Reported runs of submissions that aren't known yet are kept in `unmatched_runs`; while there
    are any, the free capacity is unknown and nothing is placed here.

    Parameters
    ----------
    listing : WorkerListing
    lease_expires_by : float
        Time by which every lease that any owner may have granted until now has expired.
    incarnation : int
        Number of its incarnation; see `compute_command_token`.
    """

    def __init__(
        self, listing: WorkerListing, lease_expires_by: float, incarnation: int = 0
    ) -> None:
        self.id = listing.id
        self.listing = listing
        self.newest = NewestIncarnation(listing.born)
        self.rack = find_rack(listing)
        self.lease = WorkerLease(lease_expires_by)
        self.is_listed = True
        self.incarnation = incarnation
        self.is_reached = False  # has answered this owner, or can hold no earlier runs
        self.is_open_in_roster = False
        self.last_report_at = 0.0
        self.unanswered_holds = 0  # in a row
        self.silent_since: float | None = None  # the first of these
        self.blocked_until = 0.0
        self.runs: dict[tuple[TaskKey, RunNumber], Run] = {}
        self.unmatched_runs: dict[TaskKey, ReportedRun] = {}
        self.runs_with_unknown_resources = 0
        self.failed_submissions: set[SubmissionId] = set()  # since a run was last done
        self.slow_submissions: set[SubmissionId] = set()  # since a run last finished in time
        self.leaves_at: float | None = None  # a draining worker leaves at this time or later
        self.is_on_probation = False  # see the module `stragglers`
        self.has_shown_speed = False  # lately
        self.speed_shown_at = 0.0  # when it last had runs that depend on its speed only
        self.isolated_run: Run | None = None  # nothing is placed beside it; see `isolation`
        self.emptied_for: TaskKey | None = None  # nothing is placed until this suspect starts here
        self.finished_runs = FinishedRunTracker()
        self.speed = WorkerSpeed()
        self.used_processors = 0
        self.used_memory_mb = 0
        self.used_accelerators = 0
        self.organisation_use = OrganisationUse()  # that of all workers of an owner
        # Reserved for gangs in one placement pass; a task that ends by `reserved_until` may use it.
        self.reserved = Resources()
        self.reserved_until = 0.0

    @property
    def processed_sequence(self) -> int:
        """Highest finished run that is applied to the state, as are all before it."""
        return self.finished_runs.processed_sequence

    @property
    def stored_sequence(self) -> int:
        """Highest finished run that is covered by the store, as are all before it."""
        return self.finished_runs.stored_sequence

    def get_incarnation(self) -> WorkerIncarnation:
        """Return what identifies the incarnation."""
        return WorkerIncarnation(self.newest.born, self.listing.address)

    def forget_reports(self) -> None:
        """Discard what was reported, since finished runs are numbered from the start again."""
        self.finished_runs = FinishedRunTracker()
        self.unmatched_runs.clear()

    def record_answer(self, now: float) -> bool:
        """Record a report; return whether that changes whether the worker accepts starts."""
        accepted_starts = self.accepts_starts()
        self.last_report_at = now
        self.unanswered_holds = 0
        self.silent_since = None
        return self.accepts_starts() != accepted_starts

    def record_unanswered_hold(self, now: float) -> bool:
        """Record an unanswered hold; return whether that changes whether it accepts starts."""
        accepted_starts = self.accepts_starts()
        self.unanswered_holds += 1
        if self.silent_since is None:
            self.silent_since = now
        self.blocked_until = max(self.blocked_until, now + REFUSAL_BLOCK_SECONDS)
        return self.accepts_starts() != accepted_starts

    def begin_incarnation(self, incarnation: int, born: int, now: float) -> None:
        """Discard what was learnt about the former incarnation, which has ended."""
        self.incarnation = incarnation
        self.lease.begin_incarnation()
        self.last_report_at = 0.0
        self.forget_reports()
        self.failed_submissions.clear()
        self.end_probation()
        self.blocked_until = 0.0
        self.silent_since = None
        self.leaves_at = None
        listing = self.newest.record(born, now)
        if listing is not None:
            self.update_listing(listing, now)

    def begin_probation(self) -> None:
        """Treat the worker as slow; what its runs have done until now doesn't count for it."""
        self.is_on_probation = True
        for run in self.runs.values():
            run.restart_measurement()

    def end_probation(self) -> None:
        """Treat the worker as sound; what was held against it doesn't count any longer."""
        self.slow_submissions.clear()
        self.is_on_probation = False

    def apply_lasting_slowness(self) -> None:
        """Judge the runs by the learnt speed; a worker that is slow for good isn't broken."""
        slowness = self.speed.lasting_slowness
        for run in self.runs.values():
            run.lasting_slowness = slowness
        if slowness > 1.0:
            self.end_probation()

    def record_shown_speed(self, now: float) -> None:
        """Record that it has runs that depend on its speed only."""
        self.speed_shown_at = now
        self.has_shown_speed = True

    def is_of_unknown_speed(self) -> bool:
        """Return whether it is on probation and no run has shown its speed lately."""
        return self.is_on_probation and not self.has_shown_speed

    def is_full_on_probation(self) -> bool:
        """Return whether it is on probation and runs something that will show its speed."""
        return self.is_on_probation and any(run.counts_for_speed for run in self.runs.values())

    def update_listing(self, listing: WorkerListing, now: float) -> None:
        """Apply the newest entry of the platform's list."""
        if listing.leaves_in_seconds is None:
            self.leaves_at = None
        elif listing != self.listing or self.leaves_at is None:
            self.leaves_at = now + listing.leaves_in_seconds
        kind, former_kind = ((x.labels, x.capacity) for x in (listing, self.listing))
        if listing.born != self.listing.born and kind != former_kind:
            self.speed = WorkerSpeed()  # another machine under the same id
        self.listing = listing
        self.rack = find_rack(listing)

    def record_failure(self, submission: SubmissionId, now: float) -> bool:
        """Record a failed run; return whether the worker is blocked for a while.

        Handles workers that fail everything that they start. Runs of several submissions in a row
        have to fail, so that one faulty submission doesn't block healthy workers.
        """
        self.failed_submissions.add(submission)
        if len(self.failed_submissions) < FAILED_SUBMISSIONS_TO_BLOCK:
            return False
        self.failed_submissions.pop()  # one more failure blocks it again
        self.blocked_until = max(self.blocked_until, now + FAILURE_BLOCK_SECONDS)
        return True

    def is_draining(self) -> bool:
        """Return whether this incarnation is listed as draining."""
        return self.newest.is_described_by(self.listing) and (
            self.listing.state is WorkerState.DRAINING
        )

    def accepts_starts(self) -> bool:
        """Return whether this incarnation is listed as ready and answers holds.

        Until its own entry is known, so are neither its labels nor its capacity.
        """
        return (
            self.is_listed
            and self.newest.is_described_by(self.listing)
            and self.listing.state is WorkerState.READY
            and self.unanswered_holds < UNANSWERED_HOLDS_TO_CLOSE
        )

    def is_schedulable(self, now: float) -> bool:
        """Return whether new runs may be placed here."""
        return self.find_unschedulable_reason(now) is None

    def find_unschedulable_reason(self, now: float) -> UnschedulableReason | None:
        """Return why no new runs may be placed here, or None if they may."""
        if not self.accepts_starts():
            return self._find_refusal()
        if not self.is_reached:
            return UnschedulableReason.UNREACHED
        if not self.is_open_in_roster:
            return UnschedulableReason.CLOSED
        if self.unmatched_runs:
            return UnschedulableReason.UNMATCHED_RUNS
        if self.runs_with_unknown_resources:
            return UnschedulableReason.UNKNOWN_RESOURCES
        if now < self.blocked_until:
            return UnschedulableReason.BLOCKED
        if now - self.last_report_at >= MAX_REPORT_AGE_SECONDS:
            return UnschedulableReason.SILENT
        return None

    def _find_refusal(self) -> UnschedulableReason:
        """Return why the worker does not accept starts."""
        if not self.is_listed:
            return UnschedulableReason.UNLISTED
        if not self.newest.is_described_by(self.listing):
            return UnschedulableReason.NO_ENTRY
        if self.listing.state is not WorkerState.READY:
            return UnschedulableReason.NOT_READY
        return UnschedulableReason.NOT_ANSWERING

    def get_free_resources(self, ends_at: float = math.inf) -> Resources:
        """Return the resources neither used by known runs nor reserved for gangs.

        Those that are reserved for a later time than `ends_at` are free.
        """
        capacity = self.listing.capacity
        reserved = Resources() if ends_at <= self.reserved_until else self.reserved
        return Resources(
            capacity.processors - self.used_processors - reserved.processors,
            capacity.memory_mb - self.used_memory_mb - reserved.memory_mb,
            capacity.accelerators - self.used_accelerators - reserved.accelerators,
        )

    def has_capacity_for(self, resources: Resources, is_filler: bool, ends_at: float) -> bool:
        """Return whether a task that is expected to end at a time may be placed here."""
        if not self.is_shared() or (self.is_on_probation and self.is_full_on_probation()):
            return False
        capacity = self.listing.capacity
        reserved = Resources() if ends_at <= self.reserved_until else self.reserved
        processors = self.used_processors + reserved.processors + resources.processors
        return (
            (is_filler or processors <= capacity.processors)
            and self.used_memory_mb + reserved.memory_mb + resources.memory_mb <= capacity.memory_mb
            and self.used_accelerators + reserved.accelerators + resources.accelerators
            <= capacity.accelerators
        )

    def is_over_capacity(self) -> bool:
        """Return whether its runs use more than a capacity that has shrunk meanwhile."""
        capacity = self.listing.capacity
        return (
            self.used_processors > capacity.processors
            or self.used_memory_mb > capacity.memory_mb
            or self.used_accelerators > capacity.accelerators
        )

    def reserve(self, resources: Resources, count: int, until: float) -> None:
        """Reserve capacity for tasks that are to start at `until`."""
        reserved = self.reserved
        self.reserved_until = min(self.reserved_until, until) if self.has_reservation else until
        self.reserved = Resources(
            reserved.processors + count * resources.processors,
            reserved.memory_mb + count * resources.memory_mb,
            reserved.accelerators + count * resources.accelerators,
        )

    @property
    def has_reservation(self) -> bool:
        """Whether capacity is reserved for gangs in this placement pass."""
        return self.reserved != Resources()

    def is_shared(self) -> bool:
        """Return whether tasks may be placed here beside others."""
        is_isolated = self.isolated_run is not None and self.isolated_run.is_on_trial
        return not is_isolated and self.emptied_for is None

    def count_suspects(self) -> int:
        """Return how many runs may crash the worker."""
        return sum(run.is_suspect for run in self.runs.values())

    def clear_reservation(self) -> None:
        """Release all reserved capacity."""
        self.reserved = Resources()
        self.reserved_until = 0.0

    def get_unused_resources(self) -> Resources:
        """Return the resources not used by known runs, without regard to reservations."""
        capacity = self.listing.capacity
        return Resources(
            capacity.processors - self.used_processors,
            capacity.memory_mb - self.used_memory_mb,
            capacity.accelerators - self.used_accelerators,
        )

    def get_free_processors(self) -> int:
        """Return the free processors in thousandths, without regard to reservations."""
        return self.listing.capacity.processors - self.used_processors

    def add_run(self, run: Run) -> None:
        """Add a run and the resources that it uses."""
        self.runs[(run.task, run.number)] = run
        self._update_usage(run, 1)

    def remove_run(self, run: Run) -> None:
        """Remove a run and free its resources."""
        if self.runs.pop((run.task, run.number), None) is not None:
            self._update_usage(run, -1)
        if self.isolated_run is run:  # other members of its gang may remain
            step_id = run.task.step_id
            others = (other for other in self.runs.values() if other.task.step_id == step_id)
            self.isolated_run = next(others, None)

    def _update_usage(self, run: Run, sign: int) -> None:
        self.organisation_use.change(run.organisation, run.resources, sign)
        if run.has_unknown_resources:
            self.runs_with_unknown_resources += sign
        if not run.is_filler:
            self.used_processors += sign * run.resources.processors
        self.used_memory_mb += sign * run.resources.memory_mb
        self.used_accelerators += sign * run.resources.accelerators


def make_adopted_run(
    reported: ReportedRun,
    spec: StepSpec | None,
    organisation: OrganisationName,
    worker: Worker,
    now: float,
) -> Run:
    """Return a run that an earlier owner started; `spec` is None if its submission has ended."""
    known = spec or StepSpec()
    return Run(
        task=reported.task,
        number=reported.number,
        worker=worker.id,
        incarnation=worker.get_incarnation(),
        resources=known.resources,
        is_filler=known.is_filler,
        has_unknown_resources=spec is None,
        organisation=organisation,
        state=RunState.RUNNING,
        commanded_at=now,
        estimate_seconds=known.expected_seconds,
        estimated_end_at=0.0 if spec is None else now + spec.expected_seconds,
        acknowledged_at=now,
        checkpoint=reported.checkpoint,
        rack=worker.rack,
    )


def shows_speed(command: StartCommand, spec: StepSpec, worker: Worker) -> bool:
    """Return whether the duration of a run tells the worker's speed, compared with other runs.

    Not that of gang members, which wait for the slowest, nor of what resumes from a checkpoint or
    may be far from its data.
    """
    return not (
        spec.is_gang
        or spec.is_service
        or spec.is_filler
        or command.checkpoint
        or spec.placement.single_rack
        or spec.placement.data_rack not in ("", worker.rack)
    )


def make_run(
    command: StartCommand,
    spec: StepSpec,
    submission: Submission,
    worker: Worker,
    now: float,
) -> Run:
    """Return the run that a start command for a task of a submission begins."""
    estimate_seconds = spec.expected_seconds
    return Run(
        task=command.task,
        number=command.number,
        worker=command.worker,
        incarnation=worker.get_incarnation(),
        resources=spec.resources,
        is_filler=spec.is_filler,
        organisation=submission.organisation,
        state=RunState.STARTING,
        commanded_at=now,
        estimate_seconds=estimate_seconds,
        estimated_end_at=now + estimate_seconds,
        checkpoint=command.checkpoint,
        command=command,
        is_in_flight=True,
        attempts=1,
        # Members of a gang wait for the slowest; long-running tasks have no expected duration.
        counts_for_speed=not (spec.is_gang or spec.is_service or spec.is_filler),
        queue=submission.queue.name,
        lasting_slowness=worker.speed.lasting_slowness,
        shows_speed=shows_speed(command, spec, worker),
        rack=worker.rack,
    )


# A worker that restarts under the same id has seen no token and would carry out a late command for
# its former incarnation. Each incarnation gets a higher token, so that such commands are fenced
# from the first hold on. The numbers increase for all workers of an owner together, since one that
# was removed may return under its id.
# An owner steps down before it would use tokens of the next one.
TOKENS_PER_OWNER = 1_000_000


def compute_command_token(fencing: FencingToken, incarnation: int) -> CommandToken:
    """Return the token of an owner's commands to an incarnation of a worker.

    Parameters
    ----------
    fencing : FencingToken
    incarnation : int
        How many workers the owner had seen restart or removed when this incarnation began.
    """
    return CommandToken(fencing * TOKENS_PER_OWNER + incarnation)


def has_token_left(incarnation: int) -> bool:
    """Return whether an owner has a token for an incarnation."""
    return incarnation < TOKENS_PER_OWNER


# Run numbers increase across owners: each owner counts within a block of its own, and steps down
# before it would use numbers of the next one.
RUN_NUMBERS_PER_OWNER = 1_000_000


def compute_first_run_number(fencing: FencingToken) -> RunNumber:
    """Return the first run number of an owner."""
    return RunNumber((fencing - 1) * RUN_NUMBERS_PER_OWNER + 1)


def is_run_number_of(number: RunNumber, fencing: FencingToken) -> bool:
    """Return whether a run number belongs to an owner and not to a later one."""
    return number < compute_first_run_number(FencingToken(fencing + 1))
