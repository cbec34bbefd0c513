"""Calls between entry instances: write notices to the owner, queries, and forwarded calls."""

from __future__ import annotations

from collections.abc import Iterable
from typing import Any

import msgspec

from ...errors import LavenderhookError, ProtocolError, TransportError
from ..adapters.frontend import HttpRequest, Reply
from ..adapters.transport import HttpClient
from ..core.identifiers import WorkerId
from ..decoding import decode_msgpack
from ..ports.transfers import Transfer
from ..queueing.backlog import Backlog
from ..queueing.model import (
    FencingToken,
    StepId,
    Submission,
    SubmissionId,
    SubmissionState,
    TicketId,
)
from .content_encoding import ContentEncoding, decode_content
from .ownership import StoreContact
from .submission_writer import WriteResult

PING_PATH = "/peer/ping"
WRITE_NOTICE_PATH = "/peer/news"
STATE_PATH = "/peer/state"
PENDING_PATH = "/peer/pending"
SUBMIT_PATH = "/peer/submit"
CANCEL_PATH = "/peer/cancel"
ADVISE_PATH = "/peer/advise"
HAND_OVER_PATH = "/peer/hand-over"
CONTACT_PATH = "/peer/store-contact"
CONFIGURATION_STATUS_PATH = "/peer/configuration-status"
CONFIGURATION_PATH = "/peer/configuration"
CONFIGURATION_STATUS_TIMEOUT_SECONDS = 0.4  # the next peers are asked soon after
CONFIGURATION_TIMEOUT_SECONDS = 1.0  # until the first bytes arrive
CONTACT_TIMEOUT_SECONDS = 0.4  # the peer reads from the store for up to 0.25 s
HAND_OVER_TIMEOUT_SECONDS = 0.3  # without a response, peers notice the missing heartbeat
PING_TIMEOUT_SECONDS = 0.45  # an owner on a busy machine responds sooner
QUERY_TIMEOUT_SECONDS = 0.5  # afterwards, a state is read from the store instead
WRITE_NOTICE_TIMEOUT_SECONDS = 0.5  # the owner reads the store's change feed anyway
CONNECTIONS_PER_PEER = 16


class WriteNotice(msgspec.Struct, frozen=True, kw_only=True):
    """Rows that a peer has just stored, or found stored.

    Parameters
    ----------
    revisions : dict
        Those of the submissions' rows, as far as the peer knows them.
    """

    submissions: tuple[Submission, ...] = ()
    revisions: dict[SubmissionId, int] = {}
    cancelled: tuple[SubmissionId, ...] = ()


class StateRequest(msgspec.Struct, frozen=True):
    """A query for the state of a submission."""

    submission: SubmissionId


class StateResponse(msgspec.Struct, frozen=True):
    """The state of a submission; None if the instance does not know it.

    Parameters
    ----------
    is_loaded : bool
        The instance is the owner and has read what is stored; False if it does not say.
    """

    state: SubmissionState | None
    is_loaded: bool = False


class PendingResponse(msgspec.Struct, frozen=True):
    """How many submissions of each queue have not begun; None if the instance does not know."""

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
    """The result of a write on behalf of a peer."""

    result: WriteResult


class AdviceRequest(msgspec.Struct, frozen=True):
    """A call to the advisory service on behalf of the owner."""

    step: StepId
    workers: tuple[WorkerId, ...]
    seconds: float


class AdviceResponse(msgspec.Struct, frozen=True):
    """The workers that are allowed, with their tickets; None without a response."""

    allowed: dict[WorkerId, TicketId] | None


class PingResponse(msgspec.Struct, frozen=True):
    """Response to a ping.

    Parameters
    ----------
    boot : str
        Claim id of the instance.
    configuration : int
        Version of its active configuration; 0 if it has none or does not say.
    fencing : FencingToken or None
        Token of the newest owner that it knows; None if it has read no owner row in this life of
        its process, or does not say.
    process : str
        The `boot` of the member row that the process writes; empty if it does not say.
    is_leaving : bool
        It is about to stop, and its row may say so.
    """

    boot: str
    is_owner: bool
    configuration: int = 0
    fencing: FencingToken | None = None
    process: str = ""
    is_leaving: bool = False


class ConfigurationStatus(msgspec.Struct, frozen=True):
    """Which configuration an instance uses.

    Parameters
    ----------
    version : int
        0 if it has none.
    age_seconds : float
        How long ago this version was known to be the newest.
    """

    version: int
    age_seconds: float


class ConfigurationRequest(msgspec.Struct, frozen=True):
    """A query for the configuration that an instance uses.

    Parameters
    ----------
    encodings : tuple of str
        Values of `ContentEncoding` that the caller decodes, in order of preference. Earlier builds
        send no message and decode the plain form only.
    """

    encodings: tuple[str, ...] = ()


class ConfigurationContent(msgspec.Struct, frozen=True):
    """The configuration that an instance uses, as the operator wrote it.

    Parameters
    ----------
    content : bytes
    encoding : ContentEncoding
        Form of `content`.
    """

    content: bytes
    encoding: ContentEncoding = ContentEncoding.PLAIN


class HandOverNotice(msgspec.Struct, frozen=True):
    """An owner has resigned and sends no more commands; the recipient may have to take over."""

    fencing: FencingToken
    is_designated: bool


def read_message(incoming: HttpRequest, message_type: type[Any]) -> Any:
    """Return the decoded body of a peer's call.

    Raises
    ------
    ProtocolError
        If it is not a message of this type.
    """
    return decode_msgpack(incoming.read_body(), message_type)


def read_configuration_request(incoming: HttpRequest) -> ConfigurationRequest:
    """Return the query of a peer, which has no body if the peer is of an earlier build.

    Raises
    ------
    ProtocolError
    """
    body = incoming.read_body()
    return decode_msgpack(body, ConfigurationRequest) if body else ConfigurationRequest()


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

    def request_store_contact(self, address: str) -> StoreContact:
        """Return how the peer reaches the store."""
        return self._call(address, CONTACT_PATH, None, StoreContact, CONTACT_TIMEOUT_SECONDS)

    def request_configuration_status(self, address: str) -> ConfigurationStatus:
        """Return the version that the peer uses."""
        return self._call(
            address,
            CONFIGURATION_STATUS_PATH,
            None,
            ConfigurationStatus,
            CONFIGURATION_STATUS_TIMEOUT_SECONDS,
        )

    def request_configuration(self, address: str, transfer: Transfer) -> bytes:
        """Return the content of the configuration that the peer uses.

        `transfer` records what arrives of it.
        """
        response = self._call(
            address,
            CONFIGURATION_PATH,
            ConfigurationRequest((ContentEncoding.ZLIB.value,)),
            ConfigurationContent,
            CONFIGURATION_TIMEOUT_SECONDS,
            transfer,
        )
        return decode_content(response.content, response.encoding)

    def send_hand_over(self, address: str, notice: HandOverNotice) -> None:
        """Tell a peer that the owner has resigned."""
        self._call(address, HAND_OVER_PATH, notice, None, HAND_OVER_TIMEOUT_SECONDS)

    def send_write_notice(self, address: str, notice: WriteNotice) -> Backlog:
        """Notify the owner of rows that have been stored, and return what waits there."""
        body = self._exchange(address, WRITE_NOTICE_PATH, notice, WRITE_NOTICE_TIMEOUT_SECONDS)
        return decode_msgpack(body, Backlog) if body else Backlog()

    def request_state(self, address: str, submission: SubmissionId) -> StateResponse:
        """Return what the owner knows of a submission."""
        request = StateRequest(submission)
        return self._call(address, STATE_PATH, request, StateResponse, QUERY_TIMEOUT_SECONDS)

    def request_pending_counts(self, address: str) -> dict[str, int] | None:
        """Return how many submissions of each queue have not begun; None if unknown."""
        response = self._call(address, PENDING_PATH, None, PendingResponse, QUERY_TIMEOUT_SECONDS)
        return response.counts

    def submit(self, address: str, submission: Submission, seconds: float) -> WriteResult:
        """Store a submission through a peer."""
        return self._request_write(
            address, SUBMIT_PATH, SubmitRequest(submission, seconds), seconds
        )

    def cancel(self, address: str, submission: SubmissionId, seconds: float) -> WriteResult:
        """Store a cancellation through a peer."""
        return self._request_write(
            address, CANCEL_PATH, CancelRequest(submission, seconds), seconds
        )

    def _request_write(
        self, address: str, path: str, request: msgspec.Struct, seconds: float
    ) -> WriteResult:
        try:
            return self._call(address, path, request, WriteResponse, seconds).result
        except TransportError as error:
            return WriteResult.UNKNOWN if error.sent else WriteResult.NOT_STORED
        except LavenderhookError:
            return WriteResult.UNKNOWN

    def request_advice(
        self, address: str, step: StepId, workers: Iterable[WorkerId], seconds: float
    ) -> dict[WorkerId, TicketId] | None:
        """Call the advisory service through a peer."""
        request = AdviceRequest(step, tuple(workers), seconds)
        response = self._call(address, ADVISE_PATH, request, AdviceResponse, seconds + 0.1)
        return response.allowed

    def _call(
        self,
        address: str,
        path: str,
        message: msgspec.Struct | None,
        message_type: type[Any] | None,
        seconds: float,
        transfer: Transfer | None = None,
    ) -> Any:
        body = self._exchange(address, path, message, seconds, transfer)
        return None if message_type is None else decode_msgpack(body, message_type)

    def _exchange(
        self,
        address: str,
        path: str,
        message: msgspec.Struct | None,
        seconds: float,
        transfer: Transfer | None = None,
    ) -> bytes:
        """Return the body of the response to a call."""
        body = b"" if message is None else msgspec.msgpack.encode(message)
        response = self._client.call(
            address, "POST", path, body, timeout=seconds, transfer=transfer
        )
        if response.status != 200:
            raise ProtocolError(f"peer {address} answered {path} with {response.status}")
        return response.body
