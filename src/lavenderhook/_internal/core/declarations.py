"""Declarations of operators, and their validation.

Every declaration has a `kind` and a `name`; together they identify it. A configuration is the set
of all declarations at one version.
"""

from __future__ import annotations

import enum
import re
from collections.abc import Mapping
from typing import TypeAlias

import msgspec

from ...errors import InvalidArgumentError
from .identifiers import PriorityClass, TeamName, WorkloadKind
from .labels import MATCH_ALL, LabelSelector, validate_labels, validate_selector
from .resources import Resources, validate_resources

MAX_TASKS = 10_000
MAX_RUN_SECONDS = 30 * 24 * 3600.0
_NAME = re.compile(r"[a-z0-9]([a-z0-9.-]{0,61}[a-z0-9])?\Z")


class SelectorTarget(enum.Enum):
    """What a selector determines for the workloads that it matches."""

    PLACEMENT = "placement"
    POLICY = "policy"


class PlacementMode(enum.Enum):
    """Which placement policy is used."""

    SPREAD = "spread"
    PACK = "pack"
    GANG = "gang"
    RANDOM = "random"
    FIRST_FIT = "first-fit"


class Declaration(
    msgspec.Struct, frozen=True, tag_field="kind", kw_only=True, forbid_unknown_fields=True
):
    """Base of all declarations."""

    name: str
    labels: dict[str, str] = {}


class Workload(Declaration, frozen=True, tag="workload", kw_only=True):
    """A service, a batch of tasks or a gang.

    Parameters
    ----------
    type : WorkloadKind
        Service, batch or gang.
    resources : Resources
        Resources of each task.
    count : int
        Number of tasks.
    team : TeamName
        Team whose quota is charged.
    run_seconds : float
        Declared run time of a task; ignored for services.
    idempotent : bool
        For a service, whether requests to it are idempotent if the caller does not specify it. For
        a batch, whether its tasks may be preempted and run again.
    slots : int
        Requests that one service task serves at a time.
    connections : int
        Connections that one service task accepts.
    parameters : dict of str to object
        Passed to the worker unchanged.
    """

    type: WorkloadKind
    resources: Resources
    count: int = 1
    team: TeamName = TeamName("default")
    run_seconds: float = 60.0
    idempotent: bool = True
    slots: int = 8
    connections: int = 64
    parameters: dict[str, str | int | float | bool] = {}


class Policy(Declaration, frozen=True, tag="policy", kw_only=True):
    """How the workloads that a selector assigns to it are placed and served."""

    mode: PlacementMode = PlacementMode.PACK
    priority: PriorityClass = PriorityClass.NORMAL
    max_attempts: int = 3
    retry_budget: float = 0.1
    max_queue: int = 1024
    preemptible: bool = False


class Selector(Declaration, frozen=True, tag="selector", kw_only=True):
    """Binds workloads, chosen by label, to workers or to a policy.

    Parameters
    ----------
    workloads : LabelSelector
        Which workloads it applies to.
    target : SelectorTarget
        What it determines.
    workers : LabelSelector
        For ``placement``: workers that the workloads may use. All placement selectors that match
        a workload apply together.
    policy : str
        For ``policy``: name of the policy. The matching selector of highest `precedence` wins.
    precedence : int
        Order among policy selectors; equal ones are ordered by name.
    """

    target: SelectorTarget
    workloads: LabelSelector = MATCH_ALL
    workers: LabelSelector = MATCH_ALL
    policy: str = ""
    precedence: int = 0


class Quota(Declaration, frozen=True, tag="quota", kw_only=True):
    """Limit on the resources that the tasks of a team hold at a time.

    Parameters
    ----------
    max_share : float
        Largest dominant share of the total capacity of the shard's workers.
    """

    team: TeamName
    max_share: float = 1.0
    weight: float = 1.0


class WorkerLabels(Declaration, frozen=True, tag="worker-labels", kw_only=True):
    """Labels that operators attach to workers; `name` is the worker's id."""

    drain: bool = False


AnyDeclaration: TypeAlias = Workload | Policy | Selector | Quota | WorkerLabels
DeclarationKey: TypeAlias = tuple[str, str]


def get_kind(declaration: AnyDeclaration) -> str:
    """Return the wire name of the kind of a declaration."""
    return str(type(declaration).__struct_config__.tag)


def get_key(declaration: AnyDeclaration) -> DeclarationKey:
    """Return the (kind, name) that identifies a declaration."""
    return get_kind(declaration), declaration.name


def validate_declaration(declaration: AnyDeclaration) -> None:
    """Check one declaration by itself.

    Raises
    ------
    InvalidArgumentError
        Naming the field that is not valid.
    """
    kind = get_kind(declaration)
    validate_name(f"{kind}.name", declaration.name)
    validate_labels(f"{kind}.labels", declaration.labels)
    if isinstance(declaration, Workload):
        validate_workload(f"workload.{declaration.name}", declaration)
    elif isinstance(declaration, Policy):
        _validate_policy(f"policy.{declaration.name}", declaration)
    elif isinstance(declaration, Selector):
        _validate_selector(f"selector.{declaration.name}", declaration)
    elif isinstance(declaration, Quota):
        _require_range(f"quota.{declaration.name}.max_share", declaration.max_share, 0.0, 1.0)
        _require_range(f"quota.{declaration.name}.weight", declaration.weight, 0.001, 1000.0)


def validate_name(field: str, name: str) -> None:
    """Check the syntax of a name.

    Raises
    ------
    InvalidArgumentError
        If it is not 1 to 63 lower-case letters, digits, dots and hyphens, with a letter or digit at
        both ends.
    """
    if not _NAME.match(name):
        raise InvalidArgumentError(
            field,
            name,
            "1 to 63 lower-case letters, digits, '.' or '-', with a letter or digit at both ends",
        )


def validate_workload(field: str, workload: Workload) -> None:
    """Check the amounts of a workload.

    Raises
    ------
    InvalidArgumentError
        Naming the field that is not valid.
    """
    validate_resources(f"{field}.resources", workload.resources)
    _require_range(f"{field}.count", workload.count, 1, MAX_TASKS)
    _require_range(f"{field}.run_seconds", workload.run_seconds, 0.001, MAX_RUN_SECONDS)
    _require_range(f"{field}.slots", workload.slots, 1, 10_000)
    _require_range(f"{field}.connections", workload.connections, workload.slots, 100_000)


def _validate_policy(field: str, policy: Policy) -> None:
    _require_range(f"{field}.max_attempts", policy.max_attempts, 1, 100)
    _require_range(f"{field}.retry_budget", policy.retry_budget, 0.0, 1.0)
    _require_range(f"{field}.max_queue", policy.max_queue, 1, 1_000_000)


def _validate_selector(field: str, selector: Selector) -> None:
    validate_selector(f"{field}.workloads", selector.workloads)
    validate_selector(f"{field}.workers", selector.workers)
    if selector.target is SelectorTarget.POLICY and not selector.policy:
        raise InvalidArgumentError(f"{field}.policy", selector.policy, "the name of a policy")
    if selector.target is SelectorTarget.PLACEMENT and selector.policy:
        raise InvalidArgumentError(
            f"{field}.policy", selector.policy, "no policy when the target is placement"
        )


def _require_range(field: str, value: float, low: float, high: float) -> None:
    if not low <= value <= high:
        raise InvalidArgumentError(field, value, f"a value from {low} to {high}")


def validate_references(declarations: Mapping[DeclarationKey, AnyDeclaration]) -> None:
    """Check that every name that a declaration refers to exists.

    Raises
    ------
    InvalidArgumentError
        Naming the selector and the policy that does not exist.
    """
    for declaration in declarations.values():
        if not isinstance(declaration, Selector) or not declaration.policy:
            continue
        if ("policy", declaration.policy) not in declarations:
            raise InvalidArgumentError(
                f"selector.{declaration.name}.policy",
                declaration.policy,
                "the name of a declared policy",
            )


DEFAULT_POLICIES: Mapping[WorkloadKind, Policy] = {
    WorkloadKind.SERVICE: Policy(name="default-service", mode=PlacementMode.SPREAD),
    WorkloadKind.BATCH: Policy(
        name="default-batch", mode=PlacementMode.PACK, priority=PriorityClass.BATCH
    ),
    WorkloadKind.GANG: Policy(name="default-gang", mode=PlacementMode.GANG),
}
