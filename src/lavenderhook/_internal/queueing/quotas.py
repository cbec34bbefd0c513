"""Limits on what each organisation has running on all workers together."""

from __future__ import annotations

import dataclasses
from collections.abc import Callable, Collection, Iterable, Mapping, Sequence

from ...errors import InvalidArgumentError
from ..core.identifiers import WorkerId
from .effects import Effect, LogDecision
from .events import OrganisationsChanged
from .model import OrganisationName, Resources, StepId, StepSpec, Submission, SubmissionId
from .organisation_claims import OrganisationClaims, OrganisationPass
from .organisation_use import OrganisationUse
from .organisations import Organisation, Organisations
from .resource_sums import add, is_within
from .start_log import LoggedStart
from .step_progress import StepProgress
from .submissions import SubmissionProgress
from .workers import Run, Worker

# Most workers answer a new owner within it. Until then, all that can run unknown to it is counted,
# as its predecessor may not have logged its last starts; then only what the log names.
REACH_SECONDS = 1.0
LONG_TASK_SECONDS = 10.0  # the log covers 15 s, and a task takes half as long again as estimated
REPEAT_SECONDS = 5.0  # between two lines on one organisation
RELEASE_SECONDS = 1.0  # without work that the limit holds; a line on each change would be many


@dataclasses.dataclass(slots=True)
class _LimitedTime:
    """Time in which the limit of an organisation holds work."""

    began_at: float
    seen_at: float
    next_line_at: float


class Quotas:
    """Decides whether another task of an organisation may start.

    Handles organisations that send more than they may have running, beside changes of owner: what
    runs at workers that a new owner has not reached isn't known, and counts as far as it is
    possible. A limit that is lowered stops nothing, and nothing starts until there is room.

    Attributes
    ----------
    organisations : Organisations or None
        Those of the active configuration; None if it has none, or isn't known.
    use : OrganisationUse
        Updated by the workers of the owner.
    """

    def __init__(self) -> None:
        self.organisations: Organisations | None = None
        self.use = OrganisationUse()
        self._unreached: Collection[WorkerId] = ()
        self._logged: list[LoggedStart] = []  # at unreached workers
        self._began_at: float | None = None
        self._is_configured = False
        self._by_name: dict[OrganisationName, Organisation] = {}  # also those that were removed
        self._ended: dict[SubmissionId, Submission] = {}
        self._hidden: dict[OrganisationName, Resources] = {}
        self._hidden_of_all = Resources()
        self._held: dict[OrganisationName, dict[StepId, StepProgress]] = {}
        self._claims = OrganisationClaims(lambda step: compute_unit(step.spec))
        self._workers: Collection[Worker] = ()
        self._limited: dict[OrganisationName, _LimitedTime] = {}

    def handle_change(self, event: OrganisationsChanged) -> list[Effect]:
        """Apply the organisations of another configuration.

        One that was removed keeps its limit for the submissions that it has left.
        """
        self._is_configured = True
        self.organisations = event.organisations
        if event.organisations is None:
            self._by_name.clear()
        self._by_name |= {entry.name: entry for entry in event.organisations or ()}
        return []

    def expect_runs(
        self,
        unreached: Collection[WorkerId],
        former_starts: Mapping[SubmissionId, Sequence[LoggedStart]],
    ) -> None:
        """Record what earlier owners have started lately, and where it may run unknown to this one.

        Parameters
        ----------
        unreached : collection of WorkerId
            Shrinks as the workers answer.
        former_starts : mapping
            As in `OwnerState`.
        """
        self._unreached = unreached
        self._logged = [start for starts in former_starts.values() for start in starts]

    def record_ended(self, submission: Submission) -> None:
        """Record a submission that was cancelled before this owner began, and may still run."""
        if self._unreached:
            self._ended[submission.id] = submission

    # One placement pass.

    def begin_pass(
        self,
        submissions: Iterable[SubmissionProgress],
        workers: Iterable[Worker],
        blocked_through_revision: float,
        now: float,
    ) -> None:
        """Estimate what may run without the owner's knowledge.

        Parameters
        ----------
        submissions : iterable of SubmissionProgress
        workers : iterable of Worker
        blocked_through_revision : float
            See `Scheduler.schedule`.
        now : float
        """
        self._held = {}
        self._hidden = {}
        self._hidden_of_all = Resources()
        self._began_at = now if self._began_at is None else self._began_at
        is_new = now - self._began_at < REACH_SECONDS
        if not self._unreached:
            self._ended.clear()
            self._logged.clear()
        if self.organisations is None:
            return
        self._workers = known = list(workers)
        if is_new:
            self._hidden_of_all = _sum_unused(
                w for w in known if w.unmatched_runs or w.runs_with_unknown_resources
            )
        if self._unreached:
            blocked = [e for e in submissions if e.is_blocked_through(blocked_through_revision)]
            possible = self._list_possible(blocked) if is_new else self._list_logged(blocked)
            self._hidden = self._limit_to_unreached(possible, known)

    def _list_possible(
        self, blocked: Iterable[SubmissionProgress]
    ) -> dict[OrganisationName, Resources]:
        """Return, by organisation, what submissions can have running at unreached workers."""
        possible: dict[OrganisationName, Resources] = {}
        for entry in blocked:
            for spec, count in entry.count_waiting():
                _charge(possible, entry.submission, spec, count)
        for submission in self._ended.values():
            for spec in submission.steps:
                _charge(possible, submission, spec, spec.count)
        return possible

    def _list_logged(
        self, blocked: Iterable[SubmissionProgress]
    ) -> dict[OrganisationName, Resources]:
        """Return, by organisation, what earlier owners have logged at unreached workers.

        The log covers some seconds only, so that of long tasks all that wait are counted.
        """
        logged: dict[OrganisationName, Resources] = {}
        entries = {entry.submission.id: entry for entry in blocked}
        for entry in entries.values():
            for spec, count in entry.count_waiting():
                if spec.expected_seconds >= LONG_TASK_SECONDS:
                    _charge(logged, entry.submission, spec, count)
        self._logged = [start for start in self._logged if start.worker in self._unreached]
        for start in self._logged:
            task = start.task
            found = entries.get(task.submission)
            if found is None:
                ended = self._ended.get(task.submission)
                if ended is not None and task.step < len(ended.steps):
                    _charge(logged, ended, ended.steps[task.step], 1)
                continue
            known = found.steps.get((task.occurrence, task.step))
            if known is None or known.spec.expected_seconds >= LONG_TASK_SECONDS:
                continue
            if task.index in known.waiting:
                _charge(logged, found.submission, known.spec, 1)
        return logged

    def _limit_to_unreached(
        self, possible: dict[OrganisationName, Resources], workers: Sequence[Worker]
    ) -> dict[OrganisationName, Resources]:
        """Limit what may run to the capacity of the unreached workers.

        One that isn't listed counts as the largest that is.
        """
        listed = [worker for worker in workers if worker.id in self._unreached]
        unused = _sum_unused(listed)
        largest = Resources()
        for worker in workers:
            largest = _apply(max, largest, worker.listing.capacity)
        unused = add(unused, largest, len(self._unreached) - len(listed))
        return {name: _apply(min, total, unused) for name, total in possible.items()}

    def may_start(self, entry: SubmissionProgress, step: StepProgress, now: float) -> bool:
        """Return whether one more task of a step, or a whole gang, is within the limit."""
        spec, name = step.spec, entry.submission.organisation
        if not name or (spec.is_gang and len(step.waiting) < spec.count):
            return True
        organisation = self._by_name.get(name)
        is_known = organisation is not None or self._knows_all()
        if is_known and (organisation is None or not _is_limited(organisation)):
            return True
        if organisation is not None and self._has_room(organisation, entry, step, now):
            return True
        self._held.setdefault(name, {})[step.id] = step
        self._claims.record_held(step, now)
        return False

    def _knows_all(self) -> bool:
        """Return whether organisations without an entry have no limit.

        An entry that a new instance couldn't read may hold one that is in force elsewhere.
        """
        return self._is_configured and (
            self.organisations is None or self.organisations.is_complete
        )

    def _has_room(
        self, organisation: Organisation, entry: SubmissionProgress, step: StepProgress, now: float
    ) -> bool:
        used = add(self.use.get(organisation.name), self._get_hidden(organisation.name))
        return is_within(
            add(used, compute_unit(step.spec)), organisation.limit
        ) and self._claims.allows(entry, step, used, organisation, now)

    def _get_hidden(self, name: OrganisationName) -> Resources:
        """Return what an organisation may have running without the owner's knowledge."""
        return add(self._hidden_of_all, self._hidden.get(name, Resources()))

    def is_exceeded(self, name: OrganisationName) -> bool:
        """Return whether an organisation has more running than its limit, which was lowered."""
        organisation = self._by_name.get(name)
        return organisation is not None and not is_within(self.use.get(name), organisation.limit)

    def record_start(self, step: StepProgress, organisation: OrganisationName, now: float) -> None:
        """Record that a task of a step has started; others of its organisation come next."""
        self._claims.record_start(step, organisation, now)

    def is_held(self, entry: SubmissionProgress, step: StepProgress) -> bool:
        """Return whether the limit has held a step in the last pass."""
        return step.id in self._held.get(entry.submission.organisation, ())

    def end_pass(self, now: float) -> list[Effect]:
        """Review the claims, and return the log lines of what the limits hold."""
        effects = self._claims.end_pass(self._list_passes(), self._list_runs, now)
        for name, steps in self._held.items():
            limited = self._limited.setdefault(name, _LimitedTime(now, now, now))
            limited.seen_at = now
            if now >= limited.next_line_at:
                limited.next_line_at = now + REPEAT_SECONDS
                waiting = sum(len(step.waiting) for step in steps.values())
                effects.append(self._make_line("organisation-limited", name, waiting, limited, now))
        for name, limited in list(self._limited.items()):
            if now - limited.seen_at >= RELEASE_SECONDS:
                del self._limited[name]
                effects.append(self._make_line("organisation-released", name, 0, limited, now))
        return effects

    def _list_passes(self) -> dict[OrganisationName, OrganisationPass]:
        """Return what the organisations with claims or held steps have in this pass."""
        passes: dict[OrganisationName, OrganisationPass] = {}
        for name in {*self._held, *self._claims.list_organisations()}:
            hidden = self._get_hidden(name)
            passes[name] = OrganisationPass(
                self._by_name.get(name, Organisation(name=name)),
                add(self.use.get(name), hidden),
                self._held.get(name, {}),
            )
        return passes

    def _list_runs(self) -> dict[OrganisationName, list[Run]]:
        runs: dict[OrganisationName, list[Run]] = {}
        for worker in self._workers:
            for run in worker.runs.values():
                runs.setdefault(run.organisation, []).append(run)
        return runs

    def _make_line(
        self, decision: str, name: OrganisationName, held: int, limited: _LimitedTime, now: float
    ) -> LogDecision:
        organisation = self._by_name.get(name)
        used = self.use.get(name)
        limit = Resources() if organisation is None else organisation.limit
        hidden = self._get_hidden(name)
        return LogDecision(
            decision=decision,
            fields={
                "organisation": name,
                "held_tasks": held,
                "seconds": round(now - limited.began_at, 3),
                "processors": used.processors,
                "memory": used.memory_mb,
                "accelerators": used.accelerators,
                "limit_processors": limit.processors,
                "limit_memory": limit.memory_mb,
                "limit_accelerators": limit.accelerators,
                "unknown_processors": hidden.processors,
            },
        )


def check_within_limit(submission: Submission, organisation: Organisation | None) -> None:
    """Check that each task and each gang of a submission may run under its organisation's limit.

    Handles work that could only wait: it is refused at once, with the reason.

    Raises
    ------
    InvalidArgumentError
    """
    if organisation is None:
        return
    for index, spec in enumerate(submission.steps):
        needs = compute_unit(spec)
        if not is_within(needs, organisation.limit):
            raise InvalidArgumentError(
                f"steps.{index}",
                _describe(needs),
                f"what {organisation.name} may have running: {_describe(organisation.limit)}",
            )


def compute_unit(spec: StepSpec) -> Resources:
    """Return what the smallest part of a step that starts by itself uses: a task, or a gang."""
    return add(Resources(), spec.resources, spec.count if spec.is_gang else 1)


def _is_limited(organisation: Organisation) -> bool:
    return organisation.limit != Resources()


def _describe(resources: Resources) -> str:
    return (
        f"{resources.processors} millicores, {resources.memory_mb} MB, "
        f"{resources.accelerators} accelerators"
    )


def _apply(choose: Callable[[int, int], int], one: Resources, other: Resources) -> Resources:
    return Resources(
        choose(one.processors, other.processors),
        choose(one.memory_mb, other.memory_mb),
        choose(one.accelerators, other.accelerators),
    )


def _charge(
    total: dict[OrganisationName, Resources], submission: Submission, spec: StepSpec, count: int
) -> None:
    name = submission.organisation
    total[name] = add(total.get(name, Resources()), spec.resources, count)


def _sum_unused(workers: Iterable[Worker]) -> Resources:
    """Return what workers can run besides the known runs."""
    total = Resources()
    for worker in workers:
        total = add(total, _apply(max, worker.get_unused_resources(), Resources()))
    return total
