"""Base classes of the commands: common options and output."""

from __future__ import annotations

import abc
from collections.abc import Iterable, Sequence
from typing import Any, ClassVar

import msgspec
from cleo.commands.command import Command
from cleo.helpers import option
from cleo.io.inputs.option import Option
from cleo.io.outputs.output import Type

from ...errors import UsageError
from .client import Client
from .connection import resolve_connection
from .tables import render_table

TABLE_OUTPUT = "table"
JSON_OUTPUT = "json"

CONNECTION_OPTIONS = [
    option(
        "address",
        "a",
        "Entry instance as host:port; repeatable, or a comma-separated list. "
        "Default: LAVENDERHOOK_ADDRESS.",
        flag=False,
        multiple=True,
    ),
    option(
        "token",
        None,
        "Credential of a caller or an operator. Default: LAVENDERHOOK_TOKEN, "
        "which other users of the machine cannot read.",
        flag=False,
    ),
    option("caller", None, "Name of the caller, if the cluster declares no callers.", flag=False),
    option(
        "connection-file",
        None,
        "TOML file with address, token, caller, timeout_seconds. Default: LAVENDERHOOK_CONFIG.",
        flag=False,
    ),
]
OUTPUT_OPTION = option(
    "output",
    "o",
    "table (human-readable) or json (machine-readable).",
    flag=False,
    default=TABLE_OUTPUT,
)
SHARD_OPTION = option("shard", None, "Only this shard; default: all shards.", flag=False)


class ToolCommand(Command, abc.ABC):
    """Base of all commands."""

    own_options: ClassVar[Sequence[Option]] = ()
    shared_options: ClassVar[Sequence[Option]] = (OUTPUT_OPTION,)

    def configure(self) -> None:
        """Declare the options of this command and those that commands share."""
        super().configure()
        for entry in (*self.own_options, *self.shared_options):
            self._definition.add_option(entry)

    def handle(self) -> int:
        """Check the common options and run the command."""
        if self.option("output") not in (TABLE_OUTPUT, JSON_OUTPUT):
            raise UsageError(
                f"--output {self.option('output')!r} is not valid: expected table or json"
            )
        self.execute_command()
        return 0

    @abc.abstractmethod
    def execute_command(self) -> None:
        """Run the command.

        Raises
        ------
        LavenderhookError
            On failure; its ``exit_code`` becomes the exit status.
        """

    @property
    def is_json(self) -> bool:
        """Return whether the output is machine-readable (JSON)."""
        return bool(self.option("output") == JSON_OUTPUT)

    def print_lines(self, lines: Iterable[str]) -> None:
        """Print lines without interpreting markup in them."""
        for text in lines:
            self.io.write_line(text, type=Type.RAW)

    def print_json(self, value: object) -> None:
        """Print a value as indented JSON."""
        text = msgspec.json.format(msgspec.json.encode(value), indent=2).decode()
        self.print_lines([text])

    def print_note(self, text: str) -> None:
        """Print a remark on standard error, so that standard output holds only the result."""
        self.io.write_error_line(text, type=Type.RAW)

    def show(self, view: Any, headers: Sequence[str], rows: Iterable[Sequence[object]]) -> None:
        """Print a view as JSON, or its rows as a table."""
        if self.is_json:
            self.print_json(view)
        else:
            self.print_lines(render_table(headers, rows))

    def read_number(self, name: str, number_type: type[int] | type[float] = int) -> Any:
        """Return the value of a numeric option, or None if it is not given.

        Raises
        ------
        UsageError
            If the text is not a number of this type.
        """
        text = self.option(name)
        if text is None:
            return None
        try:
            return number_type(text)
        except ValueError:
            raise UsageError(f"--{name} {text!r} is not a number") from None

    def read_pairs(self, name: str) -> dict[str, str]:
        """Return the values of a repeated option of the form ``key=value``.

        Raises
        ------
        UsageError
            If a value has another form or a key is repeated.
        """
        pairs: dict[str, str] = {}
        for text in self.option(name):
            key, separator, value = text.partition("=")
            if not separator or not key or key in pairs:
                raise UsageError(
                    f"--{name} {text!r} is not valid: expected key=value with each key at most once"
                )
            pairs[key] = value
        return pairs


class ConnectedCommand(ToolCommand, abc.ABC):
    """Base of the commands that call entry instances."""

    shared_options = (OUTPUT_OPTION, *CONNECTION_OPTIONS)

    def connect(self) -> Client:
        """Return a client for the configured addresses and credential."""
        settings = resolve_connection(
            self.option("address"),
            self.option("token"),
            self.option("caller"),
            self.option("connection-file"),
        )
        return Client(settings)
