"""Steps on the local demonstration."""

import os
import signal
import subprocess
import sys
import time
from pathlib import Path

import gevent
from behave import given, then, when

ROOT = Path(__file__).resolve().parents[2]
START_SECONDS = 30.0


def list_children(pid):
    """Return the ids of the processes that a process has started."""
    path = Path(f"/proc/{pid}/task/{pid}/children")
    return [int(child) for child in path.read_text(encoding="ascii").split()]


def is_alive(pid):
    """Return whether a process exists and has not ended."""
    try:
        state = Path(f"/proc/{pid}/stat").read_text(encoding="utf-8").rpartition(")")[2].split()[0]
    except FileNotFoundError:
        return False
    return state != "Z"


@given("the local demonstration runs")
def step_demo(context):
    context.demo = subprocess.Popen(
        [sys.executable, "-m", "demo.local"],
        cwd=ROOT,
        stdout=subprocess.PIPE,
        stderr=subprocess.DEVNULL,
        env={**os.environ, "PYTHONUNBUFFERED": "1"},
    )
    context.add_cleanup(context.demo.kill)
    with gevent.Timeout(START_SECONDS, AssertionError("the demonstration has not started")):
        while b"TOKEN" not in context.demo.stdout.readline():
            assert context.demo.poll() is None
    context.demo_processes = [context.demo.pid, *list_children(context.demo.pid)]
    assert len(context.demo_processes) > 1


@when("the demonstration receives SIGTERM")
def step_stop_demo(context):
    context.demo.send_signal(signal.SIGTERM)


@then("it and all processes that it started end within {seconds:d} seconds")
def step_demo_ended(context, seconds):
    until = time.monotonic() + seconds
    while alive := [pid for pid in context.demo_processes if is_alive(pid)]:
        assert time.monotonic() < until, alive
        context.demo.poll()
        gevent.sleep(0.1)
