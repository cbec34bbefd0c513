"""Which workers to name in calls to the advisory service, and when."""

from __future__ import annotations

from collections.abc import Iterable, Sequence

from .effects import Effect, RequestAdvice
from .events import AdviceArrived
from .placement import choose_gang_workers, count_fitting, count_in_empty
from .submissions import TICKET_MARGIN_SECONDS, StepProgress, SubmissionProgress, Ticket
from .workers import Worker

MAX_WORKERS_PER_CALL = 100  # workers named in a call: the service takes no more
# workers named in a call: so many add little to the fixed part of its duration
MIN_WORKERS_PER_CALL = 8
FIRST_ALLOWED_SHARE = 0.5  # of the workers named, before any answer for a queue
MIN_ALLOWED_SHARE = 0.1  # bounds the number named after answers that allowed none
SHARE_WEIGHT = 0.2  # of the newest answer in the share that is learnt
GANG_SPREAD = 1.5  # workers named for each member of a gang, beyond the share that is allowed
KNOWN_ROOM = 2.0  # gangs that the workers known as allowed hold if empty, before asking for more
TICKET_LEAD_SECONDS = 1.2  # before a gang's turn by which its tickets are renewed: a heavy call
ADVICE_RETRY_SECONDS = 0.3  # before asking again for a step that found no worker with room


class AdvicePlanner:
    """Asks for advice for the steps of one owner, and learns how much is allowed."""

    def __init__(self) -> None:
        self._allowed_shares: dict[str, float] = {}  # by queue, of the workers named

    def record_advice(
        self, entry: SubmissionProgress, step: StepProgress, event: AdviceArrived
    ) -> None:
        """Keep the tickets of a step."""
        step.is_advice_pending = False
        if event.allowed is None:
            step.next_advice_at = event.now + ADVICE_RETRY_SECONDS
            return
        queue = entry.submission.queue.name
        share = len(event.allowed) / max(1, len(event.asked))
        known = self._allowed_shares.get(queue, FIRST_ALLOWED_SHARE)
        self._allowed_shares[queue] = known + (share - known) * SHARE_WEIGHT
        terms = entry.submission.queue.advice
        validity = terms.validity_seconds if terms is not None else 0.0
        for worker_id in event.asked:
            ticket = event.allowed.get(worker_id)
            if ticket is None:
                step.refused.add(worker_id)
            else:
                expires = event.now + validity - TICKET_MARGIN_SECONDS
                step.allowed[worker_id] = Ticket(ticket, expires)

    def _count_advised(self, entry: SubmissionProgress, step: StepProgress) -> int:
        """Return how many workers to name in a call for advice.

        Each adds to its duration, and a share of them, which is learnt by queue, is allowed.
        Members of a gang have to find room at one time, so that there must be more to choose from.
        """
        share = self._allowed_shares.get(entry.submission.queue.name, FIRST_ALLOWED_SHARE)
        spread = GANG_SPREAD if step.spec.is_gang else 1.0
        wanted = int(len(step.waiting) * spread / max(share, MIN_ALLOWED_SHARE)) + 1
        return max(MIN_WORKERS_PER_CALL, min(wanted, MAX_WORKERS_PER_CALL))

    def request_advice(
        self,
        entry: SubmissionProgress,
        step: StepProgress,
        eligible: Iterable[Worker],
        now: float,
    ) -> list[Effect]:
        """Ask which workers may run a step: those with room first, then tickets that ended."""
        if step.is_advice_pending or now < step.next_advice_at:
            return []
        terms = entry.submission.queue.advice
        if terms is None:
            return []
        eligible = list(eligible)
        fitting = [w for w in eligible if count_fitting(step.spec, w) > 0]
        if step.spec.is_gang:
            named = self._name_for_gang(entry, step, eligible, fitting, now)
        else:
            named = [w for w in fitting if w.id not in step.allowed]
            named.sort(key=Worker.free_processors, reverse=True)
            expired = [w for w in fitting if has_expired(step, w, now)]
            most = self._count_advised(entry, step)
            named = (expired[:most] + named)[:most]
        if not named:
            return []
        step.is_advice_pending = True
        step.next_advice_at = now + ADVICE_RETRY_SECONDS
        return [
            RequestAdvice(
                step=step.id,
                workers=tuple(worker.id for worker in named),
                expected_seconds=terms.decision_seconds + terms.seconds_per_worker * len(named),
            )
        ]

    def _name_for_gang(
        self,
        entry: SubmissionProgress,
        step: StepProgress,
        eligible: Sequence[Worker],
        fitting: Sequence[Worker],
        now: float,
    ) -> list[Worker]:
        """Return the workers to name in a call for a gang.

        Answers heavy calls that each take up to a second: enough workers for the gang are found
        by one call, whether they have room now or not, and tickets are renewed shortly before
        the gang's turn instead of after it has come. They are renewed together, since all members
        need theirs at the same time and those of several calls end one after another.
        """
        spec, plan = step.spec, step.plan
        named: list[Worker] = []
        lead = now + TICKET_LEAD_SECONDS
        unasked = [w for w in eligible if w.id not in step.allowed]
        unasked.sort(key=Worker.free_processors, reverse=True)
        fits_now = choose_gang_workers(spec, fitting) is not None
        if fits_now:
            named += [w for w in fitting if w.id in step.allowed]
        elif plan is not None and plan.ready_at < lead:
            named += [w for w in eligible if w.id in plan.members]
        if not any(has_expired(step, w, lead) for w in named):
            named.clear()
        if fits_now:
            named += [w for w in unasked if count_fitting(spec, w) > 0]
        known = sum(count_in_empty(spec, w) for w in eligible if w.id in step.allowed)
        if known < KNOWN_ROOM * spec.count:
            chosen = set(map(id, named))
            named += [w for w in unasked if id(w) not in chosen]
        return named[: self._count_advised(entry, step)]


def has_expired(step: StepProgress, worker: Worker, now: float) -> bool:
    """Return whether a worker is allowed and its ticket doesn't hold any more."""
    ticket = step.allowed.get(worker.id)
    return ticket is not None and ticket.expires_at <= now
