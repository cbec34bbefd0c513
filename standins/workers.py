"""Workers, which run tasks under leases and serve the upstreams of service tasks."""

import time

import gevent

from .errors import BadRequestError, DropConnectionError
from .faults import FaultInjector, FaultKind, FaultSet
from .tasks import RESOURCES, read_task
from .upstreams import UPSTREAM_PREFIX, Upstream
from .web import Listener, read_float, reply_json

ACTIONS = ("start", "renew", "stop", "checkpoint", "throttle", "forget")
OPERATIONS = (*ACTIONS, "list", "upstream", "service")
FAILED_TASK_EXIT_CODE = 1
FAILED_TASK_RUN_SECONDS = 0.05  # run time of a task under the fault fail_tasks


class Worker:
    """Worker with its own listener.

    It starts tasks beyond its capacity as well, and records over-commit in the ledger.

    Parameters
    ----------
    entry : dict
        Entry of the worker in the instance list.
    ledger : Ledger
    directory : Directory
    settings : WorkerSettings
    control : callable
        Handles requests under ``/control/``.
    """

    def __init__(self, entry, ledger, directory, settings, control):
        self.entry = entry
        self.id = entry["id"]
        self.ledger = ledger
        self.directory = directory
        self.settings = settings
        self.control = control
        self.faults = FaultSet(OPERATIONS, frozenset(FaultKind), self._clear_leaving_state)
        self.fault_injector = FaultInjector(
            self.faults, lambda: reply_json({"error": "unavailable"}, 503)
        )
        self.tasks = {}
        self.refusal_reasons = {}
        self.stopped_attempts = set()
        self.is_gone = False
        self.listener = Listener(self.respond)

    def open(self):
        """Start listening and return the address."""
        self.listener.start()
        self.entry["address"] = self.listener.location
        return self.listener.location

    def close(self, reason="worker_gone"):
        """End all tasks, then close the listener and its connections."""
        self.is_gone = True
        for task in list(self.tasks.values()):
            self._end_task(task, "stopped", reason)
        self.faults.clear()
        self.listener.close_all()

    def inject(self, body):
        """Add the fault described by a control request and return its id."""
        fault = self.faults.add(body)
        if fault.kind is FaultKind.LEAVING and fault.options.get("signal") != "upstream":
            self.directory.set_state(self.id, "leaving")
        if fault.kind is FaultKind.GONE:
            # A worker may be removed from the list only after it can no longer run tasks.
            self.close()
            self.directory.remove(self.id)
        return fault.id

    def _clear_leaving_state(self, fault):
        """List the worker as live again after its `FaultKind.LEAVING` fault has ended."""
        if fault.kind is FaultKind.LEAVING and not self.is_gone:
            self.directory.set_state(self.id, "live")

    @property
    def leaving_fault(self):
        """Return the active `FaultKind.LEAVING` fault, or None."""
        return self.faults.find(FaultKind.LEAVING)

    def read_clock(self):
        """Return the wall-clock time of the worker in seconds, including its skew."""
        skew = self.faults.find(FaultKind.SKEW)
        return time.time() + (float(skew.options.get("seconds", 0)) if skew else 0.0)

    def respond(self, request):
        """Handle a request to the worker's listener."""
        if request.path.startswith("/control/"):
            return self.control(request)
        operation, run = self._find_operation(request)
        if run is None:
            return reply_json({"error": "no such path"}, 404)
        between_zones = self._is_between_zones(request.client)
        if between_zones:
            gevent.sleep(2 * self.settings.one_way_zone_delay_ms / 1000)
        response = self.fault_injector.handle_request(
            request, operation, lambda _: self._run_if_present(run)
        )
        if between_zones:
            self._count_between_zones(request, response)
        return response

    def _find_operation(self, request):
        """Return the name of the operation and a function that runs it, or (None, None)."""
        if request.path.startswith(UPSTREAM_PREFIX):
            return "upstream", lambda: self._serve_upstream(request)
        if request.path == "/v1/tasks" and request.method == "GET":
            return "list", self._list
        action = request.path.removeprefix("/v1/tasks:")
        if request.method != "POST" or action not in ACTIONS:
            return None, None
        entries = read_entries(request, action)
        run = getattr(self, action)
        return action, lambda: reply_json({"tasks": [run(entry) for entry in entries]})

    def _run_if_present(self, run):
        # The worker may have gone while a freeze delayed the request.
        if self.is_gone:
            raise DropConnectionError
        return run()

    def _is_between_zones(self, client):
        zone = self.directory.find_zone(client) if client else None
        return bool(zone) and zone != self.entry["zone"]

    def _count_between_zones(self, request, response):
        counts = self.ledger.counts
        counts["requests_between_zones"] += 1
        counts["body_bytes_between_zones"] += int(request.environ.get("CONTENT_LENGTH") or 0)
        if isinstance(response.body, bytes):
            counts["body_bytes_between_zones"] += len(response.body)

    def _serve_upstream(self, request):
        attempt, _, _ = request.path.removeprefix(UPSTREAM_PREFIX).partition("/")
        task = self.tasks.get(attempt)
        if task is None or task.upstream is None or task.state != "running":
            headers = {"lavenderhook-not-run": "1"}
            return reply_json({"error": "no such upstream"}, 503, headers)
        return task.upstream.serve(request)

    def _list(self):
        lag = self.settings.usage_lag_seconds
        return reply_json(
            {
                "worker": self.id,
                "state": "leaving" if self.leaving_fault else "live",
                "tasks": [task.describe(lag) for task in self.tasks.values()],
            }
        )

    def start(self, task):
        """Start a task; repeated starts of an attempt return its first result."""
        attempt = task.attempt
        if attempt in self.tasks:
            return self._build_start_response(self.tasks[attempt])
        if attempt in self.stopped_attempts:
            return {"attempt": attempt, "state": "stopped", "reason": "stopped_before_start"}
        if attempt not in self.refusal_reasons:
            reason = self._get_refusal_reason(task)
            if not reason:
                return self._start_task(task)
            self.refusal_reasons[attempt] = reason
            self.ledger.record_refusal(reason)
        return {"attempt": attempt, "state": "refused", "reason": self.refusal_reasons[attempt]}

    def _build_start_response(self, task):
        response = {"attempt": task.attempt, "state": task.state}
        if task.state in ("done", "failed"):
            response.update(state="running", ended=task.state, exit_code=task.exit_code)
        elif task.state == "stopped":
            response["reason"] = task.reason
        elif task.upstream is not None:
            response["address"] = task.upstream.address
        return response

    def _get_refusal_reason(self, task):
        if task.lease_until <= self.read_clock():
            return "lease_expired"
        if self.leaving_fault:
            return "leaving"
        if self.faults.find(FaultKind.FAIL_START):
            return "start_failed"
        return ""

    def _start_task(self, task):
        if self.faults.find(FaultKind.FAIL_TASKS):
            task.is_service = False
            task.run_seconds = FAILED_TASK_RUN_SECONDS
            task.command = {**task.command, "exit_code": FAILED_TASK_EXIT_CODE}
        self.tasks[task.attempt] = task
        if task.is_service:
            task.upstream = Upstream(self, task)
        self.ledger.record_start(task.attempt, task.task, task.job, self.id)
        self._check_capacity()
        gevent.spawn(self._run, task)
        return self._build_start_response(task)

    def _check_capacity(self):
        running = [task for task in self.tasks.values() if task.state == "running"]
        for name in RESOURCES:
            used = sum(task.resources[name] for task in running)
            capacity = self.entry["capacity"][name]
            # The tolerance covers rounding in sums of fractional processors.
            if used > capacity + 1e-6:
                attempts = [task.attempt for task in running if task.resources[name]]
                self.ledger.record_overcommit(self.id, name, used, capacity, attempts)

    def _run(self, task):
        task.run(self.read_clock, self._block_task_while_frozen)
        self._record_end_once(task)

    def _block_task_while_frozen(self, task):
        while task.state == "running":
            frozen = self.faults.find(FaultKind.FREEZE)
            if frozen is None:
                return
            lease_seconds = task.lease_until - self.read_clock()
            if lease_seconds <= 0:
                task.end("stopped", "lease_expired")
                return
            frozen.ended.wait(lease_seconds)

    def _end_task(self, task, state, reason):
        task.end(state, reason)
        self._record_end_once(task)

    def _record_end_once(self, task):
        """Record the end of a task, unless it is recorded already, and close its upstream."""
        if task.is_end_recorded:
            return
        task.is_end_recorded = True
        self.ledger.record_end(task.attempt, task.state, task.reason)
        if task.upstream is not None:
            task.upstream.close()

    def _find_task(self, body):
        attempt = body["attempt"]
        return attempt, self.tasks.get(attempt)

    def renew(self, body):
        """Extend the lease of a running task."""
        attempt, task = self._find_task(body)
        if task is None:
            return {"attempt": attempt, "state": "unknown"}
        if task.state == "running":
            task.renew(body["lease_until"])
        return {"attempt": attempt, "state": task.state, "lease_until": task.lease_until}

    def stop(self, body):
        """Stop a task; the stop of an unknown attempt prevents its later start."""
        attempt, task = self._find_task(body)
        self.stopped_attempts.add(attempt)
        if task is None:
            return {"attempt": attempt, "state": "stopped", "reason": "not_started"}
        self._end_task(task, "stopped", "stop_requested")
        return self._describe_result(task)

    def checkpoint(self, body):
        """Save the progress of a task and stop it, unless ``keep_running`` is given."""
        attempt, task = self._find_task(body)
        if task is None:
            return {"attempt": attempt, "state": "unknown"}
        if task.state == "running":
            task.advance()
            if not body.get("keep_running"):
                self._end_task(task, "stopped", "checkpointed")
        return {**self._describe_result(task), "checkpoint": {"ran_seconds": task.progress_seconds}}

    def throttle(self, body):
        """Limit the processors of a running task."""
        attempt, task = self._find_task(body)
        if task is None:
            return {"attempt": attempt, "state": "unknown"}
        if task.state == "running":
            task.throttle(body["processors"])
        return self._describe_result(task)

    def forget(self, body):
        """Remove a task that is not running; its attempt, known or not, cannot start later."""
        attempt, task = self._find_task(body)
        if task is not None and task.state == "running":
            return {"attempt": attempt, "state": "running", "reason": "not_ended"}
        self.tasks.pop(attempt, None)
        self.stopped_attempts.add(attempt)
        return {"attempt": attempt, "state": "forgotten"}

    def _describe_result(self, task):
        result = {"attempt": task.attempt, "state": task.state}
        if task.reason:
            result["reason"] = task.reason
        if task.exit_code is not None:
            result["exit_code"] = task.exit_code
        return result


def read_entries(request, action):
    """Validate all entries of a batch, so that a malformed batch has no effect.

    Raises
    ------
    BadRequestError
        If the batch or an entry is malformed.
    """
    entries = request.read_json().get("tasks")
    if not isinstance(entries, list) or not all(isinstance(entry, dict) for entry in entries):
        raise BadRequestError("tasks", "is not a list of objects")
    for entry in entries:
        if not isinstance(entry.get("attempt"), str) or not entry["attempt"]:
            raise BadRequestError("attempt", "is not a non-empty string")
        if action == "renew":
            read_float(entry, "lease_until")
        if action == "throttle" and read_float(entry, "processors") < 0:
            raise BadRequestError("processors", "is negative")
    return [read_task(entry) for entry in entries] if action == "start" else entries
