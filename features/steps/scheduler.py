"""Steps that drive the scheduler in virtual time."""

import random

from behave import given, then, when

from lavenderhook._internal.core.declarations import PlacementMode, Policy, Quota
from lavenderhook._internal.core.fair_scheduler import FairScheduler
from lavenderhook._internal.core.identifiers import PriorityClass, WorkloadKind
from lavenderhook._internal.core.records import WorkerView
from lavenderhook._internal.core.resources import Resources
from lavenderhook._internal.core.scheduler import PendingTask, SchedulableWorker

SEED = 7
PACK = {
    priority: Policy(name=priority.value, mode=PlacementMode.PACK, priority=priority)
    for priority in PriorityClass
}
GANG = Policy(name="gang", mode=PlacementMode.GANG)


def make_task(job, index, team="team", processors=1, policy=PACK[PriorityClass.BATCH], **fields):
    """Return a pending batch task."""
    return PendingTask(
        task_id=f"{job}.{index}",
        job_id=job,
        kind=fields.pop("kind", WorkloadKind.BATCH),
        team=team,
        resources=Resources(processors * 1000, 64),
        policy=policy,
        **fields,
    )


def place(context, now=0.0):
    """Run one scheduling decision and record the placements."""
    placed = []
    for decision in context.scheduler.decide(now, 1000):
        for task_id, worker_id in decision.placements:
            placed.append((context.tasks[task_id], worker_id))
    context.placed += placed
    return placed


def add(context, task):
    """Queue a task."""
    context.tasks[task.task_id] = task
    context.scheduler.add_pending(task)


def release(context, task, worker_id):
    """End a placed task."""
    context.scheduler.release(worker_id, task.resources, task.team, task.job_id)


@given("{count:d} workers of {processors:d} processors")
def step_workers(context, count, processors):
    context.scheduler = FairScheduler(random.Random(SEED))
    context.tasks, context.placed, context.arrivals = {}, [], lambda now, ended: ()
    workers = [
        WorkerView(
            worker_id=f"w-{n}",
            address="",
            availability_zone="z",
            rack="r",
            capacity=Resources(processors * 1000, 65_536),
        )
        for n in range(count)
    ]
    context.workers = workers
    context.scheduler.update_workers([SchedulableWorker(view=w, labels={}) for w in workers])


@given('team "{team}" waits with {count:d} batch tasks of {processors:d} processor')
def step_backlog(context, team, count, processors):
    for index in range(count):
        add(context, make_task(f"job-{team}", index, team, processors))


@given('team "{team}" has a quota of a quarter of the cluster')
def step_quota(context, team):
    context.scheduler.update_quotas([Quota(name=team, team=team, max_share=0.25)])


@given(
    "small tasks of {seconds:d} seconds fill the workers "
    "and a new one arrives whenever one finishes"
)
def step_small(context, seconds):
    for index in range(8):
        add(context, make_task("small", index, run_seconds=seconds))
        place(context, now=0.0)

    def arrive(now, ended):
        number = len(context.tasks)
        return [
            make_task("small", number + n, run_seconds=seconds, queued_at=now)
            for n in range(len(ended))
        ]

    context.arrivals = arrive


@given("a gang of {count:d} tasks of {processors:d} processors is waiting")
def step_gang(context, count, processors):
    for index in range(count):
        fields = {"kind": WorkloadKind.GANG, "gang_size": count, "policy": GANG}
        add(context, make_task("gang", index, processors=processors, **fields))


@given("urgent and batch tasks of {seconds:d} second are always waiting")
def step_classes(context, seconds):
    def arrive(now, ended):
        number = len(context.tasks)
        return [
            make_task(f"{p.value}-{number}", n, policy=PACK[p], run_seconds=seconds, queued_at=now)
            for p in (PriorityClass.URGENT, PriorityClass.BATCH)
            for n in range(16)
        ]

    context.arrivals = arrive


@when("placements are decided")
def step_decide(context):
    place(context)


@when("{seconds:d} seconds pass in steps of half a second")
def step_run(context, seconds):
    running = [(task.run_seconds + n, task, w) for n, (task, w) in enumerate(context.placed)]
    for half_seconds in range(1, seconds * 2):
        now = half_seconds / 2
        ended = [entry for entry in running if entry[0] <= now]
        running = [entry for entry in running if entry[0] > now]
        for _, task, worker_id in ended:
            release(context, task, worker_id)
        for task in context.arrivals(now, ended):
            add(context, task)
        running += [(now + task.run_seconds, task, w) for task, w in place(context, now)]


@when("every start on {which} worker fails, for tasks of {count:d} different jobs")
def step_failures(context, which, count):
    context.failing_workers = {"w-0"} if which == "one" else {w.worker_id for w in context.workers}
    for number in range(count):
        add(context, make_task(f"job-{number}", 0, queued_at=number))
        for task, worker_id in place(context, now=number / 10):
            succeeded = worker_id not in context.failing_workers
            context.scheduler.report_start(worker_id, task.job_id, succeeded, number / 10)
            release(context, task, worker_id)


@then("{count:d} tasks are placed")
def step_placed(context, count):
    assert len(context.placed) == count, len(context.placed)


@then('team "{first}" and team "{second}" have {count:d} tasks each')
def step_shares(context, first, second, count):
    for team in (first, second):
        task_count = sum(task.team == team for task, _ in context.placed)
        assert task_count == count, (team, task_count)


@then('the waiting tasks of team "{team}" are explained by "{code}"')
def step_explained(context, team, code):
    placed = {task.task_id for task, _ in context.placed}
    waiting = [t for t in context.tasks.values() if t.team == team and t.task_id not in placed]
    assert waiting
    for task in waiting:
        assert context.scheduler.explain(task.task_id, 0.0).code == code


@then("all tasks of the gang are placed at once")
def step_gang_placed(context):
    positions = [n for n, (task, _) in enumerate(context.placed) if task.job_id == "gang"]
    assert len(positions) == 2 and positions[1] == positions[0] + 1, positions


@then("between {low:d} and {high:d} percent of the placed tasks are batch tasks")
def step_lower_share(context, low, high):
    batch = sum(task.policy.priority is PriorityClass.BATCH for task, _ in context.placed)
    percent = 100 * batch / len(context.placed)
    assert low <= percent <= high, percent


@then("fewer than {count:d} starts went to the failing worker")
def step_ejected(context, count):
    starts = sum(worker_id in context.failing_workers for _, worker_id in context.placed)
    assert starts < count, starts


@then("at least {count:d} workers are still used")
def step_floor(context, count):
    last = {worker_id for _, worker_id in context.placed[-30:]}
    limits = context.scheduler.describe_workers()
    ejected = [w for w in limits if w["ejected"] and w["worker"] not in last]
    assert len(context.workers) - len(ejected) >= count, ejected
