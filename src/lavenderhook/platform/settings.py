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
MEGABYTE = 1024 * 1024
MAX_BODY_BYTES = 262_144
RESERVED_DESCRIPTORS = 200  # of each machine, for files
MIN_SOCKETS = 100  # an instance calls the store, its peers and workers besides serving callers
MIN_MEMORY_MB = 64  # what the program needs at rest, and one share for its clients
MIN_HEADER_FIELDS = 16
MAX_HEADER_FIELDS = 16_384
MAX_WRITE_TIMEOUT_MS = 600_000.0


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
    """The machine; a process gets `cpu_share` of a core that is `cores` times as fast.

    Parameters
    ----------
    memory_mb : float
        Memory of the process, in MiB; 0 if it isn't bounded.
    file_descriptors : int
        0 if they aren't bounded.
    """

    cpu_share: float = 1.0
    cores: float = 1.0
    link_mbps: float = 1000.0
    memory_mb: float = 0.0
    file_descriptors: int = 0


class Intake(_Section, frozen=True, kw_only=True):
    """Limits on what clients may hold; those that aren't given follow from the machine's.

    Parameters
    ----------
    body_mb : float or None
        All bodies of callers that the process holds, in MiB.
    connections : int or None
        Of callers.
    header_fields : int
        Of one request while more than a quarter of the connections are open.
    write_timeout_ms : float
        In which a client has to read each 64 KB of a response.
    """

    body_mb: float | None = None
    connections: int | None = None
    header_fields: int = 128
    write_timeout_ms: float = 10_000.0


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
    intake: Intake = Intake()
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
        _check_intake(path, settings)
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


def _check_intake(path: str, settings: Settings) -> None:
    """Refuse limits that can't be, or that an ordinary request would meet.

    Raises
    ------
    SettingsError
    """
    limits, intake = settings.limits, settings.intake
    machine_mb = limits.memory_mb or math.inf
    sockets = (
        limits.file_descriptors - RESERVED_DESCRIPTORS if limits.file_descriptors else math.inf
    )
    largest_body_mb = MAX_BODY_BYTES / MEGABYTE
    ranges: dict[str, tuple[float | None, float, float]] = {
        "limits.memoryMb": (limits.memory_mb or None, MIN_MEMORY_MB, math.inf),
        "limits.fileDescriptors": (
            limits.file_descriptors or None,
            RESERVED_DESCRIPTORS + MIN_SOCKETS,
            math.inf,
        ),
        "intake.bodyMb": (intake.body_mb, largest_body_mb, machine_mb),
        "intake.connections": (intake.connections, 1, sockets),
        "intake.headerFields": (intake.header_fields, MIN_HEADER_FIELDS, MAX_HEADER_FIELDS),
        "intake.writeTimeoutMs": (intake.write_timeout_ms, 1.0, MAX_WRITE_TIMEOUT_MS),
    }
    for name, (value, lowest, highest) in ranges.items():
        if value is not None and not lowest <= value <= highest:
            raise SettingsError(path, name, value, f"{lowest:g} to {highest:g}")
