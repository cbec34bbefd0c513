"""Settings of a platform and of the predefined deployments."""

import tomllib
from dataclasses import dataclass, field, fields
from pathlib import Path

from .errors import BadRequestError


@dataclass(frozen=True)
class TableSettings:
    """Limits of the table service; ``latency_ms`` is added to each call."""

    writes_per_second: float = 500.0
    reads_per_second: float = 2000.0
    burst_seconds: float = 0.5
    max_rows: int = 100
    max_bytes: int = 1_000_000
    latency_ms: float = 0.0


@dataclass(frozen=True)
class WorkerSettings:
    """Number, capacity and location of the workers."""

    count: int = 24
    processors: float = 32
    memory_mb: int = 65_536
    per_rack: int = 6
    zones: tuple = ("hobart-a", "hobart-b", "kingston", "glenorchy")
    accelerators: int = 2
    accelerator_every: int = 3  # every third worker has accelerators; 0 for none
    usage_lag_seconds: float = 2.0
    one_way_zone_delay_ms: float = 0.0


@dataclass(frozen=True)
class PlatformSettings:
    """Settings of one platform."""

    deployment: str = "authority"
    list_lag_seconds: float = 1.0
    record_executions: bool = True  # about 1 KB each; if false, they are only counted
    table: TableSettings = field(default_factory=TableSettings)
    workers: WorkerSettings = field(default_factory=WorkerSettings)


AJALA_WORKERS = WorkerSettings(processors=16, per_rack=8, zones=("ibadan-a", "ibadan-b", "oyo-c"))
DEPLOYMENTS = {
    "authority": PlatformSettings(),
    "ajala": PlatformSettings(deployment="ajala", workers=AJALA_WORKERS),
}


def replace_fields(settings, values, section):
    """Return a copy of settings with some fields replaced.

    Parameters
    ----------
    settings : PlatformSettings, TableSettings or WorkerSettings
    values : dict
        New values by field name.
    section : str
        Name of the settings in an error.

    Raises
    ------
    BadRequestError
        If a field is unknown.
    """
    known = {entry.name for entry in fields(settings)}
    unknown = set(values) - known
    if unknown:
        raise BadRequestError(section, f"unknown settings {sorted(unknown)}")
    current = {name: getattr(settings, name) for name in known}
    converted = {name: tuple(v) if isinstance(v, list) else v for name, v in values.items()}
    return type(settings)(**{**current, **converted})


def build_settings(deployment="authority", **changes):
    """Build the settings of a deployment.

    Parameters
    ----------
    deployment : {'authority', 'ajala'}
    **changes
        Fields to replace; ``table`` and ``workers`` take dictionaries.

    Raises
    ------
    BadRequestError
        If the deployment or a field is unknown.
    """
    if deployment not in DEPLOYMENTS:
        raise BadRequestError("deployment", f"{deployment!r} is not one of {sorted(DEPLOYMENTS)}")
    defaults = DEPLOYMENTS[deployment]
    for section in ("table", "workers"):
        if section in changes:
            changes[section] = replace_fields(getattr(defaults, section), changes[section], section)
    return replace_fields(defaults, changes, "platform")


def load_settings(path):
    """Load settings from a TOML file; omitted fields have the values of its deployment."""
    values = tomllib.loads(Path(path).read_text(encoding="utf-8"))
    deployment = values.pop("deployment", "authority")
    return build_settings(deployment, **values)
