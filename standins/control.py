"""Control endpoint: faults, instance registrations, settings and the ledger."""

from .errors import UnknownTargetError
from .web import read_float, reply_json

ROOT = "/control/v1/"


class Control:
    """Answers ``/control/v1/...`` on every listener of a platform.

    Parameters
    ----------
    platform : Platform
    """

    def __init__(self, platform):
        self.platform = platform

    def bind(self, target):
        """Return a responder whose requests without a target mean this one."""
        return lambda request: self.respond(request, target)

    def respond(self, request, own_target=""):
        """Answer one control request."""
        if not request.path.startswith(ROOT):
            return reply_json({"error": "no such path"}, 404)
        name, _, rest = request.path.removeprefix(ROOT).partition("/")
        handler = getattr(self, f"_{request.method.lower()}_{name.replace(':', '_')}", None)
        if handler is None:
            return reply_json({"error": "no such path"}, 404)
        return reply_json(handler(request, rest, own_target))

    def _targets(self, names):
        platform = self.platform
        if isinstance(names, str):
            names = [names]
        found = []
        for name in names:
            if name == "workers":
                found.extend(platform.workers.values())
            elif name in platform.workers:
                found.append(platform.workers[name])
            elif name in platform.services:
                found.append(platform.services[name])
            else:
                raise UnknownTargetError(f"no stand-in is named {name!r}")
        return found

    def _get_faults(self, request, rest, own_target):
        names = [own_target] if own_target else [*self.platform.services, *self.platform.workers]
        return {"faults": {name: self._targets(name)[0].faults.describe() for name in names}}

    def _post_faults(self, request, rest, own_target):
        body = request.read_json()
        targets = self._targets(body.get("target", own_target))
        return {"ids": [self.platform.inject(target, body) for target in targets]}

    def _delete_faults(self, request, rest, own_target):
        names = own_target or [*self.platform.services, *self.platform.workers]
        for target in self._targets(request.query.get("target", names)):
            if not rest:
                target.faults.clear()
            elif rest in target.faults.faults:
                target.faults.end(target.faults.faults[rest])
        return {}

    def _get_ledger(self, request, rest, own_target):
        sections = [name for name in request.query.get("sections", "").split(",") if name]
        return self.platform.describe_ledger(sections)

    def _delete_ledger(self, request, rest, own_target):
        self.platform.ledger.clear()
        return {}

    def _get_addresses(self, request, rest, own_target):
        return self.platform.describe_addresses()

    def _get_instances(self, request, rest, own_target):
        return {"entries": list(self.platform.directory.current.values())}

    def _post_instances(self, request, rest, own_target):
        return self.platform.directory.register(request.read_json())

    def _post_instances_leaving(self, request, rest, own_target):
        self.platform.directory.mark(request.read_json().get("id"), "leaving")
        return {}

    def _delete_instances(self, request, rest, own_target):
        self.platform.directory.remove(rest)
        return {}

    def _post_lag(self, request, rest, own_target):
        self.platform.directory.lag_seconds = read_float(request.read_json(), "seconds")
        return {}

    def _post_rates(self, request, rest, own_target):
        body = request.read_json()
        table = self.platform.table
        table.set_rates(
            read_float({"writes_per_second": table.writes.rate, **body}, "writes_per_second"),
            read_float({"reads_per_second": table.reads.rate, **body}, "reads_per_second"),
        )
        return {}

    def _post_workers(self, request, rest, own_target):
        body = request.read_json()
        given = {name: body[name] for name in ("id", "zone", "rack") if name in body}
        return self.platform.add_worker(**given).entry
