"""Decision time, throughput and packing of the scheduler, against baselines."""

from __future__ import annotations

import argparse
import dataclasses
import heapq
import json
import random
import time
from collections.abc import Callable

import msgspec

from lavenderhook._internal.core.declarations import PlacementMode
from lavenderhook._internal.core.fair_scheduler import FairScheduler
from lavenderhook._internal.core.identifiers import (
    JobId,
    PriorityClass,
    TaskId,
    TeamName,
    WorkerId,
)
from lavenderhook._internal.core.resources import Resources
from lavenderhook._internal.core.scheduler import PendingTask, ScanScheduler, Scheduler

from .report import compute_percentile, describe_machine, print_table
from .workloads import WORKER_MILLIPROCESSORS, TraceJob, generate_jobs, make_workers

SEED = 20_240
TASKS_PER_WORKER = 17  # 340,000 tasks on 20,000 workers
COMMIT_INTERVAL_SECONDS = 0.02


def reserve_running_tasks(scheduler: Scheduler, workers: int) -> None:
    """Reserve 17 tasks on each worker, as at the design size, where a fifth are services."""
    for n in range(workers * TASKS_PER_WORKER):
        worker = n % workers
        scheduler.reserve(
            WorkerId(f"w-{worker:05d}"),
            Resources(1500, 3000, 0),
            TeamName(f"team-{n % 180:03d}"),
            JobId(f"running-{n // 20:06d}"),
        )


def measure_decisions(workers: int, decisions: int = 2000) -> dict[str, object]:
    """Measure the time of single placements in a shard of `workers` workers.

    Each measured step is that of a steady load: one task ends, one arrives, one is placed.
    """
    scheduler = FairScheduler(random.Random(SEED))
    scheduler.update_workers(make_workers(workers))
    reserve_running_tasks(scheduler, workers)
    generator = random.Random(SEED)
    tasks = [task for job in generate_jobs(SEED, decisions) for task in job.tasks[:1]]
    times = []
    for task in tasks[:decisions]:
        capped = Resources(
            min(task.resources.processors, 4000), min(task.resources.memory_mb, 8000)
        )
        single_task = replace_fields(task, gang_size=0, resources=capped)
        worker = WorkerId(f"w-{generator.randrange(workers):05d}")
        team, job = TeamName("team-000"), JobId("running-000000")
        scheduler.release(worker, Resources(1500, 3000, 0), team, job)
        start = time.perf_counter()
        scheduler.add_pending(single_task)
        decided = scheduler.decide(0.0, 1)
        times.append(time.perf_counter() - start)
        assert decided, "no worker was found for a task although the shard has free capacity"
        for task_id, chosen in decided[0].placements:
            assert task_id == single_task.task_id
            scheduler.release(chosen, single_task.resources, single_task.team, single_task.job_id)
        scheduler.reserve(worker, Resources(1500, 3000, 0), team, job)
    return {
        "workers": workers,
        "tasks": workers * TASKS_PER_WORKER,
        "p50_us": compute_percentile(times, 50) * 1e6,
        "p99_us": compute_percentile(times, 99) * 1e6,
    }


def replace_fields(task: PendingTask, **changes: object) -> PendingTask:
    """Return a copy of a task with some fields replaced."""
    return msgspec.structs.replace(task, **changes)


@dataclasses.dataclass
class TraceResult:
    """Measurements of one run of a trace."""

    packing: float
    total_bound: float
    wait_seconds: dict[PriorityClass, list[float]]
    gang_wait_seconds: list[float]
    decision_seconds: float
    placed: int


def run_trace(
    make_scheduler: Callable[[], Scheduler],
    mode: PlacementMode | None,
    workers: int = 24,
    jobs: int = 3000,
    load: float = 1.5,
) -> TraceResult:
    """Run a trace on a virtual clock with arrivals at `load` times the capacity.

    The packing is the processors in use divided by an upper bound, each summed over the steps in
    which tasks wait. The bound of a step is the smaller of the processors of all workers and
    those that the running and waiting tasks request.
    """
    scheduler = make_scheduler()
    scheduler.update_workers(make_workers(workers))
    generator = random.Random(SEED + 1)
    trace = list(generate_jobs(SEED, jobs, mode))
    rate = _compute_full_load_rate(trace, workers) * load
    arrivals = _draw_arrivals(generator, trace, rate)
    by_task: dict[TaskId, tuple[PendingTask, TraceJob]] = {
        task.task_id: (task, job) for job in trace for task in job.tasks
    }
    queued: dict[TaskId, float] = {}
    running: list[tuple[float, TaskId, WorkerId]] = []
    wait_seconds: dict[PriorityClass, list[float]] = {c: [] for c in PriorityClass}
    gang_wait_seconds: list[float] = []
    used_processors = waiting_processors = total_used = total_bound = 0.0
    capacity = workers * WORKER_MILLIPROCESSORS
    now, decision_seconds, placed, next_arrival = 0.0, 0.0, 0, 0
    end = arrivals[-1][0]
    while now < end:
        now += COMMIT_INTERVAL_SECONDS
        while running and running[0][0] <= now:
            _, task_id, worker_id = heapq.heappop(running)
            task, _ = by_task[task_id]
            scheduler.release(worker_id, task.resources, task.team, task.job_id)
            used_processors -= task.resources.processors
        while next_arrival < len(arrivals) and arrivals[next_arrival][0] <= now:
            for task in arrivals[next_arrival][1].tasks:
                scheduler.add_pending(replace_fields(task, queued_at=now))
                queued[task.task_id] = now
                waiting_processors += task.resources.processors
            next_arrival += 1
        start = time.perf_counter()
        decisions = scheduler.decide(now, 10_000)
        decision_seconds += time.perf_counter() - start
        for decision in decisions:
            for task_id, worker_id in decision.placements:
                task, job = by_task[task_id]
                heapq.heappush(running, (now + job.actual_run_seconds, task_id, worker_id))
                wait = now - queued[task_id]
                wait_seconds[task.policy.priority].append(wait)
                if task.gang_size:
                    gang_wait_seconds.append(wait)
                used_processors += task.resources.processors
                waiting_processors -= task.resources.processors
                placed += 1
        if waiting_processors > 0:
            total_used += used_processors
            total_bound += min(capacity, used_processors + waiting_processors)
    return TraceResult(
        total_used / total_bound,
        total_bound,
        wait_seconds,
        gang_wait_seconds,
        decision_seconds,
        placed,
    )


def _compute_full_load_rate(trace: list[TraceJob], workers: int) -> float:
    """Return the jobs per second at which the processors are exactly fully used."""
    total_work = sum(
        len(job.tasks) * job.tasks[0].resources.processors * job.actual_run_seconds for job in trace
    )
    return workers * WORKER_MILLIPROCESSORS / (total_work / len(trace))


def _draw_arrivals(
    generator: random.Random, trace: list[TraceJob], rate: float
) -> list[tuple[float, TraceJob]]:
    now, arrivals = 0.0, []
    for job in trace:
        now += generator.expovariate(rate)
        arrivals.append((now, job))
    return arrivals


def main() -> None:
    """Run the benchmark and print tables and JSON."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--output", help="file for the JSON result")
    parser.add_argument("--sizes", default="200,1000,2000,5000,10000,20000")
    parser.add_argument(
        "--trials",
        type=int,
        default=4,
        help="how many of the trace trials to run; the last is slow",
    )
    arguments = parser.parse_args()
    decisions = [measure_decisions(int(size)) for size in arguments.sizes.split(",")]
    print_table("Time of a placement decision", decisions)
    trials = []
    cases: tuple[tuple[str, Callable[[], Scheduler], PlacementMode | None], ...] = (
        ("fair, best fit", lambda: FairScheduler(random.Random(SEED)), None),
        ("fair, random", lambda: FairScheduler(random.Random(SEED)), PlacementMode.RANDOM),
        ("fair, first fit", lambda: FairScheduler(random.Random(SEED)), PlacementMode.FIRST_FIT),
        ("scan, first fit", lambda: ScanScheduler(random.Random(SEED)), PlacementMode.FIRST_FIT),
    )
    for name, make_scheduler, mode in cases[: arguments.trials]:
        trace_result = run_trace(make_scheduler, mode)
        trials.append(
            {
                "scheduler": name,
                "packing": trace_result.packing,
                "urgent_p99_s": compute_percentile(
                    trace_result.wait_seconds[PriorityClass.URGENT], 99
                ),
                "batch_p50_s": compute_percentile(
                    trace_result.wait_seconds[PriorityClass.BATCH], 50
                ),
                "batch_placed": len(trace_result.wait_seconds[PriorityClass.BATCH]),
                "gang_p99_s": compute_percentile(trace_result.gang_wait_seconds, 99),
                "gangs_placed": len(trace_result.gang_wait_seconds),
                "placed": trace_result.placed,
                "placements_per_core_s": trace_result.placed / trace_result.decision_seconds,
            }
        )
    print_table("A trace at 1.5 times the capacity, 24 workers", trials)
    if arguments.output:
        result = {
            "machine": describe_machine(),
            "seed": SEED,
            "decisions": decisions,
            "trials": trials,
        }
        with open(arguments.output, "w", encoding="utf-8") as file:
            json.dump(result, file, indent=1)


if __name__ == "__main__":
    main()
