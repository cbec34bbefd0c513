"""Steps with availability zones that are cut off."""

import os
import shutil
import tempfile
from pathlib import Path

import gevent
from behave import given, when

from features.steps.platform_queues import make_steps
from features.support.partitioned_cluster import PartitionedCluster
from lavenderhook.errors import TransportError

KEEP_LOGS = "KEEP_LOGS"  # environment variable; keeps the folder with the processes' logs
SECONDS_BETWEEN_CUTS = 6.0
SUBMISSION_INTERVAL_SECONDS = 0.2
TASK_MILLISECONDS = (300, 1500, 4000)  # run times, in turn


@given("{instances:d} entry instances and {workers:d} queue workers in two zones")
def step_zones(context, instances, workers):
    folder = Path(tempfile.mkdtemp(prefix="zones-"))
    context.cluster = PartitionedCluster(folder, instances, workers)
    if KEEP_LOGS in os.environ:
        print(f"logs: {folder}")
    else:
        context.add_cleanup(shutil.rmtree, folder, ignore_errors=True)
    context.add_cleanup(context.cluster.stop)
    context.cluster.start()
    context.accepted = []
    context.failed_calls = []


def submit_continuously(context):
    """Send submissions to the instances in turn until the greenlet is killed."""
    number = 0
    while True:
        gevent.spawn(submit_until_accepted, context, number)
        number += 1
        gevent.sleep(SUBMISSION_INTERVAL_SECONDS)


def submit_until_accepted(context, number):
    """Send a submission, to the next instance if one doesn't accept it."""
    name = f"{number:016x}"
    instances = len(context.cluster.entries)
    steps = make_steps(4, TASK_MILLISECONDS[number % len(TASK_MILLISECONDS)])
    for attempt in range(instances):
        try:
            answer = context.cluster.submit((number + attempt) % instances, name, steps)
        except TransportError:
            continue
        if answer.status == 200:
            context.accepted.append(name)
            return


@when(
    "the zone of the owner and {others:d} other instances is cut off {times:d} times "
    "for {seconds:f} seconds under load"
)
def step_cut_zone(context, others, times, seconds):
    cluster = context.cluster
    load = gevent.spawn(submit_continuously, context)
    gevent.sleep(SECONDS_BETWEEN_CUTS)
    for _ in range(times):
        owner = cluster.find_owner()
        zone = [cluster.entries[(owner + i) % len(cluster.entries)] for i in range(others + 1)]
        cluster.cut_off(zone, cluster.platform.workers[::2])
        gevent.sleep(seconds)
        cluster.heal()
        gevent.sleep(SECONDS_BETWEEN_CUTS)
    load.kill()
