"""Ownership of the queues, and when an owner may start a task (queueing/authority.py).

The owner row of the store names the owner, its fencing token and its authority: for how long after
the claim earlier owners may still act. An owner acts on a proof that nobody has taken over, either
by the store or by all listed peers. There are one task and two workers; a run ends when its lease
has expired.

Time is in ticks. Any call may fail at any time, so that each link may be cut for any time. A claim
may be stored late, also after a restart of its sender, and its response may come late or never. An
owner renews its proofs in every tick in which the store or all listed peers would give one, since
an older proof only lets it do less: `store_age` and `peer_age` count the ticks since then.
"""

from collections.abc import Iterator
from dataclasses import dataclass
from typing import Any, NamedTuple

from ..engine import Mutant, Predicate, RuleOrigin, Specification, Step, replace_item

PROOF_TICKS = 1  # an owner acts on a proof of at most this age
STORELESS_TICKS = 1  # peers prove nothing later than this after the last proof by the store
UNAWARE_TICKS = STORELESS_TICKS + PROOF_TICKS  # for an owner that doesn't list the claimant
LEASE_TICKS = 1
INACTIVE_TICKS = PROOF_TICKS + 1  # after which newer tasks don't wait, see the last mutant
INSTANCES = 3

FREE = -1  # no run of an earlier owner is at the worker
EXPIRED = -2  # the lease has expired, but another owner may have extended it


class Row(NamedTuple):
    """The owner row, and what other rows show of that owner."""

    token: int
    owner: int
    authority: int  # ticks after the claim for which earlier owners may act
    is_known: bool  # the owner has written since it knows of its claim
    has_ended: bool  # another process runs at the owner's name and address
    inherited: int = 0  # the part of the authority that is for owners before the predecessor
    former: int = -1  # the predecessor; -1 if its peers have been heard, or don't matter
    predecessor: int = -1  # -1 once its process has ended
    stated: int = 0  # the authority in the predecessor's row


class Claim(NamedTuple):
    """A claim without a response."""

    token: int
    authority: int
    age: int
    is_stored: bool = False
    is_lost: bool = False  # its sender has restarted
    inherited: int = 0


class Instance(NamedTuple):
    """One instance; the fields from `token` on are those of its ownership."""

    known: int = 0  # token of the newest owner row that it has read; 0 after a restart
    inherited: int = 0  # ticks for which owners before the known one may still act
    claim: Claim | None = None
    token: int = 0  # 0 if it isn't an owner
    store_age: int = 0  # of the last proof by the store
    peer_age: int = 0  # of the last proof by all peers
    leases: tuple = (FREE, FREE)  # ticks until any lease at each worker has expired


class Worker(NamedTuple):
    """One worker."""

    token: int = 0  # highest that it has seen
    lease: int = -1  # ticks for which the task may run; -1 if it doesn't run


class OwnershipState(NamedTuple):
    """State of the store, the instances and the workers."""

    row: Row
    instances: tuple
    workers: tuple
    submitted: int  # token of the owner row when the task was stored; 0 if it isn't stored
    slow: int  # age of a slow call of instance 0 to the store; -1 if there is none
    slow_calls: int
    has_restarted: bool


@dataclass(frozen=True)
class OwnershipBounds:
    """Bounds of the search.

    `listed` are the peers that the first owner lists, `claimants` the instances that may make each
    of the claims, `restarting` those of which one may restart once after a claim, and `transit` the
    ticks for which a claim may be under way to the store. `is_newer` says that the task is stored
    after the first takeover, and `has_taken_over` that instance 1 has just become the owner.
    """

    listed: tuple
    claimants: tuple
    transit: int = 0
    restarting: tuple = ()
    slow_calls: int = 0
    is_newer: bool = False
    has_taken_over: bool = False


class Ownership(Specification):
    """Proofs of ownership, claims, and the waits of a new owner."""

    name = "ownership"
    covers = "proofs by the store and by peers, claims, authority, waits for leases, restarts"
    mutants = (
        Mutant(
            "proof before a command",
            "one_run",
            "an owner starts tasks and extends leases without a recent proof",
            "listed",
        ),
        Mutant(
            "all listed peers",
            "one_run",
            "an answer of any listed peer counts as proof",
            "listed",
        ),
        Mutant(
            "proof from sending",
            "one_run",
            "a proof counts from the arrival of the answer",
            "slow call",
        ),
        Mutant(
            "limit without the store",
            "one_run",
            "peers count as proof without a limit since the last proof by the store",
            "joined late",
        ),
        Mutant(
            "authority before the lease",
            "one_run",
            "a new owner waits for the longest lease only",
            "listed",
        ),
        Mutant(
            "lease after the authority",
            "one_run",
            "a new owner waits only until earlier owners no longer act",
            "listed",
        ),
        Mutant(
            "unaware predecessor",
            "one_run",
            "a claimant that its predecessor doesn't list waits like a listed one",
            "joined late",
        ),
        Mutant(
            "inherited authority",
            "one_run",
            "a claim doesn't allow for owners before its predecessor",
            "joined late",
        ),
        Mutant(
            "wait from the response",
            "one_run",
            "a new owner waits from the sending of its claim",
            "listed",
        ),
        Mutant(
            "unknown proves nothing",
            "one_run",
            "a restarted peer that hasn't read the owner row answers that it knows no later owner",
            "second owner restarts",
        ),
        Mutant(
            "current read after a restart",
            "one_run",
            "a restarted peer answers by a stale read of the owner row, older than what it knew",
            "second owner restarts",
            RuleOrigin.UNSTATED,
        ),
        Mutant(
            "token at the worker",
            "one_run",
            "a worker that a later owner has reached carries out commands of earlier ones",
            "listed",
        ),
        Mutant(
            "claim known to its owner",
            "one_run",
            "the authority in a row counts from when the row is first seen, though its owner may "
            "not know of its claim yet, and so confirm its predecessor",
            "joined late",
            RuleOrigin.UNSTATED,
        ),
        Mutant(
            "peer knows the row",
            "one_run",
            "a listed peer of the predecessor that answers, but may not know the row, ends the "
            "long wait",
            "joined late",
        ),
        Mutant(
            "proofs before the answer",
            "one_run",
            "the predecessor counts as ended once one of its peers knows the row, though its last "
            "proof is still valid",
            "joined late",
        ),
        Mutant(
            "predecessor has ended",
            "one_run",
            "the authority in a row counts from when the row is first seen, though its owner may "
            "confirm a predecessor that has not ended",
            "joined late",
        ),
        Mutant(
            "predecessor knows the row",
            "one_run",
            "what the row of a predecessor states counts, though it may not know of its own claim, "
            "and so confirm an earlier owner",
            "joined late",
        ),
        Mutant(
            "all know the row",
            "one_run",
            "no earlier owner counts once any instance knows the new one",
            "listed",
        ),
        Mutant(
            "end known to its process",
            "one_run",
            "an owner counts as ended while its process has not read its row, so that the response "
            "to its claim may still arrive",
            "joined late",
        ),
        Mutant(
            "store proof after the lease",
            "one_run",
            "an owner that has lost a worker starts its task elsewhere without a proof by the "
            "store since the lease expired, though a later owner may have extended it",
            "listed",
            RuleOrigin.UNSTATED,
        ),
        Mutant(
            "newer tasks wait",
            "one_run",
            "a task that was stored after the claim doesn't wait for leases once the predecessor "
            "counts as inactive, though the predecessor may have started it",
            "newer task",
            RuleOrigin.UNSTATED,
        ),
    )

    def __init__(self, bounds: Any, removed_rules: frozenset[str] = frozenset()) -> None:
        super().__init__(bounds, removed_rules)
        self._last_token = 1 + len(bounds.claimants)

    @classmethod
    def list_configurations(cls, deep: bool) -> dict[str, Any]:
        """Return the bounds by label."""
        once = ((1, 2),)
        if deep:
            every = ((0, 1, 2), (0, 1, 2))
            return {
                "listed": OwnershipBounds((1, 2), every, transit=1),
                "joined late": OwnershipBounds((1,), every, transit=1),
                "owner restarts": OwnershipBounds((1,), every, restarting=(0,)),
                "claimant restarts": OwnershipBounds((1,), every, restarting=(1,)),
                "three takeovers": OwnershipBounds((1,), ((1,), (2,), (0, 1))),
            }
        return {
            "listed": OwnershipBounds((1, 2), ((1,), (1, 2)), transit=1),
            "joined late": OwnershipBounds((1,), ((1, 2), (2,))),
            "owner restarts": OwnershipBounds((1,), ((0, 1),), restarting=(0,)),
            "claimant restarts": OwnershipBounds((1,), ((1,), (2,)), restarting=(1,)),
            "second owner restarts": OwnershipBounds(
                (1,), ((1,), (2,)), restarting=(1,), has_taken_over=True
            ),
            "slow call": OwnershipBounds((1, 2), once, slow_calls=1),
            "newer task": OwnershipBounds((1, 2), once, is_newer=True),
        }

    def build_initial(self) -> OwnershipState:
        """Return the state in which the others know the owner, which is instance 0."""
        row = Row(token=1, owner=0, authority=0, is_known=True, has_ended=False)
        second = Instance(known=1)
        if self.bounds.has_taken_over:
            waits = (PROOF_TICKS + LEASE_TICKS,) * 2
            row = Row(token=2, owner=1, authority=PROOF_TICKS, is_known=True, has_ended=False)
            second = Instance(known=2, token=2, leases=waits)
        return OwnershipState(
            row=row,
            instances=(Instance(known=1, token=1), second, Instance(known=1)),
            workers=(Worker(token=1), Worker(token=1)),
            submitted=0 if self.bounds.is_newer else 1,
            slow=-1,
            slow_calls=0,
            has_restarted=False,
        )

    def list_successors(self, state: OwnershipState) -> list[Step]:
        """Return the steps of the clock, the store, the instances and the owners."""
        if not _is_one_run(state.workers):
            return []
        steps = [("tick()", self._tick(state))]
        if state.submitted == 0 and state.row.token > 1:
            steps.append(("submit()", state._replace(submitted=state.row.token)))
        if state.slow >= 0:
            steps.append(("answer_slow_call()", self._answer_slow_call(state)))
        are_workers_alike = state.workers[0] == state.workers[1] and all(
            i.leases[0] == i.leases[1] for i in state.instances
        )
        for index, instance in enumerate(state.instances):
            for name, changed in self._list_instance_steps(state, index, instance):
                steps.append((f"{name}(instance={index})", changed))
            if instance.token:
                for worker in range(1 if are_workers_alike else len(state.workers)):
                    for name, changed in self._list_commands(state, index, worker):
                        label = f"{name}(instance={index}, worker={worker})"
                        steps.append((label, changed))
        return [(label, self._simplify(changed)) for label, changed in steps]

    # Time.

    def _tick(self, state: OwnershipState) -> OwnershipState:
        instances = tuple(self._age(state, index) for index in range(INSTANCES))
        workers = tuple(Worker(w.token, max(w.lease - 1, -1)) for w in state.workers)
        slow = min(state.slow + 1, UNAWARE_TICKS + 1) if state.slow >= 0 else -1
        return state._replace(instances=instances, workers=workers, slow=slow)

    def _age(self, state: OwnershipState, index: int) -> Instance:
        instance = state.instances[index]
        claim = instance.claim
        if claim is not None:
            claim = claim._replace(age=min(claim.age + 1, UNAWARE_TICKS + 1))
            if not claim.is_stored and claim.age > self.bounds.transit:
                claim = None
        inherited = max(instance.inherited - 1, 0)
        if not instance.token:
            return instance._replace(inherited=inherited, claim=claim)
        is_proven = instance.token == state.row.token
        can_write_off = is_proven or not self.enforces("store proof after the lease")
        expired = FREE if can_write_off else EXPIRED
        return Instance(
            known=instance.known,
            inherited=inherited,
            claim=claim,
            token=instance.token,
            store_age=0 if is_proven else min(instance.store_age + 1, UNAWARE_TICKS + 1),
            peer_age=(
                0
                if is_proven or self._is_proven_by_peers(state, index)
                else min(instance.peer_age + 1, PROOF_TICKS + 1)
            ),
            leases=tuple(n - 1 if n > 0 else expired if n == 0 else n for n in instance.leases),
        )

    # Proofs.

    def _list_peers(self, token: int, owner: int) -> tuple:
        """Return the peers that an owner lists."""
        if token == 1:
            return self.bounds.listed
        return tuple(i for i in range(INSTANCES) if i != owner)

    def _is_proven_by_peers(self, state: OwnershipState, index: int) -> bool:
        token = state.instances[index].token
        lowest = 1 if self.enforces("unknown proves nothing") else 0
        answers = [
            lowest <= state.instances[peer].known <= token
            for peer in self._list_peers(token, index)
        ]
        return all(answers) if self.enforces("all listed peers") else any(answers)

    def _may_act(self, instance: Instance) -> bool:
        if not self.enforces("proof before a command"):
            return True
        if self.enforces("limit without the store"):
            age = _compute_age(instance.store_age, instance.peer_age)
        else:
            age = min(instance.store_age, instance.peer_age)
        return age <= PROOF_TICKS

    def _answer_slow_call(self, state: OwnershipState) -> OwnershipState:
        owner = state.instances[0]
        if owner.token == 1:
            age = state.slow if self.enforces("proof from sending") else 0
            owner = owner._replace(store_age=min(owner.store_age, age))
        instances = replace_item(state.instances, 0, owner)
        return state._replace(instances=instances, slow=-1)

    # Instances.

    def _list_instance_steps(
        self, state: OwnershipState, index: int, instance: Instance
    ) -> Iterator[Step]:
        def replace_instance(changed: Instance, **fields: Any) -> OwnershipState:
            instances = replace_item(state.instances, index, changed)
            return state._replace(instances=instances, **fields)

        row, claim = state.row, instance.claim
        if index == 0 and instance.token == row.token and state.slow_calls < self.bounds.slow_calls:
            yield "send_slow_call", state._replace(slow=0, slow_calls=state.slow_calls + 1)
        if instance.known == 0 and not self.enforces("current read after a restart"):
            yield "read_stale", replace_instance(instance._replace(known=1))
        updated = self._read_row(instance, row)
        if updated != instance:
            # Its claim got no response, or was one of an earlier process: it answers whoever asks
            # that it isn't the owner, and knows the row.
            has_given_up = row.owner == index and instance.known != row.token
            ended = row.has_ended or has_given_up
            yield "read", replace_instance(updated, row=row._replace(has_ended=ended))
        is_unanswered = claim is not None and claim.is_stored and row.owner == index
        if is_unanswered and not row.has_ended and not self.enforces("end known to its process"):
            yield "seem_ended", state._replace(row=row._replace(has_ended=True))
        if instance.token == row.token and row.former >= 0 and self._has_heard(state, index):
            yield "hear_peer", self._shorten_authority(state, index)
        if instance.token == row.token and self._has_heard_predecessor(state):
            yield "hear_predecessor", self._shorten_inherited(state, index)
        if instance.token == row.token and row.authority and self._have_all_heard(state, index):
            leases = tuple(min(lease, LEASE_TICKS) for lease in instance.leases)
            yield (
                "hear_all",
                replace_instance(
                    instance._replace(leases=leases),
                    row=row._replace(authority=0, inherited=0, former=-1),
                ),
            )
        # Any other restart only loses what the instance has read.
        has_claimed = claim is not None or index in (row.owner, row.predecessor)
        if has_claimed and index in self.bounds.restarting and not state.has_restarted:
            yield "restart", self._restart(state, index)
        if claim is None:
            can_claim = not instance.token and instance.known == row.token < self._last_token
            if can_claim and index in self.bounds.claimants[row.token - 1]:
                authority, inherited = self._compute_authority(state, index)
                claim = Claim(row.token + 1, authority, 0, inherited=inherited)
                yield "send_claim", replace_instance(instance._replace(claim=claim))
            return
        if not claim.is_stored:
            is_long = claim.authority > max(PROOF_TICKS, claim.inherited)
            former = row.owner if is_long and claim.token == row.token + 1 else -1
            stored = Row(
                claim.token,
                index,
                claim.authority,
                is_known=False,
                has_ended=False,
                inherited=claim.inherited,
                former=former,
                predecessor=row.owner if claim.token == row.token + 1 else row.predecessor,
                stated=row.authority if claim.token == row.token + 1 else UNAWARE_TICKS,
            )
            pending = None if claim.is_lost else claim._replace(is_stored=True)
            yield "store_claim", replace_instance(instance._replace(claim=pending), row=stored)
            return
        yield "receive_response", self._begin_ownership(state, index, claim)

    def _read_row(self, instance: Instance, row: Row) -> Instance:
        """Return an instance that has read the owner row, and gives up if it has been replaced."""
        is_counting = row.is_known or not self.enforces("claim known to its owner")
        # An owner that may not know of its claim could only confirm a predecessor that still runs.
        has_predecessor = row.predecessor >= 0 and self.enforces("predecessor has ended")
        is_stated = is_counting or row.authority == 0 or not has_predecessor
        inherited = row.authority if is_stated else UNAWARE_TICKS
        if instance.known == row.token:
            return instance._replace(inherited=min(instance.inherited, inherited))
        claim = instance.claim
        if claim is not None and claim.is_stored:
            claim = None  # without a response, the instance has to claim again
        return Instance(known=row.token, inherited=inherited, claim=claim)

    def _restart(self, state: OwnershipState, index: int) -> OwnershipState:
        claim = state.instances[index].claim
        claim = claim._replace(is_lost=True) if claim and not claim.is_stored else None
        instances = replace_item(state.instances, index, Instance(claim=claim))
        row = state.row._replace(has_ended=True) if state.row.owner == index else state.row
        if row.predecessor == index:
            row = row._replace(predecessor=-1)
        return state._replace(instances=instances, row=row, has_restarted=True)

    def _compute_authority(self, state: OwnershipState, index: int) -> tuple[int, int]:
        """Return the authority of a claim, and the part for owners before the predecessor."""
        row = state.row
        if row.has_ended:
            ticks = 0
        elif index in self._list_peers(row.token, row.owner):
            ticks = PROOF_TICKS
        else:
            ticks = UNAWARE_TICKS if self.enforces("unaware predecessor") else PROOF_TICKS
        inherited = state.instances[index].inherited if self.enforces("inherited authority") else 0
        if row.has_ended and not row.is_known and row.authority < UNAWARE_TICKS:
            # It doesn't confirm its predecessor any longer, which asks it.
            inherited = max(row.authority, PROOF_TICKS)
        return max(ticks, inherited), inherited

    def _has_heard(self, state: OwnershipState, index: int) -> bool:
        """Return whether the predecessor or a peer that it lists knows the row of this owner."""
        row = state.row
        peers = [p for p in self._list_peers(row.token - 1, row.former) if p != index]
        peers.append(row.former)
        if not self.enforces("peer knows the row"):
            return bool(peers)
        return any(state.instances[peer].known == row.token for peer in peers)

    def _have_all_heard(self, state: OwnershipState, index: int) -> bool:
        """Return whether all other instances know the row of this owner, so that none acts."""
        token = state.row.token
        others = [i for number, i in enumerate(state.instances) if number != index]
        known = [other.known == token for other in others]
        return all(known) if self.enforces("all know the row") else any(known)

    def _has_heard_predecessor(self, state: OwnershipState) -> bool:
        """Return whether the predecessor doesn't confirm any earlier owner, and that matters."""
        row = state.row
        if row.predecessor < 0 or row.inherited <= max(row.stated, PROOF_TICKS):
            return False
        knows_row = state.instances[row.predecessor].known == row.token
        return knows_row or not self.enforces("predecessor knows the row")

    def _shorten_inherited(self, state: OwnershipState, index: int) -> OwnershipState:
        """Let what the predecessor's row states count, as if it had known of its claim."""
        row, owner = state.row, state.instances[index]
        inherited = max(row.stated, PROOF_TICKS)
        authority = row.authority if row.former >= 0 else inherited
        leases = tuple(min(lease, authority + LEASE_TICKS) for lease in owner.leases)
        return state._replace(
            row=row._replace(inherited=inherited, authority=authority),
            instances=replace_item(state.instances, index, owner._replace(leases=leases)),
        )

    def _shorten_authority(self, state: OwnershipState, index: int) -> OwnershipState:
        """Let a predecessor that gets no proof by its peers any longer count like a listed one."""
        row, owner = state.row, state.instances[index]
        authority = max(PROOF_TICKS, row.inherited)
        if not self.enforces("proofs before the answer"):
            authority = row.inherited
        leases = tuple(min(lease, authority + LEASE_TICKS) for lease in owner.leases)
        instances = replace_item(state.instances, index, owner._replace(leases=leases))
        return state._replace(
            row=row._replace(authority=min(row.authority, authority), former=-1),
            instances=instances,
        )

    def _begin_ownership(self, state: OwnershipState, index: int, claim: Claim) -> OwnershipState:
        is_proven = state.row.token == claim.token
        wait = 0
        if self.enforces("authority before the lease"):
            wait += claim.authority
        if self.enforces("lease after the authority"):
            wait += LEASE_TICKS
        if not self.enforces("wait from the response"):
            wait = max(wait - claim.age, 0)
        owner = Instance(
            known=claim.token,
            token=claim.token,
            store_age=0 if is_proven else claim.age,
            peer_age=0 if is_proven else PROOF_TICKS + 1,
            leases=(wait,) * len(state.workers),
        )
        changed = state._replace(instances=replace_item(state.instances, index, owner))
        if self._is_proven_by_peers(changed, index):
            instances = replace_item(changed.instances, index, owner._replace(peer_age=0))
            changed = changed._replace(instances=instances)
        row = state.row._replace(is_known=True) if is_proven else state.row
        return changed._replace(row=row)

    # Commands to workers.

    def _list_commands(
        self, state: OwnershipState, index: int, worker_index: int
    ) -> Iterator[Step]:
        owner, worker = state.instances[index], state.workers[worker_index]

        def replace_worker(changed: Worker, lease: int) -> OwnershipState:
            leases = replace_item(owner.leases, worker_index, lease)
            return state._replace(
                instances=replace_item(state.instances, index, owner._replace(leases=leases)),
                workers=replace_item(state.workers, worker_index, changed),
            )

        if worker.token > owner.token and self.enforces("token at the worker"):
            return
        token = max(worker.token, owner.token)
        is_running = worker.lease >= 0
        yield (
            "hold",
            replace_worker(worker._replace(token=token), LEASE_TICKS if is_running else FREE),
        )
        if not self._may_act(owner) or worker.token < owner.token:
            return
        granted = Worker(token, max(worker.lease, LEASE_TICKS))
        if is_running:
            yield "extend", replace_worker(granted, LEASE_TICKS)
        elif state.submitted and self._may_start(state, index, worker_index):
            yield "start", replace_worker(granted, LEASE_TICKS)

    def _may_start(self, state: OwnershipState, index: int, worker_index: int) -> bool:
        """Return whether an owner knows that the task runs at no other worker."""
        owner = state.instances[index]
        others = [w for w in range(len(state.workers)) if w != worker_index]
        return all(owner.leases[w] == FREE or self._is_newer_task(state, owner, w) for w in others)

    def _is_newer_task(self, state: OwnershipState, owner: Instance, worker_index: int) -> bool:
        if self.enforces("newer tasks wait") or state.row.token != owner.token:
            return False
        is_reached = state.workers[worker_index].token >= owner.token
        waited = state.row.authority + LEASE_TICKS - owner.leases[worker_index]
        return state.submitted >= owner.token and not is_reached and waited >= INACTIVE_TICKS

    # Equivalent states.

    def _simplify(self, state: OwnershipState) -> OwnershipState:
        """Return a state with the same future and without values that no later step uses."""
        row = state.row
        is_final = row.token >= self._last_token
        instances = [self._simplify_instance(state, i, is_final) for i in range(INSTANCES)]
        has_former = any(0 < i.token < row.token or i.claim is not None for i in instances)
        if is_final and not has_former:
            instances = [i._replace(known=row.token) for i in instances]
        workers = state.workers
        # The workers are alike. The traces of mutants keep their numbers.
        if not self.removed_rules and workers[0] > workers[1]:
            workers = workers[::-1]
            instances = [i._replace(leases=i.leases[::-1]) for i in instances]
        return OwnershipState(row, tuple(instances), workers, *state[3:])

    def _simplify_instance(self, state: OwnershipState, index: int, is_final: bool) -> Instance:
        instance, row = state.instances[index], state.row
        claim = instance.claim
        if claim is None and instance.token in (0, row.token) and not instance.inherited:
            return instance
        if claim is not None and (
            (not claim.is_stored and claim.token <= row.token)
            or (claim.token < row.token and claim.age > UNAWARE_TICKS)
        ):
            instance = instance._replace(claim=None)
        if instance.inherited and (is_final or instance.known < row.token or instance.token):
            instance = instance._replace(inherited=0)
        if instance.token in (0, row.token) or state.slow >= 0:
            return instance
        if self.removed_rules & {"proof before a command", "limit without the store"}:
            return instance
        can_act = instance.store_age <= UNAWARE_TICKS
        if can_act and not self._may_be_proven_again(state, index):
            age = _compute_age(instance.store_age, instance.peer_age)
            if age != instance.store_age or age != instance.peer_age:
                instance = instance._replace(store_age=age, peer_age=age)
            can_act = age <= PROOF_TICKS
        return instance if can_act else Instance(instance.known, claim=instance.claim)

    def _may_be_proven_again(self, state: OwnershipState, index: int) -> bool:
        """Return whether all peers may confirm a former owner again."""
        if self._is_proven_by_peers(state, index):
            return True
        # All that a peer reads later shows a later owner.
        if not self.removed_rules & {"unknown proves nothing", "current read after a restart"}:
            return False
        return not state.has_restarted or any(i.known == 0 for i in state.instances)

    # Properties.

    def list_invariants(self) -> dict[str, Predicate]:
        """Return the invariant that the task never runs twice at once."""
        return {"one_run": lambda state: _is_one_run(state["workers"])}

    def list_witnesses(self) -> dict[str, Predicate]:
        """Return states that show that work goes on across takeovers."""

        def owner_without_store_runs_task(state: Any) -> bool:
            former = [i for i in state["instances"] if 0 < i.token < state["row"].token]
            return any(
                self._may_act(i) and w.token == i.token and w.lease == LEASE_TICKS
                for i in former
                for w in state["workers"]
            )

        def last_owner_runs_task(state: Any) -> bool:
            return any(w.token == self._last_token and w.lease >= 0 for w in state["workers"])

        return {
            "former owner runs the task": owner_without_store_runs_task,
            "last owner runs the task": last_owner_runs_task,
        }


def _compute_age(store_age: int, peer_age: int) -> int:
    """Return the age of the last proof, as `OwnershipProof.measure_age` does."""
    return min(store_age, max(peer_age, store_age - STORELESS_TICKS))


def _is_one_run(workers: tuple) -> bool:
    return sum(worker.lease >= 0 for worker in workers) <= 1
