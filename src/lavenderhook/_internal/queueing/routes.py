"""Routing of requests to queues."""

from __future__ import annotations

from collections.abc import Iterable

import msgspec

from .declared_organisations import DeclarationProblem, DeclaredOrganisations
from .model import QueueTerms
from .organisations import Organisations

ANY_HOST = "\n"  # no host contains it


class RouteAddress(msgspec.Struct, frozen=True, kw_only=True):
    """The host and path under which callers reach a queue.

    By itself, it stands for a queue whose other fields can't be decoded: requests to it can't be
    served, and must not be told that the queue does not exist.

    Parameters
    ----------
    host : str
        `ANY_HOST` if it can't be decoded either.
    """

    host: str
    path_prefix: str


class QueueRoute(RouteAddress, frozen=True, kw_only=True):
    """A queue and its address.

    Parameters
    ----------
    is_public : bool
        Calls need no key.
    """

    terms: QueueTerms
    is_public: bool = False


class QueueRoutes:
    """All queues of one configuration.

    Parameters
    ----------
    version : int
        Version of the configuration; increases.
    routes : iterable of RouteAddress
    organisations : Organisations, optional
        None if the configuration has none: calls need no key then.
    declared : DeclaredOrganisations, optional
        From which the organisations are resolved, if they are given in this form.
    """

    def __init__(
        self,
        version: int,
        routes: Iterable[RouteAddress],
        organisations: Organisations | None = None,
        declared: DeclaredOrganisations | None = None,
    ) -> None:
        self.version = version
        self._declared = declared
        self.organisations = organisations if declared is None else declared.resolve_first()
        self._by_host: dict[str, list[RouteAddress]] = {}
        for route in routes:
            self._by_host.setdefault(route.host, []).append(route)
        for host_routes in self._by_host.values():
            host_routes.sort(key=lambda route: len(route.path_prefix), reverse=True)

    def __len__(self) -> int:
        return sum(map(len, self._by_host.values()))

    @property
    def problems(self) -> tuple[DeclarationProblem, ...]:
        """Return what can't be used of the organisations."""
        return self._declared.problems if self._declared is not None else ()

    def inherit(self, active: QueueRoutes) -> None:
        """Take what can't be used of the organisations from the routes that these replace."""
        if self._declared is not None:
            self.organisations = self._declared.resolve(active.organisations)

    def find(self, host: str, path: str) -> RouteAddress | None:
        """Return the route with the longest prefix of the path, or None.

        Parameters
        ----------
        host : str
            With or without a port.
        path : str
        """
        for name in (host, host.partition(":")[0], ANY_HOST):
            for route in self._by_host.get(name, ()):
                if path.startswith(route.path_prefix):
                    return route
        return None
