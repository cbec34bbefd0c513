"""Steps of failure scenarios with real processes on loopback."""

import tempfile
import time
from collections import Counter
from pathlib import Path

import gevent
from behave import given, then, when

from demo.cluster import Cluster, call
from features.support.load import CALLER, Load

SERVICE = "sponsor-desk"
SEED = 20
JOB_HEADERS = {"lavenderhook-caller": CALLER}


def change_configuration(cluster, name, change, workload, **options):
    """Send a change that puts one workload."""
    put = {"kind": "workload", "name": workload, "type": "service", "count": 1}
    put["resources"] = {"processors": 500, "memory_mb": 512}
    body = {"change_id": change, "puts": [{**put, **options.pop("put", {})}], **options}
    return cluster.operate(name, "POST", "configuration", body)


def call_service(entry):
    """Tell whether an entry instance routes a request to the service."""
    headers = {"lavenderhook-request-id": f"probe-{time.time_ns()}", "lavenderhook-caller": "probe"}
    headers["lavenderhook-idempotent"] = "true"
    answer = call(entry.address, "POST", f"/service/{SERVICE}/echo", b"probe", headers)
    return answer.headers.get("lavenderhook-outcome") == "completed"


@given("a cluster of {instances:d} entry instances and a service of {tasks:d} tasks")
def step_cluster(context, instances, tasks):
    directory = tempfile.TemporaryDirectory()
    context.add_cleanup(directory.cleanup)
    cluster = context.cluster = Cluster("authority", Path(directory.name))
    context.add_cleanup(cluster.stop)
    context.killed = set()
    context.jobs = {}
    cluster.start(instances)
    answer = change_configuration(cluster, "entry-1", "first", SERVICE, put={"count": tasks})
    assert answer.status == 200, answer
    for entry in cluster.entries.values():
        cluster.wait_for(lambda e=entry: call_service(e), f"{entry.name} routes", 10)


@given("load on every entry instance")
def step_load(context):
    context.load = Load(context.cluster, SERVICE, SEED)
    context.add_cleanup(context.load.stop)


@when("every entry instance restarts gracefully in turn")
def step_restart(context):
    context.restarted = {}
    for name in list(context.cluster.entries):
        context.restarted[name] = context.cluster.restart_entry(name)
        context.cluster.wait_ready()


@then("every restarted instance had exited with 0")
def step_exits(context):
    assert set(context.restarted.values()) == {0}, context.restarted


def find_owner(cluster):
    """Return the name of the entry instance that owns the shard."""
    summary = cluster.operate(next(iter(cluster.entries)), "GET", "summary").decode()
    for entry in cluster.entries.values():
        if entry.incarnation == summary["owner"]:
            return entry.name
    raise AssertionError(f"no owner: {summary}")


@given('a batch job "{job}" of {tasks:d} tasks of {seconds:g} s is submitted')
@when('a batch job "{job}" of {tasks:d} tasks of {seconds:g} s is submitted')
def step_submit(context, job, tasks, seconds):
    submit_job(context, job, tasks, seconds)


def submit_job(context, job, tasks, seconds):
    """Submit a batch job, again with the same id as long as its answer is not definite."""
    resources = {"processors": 1000, "memory_mb": 512}
    body = {"id": job, "type": "batch", "resources": resources}
    body.update(count=tasks, run_seconds=seconds)
    context.jobs[job] = tasks

    def submit():
        try:
            address = next(iter(context.cluster.entries.values())).address
            answer = call(address, "POST", "/jobs", body, JOB_HEADERS)
        except OSError:
            return False
        return answer.status == 200

    context.cluster.wait_for(submit, f"{job} submitted", 10)


@when("the owner of the shard is killed")
def step_kill_owner(context):
    kill(context, find_owner(context.cluster))


@when("an instance that does not own the shard is killed")
def step_kill_other(context):
    owner = find_owner(context.cluster)
    kill(context, next(name for name in context.cluster.entries if name != owner))


def kill(context, name):
    """Kill an entry instance; its callers may see closed connections."""
    context.killed.add(context.cluster.entries[name].address)
    context.cluster.kill(name)


@when("{seconds:g} s pass under load")
def step_pass(context, seconds):
    gevent.sleep(seconds)


@then("every job ends as done within {seconds:d} s, with no task done twice")
def step_done(context, seconds):
    deadline = time.monotonic() + seconds
    entry = next(iter(context.cluster.entries.values()))
    for job, tasks in context.jobs.items():
        state = {}
        while state.get("state") != "done" and time.monotonic() < deadline:
            gevent.sleep(0.1)
            state = call(entry.address, "GET", f"/jobs/{job}", None, JOB_HEADERS).decode()
        assert state.get("state") == "done" and state["counts"] == {"done": tasks}, state
    ledger = context.cluster.read_ledger()
    assert ledger["done_twice"] == [], ledger["done_twice"]
    for job, tasks in context.jobs.items():
        ended = [task for task in ledger["done"] if task.rpartition(".")[0] == job]
        assert len(ended) == tasks, (job, ledger["done"])


@then("the callers and the ledger saw no violation")
def step_verdict(context):
    """Guards against cut, wrong, repeated or falsely denied work, overlaps and overcommit."""
    load = context.load
    load.stop()
    gevent.sleep(0.5)
    ledger = context.cluster.read_ledger()
    cut = [r for r in load.results if r.outcome == "closed" and r.address not in context.killed]
    denied = [
        r
        for r in load.results
        if r.outcome == "not-run" and f"{CALLER}/{r.request}" in ledger["executions"]
    ]
    found = {
        "wrong": load.wrong,
        "cut": cut,
        "denied": denied,
        "overcommit": ledger["overcommit"],
        "overlaps": ledger["overlaps"],
        "repeated": ledger["repeated_non_idempotent"],
    }
    outcomes = Counter((r.idempotent, r.outcome) for r in load.results)
    print("outcomes (idempotent, outcome):", dict(outcomes))
    violations = {name: (len(items), items[:5]) for name, items in found.items() if items}
    assert not violations, violations
    completed = sum(r.outcome == "completed" for r in load.results)
    assert completed > len(load.results) / 2, outcomes
