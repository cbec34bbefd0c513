"""The type of every failure that lavenderhook reports."""

from __future__ import annotations


class LavenderhookError(Exception):
    """Root of all failures.

    Attributes
    ----------
    code : str
        Stable name of the failure, used on the wire and in logs.
    http_status : int
        Status with which a front end reports the failure.
    exit_code : int
        Exit status with which the command-line tool reports the failure.
    """

    code = "internal"
    http_status = 500
    exit_code = 1

    def to_fields(self) -> dict[str, object]:
        """Return the failure as plain data for the wire."""
        return {"error": self.code, "message": str(self)}


class InvalidArgumentError(LavenderhookError):
    """A value that was supplied is not acceptable.

    Parameters
    ----------
    field : str
        Path of the argument, such as ``workload.resources.processors``.
    value : object
        The value as it was supplied.
    allowed : str
        What would have been accepted.
    """

    code = "invalid-argument"
    http_status = 400
    exit_code = 2

    def __init__(self, field: str, value: object, allowed: str) -> None:
        super().__init__(f"{field}={value!r} is not valid: expected {allowed}")
        self.field = field
        self.value = value
        self.allowed = allowed

    def to_fields(self) -> dict[str, object]:
        """Return the failure as plain data for the wire."""
        return {
            **super().to_fields(),
            "field": self.field,
            "value": repr(self.value)[:200],
            "allowed": self.allowed,
        }


class SettingsError(InvalidArgumentError):
    """A setting in the configuration file of a process is not valid."""

    code = "invalid-settings"

    def __init__(self, file: str, field: str, value: object, allowed: str) -> None:
        super().__init__(field, value, allowed)
        self.args = (f"{file}: {self.args[0]}",)
        self.file = file


class DeclarationError(InvalidArgumentError):
    """A declaration in a file of the operators is not valid."""

    code = "invalid-declaration"

    def __init__(self, file: str, field: str, value: object, allowed: str) -> None:
        super().__init__(field, value, allowed)
        self.args = (f"{file}: {self.args[0]}",)
        self.file = file

    def to_fields(self) -> dict[str, object]:
        """Return the failure as plain data for the wire."""
        return {**super().to_fields(), "file": self.file}


class UsageError(LavenderhookError):
    """The command line is not valid."""

    code = "usage"
    http_status = 400
    exit_code = 2


class UnknownNameError(LavenderhookError):
    """A named thing does not exist."""

    code = "not-found"
    http_status = 404
    exit_code = 3

    def __init__(self, kind: str, name: str) -> None:
        super().__init__(f"{kind} {name!r} does not exist")
        self.kind = kind
        self.name = name


class PermissionDeniedError(LavenderhookError):
    """The credential does not allow the operation."""

    code = "permission-denied"
    http_status = 403
    exit_code = 4


class UnauthenticatedError(LavenderhookError):
    """The call carries no valid credential."""

    code = "unauthenticated"
    http_status = 401
    exit_code = 4


class ConfigurationConflictError(LavenderhookError):
    """Another change won the race for the same configuration version.

    Parameters
    ----------
    expected : int
        Version on which the losing change was based.
    actual : int
        Version that is in force now.
    """

    code = "configuration-conflict"
    http_status = 409
    exit_code = 5

    def __init__(self, expected: int, actual: int) -> None:
        super().__init__(f"the change is based on version {expected}, version {actual} won")
        self.expected = expected
        self.actual = actual

    def to_fields(self) -> dict[str, object]:
        """Return the failure as plain data for the wire."""
        return {**super().to_fields(), "expected": self.expected, "actual": self.actual}


class DuplicateNameError(LavenderhookError):
    """The id was used before for different content."""

    code = "duplicate-name"
    http_status = 409
    exit_code = 5


class ImpossibleJobError(LavenderhookError):
    """The job can never run on the workers that it may use.

    Parameters
    ----------
    reason : str
        Which requirement cannot be met.
    """

    code = "impossible-job"
    http_status = 422
    exit_code = 6


class QuotaExceededError(LavenderhookError):
    """The team has no quota left for the job."""

    code = "quota-exceeded"
    http_status = 429
    exit_code = 6


class PayloadTooLargeError(LavenderhookError):
    """A request is larger than the configured limit."""

    code = "payload-too-large"
    http_status = 413
    exit_code = 2


class RequestTimeoutError(LavenderhookError):
    """The sender was slower than the configured limit."""

    code = "request-timeout"
    http_status = 408


class NotReadyError(LavenderhookError):
    """The instance cannot serve yet or is shutting down."""

    code = "not-ready"
    http_status = 503
    exit_code = 7


class StoreUnavailableError(LavenderhookError):
    """The platform's store cannot be used and nothing was changed."""

    code = "store-unavailable"
    http_status = 503
    exit_code = 7


class OutcomeUnknownError(LavenderhookError):
    """A write may or may not have taken effect."""

    code = "outcome-unknown"
    http_status = 504
    exit_code = 8


class PeerUnavailableError(LavenderhookError):
    """No entry instance that could carry out the operation can be reached."""

    code = "peer-unavailable"
    http_status = 503
    exit_code = 7


class TransportError(LavenderhookError):
    """A connection failed.

    Parameters
    ----------
    message : str
        What failed.
    sent : bool
        Whether any byte of the request may have reached the other side.
    """

    code = "transport"
    http_status = 502

    def __init__(self, message: str, *, sent: bool) -> None:
        super().__init__(message)
        self.sent = sent


class TruncatedAnswerError(TransportError):
    """A response body ended before its declared length."""

    code = "truncated-answer"

    def __init__(self, expected: int | None, received: int) -> None:
        super().__init__(f"received {received} of {expected} bytes", sent=True)


class MismatchedAnswerError(TransportError):
    """A response carries the id of a different request."""

    code = "mismatched-answer"

    def __init__(self, expected: str, actual: str) -> None:
        super().__init__(f"response for {actual!r} where {expected!r} was due", sent=True)


class ProtocolError(LavenderhookError):
    """A message does not follow the protocol."""

    code = "protocol"
    http_status = 400


class ReportedError(LavenderhookError):
    """A failure that an entry instance reported over HTTP.

    Parameters
    ----------
    code : str
        Code of the failure at the instance; decides the exit status.
    message : str
        What the instance said.
    fields : dict of str to object
        Everything that the instance reported.
    """

    def __init__(self, code: str, message: str, fields: dict[str, object]) -> None:
        super().__init__(message)
        self.code = code
        self.exit_code = find_exit_code(code)
        self.fields = fields

    def to_fields(self) -> dict[str, object]:
        """Return the failure as plain data for the wire."""
        return {**self.fields, **super().to_fields()}


class RequestNotRunError(LavenderhookError):
    """A request to a service was certainly not run and may be sent again."""

    code = "not-run"
    http_status = 503
    exit_code = 7


class UnsuccessfulResponseError(LavenderhookError):
    """The upstream ran the request and responded with an error status."""

    code = "unsuccessful-response"
    exit_code = 9


class JobUnsuccessfulError(LavenderhookError):
    """A job that was waited for ended without being done."""

    code = "job-unsuccessful"
    exit_code = 9


class WaitTimeoutError(LavenderhookError):
    """A job that was waited for has not ended in time; it goes on."""

    code = "wait-timeout"
    http_status = 504
    exit_code = 10


def find_exit_code(code: str) -> int:
    """Return the exit status for the code of a failure; 1 if the code is not known."""
    pending: list[type[LavenderhookError]] = [LavenderhookError]
    while pending:
        found = pending.pop()
        if found.code == code:
            return found.exit_code
        pending.extend(found.__subclasses__())
    return LavenderhookError.exit_code
