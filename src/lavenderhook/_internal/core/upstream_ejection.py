"""Ejection of upstreams that fail more than others.

An upstream whose requests fail in a row gets no work for a while and then returns by slow start.
How many in a row depends on how often the whole service fails, since an upstream that fails like
all others is no outlier: ejecting it would only take capacity away. At most a share of a
service's upstreams is ejected at a time, since failures of most upstreams point to the requests
or the network and not to the upstreams.
"""

from __future__ import annotations

import dataclasses
import math

from .identifiers import UpstreamId

MIN_CONSECUTIVE_FAILURES = 5
# A run of failures counts as an outlier if it has at most this chance at the service's own failure
# rate. With a fixed run of 5, half of the requests failing everywhere kept 30 % of the upstreams
# ejected.
OUTLIER_CHANCE = 1e-5
RATE_WEIGHT = 0.01
# Bounds the length of a run when nearly everything fails.
MAX_FAILURE_RATE = 0.95
MIN_EJECTION_SECONDS = 5.0
MAX_EJECTION_SECONDS = 60.0
SLOW_START_SECONDS = 5.0


@dataclasses.dataclass(slots=True)
class Health:
    """Outcomes of one upstream.

    Parameters
    ----------
    failures : int
        Failures since the last success.
    ejections : int
        Ejections since the last full recovery; each doubles the next one's duration.
    ejected_until : float
        Time in seconds at which it returns; 0 if it is not ejected.
    returned_at : float
        Start of the slow start; 0 outside one.
    """

    service: str
    failures: int = 0
    ejections: int = 0
    ejected_until: float = 0.0
    returned_at: float = 0.0


@dataclasses.dataclass(slots=True)
class EjectionState:
    """Upstreams that failed lately or are ejected; healthy ones have no entry.

    Parameters
    ----------
    rates : dict of str to float
        Share of failures among the latest exchanges by service.
    """

    upstreams: dict[UpstreamId, Health] = dataclasses.field(default_factory=dict)
    ejected: dict[str, set[UpstreamId]] = dataclasses.field(default_factory=dict)
    rates: dict[str, float] = dataclasses.field(default_factory=dict)

    def get_threshold(self, service: str) -> int:
        """Return how many failures in a row make an upstream of a service an outlier."""
        rate = min(self.rates.get(service, 0.0), MAX_FAILURE_RATE)
        if rate <= 0.0:
            return MIN_CONSECUTIVE_FAILURES
        length = math.ceil(math.log(OUTLIER_CHANCE) / math.log(rate))
        return max(MIN_CONSECUTIVE_FAILURES, length)

    def _record_rate(self, service: str, failure: float) -> None:
        rate = self.rates.get(service, 0.0)
        self.rates[service] = rate + RATE_WEIGHT * (failure - rate)

    def record_success(self, upstream_id: UpstreamId, service: str) -> None:
        """Count a response that shows the upstream working."""
        self._record_rate(service, 0.0)
        health = self.upstreams.get(upstream_id)
        if health is None:
            return
        health.failures = 0
        if health.ejected_until == 0.0 and health.returned_at == 0.0:
            del self.upstreams[upstream_id]

    def record_failure(
        self, upstream_id: UpstreamId, service: str, count: int, max_share: float, now: float
    ) -> bool:
        """Count a failure and eject the upstream if it is one too many.

        Parameters
        ----------
        count : int
            Upstreams of the service that this instance knows.
        max_share : float
            Largest share of them that may be ejected.

        Returns
        -------
        bool
            Whether the upstream is ejected by this failure.
        """
        self._record_rate(service, 1.0)
        health = self.upstreams.get(upstream_id)
        if health is None:
            health = self.upstreams[upstream_id] = Health(service=service)
        health.failures += 1
        ejected = self.ejected.setdefault(service, set())
        if health.failures < self.get_threshold(service) or upstream_id in ejected:
            return False
        if len(ejected) + 1 > max_share * count:
            return False
        duration = min(MAX_EJECTION_SECONDS, MIN_EJECTION_SECONDS * 2.0**health.ejections)
        health.ejections += 1
        health.ejected_until = now + duration
        health.returned_at = 0.0
        ejected.add(upstream_id)
        return True

    def collect_changes(self, now: float) -> list[UpstreamId]:
        """Return ejected upstreams that return now and those whose slow start goes on.

        Returns
        -------
        list of UpstreamId
            Upstreams whose limit must be computed again.
        """
        changed: list[UpstreamId] = []
        for upstream_id, health in list(self.upstreams.items()):
            if 0.0 < health.ejected_until <= now:
                health.ejected_until = 0.0
                health.returned_at = now
                # One more failure ejects it again.
                health.failures = self.get_threshold(health.service) - 1
                self.ejected[health.service].discard(upstream_id)
                changed.append(upstream_id)
            elif health.returned_at:
                changed.append(upstream_id)
                if now - health.returned_at > SLOW_START_SECONDS:
                    self._end_slow_start(upstream_id, health)
        return changed

    def _end_slow_start(self, upstream_id: UpstreamId, health: Health) -> None:
        health.returned_at = 0.0
        if health.failures == 0:
            del self.upstreams[upstream_id]

    def cap_limit(self, upstream_id: UpstreamId, limit: int, now: float) -> int:
        """Return how many of `limit` slots may be used: none if ejected, few in slow start."""
        health = self.upstreams.get(upstream_id)
        if health is None:
            return limit
        if health.ejected_until > 0.0:
            return 0
        if health.returned_at == 0.0:
            return limit
        share = (now - health.returned_at) / SLOW_START_SECONDS
        return min(limit, max(1, math.ceil(limit * share)))

    def forget(self, upstream_id: UpstreamId) -> None:
        """Drop an upstream on which this instance holds no slot any more."""
        health = self.upstreams.pop(upstream_id, None)
        if health is not None:
            self.ejected.get(health.service, set()).discard(upstream_id)
