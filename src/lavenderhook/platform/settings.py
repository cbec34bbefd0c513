"""The settings file that the platform writes for each process."""

from __future__ import annotations

import math
from pathlib import Path

import msgspec

from .._internal.adapters.transport import split_address
from .._internal.decoding import decode_toml
from ..errors import AddressError, ProtocolError, SettingsError

PATH_VARIABLE = "LAVENDERHOOK_CONFIG"
DEFAULT_PATH = "/etc/lavenderhook/boot.toml"


class _Section(msgspec.Struct, frozen=True, kw_only=True, rename="camel"):
    """Base of all sections; fields that aren't named here are ignored."""


class Listen(_Section, frozen=True, kw_only=True):
    """Addresses to listen on.

    Parameters
    ----------
    frontend : str
        For callers.
    readiness : str
        For the balancer's checks.
    """

    frontend: str = ""
    readiness: str = ""


class Store(_Section, frozen=True, kw_only=True):
    """The platform's store; the section is named ``platform``."""

    address: str


class Bounds(_Section, frozen=True, kw_only=True):
    """Bounds that the deployment sets.

    Parameters
    ----------
    grace_s : float
        From SIGTERM to SIGKILL.
    hold_max_ms : float
        Longest lease that a worker grants.
    stop_timeout_ms : float
        Longest time that a worker takes to stop a run.
    status_s : float
        For how long the final state of a submission can be queried.
    config_apply_ms : float
        Time after which a change of the configuration has to be in force.
    strict_revocation : bool
        Whether calls with a key are refused while revocations may be missed.
    revoke_ms : float
        Age of the configuration from which they may be.
    """

    grace_s: float = 6.0
    hold_max_ms: float = 6000.0
    stop_timeout_ms: float = 1000.0
    config_apply_ms: float = 2000.0
    strict_revocation: bool = False
    revoke_ms: float = 5000.0
    status_s: float = msgspec.field(name="status_s", default=120.0)


class Limits(_Section, frozen=True, kw_only=True):
    """The machine; a process gets `cpu_share` of a core that is `cores` times as fast."""

    cpu_share: float = 1.0
    cores: float = 1.0
    link_mbps: float = 1000.0


class Settings(_Section, frozen=True, kw_only=True):
    """All settings that the adapter reads.

    Parameters
    ----------
    metrics_port : int
        Port of the metrics; the platform's deploy file names it too.
    advice : str
        Address of the advisory service; empty if there is none.
    internal_ports : tuple of (int, int)
        First and last port for calls between instances.
    """

    node_name: str
    ip: str
    zone: str
    internal_ports: tuple[int, int]
    listen: Listen
    platform: Store
    bounds: Bounds = Bounds()
    limits: Limits = Limits()
    advice: str = ""
    metrics_port: int = 9464


def load_settings(path: str) -> Settings:
    """Read the settings file.

    Raises
    ------
    SettingsError
        If it can't be read or a field is missing or of another type.
    """
    try:
        content = decode_toml(Path(path).read_text(encoding="utf-8"))
        settings = msgspec.convert(content, Settings, strict=False)
        _check_addresses(path, settings)
        _check_bounds(path, settings.bounds)
        return settings
    except (OSError, UnicodeDecodeError, ProtocolError) as error:
        raise SettingsError(path, "file", str(error), "a readable TOML file") from error
    except msgspec.ValidationError as error:
        raise SettingsError(
            path, "settings", str(error), "the fields that the platform defines"
        ) from error


def _check_bounds(path: str, bounds: Bounds) -> None:
    if not 0 <= bounds.revoke_ms < math.inf:
        raise SettingsError(
            path, "bounds.revokeMs", bounds.revoke_ms, "a finite number of milliseconds from 0"
        )


def _check_addresses(path: str, settings: Settings) -> None:
    addresses = {
        "platform.address": settings.platform.address,
        "listen.frontend": settings.listen.frontend,
        "listen.readiness": settings.listen.readiness,
        "advice": settings.advice,
    }
    for name, address in addresses.items():
        try:
            if address:
                split_address(address)
        except AddressError as error:
            raise SettingsError(path, name, address, "an address of the form host:port") from error
