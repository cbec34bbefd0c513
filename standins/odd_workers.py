"""Entries that another program has left among those of the workers."""

import json


def make_odd_worker(**fields):
    """Return the entry of a worker with some unusual fields."""
    entry = {
        "service": "desk",
        "address": "127.0.0.1:9",
        "zone": "a",
        "state": "ready",
        "capacity": {"cpu": 8000, "memMb": 64_000, "gpu": 0},
        "labels": ["a", "r1-1"],
        "born": 1,
        "sequence": 1,
    }
    return json.dumps({**entry, **fields}).encode()


ODD_WORKERS = {
    "w-nested": make_odd_worker()[:-1] + b',"more":' + b"[" * 50_000 + b"]" * 50_000 + b"}",
    "w-port": make_odd_worker(address="127.0.0.1:70000"),
    "w-negative-port": make_odd_worker(address="127.0.0.1:-1"),
    "w-long-port": make_odd_worker(address="127.0.0.1:" + "9" * 40),
    "w-no-host": make_odd_worker(address=":80"),
    "w-nul": make_odd_worker(address="a\0b:80"),
    "w-long-host": make_odd_worker(address="a" * 300 + ":80"),
    "w-line-break": make_odd_worker(address="127.0.0.1:9/a\r\nX-Other: b"),
    "w-huge": make_odd_worker(capacity={"cpu": 10**30, "memMb": 10**30, "gpu": 0}),
    "w-negative": make_odd_worker(capacity={"cpu": -8000, "memMb": -1, "gpu": 0}),
    "w-born": make_odd_worker(born=10**400),
    "w-drains": make_odd_worker(state="draining", drainRemainingMs=1e300),
    "w-key\r\nX-Other: b": make_odd_worker(),
    "w-\u20ac": make_odd_worker(),
}
