"""Run all stand-ins of a platform until SIGTERM or SIGINT."""

import argparse
import json
import signal

import gevent
from gevent.event import Event

from . import Platform, build_settings, load_settings


def main():
    """Start the stand-ins, print their addresses as one JSON line and wait for a signal."""
    parser = argparse.ArgumentParser(prog="python -m standins", description=__doc__)
    source = parser.add_mutually_exclusive_group()
    source.add_argument("--config", metavar="FILE", help="settings in TOML")
    source.add_argument("--deployment", choices=("authority", "ajala"), default="authority")
    arguments = parser.parse_args()
    if arguments.config:
        settings = load_settings(arguments.config)
    else:
        settings = build_settings(arguments.deployment)
    stop_requested = Event()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        gevent.signal_handler(signal_number, stop_requested.set)
    platform = Platform(settings)
    print(json.dumps(platform.start()), flush=True)
    stop_requested.wait()
    platform.stop()


if __name__ == "__main__":
    main()
