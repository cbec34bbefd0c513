"""Case: one submission whose repetitions are all due at once stops the work of all others."""

import time

import gevent

from review.rig_3 import run_case

SCHEDULE = "5c4ed00000000001"
DAY_MS = 86_400_000
DAYS_TO_2030 = 21_915  # from 1970
ORDINARY = 12
FINISH_SECONDS = 14.0  # `finish_s`
IDLE_SECONDS = 3.0  # of LOST: nothing runs although there is room
SAMPLE_SECONDS = 0.1
MAX_FAIR_RUNNING_SHARE = 0.5  # of the capacity in use
STEPS = [{"count": 2, "cpu": 1000, "memMb": 64, "estimateMs": 200}]


def submit_schedule(deployment, record, with_trouble):
    """Hand in a daily run until 2030, due from 1970 on or, without the disruption, from now on."""
    now_ms = int(time.time() * 1000)
    first_day = 0 if with_trouble else now_ms // DAY_MS + 1
    times = {"repetitions": DAYS_TO_2030 - first_day, "intervalMs": DAY_MS}
    if first_day:
        times["firstRunMs"] = first_day * DAY_MS
    task = {"count": 1, "cpu": 1000, "memMb": 64, "estimateMs": 200}
    steps = [task, {**task, "after": [0]}, {**task, "after": [1]}]
    status = deployment.post(0, SCHEDULE, steps, **times)
    record.say(f"schedule {times}: {status}")
    assert status == 200


def find_idle_seconds(samples, submission, started):
    """Return how long a submission that has not begun found room, from its acceptance on."""
    longest = since = 0.0
    for at, accepted, share, free in samples:
        has_room = share < MAX_FAIR_RUNNING_SHARE and free >= 2 * 2 * 1000
        if submission not in accepted or submission in started or not has_room:
            since = at
        longest = max(longest, at - since)
    return longest


def play(deployment, record, with_trouble):
    """Return whether all ordinary submissions are run and known."""
    platform = deployment.platform
    gevent.sleep(2.0)
    submit_schedule(deployment, record, with_trouble)
    accepted, samples = set(), []

    def sample():
        while True:
            used, free = platform.measure_used_processors(), platform.measure_free_processors()
            at = record.measure_seconds()
            samples.append((at, set(accepted), used / (used + free), free))
            gevent.sleep(SAMPLE_SECONDS)

    gevent.spawn(sample)
    for number in range(ORDINARY):
        submission = f"{number + 16:016x}"
        if deployment.post(number % 3, submission, STEPS) == 200:
            accepted.add(submission)
        gevent.sleep(1.0)
        memory = [round(entry.measure_memory_mb()) for entry in deployment.entries]
        record.write(f"memory in MiB: {memory}")
    record.say(f"{len(accepted)} of {ORDINARY} ordinary submissions accepted")
    gevent.sleep(FINISH_SECONDS)
    started = {task.partition(".")[0] for task in platform.starts}
    broken = 0
    for number, submission in enumerate(sorted(accepted)):
        state = deployment.read(number % 3, submission)
        idle = find_idle_seconds(samples, submission, started)
        is_lost = state is None or idle > IDLE_SECONDS
        broken += is_lost
        record.write(f"{submission}: state {state!r}, waits {idle:.1f} s beside room")
    used = sum(share for _, _, share, _ in samples) / len(samples)
    record.say(f"{broken} of {len(accepted)} accepted submissions break the rule")
    record.say(f"{used:.0%} of the capacity was in use on average")
    return broken == 0 and len(accepted) > 0


if __name__ == "__main__":
    run_case("11", play)
