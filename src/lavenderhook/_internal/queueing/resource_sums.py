"""Sums of resources, and their comparison with limits."""

from __future__ import annotations

from .model import Resources


def add(one: Resources, other: Resources, count: int = 1) -> Resources:
    """Return the sum of `one` and `count` times `other`."""
    return Resources(
        one.processors + count * other.processors,
        one.memory_mb + count * other.memory_mb,
        one.accelerators + count * other.accelerators,
    )


def is_within(used: Resources, limit: Resources) -> bool:
    """Return whether each resource is within its limit; 0 is no limit."""
    return (
        (not limit.processors or used.processors <= limit.processors)
        and (not limit.memory_mb or used.memory_mb <= limit.memory_mb)
        and (not limit.accelerators or used.accelerators <= limit.accelerators)
    )
