"""Commands on the declarations: check, plan, apply, get, history."""

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
    describe_plan,
    make_plan,
    read_active_configuration,
    render_plan,
)
from .client import Client
from .command import ConnectedCommand, ToolCommand
from .files import KINDS, DeclarationsByKey, check_references, load_files, parse_key
from .tables import render_table

CONFIGURATION_PATH = "/operator/v1/configuration"
HISTORY_PATH = "/operator/v1/history"
DEFAULT_HISTORY = 20  # changes
SHOWN_NAMES = 3  # declarations named in a row of the history; json has them all
FILES = argument("files", "TOML files with declarations.", multiple=True)
OPTIONAL_FILES = argument("files", "TOML files with declarations.", optional=True, multiple=True)
DELETE = option(
    "delete",
    None,
    "Also delete this declaration (KIND/NAME); repeatable.",
    flag=False,
    multiple=True,
)
PRUNE = option("prune", None, "Also delete every declaration that is in none of the files.")


class CheckCommand(ToolCommand):
    """Check files without calling anybody."""

    name = "check"
    description = "Checks declaration files offline."
    help = """Checks files of declarations without calling an entry instance, for example
before a commit. Each problem is printed with its file, declaration and field. The files are
checked together: a selector of target policy must name a policy that one of them declares.

  lavenderhook check examples/authority/*.toml

Exit status: 0 if all are valid, 2 if not."""
    arguments = [FILES]

    def execute_command(self) -> None:
        """Check the files."""
        declared = load_files(self.argument("files"))
        check_references(declared)
        counts = {kind: sum(key[0] == kind for key in declared) for kind in KINDS}
        if self.is_json:
            self.print_json({"valid": True, "declarations": counts})
            return
        found = ", ".join(f"{count} {kind}" for kind, count in counts.items() if count)
        self.print_lines([f"valid: {found or 'no declarations'}"])


class _ComparingCommand(ConnectedCommand):
    def _read(self) -> tuple[DeclarationsByKey, tuple[DeclarationKey, ...]]:
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

    def _compare(
        self, client: Client, declared: DeclarationsByKey, deletes: tuple[DeclarationKey, ...]
    ) -> tuple[ActiveConfiguration, Plan]:
        active = read_active_configuration(client.fetch(CONFIGURATION_PATH))
        plan = make_plan(declared, active, deletes, prune=self.option("prune"))
        check_references(declared, active.declarations.values(), plan.deletes)
        return active, plan


class PlanCommand(_ComparingCommand):
    """Show what applying files would change."""

    name = "plan"
    description = "Shows what apply would change."
    help = """Compares declaration files with the configuration in force and changes nothing.

  lavenderhook plan examples/authority/*.toml

Each declaration that differs is one entry: + is added, ~ is changed (field: before -> after),
- is deleted. Declarations that are in force but in none of the files are left alone unless
--delete or --prune says otherwise. Give the version in the last line to apply as --expected to
be sure that the change is the one that was shown."""
    arguments = [OPTIONAL_FILES]
    own_options = [DELETE, PRUNE]

    def execute_command(self) -> None:
        """Print the plan."""
        declared, deletes = self._read()
        _, plan = self._compare(self.connect(), declared, deletes)
        if self.is_json:
            self.print_json(describe_plan(plan))
        else:
            self.print_lines(render_plan(plan))


@dataclasses.dataclass(frozen=True, slots=True)
class _Change:
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


class ApplyCommand(_ComparingCommand):
    """Put files in force."""

    name = "apply"
    description = "Puts declaration files in force as one change."
    help = """Sends the declarations of all files as one change: all of it is in force afterwards,
or nothing.

  lavenderhook apply examples/authority/*.toml --change-id ticket-4711 --expected 12

A change has an id. Applying the same id again has no effect and gives the first result, so a call
whose result was lost (exit status 8) is safely repeated. Without --change-id the id is a hash of
the content; if the same content was accepted before and changed since, the id also gets the
present version. With --expected the change is refused if another change came first.

Exit status: 0 accepted, 2 not valid, 4 credential, 5 conflict, 7 nothing changed and may be
repeated, 8 result unknown: apply the same id again."""
    arguments = [OPTIONAL_FILES]
    own_options = [
        option("change-id", None, "Id of the change. Default: a hash of the content.", flag=False),
        option("expected", None, "Version that must be in force now.", flag=False),
        DELETE,
        PRUNE,
    ]

    def execute_command(self) -> None:
        """Apply the files."""
        declared, deletes = self._read()
        expected = self.read_number("expected")
        client = self.connect()
        active, plan = self._compare(client, declared, deletes)
        change = self._build_change(client, active, plan, declared, expected)
        if change is None:
            self._report({"version": plan.version, "change_id": None, "repeated": False}, plan)
            return
        answer = client.post(CONFIGURATION_PATH, change.build_body())
        self._report(answer, plan)
        if answer["repeated"] and plan.steps:
            self.print_note(
                f"note: change {answer['change_id']} was accepted as version "
                f"{answer['version']}, and later changes replaced parts of it; use another "
                "--change-id to apply it on top of them"
            )

    def _build_change(
        self,
        client: Client,
        active: ActiveConfiguration,
        plan: Plan,
        declared: DeclarationsByKey,
        expected: int | None,
    ) -> _Change | None:
        """Return the change to send, or None if it would change nothing.

        A change that prunes is bound to the version whose declarations it was computed from. When
        it is repeated, its deletions are those of the first time, which no longer show in the
        difference.
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
        return _Change(change_id, expected, puts, deletes)

    def _report(self, answer: Any, plan: Plan) -> None:
        if self.is_json:
            steps = describe_plan(plan)["steps"]
            self.print_json({**answer, "steps": [] if answer["repeated"] else steps})
            return
        if answer["change_id"] is None:
            self.print_lines([f"nothing to change; version {answer['version']} is in force"])
            return
        if answer["repeated"]:
            self.print_lines(
                [f"change {answer['change_id']} was accepted before as version {answer['version']}"]
            )
            return
        self.print_lines(render_plan(plan))
        self.print_lines([f"change {answer['change_id']} accepted as version {answer['version']}"])


def _find_change(view: Any, change_id: str) -> Any:
    """Return the accepted change of an id, or None."""
    for change in view["changes"]:
        if change["change_id"] == change_id:
            return change
    return None


class GetCommand(ConnectedCommand):
    """Show the declarations in force."""

    name = "get"
    description = "Shows the declarations in force."
    help = """Shows the configuration in force, one line for each declaration, or all fields of one.

  lavenderhook get
  lavenderhook get workload
  lavenderhook get workload sponsor-desk

Kinds: workload, policy, selector, quota, worker-labels."""
    arguments = [
        argument("kind", "Only this kind.", optional=True),
        argument("declaration", "Only the declaration of this name.", optional=True),
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
        plan = make_plan(
            {}, ActiveConfiguration(0, {get_key(declaration): declaration}), (), prune=True
        )
        rows = [(change.field, change.before) for change in plan.steps[0].fields]
        self.print_lines(render_table(("field", "value"), rows))


def _summarise(declaration: AnyDeclaration) -> dict[str, object]:
    """Return the fields that differ from their defaults, without labels, on one line."""
    hidden = {"name", "labels"}
    shown: dict[str, object] = {}
    for field in msgspec.structs.fields(declaration):
        value = getattr(declaration, field.name)
        if field.name not in hidden and value != field.default:
            shown[field.name] = msgspec.to_builtins(value)
    return shown


def _shorten(names: list[str]) -> list[str]:
    rest = len(names) - SHOWN_NAMES
    return names if rest <= 0 else [*names[:SHOWN_NAMES], f"{rest} more"]


class HistoryCommand(ConnectedCommand):
    """Show the latest changes."""

    name = "history"
    description = "Shows the latest configuration changes, newest first."
    help = """Shows who changed the configuration when, newest first.

  lavenderhook history --limit 5

The table names the first declarations of each change; --output json has the whole changes.
"""
    own_options = [
        option("limit", None, "Number of changes.", flag=False, default=str(DEFAULT_HISTORY))
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
                _shorten([f"{put['kind']}/{put['name']}" for put in change["puts"]]),
                _shorten(["/".join(key) for key in change["deletes"]]),
            )
            for change in latest
        ]
        headers = ("version", "at", "author", "change", "puts", "deletes")
        self.show({"changes": latest}, headers, rows)
