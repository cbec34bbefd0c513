"""Limits of the listeners that follow from the machine, and reports about clients that met them."""

from __future__ import annotations

import math
import time
from collections.abc import Callable

import msgspec

from .._internal.adapters.frontend import ListenerLimits
from .._internal.adapters.intake import Limit, ReportSample
from .._internal.instance.table_watcher import LogEvent
from .settings import MAX_BODY_BYTES, MEGABYTE, RESERVED_DESCRIPTORS, Settings

LISTENER_LIMITS = ListenerLimits(
    body_bytes=MAX_BODY_BYTES,
    header_bytes=16_384,
    line_bytes=8_192,
    read_seconds=3.0,
    idle_seconds=60.0,
    connections=3_000,
    unread_body_bytes=16_384,
)
# Shares of the machine's memory; the rest is for the program and its state.
BODY_SHARE = 1 / 8
CONNECTION_SHARE = 1 / 8
PEER_BODY_SHARE = 1 / 16
# Each instance may keep several connections to the owner, most of which are idle.
PEER_CONNECTION_SHARE = 1 / 4
# Of the descriptors that are left for sockets; the rest is for calls to workers, store and peers.
SOCKET_SHARE = 3 / 8
# A greenlet with its stack, its read buffer, and what the kernel has received for it.
CONNECTION_BYTES = 40 * 1024
BUFFER_BYTES = 16_384  # the kernel doubles it
READINESS_CONNECTIONS = 16
METRICS_CONNECTIONS = 8
# Greenlets of closed connections that have not ended yet.
CLOSING_CONNECTIONS = 16
CLOSING_FEW_CONNECTIONS = 4
LOGGED_PER_SECOND = 5


class IntakeLimits(msgspec.Struct, frozen=True, kw_only=True):
    """Limits of the process.

    Parameters
    ----------
    body_bytes, peer_body_bytes : float
        Of all bodies of callers, and of peers; infinite without a limit.
    callers, peers, readiness, metrics : ListenerLimits
        Of the listeners.
    """

    body_bytes: float = math.inf
    peer_body_bytes: float = math.inf
    callers: ListenerLimits = LISTENER_LIMITS
    peers: ListenerLimits = LISTENER_LIMITS
    readiness: ListenerLimits = LISTENER_LIMITS
    metrics: ListenerLimits = LISTENER_LIMITS


def compute_intake_limits(settings: Settings) -> IntakeLimits:
    """Return the limits that the settings give, and those that follow from the machine.

    A machine whose memory and descriptors the settings don't bound gets none of its own.
    """
    limits, intake = settings.limits, settings.intake
    base = msgspec.structs.replace(
        LISTENER_LIMITS,
        header_fields=intake.header_fields,
        write_seconds=intake.write_timeout_ms / 1000,
    )
    if not any((limits.memory_mb, limits.file_descriptors, intake.body_mb, intake.connections)):
        return IntakeLimits(callers=base, peers=base, readiness=base, metrics=base)
    memory = limits.memory_mb * MEGABYTE or math.inf
    sockets = math.inf
    if limits.file_descriptors:
        sockets = limits.file_descriptors - RESERVED_DESCRIPTORS
    most = min(LISTENER_LIMITS.connections, sockets * SOCKET_SHARE)
    connections = min(most, memory * CONNECTION_SHARE / CONNECTION_BYTES)
    peer_connections = min(most, memory * PEER_CONNECTION_SHARE / CONNECTION_BYTES)
    body_bytes = memory * BODY_SHARE if intake.body_mb is None else intake.body_mb * MEGABYTE
    base = msgspec.structs.replace(base, closes_stalled=True)

    def bound(count: float, closing: int, buffer_bytes: int) -> ListenerLimits:
        return msgspec.structs.replace(
            base,
            connections=int(count),
            reserved_connections=closing,
            receive_buffer_bytes=buffer_bytes,
        )

    return IntakeLimits(
        body_bytes=body_bytes,
        peer_body_bytes=memory * PEER_BODY_SHARE,
        callers=bound(intake.connections or connections, CLOSING_CONNECTIONS, BUFFER_BYTES),
        # Peers send messages of many submissions, for which a small buffer would cost time.
        peers=bound(peer_connections, CLOSING_CONNECTIONS, 0),
        # The balancer keeps a connection that is idle between its checks.
        readiness=msgspec.structs.replace(
            bound(READINESS_CONNECTIONS, CLOSING_FEW_CONNECTIONS, BUFFER_BYTES), keeps_idle=True
        ),
        metrics=bound(METRICS_CONNECTIONS, CLOSING_FEW_CONNECTIONS, BUFFER_BYTES),
    )


class ClientReports:
    """Counts the clients that met a limit, and logs some of them.

    Parameters
    ----------
    increment : callable
        Adds to a counter; called with its name and labels.
    log_event : callable
        Logs an event, given by its name and fields.
    """

    def __init__(self, increment: Callable[..., None], log_event: LogEvent) -> None:
        self._increment = increment
        self._log_event = log_event
        self._sample = ReportSample(LOGGED_PER_SECOND)

    def report(self, listener: str, limit: Limit, client: str) -> None:
        """Report a client whose request was refused or whose connection was closed."""
        self._increment("clients_limited_total", 1.0, listener=listener, limit=limit.value)
        if self._sample.admit(limit, time.monotonic()):
            self._log_event(
                "client-limited",
                listener=listener,
                limit=limit.value,
                client=client,
                omitted=self._sample.take_omitted(limit),
            )
