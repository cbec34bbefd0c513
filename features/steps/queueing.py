"""Steps that simulate queues in virtual time."""

import collections
import functools
import math
import random

from behave import given, then, when

from features.support.queue_mutants import apply_mutant
from features.support.queue_random_runs import (
    make_steps,
    refresh_worker_lists,
    restart,
    run_partition_simulation,
    run_random_simulation,
    suspend_owner,
)
from features.support.queue_simulation import QueueSimulation, make_step
from features.support.restart_runs import run_restart_simulation
from lavenderhook._internal.queueing.authority import PROOF_SECONDS
from lavenderhook._internal.queueing.effects import RequestAdvice
from lavenderhook._internal.queueing.events import (
    FinishedRunPosition,
    OutcomeRead,
    ProgressFound,
    ProgressStored,
    Ticked,
)
from lavenderhook._internal.queueing.model import (
    AdviceTerms,
    RunOutcome,
    SubmissionState,
    WorkerState,
)
from lavenderhook._internal.queueing.records import Outcome, Progress
from lavenderhook._internal.queueing.retry_after import choose_retry_after
from lavenderhook._internal.queueing.step_progress import Ticket

MAX_SEEDS = 60  # random simulations per deliberate fault


@given("{count:d} workers and an owner")
def step_simulation(context, count):
    context.simulation = QueueSimulation(seed=7, workers=count)
    context.simulation.start_new_owner()
    context.simulation.run(0.5)


@given("every run fails")
def step_failing(context):
    context.simulation.failure_share = 1.0


@given('every run on worker "{name}" fails')
def step_failing_worker(context, name):
    context.simulation.workers[name].fails_all_runs = True


@given('tasks on worker "{name}" are stalled')
def step_stalled(context, name):
    context.simulation.workers[name].stalls_tasks = True


@given('tasks on worker "{name}" take {factor:d} times as long')
def step_slow_worker(context, name, factor):
    context.simulation.workers[name].duration_factor = factor


@then('at most {count:d} runs finished on worker "{name}"')
def step_finished_there(context, count, name):
    worker = context.simulation.workers[name]
    assert worker.last_sequence <= count, worker.last_sequence


@when("{count:d} submissions of {tasks:d} tasks with checkpoints arrive over {seconds:d} seconds")
def step_spread_with_checkpoints(context, count, tasks, seconds):
    for index in range(count):
        steps = [make_step(tasks, 2000, 1.0, has_checkpoints=True)]
        context.simulation.call_later(
            index * seconds / count, context.simulation.submit, f"saved{index}", steps
        )
    context.simulation.run(seconds)


@then("at most {count:d} submissions are left")
def step_left(context, count):
    left = list_unfinished(context.simulation)
    assert len(left) <= count, len(left)


@given('every run of "{name}" fails')
def step_failing_submission(context, name):
    choose = context.simulation.choose_outcome
    context.simulation.choose_outcome = lambda task: (
        RunOutcome.FAILED if task.submission == name else choose(task)
    )


@when("{count:d} submissions of {tasks:d} tasks arrive over {seconds:d} seconds")
def step_spread(context, count, tasks, seconds):
    for index in range(count):
        name = f"spread{index}"
        steps = [make_step(tasks, 2000, 1.0)]
        context.simulation.call_later(
            index * seconds / count, context.simulation.submit, name, steps
        )
    context.simulation.run(seconds)


@when(
    "a stream of small tasks with priority {priority:d} keeps the workers full "
    "for {seconds:d} seconds"
)
def step_stream(context, priority, seconds):
    for index in range(seconds * 20):
        steps = [make_step(2, 1500, 2.0)]
        call = functools.partial(context.simulation.submit, f"n{index}", steps, priority=priority)
        context.simulation.call_later(index / 20, call)


@when(
    'a gang "{name}" of {count:d} tasks of {processors:d} millicores with priority {priority:d} '
    "arrives after {seconds:g} seconds"
)
def step_gang(context, name, count, processors, priority, seconds):
    context.simulation.run(seconds)
    step = make_step(count, processors, 3.0, is_gang=True)
    context.simulation.submit(name, [step], priority=priority)


@given("a gang of {count:d} tasks that fits and whose advice tickets expire one after another")
def step_tickets(context, count):
    simulation = context.simulation
    simulation.advice_seconds = 1000.0  # no answer in this scenario
    step = make_step(count, 12000, 3.0, is_gang=True)
    simulation.submit("wide", [step], advice=AdviceTerms(0.4, 0.006, 2.5))
    simulation.run(0.02)  # until the owner has read the submission
    simulation.owners[-1].is_active = False  # stops the loops of the simulated owner
    context.step = simulation.owners[-1].state.submissions["wide"].steps[(0, 0)]
    context.step.is_advice_pending = False
    for index, name in enumerate(simulation.workers):
        context.step.allowed[name] = Ticket("t", simulation.now + 1.0 + index * 0.4, 0)


@when("the first of its tickets has expired")
def step_ticket_ended(context):
    event = Ticked(now=context.simulation.now + 1.1)
    context.effects = context.simulation.owners[-1].state.reduce(event)


@then("the next advice request names all {count:d} workers")
def step_request_names(context, count):
    calls = [effect for effect in context.effects if isinstance(effect, RequestAdvice)]
    assert len(calls) == 1 and len(calls[0].workers) == count, calls


@then('"{name}" has started')
def step_started(context, name):
    owner_state = context.simulation.owners[-1].state
    state = owner_state.describe(name)
    assert state in (SubmissionState.RUNNING, SubmissionState.COMPLETED), state


@given(
    "an outage of {seconds:d} seconds in which {count:d} callers are refused in its first second"
)
def step_outage(context, seconds, count):
    context.outage = seconds
    context.callers = [index / count for index in range(count)]


@when("each caller retries after its Retry-After, at most {retries:d} times")
def step_retries(context, retries):
    generator = random.Random(5)
    context.retried = []
    for refused_at in context.callers:
        now = refused_at
        for _ in range(retries):
            now += choose_retry_after(now, generator.random())
            if now > context.outage:
                context.retried.append(now)
                break


@given(
    "an outage of {seconds:d} seconds in which {count:d} callers "
    "with a time-out of {timeout:d} seconds are refused"
)
def step_outage_with_timeout(context, seconds, count, timeout):
    context.outage = seconds
    context.caller_timeout = timeout
    context.callers = [seconds * index / count for index in range(count)]


@when("each caller retries after its Retry-After until its time-out")
def step_retries_until_timeout(context):
    generator = random.Random(5)
    context.retried = set()
    for refused_at in context.callers:
        now, gives_up_at = refused_at, refused_at + context.caller_timeout
        while now < context.outage:
            now += choose_retry_after(now, generator.random(), gives_up_at - now)
            if now >= gives_up_at:
                break
        else:
            context.retried.add(refused_at)


@then("all callers refused in the last {seconds:g} seconds retry after the outage")
def step_all_retry(context, seconds):
    since = context.outage - seconds
    lost = [at for at in context.callers if at >= since and at not in context.retried]
    assert not lost, lost


@then("at least {count:d} callers retry after the outage")
def step_retried(context, count):
    assert len(context.retried) >= count, len(context.retried)


@then("at most {count:d} of them retry in any one second")
def step_retries_spread(context, count):
    seconds = collections.Counter(int(moment) for moment in context.retried)
    assert max(seconds.values()) <= count, seconds


@when("random simulations run until one violates an invariant, with the fault: {fault}")
def step_mutant(context, fault):
    # Every second simulation has leaving workers, without which some faults have no effect.
    context.violating_seed = find_violating_seed(
        fault, lambda seed: run_random_simulation(seed, has_leaving_workers=seed % 2 == 0)
    )


@when(
    "random simulations with crashing tasks and changes of capacity run until one violates "
    "an invariant, with the fault: {fault}"
)
def step_mutant_of_budget(context, fault):
    context.violating_seed = find_violating_seed(
        fault,
        functools.partial(
            run_random_simulation, has_crashing_tasks=True, has_capacity_changes=True
        ),
    )


def find_violating_seed(fault, run_simulation):
    """Return the first seed that violates an invariant, with a deliberate fault, or None."""
    with apply_mutant(fault):
        for seed in range(1, MAX_SEEDS + 1):
            if run_simulation(seed).violations:
                return seed
    return None


@when("random simulations of restarts run until one violates an invariant, with the fault: {fault}")
def step_mutant_of_restarts(context, fault):
    context.violating_seed = find_violating_seed(fault, run_restart_simulation)


@when(
    "the random simulations {first:d} to {last:d} of workers that restart behind partitions are run"
)
def step_restarts(context, first, last):
    context.simulations = {seed: run_restart_simulation(seed) for seed in range(first, last + 1)}


@then("one of the first {count:d} simulations violated an invariant")
def step_caught(context, count):
    assert context.violating_seed is not None and context.violating_seed <= count, (
        context.violating_seed
    )


@then("at most {count:d} runs failed")
def step_failures(context, count):
    failed = sum(context.simulation.failure_counts.values())
    assert failed <= count, failed


@then("no worker was blocked after failures")
def step_none_blocked(context):
    simulation = context.simulation
    owner_state = simulation.owners[-1].state
    blocked = [w.id for w in owner_state.list_workers() if w.blocked_until > simulation.now - 5]
    assert not blocked, blocked


@when("{count:d} submissions with random steps arrive")
def step_random_steps(context, count):
    generator = random.Random(3)
    for index in range(count):
        context.simulation.submit(f"mixed{index}", make_steps(generator))


@when(
    'a submission "{name}" of {count:d} tasks of {processors:d} millicores '
    "and {seconds:d} seconds arrives"
)
def step_submission(context, name, count, processors, seconds):
    context.simulation.submit(name, [make_step(count, processors, seconds)])


@when("{seconds:g} seconds pass in the simulation")
def step_pass(context, seconds):
    context.simulation.run(seconds)


@when(
    "{count:d} submissions of {tasks:d} tasks of 1 second, "
    "accepted 0 to {seconds:d} seconds ago, are loaded"
)
def step_backlog(context, count, tasks, seconds):
    simulation = context.simulation
    context.loaded_at = simulation.now
    context.ages = {f"old{i}": i * seconds / count for i in range(count)}
    for name, age in context.ages.items():
        simulation.submit(name, [make_step(tasks, 3000, 1.0)], age=age, slack_factor=1.0)


@then(
    "at least {count:d} of them completed within {factor:d} times their latency objective "
    "after acceptance"
)
def step_useful(context, count, factor):
    objective = 2.0  # one second of work and one of latency
    useful = [
        name
        for name, age in context.ages.items()
        if context.simulation.ended_at[name] - context.loaded_at + age <= factor * objective
    ]
    assert len(useful) >= count, len(useful)


@when('"{name}" is cancelled while the owner is suspended')
def step_cancel_while_suspended(context, name):
    suspend_owner(context.simulation, 30.0)
    context.simulation.cancel(name)


@when("the owner is suspended for {seconds:d} seconds")
def step_suspend(context, seconds):
    suspend_owner(context.simulation, seconds)


@when("another owner takes over")
def step_new_owner(context):
    context.simulation.start_new_owner()


@given("the revisions of submissions are known {seconds:g} seconds after their notices")
def step_feed(context, seconds):
    context.simulation.feed_seconds = seconds


@when("another owner takes over after the former one has ended")
def step_new_owner_after_end(context):
    simulation = context.simulation
    simulation.owners[-1].is_active = False
    simulation.predecessor_seconds = 0.0
    simulation.start_new_owner()


@when("{count:d} owners take over {seconds:g} seconds apart")
def step_new_owners(context, count, seconds):
    for _ in range(count):
        context.simulation.start_new_owner()
        context.simulation.run(seconds)


@when('the owner finds that task {index:d} of "{name}" was done after {count:d} failed runs')
def step_find_progress(context, index, name, count):
    simulation = context.simulation
    failed = list(range(100, 100 + count))  # numbers of runs that this owner doesn't know
    progress = Progress(done={"0.0": [index]}, failed={"0.0": {index: failed}})
    simulation.owners[-1].apply(
        ProgressFound(
            now=simulation.now, submission=name, progress=progress, revision=simulation.revision
        )
    )


@when("{count:d} other submissions have ended")
def step_others_ended(context, count):
    simulation = context.simulation
    outcome = Outcome(state=SubmissionState.COMPLETED, at=simulation.now)
    for number in range(count):
        event = OutcomeRead(now=simulation.now, submission=f"other{number}", outcome=outcome)
        simulation.owners[-1].apply(event)


@when('a peer reports "{name}" to the owner once more')
def step_report_again(context, name):
    submission, _ = context.simulation.submissions[name]
    context.simulation.owners[-1].deliver_submission(submission, None)


@when('the owner loses the worker of "{submission}"')
def step_lose_worker(context, submission):
    simulation = context.simulation
    for worker in simulation.workers.values():
        if any(task.submission == submission for task in worker.runs):
            worker.reachable_by = simulation.owners[-1].fencing + 1


@when("peers alone confirm the owner")
def step_peers_confirm(context):
    context.simulation.owners[-1].stored_proof_at = context.simulation.now


@when("the store confirms the owner")
def step_store_confirms(context):
    context.simulation.owners[-1].stored_proof_at = math.inf


@when('another owner takes over, but only the former owner reaches worker "{name}"')
def step_new_owner_outside(context, name):
    simulation = context.simulation
    former = simulation.owners[-1]
    former.stored_proof_at = simulation.now
    former.acts_until = simulation.now + PROOF_SECONDS
    for worker in simulation.workers.values():
        worker.reachable_by = former.fencing + (worker.name != name)
    simulation.start_new_owner()


@when('another owner takes over without having loaded "{name}"')
def step_new_owner_without(context, name):
    context.not_loaded = context.simulation.submissions.pop(name)
    owner = context.simulation.start_new_owner()
    context.simulation.submissions[name] = context.not_loaded
    context.owner = owner


@when('the new owner loads "{name}"')
def step_load(context, name):
    context.owner.deliver_submission(*context.not_loaded)


@when('worker "{name}" is partitioned')
def step_partition(context, name):
    context.simulation.workers[name].is_partitioned = True


@when("the owner gets the answers to its rosters {seconds:g} seconds after they are stored")
def step_late_roster_answers(context, seconds):
    context.simulation.roster_answer_seconds = seconds


@when('the link to worker "{name}" fails until the store shows the worker as closed')
def step_interrupt_link(context, name):
    simulation = context.simulation
    simulation.workers[name].is_partitioned = True
    simulation.run_until(lambda: name in simulation.roster.closed)
    simulation.workers[name].is_partitioned = False


@when('worker "{name}" is partitioned as soon as it runs "{submission}"')
def step_partition_when_running(context, name, submission):
    worker = context.simulation.workers[name]
    context.simulation.run_until(lambda: any(t.submission == submission for t in worker.runs))
    worker.is_partitioned = True


@when('the worker that gets "{name}" is partitioned')
def step_partition_first(context, name):
    simulation = context.simulation

    def find_worker():
        return next(
            (w for w in simulation.workers.values() if any(t.submission == name for t in w.runs)),
            None,
        )

    simulation.run_until(find_worker)
    find_worker().is_partitioned = True


@when('"{name}" is cancelled')
def step_cancel(context, name):
    context.simulation.cancel(name)


@when('worker "{name}" is partitioned and removed from the worker list')
def step_partition_unlisted(context, name):
    worker = context.simulation.workers.pop(name)
    worker.is_partitioned = True
    refresh_worker_lists(context.simulation)
    context.simulation.workers[name] = worker
    context.simulation.call_later(0, setattr, worker, "is_up", True)


@when('worker "{name}" drains')
def step_drain(context, name):
    context.simulation.workers[name].state = WorkerState.DRAINING
    refresh_worker_lists(context.simulation)


@when(
    "the simulations {first:d} to {last:d} of workers that only one of two owners reaches are run"
)
def step_partition_runs(context, first, last):
    seeds = range(first, last + 1)
    context.simulations = {seed: run_partition_simulation(seed) for seed in seeds}


@when("the random simulations {first:d} to {last:d} with leaving workers are run")
def step_runs_with_leaving_workers(context, first, last):
    seeds = range(first, last + 1)
    context.simulations = {
        seed: run_random_simulation(seed, has_leaving_workers=True) for seed in seeds
    }


@when("the random simulations {first:d} to {last:d} with services and slow workers are run")
def step_runs_with_services(context, first, last):
    seeds = range(first, last + 1)
    context.simulations = {
        seed: run_random_simulation(
            seed, has_leaving_workers=seed % 2 == 0, has_services=True, owners_confirm=True
        )
        for seed in seeds
    }


@when("random simulation {seed:d} is run without confirmation, with the fault: {fault}")
def step_run_without_confirmation(context, seed, fault):
    run_with_fault(context, seed, fault, owners_confirm=False)


@when("random simulation {seed:d} is run with confirmation, with the fault: {fault}")
def step_run_with_confirmation(context, seed, fault):
    run_with_fault(context, seed, fault, owners_confirm=True)


def run_with_fault(context, seed, fault, owners_confirm):
    """Run a random simulation with a deliberate fault."""
    with apply_mutant(fault):
        context.simulation = run_random_simulation(
            seed, has_leaving_workers=True, has_services=True, owners_confirm=owners_confirm
        )


@then("an invariant was violated")
def step_violation(context):
    assert context.simulation.violations


@when("the random simulations {first:d} to {last:d} without incarnation checks are run")
def step_runs_without_incarnation_check(context, first, last):
    seeds = range(first, last + 1)
    context.simulations = {
        seed: run_random_simulation(seed, checks_incarnation=False) for seed in seeds
    }


@when('a commit begins that covers {count:d} finished runs of worker "{name}"')
def step_commit_begins(context, count, name):
    worker = context.simulation.owners[-1].state.workers[name]
    context.positions = {name: FinishedRunPosition(worker.newest.born, count)}


@when('worker "{name}" restarts with the same id')
def step_worker_restart(context, name):
    restart(context.simulation, context.simulation.workers[name])
    context.simulation.run(1.0)


@when("the store rejects writes")
def step_store_rejects(context):
    context.simulation.store_refuses = True


@then('worker "{name}" still reports {count:d} finished runs')
def step_still_reports(context, name, count):
    finished = context.simulation.workers[name].finished_runs
    assert len(finished) == count, finished


@when("the commit succeeds")
def step_commit_succeeds(context):
    owner = context.simulation.owners[-1]
    owner.apply(ProgressStored(now=context.simulation.now, stored_positions=context.positions))


@then('no finished run of worker "{name}" is acknowledged')
def step_none_acknowledged(context, name):
    worker = context.simulation.owners[-1].state.workers[name]
    assert worker.processed_sequence > 0, "the owner has processed no finished run of the worker"
    assert worker.stored_sequence == 0, worker.stored_sequence


@when("the random simulations {first:d} to {last:d} are run")
def step_random_runs(context, first, last):
    context.simulations = {seed: run_random_simulation(seed) for seed in range(first, last + 1)}


def list_unfinished(simulation):
    """Return the submissions that have no final state."""
    return [name for name in simulation.submissions if name not in simulation.outcomes]


@then("every submission is completed")
def step_all_completed(context):
    states = {context.simulation.outcomes.get(name) for name in context.simulation.submissions}
    assert states == {SubmissionState.COMPLETED}, (states, list_unfinished(context.simulation))


@then('"{name}" is {state}')
def step_state(context, name, state):
    found = context.simulation.outcomes.get(name)
    assert found is SubmissionState(state), found


@then('"{name}" remains queued')
def step_remains_queued(context, name):
    entry = context.simulation.owners[-1].state.submissions[name]
    assert entry.state is SubmissionState.QUEUED, entry.state


@then('"{name}" has {count:d} starts')
def step_starts(context, name, count):
    starts = context.simulation.starts_by_submission
    assert starts[name] == count, starts


@then("no invariant was violated")
def step_no_violation(context):
    assert not context.simulation.violations, context.simulation.violations[:5]


@then("no simulation violated an invariant")
def step_simulations_without_violation(context):
    violating = {
        seed: simulation.violations[:3]
        for seed, simulation in context.simulations.items()
        if simulation.violations
    }
    assert not violating, violating


@then("all submissions ended in every simulation")
def step_simulations_ended(context):
    left = {
        seed: list_unfinished(simulation)
        for seed, simulation in context.simulations.items()
        if list_unfinished(simulation)
    }
    assert not left, left


@given("workers list at most {count:d} ends at a time")
def step_listed(context, count):
    for worker in context.simulation.workers.values():
        worker.max_listed = count


@when("the store refuses all writes for {seconds:g} seconds")
def step_refuse_writes(context, seconds):
    simulation = context.simulation
    simulation.store_refuses = True
    simulation.call_later(seconds, setattr, simulation, "store_refuses", False)
    simulation.run(seconds - 1.0)


@then('no task of "{name}" was started twice')
def step_started_once(context, name):
    simulation = context.simulation
    count = sum(step.count for step in simulation.submissions[name][0].steps)
    assert simulation.starts_by_submission[name] == count, simulation.starts_by_submission[name]
