"""Steps with a worker that no instance reaches while owners change."""

import signal
import time

import gevent
from behave import when

from features.steps.platform_queues import make_steps

PROCESSORS = 3000  # of each task, in thousandths; two fit on a worker
SUBMISSION = "00000000000000e1"
MAX_START_SECONDS = 10.0
# A killed owner may act until its proof has expired. Then its successor closes the worker.
ACTIVE_SECONDS = 1.6
SIGNALS = {"receive SIGTERM": signal.SIGTERM, "are killed": signal.SIGKILL}


@when("a submission of {count:d} tasks of {seconds:d} seconds runs on {workers:d} workers")
def step_run(context, count, seconds, workers):
    context.steps = make_steps(count, seconds * 1000)
    context.steps[0]["cpu"] = PROCESSORS
    assert context.cluster.submit(0, SUBMISSION, context.steps).status == 200
    until = time.monotonic() + MAX_START_SECONDS
    while sum(counts := count_runs(context)) < count:
        assert time.monotonic() < until, counts
        gevent.sleep(0.02)
    assert sum(map(bool, counts)) == workers, counts


def count_runs(context):
    """Return how many runs each worker has."""
    return [len(worker.runs) for worker in context.cluster.platform.workers]


@when("no instance reaches one of its workers any more")
def step_cut_worker(context):
    workers = context.cluster.platform.workers
    context.cluster.cut_off((), [next(worker for worker in workers if worker.runs)])


@when("{count:d} owners in a row {end}")
def step_end_owners(context, count, end):
    cluster = context.cluster
    former = None
    for _ in range(count):
        owner = wait_for_new_owner(cluster, former)
        if former is not None:
            gevent.sleep(ACTIVE_SECONDS)
        cluster.entries[owner].send(SIGNALS[end])
        former = owner
    wait_for_new_owner(cluster, former)


def wait_for_new_owner(cluster, former):
    """Return the index of the owner once it is not the former one."""
    until = time.monotonic() + MAX_START_SECONDS
    while (owner := cluster.find_owner()) == former:
        assert time.monotonic() < until, "there is no new owner"
        gevent.sleep(0.02)
    return owner


@when("the submission is sent again to every instance that is left")
def step_send_again(context):
    gevent.sleep(0.3)  # until the new owner has loaded
    answers = []
    for index, entry in enumerate(context.cluster.entries):
        if entry.is_ready():
            answers.append(context.cluster.submit(index, SUBMISSION, context.steps).status)
    assert 200 in answers, answers
