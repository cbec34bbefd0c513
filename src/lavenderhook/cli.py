"""Entry point of ``lavenderhook``, the command-line tool."""

from __future__ import annotations

import sys

from ._internal.cli.application import run


def main() -> None:
    """Run the tool and exit with its status."""
    sys.exit(run())


if __name__ == "__main__":
    main()
