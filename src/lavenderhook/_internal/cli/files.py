"""Declarations in TOML files.

A file holds arrays of tables, one array for each kind: ``[[workload]]``, ``[[policy]]``,
``[[selector]]``, ``[[quota]]`` and ``[[worker-labels]]``. Each error names the file, the
declaration and the field, and the errors of all files are reported together.
"""

from __future__ import annotations

import dataclasses
from collections.abc import Iterable, Mapping, Sequence
from pathlib import Path
from typing import Any

from ...errors import (
    DeclarationError,
    InvalidArgumentError,
    ProtocolError,
    UsageError,
)
from ..core.declarations import (
    AnyDeclaration,
    DeclarationKey,
    Policy,
    Quota,
    Selector,
    WorkerLabels,
    Workload,
    get_key,
    validate_declaration,
    validate_references,
)
from ..decoding import decode_toml
from ..violations import convert

DECLARATION_TYPES: Mapping[str, type[AnyDeclaration]] = {
    "workload": Workload,
    "policy": Policy,
    "selector": Selector,
    "quota": Quota,
    "worker-labels": WorkerLabels,
}
KINDS = tuple(DECLARATION_TYPES)


@dataclasses.dataclass(frozen=True, slots=True)
class SourcedDeclaration:
    """A declaration and the file from which it was read."""

    declaration: AnyDeclaration
    file: str


DeclarationsByKey = dict[DeclarationKey, SourcedDeclaration]


def load_files(paths: Sequence[str]) -> DeclarationsByKey:
    """Read and validate files; references to policies are checked by `check_references`.

    Raises
    ------
    ExceptionGroup
        Of `DeclarationError`, one for each declaration that is not valid.
    """
    declared: DeclarationsByKey = {}
    failures: list[DeclarationError] = []
    for path in paths:
        for entry in _read_file(path, failures):
            key = get_key(entry.declaration)
            former = declared.get(key)
            if former is not None:
                allowed = f"each name once; {former.file} declares it too"
                failures.append(DeclarationError(path, f"{key[0]}.{key[1]}.name", key[1], allowed))
                continue
            declared[key] = entry
    _raise_failures(failures)
    return declared


def check_references(
    declared: DeclarationsByKey, active: Iterable[AnyDeclaration] = (), deleted: Iterable = ()
) -> None:
    """Check that selectors refer to policies that are in the files or remain active.

    Raises
    ------
    ExceptionGroup
        Of `DeclarationError`, one for each selector whose policy does not exist.
    """
    deleted_keys = set(deleted)
    known = {get_key(d): d for d in active if get_key(d) not in deleted_keys}
    known.update({key: entry.declaration for key, entry in declared.items()})
    policies = {key: d for key, d in known.items() if isinstance(d, Policy)}
    failures: list[DeclarationError] = []
    for key, declaration in known.items():
        file = declared[key].file if key in declared else "configuration in force"
        try:
            validate_references({**policies, key: declaration})
        except InvalidArgumentError as error:
            failures.append(DeclarationError(file, error.field, error.value, error.allowed))
    _raise_failures(failures)


def _raise_failures(failures: list[DeclarationError]) -> None:
    if failures:
        raise ExceptionGroup("declarations that are not valid", failures)


def _read_file(path: str, failures: list[DeclarationError]) -> list[SourcedDeclaration]:
    try:
        values = decode_toml(Path(path).read_text(encoding="utf-8"))
    except (OSError, UnicodeDecodeError) as error:
        allowed = f"a readable UTF-8 file ({error})"
        failures.append(DeclarationError(path, "file", path, allowed))
        return []
    except ProtocolError as error:
        failures.append(DeclarationError(path, "file", path, f"valid TOML ({error})"))
        return []
    found: list[SourcedDeclaration] = []
    for kind, entries in values.items():
        found.extend(_read_kind(path, kind, entries, failures))
    return found


def _read_kind(
    path: str, kind: str, entries: Any, failures: list[DeclarationError]
) -> list[SourcedDeclaration]:
    if kind not in DECLARATION_TYPES:
        failures.append(DeclarationError(path, kind, kind, "one of " + ", ".join(KINDS)))
        return []
    if not isinstance(entries, list):
        allowed = f"an array of tables, written as [[{kind}]]"
        failures.append(DeclarationError(path, kind, type(entries).__name__, allowed))
        return []
    found: list[SourcedDeclaration] = []
    for number, values in enumerate(entries):
        try:
            found.append(SourcedDeclaration(_read_entry(kind, number, values), path))
        except InvalidArgumentError as error:
            failures.append(DeclarationError(path, error.field, error.value, error.allowed))
    return found


def _read_entry(kind: str, number: int, values: Any) -> AnyDeclaration:
    name = values.get("name") if isinstance(values, dict) else None
    prefix = f"{kind}.{name}" if isinstance(name, str) and name else f"{kind}[{number}]"
    if isinstance(values, dict) and "kind" in values:
        allowed = "no such key; the name of the table is the kind"
        raise InvalidArgumentError(f"{prefix}.kind", values["kind"], allowed)
    try:
        declaration = convert(values, DECLARATION_TYPES[kind], "")
    except InvalidArgumentError as error:
        field = f"{prefix}.{error.field}".rstrip(".")
        raise InvalidArgumentError(field, error.value, error.allowed) from error
    try:
        validate_declaration(declaration)
    except InvalidArgumentError as error:
        field = error.field
        if field != prefix and not field.startswith(f"{prefix}."):
            field = f"{prefix}.{field.removeprefix(kind + '.')}"
        raise InvalidArgumentError(field, error.value, error.allowed) from error
    return declaration


def parse_key(text: str) -> DeclarationKey:
    """Return the key of a declaration that is given as ``KIND/NAME``.

    Raises
    ------
    UsageError
        If the text has another form or the kind is unknown.
    """
    kind, separator, name = text.partition("/")
    if not separator or not name or kind not in DECLARATION_TYPES:
        raise UsageError(f"{text!r} is not KIND/NAME with one of the kinds {', '.join(KINDS)}")
    return kind, name
