"""Steps that test the stand-ins of the platform."""

import base64
import json
import signal
import statistics
import subprocess
import sys
import time
from pathlib import Path
from urllib.parse import parse_qsl

import gevent
from behave import given, then, when
from gevent import socket
from geventhttpclient import HTTPClient

from standins import Platform, build_settings

ROOT = Path(__file__).resolve().parents[2]
RESPONSE_TIMEOUT_SECONDS = 1.0
PROCESS_EXIT_TIMEOUT_SECONDS = 10
REQUEST_INTERVAL_SECONDS = 0.02  # so that each request overlaps the others by more than an instant
TIMING_TOLERANCE_SECONDS = 0.15  # for scheduling delays on a busy machine


def call(context, name, method, path, body=None, headers=None):
    """Send a request; set context.answer to (status, headers, body), or None without a response."""
    address = context.addresses.get(name) or context.addresses["workers"][name]
    host, port = address.split(":")
    client = HTTPClient(host, int(port), network_timeout=RESPONSE_TIMEOUT_SECONDS)
    encoded = json.dumps(body) if isinstance(body, dict) else body or ""
    try:
        response = client.request(method, path, encoded.encode(), headers or {})
        content = response.read()
        context.answer = response.status_code, dict(response.headers), bytes(content)
    except Exception as error:
        context.failure = error
        context.answer = None
    finally:
        client.close()
    return context.answer


def call_json(context, *arguments, **options):
    answer = call(context, *arguments, **options)
    assert answer is not None, f"no answer: {context.failure!r}"
    return json.loads(answer[2])


def control(context, path, **body):
    return call_json(context, "control", "POST", f"/control/v1/{path}", body)


def read_ledger(context):
    return call_json(context, "control", "GET", "/control/v1/ledger")


def wait_for(check, seconds):
    """Poll until the check holds; fail after `seconds`."""
    deadline = time.monotonic() + seconds
    while not check():
        assert time.monotonic() < deadline, f"the condition did not hold within {seconds} s"
        gevent.sleep(0.02)


@given("a platform of stand-ins")
def step_platform(context):
    platform = Platform(build_settings("authority", workers={"count": 2}))
    context.addresses = platform.start()
    context.add_cleanup(platform.stop)


@given('worker "{worker}" is leaving')
def step_leaving(context, worker):
    control(context, "faults", kind="leaving", target=worker)


@given('the fault "{kind}" on "{target}" for "{operation}"')
def step_fault_for(context, kind, target, operation):
    control(context, "faults", kind=kind, target=target, operations=[operation], count=1)


@when('the fault "{kind}" is put on "{target}" for "{operation}"')
def step_put_fault(context, kind, target, operation):
    body = {"kind": kind, "target": target, "operations": [operation]}
    call(context, "control", "POST", "/control/v1/faults", body)


@then("the control endpoint answers {status:d}")
@then("the store answers {status:d}")
def step_status(context, status):
    assert context.answer is not None, context.failure
    assert context.answer[0] == status, context.answer


@then("no answer arrives")
def step_no_answer(context):
    assert context.answer is None, context.answer


@then("an answer arrives")
def step_answer(context):
    assert context.answer is not None, context.failure


@given("the table is limited to 1 write per second")
def step_rate(context):
    control(context, "rates", writes_per_second=1)


def put_rows(context, keys, value, checks):
    encoded = base64.b64encode(value.encode()).decode()
    puts = [{"key": key, "value": encoded} for key in keys]
    body = {"id": "transaction-1", "checks": checks, "puts": puts}
    call(context, "table", "POST", "/v1/transactions", body)


@when('a transaction puts "{keys}" to "{value}" at version {version:d}')
def step_put(context, keys, value, version):
    names = keys.split(",")
    put_rows(context, names, value, [{"key": key, "version": version} for key in names])


@when('a transaction puts "{keys}" to "{value}" without a version check')
def step_put_unchecked(context, keys, value):
    put_rows(context, keys.split(","), value, [])


@then('the row "{key}" holds "{value}"')
def step_row(context, key, value):
    row = call_json(context, "table", "GET", f"/v1/rows/{key}")
    assert base64.b64decode(row["value"]).decode() == value, row


@then('the row "{key}" is absent')
def step_absent(context, key):
    assert call(context, "table", "GET", f"/v1/rows/{key}")[0] == 404, context.answer


@when('attempt "{attempt}" of task "{task}" starts on "{worker}" with a lease of {seconds:g} s')
def step_start(context, attempt, task, worker, seconds):
    entry = {
        "attempt": attempt,
        "task": task,
        "job": "job-1",
        "kind": "batch",
        "resources": {"processors": 20},
        "lease_until": time.time() + seconds,
        "command": {"run_seconds": 0.6},
    }
    call(context, worker, "POST", "/v1/tasks:start", {"tasks": [entry]})


@then('the start of "{attempt}" is "{state}"')
def step_started(context, attempt, state):
    (entry,) = json.loads(context.answer[2])["tasks"]
    assert (entry["attempt"], entry["state"]) == (attempt, state), entry


@when('the lease of "{attempt}" on "{worker}" is renewed for {seconds:g} s')
def step_renew(context, attempt, worker, seconds):
    entry = {"attempt": attempt, "lease_until": time.time() + seconds}
    call_json(context, worker, "POST", "/v1/tasks:renew", {"tasks": [entry]})


@when('attempt "{attempt}" on "{worker}" is stopped')
def step_stop(context, attempt, worker):
    call_json(context, worker, "POST", "/v1/tasks:stop", {"tasks": [{"attempt": attempt}]})


@then('within {seconds:g} s attempt "{attempt}" on "{worker}" is "{state}"')
def step_state(context, seconds, attempt, worker, state):
    def check():
        listed = call_json(context, worker, "GET", "/v1/tasks")["tasks"]
        return [entry["state"] for entry in listed if entry["attempt"] == attempt] == [state]

    wait_for(check, seconds)


@then('the ledger shows that "{attempt}" ran for {seconds:g} s')
def step_ran(context, attempt, seconds):
    (entry,) = (e for e in read_ledger(context)["attempts"] if e["attempt"] == attempt)
    ran = entry["end"] - entry["start"]
    assert seconds - 0.05 < ran < seconds + TIMING_TOLERANCE_SECONDS, ran


@given('worker "{worker}" is frozen for {seconds:g} s')
def step_freeze(context, worker, seconds):
    control(context, "faults", kind="freeze", target=worker, for_seconds=seconds)


@then('the ledger lists {number:d} of "{section}"')
def step_ledger_list(context, number, section):
    listed = read_ledger(context)[section]
    assert len(listed) == number, listed


@then('the ledger counts {number:d} of "{name}"')
def step_ledger_count(context, number, name):
    counts = read_ledger(context)["counts"]
    assert counts.get(name, 0) == number, counts


@given('an upstream with {slots:d} slots on "{worker}"')
def step_upstream(context, slots, worker):
    entry = {
        "attempt": "u1",
        "task": "sponsor-desk/0",
        "job": "sponsor-desk",
        "kind": "service",
        "resources": {"processors": 1},
        "lease_until": time.time() + 60,
        "command": {"service": {"name": "sponsor-desk", "slots": slots}},
    }
    started = call_json(context, worker, "POST", "/v1/tasks:start", {"tasks": [entry]})
    context.location, _, prefix = started["tasks"][0]["address"].partition("/")
    context.path = f"/{prefix}/proofs"
    context.worker = worker


def send_to_upstream(context, headers):
    request_headers = {"lavenderhook-request-id": "r-1", **headers}
    return call(context, context.worker, "POST", context.path, "a body", request_headers)


@when("a request is sent to the upstream")
def step_send(context):
    send_to_upstream(context, {})


@when('{number:d} requests run at once with headers "{headers}"')
def step_send_many(context, number, headers):
    parsed = dict(parse_qsl(headers))
    greenlets = [
        gevent.spawn_later(REQUEST_INTERVAL_SECONDS * index, send_to_upstream, context, parsed)
        for index in range(number)
    ]
    answers = [greenlet.get() for greenlet in greenlets]
    expected = f"r-1 {context.worker}\na body".encode()
    assert all(a and a[0] == 200 and a[2] == expected for a in answers), answers


@when("a request is open with an incomplete body")
def step_incomplete_body(context):
    host, port = context.location.split(":")
    connection = socket.create_connection((host, int(port)))
    context.add_cleanup(connection.close)
    head = f"POST {context.path} HTTP/1.1\r\nHost: {host}\r\nContent-Length: 10\r\n\r\nhalf"
    connection.sendall(head.encode())
    gevent.sleep(REQUEST_INTERVAL_SECONDS)


@then('the upstream answers {status:d} with "{first}" and "{second}"')
def step_upstream_refused(context, status, first, second):
    answered, headers, _ = context.answer
    assert answered == status, context.answer
    assert headers[first] == headers[second] == "1", headers


@when('the stand-ins of deployment "{deployment}" run as a process')
def step_process(context, deployment):
    command = [sys.executable, "-m", "standins", "--deployment", deployment]
    context.process = subprocess.Popen(command, stdout=subprocess.PIPE, text=True, cwd=ROOT)
    context.add_cleanup(context.process.stdout.close)
    context.add_cleanup(context.process.kill)
    context.printed = json.loads(context.process.stdout.readline())


@then("the process printed the addresses of {workers:d} workers and {others:d} other listeners")
def step_printed(context, workers, others):
    printed = dict(context.printed)
    assert printed.pop("deployment") == "ajala"
    assert len(printed.pop("workers")) == workers
    assert len(printed) == others, printed


@then("the process ends with {status:d} on SIGTERM")
def step_process_ends(context, status):
    context.process.send_signal(signal.SIGTERM)
    assert context.process.wait(PROCESS_EXIT_TIMEOUT_SECONDS) == status


@given('client "{client}" is partitioned from "{worker}"')
def step_cut(context, client, worker):
    control(context, "faults", kind="cut", target=worker, clients=[client])


@when('client "{client}" lists the tasks of "{worker}"')
def step_list_as(context, client, worker):
    call(context, worker, "GET", "/v1/tasks", headers={"lavenderhook-instance": client})


@given("the list lags by {seconds:g} s")
def step_lag(context, seconds):
    control(context, "lag", seconds=seconds)


@when('instance "{instance}" registers')
def step_register(context, instance):
    control(context, "instances", id=instance, incarnation="i-1", address="127.0.0.1:1")


def is_listed(context, instance):
    entries = call_json(context, "instances", "GET", "/v1/instances")["entries"]
    return instance in [entry["id"] for entry in entries]


@then('instance "{instance}" is not in the list')
def step_not_listed(context, instance):
    assert not is_listed(context, instance)


@then('within {seconds:g} s instance "{instance}" is in the list')
def step_listed(context, seconds, instance):
    wait_for(lambda: is_listed(context, instance), seconds)


@when("{number:d} requests are sent one after the other on one connection")
def step_send_serially(context, number):
    host, port = context.location.split(":")
    request = f"GET {context.path} HTTP/1.1\r\nHost: {host}\r\n\r\n".encode()
    context.response_times = []
    with socket.create_connection((host, int(port))) as connection:
        connection.settimeout(RESPONSE_TIMEOUT_SECONDS)
        for _ in range(number):
            started_at = time.monotonic()
            connection.sendall(request)
            received = b""
            while not received.endswith(f" {context.worker}\n".encode()):
                received += connection.recv(65536)
            context.response_times.append(time.monotonic() - started_at)


@then("the median time is under {limit:d} ms")
def step_median(context, limit):
    median = statistics.median(context.response_times) * 1000
    assert median < limit, f"median {median:.1f} ms"
