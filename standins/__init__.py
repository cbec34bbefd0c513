"""Stand-ins for the platform that lavenderhook runs on; used by tests, benchmarks and demos."""

from .platform import Platform
from .shapes import PlatformSettings, load_settings, settings_for

__all__ = ["Platform", "PlatformSettings", "load_settings", "settings_for"]
