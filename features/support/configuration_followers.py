"""Followers of the configuration in one process, with links that can be cut."""

import collections
import random
import time

import gevent
import gevent.event

from lavenderhook._internal.instance.configuration import WAIT_SECONDS, ConfigurationFollower
from lavenderhook._internal.instance.content_encoding import ContentEncoding, decode_content
from lavenderhook._internal.instance.peers import ConfigurationRequest
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
    transfer_seconds : float
        How long a version takes to arrive.
    copies : collections.Counter
        How often each version was sent.
    """

    def __init__(self, network):
        self.network = network
        self.is_reachable = True
        self.has_lost_history = False
        self.loses_watches = False
        self.stale_version = None
        self.transfer_seconds = 0.0
        self.copies = collections.Counter()

    def _check(self):
        if not self.is_reachable:
            raise StoreUnavailableError("turned away")

    def _send(self, transfer):
        newest = self.network.version
        version = self.stale_version or newest
        self.copies[version] += 1
        until = time.monotonic() + self.transfer_seconds
        while time.monotonic() < until:
            transfer.record(1)
            gevent.sleep(0.05)
        return ConfigurationChange(newest, QueueRoutes(version, ()), b"%d" % version, version)

    def read(self, transfer):
        """Return the version that the operator has written last."""
        self._check()
        return self._send(transfer)

    def wait_for_changes(self, after, wait_seconds, transfer):
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
        return self._send(transfer)

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
        self.encodings = (ContentEncoding.ZLIB.value,)

    def _find(self, address):
        self.calls += 1
        gevent.sleep(0.005)
        if frozenset((self.name, address)) not in self.network.links:
            raise TransportError(f"{address} is cut off", sent=True)
        return self.network.peers[address]

    def request_configuration_status(self, address):
        """Return the version of a peer."""
        return self._find(address).get_status()

    def request_configuration(self, address, transfer):
        """Return the content of a peer's configuration."""
        response = self._find(address).get_content(ConfigurationRequest(self.encodings))
        return decode_content(response.content, response.encoding)


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
        self.names = names
        self.loops = {}
        for name in names:
            self._spawn_loops(name)

    def _spawn_loops(self, name):
        self.loops[name] = [gevent.spawn(loop) for loop in self.followers[name].list_loops()]

    def restart(self, name):
        """Replace a follower by one that knows nothing."""
        gevent.killall(self.loops[name])
        self.followers[name] = self.peers[name] = self._make_follower(name, self.names)
        self._spawn_loops(name)

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
        gevent.killall([loop for loops in self.loops.values() for loop in loops])


class RandomCuts:
    """Random outages and writes in one network, with checks that hold at every moment.

    Parameters
    ----------
    seed : int
    seconds : float
        Duration of the faults.
    """

    CHECK_SECONDS = 0.01
    NAMES = "abcd"

    def __init__(self, seed, seconds):
        self.network = FollowerNetwork(self.NAMES)
        self.violations = []
        self._random = random.Random(seed)
        self._seconds = seconds
        self._written_at = {1: time.monotonic()}
        self._highest = dict.fromkeys(self.NAMES, 0)

    def run(self, recovery_seconds):
        """Inject faults, end them, and check that all followers have the newest version in time."""
        checks = gevent.spawn(self._check_loop)
        try:
            until = time.monotonic() + self._seconds
            while time.monotonic() < until:
                gevent.sleep(self._random.uniform(0.05, 0.6))
                self._random.choice(
                    [self._write, self._write, self._cut_links, self._turn_away, self._lose_history]
                )()
            self._lose_history()
            self._write()
            gevent.sleep(WAIT_SECONDS)  # the stale reads come after the change
            self._end_faults()
            gevent.sleep(recovery_seconds)
            versions = {n: f.get_version() for n, f in self.network.followers.items()}
            if set(versions.values()) != {self.network.version}:
                self.violations.append(f"{versions} after all faults, not {self.network.version}")
        finally:
            checks.kill()
            self.network.stop()
        return self.violations

    def _write(self):
        version = self.network.version + self._random.randrange(1, 4)
        self.network.write(version)
        self._written_at[version] = time.monotonic()

    def _cut_links(self):
        self.network.links = {
            frozenset((one, other))
            for one in self.NAMES
            for other in self.NAMES
            if self._random.random() < 0.6
        }

    def _turn_away(self):
        for source in self.network.sources.values():
            source.is_reachable = self._random.random() < 0.5
            source.loses_watches = self._random.random() < 0.2

    def _lose_history(self):
        """Let reads be stale after a lost history, for less long than the code allows for."""
        version = self.network.version
        share = self._random.choice([0.5, 1.0])
        for source in self.network.sources.values():
            if self._random.random() < share:
                source.has_lost_history = True
                source.stale_version = version
        gevent.spawn_later(self._random.uniform(0.2, 1.5), self._end_staleness, version)

    def _end_staleness(self, version):
        for source in self.network.sources.values():
            if source.stale_version == version:
                source.stale_version = None

    def _end_faults(self):
        self.network.links = {frozenset((a, b)) for a in self.NAMES for b in self.NAMES}
        for source in self.network.sources.values():
            source.is_reachable, source.loses_watches = True, False
            source.stale_version = None

    def _check_loop(self):
        while True:
            gevent.sleep(self.CHECK_SECONDS)
            now = time.monotonic()
            due = max(
                (v for v, at in self._written_at.items() if at < now - BOUND_SECONDS), default=0
            )
            for name, follower in self.network.followers.items():
                version = follower.get_version()
                if version < self._highest[name]:
                    self.violations.append(f"{name} went back to {version}")
                self._highest[name] = version
                if version < due and follower.can_deny_unknown():
                    self.violations.append(f"{name} denies queues of {due} by version {version}")
