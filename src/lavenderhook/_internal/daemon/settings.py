"""Settings of the daemon, read from a TOML file."""

from __future__ import annotations

import re
from pathlib import Path
from typing import Any

import msgspec

from ...errors import InvalidArgumentError, ProtocolError, SettingsError
from ..core.declarations import validate_name
from ..core.state import CoreParameters
from ..decoding import decode_toml
from ..violations import convert

_ADDRESS = re.compile(r"(\d{1,3})\.(\d{1,3})\.(\d{1,3})\.(\d{1,3}):(\d{1,5})\Z")
LOG_LEVELS = ("debug", "info", "warning", "error")
LOG_FORMATS = ("json", "text")
MIN_TOKEN_LENGTH = 8


class Section(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """Base of all sections."""


class InstanceSettings(Section, frozen=True, kw_only=True):
    """Identity and addresses of the instance.

    Parameters
    ----------
    listen : str
        ``ip:port``; port 0 lets the system choose.
    advertise : str
        Address that peers use; by default the listening address.
    """

    name: str
    availability_zone: str
    region: str = ""
    listen: str = "127.0.0.1:0"
    advertise: str = ""


class PeerSettings(Section, frozen=True, kw_only=True):
    """Addresses of peers to contact first, and the optional credential that all peers share."""

    seeds: tuple[str, ...] = ()
    credential: str = ""


class PlatformSettings(Section, frozen=True, kw_only=True):
    """Addresses of the platform's services and the credential that they expect."""

    table: str
    objects: str
    instances: str
    credential: str = ""
    timeout_seconds: float = 2.0


class LimitSettings(Section, frozen=True, kw_only=True):
    """Limits on requests, connections and the shutdown; durations are in seconds."""

    body_bytes: int = 8 * 1024 * 1024
    header_bytes: int = 32 * 1024
    line_bytes: int = 8 * 1024
    read_seconds: float = 10.0
    idle_seconds: float = 75.0
    default_deadline_seconds: float = 10.0
    longest_deadline_seconds: float = 30.0
    connections: int = 4096
    connections_per_upstream: int = 64
    stored_answer_bytes: int = 64 * 1024
    shutdown_seconds: float = 60.0


class CallerSettings(Section, frozen=True, kw_only=True):
    """A caller, its team and its credential."""

    token: str
    team: str


class LoggingSettings(Section, frozen=True, kw_only=True):
    """Where log lines go; `file` is a path or ``stderr``."""

    level: str = "info"
    format: str = "json"
    file: str = "stderr"


class Settings(Section, frozen=True, kw_only=True):
    """All settings of a daemon."""

    instance: InstanceSettings
    platform: PlatformSettings
    peers: PeerSettings = PeerSettings()
    limits: LimitSettings = LimitSettings()
    operators: dict[str, str] = {}
    callers: dict[str, CallerSettings] = {}
    logging: LoggingSettings = LoggingSettings()
    core: CoreParameters = CoreParameters()


def load_settings(path: str) -> Settings:
    """Read and check a settings file.

    Parameters
    ----------
    path : str
        Path of a TOML file.

    Returns
    -------
    Settings

    Raises
    ------
    SettingsError
        Naming the file, the key, its value and what is allowed.
    """
    try:
        text = Path(path).read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        raise SettingsError(path, "file", path, f"a readable UTF-8 file ({error})") from error
    return parse_settings(path, text)


def parse_settings(path: str, text: str) -> Settings:
    """Read and check settings from text; `path` is named in errors.

    Raises
    ------
    SettingsError
        Naming the file, the key, its value and what is allowed.
    """
    try:
        values = decode_toml(text)
    except ProtocolError as error:
        raise SettingsError(path, "file", path, f"valid TOML ({error})") from error
    try:
        settings = convert(values, _StrictSettings, "settings")
        settings = msgspec.structs.replace(
            settings, core=CoreParameters(**msgspec.structs.asdict(settings.core))
        )
        _check(settings)
    except InvalidArgumentError as error:
        raise SettingsError(path, error.field, error.value, error.allowed) from error
    return settings


# Like CoreParameters, but unknown names are errors.
_StrictParameters: Any = msgspec.defstruct(
    "_StrictParameters",
    [(field.name, field.type, field.default) for field in msgspec.structs.fields(CoreParameters)],
    kw_only=True,
    frozen=True,
    forbid_unknown_fields=True,
)


class _StrictSettings(Settings, frozen=True, kw_only=True, forbid_unknown_fields=True):
    core: _StrictParameters = _StrictParameters()


def _check(settings: Settings) -> None:
    validate_name("instance.name", settings.instance.name)
    validate_name("instance.availability_zone", settings.instance.availability_zone)
    _check_address("instance.listen", settings.instance.listen, lowest_port=0)
    if settings.instance.advertise:
        _check_address("instance.advertise", settings.instance.advertise)
    for number, seed in enumerate(settings.peers.seeds):
        _check_address(f"peers.seeds[{number}]", seed)
    for name in ("table", "objects", "instances"):
        _check_address(f"platform.{name}", getattr(settings.platform, name))
    _check_positive("platform.timeout_seconds", settings.platform.timeout_seconds)
    for field in msgspec.structs.fields(LimitSettings):
        _check_positive(f"limits.{field.name}", getattr(settings.limits, field.name))
    for field in msgspec.structs.fields(CoreParameters):
        value = getattr(settings.core, field.name)
        if not value >= 0:
            raise InvalidArgumentError(f"core.{field.name}", value, "a number of 0 or more")
    _check_deadlines(settings.limits)
    _check_tokens(settings)
    _check_choice("logging.level", settings.logging.level, LOG_LEVELS)
    _check_choice("logging.format", settings.logging.format, LOG_FORMATS)


def _check_address(field: str, value: str, lowest_port: int = 1) -> None:
    match = _ADDRESS.match(value)
    allowed = f"ip:port with an IPv4 address and a port from {lowest_port} to 65535"
    if match is None:
        raise InvalidArgumentError(field, value, allowed)
    *octets, port = (int(part) for part in match.groups())
    if max(octets) > 255 or not lowest_port <= port <= 65535:
        raise InvalidArgumentError(field, value, allowed)


def _check_positive(field: str, value: float) -> None:
    if not value > 0:
        raise InvalidArgumentError(field, value, "a number above 0")


def _check_deadlines(limits: LimitSettings) -> None:
    if limits.default_deadline_seconds > limits.longest_deadline_seconds:
        raise InvalidArgumentError(
            "limits.default_deadline_seconds",
            limits.default_deadline_seconds,
            "at most limits.longest_deadline_seconds",
        )


def _check_tokens(settings: Settings) -> None:
    tokens = {f"operators.{name}": token for name, token in settings.operators.items()}
    for name, caller in settings.callers.items():
        validate_name(f"callers.{name}.team", caller.team)
        tokens[f"callers.{name}.token"] = caller.token
    seen: set[str] = set()
    for field, token in tokens.items():
        # Errors are logged, and logs must not contain credentials.
        if len(token) < MIN_TOKEN_LENGTH:
            allowed = f"at least {MIN_TOKEN_LENGTH} characters"
            raise InvalidArgumentError(field, "(hidden)", allowed)
        if token in seen:
            raise InvalidArgumentError(
                field, "(hidden)", "a token that no other caller or operator has"
            )
        seen.add(token)


def _check_choice(field: str, value: str, choices: tuple[str, ...]) -> None:
    if value not in choices:
        raise InvalidArgumentError(field, value, "one of " + ", ".join(choices))
