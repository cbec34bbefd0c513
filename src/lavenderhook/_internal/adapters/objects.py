"""Client of the platform's object store."""

from __future__ import annotations

from urllib.parse import quote

from ...errors import StoreUnavailableError, TransportError
from ..ports.platform import ObjectStore
from .table import require_success
from .transport import ClientResponse, HttpClient


class HttpObjectStore(ObjectStore):
    """The object store over HTTP.

    Parameters
    ----------
    client : HttpClient
    address : str
        ``host:port`` of the service.
    """

    def __init__(self, client: HttpClient, address: str) -> None:
        self._client = client
        self._address = address

    def put(self, key: str, value: bytes) -> None:
        """Store an object, replacing an existing one."""
        require_success(self._call("PUT", key, value))

    def get(self, key: str) -> bytes | None:
        """Return an object, or None if it does not exist."""
        response = self._call("GET", key)
        if response.status == 404:
            return None
        require_success(response)
        return response.body

    def delete(self, key: str) -> None:
        """Delete an object if it exists."""
        response = self._call("DELETE", key)
        if response.status != 404:
            require_success(response)

    def _call(self, method: str, key: str, body: bytes = b"") -> ClientResponse:
        try:
            return self._client.call(self._address, method, "/v1/objects/" + quote(key), body)
        except TransportError as error:
            if error.sent:
                raise
            raise StoreUnavailableError(f"the object store cannot be reached: {error}") from error
