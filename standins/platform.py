"""Stand-ins of one platform in one process."""

import uuid

from .control import Control
from .directory import Directory
from .errors import BadRequestError
from .ledger import Ledger
from .shapes import build_settings
from .stores import ObjectStore, Table
from .web import Listener
from .workers import Worker


class Platform:
    """Table service, object store, instance list and workers, each on its own port.

    All listeners run on the gevent hub of the thread that calls `start`; callers in that thread
    must use cooperative input and output.

    Parameters
    ----------
    settings : PlatformSettings or None
        None for the ``authority`` deployment.
    """

    def __init__(self, settings=None):
        self.settings = settings or build_settings("authority")
        self.ledger = Ledger(self.settings.record_executions)
        self.directory = Directory(self.settings.list_lag_seconds)
        self.table = Table(self.settings.table, self.ledger)
        self.objects = ObjectStore()
        self.services = {
            "table": self.table,
            "objects": self.objects,
            "instances": self.directory,
        }
        self.workers = {}
        self.control = Control(self)
        self.listeners = {}

    def start(self):
        """Start all listeners and return their addresses."""
        for name, service in self.services.items():
            self._listen(name, self._route(name, service))
        self._listen("control", self.control.respond)
        for _ in range(self.settings.workers.count):
            self.add_worker(visible_now=True)
        return self.describe_addresses()

    def stop(self):
        """End all tasks and close every listener."""
        for worker in self.workers.values():
            worker.close("platform_stopped")
        for service in self.services.values():
            service.faults.clear()
        for listener in self.listeners.values():
            listener.close_all()

    def _listen(self, name, respond):
        self.listeners[name] = Listener(respond)
        self.listeners[name].start()

    def _route(self, name, service):
        control = self.control.bind(name)

        def respond(request):
            if request.path.startswith("/control/"):
                return control(request)
            return service.respond(request)

        return respond

    def add_worker(self, id="", zone="", rack="", visible_now=False):  # noqa: A002
        """Add a worker; omitted values come from the settings of the deployment."""
        worker_settings = self.settings.workers
        number = len(self.workers)
        rack_number = number // worker_settings.per_rack
        id = id or f"w-{number + 1:02d}"  # noqa: A001
        if id in self.workers:
            raise BadRequestError("id", f"worker {id!r} already exists")
        has_accelerators = (
            worker_settings.accelerator_every and number % worker_settings.accelerator_every == 0
        )
        zone = zone or worker_settings.zones[rack_number % len(worker_settings.zones)]
        entry = {
            "id": id,
            "incarnation": f"{id}-{uuid.uuid4().hex[:8]}",
            "role": "worker",
            "state": "live",
            "address": "",
            "zone": zone,
            "rack": rack or f"rack-{rack_number + 1}",
            "capacity": {
                "processors": worker_settings.processors,
                "memory_mb": worker_settings.memory_mb,
                "accelerators": worker_settings.accelerators if has_accelerators else 0,
            },
            "labels": {"accelerator": "true" if has_accelerators else "false"},
        }
        worker = Worker(entry, self.ledger, self.directory, worker_settings, self.control.bind(id))
        worker.open()
        self.workers[id] = worker
        self.directory.register(entry, visible_now)
        return worker

    def inject(self, target, body):
        """Add a fault to a stand-in and return the fault's id."""
        if isinstance(target, Worker):
            return target.inject(body)
        return target.faults.add(body).id

    def describe_addresses(self):
        """Return the addresses of all stand-ins."""
        addresses = {name: listener.location for name, listener in self.listeners.items()}
        workers = {id: worker.listener.location for id, worker in self.workers.items()}
        return {"deployment": self.settings.deployment, **addresses, "workers": workers}

    def describe_ledger(self, sections=()):
        """Return the ledger and the counters of the services.

        Parameters
        ----------
        sections : iterable of str
            Names of the sections and services to return; empty for all.
        """
        report = self.ledger.describe(sections)
        service_counters = {
            "table": self.table.describe(),
            "objects": self.objects.describe(),
            "instances": {"reads": self.directory.reads},
        }
        report.update(
            {
                name: counters
                for name, counters in service_counters.items()
                if not sections or name in sections
            }
        )
        return report
