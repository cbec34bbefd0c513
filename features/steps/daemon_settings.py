"""Steps that check the settings of the daemon."""

import contextlib
import io
import tempfile
from pathlib import Path

from behave import given, then, when

from lavenderhook._internal.daemon.main import run
from lavenderhook._internal.daemon.settings import parse_settings
from lavenderhook.errors import SettingsError

FILE = "entry.toml"
VALID = """
[instance]
name = "entry-1"
availability_zone = "hobart-a"
region = "tas-south"
listen = "127.0.0.1:0"
[peers]
seeds = []
[platform]
table = "127.0.0.1:9001"
objects = "127.0.0.1:9002"
instances = "127.0.0.1:9003"
[limits]
body_bytes = 1000
[operators]
ann = "token-of-ann"
[callers.desk]
token = "token-of-desk"
team = "maps"
[logging]
format = "json"
[core]
quarantine = 30.0
"""


@given("valid settings of the daemon")
def step_valid(context):
    context.settings_text = VALID
    settings = parse_settings(FILE, VALID)
    assert settings.core.quarantine == 30.0
    assert settings.limits.body_bytes == 1000


@when("the settings change {old} to {new}")
def step_change(context, old, new):
    assert context.settings_text.count(old + "\n") == 1, old
    text = context.settings_text.replace(old + "\n", new + "\n")
    context.new_value = new.partition("=")[2].strip()
    try:
        parse_settings(FILE, text)
    except SettingsError as error:
        context.settings_error = error
    else:
        raise AssertionError(f"{new!r} was accepted")


@then("the settings are rejected because of {key}, and the message names the file and the value")
def step_refused(context, key):
    error = context.settings_error
    assert error.field == key, error
    assert error.file == FILE and FILE in str(error) and key in str(error)
    assert error.allowed and error.allowed in str(error)
    value = context.new_value.strip('[]"').removesuffix(".0")
    assert value in str(error), error


@then("the settings are rejected because of {key}, without the credential")
def step_hidden(context, key):
    error = context.settings_error
    assert error.field == key, error
    assert "token-of" not in str(error) and "token-of" not in repr(error.to_fields())


def run_check(text):
    """Return the exit status and the output of a check."""
    output = io.StringIO()
    with tempfile.TemporaryDirectory() as directory:
        path = Path(directory) / FILE
        path.write_text(text, encoding="utf-8")
        with contextlib.redirect_stderr(output), contextlib.redirect_stdout(output):
            return run(["--config", str(path), "--check"]), output.getvalue()


@then("the check of the settings exits with status 0")
def step_check_valid(context):
    status, _ = run_check(context.settings_text)
    assert status == 0


@then("the check of settings with {line} exits with status 2")
def step_check_invalid(context, line):
    status, printed = run_check(context.settings_text.replace("body_bytes = 1000", line))
    assert status == 2 and "limits.body_bytes" in printed, printed
