"""Claims of non-idempotent requests.

A claim row in the table ensures that a request id runs at most once, whichever instance receives
it. The instance that received the request from the caller claims it, dispatches or forwards it only
after it has got the claim, and records the outcome along with the answer. When the request
certainly did not run, the claim is released, so that the caller can send the same id again.
"""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

from .effects import (
    ClaimRequest,
    CountMetric,
    Effect,
    NotRun,
    NotRunReason,
    Outcome,
    RecordOutcome,
    ReleaseClaim,
    Stored,
    Unknown,
    UnknownReason,
)
from .events import ClaimState, OutcomeRecorded, RequestHead, Ticket

if TYPE_CHECKING:
    from .state import InstanceState


@dataclasses.dataclass(slots=True)
class ClaimsState:
    """Claims by ticket.

    Parameters
    ----------
    pending : dict of Ticket to RequestHead
        Claims whose result is not known yet. An entry outlives the answer to its caller, since
        the row may still be written and must then be released.
    owned : set of Ticket
        Requests whose claim this instance has got.
    """

    pending: dict[Ticket, RequestHead] = dataclasses.field(default_factory=dict)
    owned: set[Ticket] = dataclasses.field(default_factory=set)


def needs_claim(head: RequestHead) -> bool:
    """Return whether this instance must claim the request before it is dispatched."""
    return not head.idempotent and head.forwarded_by is None


def build_claim_id(state: InstanceState, ticket: Ticket) -> str:
    """Return the claim id of a ticket; a process does not reuse tickets."""
    return f"{state.incarnation}/{ticket}"


def begin_claim(state: InstanceState, head: RequestHead) -> Effect:
    """Start the claim of a request."""
    state.claims.pending[head.ticket] = head
    return ClaimRequest(
        ticket=head.ticket,
        claim_id=build_claim_id(state, head.ticket),
        caller=head.caller,
        request_id=head.request_id,
        deadline=head.deadline,
    )


def resolve_claim(state: InstanceState, ticket: Ticket, result: ClaimState) -> RequestHead | None:
    """Record the result of a claim; return the request's head, or None if it is not pending."""
    head = state.claims.pending.pop(ticket, None)
    if head is not None and result is ClaimState.CLAIMED:
        state.claims.owned.add(ticket)
    return head


def get_unclaimed_outcome(result: ClaimState) -> Outcome:
    """Return the outcome for a claim result other than CLAIMED."""
    if result is ClaimState.RECORDED:
        return Stored()
    if result is ClaimState.IN_PROGRESS:
        return Unknown(reason=UnknownReason.IN_PROGRESS)
    if result is ClaimState.DIFFERENT:
        return NotRun(reason=NotRunReason.REQUEST_ID_REUSED)
    return NotRun(reason=NotRunReason.STORE_UNAVAILABLE)


def may_have_run_before(state: InstanceState, head: RequestHead, outcome: NotRun) -> bool:
    """Return whether an earlier send of the same request id may have run.

    Only the claim row shows this, and a send that finishes before its claim is decided has not
    read the row. The model in `model/` has a counterexample to "not run" in that case, in which an
    earlier send was executed.
    """
    if not needs_claim(head) or head.first_send or head.ticket in state.claims.owned:
        return False
    return outcome.reason is not NotRunReason.REQUEST_ID_REUSED


def finish_claim(state: InstanceState, head: RequestHead, outcome: Outcome) -> list[Effect]:
    """Record the outcome of a claimed request, or release the claim if it did not run.

    Returns
    -------
    list of Effect
        Empty if this instance has no claim on the request.
    """
    if head.ticket not in state.claims.owned:
        return []
    state.claims.owned.discard(head.ticket)
    claim_id = build_claim_id(state, head.ticket)
    if isinstance(outcome, NotRun):
        return [ReleaseClaim(claim_id=claim_id, caller=head.caller, request_id=head.request_id)]
    return [
        RecordOutcome(
            ticket=head.ticket,
            claim_id=claim_id,
            caller=head.caller,
            request_id=head.request_id,
            outcome=outcome,
        )
    ]


def handle_recorded(state: InstanceState, event: OutcomeRecorded) -> list[Effect]:
    """Count outcomes that could not be stored; their request ids stay in progress."""
    if event.durable:
        return []
    return [CountMetric(name="outcomes_not_recorded_total")]


HANDLERS = {OutcomeRecorded: handle_recorded}
