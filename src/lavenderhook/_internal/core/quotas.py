"""Shares and quotas of teams.

Teams are served in the order of their weighted dominant share, as dominant resource fairness
asks, and a team at its `max_share` waits.
"""

from __future__ import annotations

import math
from collections.abc import Iterable

from .declarations import Quota
from .identifiers import TeamName
from .resources import ZERO_RESOURCES, Resources


class TeamShareTracker:
    """What each team holds, compared with the total of the shard."""

    def __init__(self) -> None:
        self._held: dict[TeamName, Resources] = {}
        self._quotas: dict[TeamName, Quota] = {}
        self._total = ZERO_RESOURCES

    def replace_quotas(self, quotas: Iterable[Quota]) -> None:
        """Replace all quotas; teams without one have the whole cell and weight 1."""
        self._quotas = {quota.team: quota for quota in quotas}

    def set_total(self, total: Resources) -> None:
        """Set the capacity to which shares refer."""
        self._total = total

    def add(self, team: TeamName, resources: Resources) -> None:
        """Charge a team."""
        self._held[team] = self._held.get(team, ZERO_RESOURCES) + resources

    def subtract(self, team: TeamName, resources: Resources) -> None:
        """Give a team back what its task held."""
        self._held[team] = self._held.get(team, ZERO_RESOURCES) - resources

    def get_share(self, team: TeamName) -> float:
        """Return the dominant share of a team, 0 to 1."""
        return self._held.get(team, ZERO_RESOURCES).compute_share(self._total)

    def get_weighted_share(self, team: TeamName) -> float:
        """Return the dominant share divided by the team's weight."""
        quota = self._quotas.get(team)
        return self.get_share(team) / (quota.weight if quota else 1.0)

    def count_allowed(self, team: TeamName, resources: Resources, count: int) -> int:
        """Return how many of `count` tasks the quota of a team still allows."""
        quota = self._quotas.get(team)
        if quota is None or quota.max_share >= 1.0:
            return count
        share = resources.compute_share(self._total)
        if share <= 0.0:
            return count
        room = quota.max_share - self.get_share(team)
        return max(0, min(count, int(room / share + 1e-9)))

    def count_until(
        self, team: TeamName, resources: Resources, weighted_share: float, most: int
    ) -> int:
        """Return how many tasks bring a team just past a weighted share; from 1 to `most`."""
        per_task = resources.compute_share(self._total)
        if weighted_share == math.inf or per_task <= 0.0:
            return most
        quota = self._quotas.get(team)
        weight = quota.weight if quota else 1.0
        room = weighted_share * weight - self.get_share(team)
        return max(1, min(most, int(room / per_task) + 1))

    def can_ever_hold(self, team: TeamName, resources: Resources, count: int) -> bool:
        """Return whether `count` tasks at a time are within the team's quota."""
        quota = self._quotas.get(team)
        if quota is None:
            return True
        needed = resources.compute_share(self._total) * count
        return quota.max_share > 0.0 and needed <= quota.max_share + 1e-9
