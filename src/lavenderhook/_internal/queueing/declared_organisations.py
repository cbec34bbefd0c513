"""Organisations as the operator has declared them, of which parts may be unusable.

Answers a mistake in one entry of a new configuration: the entry's usable parts take effect, the
others stay as they are in force, and the remaining organisations are not affected. Keys are
removed in spite of a mistake in another part, since a leaked key may be in use.
"""

from __future__ import annotations

import collections
from collections.abc import Iterable

import msgspec

from .model import OrganisationName, Resources
from .organisations import ApiKey, Organisation, Organisations


class DeclaredOrganisation(msgspec.Struct, frozen=True, kw_only=True):
    """An entry of the list; None stands for a part that can't be used.

    Parameters
    ----------
    keys : frozenset of ApiKey
        Those that can be used.
    has_all_keys : bool
        Whether the entry has no others.
    """

    name: OrganisationName
    keys: frozenset[ApiKey] = frozenset()
    has_all_keys: bool = True
    weight: float | None = None
    limit: Resources | None = None


class DeclarationProblem(msgspec.Struct, frozen=True):
    """What can't be used, by its path in the configuration; the message contains no key."""

    path: str
    message: str


class DeclaredOrganisations(msgspec.Struct, frozen=True, kw_only=True):
    """The list of organisations of one configuration.

    Parameters
    ----------
    entries : tuple of DeclaredOrganisation or None
        Those whose name can be used; None if the list itself can't be.
    has_all_names : bool
        Whether the list has no others.
    problems : tuple of DeclarationProblem
    """

    entries: tuple[DeclaredOrganisation, ...] | None
    has_all_names: bool = True
    problems: tuple[DeclarationProblem, ...] = ()

    def resolve_first(self) -> Organisations:
        """Return the organisations of an instance that knows none from before.

        Entries that can't be used whole are left out. They may be in force at other instances, so
        that no key can be denied.
        """
        organisations = self._resolve(Organisations())
        is_complete = self.entries is not None and not self.problems
        return Organisations(organisations, is_complete=is_complete)

    def resolve(self, active: Organisations | None) -> Organisations | None:
        """Return the organisations that replace the active ones; None if calls need no key."""
        if self.entries is None:
            return active
        resolved = self._resolve(active or Organisations())
        return Organisations(
            resolved, is_complete=active is None or active.is_complete or not self.problems
        )

    def _resolve(self, active: Organisations) -> list[Organisation]:
        entries = self.entries or ()
        by_name: dict[OrganisationName, list[DeclaredOrganisation]] = {}
        for entry in entries:
            by_name.setdefault(entry.name, []).append(entry)
        shared = find_shared_keys(entries)
        resolved = [
            _resolve_entry(same_name, active.get(name), shared)
            for name, same_name in by_name.items()
        ]
        if not self.has_all_names or len(by_name) < len(entries):
            # Any of these may be an entry without a usable name, or with that of another one.
            resolved += [former for former in active if former.name not in by_name]
        return _assign_keys([entry for entry in resolved if entry is not None], by_name)


def find_shared_keys(entries: Iterable[DeclaredOrganisation]) -> frozenset[ApiKey]:
    """Return the keys that several organisations declare."""
    holders = collections.defaultdict(set)
    for entry in entries:
        for key in entry.keys:
            holders[key].add(entry.name)
    return frozenset(key for key, names in holders.items() if len(names) > 1)


def _resolve_entry(
    same_name: list[DeclaredOrganisation],
    former: Organisation | None,
    shared: frozenset[ApiKey],
) -> Organisation | None:
    """Return the organisation of the entries with one name; None if it can't be added."""
    entry = same_name[0]
    declared = frozenset[ApiKey]().union(*(other.keys for other in same_name))
    has_all_keys = all(other.has_all_keys for other in same_name)
    if former is None:
        is_usable = len(same_name) == 1 and has_all_keys and not declared & shared
        if not is_usable or entry.weight is None or entry.limit is None:
            return None
        return Organisation(name=entry.name, keys=declared, weight=entry.weight, limit=entry.limit)
    # A key that can't be read may be any of those in force.
    kept = former.keys & declared if has_all_keys else former.keys
    if len(same_name) > 1:
        return msgspec.structs.replace(former, keys=kept)
    return Organisation(
        name=entry.name,
        keys=kept | (declared - shared),
        weight=former.weight if entry.weight is None else entry.weight,
        limit=former.limit if entry.limit is None else entry.limit,
    )


def _assign_keys(
    resolved: list[Organisation], by_name: dict[OrganisationName, list[DeclaredOrganisation]]
) -> list[Organisation]:
    """Leave each key with one organisation: one that declares it goes before one that keeps it."""
    owners: dict[ApiKey, OrganisationName] = {}
    for entry in resolved:
        declared = {key for other in by_name.get(entry.name, ()) for key in other.keys}
        for key in entry.keys:
            if key in declared or key not in owners:
                owners[key] = entry.name
    return [
        msgspec.structs.replace(
            entry, keys=frozenset(key for key in entry.keys if owners[key] == entry.name)
        )
        for entry in resolved
    ]
