"""Messages between entry instances."""

from __future__ import annotations

import msgspec

from .identifiers import (
    AvailabilityZone,
    CallerName,
    ConfigurationVersion,
    IncarnationId,
    InstanceName,
    MemberState,
    PriorityClass,
    RequestId,
    ShardId,
    UpstreamId,
)
from .records import UpstreamView


class Digest(msgspec.Struct, frozen=True, kw_only=True):
    """State of the sender of a heartbeat.

    Parameters
    ----------
    sequence : int
        Counts the sender's heartbeats; older ones are ignored.
    free_slots : dict of str to int
        Free slots per service.
    shards : dict of ShardId to int
        Epoch of each shard that the sender owns.
    suspected : tuple of IncarnationId
        Members from which the sender has received no heartbeat within `suspect_after`.
    """

    name: InstanceName
    incarnation: IncarnationId
    address: str
    availability_zone: AvailabilityZone
    sequence: int
    state: MemberState
    ready: bool
    configuration_version: ConfigurationVersion
    free_slots: dict[str, int] = {}
    queued: dict[str, int] = {}
    leaving_upstreams: tuple[UpstreamId, ...] = ()
    shards: dict[ShardId, int] = {}
    suspected: tuple[IncarnationId, ...] = ()


class GrantUpdate(msgspec.Struct, frozen=True, kw_only=True):
    """The upstreams on which the receiver holds slots, complete, as of `version`.

    `version` is (epoch, log number); a holder ignores older ones.
    """

    shard: ShardId
    version: tuple[int, int]
    owner: IncarnationId
    holder: IncarnationId
    upstreams: tuple[UpstreamView, ...]
    requested_limits: dict[UpstreamId, int] = {}


class GrantReport(msgspec.Struct, frozen=True, kw_only=True):
    """Promises and demand of a holder.

    `limits` are the promised limits, at or below the granted slots; the owner may commit a grant
    that is not lower than the reported limit. The holder keeps to it until a `GrantUpdate` of a
    later version than `version` raises it.
    """

    shard: ShardId
    version: tuple[int, int]
    holder: IncarnationId
    limits: dict[UpstreamId, int]
    demand: dict[str, float]


class ForwardedRequest(msgspec.Struct, frozen=True, kw_only=True):
    """Head of a request that is forwarded to a peer; the body follows on the stream."""

    request_id: RequestId
    caller: CallerName
    service: str
    labels: dict[str, str]
    idempotent: bool
    remaining_seconds: float
    priority: PriorityClass
    sender: IncarnationId
