"""A worker that has just started again under its id is cut off; TWICE."""

from pathlib import Path

import gevent
from scenario import run_case

WORKERS = 6
DOWN_SECONDS = 0.5
UNTIL_CUT_SECONDS = 1.5
CUT_SECONDS = 10.0
TASK = {"count": 2, "cpu": 9000, "memMb": 13_000, "estimateMs": 12_000}


def submit_steadily(scenario):
    """Keep nearly all workers busy with tasks of 12 s; three fit on a worker."""
    while True:
        gevent.spawn(scenario.submit, [TASK])
        gevent.sleep(1.4)


def play(scenario):
    """Let one worker crash and start again; cut it off from all machines soon after."""
    load = gevent.spawn(submit_steadily, scenario)
    gevent.sleep(20.0)
    load.kill()
    if scenario.has_trouble:
        worker = scenario.platform.workers[0]
        worker.crash_and_restart(DOWN_SECONDS)
        gevent.sleep(UNTIL_CUT_SECONDS)
        worker.cut_from_machines()
    gevent.sleep(CUT_SECONDS)
    scenario.record.check_twice()


run_case(Path(__file__).resolve().parent, "TWICE", WORKERS, play, ("worker-lost", "worker-reborn"))
