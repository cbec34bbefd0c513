"""The active declarations, and the processing of changes to them.

A change is accepted when its transaction on the head row commits. The operator gets the answer only
after the change was pushed to the peers, so that it survives a store outage that starts at that
moment. The version never decreases: changes are applied strictly in order, and a new instance
serves nothing until it has read the table or a peer and has the highest version that it has seen.
"""

from __future__ import annotations

import dataclasses
from collections.abc import Mapping
from typing import TYPE_CHECKING

from ...errors import (
    ConfigurationConflictError,
    DuplicateNameError,
    InvalidArgumentError,
    LavenderhookError,
    NotReadyError,
    OutcomeUnknownError,
    StoreUnavailableError,
)
from .declarations import (
    DEFAULT_POLICIES,
    AnyDeclaration,
    DeclarationKey,
    Policy,
    Quota,
    Selector,
    SelectorTarget,
    WorkerLabels,
    Workload,
    get_key,
    validate_declaration,
    validate_references,
)
from .effects import (
    AnswerConfiguration,
    CommitConfiguration,
    Effect,
    LoadConfiguration,
    LogDecision,
    PullConfiguration,
    PushConfiguration,
    RefuseCall,
)
from .events import (
    ConfigurationChange,
    ConfigurationCommitted,
    ConfigurationProposed,
    ConfigurationPushFinished,
    ConfigurationReceived,
    ConfigurationRefused,
    ConfigurationUnavailable,
    ConfigurationUncertain,
    HeartbeatReceived,
    Ticket,
    TimerFired,
)
from .identifiers import ConfigurationVersion, WorkloadKind
from .labels import Labels
from .records import WorkerView

if TYPE_CHECKING:
    from .state import InstanceState

CONFIGURATION_TIMER = "configuration"
TIMERS = {CONFIGURATION_TIMER: "configuration_poll_interval"}
ZERO_VERSION = ConfigurationVersion(0)


@dataclasses.dataclass(slots=True)
class PendingProposal:
    """A proposal between its arrival and its answer."""

    change: ConfigurationChange
    retry_on_conflict: bool
    event: ConfigurationProposed


@dataclasses.dataclass(slots=True)
class ConfigurationState:
    """The configuration as of `version`.

    Parameters
    ----------
    history : list of ConfigurationChange
        All changes, ``history[n]`` being version ``n + 1``.
    has_read_version : bool
        Whether `version` has reached the latest version of a table read or a peer's answer since
        the process started.
    highest_seen : ConfigurationVersion
        Highest version known from the table, peers and heartbeats.
    """

    version: ConfigurationVersion = ZERO_VERSION
    declarations: dict[DeclarationKey, AnyDeclaration] = dataclasses.field(default_factory=dict)
    history: list[ConfigurationChange] = dataclasses.field(default_factory=list)
    has_read_version: bool = False
    highest_seen: ConfigurationVersion = ZERO_VERSION
    pending: dict[Ticket, PendingProposal] = dataclasses.field(default_factory=dict)

    def is_ready(self) -> bool:
        """Return whether the configuration may be served."""
        return self.has_read_version and self.version >= self.highest_seen

    def get_workload(self, name: str) -> Workload | None:
        """Return the workload of a name, or None."""
        declaration = self.declarations.get(("workload", name))
        return declaration if isinstance(declaration, Workload) else None

    def list_workloads(self) -> list[Workload]:
        """Return all workloads sorted by name."""
        workloads = [d for d in self.declarations.values() if isinstance(d, Workload)]
        return sorted(workloads, key=lambda workload: workload.name)

    def list_quotas(self) -> list[Quota]:
        """Return all quotas sorted by name."""
        quotas = [d for d in self.declarations.values() if isinstance(d, Quota)]
        return sorted(quotas, key=lambda quota: quota.name)

    def list_selectors(self, target: SelectorTarget) -> list[Selector]:
        """Return the selectors for a target, highest precedence first, then by name."""
        found = [
            d for d in self.declarations.values() if isinstance(d, Selector) and d.target is target
        ]
        return sorted(found, key=lambda selector: (-selector.precedence, selector.name))

    def find_policy(self, kind: WorkloadKind, labels: Labels) -> Policy:
        """Return the policy that governs work with these labels.

        Parameters
        ----------
        kind : WorkloadKind
            Decides the default when no selector matches.
        labels : mapping of str to str
            Labels of the work.

        Returns
        -------
        Policy
        """
        for selector in self.list_selectors(SelectorTarget.POLICY):
            if not selector.workloads.matches(labels):
                continue
            policy = self.declarations.get(("policy", selector.policy))
            if isinstance(policy, Policy):
                return policy
        return DEFAULT_POLICIES[kind]

    def find_placement_selectors(self, labels: Labels) -> tuple[Selector, ...]:
        """Return the placement selectors that apply to work with these labels."""
        return tuple(
            selector
            for selector in self.list_selectors(SelectorTarget.PLACEMENT)
            if selector.workloads.matches(labels)
        )

    def label_worker(self, worker: WorkerView) -> dict[str, str]:
        """Return the labels of a worker: the platform's, its location, then the operators'."""
        labels = {
            **worker.labels,
            "availability-zone": worker.availability_zone,
            "rack": worker.rack,
            "worker": worker.worker_id,
        }
        declared = self.declarations.get(("worker-labels", worker.worker_id))
        if isinstance(declared, WorkerLabels):
            labels.update(declared.labels)
        return labels

    def is_draining(self, worker: WorkerView) -> bool:
        """Return whether an operator has marked a worker for draining."""
        declared = self.declarations.get(("worker-labels", worker.worker_id))
        return isinstance(declared, WorkerLabels) and declared.drain


def apply_change(
    declarations: Mapping[DeclarationKey, AnyDeclaration], change: ConfigurationChange
) -> dict[DeclarationKey, AnyDeclaration]:
    """Return the declarations after a change; deleting what does not exist has no effect."""
    result = dict(declarations)
    for key in change.deletes:
        result.pop((key[0], key[1]), None)
    for declaration in change.puts:
        result[get_key(declaration)] = declaration
    return result


def handle_timer(state: InstanceState, event: TimerFired) -> list[Effect]:
    """Read the table's newer changes each poll interval."""
    if event.name != CONFIGURATION_TIMER:
        return []
    return [LoadConfiguration(after=state.configuration.version)]


def handle_proposal(state: InstanceState, event: ConfigurationProposed) -> list[Effect]:
    """Check a proposed change and commit it on top of the active version."""
    configuration = state.configuration
    if not configuration.has_read_version:
        return [
            RefuseCall(ticket=event.ticket, error=NotReadyError("no configuration is known yet"))
        ]
    repeated = _find_repeated(configuration, event)
    if repeated is not None:
        return [repeated]
    if event.expected is not None and event.expected != configuration.version:
        conflict = ConfigurationConflictError(event.expected, configuration.version)
        return [RefuseCall(ticket=event.ticket, error=conflict)]
    change = ConfigurationChange(
        version=ConfigurationVersion(configuration.version + 1),
        change_id=event.change_id,
        author=event.author,
        at=event.now,
        puts=event.puts,
        deletes=event.deletes,
    )
    try:
        validate_change(configuration, change)
    except LavenderhookError as error:
        return [RefuseCall(ticket=event.ticket, error=error)]
    configuration.pending[event.ticket] = PendingProposal(
        change=change, retry_on_conflict=event.expected is None, event=event
    )
    return [CommitConfiguration(ticket=event.ticket, change=change)]


def validate_change(configuration: ConfigurationState, change: ConfigurationChange) -> None:
    """Check a change by itself and together with the active declarations.

    Raises
    ------
    InvalidArgumentError
        Naming the declaration and field that is not valid.
    """
    if not change.puts and not change.deletes:
        raise InvalidArgumentError("change", "", "at least one declaration")
    seen: set[DeclarationKey] = set()
    for declaration in change.puts:
        validate_declaration(declaration)
        key = get_key(declaration)
        if key in seen or key in change.deletes:
            raise InvalidArgumentError(f"{key[0]}.name", key[1], "each name once in a change")
        seen.add(key)
        _validate_unchanged_type(configuration, declaration)
    validate_references(apply_change(configuration.declarations, change))


def _validate_unchanged_type(
    configuration: ConfigurationState, declaration: AnyDeclaration
) -> None:
    if not isinstance(declaration, Workload):
        return
    former = configuration.get_workload(declaration.name)
    if former is not None and former.type is not declaration.type:
        raise InvalidArgumentError(
            f"workload.{declaration.name}.type",
            declaration.type.value,
            f"{former.type.value}, since the type of a workload cannot change",
        )


def _find_repeated(
    configuration: ConfigurationState, event: ConfigurationProposed
) -> Effect | None:
    for change in reversed(configuration.history):
        if change.change_id != event.change_id:
            continue
        if change.puts != event.puts or change.deletes != event.deletes:
            error = DuplicateNameError(f"change id {event.change_id!r} was used for other content")
            return RefuseCall(ticket=event.ticket, error=error)
        return AnswerConfiguration(
            ticket=event.ticket, version=change.version, change_id=change.change_id, repeated=True
        )
    return None


def handle_committed(state: InstanceState, event: ConfigurationCommitted) -> list[Effect]:
    """Apply a committed change here and push it to the peers before the operator is answered."""
    effects = _apply_changes(state, (event.change,))
    addresses = tuple(sorted(member.digest.address for member in state.membership.members.values()))
    effects.append(PushConfiguration(ticket=event.ticket, addresses=addresses, change=event.change))
    return effects


def handle_push_finished(state: InstanceState, event: ConfigurationPushFinished) -> list[Effect]:
    """Tell the operator that the change is accepted."""
    pending = state.configuration.pending.pop(event.ticket, None)
    if pending is None:
        return []
    change = pending.change
    fields: dict[str, object] = {
        "version": change.version,
        "change": change.change_id,
        "peers": event.reached,
    }
    return [
        LogDecision(decision="configuration-accepted", fields=fields),
        AnswerConfiguration(
            ticket=event.ticket,
            version=change.version,
            change_id=change.change_id,
            repeated=False,
            confirmed_by=event.reached,
        ),
    ]


def handle_refused(state: InstanceState, event: ConfigurationRefused) -> list[Effect]:
    """Report a version conflict or an unavailable store; nothing was changed."""
    pending = state.configuration.pending.pop(event.ticket, None)
    if pending is None:
        return []
    if event.actual is None:
        error: LavenderhookError = StoreUnavailableError("the table cannot be written")
    else:
        error = ConfigurationConflictError(event.expected, event.actual)
        _record_seen_version(state, event.actual)
    effects: list[Effect] = [RefuseCall(ticket=event.ticket, error=error)]
    effects.append(LoadConfiguration(after=state.configuration.version))
    return effects


def handle_uncertain(state: InstanceState, event: ConfigurationUncertain) -> list[Effect]:
    """Tell the operator that the change may still become active."""
    pending = state.configuration.pending.pop(event.ticket, None)
    if pending is None:
        return []
    message = f"the result of change {pending.change.change_id!r} is not known; apply it again"
    return [RefuseCall(ticket=event.ticket, error=OutcomeUnknownError(message))]


def handle_received(state: InstanceState, event: ConfigurationReceived) -> list[Effect]:
    """Apply changes from the table or a peer."""
    configuration = state.configuration
    effects = _apply_changes(state, event.changes)
    _record_seen_version(state, event.head)
    if configuration.version >= event.head:
        configuration.has_read_version = True
    return effects


def handle_unavailable(state: InstanceState, event: ConfigurationUnavailable) -> list[Effect]:
    """In an outage, pull the configuration from the ready peer with the highest version."""
    if state.configuration.has_read_version:
        return []
    digests = [member.digest for member in state.membership.members.values()]
    ready = [d for d in digests if d.ready]
    if not ready:
        return []
    best = max(ready, key=lambda d: (d.configuration_version, d.incarnation))
    return [PullConfiguration(address=best.address, after=state.configuration.version)]


def handle_heartbeat(state: InstanceState, event: HeartbeatReceived) -> list[Effect]:
    """Pull newer changes from a peer that has them."""
    version = event.digest.configuration_version
    if version <= state.configuration.version:
        return []
    _record_seen_version(state, version)
    return [PullConfiguration(address=event.digest.address, after=state.configuration.version)]


def _record_seen_version(state: InstanceState, version: ConfigurationVersion) -> None:
    configuration = state.configuration
    configuration.highest_seen = max(configuration.highest_seen, version)


def _apply_changes(state: InstanceState, changes: tuple[ConfigurationChange, ...]) -> list[Effect]:
    configuration = state.configuration
    effects: list[Effect] = []
    for change in changes:
        if change.version != configuration.version + 1:
            continue
        configuration.declarations = apply_change(configuration.declarations, change)
        configuration.history.append(change)
        configuration.version = change.version
        fields: dict[str, object] = {"version": change.version, "change": change.change_id}
        effects.append(LogDecision(decision="configuration-in-force", fields=fields))
    _record_seen_version(state, configuration.version)
    return effects


HANDLERS = {
    TimerFired: handle_timer,
    ConfigurationProposed: handle_proposal,
    ConfigurationCommitted: handle_committed,
    ConfigurationPushFinished: handle_push_finished,
    ConfigurationRefused: handle_refused,
    ConfigurationUncertain: handle_uncertain,
    ConfigurationReceived: handle_received,
    ConfigurationUnavailable: handle_unavailable,
    HeartbeatReceived: handle_heartbeat,
}
