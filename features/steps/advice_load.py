"""Steps on calls for advice under load, in virtual time."""

import math

from behave import given, then, when

from features.support.advice_service import SimulatedAdvisoryService
from features.support.queue_simulation import QueueSimulation, make_step
from lavenderhook._internal.queueing.model import AdviceTerms, Placement, StepId

ALLOWED_SHARE = 0.34
URGENT_STEPS_PER_SECOND = 10
GANG_ADVICE = AdviceTerms(0.44, 0.0063, 2.0)
URGENT_ADVICE = (AdviceTerms(0.04, 0.0006, 2.0), AdviceTerms(0.007, 0.0001, 2.0))
SECONDS_AFTER = 30.0  # from the last arrival until the end of a scenario


@given("{workers:d} workers, an owner and an advisory service behind {instances:d} instances")
def step_service(context, workers, instances):
    context.urgent_priority, context.urgent_count, context.gang_count = 0, 0, 0
    simulation = context.simulation = QueueSimulation(seed=1, workers=workers)
    context.service = SimulatedAdvisoryService(simulation, instances, ALLOWED_SHARE)
    context.add_cleanup(context.service.close)
    simulation.advisory_service = context.service
    simulation.start_new_owner()
    simulation.run(1.0)


@given("{count:d} calls of {seconds:f} seconds wait at each instance, whose callers have gone")
def step_left_calls(context, count, seconds):
    context.service.add_calls(count, seconds)


@given("calls for advice take {factor:f} times as long for the next {seconds:d} seconds")
def step_slow_service(context, factor, seconds):
    for machine in context.service.machines.values():
        machine.slowdown = factor
        context.simulation.call_later(seconds, setattr, machine, "slowdown", 1.0)


@given("no instance reaches the advisory service for the next {seconds:d} seconds")
def step_service_lost(context, seconds):
    step_instances_lost(context, len(context.service.machines), seconds)


@given("{count:d} instances don't reach the advisory service for the next {seconds:d} seconds")
def step_instances_lost(context, count, seconds):
    for machine in list(context.service.machines.values())[:count]:
        machine.is_lost = True
        context.simulation.call_later(seconds, setattr, machine, "is_lost", False)


@given("urgent steps have lower priority than gangs")
def step_lower_priority(context):
    context.urgent_priority = 2


@given("{count:d} urgent steps")
def step_many_urgent(context, count):
    for _ in range(count):
        submit_urgent(context)


@given("{count:d} gangs that wait for advice")
def step_gangs(context, count):
    for _ in range(count):
        submit_gang(context, f"gang{context.gang_count}", 3000, 1)
        context.gang_count += 1
    context.simulation.run(0.1)


@given("the owner has stopped, and the same instance is the owner again")
def step_same_owner(context):
    context.simulation.owners[-1].is_active = False
    context.service.end_callers()
    context.simulation.start_new_owner()


def submit_urgent(context):
    """Submit a step whose call for advice is short."""
    advice = URGENT_ADVICE[context.urgent_count % len(URGENT_ADVICE)]
    name = f"urgent{context.urgent_count}"
    priority = context.urgent_priority
    context.simulation.submit(name, [make_step(2, 500, 0.3)], advice=advice, priority=priority)
    context.urgent_count += 1


@given("urgent steps arrive for {seconds:d} seconds")
def step_urgent_load(context, seconds):
    for _ in range(seconds * URGENT_STEPS_PER_SECOND):
        submit_urgent(context)
        context.simulation.run(1 / URGENT_STEPS_PER_SECOND)


@when("{count:d} gangs arrive beside urgent steps for {seconds:d} seconds")
def step_load(context, count, seconds):
    step_gangs(context, count)
    step_urgent_load(context, seconds)
    context.simulation.run(SECONDS_AFTER)


@given("long tasks that leave little capacity free")
def step_long_tasks(context):
    simulation = context.simulation
    simulation.choose_duration = lambda spec: 60.0 * spec.estimate_seconds
    simulation.submit("long", [make_step(len(simulation.workers), 14000, 4.0)])
    simulation.run(1.0)


@when(
    "{times:d} times {count:d} gangs for which there is no capacity arrive, each time of higher "
    "priority"
)
def step_waves(context, times, count):
    for wave in range(times):
        for number in range(count):
            submit_gang(context, f"wave{wave}-{number}", 6000, 9 - wave)
        context.simulation.run(4.0)


@given("{count:d} gangs that renew their tickets for {seconds:d} seconds, and then enough capacity")
def step_renewals(context, count, seconds):
    simulation = context.simulation
    simulation.choose_duration = lambda spec: spec.estimate_seconds
    for number in range(count):
        submit_gang(context, f"blocked{number}", 6000, 1)
    simulation.run(float(seconds))
    simulation.cancel("long")
    simulation.run(5.0)


@when('the gang "{name}" of 4 tasks arrives')
def step_gang(context, name):
    submit_gang(context, name, 9000, 1)
    context.simulation.run(10.0)


@then('the first call for the gang "{name}" named at least {count:d} workers')
def step_named(context, name, count):
    found = context.service.first_named[StepId(name, 0, 0)]
    assert len(found) >= count, found


@given("{steps:d} steps of {count:d} tasks that allow one task on each worker")
def step_spread(context, steps, count):
    simulation = context.simulation
    simulation.choose_duration = lambda spec: spec.estimate_seconds
    placement = Placement(most_per_worker=1)
    for number in range(steps):
        step = make_step(count, 100, 20.0, placement=placement)
        simulation.submit(f"spread{number}", [step], advice=GANG_ADVICE)
    simulation.run(4.0)


@given("a gang that waits for all workers behind tasks of 25 seconds on 2 of them")
def step_reserving_gang(context):
    simulation = context.simulation
    simulation.choose_duration = lambda spec: spec.estimate_seconds
    simulation.submit("long", [make_step(2, 14000, 25.0)])
    simulation.run(1.0)
    step = make_step(len(simulation.workers), 12000, 1.0, is_gang=True)
    simulation.submit("wide", [step], advice=GANG_ADVICE)
    simulation.run(3.0)


@when("a step of 2 tasks of 1 second arrives that needs capacity reserved for the gang")
def step_short(context):
    context.ready_at = context.simulation.now
    step = make_step(2, 10000, 1.0)
    context.simulation.submit("short", [step], advice=URGENT_ADVICE[0], priority=1)


@when("a gang of 2 tasks of 1 second arrives that needs capacity reserved for the other one")
def step_short_gang(context):
    context.ready_at = context.simulation.now
    step = make_step(2, 10000, 1.0, is_gang=True)
    context.simulation.submit("short", [step], advice=GANG_ADVICE, priority=1)


@then("it has ended within {seconds:f} seconds")
def step_short_ended(context, seconds):
    check_ended(context, "short", seconds)


@given("the advisory service allows each worker")
def step_allow_each(context):
    context.service.allowed_share = 1.0


@given("a gang that runs on all workers for 1 second")
def step_running_gang(context):
    simulation = context.simulation
    step = make_step(len(simulation.workers), 12000, 1.0, is_gang=True)
    simulation.submit("wide", [step], advice=GANG_ADVICE)
    simulation.run_until(lambda: all(worker.runs for worker in simulation.workers.values()))
    context.ready_at = simulation.now


@given("tasks of 30 seconds that leave little capacity free")
def step_tasks_as_estimated(context):
    simulation = context.simulation
    simulation.choose_duration = lambda spec: spec.estimate_seconds
    simulation.submit("long", [make_step(len(simulation.workers), 14000, 30.0)])
    simulation.run(1.0)


@when("a gang of {count:d} tasks arrives, and those tasks are cancelled {seconds:d} seconds later")
def step_large_gang(context, count, seconds):
    simulation = context.simulation
    simulation.submit("wide", [make_step(count, 12000, 1.0, is_gang=True)], advice=GANG_ADVICE)
    simulation.run(float(seconds))
    simulation.cancel("long")
    context.ready_at = simulation.now


@then("the gang has ended within {seconds:f} seconds")
def step_gang_ended(context, seconds):
    check_ended(context, "wide", seconds)


def check_ended(context, name, limit):
    """Check how long a submission took since it could run."""
    context.simulation.run(10.0)
    waited = context.simulation.ended_at.get(name, math.inf) - context.ready_at
    assert waited <= limit, waited


@then("no start was rejected for its ticket")
def step_tickets_valid(context):
    assert context.service.refused_tickets == 0, context.service.refused_tickets


@when("{count:d} small gangs of lower priority arrive")
def step_small_gangs(context, count):
    for number in range(count):
        submit_gang(context, f"small{number}", 400, 10)
        context.simulation.run(3.0)


@then("each small gang was advised within {limit:f} seconds")
def step_small_advised(context, limit):
    check_waits(context, "small", limit)


def submit_gang(context, name, processors, priority):
    """Submit a gang of four."""
    step = make_step(4, processors, 1.0, is_gang=True)
    terms = {"priority": priority, "slack_factor": 6.0, "latency_seconds": 3.0}
    context.simulation.submit(name, [step], advice=GANG_ADVICE, **terms)


def check_waits(context, kind, limit):
    """Check how long the steps of a kind have waited for their first answer."""
    service = context.service
    waits = [
        service.first_answered_at.get(step, context.simulation.now) - since
        for step, since in service.first_requested_at.items()
        if step.submission.startswith(kind)
    ]
    late = sum(wait > limit for wait in waits)
    assert late == 0, f"{late} of {len(waits)} steps waited longer, up to {max(waits):.2f} s"


@then("each gang was advised within {limit:f} seconds")
def step_gangs_advised(context, limit):
    check_waits(context, "gang", limit)


@then("each urgent step was advised within {limit:f} seconds")
def step_urgent_advised(context, limit):
    check_waits(context, "urgent", limit)


@then("no call for advice was given up")
def step_none_given_up(context):
    step_few_given_up(context, 0)


@then("at most {count:d} calls for advice were given up")
def step_few_given_up(context, count):
    service = context.service
    assert service.given_up + service.refused <= count, (service.given_up, service.refused)
