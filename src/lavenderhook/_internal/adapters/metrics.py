"""Metrics of the process, rendered by aioprometheus.

Values are summed in plain dictionaries and passed to the registry only when it is rendered, because
a collector of the registry takes several microseconds for each value and requests add many values.
"""

from __future__ import annotations

import bisect
import dataclasses
from collections.abc import Callable, Mapping
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    # Imported only when metrics are rendered: the import takes half of the start-up time on a
    # small machine.
    from aioprometheus import Counter, Gauge
    from aioprometheus.collectors import Registry

    from ..core.effects import CountMetric

NAMESPACE = "lavenderhook_"
# Buckets that range from decisions (microseconds) to waiting times (tens of seconds).
SECONDS_BUCKETS = (
    0.00005,
    0.0001,
    0.0005,
    0.001,
    0.002,
    0.003,
    0.005,
    0.01,
    0.025,
    0.05,
    0.1,
    0.25,
    0.5,
    1.0,
    2.7,
    5.0,
    10.0,
    30.0,
)
HISTOGRAM_SUFFIX = "_seconds"
Key = tuple[str, tuple[tuple[str, str], ...]]


@dataclasses.dataclass(slots=True)
class _Histogram:
    counts: list[int] = dataclasses.field(default_factory=lambda: [0] * (len(SECONDS_BUCKETS) + 1))
    total: float = 0.0


class Metrics:
    """Counters, histograms and gauges of one process.

    Parameters
    ----------
    find_zone : callable
        Returns the availability zone of an address, or the empty string.
    own_zone : str
    """

    def __init__(self, find_zone: Callable[[str], str], own_zone: str) -> None:
        self._find_zone = find_zone
        self._own_zone = own_zone
        self._counters: dict[Key, float] = {}
        self._histograms: dict[Key, _Histogram] = {}
        self._gauges: dict[Key, Callable[[], float]] = {}

    def execute(self, effect: CountMetric) -> None:
        """Execute an effect: metrics whose names end in ``_seconds`` are histograms."""
        labels = tuple(sorted(effect.labels.items())) if effect.labels else ()
        if effect.name.endswith(HISTOGRAM_SUFFIX):
            self._observe((effect.name, labels), effect.value)
        else:
            self._add((effect.name, labels), effect.value)

    def increment(self, name: str, value: float = 1.0, **labels: str) -> None:
        """Add to a counter."""
        self._add((name, tuple(sorted(labels.items()))), value)

    def observe(self, name: str, value: float, **labels: str) -> None:
        """Add a value in seconds to a histogram."""
        self._observe((name, tuple(sorted(labels.items()))), value)

    def register_gauge(self, name: str, read_value: Callable[[], float], **labels: str) -> None:
        """Register a gauge that is read whenever the metrics are rendered."""
        self._gauges[(name, tuple(sorted(labels.items())))] = read_value

    def count_traffic(self, kind: str, location: str, sent: int, received: int) -> None:
        """Count a call by this process and its bytes, by availability zone."""
        zone = self._find_zone(location)
        labels = (("kind", kind), ("zone", zone or "unknown"))
        self._add(("client_calls_total", labels), 1)
        self._add(("client_sent_bytes_total", labels), sent)
        self._add(("client_received_bytes_total", labels), received)
        if zone and zone != self._own_zone:
            between = (("kind", kind),)
            self._add(("between_zones_bytes_total", between), sent + received)

    def _add(self, key: Key, value: float) -> None:
        self._counters[key] = self._counters.get(key, 0.0) + value

    def _observe(self, key: Key, value: float) -> None:
        histogram = self._histograms.get(key)
        if histogram is None:
            histogram = self._histograms[key] = _Histogram()
        histogram.counts[bisect.bisect_left(SECONDS_BUCKETS, value)] += 1
        histogram.total += value

    def get(self, name: str, labels: Mapping[str, str] | None = None) -> float:
        """Return the value of a counter."""
        return self._counters.get((name, tuple(sorted((labels or {}).items()))), 0.0)

    def render(self) -> bytes:
        """Return all metrics in the Prometheus text format."""
        from aioprometheus import Counter, Gauge, render
        from aioprometheus.collectors import Registry

        registry = Registry()
        collectors: dict[str, Counter | Gauge] = {}
        for (name, labels), value in self._counters.items():
            _set(registry, collectors, Counter, name, dict(labels), value)
        for (name, labels), read_value in self._gauges.items():
            _set(registry, collectors, Gauge, name, dict(labels), read_value())
        for (name, labels), histogram in self._histograms.items():
            _set_buckets(registry, collectors, name, dict(labels), histogram)
        content, _ = render(registry, [])
        return content


def _set(
    registry: Registry,
    collectors: dict[str, Counter | Gauge],
    collector_type: type[Counter] | type[Gauge],
    name: str,
    labels: dict[str, str],
    value: float,
) -> None:
    collector = collectors.get(name)
    if collector is None:
        description = name.replace("_", " ")
        collector = collector_type(NAMESPACE + name, description, registry=registry)
        collectors[name] = collector
    collector.set(labels, value)


def _set_buckets(
    registry: Registry,
    collectors: dict[str, Counter | Gauge],
    name: str,
    labels: dict[str, str],
    histogram: _Histogram,
) -> None:
    """Render a histogram as cumulative counters."""
    from aioprometheus import Counter

    cumulative = 0
    for bound, count in zip((*SECONDS_BUCKETS, float("inf")), histogram.counts, strict=True):
        cumulative += count
        bucket_labels = {**labels, "le": "+Inf" if bound == float("inf") else str(bound)}
        _set(registry, collectors, Counter, f"{name}_bucket", bucket_labels, cumulative)
    _set(registry, collectors, Counter, f"{name}_sum", labels, histogram.total)
    _set(registry, collectors, Counter, f"{name}_count", labels, cumulative)
