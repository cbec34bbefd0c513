"""Steps on the order of waiting work."""

import functools
import math
import random

from behave import given, then, when

from features.support.queue_simulation import QueueSimulation, make_step, make_submission
from lavenderhook._internal.queueing.durations import DurationEstimates
from lavenderhook._internal.queueing.losses_by_waiting import LeastLossByWaiting
from lavenderhook._internal.queueing.model import SubmissionState
from lavenderhook._internal.queueing.ranking import StepRanking
from lavenderhook._internal.queueing.submissions import SubmissionProgress

WORKERS = 6
LOAD_SECONDS = 40.0
SETTLE_SECONDS = 20.0
# By priority: processors in thousandths, seconds, mean count of tasks, and share of the load.
LOAD_KINDS = ((2000, 0.5, 3, 0.2), (3000, 1.5, 12, 0.8))
OBJECTIVE = {"slack_factor": 2.0, "latency_seconds": 1.0}


class LimitRanking(StepRanking):
    """Priority first, then the nearest limit that can still be met by the estimate."""

    def rank(self, entry, step, now):
        """Return whether it is of no use, its priority, how late it is, and its next limit."""
        useful_until = step.due_at + 3.0 * (step.objective_at - step.due_at)
        done_at = now + step.spec.estimate_seconds
        limits = (step.objective_at, useful_until)
        lateness = sum(done_at > limit for limit in limits)
        return (
            now > step.due_at + 1.3 * (useful_until - step.due_at),
            entry.submission.queue.priority,
            lateness,
            limits[min(lateness, 1)],
        )


def play_load(ranking, share, seed):
    """Play a load with a ranking; return how many results are in time, and of use."""
    simulation = QueueSimulation(seed, workers=WORKERS)
    simulation.start_new_owner().state.scheduler._ranking._other = ranking
    generator = random.Random(seed)
    due = {}  # time of arrival and objective
    for priority, (processors, seconds, mean_count, load) in enumerate(LOAD_KINDS):
        cores = WORKERS * 16 * share * load
        rate = cores / (mean_count * seconds * processors / 1000)
        at = generator.expovariate(rate)
        while at < LOAD_SECONDS:
            count = max(1, round(generator.lognormvariate(math.log(mean_count) - 0.2, 0.6)))
            name = f"p{priority}-{len(due)}"
            terms = {"queue": f"q{priority}", "priority": priority, **OBJECTIVE}
            steps = [make_step(count, processors, seconds)]
            simulation.call_later(at, functools.partial(simulation.submit, name, steps, **terms))
            due[name] = (at, 2.0 * seconds + 1.0)
            at += generator.expovariate(rate)
    simulation.run(LOAD_SECONDS + SETTLE_SECONDS)
    assert not simulation.violations, simulation.violations
    objectives = [
        (simulation.ended_at[name] - at) / objective
        for name, (at, objective) in due.items()
        if simulation.outcomes.get(name) is SubmissionState.COMPLETED
    ]
    return sum(x <= 1.0 for x in objectives), sum(x <= 3.0 for x in objectives)


@when(
    "{share:g} times the load that the workers can do is played by {order:w}, "
    "with seeds 1 to {most:d}"
)
def step_play(context, share, order, most):
    results = []
    for seed in range(1, most + 1):
        is_by_loss = order == "losses"
        ranking = LeastLossByWaiting(DurationEstimates()) if is_by_loss else LimitRanking()
        results.append(play_load(ranking, share, seed))
    setattr(context, f"by_{order}", [sum(column) for column in zip(*results, strict=True)])


@then("more results are of use by losses, and no fewer are in time")
def step_compare(context):
    (in_time, of_use), (former_in_time, former_of_use) = context.by_losses, context.by_limits
    assert of_use > former_of_use, (context.by_losses, context.by_limits)
    assert in_time >= former_in_time, (context.by_losses, context.by_limits)


def make_entry(steps, priority, age):
    """Return the state of a submission that is some seconds old at time 0."""
    submission = make_submission("s", steps, priority=priority, **OBJECTIVE)
    return SubmissionProgress(submission, 1, -age, 1)


def rank_first_step(context, entry):
    """Add the rank of the first step at time 0 to those of the scenario."""
    rank = LeastLossByWaiting(DurationEstimates()).rank(entry, entry.steps[(0, 0)], 0.0)
    context.ranks = [*getattr(context, "ranks", []), rank]


@given(
    "a submission with priority {priority:d} of age {age:g} with {done:d} of {count:d} tasks done"
)
def step_waiting(context, priority, age, done, count):
    entry = make_entry([make_step(count, 2000, 2.0)], priority, age)
    step = entry.steps[(0, 0)]
    for index in range(done):
        step.mark_done(index)
    rank_first_step(context, entry)


@given("a submission of a step of {seconds:g} seconds and a service after it")
def step_before_service(context, seconds):
    service = make_step(1, 1000, 0.0, is_service=True, after=(0,))
    entry = make_entry([make_step(1, 2000, seconds), service], 0, 0.0)
    rank_first_step(context, entry)


@then("the first submission goes before the second one")
def step_before(context):
    first, second = context.ranks
    assert first < second, context.ranks


@given("{count:d} runs that took {factor:d} times as long as estimated")
def step_runs(context, count, factor):
    context.durations = DurationEstimates()
    for _ in range(count):
        context.durations.record_run("q", make_step(), float(factor))


@then("tasks of that queue are expected to take {least:g} to {most:g} times as long as estimated")
def step_expected(context, least, most):
    typical = context.durations.estimate("q", make_step()).typical
    assert least <= typical <= most, typical


@then("tasks of another queue are expected to take as long as estimated")
def step_other_queue(context):
    assert context.durations.estimate("other", make_step()).typical == 1.0


@when("urgent work keeps the workers full for {seconds:d} seconds")
def step_urgent(context, seconds):
    for index in range(seconds * 20):
        submit = functools.partial(
            context.simulation.submit, f"u{index}", [make_step(2, 3000, 1.0)]
        )
        context.simulation.call_later(index / 20, submit)
    context.simulation.run(1.0)


@when('a submission "{name}" with priority {priority:d} arrives')
def step_low(context, name, priority):
    context.simulation.submit(name, [make_step(3)], priority=priority)


class CountingDurations(DurationEstimates):
    """Estimates that count how often they are asked for."""

    asked = 0

    def estimate(self, queue, spec):
        """Return the estimate, and count it."""
        self.asked += 1
        return super().estimate(queue, spec)


@then("ranking {count:d} independent steps asks for {most:d} estimates")
def step_count_estimates(context, count, most):
    durations = CountingDurations()
    ranking = LeastLossByWaiting(durations)
    entry = make_entry([make_step(1, 1000, 1.0)] * count, 0, 0.0)
    for step in entry.steps.values():
        ranking.rank(entry, step, 0.0)
    assert durations.asked == most, durations.asked


@when('the rank of "{name}" fails with an error')
def step_rank_fails(context, name):
    class FailingRanking(LimitRanking):
        def rank(self, entry, step, now):
            if entry.submission.id == name:
                raise ZeroDivisionError(name)
            return super().rank(entry, step, now)

    context.simulation.owners[-1].state.scheduler._ranking._other = FailingRanking()


@then('the lines "{decision}" name "{name}" alone')
def step_logged(context, decision, name):
    lines = [line for _, line in context.simulation.decisions if line.decision == decision]
    assert lines and all(line.fields["submission"] == name for line in lines), lines
