"""Steps for the command-line tool."""

import contextlib
import io
import json
import os
import shlex
import tempfile
from pathlib import Path

from behave import given, then, when
from gevent.pywsgi import WSGIServer
from gevent.server import StreamServer

from demo.cluster import OPERATOR_TOKEN, ROOT, Cluster
from features.support.stub_core import UNUSED_ADDRESS
from lavenderhook._internal.cli import application

CONNECTION_VARIABLES = ("LAVENDERHOOK_ADDRESS", "LAVENDERHOOK_TOKEN", "LAVENDERHOOK_CONFIG")


def run_tool(*arguments):
    """Run the tool and return its exit status and all of its output."""
    output = io.StringIO()
    with contextlib.redirect_stdout(output), contextlib.redirect_stderr(output):
        status = application.run(arguments)
    return status, output.getvalue()


def get_directory(context):
    """Return the scenario's directory; create it on first use and remove it after the scenario."""
    if "directory" not in context:
        directory = tempfile.TemporaryDirectory()
        context.add_cleanup(directory.cleanup)
        context.directory = Path(directory.name)
        context.files = []
    return context.directory


def set_variables(context, values):
    """Set exactly these environment variables of the tool until the scenario ends."""
    former = {name: os.environ.pop(name, None) for name in CONNECTION_VARIABLES}

    def restore():
        for name in CONNECTION_VARIABLES:
            os.environ.pop(name, None)
        os.environ.update({name: value for name, value in former.items() if value is not None})

    context.add_cleanup(restore)
    os.environ.update(values)


@given("a declaration file with {text}")
def step_file(context, text):
    directory = get_directory(context)
    path = directory / f"part-{len(context.files)}.toml"
    path.write_text("\n".join(part.strip() for part in text.split(" ; ")), encoding="utf-8")
    context.files.append(path)


@when("the file changes {old} to {new}")
def step_change(context, old, new):
    text = context.files[0].read_text(encoding="utf-8")
    assert text.count(old) == 1, text
    context.files[0].write_text(text.replace(old, new), encoding="utf-8")


@when("the files are checked")
def step_check(context):
    paths = [str(path) for path in context.files]
    context.status, context.printed = run_tool("check", *paths, "--output", "json")


@then("the check fails at {fields}")
def step_check_fails(context, fields):
    assert context.status == 2, context.printed
    failures = [json.loads(line) for line in context.printed.splitlines()]
    assert [f["field"] for f in failures] == fields.split(", "), context.printed
    paths = [str(path) for path in context.files]
    assert all(f["file"] in paths and f["file"] in f["message"] for f in failures), failures
    assert all(f["error"] == "invalid-declaration" and f["allowed"] for f in failures), failures


@then("the message names both files")
def step_names_both(context):
    assert all(str(path) in context.printed for path in context.files), context.printed


@then("the files of {directory} pass the check")
def step_examples(context, directory):
    paths = sorted(str(path) for path in (ROOT / directory).glob("*.toml"))
    assert paths, directory
    status, printed = run_tool("check", *paths)
    assert status == 0 and "workload" in printed, printed


@then("every command has a help text with its description")
def step_help(context):
    for command in application.COMMANDS:
        status, printed = run_tool(command.name, "--help")
        assert status == 0, (command.name, printed)
        assert command.description in printed and len(command().help) > 100, command.name


@then("a command line with an unknown option exits with 2 and no traceback")
def step_unknown_option(context):
    assert_failure(run_tool("status", "x", "--colour"), 2, "usage")


@then("a call without any address exits with 2 and no traceback")
def step_no_address(context):
    set_variables(context, {})
    assert_failure(run_tool("status", "x"), 2, "LAVENDERHOOK_ADDRESS")


@then("a call to an address without a listener exits with 7 and no traceback")
def step_no_listener(context):
    assert_failure(run_tool("get", "--address", UNUSED_ADDRESS), 7, UNUSED_ADDRESS)


@then("a file with an unknown connection setting exits with 2 and no traceback")
def step_connection_file(context):
    path = get_directory(context) / "tool.toml"
    path.write_text('adress = ["127.0.0.1:1"]\n', encoding="utf-8")
    assert_failure(run_tool("get", "--connection-file", str(path)), 2, "adress")


def assert_failure(result, status, part):
    """Check that the tool reported an error in one line without a traceback."""
    assert result[0] == status, result
    assert part in result[1] and len(result[1].splitlines()) == 1, result[1]
    assert "Traceback" not in result[1], result[1]


# Failover


@given("an entry instance that {fault} and a second one that responds")
def step_instances(context, fault):
    context.received = 0

    def respond(environ, start_response):
        context.received += 1
        start_response("200 OK", [("lavenderhook-outcome", "completed"), ("Content-Length", "2")])
        return [b"ok"]

    def refuse(environ, start_response):
        headers = [("Content-Length", "21")]
        if "upstream" in fault:
            headers.append(("lavenderhook-outcome", "completed"))
        start_response("503 Service Unavailable", headers)
        return [b'{"error":"not-ready"}']

    if fault == "refuses connections":
        first = UNUSED_ADDRESS
    elif "closes" in fault:
        first = start_closing_server(context)
    else:
        first = start_server(context, refuse)
    context.addresses = f"{first},{start_server(context, respond)}"


def start_server(context, wsgi_application):
    """Start a server on a free port and return its address."""
    server = WSGIServer(("127.0.0.1", 0), wsgi_application, log=None, error_log=None)
    server.start()
    context.add_cleanup(server.stop)
    return f"127.0.0.1:{server.server_port}"


def start_closing_server(context):
    """Start a server that closes a connection after it receives a request; return its address."""

    def close(connection, _):
        connection.recv(65536)
        connection.close()

    server = StreamServer(("127.0.0.1", 0), close)
    server.start()
    context.add_cleanup(server.stop)
    return f"127.0.0.1:{server.server_port}"


@when("a request that is {kind} is sent with both addresses")
def step_request(context, kind):
    flag = "true" if kind == "idempotent" else "false"
    context.status, context.printed = run_tool(
        "request", "desk", "/", "--idempotent", flag, "--address", context.addresses
    )


@then("the exit status is {status:d} and the second instance received {count:d} calls")
def step_status(context, status, count):
    assert context.status == status, context.printed
    assert context.received == count, context.received


# Cluster


@given("a cluster of two instances and the command-line tool")
def step_cluster(context):
    directory = get_directory(context)
    (directory / "empty.toml").write_text("", encoding="utf-8")
    cluster = Cluster("authority", directory)
    context.add_cleanup(cluster.stop)
    cluster.start(2)
    addresses = ",".join(entry.address for entry in cluster.entries.values())
    values = {"LAVENDERHOOK_ADDRESS": addresses, "LAVENDERHOOK_TOKEN": OPERATOR_TOKEN}
    set_variables(context, values)


@when("the tool runs {line}")
def step_run(context, line):
    arguments = []
    for part in shlex.split(line):
        if part == "FILES":
            arguments.extend(str(path) for path in context.files)
        elif part == "EMPTY":
            arguments.append(str(context.directory / "empty.toml"))
        else:
            arguments.append(part)
    context.status, context.printed = run_tool(*arguments)


@then('it exits with {status:d} and prints "{text}"')
def step_prints(context, status, text):
    assert context.status == status, context.printed
    assert text in context.printed, context.printed


@then("it exits with {status:d} and its JSON has {content}")
def step_json(context, status, content):
    assert context.status == status, context.printed
    value = json.loads(context.printed)
    for part in content.split(" and "):
        name, _, rest = part.partition(" ")
        if name in ("one", "two"):
            found = value[rest.removeprefix("of ")]
            assert len(found) == ("one", "two").index(name) + 1, found
        else:
            assert value[name] == json.loads(rest), (part, value)
