"""Readable descriptions of msgspec's validation failures."""

from __future__ import annotations

import functools
import re
from collections.abc import Iterator
from typing import Any, TypeVar, cast

import msgspec

from ..errors import InvalidArgumentError, ProtocolError
from .decoding import decode_any_json

_MESSAGE = re.compile(r"^(?P<problem>.*?)(?: - at `(?P<path>[^`]*)`)?$", re.DOTALL)
_FIELD = re.compile(r"field `(?P<name>[^`]+)`")
ANY_KEY = "[...]"  # stands for the key of a mapping in msgspec's paths
_T = TypeVar("_T")


def describe_violation(message: str) -> tuple[str, str]:
    """Split a message of msgspec into the path of the argument and the allowed values."""
    match = _MESSAGE.match(message)
    assert match is not None
    parts = [(match["path"] or "").removeprefix("$").lstrip(".")]
    problem = match["problem"]
    field = _FIELD.search(problem)
    if field is None:
        allowed = problem.removeprefix("Expected ").replace("`", "")
    else:
        parts.append(field["name"])
        is_missing = "missing" in problem
        allowed = "a value, since it is required" if is_missing else "only keys that exist"
    return ".".join(part for part in parts if part), allowed


@functools.cache
def list_choices(target_type: Any) -> dict[str, tuple[str, ...]]:
    """Return the values that the enumerated fields and tags below a type allow, by field name."""
    choices: dict[str, tuple[str, ...]] = {}
    for name, values in _iterate_choices(msgspec.inspect.type_info(target_type), set()):
        choices[name] = tuple(sorted({*choices.get(name, ()), *values}))
    return choices


def _iterate_choices(info: Any, seen: set[type]) -> Iterator[tuple[str, tuple[str, ...]]]:
    if isinstance(info, msgspec.inspect.UnionType):
        for member in info.types:
            yield from _iterate_choices(member, seen)
    elif isinstance(info, msgspec.inspect.StructType) and info.cls not in seen:
        seen.add(info.cls)
        if info.tag_field is not None:
            yield info.tag_field, (str(info.tag),)
        for field in info.fields:
            if isinstance(field.type, msgspec.inspect.EnumType):
                yield field.encode_name, tuple(str(entry.value) for entry in field.type.cls)
            yield from _iterate_choices(field.type, seen)
    elif isinstance(info, msgspec.inspect.VarTupleType | msgspec.inspect.ListType):
        yield from _iterate_choices(info.item_type, seen)
    elif isinstance(info, msgspec.inspect.DictType):
        yield from _iterate_choices(info.value_type, seen)


def convert(values: Any, target_type: type[_T], root: str) -> _T:
    """Check plain data against a type.

    Parameters
    ----------
    values : object
        Plain data.
    target_type : type
    root : str
        Name to report for failures that concern no single field.

    Raises
    ------
    InvalidArgumentError
        Naming the argument that is not valid.
    """
    try:
        return msgspec.convert(values, target_type)
    except msgspec.ValidationError as error:
        path, allowed = describe_violation(str(error))
        if ANY_KEY in path:
            path = _name_key(values, target_type, path)
        choices = list_choices(cast(Any, target_type)).get(path.rpartition(".")[2])
        if choices is not None and allowed.startswith("Invalid"):
            allowed = "one of " + ", ".join(choices)
        raise InvalidArgumentError(path or root, find_value(values, path), allowed) from error


def _name_key(values: Any, target_type: Any, path: str) -> str:
    """Return a path with `ANY_KEY` replaced by the first key whose entry alone is invalid."""
    parent, _, rest = path.partition(ANY_KEY)
    entries = find_value(values, parent)
    for key, entry in entries.items() if isinstance(entries, dict) else ():
        try:
            msgspec.convert(_replace(values, parent.split("."), {key: entry}), target_type)
        except msgspec.ValidationError:
            return f"{parent}.{key}{rest}"
    return path


def _replace(values: Any, parts: list[str], value: Any) -> Any:
    if not parts or not isinstance(values, dict):
        return value
    return {**values, parts[0]: _replace(values.get(parts[0]), parts[1:], value)}


def find_value(values: Any, path: str) -> object:
    """Return the value at a path such as ``puts[0].name``, or None."""
    for part in re.findall(r"[^.\[\]]+", path):
        if isinstance(values, list) and part.isdigit() and int(part) < len(values):
            values = values[int(part)]
        elif isinstance(values, dict) and part in values:
            values = values[part]
        else:
            return None
    return values


def decode_json(body: bytes, target_type: type[_T]) -> _T:
    """Decode and check a JSON body.

    Raises
    ------
    InvalidArgumentError
        Naming the argument that is not valid.
    """
    try:
        values = decode_any_json(body)
    except ProtocolError as error:
        raise InvalidArgumentError("body", body[:80], f"JSON ({error})") from error
    return convert(values, target_type, "body")
