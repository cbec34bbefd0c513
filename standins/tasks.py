"""Execution of one task on a worker."""

import time
from dataclasses import dataclass, field

from gevent.event import Event

from .errors import BadRequestError
from .web import read_float

RESOURCES = ("processors", "memory_mb", "accelerators")


def read_resources(values, argument="resources"):
    """Return a dictionary with every resource; what is left out is 0.

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
    """One attempt of a task on a worker; times are wall-clock seconds of the worker."""

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
    throttled_to: float | None = None
    changed: Event = field(default_factory=Event)
    usage_history: list = field(default_factory=list)
    upstream: object = None
    settled: bool = False

    def __post_init__(self):
        """Read the declared and actual run time from the command."""
        self.is_service = self.command.get("service") is not None
        declared = self.command.get("run_seconds")
        self.run_seconds = self.command.get("actual_run_seconds", declared)
        if not self.is_service and self.run_seconds is None:
            raise BadRequestError("command", "a task that is no service needs run_seconds")
        checkpoint = self.command.get("checkpoint") or {}
        self.progress_seconds = checkpoint.get("ran_seconds", 0.0)
        self.actual_usage = {**self.resources, **self.command.get("usage", {})}
        self.progressed_at = time.monotonic()
        self.note_usage()

    @property
    def rate(self):
        """Return progress per second; a throttled task is slower in proportion."""
        needed = self.actual_usage["processors"]
        if self.throttled_to is None or needed <= self.throttled_to:
            return 1.0
        return self.throttled_to / needed

    def advance(self):
        """Bring the progress up to now and return it, in seconds."""
        now = time.monotonic()
        self.progress_seconds += (now - self.progressed_at) * self.rate
        self.progressed_at = now
        return self.progress_seconds

    def throttle(self, processors):
        """Limit the processors that the task may use."""
        self.advance()
        self.throttled_to = processors
        self.note_usage()
        self.changed.set()

    def renew(self, lease_until):
        """Extend the lease; a renewal that arrives out of order never shortens it."""
        self.lease_until = max(self.lease_until, lease_until)
        self.changed.set()

    def end(self, state, reason="", exit_code=None):
        """Set the final state; later calls change nothing."""
        if self.state != "running":
            return
        self.advance()
        self.state, self.reason, self.exit_code = state, reason, exit_code
        self.changed.set()

    def note_usage(self):
        """Append the present usage to the history that lagging reports read."""
        used = dict(self.actual_usage)
        if self.throttled_to is not None:
            used["processors"] = min(used["processors"], self.throttled_to)
        self.usage_history.append((time.monotonic(), used))

    def find_usage(self, lag_seconds):
        """Return the usage as it was ``lag_seconds`` ago; empty if the task had not begun."""
        horizon = time.monotonic() - lag_seconds
        known = [used for at, used in self.usage_history if at <= horizon]
        return known[-1] if known else {}

    def run(self, read_clock, wait_for_thaw):
        """Run until the work is done, the lease passes or another caller ends the task.

        Parameters
        ----------
        read_clock : callable
            Returns the worker's wall-clock time in seconds.
        wait_for_thaw : callable
            Blocks while the worker is frozen.
        """
        while self.state == "running":
            left = self.lease_until - read_clock()
            if left <= 0:
                self.end("stopped", "lease_expired")
                return
            to_do = float("inf")
            if not self.is_service:
                to_do = self.run_seconds - self.advance()
                if to_do <= 0:
                    wait_for_thaw(self)
                    self._complete()
                    return
            wait = min(left, to_do / self.rate if self.rate > 0 else left)
            self.changed.wait(max(wait, 0.0005))
            self.changed.clear()

    def _complete(self):
        code = int(self.command.get("exit_code", 0))
        self.end("failed" if code else "done", "exited", code)

    def describe(self, usage_lag_seconds):
        """Return the entry of ``GET /v1/tasks``."""
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
    """Return the `Task` that a start request describes.

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
