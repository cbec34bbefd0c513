"""Steps of failure scenarios with real processes on loopback."""

import tempfile
import time
from collections import Counter
from pathlib import Path

import gevent
from behave import given, then, when

from demo.cluster import Cluster, call
from features.support.load import CALLER, LoadGenerator

SERVICE = "sponsor-desk"
SEED = 20
JOB_HEADERS = {"lavenderhook-caller": CALLER}


def change_configuration(cluster, name, change, workload, **options):
    """Send a configuration change that puts one workload."""
    put = {"kind": "workload", "name": workload, "type": "service", "count": 1}
    put["resources"] = {"processors": 500, "memory_mb": 512}
    body = {"change_id": change, "puts": [{**put, **options.pop("put", {})}], **options}
    return cluster.call_operator(name, "POST", "configuration", body)


def call_service(entry):
    """Return whether an entry instance routes a request to the service."""
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
    context.load = LoadGenerator(context.cluster, SERVICE, SEED)
    context.add_cleanup(context.load.stop)


@when("every entry instance restarts gracefully in turn")
def step_restart(context):
    context.restarted = {}
    for name in list(context.cluster.entries):
        context.restarted[name] = context.cluster.restart_entry(name)
        context.cluster.wait_ready()


@then("every restarted instance exited with status 0")
def step_exits(context):
    assert set(context.restarted.values()) == {0}, context.restarted


def find_owner(cluster):
    """Return the name of the entry instance that owns the shard."""
    summary = cluster.call_operator(next(iter(cluster.entries)), "GET", "summary").decode()
    for entry in cluster.entries.values():
        if entry.incarnation == summary["owner"]:
            return entry.name
    raise AssertionError(f"no owner: {summary}")


@given('a batch job "{job}" of {tasks:d} tasks of {seconds:g} s is submitted')
@when('a batch job "{job}" of {tasks:d} tasks of {seconds:g} s is submitted')
def step_submit(context, job, tasks, seconds):
    submit_job(context, job, tasks, seconds)


def submit_job(context, job, tasks, seconds):
    """Submit a batch job, repeatedly with the same id until it is accepted."""
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
    """Kill an entry instance; its clients may see closed connections."""
    context.killed.add(context.cluster.entries[name].address)
    context.cluster.kill(name)


@when("{seconds:g} s pass while the load continues")
def step_pass(context, seconds):
    gevent.sleep(seconds)


@then("every job is done within {seconds:d} s and no task is done twice")
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


@then("no client saw a wrong answer and the ledger shows no violation")
def step_no_violation(context):
    """Check for closed connections, wrong answers, repeated or falsely denied work and overcommit.

    Overlapping attempts of a task are violations, too.
    """
    load = context.load
    load.stop()
    gevent.sleep(0.5)
    ledger = context.cluster.read_ledger()
    closed_early = [
        r for r in load.results if r.outcome == "closed" and r.address not in context.killed
    ]
    executed_but_denied = [
        r
        for r in load.results
        if r.outcome == "not-run" and f"{CALLER}/{r.request}" in ledger["executions"]
    ]
    violations_by_kind = {
        "invalid answers": load.invalid_answers,
        "closed early": closed_early,
        "executed but denied": executed_but_denied,
        "overcommit": ledger["overcommit"],
        "overlaps": ledger["overlaps"],
        "repeated": ledger["repeated_non_idempotent"],
    }
    outcomes = Counter((r.idempotent, r.outcome) for r in load.results)
    print("outcomes (idempotent, outcome):", dict(outcomes))
    violations = {
        name: (len(items), items[:5]) for name, items in violations_by_kind.items() if items
    }
    assert not violations, violations
    completed = sum(r.outcome == "completed" for r in load.results)
    assert completed > len(load.results) / 2, outcomes


@when("an instance that does not own the shard is paused for {seconds:g} s")
def step_pause(context, seconds):
    owner = find_owner(context.cluster)
    pause(context, next(name for name in context.cluster.entries if name != owner), seconds)


@when("the owner of the shard is paused for {seconds:g} s")
def step_pause_owner(context, seconds):
    pause(context, find_owner(context.cluster), seconds)


def pause(context, name, seconds):
    """Pause an entry instance and resume it."""
    context.cluster.pause(name)
    gevent.sleep(seconds)
    context.cluster.resume(name)


@when("the table is unavailable for {seconds:g} s")
def step_unavailable(context, seconds):
    context.unavailable_from = time.monotonic()
    context.cluster.add_fault("down", target="table", mode="answer")
    gevent.sleep(seconds)
    context.unavailable_until = time.monotonic()
    context.cluster.clear_faults()


@then("while it was unavailable idempotent requests completed and the others were not run")
def step_during_outage(context):
    """Check that the outage neither stops requests nor leads to a dispatch without a claim."""
    detected_at = context.unavailable_from + 0.5
    during = [
        r
        for r in context.load.results
        if r.began_at >= detected_at and r.ended_at <= context.unavailable_until
    ]
    outcomes = Counter((r.idempotent, r.outcome) for r in during)
    print("while unavailable:", dict(outcomes))
    assert set(outcomes) == {(True, "completed"), (False, "not-run")}, outcomes


@then("a configuration change is accepted within {seconds:d} s")
def step_change(context, seconds):
    cluster = context.cluster
    name = next(iter(cluster.entries))

    def change():
        return change_configuration(cluster, name, "later", "spare").status == 200

    cluster.wait_for(change, "configuration change", seconds)


@when("the table loses responses to commits with probability {probability:g}")
def step_lose_responses(context, probability):
    counters = context.cluster.read_ledger()["table"]["counters"]
    context.conflicts_before = counters.get("conflicts", 0)
    context.cluster.add_fault(
        "lose_answer", target="table", operations=["commit"], probability=probability
    )


@when("the injected faults are removed")
def step_clear(context):
    context.cluster.clear_faults()


def read_version(cluster, name):
    """Return the active configuration version of an entry instance."""
    return cluster.call_operator(name, "GET", "configuration").decode().get("version")


@when("two operators change the same version at different instances {times:d} times")
def step_race(context, times):
    cluster = context.cluster
    context.races = []
    names = list(cluster.entries)[:2]
    for round_number in range(times):
        version = max(read_version(cluster, name) for name in cluster.entries)
        calls = [
            gevent.spawn(
                change_configuration,
                cluster,
                name,
                f"race-{round_number}-{name}",
                f"spare-{name}",
                expected=version,
            )
            for name in names
        ]
        gevent.joinall(calls, timeout=20, raise_error=True)
        answers = [call.value for call in calls]
        wait_for_version(cluster, version + 1)
        context.races.append(answers)


def wait_for_version(cluster, version):
    """Wait until a configuration version is active on every entry instance."""

    def is_applied_everywhere():
        return {read_version(cluster, name) for name in cluster.entries} == {version}

    cluster.wait_for(is_applied_everywhere, f"version {version} active everywhere", 10)


@then("one change of each race is accepted and the other is a configuration-conflict")
def step_conflicts(context):
    for answers in context.races:
        rejected = [answer for answer in answers if answer.status != 200]
        assert len(rejected) == 1, answers
        assert rejected[0].status == 409 and b"configuration-conflict" in rejected[0].body, rejected


@when("a worker of the service starts draining")
def step_start_draining(context):
    ledger = context.cluster.read_ledger()
    attempts = [a for a in ledger["attempts"] if a["end"] is None]
    context.draining_worker = attempts[0]["worker"]
    context.cluster.add_fault("leaving", target=context.draining_worker, signal="list")
    context.draining_since = time.time()


@then("no request reaches that worker more than {seconds:g} s later")
def step_no_late_requests(context, seconds):
    """Check that every instance knows that the upstreams of the worker are leaving."""
    ledger = context.cluster.read_ledger()
    late = [e for e in ledger["while_leaving"] if e["seconds_after"] > seconds]
    before = [e for e in ledger["while_leaving"] if e["seconds_after"] <= seconds]
    print("requests while leaving:", len(before), "in time,", len(late), "late")
    assert not late, late[:5]
    assert time.time() - context.draining_since > seconds + 1


@then("the table has answered repeated transactions with conflicts")
def step_repeated(context):
    """Check that the fault had an effect: repeating an applied transaction conflicts."""
    conflicts = context.cluster.read_ledger()["table"]["counters"].get("conflicts", 0)
    print("conflicts:", conflicts, "before the fault:", context.conflicts_before)
    assert conflicts > context.conflicts_before + 10, conflicts
