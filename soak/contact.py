"""Instances that are in touch with the platform, and processes that end by themselves."""

import time
from pathlib import Path

import gevent

from .proxy import Mode

# Bounds of the platform: an instance without disturbance for the first is in touch, and applies a
# change of the configuration within the second.
CONTACT_SECONDS = 3.0
CONFIGURATION_SECONDS = 2.0
SAMPLE_SECONDS = 0.05
LATE_SAMPLE_SECONDS = 0.5  # the store's stand-in runs beside the sampler, and was slow as well


class ContactRecorder:
    """Samples the disturbances of the instances, their links and the store."""

    def __init__(self, soak):
        self.stopped = set()  # processes that a fault may have ended
        self._soak = soak
        self._processes = {}
        self._disturbed_at = dict.fromkeys(soak.cluster.entries, time.monotonic())

    def run(self):
        """Sample until the greenlet is killed."""
        sampled_at = time.monotonic()
        store = self._soak.cluster.platform.store
        while True:
            now = time.monotonic()
            is_slow = store.delay_seconds or now - sampled_at > LATE_SAMPLE_SECONDS
            is_unstable = is_slow or store.lost_answer_share or store.mode != "up"
            for entry, proxy in zip(
                self._soak.cluster.entries, self._soak.store_proxies, strict=True
            ):
                is_silent = proxy.mode is not Mode.PASS or self._soak.cluster.is_cut_off(entry)
                is_refused = entry.store_endpoint.mode != "up"
                if self._has_stopped(entry) or is_unstable or is_silent or is_refused:
                    self._disturbed_at[entry] = now
                self._disturbed_at[entry] = max(self._disturbed_at[entry], proxy.reset_at)
            sampled_at = now
            gevent.sleep(SAMPLE_SECONDS)

    def must_have(self, entry, changed_at):
        """Return whether an instance has to have applied a change of the configuration."""
        in_touch_at = self._disturbed_at[entry] + CONTACT_SECONDS
        return time.monotonic() > max(in_touch_at, changed_at + CONFIGURATION_SECONDS)

    def _has_stopped(self, entry):
        """Return whether a process is new, paused or gone; check how the one before ended."""
        process = self._processes.get(entry)
        self._processes[entry] = entry.process
        status = process.poll() if process else None
        if status is not None and process not in self.stopped and not entry.has_lost_port():
            self.stopped.add(process)
            self._soak.violations.append(f"{entry.name} ended by itself with status {status}")
        if process is not entry.process or status is not None:
            return True
        state = Path(f"/proc/{process.pid}/stat").read_text(encoding="ascii").rpartition(") ")[2]
        return state[0] in "TZ"
