"""Steps with changes of the configuration."""

import itertools
import json
import signal
import time
import zlib

import gevent
from behave import given, then, when

from features.support.configuration_followers import BOUND_SECONDS, FollowerNetwork, RandomCuts
from features.support.queue_processes import START_SECONDS
from lavenderhook._internal.instance.configuration import WAIT_SECONDS
from lavenderhook._internal.instance.content_encoding import ContentEncoding
from lavenderhook._internal.instance.peers import ConfigurationContent, ConfigurationStatus
from lavenderhook.errors import ProtocolError, TransportError

NESTING = 100_000
RECOVERY_SECONDS = 7.0  # within which the newest version is in force after the outages
UNREADABLE = {
    "not JSON": b'{"version":2,',
    "deeply nested": b'{"version":2,"more":' + b"[" * NESTING + b"]" * NESTING + b',"routes":[]}',
    "without routes": b'{"version":2,"routes":null}',
}


@when("the store's mode towards instances {first:d} and {second:d} becomes {mode:w}")
def step_turn_away(context, first, second, mode):
    for index in (first, second):
        context.cluster.entries[index].store_endpoint.mode = mode


@when('version {version:d} adds "{prefix}" and a route "{odd}" whose {field:w} is {value}')
def step_odd_route(context, version, prefix, odd, field, value):
    platform = context.cluster.platform
    routes = platform.make_routes(["/jobs/", prefix, odd])
    encoded = [json.dumps(route) for route in routes[:2]]
    rest = json.dumps({name: part for name, part in routes[2].items() if name != field})
    encoded.append(f'{rest[:-1]},"{field}":{value}}}')
    text = f'{{"version":{version},"routes":[{",".join(encoded)}]}}'
    platform.store.put("op", "config", text.encode())


@when("version 2 of the configuration is {content}")
def step_unreadable_version(context, content):
    context.cluster.platform.store.put("op", "config", UNREADABLE[content])


@when("the configuration is deleted and the instance is killed and started again")
def step_restart_without_configuration(context):
    cluster = context.cluster
    cluster.platform.store.delete("op", "config")
    entry = cluster.entries[0]
    entry.send(signal.SIGKILL)
    entry.wait(2)
    entry.start()
    until = time.monotonic() + START_SECONDS
    while True:
        try:
            cluster.call(0, "GET", "/")
            break
        except TransportError:
            assert time.monotonic() < until, "the instance does not answer"
            gevent.sleep(0.05)
    gevent.sleep(0.5)  # for its read of the configuration


def wait_for_statuses(context, call, status, seconds):
    """Call every instance until each has answered once with a status."""
    until = time.monotonic() + seconds
    waiting = set(range(len(context.cluster.entries)))
    found = {}
    while waiting and time.monotonic() < until:
        for index in sorted(waiting):
            found[index] = call(index).status
            if found[index] == status:
                waiting.discard(index)
        gevent.sleep(0.05)
    assert not waiting, found


@then('every instance answers a GET of "{path}" with {status:d} within {seconds:f} seconds')
def step_all_answer(context, path, status, seconds):
    wait_for_statuses(
        context, lambda index: context.cluster.call(index, "GET", path), status, seconds
    )


@then('every instance answers submissions to "{prefix}" with {status:d} within {seconds:f} seconds')
def step_all_accept(context, prefix, status, seconds):
    numbers = itertools.count(1)
    steps = [{"count": 1, "cpu": 1000, "memMb": 100, "estimateMs": 100}]
    name = zlib.crc32(f"{prefix}{status}".encode())

    def submit(index):
        return context.cluster.submit(index, f"{name:08x}{next(numbers):08x}", steps, prefix)

    wait_for_statuses(context, submit, status, seconds)


@then('a GET of "{path}" is refused with {status:d} and a Retry-After')
def step_refused_read(context, path, status):
    answer = context.cluster.call(0, "GET", path)
    assert answer.status == status, answer
    assert int(answer.get_header("retry-after") or 0) >= 1, answer


def start_followers(context, names):
    """Start followers and register their clean-up."""
    context.network = FollowerNetwork(names)
    context.add_cleanup(context.network.stop)
    gevent.sleep(0.05)


@given("followers a, b, c, d that each reach their neighbours only")
def step_chain(context):
    start_followers(context, "abcd")
    context.network.links = {frozenset(pair) for pair in ("ab", "bc", "cd")}


@given("followers a, b, c that all reach each other")
def step_followers(context):
    start_followers(context, "abc")


@when("only {name:w} reaches the store")
def step_only_one_reaches(context, name):
    for other, source in context.network.sources.items():
        source.is_reachable = other == name


@when("no follower reaches the store")
def step_none_reaches(context):
    for source in context.network.sources.values():
        source.is_reachable = False


@when("{name:w} is started again while its reads are stale with version {version:d}")
def step_restart_follower(context, name, version):
    context.network.sources[name].stale_version = version
    context.network.restart(name)


@when("the link between {one:w} and {other:w} is cut")
def step_cut(context, one, other):
    context.network.links.discard(frozenset((one, other)))


@when("the operator writes version {version:d}")
def step_write_version(context, version):
    context.network.write(version)


class StubPeer:
    """Peer that answers with one status and one content; None stands for an unknown call."""

    def __init__(self, status, content=b"", encoding=ContentEncoding.PLAIN):
        self.status = status
        self.content = ConfigurationContent(content, encoding)

    def get_status(self):
        """Return the status."""
        if self.status is None:
            raise ProtocolError("the peer answered with 404")
        return self.status

    def get_content(self, _request):
        """Return the content."""
        return self.content


PEERS = {
    "a peer of an older build": StubPeer(None),
    "a peer that has just started": StubPeer(ConfigurationStatus(0, float("inf"))),
    "a peer with malformed content": StubPeer(ConfigurationStatus(99, 0.0), b"{"),
    "a peer that sends an old one": StubPeer(ConfigurationStatus(99, 0.0), b"1"),
    "a peer with too much content": StubPeer(ConfigurationStatus(99, 0.0), b"9" * 1_000_001),
    "a peer with bad compression": StubPeer(
        ConfigurationStatus(99, 0.0), b"99", ContentEncoding.ZLIB
    ),
    "a peer with cut compression": StubPeer(
        ConfigurationStatus(99, 0.0), zlib.compress(b"99")[:-4], ContentEncoding.ZLIB
    ),
    "a peer that expands too much": StubPeer(
        ConfigurationStatus(99, 0.0), zlib.compress(b"9" * 1_000_001), ContentEncoding.ZLIB
    ),
}


@when("a decodes plain content only")
def step_plain_only(context):
    context.network.clients["a"].encodings = ()


@when("b is {kind}")
def step_peer_kind(context, kind):
    context.network.peers["b"] = PEERS[kind]


def wait_for_version(context, names, version, seconds):
    """Wait until followers have a version."""
    until = time.monotonic() + seconds
    followers = [context.network.followers[name] for name in names]
    while time.monotonic() < until:
        if all(follower.get_version() == version for follower in followers):
            return
        gevent.sleep(0.02)
    raise AssertionError([follower.get_version() for follower in followers])


@then("all followers have version {version:d} within {seconds:f} seconds")
def step_all_have(context, version, seconds):
    wait_for_version(context, context.network.followers, version, seconds)


@then("follower {name:w} has version {version:d} within {seconds:f} seconds")
def step_one_has(context, name, version, seconds):
    wait_for_version(context, [name], version, seconds)


@then("the confirmation of {name:w} stays younger than {seconds:f} seconds")
def step_confirmed(context, name, seconds):
    until = time.monotonic() + 2.0
    while time.monotonic() < until:
        age = context.network.followers[name].measure_age()
        assert age <= seconds, age
        gevent.sleep(0.05)


@then("the confirmations of a and b are older than {seconds:f} seconds")
def step_unconfirmed(context, seconds):
    ages = {name: context.network.followers[name].measure_age() for name in "ab"}
    assert min(ages.values()) > seconds, ages


@then('follower {name:w} has logged "{event}"')
def step_follower_logged(context, name, event):
    assert any(found[:2] == (name, event) for found in context.network.events)


@then("each follower has called peers at most {count:d} times")
def step_few_calls(context, count):
    calls = {name: client.calls for name, client in context.network.clients.items()}
    assert all(0 < number <= count for number in calls.values()), calls


@when(
    "the store loses its history while version {version:d} is written, "
    "and reads are stale for {seconds:f} seconds"
)
def step_lose_history(context, version, seconds):
    network = context.network
    context.early_denials = []
    for source in network.sources.values():
        source.stale_version = network.version
        source.has_lost_history = True
    # A wait that has begun ends before the history is lost.
    gevent.sleep(WAIT_SECONDS + 0.3)
    network.write(version)
    until = time.monotonic() + seconds
    while time.monotonic() < until:
        gevent.sleep(0.05)
        if time.monotonic() > until - seconds + BOUND_SECONDS:
            context.early_denials += [
                name
                for name, follower in network.followers.items()
                if follower.get_version() < version and follower.can_deny_unknown()
            ]
    for source in network.sources.values():
        source.stale_version = None


@then("no follower denied a queue before it had version 2")
def step_no_denials(context):
    assert not context.early_denials, context.early_denials


@when("no watch is answered any longer")
def step_lose_watches(context):
    gevent.sleep(WAIT_SECONDS + 0.05)
    for source in context.network.sources.values():
        source.loses_watches = True
    # The change is written while each follower waits for an answer that will not come.
    gevent.sleep(WAIT_SECONDS + 0.3)


@when(
    "the watch of {name:w} goes silent while version {version:d} is written, "
    "which takes {seconds:f} seconds to arrive"
)
def step_lose_one_watch(context, name, version, seconds):
    network = context.network
    source = network.sources[name]
    network.links.clear()  # no peer sends the version
    gevent.sleep(WAIT_SECONDS)
    source.loses_watches, source.transfer_seconds = True, seconds
    gevent.sleep(WAIT_SECONDS)
    source.loses_watches = False  # that of the watch in progress
    network.write(version)


@then("the store has sent version {version:d} to {name:w} once")
def step_one_copy(context, version, name):
    gevent.sleep(WAIT_SECONDS)
    assert context.network.sources[name].copies[version] == 1


@when("{count:d} networks have random outages for {seconds:d} seconds")
def step_random_outages(context, count, seconds):
    runs = [gevent.spawn(RandomCuts(seed, seconds).run, RECOVERY_SECONDS) for seed in range(count)]
    gevent.joinall(runs, raise_error=True)
    context.violations = {seed: run.value for seed, run in enumerate(runs) if run.value}


@then("no check failed in any of them")
def step_no_violations(context):
    assert not context.violations, {seed: v[:3] for seed, v in context.violations.items()}
