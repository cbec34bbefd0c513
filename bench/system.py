"""Latency added by a real cluster, and its control cost at rest.

Starts the stand-ins and seven entry instances as processes, declares the service of today's
deployments, and reads processor time and memory from ``/proc`` and bytes from ``/metrics``. The
added latency is the caller's time minus the upstream's stated service time, so it includes the
stand-ins' and the caller's own delays on this machine.
"""

from __future__ import annotations

import argparse
import json
import os
import random
import re
import tempfile
import time
from pathlib import Path

import gevent
from geventhttpclient import HTTPClient

from demo.cluster import Cluster

from .report import compute_percentile, describe_machine, print_table

SEED = 20_240
SERVICE_MS = 50
WORKERS = 24
SLOTS = 8
CAPACITY = WORKERS * SLOTS * 1000 / SERVICE_MS  # requests a second that the slots allow
REST_SECONDS = 12.0
LOAD_SECONDS = 8.0
WARM_UP_SECONDS = 2.0
SETTLE_SECONDS = 6.0
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
    answer = cluster.operate("entry-1", "POST", "configuration", body)
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
    text = cluster.operate(name, "GET", "metrics")
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


def measure_load(cluster: Cluster, rate: float, cost: bool = True) -> dict[str, object]:
    """Send idempotent requests at a fixed rate, drawn from a Poisson process, to all instances."""
    generator = random.Random(SEED)
    entries = list(cluster.entries.values())
    clients = [
        HTTPClient.from_url(
            f"http://{entry.address}/", concurrency=256, connection_timeout=5, network_timeout=10
        )
        for entry in entries
    ]
    pids = [entry.process.child.pid for entry in entries]
    added: list[float] = []
    late: list[float] = []
    failures: dict[str, int] = {}
    started = time.perf_counter()
    used = sum(read_processor_seconds(pid) for pid in pids)
    own = time.process_time()

    def send(client: HTTPClient, number: int, at: float) -> None:
        headers = {
            "lavenderhook-request-id": f"bench-{rate:.0f}-{number}",
            "lavenderhook-caller": "bench",
            "lavenderhook-idempotent": "true",
            "x-service-ms": str(SERVICE_MS),
        }
        begun = time.perf_counter()
        late.append(begun - at)
        try:
            answer = client.request("POST", "/service/sponsor-desk/x", b"hello", headers)
            answer.read()
            status = str(answer.status_code)
        except OSError as error:
            status = type(error).__name__
        taken = time.perf_counter() - begun
        if status != "200":
            failures[status] = failures.get(status, 0) + 1
        elif begun - started > WARM_UP_SECONDS:
            added.append(taken - SERVICE_MS / 1000)

    jobs = []
    at, number = started, 0
    while at - started < LOAD_SECONDS:
        at += generator.expovariate(rate)
        wait = at - time.perf_counter()
        gevent.sleep(max(0.0, wait))
        client = clients[generator.randrange(len(clients))]
        jobs.append(gevent.spawn(send, client, number, at))
        number += 1
    elapsed = time.perf_counter() - started
    used = sum(read_processor_seconds(pid) for pid in pids) - used
    own = time.process_time() - own
    gevent.joinall(jobs, timeout=10.0)
    for client in clients:
        client.close()
    return {
        "asked_s": rate,
        "sent_s": number / elapsed,
        "slots_percent": 100 * (number / elapsed) / CAPACITY,
        "requests": number,
        "measured": len(added),
        "added_p50_ms": compute_percentile(added, 50) * 1000,
        "added_p99_ms": compute_percentile(added, 99) * 1000,
        "core_us_per_request": used / number * 1e6,
        "generator_core_percent": own / elapsed * 100,
        "generator_late_p99_ms": compute_percentile(late, 99) * 1000,
        "failures": json.dumps(failures),
    }


def main() -> None:
    """Run the measurements and print tables and JSON."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--output", default="bench/results/system.json")
    parser.add_argument("--rates", default="300,600,1228,2457", help="requests a second")
    arguments = parser.parse_args()
    with tempfile.TemporaryDirectory() as directory:
        cluster = Cluster("authority", Path(directory), log_level="warning")
        try:
            cluster.start()
            declare_service(cluster)
            rest = measure_rest(cluster)
            loads = [measure_load(cluster, float(rate)) for rate in arguments.rates.split(",")]
        finally:
            cluster.stop()
    print_table("Control cost at rest, 7 entry instances and 24 workers", rest)
    print_table(f"Added latency, x-service-ms {SERVICE_MS}, {CAPACITY:.0f}/s allowed", loads)
    result = {
        "machine": {**describe_machine(), "load_average": os.getloadavg()},
        "rest": rest,
        "loads": loads,
    }
    Path(arguments.output).parent.mkdir(parents=True, exist_ok=True)
    Path(arguments.output).write_text(json.dumps(result, indent=1), encoding="utf-8")


if __name__ == "__main__":
    main()
