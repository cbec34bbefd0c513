"""Workers: they run tasks under leases and serve the upstreams of service tasks."""

import time

import gevent

from .errors import BadRequestError, DropConnectionError
from .faults import FaultKind, FaultSet, Gate
from .tasks import RESOURCES, read_resources, read_task
from .upstreams import PREFIX, Upstream
from .web import Listener, reply_json

FAILED_START_EXIT_CODE = 1
FAILED_TASK_SECONDS = 0.05  # a task on a worker that fails everything runs this long


class Worker:
    """One worker with its own listener.

    It starts whatever it is given and records over-commit in the ledger.

    Parameters
    ----------
    entry : dict
        Entry of the worker in the instance list.
    ledger : Ledger
    directory : Directory
    settings : WorkerSettings
    control : callable
        Answers requests under ``/control/``.
    """

    def __init__(self, entry, ledger, directory, settings, control):
        self.entry = entry
        self.id = entry["id"]
        self.ledger = ledger
        self.directory = directory
        self.settings = settings
        self.control = control
        self.faults = FaultSet()
        self.gate = Gate(self.faults, lambda: reply_json({"error": "unavailable"}, 503))
        self.tasks = {}
        self.refused = {}
        self.stopped = set()
        self.is_gone = False
        self.listener = Listener(self.respond)
        self.actions = {
            "start": self.start,
            "renew": self.renew,
            "stop": self.stop,
            "checkpoint": self.checkpoint,
            "throttle": self.throttle,
            "forget": self.forget,
        }

    def open(self):
        """Start listening and return the address."""
        self.listener.start()
        self.entry["address"] = self.listener.location
        return self.listener.location

    def close(self, reason="worker_gone"):
        """End every task, then close the listener and its connections."""
        self.is_gone = True
        for task in list(self.tasks.values()):
            self._end(task, "stopped", reason)
        self.faults.clear()
        self.listener.close_all()

    @property
    def leaving(self):
        """Return the active `FaultKind.LEAVING` fault, or None."""
        return self.faults.find(FaultKind.LEAVING)

    def read_clock(self):
        """Return the wall-clock time of this worker in seconds."""
        skew = self.faults.find(FaultKind.SKEW)
        return time.time() + (float(skew.options.get("seconds", 0)) if skew else 0.0)

    def respond(self, request):
        """Answer one request to this worker's listener."""
        if request.path.startswith("/control/"):
            return self.control(request)
        if self.is_gone:
            raise DropConnectionError
        self._delay_between_zones(request.client)
        if request.path.startswith(PREFIX):
            return self.gate.pass_request(request, "upstream", self._serve_upstream)
        if request.path == "/v1/tasks" and request.method == "GET":
            return self.gate.pass_request(request, "list", self._list)
        action = request.path.removeprefix("/v1/tasks:")
        if request.method != "POST" or action not in self.actions:
            return reply_json({"error": "no such path"}, 404)
        body = request.read_json()
        entries = body.get("tasks")
        if not isinstance(entries, list):
            raise BadRequestError("tasks", "is not a list")
        run = self.actions[action]
        return self.gate.pass_request(
            request, action, lambda _: reply_json({"tasks": [run(entry) for entry in entries]})
        )

    def _delay_between_zones(self, client):
        delay = self.settings.one_way_zone_delay_ms
        if not delay or not client:
            return
        zone = self.directory.find_zone(client)
        if zone and zone != self.entry["zone"]:
            self.ledger.counts["requests_between_zones"] += 1
            gevent.sleep(2 * delay / 1000)

    def _serve_upstream(self, request):
        attempt, _, _ = request.path.removeprefix(PREFIX).partition("/")
        task = self.tasks.get(attempt)
        if task is None or task.upstream is None or task.state != "running":
            headers = {"lavenderhook-not-run": "1"}
            return reply_json({"error": "no such upstream"}, 503, headers)
        return task.upstream.serve(request)

    def _list(self, request):
        lag = self.settings.usage_lag_seconds
        return reply_json(
            {
                "worker": self.id,
                "state": "leaving" if self.leaving else "live",
                "tasks": [task.describe(lag) for task in self.tasks.values()],
            }
        )

    def start(self, body):
        """Start a task; the first answer for an attempt id stands."""
        task = read_task(body)
        attempt = task.attempt
        if attempt in self.tasks:
            return self._answer_start(self.tasks[attempt])
        if attempt in self.stopped:
            return {"attempt": attempt, "state": "stopped", "reason": "stopped_before_start"}
        if attempt not in self.refused:
            reason = self._find_refusal(task)
            if not reason:
                return self._launch(task)
            self.refused[attempt] = reason
            self.ledger.record_refusal(reason)
        return {"attempt": attempt, "state": "refused", "reason": self.refused[attempt]}

    def _answer_start(self, task):
        answer = {"attempt": task.attempt, "state": task.state}
        if task.state in ("done", "failed"):
            answer.update(state="running", ended=task.state, exit_code=task.exit_code)
        elif task.state == "stopped":
            answer["reason"] = task.reason
        elif task.upstream is not None:
            answer["address"] = task.upstream.address
        return answer

    def _find_refusal(self, task):
        if task.lease_until <= self.read_clock():
            return "lease_expired"
        if self.leaving:
            return "leaving"
        if self.faults.find(FaultKind.FAIL_START):
            return "start_failed"
        return ""

    def _launch(self, task):
        if self.faults.find(FaultKind.FAIL_TASKS):
            task.is_service = False
            task.run_seconds = FAILED_TASK_SECONDS
            task.command = {**task.command, "exit_code": FAILED_START_EXIT_CODE}
        self.tasks[task.attempt] = task
        if task.is_service:
            task.upstream = Upstream(self, task)
        self.ledger.record_start(task.attempt, task.task, task.job, self.id)
        self._check_capacity()
        gevent.spawn(self._run, task)
        return self._answer_start(task)

    def _check_capacity(self):
        running = [task for task in self.tasks.values() if task.state == "running"]
        for name in RESOURCES:
            used = sum(task.resources[name] for task in running)
            capacity = self.entry["capacity"][name]
            # The tolerance is for sums of fractional processors.
            if used > capacity + 1e-6:
                attempts = [task.attempt for task in running if task.resources[name]]
                self.ledger.record_overcommit(self.id, name, used, capacity, attempts)

    def _run(self, task):
        task.run(self.read_clock, self._hold_while_frozen)
        self._settle(task)

    def _hold_while_frozen(self, task):
        while task.state == "running":
            frozen = self.faults.find(FaultKind.FREEZE)
            if frozen is None:
                return
            left = task.lease_until - self.read_clock()
            if left <= 0:
                task.end("stopped", "lease_expired")
                return
            frozen.ended.wait(left)

    def _end(self, task, state, reason):
        task.end(state, reason)
        self._settle(task)

    def _settle(self, task):
        """Record the end of a task once, and cut off its upstream."""
        if task.settled:
            return
        task.settled = True
        self.ledger.record_end(task.attempt, task.state, task.reason)
        if task.upstream is not None:
            task.upstream.close()

    def _find(self, body):
        attempt = body.get("attempt")
        if not attempt:
            raise BadRequestError("attempt", "is missing")
        return attempt, self.tasks.get(attempt)

    def renew(self, body):
        """Extend the lease of a running task."""
        attempt, task = self._find(body)
        if "lease_until" not in body:
            raise BadRequestError("lease_until", "is missing")
        if task is None:
            return {"attempt": attempt, "state": "unknown"}
        if task.state == "running":
            task.renew(float(body["lease_until"]))
        return {"attempt": attempt, "state": task.state, "lease_until": task.lease_until}

    def stop(self, body):
        """Stop a task; the stop of an unknown attempt id is remembered."""
        attempt, task = self._find(body)
        self.stopped.add(attempt)
        if task is None:
            return {"attempt": attempt, "state": "stopped", "reason": "not_started"}
        self._end(task, "stopped", "stop_requested")
        return self._report(task)

    def checkpoint(self, body):
        """Save the progress of a task and stop it, unless ``keep_running`` is given."""
        attempt, task = self._find(body)
        if task is None:
            return {"attempt": attempt, "state": "unknown"}
        if task.state == "running":
            task.advance()
            if not body.get("keep_running"):
                self._end(task, "stopped", "checkpointed")
        return {**self._report(task), "checkpoint": {"ran_seconds": task.progress_seconds}}

    def throttle(self, body):
        """Limit the processors of a running task."""
        attempt, task = self._find(body)
        if task is None:
            return {"attempt": attempt, "state": "unknown"}
        limit = read_resources({"processors": body.get("processors", 0)})["processors"]
        if task.state == "running":
            task.throttle(limit)
        return self._report(task)

    def forget(self, body):
        """Drop an ended task from the list; its attempt id cannot start again."""
        attempt, task = self._find(body)
        if task is not None and task.state == "running":
            return {"attempt": attempt, "state": "running", "reason": "not_ended"}
        self.tasks.pop(attempt, None)
        self.stopped.add(attempt)
        return {"attempt": attempt, "state": "forgotten"}

    def _report(self, task):
        report = {"attempt": task.attempt, "state": task.state}
        if task.reason:
            report["reason"] = task.reason
        if task.exit_code is not None:
            report["exit_code"] = task.exit_code
        return report
