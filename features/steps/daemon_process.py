"""Steps that start the daemon as a process."""

import json
import os
import signal
import sys
import tempfile
import time
from pathlib import Path

import gevent
from behave import given, then, when
from gevent import subprocess

from lavenderhook._internal.adapters.transport import HttpClient
from lavenderhook._internal.daemon.main import run

ROOT = Path(__file__).resolve().parents[2]
NAME = "entry-1"
SETTINGS = """
[instance]
name = "entry-1"
availability_zone = "hobart-a"
[platform]
table = "127.0.0.1:1"
objects = "127.0.0.1:1"
instances = "127.0.0.1:1"
[limits]
shutdown_seconds = {seconds}
"""


@then("the example settings in {path} pass the check")
def step_example(context, path):
    assert run(["--config", str(ROOT / path), "--check"]) == 0


def start(context):
    """Start a process and return it with the description that it prints."""
    environment = {**os.environ, "PYTHONPATH": str(ROOT / "src")}
    process = subprocess.Popen(
        [sys.executable, "-m", "lavenderhook.daemon", "--config", context.settings_path],
        env=environment,
        stdout=subprocess.PIPE,
        stderr=subprocess.PIPE,
    )
    context.add_cleanup(kill_process, process)
    with gevent.Timeout(10):
        line = process.stdout.readline()
    return process, json.loads(line)


def kill_process(process):
    """Kill a process that a failed scenario has left running."""
    if process.poll() is None:
        process.kill()
        process.wait()


@given("a process of an entry instance with a shutdown period of {seconds:g} s")
def step_process(context, seconds):
    directory = tempfile.TemporaryDirectory()
    context.add_cleanup(directory.cleanup)
    path = Path(directory.name) / "entry.toml"
    path.write_text(SETTINGS.format(seconds=seconds), encoding="utf-8")
    context.settings_path = str(path)
    context.process, context.description = start(context)


@given("another process of the same instance")
def step_another(context):
    _, context.other_description = start(context)


@then("their incarnations differ")
def step_differ(context):
    names = {d["incarnation"] for d in (context.description, context.other_description)}
    assert len(names) == 2


@then("its first line of output has its name, incarnation and address")
def step_line(context):
    description = context.description
    assert description["name"] == NAME and description["incarnation"].startswith(NAME + "-"), (
        description
    )
    assert int(description["address"].rpartition(":")[2]) > 0, description


@then("it is live but not ready, as it has read no configuration")
def step_live(context):
    client = HttpClient("test")
    context.add_cleanup(client.close)
    address = context.description["address"]
    assert client.call(address, "GET", "/healthz").status == 200
    assert client.call(address, "GET", "/readyz").status == 503


@when("it receives SIGTERM")
def step_signal(context):
    context.stopped_at = time.monotonic()
    context.process.send_signal(signal.SIGTERM)


@then("it exits with status {status:d} within {seconds:d} s")
def step_exit(context, status, seconds):
    assert context.process.wait(timeout=seconds) == status
    assert time.monotonic() - context.stopped_at < seconds


@then("its log has one JSON object per line, from {first} to {last}")
def step_log(context, first, last):
    lines = context.process.stderr.read().decode().splitlines()
    events = [json.loads(line)["event"] for line in lines]
    assert events[0] == first and events[-1] == last, events
