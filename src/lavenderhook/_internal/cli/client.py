"""HTTP client of the entry instances, with failover that repeats a call only if that is safe.

A failed call is sent to the next address only if it certainly had no effect (it was not sent, or
the instance responded that it cannot serve) or if it is idempotent. Any other failed call is
reported as an unknown outcome.
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
from ..decoding import decode_any_json
from .connection import ConnectionSettings

# Error codes of an instance that did not execute the call; another instance may be able to.
RETRYABLE_CODES = frozenset({NotReadyError.code, PeerUnavailableError.code})
JSON_HEADER = ("Content-Type", "application/json")
# A takeover of a shard takes up to 1.5 s and the start of an instance a few seconds.
RETRY_PERIOD_SECONDS = 5.0
RETRY_INTERVAL_SECONDS = 0.25


@dataclasses.dataclass(slots=True)
class _CallState:
    """A call and the result of its attempts so far."""

    method: str
    path: str
    body: bytes
    headers: tuple[tuple[str, str], ...]
    idempotent: bool
    problems: list[str] = dataclasses.field(default_factory=list)
    is_outcome_unknown: bool = False
    is_repeat_unsafe: bool = False
    was_refused: bool = False


class Client:
    """Client that sends each call to the first entry instance that can serve it.

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
        """Send a call and return the response, whatever its status.

        While an instance responds that it cannot serve yet, such as during the takeover of a shard,
        all addresses are retried for `RETRY_PERIOD_SECONDS`.

        Raises
        ------
        PeerUnavailableError
            If no instance could be reached or could serve the call; the call had no effect.
        OutcomeUnknownError
            If the call was sent and its result is not known.
        """
        call = _CallState(method, path, body, tuple(headers), idempotent)
        deadline = time.monotonic() + RETRY_PERIOD_SECONDS
        while True:
            response = self._try_all_addresses(call)
            if response is not None:
                return response
            if not call.was_refused or call.is_repeat_unsafe or time.monotonic() > deadline:
                break
            time.sleep(RETRY_INTERVAL_SECONDS)
        problems = "; ".join(dict.fromkeys(call.problems))
        if call.is_outcome_unknown:
            raise OutcomeUnknownError(f"the call may have taken effect: {problems}")
        raise PeerUnavailableError(f"no entry instance can serve: {problems}")

    def _try_all_addresses(self, call: _CallState) -> ClientResponse | None:
        """Return the first response that is not a retryable refusal, or None."""
        call.was_refused = False
        for address in self._settings.address:
            try:
                response = self._http.call(address, call.method, call.path, call.body, call.headers)
            except TransportError as error:
                call.problems.append(f"{address}: {error}")
                call.is_outcome_unknown = call.is_outcome_unknown or error.sent
                call.is_repeat_unsafe = error.sent and not call.idempotent
                if call.is_repeat_unsafe:
                    return None
                continue
            if not _is_retryable_refusal(response):
                return response
            call.was_refused = True
            call.problems.append(f"{address}: {read_error(response)}")
        return None

    def fetch(self, path: str) -> Any:
        """Return the JSON value at a path.

        Raises
        ------
        ReportedError
            If the instance refused the call.
        PeerUnavailableError
            If no instance could be reached or could serve the call.
        """
        try:
            return decode(self.exchange("GET", path, idempotent=True))
        except OutcomeUnknownError as error:
            # A read has no effect, so its outcome is never reported as unknown.
            raise PeerUnavailableError(f"no response: {error}") from error

    def post(self, path: str, value: object) -> Any:
        """Run an operation that is idempotent through the id in its body or path.

        Raises
        ------
        ReportedError
            If the instance refused the call.
        """
        body = msgspec.json.encode(value)
        return decode(self.exchange("POST", path, body, (JSON_HEADER,), idempotent=True))


def _is_retryable_refusal(response: ClientResponse) -> bool:
    """Return whether an instance refused because it cannot serve now.

    A response with an outcome header comes from an upstream, whatever its body contains.
    """
    if response.status != NotReadyError.http_status or response.get_header(OUTCOME_HEADER):
        return False
    return _read_fields(response).get("error") in RETRYABLE_CODES


def _read_fields(response: ClientResponse) -> dict[str, Any]:
    try:
        fields = decode_any_json(response.body)
    except ProtocolError:
        return {}
    return fields if isinstance(fields, dict) else {}


def read_error(response: ClientResponse) -> LavenderhookError:
    """Return the failure that a response reports."""
    fields = _read_fields(response)
    code = fields.get("error")
    if not isinstance(code, str):
        return ProtocolError(f"status {response.status} without an error code")
    return ReportedError(code, str(fields.get("message", code)), fields)


def decode(response: ClientResponse) -> Any:
    """Return the JSON value of a response.

    Raises
    ------
    ReportedError
        If the response reports a failure.
    ProtocolError
        If the response is not JSON.
    """
    if response.status != 200:
        raise read_error(response)
    return decode_any_json(response.body)
