"""The platform's list of tenants, which are organisations in the product."""

from __future__ import annotations

import re
from typing import Annotated, TypeVar

import msgspec

from .._internal.decoding import Amount, Number, decode_json
from .._internal.queueing.declared_organisations import (
    DeclarationProblem,
    DeclaredOrganisation,
    DeclaredOrganisations,
    find_shared_keys,
)
from .._internal.queueing.model import OrganisationName, Resources
from .._internal.queueing.organisations import ApiKey
from ..errors import ProtocolError

_KEY = re.compile(r"[!-~](?:[ -~]*[!-~])?")  # as the value of a header arrives
_LIST_PATH = "tenants"

_Name = Annotated[str, msgspec.Meta(min_length=1, max_length=200)]
_Value = TypeVar("_Value")


class _Limit(msgspec.Struct, rename="camel"):
    """What a tenant may have running; 0 is no limit. `cpu` is in thousandths of a core."""

    cpu: Number
    mem_mb: Number
    gpu: Number


def decode_organisations(content: msgspec.Raw) -> DeclaredOrganisations:
    """Decode the list of tenants; what can't be decoded is among its `problems`."""
    return _Decoder().decode(content)


class _Decoder:
    """Decodes one list and collects its problems, none of which quotes the content."""

    def __init__(self) -> None:
        self._problems: list[DeclarationProblem] = []

    def decode(self, content: msgspec.Raw) -> DeclaredOrganisations:
        items = self._read(content, list[msgspec.Raw], _LIST_PATH)
        if items is None:
            return DeclaredOrganisations(entries=None, problems=tuple(self._problems))
        found = {
            number: fields
            for number, item in enumerate(items)
            if (fields := self._read(item, dict[str, msgspec.Raw], f"{_LIST_PATH}.{number}"))
            is not None
        }
        # A field that no entry has isn't used by the deployment, and takes its default.
        used = {name for fields in found.values() for name in fields}
        entries = {
            number: entry
            for number, fields in found.items()
            if (entry := self._decode_entry(fields, used, f"{_LIST_PATH}.{number}")) is not None
        }
        self._report_repetitions(entries)
        return DeclaredOrganisations(
            entries=tuple(entries.values()),
            has_all_names=len(entries) == len(items),
            problems=tuple(self._problems),
        )

    def _decode_entry(
        self, fields: dict[str, msgspec.Raw], used: set[str], path: str
    ) -> DeclaredOrganisation | None:
        name = self._read_field(fields, "name", _Name, path)
        keys, has_all_keys = self._decode_keys(fields, path)
        weight: float | None = 1.0
        if "weight" in used:
            weight = self._read_field(fields, "weight", Amount, path)
        limit: Resources | None = Resources()
        if "maxCount" in used:
            limits = self._read_field(fields, "maxCount", _Limit, path)
            limit = None if limits is None else Resources(limits.cpu, limits.mem_mb, limits.gpu)
        if name is None:
            return None
        return DeclaredOrganisation(
            name=OrganisationName(name),
            keys=keys,
            has_all_keys=has_all_keys,
            weight=weight,
            limit=limit,
        )

    def _decode_keys(
        self, fields: dict[str, msgspec.Raw], path: str
    ) -> tuple[frozenset[ApiKey], bool]:
        """Return the keys that can be used, and whether there are no others."""
        items = self._read_field(fields, "apiKeys", list[msgspec.Raw], path)
        if items is None:
            return frozenset(), False
        keys = []
        for number, item in enumerate(items):
            key_path = f"{path}.apiKeys.{number}"
            key = self._read(item, str, key_path)
            if key is not None and not _KEY.fullmatch(key):
                self._report(key_path, "it can't be sent in a header")
            elif key is not None:
                keys.append(ApiKey(key))
        return frozenset(keys), len(keys) == len(items)

    def _report_repetitions(self, entries: dict[int, DeclaredOrganisation]) -> None:
        names = [entry.name for entry in entries.values()]
        shared = find_shared_keys(entries.values())
        for number, entry in entries.items():
            path = f"{_LIST_PATH}.{number}"
            if names.count(entry.name) > 1:
                self._report(f"{path}.name", "another entry has the same name")
            if entry.keys & shared:
                self._report(f"{path}.apiKeys", "another entry has one of these keys")

    def _read_field(
        self, fields: dict[str, msgspec.Raw], name: str, value_type: type[_Value], path: str
    ) -> _Value | None:
        if name not in fields:
            self._report(f"{path}.{name}", "it is missing")
            return None
        return self._read(fields[name], value_type, f"{path}.{name}")

    def _read(self, content: msgspec.Raw, value_type: type[_Value], path: str) -> _Value | None:
        try:
            return decode_json(content, value_type)
        except ProtocolError as error:
            self._report(path, str(error.__cause__ or error))
            return None

    def _report(self, path: str, message: str) -> None:
        self._problems.append(DeclarationProblem(path, message))
