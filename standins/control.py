"""Control endpoint for faults, instance registrations, settings and the ledger."""

from .errors import UnknownTargetError
from .web import read_float, reply_json

ROOT = "/control/v1/"


class Control:
    """Handler of ``/control/v1/...`` requests on the listeners of a platform.

    Parameters
    ----------
    platform : Platform
    """

    def __init__(self, platform):
        self.platform = platform

    def bind(self, target):
        """Return a request handler whose default target is the given stand-in."""
        return lambda request: self.respond(request, target)

    def respond(self, request, default_target=""):
        """Handle a control request."""
        if not request.path.startswith(ROOT):
            return reply_json({"error": "no such path"}, 404)
        name, _, suffix = request.path.removeprefix(ROOT).partition("/")
        handler = getattr(self, f"_{request.method.lower()}_{name.replace(':', '_')}", None)
        if handler is None:
            return reply_json({"error": "no such path"}, 404)
        return reply_json(handler(request, suffix, default_target))

    def _find_targets(self, names):
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

    def _get_faults(self, request, suffix, default_target):
        names = (
            [default_target]
            if default_target
            else [*self.platform.services, *self.platform.workers]
        )
        return {"faults": {name: self._find_targets(name)[0].faults.describe() for name in names}}

    def _post_faults(self, request, suffix, default_target):
        body = request.read_json()
        targets = self._find_targets(body.get("target", default_target))
        return {"ids": [self.platform.inject(target, body) for target in targets]}

    def _delete_faults(self, request, suffix, default_target):
        names = default_target or [*self.platform.services, *self.platform.workers]
        for target in self._find_targets(request.query.get("target", names)):
            if not suffix:
                target.faults.clear()
            elif suffix in target.faults.faults:
                target.faults.end(target.faults.faults[suffix])
        return {}

    def _get_ledger(self, request, suffix, default_target):
        sections = [name for name in request.query.get("sections", "").split(",") if name]
        return self.platform.describe_ledger(sections)

    def _delete_ledger(self, request, suffix, default_target):
        self.platform.ledger.clear()
        return {}

    def _get_addresses(self, request, suffix, default_target):
        return self.platform.describe_addresses()

    def _get_instances(self, request, suffix, default_target):
        return {"entries": list(self.platform.directory.current.values())}

    def _post_instances(self, request, suffix, default_target):
        return self.platform.directory.register(request.read_json())

    def _post_instances_leaving(self, request, suffix, default_target):
        self.platform.directory.set_state(request.read_json().get("id"), "leaving")
        return {}

    def _delete_instances(self, request, suffix, default_target):
        self.platform.directory.remove(suffix)
        return {}

    def _post_lag(self, request, suffix, default_target):
        self.platform.directory.lag_seconds = read_float(request.read_json(), "seconds")
        return {}

    def _post_rates(self, request, suffix, default_target):
        body = request.read_json()
        table = self.platform.table
        table.set_rates(
            read_float({"writes_per_second": table.write_bucket.rate, **body}, "writes_per_second"),
            read_float({"reads_per_second": table.read_bucket.rate, **body}, "reads_per_second"),
        )
        return {}

    def _post_workers(self, request, suffix, default_target):
        body = request.read_json()
        options = {name: body[name] for name in ("id", "zone", "rack") if name in body}
        return self.platform.add_worker(**options).entry
