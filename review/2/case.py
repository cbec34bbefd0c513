"""Workers that crash behind a cut from the store and start again under their ids; TWICE."""

import random
from pathlib import Path

import gevent
from scenario import run_case

WORKERS = 20
CUT_SHARE = 0.2
CUT_SECONDS = 3.0
ROUNDS = 3
TASK = {"count": 10, "cpu": 6000, "memMb": 9000, "estimateMs": 5000}


def submit_steadily(scenario):
    """Keep about five sixths of the processors at work; five tasks fit on a worker."""
    while True:
        gevent.spawn(scenario.submit, [TASK])
        gevent.sleep(0.6)


def play(scenario):
    """Cut a fifth of the workers from the store; each crashes and is back within 0.3 to 1.3 s."""
    load = gevent.spawn(submit_steadily, scenario)
    gevent.sleep(8.0)
    count = int(WORKERS * CUT_SHARE)
    for _ in range(ROUNDS):
        if scenario.has_trouble:
            cut = random.sample(scenario.platform.workers, count)
            for worker in cut:
                worker.is_cut_from_store = True
                scenario.record.write("worker-cut-from-store", worker=worker.name)
                gevent.spawn(worker.crash_and_restart, random.uniform(0.3, 1.3))
            gevent.sleep(CUT_SECONDS)
            for worker in cut:
                worker.is_cut_from_store = False
            scenario.record.write("cut-healed")
        gevent.sleep(8.0)
    load.kill()
    scenario.wait_completed(20.0)
    scenario.record.check_twice()


run_case(Path(__file__).resolve().parent, "TWICE", WORKERS, play, ("worker-reborn", "run-lost"))
