"""Steps for urgent tasks on fully occupied workers."""

import math

from behave import given, then, when

from lavenderhook._internal.core.declarations import PlacementMode, Policy, Selector, SelectorTarget
from lavenderhook._internal.core.identifiers import PriorityClass, TaskState
from lavenderhook._internal.core.labels import LabelSelector, Requirement
from lavenderhook._internal.core.resources import Resources

BATCH_TASKS = 64  # on 8 workers of 4 processors, with 1 processor each: twice the capacity


def configure(context, *, preemptible):
    """Declare a policy for urgent and one for batch work, selected by the label `class`."""
    declarations = []
    for name, priority in (("urgent", PriorityClass.URGENT), ("batch", PriorityClass.BATCH)):
        matches = LabelSelector((Requirement(key="class", values=(name,)),))
        is_preemptible = preemptible and name == "batch"
        declarations += [
            Policy(
                name=name,
                mode=PlacementMode.PACK,
                priority=priority,
                preemptible=is_preemptible,
            ),
            Selector(name=name, target=SelectorTarget.POLICY, policy=name, workloads=matches),
        ]
    context.cluster.configure(declarations)


def submit(context, job_id, *, urgent, count, processors, seconds, idempotent=True):
    """Submit a job of one class."""
    context.cluster.submit(
        context.owner,
        job_id,
        labels={"class": "urgent" if urgent else "batch"},
        resources=Resources(int(processors * 1000), 64),
        count=count,
        run_seconds=seconds,
        idempotent=idempotent,
    )


def list_tasks(context, prefix):
    """Return the committed tasks of the jobs whose id starts with `prefix`."""
    jobs = context.cluster.table.committed_state.jobs
    return [t for j, job in jobs.items() if j.startswith(prefix) for t in job.tasks.values()]


@given("policies for urgent and for preemptible batch tasks, selected by label")
def step_policies(context):
    configure(context, preemptible=True)
    context.cluster.run(1.0)


@given("the policy of batch tasks is not preemptible")
def step_not_preemptible(context):
    configure(context, preemptible=False)
    context.cluster.run(1.0)


@given("batch tasks of {seconds:d} seconds that require twice the capacity")
def step_batch(context, seconds):
    submit(context, "batch", urgent=False, count=BATCH_TASKS, processors=1, seconds=seconds)
    context.cluster.run(2.0)


@given("non-idempotent batch tasks of {seconds:d} seconds that require twice the capacity")
def step_non_idempotent(context, seconds):
    count = BATCH_TASKS
    submit(
        context, "batch", urgent=False, count=count, processors=1, seconds=seconds, idempotent=False
    )
    context.cluster.run(2.0)


@when(
    "an urgent task of {processors:d} processors and {run:d} second arrives "
    "every {interval:g} seconds for {seconds:d} seconds"
)
def step_urgent(context, processors, run, interval, seconds):
    context.arrival_times = {}
    for number in range(int(seconds / interval)):
        job_id = f"urgent-{number}"
        context.arrival_times[f"{job_id}.0"] = context.cluster.now
        submit(context, job_id, urgent=True, count=1, processors=processors, seconds=run)
        context.cluster.run(interval)
    context.cluster.run(5.0)


@then("{percent:d} of 100 urgent tasks started within {limit:g} seconds")
def step_waits(context, percent, limit):
    starts = context.cluster.start_times
    waits = sorted(
        starts.get(task, [math.inf])[0] - arrived_at
        for task, arrived_at in context.arrival_times.items()
    )
    rank = math.ceil(len(waits) * percent / 100) - 1
    print(f"urgent waits: median {waits[len(waits) // 2]:.2f} s, p{percent} {waits[rank]:.2f} s")
    assert waits[rank] <= limit, waits


@then("at least {count:d} batch tasks have finished")
def step_batch_progress(context, count):
    done = [t for t in list_tasks(context, "batch") if t.state is TaskState.DONE]
    assert len(done) >= count, len(done)


@then("no task ran on two workers at once")
def step_no_overlap(context):
    context.cluster.check_invariants()


@then("no batch task was started twice")
def step_not_twice(context):
    starts = context.cluster.start_times
    repeated = [t for t, times in starts.items() if t.startswith("batch") and len(times) > 1]
    assert not repeated, repeated
