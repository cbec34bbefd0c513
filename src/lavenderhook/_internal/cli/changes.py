"""Differences between the declared and the active configuration, and the change to apply."""

from __future__ import annotations

import dataclasses
import enum
import hashlib
import json
from collections.abc import Iterable, Iterator, Sequence
from typing import Any

import msgspec

from ...errors import ProtocolError
from ..core.declarations import AnyDeclaration, DeclarationKey, get_key
from .files import DeclarationsByKey

CHANGE_ID_DIGITS = 16


class Action(enum.Enum):
    """What a change does to a declaration."""

    ADD = "add"
    CHANGE = "change"
    DELETE = "delete"


ACTION_SIGNS = {Action.ADD: "+", Action.CHANGE: "~", Action.DELETE: "-"}


@dataclasses.dataclass(frozen=True, slots=True)
class FieldChange:
    """A changed field with its old and new value as JSON text; None if the field is absent."""

    field: str
    before: str | None
    after: str | None


@dataclasses.dataclass(frozen=True, slots=True)
class PlannedChange:
    """What a change does to one declaration."""

    action: Action
    key: DeclarationKey
    fields: tuple[FieldChange, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Plan:
    """All changes that lead from the active configuration at `version` to the declared one."""

    version: int
    steps: tuple[PlannedChange, ...]
    unchanged: int
    deletes: tuple[DeclarationKey, ...]

    def count(self, action: Action) -> int:
        """Return the number of planned changes with an action."""
        return sum(step.action is action for step in self.steps)


@dataclasses.dataclass(frozen=True, slots=True)
class ActiveConfiguration:
    """The declarations that are active and the version of the configuration."""

    version: int
    declarations: dict[DeclarationKey, AnyDeclaration]


def read_active_configuration(view: Any) -> ActiveConfiguration:
    """Return the active configuration from an instance's response.

    Raises
    ------
    ProtocolError
        If the response is malformed, for example because the daemon is newer than the tool.
    """
    try:
        declarations = msgspec.convert(view["declarations"], tuple[AnyDeclaration, ...])
        return ActiveConfiguration(int(view["version"]), {get_key(d): d for d in declarations})
    except (KeyError, TypeError, ValueError, msgspec.ValidationError) as error:
        raise ProtocolError(f"the active configuration cannot be read: {error}") from error


def compute_plan(
    declared: DeclarationsByKey,
    active: ActiveConfiguration,
    deletes: Iterable[DeclarationKey],
    *,
    prune: bool,
) -> Plan:
    """Compute the changes from the active to the declared configuration.

    Parameters
    ----------
    declared : DeclarationsByKey
    active : ActiveConfiguration
    deletes : iterable of DeclarationKey
        Declarations to delete.
    prune : bool
        Whether active declarations that are not declared are deleted too.
    """
    deleted = set(deletes)
    if prune:
        deleted.update(key for key in active.declarations if key not in declared)
    steps: list[PlannedChange] = []
    for key, entry in sorted(declared.items()):
        before = active.declarations.get(key)
        if before == entry.declaration:
            continue
        action = Action.ADD if before is None else Action.CHANGE
        steps.append(PlannedChange(action, key, tuple(_compare_fields(before, entry.declaration))))
    for key in sorted(deleted & set(active.declarations)):
        steps.append(
            PlannedChange(
                Action.DELETE, key, tuple(_compare_fields(active.declarations[key], None))
            )
        )
    unchanged = len(declared) - sum(step.action is not Action.DELETE for step in steps)
    return Plan(active.version, tuple(steps), unchanged, tuple(sorted(deleted)))


def _compare_fields(
    before: AnyDeclaration | None, after: AnyDeclaration | None
) -> Iterator[FieldChange]:
    old, new = dict(_flatten(before)), dict(_flatten(after))
    for field in sorted({*old, *new}):
        if old.get(field) != new.get(field):
            yield FieldChange(field, old.get(field), new.get(field))


def _flatten(declaration: AnyDeclaration | None) -> Iterator[tuple[str, str]]:
    if declaration is None:
        return
    values = msgspec.to_builtins(declaration)
    for name in ("kind", "name"):
        values.pop(name)
    yield from _flatten_value("", values)


def _flatten_value(path: str, value: Any) -> Iterator[tuple[str, str]]:
    if isinstance(value, dict):
        for name, inner in value.items():
            yield from _flatten_value(f"{path}.{name}" if path else name, inner)
        return
    yield path, json.dumps(value)


def render_plan(plan: Plan) -> Iterator[str]:
    """Return a plan as human-readable lines."""
    for step in plan.steps:
        yield f"{ACTION_SIGNS[step.action]} {step.key[0]}/{step.key[1]}"
        if step.action is Action.DELETE:
            continue
        for change in step.fields:
            yield f"    {change.field}: {_render_values(change)}"
    yield (
        f"against version {plan.version}: {plan.count(Action.ADD)} to add, "
        f"{plan.count(Action.CHANGE)} to change, {plan.count(Action.DELETE)} to delete, "
        f"{plan.unchanged} unchanged"
    )


def _render_values(change: FieldChange) -> str:
    if change.before is None:
        return str(change.after)
    return f"{change.before} -> {change.after if change.after is not None else 'removed'}"


def describe_plan(plan: Plan) -> dict[str, object]:
    """Return a plan as plain data, for JSON output."""
    steps = [
        {
            "action": step.action.value,
            "kind": step.key[0],
            "name": step.key[1],
            "fields": [dataclasses.asdict(change) for change in step.fields],
        }
        for step in plan.steps
    ]
    return {"version": plan.version, "steps": steps, "unchanged": plan.unchanged}


def compute_change_id(puts: Sequence[AnyDeclaration], deletes: Sequence[DeclarationKey]) -> str:
    """Return a change id that is a hash of the change's content."""
    content = msgspec.json.encode([puts, deletes], order="deterministic")
    return "content-" + hashlib.sha256(content).hexdigest()[:CHANGE_ID_DIGITS]
