"""Stand-ins of the users' platform over HTTP: row store, workers with leases, advice."""

import base64
import itertools
import random
import time

import gevent
import gevent.event

from .errors import DropConnectionError
from .web import Listener, Response, reply_json

HISTORY_ROWS = 2000  # changes that the feed keeps
MAX_HOLD_SECONDS = 6.0
STOP_SECONDS = 0.3
GANG_SECONDS = 3.0
LONGEST_QUEUE_SECONDS = 1.0  # of transactions that wait for one part
SPEED = 1.0  # estimates are run times


class RowStoreStandIn:
    """The platform's store; `mode` is up, busy (503) or silent, by calling process or for all.

    Attributes
    ----------
    delay : float
        Seconds added to every answer.
    lose : float
        Share of the transactions that are carried out and not answered.
    transaction_seconds : float
        Time that a transaction keeps its part busy; a part where more than a second's worth
        waits rejects further ones.
    """

    def __init__(self, seed=1):
        self.rows = {}
        self.revision = 0
        self.history = []
        self.oldest = 0
        self.changed = gevent.event.Event()
        self.mode = "up"
        self.delay = 0.0
        self.lose = 0.0
        self.transaction_seconds = 0.0
        self._free_at = {}
        self.random = random.Random(seed)
        self.listener = Listener(self.respond)

    def put(self, table, key, value, part=""):
        """Write a row as the operator or a worker does."""
        self.revision += 1
        self._set(table, part, key, base64.b64encode(value).decode())
        self._publish()

    def drop(self, table, key, part=""):
        """Remove a row as the platform does when a worker has left."""
        self.revision += 1
        self._drop(table, part, key)
        self._publish()

    def forget_history(self):
        """Discard the feed's history."""
        self.history.clear()
        self.oldest = self.revision

    def respond(self, request):
        """Answer a call."""
        if self.mode == "busy":
            return Response(503)
        if self.mode == "silent":
            gevent.sleep(30)
            raise DropConnectionError
        if self.delay:
            gevent.sleep(self.delay)
        if request.path == "/lavenderhook/rows-tx":
            body = request.read_json()
            if not self._wait_for_part(body):
                return Response(429)
            response = self._transact(body)
            if self.random.random() < self.lose:
                raise DropConnectionError
            return response
        if request.path == "/lavenderhook/rows-get":
            return self._read(request.query)
        if request.path == "/lavenderhook/rows-feed":
            return self._feed(request.query)
        return Response(404)

    def _wait_for_part(self, body):
        """Wait for the transactions before this one; return False if too many wait."""
        now = time.monotonic()
        row = (body["setKeys"] + body["remove"])[0]
        free_at = max(now, self._free_at.get(row.get("part", ""), 0.0))
        if free_at > now + LONGEST_QUEUE_SECONDS:
            return False
        self._free_at[row.get("part", "")] = free_at + self.transaction_seconds
        gevent.sleep(free_at + self.transaction_seconds - now)
        return True

    def _transact(self, body):
        expected = body.get("expectedRevision", [])
        found = [self.rows.get((row["table"], row.get("part", ""), row["key"])) for row in expected]
        if any(
            (row["schemaVersion"] if row else 0) != wanted["schemaVersion"]
            for row, wanted in zip(found, expected, strict=True)
        ):
            return reply_json({"rows": [row for row in found if row], **self._stamp()}, 412)
        self.revision += 1
        for row in body.get("setKeys", []):
            self._set(row["table"], row.get("part", ""), row["key"], row["value"])
        for row in body.get("remove", []):
            self._drop(row["table"], row.get("part", ""), row["key"])
        self._publish()
        return reply_json(self._stamp())

    def _set(self, table, part, key, value):
        row = {"table": table, "part": part, "key": key, "value": value}
        row["schemaVersion"] = self.revision
        self.rows[(table, part, key)] = row
        self.history.append(row)

    def _drop(self, table, part, key):
        if self.rows.pop((table, part, key), None) is not None:
            row = {"table": table, "part": part, "key": key, "deleted": True}
            self.history.append({**row, "schemaVersion": self.revision})

    def _publish(self):
        while len(self.history) > HISTORY_ROWS:
            self.oldest = self.history.pop(0)["schemaVersion"]
        self.changed.set()
        self.changed.clear()

    def _read(self, query):
        rows = [
            row
            for (table, part, key), row in sorted(self.rows.items())
            if table == query["table"]
            and part == query.get("part", "")
            and key >= query.get("from", "")
            and ("to" not in query or key < query["to"])
        ]
        limit = int(query.get("limit", 500))
        return reply_json({"rows": rows[:limit], "morePages": len(rows) > limit, **self._stamp()})

    def _feed(self, query):
        after = int(query["after"])
        until = time.monotonic() + float(query.get("waitMs", 0)) / 1000
        while True:
            if after < self.oldest:
                return Response(410)
            rows = [
                row
                for row in self.history
                if row["table"] == query["table"] and row["schemaVersion"] > after
            ]
            remaining = until - time.monotonic()
            if rows or remaining <= 0:
                return reply_json({"rows": rows, **self._stamp()})
            self.changed.wait(remaining)

    def _stamp(self):
        return {"schemaVersion": self.revision, "nowMs": int(time.monotonic() * 1000)}


class StoreEntrance:
    """An address of the store for one instance, which can be closed to it alone.

    Attributes
    ----------
    mode : str
        up, busy or silent.
    """

    def __init__(self, store):
        self.mode = "up"
        self.listener = Listener(self._respond)
        self._store = store

    def _respond(self, request):
        if self.mode == "busy":
            return Response(503)
        if self.mode == "silent":
            gevent.sleep(30)
            raise DropConnectionError
        return self._store.respond(request)


class QueueWorkerStandIn:
    """A worker that starts what it is told and checks that it is never given too much.

    Parameters
    ----------
    platform : QueuePlatform
    name : str
    processors : int
        Thousandths of a processor.
    """

    def __init__(self, platform, name, processors=8000):
        self.platform = platform
        self.name = name
        self.processors = processors
        self.born = int(time.time() * 1000)
        self.started = time.monotonic()
        self.fencing = 0
        self.fenced = 0  # orders of owners that have been shut out
        self.lease_until = 0.0
        self.runs = {}
        self.highest = {}
        self.ends = []
        self.numbers = itertools.count(1)
        self.ended = gevent.event.Event()
        self.answers = True
        self.address = ""  # in the entry; by default the listener's
        self.listener = Listener(self.respond)

    def write_entry(self, state="ready"):
        """Write the worker's entry into the store."""
        self.platform.write_json(
            "servers",
            self.name,
            {
                "service": "desk",
                "address": self.address or self.listener.location,
                "zone": "a",
                "state": state,
                "capacity": {"cpu": self.processors, "memMb": 64_000, "gpu": 0},
                "labels": ["a", "r1-1"],
                "born": self.born,
                "sequence": 1,
            },
        )

    def clock(self):
        """Return the worker's own clock in milliseconds."""
        return int((time.monotonic() - self.started) * 1000)

    def respond(self, request):
        """Answer an order."""
        body = request.read_json()
        if request.headers.get("x-expected-instance") != self.name:
            return Response(421)
        if body["fencingToken"] < self.fencing:
            self.fenced += 1
            return self._refuse("fence")
        self.fencing = body["fencingToken"]
        self._lapse()
        answer = {
            "/lavenderhook/run-start": self._start,
            "/lavenderhook/run-stop": self._stop,
            "/lavenderhook/hold": self._hold,
        }[request.path](body)
        if not self.answers:
            raise DropConnectionError
        return answer

    def _refuse(self, reason):
        return reply_json({"clockMs": self.clock(), "reason": reason}, 409)

    def _extend(self, body):
        if "deadlineMs" in body:
            longest = self.clock() + MAX_HOLD_SECONDS * 1000
            self.lease_until = max(self.lease_until, min(body["deadlineMs"], longest))

    def _lapse(self):
        if self.runs and self.clock() > self.lease_until:
            for task in list(self.runs):
                self._end(task, "lapsed")

    def _start(self, body):
        task, number = body["task"], body["run"]
        if body["deadlineMs"] < self.clock():
            return self._refuse("late")
        held = self.runs.get(task)
        if held is not None and held["run"] == number:
            return reply_json({"clockMs": self.clock()})
        if number <= self.highest.get(task, 0) or held is not None:
            return self._refuse("old")
        step = self.platform.check_start(self, task, body)
        self._extend(body)
        self.runs[task] = {"run": number, "cpu": step["cpu"]}
        gevent.spawn_later(step.get("estimateMs", 100) / 1000 * SPEED, self._finish, task, number)
        return reply_json({"clockMs": self.clock()})

    def _finish(self, task, number, how="done"):
        held = self.runs.get(task)
        if held is not None and held["run"] == number:
            self._end(task, self.platform.choose_end(task) if how == "done" else how)

    def _end(self, task, how):
        held = self.runs.pop(task)
        self.highest[task] = max(self.highest.get(task, 0), held["run"])
        self.ends.append([next(self.numbers), task, held["run"], how, ""])
        if how == "done":
            self.platform.note_done(task)
        self.ended.set()
        self.ended.clear()

    def _stop(self, body):
        task, number = body["task"], body["run"]
        self.highest[task] = max(self.highest.get(task, 0), number)
        if task in self.runs:
            gevent.spawn_later(STOP_SECONDS, self._finish, task, self.runs[task]["run"], "stopped")
        return reply_json({"clockMs": self.clock()})

    def _hold(self, body):
        self._extend(body)
        self.ends = [end for end in self.ends if end[0] > body["lastSeen"]]
        if not self.ends and body.get("waitMs"):
            self.ended.wait(body["waitMs"] / 1000)
        running = [[task, held["run"], "", 100, 0] for task, held in self.runs.items()]
        return reply_json(
            {
                "clockMs": self.clock(),
                "running": running,
                "finished": self.ends[:500],
                "born": self.born,
            }
        )


class QueuePlatform:
    """Store, workers and advice, and the books by which rules are checked.

    Attributes
    ----------
    violations : list of str
        Rules that were broken, as the workers saw it.
    """

    def __init__(self, workers=3, seed=1):
        self.store = RowStoreStandIn(seed)
        self.advice = Listener(self._advise)
        self.workers = [QueueWorkerStandIn(self, f"w{i}") for i in range(workers)]
        self.steps = {}
        self.starts = {}
        self.done = {}
        self.failing = set()
        self.violations = []

    def start(self):
        """Listen and write the first entries and the configuration."""
        for listener in (self.store.listener, self.advice):
            listener.start()
        for worker in self.workers:
            if not worker.listener.started:
                worker.listener.start()
            worker.write_entry()
        self.write_configuration(1, ["/jobs/"])

    def stop(self):
        """End all listeners."""
        for listener in (
            self.store.listener,
            self.advice,
            *(worker.listener for worker in self.workers),
        ):
            listener.close_all()

    def write_json(self, table, key, value):
        """Write a row with a JSON value."""
        import msgspec

        self.store.put(table, key, msgspec.json.encode(value))

    def write_configuration(self, version, prefixes):
        """Write the operator's configuration."""
        routes = [
            {
                "name": f"q{index}",
                "host": "127.0.0.1",
                "pathPrefix": prefix,
                "service": "desk",
                "priority": 1,
                "maxAttempts": 2,
                "slackFactor": 2.0,
                "targetLatencyMs": 1000,
                "advice": {"decisionMs": 5.0, "periodMs": 0.1, "validityMs": 2000},
            }
            for index, prefix in enumerate(prefixes)
        ]
        self.write_json("op", "config", {"version": version, "routes": routes})

    def _advise(self, request):
        workers = request.read_json()["workers"]
        gevent.sleep(0.005)
        return reply_json({"allowed": [[worker, "ticket"] for worker in workers]})

    def note_submission(self, submission, steps):
        """Keep the steps of a submission that a caller is about to send."""
        self.steps[submission] = steps

    def check_start(self, worker, task, body):
        """Check what must hold when a run begins; return its step."""
        submission, _, step, _ = task.split(".")
        spec = self.steps[submission][int(step)]
        self.starts[task] = self.starts.get(task, 0) + 1
        used = sum(held["cpu"] for held in worker.runs.values())
        if used + spec["cpu"] > worker.processors:
            self.violations.append(f"over capacity on {worker.name}: {task}")
        if any(task in other.runs for other in self.workers):
            self.violations.append(f"two runs of {task}")
        if task in self.done:
            self.violations.append(f"start of {task} after its end")
        if body.get("ticket") != "ticket":
            self.violations.append(f"no ticket for {task}")
        return spec

    def choose_end(self, task):
        """Return how a run ends by itself."""
        return "failed" if task.partition(".")[0] in self.failing else "done"

    def note_done(self, task):
        """Keep the books of the ends."""
        self.done[task] = time.monotonic()
