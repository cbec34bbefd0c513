"""Steps that wait for long although capacity is free, and what keeps their tasks from starting."""

from __future__ import annotations

import collections
from collections.abc import Collection, Iterable, Iterator

from ..core.identifiers import WorkerId
from .advising import ADVICE_RETRY_SECONDS
from .effects import Effect, LogDecision
from .exclusions import ExclusionReason, find_exclusion
from .gang_workers import GangWorkers
from .log_lines import MAX_LISTED_WORKERS
from .model import StepId
from .placement import is_eligible
from .quotas import Quotas
from .step_progress import StepProgress
from .submissions import SubmissionProgress
from .workers import Worker

REVIEW_INTERVAL_SECONDS = 1.0
LONG_WAIT_SECONDS = 2.5  # longer than a retry, a renewal of tickets or a block of a worker
REPEAT_SECONDS = 5.0  # between two lines on one step
MAX_LINES_PER_REVIEW = 5
FREE_SHARE = 0.5  # of the processors of all listed workers of a service


class WaitingSteps:
    """Logs each step that waits for long beside free capacity, with the reason for each worker.

    Nothing else is logged while a step waits, so that a state that nothing ends would not show.

    Parameters
    ----------
    gang_workers : GangWorkers
    quotas : Quotas
    """

    def __init__(self, gang_workers: GangWorkers, quotas: Quotas) -> None:
        self._gang_workers = gang_workers
        self._quotas = quotas
        self._next_review_at = 0.0
        self._waits_since: dict[StepId, float] = {}  # beside free capacity
        self._next_line_at: dict[StepId, float] = {}
        self._excluded_since: dict[WorkerId, tuple[str, float]] = {}

    def review(
        self,
        submissions: Iterable[SubmissionProgress],
        workers: Collection[Worker],
        blocked_through_revision: float,
        now: float,
    ) -> list[Effect]:
        """Return the log lines of the steps that wait; does nothing within a second.

        Parameters
        ----------
        submissions : iterable of SubmissionProgress
        workers : collection of Worker
        blocked_through_revision : float
            See `Scheduler.schedule`.
        now : float
        """
        if now < self._next_review_at:
            return []
        self._next_review_at = now + REVIEW_INTERVAL_SECONDS
        self._update_exclusions(workers, now)
        services = _list_services_with_free_capacity(workers)
        waiting = {
            step.id: (entry, step)
            for entry, step in _list_waiting(submissions, now)
            if entry.submission.queue.service in services
        }
        self._waits_since = {id: self._waits_since.get(id, now) for id in waiting}
        self._next_line_at = {id: at for id, at in self._next_line_at.items() if id in waiting}
        due = [
            id
            for id, since in self._waits_since.items()
            if now - since >= LONG_WAIT_SECONDS and now >= self._next_line_at.get(id, now)
        ]
        effects: list[Effect] = []
        for id in sorted(due, key=self._waits_since.__getitem__)[:MAX_LINES_PER_REVIEW]:
            self._next_line_at[id] = now + REPEAT_SECONDS
            entry, step = waiting[id]
            is_blocked = entry.is_blocked_through(blocked_through_revision)
            effects.append(self._make_line(entry, step, workers, is_blocked, now))
        return effects

    def _update_exclusions(self, workers: Iterable[Worker], now: float) -> None:
        """Track since when each worker gets no starts of any step, and for which reason."""
        former, self._excluded_since = self._excluded_since, {}
        for worker in workers:
            reason = _find_general_reason(worker, now)
            if reason is None:
                continue
            known = former.get(worker.id)
            is_known = known is not None and known[0] == reason
            self._excluded_since[worker.id] = known if is_known and known else (reason, now)

    def _make_line(
        self,
        entry: SubmissionProgress,
        step: StepProgress,
        workers: Collection[Worker],
        is_blocked: bool,
        now: float,
    ) -> LogDecision:
        terms, spec = entry.submission.queue, step.spec
        counts: collections.Counter[str] = collections.Counter()
        listed: dict[WorkerId, str] = {}
        left_out = self._list_left_out(step, terms.service, workers, now)
        for worker in workers:
            reason = find_exclusion(
                step,
                terms.service,
                worker,
                now,
                needs_advice=terms.advice is not None,
                is_left_out=worker.id in left_out,
                is_limited=self._quotas.is_held(entry, step),
            )
            name = self._describe(reason, worker)
            counts[name] += 1
            since = self._excluded_since.get(worker.id)
            age = "" if since is None else f" {now - since[1]:.1f} s"
            if len(listed) < MAX_LISTED_WORKERS:
                listed[worker.id] = f"{name}{age}, free {worker.get_free_processors()}"
        pending_since = step.next_advice_at - ADVICE_RETRY_SECONDS
        return LogDecision(
            decision="step-waits",
            fields={
                "step": str(step.id),
                "queue": terms.name,
                "gang": spec.is_gang,
                "tasks": spec.count,
                "waiting": len(step.waiting),
                "processors": spec.resources.processors,
                "memory": spec.resources.memory_mb,
                "label": spec.placement.label,
                "seconds": round(now - self._waits_since[step.id], 1),
                "since_due": round(now - step.due_at, 1),
                "revision": entry.revision,
                "blocked": is_blocked,
                "failed_placement": now < entry.blocked_until,
                "suspicion": step.get_suspicion(step.waiting[0]).value,
                "advice_pending": round(now - pending_since, 1) if step.is_advice_pending else None,
                "allowed": len(step.allowed),
                "refused": len(step.refused),
                "planned_in": None if step.plan is None else round(step.plan.ready_at - now, 1),
                "reasons": dict(counts),
                "workers": listed,
            },
        )

    def _list_left_out(
        self, step: StepProgress, service: str, workers: Iterable[Worker], now: float
    ) -> set[WorkerId]:
        if not step.spec.is_gang:
            return set()
        eligible = [w for w in workers if w.is_schedulable(now) and is_eligible(step, service, w)]
        return self._gang_workers.list_left_out(step, eligible, now)

    def _describe(self, reason: ExclusionReason | None, worker: Worker) -> str:
        if reason is None:
            return "usable"
        known = self._excluded_since.get(worker.id)
        if reason is ExclusionReason.NOT_SCHEDULABLE and known is not None:
            return known[0]
        return reason.value


def _find_general_reason(worker: Worker, now: float) -> str | None:
    reason = worker.find_unschedulable_reason(now)
    if reason is not None:
        return reason.value
    if worker.emptied_for is not None:
        return ExclusionReason.KEPT_EMPTY.value
    if not worker.is_shared():
        return ExclusionReason.ISOLATED.value
    return ExclusionReason.ON_PROBATION.value if worker.is_on_probation else None


def _list_waiting(
    submissions: Iterable[SubmissionProgress], now: float
) -> Iterator[tuple[SubmissionProgress, StepProgress]]:
    """Yield the steps of which tasks could run and none does, or, of a service, not all do."""
    for entry in submissions:
        if entry.is_finalizing:
            continue
        for step in entry.steps.values():
            is_waiting = step.waiting and (step.spec.is_service or not step.runs)
            if is_waiting and entry.is_ready(step, now):
                yield entry, step


def _list_services_with_free_capacity(workers: Iterable[Worker]) -> set[str]:
    """Return the services of which at least half of the processors of the workers are free."""
    total: collections.Counter[str] = collections.Counter()
    free: collections.Counter[str] = collections.Counter()
    for worker in workers:
        if worker.is_listed:
            service = worker.listing.service
            total[service] += worker.listing.capacity.processors
            free[service] += worker.get_free_processors()
    return {service for service in total if 0 < FREE_SHARE * total[service] <= free[service]}
