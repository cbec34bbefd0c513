"""Clients of the workers and of the advisory service."""

from __future__ import annotations

from collections.abc import Iterable
from typing import Any

import msgspec

from .._internal.adapters.transport import ClientResponse, HttpClient
from .._internal.core.identifiers import WorkerId
from .._internal.ports.queueing import Advisor, HoldRefusal, QueueWorkerClient
from .._internal.queueing.model import (
    CommandToken,
    FinishedRun,
    ReportedRun,
    RunNumber,
    RunOutcome,
    StartCommand,
    StartOutcome,
    StepId,
    SubmissionId,
    TaskKey,
    TicketId,
    WorkerReport,
)
from ..errors import TransportError

START_PATH = "/lavenderhook/run-start"
STOP_PATH = "/lavenderhook/run-stop"
HOLD_PATH = "/lavenderhook/hold"
ADVISE_PATH = "/lavenderhook/advise"
COMMAND_TIMEOUT_SECONDS = 0.6  # round trips take up to 20 ms
HOLD_TIMEOUT_MARGIN_SECONDS = 0.6  # beyond the time for which the worker waits
# Of a hold that is to be answered at once; a new owner waits for the last of these.
IMMEDIATE_HOLD_TIMEOUT_SECONDS = 0.35
CONNECTIONS_PER_WORKER = 6
ADVICE_CONNECTIONS = 32  # the service queues at most this many calls of one machine
EXPECTED_WORKER_HEADER = "X-Expected-Instance"  # holds the id of the worker that is called
WRONG_RECIPIENT_STATUS = 421

# `late`: the lease has expired by the worker's clock; `old`: this run or a later one of the task
# has finished or been stopped on the worker.
_START_REFUSALS = {
    "fence": StartOutcome.FENCED,
    "old": StartOutcome.SUPERSEDED,
    "late": StartOutcome.LEASE_PASSED,
    "room": StartOutcome.NO_ROOM,
    "ticket": StartOutcome.TICKET_REFUSED,
}
_RUN_OUTCOMES = {
    "done": RunOutcome.DONE,
    "failed": RunOutcome.FAILED,
    "stopped": RunOutcome.STOPPED,
    "lapsed": RunOutcome.LAPSED,
    "broken": RunOutcome.GANG_BROKEN,  # another member has ended
    "alone": RunOutcome.GANG_INCOMPLETE,  # the other members did not start
}


class _HoldResponse(msgspec.Struct, rename="camel"):
    """A worker's report.

    Parameters
    ----------
    clock_ms : int
        The worker's own clock.
    running : list
        Rows of task, run, checkpoint, speed in percent, and a load figure.
    finished : list
        Rows of sequence number, task, run, outcome and checkpoint.
    """

    clock_ms: int
    running: list[list[Any]] = []
    finished: list[list[Any]] = []
    born: int = 0


class _Refusal(msgspec.Struct):
    """Why a start was refused."""

    reason: str = ""


class _AdviceResponse(msgspec.Struct):
    """Rows of worker and ticket; workers that are not named may not run the step."""

    allowed: list[tuple[str, str]]


def format_task(task: TaskKey) -> str:
    """Return the name of a task on the wire."""
    return f"{task.submission}.{task.occurrence}.{task.step}.{task.index}"


def parse_task(name: str) -> TaskKey:
    """Return the task that has a name on the wire.

    Raises
    ------
    ValueError
    """
    submission, occurrence, step, index = name.split(".")
    return TaskKey(SubmissionId(submission), int(occurrence), int(step), int(index))


class PlatformWorkerClient(QueueWorkerClient):
    """Commands to workers over HTTP."""

    def __init__(self) -> None:
        self._client = HttpClient("worker", size=CONNECTIONS_PER_WORKER)

    def close(self) -> None:
        """Close all connections."""
        self._client.close()

    def start(self, address: str, command: StartCommand, lease_until: float) -> StartOutcome:
        """Start a run."""
        body: dict[str, Any] = {
            "task": format_task(command.task),
            "run": command.number,
            "spec": command.payload,
            "deadlineMs": int(lease_until * 1000),  # on the worker's clock
            "fencingToken": command.token,
        }
        if command.checkpoint:
            body["checkpoint"] = command.checkpoint
        if command.ticket:
            body["ticket"] = command.ticket
        try:
            response = self._call(
                address, command.worker, START_PATH, body, COMMAND_TIMEOUT_SECONDS
            )
        except TransportError as error:
            return StartOutcome.UNKNOWN if error.sent else StartOutcome.NOT_SENT
        return _classify_start(response)

    def stop(
        self,
        address: str,
        worker: WorkerId,
        task: TaskKey,
        number: RunNumber,
        token: CommandToken,
    ) -> bool | None:
        """Stop a run and prevent a later start of it."""
        body = {"task": format_task(task), "run": number, "fencingToken": token}
        try:
            response = self._call(address, worker, STOP_PATH, body, COMMAND_TIMEOUT_SECONDS)
        except TransportError:
            return None
        if response.status == 409:
            return False
        return True if response.status == 200 else None

    def hold(
        self,
        address: str,
        worker: WorkerId,
        token: CommandToken,
        acknowledged_sequence: int,
        lease_until: float | None,
        wait_seconds: float,
    ) -> WorkerReport | HoldRefusal:
        """Renew the worker's leases and return its report."""
        body: dict[str, Any] = {"fencingToken": token, "lastSeen": acknowledged_sequence}
        if lease_until is not None:
            body["deadlineMs"] = int(lease_until * 1000)
        if wait_seconds:
            body["waitMs"] = int(wait_seconds * 1000)
        try:
            timeout = (
                wait_seconds + HOLD_TIMEOUT_MARGIN_SECONDS
                if wait_seconds
                else IMMEDIATE_HOLD_TIMEOUT_SECONDS
            )
            response = self._call(address, worker, HOLD_PATH, body, timeout)
        except TransportError:
            return HoldRefusal()
        if response.status != 200:
            return HoldRefusal(
                is_fenced=response.status == 409,
                is_wrong_recipient=response.status == WRONG_RECIPIENT_STATUS,
            )
        return decode_report(response.body)

    def _call(
        self, address: str, worker: WorkerId, path: str, body: dict[str, Any], timeout: float
    ) -> ClientResponse:
        headers = (("Content-Type", "application/json"), (EXPECTED_WORKER_HEADER, worker))
        data = msgspec.json.encode(body)
        return self._client.call(address, "POST", path, data, headers, timeout)


def _classify_start(response: ClientResponse) -> StartOutcome:
    match response.status:
        case 200:
            return StartOutcome.STARTED
        case 409:
            refusal = msgspec.json.decode(response.body, type=_Refusal)
            return _START_REFUSALS.get(refusal.reason, StartOutcome.REFUSED)
        case 421:
            return StartOutcome.OTHER_INCARNATION
        case 429 | 503:
            return StartOutcome.REFUSED
        case 400:
            return StartOutcome.INVALID
        case _:
            return StartOutcome.UNKNOWN


def decode_report(body: bytes) -> WorkerReport:
    """Decode a worker's report."""
    response = msgspec.json.decode(body, type=_HoldResponse)
    return WorkerReport(
        clock=response.clock_ms / 1000,
        born=response.born,
        running=tuple(
            ReportedRun(parse_task(row[0]), RunNumber(row[1]), row[2]) for row in response.running
        ),
        finished=tuple(
            FinishedRun(
                row[0],
                parse_task(row[1]),
                RunNumber(row[2]),
                _RUN_OUTCOMES[row[3]],
                row[4] if len(row) > 4 else "",
            )
            for row in response.finished
        ),
    )


class PlatformAdvisor(Advisor):
    """Client of the advisory service.

    Parameters
    ----------
    address : str
        ``ip:port``; empty if there is no advisory service.
    log_event : callable
        Takes the name of a log event and its fields.
    """

    def __init__(self, address: str, log_event: Any) -> None:
        self.address = address
        self._log_event = log_event
        self._client = HttpClient("advice", size=ADVICE_CONNECTIONS)

    def request_advice(
        self, step: StepId, workers: Iterable[WorkerId], timeout_seconds: float
    ) -> dict[WorkerId, TicketId] | None:
        """Return the allowed workers with their tickets, or None if the call failed."""
        name = f"{step.submission}.{step.occurrence}.{step.step}"
        body = msgspec.json.encode({"step": name, "workers": list(workers)})
        headers = (("Content-Type", "application/json"),)
        try:
            response = self._client.call(
                self.address, "POST", ADVISE_PATH, body, headers, timeout_seconds
            )
        except TransportError as error:
            self._log_event("advice-failed", step=name, message=str(error))
            return None
        if response.status != 200:
            self._log_event("advice-refused", step=name, status=response.status)
            return None
        allowed = msgspec.json.decode(response.body, type=_AdviceResponse).allowed
        return {WorkerId(worker): TicketId(ticket) for worker, ticket in allowed}
