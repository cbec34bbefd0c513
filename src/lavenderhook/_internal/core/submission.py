"""Resolution of submissions: declared workloads, validation and repeated ids."""

from __future__ import annotations

import re
from typing import TYPE_CHECKING

import msgspec

from ...errors import (
    DuplicateNameError,
    InvalidArgumentError,
    PayloadTooLargeError,
    PermissionDeniedError,
    QuotaExceededError,
    UnknownNameError,
)
from .declarations import Workload, validate_name, validate_workload
from .identifiers import TeamName, WorkloadKind
from .labels import validate_labels
from .records import JobSpec
from .resources import ZERO_RESOURCES

if TYPE_CHECKING:
    from .state import InstanceState

SERVICE_PREFIX = "service."
# Workloads declared for this team may be used by any team.
DEFAULT_TEAM = TeamName("default")
# A larger job would leave too little space for others in a transaction, which may hold 1 MB.
MAX_JOB_BYTES = 64 * 1024
_JOB_ID = re.compile(r"[A-Za-z0-9]([A-Za-z0-9._:-]{0,198}[A-Za-z0-9])?\Z")


def uses_declared_workload(job: JobSpec) -> bool:
    """Return whether a submission takes its resources from a declared workload."""
    return job.resources == ZERO_RESOURCES


def resolve_submission(state: InstanceState, job: JobSpec) -> JobSpec:
    """Return the complete job of a submission.

    A submission without resources is completed from the declared workload of its name: omitted
    fields are filled, and `kind`, `slots`, `connections` and `idempotent` are replaced.

    Raises
    ------
    InvalidArgumentError, UnknownNameError, PermissionDeniedError, QuotaExceededError
        If it cannot be accepted.
    PayloadTooLargeError
        If it is larger than `MAX_JOB_BYTES`.
    """
    if not _JOB_ID.match(job.job_id) or job.job_id.startswith(SERVICE_PREFIX):
        raise InvalidArgumentError(
            "job.job_id",
            job.job_id,
            "1 to 200 letters, digits or ._:-, with a letter or digit at both ends, "
            f"that do not start with {SERVICE_PREFIX!r}",
        )
    if uses_declared_workload(job):
        job = _fill_from_workload(state, job)
    _validate(job)
    for quota in state.configuration.list_quotas():
        if quota.team == job.team and quota.max_share <= 0.0:
            raise QuotaExceededError(f"team {job.team!r} has quota 0")
    return msgspec.structs.replace(job, submitted_at=state.now)


def _fill_from_workload(state: InstanceState, job: JobSpec) -> JobSpec:
    workload = state.configuration.get_workload(job.name)
    if workload is None:
        raise UnknownNameError("workload", job.name)
    team = job.team or workload.team
    if workload.team not in (DEFAULT_TEAM, team):
        raise PermissionDeniedError(f"workload {job.name!r} belongs to another team")
    return msgspec.structs.replace(
        job,
        kind=workload.type,
        team=team,
        labels={**workload.labels, **job.labels},
        resources=workload.resources,
        count=job.count or workload.count,
        run_seconds=job.run_seconds or workload.run_seconds,
        slots=workload.slots,
        connections=workload.connections,
        idempotent=workload.idempotent,
        parameters={**workload.parameters, **job.parameters},
    )


def _validate(job: JobSpec) -> None:
    if job.kind is WorkloadKind.SERVICE:
        raise InvalidArgumentError(
            "job.kind", job.kind.value, "batch or gang; services must be declared"
        )
    validate_name("job.name", job.name)
    validate_labels("job.labels", job.labels)
    workload = Workload(
        name=job.name,
        type=job.kind,
        resources=job.resources,
        count=job.count,
        run_seconds=job.run_seconds,
        slots=job.slots,
        connections=job.connections,
    )
    validate_workload("job", workload)
    if len(msgspec.msgpack.encode(job)) > MAX_JOB_BYTES:
        raise PayloadTooLargeError(f"a job may have at most {MAX_JOB_BYTES} bytes")


def check_same_submission(existing: JobSpec, submitted: JobSpec) -> None:
    """Check that a submission with the id of an accepted job describes the same job.

    A declared workload may have changed since the job was accepted, so a submission that uses one
    is compared only by the fields that it sets itself.

    Raises
    ------
    DuplicateNameError
        If the content differs.
    """
    if uses_declared_workload(submitted):
        same = (
            submitted.name == existing.name
            and submitted.caller == existing.caller
            and submitted.team in ("", existing.team)
            and submitted.count in (0, existing.count)
            and submitted.run_seconds in (0, existing.run_seconds)
            and submitted.labels.items() <= existing.labels.items()
            and submitted.parameters.items() <= existing.parameters.items()
        )
    else:
        same = existing == msgspec.structs.replace(submitted, submitted_at=existing.submitted_at)
    if not same:
        raise DuplicateNameError(f"job id {submitted.job_id!r} was used for other content")
