"""Growth of state, messages, processor time and table writes with the sizes that drive them.

Each slope is a least-squares line over four sizes or more. `spread` is the largest distance of a
point from the line, as a share of the largest point. Times are the best of `REPEATS` runs, because
other processes on the machine only ever add time. Commits are counted in virtual time, with the
reducer and the test doubles of the features; a commit takes 5 ms there.
"""

from __future__ import annotations

import argparse
import gc
import json
import os
import random
import time
import tracemalloc
import zlib
from collections.abc import Callable, Sequence
from pathlib import Path

import msgspec
import numpy as np

from features.support import cluster as doubles
from lavenderhook._internal.adapters.commits import encode_batch
from lavenderhook._internal.adapters.peers import Heartbeat
from lavenderhook._internal.core.declarations import Workload
from lavenderhook._internal.core.events import ConfigurationChange
from lavenderhook._internal.core.grants import GrantInputs, GrantMember, plan_grants
from lavenderhook._internal.core.identifiers import MemberState, TaskState, WorkloadKind
from lavenderhook._internal.core.index import WorkerIndex
from lavenderhook._internal.core.messages import Digest
from lavenderhook._internal.core.records import (
    AnyRecord,
    AttemptEnded,
    AttemptStarted,
    GrantsChanged,
    JobAccepted,
    JobSpec,
    ShardSnapshot,
    TaskPlaced,
    UpstreamView,
)
from lavenderhook._internal.core.resources import Resources
from lavenderhook._internal.core.shard import ShardState

from .report import describe_machine, print_table
from .workloads import make_workers

SEED = 20_240
REPEATS = 3
TASKS_PER_JOB = 5
DESIGN_STARTS_PER_SECOND = 2100
TASK_SIZES = (2000, 5000, 10_000, 20_000)
WORKER_SIZES = (1000, 2500, 5000, 20_000)
Point = tuple[float, float]


def fit_line(name: str, per: str, unit: str, points: Sequence[Point]) -> dict[str, object]:
    """Return the least-squares line through points and its spread."""
    x = np.array([p[0] for p in points], dtype=float)
    y = np.array([p[1] for p in points], dtype=float)
    slope, intercept = np.polyfit(x, y, 1)
    spread = float(np.max(np.abs(y - (slope * x + intercept))) / np.max(np.abs(y)))
    return {
        "measure": name,
        "per": per,
        "unit": unit,
        "slope": float(slope),
        "base": float(intercept),
        "spread_percent": spread * 100,
        "points": " ".join(f"{a:g}:{b:.4g}" for a, b in points),
    }


def measure_best_seconds(action: Callable[[], object]) -> float:
    """Return the shortest of several runs in seconds."""
    times = []
    for _ in range(REPEATS):
        gc.collect()
        start = time.perf_counter()
        action()
        times.append(time.perf_counter() - start)
    return min(times)


def make_running_records(tasks: int) -> list[AnyRecord]:
    """Return the log records of jobs whose tasks are all running."""
    records: list[AnyRecord] = []
    for j in range(tasks // TASKS_PER_JOB):
        job_id = f"job-{j:06d}"
        spec = JobSpec(
            job_id=job_id,
            kind=WorkloadKind.BATCH,
            name="proofs",
            caller="engraver",
            team=f"team-{j % 180:03d}",
            labels={"desk": "sponsor"},
            resources=Resources(1500, 3000, 0),
            count=TASKS_PER_JOB,
            run_seconds=60.0,
        )
        records.append(JobAccepted(at=1000.0, job=spec))
        for t in range(TASKS_PER_JOB):
            task_id, attempt_id = f"{job_id}.{t}", f"{job_id}.{t}.1"
            records.append(
                TaskPlaced(
                    at=1000.0 + j / 1000,
                    job_id=job_id,
                    task_id=task_id,
                    attempt_id=attempt_id,
                    worker_id=f"w-{(j * TASKS_PER_JOB + t) % 1000:05d}",
                    lease_until=1015.0 + j / 1000,
                )
            )
            records.append(AttemptStarted(at=1001.0, attempt_id=attempt_id))
    return records


def replay_records(records: Sequence[AnyRecord]) -> ShardState:
    """Return the shard state after all records are applied."""
    state = ShardState(0)
    state.apply_all(records)
    return state


def measure_memory(build: Callable[[], object]) -> float:
    """Return the bytes that Python allocates for the result of `build`."""
    gc.collect()
    tracemalloc.start()
    built = build()
    size = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    del built
    return float(size)


def measure_shard_state() -> list[dict[str, object]]:
    """Return slopes of the shard state, its snapshot, its log and its recovery by tasks."""
    memory, snapshot_bytes, compressed_bytes, snapshot_ms, log_ms, apply = [], [], [], [], [], []
    for tasks in TASK_SIZES:
        records = make_running_records(tasks)
        # Strings and records are decoded again, as on takeover, so that no objects are shared.
        log = msgspec.msgpack.encode(tuple(records))
        decoder = msgspec.msgpack.Decoder(tuple[AnyRecord, ...])

        def load_log(log=log, decoder=decoder) -> ShardState:
            return replay_records(decoder.decode(log))

        memory.append((tasks, measure_memory(load_log)))
        state = replay_records(records)
        snapshot = ShardSnapshot(shard=0, log_number=1, records=state.build_records())
        encoded = msgspec.msgpack.encode(snapshot)
        compressed = zlib.compress(encoded, 1)
        snapshot_bytes.append((tasks, len(encoded)))
        compressed_bytes.append((tasks, len(compressed)))

        def load_snapshot(compressed=compressed) -> ShardState:
            decoded = msgspec.msgpack.decode(zlib.decompress(compressed), type=ShardSnapshot)
            return replay_records(decoded.records)

        snapshot_ms.append((tasks, measure_best_seconds(load_snapshot) * 1000))
        log_ms.append((tasks, measure_best_seconds(load_log) * 1000))
        apply.append(
            (len(records), measure_best_seconds(lambda r=records: replay_records(r)) * 1e6)
        )
    return [
        fit_line("shard state in memory", "running task", "bytes", memory),
        fit_line("snapshot, encoded", "running task", "bytes", snapshot_bytes),
        fit_line("snapshot, compressed", "running task", "bytes", compressed_bytes),
        fit_line("recovery from a snapshot", "running task", "ms", snapshot_ms),
        fit_line("recovery from the log", "running task", "ms", log_ms),
        fit_line("ShardState.apply", "record", "us", apply),
    ]


def measure_index() -> list[dict[str, object]]:
    """Return slopes of the worker index and the instance list by workers."""
    memory, views, listing, decode = [], [], [], []
    for count in WORKER_SIZES:
        workers = make_workers(count)

        def build(workers=workers) -> WorkerIndex:
            index = WorkerIndex()
            index.replace(workers)
            return index

        memory.append((count, measure_memory(build)))
        views.append((count, measure_memory(lambda count=count: make_workers(count))))
        entries = [
            {
                "id": worker.view.worker_id,
                "incarnation": f"{worker.view.worker_id}-0123456789ab",
                "role": "worker",
                "state": "ready",
                "address": "10.123.123.123:8080",
                "zone": worker.view.availability_zone,
                "rack": worker.view.rack,
                "capacity": {"processors": 32, "memory_mb": 65536, "accelerators": 0},
                "labels": {},
            }
            for worker in workers
        ]
        encoded = msgspec.json.encode({"entries": entries})
        listing.append((count, len(encoded)))
        decode.append(
            (count, measure_best_seconds(lambda e=encoded: msgspec.json.decode(e)) * 1000)
        )
    return [
        fit_line("worker index in memory", "worker", "bytes", memory),
        fit_line("worker views in memory", "worker", "bytes", views),
        fit_line("instance list", "worker", "bytes", listing),
        fit_line("decoding the instance list", "worker", "ms", decode),
    ]


def encode_heartbeat(services: int, members: int) -> int:
    """Return the size of a complete heartbeat."""
    digest = Digest(
        name="entry-0",
        incarnation="entry-0-0123456789ab",
        address="10.123.123.123:8080",
        availability_zone="hobart-a",
        sequence=123_456,
        state=MemberState.ALIVE,
        ready=True,
        configuration_version=20_000,
        free_slots={f"service-{n:04d}": 12 for n in range(services)},
        queued={f"service-{n:04d}": 3 for n in range(services)},
        shards={0: 4},
    )
    known = {f"entry-{n}-0123456789ab": "10.123.123.123:8080" for n in range(members)}
    heartbeat = Heartbeat(base=1, known=None, digest=digest, members=known)
    return len(msgspec.msgpack.encode(heartbeat))


def measure_messages() -> list[dict[str, object]]:
    """Return slopes of the sizes of heartbeats and configuration changes."""
    changes = []
    for count in (1, 5, 20, 100):
        puts = tuple(
            Workload(
                name=f"workload-{n:04d}",
                labels={"desk": "sponsor"},
                type=WorkloadKind.SERVICE,
                resources=Resources(2000, 2048, 0),
                count=24,
            )
            for n in range(count)
        )
        change = ConfigurationChange(
            version=20_000, change_id=f"change-{count:05d}", author="demo", at=1e9, puts=puts
        )
        changes.append((count, len(msgspec.msgpack.encode(change))))
    services = [(n, encode_heartbeat(n, 7)) for n in (1, 10, 100, 1000)]
    members = [(n, encode_heartbeat(1, n)) for n in (2, 4, 7, 16)]
    return [
        fit_line("complete heartbeat", "service", "bytes", services),
        fit_line("complete heartbeat", "member (at most 16 sent)", "bytes", members),
        fit_line("configuration change", "workload put", "bytes", changes),
    ]


def measure_grant_plan_ms(upstreams: int, holders: int, *, settled: bool) -> float:
    """Return the milliseconds of one plan, without grants or, if settled, with all granted."""
    views = tuple(
        UpstreamView(
            upstream_id=f"u-{n:05d}",
            service=f"service-{n // 24:04d}",
            labels={},
            address="10.123.123.123:8080",
            worker_id=f"w-{n:05d}",
            availability_zone=f"zone-{n % 4}",
            slots=8,
            connections=64,
        )
        for n in range(upstreams)
    )
    members = {
        f"entry-{n:03d}": GrantMember(availability_zone=f"zone-{n % 4}", state=MemberState.ALIVE)
        for n in range(holders)
    }
    inputs = GrantInputs(upstreams=views, grants={}, members=members, now=1000.0, quarantine=30.0)
    if settled:
        changes: tuple[GrantsChanged, ...] = plan_grants(inputs)
        grants = {change.upstream_id: change.slots for change in changes}
        inputs = msgspec.structs.replace(inputs, grants=grants)
    return measure_best_seconds(lambda: plan_grants(inputs)) * 1000


def measure_grants() -> list[dict[str, object]]:
    """Return slopes of the time of a plan by upstreams and by holders."""
    sizes = (24, 240, 960, 3400)
    initial = [(n, measure_grant_plan_ms(n, 7, settled=False)) for n in sizes]
    settled = [(n, measure_grant_plan_ms(n, 7, settled=True)) for n in sizes]
    holders = [(n, measure_grant_plan_ms(960, n, settled=True)) for n in (7, 14, 28, 56)]
    return [
        fit_line("first grant plan, 7 holders", "upstream", "ms", initial),
        fit_line("settled grant plan, 7 holders", "upstream", "ms", settled),
        fit_line("settled grant plan, 960 upstreams", "holder", "ms", holders),
    ]


def measure_batches() -> list[dict[str, object]]:
    """Return the size of a log row by placements, with each task's three records in it.

    Rows above 64 KiB are compressed, so a separate line is fitted on each side of it.
    """
    raw = [(n, _encode_row(n)) for n in (10, 40, 80, 150)]
    compressed = [(n, _encode_row(n)) for n in (200, 400, 800, 1600)]
    return [
        fit_line("log row, raw", "placement", "bytes", raw),
        fit_line("log row, compressed", "placement", "bytes", compressed),
    ]


def _encode_row(placements: int) -> int:
    records = make_running_records(placements)
    ended_records = [
        AttemptEnded(at=1060.0, attempt_id=r.attempt_id, state=TaskState.DONE, reason="done")
        for r in records
        if isinstance(r, AttemptStarted)
    ]
    return len(encode_batch((*records, *ended_records)))


class _UncheckedCluster(doubles.SimulatedCluster):
    """The tests' cluster without its checks after each step, which take most of the time."""

    def _advance_workers(self) -> None:
        if self.now >= getattr(self, "_advance_at", 0.0):
            self._advance_at = self.now + 0.25
            super()._advance_workers()

    def check_invariants(self) -> None:
        pass

    def check_reservations(self) -> None:
        pass


def measure_commits(starts_per_second: float, commit_interval: float) -> dict[str, object]:
    """Run one shard at a rate of starts in virtual time and count its commits."""
    cluster = _UncheckedCluster(commit_interval=commit_interval)
    for n in range(200):
        cluster.add_worker(f"w-{n:03d}", 64_000, 262_144, rack=f"rack-{n // 8:02d}")
    node = cluster.add_instance("entry-1")
    cluster.run(4.0)
    reducer_seconds = 0.0
    original_reduce = doubles.reduce

    def timed_reduce(state, event):
        nonlocal reducer_seconds
        begun = time.perf_counter()
        try:
            return original_reduce(state, event)
        finally:
            reducer_seconds += time.perf_counter() - begun

    doubles.reduce = timed_reduce
    generator = random.Random(SEED)
    number = 0

    def submit_next_job() -> None:
        nonlocal number
        number += 1
        resources = Resources(500, 512)
        cluster.submit(
            node, f"j-{number}", count=TASKS_PER_JOB, run_seconds=2.0, resources=resources
        )
        cluster.schedule(generator.expovariate(starts_per_second / TASKS_PER_JOB), submit_next_job)

    cluster.schedule(0.01, submit_next_job)
    try:
        cluster.run(3.0)
        first_record, first_version, reducer_seconds = (
            len(cluster.table.committed_records),
            cluster.table.version,
            0.0,
        )
        cluster.run(4.0)
    finally:
        doubles.reduce = original_reduce
    records = cluster.table.committed_records[first_record:]
    placed = sum(isinstance(record, TaskPlaced) for record in records)
    commits = cluster.table.version - first_version
    return {
        "starts_s": starts_per_second,
        "commit_interval_s": commit_interval,
        "placed_s": placed / 4.0,
        "commits_s": commits / 4.0,
        "row_writes_per_placement": 2 * commits / max(placed, 1),
        "records_per_commit": len(records) / max(commits, 1),
        "reducer_us_per_placement": reducer_seconds / max(placed, 1) * 1e6,
    }


def main() -> None:
    """Run the measurements and print tables and JSON."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--output", default="bench/results/slopes.json")
    arguments = parser.parse_args()
    slopes = [
        *measure_shard_state(),
        *measure_index(),
        *measure_messages(),
        *measure_grants(),
        *measure_batches(),
    ]
    print_table("Slopes", slopes)
    commits = [
        measure_commits(starts_per_second, interval)
        for starts_per_second, interval in (
            (52.5, 0.02),
            (105, 0.02),
            (210, 0.02),
            (420, 0.02),
            (52.5, 0.05),
            (105, 0.05),
            (420, 0.05),
            (DESIGN_STARTS_PER_SECOND, 0.05),
        )
    ]
    print_table("Commits of one shard in virtual time", commits)
    machine = {**describe_machine(), "load_average": os.getloadavg()}
    result = {"machine": machine, "seed": SEED, "slopes": slopes, "commits": commits}
    Path(arguments.output).parent.mkdir(parents=True, exist_ok=True)
    Path(arguments.output).write_text(json.dumps(result, indent=1), encoding="utf-8")


if __name__ == "__main__":
    main()
