"""Fields of the heartbeat digest that components contribute."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from .state import InstanceState


def collect_digest_fields(state: InstanceState) -> dict[str, Any]:
    """Return the digest's fields that depend on configuration, routing and owned shards."""
    from .held_grants import collect_routing_fields

    return {
        **collect_routing_fields(state),
        "ready": state.configuration.is_ready(),
        "configuration_version": state.configuration.version,
        "shards": state.ownerships.collect_epochs(),
    }
