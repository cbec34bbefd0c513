"""Check that what could run does run, once all faults are over.

It judges by the simulated workers and by the stored progress, and not by what an owner knows.
"""

from lavenderhook._internal.queueing.model import WorkerState

CHECK_INTERVAL_SECONDS = 0.1
MAX_WAIT_SECONDS = 3.0
SERVICE_RESTART_SECONDS = 6.0  # that a task of a service may be away before that
# That a task may wait for a worker of its own after crashes, or for workers that others have so.
MAX_ISOLATION_SECONDS = 16.0
ISOLATION_PHASE_SECONDS = 30.0  # since a task last crashed its worker
CALM_SECONDS = 6.0  # since a task last crashed its worker: leases expire
MAX_USED_SHARE = 0.5
CAPACITY_FACTOR = 2  # such a wait counts only if there is capacity for it so often
# What fits only once may wait for a worker on probation, or for what is before it.
MAX_TIGHT_WAIT_SECONDS = 10.0


class LivenessCheck:
    """Adds a violation for each submission that could run and doesn't.

    Parameters
    ----------
    simulation : QueueSimulation
        Without faults from now on.
    """

    def __init__(self, simulation):
        self._simulation = simulation
        self._waits_since = {}  # by submission, step and capacity, and by task for services
        self._reported = set()
        self._crashed_workers = 0
        self._crashed_at = -ISOLATION_PHASE_SECONDS

    def start(self):
        """Check now, and from now on regularly."""
        self._check()
        self._simulation.call_later(CHECK_INTERVAL_SECONDS, self.start)

    def _check(self):
        now = self._simulation.now
        crashed_workers = self._simulation.crashing_tasks.crashed_workers
        if crashed_workers > self._crashed_workers:
            self._crashed_workers, self._crashed_at = crashed_workers, now
        is_calm = now - self._crashed_at >= CALM_SECONDS
        waits = dict(self._find_waits()) if is_calm else {}
        is_isolating = now - self._crashed_at < ISOLATION_PHASE_SECONDS
        self._waits_since = {key: self._waits_since.get(key, now) for key in waits}
        for key, max_seconds in waits.items():
            if is_isolating:
                max_seconds = max(max_seconds, MAX_WAIT_SECONDS + MAX_ISOLATION_SECONDS)
            if now - self._waits_since[key] >= max_seconds and key not in self._reported:
                self._reported.add(key)
                line = find_newest_line(self._simulation, "step-waits", key[0])
                self._simulation.violations.append(
                    (round(now, 3), "could-run-and-does-not", key, line)
                )

    def _find_waits(self):
        """Yield what could run and doesn't, with how long it may take."""
        simulation = self._simulation
        workers = [worker for worker in simulation.workers.values() if is_sound(worker)]
        total = sum(worker.capacity.processors for worker in workers)
        used = sum(run.resources.processors for worker in workers for run in worker.runs.values())
        if used >= MAX_USED_SHARE * total:
            return
        active = {
            task for worker in simulation.workers.values() if worker.is_up for task in worker.runs
        }
        running = {task.submission for task in active}
        crashes = simulation.crashing_tasks.crashes_beside
        suspected = {task.submission for task in crashes}
        for name, (submission, _) in simulation.submissions.items():
            if name in simulation.outcomes:
                continue
            for index, step in enumerate(submission.steps):
                waiting = self._list_waiting(submission, index)
                fits = self._count_fits(submission, step, workers) if waiting else 0
                if not fits:
                    continue
                is_tight = fits < CAPACITY_FACTOR
                max_seconds = MAX_TIGHT_WAIT_SECONDS if is_tight else MAX_WAIT_SECONDS
                if name in suspected:
                    max_seconds += MAX_ISOLATION_SECONDS
                if not step.is_service:
                    if name not in running:
                        yield (name, index, is_tight), max_seconds
                    continue
                running_tasks = {t.index for t in active if t[:3] == (name, 0, index)}
                for task in set(waiting) - running_tasks:
                    yield (name, index, is_tight, task), SERVICE_RESTART_SECONDS + max_seconds

    def _list_waiting(self, submission, index):
        """Return the tasks of a step whose turn has come and that aren't stored as done."""
        progress = self._simulation.progress.get(submission.id)
        stored = progress.done if progress is not None else {}
        steps = submission.steps
        if any(len(stored.get(f"0.{i}", ())) < steps[i].count for i in steps[index].after):
            return []
        done = set(stored.get(f"0.{index}", ()))
        return [task for task in range(steps[index].count) if task not in done]

    def _count_fits(self, submission, step, workers):
        """Return how often there is capacity for a task, or for all members of a gang."""
        label = step.placement.label
        usable = [
            worker
            for worker in workers
            if (not label or label in (worker.kind, worker.rack))
            and self._simulation.is_allowed(worker.name, submission.queue.name)
        ]
        fitting = sum(count_fitting(worker, step) for worker in usable)
        return fitting // step.count if step.is_gang else fitting


def is_sound(worker):
    """Return whether a worker is listed and executes what it gets, for every owner."""
    is_reached = not worker.is_partitioned and worker.reachable_by is None
    is_healthy = worker.duration_factor == 1 and not (worker.fails_all_runs or worker.stalls_tasks)
    is_listed = worker.state is WorkerState.READY and not worker.is_cut_from_store
    return worker.is_up and is_reached and is_healthy and is_listed


def count_fitting(worker, step):
    """Return how many tasks of a step the free capacity of a worker holds."""
    runs = worker.runs.values()
    free_processors = worker.capacity.processors - sum(run.resources.processors for run in runs)
    free_memory_mb = worker.capacity.memory_mb - sum(run.resources.memory_mb for run in runs)
    limits = [free_memory_mb // step.resources.memory_mb]
    if not step.is_filler:
        limits.append(free_processors // step.resources.processors)
    if step.placement.most_per_worker:
        limits.append(step.placement.most_per_worker)
    return max(0, min(limits))


def find_newest_line(simulation, decision, submission):
    """Return the fields of the newest log line of a decision on a submission, or None."""
    for _, line in reversed(simulation.decisions):
        if line.decision == decision and line.fields["step"].startswith(f"{submission}."):
            return line.fields
    return None
