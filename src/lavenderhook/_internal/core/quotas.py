"""Shares and quotas of teams.

Teams are served in the order of their weighted dominant share (dominant resource fairness). Tasks
of a team that has reached its `max_share` wait.
"""

from __future__ import annotations

import math
from collections.abc import Iterable

from .declarations import Quota
from .identifiers import TeamName
from .resources import ZERO_RESOURCES, Resources


class TeamShareTracker:
    """Resources held by each team, as shares of the total capacity of the shard's workers."""

    def __init__(self) -> None:
        self._held: dict[TeamName, Resources] = {}
        self._quotas: dict[TeamName, Quota] = {}
        self._total = ZERO_RESOURCES

    def replace_quotas(self, quotas: Iterable[Quota]) -> None:
        """Replace all quotas; a team without one may use the total capacity and has weight 1."""
        self._quotas = {quota.team: quota for quota in quotas}

    def set_total(self, total: Resources) -> None:
        """Set the capacity to which shares refer."""
        self._total = total

    def add(self, team: TeamName, resources: Resources) -> None:
        """Charge a team for the resources of a task."""
        self._held[team] = self._held.get(team, ZERO_RESOURCES) + resources

    def subtract(self, team: TeamName, resources: Resources) -> None:
        """Deduct the resources of a task from what a team holds."""
        self._held[team] = self._held.get(team, ZERO_RESOURCES) - resources

    def get_share(self, team: TeamName) -> float:
        """Return the dominant share of a team, 0 to 1."""
        return self._held.get(team, ZERO_RESOURCES).compute_dominant_share(self._total)

    def get_weighted_share(self, team: TeamName) -> float:
        """Return the dominant share divided by the team's weight."""
        quota = self._quotas.get(team)
        return self.get_share(team) / (quota.weight if quota else 1.0)

    def count_allowed(self, team: TeamName, resources: Resources, count: int) -> int:
        """Return how many of `count` tasks the quota of a team still allows."""
        quota = self._quotas.get(team)
        if quota is None or quota.max_share >= 1.0:
            return count
        share = resources.compute_dominant_share(self._total)
        if share <= 0.0:
            return count
        remaining_share = quota.max_share - self.get_share(team)
        return max(0, min(count, int(remaining_share / share + 1e-9)))

    def count_tasks_to_share(
        self, team: TeamName, resources: Resources, weighted_share: float, limit: int
    ) -> int:
        """Return how many tasks take a team just above a weighted share, from 1 to `limit`."""
        per_task = resources.compute_dominant_share(self._total)
        if weighted_share == math.inf or per_task <= 0.0:
            return limit
        quota = self._quotas.get(team)
        weight = quota.weight if quota else 1.0
        remaining_share = weighted_share * weight - self.get_share(team)
        return max(1, min(limit, int(remaining_share / per_task) + 1))

    def can_ever_hold(self, team: TeamName, resources: Resources, count: int) -> bool:
        """Return whether `count` tasks at a time are within the team's quota."""
        quota = self._quotas.get(team)
        if quota is None:
            return True
        needed = resources.compute_dominant_share(self._total) * count
        return quota.max_share > 0.0 and needed <= quota.max_share + 1e-9
