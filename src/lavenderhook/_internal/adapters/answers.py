"""Rendering of the core's answers as HTTP replies."""

from __future__ import annotations

import base64

from ...errors import LavenderhookError
from ..core.effects import (
    AnswerCaller,
    AnswerCancellation,
    AnswerConfiguration,
    AnswerSubmission,
    AnswerView,
    Completed,
    Effect,
    NotRun,
    Outcome,
    RefuseCall,
    Unknown,
    UnknownReason,
)
from .calls import PendingCall, RelayedAnswer, StoredOutcome
from .claims import ClaimRow
from .frontend import JSON_TYPE, Reply, reply_error, reply_json
from .transport import ClientResponse
from .upstreams import REQUEST_ID_HEADER

OUTCOME_HEADER = "lavenderhook-outcome"
REPLAYED_HEADER = "lavenderhook-replayed"
# Headers that are not forwarded: hop-by-hop ones and those that each side of a connection handles
# or sets itself.
UNFORWARDED_HEADERS = frozenset(
    {
        "connection",
        "content-length",
        "date",
        "expect",
        "host",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    }
)
NOT_RUN_STATUS = 503
UNKNOWN_STATUS = 504
TIMED_OUT = Unknown(reason=UnknownReason.TIMEOUT)


def render_operation(answer: Effect | None) -> Reply:
    """Return the reply to an operator's or caller's operation."""
    if isinstance(answer, RelayedAnswer):
        headers = (("Content-Type", JSON_TYPE),)
        return Reply(status=answer.status, headers=headers, body=answer.body)
    if isinstance(answer, RefuseCall):
        return render_refusal(answer)
    if isinstance(answer, AnswerView):
        return reply_json(answer.view)
    if isinstance(answer, AnswerConfiguration):
        fields = {
            "version": answer.version,
            "change_id": answer.change_id,
            "repeated": answer.repeated,
            "confirmed_by": answer.confirmed_by,
        }
        return reply_json(fields)
    if isinstance(answer, AnswerSubmission):
        return reply_json({"job": answer.job_id, "repeated": answer.repeated})
    if isinstance(answer, AnswerCancellation):
        counts = {
            "job": answer.job_id,
            "not_run": answer.not_run,
            "stopping": answer.stopping,
            "ended": answer.ended,
        }
        return reply_json(counts)
    return reply_error(LavenderhookError("the operation returned no result"))


def render_refusal(answer: RefuseCall) -> Reply:
    """Return the reply that reports a typed failure."""
    error = answer.error
    if not isinstance(error, LavenderhookError):
        error = LavenderhookError("the call failed")
    return reply_error(error)


def render_request(call: PendingCall, request_id: str) -> Reply:
    """Return the reply to a request to a service."""
    if isinstance(call.answer, RefuseCall):
        return render_refusal(call.answer)
    outcome: Outcome = TIMED_OUT
    if isinstance(call.answer, AnswerCaller):
        outcome = call.answer.outcome
    if isinstance(outcome, NotRun):
        return _render_not_run(outcome.reason.value, request_id)
    if isinstance(outcome, Unknown):
        return _render_unknown(outcome.reason.value, request_id)
    if isinstance(outcome, Completed) and call.response is not None:
        return _render_response(call.response, request_id)
    if call.stored_outcome is not None:
        return _render_stored(call.stored_outcome, request_id)
    return _render_unknown(UnknownReason.CONNECTION_LOST.value, request_id)


def _render_not_run(reason: str, request_id: str) -> Reply:
    return _render_outcome("not-run", reason, NOT_RUN_STATUS, request_id)


def _render_unknown(reason: str, request_id: str) -> Reply:
    return _render_outcome("unknown", reason, UNKNOWN_STATUS, request_id)


def _render_outcome(outcome: str, reason: str, status: int, request_id: str) -> Reply:
    fields = {"outcome": outcome, "reason": reason, "request": request_id}
    headers = ((OUTCOME_HEADER, outcome), (REQUEST_ID_HEADER, request_id))
    return reply_json(fields, status, headers)


def _render_response(response: ClientResponse, request_id: str, *extra: tuple[str, str]) -> Reply:
    headers = [
        (name, value)
        for name, value in response.headers
        if name not in UNFORWARDED_HEADERS and name not in (REQUEST_ID_HEADER, OUTCOME_HEADER)
    ]
    headers.extend(((OUTCOME_HEADER, "completed"), (REQUEST_ID_HEADER, request_id), *extra))
    return Reply(status=response.status, headers=tuple(headers), body=response.body)


def _render_stored(stored: StoredOutcome, request_id: str) -> Reply:
    if stored.kind == "not-run":
        return _render_not_run(stored.reason, request_id)
    if stored.kind == "unknown":
        return _render_unknown(stored.reason, request_id)
    if not stored.kept:
        fields = {"outcome": "completed", "status": stored.status, "kept": False}
        headers = ((OUTCOME_HEADER, "completed"), (REQUEST_ID_HEADER, request_id))
        return reply_json({**fields, "request": request_id}, 200, headers)
    response = ClientResponse(stored.status, stored.headers, stored.body)
    return _render_response(response, request_id, (REPLAYED_HEADER, "1"))


def render_claim(request_id: str, row: ClaimRow) -> Reply:
    """Return the reply to a query for the outcome of a request."""
    fields: dict[str, object] = {"request": request_id, "claimed_at": row.at}
    stored = row.outcome
    if stored is None:
        return reply_json({**fields, "outcome": "in-progress"})
    fields.update(outcome=stored.kind)
    if stored.kind != "completed":
        return reply_json({**fields, "reason": stored.reason})
    fields.update(status=stored.status, kept=stored.kept)
    if stored.kept:
        fields.update(headers=stored.headers, body=base64.b64encode(stored.body).decode())
    return reply_json(fields)
