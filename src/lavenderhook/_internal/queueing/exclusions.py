"""Why a worker gets no task of a step."""

from __future__ import annotations

import enum

from .placement import count_fitting, is_eligible
from .step_progress import StepProgress
from .workers import Worker


class ExclusionReason(enum.Enum):
    """Why a worker gets no task of a step now; the first that applies."""

    NOT_SCHEDULABLE = "not-schedulable"  # see `UnschedulableReason`
    OTHER_SERVICE = "other-service"
    NO_LABEL = "no-label"
    NOT_ALLOWED = "not-allowed"  # by the advisory service
    ORGANISATION_LIMIT = "organisation-limit"  # its organisation may not have more running
    NOT_ASKED = "not-asked"  # the advisory service has not been asked about it
    TICKET_EXPIRED = "ticket-expired"  # or of a former incarnation
    KEPT_EMPTY = "kept-empty"  # for a task that may crash it
    ISOLATED = "isolated"  # it runs such a task
    ON_PROBATION = "on-probation"
    NO_CAPACITY = "no-capacity"
    FULL_OF_STEP = "full-of-step"  # it holds as many tasks of the step as it may


def find_exclusion(
    step: StepProgress,
    service: str,
    worker: Worker,
    now: float,
    *,
    needs_advice: bool,
    is_left_out: bool,
    is_limited: bool = False,
) -> ExclusionReason | None:
    """Return why a worker gets no task of a step, or None if it could get one.

    Parameters
    ----------
    step : StepProgress
    service : str
        The one that runs the tasks of the step's queue.
    worker : Worker
    now : float
    needs_advice : bool
        Whether the queue has an advisory service.
    is_left_out : bool
        Whether the step is a gang that others hold, and the worker is on probation.
    is_limited : bool
        Whether the limit of its organisation holds the step.
    """
    if not worker.is_schedulable(now):
        return ExclusionReason.NOT_SCHEDULABLE
    if not is_eligible(step, service, worker):
        return _find_ineligibility(step, service, worker)
    if is_limited:
        return ExclusionReason.ORGANISATION_LIMIT
    if needs_advice:
        ticket = step.allowed.get(worker.id)
        if ticket is None:
            return ExclusionReason.NOT_ASKED
        if not ticket.is_valid(worker, now):
            return ExclusionReason.TICKET_EXPIRED
    return _find_use(step, worker, is_left_out=is_left_out)


def _find_ineligibility(step: StepProgress, service: str, worker: Worker) -> ExclusionReason:
    if worker.listing.service != service:
        return ExclusionReason.OTHER_SERVICE
    if worker.id in step.refused:
        return ExclusionReason.NOT_ALLOWED
    return ExclusionReason.NO_LABEL


def _find_use(step: StepProgress, worker: Worker, *, is_left_out: bool) -> ExclusionReason | None:
    """Return which use of a worker leaves nothing for a step."""
    if worker.emptied_for is not None:
        return ExclusionReason.KEPT_EMPTY
    if not worker.is_shared():
        return ExclusionReason.ISOLATED
    spec = step.spec
    if is_left_out or (not spec.is_gang and worker.is_full_on_probation()):
        return ExclusionReason.ON_PROBATION
    most = spec.placement.most_per_worker
    if most and step.count_on_worker(worker) >= most:
        return ExclusionReason.FULL_OF_STEP
    # Without regard to reservations, which last for one placement pass.
    if spec.is_gang:
        has_capacity = count_fitting(spec, worker) > 0
    else:
        has_capacity = worker.has_capacity_for(spec.resources, spec.is_filler, 0.0)
    return None if has_capacity else ExclusionReason.NO_CAPACITY
