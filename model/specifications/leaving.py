"""Leaving upstreams: no new work within a bound of the signal (docs/design.md 3.5).

One tick is 100 ms. The upstream leaves at tick 0 and the platform's list shows it at latest at
`LIST_LAG`. Every instance polls the list each `POLL_PERIOD` and sends a heartbeat each
`HEARTBEAT_PERIOD`, at any phase. One instance may be cut from the list and learn only by
heartbeats, of which one may be lost; or it may be paused over the bound.
"""

from collections.abc import Iterator
from dataclasses import dataclass
from typing import Any, NamedTuple

from ..engine import Mutant, MutantKind, Predicate, Specification, Step, replace_item

LIST_LAG = 20  # ticks; stated by the platform
POLL_PERIOD = 10  # ticks
HEARTBEAT_PERIOD = 2  # ticks
HEARTBEAT_SLACK = 5  # ticks; 0.5 s, so one lost heartbeat is made good
BOUND = LIST_LAG + POLL_PERIOD + HEARTBEAT_SLACK
TRANSIT = 1  # ticks; longest time that a heartbeat is in the network


class Member(NamedTuple):
    """One instance."""

    knows: bool = False
    poll_in: int = 0  # ticks until the next poll
    beat_in: int = 0  # ticks until the next heartbeat
    paused: bool = False
    lost: int = 0  # heartbeats from it lost in a row


class LeavingState(NamedTuple):
    """State of the clock, the list and the instances."""

    now: int
    shown: bool  # on the platform's list
    phased: bool  # the phases of the periods are chosen
    members: tuple
    cut: bool  # instance 0 cannot reach the list
    carried: (
        tuple  # per instance: ticks for which a heartbeat about the upstream is under way, or -1
    )
    pauses: int
    late_dispatch: bool


@dataclass(frozen=True)
class LeavingBounds:
    """Bounds of the search; `phase_step` is the distance of the phases tried."""

    cuts: bool
    losses: int
    pauses: int
    phase_step: int
    lag_step: int


class Leaving(Specification):
    """Spread of the news that an upstream is leaving."""

    name = "leaving"
    covers = "list lag, poll, heartbeats with loss, cut from the list, pause"
    mutants = (
        Mutant(
            "poll each second",
            "no_late_dispatch",
            "the list is polled half as often",
            "cut and loss",
        ),
        Mutant(
            "tell peers",
            "no_late_dispatch",
            "heartbeats do not carry leaving upstreams",
            "cut and loss",
        ),
        Mutant(
            "repeat in heartbeats",
            "no_late_dispatch",
            "the news is in one heartbeat only",
            "cut and loss",
        ),
        Mutant(
            "known means no dispatch",
            "no_late_dispatch",
            "an instance dispatches to an upstream that it knows to be leaving",
            "cut and loss",
        ),
        Mutant(
            "poll after a pause",
            "no_late_dispatch",
            "an instance dispatches after a pause before it has polled the list again",
            "pause",
            MutantKind.LITERAL,
        ),
    )

    @classmethod
    def list_configurations(cls, deep: bool) -> dict[str, Any]:
        """Return the bounds by label."""
        step = 1 if deep else 3
        return {
            "cut and loss": LeavingBounds(True, 1, 0, step, 2 if deep else 10),
            "pause": LeavingBounds(False, 0, 1, step, 2 if deep else 10),
        }

    def build_initial(self) -> LeavingState:
        """Return the state at the upstream's leaving, with the phases still open."""
        return LeavingState(
            now=0,
            shown=False,
            phased=False,
            members=(Member(), Member()),
            cut=False,
            carried=(-1, -1),
            pauses=0,
            late_dispatch=False,
        )

    def list_successors(self, state: LeavingState) -> list[Step]:
        """Return the steps of the clock, the list and the instances."""
        if not state.phased:
            return list(self._list_phases(state))
        if state.late_dispatch:
            return []
        steps: list[Step] = []
        if not state.shown and state.now % self.bounds.lag_step == 0:
            steps.append(("show_on_list()", state._replace(shown=True)))
        if self.bounds.cuts and not state.cut and not state.shown:
            steps.append(("cut_from_list(instance=0)", state._replace(cut=True)))
        for index, member in enumerate(state.members):
            for label, following in self._list_member_steps(state, index, member):
                steps.append((f"{label}(instance={index})", following))
        if self._may_tick(state):
            steps.append(("tick()", self._tick(state)))
        return steps

    def _list_phases(self, state: LeavingState) -> Iterator[Step]:
        period = self._poll_period()
        for first in range(0, period, self.bounds.phase_step):
            for second in range(0, period, self.bounds.phase_step):
                for beat in range(HEARTBEAT_PERIOD):
                    members = (Member(poll_in=first), Member(poll_in=second, beat_in=beat))
                    label = f"start(polls={first}/{second}, heartbeat={beat})"
                    yield label, state._replace(phased=True, members=members)

    def _poll_period(self) -> int:
        return POLL_PERIOD if self.enforces("poll each second") else 2 * POLL_PERIOD

    def _may_tick(self, state: LeavingState) -> bool:
        if state.now > BOUND + POLL_PERIOD:
            return False
        if state.now >= LIST_LAG and not state.shown:
            return False
        due = any(not m.paused and (m.poll_in == 0 or m.beat_in == 0) for m in state.members)
        arrived = any(
            ticks >= TRANSIT and not state.members[1 - sender].paused
            for sender, ticks in enumerate(state.carried)
        )
        return not due and not arrived

    def _tick(self, state: LeavingState) -> LeavingState:
        members = tuple(
            m._replace(poll_in=max(m.poll_in - 1, 0), beat_in=max(m.beat_in - 1, 0))
            for m in state.members
        )
        carried = tuple(ticks + 1 if 0 <= ticks < TRANSIT else ticks for ticks in state.carried)
        return state._replace(now=state.now + 1, members=members, carried=carried)

    def _list_member_steps(self, state: LeavingState, index: int, member: Member) -> Iterator[Step]:
        def become(changed: Member, **more: Any) -> LeavingState:
            return state._replace(members=replace_item(state.members, index, changed), **more)

        if member.paused:
            # After a pause the timers are due; polling comes before any dispatch.
            if state.now > BOUND:
                yield "resume", become(member._replace(paused=False, poll_in=0, beat_in=0))
            return
        if state.pauses < self.bounds.pauses and not member.knows and not state.now % 5:
            yield "pause", become(member._replace(paused=True), pauses=state.pauses + 1)
        if member.poll_in == 0:
            sees = state.shown and not (state.cut and index == 0)
            polled = member._replace(poll_in=self._poll_period(), knows=member.knows or sees)
            yield "poll", become(polled)
        if member.beat_in == 0:
            yield from self._list_beats(state, index, member, become)
        sender = 1 - index
        if state.carried[sender] >= 0 and not member.knows:
            arrived = replace_item(state.carried, sender, -1)
            yield "hear", become(member._replace(knows=True), carried=arrived)
        elif state.carried[sender] >= 0:
            yield "hear", become(member, carried=replace_item(state.carried, sender, -1))
        if state.now > BOUND and self._may_dispatch(member):
            yield "dispatch", become(member, late_dispatch=True)

    def _list_beats(
        self, state: LeavingState, index: int, member: Member, become: Any
    ) -> Iterator[Step]:
        told = member.knows and self.enforces("tell peers")
        if member.lost and not self.enforces("repeat in heartbeats"):
            told = False
        sent = member._replace(beat_in=HEARTBEAT_PERIOD)
        if not told or state.members[1 - index].knows:
            yield "heartbeat", become(sent)
            return
        # A second message under way would only repeat the first.
        carried = state.carried if state.carried[index] >= 0 else None
        carried = carried or replace_item(state.carried, index, 0)
        yield "heartbeat", become(sent, carried=carried)
        if member.lost < self.bounds.losses:
            yield "heartbeat_lost", become(sent._replace(lost=member.lost + 1))

    def _may_dispatch(self, member: Member) -> bool:
        if member.knows and self.enforces("known means no dispatch"):
            return False
        # A poll that is due runs first; only after a pause can one be overdue.
        return member.poll_in > 0 or not self.enforces("poll after a pause")

    def list_invariants(self) -> dict[str, Predicate]:
        """Return the invariant G6."""
        return {"no_late_dispatch": lambda d: not d["late_dispatch"]}

    def list_witnesses(self) -> dict[str, Predicate]:
        """Return states that show the news spreads by the slowest way."""
        if self.bounds.cuts:
            return {
                "cut instance learns late": lambda d: (
                    d["cut"] and d["members"][0].knows and d["now"] >= BOUND - HEARTBEAT_SLACK
                )
            }
        return {
            "paused instance resumes": lambda d: (
                d["now"] > BOUND and d["pauses"] == 1 and all(m.knows for m in d["members"])
            )
        }
