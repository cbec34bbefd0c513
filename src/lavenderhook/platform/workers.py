"""Clients of the workers and of the advisory service."""

from __future__ import annotations

import time
from collections.abc import Callable, Iterable
from typing import Any

import msgspec

from .._internal.adapters.transport import ClientResponse, Connection, HttpClient
from .._internal.core.identifiers import WorkerId
from .._internal.decoding import MAX_NUMBER, Amount, Number, decode_json, reject_malformed
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
from ..errors import ProtocolError, TransportError

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
MAX_LISTED_FINISHED_RUNS = 500  # a worker lists the others once these are acknowledged

# `late`: the lease has expired by the worker's clock; `old`: this run or a later one of the task
# has finished or been stopped on the worker.
_START_REFUSALS = {
    "fence": StartOutcome.FENCED,
    "old": StartOutcome.SUPERSEDED,
    "late": StartOutcome.LEASE_PASSED,
    "room": StartOutcome.NO_ROOM,
    "ticket": StartOutcome.TICKET_REFUSED,
}
# What a worker that doesn't say who it is answers instead; a start was not sent to it.
_IDENTITY_REFUSALS = {
    409: StartOutcome.FENCED,
    WRONG_RECIPIENT_STATUS: StartOutcome.OTHER_INCARNATION,
}
_RUN_OUTCOMES = {
    "done": RunOutcome.DONE,
    "failed": RunOutcome.FAILED,
    "stopped": RunOutcome.STOPPED,
    "lapsed": RunOutcome.LAPSED,
    "broken": RunOutcome.GANG_BROKEN,  # another member has ended
    "alone": RunOutcome.GANG_INCOMPLETE,  # the other members did not start
}

LogEvent = Callable[..., None]


class _HoldResponse(msgspec.Struct, rename="camel"):
    """A worker's report.

    Parameters
    ----------
    clock_ms : int
        The worker's own clock.
    running : list
        Rows of task, run, checkpoint, progress in percent, and a load figure.
    finished : list
        Rows of sequence number, task, run, outcome and checkpoint.
    """

    clock_ms: Number
    running: list[list[Any]] = []
    finished: list[list[Any]] = []
    born: Number = 0


_RUNNING_ROW = tuple[str, Number, str, Amount]  # without the load figure
_FINISHED_ROW = tuple[Number, str, Number, str, str]


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
    submission, *numbers = name.split(".")
    occurrence, step, index = map(_parse_number, numbers)
    return TaskKey(SubmissionId(submission), occurrence, step, index)


def _parse_number(text: str) -> int:
    number = int(text)
    if not 0 <= number <= MAX_NUMBER:
        raise ValueError(f"{text[:100]!r} is not from 0 to {MAX_NUMBER}")
    return number


class PlatformWorkerClient(QueueWorkerClient):
    """Commands to workers over HTTP.

    Parameters
    ----------
    log_event : callable
        Takes the name of a log event and its fields.
    """

    def __init__(self, log_event: LogEvent) -> None:
        self._log_event = log_event
        self._client = HttpClient("worker", size=CONNECTIONS_PER_WORKER)

    def close(self) -> None:
        """Close all connections."""
        self._client.close()

    def start(self, address: str, command: StartCommand, lease_until: float) -> StartOutcome:
        """Start a run, unless another incarnation than the one meant may get the command."""
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
        deadline = time.monotonic() + COMMAND_TIMEOUT_SECONDS
        try:
            with self._client.reserve(address, deadline) as connection:
                if connection.recipient != command.born:
                    refusal = self._identify(connection, address, command, deadline)
                    if refusal is not None:
                        return refusal
                response = self._exchange(
                    connection, address, command.worker, START_PATH, body, deadline
                )
        except TransportError as error:
            return StartOutcome.UNKNOWN if error.sent else StartOutcome.NOT_SENT
        try:
            return _classify_start(response)
        except ProtocolError as error:
            self._log_event("start-answer-unreadable", worker=command.worker, message=str(error))
            return StartOutcome.UNKNOWN

    def _identify(
        self, connection: Connection, address: str, command: StartCommand, deadline: float
    ) -> StartOutcome | None:
        """Ask who is at the other end; return why a start must not be sent there, or None."""
        body = {"fencingToken": command.token, "lastSeen": 0}
        try:
            response = self._exchange(
                connection, address, command.worker, HOLD_PATH, body, deadline
            )
            if response.status != 200:
                return _IDENTITY_REFUSALS.get(response.status, StartOutcome.NOT_SENT)
            connection.recipient = decode_report(response.body).born
        except TransportError as error:
            message = str(error)
            self._log_event("worker-not-identified", worker=command.worker, message=message)
            return StartOutcome.NOT_SENT
        except ProtocolError as error:
            self._log_event("report-unreadable", worker=command.worker, message=str(error))
            return StartOutcome.NOT_SENT
        if connection.recipient == command.born:
            return None
        self._log_event(
            "start-for-other-incarnation",
            worker=command.worker,
            task=format_task(command.task),
            run=command.number,
            born=command.born,
            found_born=connection.recipient,
        )
        return StartOutcome.NOT_SENT

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
            response = self._client.call(
                address,
                "POST",
                STOP_PATH,
                msgspec.json.encode(body),
                _make_headers(worker),
                COMMAND_TIMEOUT_SECONDS,
            )
        except TransportError:
            return None
        if response.status == 409:
            return False
        return True if response.status == 200 else None

    def hold(
        self,
        address: str,
        worker: WorkerId,
        born: int,
        token: CommandToken,
        acknowledged_sequence: int,
        lease_until: float | None,
        wait_seconds: float,
    ) -> WorkerReport | HoldRefusal:
        """Renew the worker's leases and return its report."""
        timeout = (
            wait_seconds + HOLD_TIMEOUT_MARGIN_SECONDS
            if wait_seconds
            else IMMEDIATE_HOLD_TIMEOUT_SECONDS
        )
        deadline = time.monotonic() + timeout
        body: dict[str, Any] = {"fencingToken": token, "lastSeen": 0}
        try:
            with self._client.reserve(address, deadline) as connection:
                if connection.recipient == born:
                    body["lastSeen"] = acknowledged_sequence
                    if lease_until is not None:
                        body["deadlineMs"] = int(lease_until * 1000)
                    if wait_seconds:
                        body["waitMs"] = int(wait_seconds * 1000)
                response = self._exchange(connection, address, worker, HOLD_PATH, body, deadline)
                if response.status != 200:
                    return HoldRefusal(
                        is_fenced=response.status == 409,
                        is_wrong_recipient=response.status == WRONG_RECIPIENT_STATUS,
                    )
                report = decode_report(response.body)
                connection.recipient = report.born
                return report
        except TransportError:
            return HoldRefusal()
        except ProtocolError as error:
            self._log_event("report-unreadable", worker=worker, message=str(error))
            return HoldRefusal()

    def _exchange(
        self,
        connection: Connection,
        address: str,
        worker: WorkerId,
        path: str,
        body: dict[str, Any],
        deadline: float,
    ) -> ClientResponse:
        data = msgspec.json.encode(body)
        headers = _make_headers(worker)
        return self._client.exchange(connection, address, "POST", path, data, headers, deadline)


def _make_headers(worker: WorkerId) -> tuple[tuple[str, str], ...]:
    return (("Content-Type", "application/json"), (EXPECTED_WORKER_HEADER, worker))


def _classify_start(response: ClientResponse) -> StartOutcome:
    match response.status:
        case 200:
            return StartOutcome.STARTED
        case 409:
            refusal = decode_json(response.body, _Refusal)
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
    """Decode a worker's report.

    Raises
    ------
    ProtocolError
        If any part of it is malformed: a run that is left out would count as ended.
    """
    response = decode_json(body, _HoldResponse)
    with reject_malformed("row in a report"):
        return WorkerReport(
            clock=response.clock_ms / 1000,
            born=response.born,
            running=tuple(map(_convert_running, response.running)),
            finished=tuple(map(_convert_finished, response.finished)),
            lists_all_finished=len(response.finished) < MAX_LISTED_FINISHED_RUNS,
        )


def _convert_running(row: list[Any]) -> ReportedRun:
    name, number, checkpoint, percent = msgspec.convert(row[:4], _RUNNING_ROW)
    return ReportedRun(parse_task(name), RunNumber(number), checkpoint, percent / 100)


def _convert_finished(row: list[Any]) -> FinishedRun:
    sequence, name, number, outcome, checkpoint = msgspec.convert(row[:5], _FINISHED_ROW)
    return FinishedRun(
        sequence, parse_task(name), RunNumber(number), _RUN_OUTCOMES[outcome], checkpoint
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

    def __init__(self, address: str, log_event: LogEvent) -> None:
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
        try:
            allowed = decode_json(response.body, _AdviceResponse).allowed
        except ProtocolError as error:
            self._log_event("advice-unreadable", step=name, message=str(error))
            return None
        return {WorkerId(worker): TicketId(ticket) for worker, ticket in allowed}
