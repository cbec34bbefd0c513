"""Start a local cluster to try out the command-line tool; Ctrl-C stops it."""

from __future__ import annotations

import argparse
import signal
import tempfile
from pathlib import Path

import gevent

from .cluster import ENTRY_ZONES, OPERATOR_TOKEN, Cluster


def main() -> None:
    """Run the stand-ins and the entry instances until interrupted."""
    parser = argparse.ArgumentParser(prog="python -m demo.local", description=__doc__)
    parser.add_argument("--deployment", choices=sorted(ENTRY_ZONES), default="authority")
    parser.add_argument("--instances", type=int, default=2, help="entry instances, at most 7")
    options = parser.parse_args()
    # Without a handler, SIGTERM would end this process and leave those that it started.
    gevent.signal_handler(signal.SIGTERM, gevent.getcurrent().throw, KeyboardInterrupt)
    with tempfile.TemporaryDirectory() as directory:
        cluster = Cluster(options.deployment, Path(directory))
        try:
            cluster.start(options.instances)
            addresses = ",".join(entry.address for entry in cluster.entries.values())
            print(f"export LAVENDERHOOK_ADDRESS={addresses}")
            print(f"export LAVENDERHOOK_TOKEN={OPERATOR_TOKEN}", flush=True)
            gevent.wait()
        except KeyboardInterrupt:
            pass
        finally:
            cluster.stop()


if __name__ == "__main__":
    main()
