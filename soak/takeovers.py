"""Random changes of owner beside workers that no instance reaches, and losses of all instances."""

import gevent

from .proxy import Mode

DURATION_SECONDS = (3.0, 9.0)
MAX_WORKERS = 3
MAX_OWNERS = 3
MAX_TAKEOVER_SECONDS = 3.0
REPLACEMENT_INTERVAL_SECONDS = (2.0, 12.0)
MAX_LOST_WORKERS = 2
REPLACEMENT_SECONDS = (0.2, 1.5)  # until new instances start


class TakeoverInjector:
    """Make owners lose touch with workers that run on, and end or pause these owners.

    Parameters
    ----------
    soak : soak.run.Soak
    generator : random.Random
    faults : soak.faults.RandomFaultInjector
        Ends and pauses instances.
    """

    def __init__(self, soak, generator, faults):
        self._soak = soak
        self._random = generator
        self._faults = faults

    def run(self):
        """Inject faults until the greenlet is killed."""
        while True:
            gevent.sleep(self._random.uniform(0.2, 1.0))
            if self._random.random() < 0.3:
                self._faults.inject(self._pause_worker, self._random.uniform(*DURATION_SECONDS))
            self._faults.inject(self._end_owners, self._random.uniform(*DURATION_SECONDS)).join()

    def _end_owners(self, duration_seconds):
        """Cut workers that run tasks off from all instances; meanwhile end owners in a row."""
        cluster = self._soak.cluster
        workers = [w for w in cluster.platform.workers if w.runs] or cluster.platform.workers
        count = min(len(workers), self._random.randint(1, MAX_WORKERS))
        cut = cluster.cut_off([], self._random.sample(workers, count))
        changes = gevent.spawn(self._change_owners)
        self._soak.faults_ended.wait(duration_seconds)
        changes.kill()
        cluster.heal(cut)

    def _change_owners(self):
        cluster, faults = self._soak.cluster, self._faults
        kinds = [faults.stop, faults.stop, faults.kill, faults.pause]
        owner = None
        for _ in range(self._random.randint(1, MAX_OWNERS)):
            former = owner
            gevent.sleep(self._random.uniform(0.1, 2.0))
            with gevent.Timeout(MAX_TAKEOVER_SECONDS, False):
                while (owner := cluster.entries[cluster.find_owner()]) is former:
                    gevent.sleep(0.05)
            if self._soak.can_terminate(owner):
                faults.inject(self._random.choice(kinds), self._random.uniform(0.3, 3.0), owner)

    def _pause_worker(self, duration_seconds):
        """Hold a worker's requests back, which it carries out late; its clock and runs go on."""
        index = self._random.randrange(len(self._soak.worker_proxies))
        worker, proxy = self._soak.cluster.platform.workers[index], self._soak.worker_proxies[index]
        born = worker.born
        proxy.mode = Mode.SILENT
        self._soak.faults_ended.wait(duration_seconds)
        if worker.born != born or not worker.is_up:
            proxy.reset()  # connections end with the process
        proxy.mode = Mode.PASS


class ReplacementInjector:
    """Lose all instances for good beside workers that no instance reaches.

    Parameters
    ----------
    soak : soak.run.Soak
    generator : random.Random
    faults : soak.faults.RandomFaultInjector
    """

    def __init__(self, soak, generator, faults):
        self._soak = soak
        self._random = generator
        self._faults = faults

    def run(self):
        """Inject faults until the greenlet is killed."""
        while True:
            gevent.sleep(self._random.uniform(*REPLACEMENT_INTERVAL_SECONDS))
            self._faults.inject(self._replace, self._random.uniform(*DURATION_SECONDS)).join()

    def _replace(self, duration_seconds):
        """Kill all processes; start others at addresses that no earlier owner lists."""
        cluster = self._soak.cluster
        workers = cluster.platform.workers
        cut = cluster.cut_off(
            [], self._random.sample(workers, self._random.randint(1, MAX_LOST_WORKERS))
        )
        for entry in cluster.entries:
            self._soak.contact.stopped.add(entry.process)
            entry.process.kill()
            entry.process.wait()
        gevent.sleep(self._random.uniform(*REPLACEMENT_SECONDS))
        for entry in cluster.entries:
            if entry.process.poll() is not None:  # another fault may have started it again
                entry.choose_ports()
                entry.start()
        self._soak.faults_ended.wait(duration_seconds)
        cluster.heal(cut)
