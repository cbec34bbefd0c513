"""Latency added by a real cluster, and its control cost at rest.

Starts the stand-ins and seven entry instances as processes, declares the service of today's
deployments, and reads processor time and memory from ``/proc`` and bytes from ``/metrics``. Times
are the caller's minus the stated service time. The same load also goes to the upstreams directly,
because the stand-ins' and the caller's own delays on one machine are part of both; all workers of
the stand-ins share one process.
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
SLOTS = 8
# Service time in milliseconds and requests a second. The stand-ins' one process bears no more
# than about 1,500 requests a second, so the longer service time fills 40 and 80 % of the slots.
LOADS = "50:300,50:1536,500:154,500:307"
REST_SECONDS = 8.0
LOAD_SECONDS = 4.5
WARM_UP_SECONDS = 1.5
SETTLE_SECONDS = 5.0
GENERATORS = 4  # processes; one is too slow for the higher rates
TICKS = os.sysconf("SC_CLK_TCK")
PAGE = os.sysconf("SC_PAGE_SIZE")
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
    return (int(fields[11]) + int(fields[12])) / TICKS


def read_resident_mb(pid: int) -> float:
    """Return the resident memory of a process in megabytes."""
    return int(Path(f"/proc/{pid}/statm").read_text().split()[1]) * PAGE / 1e6


def read_bytes(cluster: Cluster, name: str) -> dict[str, float]:
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


def measure_rest(cluster: Cluster) -> list[dict[str, object]]:
    """Return processor share, memory and bytes a second of each instance without requests."""
    names = list(cluster.entries)
    pids = {name: cluster.entries[name].process.child.pid for name in names}
    before = {name: read_bytes(cluster, name) for name in names}
    used = {name: read_processor_seconds(pids[name]) for name in names}
    started = time.monotonic()
    gevent.sleep(REST_SECONDS)
    seconds = time.monotonic() - started
    rows = []
    for name in names:
        share = (read_processor_seconds(pids[name]) - used[name]) / seconds
        memory = read_resident_mb(pids[name])
        after = read_bytes(cluster, name)
        rates = {k: (v - before[name].get(k, 0.0)) / seconds / 1000 for k, v in after.items()}
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


def generate(
    targets: Sequence[tuple[str, str]], service_ms: float, rate: float, seed: int
) -> dict[str, object]:
    """Send requests of a Poisson process to random targets; return times beyond the service's."""
    generator = random.Random(seed)
    clients = [
        HTTPClient.from_url(
            f"http://{address}/", concurrency=64, connection_timeout=5, network_timeout=10
        )
        for address, _ in targets
    ]
    added: list[float] = []
    late: list[float] = []
    failures: dict[str, int] = {}
    started, own = time.perf_counter(), time.process_time()

    def send(target: int, number: int, at: float) -> None:
        headers = {
            "lavenderhook-request-id": f"bench-{seed}-{number}",
            "lavenderhook-caller": "bench",
            "lavenderhook-idempotent": "true",
            "x-service-ms": str(service_ms),
        }
        begun = time.perf_counter()
        try:
            answer = clients[target].request("POST", targets[target][1], b"hello", headers)
            answer.read()
            status = str(answer.status_code)
        except OSError as error:
            status = type(error).__name__
        taken = time.perf_counter() - begun
        if status != "200":
            failures[status] = failures.get(status, 0) + 1
        elif at - started > WARM_UP_SECONDS:
            added.append(taken - service_ms / 1000)
            late.append(begun - at)

    jobs = []
    at, number = started, 0
    while at - started < LOAD_SECONDS:
        at += generator.expovariate(rate)
        gevent.sleep(max(0.0, at - time.perf_counter()))
        jobs.append(gevent.spawn(send, generator.randrange(len(targets)), number, at))
        number += 1
    elapsed = time.perf_counter() - started
    own = time.process_time() - own
    gevent.joinall(jobs, timeout=10.0)
    return {
        "added": added,
        "late": late,
        "failures": failures,
        "sent": number,
        "seconds": elapsed,
        "core": own / elapsed,
    }


def measure_load(
    cluster: Cluster,
    name: str,
    targets: Sequence[tuple[str, str]],
    service_ms: float,
    rate: float,
) -> dict[str, object]:
    """Send requests at a fixed rate from several processes; return latencies and costs."""
    pids = [entry.process.child.pid for entry in cluster.entries.values()]
    used = sum(read_processor_seconds(pid) for pid in pids)
    children = []
    for n in range(GENERATORS):
        child = subprocess.Popen(
            [sys.executable, "-m", "bench.system", "--generate"],
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
            env={**os.environ, "PYTHONPATH": f"src{os.pathsep}."},
        )
        seed = SEED + int(rate) * 10 + n + (500_000 if name == "direct" else 0)
        child.stdin.write(json.dumps([list(targets), service_ms, rate / GENERATORS, seed]).encode())
        child.stdin.close()
        children.append(child)
    parts = [json.loads(child.stdout.read()) for child in children]
    for child in children:
        child.wait(10.0)
    used = sum(read_processor_seconds(pid) for pid in pids) - used
    added = [value for part in parts for value in part["added"]]
    late = [value for part in parts for value in part["late"]]
    sent = sum(part["sent"] for part in parts)
    sent_rate = sum(part["sent"] / part["seconds"] for part in parts)
    return {
        "path": name,
        "service_ms": service_ms,
        "asked_s": rate,
        "sent_s": sent_rate,
        "slots_percent": sent_rate * service_ms / 10 / (WORKERS * SLOTS),
        "measured": len(added),
        "p50_ms": compute_percentile(added, 50) * 1000,
        "p99_ms": compute_percentile(added, 99) * 1000,
        "entry_core_us_per_request": used / sent * 1e6,
        "generator_core_percent": max(part["core"] for part in parts) * 100,
        "generator_late_p99_ms": compute_percentile(late, 99) * 1000,
        "failures": json.dumps([part["failures"] for part in parts if part["failures"]]),
    }


def main() -> None:
    """Run the measurements and print tables and JSON."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--output", default="bench/results/system.json")
    parser.add_argument(
        "--loads", default=LOADS, help="pairs of milliseconds and requests a second"
    )
    parser.add_argument("--generate", action="store_true", help="used by the benchmark itself")
    arguments = parser.parse_args()
    if arguments.generate:
        print(json.dumps(generate(*json.load(sys.stdin))))
        return
    with tempfile.TemporaryDirectory() as directory:
        cluster = Cluster("authority", Path(directory), log_level="warning")
        try:
            cluster.start()
            declare_service(cluster)
            rest = measure_rest(cluster)
            routed = [(e.address, "/service/sponsor-desk/x") for e in cluster.entries.values()]
            direct = list_upstreams(cluster)
            loads = [
                measure_load(cluster, name, targets, float(service_ms), float(rate))
                for service_ms, rate in (load.split(":") for load in arguments.loads.split(","))
                for name, targets in (("direct", direct), ("routed", routed))
            ]
        finally:
            cluster.stop()
    print_table("Control cost at rest, 7 entry instances and 24 workers", rest)
    print_table("Time beyond the service, to upstreams directly and routed", loads)
    result = {
        "machine": {**describe_machine(), "load_average": os.getloadavg()},
        "rest": rest,
        "loads": loads,
    }
    Path(arguments.output).parent.mkdir(parents=True, exist_ok=True)
    Path(arguments.output).write_text(json.dumps(result, indent=1), encoding="utf-8")


if __name__ == "__main__":
    main()
