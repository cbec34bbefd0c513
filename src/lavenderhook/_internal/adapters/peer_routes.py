"""Routes for messages from peers."""

from __future__ import annotations

from collections.abc import Callable

import msgspec

from ...errors import UnknownNameError
from ..core.digest import collect_digest_fields
from ..core.effects import AnswerCaller, Completed, NotRun, Outcome, Unknown, UnknownReason
from ..core.events import (
    ConfigurationReceived,
    GrantReportReceived,
    GrantUpdateReceived,
    JobCancelRequested,
    JobSubmitted,
    PeerOutcome,
    QueryReceived,
    RequestArrived,
    RequestHead,
)
from ..core.membership import build_digest
from ..core.messages import Digest, GrantReport, GrantUpdate
from .calls import Operation, PendingCalls
from .credentials import Credentials
from .frontend import HttpRequest, Reply
from .peers import (
    MAX_PULL_CHANGES,
    PREFIX,
    UNKNOWN_CONTENT_VERSION_STATUS,
    ConfigurationPull,
    ConfigurationPush,
    ConfigurationState,
    ForwardedAnswer,
    ForwardedCancellation,
    ForwardedHead,
    ForwardedSubmission,
    PeerEffects,
    PeerMessage,
    decode_heartbeat,
    decode_message,
    decode_operation,
    encode_framed,
    split_framed,
)
from .routes import Core, run_operation, wait_for_answer

MAX_HEAD_BYTES = 128 * 1024  # head of a forwarded request, in addition to the largest body
MESSAGE_HEADERS = (("Content-Type", "application/msgpack"),)


def _reply(message: msgspec.Struct) -> Reply:
    return Reply(headers=MESSAGE_HEADERS, body=msgspec.msgpack.encode(message))


class PeerRoutes:
    """Answers calls below ``/peer/v1/``.

    Parameters
    ----------
    core : Core
    calls : PendingCalls
    credentials : Credentials
    peers : PeerEffects
        Stores the heartbeats of peers.
    """

    def __init__(
        self, core: Core, calls: PendingCalls, credentials: Credentials, peers: PeerEffects
    ) -> None:
        self._core = core
        self._calls = calls
        self._credentials = credentials
        self._peers = peers
        self._handlers: dict[str, Callable[[bytes, HttpRequest], Reply]] = {
            "heartbeat": self._handle_heartbeat,
            "grant-report": self._handle_grant_report,
            "grant-update": self._handle_grant_update,
            "configuration-push": self._handle_configuration_push,
            "configuration-pull": self._handle_configuration_pull,
            "request": self._serve_request,
            "operation": self._run_operation,
        }

    def serve(self, incoming: HttpRequest) -> Reply:
        """Answer a peer's call."""
        self._credentials.require_peer(incoming)
        kind = incoming.path.removeprefix(PREFIX)
        handler = self._handlers.get(kind)
        if handler is None or incoming.method != "POST":
            raise UnknownNameError("peer message", kind)
        return handler(incoming.read_body(MAX_HEAD_BYTES), incoming)

    def _handle_heartbeat(self, content: bytes, incoming: HttpRequest) -> Reply:
        message = decode_heartbeat(content)
        answer = self._peers.answer_heartbeat(message, self._build_digest)
        if answer is None:
            return Reply(status=UNKNOWN_CONTENT_VERSION_STATUS)
        event, reply = answer
        self._core.apply(event)
        return Reply(body=reply)

    def _build_digest(self) -> Digest:
        return build_digest(self._core.state)

    def _handle_grant_report(self, content: bytes, incoming: HttpRequest) -> Reply:
        report = decode_message(content, GrantReport)
        self._core.apply(GrantReportReceived(now=self._core.now(), report=report))
        return Reply(status=204)

    def _handle_grant_update(self, content: bytes, incoming: HttpRequest) -> Reply:
        update = decode_message(content, GrantUpdate)
        self._core.apply(GrantUpdateReceived(now=self._core.now(), update=update))
        return Reply(status=204)

    def _handle_configuration_push(self, content: bytes, incoming: HttpRequest) -> Reply:
        change = decode_message(content, ConfigurationPush).change
        event = ConfigurationReceived(
            now=self._core.now(),
            changes=(change,),
            complete=False,
            from_table=False,
            head=change.version,
        )
        self._core.apply(event)
        return _reply(ConfigurationState(version=self._core.state.configuration.version))

    def _handle_configuration_pull(self, content: bytes, incoming: HttpRequest) -> Reply:
        after = decode_message(content, ConfigurationPull).after
        configuration = self._core.state.configuration
        changes = tuple(configuration.history[after : after + MAX_PULL_CHANGES])
        return _reply(ConfigurationState(version=configuration.version, changes=changes))

    def _serve_request(self, content: bytes, incoming: HttpRequest) -> Reply:
        encoded, body = split_framed(content)
        head = decode_message(encoded, ForwardedHead)
        request = head.request
        call = self._calls.add(
            method=head.method, target=head.target, headers=head.headers, body=body
        )
        call.forwarded = True
        now = self._core.now()
        arrived = RequestHead(
            ticket=call.ticket,
            request_id=request.request_id,
            caller=request.caller,
            service=request.service,
            labels=request.labels,
            idempotent=request.idempotent,
            deadline=now + request.remaining_seconds,
            priority=request.priority,
            forwarded_by=request.sender,
        )
        call.request = arrived
        try:
            self._core.apply(RequestArrived(now=now, head=arrived))
            answer = wait_for_answer(self._core, call, arrived.deadline, incoming.is_disconnected)
        finally:
            self._calls.remove(call)
        outcome: Outcome = Unknown(reason=UnknownReason.TIMEOUT)
        if isinstance(answer, AnswerCaller):
            outcome = answer.outcome
        free_slots = self._count_free_slots(request.service)
        if isinstance(outcome, Completed) and call.response is not None:
            response = call.response
            reply: PeerMessage = ForwardedAnswer(
                outcome=PeerOutcome.COMPLETED,
                status=response.status,
                headers=response.headers,
                free_slots=free_slots,
            )
            return _reply_framed(reply, response.body)
        if isinstance(outcome, NotRun):
            reply = ForwardedAnswer(
                outcome=PeerOutcome.NOT_RUN, reason=outcome.reason.value, free_slots=free_slots
            )
            return _reply_framed(reply)
        reason = outcome.reason.value if isinstance(outcome, Unknown) else ""
        reply = ForwardedAnswer(outcome=PeerOutcome.UNKNOWN, reason=reason, free_slots=free_slots)
        return _reply_framed(reply)

    def _count_free_slots(self, service: str) -> int:
        free = collect_digest_fields(self._core.state).get("free_slots", {})
        return free.get(service, 0)

    def _run_operation(self, content: bytes, incoming: HttpRequest) -> Reply:
        message = decode_operation(content)
        call = self._calls.add()
        event: Operation
        now = self._core.now()
        if isinstance(message, ForwardedSubmission):
            event = JobSubmitted(now=now, ticket=call.ticket, job=message.job, forwarded=True)
        elif isinstance(message, ForwardedCancellation):
            event = JobCancelRequested(
                now=now,
                ticket=call.ticket,
                job_id=message.job_id,
                caller=message.caller,
                team=message.team,
                forwarded=True,
            )
        else:
            event = QueryReceived(
                now=now,
                ticket=call.ticket,
                kind=message.kind,
                key=message.key,
                caller=message.caller,
                team=message.team,
                forwarded=True,
            )
        call.operation = event
        return run_operation(self._core, self._calls, call, event)


def _reply_framed(message: PeerMessage, body: bytes = b"") -> Reply:
    return Reply(headers=MESSAGE_HEADERS, body=encode_framed(message, body))
