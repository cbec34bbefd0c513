"""Start and stop of the process on a machine of the platform."""

from __future__ import annotations

import functools
import gc
import os
import signal
import time

import gevent
import gevent.event

from .._internal.adapters.frontend import HttpRequest, Listener, ListenerLimits, Reply, Route
from .._internal.adapters.intake import BodyBudget
from .._internal.adapters.metrics import Metrics
from .._internal.daemon.logs import DecisionLog, discard_default_sink
from .._internal.instance.decision_metrics import DecisionMetrics
from .._internal.instance.entry import EntryInstance
from .._internal.instance.log_limits import LineLimiter
from .._internal.instance.ownership import compute_owner_fitness
from .._internal.queueing.authentication import (
    AvailableRevocation,
    RevocationPolicy,
    StrictRevocation,
)
from .._internal.queueing.parameters import OwnerParameters
from ..errors import LavenderhookError
from .frontend import Frontend
from .intake import ClientReports, compute_intake_limits
from .lists import PlatformConfiguration, PlatformWorkers
from .settings import DEFAULT_PATH, PATH_VARIABLE, Bounds, load_settings
from .store import PlatformStore
from .workers import PlatformAdvisor, PlatformWorkerClient

# The third threshold prevents full collections, which would block the event loop.
COLLECTOR_THRESHOLDS = (10_000, 10, 1_000_000)
# Outlasts a takeover: 1 s since the last renewal, 2.2 s without a heartbeat, claim and loading.
LEASE_SECONDS = 5.5
# Part of the grace period that is kept for writing the last responses.
SHUTDOWN_MARGIN_SECONDS = 1.2
# Instances' clocks differ, and a caller may retry a submission seconds after its acceptance.
RETENTION_MARGIN_SECONDS = 30.0
DRAIN_POLL_SECONDS = 0.05
SETTINGS_POLL_SECONDS = 1.0  # the settings file may change without a signal
# Events that any client can cause; all are counted on the metrics address.
LIMITED_EVENTS = ("call-unauthenticated", "queue-unconfirmed", "queue-unknown")
LIMITED_LINES_PER_SECOND = 5
METRICS_HEADERS = (("Content-Type", "text/plain; version=0.0.4"),)


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
        self.log = DecisionLog(StandardOutputSettings(), settings.node_name)
        self.metrics = Metrics(lambda address: "", settings.zone)
        self._decision_metrics = DecisionMetrics(self.metrics)
        self._line_limiter = LineLimiter(LIMITED_EVENTS, LIMITED_LINES_PER_SECOND)
        self._store = PlatformStore(settings.platform.address, self.metrics.observe)
        self._worker_client = PlatformWorkerClient(self.log_event)
        self._advisor = PlatformAdvisor(settings.advice, self.log_event)
        self._stopped = gevent.event.Event()
        bounds, limits = settings.bounds, settings.limits
        self._reports = ClientReports(self.metrics.increment, self.log_event)
        intake = compute_intake_limits(settings)
        self._budget = BodyBudget(intake.body_bytes)
        peer_budget = BodyBudget(intake.peer_body_bytes)
        self.instance = EntryInstance(
            settings.node_name,
            settings.zone,
            f"{settings.ip}:{settings.internal_ports[0]}",
            compute_owner_fitness(limits.cpu_share * limits.cores, limits.link_mbps),
            store=self._store,
            worker_list=PlatformWorkers(self._store, self.log_event),
            configuration=PlatformConfiguration(self._store, self.log_event),
            worker_client=self._worker_client,
            advisor=self._advisor,
            parameters=OwnerParameters(
                lease_seconds=min(LEASE_SECONDS, bounds.hold_max_ms / 1000),
                stop_seconds=bounds.stop_timeout_ms / 1000,
                retention_seconds=bounds.status_s + RETENTION_MARGIN_SECONDS,
            ),
            configuration_bound_seconds=bounds.config_apply_ms / 1000,
            make_listener=functools.partial(
                self._create_listener, "peers", limits=intake.peers, budget=peer_budget
            ),
            log_event=self.log_event,
            report_error=self.log.log_failure,
        )
        frontend = self._frontend = Frontend(
            self.instance, self.log_event, _choose_revocation(bounds)
        )
        listen = settings.listen
        create = functools.partial(self._create_listener, budget=self._budget)
        self._listeners = [
            create("readiness", listen.readiness, frontend.route_readiness, intake.readiness),
            create("callers", listen.frontend, frontend.route, intake.callers),
            create(
                "metrics",
                f"{settings.ip}:{settings.metrics_port}",
                self._serve_metrics,
                intake.metrics,
            ),
        ]
        register_gauge = self.metrics.register_gauge
        register_gauge("is_owner", lambda: float(self.instance.is_owner()))
        register_gauge("owner_proof_age_seconds", self.instance.measure_proof_age)
        register_gauge("is_ready", lambda: float(self.instance.is_ready()))
        configuration = self.instance.configuration
        register_gauge("configuration_version", configuration.get_version)
        register_gauge("configuration_age_seconds", configuration.measure_age)
        register_gauge("requests_active", lambda: float(frontend.active))
        register_gauge("body_bytes_held", lambda: float(self._budget.held_bytes))
        register_gauge("log_lines_dropped", lambda: float(self.log.writer.dropped))

    def _serve_metrics(self, request: HttpRequest) -> Reply:
        return Reply(headers=METRICS_HEADERS, body=self.metrics.render())

    def _create_listener(
        self, name: str, address: str, route: Route, limits: ListenerLimits, budget: BodyBudget
    ) -> Listener:
        host, _, port = address.rpartition(":")
        listener = Listener(
            (host, int(port)),
            limits,
            route,
            self.log.log_failure,
            budget=budget,
            report_limit=functools.partial(self._reports.report, name),
        )
        self.metrics.register_gauge(
            "connections_open", lambda: float(len(listener.handlers)), listener=name
        )
        return listener

    def log_event(self, what: str, **fields: object) -> None:
        """Log a decision and update its metrics."""
        self._decision_metrics.record(what, fields)
        omitted = self._line_limiter.admit(what, time.monotonic())
        if omitted is None:
            return
        if omitted:
            fields["omitted"] = omitted
        self.log.write_decision(what, fields)

    def _log_greenlet_failure(
        self, context: object, kind: object, error: object, _: object
    ) -> None:
        """Log an unhandled exception of a greenlet or of a callback of the event loop."""
        if isinstance(error, Exception):
            self.log.log_failure(f"unhandled exception in {context}", error)

    def run(self) -> None:
        """Serve until SIGTERM."""
        self.log.writer.start()
        gevent.get_hub().handle_error = self._log_greenlet_failure
        gevent.signal_handler(signal.SIGTERM, self._begin_stop)
        gevent.signal_handler(signal.SIGHUP, self._reload)
        self.instance.start()
        for listener in self._listeners:
            listener.start()
        gevent.spawn(self._poll_settings)
        self._stopped.wait()
        self.log.stop()

    def _poll_settings(self) -> None:
        while True:
            due = time.monotonic() + SETTINGS_POLL_SECONDS
            gevent.sleep(SETTINGS_POLL_SECONDS)
            self.metrics.observe("loop_lag_seconds", time.monotonic() - due)
            self._reload()

    def _reload(self) -> None:
        """Read the settings again and apply those that may change at run time."""
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
        self._frontend.revocation = _choose_revocation(settings.bounds)
        self.log_event("settings-reloaded", store=settings.platform.address)

    def _begin_stop(self) -> None:
        gevent.spawn(self._stop)

    def _stop(self) -> None:
        deadline = time.monotonic() + self.settings.bounds.grace_s - SHUTDOWN_MARGIN_SECONDS
        caller_listener = self._listeners[1]
        # Open connections are closed with their next response, long before the process ends.
        caller_listener.is_draining = True
        self.instance.drain(deadline - time.monotonic())
        caller_listener.drain()
        while caller_listener.handlers and time.monotonic() < deadline:
            # Idle connections are closed now: a request that arrived on one later would be read by
            # a process that is about to end.
            caller_listener.close_idle()
            gevent.sleep(DRAIN_POLL_SECONDS)
        self.instance.stop()
        self._stopped.set()


class StandardOutputSettings:
    """Log settings: JSON lines on standard output."""

    level = "info"
    format = "json"
    file = "stdout"


def _choose_revocation(bounds: Bounds) -> RevocationPolicy:
    if not bounds.strict_revocation:
        return AvailableRevocation()
    return StrictRevocation(bounds.revoke_ms / 1000)


def run() -> int:
    """Run the process; return its exit status."""
    discard_default_sink()
    gevent.config.track_greenlet_tree = False
    gc.set_threshold(*COLLECTOR_THRESHOLDS)
    Program(os.environ.get(PATH_VARIABLE, DEFAULT_PATH)).run()
    return 0
