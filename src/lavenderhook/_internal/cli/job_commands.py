"""Commands for jobs and for requests to services."""

from __future__ import annotations

import base64
import sys
import time
import uuid
from pathlib import Path
from typing import Any
from urllib.parse import quote

from cleo.helpers import argument, option

from ...errors import (
    JobUnsuccessfulError,
    LavenderhookError,
    OutcomeUnknownError,
    PeerUnavailableError,
    ReportedError,
    RequestNotRunError,
    UnauthenticatedError,
    UnknownNameError,
    UnsuccessfulResponseError,
    UsageError,
    WaitTimeoutError,
)
from ..adapters.answers import OUTCOME_HEADER
from ..adapters.transport import ClientResponse
from ..adapters.upstreams import REQUEST_ID_HEADER
from .client import Client, decode, read_error
from .command import ConnectedCommand
from .tables import render_table

POLL_SECONDS = 0.5
DEFAULT_WAIT_SECONDS = 600.0
FIRST_ERROR_STATUS = 400
JOB_DONE = "done"
JOB_ARGUMENT = argument("job", "Id of the job.")
TIMEOUT_OPTION = option(
    "timeout",
    None,
    "Maximum number of seconds to wait.",
    flag=False,
    default=str(DEFAULT_WAIT_SECONDS),
)


def fetch_job(client: Client, job: str) -> Any:
    """Return the view of a job.

    A caller sees only the jobs of its own team, an operator sees all jobs. The credential may be
    either's, so the operators' path is tried when the callers' path does not show the job.
    """
    path = quote(job, safe="")
    try:
        return client.fetch(f"/jobs/{path}")
    except ReportedError as error:
        if error.code not in (UnauthenticatedError.code, UnknownNameError.code):
            raise
        try:
            return client.fetch(f"/operator/v1/jobs/{path}")
        except ReportedError as operator_error:
            if operator_error.code == UnauthenticatedError.code:
                raise error from None
            raise


class _JobCommand(ConnectedCommand):
    def _print_job(self, view: Any) -> None:
        if self.is_json:
            self.print_json(view)
            return
        names = ("job", "kind", "name", "team", "caller", "state", "count", "counts")
        self.print_lines(render_table(names, [[view[name] for name in names]]))
        rows = [
            (task["task"], task["state"], task.get("worker"), task["failures"], task["reason"])
            for task in view["tasks"]
        ]
        if rows:
            self.print_lines([""])
            self.print_lines(render_table(("task", "state", "worker", "failures", "reason"), rows))
        if view["truncated"]:
            self.print_note("note: more tasks are not shown")

    def _wait(self, client: Client, job: str) -> Any:
        """Wait until a job has ended and return its view.

        Raises
        ------
        WaitTimeoutError
            If the job has not ended in time.
        """
        timeout = self.read_number("timeout", float)
        deadline = time.monotonic() + timeout
        while True:
            problem = "the job has not ended"
            try:
                view = fetch_job(client, job)
                if view["ended_at"] is not None:
                    return view
            except PeerUnavailableError as error:
                problem = str(error)
            if time.monotonic() + POLL_SECONDS > deadline:
                raise WaitTimeoutError(
                    f"gave up waiting for job {job!r} after {timeout:g} s: {problem}"
                )
            time.sleep(POLL_SECONDS)

    def _print_ended(self, view: Any) -> None:
        self._print_job(view)
        if view["state"] != JOB_DONE:
            raise JobUnsuccessfulError(f"job {view['job']!r} ended as {view['state']}")


class SubmitCommand(_JobCommand):
    """Submit a job."""

    name = "submit"
    description = "Submits a batch job or a gang."
    help = """Submits a job, either a declared workload by its name or a job described by options.

  lavenderhook submit --workload certificate-batch --id certificates-2026-12
  lavenderhook submit --id try-1 --type batch --processors 500 --memory-mb 256 --count 4

Processors are thousandths of a processor, memory is in mebibytes, and all amounts are for one
task. Submitting the same id again has no effect and returns the first result; without --id an id
is generated and printed. A job that can never run is refused immediately with the reason.

Exit status: 0 accepted (with --wait: done), 2 not valid, 3 no such workload, 4 credential, 5 the
id was used for a different job, 6 can never run or no quota, 7 not accepted and may be repeated,
8 unknown: submit the same id again, 9 failed or cancelled, 10 not ended in time."""
    own_options = [
        option(
            "id", None, "Id of the job, unique for each job. Default: a generated one.", flag=False
        ),
        option("workload", "w", "Name of a declared workload.", flag=False),
        option("name", None, "Name of the job. Default: its id.", flag=False),
        option("type", None, "batch or gang.", flag=False),
        option("processors", None, "Thousandths of a processor for each task.", flag=False),
        option("memory-mb", None, "Memory in mebibytes for each task.", flag=False),
        option("accelerators", None, "Accelerators for each task.", flag=False),
        option("count", None, "Number of tasks.", flag=False),
        option("run-seconds", None, "Expected run time of a task.", flag=False),
        option("label", "l", "Label key=value; repeatable.", flag=False, multiple=True),
        option("parameter", None, "Parameter key=value for the worker.", flag=False, multiple=True),
        option("wait", None, "Wait until the job has ended."),
        TIMEOUT_OPTION,
    ]

    def execute_command(self) -> None:
        """Submit the job and wait for its end if --wait is given."""
        body = self._build_body()
        client = self.connect()
        response = client.post("/jobs", body)
        if self.option("wait"):
            self._print_ended(self._wait(client, response["job"]))
        elif self.is_json:
            self.print_json(response)
        else:
            repeated = " before" if response["repeated"] else ""
            self.print_lines([f"job {response['job']} accepted{repeated}"])

    def _build_body(self) -> dict[str, object]:
        given_fields: dict[str, object] = {
            "name": self.option("name"),
            "type": self.option("type"),
            "count": self.read_number("count"),
            "run_seconds": self.read_number("run-seconds", float),
            "labels": self.read_pairs("label"),
            "parameters": self.read_pairs("parameter"),
        }
        amounts = {
            "processors": self.read_number("processors"),
            "memory_mb": self.read_number("memory-mb"),
            "accelerators": self.read_number("accelerators"),
        }
        given_resources = {name: value for name, value in amounts.items() if value is not None}
        body = {name: value for name, value in given_fields.items() if value not in (None, {})}
        if given_resources:
            body["resources"] = given_resources
        workload = self.option("workload")
        if workload and body:
            raise UsageError("--workload declares the whole job and excludes " + ", ".join(body))
        if workload:
            body["workload"] = workload
        elif not given_fields["type"] or not given_resources:
            raise UsageError("give --workload, or --type and --processors")
        body["id"] = self.option("id") or f"job-{uuid.uuid4().hex[:12]}"
        return body


class StatusCommand(_JobCommand):
    """Show a job."""

    name = "status"
    description = "Shows a job and its tasks."
    help = """Shows the state of a job and of each of its tasks.

  lavenderhook status certificates-2026-12

States: pending (queued), placed (a worker was chosen), running, stopping, and finally done,
failed or cancelled. A caller sees the jobs of its own team, an operator sees all.

Exit status: 0, or 3 if there is no such job."""
    arguments = [JOB_ARGUMENT]

    def execute_command(self) -> None:
        """Print the job."""
        self._print_job(fetch_job(self.connect(), self.argument("job")))


class WaitCommand(_JobCommand):
    """Wait until a job has ended."""

    name = "wait"
    description = "Waits until a job has ended."
    help = """Waits until a job has ended and shows it.

  lavenderhook wait certificates-2026-12 --timeout 120

Exit status: 0 if all its tasks are done, 9 if it failed or was cancelled, 10 if it has not ended
in time (the job continues to run)."""
    arguments = [JOB_ARGUMENT]
    own_options = [TIMEOUT_OPTION]

    def execute_command(self) -> None:
        """Wait and print the job."""
        self._print_ended(self._wait(self.connect(), self.argument("job")))


class CancelCommand(ConnectedCommand):
    """Cancel a job."""

    name = "cancel"
    description = "Cancels a job."
    help = """Cancels a job. Waiting tasks are certainly not run; running tasks are told to stop,
but may already have had effects.

  lavenderhook cancel certificates-2026-12

The output counts the tasks that were not run, are stopping, and had already ended. Cancelling
a job again is harmless."""
    arguments = [JOB_ARGUMENT]

    def execute_command(self) -> None:
        """Cancel the job."""
        path = quote(self.argument("job"), safe="")
        response = self.connect().post(f"/jobs/{path}/cancel", {})
        names = ("job", "not_run", "stopping", "ended")
        self.show(response, names, [[response[name] for name in names]])


class RequestCommand(ConnectedCommand):
    """Send a request to a service."""

    name = "request"
    description = "Sends a request to a service."
    help = """Sends a request to a service and prints the response body.

  lavenderhook request sponsor-desk /eligibility/4711 --class urgent --deadline-ms 500
  lavenderhook request sponsor-desk /proofs --data @proof.json --idempotent false --request-id p-17

A request that is not idempotent runs at most once, even if it is sent again with the same id. The
command outcome shows its recorded outcome.

Exit status: 0 completed, 7 certainly not run and may be sent again, 8 unknown: it may have run,
9 the upstream responded with a status of 400 or above."""
    arguments = [
        argument("service", "Name of the service."),
        argument("path", "Path of the request.", optional=True, default="/"),
    ]
    own_options = [
        option("method", "X", "GET or POST. Default: POST with data.", flag=False),
        option("data", "d", "Body, or @FILE, or @- for standard input.", flag=False),
        option("header", "H", "Header key=value; repeatable.", flag=False, multiple=True),
        option("request-id", None, "Id of the request. Default: a generated one.", flag=False),
        option("idempotent", None, "true or false. Default: the workload's.", flag=False),
        option(
            "deadline-ms", None, "Milliseconds within which the response must arrive.", flag=False
        ),
        option("class", None, "urgent, normal or batch. Default: the policy's.", flag=False),
        option("label", "l", "Label key=value; repeatable.", flag=False, multiple=True),
    ]

    def execute_command(self) -> None:
        """Send the request and print the response."""
        body = self._read_body()
        request_id = self.option("request-id") or uuid.uuid4().hex
        headers = [(REQUEST_ID_HEADER, request_id), *self.read_pairs("header").items()]
        for name in ("idempotent", "deadline-ms", "class"):
            if self.option(name) is not None:
                headers.append((f"lavenderhook-{name}", self.option(name)))
        labels = self.read_pairs("label")
        if labels:
            text = ",".join(f"{key}={value}" for key, value in labels.items())
            headers.append(("lavenderhook-labels", text))
        _require_printable_ascii(headers)
        try:
            response = self.connect().exchange(
                self.option("method") or ("POST" if body else "GET"),
                f"/service/{quote(self.argument('service'), safe='')}{self._read_target()}",
                body,
                headers,
                idempotent=self.option("idempotent") == "true",
            )
        except OutcomeUnknownError as error:
            raise OutcomeUnknownError(f"request {request_id!r}: {error}") from error
        self._handle_response(response, request_id)

    def _read_target(self) -> str:
        path = self.argument("path")
        target = path if path.startswith("/") else f"/{path}"
        if any(character.isspace() or not character.isprintable() for character in target):
            raise UsageError(
                "the path holds white space or unprintable characters; percent-encode them"
            )
        return target

    def _read_body(self) -> bytes:
        text = self.option("data")
        if text is None:
            return b""
        if text == "@-":
            return sys.stdin.buffer.read()
        if text.startswith("@"):
            try:
                return Path(text[1:]).read_bytes()
            except OSError as error:
                raise UsageError(f"--data {text}: {error}") from error
        return str(text).encode()

    def _handle_response(self, response: ClientResponse, request_id: str) -> None:
        outcome = response.get_header(OUTCOME_HEADER)
        if outcome is None:
            raise read_error(response)
        if outcome != "completed":
            raise _build_outcome_error(outcome, request_id, str(decode_reason(response)))
        if self.is_json:
            self._print_response(response, request_id)
        else:
            self.print_lines([response.body.decode("utf-8", "replace").rstrip("\n")])
        if response.status >= FIRST_ERROR_STATUS:
            raise UnsuccessfulResponseError(
                f"request {request_id!r}: the upstream responded with status {response.status}"
            )

    def _print_response(self, response: ClientResponse, request_id: str) -> None:
        view: dict[str, object] = {
            "outcome": "completed",
            "request": request_id,
            "status": response.status,
            "headers": response.headers,
        }
        try:
            view["body"] = response.body.decode()
        except UnicodeDecodeError:
            view["body_base64"] = base64.b64encode(response.body).decode()
        self.print_json(view)


def _require_printable_ascii(headers: list[tuple[str, str]]) -> None:
    """Check that headers are printable ASCII, so that a value cannot start another header line."""
    for name, value in headers:
        if not f"{name}{value}".isprintable() or not f"{name}{value}".isascii():
            raise UsageError(f"header {name!r} holds characters that are not printable ASCII")


def decode_reason(response: ClientResponse) -> object:
    """Return the reason in the body of an outcome, or None."""
    try:
        return decode(ClientResponse(200, response.headers, response.body)).get("reason")
    except LavenderhookError:
        return None


def _build_outcome_error(outcome: str, request_id: str, reason: str) -> LavenderhookError:
    if outcome == "not-run":
        return RequestNotRunError(f"request {request_id!r} was not run: {reason}")
    return OutcomeUnknownError(f"request {request_id!r} may have run: {reason}")


class OutcomeCommand(ConnectedCommand):
    """Show the recorded outcome of a request."""

    name = "outcome"
    description = "Shows the recorded outcome of a request that is not idempotent."
    help = """Shows the recorded outcome of a request that is not idempotent, by its request id.

  lavenderhook outcome p-17

Outcomes: in-progress, completed, not-run, unknown. Exit status: 3 if there is no such request,
which means that it was never dispatched."""
    arguments = [argument("request", "Id of the request.")]

    def execute_command(self) -> None:
        """Print the outcome."""
        path = quote(self.argument("request"), safe="")
        view = self.connect().fetch(f"/requests/{path}")
        names = ("request", "outcome", "status", "reason")
        self.show(view, names, [[view.get(name) for name in names]])
