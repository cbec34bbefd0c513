"""HTTP stand-ins of the platform of the queues: row store, workers with leases, advice."""

import base64
import collections
import io
import itertools
import random
import time

import gevent
import gevent.event
import msgspec

from .capacity import ProcessorLimit
from .crashes import CrashBudget
from .errors import DropConnectionError
from .web import Listener, Response, reply_json

MAX_HISTORY_ROWS = 2000  # retained by the change feed
MAX_HOLD_SECONDS = 6.0
STOP_DURATION_SECONDS = 0.3
LEASE_CHECK_SECONDS = 0.02
GANG_START_TIMEOUT_SECONDS = 3.0
MAX_PART_BACKLOG_SECONDS = 1.0  # of transactions waiting for one part
RUN_TIME_FACTOR = 1.0  # run time of a task divided by its estimate
ENTRY_TIMEOUT_SECONDS = 4.5  # the platform removes a silent worker's entry after this time


class RowStoreStandIn:
    """Row store of the platform.

    Attributes
    ----------
    mode : str
        ``up``, ``busy`` (each call fails with 503) or ``silent`` (no call is answered).
    delay_seconds : float
        Time added to each response.
    lost_answer_share : float
        Share of the transactions that are applied without a response.
    transaction_seconds : float
        Time for which a transaction occupies its part. A part with a backlog of more than a second
        rejects further transactions.
    """

    def __init__(self, seed=1):
        self.rows = {}
        self.revision = 0
        self.history = []
        self.discarded_revision = 0
        self.changed = gevent.event.Event()
        self.mode = "up"
        self.delay_seconds = 0.0
        self.lost_answer_share = 0.0
        self.transaction_seconds = 0.0
        self._part_free_at = {}
        self.random = random.Random(seed)
        self._stale_view = None  # until when reads are stale, the rows they see, and the revision
        self.listener = Listener(self.respond)

    def serve_stale_reads(self, seconds):
        """Let reads see only what is stored now, for some time."""
        self._stale_view = time.monotonic() + seconds, dict(self.rows), self.revision

    def put(self, table, key, value, part=""):
        """Write a row on behalf of the operator or a worker."""
        self.revision += 1
        self._set(table, part, key, base64.b64encode(value).decode())
        self._publish()

    def delete(self, table, key, part=""):
        """Delete a row, as the platform does after a worker has left."""
        self.revision += 1
        self._delete(table, part, key)
        self._publish()

    def truncate_history(self):
        """Discard the history of the change feed."""
        self.history.clear()
        self.discarded_revision = self.revision

    def respond(self, request):
        """Handle a request."""
        if self.mode == "busy":
            return Response(503)
        if self.mode == "silent":
            gevent.sleep(30)
            raise DropConnectionError
        if self.delay_seconds:
            gevent.sleep(self.delay_seconds)
        if request.path == "/lavenderhook/rows-tx":
            body = request.read_json()
            if not self._wait_for_part(body):
                return Response(429)
            response = self._transact(body)
            if self.random.random() < self.lost_answer_share:
                raise DropConnectionError
            return response
        if request.path == "/lavenderhook/rows-get":
            return self._read(request.query)
        if request.path == "/lavenderhook/rows-feed":
            return self._feed(request.query)
        return Response(404)

    def _wait_for_part(self, body):
        """Wait for earlier transactions of the part; return False if the backlog is too long."""
        now = time.monotonic()
        row = (body["setKeys"] + body["remove"])[0]
        free_at = max(now, self._part_free_at.get(row.get("part", ""), 0.0))
        if free_at > now + MAX_PART_BACKLOG_SECONDS:
            return False
        self._part_free_at[row.get("part", "")] = free_at + self.transaction_seconds
        gevent.sleep(free_at + self.transaction_seconds - now)
        return True

    def _transact(self, body):
        expected = body.get("expectedRevision", [])
        found = [self.rows.get((row["table"], row.get("part", ""), row["key"])) for row in expected]
        if any(
            (row["schemaVersion"] if row else 0) != wanted["schemaVersion"]
            for row, wanted in zip(found, expected, strict=True)
        ):
            return reply_json(
                {"rows": [row for row in found if row], **self._describe_revision()}, 412
            )
        self.revision += 1
        for row in body.get("setKeys", []):
            self._set(row["table"], row.get("part", ""), row["key"], row["value"])
        for row in body.get("remove", []):
            self._delete(row["table"], row.get("part", ""), row["key"])
        self._publish()
        return reply_json(self._describe_revision())

    def _set(self, table, part, key, value):
        row = {"table": table, "part": part, "key": key, "value": value}
        row["schemaVersion"] = self.revision
        self.rows[(table, part, key)] = row
        self.history.append(row)

    def _delete(self, table, part, key):
        if self.rows.pop((table, part, key), None) is not None:
            row = {"table": table, "part": part, "key": key, "deleted": True}
            self.history.append({**row, "schemaVersion": self.revision})

    def _publish(self):
        while len(self.history) > MAX_HISTORY_ROWS:
            self.discarded_revision = self.history.pop(0)["schemaVersion"]
        self.changed.set()
        self.changed.clear()

    def _read(self, query):
        seen, revision = self.rows, self.revision
        if self._stale_view is not None and time.monotonic() < self._stale_view[0]:
            _, seen, revision = self._stale_view
        rows = [
            row
            for (table, part, key), row in sorted(seen.items())
            if table == query["table"]
            and part == query.get("part", "")
            and key >= query.get("from", "")
            and ("to" not in query or key < query["to"])
        ]
        limit = int(query.get("limit", 500))
        return reply_json(
            {
                **self._describe_revision(),
                "rows": rows[:limit],
                "morePages": len(rows) > limit,
                "schemaVersion": revision,
            }
        )

    def _feed(self, query):
        after = int(query["after"])
        deadline = time.monotonic() + float(query.get("waitMs", 0)) / 1000
        while True:
            if after < self.discarded_revision:
                return Response(410)
            rows = [
                row
                for row in self.history
                if row["table"] == query["table"] and row["schemaVersion"] > after
            ]
            remaining = deadline - time.monotonic()
            if rows or remaining <= 0:
                return reply_json({"rows": rows, **self._describe_revision()})
            self.changed.wait(remaining)

    def _describe_revision(self):
        return {"schemaVersion": self.revision, "nowMs": int(time.monotonic() * 1000)}


class StoreEndpoint:
    """Endpoint of the row store for a single instance, whose faults affect only that instance.

    Attributes
    ----------
    mode : str
        ``up``, ``busy`` or ``silent``, as in `RowStoreStandIn`.
    copies : collections.Counter
        How often each revision of a row was sent, by (table, key, revision).
    """

    def __init__(self, store):
        self.mode = "up"
        self.copies = collections.Counter()
        self.listener = Listener(self._respond)
        self._store = store
        self._delayed_prefix = None
        self._delay_seconds = 0.0

    def delay_next_write(self, prefix, seconds):
        """Leave the next write of a key without an answer, and carry it out late."""
        self._delayed_prefix = prefix
        self._delay_seconds = seconds

    def has_delayed_write(self):
        """Return whether the write to be delayed has arrived."""
        return self._delayed_prefix is None

    def _respond(self, request):
        if self._is_write_to_delay(request):
            self._delayed_prefix = None
            gevent.spawn_later(self._delay_seconds, self._store.respond, request)
            raise DropConnectionError
        if self.mode == "busy":
            return Response(503)
        if self.mode == "silent":
            gevent.sleep(30)
            raise DropConnectionError
        response = self._store.respond(request)
        if request.method == "GET" and response.body:
            self.copies.update(
                (row["table"], row["key"], row["schemaVersion"])
                for row in msgspec.json.decode(response.body)["rows"]
            )
        return response

    def _is_write_to_delay(self, request):
        if self._delayed_prefix is None or request.path != "/lavenderhook/rows-tx":
            return False
        body = request.read_body()
        request.environ["wsgi.input"] = io.BytesIO(body)  # it is read again when carried out
        keys = [row["key"] for row in request.read_json()["setKeys"]]
        request.environ["wsgi.input"] = io.BytesIO(body)
        return any(key.startswith(self._delayed_prefix) for key in keys)


class QueueWorkerStandIn:
    """Queue worker that checks each start command against the invariants of the queues.

    Parameters
    ----------
    platform : QueuePlatform
    name : str
    processors : int
        In thousandths of a processor.

    Attributes
    ----------
    highest_token : int
        Highest command token received; commands with a lower one are refused.
    stale_command_count : int
        Number of commands refused because of their token.
    lease_until : float
        Expiry of the lease in milliseconds of the worker's clock.
    address : str
        Address in the worker's entry; empty for that of the listener.
    is_up : bool
        Whether its process runs.
    """

    def __init__(self, platform, name, processors=8000):
        self.platform = platform
        self.name = name
        self.full_processors = processors
        self.limit = ProcessorLimit(processors)
        self.stale_command_count = 0
        self.runs = {}
        self.run_finished = gevent.event.Event()
        self.is_answering = True
        self.address = ""
        self.born = 0
        self.begin_incarnation()
        self.listener = Listener(self.respond)

    def begin_incarnation(self):
        """Start the worker's process, which knows nothing of the one before."""
        self.born = max(self.born + 1, int(time.time() * 1000))
        self.started_at = time.monotonic()
        self.highest_token = 0
        self.lease_until = 0.0
        self.lapsed_sequences = set()  # of ends that were not acknowledged when a lease expired
        self.highest_run_numbers = {}
        self.finished_runs = []
        self.sequences = itertools.count(1)
        self.is_up = True
        gevent.spawn(self._expire_leases, self.born)

    def crash(self, down_seconds):
        """End without notice, with everything that runs, and start again later."""
        if not self.is_up:
            return
        self.is_up = False
        for task, active in self.runs.items():
            self.platform.record_event(self, task, f"run {active['run']} crashed")
        self.runs.clear()
        for _, task, _, outcome, _ in self.finished_runs:
            if outcome == "done":
                self.platform.forget_completion(task)  # no owner has acknowledged it
        self.run_finished.set()
        self.run_finished.clear()
        for handler in list(self.listener.handlers):  # connections end with the process
            handler.abort()
        gevent.spawn_later(ENTRY_TIMEOUT_SECONDS, self._remove_entry, self.born)
        gevent.spawn_later(down_seconds, self._restart)

    def _remove_entry(self, born):
        if not self.is_up and self.born == born:
            self.platform.store.delete("servers", self.name)

    def _restart(self):
        self.begin_incarnation()
        self.write_entry()

    def resize(self, processors):
        """Change the capacity while the worker runs."""
        self.limit.resize(processors, time.monotonic())
        if self.is_up:
            self.write_entry()

    def get_address(self):
        """Return the address in the worker's entry."""
        return self.address or self.listener.location

    def write_entry(self, state="ready"):
        """Write the worker's entry to the row store."""
        self.platform.write_json(
            "servers",
            self.name,
            {
                "service": "desk",
                "address": self.get_address(),
                "zone": "a",
                "state": state,
                "capacity": {"cpu": self.limit.processors, "memMb": 64_000, "gpu": 0},
                "labels": ["a", "r1-1"],
                "born": self.born,
                "sequence": 1,
            },
        )

    def read_clock_ms(self):
        """Return the time on the worker's clock in milliseconds."""
        return int((time.monotonic() - self.started_at) * 1000)

    def respond(self, request):
        """Handle a command."""
        body = request.read_json()
        born = self.born
        if not self.is_up:
            raise DropConnectionError
        if request.headers.get("x-expected-instance") != self.name:
            return Response(421)
        if body["fencingToken"] < self.highest_token:
            self.stale_command_count += 1
            return self._refuse("fence")
        self.highest_token = body["fencingToken"]
        self.expire_lease()
        response = {
            "/lavenderhook/run-start": self._start,
            "/lavenderhook/run-stop": self._stop,
            "/lavenderhook/hold": self._hold,
        }[request.path](body)
        if not self.is_answering or not self.is_up or self.born != born:
            raise DropConnectionError
        return response

    def _refuse(self, reason):
        return reply_json({"clockMs": self.read_clock_ms(), "reason": reason}, 409)

    def _extend_lease(self, body):
        if "deadlineMs" in body:
            latest = self.read_clock_ms() + MAX_HOLD_SECONDS * 1000
            self.lease_until = max(self.lease_until, min(body["deadlineMs"], latest))

    def _expire_leases(self, born):
        while self.is_up and self.born == born:
            self.expire_lease()
            gevent.sleep(LEASE_CHECK_SECONDS)

    def expire_lease(self):
        """End all runs if the lease has expired; ends that nobody has acknowledged don't count."""
        if self.read_clock_ms() <= self.lease_until:
            return
        for task in list(self.runs):
            self._finish_run(task, "lapsed")
        for sequence, task, _, outcome, _ in self.finished_runs:
            if outcome == "done" and sequence not in self.lapsed_sequences:
                self.lapsed_sequences.add(sequence)
                self.platform.forget_completion(task)

    def _start(self, body):
        task, run_number = body["task"], body["run"]
        if body["deadlineMs"] < self.read_clock_ms():
            return self._refuse("late")
        active = self.runs.get(task)
        if active is not None and active["run"] == run_number:
            return reply_json({"clockMs": self.read_clock_ms()})
        if run_number <= self.highest_run_numbers.get(task, 0) or active is not None:
            return self._refuse("old")
        step = self.platform.check_start(self, task, body)
        self._extend_lease(body)
        seconds = step.get("estimateMs", 100) / 1000 * RUN_TIME_FACTOR
        self.runs[task] = {
            "run": run_number,
            "cpu": step["cpu"],
            "started": time.monotonic(),
            "seconds": seconds,
        }
        gevent.spawn_later(
            seconds,
            self._finish_if_active,
            task,
            run_number,
            self.born,
        )
        behaviour = self.platform.find_crash(task)
        if behaviour is not None:
            if behaviour.age_seconds:
                gevent.spawn_later(
                    behaviour.age_seconds, self._crash_under, task, run_number, self.born, behaviour
                )
            else:
                self._crash_under(task, run_number, self.born, behaviour)
        return reply_json({"clockMs": self.read_clock_ms()})

    def _crash_under(self, task, run_number, born, behaviour):
        active = self.runs.get(task)
        if self.born == born and active is not None and active["run"] == run_number:
            self.platform.record_crash(task)
            self.crash(behaviour.down_seconds)

    def _finish_if_active(self, task, run_number, born, outcome="done"):
        """Finish this run if it is active; the platform may turn ``done`` into another outcome."""
        active = self.runs.get(task)
        if self.born == born and active is not None and active["run"] == run_number:
            self._finish_run(
                task, self.platform.choose_outcome(task) if outcome == "done" else outcome
            )

    def _finish_run(self, task, outcome):
        active = self.runs.pop(task)
        self.platform.record_event(self, task, f"run {active['run']} {outcome}")
        self.highest_run_numbers[task] = max(self.highest_run_numbers.get(task, 0), active["run"])
        self.finished_runs.append([next(self.sequences), task, active["run"], outcome, ""])
        if outcome == "done":
            self.platform.record_completion(task)
        self.run_finished.set()
        self.run_finished.clear()

    def _stop(self, body):
        task, run_number = body["task"], body["run"]
        self.highest_run_numbers[task] = max(self.highest_run_numbers.get(task, 0), run_number)
        if task in self.runs:
            gevent.spawn_later(
                STOP_DURATION_SECONDS,
                self._finish_if_active,
                task,
                self.runs[task]["run"],
                self.born,
                "stopped",
            )
        return reply_json({"clockMs": self.read_clock_ms()})

    def _compute_percent(self, active):
        done = (time.monotonic() - active["started"]) / active["seconds"]
        return min(100, int(100 * done))

    def _hold(self, body):
        self._extend_lease(body)
        self.finished_runs = [run for run in self.finished_runs if run[0] > body["lastSeen"]]
        if not self.finished_runs and body.get("waitMs"):
            self.run_finished.wait(body["waitMs"] / 1000)
        running = [
            [task, active["run"], "", self._compute_percent(active), 0]
            for task, active in self.runs.items()
        ]
        return reply_json(
            {
                "clockMs": self.read_clock_ms(),
                "running": running,
                "finished": self.finished_runs[:500],
                "born": self.born,
            }
        )


class QueuePlatform:
    """Row store, queue workers and advice, with the records used to check invariants.

    Attributes
    ----------
    starts : dict
        Number of starts by task.
    histories : dict
        Starts and ends by task, with times, for messages of violations.
    completed_at : dict
        Monotonic time of completion in seconds by task.
    failing_submissions : set of str
        Submissions whose runs all fail.
    crash_budget : CrashBudget
        Submissions whose tasks crash their workers.
    tenants : list or None
        Organisations of the configuration, if it has them.
    start_checks : list of callable
        Called with a task and its step at each start; each returns a violation or None.
    on_crash : callable or None
        Called with the number of workers that tasks have crashed so far.
    violations : list of str
        Invariants violated, as observed by the workers.
    """

    def __init__(self, workers=3, seed=1):
        self.store = RowStoreStandIn(seed)
        self.advice = Listener(self._advise)
        self.workers = [QueueWorkerStandIn(self, f"w{i}") for i in range(workers)]
        self.steps = {}
        self.starts = {}
        self.histories = collections.defaultdict(list)
        self.completed_at = {}
        self.failing_submissions = set()
        self.crash_budget = CrashBudget()
        self.on_crash = None
        self.tenants = None
        self.start_checks = []
        self.violations = []

    def start(self):
        """Start all listeners and write the worker entries and the configuration."""
        for listener in (self.store.listener, self.advice):
            listener.start()
        for worker in self.workers:
            if not worker.listener.started:
                worker.listener.start()
            worker.write_entry()
        self.write_configuration(1, ["/jobs/"])

    def stop(self):
        """Close all listeners."""
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
        content = {"version": version, "routes": self.make_routes(prefixes)}
        if self.tenants is not None:
            content["tenants"] = self.tenants
        self.write_json("op", "config", content)

    def make_routes(self, prefixes):
        """Return the routes of a configuration with one queue for each path prefix."""
        return [
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

    def _advise(self, request):
        workers = request.read_json()["workers"]
        gevent.sleep(0.005)
        return reply_json({"allowed": [[worker, "ticket"] for worker in workers]})

    def record_submission(self, submission, steps):
        """Record the steps of a submission before it is sent."""
        self.steps[submission] = steps

    def check_start(self, worker, task, body):
        """Check the invariants at the start of a run and return its step."""
        submission, _, step, _ = task.split(".")
        spec = self.steps[submission][int(step)]
        self.starts[task] = self.starts.get(task, 0) + 1
        for other in self.workers:
            other.expire_lease()
        self.record_event(worker, task, f"run {body['run']} starts")
        history = self.histories[task]
        used = sum(active["cpu"] for active in worker.runs.values())
        if used + spec["cpu"] > worker.limit.compute(time.monotonic()):
            self.violations.append(f"capacity of {worker.name} exceeded by {task}")
        if any(task in other.runs for other in self.workers):
            self.violations.append(f"{task} has two active runs: {history}")
        if task in self.completed_at:
            self.violations.append(f"{task} was started after its completion: {history}")
        if body.get("ticket") != "ticket":
            self.violations.append(f"{task} was started without its ticket")
        if not self.crash_budget.record_start(task):
            self.violations.append(f"{task} was started beyond its budget of crashes")
        self.violations += filter(None, [check(task, spec) for check in self.start_checks])
        return spec

    def record_event(self, worker, task, event):
        """Add an event of a run to the history of its task."""
        self.histories[task].append(f"{time.time():.3f} {worker.name} {event}")

    def find_crash(self, task):
        """Return how a task crashes its workers, or None."""
        submission, _, _, index = task.split(".")
        return self.crash_budget.find(submission, int(index))

    def record_crash(self, task):
        """Record that a task is crashing its worker."""
        self.crash_budget.crashes[task] += 1
        if self.on_crash is not None:
            self.on_crash(self.crash_budget.crashes.total())

    def choose_outcome(self, task):
        """Return the outcome of a run that is not stopped."""
        return "failed" if task.partition(".")[0] in self.failing_submissions else "done"

    def forget_completion(self, task):
        """Let a task run again whose completion was lost with its worker or its lease."""
        if self.completed_at.pop(task, None) is not None:
            self.histories[task].append(f"{time.time():.3f} completion lost")

    def record_completion(self, task):
        """Record the time at which a task completed."""
        self.completed_at[task] = time.monotonic()
