"""Worker as the platform's pages describe it: leases, run numbers, tokens and numbered ends."""

import random
import time

import gevent
import gevent.event

from standins.errors import DropConnectionError
from standins.web import Listener, Response, reply_json

HEARTBEAT_SECONDS = 1.5  # `heartbeatMs` of the settings
ENTRY_SECONDS = 3 * HEARTBEAT_SECONDS  # the platform removes the entry of a silent worker
STOP_SECONDS = 0.1  # within `stopTimeoutMs`
MAX_WAIT_SECONDS = 2.0
MAX_ENDS = 500  # in one response


class Worker:
    """A worker that carries out orders; its entry in the store is written at its heartbeats.

    Parameters
    ----------
    platform : Platform
    name : str
        Its id, which it keeps when it starts again.
    kind, rack : str
        Its labels.
    """

    def __init__(self, platform, name, kind, rack):
        self.platform = platform
        self.name = name
        self.kind = kind
        self.rack = rack
        self.is_cut_from_store = False
        self.is_cut_from_machines = False
        self.is_up = False
        self.born = 0
        self.runs = {}
        self._ended = gevent.event.Event()
        self._healed = gevent.event.Event()
        self._last_beat_at = 0.0
        self._entry = None
        self.listener = Listener(self._respond)
        self.listener.start()

    # The process.

    def boot(self):
        """Start the process, which holds and knows nothing of before."""
        self.born = max(self.born + 1, int(time.time() * 1000))
        self._booted_at = time.monotonic()
        self._token = 0
        self._lease_ms = 0
        self._highest = {}
        self._ends = []
        self._last_number = 0
        self.runs = {}
        self.is_up = True
        self.platform.record.write(
            "worker-booted", worker=self.name, born=self.born, kind=self.kind
        )
        gevent.spawn(self._beat, self.born)
        gevent.spawn(self._expire_leases, self.born)

    def crash(self):
        """End the process with all that runs on it."""
        self.is_up = False
        self.platform.record.write("worker-crashed", worker=self.name, born=self.born)
        for run, _ in self.runs.values():
            self.platform.record.end_run(run, "crashed")
        self.runs = {}
        self._signal_end()
        for handler in list(self.listener.handlers):
            handler.abort()

    def crash_and_restart(self, down_seconds, kind=None):
        """Crash and start again under the same id, perhaps as another kind."""
        self.crash()
        gevent.sleep(down_seconds)
        self.kind = kind or self.kind
        self.boot()

    def _beat(self, born):
        """Report to the store; the entry is rewritten only when it changes."""
        while self.is_up and self.born == born:
            if not self.is_cut_from_store:
                self._last_beat_at = time.monotonic()
                self._write_entry()
            gevent.sleep(HEARTBEAT_SECONDS * random.uniform(0.9, 1.0))

    def _write_entry(self):
        entry = {
            "service": "desk",
            "address": self.listener.location,
            "zone": "a",
            "version": "1",
            "slots": 8,
            "state": "ready",
            "coldRemainingMs": 0,
            "capacity": {"cpu": 32_000, "memMb": 65_536, "gpu": 0},
            "labels": [self.kind, self.rack],
            "born": self.born,
            "sequence": 1,
        }
        if entry != self._entry:
            self._entry = entry
            self.platform.store.write("servers", self.name, entry)

    def expire_entry(self):
        """Remove the entry after three heartbeats of silence."""
        if self._entry is not None and time.monotonic() - self._last_beat_at > ENTRY_SECONDS:
            self._entry = None
            self.platform.store.remove("servers", self.name)

    def cut_from_machines(self):
        """Let no bytes pass between this worker and the system's machines."""
        self.is_cut_from_machines = True
        self.platform.record.write("worker-cut-from-machines", worker=self.name)

    # Orders.

    def _read_clock_ms(self):
        return int((time.monotonic() - self._booted_at) * 1000)

    def _respond(self, request):
        body = request.read_json()
        if self.is_cut_from_machines or not self.is_up:
            self._lose()
        if request.headers.get("x-expected-instance") != self.name:
            return Response(421)
        born = self.born
        if body.get("fencingToken", 0) < self._token:
            return self._refuse("fence")
        self._token = body.get("fencingToken", 0)
        if self._read_clock_ms() > self._lease_ms:
            for _, run in self._ends:
                run.has_lapsed = True
        response = {
            "/lavenderhook/run-start": self._start,
            "/lavenderhook/run-stop": self._stop,
            "/lavenderhook/hold": self._hold,
        }[request.path](body)
        if self.is_cut_from_machines or not self.is_up or self.born != born:
            self._lose()
        return response

    def _lose(self):
        """Leave a call without an answer; a cut is silent, and the end of a process is not."""
        if self.is_cut_from_machines:
            gevent.sleep(60)
        raise DropConnectionError

    def _refuse(self, reason):
        return reply_json(
            {"clockMs": self._read_clock_ms(), "born": self.born, "reason": reason}, 409
        )

    def _extend_lease(self, body):
        """Take `deadlineMs`, which never shortens and is cut to the longest lease."""
        if "deadlineMs" in body:
            longest = self._read_clock_ms() + self.platform.hold_max_ms
            self._lease_ms = max(self._lease_ms, min(body["deadlineMs"], longest))

    def _expire_leases(self, born):
        while self.is_up and self.born == born:
            if self.runs and self._read_clock_ms() > self._lease_ms:
                for task in list(self.runs):
                    self._end(task, "lapsed")
            gevent.sleep(0.02)

    def _start(self, body):
        task, number = body["task"], body["run"]
        if body["deadlineMs"] <= self._read_clock_ms():
            return self._refuse("late")
        if task in self.runs and self.runs[task][0].number == number:
            return reply_json({"clockMs": self._read_clock_ms(), "born": self.born})
        self._extend_lease(body)
        if number <= self._highest.get(task, 0) or task in self.runs:
            return self._refuse("old")
        step = self.platform.find_step(task)
        run = self.platform.record.begin_run(task, number, self.name, self.born)
        self.runs[task] = (run, time.monotonic() + step["estimateMs"] / 1000)
        self.platform.check_start(self, task, step)
        gevent.spawn_later(step["estimateMs"] / 1000, self._end_if_active, run, "done")
        return reply_json({"clockMs": self._read_clock_ms(), "born": self.born})

    def _stop(self, body):
        task, number = body["task"], body["run"]
        self._highest[task] = max(self._highest.get(task, 0), number)
        if task in self.runs and self.runs[task][0].number <= number:
            gevent.spawn_later(STOP_SECONDS, self._end_if_active, self.runs[task][0], "stopped")
        return reply_json({"clockMs": self._read_clock_ms(), "born": self.born})

    def _end_if_active(self, run, how):
        found = self.runs.get(run.task)
        if found is not None and found[0] is run:
            self._end(run.task, how)

    def _end(self, task, how):
        run, _ = self.runs.pop(task)
        self._highest[task] = max(self._highest.get(task, 0), run.number)
        self._last_number += 1
        self._ends.append(([self._last_number, task, run.number, how, ""], run))
        self.platform.record.end_run(run, how)
        self._signal_end()

    def _signal_end(self):
        self._ended.set()
        self._ended.clear()

    def _hold(self, body):
        self._extend_lease(body)
        self._forget_ends(body.get("lastSeen", 0))
        wait = min(body.get("waitMs", 0) / 1000, MAX_WAIT_SECONDS)
        if not self._ends and wait:
            self._ended.wait(wait)
        now = time.monotonic()
        running = []
        for task, (run, ends_at) in self.runs.items():
            share = (now - run.began_at) / (ends_at - run.began_at)
            running.append([task, run.number, "", min(99, int(100 * share)), 0])
        return reply_json(
            {
                "clockMs": self._read_clock_ms(),
                "born": self.born,
                "running": running,
                "finished": [end for end, _ in self._ends[:MAX_ENDS]],
            }
        )

    def _forget_ends(self, last_seen):
        left = []
        for end, run in self._ends:
            if end[0] > last_seen:
                left.append((end, run))
            else:
                run.is_noted = not run.has_lapsed
        self._ends = left
