"""Metrics derived from logged decisions."""

from __future__ import annotations

import functools
import time
from collections.abc import Mapping

import msgspec

from ..adapters.metrics import Metrics


class _Histogram(msgspec.Struct, frozen=True):
    """A histogram of one field of a decision, labelled with some of its other fields."""

    name: str
    field: str
    labels: tuple[str, ...] = ()


# Decisions with a duration that operators watch. All decisions are counted as well.
_HISTOGRAMS = {
    "task-placed": _Histogram("task_wait_seconds", "waited", ("queue",)),
    "submission-ended": _Histogram("submission_seconds", "seconds", ("queue", "state")),
    "run-ended": _Histogram("run_seconds", "seconds", ("outcome",)),
    "advice": _Histogram("advice_seconds", "seconds"),
    "owner-loaded": _Histogram("owner_load_seconds", "seconds"),
    "hold-unanswered": _Histogram("hold_unanswered_seconds", "seconds"),
    "configuration-applied": _Histogram("configuration_transfer_seconds", "transfer_seconds"),
    "placement-passes": _Histogram("longest_placement_pass_seconds", "longest"),
}
# Gauges of an organisation whose limit holds work, by the field that they show.
_ORGANISATION_GAUGES = {
    "held_tasks": "organisation_held_tasks",
    "processors": "organisation_used_millicores",
}
_ORGANISATION_DECISIONS = ("organisation-limited", "organisation-released")
# An owner repeats these decisions while they hold. Without them, this is no longer the owner.
_GAUGE_SECONDS = 10.0
# Fields that distinguish the outcomes of a decision; they have few values.
_COUNTER_LABELS = ("outcome", "state", "reason", "error", "speed")
SLOW_WORKERS_FIELD = "slow_workers"
RECEIVED_BYTES_FIELD = "received_bytes"  # of a transfer that was used or has failed


class DecisionMetrics:
    """Counts decisions and observes their durations.

    The gauge `slow_workers` holds what this process has learnt last as the owner.
    """

    def __init__(self, metrics: Metrics) -> None:
        self._metrics = metrics
        # Values, and when they were recorded, by gauge and organisation.
        self._gauges: dict[tuple[str, str], tuple[float, float]] = {}
        self._slow_workers = 0.0
        metrics.register_gauge("slow_workers", lambda: self._slow_workers)

    def record(self, decision: str, fields: Mapping[str, object]) -> None:
        """Count a decision and observe its duration, if it has one."""
        labels = {name: str(fields[name]) for name in _COUNTER_LABELS if name in fields}
        self._metrics.increment("decisions_total", 1.0, decision=decision, **labels)
        if decision in _ORGANISATION_DECISIONS:
            self._record_gauges(fields)
        slow_workers = fields.get(SLOW_WORKERS_FIELD)
        if isinstance(slow_workers, int):
            self._slow_workers = float(slow_workers)
        received_bytes = fields.get(RECEIVED_BYTES_FIELD)
        if isinstance(received_bytes, int):
            self._metrics.increment(
                "transferred_bytes_total", float(received_bytes), decision=decision
            )
        histogram = _HISTOGRAMS.get(decision)
        if histogram is None:
            return
        value = fields.get(histogram.field)
        if isinstance(value, float | int):
            histogram_labels = {name: str(fields.get(name, "")) for name in histogram.labels}
            self._metrics.observe(histogram.name, float(value), **histogram_labels)

    def _record_gauges(self, fields: Mapping[str, object]) -> None:
        organisation = str(fields["organisation"])
        for field, name in _ORGANISATION_GAUGES.items():
            key, value = (name, organisation), fields[field]
            if key not in self._gauges:
                self._metrics.register_gauge(
                    name, functools.partial(self._read_gauge, key), organisation=organisation
                )
            if isinstance(value, float | int):
                self._gauges[key] = (value, time.monotonic())

    def _read_gauge(self, key: tuple[str, str]) -> float:
        value, recorded_at = self._gauges[key]
        return value if time.monotonic() - recorded_at < _GAUGE_SECONDS else 0.0
