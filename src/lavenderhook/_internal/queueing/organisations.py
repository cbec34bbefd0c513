"""Organisations that submit work, their keys, and what each may have running."""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from typing import NewType

import msgspec

from .model import OrganisationName, Resources

ApiKey = NewType("ApiKey", str)  # a secret: never logged, and never a label of a metric


class Organisation(msgspec.Struct, frozen=True, kw_only=True):
    """An organisation of one configuration.

    Parameters
    ----------
    keys : frozenset of ApiKey
        Any of them identifies a call of the organisation.
    weight : float
        Its share when all workers are full, relative to the weights of the others. Also the rate,
        in submissions per second, up to which its submissions don't wait behind those of others.
    limit : Resources
        What it may have running on all workers together; 0 is no limit.
    """

    name: OrganisationName
    keys: frozenset[ApiKey] = frozenset()
    weight: float = 1.0
    limit: Resources = Resources()


class Organisations:
    """All organisations of one configuration.

    Parameters
    ----------
    entries : iterable of Organisation
    is_complete : bool
        Whether other keys aren't known to be in force anywhere; False if some could not be read.
    """

    def __init__(self, entries: Iterable[Organisation] = (), *, is_complete: bool = True) -> None:
        self.is_complete = is_complete
        self._by_name = {entry.name: entry for entry in entries}
        self._by_key = {key: entry for entry in self._by_name.values() for key in entry.keys}

    def __iter__(self) -> Iterator[Organisation]:
        return iter(self._by_name.values())

    def __len__(self) -> int:
        return len(self._by_name)

    def get(self, name: OrganisationName) -> Organisation | None:
        """Return the organisation with this name, or None."""
        return self._by_name.get(name)

    def find_by_key(self, key: str) -> Organisation | None:
        """Return the organisation that a key belongs to, or None."""
        return self._by_key.get(ApiKey(key))
