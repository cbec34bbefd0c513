"""Steps that drive the shard owner in a simulated cluster."""

import msgspec
from behave import given, step, then, when
from support.cluster import SimulatedCluster
from support.random_failures import check_random_failures

from lavenderhook._internal.core import effects as fx
from lavenderhook._internal.core import events as ev
from lavenderhook._internal.core.declarations import AnyDeclaration
from lavenderhook._internal.core.identifiers import WorkloadKind
from lavenderhook._internal.core.records import TaskPlaced
from lavenderhook._internal.core.recovery import RECOVERY_TIMER
from lavenderhook._internal.core.resources import ZERO_RESOURCES, Resources
from lavenderhook._internal.core.services import list_draining, list_upstreams


@given(
    "a simulated cluster with {instances:d} entry instances "
    "and {workers:d} workers of {processors:d} processors"
)
def step_cluster(context, instances, workers, processors):
    context.cluster = SimulatedCluster()
    for number in range(workers):
        context.cluster.add_worker(f"worker-{number}", processors=processors * 1000)
    for number in range(instances):
        context.cluster.add_instance(f"node-{number}")
    context.submissions = []
    context.jobs = []


@given("a shard owner")
def step_owner(context):
    context.cluster.run_until(lambda: context.cluster.find_owner() is not None)
    context.owner = context.cluster.find_owner()
    context.other = next(n for n in context.cluster.instances.values() if n is not context.owner)
    context.cluster.run(1.0)


@step("another instance takes over the shard")
def step_new_owner(context):
    previous = context.owner
    cluster = context.cluster
    cluster.run_until(lambda: cluster.find_owner() not in (None, previous))
    context.previous_owner, context.owner = previous, cluster.find_owner()


@step("{seconds:g} seconds pass")
@step("{seconds:g} second passes")
def step_pass(context, seconds):
    context.cluster.run(seconds)


@step("the configuration")
def step_configuration(context):
    declarations = msgspec.json.decode(context.text.encode(), type=tuple[AnyDeclaration, ...])
    context.cluster.configure(declarations)


@when('the declaration of workload "{name}" is deleted')
def step_delete(context, name):
    context.cluster.configure((), (("workload", name),))


# Operations


def submit(context, instance, job_id, count, **fields):
    ticket = context.cluster.submit(instance, job_id, count=count, **fields)
    context.submissions.append(ticket)
    context.jobs.append(job_id)
    context.last_ticket = ticket


@step('job "{job_id}" with {count:d} tasks is submitted')
@when('job "{job_id}" with {count:d} tasks is submitted again')
def step_submit(context, job_id, count):
    submit(context, context.owner, job_id, count)


@step('job "{job_id}" with {count:d} tasks that run {seconds:g} seconds is submitted')
def step_submit_long(context, job_id, count, seconds):
    submit(context, context.owner, job_id, count, run_seconds=seconds)


@when('job "{job_id}" with {count:d} tasks is submitted to the other instance')
def step_submit_other(context, job_id, count):
    submit(context, context.other, job_id, count)


@when('job "{job_id}" with {count:d} tasks is submitted to the paused owner')
def step_submit_paused(context, job_id, count):
    submit(context, context.previous_owner, job_id, count)


@when(
    'job "{job_id}" of kind {kind} with {count:d} tasks of {processors:d} processors is submitted'
)
def step_submit_kind(context, job_id, kind, count, processors):
    resources = Resources(processors * 1000, 512) if processors else ZERO_RESOURCES
    submit(
        context,
        context.owner,
        job_id,
        count,
        kind=WorkloadKind(kind),
        resources=resources,
        run_seconds=100.0,
    )


@when("{jobs:d} jobs of 1 task that run {seconds:g} seconds are submitted one by one")
def step_submit_many(context, jobs, seconds):
    for number in range(jobs):
        submit(context, context.owner, f"job-{number}", 1, run_seconds=seconds)
        context.cluster.run(0.4)


@when('job "{job_id}" is cancelled')
def step_cancel(context, job_id):
    context.cancellation_ticket = context.cluster.cancel(context.owner, job_id)


@when('the placement of "{job_id}" is in flight')
def step_in_flight(context, job_id):
    def is_in_flight():
        batch = context.owner.get_ownership().in_flight
        records = [r for group in batch.groups for r in group.records] if batch else []
        return any(isinstance(r, TaskPlaced) and r.job_id == job_id for r in records)

    while not is_in_flight():
        context.cluster.run(0.001)


# Failures


@given("every task that a worker starts fails")
def step_fail_starts(context):
    for worker in context.cluster.workers.values():
        worker.fails_starts = True


@given("a snapshot every {rows:d} log rows")
def step_snapshots(context, rows):
    for instance in context.cluster.instances.values():
        instance.state.parameters = msgspec.structs.replace(
            instance.state.parameters, snapshot_every=rows
        )


@given("the responses to the next {count:d} commits are lost")
def step_lose_responses(context, count):
    context.cluster.table.responses_to_lose = count


@given("the owner's start calls are delayed")
def step_delay_starts(context):
    context.owner.delayed_effect_types = (fx.StartTasks,)


@given("the owner receives no reports from workers")
def step_drop_reports(context):
    context.owner.drops_worker_reports = True


@when("the delayed start calls are sent")
def step_send_delayed_starts(context):
    context.previous_owner.execute_delayed_effects()


@when("the owner is paused")
def step_pause(context):
    context.owner.is_paused = True


@when("the paused owner resumes")
def step_resume(context):
    context.previous_owner.resume()


@when("the owner process is killed")
def step_kill_owner(context):
    context.cluster.kill(context.owner.name)


@then("the paused owner is removed from the platform's list of instances")
def step_unlist(context):
    context.cluster.kill(context.previous_owner.name)


@when("the owner receives a shutdown request")
def step_shutdown(context):
    context.owner.deliver(ev.ShutdownRequested)


@step("the table becomes unavailable")
def step_table_unavailable(context):
    context.cluster.table.is_unavailable = True


@step("the table becomes available again")
def step_table_available(context):
    context.cluster.table.is_unavailable = False


def find_busy_worker(context):
    return next(worker for worker, _, _ in context.cluster.list_running())


@when("a worker with tasks is removed")
def step_remove_worker(context):
    context.cluster.remove_worker(find_busy_worker(context).view.worker_id)


@when("the entry of a worker with tasks in the platform's list can't be read")
def step_unreadable_entry(context):
    context.cluster.unreadable_entries.add(find_busy_worker(context).view.worker_id)


@when("a worker and an instance join and are listed")
def step_join(context):
    cluster = context.cluster
    context.list_before = (
        tuple(view for view in context.owner.state.membership.listed.values()),
        tuple(worker.view for worker in cluster.workers.values()),
    )
    cluster.add_worker("worker-new", processors=64_000)
    context.joined = cluster.add_instance("node-new")
    cluster.run(1.5)


@when("the owner gets a list from before they joined, requested {seconds:g} seconds ago")
def step_late_list(context, seconds):
    instances, workers = context.list_before
    owner = context.owner
    owner.deliver(
        ev.PlatformListed,
        instances=instances,
        workers=workers,
        requested_at=context.cluster.now - seconds,
    )
    owner.deliver(ev.TimerFired, name=RECOVERY_TIMER)


@then("the instance that has joined is not gone")
def step_not_gone(context):
    assert context.joined.state.incarnation not in context.owner.state.membership.gone


@when("a worker with tasks becomes unreachable")
def step_partition_worker(context):
    worker = find_busy_worker(context)
    worker.is_reachable = False
    context.placed_before = set(context.cluster.table.committed_state.attempts)


@when("the capacity of a worker with tasks is reduced to {processors:d} processors")
def step_reduce_capacity(context, processors):
    worker = find_busy_worker(context)
    capacity = Resources(processors * 1000, worker.view.capacity.memory_mb)
    worker.view = msgspec.structs.replace(worker.view, capacity=capacity)


@when('one task of "{job_id}" fails')
def step_fail_one(context, job_id):
    running = context.cluster.list_running()
    task = next(t for _, _, t in running if t.task_id.startswith(f"{job_id}."))
    task.state = "failed"


@when('the worker of a task of "{job_id}" is drained')
def step_drain(context, job_id):
    context.drained = find_busy_worker(context).view.worker_id
    text = f'[{{"kind": "worker-labels", "name": "{context.drained}", "drain": true}}]'
    context.cluster.configure(msgspec.json.decode(text, type=tuple[AnyDeclaration, ...]))


# Checks


@then('the last operation is refused with "{code}"')
def step_refused(context, code):
    answer = context.cluster.answers.get(context.last_ticket)
    assert isinstance(answer, fx.RefuseCall), answer
    assert answer.error.code == code, answer.error


@then("the last operation is forwarded to the owner")
def step_forwarded(context):
    answer = context.cluster.answers[context.last_ticket]
    assert isinstance(answer, fx.ForwardOperation), answer
    assert answer.peer == context.owner.state.incarnation


@then("the submissions are answered as {kinds}")
def step_answers(context, kinds):
    answers = [context.cluster.answers[ticket] for ticket in context.submissions]
    actual = ["repeated" if answer.repeated else "new" for answer in answers]
    assert actual == kinds.split(", "), actual


@then('{count:d} tasks of "{job_id}" run')
def step_running(context, count, job_id):
    running = context.cluster.count_running(job_id)
    assert running == count, running


@then("workers have started {count:d} attempts in total")
def step_starts(context, count):
    starts = sum(worker.starts for worker in context.cluster.workers.values())
    assert starts == count, starts


@then("no task ran on two workers at any time")
def step_never_concurrent(context):
    context.cluster.check_invariants()  # also checked by the workers at every start


@then("the cancellation reports {not_run:d} not run, {stopping:d} stopping and {ended:d} ended")
def step_cancelled(context, not_run, stopping, ended):
    answer = context.cluster.answers[context.cancellation_ticket]
    assert (answer.not_run, answer.stopping, answer.ended) == (not_run, stopping, ended), answer


@then('job "{job_id}" is {status}')
def step_job_status(context, job_id, status):
    view = context.cluster.query(context.owner, "job", job_id).view
    assert view["state"] == status, view


@then('the committed state does not contain job "{job_id}"')
def step_not_committed(context, job_id):
    assert job_id not in context.cluster.table.committed_state.jobs


@then("every submitted job is done")
def step_all_done(context):
    for job_id in context.jobs:
        step_job_status(context, job_id, "done")


@then('team "{team}" sees job "{job_id}" as {status}')
def step_team_sees(context, team, job_id, status):
    view = context.cluster.query(context.owner, "job", job_id, team).view
    assert view["state"] == status, view
    assert [j["job"] for j in context.cluster.query(context.owner, "jobs", "", team).view["jobs"]]


@then('team "{team}" sees no job "{job_id}"')
def step_team_sees_nothing(context, team, job_id):
    for kind in ("job", "explain"):
        answer = context.cluster.query(context.owner, kind, job_id, team)
        assert answer.error.code == "not-found", answer
    for kind, field in (("jobs", "jobs"), ("queue", "tasks"), ("summary", "jobs")):
        assert not context.cluster.query(context.owner, kind, "", team).view[field]


@then('the views of operators are refused to team "{team}"')
def step_operator_views(context, team):
    for kind in ("workers", "instances", "configuration", "history"):
        answer = context.cluster.query(context.owner, kind, "", team)
        assert answer.error.code == "permission-denied", answer
        assert context.cluster.query(context.owner, kind).view


@then("at most {rows:d} log rows are left")
def step_rows(context, rows):
    assert context.cluster.table.head.snapshot_log > 0
    assert len(context.cluster.table.rows) <= rows, sorted(context.cluster.table.rows)


@then("the new owner's jobs, attempts and epoch equal those rebuilt from all committed records")
def step_same_state(context):
    # The owner keeps decisions that are not committed yet as pending record groups, outside the
    # shard state.
    expected = context.cluster.table.committed_state
    actual = context.owner.get_ownership().get_shard_state()
    assert actual.jobs == expected.jobs, (actual.jobs, expected.jobs)
    assert actual.attempts == expected.attempts
    assert actual.epoch == expected.epoch


@then("the previous owner does not own the shard")
def step_not_owner(context):
    assert not context.previous_owner.get_ownership().is_owned()


@then("no task starts until the leases of the earlier starts have expired")
def step_no_early_start(context):
    leases = [
        r.lease_until for r in context.cluster.table.committed_records if isinstance(r, TaskPlaced)
    ]
    context.cluster.run(max(leases) - context.cluster.now)
    assert not context.cluster.started_tasks


@then('{count:d} new attempts of "{job_id}" have been placed since the partition')
def step_new_attempts(context, count, job_id):
    attempts = context.cluster.table.committed_state.attempts
    new = [a for a in attempts if a.startswith(job_id) and a not in context.placed_before]
    assert len(new) == count, new


@then("the reserved resources do not exceed any worker's capacity")
def step_reservations_fit(context):
    for worker in context.cluster.workers.values():
        reserved = context.cluster.table.committed_state.get_reserved(worker.view.worker_id)
        assert reserved.fits(worker.view.capacity), (worker.view, reserved)
    for view in context.cluster.query(context.owner, "workers").view["workers"]:
        assert all(view["reserved"][n] <= view["capacity"][n] for n in view["capacity"]), view


@then("no resources are reserved")
def step_nothing_reserved(context):
    workers = context.cluster.query(context.owner, "workers").view["workers"]
    assert all(w["reserved"]["processors"] == 0 for w in workers), workers


@then("{count:d} upstreams are usable")
def step_upstreams(context, count):
    ownership = context.owner.get_ownership()
    upstreams = list_upstreams(
        ownership.get_shard_state(),
        context.owner.state.membership.workers,
        list_draining(ownership),
    )
    usable = [u for u in upstreams if not u.leaving]
    assert len(usable) == count, upstreams


@then('at least {count:d} tasks of "{job_id}" run for {seconds:d} seconds')
def step_never_below(context, count, job_id, seconds):
    for _ in range(seconds * 10):
        context.cluster.run(0.1)
        running = context.cluster.count_running(job_id)
        assert running >= count, running


@then('every task of "{job_id}" has {processors:d} processors')
def step_processors(context, job_id, processors):
    tasks = [t for _, _, t in context.cluster.list_running() if t.task_id.startswith(job_id)]
    assert {t.resources.processors for t in tasks} == {processors}, tasks


@then('no task runs on worker "{worker_id}"')
def step_none_on(context, worker_id):
    running = [a for w, a, _ in context.cluster.list_running() if w.view.worker_id == worker_id]
    assert not running, running


@then("no task runs on the drained worker")
def step_none_on_drained(context):
    step_none_on(context, context.drained)


@then("no invariant is violated under random failures of two owners")
def step_random_failures(context):
    check_random_failures()
