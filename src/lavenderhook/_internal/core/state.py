"""The state and the parameters of the core of an entry instance."""

from __future__ import annotations

import dataclasses
import random

import msgspec

from .claims import ClaimsState
from .configuration import ConfigurationState
from .identifiers import AvailabilityZone, IncarnationId, InstanceName
from .membership import MembershipState
from .ownership import ShardOwnerships
from .retries import RetryState
from .routing_state import RoutingState
from .shutdown import ShutdownState
from .upstream_ejection import EjectionState


class CoreParameters(msgspec.Struct, frozen=True, kw_only=True):
    """Settings of the core, read from the settings file of the daemon.

    All durations are in seconds.

    Parameters
    ----------
    start_window : float
        Duration of the first lease of an attempt, within which it must start.
    quarantine : float
        Time after which no request can be left on the slots of an instance that is gone, or on the
        slot of a timed-out request; the slots are then free.
    service_roll_patience : float
        How long replacements in a service may wait for free capacity before a task is drained.
    """

    heartbeat_interval: float = 0.4
    suspect_after: float = 1.0
    takeover_after: float = 1.5
    platform_poll_interval: float = 1.0
    configuration_poll_interval: float = 1.0
    full_mesh_limit: int = 16
    gossip_fanout: int = 5
    shards: int = 1
    commit_interval: float = 0.05
    max_batch_records: int = 2000
    start_window: float = 5.0
    lease_duration: float = 15.0
    renew_interval: float = 4.0
    max_clock_skew: float = 0.5
    worker_poll_interval: float = 1.0
    service_poll_interval: float = 10.0
    max_attempts: int = 3
    max_ejected_share: float = 0.3
    quarantine: float = 30.0
    grant_report_interval: float = 0.5
    grant_plan_interval: float = 0.25
    max_request_seconds: float = 30.0
    max_queue: int = 1024
    lower_class_share: float = 0.125
    request_check_interval: float = 0.05
    shutdown_check_interval: float = 0.1
    retry_budget: float = 0.1
    drain_grace: float = 2.0
    pause_threshold: float = 1.0
    snapshot_every: int = 200
    lazy_commit_interval: float = 0.25
    ownership_check_interval: float = 5.0
    platform_list_lag: float = 3.0
    worker_unreachable_after: float = 6.0
    operation_timeout: float = 30.0
    ended_job_retention: float = 3600.0
    task_backoff: float = 1.0
    max_task_backoff: float = 60.0
    service_roll_patience: float = 30.0


@dataclasses.dataclass(slots=True)
class InstanceState:
    """The state of an entry instance.

    Parameters
    ----------
    generator : random.Random
        Seeded by the runtime; the core's only source of randomness.
    """

    name: InstanceName
    incarnation: IncarnationId
    availability_zone: AvailabilityZone
    address: str
    parameters: CoreParameters
    generator: random.Random
    now: float = 0.0
    shutting_down_since: float | None = None
    membership: MembershipState = dataclasses.field(default_factory=MembershipState)
    configuration: ConfigurationState = dataclasses.field(default_factory=ConfigurationState)
    routing: RoutingState = dataclasses.field(default_factory=RoutingState)
    claims: ClaimsState = dataclasses.field(default_factory=ClaimsState)
    retries: RetryState = dataclasses.field(default_factory=RetryState)
    ejection: EjectionState = dataclasses.field(default_factory=EjectionState)
    shutdown: ShutdownState = dataclasses.field(default_factory=ShutdownState)
    ownerships: ShardOwnerships = dataclasses.field(default_factory=ShardOwnerships)
