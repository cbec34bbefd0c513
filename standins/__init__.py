"""Stand-ins for the platform that lavenderhook runs on, used by tests, benchmarks and the demo."""

from .platform import Platform
from .shapes import PlatformSettings, build_settings, load_settings

__all__ = ["Platform", "PlatformSettings", "build_settings", "load_settings"]
