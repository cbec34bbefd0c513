"""Commands for declarations: check, plan, apply, get, history."""

from __future__ import annotations

import dataclasses
import datetime
from typing import Any

import msgspec
from cleo.helpers import argument, option

from ...errors import UnknownNameError, UsageError
from ..core.declarations import AnyDeclaration, DeclarationKey, get_key, get_kind
from .changes import (
    ActiveConfiguration,
    Plan,
    compute_change_id,
    compute_plan,
    describe_plan,
    read_active_configuration,
    render_plan,
)
from .client import Client
from .command import ConnectedCommand, ToolCommand
from .files import KINDS, DeclarationsByKey, check_references, load_files, parse_key
from .tables import render_table

CONFIGURATION_PATH = "/operator/v1/configuration"
HISTORY_PATH = "/operator/v1/history"
DEFAULT_HISTORY_LIMIT = 20
# Declarations named in each row of the history table; the JSON output has all of them.
MAX_NAMES_SHOWN = 3
FILES_ARGUMENT = argument("files", "TOML files with declarations.", multiple=True)
OPTIONAL_FILES_ARGUMENT = argument(
    "files", "TOML files with declarations.", optional=True, multiple=True
)
DELETE_OPTION = option(
    "delete",
    None,
    "Also delete this declaration (KIND/NAME); repeatable.",
    flag=False,
    multiple=True,
)
PRUNE_OPTION = option(
    "prune", None, "Also delete every active declaration that is in none of the files."
)


class CheckCommand(ToolCommand):
    """Check files without calling an entry instance."""

    name = "check"
    description = "Checks declaration files offline."
    help = """Checks declaration files without calling an entry instance, for example before a
commit. Each error is printed with its file, declaration and field. The files are checked
together: a selector with target policy must name a policy that one of the files declares.

  lavenderhook check examples/authority/*.toml

Exit status: 0 if all declarations are valid, 2 if not."""
    arguments = [FILES_ARGUMENT]

    def execute_command(self) -> None:
        """Check the files and print the number of declarations of each kind."""
        declared = load_files(self.argument("files"))
        check_references(declared)
        counts = {kind: sum(key[0] == kind for key in declared) for kind in KINDS}
        if self.is_json:
            self.print_json({"valid": True, "declarations": counts})
            return
        summary = ", ".join(f"{count} {kind}" for kind, count in counts.items() if count)
        self.print_lines([f"valid: {summary or 'no declarations'}"])


class _PlanningCommand(ConnectedCommand):
    """Base of the commands that compare files with the active configuration."""

    def _read_declarations(self) -> tuple[DeclarationsByKey, tuple[DeclarationKey, ...]]:
        files = self.argument("files")
        if not files and (self.option("prune") or not self.option("delete")):
            # Pruning without files would delete the whole configuration.
            raise UsageError("give at least one file, or only --delete")
        declared = load_files(files)
        deletes = tuple(sorted({parse_key(text) for text in self.option("delete")}))
        for key in deletes:
            if key in declared:
                name = "/".join(key)
                raise UsageError(f"--delete {name}: {declared[key].file} declares it")
        return declared, deletes

    def _compute_plan(
        self, client: Client, declared: DeclarationsByKey, deletes: tuple[DeclarationKey, ...]
    ) -> tuple[ActiveConfiguration, Plan]:
        active = read_active_configuration(client.fetch(CONFIGURATION_PATH))
        plan = compute_plan(declared, active, deletes, prune=self.option("prune"))
        check_references(declared, active.declarations.values(), plan.deletes)
        return active, plan


class PlanCommand(_PlanningCommand):
    """Show what applying declaration files would change."""

    name = "plan"
    description = "Shows what apply would change."
    help = """Compares declaration files with the active configuration and changes nothing.

  lavenderhook plan examples/authority/*.toml

Each declaration that differs is one entry: + is added, ~ is changed (field: before -> after),
- is deleted. Active declarations that are in none of the files are kept unless --delete or
--prune is given. To make sure that apply makes exactly the changes shown, pass the version in
the last line as --expected to apply."""
    arguments = [OPTIONAL_FILES_ARGUMENT]
    own_options = [DELETE_OPTION, PRUNE_OPTION]

    def execute_command(self) -> None:
        """Print the plan."""
        declared, deletes = self._read_declarations()
        _, plan = self._compute_plan(self.connect(), declared, deletes)
        if self.is_json:
            self.print_json(describe_plan(plan))
        else:
            self.print_lines(render_plan(plan))


@dataclasses.dataclass(frozen=True, slots=True)
class _ChangeRequest:
    change_id: str
    expected: int | None
    puts: list[AnyDeclaration]
    deletes: tuple[DeclarationKey, ...]

    def build_body(self) -> dict[str, object]:
        return {
            "change_id": self.change_id,
            "expected": self.expected,
            "puts": self.puts,
            "deletes": [{"kind": kind, "name": name} for kind, name in self.deletes],
        }


class ApplyCommand(_PlanningCommand):
    """Apply declaration files."""

    name = "apply"
    description = "Applies declaration files as one change."
    help = """Sends the declarations of all files as one atomic change: either all of them become
active or none.

  lavenderhook apply examples/authority/*.toml --change-id ticket-4711 --expected 12

Each change has an id. Applying the same id again has no effect and returns the first result, so a
call whose result was lost (exit status 8) can be repeated safely. Without --change-id the id is a
hash of the content; if the same content was accepted before and replaced since, the current
version is appended to the id. With --expected the change is refused if another change was accepted
first.

Exit status: 0 accepted, 2 not valid, 4 credential, 5 conflict, 7 nothing changed, may be
repeated, 8 result unknown: apply the same id again."""
    arguments = [OPTIONAL_FILES_ARGUMENT]
    own_options = [
        option("change-id", None, "Id of the change. Default: a hash of the content.", flag=False),
        option("expected", None, "Configuration version that must be active now.", flag=False),
        DELETE_OPTION,
        PRUNE_OPTION,
    ]

    def execute_command(self) -> None:
        """Send the change."""
        declared, deletes = self._read_declarations()
        expected = self.read_number("expected")
        client = self.connect()
        active, plan = self._compute_plan(client, declared, deletes)
        request = self._build_request(client, active, plan, declared, expected)
        if request is None:
            self._print_result(
                {"version": plan.version, "change_id": None, "repeated": False}, plan
            )
            return
        response = client.post(CONFIGURATION_PATH, request.build_body())
        self._print_result(response, plan)
        if response["repeated"] and plan.steps:
            self.print_note(
                f"note: change {response['change_id']} was accepted as version "
                f"{response['version']}, and later changes replaced parts of it; use another "
                "--change-id to apply it on top of them"
            )

    def _build_request(
        self,
        client: Client,
        active: ActiveConfiguration,
        plan: Plan,
        declared: DeclarationsByKey,
        expected: int | None,
    ) -> _ChangeRequest | None:
        """Return the change to send, or None if it would change nothing.

        With --prune, the change is bound to the version from which its deletions were computed. If
        it repeats an accepted change, the deletions are taken from that change, because they no
        longer appear in the plan.
        """
        puts = [entry.declaration for _, entry in sorted(declared.items())]
        prune = self.option("prune")
        given_id = self.option("change-id")
        change_id = given_id or compute_change_id(puts, plan.deletes)
        earlier = None
        if prune or not given_id:
            earlier = _find_change(client.fetch(HISTORY_PATH), change_id)
        if not given_id and not plan.steps and expected is None and earlier is None:
            return None
        if not given_id and plan.steps and earlier is not None:
            # The content was accepted before and replaced since; the same id would have no effect.
            change_id = f"{change_id}-{active.version}"
            earlier = None
        deletes = plan.deletes
        if prune and earlier is not None:
            deletes = tuple((str(kind), str(name)) for kind, name in earlier["deletes"])
        if prune and expected is None:
            expected = active.version
        return _ChangeRequest(change_id, expected, puts, deletes)

    def _print_result(self, result: Any, plan: Plan) -> None:
        if self.is_json:
            steps = describe_plan(plan)["steps"]
            self.print_json({**result, "steps": [] if result["repeated"] else steps})
            return
        if result["change_id"] is None:
            self.print_lines([f"nothing to change; version {result['version']} is in force"])
            return
        if result["repeated"]:
            self.print_lines(
                [f"change {result['change_id']} was accepted before as version {result['version']}"]
            )
            return
        self.print_lines(render_plan(plan))
        self.print_lines([f"change {result['change_id']} accepted as version {result['version']}"])


def _find_change(view: Any, change_id: str) -> Any:
    """Return the accepted change with an id, or None."""
    for change in view["changes"]:
        if change["change_id"] == change_id:
            return change
    return None


class GetCommand(ConnectedCommand):
    """Show the active declarations."""

    name = "get"
    description = "Shows the active declarations."
    help = """Shows the active configuration, one line per declaration, or all fields of one.

  lavenderhook get
  lavenderhook get workload
  lavenderhook get workload sponsor-desk

Kinds: workload, policy, selector, quota, worker-labels."""
    arguments = [
        argument("kind", "Only this kind.", optional=True),
        argument("declaration", "Only the declaration with this name.", optional=True),
    ]

    def execute_command(self) -> None:
        """Print the declarations."""
        kind, name = self.argument("kind"), self.argument("declaration")
        if kind is not None and kind not in KINDS:
            raise UnknownNameError("kind", kind)
        active = read_active_configuration(self.connect().fetch(CONFIGURATION_PATH))
        found = [
            declaration
            for key, declaration in sorted(active.declarations.items())
            if kind in (None, key[0]) and name in (None, key[1])
        ]
        if name is not None and not found:
            raise UnknownNameError(kind, name)
        if self.is_json:
            self.print_json({"version": active.version, "declarations": found})
        elif name is not None:
            self._print_fields(found[0])
        else:
            rows = [(get_kind(d), d.name, d.labels, _summarise(d)) for d in found]
            self.print_lines(render_table(("kind", "name", "labels", "content"), rows))
            self.print_lines([f"version {active.version}"])

    def _print_fields(self, declaration: AnyDeclaration) -> None:
        # The plan that deletes the declaration has all of its fields.
        plan = compute_plan(
            {}, ActiveConfiguration(0, {get_key(declaration): declaration}), (), prune=True
        )
        rows = [(change.field, change.before) for change in plan.steps[0].fields]
        self.print_lines(render_table(("field", "value"), rows))


def _summarise(declaration: AnyDeclaration) -> dict[str, object]:
    """Return the fields that differ from their defaults, without name and labels.

    A field whose default is created by a factory, such as `parameters`, is always included.
    """
    excluded = {"name", "labels"}
    fields: dict[str, object] = {}
    for field in msgspec.structs.fields(declaration):
        value = getattr(declaration, field.name)
        if field.name not in excluded and value != field.default:
            fields[field.name] = msgspec.to_builtins(value)
    return fields


def _abbreviate(names: list[str]) -> list[str]:
    rest = len(names) - MAX_NAMES_SHOWN
    return names if rest <= 0 else [*names[:MAX_NAMES_SHOWN], f"{rest} more"]


class HistoryCommand(ConnectedCommand):
    """Show the latest configuration changes."""

    name = "history"
    description = "Shows the latest configuration changes, newest first."
    help = """Shows each accepted change with its time and author, newest first.

  lavenderhook history --limit 5

The table names only the first declarations of each change; --output json shows whole changes.
"""
    own_options = [
        option("limit", None, "Number of changes.", flag=False, default=str(DEFAULT_HISTORY_LIMIT))
    ]

    def execute_command(self) -> None:
        """Print the changes."""
        limit = self.read_number("limit")
        if limit < 1:
            raise UsageError("--limit must be at least 1")
        changes = self.connect().fetch(HISTORY_PATH)["changes"]
        latest = sorted(changes, key=lambda change: -change["version"])[:limit]
        rows = [
            (
                change["version"],
                datetime.datetime.fromtimestamp(change["at"]).isoformat(timespec="seconds"),
                change["author"],
                change["change_id"],
                _abbreviate([f"{put['kind']}/{put['name']}" for put in change["puts"]]),
                _abbreviate(["/".join(key) for key in change["deletes"]]),
            )
            for change in latest
        ]
        headers = ("version", "at", "author", "change", "puts", "deletes")
        self.show({"changes": latest}, headers, rows)
