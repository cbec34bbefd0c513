"""Random, seeded faults of a soak test."""

import signal
import time

import gevent

from standins.crashes import CrashBehaviour
from standins.odd_workers import ODD_WORKERS

from .proxy import Mode

MAX_SHUTDOWN_SECONDS = 7.0  # graceS of the settings, and one second for a paused process


class RandomFaultInjector:
    """Inject random faults, which may overlap, into a cluster.

    Parameters
    ----------
    soak : soak.run.Soak
    generator : random.Random
    """

    def __init__(self, soak, generator):
        self._soak = soak
        self._random = generator
        self.injected_faults = []
        self._faults = []

    def run(self, seconds, interval_seconds, end_cuts):
        """Inject faults for a number of seconds, then end all of them.

        Parameters
        ----------
        seconds : float
        interval_seconds : tuple of float
            Shortest and longest time between two faults.
        end_cuts : callable
            Called when no further fault is to begin.
        """
        kinds = [
            self.kill,
            self.pause,
            self.stop,
            self._cut_store,
            self._cut_worker,
            self._lose_answers,
            self.interrupt_store,
            self._truncate_store_history,
            self._delay_store,
            self.change_configuration,
            self._reset_connections,
            self._crash_worker,
            self._resize_worker,
            self._submit_crashing_task,
            self._turn_away,
            self._write_odd_worker,
        ]
        with gevent.Timeout(seconds, False):
            while True:
                gevent.sleep(self._random.uniform(*interval_seconds))
                self.inject(self._random.choice(kinds), self._random.uniform(0.3, 3.0))
        end_cuts()
        gevent.sleep(3.2)
        self._soak.end_all_faults()

    def inject(self, kind, duration_seconds, *entries):
        """Begin a fault, of this instance if one is given, and return its greenlet."""
        names = [kind.__name__.strip("_"), *(entry.name for entry in entries)]
        self.injected_faults.append(f"{time.time():.2f} {' '.join(names)} {duration_seconds:.2f}")
        fault = gevent.spawn(kind, duration_seconds, *entries)
        self._faults.append(fault)
        return fault

    def join(self):
        """Wait until each fault has ended by itself."""
        gevent.joinall(self._faults)

    def _pick_entry(self):
        return self._random.choice(self._soak.cluster.entries)

    def _pick_proxy(self, proxies):
        return self._random.choice(proxies)

    def kill(self, duration_seconds, entry=None):
        """Kill a process, a random one if none is given, and start it again later."""
        entry = entry or self._pick_entry()
        if self._soak.can_terminate(entry):
            entry.send(signal.SIGKILL)
            entry.process.wait()
            gevent.sleep(duration_seconds / 3)
            self._soak.restart(entry)

    def pause(self, duration_seconds, entry=None):
        """Pause a process, a random one if none is given."""
        entry = entry or self._pick_entry()
        if entry.process.poll() is None:
            entry.send(signal.SIGSTOP)
            gevent.sleep(duration_seconds)
            if entry.process.poll() is None:
                entry.send(signal.SIGCONT)

    def stop(self, _, entry=None):
        """Let a process, a random one if none is given, resign and end, and start it again."""
        entry = entry or self._pick_entry()
        if self._soak.can_terminate(entry):
            self.terminate(entry)
            self._soak.restart(entry)

    def terminate(self, entry):
        """Let a process resign and end."""
        # Another fault may end and replace the process in the meantime.
        process = entry.process
        process.send_signal(signal.SIGTERM)
        deadline = time.monotonic() + MAX_SHUTDOWN_SECONDS
        while process.poll() is None and time.monotonic() < deadline:
            gevent.sleep(0.05)
        if process.poll() is None:
            self._soak.violations.append(f"{entry.name} exceeded its shutdown period")
            process.kill()
            process.wait()

    def _cut_store(self, duration_seconds):
        self._cut(self._pick_proxy(self._soak.store_proxies), duration_seconds)

    def _cut_worker(self, duration_seconds):
        self._cut(self._pick_proxy(self._soak.worker_proxies), duration_seconds)

    def _cut(self, proxy, duration_seconds):
        proxy.mode = self._random.choice([Mode.SILENT, Mode.ONE_WAY, Mode.DELAY])
        proxy.delay_seconds = 0.15
        gevent.sleep(duration_seconds)
        proxy.mode = Mode.PASS

    def _crash_worker(self, duration_seconds):
        worker = self._random.choice(self._soak.cluster.platform.workers)
        worker.crash(duration_seconds)

    def _resize_worker(self, duration_seconds):
        worker = self._random.choice(self._soak.cluster.platform.workers)
        full = worker.full_processors
        worker.resize(int(full * self._random.choice([0.1, 0.4, 0.8])))
        gevent.sleep(2 * duration_seconds)
        worker.resize(full)

    def _submit_crashing_task(self, duration_seconds):
        age_seconds = self._random.choice([0.0, 0.1, 0.3])
        self._soak.submit_crashing_task(CrashBehaviour(age_seconds, duration_seconds))

    def _reset_connections(self, _):
        self._pick_proxy(self._soak.store_proxies + self._soak.worker_proxies).reset()

    def _lose_answers(self, duration_seconds):
        store = self._soak.cluster.platform.store
        store.lost_answer_share = 0.3
        gevent.sleep(duration_seconds)
        store.lost_answer_share = 0.0

    def interrupt_store(self, duration_seconds):
        """Let the store reject all calls or answer none."""
        store = self._soak.cluster.platform.store
        store.mode = self._random.choice(["busy", "silent"])
        gevent.sleep(duration_seconds)
        store.mode = "up"

    def _turn_away(self, duration_seconds):
        """Let the store turn some instances away, and change the configuration meanwhile."""
        entries = self._soak.cluster.entries
        chosen = self._random.sample(entries, self._random.randrange(1, len(entries)))
        mode = self._random.choice(["busy", "silent"])
        for entry in chosen:
            entry.store_endpoint.mode = mode
        gevent.sleep(self._random.uniform(0.2, 1.5))
        self._soak.change_configuration()
        gevent.sleep(2 * duration_seconds)
        for entry in chosen:
            entry.store_endpoint.mode = "up"

    def _write_odd_worker(self, duration_seconds):
        key, value = self._random.choice(sorted(ODD_WORKERS.items()))
        store = self._soak.cluster.platform.store
        store.put("servers", key, value)
        gevent.sleep(duration_seconds)
        store.delete("servers", key)

    def _truncate_store_history(self, _):
        self._soak.cluster.platform.store.truncate_history()

    def _delay_store(self, duration_seconds):
        store = self._soak.cluster.platform.store
        store.delay_seconds = 0.2
        gevent.sleep(duration_seconds)
        store.delay_seconds = 0.0

    def change_configuration(self, _):
        """Write another version of the configuration."""
        self._soak.change_configuration()
