"""Steps with organisations that have limits and weights."""

import functools
from types import SimpleNamespace

import msgspec
from behave import given, then, when

from features.steps.malformed_messages import StubRequest
from features.support.organisation_limits import make_organisation
from features.support.queue_random_runs import run_random_simulation
from features.support.queue_simulation import make_step, make_submission
from lavenderhook._internal.adapters.metrics import Metrics
from lavenderhook._internal.instance.decision_metrics import DecisionMetrics
from lavenderhook._internal.instance.submission_writer import WriteResult
from lavenderhook._internal.queueing.authentication import AvailableRevocation
from lavenderhook._internal.queueing.crash_history import RunFate, SuspectRun
from lavenderhook._internal.queueing.organisations import Organisations
from lavenderhook._internal.queueing.quotas import check_within_limit
from lavenderhook._internal.queueing.routes import QueueRoute, QueueRoutes
from lavenderhook._internal.queueing.shares import OwedSubmissions
from lavenderhook.errors import InvalidArgumentError
from lavenderhook.platform.frontend import Frontend

USUAL_SECONDS = 20.0  # in which all organisations send
BURST_AT = 5.0


@given('organisation "{name}" may use {processors:d} millicores')
@when('the limit of "{name}" changes to {processors:d} millicores')
def step_limit(context, name, processors):
    limits = context.simulation.organisation_limits
    others = [entry for entry in limits.organisations or () if entry.name != name]
    limits.change(*others, make_organisation(name, processors))


@when(
    '"{organisation}" submits "{name}" of {count:d} tasks of {processors:d} millicores '
    "and {seconds:d} seconds"
)
def step_submit(context, organisation, name, count, processors, seconds):
    steps = [make_step(count, processors, seconds)]
    context.simulation.submit(name, steps, organisation=organisation)


@when('"{organisation}" submits "{name}", a gang of {count:d} tasks of {processors:d} millicores')
def step_submit_gang(context, organisation, name, count, processors):
    steps = [make_step(count, processors, 1.0, is_gang=True)]
    context.simulation.submit(name, steps, organisation=organisation)


@when(
    '"{organisation}" submits "{name}", a service of {count:d} tasks of {processors:d} millicores'
)
def step_submit_service(context, organisation, name, count, processors):
    steps = [make_step(count, processors, 0.0, is_service=True)]
    context.simulation.submit(name, steps, organisation=organisation)


@when(
    '"{organisation}" submits "{name}", a gang of {count:d} tasks of {processors:d} millicores '
    "and {seconds:d} seconds"
)
def step_submit_long_gang(context, organisation, name, count, processors, seconds):
    steps = [make_step(count, processors, float(seconds), is_gang=True)]
    context.simulation.submit(name, steps, organisation=organisation)


@when(
    '"{organisation}" submits "{name}", {count:d} parallel tasks of {processors:d} millicores '
    "and {seconds:d} seconds"
)
def step_submit_parallel(context, organisation, name, count, processors, seconds):
    step_submit(context, organisation, name, count, processors, seconds)


@then("no task of the stream has waited for longer than {seconds:g} second")
@then("no task of the stream has waited for longer than {seconds:g} seconds")
def step_stream_waits(context, seconds):
    simulation, waited = context.simulation, {}
    for _, line in simulation.decisions:
        if line.decision == "task-placed" and line.fields["run"]:
            waited.setdefault(line.fields["task"].partition(".")[0], line.fields["waited"])
    arrived = [n for n, (s, _) in simulation.submissions.items() if is_of_stream(simulation, n, s)]
    found = {name: waited.get(name) for name in arrived}
    late = {name: at for name, at in found.items() if at is None or at > seconds}
    assert arrived and not late, late


def is_of_stream(simulation, name, submission):
    """Return whether a submission is one of a stream, and has been there for some seconds."""
    return name.startswith("a-") and submission.accepted_at < simulation.now - 3.0


@then('"{claimed}" and "{moved}" tell the turn of "{name}"')
def step_claim_lines(context, claimed, moved, name):
    lines = {}
    for _, line in context.simulation.decisions:
        if line.decision in (claimed, moved) and line.fields["step"] == f"{name}.0.0":
            lines.setdefault(line.decision, []).append(line.fields["turn_in"])
    assert 0 < lines[claimed][0] < 45 < lines[moved][-1], lines


@when(
    '"{organisation}" submits {count:d} tasks of {processors:d} millicores a second '
    "for {seconds:d} seconds"
)
def step_stream(context, organisation, count, processors, seconds):
    schedule(context.simulation, organisation, count, seconds, [make_step(1, processors, 1.0)])


def schedule(simulation, organisation, rate, seconds, steps, begins=0.0, priority=0):
    """Schedule submissions of one organisation at a rate."""
    for index in range(int(rate * seconds)):
        name = f"{organisation}-{round(100 * begins)}-{index}"
        submit = functools.partial(
            simulation.submit, name, steps, organisation=organisation, priority=priority
        )
        simulation.call_later(begins + (index + 0.5) / rate, submit)


@when('only the entry of "{name}" can be read')
def step_incomplete(context, name):
    limits = context.simulation.organisation_limits
    limits.organisations = Organisations([make_organisation(name)], is_complete=False)
    limits.deliver(context.simulation.owners[-1])


@when('task 0 of "{name}" has crashed a worker and its next start is planned')
def step_plan_start(context, name):
    simulation = context.simulation
    state = simulation.owners[-1].state
    simulation.run_until(lambda: name in state.submissions)
    step = state.submissions[name].steps[(0, 0)]
    history = step.get_or_add_crash_history(0)
    history.runs[1] = SuspectRun(fate=RunFate.CRASHED)
    simulation.run_until(lambda: step.runs)


@when("all commands are lost")
def step_lose_commands(context):
    context.simulation.lost_answer_share = 1.0
    context.simulation.random.random = lambda: 0.9  # nor is any delivered late


@when("commands are no longer lost")
def step_keep_commands(context):
    context.simulation.lost_answer_share = 0.0
    del context.simulation.random.random


@when("the owner is lost before a start is answered")
def step_lose_owner(context):
    simulation = context.simulation
    simulation.run_until(lambda: simulation.starts)
    simulation.owners[-1].is_active = False
    simulation.predecessor_seconds = 0.0
    simulation.start_new_owner()


@when('a worker that runs "{name}" is partitioned')
def step_cut_worker(context, name):
    workers = context.simulation.workers.values()
    found = next(w for w in workers if any(task.submission == name for task in w.runs))
    found.is_partitioned = True


@when("an idle worker is partitioned")
def step_cut_idle_worker(context):
    workers = context.simulation.workers.values()
    next(worker for worker in workers if not worker.runs).is_partitioned = True


@then('"{name}" has used {processors:d} millicores at most')
def step_most(context, name, processors):
    most = context.simulation.organisation_limits.most_processors[name]
    assert most == processors, most


@then('"{name}" uses {processors:d} millicores')
def step_use(context, name, processors):
    used = context.simulation.organisation_limits.count(name)[0]
    assert used == processors, used


@given('organisations "{one}" and "{other}" with weights of {weight:g} and {other_weight:g}')
def step_weights(context, one, other, weight, other_weight):
    context.simulation.organisation_limits.change(
        make_organisation(one, weight=weight), make_organisation(other, weight=other_weight)
    )


@then('over {seconds:d} seconds, "{one}" uses {low:g} to {high:g} times as much as "{other}"')
def step_ratio(context, seconds, one, low, high, other):
    totals = {one: 0, other: 0}
    for _ in range(10 * seconds):
        context.simulation.run(0.1)
        for name in totals:
            totals[name] += context.simulation.organisation_limits.count(name)[0]
    assert low <= totals[one] / totals[other] <= high, totals


@given("{count:d} organisations that may send {rate:d} submissions a second {shares}")
def step_organisations(context, count, rate, shares):
    context.names = [f"organisation{index}" for index in range(count)]
    has_weights = shares == "with their weights"
    entries = [make_organisation(name, weight=float(rate)) for name in context.names]
    if not has_weights:
        context.names = [""] * count  # submissions without an organisation are all alike
        entries = []
    context.simulation.organisation_limits.change(*entries)


@when(
    "each of them sends {rate:d} submissions of {tasks:d} tasks a second, "
    "and the first {factor:g} times as many for {seconds:d} seconds "
    "with priority {priority:d}"
)
def step_burst(context, rate, tasks, factor, seconds, priority):
    simulation, steps = context.simulation, [make_step(tasks, 2000, 1.0)]
    context.others = []
    for index, organisation in enumerate(context.names):
        begins = index * 0.01
        schedule(simulation, organisation, rate, USUAL_SECONDS, steps, begins, 1)
        if index:
            count = int(rate * USUAL_SECONDS)
            context.others += [f"{organisation}-{index}-{number}" for number in range(count)]
    schedule(simulation, context.names[0], rate * (factor - 1), seconds, steps, BURST_AT, priority)


@then("{share} of the others' submissions wait for longer than {seconds:g} second")
def step_waits(context, share, seconds):
    waited_by_task = {}  # until the first start
    for _, line in context.simulation.decisions:
        if line.decision == "task-placed":
            waited_by_task.setdefault(line.fields["task"], line.fields["waited"])
    waited = {}
    for task, waited_seconds in waited_by_task.items():
        name = task.partition(".")[0]
        waited[name] = max(waited.get(name, 0.0), waited_seconds)
    count = sum(waited[name] > seconds for name in context.others)
    is_expected = count == 0 if share == "none" else count > 0.1 * len(context.others)
    assert is_expected, (count, max(waited[name] for name in context.others))


@then(
    'there are {low:d} to {high:d} lines "{begun}" and {count:d} lines "{ended}" '
    'of "{organisation}"'
)
def step_lines(context, low, high, begun, count, ended, organisation):
    found = [
        line.decision
        for _, line in context.simulation.decisions
        if line.fields.get("organisation") == organisation
    ]
    assert low <= found.count(begun) <= high, found
    assert found.count(ended) == count, found


@then('the metrics show that no task of "{organisation}" is held any longer')
def step_metrics(context, organisation):
    metrics = Metrics(lambda address: "", "z")
    decision_metrics = DecisionMetrics(metrics)
    gauge = f'organisation_held_tasks{{organisation="{organisation}"}} '
    shown = []
    for _, line in context.simulation.decisions:
        if line.fields.get("organisation") == organisation:
            decision_metrics.record(line.decision, line.fields)
            shown.append(metrics.render().decode().partition(gauge)[2].partition("\n")[0])
    assert shown[-1] == "0" and "0" not in shown[:-1], shown


@when("the random simulations {first:d} to {last:d} with organisations are run")
def step_random_runs(context, first, last):
    context.simulations = {
        seed: run_random_simulation(
            seed,
            has_organisations=True,
            has_leaving_workers=seed % 4 == 1,
            has_capacity_changes=seed % 5 == 0,
            owners_confirm=seed % 2 == 0,
        )
        for seed in range(first, last + 1)
    }


@then(
    "with a weight of {weight:g}, of submissions accepted at {accepted}, those at {owed} are owed"
)
def step_owed(context, weight, accepted, owed):
    submissions = OwedSubmissions(weight)
    found = [at for at in accepted.split() if submissions.record(1e9 + float(at))]
    assert found == owed.split(), found


@then("with {known} limits, one beyond them that {stored} stored is answered {status:d}")
def step_answer(context, known, stored, status):
    terms = make_submission("checked", []).queue
    route = QueueRoute(host="h", path_prefix="/q/", terms=terms)
    organisation = msgspec.structs.replace(make_organisation("a", 1000), keys=frozenset({"k"}))
    instance = SimpleNamespace(
        configuration=SimpleNamespace(
            routes=QueueRoutes(1, [route], Organisations([organisation])),
            can_deny_unknown=lambda: known == "current",
            measure_age=lambda: 0.0,
            describe=dict,
        ),
        may_be_stored=lambda submission: stored == "may be",
        refuse=lambda submission, deadline: None,
        submit=lambda submission, deadline: WriteResult.STORED,
        compute_retry_after=lambda deadline: 1,
    )
    frontend = Frontend(instance, lambda what, **fields: None, AvailableRevocation())
    request = StubRequest(b'{"spec": "s", "steps": [{"cpu": 2000, "estimateMs": 1000}]}')
    try:
        found = frontend.route(request).status
    except InvalidArgumentError:
        found = 400
    assert found == status, found


@then(
    "a {kind} of {count:d} tasks of {processors:d} millicores under a limit of {limit:d} "
    "is {result}"
)
def step_check(context, kind, count, processors, limit, result):
    step = msgspec.structs.replace(make_step(count, processors), is_gang=kind == "gang")
    try:
        check_within_limit(make_submission("checked", [step]), make_organisation("a", limit))
    except InvalidArgumentError as error:
        assert result == "refused", error
        assert "a may have running" in str(error), error
    else:
        assert result == "accepted"
