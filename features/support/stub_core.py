"""Instances with a reducer whose decisions on requests are fixed."""

import json

from lavenderhook._internal.core.effects import (
    AnswerCaller,
    Completed,
    DispatchToUpstream,
    ForwardToPeer,
    NotRun,
    NotRunReason,
    Unknown,
    UnknownReason,
)
from lavenderhook._internal.core.events import (
    PeerAnswered,
    PeerFailed,
    PeerOutcome,
    RequestArrived,
    UpstreamAnswered,
    UpstreamFailed,
)
from lavenderhook._internal.core.reducer import reduce
from lavenderhook._internal.daemon.logs import discard_default_sink
from lavenderhook._internal.daemon.main import Daemon
from lavenderhook._internal.daemon.settings import parse_settings

SETTINGS = """
[instance]
name = "{name}"
availability_zone = "hobart-a"
listen = "{listen}"
[peers]
seeds = {seeds}
credential = "secret-of-peers"
[platform]
table = "{table}"
objects = "127.0.0.1:1"
instances = "127.0.0.1:1"
[limits]
body_bytes = 100000
header_bytes = 8192
line_bytes = 4096
read_seconds = 0.5
[operators]
ann = "token-of-ann"
[callers.desk]
token = "token-of-desk"
team = "maps"
[logging]
level = "error"
file = "/dev/null"
"""
UNUSED_ADDRESS = "127.0.0.1:1"  # nothing listens on this port

# The fixed behaviour replaces the request plane, which would answer these as well.
REQUEST_EVENTS = (RequestArrived, UpstreamAnswered, UpstreamFailed, PeerAnswered, PeerFailed)

PEER_OUTCOMES = {
    PeerOutcome.COMPLETED: Completed(),
    PeerOutcome.NOT_RUN: NotRun(reason=NotRunReason.NO_UPSTREAM),
    PeerOutcome.UNKNOWN: Unknown(reason=UnknownReason.PEER_LOST),
}


class StubCore:
    """The real reducer, with requests decided by a fixed behaviour.

    Parameters
    ----------
    behaviour : str
        ``refuse`` answers not-run, ``ignore`` nothing, ``fail`` raises, ``dispatch`` sends to
        `upstream`, ``forward`` to `peer` (incarnation, address).
    """

    def __init__(self, behaviour, upstream="", peer=("", "")):
        self.behaviour = behaviour
        self.upstream = upstream
        self.peer = peer
        self.events = []

    def list_events(self, event_type):
        """Return the events of a type so far."""
        return [event for event in self.events if isinstance(event, event_type)]

    def reduce(self, state, event):
        """Reduce an event and record it."""
        self.events.append(event)
        if isinstance(event, REQUEST_EVENTS):
            return tuple(self.decide(event))
        return reduce(state, event)

    def decide(self, event):
        """Return the effects of the fixed behaviour."""
        if isinstance(event, RequestArrived):
            return self.route(event.head)
        outcome = None
        if isinstance(event, UpstreamAnswered):
            outcome = Completed(upstream_id=event.upstream_id)
        elif isinstance(event, UpstreamFailed | PeerFailed):
            reason = UnknownReason.CONNECTION_LOST
            outcome = Unknown(reason=reason) if event.sent else NotRun(reason=NotRunReason.NOT_SENT)
        elif isinstance(event, PeerAnswered):
            outcome = PEER_OUTCOMES[event.outcome]
        return [] if outcome is None else [AnswerCaller(ticket=event.ticket, outcome=outcome)]

    def route(self, head):
        """Return the effects of an arrival."""
        if self.behaviour == "fail":
            raise ValueError("a fault in the reducer")
        if self.behaviour == "ignore":
            return []
        if self.behaviour == "forward" and head.forwarded_by is None:
            incarnation, address = self.peer
            return [
                ForwardToPeer(
                    ticket=head.ticket, peer=incarnation, address=address, deadline=head.deadline
                )
            ]
        if self.behaviour == "dispatch":
            return [
                DispatchToUpstream(
                    ticket=head.ticket,
                    request_id=head.request_id,
                    upstream_id="upstream-1",
                    address=self.upstream,
                    deadline=head.deadline,
                )
            ]
        outcome = NotRun(reason=NotRunReason.NO_SERVICE)
        return [AnswerCaller(ticket=head.ticket, outcome=outcome)]


def start_instance(context, core, *, name="entry-1", seeds=(), listen="127.0.0.1:0"):
    """Start an instance in this process and stop it after the scenario."""
    text = SETTINGS.format(
        name=name, seeds=json.dumps(list(seeds)), listen=listen, table=UNUSED_ADDRESS
    )
    discard_default_sink()
    daemon = Daemon(parse_settings("entry.toml", text), core.reduce)
    daemon.start()
    context.add_cleanup(daemon.stop)
    return daemon
