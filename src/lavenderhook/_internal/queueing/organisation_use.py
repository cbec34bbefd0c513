"""What each organisation has running, kept up to date as runs are added and removed."""

from __future__ import annotations

from collections.abc import Iterator

from .model import OrganisationName, Resources


class OrganisationUse:
    """Resources of the runs of each organisation on all workers of one owner.

    Handles hundreds of workers with thousands of runs and many placement passes a second: counting
    all runs in each pass would take longer than the pass itself.
    """

    def __init__(self) -> None:
        self._used: dict[OrganisationName, list[int]] = {}
        self._runs: dict[OrganisationName, int] = {}

    def change(self, organisation: OrganisationName, resources: Resources, runs: int) -> None:
        """Add runs that use `resources` each; a negative number removes them."""
        used = self._used.setdefault(organisation, [0, 0, 0])
        used[0] += runs * resources.processors
        used[1] += runs * resources.memory_mb
        used[2] += runs * resources.accelerators
        self._runs[organisation] = self._runs.get(organisation, 0) + runs
        if not self._runs[organisation]:
            del self._runs[organisation], self._used[organisation]

    def get(self, organisation: OrganisationName) -> Resources:
        """Return what an organisation has running."""
        used = self._used.get(organisation)
        return Resources() if used is None else Resources(*used)

    def __iter__(self) -> Iterator[OrganisationName]:
        return iter(self._used)
