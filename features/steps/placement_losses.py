"""Steps with workers that are lost in a simulated cluster."""

from behave import then, when

CHECK_SECONDS = 0.5
UNREACHABLE_SECONDS = 8.0


@when('each worker that runs "{job_id}" is {fate:w} for {seconds:d} seconds')
def step_lose_under(context, job_id, fate, seconds):
    context.lost_workers = getattr(context, "lost_workers", 0)
    for _ in range(int(seconds / CHECK_SECONDS)):
        context.cluster.run(CHECK_SECONDS)
        for worker, _, task in context.cluster.list_running():
            if task.task_id.startswith(f"{job_id}."):
                lose_worker(context, worker, fate)


@when('the worker that runs "{job_id}" is {fate:w} each {gap:d} seconds, {count:d} times')
def step_lose_repeatedly(context, job_id, fate, gap, count):
    context.lost_workers = 0
    for _ in range(count):
        context.cluster.run(gap)
        for worker, _, task in context.cluster.list_running():
            if task.task_id.startswith(f"{job_id}."):
                lose_worker(context, worker, fate)


@when("all workers are replaced each {gap:d} seconds for {seconds:d} seconds")
def step_lose_all(context, gap, seconds):
    context.lost_workers = 0
    for _ in range(seconds // gap):
        for worker in list(context.cluster.workers.values()):
            lose_worker(context, worker, "replaced")
        context.cluster.run(gap)


def lose_worker(context, worker, fate):
    """Let a worker restart under its id, or end, with another worker instead."""
    lost = context.lost_workers = context.lost_workers + 1
    if fate == "unreachable":
        # It is stopped as unreachable before the platform shows that it is gone.
        worker.is_reachable = False
        context.cluster.run(UNREACHABLE_SECONDS)
    if fate == "restarted":
        worker.attempts.clear()
        worker.stopped.clear()
        return
    context.cluster.remove_worker(worker.view.worker_id)
    context.cluster.add_worker(f"replacement-{lost}")


@then("at most {count:d} workers were lost")
def step_lost(context, count):
    assert context.lost_workers <= count, context.lost_workers
