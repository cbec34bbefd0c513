"""Seeded run of the soak test with its checks."""

import dataclasses
import random
import shutil
import signal
import tempfile
import time
from pathlib import Path

import gevent
import gevent.event

from features.support.partitioned_cluster import PartitionedCluster
from lavenderhook.errors import TransportError

from .contact import CONFIGURATION_SECONDS, CONTACT_SECONDS, ContactRecorder
from .faults import RandomFaultInjector
from .organisations import LIMITED_MACHINE, OrganisationInjector
from .partitions import PartitionInjector
from .proxy import Mode, Proxy
from .takeovers import ReplacementInjector, TakeoverInjector
from .thin_links import ThinLinkInjector

QUERY_SECONDS = 1.0
COMPLETION_TIMEOUT_SECONDS = 30.0  # for accepted submissions, after all faults have ended
REPEAT_SECONDS = (0.1, 6.0)  # from an acceptance to each repetition of the request
MAX_REPEATS = 2
FINAL_PROBE_SECONDS = CONTACT_SECONDS + CONFIGURATION_SECONDS + 1.0
HOT_FACTOR = 3  # more submissions of an organisation that is hot
CRASHING_SUBMISSION = "ff00000000000000"
CRASHING_MILLISECONDS = 400  # run time without the crash, which comes within 300 ms


@dataclasses.dataclass(frozen=True)
class Size:
    """Size of a cluster, and its load and faults.

    Attributes
    ----------
    submission_interval_seconds : float
        Time between two submissions of one caller.
    task_processors : int
        Thousandths of a processor that each task needs.
    task_milliseconds : tuple of int
        Run times of tasks, in turn.
    seconds : float
        Duration of the faults.
    fault_interval_seconds : tuple of float
        Shortest and longest time between two faults other than cuts.
    """

    instances: int
    workers: int
    callers: int
    submission_interval_seconds: float
    task_processors: int
    task_milliseconds: tuple
    seconds: float
    fault_interval_seconds: tuple


SMALL = Size(3, 3, 3, 0.15, 1500, (400,), 8.0, (0.2, 1.2))
LARGE = Size(5, 12, 16, 0.8, 750, (300, 1500, 4000), 18.0, (0.5, 4.0))


class Soak:
    """Cluster behind proxies, with callers, faults and checks.

    Parameters
    ----------
    seed : int
    size : Size

    Attributes
    ----------
    violations : list of str
        Invariants violated, as observed by the callers, the workers and the store.
    """

    def __init__(self, seed, size):
        self._random = random.Random(seed)
        # Separate generators leave the sequence of the other faults as it is.
        self._random_queries = random.Random(seed + 1)
        self._random_cuts = random.Random(seed + 2)
        self._random_takeovers = random.Random(seed + 3)
        self._random_repeats = random.Random(seed + 4)
        self._random_replacements = random.Random(seed + 5)
        self._random_organisations = random.Random(seed + 6)
        self._random_links = random.Random(seed + 7)
        self._size = size
        self._directory = Path(tempfile.mkdtemp(prefix=f"soak-{seed}-"))
        self.cluster = PartitionedCluster(self._directory, size.instances, size.workers, seed)
        self.cluster.extra_bounds = LIMITED_MACHINE
        self.contact = None
        self._organisations = OrganisationInjector(self, self._random_organisations)
        self.violations = []
        self.accepted = set()
        self.cancelled = set()
        self._cancellations = set()  # that were accepted
        self._repeats = []
        self.refused = {}
        self.crashing = set()  # accepted submissions whose tasks crash their workers
        self._version = 1
        self.extra_queues = 0  # of each version
        self._newest_queue = ""  # path prefix that a version has added; later ones retain it
        self._written_at = time.monotonic()  # of the version that has added it
        self.faults_ended = gevent.event.Event()
        self.store_proxies = []
        self.worker_proxies = []

    def run(self):
        """Run the seed and return the violations."""
        injector = RandomFaultInjector(self, self._random)
        watchers = []
        try:
            self._start()
            self.contact = ContactRecorder(self)
            watchers += [gevent.spawn(self.contact.run), gevent.spawn(self._organisations.probe)]
            callers = [gevent.spawn(self._run_caller, i) for i in range(self._size.callers)]
            callers.append(gevent.spawn(self._query_newest_queue))
            others = [
                gevent.spawn(PartitionInjector(self, self._random_cuts, injector).run),
                gevent.spawn(TakeoverInjector(self, self._random_takeovers, injector).run),
                gevent.spawn(ReplacementInjector(self, self._random_replacements, injector).run),
                gevent.spawn(self._organisations.run, injector),
                gevent.spawn(ThinLinkInjector(self, self._random_links).run, injector),
            ]
            interval_seconds = self._size.fault_interval_seconds
            injector.run(self._size.seconds, interval_seconds, lambda: gevent.killall(others))
            gevent.joinall(callers, timeout=15)
            gevent.joinall(self._repeats, timeout=15)
            self._check()
            gevent.sleep(FINAL_PROBE_SECONDS)  # all instances are in touch, and calls go on
        finally:
            gevent.killall(watchers)
            self.faults_ended.set()
            injector.join()  # none may start a process later
            self._stop()
        if self.violations:
            self.violations.append(f"faults: {injector.injected_faults}")
            self.violations.append(f"logs: {self._directory}")
        else:
            shutil.rmtree(self._directory, ignore_errors=True)
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

    def can_terminate(self, entry):
        """Return whether this process and another one run, and faults are still injected."""
        running = [e for e in self.cluster.entries if e.process.poll() is None]
        may_end = entry in running and len(running) > 1 and not self.faults_ended.is_set()
        if may_end:
            self.contact.stopped.add(entry.process)
        return may_end

    def restart(self, entry):
        """Restart a process that has ended."""
        if entry.process.poll() is not None:
            entry.start()

    def change_configuration(self):
        """Write a new configuration version that retains the queue ``/jobs/``."""
        self._newest_queue = f"/more{self._version + 1}/"
        self.write_version()
        self._written_at = time.monotonic()

    def write_version(self):
        """Write a new configuration version with the queues of the one before."""
        self._version += 1
        prefixes = ["/jobs/", *filter(None, [self._newest_queue])]
        prefixes += [f"/others{number}/" for number in range(self.extra_queues)]
        self.cluster.platform.write_configuration(self._version, prefixes)

    def end_all_faults(self):
        """End all faults."""
        self.faults_ended.set()
        self._organisations.finish()
        self.cluster.heal()
        store = self.cluster.platform.store
        store.mode, store.delay_seconds, store.lost_answer_share = "up", 0.0, 0.0
        for proxy in self.store_proxies + self.worker_proxies:
            proxy.mode = Mode.PASS
        for entry in self.cluster.entries:
            entry.store_endpoint.mode = "up"
            if entry.process.poll() is None:
                entry.send(signal.SIGCONT)
            else:
                entry.start()

    def _run_caller(self, caller):
        """Send submissions over persistent connections and cancel some of them."""
        deadline = time.monotonic() + self._size.seconds
        run_times = self._size.task_milliseconds
        number = 0
        while time.monotonic() < deadline:
            number += 1
            name = f"{caller:02x}{number:014x}"
            index = (caller + number) % len(self.cluster.entries)
            run_time = run_times[number % len(run_times)]
            self._submit(name, index, run_time)
            if name in self.accepted:
                for _ in range(self._random_repeats.randint(1, MAX_REPEATS)):
                    repeat = gevent.spawn(self._repeat, name, index, run_time)
                    self._repeats.append(repeat)
            if number % 7 == 0 and name in self.accepted:
                self._cancel(name, index)
            pause_seconds = self._size.submission_interval_seconds
            is_hot = self._organisations.find(name).is_hot
            gevent.sleep(pause_seconds / HOT_FACTOR if is_hot else pause_seconds)

    def _query_newest_queue(self):
        """Check that no instance denies the queue that the newest version has added."""
        deadline = time.monotonic() + self._size.seconds
        while time.monotonic() < deadline:
            gevent.sleep(0.1)
            prefix = self._newest_queue
            if not prefix or time.monotonic() < self._written_at + CONFIGURATION_SECONDS:
                continue
            index = self._random_queries.randrange(len(self.cluster.entries))
            try:
                response = self.cluster.call(index, "GET", prefix, seconds=QUERY_SECONDS)
            except TransportError:
                continue
            if response.status == 404 and prefix == self._newest_queue:
                age = time.monotonic() - self._written_at
                self.violations.append(
                    f"{self.cluster.entries[index].name} denied the queue {prefix} "
                    f"{age:.2f} s after it was written"
                )

    def submit_crashing_task(self, behaviour):
        """Send a submission whose tasks crash their workers; one at a time."""
        if self.crashing:
            return
        name = CRASHING_SUBMISSION
        self.cluster.platform.crash_budget.add(name, behaviour)
        self._submit(name, 0, CRASHING_MILLISECONDS)
        if name in self.accepted:
            self.accepted.remove(name)
            self.crashing.add(name)

    def _make_steps(self, run_time):
        cpu = self._size.task_processors
        return [{"count": 2, "cpu": cpu, "memMb": 100, "estimateMs": run_time}]

    def _repeat(self, name, index, run_time):
        """Send an accepted submission again, to another instance."""
        gevent.sleep(self._random_repeats.uniform(*REPEAT_SECONDS))
        count = len(self.cluster.entries)
        other = (index + self._random_repeats.randrange(1, count)) % count
        key = self._organisations.find(name).keys[0]
        try:
            response = self.cluster.submit(other, name, self._make_steps(run_time), key=key)
        except TransportError:
            return
        if response.status == 401 and key not in self._organisations.find(name).keys:
            return  # it was revoked meanwhile
        if response.status not in (200, 503, 504):
            self.violations.append(f"{name} was sent again and answered with {response.status}")

    def _submit(self, name, index, run_time):
        steps = self._make_steps(run_time)
        for attempt in range(3):
            try:
                response = self.cluster.submit(
                    (index + attempt) % len(self.cluster.entries),
                    name,
                    steps,
                    key=self._organisations.find(name).keys[0],
                )
            except TransportError:
                self.refused.pop(name, None)
                continue
            if response.status == 200:
                self.accepted.add(name)
                self.refused.pop(name, None)
                return
            if response.status == 503 and attempt == 0:
                self.refused[name] = True
            if response.status == 504:
                self.refused.pop(name, None)
                return

    def _cancel(self, name, index):
        try:
            key = self._organisations.find(name).keys[0]
            response = self.cluster.call(index, "DELETE", f"/jobs/{name}", key=key)
        except TransportError:
            self.cancelled.add(name)  # the cancellation may have been applied
            return
        if response.status in (200, 504):
            self.cancelled.add(name)
        if response.status == 200:
            self._cancellations.add(name)

    def _check(self):
        self.violations += self.cluster.platform.violations
        self.cluster.key = self._organisations.find("00").keys[0]
        self.cluster.wait_ready()
        deadline = time.monotonic() + COMPLETION_TIMEOUT_SECONDS
        expected = dict.fromkeys(sorted(self.accepted - self.cancelled), "completed")
        expected |= dict.fromkeys(self.crashing, "failed")
        for name, final in expected.items():
            remaining_seconds = max(0.3, deadline - time.monotonic())
            state = self.cluster.wait_state(0, name, final, remaining_seconds)
            if state != final:
                self.violations.append(f"{name} was accepted, but its state is {state}")
        for name in sorted(self._cancellations):
            state = self.cluster.wait_state(0, name, "cancelled", 0.3)
            if state not in ("cancelled", "completed"):
                self.violations.append(f"{name} was cancelled, but its state is {state}")
        self.violations += self.cluster.platform.violations
        for name in self.refused:
            if any(task.startswith(name) for task in self.cluster.platform.starts):
                self.violations.append(f"{name} was started, although all instances refused it")


def run_seed(seed, seconds=None):
    """Run one seed, for the duration of its size if none is given, and return the violations."""
    size = LARGE if seed % 2 else SMALL
    if seconds is not None:
        size = dataclasses.replace(size, seconds=seconds)
    return Soak(seed, size).run()
