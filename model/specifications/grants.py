"""Grants of one upstream's slots (docs/design.md 3.3).

The log records by version the limits issued to each holder. A holder may still use the largest
limit issued since the last one that it acknowledged. Messages are never removed from the network,
so any issued limit may arrive late, repeatedly or never, also at the next incarnation on the same
host. A pause of a holder or an owner is modelled as steps that it does not take. The shard's owner
is not modelled separately: its state is the log, whose version check the shard specification
covers. A holder's process is gone once the platform lists it as terminated; here this happens as
soon as it ends. Rule names and step labels call a holder's acknowledgement of a limit a promise.
"""

from collections.abc import Iterator
from dataclasses import dataclass
from typing import Any, NamedTuple

from ..engine import Mutant, Predicate, RuleOrigin, Specification, Step, replace_item

NOT_GONE = -1
QUARANTINE_TICKS = 2  # longest time that a request of a gone holder keeps running


class Holder(NamedTuple):
    """One host: the log records of its grants, and the state of its process."""

    issued: tuple = (0,)  # limits by version; version 0 is the empty grant
    acknowledged: int = 0  # last version whose acknowledgement the log records
    promised: int = 0  # last version that the process acknowledged
    version: int = 0  # last version that the process applied
    limit: int = 0  # requests that the process may have outstanding
    counted: int = 0  # requests that the process counts as outstanding
    running: int = 0  # requests of the process that run on the upstream
    orphans: int = 0  # requests of the former incarnation that run on the upstream
    # Ticks since the platform listed the former incarnation as terminated, until its grant is
    # released.
    gone_for: int = NOT_GONE
    former: int = 0  # slots reserved for the former incarnation
    old_limits: frozenset = frozenset()  # limits issued to the former incarnation
    early: int = 0  # limit of a raise sent before its commit


class GrantsState(NamedTuple):
    """State of one upstream and the holders of its slots."""

    holders: tuple
    crashes: int


@dataclass(frozen=True)
class GrantsBounds:
    """Bounds of the search; `versions` limits the grant changes per holder incarnation."""

    holders: int
    slots: int
    versions: int
    crashes: int


class Grants(Specification):
    """Distribution of an upstream's slots among holders."""

    name = "grants"
    covers = "raise, lower after the holder's promise, gone + quarantine, stale messages"
    mutants = (
        Mutant(
            "promise before lowering",
            "within_slots",
            "slots are given away once the lower limit is sent",
            "two holders",
        ),
        Mutant(
            "promise after draining",
            "within_slots",
            "a holder promises the lower limit while more requests are outstanding",
            "two holders",
        ),
        Mutant(
            "quarantine",
            "within_slots",
            "the slots of a gone holder are given away while its requests still run",
            "two holders",
        ),
        Mutant(
            "gone, not suspected",
            "within_slots",
            "the slots of a paused holder are given away",
            "two holders",
        ),
        Mutant(
            "commit before raise",
            "within_slots",
            "a raise is sent before it is committed",
            "two holders",
        ),
        Mutant(
            "limit at dispatch",
            "within_slots",
            "a holder dispatches above its limit",
            "two holders",
        ),
        Mutant(
            "slot until response",
            "within_slots",
            "a holder counts a slot as free at the request's deadline",
            "two holders",
        ),
        Mutant(
            "sum within slots",
            "reserved_within_slots",
            "the owner raises a grant without a free slot",
            "two holders",
        ),
        Mutant(
            "version in limit",
            "within_slots",
            "a holder applies a limit that is older than the one in force",
            "two holders",
            RuleOrigin.UNSTATED,
        ),
        Mutant(
            "version in promise",
            "within_slots",
            "the owner takes the promise of an older limit for that of the last one",
            "two holders",
            RuleOrigin.UNSTATED,
        ),
        Mutant(
            "incarnation in limit",
            "within_slots",
            "a restarted holder applies a limit issued to its former incarnation",
            "two holders",
            RuleOrigin.UNSTATED,
        ),
    )

    @classmethod
    def list_configurations(cls, deep: bool) -> dict[str, Any]:
        """Return the bounds by label."""
        if deep:
            return {
                "two holders": GrantsBounds(2, 2, 4, 1),
                "three holders": GrantsBounds(3, 1, 2, 1),
            }
        return {"two holders": GrantsBounds(2, 2, 3, 1), "one slot": GrantsBounds(2, 1, 3, 1)}

    def build_initial(self) -> GrantsState:
        """Return the state with no grant."""
        return GrantsState(holders=(Holder(),) * self.bounds.holders, crashes=0)

    def list_successors(self, state: GrantsState) -> list[Step]:
        """Return the steps of the owner, the holders, the network and the upstream."""
        steps: list[Step] = []
        reserved_slots = sum(self._count_reserved(h) for h in state.holders)
        free_slots = self.bounds.slots - reserved_slots
        for index, holder in enumerate(state.holders):
            steps_of_holder = [
                *self._list_owner_steps(holder, free_slots),
                *self._list_limit_steps(holder),
                *self._list_request_steps(holder),
            ]
            for label, changed in steps_of_holder:
                holders = replace_item(state.holders, index, changed)
                steps.append((f"{label}(holder={index})", state._replace(holders=holders)))
            if state.crashes < self.bounds.crashes:
                holders = replace_item(state.holders, index, self._restart(holder))
                crashed = GrantsState(holders=holders, crashes=state.crashes + 1)
                steps.append((f"restart(holder={index})", crashed))
        if any(h.gone_for not in (NOT_GONE, QUARANTINE_TICKS) for h in state.holders):
            holders = tuple(self._advance_quarantine(h) for h in state.holders)
            steps.append(("tick()", state._replace(holders=holders)))
        return steps

    def _count_reserved(self, holder: Holder) -> int:
        issued = max(holder.issued[holder.acknowledged :])
        if not self.enforces("promise before lowering"):
            issued = holder.issued[-1]
        return issued + holder.former

    def _list_owner_steps(self, holder: Holder, free_slots: int) -> Iterator[tuple[str, Holder]]:
        limit = holder.issued[-1]
        if len(holder.issued) <= self.bounds.versions:
            # A raise up to a limit that is still reserved for the holder needs no free slot.
            may_raise = free_slots > 0 or limit < max(holder.issued[holder.acknowledged :])
            if may_raise or not self.enforces("sum within slots"):
                yield "raise", holder._replace(issued=(*holder.issued, limit + 1))
            if limit > 0:
                yield "lower", holder._replace(issued=(*holder.issued, limit - 1))
            if not self.enforces("gone, not suspected") and limit > 0:
                issued = (*holder.issued, 0)
                acknowledged = len(issued) - 1
                yield "drop_suspect", holder._replace(issued=issued, acknowledged=acknowledged)
        if not self.enforces("commit before raise") and free_slots > 0 and not holder.early:
            yield "send_uncommitted_raise", holder._replace(early=limit + 1)
        if holder.promised > holder.acknowledged:
            version = holder.promised
            if not self.enforces("version in promise"):
                version = len(holder.issued) - 1
            yield "record_promise", holder._replace(acknowledged=version)
        if holder.gone_for != NOT_GONE:
            is_quarantine_over = holder.gone_for == QUARANTINE_TICKS
            if is_quarantine_over or not self.enforces("quarantine"):
                released = holder._replace(former=0, gone_for=NOT_GONE)
                yield "free_gone", released

    def _list_limit_steps(self, holder: Holder) -> Iterator[tuple[str, Holder]]:
        for version, limit in enumerate(holder.issued):
            is_newer = version > holder.version
            if not is_newer and self.enforces("version in limit"):
                continue
            if version == 0 or version == holder.version:
                continue
            is_drained = holder.counted <= limit
            # A holder stops dispatching at once, and acknowledges after it has drained the excess.
            applied = holder._replace(version=version, limit=limit)
            yield f"apply_limit:{limit}", applied
            if is_drained or not self.enforces("promise after draining"):
                promised = max(holder.promised, version)
                yield f"apply_and_promise:{limit}", applied._replace(promised=promised)
        if holder.promised < holder.version and holder.counted <= holder.limit:
            yield "promise", holder._replace(promised=holder.version)
        if holder.early and holder.limit != holder.early:
            yield f"apply_limit:{holder.early}", holder._replace(limit=holder.early)
        if not self.enforces("incarnation in limit"):
            for limit in sorted(holder.old_limits):
                if limit != holder.limit:
                    yield f"apply_old_limit:{limit}", holder._replace(limit=limit)

    def _list_request_steps(self, holder: Holder) -> Iterator[tuple[str, Holder]]:
        may_dispatch = holder.counted < holder.limit
        if not self.enforces("limit at dispatch"):
            may_dispatch = holder.running <= self.bounds.slots
        if may_dispatch and holder.running <= self.bounds.slots:
            counted, running = holder.counted + 1, holder.running + 1
            yield "dispatch", holder._replace(counted=counted, running=running)
        if holder.running:
            counted = max(holder.counted - 1, 0)
            yield "respond", holder._replace(counted=counted, running=holder.running - 1)
        if holder.counted and not self.enforces("slot until response"):
            yield "pass_deadline", holder._replace(counted=holder.counted - 1)
        if holder.orphans:
            yield "respond_orphan", holder._replace(orphans=holder.orphans - 1)

    def _restart(self, holder: Holder) -> Holder:
        return Holder(
            orphans=holder.orphans + holder.running,
            gone_for=0,
            former=self._count_reserved(holder),
            old_limits=frozenset() if self._binds_incarnation() else frozenset(holder.issued[1:]),
        )

    def _binds_incarnation(self) -> bool:
        return self.enforces("incarnation in limit")

    def _advance_quarantine(self, holder: Holder) -> Holder:
        if holder.gone_for in (NOT_GONE, QUARANTINE_TICKS):
            return holder
        gone_for = holder.gone_for + 1
        orphans = 0 if gone_for == QUARANTINE_TICKS else holder.orphans
        return holder._replace(gone_for=gone_for, orphans=orphans)

    def list_invariants(self) -> dict[str, Predicate]:
        """Return the limits on running requests and on reservations."""
        slots = self.bounds.slots

        def within_slots(state: Any) -> bool:
            return sum(h.running + h.orphans for h in state["holders"]) <= slots

        def reserved_within_slots(state: Any) -> bool:
            return sum(self._count_reserved(h) for h in state["holders"]) <= slots

        return {"within_slots": within_slots, "reserved_within_slots": reserved_within_slots}

    def list_witnesses(self) -> dict[str, Predicate]:
        """Return states in which slots freed by a lower limit or after a crash are all in use."""
        slots = self.bounds.slots

        def revoked_slots_are_used_by_another(state: Any) -> bool:
            first, second = state["holders"][:2]
            was_lowered_to_zero = len(first.issued) > 2 and first.issued[-1] == 0
            return was_lowered_to_zero and second.running == slots

        def slots_return_after_crash(state: Any) -> bool:
            is_released = [h.gone_for == NOT_GONE for h in state["holders"]]
            is_fully_used = any(h.running == slots for h in state["holders"])
            return state["crashes"] == 1 and all(is_released) and is_fully_used

        return {
            "all slots move": revoked_slots_are_used_by_another,
            "slots return after a crash": slots_return_after_crash,
        }
