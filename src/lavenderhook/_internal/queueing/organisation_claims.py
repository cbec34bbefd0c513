"""Room under the limit of an organisation that is kept for a step the limit holds."""

from __future__ import annotations

import dataclasses
import math
from collections.abc import Callable, Collection, Mapping

from .effects import Effect, LogDecision
from .held_room import HoldLimit, ends_before, find_turn, is_mostly_unused
from .model import OrganisationName, Resources, StepId
from .organisations import Organisation
from .resource_sums import add, is_within
from .step_progress import StepProgress
from .submissions import SubmissionProgress
from .workers import Run

# A step that its limit has held for this long gets the next room of its organisation: small tasks
# would otherwise take any room at once that a gang or a large task needs together.
CLAIM_AFTER_SECONDS = 2.0
# A claim that has room and finds no workers is given up, so that others may use the room.
MAX_CLAIM_SECONDS = 5.0
REVIEW_INTERVAL_SECONDS = 0.2  # few active runs end within it
# Steps of an organisation that are considered for a claim at a time, those that wait longest.
MAX_CONSIDERED = 8
MIN_LOGGED_SECONDS = 1.0  # shorter claims, and smaller moves of their turns, aren't logged


@dataclasses.dataclass(slots=True)
class Claim:
    """Room that is kept for one step of an organisation.

    Attributes
    ----------
    turn_at : float
        When there is enough room for the step, by the estimated ends of the organisation's runs.
    used_at_turn : Resources
        What the organisation's runs use then.
    logged_turn_at : float
    is_waiting : bool
        Whether the step was there in this pass.
    """

    step: StepId
    needs: Resources
    made_at: float
    has_room_since: float
    turn_at: float
    used_at_turn: Resources
    logged_turn_at: float
    is_waiting: bool = False


@dataclasses.dataclass(slots=True)
class OrganisationPass:
    """What an organisation has in one placement pass.

    Attributes
    ----------
    organisation : Organisation
    used : Resources
        Also what may run without the owner's knowledge.
    held : mapping
        Steps that the limit holds.
    """

    organisation: Organisation
    used: Resources
    held: Mapping[StepId, StepProgress]


class OrganisationClaims:
    """Decides which step of each organisation has a claim, and what may start beside it.

    Handles gangs and large tasks beside a stream of small ones that would take any room at once,
    and beside tasks that last: no room is kept for a step that nothing shows to get enough. Until
    its turn, work goes on that ends before it, or leaves enough at the turn; other work waits, but
    beside mostly unused room not for long.

    Parameters
    ----------
    compute_unit : callable
        Returns what the smallest part of a step that starts by itself uses.
    """

    def __init__(self, compute_unit: Callable[[StepProgress], Resources]) -> None:
        self._compute_unit = compute_unit
        self._claims: dict[OrganisationName, Claim] = {}
        self._held_since: dict[StepId, float] = {}
        self._hold_limit = HoldLimit()
        self._next_review_at = 0.0
        self._effects: list[Effect] = []

    def allows(
        self,
        entry: SubmissionProgress,
        step: StepProgress,
        used: Resources,
        organisation: Organisation,
        now: float,
    ) -> bool:
        """Return whether a step may use room that is within the limit, beside a claim.

        Parameters
        ----------
        entry : SubmissionProgress
        step : StepProgress
        used : Resources
            What the organisation uses without the step.
        organisation : Organisation
        now : float
        """
        claim = self._claims.get(organisation.name)
        if claim is None:
            return True
        if claim.step == step.id:
            claim.is_waiting = True
            return True
        at_turn = add(add(claim.used_at_turn, claim.needs), self._compute_unit(step))
        if is_within(at_turn, organisation.limit) or ends_before(step, claim.turn_at, now):
            return True
        return is_mostly_unused(used, organisation.limit) and self._hold_limit.may_pass(
            entry, step, now
        )

    def record_held(self, step: StepProgress, now: float) -> None:
        """Record that the limit, or a claim, holds a step."""
        self._held_since.setdefault(step.id, now)

    def record_start(self, step: StepProgress, organisation: OrganisationName, now: float) -> None:
        """Record that a task of a step has started; others of its organisation come next."""
        self._held_since.pop(step.id, None)
        claim = self._claims.get(organisation)
        if claim is None:
            return
        if claim.step == step.id:
            self._end(organisation, "started", now)
        elif now + step.spec.expected_seconds > claim.turn_at:
            claim.used_at_turn = add(claim.used_at_turn, step.spec.resources)

    def end_pass(
        self,
        passes: Mapping[OrganisationName, OrganisationPass],
        runs_by_organisation: Callable[[], Mapping[OrganisationName, Collection[Run]]],
        now: float,
    ) -> list[Effect]:
        """Review the claims, and let the step that waits longest claim; return the log lines.

        Parameters
        ----------
        passes : mapping
            Those of the organisations that have claims or held steps.
        runs_by_organisation : callable
            Called only if a claim is reviewed.
        now : float
        """
        self._hold_limit.end_pass()
        for name in list(self._claims):
            self._check(name, passes[name], now)
        held = {id for entry in passes.values() for id in entry.held}
        held.update(claim.step for claim in self._claims.values())
        self._held_since = {id: at for id, at in self._held_since.items() if id in held}
        if passes and now >= self._next_review_at:
            self._next_review_at = now + REVIEW_INTERVAL_SECONDS
            self._review(passes, runs_by_organisation, now)
        effects, self._effects = self._effects, []
        return effects

    def list_organisations(self) -> Collection[OrganisationName]:
        """Return the organisations with a claim."""
        return self._claims.keys()

    def _check(self, name: OrganisationName, found: OrganisationPass, now: float) -> None:
        """End a claim that isn't used."""
        claim = self._claims[name]
        if claim.step in found.held:
            claim.has_room_since = now
        elif not claim.is_waiting:
            self._end(name, "gone", now)
        elif now - claim.has_room_since >= MAX_CLAIM_SECONDS:
            self._end(name, "unused", now)
        claim.is_waiting = False

    def _review(
        self,
        passes: Mapping[OrganisationName, OrganisationPass],
        runs_by_organisation: Callable[[], Mapping[OrganisationName, Collection[Run]]],
        now: float,
    ) -> None:
        claimants = {
            name: steps
            for name, found in passes.items()
            if (steps := self._list_claimants(name, found, now))
        }
        if not claimants:
            return
        runs = runs_by_organisation()
        for name, steps in claimants.items():
            self._review_organisation(name, steps, passes[name], runs.get(name, ()), now)

    def _list_claimants(
        self, name: OrganisationName, found: OrganisationPass, now: float
    ) -> list[tuple[StepId, Resources]]:
        """Return the step with the claim, or those that have waited long enough for one."""
        claim = self._claims.get(name)
        if claim is not None:
            return [(claim.step, claim.needs)]
        waiting = sorted(
            (id for id in found.held if now - self._get_held_since(id, now) >= CLAIM_AFTER_SECONDS),
            key=self._held_since.__getitem__,
        )
        return [(id, self._compute_unit(found.held[id])) for id in waiting[:MAX_CONSIDERED]]

    def _get_held_since(self, step: StepId, now: float) -> float:
        return self._held_since.get(step, now)  # it may have started later in this pass

    def _review_organisation(
        self,
        name: OrganisationName,
        steps: list[tuple[StepId, Resources]],
        found: OrganisationPass,
        runs: Collection[Run],
        now: float,
    ) -> None:
        """Update the turn of the claim, or let the first step claim whose turn is known."""
        limit = found.organisation.limit
        claim = self._claims.get(name)
        for step, needs in steps:

            def is_enough(ended: Resources, needs: Resources = needs) -> bool:
                return is_within(add(add(found.used, needs), ended, -1), limit)

            turn_at, ended = find_turn(runs, is_enough, now)
            if not is_within(needs, limit) or math.isinf(turn_at):
                continue
            used_at_turn = add(found.used, ended, -1)
            if claim is None:
                self._claims[name] = Claim(step, needs, now, now, turn_at, used_at_turn, turn_at)
                if turn_at - now >= MIN_LOGGED_SECONDS:
                    self._log("organisation-claims", name, self._claims[name], now)
                return
            claim.turn_at, claim.used_at_turn = turn_at, used_at_turn
            if abs(turn_at - claim.logged_turn_at) >= MIN_LOGGED_SECONDS and turn_at > now:
                self._log("organisation-claim-moved", name, claim, now)
                claim.logged_turn_at = turn_at
            return
        if claim is not None:
            self._end(name, "turn-unknown" if is_within(claim.needs, limit) else "limit", now)

    def _end(self, name: OrganisationName, reason: str, now: float) -> None:
        claim = self._claims.pop(name)
        self._held_since.pop(claim.step, None)
        if now - claim.made_at >= MIN_LOGGED_SECONDS:
            self._log("organisation-claim-ended", name, claim, now, reason=reason)

    def _log(
        self, decision: str, name: OrganisationName, claim: Claim, now: float, **fields: object
    ) -> None:
        self._effects.append(
            LogDecision(
                decision=decision,
                fields={
                    "organisation": name,
                    "step": str(claim.step),
                    "processors": claim.needs.processors,
                    "memory": claim.needs.memory_mb,
                    "turn_in": round(claim.turn_at - now, 3),
                    "used_at_turn": claim.used_at_turn.processors,
                    **fields,
                },
            )
        )
