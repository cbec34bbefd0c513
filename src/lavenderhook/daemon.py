"""Entry point of ``lavenderhookd``, the process of an entry instance."""

from __future__ import annotations

import sys

from ._internal.daemon.main import run


def main() -> None:
    """Run the daemon and exit with its status."""
    sys.exit(run())


if __name__ == "__main__":
    main()
