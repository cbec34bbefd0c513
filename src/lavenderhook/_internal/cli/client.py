"""Calls to the entry instances, with failover that never repeats work.

A call goes to the next address only if it certainly had no effect (it was not sent, or the instance
said that it cannot serve) or if it is idempotent. In every other case a broken call is reported as
an unknown outcome.
"""

from __future__ import annotations

import dataclasses
import time
from collections.abc import Iterable
from typing import Any

import msgspec

from ...errors import (
    LavenderhookError,
    NotReadyError,
    OutcomeUnknownError,
    PeerUnavailableError,
    ProtocolError,
    ReportedError,
    TransportError,
)
from ..adapters.answers import OUTCOME_HEADER
from ..adapters.transport import ClientResponse, HttpClient
from .connection import ConnectionSettings

# Failures with which an instance says that it carried nothing out and another one may.
RETRYABLE_CODES = frozenset({NotReadyError.code, PeerUnavailableError.code})
JSON_HEADER = ("Content-Type", "application/json")
# A takeover of a shard takes up to 1.5 s and the start of an instance a few seconds.
RETRY_PERIOD_SECONDS = 5.0
RETRY_INTERVAL_SECONDS = 0.25


@dataclasses.dataclass(slots=True)
class _CallState:
    """A call and what became of it so far."""

    method: str
    path: str
    body: bytes
    headers: tuple[tuple[str, str], ...]
    idempotent: bool
    problems: list[str] = dataclasses.field(default_factory=list)
    uncertain: bool = False
    ended: bool = False
    answered: bool = False


class Client:
    """Calls to whichever entry instance answers.

    Parameters
    ----------
    settings : ConnectionSettings
    """

    def __init__(self, settings: ConnectionSettings) -> None:
        self._settings = settings
        headers = []
        if settings.token:
            headers.append(("Authorization", f"Bearer {settings.token}"))
        if settings.caller:
            headers.append(("lavenderhook-caller", settings.caller))
        self._http = HttpClient("client", headers=headers, size=1, timeout=settings.timeout_seconds)

    def exchange(
        self,
        method: str,
        path: str,
        body: bytes = b"",
        headers: Iterable[tuple[str, str]] = (),
        *,
        idempotent: bool,
    ) -> ClientResponse:
        """Carry out a call and return the response, whatever its status.

        While an instance answers that it cannot serve yet, such as during the takeover of a shard,
        the addresses are tried again for `RETRY_PERIOD_SECONDS`.

        Raises
        ------
        PeerUnavailableError
            If no instance could be reached; the call had no effect.
        OutcomeUnknownError
            If the call was sent and its result is not known.
        """
        call = _CallState(method, path, body, tuple(headers), idempotent)
        ends_at = time.monotonic() + RETRY_PERIOD_SECONDS
        while True:
            answer = self._try_addresses(call)
            if answer is not None:
                return answer
            if not call.answered or call.ended or time.monotonic() > ends_at:
                break
            time.sleep(RETRY_INTERVAL_SECONDS)
        problems = "; ".join(dict.fromkeys(call.problems))
        if call.uncertain:
            raise OutcomeUnknownError(f"the call may have taken effect: {problems}")
        raise PeerUnavailableError(f"no entry instance can serve: {problems}")

    def _try_addresses(self, call: _CallState) -> ClientResponse | None:
        """Return the first usable response, or None."""
        call.answered = False
        for address in self._settings.address:
            try:
                answer = self._http.call(address, call.method, call.path, call.body, call.headers)
            except TransportError as error:
                call.problems.append(f"{address}: {error}")
                call.uncertain = call.uncertain or error.sent
                call.ended = error.sent and not call.idempotent
                if call.ended:
                    return None
                continue
            if not _is_retryable_refusal(answer):
                return answer
            call.answered = True
            call.problems.append(f"{address}: {read_error(answer)}")
        return None

    def fetch(self, path: str) -> Any:
        """Return the JSON value of a path.

        Raises
        ------
        ReportedError
            If the instance refused.
        PeerUnavailableError
            If no instance gave a response.
        """
        try:
            return decode(self.exchange("GET", path, idempotent=True))
        except OutcomeUnknownError as error:
            # Reading has no effect that could be in doubt.
            raise PeerUnavailableError(f"no response: {error}") from error

    def post(self, path: str, value: object) -> Any:
        """Carry out an operation that is idempotent by the id that its body or path carries.

        Raises
        ------
        ReportedError
            If the instance refused.
        """
        body = msgspec.json.encode(value)
        return decode(self.exchange("POST", path, body, (JSON_HEADER,), idempotent=True))


def _is_retryable_refusal(answer: ClientResponse) -> bool:
    """Return whether an instance refused because it cannot serve now.

    A response with an outcome is an upstream's, whatever its body says.
    """
    if answer.status != NotReadyError.http_status or answer.get_header(OUTCOME_HEADER):
        return False
    return _read_fields(answer).get("error") in RETRYABLE_CODES


def _read_fields(answer: ClientResponse) -> dict[str, Any]:
    try:
        fields = msgspec.json.decode(answer.body)
    except msgspec.DecodeError:
        return {}
    return fields if isinstance(fields, dict) else {}


def read_error(answer: ClientResponse) -> LavenderhookError:
    """Return the failure that a response reports."""
    fields = _read_fields(answer)
    code = fields.get("error")
    if not isinstance(code, str):
        return ProtocolError(f"status {answer.status} without a typed failure")
    return ReportedError(code, str(fields.get("message", code)), fields)


def decode(answer: ClientResponse) -> Any:
    """Return the JSON value of a response.

    Raises
    ------
    ReportedError
        If the response reports a failure.
    ProtocolError
        If it is not JSON.
    """
    if answer.status != 200:
        raise read_error(answer)
    try:
        return msgspec.json.decode(answer.body)
    except msgspec.DecodeError as error:
        raise ProtocolError(f"the response is not JSON: {error}") from error
