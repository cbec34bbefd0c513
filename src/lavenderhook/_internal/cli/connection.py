"""Connection settings from options, the environment or a file."""

from __future__ import annotations

import os
from collections.abc import Mapping, Sequence
from pathlib import Path

import msgspec

from ...errors import (
    InvalidArgumentError,
    ProtocolError,
    SettingsError,
    UsageError,
)
from ..decoding import decode_toml
from ..violations import convert

ADDRESS_VARIABLE = "LAVENDERHOOK_ADDRESS"
TOKEN_VARIABLE = "LAVENDERHOOK_TOKEN"
FILE_VARIABLE = "LAVENDERHOOK_CONFIG"
# An entry instance responds to operations within 15 s.
DEFAULT_TIMEOUT_SECONDS = 20.0


class ConnectionSettings(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """Contents of the connection file, in TOML.

    Parameters
    ----------
    address : tuple of str
        ``host:port`` of entry instances, in the order in which they are tried.
    token : str
        Bearer credential of a caller or an operator.
    caller : str
        Name of the caller; needed only where the daemon's settings declare no callers.
    timeout_seconds : float
        Time limit of each attempt of a call.
    """

    address: tuple[str, ...] = ()
    token: str = ""
    caller: str = ""
    timeout_seconds: float = DEFAULT_TIMEOUT_SECONDS


def read_connection_file(path: str) -> ConnectionSettings:
    """Read a connection file.

    Raises
    ------
    SettingsError
        If the file cannot be read or is not valid; names the file and the key.
    """
    try:
        values = decode_toml(Path(path).read_text(encoding="utf-8"))
        return convert(values, ConnectionSettings, "settings")
    except (OSError, UnicodeDecodeError) as error:
        raise SettingsError(path, "file", path, f"a readable UTF-8 file ({error})") from error
    except ProtocolError as error:
        raise SettingsError(path, "file", path, f"valid TOML ({error})") from error
    except InvalidArgumentError as error:
        value = "(hidden)" if error.field == "token" else error.value
        raise SettingsError(path, error.field, value, error.allowed) from error


def resolve_connection(
    addresses: Sequence[str],
    token: str | None,
    caller: str | None,
    file: str | None,
    environment: Mapping[str, str] = os.environ,
) -> ConnectionSettings:
    """Return the connection settings; options override the environment, which overrides the file.

    Raises
    ------
    UsageError
        If no address is given anywhere.
    InvalidArgumentError
        If an address is malformed.
    """
    path = file or environment.get(FILE_VARIABLE)
    file_settings = read_connection_file(path) if path else ConnectionSettings()
    given = [part for text in addresses for part in _split(text)]
    resolved_addresses = tuple(
        given or _split(environment.get(ADDRESS_VARIABLE, "")) or file_settings.address
    )
    if not resolved_addresses:
        raise UsageError(
            f"no entry instance address is given: use --address or set {ADDRESS_VARIABLE}"
        )
    for address in resolved_addresses:
        _check_address(address)
    return ConnectionSettings(
        address=resolved_addresses,
        token=token or environment.get(TOKEN_VARIABLE) or file_settings.token,
        caller=caller or file_settings.caller,
        timeout_seconds=file_settings.timeout_seconds,
    )


def _split(text: str) -> list[str]:
    return [part.strip() for part in text.split(",") if part.strip()]


def _check_address(address: str) -> None:
    host, _, port = address.rpartition(":")
    if not host or not port.isdecimal() or not 1 <= int(port) <= 65535:
        raise InvalidArgumentError("address", address, "host:port with a port from 1 to 65535")
