"""The callers' interface on the platform."""

from __future__ import annotations

import time

import msgspec

from .._internal.adapters.frontend import HttpRequest, Reply
from .._internal.decoding import decode_json
from .._internal.instance.entry import EntryInstance
from .._internal.instance.submission_writer import WriteResult
from .._internal.instance.table_watcher import LogEvent, describe_failure
from .._internal.queueing.authentication import CallRefusal, RevocationPolicy, authenticate
from .._internal.queueing.model import (
    OrganisationName,
    Placement,
    Resources,
    StepSpec,
    Submission,
    SubmissionId,
)
from .._internal.queueing.quotas import check_within_limit
from .._internal.queueing.routes import QueueRoute
from .._internal.queueing.validation import MAX_STEPS, check_submission
from ..errors import (
    InvalidArgumentError,
    ProtocolError,
    StoreUnavailableError,
    UnauthenticatedError,
    UnknownNameError,
)

READINESS_PATH = "/lavenderhook/readiness"
DEADLINE_HEADER = "x-deadline-ms"  # how long the client waits for the response
KEY_HEADER = "x-credential"
DEFAULT_DEADLINE_MS = 3000.0
MAX_DEADLINE_MS = 3_600_000.0
RESPONSE_MARGIN_SECONDS = 0.1  # for the delay of the link that carries the response
JSON_HEADERS = (("Content-Type", "application/json"),)
GONE_STATUS = 410
MAX_LOGGED_CHARACTERS = 200
MAX_SPEC_BYTES = 4_000
MAX_OBJECTS = 1 + MAX_STEPS + MAX_SPEC_BYTES


class _Step(msgspec.Struct, rename="camel"):
    """A step on the wire.

    Parameters
    ----------
    cpu : int
        Thousandths of a core.
    after : list of int
        Indices of the steps that must be done first.
    affinity : str
        Rack where the data is.
    requirements : str
        One label that the worker must have.
    max_per_server : int
        Tasks of the step on one worker.
    speculative : bool
        Several copies of a task may run in parallel.
    fills : bool
        The tasks need no free processors, and the processors that they use aren't counted.
    """

    count: int = 1
    cpu: int = 0
    mem_mb: int = 0
    gpu: int = 0
    estimate_ms: float = 0.0
    after: list[int] = []
    gang: bool = False
    same_rack: bool = False
    requirements: str = ""
    affinity: str = ""
    max_per_server: int = 0
    speculative: bool = False
    long_running: bool = False
    checkpointing: bool = False
    image: str = ""
    target_ms: int = 0
    fills: bool = False
    may_miss: int = 0


class _SubmissionBody(msgspec.Struct, rename="camel"):
    """A submission on the wire."""

    spec: str
    steps: list[_Step]
    repetitions: int = 0
    first_run_ms: float = 0.0
    interval_ms: float = 0.0


def convert_step(step: _Step) -> StepSpec:
    """Return the internal form of a step."""
    return StepSpec(
        count=step.count,
        resources=Resources(step.cpu, step.mem_mb, step.gpu),
        estimate_seconds=step.estimate_ms / 1000,
        after=tuple(step.after),
        placement=Placement(
            label=step.requirements,
            data_rack=step.affinity,
            single_rack=step.same_rack,
            most_per_worker=step.max_per_server,
        ),
        is_gang=step.gang,
        allows_copies=step.speculative,
        is_service=step.long_running,
        has_checkpoints=step.checkpointing,
        image=step.image,
        latency_target_ms=step.target_ms,
        is_filler=step.fills,
        most_unavailable=step.may_miss,
    )


class Frontend:
    """Routes of the callers' listener and of the readiness listener.

    Parameters
    ----------
    instance : EntryInstance
    log_event : callable
        Logs an event, given by its name and fields.
    revocation : RevocationPolicy

    Attributes
    ----------
    revocation : RevocationPolicy
        May be replaced while requests are served.
    """

    def __init__(
        self, instance: EntryInstance, log_event: LogEvent, revocation: RevocationPolicy
    ) -> None:
        self._instance = instance
        self._log_event = log_event
        self.revocation = revocation
        self.active = 0  # requests in progress

    def route_readiness(self, request: HttpRequest) -> Reply:
        """Answer a readiness check of the load balancer."""
        return Reply(status=200 if self._instance.is_ready() else 503)

    def route(self, request: HttpRequest) -> Reply:
        """Answer a request of a caller."""
        self.active += 1
        try:
            return self._route(request)
        finally:
            self.active -= 1

    def _route(self, request: HttpRequest) -> Reply:
        deadline = _read_deadline(request)
        route = self._find_route(request)
        if route is None:
            return self._reply_unavailable(503, deadline)
        caller = self._authenticate(request, route)
        if caller is None:
            return self._reply_unavailable(503, deadline)
        submission_id = SubmissionId(request.path[len(route.path_prefix) :])
        match request.method:
            case "POST" if submission_id:
                return self._submit(request, route, submission_id, caller, deadline)
            case "GET" if submission_id:
                return self._describe(submission_id, deadline)
            case "GET":
                pending = self._instance.count_pending(route.terms.name)
                return _reply({"pending": pending})
            case "DELETE" if submission_id:
                return self._cancel(submission_id, deadline)
            case _:
                raise UnknownNameError("operation", request.method)

    def _find_route(self, request: HttpRequest) -> QueueRoute | None:
        """Return the route of a request, or None if this instance can't know whether it exists.

        Raises
        ------
        UnknownNameError
            If no such queue exists.
        """
        configuration = self._instance.configuration
        host = request.headers.get("host", "")
        route = None
        if configuration.routes is not None:
            route = configuration.routes.find(host, request.path)
        if isinstance(route, QueueRoute):
            return route
        is_unknown = route is None and configuration.can_deny_unknown()
        self._log_event(
            "queue-unknown" if is_unknown else "queue-unconfirmed",
            host=host[:MAX_LOGGED_CHARACTERS],
            path=request.path[:MAX_LOGGED_CHARACTERS],
            **configuration.describe(),
        )
        if is_unknown:
            raise UnknownNameError("queue", host + request.path)
        return None

    def _authenticate(self, request: HttpRequest, route: QueueRoute) -> OrganisationName | None:
        """Return whose call it is, empty if no key is needed; None if that can't be known now.

        Raises
        ------
        UnauthenticatedError
            If the key is missing or belongs to no organisation.
        """
        configuration = self._instance.configuration
        organisations = configuration.routes.organisations if configuration.routes else None
        if route.is_public or organisations is None:
            return OrganisationName("")
        result = authenticate(
            request.headers.get(KEY_HEADER, ""),
            organisations,
            self.revocation,
            can_deny=configuration.can_deny_unknown(),
            age_seconds=configuration.measure_age(),
        )
        if not isinstance(result, CallRefusal):
            return result.name
        self._log_event(
            "call-unauthenticated",
            reason=result.value,
            host=request.headers.get("host", "")[:MAX_LOGGED_CHARACTERS],
            queue=route.terms.name,
            **configuration.describe(),
        )
        if result is CallRefusal.UNCONFIRMED:
            return None
        raise UnauthenticatedError(f"the key is {result.value}")

    def _submit(
        self,
        request: HttpRequest,
        route: QueueRoute,
        submission_id: SubmissionId,
        caller: OrganisationName,
        deadline: float,
    ) -> Reply:
        body = _decode_submission(request.read_body())
        submission = Submission(
            id=submission_id,
            queue=route.terms,
            payload=body.spec,
            steps=tuple(map(convert_step, body.steps)),
            accepted_at=time.time(),
            repetitions=body.repetitions,
            first_due=body.first_run_ms / 1000,
            interval_seconds=body.interval_ms / 1000,
            organisation=caller,
        )
        check_submission(submission)
        if not self._check_limit(submission):
            return self._reply_unavailable(503, deadline)
        retry_after = self._instance.refuse(submission, deadline)
        if retry_after is not None:
            return Reply(status=503, headers=(("Retry-After", str(retry_after)),))
        return self._reply_write_result(self._instance.submit(submission, deadline), deadline)

    def _check_limit(self, submission: Submission) -> bool:
        """Check what a submission needs; return False if the limit can't be known now.

        One that may be stored already remains accepted, whatever the limit is meanwhile.

        Raises
        ------
        InvalidArgumentError
            If its organisation may never run it.
        """
        configuration = self._instance.configuration
        organisations = configuration.routes.organisations if configuration.routes else None
        if organisations is None:
            return True
        try:
            check_within_limit(submission, organisations.get(submission.organisation))
        except InvalidArgumentError:
            if self._instance.may_be_stored(submission.id):
                return True
            if configuration.can_deny_unknown():
                raise
            self._log_event(
                "limit-unconfirmed", submission=submission.id, **configuration.describe()
            )
            return False
        return True

    def _cancel(self, submission_id: SubmissionId, deadline: float) -> Reply:
        return self._reply_write_result(self._instance.cancel(submission_id, deadline), deadline)

    def _reply_write_result(self, result: WriteResult, deadline: float) -> Reply:
        match result:
            case WriteResult.STORED:
                return _reply({})
            case WriteResult.NO_SUCH:
                return Reply(status=GONE_STATUS)
            case WriteResult.NOT_STORED:
                return self._reply_unavailable(503, deadline)
            case WriteResult.UNKNOWN:
                return self._reply_unavailable(504, deadline)

    def _reply_unavailable(self, status: int, deadline: float) -> Reply:
        retry_after = str(self._instance.compute_retry_after(deadline))
        return Reply(status=status, headers=(("Retry-After", retry_after),))

    def _describe(self, submission_id: SubmissionId, deadline: float) -> Reply:
        try:
            state = self._instance.describe(submission_id)
        except UnknownNameError:
            return Reply(status=GONE_STATUS)
        except StoreUnavailableError as error:
            self._log_event("state-unread", submission=submission_id, **describe_failure(error))
            return self._reply_unavailable(503, deadline)
        return _reply({"state": state.value})


def _decode_submission(content: bytes) -> _SubmissionBody:
    """Decode a submission within bounds on its objects, which are larger than their text.

    Raises
    ------
    InvalidArgumentError
    """
    # A spec may hold this character as well.
    objects = content.count(b"{")
    if objects > MAX_OBJECTS:
        raise InvalidArgumentError("body", objects, f"at most {MAX_OBJECTS} objects")
    try:
        body = decode_json(content, _SubmissionBody)
    except ProtocolError as error:
        raise InvalidArgumentError("body", str(error), "a submission") from error
    if len(body.steps) > MAX_STEPS:
        raise InvalidArgumentError("steps", len(body.steps), f"1 to {MAX_STEPS} steps")
    spec_bytes = len(body.spec.encode())
    if spec_bytes > MAX_SPEC_BYTES:
        raise InvalidArgumentError("spec", spec_bytes, f"at most {MAX_SPEC_BYTES} bytes")
    return body


def _read_deadline(request: HttpRequest) -> float:
    text = request.headers.get(DEADLINE_HEADER, "")
    try:
        wait_ms = float(text) if text else DEFAULT_DEADLINE_MS
    except ValueError as error:
        raise InvalidArgumentError(DEADLINE_HEADER, text, "milliseconds") from error
    if not 0 <= wait_ms <= MAX_DEADLINE_MS:
        raise InvalidArgumentError(
            DEADLINE_HEADER, text, f"0 to {MAX_DEADLINE_MS:.0f} milliseconds"
        )
    return time.monotonic() + max(0.05, wait_ms / 1000 - RESPONSE_MARGIN_SECONDS)


def _reply(value: object) -> Reply:
    return Reply(headers=JSON_HEADERS, body=msgspec.json.encode(value))
