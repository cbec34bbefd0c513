"""Run a complete system on this machine with every kind of work.

The counts of the summary line come from the callers and from the ledger of the workers.
"""

from __future__ import annotations

import argparse
import subprocess
import sys
import tempfile
import time
from pathlib import Path

import gevent

from .cluster import OPERATOR_TOKEN, ROOT, Cluster, ClusterError, call
from .load import Callers

SERVICES = {"authority": "sponsor-desk", "ajala": "quote-desk"}
CALLERS = 24
SERVICE_MS = 20
BATCH_TASKS = 40
GANG_TASKS = 8
JOB_TIMEOUT_SECONDS = 60.0
started_at = time.monotonic()


def print_progress(text: str) -> None:
    """Print a progress message with the seconds since the start."""
    print(f"{time.monotonic() - started_at:6.1f} s  {text}", flush=True)


def apply_examples(cluster: Cluster) -> None:
    """Apply the deployment's declarations with the command-line tool."""
    files = sorted(str(path) for path in (ROOT / "examples" / cluster.deployment).glob("*.toml"))
    address = next(iter(cluster.entries.values())).address
    command = [sys.executable, "-m", "lavenderhook.cli", "apply", *files]
    options = ["--address", address, "--token", OPERATOR_TOKEN, "--change-id", "demo-1"]
    result = subprocess.run(
        [*command, *options], check=True, cwd=ROOT, stdout=subprocess.PIPE, text=True
    )
    print_progress(f"lavenderhook apply: {result.stdout.splitlines()[-1]}")


def count_running(cluster: Cluster, name: str) -> int:
    """Return the number of running tasks of a service."""
    answer = cluster.call_operator(next(iter(cluster.entries)), "GET", f"jobs/service.{name}")
    return answer.decode().get("counts", {}).get("running", 0) if answer.status == 200 else 0


def submit(cluster: Cluster, job: dict) -> None:
    """Submit a job to the first entry instance that accepts it."""
    for entry in list(cluster.entries.values()):
        answer = call(entry.address, "POST", "/jobs", job, {"lavenderhook-caller": "demo"})
        if answer.status == 200:
            print_progress(f"job {job['id']}: {job['count']} tasks accepted ({job['type']})")
            return
    raise ClusterError(f"job {job['id']} was not accepted: {answer.status} {answer.body!r}")


def get_job_state(cluster: Cluster, job_id: str) -> str:
    """Return the state of a job, or an empty string if it is unavailable."""
    entry = next(iter(cluster.entries.values()))
    headers = {"lavenderhook-caller": "demo"}
    answer = call(entry.address, "GET", f"/jobs/{job_id}", None, headers)
    return answer.decode().get("state", "") if answer.status == 200 else ""


def change_selector(cluster: Cluster) -> None:
    """Restrict a batch job to one availability zone and wait until all instances apply it."""
    zone = next(iter(cluster.entries.values())).availability_zone
    selector = {
        "kind": "selector",
        "name": "demo-batch-zone",
        "target": "placement",
        "workloads": {"requirements": [{"key": "demo", "operator": "in", "values": ["moved"]}]},
        "workers": {
            "requirements": [{"key": "availability-zone", "operator": "in", "values": [zone]}]
        },
    }
    body = {"change_id": "demo-2", "puts": [selector]}
    answer = cluster.call_operator(next(iter(cluster.entries)), "POST", "configuration", body)
    if answer.status != 200:
        raise ClusterError(f"the selector was not accepted: {answer.body!r}")
    version = answer.decode()["version"]
    seconds = cluster.wait_for(
        lambda: all(get_version(cluster, name) >= version for name in cluster.entries),
        "the selector active on all entry instances",
        10.0,
    )
    print_progress(
        f"selector changed: version {version} active on all instances after {seconds:.2f} s"
    )
    job = make_job("demo-moved", "batch", 4, 500)
    submit(cluster, {**job, "labels": {"demo": "moved"}})


def get_version(cluster: Cluster, name: str) -> int:
    """Return the active configuration version of an entry instance."""
    return cluster.call_operator(name, "GET", "configuration").decode().get("version", 0)


def make_job(job_id: str, kind: str, count: int, processors: int) -> dict:
    """Build the body of a job submission."""
    return {
        "id": job_id,
        "type": kind,
        "count": count,
        "run_seconds": 1.5,
        "resources": {"processors": processors, "memory_mb": 512},
    }


def run_demo(cluster: Cluster) -> int:
    """Run all steps of the demo and return the exit status."""
    service = SERVICES[cluster.deployment]
    print_progress(
        f"starting the platform's stand-ins and 7 entry instances ({cluster.deployment})"
    )
    cluster.start()
    zones = sorted({entry.availability_zone for entry in cluster.entries.values()})
    print_progress(f"7 entry instances are ready in {', '.join(zones)}; 24 workers")
    apply_examples(cluster)
    cluster.wait_for(lambda: count_running(cluster, service) >= 24, f"24 tasks of {service}", 40.0)
    print_progress(f"{service}: 24 tasks are running")
    caller_groups = [
        Callers(cluster, service, CALLERS, SERVICE_MS, idempotent=True),
        Callers(cluster, service, CALLERS // 4, SERVICE_MS, idempotent=False),
    ]
    for group in caller_groups:
        group.start()
    print_progress(
        f"{CALLERS + CALLERS // 4} callers send requests, a fifth of them non-idempotent"
    )
    submit(cluster, make_job("demo-batch", "batch", BATCH_TASKS, 1000))
    submit(cluster, make_job("demo-gang", "gang", GANG_TASKS, 2000))
    change_selector(cluster)
    restart_under_load(cluster)
    jobs = {"demo-batch": BATCH_TASKS, "demo-gang": GANG_TASKS, "demo-moved": 4}
    for job_id in jobs:
        cluster.wait_for(
            lambda name=job_id: get_job_state(cluster, name) == "done",
            f"{job_id} done",
            JOB_TIMEOUT_SECONDS,
        )
        print_progress(f"job {job_id}: done")
    caller_counts = [group.stop() for group in caller_groups]
    print_progress("callers stopped")
    return print_report(cluster, caller_counts, sum(jobs.values()))


def restart_under_load(cluster: Cluster) -> None:
    """Restart one entry instance gracefully while callers send requests."""
    name = sorted(cluster.entries)[2]
    gevent.sleep(1.0)
    print_progress(f"restarting {name} under load")
    status = cluster.restart_entry(name)
    cluster.wait_ready()
    print_progress(f"{name} exited with status {status}; its successor is ready")
    gevent.sleep(2.0)


def print_report(cluster: Cluster, caller_counts: list, expected_tasks: int) -> int:
    """Print the results and the summary line; return the exit status."""
    ledger = cluster.read_ledger()
    answered = sum(count.answered for count in caller_counts)
    resends = sum(count.resends for count in caller_counts)
    mismatched_answers = sum(count.mismatched_answers for count in caller_counts)
    done = ledger["counts"]["done"]
    lost = (
        sum(count.unanswered for count in caller_counts)
        + mismatched_answers
        + max(0, expected_tasks - done)
    )
    duplicate_executions = len(ledger["repeated_non_idempotent"]) + len(ledger["overlaps"])
    duplicate_executions += len(ledger["done_twice"])
    rows = {
        "requests answered": answered,
        "requests resent by callers": resends,
        "mismatched answers": mismatched_answers,
        "tasks done": done,
        "tasks expected": expected_tasks,
        "executions at upstreams": len(ledger["executions"]),
        "overlapping attempts of a task": len(ledger["overlaps"]),
        "non-idempotent requests run twice": len(ledger["repeated_non_idempotent"]),
        "overcommitted resources": len(ledger["overcommit"]),
    }
    print()
    for label, value in rows.items():
        print(f"  {label:36}{value:>8}")
    print()
    print(
        f"demo: {answered} requests answered, {done} tasks done, {lost} lost, "
        f"{duplicate_executions} doubled"
    )
    succeeded = (
        answered
        and done == expected_tasks
        and not (lost or duplicate_executions or ledger["overcommit"])
    )
    return 0 if succeeded else 1


def main() -> int:
    """Run the demo in a temporary directory."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--deployment", choices=sorted(SERVICES), default="authority")
    options = parser.parse_args()
    with tempfile.TemporaryDirectory() as directory:
        cluster = Cluster(options.deployment, Path(directory))
        try:
            return run_demo(cluster)
        except ClusterError as error:
            print(f"demo: failed: {error}", file=sys.stderr)
            return 1
        finally:
            cluster.stop()


if __name__ == "__main__":
    sys.exit(main())
