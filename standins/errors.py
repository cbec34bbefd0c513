"""Typed failures of the stand-ins."""

import errno


class StandInError(Exception):
    """Root of the stand-ins' failures."""


class BadRequestError(StandInError):
    """A request that does not follow the protocol; answered with 400.

    Parameters
    ----------
    argument : str
        Name of the argument at fault.
    message : str
        What is wrong with it.
    """

    def __init__(self, argument, message):
        super().__init__(f"{argument}: {message}")
        self.argument = argument


class UnknownTargetError(StandInError):
    """A control request that names no stand-in of this platform; answered with 404."""


class DropConnectionError(OSError):
    """Ends a connection without a response.

    The error number is one that the WSGI server treats as a closed client, so nothing is logged
    and no error response is written.
    """

    def __init__(self):
        super().__init__(errno.ECONNRESET, "connection dropped by a stand-in")
