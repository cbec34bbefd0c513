"""Latency added by a real cluster, and its overhead while idle.

Starts the stand-ins and seven entry instances as processes, declares the service of current
deployments, and reads processor time and memory from ``/proc`` and bytes from ``/metrics``.
Latencies are measured by the caller, less the requested service time. The same load also goes to
the upstreams directly, because the stand-ins' and the caller's own delays on one machine are part
of both; all workers of the stand-ins share one process.
"""

from __future__ import annotations

import argparse
import json
import os
import random
import re
import subprocess
import sys
import tempfile
import time
from collections.abc import Sequence
from pathlib import Path

import gevent
from geventhttpclient import HTTPClient

from demo.cluster import Cluster, call

from .report import compute_percentile, describe_machine, print_table

SEED = 20_240
WORKERS = 24
SLOTS_PER_WORKER = 8
# Service time in milliseconds and requests a second. The single process of the stand-ins handles
# at most about 1,500 requests a second. At 50 ms these occupy 40 % of the slots, so the longer
# service time is needed for 80 %.
DEFAULT_LOADS = "50:300,50:1536,500:154,500:307"
IDLE_SECONDS = 8.0
LOAD_SECONDS = 4.5
WARM_UP_SECONDS = 1.5
SETTLE_SECONDS = 5.0
GENERATOR_PROCESSES = 4  # one is too slow for the higher rates
CLOCK_TICKS_PER_SECOND = os.sysconf("SC_CLK_TCK")
PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")
SENT_PATTERN = re.compile(
    r'lavenderhook_client_sent_bytes_total\{[^}]*kind="(\w+)"[^}]*\} ([\d.e+]+)'
)
RECEIVED_PATTERN = re.compile(
    r'lavenderhook_client_received_bytes_total\{[^}]*kind="(\w+)"[^}]*\} ([\d.e+]+)'
)


def declare_service(cluster: Cluster) -> None:
    """Declare the service and wait until its slots are granted."""
    workload = {
        "kind": "workload",
        "name": "sponsor-desk",
        "type": "service",
        "resources": {"processors": 2000, "memory_mb": 2048},
        "count": WORKERS,
        "labels": {"desk": "sponsor"},
    }
    body = {"change_id": "bench", "puts": [workload]}
    answer = cluster.call_operator("entry-1", "POST", "configuration", body)
    if answer.status >= 300:
        raise RuntimeError(f"configuration refused: {answer.status} {answer.body[:200]!r}")
    gevent.sleep(SETTLE_SECONDS)


def read_processor_seconds(pid: int) -> float:
    """Return the processor time that a process has used."""
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / CLOCK_TICKS_PER_SECOND


def read_resident_mb(pid: int) -> float:
    """Return the resident memory of a process in megabytes."""
    return int(Path(f"/proc/{pid}/statm").read_text().split()[1]) * PAGE_BYTES / 1e6


def read_client_bytes(cluster: Cluster, name: str) -> dict[str, float]:
    """Return the bytes that a process sent and received as a client, by kind of call."""
    text = cluster.call_operator(name, "GET", "metrics")
    content = text.body.decode()
    if "lavenderhook_" not in content:
        client = HTTPClient.from_url(f"http://{cluster.entries[name].address}/metrics")
        content = client.request("GET", "/metrics").read().decode()
        client.close()
    sums: dict[str, float] = {}
    for label, pattern in (("sent", SENT_PATTERN), ("received", RECEIVED_PATTERN)):
        for kind, value in pattern.findall(content):
            key = f"{kind}_{label}"
            sums[key] = sums.get(key, 0.0) + float(value)
    return sums


def measure_idle(cluster: Cluster) -> list[dict[str, object]]:
    """Return processor share, memory and bytes a second of each instance without requests."""
    names = list(cluster.entries)
    pids = {name: cluster.entries[name].process.child.pid for name in names}
    bytes_before = {name: read_client_bytes(cluster, name) for name in names}
    used_before = {name: read_processor_seconds(pids[name]) for name in names}
    started = time.monotonic()
    gevent.sleep(IDLE_SECONDS)
    seconds = time.monotonic() - started
    rows = []
    for name in names:
        share = (read_processor_seconds(pids[name]) - used_before[name]) / seconds
        memory = read_resident_mb(pids[name])
        bytes_after = read_client_bytes(cluster, name)
        rates = {
            k: (v - bytes_before[name].get(k, 0.0)) / seconds / 1000 for k, v in bytes_after.items()
        }
        rows.append(
            {
                "instance": name,
                "core_percent": share * 100,
                "memory_mb": memory,
                "kb_s": sum(rates.values()),
                "kb_s_by_kind": {k: round(v, 2) for k, v in sorted(rates.items())},
            }
        )
    return rows


def list_upstreams(cluster: Cluster) -> list[tuple[str, str]]:
    """Return address and path of every upstream, read from the workers."""
    content = call(cluster.platform["instances"], "GET", "/v1/instances").decode()
    targets = []
    for entry in content["entries"]:
        if entry["role"] != "worker":
            continue
        for task in call(entry["address"], "GET", "/v1/tasks").decode()["tasks"]:
            if "address" in task:
                address, _, prefix = task["address"].partition("/")
                targets.append((address, f"/{prefix}/x"))
    return targets


def generate_load(
    targets: Sequence[tuple[str, str]], service_ms: float, rate: float, seed: int
) -> dict[str, object]:
    """Send a Poisson process of requests to random targets; return the latency that each added."""
    generator = random.Random(seed)
    clients = [
        HTTPClient.from_url(
            f"http://{address}/", concurrency=64, connection_timeout=5, network_timeout=10
        )
        for address, _ in targets
    ]
    added_seconds: list[float] = []
    send_delays: list[float] = []
    failures: dict[str, int] = {}
    started, processor_seconds = time.perf_counter(), time.process_time()

    def send(target: int, number: int, due_at: float) -> None:
        headers = {
            "lavenderhook-request-id": f"bench-{seed}-{number}",
            "lavenderhook-caller": "bench",
            "lavenderhook-idempotent": "true",
            "x-service-ms": str(service_ms),
        }
        sent_at = time.perf_counter()
        try:
            answer = clients[target].request("POST", targets[target][1], b"hello", headers)
            answer.read()
            status = str(answer.status_code)
        except OSError as error:
            status = type(error).__name__
        elapsed_seconds = time.perf_counter() - sent_at
        if status != "200":
            failures[status] = failures.get(status, 0) + 1
        elif due_at - started > WARM_UP_SECONDS:
            added_seconds.append(elapsed_seconds - service_ms / 1000)
            send_delays.append(sent_at - due_at)

    greenlets = []
    due_at, number = started, 0
    while due_at - started < LOAD_SECONDS:
        due_at += generator.expovariate(rate)
        gevent.sleep(max(0.0, due_at - time.perf_counter()))
        greenlets.append(gevent.spawn(send, generator.randrange(len(targets)), number, due_at))
        number += 1
    elapsed = time.perf_counter() - started
    processor_seconds = time.process_time() - processor_seconds
    gevent.joinall(greenlets, timeout=10.0)
    return {
        "added": added_seconds,
        "late": send_delays,
        "failures": failures,
        "sent": number,
        "seconds": elapsed,
        "core": processor_seconds / elapsed,
    }


def measure_load(
    cluster: Cluster,
    route: str,
    targets: Sequence[tuple[str, str]],
    service_ms: float,
    rate: float,
) -> dict[str, object]:
    """Send requests at a mean rate from several processes; return latencies and processor time."""
    pids = [entry.process.child.pid for entry in cluster.entries.values()]
    used_seconds = sum(read_processor_seconds(pid) for pid in pids)
    children = []
    for n in range(GENERATOR_PROCESSES):
        child = subprocess.Popen(
            [sys.executable, "-m", "bench.system", "--generate"],
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
            env={**os.environ, "PYTHONPATH": f"src{os.pathsep}."},
        )
        seed = SEED + int(rate) * 10 + n + (500_000 if route == "direct" else 0)
        child.stdin.write(
            json.dumps([list(targets), service_ms, rate / GENERATOR_PROCESSES, seed]).encode()
        )
        child.stdin.close()
        children.append(child)
    results = [json.loads(child.stdout.read()) for child in children]
    for child in children:
        child.wait(10.0)
    used_seconds = sum(read_processor_seconds(pid) for pid in pids) - used_seconds
    added_seconds = [value for result in results for value in result["added"]]
    send_delays = [value for result in results for value in result["late"]]
    sent = sum(result["sent"] for result in results)
    sent_rate = sum(result["sent"] / result["seconds"] for result in results)
    return {
        "path": route,
        "service_ms": service_ms,
        "asked_s": rate,
        "sent_s": sent_rate,
        "slots_percent": sent_rate * service_ms / 10 / (WORKERS * SLOTS_PER_WORKER),
        "measured": len(added_seconds),
        "p50_ms": compute_percentile(added_seconds, 50) * 1000,
        "p99_ms": compute_percentile(added_seconds, 99) * 1000,
        "entry_core_us_per_request": used_seconds / sent * 1e6,
        "generator_core_percent": max(result["core"] for result in results) * 100,
        "generator_late_p99_ms": compute_percentile(send_delays, 99) * 1000,
        "failures": json.dumps([result["failures"] for result in results if result["failures"]]),
    }


def main() -> None:
    """Run the measurements and print tables and JSON."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--output", default="bench/results/system.json")
    parser.add_argument(
        "--loads", default=DEFAULT_LOADS, help="pairs of milliseconds and requests a second"
    )
    parser.add_argument(
        "--generate", action="store_true", help="internal: run one load generator process"
    )
    arguments = parser.parse_args()
    if arguments.generate:
        print(json.dumps(generate_load(*json.load(sys.stdin))))
        return
    with tempfile.TemporaryDirectory() as directory:
        cluster = Cluster("authority", Path(directory), log_level="warning")
        try:
            cluster.start()
            declare_service(cluster)
            idle = measure_idle(cluster)
            routed = [(e.address, "/service/sponsor-desk/x") for e in cluster.entries.values()]
            direct = list_upstreams(cluster)
            loads = [
                measure_load(cluster, route, targets, float(service_ms), float(rate))
                for service_ms, rate in (load.split(":") for load in arguments.loads.split(","))
                for route, targets in (("direct", direct), ("routed", routed))
            ]
        finally:
            cluster.stop()
    print_table("Control cost while idle, 7 entry instances and 24 workers", idle)
    print_table("Latency beyond the service time, to upstreams directly and routed", loads)
    result = {
        "machine": {**describe_machine(), "load_average": os.getloadavg()},
        "rest": idle,
        "loads": loads,
    }
    Path(arguments.output).parent.mkdir(parents=True, exist_ok=True)
    Path(arguments.output).write_text(json.dumps(result, indent=1), encoding="utf-8")


if __name__ == "__main__":
    main()
