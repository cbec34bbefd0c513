"""Client of the workers and the executor of the effects on them."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from typing import Any

import msgspec

from ...errors import LavenderhookError
from ..core.effects import (
    ForgetTasks,
    PollWorker,
    RenewLeases,
    StartTasks,
    StopTasks,
    TaskStart,
    ThrottleTasks,
)
from ..core.events import AttemptsReported, Event, LeasesRenewed, WorkerUnreachable
from ..core.identifiers import AttemptId, WorkerId
from ..core.records import AttemptReport
from ..core.resources import Resources
from ..decoding import Amount, Number, decode_json, reject_malformed
from ..ports.platform import WorkerClient
from ..ports.time import Clock
from .directory import MILLICORES
from .table import JSON_HEADERS, require_success
from .transport import HttpClient


class _Usage(msgspec.Struct):
    processors: Amount = 0.0
    memory_mb: Amount = 0.0
    accelerators: Number = 0


class _Entry(msgspec.Struct):
    attempt: str
    state: str
    address: str = ""
    exit_code: int | None = None
    reason: str = ""
    usage: _Usage | None = None


class _Entries(msgspec.Struct):
    tasks: list[_Entry]


def _build_report(entry: _Entry) -> AttemptReport:
    used = None
    if entry.usage is not None:
        used = Resources(
            processors=int(entry.usage.processors * MILLICORES),
            memory_mb=int(entry.usage.memory_mb),
            accelerators=entry.usage.accelerators,
        )
    return AttemptReport(
        attempt_id=AttemptId(entry.attempt),
        state=entry.state,
        address=entry.address,
        exit_code=entry.exit_code,
        reason=entry.reason.replace("_", "-"),  # workers spell reasons either way
        used=used,
    )


def _encode_start(start: TaskStart) -> dict[str, Any]:
    return {
        "attempt": start.attempt_id,
        "task": start.task_id,
        "job": start.job_id,
        "kind": start.kind,
        "resources": {
            "processors": start.resources.processors / MILLICORES,
            "memory_mb": start.resources.memory_mb,
            "accelerators": start.resources.accelerators,
        },
        "lease_until": start.lease_until,
        "command": start.command,
    }


class HttpWorkerClient(WorkerClient):
    """Calls to workers over HTTP."""

    def __init__(self, client: HttpClient) -> None:
        self._client = client

    def start(self, address: str, starts: Sequence[TaskStart]) -> list[AttemptReport]:
        """Start attempts; idempotent by attempt id."""
        return self._post(address, "start", [_encode_start(start) for start in starts])

    def renew(
        self, address: str, attempts: Sequence[AttemptId], lease_until: float
    ) -> tuple[list[AttemptId], list[AttemptId]]:
        """Extend leases; return the attempts that were renewed and those that are not running."""
        tasks = [{"attempt": attempt, "lease_until": lease_until} for attempt in attempts]
        reports = self._post(address, "renew", tasks)
        renewed = [r.attempt_id for r in reports if r.state == "running"]
        not_running = [r.attempt_id for r in reports if r.state != "running"]
        return renewed, not_running

    def stop(
        self, address: str, attempts: Sequence[AttemptId], *, checkpoint: bool
    ) -> list[AttemptReport]:
        """Stop attempts; the worker refuses a later start of each."""
        tasks = [{"attempt": attempt} for attempt in attempts]
        if checkpoint:
            self._post(address, "checkpoint", tasks)
        # The stop follows whatever the checkpoint reports: only a stop makes the worker refuse a
        # late start.
        return self._post(address, "stop", tasks)

    def throttle(
        self, address: str, attempts: Sequence[AttemptId], processors: Sequence[int]
    ) -> None:
        """Limit attempts to the thousandths of a processor given in the same order."""
        tasks = [
            {"attempt": attempt, "processors": amount / MILLICORES}
            for attempt, amount in zip(attempts, processors, strict=False)
        ]
        if tasks:
            self._post(address, "throttle", tasks)

    def forget(self, address: str, attempts: Sequence[AttemptId]) -> None:
        """Acknowledge ended attempts."""
        self._post(address, "forget", [{"attempt": attempt} for attempt in attempts])

    def list_attempts(self, address: str) -> list[AttemptReport]:
        """Return every attempt that the worker knows."""
        response = self._client.call(address, "GET", "/v1/tasks")
        require_success(response)
        return _decode(response.body)

    def _post(self, address: str, action: str, tasks: list[dict[str, Any]]) -> list[AttemptReport]:
        body = msgspec.json.encode({"tasks": tasks})
        response = self._client.call(address, "POST", f"/v1/tasks:{action}", body, JSON_HEADERS)
        require_success(response)
        return _decode(response.body)


def _decode(body: bytes) -> list[AttemptReport]:
    entries = decode_json(body, _Entries).tasks
    with reject_malformed("response of a worker"):
        return [_build_report(entry) for entry in entries]


class WorkerEffects:
    """Executor of the effects on workers.

    Parameters
    ----------
    client : WorkerClient
    clock : Clock
    emit : callable
        Receives the resulting events.
    """

    def __init__(self, client: WorkerClient, clock: Clock, emit: Callable[[Event], None]) -> None:
        self._client = client
        self._clock = clock
        self._emit = emit
        self._polls_in_progress: set[WorkerId] = set()

    def start(self, effect: StartTasks) -> None:
        """Start attempts and report the worker's response."""
        attempts = tuple(start.attempt_id for start in effect.starts)
        self._call_and_report(
            effect.worker_id,
            attempts,
            "start",
            lambda: self._client.start(effect.address, effect.starts),
        )

    def stop(self, effect: StopTasks) -> None:
        """Stop attempts and report the worker's response."""
        self._call_and_report(
            effect.worker_id,
            effect.attempts,
            "stop",
            lambda: self._client.stop(
                effect.address, effect.attempts, checkpoint=effect.checkpoint
            ),
        )

    def renew(self, effect: RenewLeases) -> None:
        """Extend leases and report which were renewed."""
        try:
            renewed, not_running = self._client.renew(
                effect.address, effect.attempts, effect.lease_until
            )
        except LavenderhookError:
            self._report_unreachable(effect.worker_id, effect.attempts, "renew")
            return
        event = LeasesRenewed(
            now=self._clock.read(),
            worker_id=effect.worker_id,
            attempts=tuple(renewed),
            unknown=tuple(not_running),
        )
        self._emit(event)

    def throttle(self, effect: ThrottleTasks) -> None:
        """Limit attempts to their declared processors."""
        try:
            self._client.throttle(effect.address, effect.attempts, effect.processors)
        except LavenderhookError:
            self._report_unreachable(effect.worker_id, effect.attempts, "throttle")

    def forget(self, effect: ForgetTasks) -> None:
        """Acknowledge ended attempts; a lost call is repeated after the next poll."""
        try:
            self._client.forget(effect.address, effect.attempts)
        except LavenderhookError:
            self._report_unreachable(effect.worker_id, effect.attempts, "forget")

    def poll(self, effect: PollWorker) -> None:
        """Read the attempts that a worker knows, unless a poll of it is in progress."""
        if effect.worker_id in self._polls_in_progress:
            return
        self._polls_in_progress.add(effect.worker_id)
        try:
            self._call_and_report(
                effect.worker_id, (), "poll", lambda: self._client.list_attempts(effect.address)
            )
        finally:
            self._polls_in_progress.discard(effect.worker_id)

    def _call_and_report(
        self,
        worker_id: WorkerId,
        attempts: tuple[AttemptId, ...],
        operation: str,
        call: Callable[[], list[AttemptReport]],
    ) -> None:
        requested_at = self._clock.read()
        try:
            reports = call()
        except LavenderhookError:
            self._report_unreachable(worker_id, attempts, operation)
            return
        event = AttemptsReported(
            now=self._clock.read(),
            worker_id=worker_id,
            reports=tuple(reports),
            complete=operation == "poll",  # only a poll returns every attempt
            requested_at=requested_at,
        )
        self._emit(event)

    def _report_unreachable(
        self, worker_id: WorkerId, attempts: tuple[AttemptId, ...], operation: str
    ) -> None:
        event = WorkerUnreachable(
            now=self._clock.read(), worker_id=worker_id, attempts=attempts, operation=operation
        )
        self._emit(event)
