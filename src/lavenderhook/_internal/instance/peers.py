"""Calls between the entry instances: news for the owner, questions, and work passed on."""

from __future__ import annotations

from collections.abc import Iterable
from typing import Any

import msgspec

from ...errors import LavenderhookError, ProtocolError, TransportError
from ..adapters.frontend import HttpRequest, Reply
from ..adapters.transport import HttpClient
from ..core.identifiers import WorkerId
from ..queueing.model import StepId, Submission, SubmissionId, SubmissionState, TicketId
from .submission_writer import WriteResult

PING_PATH = "/peer/ping"
NEWS_PATH = "/peer/news"
STATE_PATH = "/peer/state"
PENDING_PATH = "/peer/pending"
SUBMIT_PATH = "/peer/submit"
CANCEL_PATH = "/peer/cancel"
ADVISE_PATH = "/peer/advise"
PING_TIMEOUT_SECONDS = 0.45  # an owner on a busy machine answers in less
QUESTION_TIMEOUT_SECONDS = 0.5  # the store is asked instead afterwards
NEWS_TIMEOUT_SECONDS = 0.5  # the owner reads the store's feed anyway
CONNECTIONS_PER_PEER = 16


class WriteNotice(msgspec.Struct, frozen=True, kw_only=True):
    """Rows that a peer has just stored."""

    submissions: tuple[Submission, ...] = ()
    cancelled: tuple[SubmissionId, ...] = ()


class StateRequest(msgspec.Struct, frozen=True):
    """Question for the state of a submission."""

    submission: SubmissionId


class StateResponse(msgspec.Struct, frozen=True):
    """The state of a submission; None if the instance can't say."""

    state: SubmissionState | None


class PendingResponse(msgspec.Struct, frozen=True):
    """How many submissions of each queue have not begun; None if the instance can't say."""

    counts: dict[str, int] | None


class SubmitRequest(msgspec.Struct, frozen=True):
    """A submission to store on behalf of a peer."""

    submission: Submission
    seconds: float


class CancelRequest(msgspec.Struct, frozen=True):
    """A cancellation to store on behalf of a peer."""

    submission: SubmissionId
    seconds: float


class WriteResponse(msgspec.Struct, frozen=True):
    """What became of a write on behalf of a peer."""

    result: WriteResult


class AdviceRequest(msgspec.Struct, frozen=True):
    """A question to the advisory service on behalf of the owner."""

    step: StepId
    workers: tuple[WorkerId, ...]
    seconds: float


class AdviceResponse(msgspec.Struct, frozen=True):
    """The workers that are allowed, with their tickets; None without an answer."""

    allowed: dict[WorkerId, TicketId] | None


class PingResponse(msgspec.Struct, frozen=True):
    """Answer to a ping: which run of the process it is."""

    boot: str
    is_owner: bool


def read_message(incoming: HttpRequest, kind: type[Any]) -> Any:
    """Return the decoded body of a peer's call.

    Raises
    ------
    ProtocolError
        If it is not a message of this kind.
    """
    try:
        return msgspec.msgpack.decode(incoming.read_body(), type=kind)
    except msgspec.DecodeError as error:
        raise ProtocolError(f"malformed {kind.__name__}: {error}") from error


def reply_message(message: msgspec.Struct) -> Reply:
    """Return the reply that carries a message."""
    return Reply(body=msgspec.msgpack.encode(message))


class PeerClient:
    """Calls to peers by address."""

    def __init__(self) -> None:
        self._client = HttpClient("peer", size=CONNECTIONS_PER_PEER)

    def close(self) -> None:
        """Close all connections."""
        self._client.close()

    def ping(self, address: str) -> PingResponse:
        """Return the peer's identity."""
        return self._call(address, PING_PATH, None, PingResponse, PING_TIMEOUT_SECONDS)

    def send_write_notice(self, address: str, notice: WriteNotice) -> None:
        """Tell the owner what has been stored."""
        self._call(address, NEWS_PATH, notice, None, NEWS_TIMEOUT_SECONDS)

    def ask_state(self, address: str, submission: SubmissionId) -> SubmissionState | None:
        """Return the state of a submission as the owner sees it."""
        question = StateRequest(submission)
        answer = self._call(address, STATE_PATH, question, StateResponse, QUESTION_TIMEOUT_SECONDS)
        return answer.state

    def ask_pending(self, address: str) -> dict[str, int] | None:
        """Return the owner's counts of submissions that have not begun."""
        answer = self._call(address, PENDING_PATH, None, PendingResponse, QUESTION_TIMEOUT_SECONDS)
        return answer.counts

    def submit(self, address: str, submission: Submission, seconds: float) -> WriteResult:
        """Let a peer store a submission."""
        return self._store(address, SUBMIT_PATH, SubmitRequest(submission, seconds), seconds)

    def cancel(self, address: str, submission: SubmissionId, seconds: float) -> WriteResult:
        """Let a peer store a cancellation."""
        return self._store(address, CANCEL_PATH, CancelRequest(submission, seconds), seconds)

    def _store(
        self, address: str, path: str, request: msgspec.Struct, seconds: float
    ) -> WriteResult:
        try:
            return self._call(address, path, request, WriteResponse, seconds).result
        except TransportError as error:
            return WriteResult.UNKNOWN if error.sent else WriteResult.NOT_STORED
        except LavenderhookError:
            return WriteResult.UNKNOWN

    def advise(
        self, address: str, step: StepId, workers: Iterable[WorkerId], seconds: float
    ) -> dict[WorkerId, TicketId] | None:
        """Let a peer ask the advisory service."""
        request = AdviceRequest(step, tuple(workers), seconds)
        answer = self._call(address, ADVISE_PATH, request, AdviceResponse, seconds + 0.1)
        return answer.allowed

    def _call(
        self,
        address: str,
        path: str,
        message: msgspec.Struct | None,
        kind: type[Any] | None,
        seconds: float,
    ) -> Any:
        body = b"" if message is None else msgspec.msgpack.encode(message)
        answer = self._client.call(address, "POST", path, body, timeout=seconds)
        if answer.status != 200:
            raise ProtocolError(f"peer {address} answered {path} with {answer.status}")
        if kind is None:
            return None
        try:
            return msgspec.msgpack.decode(answer.body, type=kind)
        except msgspec.DecodeError as error:
            raise ProtocolError(f"malformed {kind.__name__} from {address}: {error}") from error
