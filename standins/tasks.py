"""Task attempts on a worker."""

import time
from dataclasses import dataclass, field

from gevent.event import Event

from .errors import BadRequestError
from .web import read_float

RESOURCES = ("processors", "memory_mb", "accelerators")


def read_resources(values, argument="resources"):
    """Return the amount of every resource; omitted resources are 0.

    Raises
    ------
    BadRequestError
        If a resource is unknown or negative.
    """
    unknown = set(values) - set(RESOURCES)
    if unknown:
        raise BadRequestError(argument, f"unknown resources {sorted(unknown)}")
    found = {name: values.get(name, 0) for name in RESOURCES}
    if any(amount < 0 for amount in found.values()):
        raise BadRequestError(argument, "a resource is negative")
    return found


@dataclass
class Task:
    """Attempt of a task on a worker; ``lease_until`` is in seconds of the worker's wall clock."""

    attempt: str
    task: str
    job: str
    kind: str
    resources: dict
    lease_until: float
    command: dict
    state: str = "running"
    reason: str = ""
    exit_code: int | None = None
    progress_seconds: float = 0.0
    processor_limit: float | None = None
    changed: Event = field(default_factory=Event)
    usage_history: list = field(default_factory=list)
    upstream: object = None
    is_end_recorded: bool = False

    def __post_init__(self):
        """Read the run time, checkpoint and usage from the command."""
        self.is_service = self.command.get("service") is not None
        declared = self.command.get("run_seconds")
        self.run_seconds = self.command.get("actual_run_seconds", declared)
        if not self.is_service and self.run_seconds is None:
            raise BadRequestError("command", "run_seconds is required unless the task is a service")
        checkpoint = self.command.get("checkpoint") or {}
        self.progress_seconds = checkpoint.get("ran_seconds", 0.0)
        self.actual_usage = {**self.resources, **self.command.get("usage", {})}
        self.progressed_at = time.monotonic()
        self.record_usage()

    @property
    def progress_rate(self):
        """Return the progress per second, reduced in proportion to the processor limit."""
        needed = self.actual_usage["processors"]
        if self.processor_limit is None or needed <= self.processor_limit:
            return 1.0
        return self.processor_limit / needed

    def advance(self):
        """Update the progress and return it in seconds."""
        now = time.monotonic()
        self.progress_seconds += (now - self.progressed_at) * self.progress_rate
        self.progressed_at = now
        return self.progress_seconds

    def throttle(self, processors):
        """Limit the processors that the task may use."""
        self.advance()
        self.processor_limit = processors
        self.record_usage()
        self.changed.set()

    def renew(self, lease_until):
        """Extend the lease; a renewal that arrives late never shortens it."""
        self.lease_until = max(self.lease_until, lease_until)
        self.changed.set()

    def end(self, state, reason="", exit_code=None):
        """Set the final state; later calls have no effect."""
        if self.state != "running":
            return
        self.advance()
        self.state, self.reason, self.exit_code = state, reason, exit_code
        self.changed.set()

    def record_usage(self):
        """Append the current usage to the history that delayed reports read."""
        used = dict(self.actual_usage)
        if self.processor_limit is not None:
            used["processors"] = min(used["processors"], self.processor_limit)
        self.usage_history.append((time.monotonic(), used))

    def find_usage(self, lag_seconds):
        """Return the usage of ``lag_seconds`` ago; empty if the task had not started."""
        sampled_until = time.monotonic() - lag_seconds
        known = [used for at, used in self.usage_history if at <= sampled_until]
        return known[-1] if known else {}

    def run(self, read_clock, wait_while_frozen):
        """Run until the task completes, its lease expires or it is ended by another caller.

        Parameters
        ----------
        read_clock : callable
            Returns the worker's wall-clock time in seconds.
        wait_while_frozen : callable
            Blocks while the worker is frozen.
        """
        while self.state == "running":
            lease_seconds = self.lease_until - read_clock()
            if lease_seconds <= 0:
                self.end("stopped", "lease_expired")
                return
            remaining_seconds = float("inf")
            if not self.is_service:
                remaining_seconds = self.run_seconds - self.advance()
                if remaining_seconds <= 0:
                    wait_while_frozen(self)
                    self._complete()
                    return
            wait = min(
                lease_seconds,
                remaining_seconds / self.progress_rate if self.progress_rate > 0 else lease_seconds,
            )
            self.changed.wait(max(wait, 0.0005))
            self.changed.clear()

    def _complete(self):
        exit_code = int(self.command.get("exit_code", 0))
        self.end("failed" if exit_code else "done", "exited", exit_code)

    def describe(self, usage_lag_seconds):
        """Return the entry of the task for ``GET /v1/tasks``."""
        entry = {
            "attempt": self.attempt,
            "task": self.task,
            "job": self.job,
            "state": self.state,
            "lease_until": self.lease_until,
            "usage": self.find_usage(usage_lag_seconds),
        }
        if self.state != "running":
            entry["reason"] = self.reason
        if self.exit_code is not None:
            entry["exit_code"] = self.exit_code
        if self.upstream is not None:
            entry["address"] = self.upstream.address
        return entry


def read_task(body):
    """Parse a `Task` from a start request.

    Raises
    ------
    BadRequestError
        If a part is missing or malformed.
    """
    for name in ("task", "job"):
        if not isinstance(body.get(name), str) or not body[name]:
            raise BadRequestError(name, "is not a non-empty string")
    for name in ("resources", "command"):
        if not isinstance(body.get(name), dict):
            raise BadRequestError(name, "is not an object")
    return Task(
        attempt=body["attempt"],
        task=body["task"],
        job=body["job"],
        kind=body.get("kind", "batch"),
        resources=read_resources(body["resources"]),
        lease_until=read_float(body, "lease_until"),
        command=body["command"],
    )
