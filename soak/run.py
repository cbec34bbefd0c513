"""One seeded run of the soak, and its verdict."""

import random
import signal
import tempfile
import time
from pathlib import Path

import gevent

from features.support.queue_processes import EntryCluster
from lavenderhook.errors import TransportError

from .faults import FaultPlan
from .proxy import Mode, Proxy

FINISH_SECONDS = 30.0  # for accepted work to end after everything has healed
STEPS = [{"count": 2, "cpu": 1500, "memMb": 100, "estimateMs": 400}]


class Soak:
    """Processes behind proxies, callers, faults and checks.

    Attributes
    ----------
    violations : list of str
        Promises that were broken, as callers, workers and the store saw it.
    """

    def __init__(self, seed, seconds=8.0, instances=3, workers=3):
        self._random = random.Random(seed)
        self._seconds = seconds
        self._folder = tempfile.TemporaryDirectory(prefix=f"soak-{seed}-")
        self.cluster = EntryCluster(Path(self._folder.name), instances, workers, seed)
        self.violations = []
        self.accepted = set()
        self.cancelled = set()
        self.refused = {}
        self._version = 1
        self._is_healed = False
        self.store_proxies = []
        self.worker_proxies = []

    def run(self):
        """Play the seed; return the violations."""
        self._start()
        plan = FaultPlan(self, self._random)
        try:
            callers = [gevent.spawn(self._call, index) for index in range(3)]
            plan.run(self._seconds)
            gevent.joinall(callers, timeout=15)
            self._check()
        finally:
            self._stop()
        if self.violations:
            self.violations.append(f"faults: {plan.log}")
        return self.violations

    def _start(self):
        platform = self.cluster.platform
        for entry in self.cluster.entries:
            proxy = Proxy(entry.store_endpoint.listener.location)
            proxy.start()
            entry.store_address = proxy.location
            self.store_proxies.append(proxy)
        for worker in platform.workers:
            worker.listener.start()
            proxy = Proxy(worker.listener.location)
            proxy.start()
            worker.address = proxy.location
            self.worker_proxies.append(proxy)
        self.cluster.start()

    def _stop(self):
        for proxy in self.store_proxies + self.worker_proxies:
            proxy.stop()
        self.cluster.stop()
        self._folder.cleanup()

    def can_lose(self, entry):
        """Return whether a process runs and another one is left."""
        running = [e for e in self.cluster.entries if e.process.poll() is None]
        return entry in running and len(running) > 1 and not self._is_healed

    def restart(self, entry):
        """Start a process again."""
        if entry.process.poll() is not None:
            entry.start()

    def change_configuration(self):
        """Write a new version that keeps the queue."""
        self._version += 1
        self.cluster.platform.write_configuration(
            self._version, ["/jobs/", f"/more{self._version}/"]
        )

    def heal(self):
        """End all faults."""
        self._is_healed = True
        store = self.cluster.platform.store
        store.mode, store.delay, store.lose = "up", 0.0, 0.0
        for proxy in self.store_proxies + self.worker_proxies:
            proxy.mode = Mode.PASS
        for entry in self.cluster.entries:
            if entry.process.poll() is None:
                entry.send(signal.SIGCONT)
            else:
                entry.start()

    def _call(self, caller):
        """Send submissions over connections that stay open until the process is gone."""
        until = time.monotonic() + self._seconds
        number = 0
        while time.monotonic() < until:
            number += 1
            name = f"{caller:02x}{number:014x}"
            index = (caller + number) % len(self.cluster.entries)
            self._submit(name, index)
            if number % 7 == 0 and name in self.accepted:
                self._cancel(name, index)
            gevent.sleep(0.15)

    def _submit(self, name, index):
        for attempt in range(3):
            try:
                answer = self.cluster.submit(
                    (index + attempt) % len(self.cluster.entries), name, STEPS
                )
            except TransportError:
                self.refused.pop(name, None)
                continue
            if answer.status == 200:
                self.accepted.add(name)
                self.refused.pop(name, None)
                return
            if answer.status == 503 and attempt == 0:
                self.refused[name] = True
            if answer.status == 504:
                self.refused.pop(name, None)
                return

    def _cancel(self, name, index):
        try:
            answer = self.cluster.call(index, "DELETE", f"/jobs/{name}")
        except TransportError:
            self.cancelled.add(name)  # it may have been carried out
            return
        if answer.status in (200, 504):
            self.cancelled.add(name)

    def _check(self):
        self.violations += self.cluster.platform.violations
        self.cluster.wait_ready()
        until = time.monotonic() + FINISH_SECONDS
        for name in sorted(self.accepted - self.cancelled):
            left = max(0.3, until - time.monotonic())
            found = self.cluster.wait_state(0, name, "completed", left)
            if found != "completed":
                self.violations.append(f"{name} was accepted and is {found}")
        self.violations += self.cluster.platform.violations
        for name in self.refused:
            if any(task.startswith(name) for task in self.cluster.platform.starts):
                self.violations.append(f"{name} was refused by all and has run")


def play(seed, seconds=8.0):
    """Play one seed and return the violations."""
    return Soak(seed, seconds).run()
