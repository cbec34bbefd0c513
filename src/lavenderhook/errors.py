"""Errors that lavenderhook reports."""

from __future__ import annotations


class LavenderhookError(Exception):
    """Base class of all errors.

    Attributes
    ----------
    code : str
        Stable name of the error, used on the wire and in logs.
    http_status : int
        HTTP status with which a front end reports the error.
    exit_code : int
        Exit status with which the command-line tool reports the error.
    """

    code = "internal"
    http_status = 500
    exit_code = 1

    def to_fields(self) -> dict[str, object]:
        """Return the error as plain data for the wire."""
        return {"error": self.code, "message": str(self)}


class InvalidArgumentError(LavenderhookError):
    """A supplied value is not valid.

    Parameters
    ----------
    field : str
        Path of the argument, such as ``workload.resources.processors``.
    value : object
        The supplied value.
    allowed : str
        Description of the values that are accepted.
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
        """Return the error as plain data for the wire."""
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
    """A declaration in a declaration file is not valid."""

    code = "invalid-declaration"

    def __init__(self, file: str, field: str, value: object, allowed: str) -> None:
        super().__init__(field, value, allowed)
        self.args = (f"{file}: {self.args[0]}",)
        self.file = file

    def to_fields(self) -> dict[str, object]:
        """Return the error as plain data for the wire."""
        return {**super().to_fields(), "file": self.file}


class UsageError(LavenderhookError):
    """The command line is not valid."""

    code = "usage"
    http_status = 400
    exit_code = 2


class UnknownNameError(LavenderhookError):
    """No object of a kind has the given name."""

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
    """A configuration change is not based on the current version.

    Parameters
    ----------
    expected : int
        Version on which the refused change was based.
    actual : int
        Current version.
    """

    code = "configuration-conflict"
    http_status = 409
    exit_code = 5

    def __init__(self, expected: int, actual: int) -> None:
        super().__init__(
            f"the change is based on version {expected}, but the current version is {actual}"
        )
        self.expected = expected
        self.actual = actual

    def to_fields(self) -> dict[str, object]:
        """Return the error as plain data for the wire."""
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
        Requirement that cannot be met.
    """

    code = "impossible-job"
    http_status = 422
    exit_code = 6


class QuotaExceededError(LavenderhookError):
    """The quota of the team does not admit the job."""

    code = "quota-exceeded"
    http_status = 429
    exit_code = 6


class PayloadTooLargeError(LavenderhookError):
    """A request is larger than the configured limit."""

    code = "payload-too-large"
    http_status = 413
    exit_code = 2


class RequestTimeoutError(LavenderhookError):
    """A request was not received completely within the configured time limit."""

    code = "request-timeout"
    http_status = 408


class NotReadyError(LavenderhookError):
    """The instance cannot serve yet or is shutting down."""

    code = "not-ready"
    http_status = 503
    exit_code = 7


class IntakeFullError(NotReadyError):
    """The instance has no room for a request; it has not been carried out."""

    code = "intake-full"


class StoreUnavailableError(LavenderhookError):
    """The platform's store is unavailable; nothing was changed."""

    code = "store-unavailable"
    http_status = 503
    exit_code = 7


class StoreBusyError(StoreUnavailableError):
    """The platform's store has too much to do at the moment; nothing was changed."""

    code = "store-busy"


class OutcomeUnknownError(LavenderhookError):
    """A write may or may not have taken effect."""

    code = "outcome-unknown"
    http_status = 504
    exit_code = 8


class PeerUnavailableError(LavenderhookError):
    """No entry instance that can carry out the operation is reachable."""

    code = "peer-unavailable"
    http_status = 503
    exit_code = 7


class TransportError(LavenderhookError):
    """A connection failed.

    Parameters
    ----------
    message : str
        Description of the failure.
    sent : bool
        Whether the request may have had an effect; False only if no byte of it was sent or the
        server rejected it.
    """

    code = "transport"
    http_status = 502

    def __init__(self, message: str, *, sent: bool) -> None:
        super().__init__(message)
        self.sent = sent


class AddressError(TransportError):
    """An address that no connection can be made to; nothing was sent."""

    code = "address"

    def __init__(self, address: str) -> None:
        super().__init__(f"{address[:100]!r} is no address of the form host:port/path", sent=False)


class TruncatedAnswerError(TransportError):
    """A response body ended before its declared length."""

    code = "truncated-answer"

    def __init__(self, expected: int | None, received: int) -> None:
        super().__init__(f"received {received} of {expected} bytes", sent=True)


class MismatchedAnswerError(TransportError):
    """A response carries the id of a different request."""

    code = "mismatched-answer"

    def __init__(self, expected: str, actual: str) -> None:
        super().__init__(
            f"response carries request id {actual!r}, expected {expected!r}", sent=True
        )


class ProtocolError(LavenderhookError):
    """A message does not follow the protocol."""

    code = "protocol"
    http_status = 400


class ReportedError(LavenderhookError):
    """An error that an entry instance reported over HTTP.

    Parameters
    ----------
    code : str
        Code of the reported error; determines the exit status.
    message : str
        Message of the reported error.
    fields : dict of str to object
        All fields of the reported error.
    """

    def __init__(self, code: str, message: str, fields: dict[str, object]) -> None:
        super().__init__(message)
        self.code = code
        self.exit_code = find_exit_code(code)
        self.fields = fields

    def to_fields(self) -> dict[str, object]:
        """Return the error as plain data for the wire."""
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
    """A job that was waited for failed or was cancelled."""

    code = "job-unsuccessful"
    exit_code = 9


class WaitTimeoutError(LavenderhookError):
    """A job that was waited for has not ended in time; the job continues to run."""

    code = "wait-timeout"
    http_status = 504
    exit_code = 10


def find_exit_code(code: str) -> int:
    """Return the exit status for an error code; 1 if the code is not known."""
    classes: list[type[LavenderhookError]] = [LavenderhookError]
    while classes:
        error_class = classes.pop()
        if error_class.code == code:
            return error_class.exit_code
        classes.extend(error_class.__subclasses__())
    return LavenderhookError.exit_code
