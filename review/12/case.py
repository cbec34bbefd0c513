"""Case: a gang that waits for room under its tenant's limit holds all other work of the tenant."""

import gevent

from review.rig_3 import run_case

KEY = "key-of-the-tenant-1"
LIMIT_CPU = 100_000
SERVICE = "5e1f000000000001"
GANG = "9a49000000000001"
SERVICE_STEP = {"count": 9, "cpu": 5000, "memMb": 256, "longRunning": True}
GANG_STEP = {"count": 9, "cpu": 8000, "memMb": 256, "estimateMs": 2000, "gang": True}
SMALL_STEP = {"count": 1, "cpu": 1000, "memMb": 64, "estimateMs": 300}
ORDINARY = 6
IDLE_SECONDS = 3.0  # of LOST
FINISH_SECONDS = 14.0  # `finish_s`


def play(deployment, record, with_trouble):
    """Return whether the small submissions of the tenant run."""
    platform = deployment.platform
    platform.tenants = [
        {
            "name": "tenant-1",
            "apiKeys": [KEY],
            "weight": 10,
            "maxCount": {"cpu": LIMIT_CPU, "memMb": 0, "gpu": 0},
        }
    ]
    deployment.key = KEY
    platform.write_configuration(2, ["/jobs/"])
    gevent.sleep(3.0)
    assert deployment.post(0, SERVICE, [SERVICE_STEP]) == 200
    gevent.sleep(3.0)
    if with_trouble:
        status = deployment.post(1, GANG, [GANG_STEP])
        record.say(f"a gang of {GANG_STEP['count']} x {GANG_STEP['cpu']}: {status}")
        assert status == 200
    gevent.sleep(4.0)
    names = [f"{number + 16:016x}" for number in range(ORDINARY)]
    accepted = [n for i, n in enumerate(names) if deployment.post(i % 3, n, [SMALL_STEP]) == 200]
    broken = set()
    idle = dict.fromkeys(accepted, 0.0)
    for _ in range(int(FINISH_SECONDS / 0.1)):
        gevent.sleep(0.1)
        used, free = platform.measure_used_processors(), platform.measure_free_processors()
        has_room = free >= 2 * SMALL_STEP["cpu"] and used < (used + free) / 2
        for name in accepted:
            waits = f"{name}.0.0.0" not in platform.starts
            idle[name] = idle[name] + 0.1 if waits and has_room and used < LIMIT_CPU / 2 else 0.0
            if idle[name] > IDLE_SECONDS:
                broken.add(name)
    states = [deployment.read(i % 3, n) for i, n in enumerate(accepted)]
    record.say(f"in use {used}, free {free}, limit {LIMIT_CPU}; shown as {states}")
    record.say(f"{len(broken)} of {len(accepted)} waited for more than {IDLE_SECONDS} s")
    return not broken


if __name__ == "__main__":
    run_case("12", play, processors=16_000)
