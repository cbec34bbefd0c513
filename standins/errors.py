"""Exceptions of the stand-ins."""

import errno


class StandInError(Exception):
    """Base class of the stand-ins' exceptions."""


class BadRequestError(StandInError):
    """Request that violates the protocol; answered with 400.

    Parameters
    ----------
    argument : str
        Name of the invalid argument.
    message : str
        Reason why it is invalid.
    """

    def __init__(self, argument, message):
        super().__init__(f"{argument}: {message}")
        self.argument = argument


class UnknownTargetError(StandInError):
    """Control request for an unknown stand-in; answered with 404."""


class DropConnectionError(OSError):
    """Close a connection without a response.

    The WSGI server treats this error number as a disconnected client: it logs nothing and writes
    no error response.
    """

    def __init__(self):
        super().__init__(errno.ECONNRESET, "connection closed by a stand-in")
