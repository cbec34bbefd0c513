"""Client of the platform's transactional table service."""

from __future__ import annotations

import base64
from collections.abc import Iterable, Mapping, Sequence
from typing import TypeVar
from urllib.parse import quote

import msgspec

from ...errors import ProtocolError, StoreUnavailableError, TransportError
from ..decoding import Number, decode_json
from ..ports.platform import Row, TableStore, TransactionConflict
from .transport import ClientResponse, HttpClient

JSON_HEADERS = (("Content-Type", "application/json"),)
# Statuses that guarantee that the call had no effect.
NO_EFFECT_STATUSES = frozenset({429, 503})


class _Revision(msgspec.Struct):
    revision: Number


class _WireRow(msgspec.Struct):
    key: str
    version: Number
    value: bytes = b""  # base64


class _Conflicts(msgspec.Struct):
    conflicts: list[_WireRow]


class _Rows(msgspec.Struct):
    rows: list[_WireRow]


_T = TypeVar("_T")


def _decode_row(row: _WireRow) -> Row:
    return Row(row.key, row.version, row.value)


class HttpTableStore(TableStore):
    """The table service over HTTP.

    Parameters
    ----------
    client : HttpClient
    address : str
        ``host:port`` of the service.
    """

    def __init__(self, client: HttpClient, address: str) -> None:
        self._client = client
        self._address = address

    def commit(
        self,
        transaction_id: str,
        checks: Mapping[str, int],
        puts: Mapping[str, bytes],
        deletes: Iterable[str] = (),
    ) -> int | TransactionConflict:
        """Apply all writes if every checked row has the given version.

        Raises
        ------
        StoreUnavailableError
            If the write is guaranteed not to have taken effect.
        TransportError
            If the response was lost.
        ProtocolError
            If the service refused the transaction as malformed or too large.
        """
        body = msgspec.json.encode(
            {
                "id": transaction_id,
                "checks": [{"key": key, "version": version} for key, version in checks.items()],
                "puts": [
                    {"key": key, "value": base64.b64encode(value).decode()}
                    for key, value in puts.items()
                ],
                "deletes": list(deletes),
            }
        )
        response = self._call("POST", "/v1/transactions", body)
        if response.status == 409:
            conflicts = _decode(response, _Conflicts).conflicts
            return TransactionConflict({row.key: row.version for row in conflicts})
        require_success(response)
        return _decode(response, _Revision).revision

    def read(self, key: str) -> Row:
        """Return a row; the read reflects all commits that were acknowledged before it."""
        response = self._call("GET", "/v1/rows/" + quote(key))
        if response.status == 404:
            return Row(key, 0)
        require_success(response)
        return _decode_row(_decode(response, _WireRow))

    def scan(self, prefix: str, after: str = "", limit: int = 500) -> Sequence[Row]:
        """Return rows in key order whose keys start with `prefix` and are above `after`."""
        query = f"prefix={quote(prefix, safe='')}&limit={limit}&after={quote(after, safe='')}"
        response = self._call("GET", "/v1/rows?" + query)
        require_success(response)
        return [_decode_row(row) for row in _decode(response, _Rows).rows]

    def _call(self, method: str, path: str, body: bytes = b"") -> ClientResponse:
        try:
            return self._client.call(self._address, method, path, body, JSON_HEADERS)
        except TransportError as error:
            if error.sent:
                raise
            raise StoreUnavailableError(f"the table cannot be reached: {error}") from error


def _decode(response: ClientResponse, message_type: type[_T]) -> _T:
    try:
        return decode_json(response.body, message_type)
    except ProtocolError as error:
        # The write may have taken effect although its response is malformed.
        raise TransportError(f"malformed response: {error}", sent=True) from error


def require_success(response: ClientResponse) -> None:
    """Raise the failure that a store's response reports.

    Raises
    ------
    StoreUnavailableError
        If the call had no effect.
    TransportError
        If the store failed, so that the call may have had an effect.
    ProtocolError
        If the store rejected the call as malformed.
    """
    if response.status in NO_EFFECT_STATUSES:
        raise StoreUnavailableError(f"the store answered {response.status}")
    if response.status >= 500:
        raise TransportError(f"the store answered {response.status}", sent=True)
    if response.status >= 400:
        raise ProtocolError(f"the store answered {response.status}: {response.body[:200]!r}")
