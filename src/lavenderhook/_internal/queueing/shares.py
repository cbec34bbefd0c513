"""Order of waiting steps between organisations, by what each has sent and has running."""

from __future__ import annotations

import bisect
import math
from collections.abc import Collection, Iterable

from .model import OrganisationName, Resources, Submission
from .organisation_use import OrganisationUse
from .organisations import Organisation
from .quotas import Quotas
from .ranking import StepRanking
from .resource_sums import add
from .step_progress import StepProgress
from .submissions import SubmissionProgress
from .workers import Worker

# An excess submission that has waited for so long is ranked like any other.
MAX_EXCESS_WAIT_SECONDS = 30.0
# Submissions are read out of order after a takeover; older ones have been decided on.
MAX_AGE_SECONDS = 60.0
MIN_WEIGHT = 1e-6
SPAN_MARGIN = 0.9  # arrivals at exactly the rate vary, and none of them is excess
LEVELS_PER_DOUBLING = 2  # of the use over the share


class OwedSubmissions:
    """Decides which submissions of one organisation are within its rate.

    Of each span in which an organisation may send `count` submissions, the first `count` are owed.
    Decided by the times of acceptance, so that the next owner decides the same.

    Parameters
    ----------
    rate : float
        In submissions per second.
    """

    def __init__(self, rate: float) -> None:
        self.rate = rate
        self._owed_at: list[float] = []

    def record(self, accepted_at: float) -> bool:
        """Record a submission, by its Unix time in seconds; return whether it is owed."""
        if math.isinf(self.rate):
            return True
        rate = max(self.rate, MIN_WEIGHT)
        count = math.ceil(rate)
        end = bisect.bisect_right(self._owed_at, accepted_at)
        span = SPAN_MARGIN * count / rate
        begin = bisect.bisect_right(self._owed_at, accepted_at - span)
        if end - begin >= count:
            return False
        self._owed_at.insert(end, accepted_at)
        kept_from = self._owed_at[-1] - max(MAX_AGE_SECONDS, span)
        del self._owed_at[: bisect.bisect_left(self._owed_at, kept_from)]
        return True


class ShareRanking(StepRanking):
    """Ranks by another ranking, and between organisations by their weights.

    Handles an organisation that sends many times its usual: what it sends beyond its rate goes
    behind what the others have sent within theirs. Handles more work than the workers hold as well:
    among steps of equal priority and lateness, an organisation that has more running than its
    weighted share comes behind the others, the further above, the later. Within their shares,
    the other ranking decides.

    Parameters
    ----------
    other : StepRanking
        The last element of its ranks is the limit by which equal steps are ordered.
    quotas : Quotas
        Without organisations, the ranks are those of the other ranking.
    """

    def __init__(self, other: StepRanking, quotas: Quotas) -> None:
        self._other = other
        self._quotas = quotas
        self._owed: dict[OrganisationName, OwedSubmissions] = {}
        self._levels: dict[OrganisationName, int] = {}

    def begin_pass(
        self, submissions: Iterable[SubmissionProgress], workers: Collection[Worker]
    ) -> None:
        """Compare what each organisation has running with its share."""
        organisations = self._quotas.organisations
        if organisations is None:
            return
        active = {entry.submission.organisation for entry in submissions} | set(self._quotas.use)
        found = [entry for name in active if (entry := organisations.get(name)) is not None]
        capacity = Resources()
        for worker in workers:
            if worker.is_listed:
                capacity = add(capacity, worker.listing.capacity)
        self._levels = _compute_levels(found, self._quotas.use, capacity)

    def rank(self, entry: SubmissionProgress, step: StepProgress, now: float) -> tuple[float, ...]:
        """Return the other rank, behind whether it is excess, and with the level before its end."""
        rank = self._other.rank(entry, step, now)
        if self._quotas.organisations is None:
            return rank
        if entry.is_owed is None:
            entry.is_owed = self._is_owed(entry.submission)
        is_excess = self.is_excess(entry, step, now)
        level = self._levels.get(entry.submission.organisation, 0)
        return (is_excess, *rank[:-1], level, rank[-1])

    def is_excess(self, entry: SubmissionProgress, step: StepProgress, now: float) -> bool:
        """Return whether a step goes behind what the other organisations have sent in time."""
        if self._quotas.organisations is None:
            return False
        return entry.is_owed is False and now - step.due_at < MAX_EXCESS_WAIT_SECONDS

    def _is_owed(self, submission: Submission) -> bool:
        organisations = self._quotas.organisations
        organisation = organisations.get(submission.organisation) if organisations else None
        if organisation is None:
            return True
        owed = self._owed.setdefault(organisation.name, OwedSubmissions(organisation.weight))
        owed.rate = organisation.weight
        return owed.record(submission.accepted_at)


def _compute_levels(
    organisations: Collection[Organisation], use: OrganisationUse, capacity: Resources
) -> dict[OrganisationName, int]:
    """Return how far each organisation is above its share, in steps of its logarithm.

    Its share is that of what is in use: a part of the workers is always about to be used again.
    """
    weights = {entry.name: max(entry.weight, MIN_WEIGHT) for entry in organisations}
    used = {name: _compute_dominant_share(use.get(name), capacity) for name in weights}
    total_weight, total_used = sum(weights.values()), sum(used.values())
    levels: dict[OrganisationName, int] = {}
    for name, weight in weights.items():
        ratio = used[name] * total_weight / (total_used * weight) if total_used else 0.0
        levels[name] = 0 if ratio <= 1 else math.ceil(LEVELS_PER_DOUBLING * math.log2(ratio))
    return levels


def _compute_dominant_share(used: Resources, capacity: Resources) -> float:
    """Return the largest share that is used of any resource."""
    return max(
        used.processors / max(1, capacity.processors),
        used.memory_mb / max(1, capacity.memory_mb),
        used.accelerators / max(1, capacity.accelerators),
    )
