"""Entry point of the process on the platform's machines: ``python3 -m lavenderhook.platform``."""

import sys

from .program import run

sys.exit(run())
