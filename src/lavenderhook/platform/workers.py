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
COMMAND_TIMEOUT_SECONDS = 0.6  # links take up to 20 ms there and back
HOLD_TIMEOUT_MARGIN_SECONDS = 0.6  # beyond the time for which the worker waits
# Of a hold that is to be answered at once; a new owner's work waits for the last of these.
IMMEDIATE_HOLD_TIMEOUT_SECONDS = 0.35
CONNECTIONS_PER_WORKER = 6
ADVICE_CONNECTIONS = 32  # the service lets as many calls of one machine wait
EXPECTED_WORKER = "X-Expected-Instance"  # names the boot of the worker that the call is for
OTHER_WORKER = 421

# `late`: the lease's end has passed on the worker's clock; `old`: this run or a later one of the
# task has ended or been stopped there.
_REASONS = {
    "fence": StartOutcome.FENCED,
    "old": StartOutcome.SUPERSEDED,
    "late": StartOutcome.LEASE_PASSED,
    "room": StartOutcome.NO_ROOM,
    "ticket": StartOutcome.TICKET_REFUSED,
}
_OUTCOMES = {
    "done": RunOutcome.DONE,
    "failed": RunOutcome.FAILED,
    "stopped": RunOutcome.STOPPED,
    "lapsed": RunOutcome.LAPSED,
    "broken": RunOutcome.GANG_BROKEN,  # another member has ended
    "alone": RunOutcome.GANG_INCOMPLETE,  # the other members did not come
}


class _HoldAnswer(msgspec.Struct, rename="camel"):
    """A report.

    Parameters
    ----------
    clock_ms : int
        The worker's own clock.
    running : list
        Rows of task, run, checkpoint, pace in percent, and a load figure.
    finished : list
        Rows of number, task, run, how it ended, and checkpoint.
    """

    clock_ms: int
    running: list[list[Any]] = []
    finished: list[list[Any]] = []
    born: int = 0


class _Refusal(msgspec.Struct):
    """Why a start was refused."""

    reason: str = ""


class _AdviceAnswer(msgspec.Struct):
    """Rows of worker and ticket; workers that are not named may not run the step."""

    allowed: list[tuple[str, str]]


def format_task(task: TaskKey) -> str:
    """Return the name of a task on the wire."""
    return f"{task.submission}.{task.occurrence}.{task.step}.{task.index}"


def parse_task(name: str) -> TaskKey:
    """Return the task of a name on the wire.

    Raises
    ------
    ValueError
    """
    submission, occurrence, step, index = name.split(".")
    return TaskKey(SubmissionId(submission), int(occurrence), int(step), int(index))


class PlatformWorkerClient(QueueWorkerClient):
    """Orders over HTTP."""

    def __init__(self) -> None:
        self._client = HttpClient("worker", size=CONNECTIONS_PER_WORKER)

    def close(self) -> None:
        """Close all connections."""
        self._client.close()

    def start(self, address: str, command: StartCommand, lease_until: float) -> StartOutcome:
        """Order a start."""
        body: dict[str, Any] = {
            "task": format_task(command.task),
            "run": command.number,
            "spec": command.payload,
            "deadlineMs": int(lease_until * 1000),
            "fencingToken": command.token,
        }
        if command.checkpoint:
            body["checkpoint"] = command.checkpoint
        if command.ticket:
            body["ticket"] = command.ticket
        try:
            answer = self._call(address, command.worker, START_PATH, body, COMMAND_TIMEOUT_SECONDS)
        except TransportError as error:
            return StartOutcome.UNKNOWN if error.sent else StartOutcome.NOT_SENT
        return _classify_start(answer)

    def stop(
        self,
        address: str,
        worker: WorkerId,
        task: TaskKey,
        number: RunNumber,
        token: CommandToken,
    ) -> bool | None:
        """Order a stop."""
        body = {"task": format_task(task), "run": number, "fencingToken": token}
        try:
            answer = self._call(address, worker, STOP_PATH, body, COMMAND_TIMEOUT_SECONDS)
        except TransportError:
            return None
        if answer.status == 409:
            return False
        return True if answer.status == 200 else None

    def hold(
        self,
        address: str,
        worker: WorkerId,
        token: CommandToken,
        acknowledged_sequence: int,
        lease_until: float | None,
        wait_seconds: float,
    ) -> WorkerReport | HoldRefusal:
        """Extend all leases and report."""
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
            answer = self._call(address, worker, HOLD_PATH, body, timeout)
        except TransportError:
            return HoldRefusal()
        if answer.status != 200:
            return HoldRefusal(
                is_fenced=answer.status == 409, is_wrong_recipient=answer.status == OTHER_WORKER
            )
        return decode_report(answer.body)

    def _call(
        self, address: str, worker: WorkerId, path: str, body: dict[str, Any], timeout: float
    ) -> ClientResponse:
        headers = (("Content-Type", "application/json"), (EXPECTED_WORKER, worker))
        data = msgspec.json.encode(body)
        return self._client.call(address, "POST", path, data, headers, timeout)


def _classify_start(answer: ClientResponse) -> StartOutcome:
    match answer.status:
        case 200:
            return StartOutcome.STARTED
        case 409:
            refusal = msgspec.json.decode(answer.body, type=_Refusal)
            return _REASONS.get(refusal.reason, StartOutcome.REFUSED)
        case 421:
            return StartOutcome.OTHER_INCARNATION
        case 429 | 503:
            return StartOutcome.REFUSED
        case 400:
            return StartOutcome.INVALID
        case _:
            return StartOutcome.UNKNOWN


def decode_report(body: bytes) -> WorkerReport:
    """Return a worker's report."""
    answer = msgspec.json.decode(body, type=_HoldAnswer)
    return WorkerReport(
        clock=answer.clock_ms / 1000,
        born=answer.born,
        running=tuple(
            ReportedRun(parse_task(row[0]), RunNumber(row[1]), row[2]) for row in answer.running
        ),
        finished=tuple(
            FinishedRun(
                row[0],
                parse_task(row[1]),
                RunNumber(row[2]),
                _OUTCOMES[row[3]],
                row[4] if len(row) > 4 else "",
            )
            for row in answer.finished
        ),
    )


class PlatformAdvisor(Advisor):
    """The advisory service.

    Parameters
    ----------
    address : str
        ``ip:port``; empty where there is none.
    log_event : callable
        Takes (what, fields) for the log.
    """

    def __init__(self, address: str, log_event: Any) -> None:
        self.address = address
        self._log_event = log_event
        self._client = HttpClient("advice", size=ADVICE_CONNECTIONS)

    def request_advice(
        self, step: StepId, workers: Iterable[WorkerId], timeout_seconds: float
    ) -> dict[WorkerId, TicketId] | None:
        """Return the workers that are allowed, with their tickets."""
        name = f"{step.submission}.{step.occurrence}.{step.step}"
        body = msgspec.json.encode({"step": name, "workers": list(workers)})
        headers = (("Content-Type", "application/json"),)
        try:
            answer = self._client.call(
                self.address, "POST", ADVISE_PATH, body, headers, timeout_seconds
            )
        except TransportError as error:
            self._log_event("advice-failed", step=name, message=str(error))
            return None
        if answer.status != 200:
            self._log_event("advice-refused", step=name, status=answer.status)
            return None
        allowed = msgspec.json.decode(answer.body, type=_AdviceAnswer).allowed
        return {WorkerId(worker): TicketId(ticket) for worker, ticket in allowed}
