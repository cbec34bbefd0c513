"""Seeded traces of batch and gang jobs."""

from __future__ import annotations

import random
from collections.abc import Iterator

import msgspec

from lavenderhook._internal.core.declarations import DEFAULT_POLICIES, PlacementMode, Policy
from lavenderhook._internal.core.identifiers import (
    AvailabilityZone,
    JobId,
    PriorityClass,
    RackId,
    TaskId,
    TeamName,
    WorkerId,
    WorkloadKind,
)
from lavenderhook._internal.core.records import WorkerView
from lavenderhook._internal.core.resources import Resources
from lavenderhook._internal.core.scheduler import PendingTask, SchedulableWorker

TEAMS = 180
ZONES = 11
WORKERS_PER_RACK = 8
WORKER_MILLIPROCESSORS = 32_000
WORKER_MEMORY_MB = 65_536


def make_workers(count: int, accelerated_share: float = 0.25) -> list[SchedulableWorker]:
    """Return workers of equal size, a share of them with 8 accelerators.

    At the design size a quarter of 20,000 workers with 8 accelerators each gives 40,000.
    """
    workers = []
    for n in range(count):
        rack = n // WORKERS_PER_RACK
        accelerated = (rack % round(1 / accelerated_share)) == 0
        view = WorkerView(
            worker_id=WorkerId(f"w-{n:05d}"),
            address=f"127.0.0.1:{n}",
            availability_zone=AvailabilityZone(f"zone-{rack % ZONES:02d}"),
            rack=RackId(f"rack-{rack:04d}"),
            capacity=Resources(WORKER_MILLIPROCESSORS, WORKER_MEMORY_MB, 8 if accelerated else 0),
        )
        labels = {"availability-zone": view.availability_zone, "rack": view.rack}
        workers.append(SchedulableWorker(view=view, labels=labels))
    return workers


class TraceJob(msgspec.Struct, frozen=True, kw_only=True):
    """A job of a trace; `actual_run_seconds` is not known to the scheduler."""

    job_id: JobId
    tasks: tuple[PendingTask, ...]
    actual_run_seconds: float


def generate_jobs(
    seed: int,
    count: int,
    policy_mode: PlacementMode | None = None,
    mean_tasks: float = 4.0,
) -> Iterator[TraceJob]:
    """Generate jobs of varied size whose declared run times are wrong by up to a factor of 5.

    Parameters
    ----------
    seed : int
        Seed of the trace.
    count : int
        Number of jobs.
    policy_mode : PlacementMode or None
        Replaces the placement mode of batch jobs, for baselines.
    mean_tasks : float
        Mean number of tasks of a batch job.
    """
    generator = random.Random(seed)
    for n in range(count):
        draw = generator.random()
        kind = WorkloadKind.BATCH
        if draw < 0.03:
            kind = WorkloadKind.GANG
        yield _generate_job(generator, n, kind, policy_mode, mean_tasks)


def _generate_job(
    generator: random.Random,
    n: int,
    kind: WorkloadKind,
    policy_mode: PlacementMode | None,
    mean_tasks: float,
) -> TraceJob:
    job_id = JobId(f"job-{n:06d}")
    is_gang = kind is WorkloadKind.GANG
    task_count = (
        generator.choice((4, 8, 16)) if is_gang else 1 + int(generator.expovariate(1 / mean_tasks))
    )
    milliprocessors = generator.choice((250, 500, 1000, 1000, 2000, 4000, 8000))
    memory_mb = milliprocessors * generator.choice((1, 2, 2, 3)) * 1024 // 1000
    accelerators = generator.choice((1, 2)) if is_gang and generator.random() < 0.5 else 0
    run_seconds = min(600.0, generator.lognormvariate(2.5, 1.0))
    policy = _choose_policy(generator, kind, policy_mode)
    pending = tuple(
        PendingTask(
            task_id=TaskId(f"{job_id}.{t}"),
            job_id=job_id,
            kind=kind,
            team=TeamName(f"team-{generator.randrange(TEAMS):03d}"),
            resources=Resources(milliprocessors, memory_mb, accelerators),
            policy=policy,
            gang_size=task_count if is_gang else 0,
            run_seconds=run_seconds * generator.choice((0.2, 0.5, 1.0, 1.0, 2.0, 5.0)),
        )
        for t in range(task_count)
    )
    team = pending[0].team
    pending = tuple(msgspec.structs.replace(task, team=team) for task in pending)
    return TraceJob(job_id=job_id, tasks=pending, actual_run_seconds=run_seconds)


def _choose_policy(
    generator: random.Random, kind: WorkloadKind, mode: PlacementMode | None
) -> Policy:
    policy = DEFAULT_POLICIES[kind]
    if kind is WorkloadKind.BATCH:
        priority = generator.choice(
            (PriorityClass.URGENT, PriorityClass.NORMAL, PriorityClass.BATCH, PriorityClass.BATCH)
        )
        policy = msgspec.structs.replace(policy, priority=priority)
        if mode is not None:
            policy = msgspec.structs.replace(policy, mode=mode)
    return policy
