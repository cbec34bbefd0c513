"""When an instance takes over the ownership of the queues.

The owner renews a heartbeat row. Workers reject commands of a former owner by its fencing token,
so a takeover that comes too early only delays work; one that comes too late lets the leases of
running work expire.
"""

from __future__ import annotations

import dataclasses
import math
from collections.abc import Mapping

import msgspec

from ..queueing.authority import STORELESS_SECONDS, Predecessor, compute_authority_seconds
from ..queueing.model import FencingToken
from ..queueing.records import FormerOwner, HeartbeatRecord, MemberRecord, OwnerRecord

HEARTBEAT_INTERVAL_SECONDS = 0.7
# Three heartbeats; a lease must outlast it together with the loading of the state.
HEARTBEAT_TIMEOUT_SECONDS = 2.2
# Applies when pings get no response either, which a slow store doesn't cause. Longer than a
# heartbeat interval and than two pings that time out.
HEARTBEAT_TIMEOUT_WITH_FAILED_PINGS_SECONDS = 1.1
UNANSWERED_PINGS_FOR_TAKEOVER = 2
MAX_PINGING_INSTANCES = 5  # those of the highest fitness; more would only load the owner
PING_REFUSALS_FOR_TAKEOVER = 2  # in a row; they suggest that the owner's process has ended
CLAIM_STAGGER_SECONDS = 0.15  # between instances, so that they rarely claim at the same time
MAX_STAGGERED_RANK = 12  # lower-ranked instances use the same delay
# An instance of low fitness that claims while fitter ones are still starting would have to be
# replaced soon.
LOW_OWNER_FITNESS = 0.5  # half a core with a link of OWNER_LINK_MBPS
LOW_FITNESS_DELAY_SECONDS = 1.0
# An instance that the owner doesn't list has to wait longest for what that owner may still do.
UNLISTED_DELAY_SECONDS = 1.0
# Time for the first instances to write their rows before the first claim.
FIRST_CLAIM_DELAY_SECONDS = 0.4
# An owner of 176 workers receives and sends about 5 Mbit/s, and 20 Mbit/s while it loads.
OWNER_LINK_MBPS = 50.0
# An owner whose calls to the store go unanswered for this long asks its peers how they reach it.
HAND_OVER_AFTER_UNANSWERED_SECONDS = 0.5
# A store that answers peers within this time is not slow, so that the missing responses are due to
# the path to this instance.
MAX_USUAL_LATENCY_SECONDS = 0.12
# What made this instance give up the ownership may make it fail again.
STEP_DOWN_PAUSE_SECONDS = 1.0
STANDBY_COUNT = 2  # instances that follow the work table to take over without loading it


class StoreContact(msgspec.Struct, frozen=True):
    """Result of a read that an instance has just made from the store.

    Parameters
    ----------
    is_available : bool
        The store answered the read.
    seconds : float
        Duration of the read.
    """

    is_available: bool
    seconds: float


def may_have_lost_store(is_available: bool, unanswered_seconds: float) -> bool:
    """Return whether the owner may be the only one without the store, so that it asks its peers.

    Parameters
    ----------
    is_available : bool
        The store has answered the owner's last calls.
    unanswered_seconds : float
        For how long the owner's calls have waited without any response.
    """
    return not is_available or unanswered_seconds > HAND_OVER_AFTER_UNANSWERED_SECONDS


def should_hand_over(own: StoreContact, peer: StoreContact) -> bool:
    """Return whether the owner should hand over to a peer, by reads that both have just made.

    Handles a partition between the owner and the store, or a store that rejects the owner's calls
    only: nothing that ends can be stored until another instance takes over. While the store is down
    or slow for all, the owner stays, since placement goes on without the store.
    """
    if own.is_available or not peer.is_available:
        return False
    is_rejected = own.seconds < MAX_USUAL_LATENCY_SECONDS
    return is_rejected or peer.seconds < MAX_USUAL_LATENCY_SECONDS


def compute_owner_fitness(processors: float, link_mbps: float) -> float:
    """Return how suitable an instance is as the owner.

    Handles deployments whose instances differ: one with a slow link takes seconds to load the
    state, and all work waits for it.

    Parameters
    ----------
    processors : float
    link_mbps : float
    """
    return processors * min(1.0, link_mbps / OWNER_LINK_MBPS)


def compute_rank(name: str, members: Mapping[str, MemberRecord], owner_fitness: float) -> int:
    """Return the position by fitness, the fittest first; at most `MAX_STAGGERED_RANK`."""
    fitness_by_name = {member.name: member.strength for member in members.values()}
    fitness_by_name[name] = owner_fitness
    ranked = sorted(fitness_by_name, key=lambda member: (-fitness_by_name[member], member))
    return min(ranked.index(name), MAX_STAGGERED_RANK)


@dataclasses.dataclass(slots=True)
class OwnershipView:
    """What an instance knows about the owner.

    Attributes
    ----------
    former_process_id : str
        Process whose member row this one has replaced; empty if there is none, or if it was not
        listed any longer. An owner that lists it asks this process as soon as it lists that, and
        has no proof by its peers before.
    owner_seen_at : float
        When this instance first saw the row of the present owner.
    former_acts_until : float
        Until when owners before the present one may act, if that doesn't know that it is the owner.
    heartbeat_seen_at : float
        When this instance last saw the heartbeat row change.
    refusals : int
        Consecutive pings that were refused or answered by a process other than this owner.
    unanswered_pings : int
        Consecutive pings that failed without a refusal, mostly by a time-out.
    store_available_since : float or None
        Since when the store has answered without a failure; None while it is unavailable.
    members : dict
        Rows of all listed instances by name.
    member_revisions : dict
        Revisions of these rows by name.
    removed_members : set of str
        Names of the instances that an owner has removed and that have not registered again.
    resigned_fencing : FencingToken
        Newest owner that has told this instance that it sends no commands any more, by announcing
        its resignation or by its answer to a ping; 0 if there is none.
    is_designated : bool
        That owner has asked this instance to take over.
    stepped_down_at : float
        When this instance last gave up the ownership.
    """

    name: str
    claim_id: str
    process_id: str = ""
    former_process_id: str = ""
    address: str = ""
    owner: OwnerRecord | None = None
    owner_revision: int = 0
    owner_seen_at: float = 0.0
    former_acts_until: float = -math.inf
    heartbeat: HeartbeatRecord | None = None
    heartbeat_seen_at: float = 0.0
    store_available_since: float | None = None
    refusals: int = 0
    unanswered_pings: int = 0
    rank: int = 0
    owner_fitness: float = 1.0
    members: dict[str, MemberRecord] = dataclasses.field(default_factory=dict)
    member_revisions: dict[str, int] = dataclasses.field(default_factory=dict)
    removed_members: set[str] = dataclasses.field(default_factory=set)
    resigned_fencing: FencingToken = FencingToken(0)
    is_designated: bool = False
    stepped_down_at: float = -math.inf

    def update_owner(self, owner: OwnerRecord, revision: int, now: float) -> bool:
        """Apply an owner row; return whether it is newer than the known one."""
        if revision <= self.owner_revision:
            return False
        is_first = self.owner is None and owner.fencing == 1
        former = Predecessor.NONE if is_first else self.assess_predecessor(Predecessor.UNAWARE)
        inherited_seconds = self.compute_inherited_seconds(now)
        self.former_acts_until = now + compute_authority_seconds(former, inherited_seconds)
        self.owner = owner
        self.owner_revision = revision
        self.owner_seen_at = self.heartbeat_seen_at = now
        self.refusals = 0
        self.unanswered_pings = 0
        return True

    def update_member(self, name: str, member: MemberRecord | None, revision: int) -> None:
        """Apply a member row; None stands for one that was deleted."""
        if member is not None and member.removed_by:
            self.removed_members.add(name)
        else:
            self.removed_members.discard(name)
        if member is None or member.has_left:
            self.members.pop(name, None)
            self.member_revisions.pop(name, None)
        else:
            self.members[name] = member
            self.member_revisions[name] = revision

    def list_peers(self) -> list[MemberRecord]:
        """Return the rows of the other listed instances."""
        return [member for name, member in self.members.items() if name != self.name]

    def update_heartbeat(self, heartbeat: HeartbeatRecord, now: float) -> None:
        """Apply a heartbeat of the current owner; ignore one of a former owner."""
        if self.owner is not None and heartbeat.fencing < self.owner.fencing:
            return
        if heartbeat != self.heartbeat:
            self.heartbeat = heartbeat
            self.heartbeat_seen_at = now

    def _find_owner_heartbeat(self) -> HeartbeatRecord | None:
        """Return the last heartbeat if it is one of the present owner."""
        if self.owner is None or self.heartbeat is None:
            return None
        return self.heartbeat if self.heartbeat.fencing == self.owner.fencing else None

    def record_resignation(self, fencing: FencingToken, *, is_designated: bool) -> None:
        """Record that an owner has resigned; it sends no commands any more."""
        if fencing >= self.resigned_fencing:
            self.resigned_fencing = fencing
            self.is_designated = is_designated

    def record_owner_answer(self, claim_id: str, known_fencing: FencingToken | None) -> bool:
        """Record the answer to a ping of the owner; return whether it is the first sign of its end.

        The ping must have been sent after this instance knew the owner's row. Whoever answers at
        the owner's address under another claim, and knows that row, has stepped down, got no
        response to the claim, or has replaced the owner's process. Since it knows the row, it
        doesn't confirm an earlier owner any longer either.

        Parameters
        ----------
        claim_id : str
            Of the process that has answered.
        known_fencing : FencingToken or None
            Token of the newest owner that it knows.
        """
        owner = self.owner
        if owner is None or claim_id == owner.boot or self._has_resigned(owner):
            return False
        if known_fencing is None or known_fencing < owner.fencing:
            return False
        self.record_resignation(owner.fencing, is_designated=False)
        return True

    def _has_resigned(self, owner: OwnerRecord | FormerOwner) -> bool:
        return self.resigned_fencing == owner.fencing

    def record_step_down(self, fencing: FencingToken, now: float) -> None:
        """Record that this instance has given up the ownership."""
        self.record_resignation(fencing, is_designated=False)
        self.stepped_down_at = now

    def record_store_result(self, now: float, succeeded: bool) -> None:
        """Record whether the store answered."""
        if not succeeded:
            self.store_available_since = None
        elif self.store_available_since is None:
            self.store_available_since = now

    def record_ping(self, *, is_refused: bool = False, is_unanswered: bool = False) -> None:
        """Record the result of a ping to the owner."""
        self.refusals = self.refusals + 1 if is_refused else 0
        self.unanswered_pings = self.unanswered_pings + 1 if is_unanswered else 0

    def is_standby(self) -> bool:
        """Return whether this instance follows the work table to take over quickly."""
        if self.owner is None or self.is_owner():
            return False
        owner_fitness = {m.name: m.strength for m in self.members.values()}
        ranked = sorted(owner_fitness, key=lambda name: (-owner_fitness[name], name))
        successors = [name for name in ranked if name != self.owner.name]
        return self.name in successors[:STANDBY_COUNT]

    def is_owner(self) -> bool:
        """Return whether this process is the owner, as far as it knows."""
        return self.owner is not None and self.owner.boot == self.claim_id

    def is_owner_inactive(self, owner: OwnerRecord | FormerOwner, revision: int) -> bool:
        """Return whether an owner can no longer send commands.

        It has resigned, or another process has written its row at its name and address since its
        claim, which has the given revision. A row that this instance knows from before may be of an
        earlier process. Refused connections are no proof, since a network partition may refuse them
        as well.
        """
        member = self.members.get(owner.name)
        is_newer = self.member_revisions.get(owner.name, 0) > revision
        is_same_address = member is not None and member.address == owner.address
        if is_newer and is_same_address and member is not None and member.boot != owner.process:
            return True
        if self._has_resigned(owner):
            return True
        heartbeat = self.heartbeat
        return (
            heartbeat is not None and heartbeat.has_resigned and heartbeat.fencing == owner.fencing
        )

    def assess_predecessor(self, unknown: Predecessor = Predecessor.NONE) -> Predecessor:
        """Return what is known of the present owner, for which a claim has to allow.

        Parameters
        ----------
        unknown : Predecessor
            Returned if no owner is known.
        """
        owner = self.owner
        if owner is None:
            return unknown
        # This process has ended its ownership or never noticed that it had one, and a former
        # process at its name and address has ended.
        if self._is_here(owner) or self.is_owner_inactive(owner, self.owner_revision):
            return Predecessor.ENDED
        peers = self.list_owner_peers()
        is_listed = self.process_id in peers or self.former_process_id in peers
        return Predecessor.ASKS_PEERS if is_listed else Predecessor.UNAWARE

    def list_owner_peers(self) -> tuple[str, ...]:
        """Return the processes that the present owner lists, as far as it has said."""
        if self.owner is None:
            return ()
        heartbeat = self._find_owner_heartbeat()
        return heartbeat.peers if heartbeat is not None else self.owner.peers

    def compute_authority_left(self, now: float) -> float:
        """Return what is left of the time that the present owner's row states."""
        if self.owner is None:
            return 0.0
        return max(0.0, self.owner.authority_seconds - (now - self.owner_seen_at))

    def compute_inherited_seconds(self, now: float) -> float:
        """Return for how long owners before the present one may still extend leases.

        An owner's heartbeat says so. Without one, its claim may have been carried out without its
        knowledge, so that it still confirmed its predecessor. If its process has ended since, that
        is over, unless its predecessor doesn't ask it, as a long time in its row shows. Otherwise
        this instance relies on what it knew of the owners before. A claim that allowed for none was
        made after the end of its predecessor, which nobody confirms; the same holds if that one has
        ended since.
        """
        owner, heartbeat = self.owner, self._find_owner_heartbeat()
        if owner is None:
            return 0.0
        if heartbeat is not None and heartbeat.authority_seconds is not None:
            return max(0.0, heartbeat.authority_seconds - (now - self.heartbeat_seen_at))
        left = self.compute_authority_left(now)
        if owner.authority_seconds == 0.0 and not self._is_here(owner):
            return left
        has_ended = self.assess_predecessor() is Predecessor.ENDED
        if has_ended and owner.authority_seconds < STORELESS_SECONDS:
            seconds = compute_authority_seconds(Predecessor.ASKS_PEERS, left)
            if self._is_here(owner):  # that process had ended before this one read the row
                seconds -= now - self.owner_seen_at
            return max(left, seconds)
        former = owner.predecessor
        if former is not None and self.is_owner_inactive(former, former.revision):
            return left
        return max(left, self.former_acts_until - now)

    def _is_here(self, owner: OwnerRecord) -> bool:
        return owner.name == self.name and owner.address == self.address

    def compute_next_fencing(self) -> FencingToken:
        """Return the fencing token of the next owner."""
        return FencingToken(1 if self.owner is None else self.owner.fencing + 1)

    def should_claim(self, now: float) -> bool:
        """Return whether to take over now.

        Handles an owner that is killed (refused connections), restarts (another process at its
        name and address), resigns, or is suspended or partitioned (its heartbeat does not change
        while the store answers).
        """
        if self.store_available_since is None or self.is_owner():
            return False
        if now - self.stepped_down_at < STEP_DOWN_PAUSE_SECONDS:
            return False
        delay = self.rank * CLAIM_STAGGER_SECONDS
        if self.owner_fitness < LOW_OWNER_FITNESS:
            delay += LOW_FITNESS_DELAY_SECONDS
        if self.assess_predecessor() is Predecessor.UNAWARE:
            delay += UNLISTED_DELAY_SECONDS
        if self.owner is None:
            return now - self.store_available_since > FIRST_CLAIM_DELAY_SECONDS + delay
        if self.owner.name == self.name and self.owner.process != self.process_id:
            return True
        if self.is_designated and self._has_resigned(self.owner):
            return True
        is_inactive = self.is_owner_inactive(self.owner, self.owner_revision)
        if is_inactive or self.refusals >= PING_REFUSALS_FOR_TAKEOVER:
            return now - self.heartbeat_seen_at > delay
        unchanged_since = max(self.heartbeat_seen_at, self.store_available_since)
        have_pings_failed = self.unanswered_pings >= UNANSWERED_PINGS_FOR_TAKEOVER
        timeout = (
            HEARTBEAT_TIMEOUT_WITH_FAILED_PINGS_SECONDS
            if have_pings_failed
            else HEARTBEAT_TIMEOUT_SECONDS
        )
        return now - unchanged_since > timeout + delay
