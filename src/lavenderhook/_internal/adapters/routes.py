"""Routes of the listener."""

from __future__ import annotations

import time
import uuid
from collections.abc import Callable
from typing import Any, Protocol
from urllib.parse import unquote

import msgspec

from ...errors import (
    InvalidArgumentError,
    NotReadyError,
    OutcomeUnknownError,
    StoreUnavailableError,
    TransportError,
    UnknownNameError,
)
from ..core.declarations import (
    AnyDeclaration,
    Workload,
    validate_declaration,
    validate_name,
)
from ..core.effects import Effect
from ..core.events import (
    ConfigurationProposed,
    Event,
    JobCancelRequested,
    JobSubmitted,
    QueryKind,
    QueryReceived,
    RequestAbandoned,
    RequestArrived,
    RequestHead,
)
from ..core.identifiers import (
    CallerName,
    ConfigurationVersion,
    JobId,
    PriorityClass,
    RequestId,
    WorkloadKind,
)
from ..core.labels import validate_labels
from ..core.records import JobSpec
from ..core.resources import Resources
from ..core.state import InstanceState
from ..violations import decode_json
from .answers import UNFORWARDED_HEADERS, render_claim, render_operation, render_request
from .calls import Operation, PendingCall, PendingCalls
from .claims import ClaimStore
from .credentials import Credentials, Identity
from .frontend import HttpRequest, Reply, reply_json
from .metrics import Metrics
from .views import LOCAL_KINDS, build_view

DISCONNECT_CHECK_INTERVAL_SECONDS = 0.25
# The core answers at the deadline; the grace period covers queueing delays.
ANSWER_GRACE_SECONDS = 1.0
OPERATION_TIMEOUT_SECONDS = 15.0
MAX_REQUEST_ID_LENGTH = 200
OPERATOR_PREFIX = "/operator/v1/"
SERVICE_PREFIX = "/service/"
# Headers of a caller that are not forwarded to upstreams unchanged.
MANAGED_HEADERS = UNFORWARDED_HEADERS | {
    "lavenderhook-request-id",
    "lavenderhook-caller",
    "lavenderhook-idempotent",
    "lavenderhook-deadline-ms",
    "lavenderhook-class",
    "lavenderhook-labels",
    "lavenderhook-instance",
    "lavenderhook-first-send",
}


class Core(Protocol):
    """The part of the runtime that routes use."""

    state: InstanceState

    def now(self) -> float:
        """Return the time in seconds."""
        ...

    def apply(self, event: Event) -> None:
        """Reduce an event in the calling greenlet."""
        ...


class JobSubmission(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """Body of ``POST /jobs``: a declared workload by name, or the whole job."""

    id: str
    workload: str = ""
    name: str = ""
    type: WorkloadKind | None = None
    resources: Resources | None = None
    count: int = 1
    run_seconds: float = 60.0
    labels: dict[str, str] = {}
    parameters: dict[str, str | int | float | bool] = {}


class DeclarationName(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """Names a declaration to delete."""

    kind: str
    name: str


class ConfigurationRequest(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """Body of ``POST /operator/v1/configuration``."""

    change_id: str
    expected: int | None = None
    puts: tuple[AnyDeclaration, ...] = ()
    deletes: tuple[DeclarationName, ...] = ()


def run_operation(core: Core, calls: PendingCalls, call: PendingCall, event: Event) -> Reply:
    """Apply an operation to the core and return the rendered answer."""
    try:
        core.apply(event)
        answer = call.wait(OPERATION_TIMEOUT_SECONDS)
    finally:
        calls.remove(call)
    if answer is None:
        raise OutcomeUnknownError("the operation was not answered in time; send it again")
    return render_operation(answer)


def wait_for_answer(
    core: Core, call: PendingCall, deadline: float, is_disconnected: Callable[[], bool]
) -> Effect | None:
    """Wait for the answer to a request until `ANSWER_GRACE_SECONDS` after its deadline.

    A closed connection is reported to the core once; the wait continues, because the response of
    a claimed request has to be recorded.
    """
    ends_at = time.monotonic() + deadline - core.now() + ANSWER_GRACE_SECONDS
    abandoned = False
    while True:
        remaining = ends_at - time.monotonic()
        answer = call.wait(min(DISCONNECT_CHECK_INTERVAL_SECONDS, max(remaining, 0.0)))
        if answer is not None:
            return answer
        if not abandoned and (remaining <= 0 or is_disconnected()):
            abandoned = True
            core.apply(RequestAbandoned(now=core.now(), ticket=call.ticket))
        if remaining <= 0:
            return call.answer


class CallerRoutes:
    """Requests to services, outcomes of requests, and jobs.

    Parameters
    ----------
    core : Core
    calls : PendingCalls
    claims : ClaimStore
    credentials : Credentials
    default_deadline, max_deadline : float
        Seconds.
    """

    def __init__(
        self,
        core: Core,
        calls: PendingCalls,
        claims: ClaimStore,
        credentials: Credentials,
        default_deadline: float,
        max_deadline: float,
    ) -> None:
        self._core = core
        self._calls = calls
        self._claims = claims
        self._credentials = credentials
        self._default_deadline = default_deadline
        self._max_deadline = max_deadline
        self._defaults: dict[str, tuple[bool, PriorityClass]] = {}
        self._defaults_version = -1

    def serve(self, incoming: HttpRequest) -> Reply:
        """Answer a request to a service."""
        identity = self._credentials.identify_caller(incoming)
        if incoming.method not in ("GET", "POST"):
            raise InvalidArgumentError("method", incoming.method, "GET or POST")
        service, _, rest = incoming.path.removeprefix(SERVICE_PREFIX).partition("/")
        validate_name("service", service)
        # The deadline is set before the body is read, so that a slow sender uses up its own time.
        deadline = self._core.now() + self._read_deadline(incoming)
        request_id = self._read_request_id(incoming)
        idempotent, priority = self._find_defaults(service)
        head_fields: dict[str, Any] = {
            "request_id": request_id,
            "caller": identity.caller,
            "service": service,
            "labels": read_labels(incoming),
            "idempotent": _read_boolean_header(incoming, "lavenderhook-idempotent", idempotent),
            "deadline": deadline,
            "priority": _read_class(incoming, priority),
            "first_send": self._is_first_send(incoming),
        }
        target = "/" + rest + ("?" + incoming.query if incoming.query else "")
        call = self._calls.add(
            method=incoming.method,
            target=target,
            headers=self._select_headers(incoming, identity, head_fields["idempotent"]),
            body=incoming.read_body(),
        )
        try:
            head = RequestHead(ticket=call.ticket, **head_fields)
            call.request = head
            self._core.apply(RequestArrived(now=self._core.now(), head=head))
            wait_for_answer(self._core, call, deadline, incoming.is_disconnected)
        finally:
            self._calls.remove(call)
        return render_request(call, request_id)

    def _read_deadline(self, incoming: HttpRequest) -> float:
        text = incoming.headers.get("lavenderhook-deadline-ms")
        if text is None:
            return self._default_deadline
        max_milliseconds = int(self._max_deadline * 1000)
        if not text.isdecimal() or not 1 <= int(text) <= max_milliseconds:
            allowed = f"milliseconds from 1 to {max_milliseconds}"
            raise InvalidArgumentError("lavenderhook-deadline-ms", text, allowed)
        return int(text) / 1000

    def _read_request_id(self, incoming: HttpRequest) -> RequestId:
        text = incoming.headers.get("lavenderhook-request-id")
        if text is None:
            return RequestId(uuid.uuid4().hex)
        if not 1 <= len(text) <= MAX_REQUEST_ID_LENGTH:
            allowed = f"1 to {MAX_REQUEST_ID_LENGTH} characters"
            raise InvalidArgumentError("lavenderhook-request-id", text, allowed)
        return RequestId(text)

    def _is_first_send(self, incoming: HttpRequest) -> bool:
        """Return whether the request id is guaranteed to be new; an id generated here always is."""
        if "lavenderhook-request-id" not in incoming.headers:
            return True
        return _read_boolean_header(incoming, "lavenderhook-first-send", False)

    def _find_defaults(self, service: str) -> tuple[bool, PriorityClass]:
        """Return the defaults of a service: whether requests are idempotent, and their class."""
        configuration = self._core.state.configuration
        if self._defaults_version != configuration.version:
            self._defaults = {}
            self._defaults_version = configuration.version
        found = self._defaults.get(service)
        if found is None:
            workload = configuration.get_workload(service)
            if workload is None:
                return True, PriorityClass.NORMAL
            policy = configuration.find_policy(WorkloadKind.SERVICE, workload.labels)
            found = self._defaults[service] = (workload.idempotent, policy.priority)
        return found

    def _select_headers(
        self, incoming: HttpRequest, identity: Identity, idempotent: bool
    ) -> tuple[tuple[str, str], ...]:
        removed = {"authorization"} if self._credentials.strips_authorization else set()
        selected = [
            (name, value)
            for name, value in incoming.headers.items()
            if name not in MANAGED_HEADERS and name not in removed
        ]
        selected.append(("lavenderhook-caller", identity.caller))
        selected.append(("lavenderhook-idempotent", "true" if idempotent else "false"))
        return tuple(selected)

    def find_outcome(self, incoming: HttpRequest) -> Reply:
        """Answer ``GET /requests/<id>`` from the claim row."""
        identity = self._credentials.identify_caller(incoming)
        request_id = unquote(incoming.path.removeprefix("/requests/"))
        try:
            row = self._claims.find(identity.caller, request_id)
        except TransportError as error:
            raise StoreUnavailableError("the table cannot be read") from error
        if row is None:
            raise UnknownNameError("request", request_id)
        return render_claim(request_id, row)

    def submit(self, incoming: HttpRequest) -> Reply:
        """Answer ``POST /jobs``."""
        identity = self._credentials.identify_caller(incoming)
        submission = decode_json(incoming.read_body(), JobSubmission)
        job = self._build_job(submission, identity)
        call = self._calls.add()
        event = JobSubmitted(now=self._core.now(), ticket=call.ticket, job=job)
        return self._run(call, event)

    def _build_job(self, submission: JobSubmission, identity: Identity) -> JobSpec:
        validate_name("id", submission.id)
        workload = self._find_workload(submission, identity)
        return JobSpec(
            job_id=JobId(submission.id),
            kind=workload.type,
            name=workload.name,
            caller=identity.caller,
            team=workload.team,
            labels=workload.labels,
            resources=workload.resources,
            count=workload.count,
            run_seconds=workload.run_seconds,
            slots=workload.slots,
            connections=workload.connections,
            idempotent=workload.idempotent,
            parameters=workload.parameters,
            submitted_at=self._core.now(),
        )

    def _find_workload(self, submission: JobSubmission, identity: Identity) -> Workload:
        if submission.workload:
            if not self._core.state.configuration.has_read_version:
                raise NotReadyError("no configuration is known yet")
            declared = self._core.state.configuration.get_workload(submission.workload)
            if declared is None:
                raise UnknownNameError("workload", submission.workload)
            self._credentials.require_team(identity, declared.team)
            return declared
        if submission.type is None:
            raise InvalidArgumentError("type", None, "service, batch or gang, or a workload")
        if submission.resources is None:
            raise InvalidArgumentError("resources", None, "resources, or a workload")
        workload = Workload(
            name=submission.name or submission.id,
            type=submission.type,
            resources=submission.resources,
            count=submission.count,
            run_seconds=submission.run_seconds,
            labels=submission.labels,
            team=identity.team,
            parameters=submission.parameters,
        )
        validate_declaration(workload)
        return workload

    def find_job(self, incoming: HttpRequest) -> Reply:
        """Answer ``GET /jobs/<id>``."""
        identity = self._credentials.identify_caller(incoming)
        call = self._calls.add()
        event = QueryReceived(
            now=self._core.now(),
            ticket=call.ticket,
            kind=QueryKind.JOB,
            key=unquote(incoming.path.removeprefix("/jobs/")),
            caller=identity.caller,
            team=identity.team,
        )
        return self._run(call, event)

    def cancel(self, incoming: HttpRequest) -> Reply:
        """Answer ``POST /jobs/<id>/cancel``."""
        identity = self._credentials.identify_caller(incoming)
        name = incoming.path.removeprefix("/jobs/").removesuffix("/cancel")
        call = self._calls.add()
        event = JobCancelRequested(
            now=self._core.now(),
            ticket=call.ticket,
            job_id=JobId(unquote(name)),
            caller=identity.caller,
            team=identity.team,
        )
        return self._run(call, event)

    def _run(self, call: PendingCall, event: Operation) -> Reply:
        call.operation = event
        return run_operation(self._core, self._calls, call, event)


class OperatorRoutes:
    """Configuration and views for operators."""

    def __init__(self, core: Core, calls: PendingCalls, credentials: Credentials) -> None:
        self._core = core
        self._calls = calls
        self._credentials = credentials

    def serve(self, incoming: HttpRequest) -> Reply:
        """Answer a call below ``/operator/v1/``."""
        operator = self._credentials.identify_operator(incoming)
        view, _, key = incoming.path.removeprefix(OPERATOR_PREFIX).partition("/")
        if incoming.method == "POST" and view == "configuration" and not key:
            return self._propose(incoming, operator)
        if incoming.method != "GET":
            raise UnknownNameError("operation", f"{incoming.method} {incoming.path}")
        return self._query(view, unquote(key), operator)

    def _propose(self, incoming: HttpRequest, operator: str) -> Reply:
        proposal = decode_json(incoming.read_body(), ConfigurationRequest)
        if not proposal.change_id:
            raise InvalidArgumentError("change_id", "", "an id that is new for each change")
        call = self._calls.add()
        expected = proposal.expected
        event = ConfigurationProposed(
            now=self._core.now(),
            ticket=call.ticket,
            change_id=proposal.change_id,
            author=operator,
            expected=None if expected is None else ConfigurationVersion(expected),
            puts=proposal.puts,
            deletes=tuple((found.kind, found.name) for found in proposal.deletes),
        )
        return run_operation(self._core, self._calls, call, event)

    def _query(self, view: str, key: str, operator: str) -> Reply:
        try:
            kind = QueryKind(view)
        except ValueError:
            if view == "jobs" and key:
                kind = QueryKind.JOB
            else:
                raise UnknownNameError("view", view) from None
        if kind is QueryKind.JOBS and key:
            kind = QueryKind.JOB
        if kind in LOCAL_KINDS:
            return reply_json(build_view(self._core.state, kind))
        call = self._calls.add()
        event = QueryReceived(
            now=self._core.now(),
            ticket=call.ticket,
            kind=kind,
            key=key,
            caller=CallerName(operator),
            team=None,
        )
        call.operation = event
        return run_operation(self._core, self._calls, call, event)


class HealthRoutes:
    """Liveness, readiness and metrics."""

    def __init__(self, core: Core, metrics: Metrics) -> None:
        self._core = core
        self._metrics = metrics

    def is_ready(self) -> bool:
        """Return whether the load balancer may send requests."""
        state = self._core.state
        return state.configuration.is_ready() and state.shutting_down_since is None

    def serve(self, incoming: HttpRequest) -> Reply:
        """Answer ``/healthz``, ``/readyz`` or ``/metrics``."""
        if incoming.path == "/healthz":
            return reply_json({"live": True, "incarnation": self._core.state.incarnation})
        if incoming.path == "/readyz":
            ready = self.is_ready()
            return reply_json({"ready": ready}, 200 if ready else 503)
        headers = (("Content-Type", "text/plain; version=0.0.4; charset=utf-8"),)
        return Reply(headers=headers, body=self._metrics.render())


class Router:
    """Dispatches requests to the routes."""

    def __init__(
        self,
        callers: CallerRoutes,
        operators: OperatorRoutes,
        serve_peer: Callable[[HttpRequest], Reply],
        health: HealthRoutes,
    ) -> None:
        self._callers = callers
        self._operators = operators
        self._serve_peer = serve_peer
        self._health = health

    def route(self, incoming: HttpRequest) -> Reply:
        """Answer a request.

        Raises
        ------
        UnknownNameError
            If no route has the path and method.
        """
        path, method = incoming.path, incoming.method
        if path.startswith(SERVICE_PREFIX):
            return self._callers.serve(incoming)
        if path.startswith("/peer/v1/"):
            return self._serve_peer(incoming)
        if path.startswith(OPERATOR_PREFIX):
            return self._operators.serve(incoming)
        if path in ("/healthz", "/readyz", "/metrics"):
            return self._health.serve(incoming)
        if path.startswith("/requests/") and method == "GET":
            return self._callers.find_outcome(incoming)
        if path == "/jobs" and method == "POST":
            return self._callers.submit(incoming)
        if path.startswith("/jobs/") and method == "GET":
            return self._callers.find_job(incoming)
        if path.startswith("/jobs/") and path.endswith("/cancel") and method == "POST":
            return self._callers.cancel(incoming)
        raise UnknownNameError("path", f"{method} {path}")


def read_labels(incoming: HttpRequest) -> dict[str, str]:
    """Return the labels of a request, given as ``key=value,key=value``.

    Raises
    ------
    InvalidArgumentError
        If they are malformed.
    """
    text = incoming.headers.get("lavenderhook-labels", "")
    labels: dict[str, str] = {}
    for part in filter(None, (part.strip() for part in text.split(","))):
        key, sign, value = part.partition("=")
        if not sign or key in labels:
            raise InvalidArgumentError("lavenderhook-labels", part, "key=value, each key once")
        labels[key] = value
    validate_labels("lavenderhook-labels", labels)
    return labels


def _read_boolean_header(incoming: HttpRequest, name: str, default: bool) -> bool:
    text = incoming.headers.get(name)
    if text is None:
        return default
    if text not in ("true", "false"):
        raise InvalidArgumentError(name, text, "true or false")
    return text == "true"


def _read_class(incoming: HttpRequest, default: PriorityClass) -> PriorityClass:
    text = incoming.headers.get("lavenderhook-class")
    if text is None:
        return default
    try:
        return PriorityClass(text)
    except ValueError:
        allowed = ", ".join(entry.value for entry in PriorityClass)
        raise InvalidArgumentError("lavenderhook-class", text, allowed) from None
