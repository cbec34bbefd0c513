"""Organisations of a soak test: changes of their keys and limits, odd clients, and checks."""

import itertools
import time

import gevent

from features.support.door_crowd import ClientKind, Crowd, Target
from lavenderhook.errors import TransportError

LIMIT_SHARES = (0.1, 0.25, 0.8)  # of the processors of all workers
OVERAGE = 0.1  # of a limit, for runs that no owner can know
OVERLAP_SECONDS = 2.5  # for which a new key is listed before an old one is removed
PROBE_SECONDS = 0.1
CROWD_KINDS = [ClientKind.PIECES, ClientKind.CHUNKS, ClientKind.PIPELINED]
CROWD_CLIENTS = 40
LIMITED_MACHINE = "[limits]\nmemoryMb = 160\nfileDescriptors = 1638"  # the smallest of the platform
WEIGHTS = {"north": 4, "south": 8, "west": 16}  # submissions per second
UNKNOWN_KEY_PREFIX = "fe"  # of submissions that are sent with made-up keys only
ODD_ENTRIES = ({"name": 5, "apiKeys": ["odd"]}, {"name": "odd", "apiKeys": "odd", "weight": "much"})


class Organisation:
    """An organisation; of its limits, the newest is the last, the others may be in force yet."""

    def __init__(self, name, limit):
        self.name = name
        self.keys = [f"{name}-key"]
        self.limits = [limit]
        self.changes = []  # time of each limit after the first, and the instances that may miss it
        self.is_hot = False


class OrganisationInjector:
    """Change the organisations of a cluster, misuse their keys, and check what is accepted."""

    def __init__(self, soak, generator):
        self._soak = soak
        self._random = generator
        self._numbers = itertools.count(1)
        self._platform = soak.cluster.platform
        processors = sum(worker.full_processors for worker in self._platform.workers)
        self._limits = [int(share * processors) for share in LIMIT_SHARES]
        self._all = [Organisation(name, self._limits[0]) for name in WEIGHTS]
        self._dropped = []
        self._revoked_at = {}  # times by key
        self._platform.tenants = self._describe()
        self._platform.start_checks.append(self._check_start)

    def find(self, submission):
        """Return the organisation of a submission."""
        return self._all[int(submission[:2], 16) % len(self._all)]

    def run(self, faults):
        """Inject changes until the greenlet is killed."""
        kinds = [self._rotate_keys, self._change_limit, self._heat, self._send_odd_clients]
        once = [self._write_odd_entry]
        while True:
            for kind in self._random.sample(kinds + once, len(kinds + once)):
                gevent.sleep(self._random.uniform(0.2, 1.2))
                faults.inject(kind, self._random.uniform(0.5, 3.0))
            once = []

    def probe(self):
        """Send calls with made-up and revoked keys until the greenlet is killed."""
        while True:
            gevent.sleep(PROBE_SECONDS)
            index = self._random.randrange(len(self._soak.cluster.entries))
            try:
                self._submit_with_unknown_key(index)
                self._call_with_revoked_key(index)
            except TransportError:
                continue

    def finish(self):
        """Write the highest limits and no odd entry."""
        for entry in self._all:
            self._set_limit(entry, self._limits[-1])
        self._write()

    def _describe(self):
        return [
            {
                "name": entry.name,
                "apiKeys": entry.keys,
                "weight": WEIGHTS[entry.name],
                "maxCount": {"cpu": entry.limits[-1], "memMb": 0, "gpu": 0},
            }
            for entry in self._all
        ]

    def _write(self, odd=()):
        self._platform.tenants = [*self._describe(), *odd]
        self._soak.write_version()
        # An odd entry may be any of those in force, whose keys then remain.
        now = time.monotonic()
        revoked = {key: self._revoked_at.get(key, now) for key in self._dropped}
        self._revoked_at = {} if odd else revoked

    def _rotate_keys(self, _):
        entry = self._random.choice(self._all)
        entry.keys.append(f"{entry.name}-{next(self._numbers)}")
        self._write()
        gevent.sleep(OVERLAP_SECONDS)
        self._dropped.append(entry.keys.pop(0))
        self._write()

    def _set_limit(self, entry, limit):
        entry.limits.append(limit)
        entry.changes.append((time.monotonic(), set(self._soak.cluster.entries)))

    def _drop_former_limits(self, entry):
        """Drop limits once each instance has had to apply a newer one at some time."""
        for changed_at, instances in entry.changes:
            instances -= {i for i in instances if self._soak.contact.must_have(i, changed_at)}
        while entry.changes and not entry.changes[0][1]:
            del entry.changes[0], entry.limits[0]

    def _change_limit(self, _):
        self._set_limit(self._random.choice(self._all), self._random.choice(self._limits))
        self._write()

    def _heat(self, duration_seconds):
        entry = self._random.choice(self._all)
        entry.is_hot = True
        gevent.sleep(duration_seconds)
        entry.is_hot = False

    def _write_odd_entry(self, duration_seconds):
        self._write([self._random.choice(ODD_ENTRIES)])
        gevent.sleep(duration_seconds)
        self._write()

    def _send_odd_clients(self, duration_seconds):
        address = self._random.choice(self._soak.cluster.entries).frontend_address
        key = f"X-Credential: {self._all[0].keys[0]}"
        target = Target(address, "POST", "/jobs/fd00000000000000", (key,))
        crowd = Crowd(target, CROWD_KINDS, CROWD_CLIENTS)
        with gevent.Timeout(duration_seconds, False):
            crowd.run()
        crowd.close()

    def _submit_with_unknown_key(self, index):
        name = f"{UNKNOWN_KEY_PREFIX}{next(self._numbers):014x}"
        steps = [{"count": 1, "cpu": 100, "memMb": 100, "estimateMs": 100}]
        response = self._soak.cluster.submit(index, name, steps, key=f"made-up-{name}")
        if response.status == 200:
            self._soak.violations.append(f"{name} was accepted with a made-up key")

    def _call_with_revoked_key(self, index):
        entry = self._soak.cluster.entries[index]
        must_have = self._soak.contact.must_have
        keys = sorted(key for key, at in self._revoked_at.items() if must_have(entry, at))
        if not keys:
            return
        key = self._random.choice(keys)
        age = time.monotonic() - self._revoked_at[key]
        # A submission without a body is answered with 400 if the key is accepted.
        response = self._soak.cluster.call(index, "POST", "/jobs/fd00000000000001", key=key)
        if response.status not in (401, 503):
            self._soak.violations.append(
                f"{entry.name} answered {response.status} to a key revoked {age:.2f} s before"
            )

    def _check_start(self, task, _):
        """Return the violation by a start, if there is one."""
        if task.startswith(UNKNOWN_KEY_PREFIX):
            return f"{task} was started, sent with made-up keys only"
        entry = self.find(task)
        self._drop_former_limits(entry)
        runs = (run for worker in self._platform.workers for run in worker.runs.items())
        used = sum(run["cpu"] for other, run in runs if self.find(other) is entry)
        if used > max(entry.limits) * (1 + OVERAGE):
            return f"{task} was started at {used} of {entry.limits} of {entry.name}"
        return None
