"""Views of the state of which every instance holds a copy."""

from __future__ import annotations

import msgspec

from ..core.events import QueryKind
from ..core.membership import get_member_state
from ..core.state import InstanceState

LOCAL_KINDS = frozenset({QueryKind.CONFIGURATION, QueryKind.HISTORY, QueryKind.INSTANCES})


def build_view(state: InstanceState, kind: QueryKind) -> object:
    """Return a view of configuration, its history or the members as plain data."""
    if kind is QueryKind.CONFIGURATION:
        return _build_configuration_view(state)
    if kind is QueryKind.HISTORY:
        return {"changes": msgspec.to_builtins(state.configuration.history)}
    return _build_instances_view(state)


def _build_configuration_view(state: InstanceState) -> object:
    configuration = state.configuration
    declarations = [found for _, found in sorted(configuration.declarations.items())]
    return {
        "version": configuration.version,
        "ready": configuration.is_ready(),
        "declarations": msgspec.to_builtins(declarations),
    }


def _build_instances_view(state: InstanceState) -> object:
    local = {
        "incarnation": state.incarnation,
        "name": state.name,
        "address": state.address,
        "availability_zone": state.availability_zone,
        "state": get_member_state(state, state.incarnation).value,
        "configuration_version": state.configuration.version,
        "self": True,
    }
    others = [
        {
            "incarnation": incarnation,
            "name": member.digest.name,
            "address": member.digest.address,
            "availability_zone": member.digest.availability_zone,
            "state": get_member_state(state, incarnation).value,
            "configuration_version": member.digest.configuration_version,
            "self": False,
        }
        for incarnation, member in sorted(state.membership.members.items())
    ]
    return {"instances": [local, *others]}
