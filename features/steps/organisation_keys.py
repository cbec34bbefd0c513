"""Steps on the keys of organisations."""

import base64
import itertools
import json
import re
import signal
import tempfile
import time
from pathlib import Path
from types import SimpleNamespace

import gevent
from behave import given, then, when

from features.steps.configuration import wait_for_statuses
from features.steps.platform_queues import make_steps, start_cluster
from features.support.queue_processes import EntryCluster
from lavenderhook._internal.daemon.logs import DecisionLog
from lavenderhook._internal.queueing.authentication import (
    AvailableRevocation,
    CallRefusal,
    StrictRevocation,
    authenticate,
)
from lavenderhook._internal.queueing.organisations import Organisations
from lavenderhook.errors import SettingsError
from lavenderhook.platform.lists import decode_configuration
from lavenderhook.platform.settings import load_settings

BOUND_SECONDS = 3.0
STRICT_SECONDS = 5.0
PATH = "/jobs/00000000000000ff"
QUEUE_PATH = "/jobs/"
# The ends of all keys in the texts of the scenarios: none may occur in a log or in a message.
KEYS = re.compile(r"-key\b|\bk[1-5]\b")


def make_entries(text):
    """Return the entries that a text describes: name, keys, weight and limit of each."""
    entries = []
    for part in filter(None, text.split("; ")):
        name, keys, weight, processors = part.split()
        entries.append(
            {
                "name": name,
                "apiKeys": [key for key in keys.split(",") if key != "-"],
                "weight": int(weight),
                "maxCount": {"cpu": int(processors), "memMb": 0, "gpu": 0},
            }
        )
    return entries


def change_entries(entries, change):
    """Return the JSON text of entries after a change such as ``0.weight = -1``."""
    marker = "\u0001value"
    path, _, value = change.partition(" = ")
    if path == "every weight missing":
        return json.dumps([{**entry, "weight": None} for entry in entries]).replace(
            ', "weight": null', ""
        )
    if path == "the whole list":
        return value
    if path != "nothing":
        *parents, last = path.removesuffix(" missing").split(".")
        holder = entries
        for name in parents:
            holder = holder[int(name) if isinstance(holder, list) else name]
        if path.endswith(" missing"):
            del holder[last]
        else:
            holder[int(last) if isinstance(holder, list) else last] = marker
    return json.dumps(entries).replace(json.dumps(marker), value)


def decode(version, tenants):
    """Decode a configuration with a list of tenants in JSON."""
    content = f'{{"version":{version},"routes":[],"tenants":{tenants}}}'
    return decode_configuration(content.encode(), lambda event, **fields: None)


def describe(organisations):
    """Return the text that describes organisations."""
    texts = [
        f"{entry.name} {','.join(sorted(entry.keys)) or '-'} {entry.weight:g}"
        f" {entry.limit.processors}"
        for entry in sorted(organisations, key=lambda entry: entry.name)
    ]
    return "; ".join([*texts, *([] if organisations.is_complete else ["*"])])


@given('the organisations "{text}" are in force')
def step_in_force(context, text):
    context.routes = decode(1, json.dumps(make_entries(text)))


@when('a configuration declares "{text}" with {change}')
def step_decode(context, text, change):
    tenants = change_entries(make_entries(text), change)
    context.first, former = decode(2, tenants), context.routes
    context.routes = decode(2, tenants)
    context.routes.inherit(former)


@then('the organisations in force are "{text}"')
@then('the organisations in force are ""')
def step_resolved(context, text=""):
    assert describe(context.routes.organisations) == text, describe(context.routes.organisations)


@then('an instance that starts with it has "{text}"')
@then('an instance that starts with it has ""')
def step_resolved_first(context, text=""):
    assert describe(context.first.organisations) == text, describe(context.first.organisations)


@then('the problems are at "{paths}", and none quotes a key')
@then('the problems are at "", and none quotes a key')
def step_problems(context, paths=""):
    problems = context.routes.problems
    assert sorted(problem.path for problem in problems) == list(filter(None, paths.split(", "))), (
        problems
    )
    assert not any(KEYS.search(problem.message) for problem in problems), problems


@when("a call with {key} is checked {knowledge}")
def step_check(context, key, knowledge):
    seconds = re.search(r"(\d+) s after", knowledge)
    age = float(seconds.group(1)) if seconds else 0.1
    organisations = Organisations(
        context.routes.organisations, is_complete="incomplete" not in knowledge
    )
    context.results = []
    for policy in (AvailableRevocation(), StrictRevocation(STRICT_SECONDS)):
        text = "" if key == "no key" else key.strip('"')
        result = authenticate(
            text, organisations, policy, can_deny=age <= BOUND_SECONDS, age_seconds=age
        )
        context.results.append(result.value if isinstance(result, CallRefusal) else result.name)


@then("the result is {result}, and {strict} with strict revocation")
def step_check_result(context, result, strict):
    assert context.results == [result, strict], context.results


@then('the settings with "{setting}" are refused, and "{message}" is named')
def step_settings_refused(context, setting, message):
    from pathlib import Path
    from tempfile import TemporaryDirectory

    with TemporaryDirectory() as folder:
        cluster = EntryCluster(Path(folder), instances=1, workers=0)
        cluster.extra_bounds = setting
        cluster.platform.start()
        try:
            cluster.entries[0].write_settings()
            load_settings(str(cluster.entries[0].settings))
        except SettingsError as error:
            assert message in str(error), error
            return
        finally:
            cluster.stop()
    raise AssertionError(f"{setting} was accepted")


@given('1 entry instances with the bounds "{one}" and "{other}"')
def step_strict_cluster(context, one, other):
    start_cluster(context, 1, 1, extra_bounds=f"{one}\n{other}")


def write_organisations(context, version, tenants, is_public=False):
    """Write a configuration with one route and a list of tenants in JSON."""
    platform = context.cluster.platform
    routes = [{**route, "public": is_public} for route in platform.make_routes(["/jobs/"])]
    text = f'{{"version":{version},"routes":{json.dumps(routes)},"tenants":{tenants}}}'
    platform.store.put("op", "config", text.encode())


@when('version {version:d} declares "{text}"')
def step_declare(context, version, text):
    write_organisations(context, version, json.dumps(make_entries(text)))


@when('version {version:d} declares "{text}" with {change}')
def step_declare_odd(context, version, text, change):
    write_organisations(context, version, change_entries(make_entries(text), change))


@when('version {version:d} declares "{text}" and "/jobs/" is public')
def step_declare_public(context, version, text):
    write_organisations(context, version, json.dumps(make_entries(text)), is_public=True)


@then('every instance answers a call with "{key}" with {status:d} within {seconds:f} seconds')
def step_all_answer_key(context, key, status, seconds):
    context.cluster.key = key
    # A submission without a body is answered with 400, if the key is accepted: that needs neither
    # the owner nor the store.
    wait_for_statuses(
        context, lambda index: context.cluster.call(index, "POST", PATH), status, seconds
    )


@then('every instance takes submissions with "{key}" within {seconds:f} seconds')
def step_all_take(context, key, seconds):
    context.cluster.key = key
    numbers = itertools.count(1)

    def submit(index):
        return context.cluster.submit(index, f"{next(numbers):016x}", make_steps(1))

    wait_for_statuses(context, submit, 200, seconds)


@then(
    'every instance answers a GET of the submission with "{key}" with {status:d} '
    "within {seconds:f} seconds"
)
def step_all_answer_submission(context, key, status, seconds):
    context.cluster.key = key
    path = f"/jobs/{context.submission}"
    wait_for_statuses(
        context, lambda index: context.cluster.call(index, "GET", path), status, seconds
    )
    if status == 503:
        answer = context.cluster.call(0, "GET", path)
        assert int(answer.get_header("retry-after") or 0) >= 1, answer


@then('calls with no key and with "{key}" get 401, and nothing is stored')
def step_refused(context, key):
    cluster = context.cluster
    rows = cluster.platform.store.rows
    before = {name for name in rows if name[0] == "lavenderhook-work"}
    statuses = []
    for cluster.key in (None, key):
        for index in range(len(cluster.entries)):
            statuses.append(cluster.submit(index, "00000000000000ee", make_steps(1)).status)
            for method, path in (("GET", PATH), ("DELETE", PATH), ("GET", QUEUE_PATH)):
                statuses.append(cluster.call(index, method, path).status)
    assert statuses == [401] * 16, statuses
    gevent.sleep(0.3)
    assert {name for name in rows if name[0] == "lavenderhook-work"} == before
    assert not any(task.startswith("00000000000000ee") for task in cluster.platform.starts)


@when('submission "{name}" is sent with "{key}" and again with "{other}"')
def step_submit_twice(context, name, key, other):
    context.submission = name
    for index, context.cluster.key in enumerate((key, other)):
        answer = context.cluster.submit(index, name, make_steps(2))
        assert answer.status == 200, answer


@then('its row names the organisation "{organisation}", and it completes')
def step_row_names(context, organisation):
    rows = context.cluster.platform.store.rows
    found = [row for name, row in rows.items() if name[2] == f"submission/{context.submission}"]
    assert len(found) == 1, rows.keys()
    record = json.loads(base64.b64decode(found[0]["value"]))
    assert record["organisation"] == organisation, record
    state = context.cluster.wait_state(0, context.submission, "completed", 10.0)
    assert state == "completed", state
    assert set(context.cluster.platform.starts.values()) == {1}, context.cluster.platform.starts


@when("both instances are killed and started again")
def step_restart_both(context):
    for entry in context.cluster.entries:
        entry.send(signal.SIGKILL)
        entry.wait(2)
        entry.start()
    context.cluster.wait_ready()


@when('{count:d} calls with "{key}" are sent to instance {index:d}')
def step_many_refused(context, count, key, index):
    context.cluster.key = key
    context.former_log = read_logs(context)[index]
    started_at = time.monotonic()
    for _ in range(count):
        assert context.cluster.call(index, "GET", PATH).status == 401
    context.elapsed = time.monotonic() - started_at
    context.added_log = read_logs(context)[index].removeprefix(context.former_log)


def read_logs(context):
    """Return the log of each instance; the writer of a line is not waited for."""
    time.sleep(0.1)
    return [entry.log.read_text(encoding="utf-8") for entry in context.cluster.entries]


@then('its log has at most {rate:d} lines "{event}" a second, and no log has a key')
def step_no_key_logged(context, rate, event):
    lines = context.added_log.count(f'"{event}"')
    # Seconds begin with a line.
    assert 0 < lines <= rate * (int(context.elapsed) + 1), (lines, context.elapsed)
    text = "".join(read_logs(context))
    assert not KEYS.search(text), KEYS.search(text)


@then('each log has one line "{event}" for "{path}" and one for "{other}"')
def step_logged_once(context, event, path, other):
    for text in read_logs(context):
        lines = [json.loads(line) for line in text.splitlines() if f'"{event}"' in line]
        assert sorted(line["path"] for line in lines) == sorted((path, other)), lines


@when("a log reports a failure in a function that holds them")
def step_log_failure(context):
    def fail(organisations):
        assert KEYS.search(repr([*organisations.values()])), organisations
        return organisations.no_such_attribute

    with tempfile.TemporaryDirectory() as folder:
        path = Path(folder, "log")
        log = DecisionLog(SimpleNamespace(level="info", format="json", file=str(path)), "n")
        try:
            fail({entry.name: entry for entry in context.routes.organisations})
        except AttributeError as error:
            log.log_failure("checking a key", error)
        log.stop()
        context.added_log = path.read_text(encoding="utf-8")


@then("the log has the traceback, and no key")
def step_traceback_without_key(context):
    assert "no_such_attribute" in context.added_log, context.added_log
    assert not KEYS.search(context.added_log), context.added_log
