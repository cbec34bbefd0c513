"""Seeded faults of a soak: what strikes, when, and how it ends."""

import signal
import time

import gevent

from .proxy import Mode

GRACE_SECONDS = 7.0  # the platform's grace and a second for a process that was paused


class FaultPlan:
    """Strikes a cluster with random faults, in series and overlapping.

    Parameters
    ----------
    soak : soak.run.Soak
    generator : random.Random
    """

    def __init__(self, soak, generator):
        self._soak = soak
        self._random = generator
        self.log = []

    def run(self, seconds):
        """Strike until the time is over, then heal everything."""
        kinds = [
            self._kill,
            self._pause,
            self._stop,
            self._cut_store,
            self._cut_worker,
            self._lose_answers,
            self._refuse,
            self._forget,
            self._slow,
            self._configure,
            self._reset,
        ]
        with gevent.Timeout(seconds, False):
            while True:
                gevent.sleep(self._random.uniform(0.2, 1.2))
                kind = self._random.choice(kinds)
                span = self._random.uniform(0.3, 3.0)
                self.log.append((kind.__name__, round(span, 2)))
                gevent.spawn(kind, span)
        gevent.sleep(3.2)
        self._soak.heal()

    def _pick_entry(self):
        return self._random.choice(self._soak.cluster.entries)

    def _pick_proxy(self, proxies):
        return self._random.choice(proxies)

    def _kill(self, span):
        entry = self._pick_entry()
        if self._soak.can_lose(entry):
            entry.send(signal.SIGKILL)
            entry.process.wait()
            gevent.sleep(span / 3)
            self._soak.restart(entry)

    def _pause(self, span):
        entry = self._pick_entry()
        if entry.process.poll() is None:
            entry.send(signal.SIGSTOP)
            gevent.sleep(span)
            if entry.process.poll() is None:
                entry.send(signal.SIGCONT)

    def _stop(self, span):
        entry = self._pick_entry()
        if not self._soak.can_lose(entry):
            return
        # Another fault may end and replace the process meanwhile.
        process = entry.process
        process.send_signal(signal.SIGTERM)
        ends_at = time.monotonic() + GRACE_SECONDS
        while process.poll() is None and time.monotonic() < ends_at:
            gevent.sleep(0.05)
        if process.poll() is None:
            self._soak.violations.append(f"{entry.name} outlived its grace")
            process.kill()
            process.wait()
        self._soak.restart(entry)

    def _cut_store(self, span):
        self._cut(self._pick_proxy(self._soak.store_proxies), span)

    def _cut_worker(self, span):
        self._cut(self._pick_proxy(self._soak.worker_proxies), span)

    def _cut(self, proxy, span):
        proxy.mode = self._random.choice([Mode.SILENT, Mode.ONE_WAY, Mode.DELAY])
        proxy.delay = 0.15
        gevent.sleep(span)
        proxy.mode = Mode.PASS

    def _reset(self, _):
        self._pick_proxy(self._soak.store_proxies + self._soak.worker_proxies).reset()

    def _lose_answers(self, span):
        store = self._soak.cluster.platform.store
        store.lose = 0.3
        gevent.sleep(span)
        store.lose = 0.0

    def _refuse(self, span):
        store = self._soak.cluster.platform.store
        store.mode = "busy"
        gevent.sleep(span)
        store.mode = "up"

    def _forget(self, _):
        self._soak.cluster.platform.store.forget_history()

    def _slow(self, span):
        store = self._soak.cluster.platform.store
        store.delay = 0.2
        gevent.sleep(span)
        store.delay = 0.0

    def _configure(self, _):
        self._soak.change_configuration()
