"""Run a platform of stand-ins until SIGTERM or SIGINT."""

import argparse
import json
import signal

import gevent
from gevent.event import Event

from . import Platform, load_settings, settings_for


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
        settings = settings_for(arguments.deployment)
    stopped = Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        gevent.signal_handler(number, stopped.set)
    platform = Platform(settings)
    print(json.dumps(platform.start()), flush=True)
    stopped.wait()
    platform.stop()


if __name__ == "__main__":
    main()
