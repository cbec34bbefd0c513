"""Followers of the configuration in one process, with links that can be cut."""

import gevent
import gevent.event

from lavenderhook._internal.instance.configuration import ConfigurationFollower
from lavenderhook._internal.ports.queueing import (
    ConfigurationChange,
    HistoryLostError,
    QueueConfiguration,
)
from lavenderhook._internal.queueing.routes import QueueRoutes
from lavenderhook.errors import ProtocolError, StoreUnavailableError, TransportError
from lavenderhook.platform.store import WATCH_TIMEOUT_MARGIN_SECONDS

BOUND_SECONDS = 2.0


class StubConfiguration(QueueConfiguration):
    """The store as one instance reaches it; the content of a configuration is its version.

    Attributes
    ----------
    has_lost_history : bool
        The next watch finds its history lost.
    stale_version : int or None
        Version that reads return with the newest revision.
    loses_watches : bool
        No call that waits for changes is answered.
    """

    def __init__(self, network):
        self.network = network
        self.is_reachable = True
        self.has_lost_history = False
        self.loses_watches = False
        self.stale_version = None

    def _check(self):
        if not self.is_reachable:
            raise StoreUnavailableError("turned away")

    def _describe(self):
        newest = self.network.version
        version = self.stale_version or newest
        return ConfigurationChange(newest, QueueRoutes(version, ()), b"%d" % version, version)

    def read(self):
        """Return the version that the operator has written last."""
        self._check()
        return self._describe()

    def wait_for_changes(self, after, wait_seconds):
        """Return a newer version, or nothing after the wait."""
        self._check()
        if self.has_lost_history:
            self.has_lost_history = False
            raise HistoryLostError
        if self.loses_watches:
            gevent.sleep(wait_seconds + WATCH_TIMEOUT_MARGIN_SECONDS)
            raise StoreUnavailableError("no complete response at the deadline")
        if self.network.version <= after:
            self.network.changed.wait(wait_seconds)
        self._check()
        if self.network.version <= after:
            return ConfigurationChange(after, has_waited=True)
        return self._describe()

    def decode(self, content):
        """Return the configuration with this content."""
        try:
            return QueueRoutes(int(content), ())
        except ValueError as error:
            raise ProtocolError(f"malformed configuration {content!r}") from error


class StubPeerClient:
    """Calls of one instance to the others."""

    def __init__(self, network, name):
        self.network = network
        self.name = name
        self.calls = 0

    def _find(self, address):
        self.calls += 1
        gevent.sleep(0.005)
        if frozenset((self.name, address)) not in self.network.links:
            raise TransportError(f"{address} is cut off", sent=True)
        return self.network.peers[address]

    def request_configuration_status(self, address):
        """Return the version of a peer."""
        return self._find(address).get_status()

    def request_configuration(self, address):
        """Return the content of a peer's configuration."""
        return self._find(address).get_content()


class FollowerNetwork:
    """Instances that follow one configuration.

    Attributes
    ----------
    links : set of frozenset
        Pairs of instances that reach each other.
    peers : dict
        By name: followers, or stubs of peers that behave otherwise.
    """

    def __init__(self, names):
        self.version = 1
        self.changed = gevent.event.Event()
        self.stopped = gevent.event.Event()
        self.events = []
        self.links = {frozenset((one, other)) for one in names for other in names}
        self.sources = {name: StubConfiguration(self) for name in names}
        self.clients = {name: StubPeerClient(self, name) for name in names}
        self.followers = {name: self._make_follower(name, names) for name in names}
        self.peers = dict(self.followers)
        self.loops = [
            gevent.spawn(loop)
            for follower in self.followers.values()
            for loop in follower.list_loops()
        ]

    def _make_follower(self, name, names):
        return ConfigurationFollower(
            self.sources[name],
            BOUND_SECONDS,
            peer_client=self.clients[name],
            list_peers=lambda: [other for other in names if other != name],
            stopped=self.stopped,
            log_event=lambda event, **fields: self.events.append((name, event, fields)),
        )

    def write(self, version):
        """Write a version as the operator does."""
        self.version = version
        self.changed.set()
        self.changed.clear()

    def stop(self):
        """End all loops."""
        self.stopped.set()
        gevent.killall(self.loops)
