"""Slopes of state, messages, processor time and table writes against the sizes that drive them.

Each slope is a least-squares line over four sizes or more. `spread` is the largest distance of a
point from the line, as a share of the largest point. Times are the best of `REPEATS` runs, because
other processes on the machine only ever add time. The commit loop runs the reducer in virtual time
with the doubles of the feature tests; a commit takes 5 ms there.
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
DESIGN_STARTS = 2100  # a second
TASK_SIZES = (2000, 5000, 10_000, 20_000)
WORKER_SIZES = (1000, 2500, 5000, 20_000)
Point = tuple[float, float]


def fit(name: str, per: str, unit: str, points: Sequence[Point]) -> dict[str, object]:
    """Return the least-squares line through points and its spread."""
    x = np.array([p[0] for p in points], dtype=float)
    y = np.array([p[1] for p in points], dtype=float)
    slope, base = np.polyfit(x, y, 1)
    spread = float(np.max(np.abs(y - (slope * x + base))) / np.max(np.abs(y)))
    return {
        "measure": name,
        "per": per,
        "unit": unit,
        "slope": float(slope),
        "base": float(base),
        "spread_percent": spread * 100,
        "points": " ".join(f"{a:g}:{b:.4g}" for a, b in points),
    }


def time_best(action: Callable[[], object]) -> float:
    """Return the shortest of several runs in seconds."""
    times = []
    for _ in range(REPEATS):
        gc.collect()
        start = time.perf_counter()
        action()
        times.append(time.perf_counter() - start)
    return min(times)


def make_running_records(tasks: int) -> list[AnyRecord]:
    """Return the log of jobs whose tasks all run."""
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


def fold(records: Sequence[AnyRecord]) -> ShardState:
    """Return the state of a log."""
    state = ShardState(0)
    state.apply_all(records)
    return state


def measure_memory(build: Callable[[], object]) -> float:
    """Return the bytes that Python holds for what `build` returns."""
    gc.collect()
    tracemalloc.start()
    kept = build()
    size = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    del kept
    return float(size)


def measure_shard_state() -> list[dict[str, object]]:
    """Return slopes of the shard state, its snapshot, its log and its recovery by tasks."""
    memory, snapshot_bytes, packed, recover, replay, apply = [], [], [], [], [], []
    for tasks in TASK_SIZES:
        records = make_running_records(tasks)
        # Strings and records are decoded anew, as on takeover, so that nothing is shared.
        log = msgspec.msgpack.encode(tuple(records))
        batches = msgspec.msgpack.Decoder(tuple[AnyRecord, ...])

        def load_log(log=log, batches=batches) -> ShardState:
            return fold(batches.decode(log))

        memory.append((tasks, measure_memory(load_log)))
        state = fold(records)
        snapshot = ShardSnapshot(shard=0, log_number=1, records=state.build_records())
        encoded = msgspec.msgpack.encode(snapshot)
        stored = zlib.compress(encoded, 1)
        snapshot_bytes.append((tasks, len(encoded)))
        packed.append((tasks, len(stored)))

        def load_snapshot(stored=stored) -> ShardState:
            found = msgspec.msgpack.decode(zlib.decompress(stored), type=ShardSnapshot)
            return fold(found.records)

        recover.append((tasks, time_best(load_snapshot) * 1000))
        replay.append((tasks, time_best(load_log) * 1000))
        apply.append((len(records), time_best(lambda r=records: fold(r)) * 1e6))
    return [
        fit("shard state in memory", "running task", "bytes", memory),
        fit("snapshot, encoded", "running task", "bytes", snapshot_bytes),
        fit("snapshot, compressed", "running task", "bytes", packed),
        fit("recovery from a snapshot", "running task", "ms", recover),
        fit("recovery from the log", "running task", "ms", replay),
        fit("ShardState.apply", "record", "us", apply),
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
        decode.append((count, time_best(lambda e=encoded: msgspec.json.decode(e)) * 1000))
    return [
        fit("worker index in memory", "worker", "bytes", memory),
        fit("worker views in memory", "worker", "bytes", views),
        fit("instance list", "worker", "bytes", listing),
        fit("decoding the instance list", "worker", "ms", decode),
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
        fit("complete heartbeat", "service", "bytes", services),
        fit("complete heartbeat", "member (at most 16 sent)", "bytes", members),
        fit("configuration change", "workload put", "bytes", changes),
    ]


def time_grants(upstreams: int, holders: int, *, settled: bool) -> float:
    """Return the milliseconds of one plan, from no grants or with all in place."""
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
    return time_best(lambda: plan_grants(inputs)) * 1000


def measure_grants() -> list[dict[str, object]]:
    """Return slopes of the time of a plan by upstreams and by holders."""
    sizes = (24, 240, 960, 3400)
    first = [(n, time_grants(n, 7, settled=False)) for n in sizes]
    settled = [(n, time_grants(n, 7, settled=True)) for n in sizes]
    holders = [(n, time_grants(960, n, settled=True)) for n in (7, 14, 28, 56)]
    return [
        fit("first grant plan, 7 holders", "upstream", "ms", first),
        fit("settled grant plan, 7 holders", "upstream", "ms", settled),
        fit("settled grant plan, 960 upstreams", "holder", "ms", holders),
    ]


def measure_batches() -> list[dict[str, object]]:
    """Return the size of a log row by placements, with each task's three records in it.

    Rows above 64 KiB are compressed, so rows below and above it have a line each.
    """
    raw = [(n, _encode_row(n)) for n in (10, 40, 80, 150)]
    compressed = [(n, _encode_row(n)) for n in (200, 400, 800, 1600)]
    return [
        fit("log row, raw", "placement", "bytes", raw),
        fit("log row, compressed", "placement", "bytes", compressed),
    ]


def _encode_row(placements: int) -> int:
    records = make_running_records(placements)
    ends = [
        AttemptEnded(at=1060.0, attempt_id=r.attempt_id, state=TaskState.DONE, reason="done")
        for r in records
        if isinstance(r, AttemptStarted)
    ]
    return len(encode_batch((*records, *ends)))


class _CommitCounter(doubles.SimulatedCluster):
    """The tests' cell without its checks after each step, which take most of the time."""

    def _advance_workers(self) -> None:
        if self.now >= getattr(self, "_advance_at", 0.0):
            self._advance_at = self.now + 0.25
            super()._advance_workers()

    def check_invariants(self) -> None:
        pass

    def check_reservations(self) -> None:
        pass


def measure_commits(starts: float, commit_interval: float) -> dict[str, object]:
    """Run one shard at a rate of starts in virtual time and count its commits."""
    cell = _CommitCounter(commit_interval=commit_interval)
    for n in range(200):
        cell.add_worker(f"w-{n:03d}", 64_000, 262_144, rack=f"rack-{n // 8:02d}")
    node = cell.add_instance("entry-1")
    cell.run(4.0)
    spent = 0.0
    original = doubles.reduce

    def reduce_timed(state, event):
        nonlocal spent
        begun = time.perf_counter()
        try:
            return original(state, event)
        finally:
            spent += time.perf_counter() - begun

    doubles.reduce = reduce_timed
    generator = random.Random(SEED)
    number = 0

    def arrive() -> None:
        nonlocal number
        number += 1
        resources = Resources(500, 512)
        cell.submit(node, f"j-{number}", count=TASKS_PER_JOB, run_seconds=2.0, resources=resources)
        cell.schedule(generator.expovariate(starts / TASKS_PER_JOB), arrive)

    cell.schedule(0.01, arrive)
    try:
        cell.run(3.0)
        begun, version, spent = len(cell.table.committed_records), cell.table.version, 0.0
        cell.run(4.0)
    finally:
        doubles.reduce = original
    records = cell.table.committed_records[begun:]
    placed = sum(isinstance(record, TaskPlaced) for record in records)
    commits = cell.table.version - version
    return {
        "starts_s": starts,
        "commit_interval_s": commit_interval,
        "placed_s": placed / 4.0,
        "commits_s": commits / 4.0,
        "row_writes_per_placement": 2 * commits / max(placed, 1),
        "records_per_commit": len(records) / max(commits, 1),
        "reducer_us_per_placement": spent / max(placed, 1) * 1e6,
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
        measure_commits(starts, interval)
        for starts, interval in (
            (52.5, 0.02),
            (105, 0.02),
            (210, 0.02),
            (420, 0.02),
            (52.5, 0.05),
            (105, 0.05),
            (420, 0.05),
            (DESIGN_STARTS, 0.05),
        )
    ]
    print_table("Commits of one shard in virtual time", commits)
    machine = {**describe_machine(), "load_average": os.getloadavg()}
    result = {"machine": machine, "seed": SEED, "slopes": slopes, "commits": commits}
    Path(arguments.output).parent.mkdir(parents=True, exist_ok=True)
    Path(arguments.output).write_text(json.dumps(result, indent=1), encoding="utf-8")


if __name__ == "__main__":
    main()
