"""Command-line application: registers the commands and prints their failures."""

from __future__ import annotations

import sys
from collections.abc import Iterator, Sequence

import msgspec
from cleo.application import Application
from cleo.exceptions import CleoError
from cleo.io.inputs.argv_input import ArgvInput

from ...errors import LavenderhookError, UsageError
from .declaration_commands import (
    ApplyCommand,
    CheckCommand,
    GetCommand,
    HistoryCommand,
    PlanCommand,
)
from .inspection_commands import (
    ExplainCommand,
    InstancesCommand,
    QueueCommand,
    SummaryCommand,
    WorkersCommand,
)
from .job_commands import (
    CancelCommand,
    OutcomeCommand,
    RequestCommand,
    StatusCommand,
    SubmitCommand,
    WaitCommand,
)

VERSION = "0.1.0"
COMMANDS = (
    ApplyCommand,
    CancelCommand,
    CheckCommand,
    ExplainCommand,
    GetCommand,
    HistoryCommand,
    InstancesCommand,
    OutcomeCommand,
    PlanCommand,
    QueueCommand,
    RequestCommand,
    StatusCommand,
    SubmitCommand,
    SummaryCommand,
    WaitCommand,
    WorkersCommand,
)


def build_application() -> Application:
    """Return the application with all commands."""
    application = Application("lavenderhook", VERSION)
    application.auto_exits(False)
    application.catch_exceptions(False)
    for command in COMMANDS:
        application.add(command())
    return application


def run(arguments: Sequence[str] | None = None) -> int:
    """Run the command-line tool.

    Parameters
    ----------
    arguments : sequence of str or None
        Command-line arguments without the program's name; None for ``sys.argv[1:]``.

    Returns
    -------
    int
        Exit status.
    """
    command_line = list(sys.argv[1:] if arguments is None else arguments)
    try:
        return build_application().run(ArgvInput(["lavenderhook", *command_line]))
    except CleoError as error:
        failures: list[LavenderhookError] = [UsageError(str(error))]
    except LavenderhookError as error:
        failures = [error]
    except ExceptionGroup as group:
        failures = list(_flatten(group))
    except Exception as error:
        # Internal error: print the exception's type and text; a traceback would not help users.
        failures = [LavenderhookError(f"unexpected {type(error).__name__}: {error}")]
    _print_failures(failures, as_json=_wants_json(command_line))
    return failures[0].exit_code


def _flatten(group: ExceptionGroup) -> Iterator[LavenderhookError]:
    for error in group.exceptions:
        if isinstance(error, ExceptionGroup):
            yield from _flatten(error)
        elif isinstance(error, LavenderhookError):
            yield error
        else:
            yield LavenderhookError(f"unexpected {type(error).__name__}: {error}")


def _wants_json(arguments: Sequence[str]) -> bool:
    """Return whether JSON output is requested, also if the command line cannot be parsed."""
    text = "\n".join(arguments)
    return any(
        option in text for option in ("--output=json", "--output\njson", "-o\njson", "-ojson")
    )


def _print_failures(failures: Sequence[LavenderhookError], *, as_json: bool) -> None:
    for failure in failures:
        if as_json:
            line = msgspec.json.encode(failure.to_fields(), enc_hook=str).decode()
        else:
            line = f"error: {failure.code}: {failure}"
        print(line, file=sys.stderr)
