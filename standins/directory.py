"""Instance list whose readers see changes with a delay."""

import time
from collections import deque

from .errors import BadRequestError
from .faults import FaultInjector, FaultSet
from .web import reply_json

ENTRY_FIELDS = {
    "id": "",
    "incarnation": "",
    "role": "entry",
    "state": "live",
    "address": "",
    "zone": "",
    "rack": "",
    "capacity": {},
    "labels": {},
}
STATES = ("live", "leaving")


class Directory:
    """Instance list; readers see each change ``lag_seconds`` after it is made.

    Parameters
    ----------
    lag_seconds : float
    """

    def __init__(self, lag_seconds):
        self.lag_seconds = lag_seconds
        self.current = {}
        self.visible = {}
        self.pending_changes = deque()
        self.reads = 0
        self.faults = FaultSet(("list",))
        self.fault_injector = FaultInjector(
            self.faults, lambda: reply_json({"error": "unavailable"}, 503)
        )

    def register(self, body, visible_now=False):
        """Add or replace an entry."""
        if not body.get("id"):
            raise BadRequestError("id", "is missing")
        unknown = set(body) - set(ENTRY_FIELDS)
        if unknown:
            raise BadRequestError("entry", f"unknown fields {sorted(unknown)}")
        entry = {**ENTRY_FIELDS, **body}
        if entry["state"] not in STATES:
            raise BadRequestError("state", f"{entry['state']!r} is not one of {STATES}")
        self._change(entry["id"], entry, visible_now)
        return entry

    def set_state(self, instance, state):
        """Set the state of an entry."""
        if instance not in self.current:
            raise BadRequestError("id", f"{instance!r} is not in the list")
        self._change(instance, {**self.current[instance], "state": state}, False)

    def remove(self, instance):
        """Remove an entry; the caller ensures that its process has stopped."""
        self._change(instance, None, False)

    def _change(self, instance, entry, visible_now):
        if entry is None:
            self.current.pop(instance, None)
        else:
            self.current[instance] = entry
        if visible_now:
            self.visible[instance] = entry
        else:
            self.pending_changes.append((time.monotonic(), instance, entry))

    def list_visible(self):
        """Return the entries that are visible to readers now."""
        cutoff = time.monotonic() - self.lag_seconds
        while self.pending_changes and self.pending_changes[0][0] <= cutoff:
            _, instance, entry = self.pending_changes.popleft()
            if entry is None:
                self.visible.pop(instance, None)
            else:
                self.visible[instance] = entry
        return list(self.visible.values())

    def find_zone(self, client):
        """Return the availability zone of an instance, by id or incarnation, or None."""
        entry = self.current.get(client)
        if entry is None:
            matches = (e for e in self.current.values() if e["incarnation"] == client)
            entry = next(matches, None) if client else None
        return entry["zone"] if entry else None

    def respond(self, request):
        """Answer ``GET /v1/instances``."""
        if request.path != "/v1/instances" or request.method != "GET":
            return reply_json({"error": "no such path"}, 404)
        return self.fault_injector.handle_request(request, "list", self._list)

    def _list(self, request):
        self.reads += 1
        return reply_json({"entries": self.list_visible()})
