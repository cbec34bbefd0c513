"""Random network partitions of a soak test."""

import gevent

from features.support.partitioned_cluster import Callers

MIN_CUT_SECONDS = 2.0
MAX_CUT_SECONDS = 10.0
FAULT_IN_CUT_SECONDS = (0.3, 3.0)


class PartitionInjector:
    """Cut random instances and workers off, one group after the other or several at once.

    Parameters
    ----------
    soak : soak.run.Soak
    generator : random.Random
    faults : soak.faults.RandomFaultInjector
        Injects the faults that overlap with cuts.
    """

    def __init__(self, soak, generator, faults):
        self._soak = soak
        self._random = generator
        self._faults = faults

    def run(self):
        """Inject cuts until the greenlet is killed."""
        kinds = [
            self._cut_owner_zone,
            self._cut_zone_without_owner,
            self._cut_one_way,
            self._cut_zones_in_turn,
            self._cut_workers,
            self._cut_beside_faults,
        ]
        while True:
            gevent.sleep(self._random.uniform(0.5, 2.5))
            kind = self._random.choice(kinds)
            duration_seconds = self._random.triangular(
                MIN_CUT_SECONDS, MAX_CUT_SECONDS, MAX_CUT_SECONDS
            )
            cut = self._faults.inject(kind, duration_seconds)
            if self._random.random() < 0.7:
                cut.join()

    def _pick_entries(self, has_owner):
        """Return a part of the instances, with or without the owner."""
        entries = list(self._soak.cluster.entries)
        owner = entries.pop(self._soak.cluster.find_owner())
        if has_owner:
            return [owner, *self._random.sample(entries, self._random.randrange(len(entries)))]
        return self._random.sample(entries, self._random.randint(1, len(entries)))

    def _pick_workers(self):
        workers = self._soak.cluster.platform.workers
        return self._random.sample(workers, self._random.randrange(1, len(workers)))

    def _cut(self, entries, workers, seconds, callers=Callers.ALL):
        if self._soak.faults_ended.is_set():
            return
        cluster = self._soak.cluster
        cut = cluster.cut_off(entries, workers, callers)
        self._soak.faults_ended.wait(seconds)
        cluster.heal(cut)

    def _cut_owner_zone(self, duration_seconds):
        self._cut(self._pick_entries(True), self._pick_workers(), duration_seconds)

    def _cut_zone_without_owner(self, duration_seconds):
        self._cut(self._pick_entries(False), self._pick_workers(), duration_seconds)

    def _cut_one_way(self, duration_seconds):
        entries = self._pick_entries(self._random.random() < 0.5)
        callers = self._random.choice([Callers.INSIDE, Callers.OUTSIDE])
        self._cut(entries, self._pick_workers(), duration_seconds, callers)

    def _cut_zones_in_turn(self, duration_seconds):
        """Cut one of two zones off from the store and the other, then the other one."""
        cluster = self._soak.cluster
        entries, workers = self._pick_entries(True), self._pick_workers()
        self._cut(entries, workers, duration_seconds)
        gevent.sleep(self._random.choice([0.0, 1.0]))
        self._cut(
            [e for e in cluster.entries if e not in entries],
            [w for w in cluster.platform.workers if w not in workers],
            duration_seconds,
        )

    def _cut_workers(self, duration_seconds):
        self._cut([], self._pick_workers(), duration_seconds)

    def _cut_beside_faults(self, duration_seconds):
        """Cut a zone off; meanwhile an instance starts that has left before, and more goes on."""
        joining = self._random.choice(self._soak.cluster.entries)
        if self._soak.can_terminate(joining):
            self._faults.terminate(joining)
        entries = self._pick_entries(self._random.random() < 0.7)
        cut = gevent.spawn(self._cut, entries, self._pick_workers(), duration_seconds)

        def join(_):
            self._soak.restart(joining)

        kinds = [
            join,
            self._faults.interrupt_store,
            self._faults.kill,
            self._faults.change_configuration,
        ]
        for kind in self._random.sample(kinds, len(kinds)):
            gevent.sleep(self._random.uniform(0.0, duration_seconds / len(kinds)))
            if not self._soak.faults_ended.is_set():
                self._faults.inject(kind, self._random.uniform(*FAULT_IN_CUT_SECONDS))
        self._soak.restart(joining)
        cut.join()
