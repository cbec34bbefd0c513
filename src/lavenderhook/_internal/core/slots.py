"""Upstream slots that this instance holds, and the choice among the free ones."""

from __future__ import annotations

import dataclasses
import random
from collections.abc import Collection

from .identifiers import ShardId, UpstreamId
from .labels import Labels
from .records import UpstreamView


@dataclasses.dataclass(slots=True, eq=False)
class Upstream:
    """An upstream on which this instance holds slots.

    Parameters
    ----------
    granted : int
        Slots of the grant; 0 if the grant was withdrawn while requests are outstanding.
    requested_limit : int or None
        Lower limit that the shard's owner requested.
    limit : int
        Slots that new work may use now; at most `granted`.
    in_use : int
        Outstanding requests, including those that timed out and are not released yet.
    position : int
        Place in the pool's list of upstreams with a free slot, or -1.
    """

    view: UpstreamView
    shard: ShardId
    granted: int
    is_local: bool
    requested_limit: int | None = None
    limit: int = 0
    in_use: int = 0
    position: int = -1
    free: int = 0

    def get_promise(self) -> int:
        """Return the limit that this instance can promise, never below the slots in use."""
        allowed = (
            self.granted
            if self.requested_limit is None
            else min(self.granted, self.requested_limit)
        )
        return max(allowed, self.in_use)


class SlotPool:
    """The upstreams of one service.

    Upstreams with a free slot are kept in two lists, one for the instance's own availability zone
    and one for the others, so that a choice takes constant time
    unless labels or upstreams to avoid are given.
    """

    __slots__ = ("upstreams", "free_slots", "capacity", "in_use", "_local", "_remote")

    def __init__(self) -> None:
        self.upstreams: dict[UpstreamId, Upstream] = {}
        self.free_slots = 0
        self.capacity = 0
        self.in_use = 0
        self._local: list[Upstream] = []
        self._remote: list[Upstream] = []

    def add(self, upstream: Upstream) -> None:
        """Add an upstream whose `limit` is still 0."""
        self.upstreams[upstream.view.upstream_id] = upstream

    def remove(self, upstream: Upstream) -> None:
        """Remove an upstream without outstanding requests."""
        self.set_limit(upstream, 0)
        self.upstreams.pop(upstream.view.upstream_id, None)

    def set_limit(self, upstream: Upstream, limit: int) -> None:
        """Change the slots that new work may use."""
        self.capacity += limit - upstream.limit
        upstream.limit = limit
        self._refresh(upstream)

    def acquire(self, upstream: Upstream) -> None:
        """Mark one slot as in use."""
        upstream.in_use += 1
        self.in_use += 1
        self._refresh(upstream)

    def release(self, upstream: Upstream) -> None:
        """Mark one slot as free again."""
        upstream.in_use -= 1
        self.in_use -= 1
        self._refresh(upstream)

    def _refresh(self, upstream: Upstream) -> None:
        free = max(0, upstream.limit - upstream.in_use)
        self.free_slots += free - upstream.free
        upstream.free = free
        available = self._local if upstream.is_local else self._remote
        if free and upstream.position < 0:
            upstream.position = len(available)
            available.append(upstream)
        elif not free and upstream.position >= 0:
            last = available.pop()
            if last is not upstream:
                available[upstream.position] = last
                last.position = upstream.position
            upstream.position = -1

    def has_free(self, labels: Labels) -> bool:
        """Return whether an upstream with these labels has a free slot."""
        if not labels:
            return self.free_slots > 0
        return any(
            matches(upstream, labels)
            for available in (self._local, self._remote)
            for upstream in available
        )

    def could_serve(self, labels: Labels) -> bool:
        """Return whether an upstream with these labels accepts new work, even if it is busy now."""
        if not labels:
            return self.capacity > 0
        return any(u.limit and matches(u, labels) for u in self.upstreams.values())

    def choose(
        self, generator: random.Random, labels: Labels, avoid: Collection[UpstreamId] = ()
    ) -> Upstream | None:
        """Return an upstream with a free slot: own zone first, the less loaded of two sampled.

        Parameters
        ----------
        generator : random.Random
            Draws the sample.
        labels : mapping of str to str
            Labels that the upstream must carry.
        avoid : collection of UpstreamId
            Upstreams that are not chosen.

        Returns
        -------
        Upstream or None
            None if no matching upstream has a free slot.
        """
        for available in (self._local, self._remote):
            candidates = available
            if labels or avoid:
                candidates = [
                    upstream
                    for upstream in available
                    if matches(upstream, labels) and upstream.view.upstream_id not in avoid
                ]
            if candidates:
                return _choose_of_two(generator, candidates)
        return None


def _choose_of_two(generator: random.Random, candidates: list[Upstream]) -> Upstream:
    count = len(candidates)
    if count == 1:
        return candidates[0]
    draw = generator.random
    first = candidates[int(draw() * count)]
    second = candidates[int(draw() * count)]
    if second.in_use * first.limit < first.in_use * second.limit:
        return second
    return first


def matches(upstream: Upstream, labels: Labels) -> bool:
    """Return whether an upstream carries all these labels."""
    carried = upstream.view.labels
    return all(carried.get(key) == value for key, value in labels.items())
