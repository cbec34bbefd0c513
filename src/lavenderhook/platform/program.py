"""Start and stop of the process on a machine of the platform."""

from __future__ import annotations

import gc
import os
import signal
import time

import gevent
import gevent.event

from .._internal.adapters.frontend import HttpRequest, Listener, ListenerLimits, Reply, Route
from .._internal.adapters.metrics import Metrics
from .._internal.daemon.logs import DecisionLog, discard_default_sink
from .._internal.instance.decision_metrics import DecisionMetrics
from .._internal.instance.entry import EntryInstance
from .._internal.instance.ownership import compute_owner_fitness
from .._internal.queueing.owner_state import OwnerParameters
from ..errors import LavenderhookError
from .frontend import Frontend
from .lists import PlatformConfiguration, PlatformWorkers
from .settings import DEFAULT_PATH, PATH_VARIABLE, load_settings
from .store import PlatformStore
from .workers import PlatformAdvisor, PlatformWorkerClient

COLLECTOR_THRESHOLDS = (10_000, 10, 1_000_000)  # a full collection would stop all decisions
# Outlasts a takeover: a second since the last renewal, 2.2 s of silence, claim and loading.
LEASE_SECONDS = 5.5
SHUTDOWN_MARGIN_SECONDS = 1.2  # of the grace; the last responses are written in it
# Instances' clocks differ, and a caller may repeat a submission seconds after its acceptance.
RETENTION_MARGIN_SECONDS = 30.0
DRAIN_POLL_SECONDS = 0.05  # for responses that are still being written
# between checks of the settings file, which may change without a signal
SETTINGS_POLL_SECONDS = 1.0
METRICS_HEADERS = (("Content-Type", "text/plain; version=0.0.4"),)
LIMITS = ListenerLimits(
    body_bytes=262_144,
    header_bytes=16_384,
    line_bytes=8_192,
    read_seconds=3.0,
    idle_seconds=60.0,
    connections=3_000,
)


class Program:
    """The process: adapters, instance and listeners.

    Parameters
    ----------
    path : str
        Path of the settings file.
    """

    def __init__(self, path: str) -> None:
        self._path = path
        self.settings = settings = load_settings(path)
        self.log = DecisionLog(StandardOutput(), settings.node_name)
        self.metrics = Metrics(lambda address: "", settings.zone)
        self._decision_metrics = DecisionMetrics(self.metrics)
        self._store = PlatformStore(settings.platform.address, self.metrics.observe)
        self._calls = PlatformWorkerClient()
        self._advisor = PlatformAdvisor(settings.advice, self.log_event)
        self._done = gevent.event.Event()
        bounds, limits = settings.bounds, settings.limits
        self.instance = EntryInstance(
            settings.node_name,
            settings.zone,
            f"{settings.ip}:{settings.internal_ports[0]}",
            compute_owner_fitness(limits.cpu_share * limits.cores, limits.link_mbps),
            store=self._store,
            worker_list=PlatformWorkers(self._store, self.log_event),
            configuration=PlatformConfiguration(self._store, self.log_event),
            worker_client=self._calls,
            advisor=self._advisor,
            parameters=OwnerParameters(
                lease_seconds=min(LEASE_SECONDS, bounds.hold_max_ms / 1000),
                stop_seconds=bounds.stop_timeout_ms / 1000,
                retention_seconds=bounds.status_s + RETENTION_MARGIN_SECONDS,
            ),
            limits=LIMITS,
            log_event=self.log_event,
            report_error=self.log.log_failure,
        )
        frontend = self._frontend = Frontend(self.instance)
        self._listeners = [
            self._listen(settings.listen.readiness, frontend.route_readiness),
            self._listen(settings.listen.frontend, frontend.route),
            self._listen(f"{settings.ip}:{settings.metrics_port}", self._route_metrics),
        ]
        register_gauge = self.metrics.register_gauge
        register_gauge("is_owner", lambda: float(self.instance.is_owner()))
        register_gauge("is_ready", lambda: float(self.instance.is_ready()))
        register_gauge("configuration_version", self.instance.get_configuration_version)
        register_gauge("requests_active", lambda: float(frontend.active))
        register_gauge("log_lines_dropped", lambda: float(self.log.writer.dropped))

    def _route_metrics(self, incoming: HttpRequest) -> Reply:
        return Reply(headers=METRICS_HEADERS, body=self.metrics.render())

    def _listen(self, address: str, route: Route) -> Listener:
        host, _, port = address.rpartition(":")
        return Listener((host, int(port)), LIMITS, route, self.log.log_failure)

    def log_event(self, what: str, **fields: object) -> None:
        """Write a line about a decision and count it."""
        self._decision_metrics.record(what, fields)
        self.log.write_decision(what, fields)

    def _report_greenlet(self, context: object, kind: object, error: object, _: object) -> None:
        """Log a failure that ended a greenlet."""
        if isinstance(error, Exception):
            self.log.log_failure(f"unexpected in {context}", error)

    def run(self) -> None:
        """Serve until SIGTERM."""
        self.log.writer.start()
        gevent.get_hub().handle_error = self._report_greenlet
        gevent.signal_handler(signal.SIGTERM, self._begin_stop)
        gevent.signal_handler(signal.SIGHUP, self._reload)
        self.instance.start()
        for listener in self._listeners:
            listener.start()
        gevent.spawn(self._watch_settings)
        self._done.wait()
        self.log.stop()

    def _watch_settings(self) -> None:
        while True:
            due = time.monotonic() + SETTINGS_POLL_SECONDS
            gevent.sleep(SETTINGS_POLL_SECONDS)
            self.metrics.observe("loop_lag_seconds", time.monotonic() - due)
            self._reload()

    def _reload(self) -> None:
        """Read the settings again and take over what may change while running."""
        try:
            settings = load_settings(self._path)
        except LavenderhookError as error:
            self.log.log_failure("settings-unreadable", error)
            return
        if settings == self.settings:
            return
        self.settings = settings
        self._store.address = settings.platform.address
        self._advisor.address = settings.advice
        self.log_event("settings-reloaded", store=settings.platform.address)

    def _begin_stop(self) -> None:
        gevent.spawn(self._stop)

    def _stop(self) -> None:
        ends_at = time.monotonic() + self.settings.bounds.grace_s - SHUTDOWN_MARGIN_SECONDS
        frontend = self._listeners[1]
        # Callers on open connections leave with their next answer, long before the end.
        frontend.is_draining = True
        self.instance.drain(ends_at - time.monotonic())
        frontend.drain()
        while frontend.handlers and time.monotonic() < ends_at:
            # A connection without a request is closed now: one that arrives later would be read
            # by a process that is about to end.
            frontend.close_idle()
            gevent.sleep(DRAIN_POLL_SECONDS)
        self.instance.stop()
        self._done.set()


class StandardOutput:
    """Where the log goes: JSON lines on standard output."""

    level = "info"
    format = "json"
    file = "stdout"


def run() -> int:
    """Run the process; return its exit status."""
    discard_default_sink()
    gevent.config.track_greenlet_tree = False
    gc.set_threshold(*COLLECTOR_THRESHOLDS)
    Program(os.environ.get(PATH_VARIABLE, DEFAULT_PATH)).run()
    return 0
