"""Ejection of upstreams that fail more than others.

An upstream with too many consecutive failures gets no requests for a while and then returns by slow
start. The threshold depends on the failure rate of the whole service, since an upstream that fails
as often as the others is no outlier: ejecting it would only reduce capacity. At most a share of a
service's upstreams is ejected at a time, since failures of most upstreams are more likely caused
by the requests or the network than by the upstreams.
"""

from __future__ import annotations

import dataclasses
import math

from .identifiers import UpstreamId

MIN_CONSECUTIVE_FAILURES = 5
# An upstream is an outlier if its number of consecutive failures has at most this probability at
# the failure rate of the service. With a fixed threshold of 5, 30 % of the upstreams stayed ejected
# while half of the requests failed on all of them.
OUTLIER_PROBABILITY = 1e-5
FAILURE_RATE_WEIGHT = 0.01
# Bounds the threshold when nearly all requests fail.
MAX_FAILURE_RATE = 0.95
MIN_EJECTION_SECONDS = 5.0
MAX_EJECTION_SECONDS = 60.0
SLOW_START_SECONDS = 5.0


@dataclasses.dataclass(slots=True)
class UpstreamHealth:
    """Outcomes of one upstream.

    Parameters
    ----------
    failures : int
        Failures since the last success.
    ejections : int
        Ejections since the last full recovery; each doubles the duration of the next.
    ejected_until : float
        Time in seconds at which the ejection ends; 0 if it is not ejected.
    slow_start_since : float
        Time in seconds at which the slow start began; 0 if it is not in slow start.
    """

    service: str
    failures: int = 0
    ejections: int = 0
    ejected_until: float = 0.0
    slow_start_since: float = 0.0


@dataclasses.dataclass(slots=True)
class EjectionState:
    """Failure rates of services, and upstreams that failed or are ejected.

    Healthy upstreams have no entry.

    Parameters
    ----------
    failure_rates : dict of str to float
        Exponential moving average of the share of failed exchanges by service.
    """

    upstreams: dict[UpstreamId, UpstreamHealth] = dataclasses.field(default_factory=dict)
    ejected: dict[str, set[UpstreamId]] = dataclasses.field(default_factory=dict)
    failure_rates: dict[str, float] = dataclasses.field(default_factory=dict)

    def get_threshold(self, service: str) -> int:
        """Return how many consecutive failures make an upstream of a service an outlier."""
        rate = min(self.failure_rates.get(service, 0.0), MAX_FAILURE_RATE)
        if rate <= 0.0:
            return MIN_CONSECUTIVE_FAILURES
        length = math.ceil(math.log(OUTLIER_PROBABILITY) / math.log(rate))
        return max(MIN_CONSECUTIVE_FAILURES, length)

    def _update_failure_rate(self, service: str, failure: float) -> None:
        rate = self.failure_rates.get(service, 0.0)
        self.failure_rates[service] = rate + FAILURE_RATE_WEIGHT * (failure - rate)

    def record_success(self, upstream_id: UpstreamId, service: str) -> None:
        """Count a response that shows that the upstream works."""
        self._update_failure_rate(service, 0.0)
        health = self.upstreams.get(upstream_id)
        if health is None:
            return
        health.failures = 0
        if health.ejected_until == 0.0 and health.slow_start_since == 0.0:
            del self.upstreams[upstream_id]

    def record_failure(
        self,
        upstream_id: UpstreamId,
        service: str,
        upstream_count: int,
        max_ejected_share: float,
        now: float,
    ) -> bool:
        """Count a failure; eject an outlier if the share of ejected upstreams permits it.

        Parameters
        ----------
        upstream_count : int
            Number of upstreams of the service that this instance knows.
        max_ejected_share : float
            Largest share of them that may be ejected.

        Returns
        -------
        bool
            Whether this failure ejected the upstream.
        """
        self._update_failure_rate(service, 1.0)
        health = self.upstreams.get(upstream_id)
        if health is None:
            health = self.upstreams[upstream_id] = UpstreamHealth(service=service)
        health.failures += 1
        ejected = self.ejected.setdefault(service, set())
        if health.failures < self.get_threshold(service) or upstream_id in ejected:
            return False
        if len(ejected) + 1 > max_ejected_share * upstream_count:
            return False
        duration = min(MAX_EJECTION_SECONDS, MIN_EJECTION_SECONDS * 2.0**health.ejections)
        health.ejections += 1
        health.ejected_until = now + duration
        health.slow_start_since = 0.0
        ejected.add(upstream_id)
        return True

    def collect_changes(self, now: float) -> list[UpstreamId]:
        """End due ejections and slow starts; return the upstreams that return or are in slow start.

        Returns
        -------
        list of UpstreamId
            Upstreams whose limit must be recomputed.
        """
        changed: list[UpstreamId] = []
        for upstream_id, health in list(self.upstreams.items()):
            if 0.0 < health.ejected_until <= now:
                health.ejected_until = 0.0
                health.slow_start_since = now
                # A single further failure ejects it again.
                health.failures = self.get_threshold(health.service) - 1
                self.ejected[health.service].discard(upstream_id)
                changed.append(upstream_id)
            elif health.slow_start_since:
                changed.append(upstream_id)
                if now - health.slow_start_since > SLOW_START_SECONDS:
                    self._end_slow_start(upstream_id, health)
        return changed

    def _end_slow_start(self, upstream_id: UpstreamId, health: UpstreamHealth) -> None:
        health.slow_start_since = 0.0
        if health.failures == 0:
            del self.upstreams[upstream_id]

    def cap_limit(self, upstream_id: UpstreamId, limit: int, now: float) -> int:
        """Return how many of `limit` slots may be used: none if ejected, fewer in slow start."""
        health = self.upstreams.get(upstream_id)
        if health is None:
            return limit
        if health.ejected_until > 0.0:
            return 0
        if health.slow_start_since == 0.0:
            return limit
        share = (now - health.slow_start_since) / SLOW_START_SECONDS
        return min(limit, max(1, math.ceil(limit * share)))

    def forget(self, upstream_id: UpstreamId) -> None:
        """Remove an upstream on which this instance holds no slots any more."""
        health = self.upstreams.pop(upstream_id, None)
        if health is not None:
            self.ejected.get(health.service, set()).discard(upstream_id)
