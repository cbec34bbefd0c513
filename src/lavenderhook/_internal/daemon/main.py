"""Start and stop of the daemon."""

from __future__ import annotations

import argparse
import gc
import random
import secrets
import signal
import sys
import time
from collections.abc import Sequence

import gevent
import gevent.event
import msgspec

from ...errors import LavenderhookError, SettingsError
from ..adapters.calls import PendingCalls
from ..adapters.claims import ClaimStore
from ..adapters.commits import ShardLog
from ..adapters.configuration import ConfigurationStore
from ..adapters.credentials import Credentials, Identity
from ..adapters.directory import HttpInstanceDirectory
from ..adapters.frontend import Listener, ListenerLimits
from ..adapters.metrics import Metrics
from ..adapters.objects import HttpObjectStore
from ..adapters.peer_routes import PeerRoutes
from ..adapters.peers import PeerEffects
from ..adapters.routes import CallerRoutes, HealthRoutes, OperatorRoutes, Router
from ..adapters.table import HttpTableStore
from ..adapters.time import GeventTimers, SystemClock
from ..adapters.transport import HttpClient
from ..adapters.upstreams import UpstreamEffects
from ..adapters.workers import HttpWorkerClient, WorkerEffects
from ..core import effects
from ..core.effects import CloseListeners, ListPlatform, StopProcess
from ..core.events import Event, PlatformListed, PlatformListUnavailable, ShutdownRequested
from ..core.identifiers import AvailabilityZone, CallerName, IncarnationId, InstanceName, TeamName
from ..core.reducer import reduce
from ..core.state import InstanceState
from .logs import DecisionLog, discard_default_sink
from .runtime import EffectPool, Reduce, Runtime
from .settings import Settings, load_settings

NONCE_BYTES = 6
# A full collection blocks the event loop, for 0.2 s with the records of 340,000 tasks in memory.
# The third threshold prevents it; young cycles, such as those of exceptions, are still collected.
COLLECTOR_THRESHOLDS = (10_000, 10, 1_000_000)
# Limits on the greenlets that execute blocking effects, by pool.
REQUEST_GREENLETS = 4096
STORE_GREENLETS = 128
# Enough for all workers of a shard to be unreachable while others are called.
WORKER_GREENLETS = 1024
PEER_GREENLETS = 256
WORKER_CONNECTIONS = 8
PEER_CONNECTIONS = 8
FORWARDING_CONNECTIONS = 256
STORE_CONNECTIONS = 32
IDLE_CLEANUP_INTERVAL_SECONDS = 10.0
RESPONSE_DRAIN_SECONDS = 2.0  # for calls that are still being answered when the process stops


class Daemon:
    """One entry instance: state, runtime, adapters and listener.

    Parameters
    ----------
    settings : Settings
    reduce_event : callable
        The reducer; tests replace it.
    """

    def __init__(self, settings: Settings, reduce_event: Reduce = reduce) -> None:
        self.settings = settings
        name = settings.instance.name
        self.incarnation = IncarnationId(f"{name}-{secrets.token_hex(NONCE_BYTES)}")
        self.stopped = gevent.event.Event()
        self._has_stopped = False
        self.clock = SystemClock()
        self.calls = PendingCalls()
        self.log = DecisionLog(settings.logging, self.incarnation)
        self._timers = GeventTimers()
        state = InstanceState(
            name=InstanceName(name),
            incarnation=self.incarnation,
            availability_zone=AvailabilityZone(settings.instance.availability_zone),
            address=settings.instance.advertise,
            parameters=settings.core,
            generator=random.Random(self.incarnation),
        )
        state.membership.seeds = settings.peers.seeds
        self.runtime = Runtime(state, self.clock, reduce_event)
        self.runtime.log_failure = self.log.log_failure
        self._build_clients()
        self._build_adapters()
        self._build_listener()
        self._register_executors()
        self._register_gauges()

    def _build_clients(self) -> None:
        settings = self.settings
        identity = (("lavenderhook-instance", settings.instance.name),)
        platform = (*identity, *_authorize(settings.platform.credential))
        timeout = settings.platform.timeout_seconds
        self.metrics = Metrics(
            lambda address: self.directory.zones.get(address, ""),
            settings.instance.availability_zone,
        )

        def build(kind: str, headers: tuple[tuple[str, str], ...], size: int) -> HttpClient:
            count = self.metrics.count_traffic
            return HttpClient(kind, headers=headers, size=size, timeout=timeout, count=count)

        self._table_client = build("table", platform, STORE_CONNECTIONS)
        self._object_client = build("objects", platform, STORE_CONNECTIONS)
        self._list_client = build("instances", platform, 1)
        self._worker_client = build("worker", platform, WORKER_CONNECTIONS)
        self._upstream_client = build("upstream", (), settings.limits.connections_per_upstream)
        peer_headers = _authorize(settings.peers.credential)
        self._peer_client = build("peer", peer_headers, PEER_CONNECTIONS)
        self._forwarding_client = build("forwarded", peer_headers, FORWARDING_CONNECTIONS)
        self._clients = (
            self._table_client,
            self._object_client,
            self._list_client,
            self._worker_client,
            self._upstream_client,
            self._peer_client,
            self._forwarding_client,
        )
        self.directory = HttpInstanceDirectory(
            self._list_client, settings.platform.instances, self._report_unreadable_entry
        )

    def _build_adapters(self) -> None:
        runtime, clock, calls = self.runtime, self.clock, self.calls
        settings = self.settings
        table = HttpTableStore(self._table_client, settings.platform.table)
        objects = HttpObjectStore(self._object_client, settings.platform.objects)
        self.shard_log = ShardLog(table, objects, clock, runtime.emit)
        self.configuration = ConfigurationStore(table, clock, runtime.emit)
        self.claims = ClaimStore(
            table,
            clock,
            calls,
            self.incarnation,
            runtime.emit,
            settings.limits.stored_answer_bytes,
        )
        self.workers = WorkerEffects(HttpWorkerClient(self._worker_client), clock, runtime.emit)
        self.upstreams = UpstreamEffects(
            self._upstream_client,
            clock,
            calls,
            runtime.apply,
            runtime.state.parameters.quarantine,
            (("lavenderhook-instance", settings.instance.name),),
        )
        self.peers = PeerEffects(
            self._peer_client,
            self._forwarding_client,
            clock,
            calls,
            runtime.emit,
            runtime.apply,
            self.incarnation,
            runtime.state.parameters.heartbeat_interval,
        )

    def _build_listener(self) -> None:
        settings = self.settings
        limits = settings.limits
        credentials = Credentials(
            {
                caller.token: Identity(CallerName(name), TeamName(caller.team))
                for name, caller in settings.callers.items()
            },
            {token: name for name, token in settings.operators.items()},
            settings.peers.credential,
        )
        callers = CallerRoutes(
            self.runtime,
            self.calls,
            self.claims,
            credentials,
            limits.default_deadline_seconds,
            limits.longest_deadline_seconds,
        )
        router = Router(
            callers,
            OperatorRoutes(self.runtime, self.calls, credentials),
            PeerRoutes(self.runtime, self.calls, credentials, self.peers).serve,
            HealthRoutes(self.runtime, self.metrics),
        )
        host, _, port = settings.instance.listen.rpartition(":")
        listener_limits = ListenerLimits(
            body_bytes=limits.body_bytes,
            header_bytes=limits.header_bytes,
            line_bytes=limits.line_bytes,
            read_seconds=limits.read_seconds,
            idle_seconds=limits.idle_seconds,
            connections=limits.connections,
        )
        self.listener = Listener(
            (host, int(port)), listener_limits, router.route, self.log.log_failure
        )

    def _register_executors(self) -> None:
        runtime = self.runtime
        resolve = self.calls.resolve
        for answer_type in (
            effects.AnswerCaller,
            effects.AnswerCancellation,
            effects.AnswerConfiguration,
            effects.AnswerSubmission,
            effects.AnswerView,
            effects.RefuseCall,
        ):
            runtime.register(answer_type, lambda effect: resolve(effect.ticket, effect))
        runtime.register(effects.LogDecision, self.log.handle_log_effect)
        runtime.register(effects.CountMetric, self.metrics.execute)
        runtime.register(effects.SendHeartbeat, self.peers.send_heartbeats)
        runtime.register(effects.ClaimRequest, self.claims.claim)
        runtime.register(effects.RecordOutcome, self.claims.record)
        runtime.register(CloseListeners, lambda effect: self._drain_listener())
        runtime.register(StopProcess, lambda effect: self.stopped.set())
        self._register_blocking_executors()

    def _register_blocking_executors(self) -> None:
        requests = EffectPool("requests", REQUEST_GREENLETS)
        commits = EffectPool("commits", STORE_GREENLETS)
        store = EffectPool("store", STORE_GREENLETS)
        claims = EffectPool("claims", STORE_GREENLETS)
        listing = EffectPool("listing", 1)
        workers = EffectPool("workers", WORKER_GREENLETS)
        peers = EffectPool("peers", PEER_GREENLETS)
        for effect_type, pool, execute in (
            (effects.DispatchToUpstream, requests, self.upstreams.dispatch),
            (effects.ForwardToPeer, requests, self.peers.forward_request),
            (effects.ForwardOperation, requests, self.peers.forward_operation),
            (effects.CommitShard, commits, self.shard_log.commit),
            (effects.LoadShard, store, self.shard_log.load),
            (effects.StoreSnapshot, store, self.shard_log.store_snapshot),
            (effects.CommitConfiguration, store, self.configuration.commit),
            (effects.LoadConfiguration, store, self.configuration.load),
            (effects.ReleaseClaim, claims, self.claims.release),
            (ListPlatform, listing, self._list_platform),
            (effects.StartTasks, workers, self.workers.start),
            (effects.RenewLeases, workers, self.workers.renew),
            (effects.StopTasks, workers, self.workers.stop),
            (effects.ThrottleTasks, workers, self.workers.throttle),
            (effects.ForgetTasks, workers, self.workers.forget),
            (effects.PollWorker, workers, self.workers.poll),
            (effects.PushConfiguration, peers, self.peers.push),
            (effects.PullConfiguration, peers, self.peers.pull),
            (effects.SendGrantReport, peers, self.peers.send_report),
            (effects.SendGrantUpdate, peers, self.peers.send_update),
        ):
            self.runtime.register_blocking(effect_type, pool, execute)

    def _register_gauges(self) -> None:
        runtime, register_gauge = self.runtime, self.metrics.register_gauge
        register_gauge("queued_events", runtime.count_queued)
        register_gauge("pending_calls", self.calls.__len__)
        register_gauge("open_connections", lambda: len(self.listener.handlers))
        register_gauge("dropped_log_lines", lambda: self.log.writer.dropped)
        register_gauge("ready", lambda: float(runtime.state.configuration.is_ready()))
        register_gauge("configuration_version", lambda: runtime.state.configuration.version)
        for pool in runtime.pools.values():
            register_gauge("running_effects", pool.count_running, lane=pool.name)
            register_gauge("waiting_effects", pool.count_waiting, lane=pool.name)
        runtime.observe = self._observe_event

    def _observe_event(self, event: Event, seconds: float) -> None:
        self.metrics.observe("reduce_seconds", seconds, event=type(event).__name__)

    def _report_unreadable_entry(self, position: int, error: LavenderhookError) -> None:
        self.metrics.increment("platform_entries_unreadable_total", error=error.code)
        self.log.write_decision(
            "platform-entry-unreadable",
            {"position": position, "error": error.code, "message": str(error)},
        )

    def _list_platform(self, effect: ListPlatform) -> None:
        requested_at = self.runtime.now()
        try:
            instances, workers = self.directory.list_instances()
        except LavenderhookError as error:
            self.metrics.increment("platform_list_failures_total", error=error.code)
            self.runtime.emit(
                PlatformListUnavailable(now=self.runtime.now(), requested_at=requested_at)
            )
            return
        self.runtime.emit(
            PlatformListed(
                now=self.runtime.now(),
                instances=instances,
                workers=workers,
                requested_at=requested_at,
                unreadable=self.directory.unreadable,
            )
        )

    def start(self) -> None:
        """Start the listener, then the timers and the event loop."""
        self.log.writer.start()
        self.listener.start()
        state = self.runtime.state
        if not state.address:
            state.address = self.listener.location
        self.runtime.start(self._timers)
        self._cleanup_greenlet = gevent.spawn(self._close_idle_connections_loop)
        self.log.log_info("listening", address=self.listener.location, advertised=state.address)

    def _close_idle_connections_loop(self) -> None:
        while True:
            gevent.sleep(IDLE_CLEANUP_INTERVAL_SECONDS)
            for client in self._clients:
                client.close_expired()

    def describe(self) -> dict[str, str]:
        """Return identity and addresses, for the program that started the process."""
        return {
            "name": self.settings.instance.name,
            "incarnation": self.incarnation,
            "address": self.listener.location,
            "advertised": self.runtime.state.address,
        }

    def request_shutdown(self) -> None:
        """Start the graceful shutdown; a second call changes nothing."""
        if self.runtime.state.shutting_down_since is not None:
            return
        self.runtime.emit(ShutdownRequested(now=self.runtime.now()))
        # Bounds a shutdown whose last steps cannot be carried out, such as a hand-over of shards
        # while the store is unavailable.
        gevent.spawn_later(self.settings.limits.shutdown_seconds, self._force_stop)

    def _force_stop(self) -> None:
        if not self.stopped.is_set():
            self.log.log_info("shutdown-forced", pending=len(self.calls))
            self.stopped.set()

    def _drain_listener(self) -> None:
        if not self.listener.is_draining:
            self.log.log_info("listener-closed", pending=len(self.calls))
            self.listener.drain(drops_new_connections=True)

    def stop(self) -> None:
        """Stop the daemon once the last responses are written; a second call changes nothing."""
        if self._has_stopped:
            return
        self._has_stopped = True
        deadline = time.monotonic() + RESPONSE_DRAIN_SECONDS
        while len(self.calls) and time.monotonic() < deadline:
            gevent.sleep(0.01)
        self._timers.stop()
        self.runtime.stop()
        self.listener.stop(timeout=0.1)
        self._cleanup_greenlet.kill(block=False)
        for client in self._clients:
            client.close()
        self.log.log_info("stopped")
        self.log.stop()


def _authorize(credential: str) -> tuple[tuple[str, str], ...]:
    return (("Authorization", f"Bearer {credential}"),) if credential else ()


def run(arguments: Sequence[str] | None = None) -> int:
    """Run the daemon until it is stopped.

    Parameters
    ----------
    arguments : sequence of str or None
        Command-line arguments; None for those of the process.

    Returns
    -------
    int
        Exit status.
    """
    parser = argparse.ArgumentParser(prog="lavenderhookd", description=__doc__)
    parser.add_argument("--config", required=True, metavar="FILE.toml", help="settings file")
    parser.add_argument("--check", action="store_true", help="check the settings and exit")
    options = parser.parse_args(arguments)
    try:
        settings = load_settings(options.config)
    except SettingsError as error:
        print(msgspec.json.encode(error.to_fields()).decode(), file=sys.stderr)
        return error.exit_code
    if options.check:
        print(f"{options.config}: valid")
        return 0
    discard_default_sink()
    # Otherwise gevent records a stack for each new greenlet.
    gevent.config.track_greenlet_tree = False
    gc.set_threshold(*COLLECTOR_THRESHOLDS)
    daemon = Daemon(settings)
    for number in (signal.SIGTERM, signal.SIGINT):
        gevent.signal_handler(number, daemon.request_shutdown)
    daemon.start()
    print(msgspec.json.encode(daemon.describe()).decode(), flush=True)
    daemon.stopped.wait()
    daemon.stop()
    return 0
