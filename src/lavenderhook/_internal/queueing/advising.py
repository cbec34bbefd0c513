"""Calls to the advisory service: when to send one and which workers to name in it."""

from __future__ import annotations

from collections.abc import Callable, Container, Iterable, Sequence

from ..core.identifiers import WorkerId
from .effects import Effect, RequestAdvice
from .events import AdviceArrived
from .placement import (
    choose_gang_workers,
    count_fitting,
    count_fitting_if_empty,
    is_available,
)
from .step_progress import TICKET_MARGIN_SECONDS, StepProgress, Ticket
from .submissions import SubmissionProgress
from .workers import Worker

MAX_WORKERS_PER_CALL = 100  # the advisory service accepts no more
MIN_WORKERS_PER_CALL = 8  # adds little to the fixed part of a call's duration
INITIAL_ALLOWED_SHARE = 0.5  # of the workers named, before the first response for a queue
MIN_ALLOWED_SHARE = 0.1  # bounds the number of workers named after responses that allowed none
ALLOWED_SHARE_SMOOTHING = 0.2  # weight of the newest response in the moving average
GANG_CANDIDATES_PER_MEMBER = 1.5  # workers named for each member, divided by the allowed share
# More workers are named until the allowed ones, if empty, hold this many gangs.
TARGET_ALLOWED_GANGS = 2.0
TICKET_RENEWAL_LEAD_SECONDS = 1.2  # before a gang's turn; covers the duration of a heavy call
ADVICE_RETRY_SECONDS = 0.3  # between calls for a step that finds no worker with free capacity


class AdvicePlanner:
    """Requests advice for the steps of one owner and tracks the share of allowed workers."""

    def __init__(self) -> None:
        self._allowed_shares: dict[str, float] = {}  # by queue, of the workers named

    def record_advice(
        self, entry: SubmissionProgress, step: StepProgress, event: AdviceArrived
    ) -> None:
        """Record the tickets of a step and update the allowed share of its queue."""
        step.is_advice_pending = False
        if event.allowed is None:
            step.next_advice_at = event.now + ADVICE_RETRY_SECONDS
            return
        self._update_allowed_share(entry.submission.queue.name, step, event.asked, event.allowed)
        terms = entry.submission.queue.advice
        validity = terms.validity_seconds if terms is not None else 0.0
        for worker_id in event.asked:
            ticket = event.allowed.get(worker_id)
            if ticket is None:
                step.refused.add(worker_id)
            else:
                expires = event.now + validity - TICKET_MARGIN_SECONDS
                incarnation = step.asked.get(worker_id, 0)
                step.allowed[worker_id] = Ticket(ticket, expires, incarnation)

    def _update_allowed_share(
        self,
        queue: str,
        step: StepProgress,
        asked: Iterable[WorkerId],
        allowed: Container[WorkerId],
    ) -> None:
        """Update the moving average; renewals don't count, as these workers are always allowed."""
        new = [worker_id for worker_id in asked if worker_id not in step.allowed]
        if not new:
            return
        share = sum(worker_id in allowed for worker_id in new) / len(new)
        previous = self._allowed_shares.get(queue, INITIAL_ALLOWED_SHARE)
        self._allowed_shares[queue] = previous + (share - previous) * ALLOWED_SHARE_SMOOTHING

    def _compute_call_size(self, entry: SubmissionProgress, step: StepProgress) -> int:
        """Return how many workers to name in a call for advice.

        Each worker adds to the duration of the call; the share that is allowed is estimated for
        each queue from earlier responses. Members of a gang need free capacity at the same time,
        so more workers are named for them.
        """
        share = self._allowed_shares.get(entry.submission.queue.name, INITIAL_ALLOWED_SHARE)
        candidates_per_task = GANG_CANDIDATES_PER_MEMBER if step.spec.is_gang else 1.0
        wanted = int(len(step.waiting) * candidates_per_task / max(share, MIN_ALLOWED_SHARE)) + 1
        return max(MIN_WORKERS_PER_CALL, min(wanted, MAX_WORKERS_PER_CALL))

    def request_advice(
        self,
        entry: SubmissionProgress,
        step: StepProgress,
        eligible: Iterable[Worker],
        rank: tuple[float, ...],
        ends_at: float,
        now: float,
        compute_penalty: Callable[[Worker], int] = lambda worker: 0,
    ) -> list[Effect]:
        """Request advice for a step; without a gang, expired tickets come before new workers.

        Handles gangs that wait for their turn beside steps that could start: the service can't do
        all calls, and those that lead to a start now come first, whatever the rank of their steps.

        Parameters
        ----------
        entry : SubmissionProgress
        step : StepProgress
        eligible : iterable of Worker
            Those that may run the step, with or without free capacity.
        rank : tuple of float
            Of the step.
        ends_at : float
            By which a task of the step counts as ended where capacity is reserved.
        now : float
        compute_penalty : callable
            See `PlacementPolicy.compute_penalty`; the workers with the lowest are named first.
        """
        if step.is_advice_pending or now < step.next_advice_at:
            return []
        terms = entry.submission.queue.advice
        if terms is None:
            return []
        eligible = list(eligible)

        def order(worker: Worker) -> tuple[int, int]:
            return (compute_penalty(worker), -worker.get_free_processors())

        fits_now = True
        if step.spec.is_gang:
            fitting = [w for w in eligible if count_fitting(step.spec, w, ends_at) > 0]
            fits_now = choose_gang_workers(step.spec, fitting, ends_at) is not None
            gang_fitting = fitting if fits_now else ()
            named = self._choose_for_gang(entry, step, eligible, gang_fitting, order, now)
        else:
            fitting = [w for w in eligible if is_available(step, w, ends_at)]
            named = sorted((w for w in fitting if w.id not in step.allowed), key=order)
            expired = [w for w in fitting if has_expired_ticket(step, w, now)]
            max_workers = self._compute_call_size(entry, step)
            named = (expired[:max_workers] + named)[:max_workers]
        if not named:
            return []
        step.is_advice_pending = True
        step.asked = {worker.id: worker.incarnation for worker in named}
        step.next_advice_at = now + ADVICE_RETRY_SECONDS
        return [
            RequestAdvice(
                step=step.id,
                workers=tuple(worker.id for worker in named),
                expected_seconds=terms.decision_seconds + terms.seconds_per_worker * len(named),
                rank=(not fits_now, *rank),
            )
        ]

    def _choose_for_gang(
        self,
        entry: SubmissionProgress,
        step: StepProgress,
        eligible: Sequence[Worker],
        fitting: Sequence[Worker],
        order: Callable[[Worker], tuple[int, int]],
        now: float,
    ) -> list[Worker]:
        """Return the workers to name in a call for a gang; none is `fitting` if it doesn't fit now.

        Handles heavy calls that each take up to a second: one call names enough workers for the
        gang, with or without free capacity now, and tickets are renewed shortly before the gang's
        turn instead of after it. They are renewed together, since all members need valid tickets
        at the same time and those of several calls expire one after another.
        """
        spec, plan = step.spec, step.plan
        named: list[Worker] = []
        renewal_limit = now + TICKET_RENEWAL_LEAD_SECONDS
        unasked = sorted((w for w in eligible if w.id not in step.allowed), key=order)
        if fitting:
            named += [w for w in fitting if w.id in step.allowed]
        elif plan is not None and plan.ready_at < renewal_limit:
            named += [w for w in eligible if w.id in plan.members]
        if not any(has_expired_ticket(step, w, renewal_limit) for w in named):
            named.clear()
        # A gang on more workers than a call names needs several calls before the first expires.
        named.sort(
            key=lambda w: (step.allowed[w.id].is_valid(w, now), step.allowed[w.id].expires_at)
        )
        if fitting:
            ids = {w.id for w in fitting}
            named += [w for w in unasked if w.id in ids]
        allowed_count = sum(
            count_fitting_if_empty(spec, w) for w in eligible if w.id in step.allowed
        )
        if allowed_count < TARGET_ALLOWED_GANGS * spec.count:
            chosen = set(map(id, named))
            named += [w for w in unasked if id(w) not in chosen]
        return named[: self._compute_call_size(entry, step)]


def has_expired_ticket(step: StepProgress, worker: Worker, now: float) -> bool:
    """Return whether a worker is allowed but its ticket has expired."""
    ticket = step.allowed.get(worker.id)
    return ticket is not None and not ticket.is_valid(worker, now)
