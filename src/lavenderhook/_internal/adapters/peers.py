"""Messages between entry instances: HTTP with MessagePack bodies.

gRPC is not used: measurements showed that its calls stall in a process that is both client and
server under gevent (bench/peers.py).
"""

from __future__ import annotations

import struct
import time
from collections.abc import Callable
from typing import TypeAlias, TypeVar

import gevent
import msgspec

from ...errors import (
    LavenderhookError,
    OutcomeUnknownError,
    PeerUnavailableError,
    ProtocolError,
    TransportError,
)
from ..core.effects import (
    ForwardOperation,
    ForwardToPeer,
    PullConfiguration,
    PushConfiguration,
    RefuseCall,
    SendGrantReport,
    SendGrantUpdate,
    SendHeartbeat,
)
from ..core.events import (
    ConfigurationChange,
    ConfigurationPushFinished,
    ConfigurationReceived,
    Event,
    HeartbeatReceived,
    JobCancelRequested,
    JobSubmitted,
    PeerAnswered,
    PeerFailed,
    PeerOutcome,
    PeerUnreachable,
    QueryKind,
    QueryReceived,
    RequestHead,
)
from ..core.identifiers import (
    CallerName,
    ConfigurationVersion,
    IncarnationId,
    JobId,
    TeamName,
)
from ..core.messages import Digest, ForwardedRequest
from ..core.records import JobSpec
from ..decoding import decode_msgpack, reject_malformed
from ..ports.time import Clock
from .calls import PendingCall, PendingCalls, RelayedAnswer
from .transport import ClientResponse, HttpClient

PREFIX = "/peer/v1/"
PUSH_TIMEOUT_SECONDS = 0.5  # bounds the time until the operator gets a response
HEARTBEAT_TIMEOUT_SECONDS = 0.5  # a later heartbeat replaces a lost one
OPERATION_TIMEOUT_SECONDS = 10.0
FORWARD_GRACE_SECONDS = 0.5  # for a peer's response after the request's deadline
# After this many intervals without a heartbeat from the peer that starts the exchanges, the other
# one starts them too.
HEARTBEAT_LATE_INTERVALS = 1.5
HEARTBEAT_PATH = PREFIX + "heartbeat"
# Response to a `HeartbeatRepeat` whose content version the receiver does not have.
UNKNOWN_CONTENT_VERSION_STATUS = 409
MAX_CONTENT_VERSIONS = 4096
MAX_PULL_CHANGES = 500  # changes in one response to a pull
_T = TypeVar("_T")
_LENGTH = struct.Struct(">I")

# A peer answers these before a request reaches its core: malformed, unauthenticated, forbidden, an
# unknown message, not read in time, or too large. After any other error it may have run.
REJECTED_BEFORE_CORE_STATUSES = (400, 401, 403, 404, 408, 413)


class PeerMessage(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """Base of the messages that only adapters exchange."""


class HeartbeatMessage(PeerMessage, frozen=True, kw_only=True):
    """Base of the two forms of a heartbeat and of the reply to it.

    Parameters
    ----------
    base : int
        Version of the heartbeat's content, which excludes the sequence; counted by the sender.
    known : tuple of (IncarnationId, int) or None
        The receiver's incarnation and content version as last stored by the sender; None if there
        are none, and in replies.
    """

    base: int
    known: tuple[IncarnationId, int] | None = None


class Heartbeat(HeartbeatMessage, frozen=True, kw_only=True, tag=True):
    """A digest and the addresses that the sender knows."""

    digest: Digest
    members: dict[IncarnationId, str] = {}


class HeartbeatRepeat(HeartbeatMessage, frozen=True, kw_only=True, tag=True):
    """Repeats the unchanged content of an earlier heartbeat by its version.

    In steady state only the sequence changes, and this form takes a fraction of the bytes.
    """

    incarnation: IncarnationId
    sequence: int


AnyHeartbeat: TypeAlias = Heartbeat | HeartbeatRepeat


class ConfigurationPush(PeerMessage, frozen=True, kw_only=True, tag=True):
    """A committed change."""

    change: ConfigurationChange


class ConfigurationPull(PeerMessage, frozen=True, kw_only=True, tag=True):
    """A request for the changes after a version."""

    after: ConfigurationVersion


class ConfigurationState(PeerMessage, frozen=True, kw_only=True, tag=True):
    """The current version of the sender, and changes."""

    version: ConfigurationVersion
    changes: tuple[ConfigurationChange, ...] = ()


class ForwardedHead(PeerMessage, frozen=True, kw_only=True, tag=True):
    """A forwarded request without its body, which follows in the same message."""

    request: ForwardedRequest
    method: str
    target: str
    headers: tuple[tuple[str, str], ...]


class ForwardedAnswer(PeerMessage, frozen=True, kw_only=True, tag=True):
    """Outcome of a forwarded request; the body of a completed one follows."""

    outcome: PeerOutcome
    reason: str = ""
    status: int = 0
    headers: tuple[tuple[str, str], ...] = ()
    free_slots: int = 0


class ForwardedSubmission(PeerMessage, frozen=True, kw_only=True, tag=True):
    """A job for the owner of a shard."""

    job: JobSpec


class ForwardedCancellation(PeerMessage, frozen=True, kw_only=True, tag=True):
    """A cancellation for the owner of a shard."""

    job_id: JobId
    caller: CallerName
    team: TeamName


class ForwardedQuery(PeerMessage, frozen=True, kw_only=True, tag=True):
    """A query for the owner of a shard."""

    kind: QueryKind
    key: str
    caller: CallerName
    team: TeamName | None


AnyOperation: TypeAlias = ForwardedSubmission | ForwardedCancellation | ForwardedQuery
_HEARTBEAT_DECODER: msgspec.msgpack.Decoder[Heartbeat | HeartbeatRepeat] = msgspec.msgpack.Decoder(
    Heartbeat | HeartbeatRepeat
)
_OPERATION_DECODER: msgspec.msgpack.Decoder[AnyOperation] = msgspec.msgpack.Decoder(AnyOperation)


def encode_framed(head: PeerMessage, body: bytes) -> bytes:
    """Encode a message with a length prefix, followed by a body."""
    encoded = msgspec.msgpack.encode(head)
    return _LENGTH.pack(len(encoded)) + encoded + body


def split_framed(content: bytes) -> tuple[bytes, bytes]:
    """Split the result of `encode_framed` into the encoded message and the body.

    Raises
    ------
    ProtocolError
        If it is truncated.
    """
    if len(content) < _LENGTH.size:
        raise ProtocolError("truncated framed message")
    (length,) = _LENGTH.unpack_from(content)
    end = _LENGTH.size + length
    if len(content) < end:
        raise ProtocolError("truncated framed message")
    return content[_LENGTH.size : end], content[end:]


def build_operation(call: PendingCall) -> AnyOperation:
    """Return the message that forwards a call's operation to another instance."""
    event = call.operation
    if isinstance(event, JobSubmitted):
        return ForwardedSubmission(job=event.job)
    if isinstance(event, JobCancelRequested):
        return ForwardedCancellation(job_id=event.job_id, caller=event.caller, team=event.team)
    if isinstance(event, QueryReceived):
        return ForwardedQuery(kind=event.kind, key=event.key, caller=event.caller, team=event.team)
    raise ProtocolError("the call carries no operation")


class PeerEffects:
    """Executor of the effects on peers.

    Parameters
    ----------
    client, forwarding_client : HttpClient
        Forwarded calls use separate connections, so that they never delay heartbeats.
    clock : Clock
    calls : PendingCalls
        Holds the calls that are forwarded and receives their answers.
    emit : callable
        Queues an event.
    apply : callable
        Reduces an event in the calling greenlet.
    own : IncarnationId
        Incarnation of this instance.
    interval : float
        Seconds between heartbeats.
    """

    def __init__(
        self,
        client: HttpClient,
        forwarding_client: HttpClient,
        clock: Clock,
        calls: PendingCalls,
        emit: Callable[[Event], None],
        apply: Callable[[Event], None],
        own: IncarnationId,
        interval: float,
    ) -> None:
        self._client = client
        self._forwarding_client = forwarding_client
        self._clock = clock
        self._calls = calls
        self._emit = emit
        self._apply = apply
        self._own = own
        self._in_progress: set[tuple[str, str]] = set()
        self._interval = interval
        self._members: dict[IncarnationId, str] = {}
        self._content: tuple[Digest, dict[IncarnationId, str]] | None = None
        self._content_version = 0
        # By address: this instance's content version that the peer has, the peer's incarnation and
        # content version that this instance has, and when the last heartbeat of the peer was
        # received (monotonic seconds).
        self._acknowledged: dict[str, int] = {}
        self._known: dict[str, tuple[IncarnationId, int]] = {}
        self._received_at: dict[str, float] = {}
        self._received: dict[IncarnationId, tuple[Digest, int]] = {}

    # Heartbeats

    def send_heartbeats(self, effect: SendHeartbeat) -> None:
        """Exchange heartbeats with peers in parallel; does not block.

        One exchange informs both sides, so of two peers only the one with the lower address
        starts it; the other one does too while no heartbeat arrives in time.
        """
        digest = effect.digest
        self._members = effect.members
        self._update_content_version(digest)
        late_before = time.monotonic() - HEARTBEAT_LATE_INTERVALS * self._interval
        for address in effect.addresses:
            if address < digest.address and self._received_at.get(address, 0.0) >= late_before:
                continue
            # While a heartbeat to an unresponsive peer is in progress, another one is useless.
            if ("heartbeat", address) not in self._in_progress:
                self._in_progress.add(("heartbeat", address))
                gevent.spawn(self._send_heartbeat, address, digest)

    def _update_content_version(self, digest: Digest) -> None:
        content = (msgspec.structs.replace(digest, sequence=0), self._members)
        if content != self._content:
            self._content = content
            self._content_version += 1

    def _build_heartbeat(
        self, digest: Digest, known: tuple[IncarnationId, int] | None, *, full: bool
    ) -> bytes:
        message: AnyHeartbeat
        if full:
            members = self._members
            message = Heartbeat(
                base=self._content_version, known=known, digest=digest, members=members
            )
        else:
            message = HeartbeatRepeat(
                base=self._content_version,
                known=known,
                incarnation=digest.incarnation,
                sequence=digest.sequence,
            )
        return msgspec.msgpack.encode(message)

    def _send_heartbeat(self, address: str, digest: Digest) -> None:
        content_version = self._content_version
        known = self._known.get(address)
        try:
            full = self._acknowledged.get(address) != content_version
            response = self._post_heartbeat(address, digest, known, full=full)
            if response.status == UNKNOWN_CONTENT_VERSION_STATUS and not full:
                response = self._post_heartbeat(address, digest, known, full=True)
            _require_success(response)
            self._acknowledged[address] = content_version
            event = self._process_heartbeat(decode_heartbeat(response.body))
        except LavenderhookError:
            self._acknowledged.pop(address, None)
            self._emit(PeerUnreachable(now=self._clock.read(), address=address))
            return
        finally:
            self._in_progress.discard(("heartbeat", address))
        if event is not None:
            self._emit(event)

    def _post_heartbeat(
        self,
        address: str,
        digest: Digest,
        known: tuple[IncarnationId, int] | None,
        *,
        full: bool,
    ) -> ClientResponse:
        content = self._build_heartbeat(digest, known, full=full)
        return self._client.call(
            address, "POST", HEARTBEAT_PATH, content, (), HEARTBEAT_TIMEOUT_SECONDS
        )

    def _process_heartbeat(self, message: AnyHeartbeat) -> HeartbeatReceived | None:
        """Store the content of a heartbeat and return its event.

        Return None if the heartbeat repeats a content version that is not stored here.
        """
        members: dict[IncarnationId, str] = {}  # a repeat adds no addresses
        if isinstance(message, Heartbeat):
            digest, members = message.digest, message.members
            self._store_content_version(digest, message.base)
        else:
            found = self._received.get(message.incarnation)
            if found is None or found[1] != message.base:
                return None
            digest = msgspec.structs.replace(found[0], sequence=message.sequence)
        self._received_at[digest.address] = time.monotonic()
        return HeartbeatReceived(now=self._clock.read(), digest=digest, members=members)

    def _store_content_version(self, digest: Digest, content_version: int) -> None:
        self._received.pop(digest.incarnation, None)
        self._received[digest.incarnation] = (digest, content_version)
        self._known[digest.address] = (digest.incarnation, content_version)
        while len(self._received) > MAX_CONTENT_VERSIONS:
            evicted, _ = self._received.pop(next(iter(self._received)))
            self._known.pop(evicted.address, None)
            self._received_at.pop(evicted.address, None)
            self._acknowledged.pop(evicted.address, None)

    def answer_heartbeat(
        self, message: AnyHeartbeat, build_digest: Callable[[], Digest]
    ) -> tuple[HeartbeatReceived, bytes] | None:
        """Process a peer's heartbeat and return its event and the reply to it.

        Parameters
        ----------
        message : Heartbeat or HeartbeatRepeat
        build_digest : callable
            Returns this instance's current digest.

        Returns
        -------
        tuple or None
            None if the heartbeat repeats a content version that is not stored here.
        """
        event = self._process_heartbeat(message)
        if event is None:
            return None
        own_digest = build_digest()
        self._update_content_version(own_digest)
        # The peer needs the full content unless it has stored this version.
        full = message.known != (own_digest.incarnation, self._content_version)
        # A reply ends the exchange, so it need not say which content this instance has stored.
        return event, self._build_heartbeat(own_digest, None, full=full)

    # Grants

    def send_report(self, effect: SendGrantReport) -> None:
        """Send a grant report; the next one replaces a lost one."""
        self._post_quietly(effect.address, "grant-report", msgspec.msgpack.encode(effect.report))

    def send_update(self, effect: SendGrantUpdate) -> None:
        """Send a holder its grants; the owner repeats a lost one."""
        self._post_quietly(effect.address, "grant-update", msgspec.msgpack.encode(effect.update))

    def _post_quietly(self, address: str, kind: str, content: bytes) -> None:
        try:
            self._post(address, kind, content, HEARTBEAT_TIMEOUT_SECONDS)
        except LavenderhookError:
            self._emit(PeerUnreachable(now=self._clock.read(), address=address))

    # Configuration

    def push(self, effect: PushConfiguration) -> None:
        """Send a change to peers in parallel and report how many have applied it."""
        content = msgspec.msgpack.encode(ConfigurationPush(change=effect.change))
        pushes = [
            gevent.spawn(self._push_one, address, content, effect.change.version)
            for address in effect.addresses
        ]
        gevent.joinall(pushes, timeout=PUSH_TIMEOUT_SECONDS)
        reached = sum(1 for push in pushes if push.value)
        event = ConfigurationPushFinished(
            now=self._clock.read(),
            ticket=effect.ticket,
            version=effect.change.version,
            reached=reached,
        )
        self._emit(event)

    def _push_one(self, address: str, content: bytes, version: ConfigurationVersion) -> bool:
        try:
            response = self._post(address, "configuration-push", content, PUSH_TIMEOUT_SECONDS)
            return decode_message(response.body, ConfigurationState).version >= version
        except LavenderhookError:
            return False

    def pull(self, effect: PullConfiguration) -> None:
        """Ask a peer for changes, unless a pull from it is in progress."""
        key = ("pull", effect.address)
        if key in self._in_progress:
            return
        self._in_progress.add(key)
        try:
            content = msgspec.msgpack.encode(ConfigurationPull(after=effect.after))
            response = self._post(effect.address, "configuration-pull", content, None)
            state = decode_message(response.body, ConfigurationState)
        except LavenderhookError:
            return
        finally:
            self._in_progress.discard(key)
        event = ConfigurationReceived(
            now=self._clock.read(),
            changes=state.changes,
            complete=effect.after == 0,
            from_table=False,
            head=state.version,
        )
        self._emit(event)

    # Forwarding

    def forward_request(self, effect: ForwardToPeer) -> None:
        """Forward a request and report how the exchange ends."""
        call = self._calls.get(effect.ticket)
        if call is None or not isinstance(call.request, RequestHead):
            self._report_failure(effect, TransportError("the call has ended", sent=False))
            return
        remaining = effect.deadline - self._clock.read()
        content = encode_framed(self._build_head(call, call.request, remaining), call.body)
        try:
            response = self._post_request(
                effect.address, content, remaining + FORWARD_GRACE_SECONDS
            )
            encoded, body = split_framed(response.body)
            head = decode_message(encoded, ForwardedAnswer)
        except LavenderhookError as error:
            self._report_failure(effect, error)
            return
        if head.outcome is PeerOutcome.COMPLETED:
            call.response = ClientResponse(head.status, head.headers, body)
        event = PeerAnswered(
            now=self._clock.read(),
            ticket=effect.ticket,
            peer=effect.peer,
            outcome=head.outcome,
            status=head.status,
            reason=head.reason,
            free_slots=head.free_slots,
        )
        self._apply(event)

    def _build_head(
        self, call: PendingCall, request: RequestHead, remaining: float
    ) -> ForwardedHead:
        forwarded = ForwardedRequest(
            request_id=request.request_id,
            caller=request.caller,
            service=request.service,
            labels=request.labels,
            idempotent=request.idempotent,
            remaining_seconds=remaining,
            priority=request.priority,
            sender=self._own,
        )
        return ForwardedHead(
            request=forwarded, method=call.method, target=call.target, headers=call.headers
        )

    def _post_request(self, address: str, content: bytes, timeout: float) -> ClientResponse:
        path = PREFIX + "request"
        response = self._forwarding_client.call(address, "POST", path, content, (), timeout)
        if response.status >= 300:
            sent = response.status not in REJECTED_BEFORE_CORE_STATUSES
            raise TransportError(f"the peer answered {response.status}", sent=sent)
        return response

    def _report_failure(self, effect: ForwardToPeer, error: LavenderhookError) -> None:
        event = PeerFailed(
            now=self._clock.read(),
            ticket=effect.ticket,
            peer=effect.peer,
            sent=error.sent if isinstance(error, TransportError) else True,
            failure=error.code,
        )
        self._apply(event)

    def forward_operation(self, effect: ForwardOperation) -> None:
        """Forward a pending call to the owner of a shard and relay its response."""
        call = self._calls.get(effect.ticket)
        if call is None:
            return
        try:
            content = msgspec.msgpack.encode(build_operation(call))
            response = self._forwarding_client.call(
                effect.address, "POST", PREFIX + "operation", content, (), OPERATION_TIMEOUT_SECONDS
            )
        except TransportError as error:
            call.resolve(
                RefuseCall(ticket=effect.ticket, error=_translate_transport_error(call, error))
            )
            return
        except LavenderhookError as error:
            call.resolve(RefuseCall(ticket=effect.ticket, error=error))
            return
        call.resolve(RelayedAnswer(status=response.status, body=response.body))

    def _post(
        self, address: str, kind: str, content: bytes, timeout: float | None
    ) -> ClientResponse:
        response = self._client.call(address, "POST", PREFIX + kind, content, (), timeout)
        _require_success(response)
        return response


def _translate_transport_error(call: PendingCall, error: TransportError) -> LavenderhookError:
    """Return the error to report for a failed call to the owner of a shard.

    A query changes nothing, so the loss of its response leaves no unknown outcome.
    """
    if error.sent and not isinstance(call.operation, QueryReceived):
        return OutcomeUnknownError("the owner's response was lost; send the call again")
    return PeerUnavailableError("the owner of the shard cannot be reached")


def _require_success(response: ClientResponse) -> None:
    if response.status >= 300:
        raise ProtocolError(f"the peer answered {response.status}: {response.body[:200]!r}")


def decode_heartbeat(content: bytes) -> AnyHeartbeat:
    """Decode a heartbeat.

    Raises
    ------
    ProtocolError
        If it is malformed.
    """
    with reject_malformed("heartbeat"):
        return _HEARTBEAT_DECODER.decode(content)


def decode_operation(content: bytes) -> AnyOperation:
    """Decode a forwarded operation.

    Raises
    ------
    ProtocolError
        If it is malformed.
    """
    with reject_malformed("operation"):
        return _OPERATION_DECODER.decode(content)


def decode_message(content: bytes, message_type: type[_T]) -> _T:
    """Decode a message of a given type.

    Raises
    ------
    ProtocolError
        If it is malformed.
    """
    return decode_msgpack(content, message_type)
