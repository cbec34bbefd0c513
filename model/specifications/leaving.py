"""Leaving upstreams: no dispatch later than a bound after the signal (docs/design.md 3.5).

One tick is 100 ms. The upstream is leaving from tick 0, and the platform's list shows this by tick
`MAX_LIST_LAG_TICKS`. Every instance polls the list each `POLL_PERIOD_TICKS` and sends a heartbeat
each `HEARTBEAT_PERIOD_TICKS`, at any phase. One instance may lose access to the list and receive
the notice only by heartbeats, of which one may be lost; or it may be paused beyond the bound,
`MAX_NOTICE_TICKS`.
"""

from collections.abc import Iterator
from dataclasses import dataclass
from typing import Any, NamedTuple

from ..engine import Mutant, Predicate, RuleOrigin, Specification, Step, replace_item

MAX_LIST_LAG_TICKS = 20  # stated by the platform
POLL_PERIOD_TICKS = 10
HEARTBEAT_PERIOD_TICKS = 2
HEARTBEAT_SLACK_TICKS = 5  # 0.5 s, so that the bound allows for one lost heartbeat
MAX_NOTICE_TICKS = MAX_LIST_LAG_TICKS + POLL_PERIOD_TICKS + HEARTBEAT_SLACK_TICKS
MAX_TRANSIT_TICKS = 1  # longest time that a heartbeat is in transit


class Instance(NamedTuple):
    """One instance."""

    knows: bool = False  # has received the notice that the upstream is leaving
    poll_in: int = 0  # ticks until the next poll
    beat_in: int = 0  # ticks until the next heartbeat
    paused: bool = False
    lost: int = 0  # heartbeats from it that carried the notice and were lost; never reset


class LeavingState(NamedTuple):
    """State of the clock, the list and the instances."""

    now: int
    shown: bool  # the platform's list shows the upstream as leaving
    phased: bool  # the phases of the timers are chosen
    members: tuple
    cut: bool  # instance 0 cannot reach the list
    carried: tuple  # per sender: ticks for which a heartbeat with the notice is in transit, or -1
    pauses: int
    late_dispatch: bool


@dataclass(frozen=True)
class LeavingBounds:
    """Bounds of the search.

    `phase_step` is the step between the poll phases tried, and `lag_step` that between the ticks at
    which the list may start to show the upstream as leaving.
    """

    cuts: bool
    losses: int
    pauses: int
    phase_step: int
    lag_step: int


class Leaving(Specification):
    """Propagation of the notice that an upstream is leaving."""

    name = "leaving"
    covers = "list lag, poll, heartbeats with loss, no access to the list, pause"
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
            RuleOrigin.UNSTATED,
        ),
    )

    @classmethod
    def list_configurations(cls, deep: bool) -> dict[str, Any]:
        """Return the bounds by label."""
        phase_step = 1 if deep else 3
        return {
            "cut and loss": LeavingBounds(True, 1, 0, phase_step, 2 if deep else 10),
            "pause": LeavingBounds(False, 0, 1, phase_step, 2 if deep else 10),
        }

    def build_initial(self) -> LeavingState:
        """Return the state in which the upstream starts to leave and no phases are chosen yet."""
        return LeavingState(
            now=0,
            shown=False,
            phased=False,
            members=(Instance(), Instance()),
            cut=False,
            carried=(-1, -1),
            pauses=0,
            late_dispatch=False,
        )

    def list_successors(self, state: LeavingState) -> list[Step]:
        """Return the choices of the timers' phases, then steps of the clock, list and instances."""
        if not state.phased:
            return list(self._list_phases(state))
        # A violating state needs no successors.
        if state.late_dispatch:
            return []
        steps: list[Step] = []
        if not state.shown and state.now % self.bounds.lag_step == 0:
            steps.append(("show_on_list()", state._replace(shown=True)))
        if self.bounds.cuts and not state.cut and not state.shown:
            steps.append(("cut_from_list(instance=0)", state._replace(cut=True)))
        for index, instance in enumerate(state.members):
            for label, next_state in self._list_instance_steps(state, index, instance):
                steps.append((f"{label}(instance={index})", next_state))
        if self._may_tick(state):
            steps.append(("tick()", self._tick(state)))
        return steps

    def _list_phases(self, state: LeavingState) -> Iterator[Step]:
        period = self._get_poll_period_ticks()
        for first in range(0, period, self.bounds.phase_step):
            for second in range(0, period, self.bounds.phase_step):
                for heartbeat in range(HEARTBEAT_PERIOD_TICKS):
                    members = (Instance(poll_in=first), Instance(poll_in=second, beat_in=heartbeat))
                    label = f"start(polls={first}/{second}, heartbeat={heartbeat})"
                    yield label, state._replace(phased=True, members=members)

    def _get_poll_period_ticks(self) -> int:
        return POLL_PERIOD_TICKS if self.enforces("poll each second") else 2 * POLL_PERIOD_TICKS

    def _may_tick(self, state: LeavingState) -> bool:
        if state.now > MAX_NOTICE_TICKS + POLL_PERIOD_TICKS:
            return False
        if state.now >= MAX_LIST_LAG_TICKS and not state.shown:
            return False
        is_timer_due = any(
            not m.paused and (m.poll_in == 0 or m.beat_in == 0) for m in state.members
        )
        is_heartbeat_due = any(
            ticks >= MAX_TRANSIT_TICKS and not state.members[1 - sender].paused
            for sender, ticks in enumerate(state.carried)
        )
        return not is_timer_due and not is_heartbeat_due

    def _tick(self, state: LeavingState) -> LeavingState:
        members = tuple(
            m._replace(poll_in=max(m.poll_in - 1, 0), beat_in=max(m.beat_in - 1, 0))
            for m in state.members
        )
        carried = tuple(
            ticks + 1 if 0 <= ticks < MAX_TRANSIT_TICKS else ticks for ticks in state.carried
        )
        return state._replace(now=state.now + 1, members=members, carried=carried)

    def _list_instance_steps(
        self, state: LeavingState, index: int, instance: Instance
    ) -> Iterator[Step]:
        def replace_instance(changed: Instance, **fields: Any) -> LeavingState:
            return state._replace(members=replace_item(state.members, index, changed), **fields)

        if instance.paused:
            # After a pause the timers are due; the instance polls before any dispatch.
            if state.now > MAX_NOTICE_TICKS:
                yield (
                    "resume",
                    replace_instance(instance._replace(paused=False, poll_in=0, beat_in=0)),
                )
            return
        if state.pauses < self.bounds.pauses and not instance.knows and not state.now % 5:
            yield "pause", replace_instance(instance._replace(paused=True), pauses=state.pauses + 1)
        if instance.poll_in == 0:
            sees_leaving = state.shown and not (state.cut and index == 0)
            polled = instance._replace(
                poll_in=self._get_poll_period_ticks(), knows=instance.knows or sees_leaving
            )
            yield "poll", replace_instance(polled)
        if instance.beat_in == 0:
            yield from self._list_heartbeat_steps(state, index, instance, replace_instance)
        sender = 1 - index
        if state.carried[sender] >= 0 and not instance.knows:
            carried = replace_item(state.carried, sender, -1)
            yield "hear", replace_instance(instance._replace(knows=True), carried=carried)
        elif state.carried[sender] >= 0:
            yield (
                "hear",
                replace_instance(instance, carried=replace_item(state.carried, sender, -1)),
            )
        if state.now > MAX_NOTICE_TICKS and self._may_dispatch(instance):
            yield "dispatch", replace_instance(instance, late_dispatch=True)

    def _list_heartbeat_steps(
        self, state: LeavingState, index: int, instance: Instance, replace_instance: Any
    ) -> Iterator[Step]:
        carries_notice = instance.knows and self.enforces("tell peers")
        if instance.lost and not self.enforces("repeat in heartbeats"):
            carries_notice = False
        updated = instance._replace(beat_in=HEARTBEAT_PERIOD_TICKS)
        if not carries_notice or state.members[1 - index].knows:
            yield "heartbeat", replace_instance(updated)
            return
        # A second heartbeat in transit would only repeat the first.
        carried = state.carried if state.carried[index] >= 0 else None
        carried = carried or replace_item(state.carried, index, 0)
        yield "heartbeat", replace_instance(updated, carried=carried)
        if instance.lost < self.bounds.losses:
            yield "heartbeat_lost", replace_instance(updated._replace(lost=instance.lost + 1))

    def _may_dispatch(self, instance: Instance) -> bool:
        if instance.knows and self.enforces("known means no dispatch"):
            return False
        # A poll that is due runs first; a poll can be overdue only after a pause.
        return instance.poll_in > 0 or not self.enforces("poll after a pause")

    def list_invariants(self) -> dict[str, Predicate]:
        """Return the invariant G6: no dispatch to a leaving upstream after the bound."""
        return {"no_late_dispatch": lambda state: not state["late_dispatch"]}

    def list_witnesses(self) -> dict[str, Predicate]:
        """Return states that show that the notice arrives on the slowest path."""
        if self.bounds.cuts:
            return {
                "instance without the list gets the notice late": lambda state: (
                    state["cut"]
                    and state["members"][0].knows
                    and state["now"] >= MAX_NOTICE_TICKS - HEARTBEAT_SLACK_TICKS
                )
            }
        return {
            "paused instance resumes": lambda state: (
                state["now"] > MAX_NOTICE_TICKS
                and state["pauses"] == 1
                and all(m.knows for m in state["members"])
            )
        }
