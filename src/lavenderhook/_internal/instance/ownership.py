"""When an instance takes over the ownership of the queues.

The owner renews a heartbeat row. Workers shut out a former owner by its fencing token, so a
takeover that comes too early costs time and never safety; one that comes late leaves work
without leases.
"""

from __future__ import annotations

import dataclasses
from collections.abc import Mapping

from ..queueing.model import FencingToken
from ..queueing.records import HeartbeatRecord, MemberRecord, OwnerRecord

HEARTBEAT_SECONDS = 0.7
# Three heartbeats; a lease must outlast it together with the loading of the state.
HEARTBEAT_TIMEOUT_SECONDS = 2.2
# With pings that time out as well, which a slow store doesn't cause: a heartbeat and the time in
# which two pings are given up.
HEARTBEAT_TIMEOUT_WITH_FAILED_PINGS_SECONDS = 1.1
TIMEOUTS_FOR_TAKEOVER = 2
MAX_PINGING_INSTANCES = 5  # the strongest instances ping the owner; more would only load it
REFUSALS_FOR_TAKEOVER = 2  # refused connections in a row that show an owner's process has ended
CLAIM_STAGGER_SECONDS = 0.15  # between instances, so that they rarely claim at the same time
MAX_STAGGERED = 12  # instances; the others wait as long as the last of these
# A weak instance that claims while the strong ones are still starting has to be replaced soon.
LOW_OWNER_FITNESS = 0.5  # half a core and a link that carries the ownership
LOW_FITNESS_DELAY_SECONDS = 1.0
# for the first instances to write their rows, before the first claim
FIRST_CLAIM_DELAY_SECONDS = 0.4
# An owner of 176 workers receives and sends about 5 Mbit/s, and 20 Mbit/s while it loads.
OWNER_LINK_MBPS = 50.0


def compute_owner_fitness(processors: float, link_mbps: float) -> float:
    """Return how well an instance can carry the ownership.

    Answers a deployment whose instances differ: one with a thin link takes seconds to load the
    state, and all work waits for it.

    Parameters
    ----------
    processors : float
    link_mbps : float
    """
    return processors * min(1.0, link_mbps / OWNER_LINK_MBPS)


def compute_rank(name: str, members: Mapping[str, MemberRecord], owner_fitness: float) -> int:
    """Return the place of an instance among all, the strongest first."""
    fitness_by_name = {member.name: member.strength for member in members.values()}
    fitness_by_name[name] = owner_fitness
    ordered = sorted(fitness_by_name, key=lambda member: (-fitness_by_name[member], member))
    return min(ordered.index(name), MAX_STAGGERED)


@dataclasses.dataclass(slots=True)
class OwnershipView:
    """What an instance believes about the owner.

    Attributes
    ----------
    heartbeat_seen_at : float
        When the heartbeat row last changed, as seen here.
    refusals, timeouts : int
        Pings to the owner in a row that were refused or not answered.
    store_available_since : float or None
        Since when the store has answered without a failure; None while it doesn't.
    members : dict
        Rows of all instances by name.
    """

    name: str
    claim_id: str
    owner: OwnerRecord | None = None
    owner_revision: int = 0
    heartbeat: HeartbeatRecord | None = None
    heartbeat_seen_at: float = 0.0
    store_available_since: float | None = None
    refusals: int = 0
    timeouts: int = 0
    rank: int = 0
    owner_fitness: float = 1.0
    members: dict[str, MemberRecord] = dataclasses.field(default_factory=dict)

    def update_owner(self, owner: OwnerRecord, revision: int, now: float) -> bool:
        """Take over an owner row; return whether it is newer than the known one."""
        if revision <= self.owner_revision:
            return False
        self.owner = owner
        self.owner_revision = revision
        self.heartbeat_seen_at = now
        self.refusals = 0
        self.timeouts = 0
        return True

    def update_heartbeat(self, heartbeat: HeartbeatRecord, now: float) -> None:
        """Take over a heartbeat of the present owner."""
        if self.owner is not None and heartbeat.fencing < self.owner.fencing:
            return
        if heartbeat != self.heartbeat:
            self.heartbeat = heartbeat
            self.heartbeat_seen_at = now

    def record_store_result(self, now: float, succeeded: bool) -> None:
        """Note whether the store answered."""
        if not succeeded:
            self.store_available_since = None
        elif self.store_available_since is None:
            self.store_available_since = now

    def record_ping(self, *, is_refused: bool = False, is_timeout: bool = False) -> None:
        """Note the result of a ping to the owner."""
        self.refusals = self.refusals + 1 if is_refused else 0
        self.timeouts = self.timeouts + 1 if is_timeout else 0

    def is_owner(self) -> bool:
        """Return whether this process is the owner, as far as it knows."""
        return self.owner is not None and self.owner.boot == self.claim_id

    def is_former_owner_stopped(self, owner: OwnerRecord) -> bool:
        """Return whether an owner is sure to give no more orders.

        It has resigned, or another process runs at its name and address. An owner's member row is
        written together with its claim, so that the row is never older than the claim. Refused
        connections are no proof, since a cut may refuse them as well.
        """
        member = self.members.get(owner.name)
        is_same_place = member is not None and member.address == owner.address
        if is_same_place and member is not None and member.boot != owner.process:
            return True
        heartbeat = self.heartbeat
        return (
            heartbeat is not None and heartbeat.has_resigned and heartbeat.fencing == owner.fencing
        )

    def next_fencing(self) -> FencingToken:
        """Return the token of the next owner."""
        return FencingToken(1 if self.owner is None else self.owner.fencing + 1)

    def should_claim(self, now: float) -> bool:
        """Return whether to take over now.

        Answers an owner that is killed (refused connections), restarts (same name, other boot),
        resigns, or freezes or is cut off (its heartbeat stands still while the store answers).
        """
        if self.store_available_since is None or self.is_owner():
            return False
        stagger = self.rank * CLAIM_STAGGER_SECONDS
        if self.owner_fitness < LOW_OWNER_FITNESS:
            stagger += LOW_FITNESS_DELAY_SECONDS
        if self.owner is None:
            return now - self.store_available_since > FIRST_CLAIM_DELAY_SECONDS + stagger
        if self.owner.name == self.name:
            return True
        if self.is_former_owner_stopped(self.owner) or self.refusals >= REFUSALS_FOR_TAKEOVER:
            return now - self.heartbeat_seen_at > stagger
        silent_since = max(self.heartbeat_seen_at, self.store_available_since)
        is_confirmed = self.timeouts >= TIMEOUTS_FOR_TAKEOVER
        silence = (
            HEARTBEAT_TIMEOUT_WITH_FAILED_PINGS_SECONDS
            if is_confirmed
            else HEARTBEAT_TIMEOUT_SECONDS
        )
        return now - silent_since > silence + stagger
