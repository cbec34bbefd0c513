"""Routing of requests to queues."""

from __future__ import annotations

from collections.abc import Iterable

import msgspec

from .model import QueueTerms


class QueueRoute(msgspec.Struct, frozen=True, kw_only=True):
    """A queue and the host and path under which callers reach it."""

    host: str
    path_prefix: str
    terms: QueueTerms


class QueueRoutes:
    """All queues of one configuration.

    Parameters
    ----------
    version : int
        Version of the configuration; increases.
    routes : iterable of QueueRoute
    """

    def __init__(self, version: int, routes: Iterable[QueueRoute]) -> None:
        self.version = version
        self._by_host: dict[str, list[QueueRoute]] = {}
        for route in routes:
            self._by_host.setdefault(route.host, []).append(route)
        for host_routes in self._by_host.values():
            host_routes.sort(key=lambda route: len(route.path_prefix), reverse=True)

    def __len__(self) -> int:
        return sum(map(len, self._by_host.values()))

    def find(self, host: str, path: str) -> QueueRoute | None:
        """Return the route with the longest prefix of the path, or None."""
        for route in self._by_host.get(host, ()):
            if path.startswith(route.path_prefix):
                return route
        return None
