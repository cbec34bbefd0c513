"""Case: tasks that have ended `done` run again while the store is down."""

import time

import gevent

from review.rig_3 import run_case

SUBMISSIONS = 40
TASKS = 60  # the widest step of the site file
FIRST_MS, NEXT_MS = 1500, 100  # duration of the first step, so that the others begin in turn
OUTAGE_SECONDS = 4.5  # `platform_down` of the site file
SETTLE_SECONDS = 6.0
COMPLETION_SECONDS = 40.0


def make_steps(number):
    """Return a step of one task, and two wide ones of short tasks after it."""
    first = {"count": 1, "cpu": 50, "memMb": 16, "estimateMs": FIRST_MS + NEXT_MS * number}
    wide = {"count": TASKS, "cpu": 50, "memMb": 16, "estimateMs": 40, "after": [0]}
    return [first, wide, dict(wide)]


def find_repeated(platform):
    """Return the tasks that were started after a run of theirs had ended `done`."""
    return {
        task: events
        for task, events in platform.outcomes.items()
        if "done" in events and "starts" in events[events.index("done") :]
    }


def count_unnoted(platform):
    """Return how many ends the workers still list."""
    return sum(len(worker.finished_runs) for worker in platform.workers)


def play(deployment, record, with_trouble):
    """Return whether no task runs again after an end that is taken note of."""
    platform = deployment.platform
    gevent.sleep(2.0)
    names = [f"{number + 16:016x}" for number in range(SUBMISSIONS)]
    accepted = [n for i, n in enumerate(names) if deployment.post(i % 3, n, make_steps(i)) == 200]
    record.say(f"{len(accepted)} submissions of {1 + 2 * TASKS} tasks accepted")
    if with_trouble:
        platform.store.mode = "busy"
        record.say(f"the store answers 503 for {OUTAGE_SECONDS} s")
    until = time.monotonic() + OUTAGE_SECONDS
    while time.monotonic() < until:
        gevent.sleep(0.25)
        listed = [len(worker.finished_runs) for worker in platform.workers]
        record.write(f"ends not taken note of, by worker: {listed}")
    platform.store.mode = "up"
    record.say("the store is up")
    until = time.monotonic() + COMPLETION_SECONDS
    while time.monotonic() < until:
        gevent.sleep(1.0)
        states = [deployment.read(i % 3, n) for i, n in enumerate(accepted)]
        if all(state == "completed" for state in states):
            break
    gevent.sleep(SETTLE_SECONDS)
    repeated = find_repeated(platform)
    for task, events in list(repeated.items())[:20]:
        record.write(f"{task}: {events}")
    most = max((events.count("starts") for events in repeated.values()), default=0)
    record.say(f"{states.count('completed')} submissions are shown as completed")
    record.say(f"{count_unnoted(platform)} ends are not taken note of")
    record.say(f"{len(repeated)} tasks started after an end 'done', up to {most} runs of one")
    return not repeated


if __name__ == "__main__":
    run_case("11", play, processors=16_000)
