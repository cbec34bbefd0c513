"""Steps that drive the shard owner in a cell with virtual time."""

import msgspec
from behave import given, step, then, when
from support.cluster import Cluster
from support.random_failures import check_random_failures

from lavenderhook._internal.core import effects as fx
from lavenderhook._internal.core import events as ev
from lavenderhook._internal.core.declarations import AnyDeclaration
from lavenderhook._internal.core.identifiers import WorkloadKind
from lavenderhook._internal.core.records import TaskPlaced
from lavenderhook._internal.core.resources import ZERO_RESOURCES, Resources
from lavenderhook._internal.core.services import list_draining, list_upstreams


@given("a cell with {nodes:d} entry instances and {workers:d} workers of {processors:d} processors")
def step_cell(context, nodes, workers, processors):
    context.cluster = Cluster()
    for number in range(workers):
        context.cluster.add_worker(f"worker-{number}", processors=processors * 1000)
    for number in range(nodes):
        context.cluster.add_node(f"node-{number}")
    context.submissions = []
    context.jobs = []


@given("a shard owner")
def step_owner(context):
    context.cluster.run_until(lambda: context.cluster.find_owner() is not None)
    context.owner = context.cluster.find_owner()
    context.other = next(n for n in context.cluster.nodes.values() if n is not context.owner)
    context.cluster.run(1.0)


@step("another instance owns the shard")
def step_new_owner(context):
    former = context.owner
    cluster = context.cluster
    cluster.run_until(lambda: cluster.find_owner() not in (None, former))
    context.former, context.owner = former, cluster.find_owner()


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


def submit(context, node, job_id, count, **fields):
    ticket = context.cluster.submit(node, job_id, count=count, **fields)
    context.submissions.append(ticket)
    context.jobs.append(job_id)
    context.last = ticket


@step('job "{job_id}" with {count:d} tasks is submitted')
@when('job "{job_id}" with {count:d} tasks is submitted again at once')
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
    submit(context, context.former, job_id, count)


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
    context.cancellation = context.cluster.cancel(context.owner, job_id)


@when('the placement of "{job_id}" is in flight')
def step_in_flight(context, job_id):
    def is_in_flight():
        batch = context.owner.get_ownership().in_flight
        records = [r for group in batch.groups for r in group.records] if batch else []
        return any(isinstance(r, TaskPlaced) and r.job_id == job_id for r in records)

    while not is_in_flight():
        context.cluster.run(0.001)


# Failures


@given("every worker fails what it starts")
def step_failing(context):
    for worker in context.cluster.workers.values():
        worker.failing = True


@given("a snapshot every {rows:d} log rows")
def step_snapshots(context, rows):
    for node in context.cluster.nodes.values():
        node.state.parameters = msgspec.structs.replace(node.state.parameters, snapshot_every=rows)


@given("the answers to the next {count:d} commits are lost")
def step_lose_answers(context, count):
    context.cluster.table.lose_answers = count


@given("the owner's starts are held back")
def step_hold(context):
    context.owner.hold = (fx.StartTasks,)


@given("the owner does not hear from workers")
def step_deaf(context):
    context.owner.deaf = True


@when("the held starts are sent")
def step_release(context):
    context.former.release()


@when("the owner is paused")
def step_pause(context):
    context.owner.paused = True


@when("the paused owner resumes")
def step_resume(context):
    context.former.resume()


@when("the owner dies")
def step_die(context):
    context.cluster.kill(context.owner.name)


@then("the paused owner leaves the platform's list")
def step_unlist(context):
    context.cluster.kill(context.former.name)


@when("the owner is asked to stop")
def step_shutdown(context):
    context.owner.deliver(ev.ShutdownRequested)


@step("the store goes down")
def step_store_down(context):
    context.cluster.table.down = True


@step("the store comes back")
def step_store_up(context):
    context.cluster.table.down = False


def find_busy_worker(context):
    return next(worker for worker, _, _ in context.cluster.list_running())


@when("a worker with tasks is removed")
def step_remove_worker(context):
    context.cluster.remove_worker(find_busy_worker(context).view.worker_id)


@when("a worker with tasks cannot be reached")
def step_partition_worker(context):
    worker = find_busy_worker(context)
    worker.reachable = False
    context.placed_before = set(context.cluster.table.folded.attempts)


@when("a worker has only {processors:d} processors left")
def step_shrink(context, processors):
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
    answer = context.cluster.answers.get(context.last)
    assert isinstance(answer, fx.RefuseCall), answer
    assert answer.error.code == code, answer.error


@then("the last operation is forwarded to the owner")
def step_forwarded(context):
    answer = context.cluster.answers[context.last]
    assert isinstance(answer, fx.ForwardOperation), answer
    assert answer.peer == context.owner.state.incarnation


@then("the submissions are answered as {kinds}")
def step_answers(context, kinds):
    answers = [context.cluster.answers[ticket] for ticket in context.submissions]
    found = ["repeated" if answer.repeated else "new" for answer in answers]
    assert found == kinds.split(", "), found


@then('{count:d} tasks of "{job_id}" run')
def step_running(context, count, job_id):
    running = context.cluster.count_running(job_id)
    assert running == count, running


@then("{count:d} starts were carried out in all")
def step_starts(context, count):
    starts = sum(worker.starts for worker in context.cluster.workers.values())
    assert starts == count, starts


@then("no task ever ran in two places")
def step_never_twice(context):
    context.cluster.check_invariants()  # also checked by the workers at every start


@then("the cancellation reports {not_run:d} not run, {stopping:d} stopping and {ended:d} ended")
def step_cancelled(context, not_run, stopping, ended):
    answer = context.cluster.answers[context.cancellation]
    assert (answer.not_run, answer.stopping, answer.ended) == (not_run, stopping, ended), answer


@then('job "{job_id}" is {status}')
def step_job_status(context, job_id, status):
    view = context.cluster.query(context.owner, "job", job_id).view
    assert view["state"] == status, view


@then('nothing of job "{job_id}" is durable')
def step_not_durable(context, job_id):
    assert job_id not in context.cluster.table.folded.jobs


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


@then("the new owner's state is what all committed records make")
def step_same_state(context):
    # Committed records only: what the owner decided since is carried by its pending groups.
    expected = context.cluster.table.folded
    actual = context.owner.get_ownership().get_shard_state()
    assert actual.jobs == expected.jobs, (actual.jobs, expected.jobs)
    assert actual.attempts == expected.attempts
    assert actual.epoch == expected.epoch


@then("the former owner does not own the shard")
def step_not_owner(context):
    assert not context.former.get_ownership().is_owned()


@then("no task starts until the leases of the former starts have passed")
def step_no_early_start(context):
    leases = [r.lease_until for r in context.cluster.table.committed if isinstance(r, TaskPlaced)]
    context.cluster.run(max(leases) - context.cluster.now)
    assert not context.cluster.started_tasks


@then('{count:d} tasks of "{job_id}" have been placed again')
def step_not_placed_again(context, count, job_id):
    attempts = context.cluster.table.folded.attempts
    again = [a for a in attempts if a.startswith(job_id) and a not in context.placed_before]
    assert len(again) == count, again


@then("the reserved amounts fit every worker")
def step_fit(context):
    for worker in context.cluster.workers.values():
        reserved = context.cluster.table.folded.get_reserved(worker.view.worker_id)
        assert reserved.fits(worker.view.capacity), (worker.view, reserved)
    for view in context.cluster.query(context.owner, "workers").view["workers"]:
        assert all(view["reserved"][n] <= view["capacity"][n] for n in view["capacity"]), view


@then("the reserved amounts are zero")
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
def step_have(context, job_id, processors):
    tasks = [t for _, _, t in context.cluster.list_running() if t.task_id.startswith(job_id)]
    assert {t.resources.processors for t in tasks} == {processors}, tasks


@then('no task runs on worker "{worker_id}"')
def step_none_on(context, worker_id):
    running = [a for w, a, _ in context.cluster.list_running() if w.view.worker_id == worker_id]
    assert not running, running


@then("no task runs on the drained worker")
def step_none_on_drained(context):
    step_none_on(context, context.drained)


@then("random failures of two owners break no invariant")
def step_random_failures(context):
    check_random_failures()
