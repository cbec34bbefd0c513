"""Steps with instances on links of little bandwidth."""

import shutil
import tempfile
import time
from pathlib import Path

import gevent
from behave import given, then, when

from features.support.partitioned_cluster import PartitionedCluster
from features.support.thin_link import ThinLink
from lavenderhook._internal.instance.table_watcher import TableWatcher
from lavenderhook._internal.ports.queueing import STORE_OUTAGE_SECONDS
from lavenderhook._internal.ports.transfers import Transfer
from lavenderhook.errors import LavenderhookError, TransportError
from lavenderhook.platform.store import PlatformStore
from soak.proxy import Mode, Proxy
from standins.queues import RowStoreStandIn

QUERY_INTERVAL_SECONDS = 0.05
MAX_WAIT_SECONDS = 20.0  # for a version that is late, after which the queries end
TABLE = "lavenderhook-work"
UNUSED_SUBMISSION = "00000000000000a4"


@given("{instances:d} entry instances, of which all but the first have links of {mbps:d} Mbit/s")
def step_thin_cluster(context, instances, mbps):
    folder = Path(tempfile.mkdtemp(prefix="thin-"))
    context.add_cleanup(shutil.rmtree, folder, ignore_errors=True)
    context.cluster = PartitionedCluster(folder, instances, workers=1)
    for entry in context.cluster.entries[1:]:
        entry.link_mbps = mbps
    context.add_cleanup(context.cluster.stop)
    context.cluster.start()


class VersionProbe:
    """Measures how long after its write a version is in force at one instance.

    Attributes
    ----------
    seconds : float or None
        None if it was not within `MAX_WAIT_SECONDS`.
    """

    def __init__(self, cluster, index, prefix):
        self._cluster = cluster
        self._index = index
        self._path = prefix + UNUSED_SUBMISSION
        self.seconds = None

    def run(self):
        """Ask for a submission of the queue that the version adds until the queue is known."""
        written_at = time.monotonic()
        while time.monotonic() < written_at + MAX_WAIT_SECONDS:
            asked_at = time.monotonic()
            try:
                status = self._cluster.call(self._index, "GET", self._path).status
            except TransportError as error:
                status = error.code
            if status == 410:
                self.seconds = asked_at - written_at
                return
            gevent.sleep(QUERY_INTERVAL_SECONDS)


@when("{count:d} version with {queues:d} queues more is written")
def step_write_version(context, count, queues):
    write_versions(context, count, queues, 0.0)


@when("{count:d} versions with {queues:d} queues more are written, {seconds:f} seconds apart")
def step_write_versions(context, count, queues, seconds):
    write_versions(context, count, queues, seconds)


def write_versions(context, count, queues, seconds):
    """Write versions that each add a queue, and probe every instance for it."""
    platform = context.cluster.platform
    prefixes = ["/jobs/", *(f"/others{number}/" for number in range(queues))]
    context.probes = {}
    context.revisions = set()
    probes = []
    for version in range(2, count + 2):
        prefixes.append(f"/more{version}/")
        platform.write_configuration(version, prefixes)
        context.revisions.add(platform.store.revision)
        for index in range(len(context.cluster.entries)):
            probe = VersionProbe(context.cluster, index, prefixes[-1])
            context.probes[version, index] = probe
            probes.append(gevent.spawn(probe.run))
        gevent.sleep(seconds)
    gevent.joinall(probes, raise_error=True)


@then("each of them is in force at every instance within {seconds:f} seconds")
def step_in_force(context, seconds):
    late = {
        f"version {version} at instance {index}": probe.seconds
        for (version, index), probe in context.probes.items()
        if probe.seconds is None or probe.seconds > seconds
    }
    assert not late, late


@then("the store has sent no instance more than {count:d} copies of them")
def step_copies(context, count):
    copies = {
        entry.name: sum(
            number
            for (table, _, revision), number in entry.store_endpoint.copies.items()
            if table == "op" and revision in context.revisions
        )
        for entry in context.cluster.entries
    }
    assert max(copies.values()) <= count, copies


@given("a store with {parts:d} parts of {kilobytes:d} KB, behind a link of {mbps:d} Mbit/s")
def step_store_behind_link(context, parts, kilobytes, mbps):
    stand_in = RowStoreStandIn()
    stand_in.listener.start()
    context.add_cleanup(stand_in.listener.close_all)
    context.parts = [f"p{number}" for number in range(parts)]
    for part in context.parts:
        stand_in.put(TABLE, f"row-{part}", bytes(kilobytes * 1000), part)
    context.proxy = Proxy(stand_in.listener.location)
    context.proxy.link = ThinLink(mbps)
    context.proxy.start()
    context.add_cleanup(context.proxy.stop)
    context.store = PlatformStore(context.proxy.location, lambda *_names, **_labels: None)
    context.add_cleanup(context.store.close)


def load_table(context):
    """Read the whole table; return the rows."""
    rows = []
    watcher = TableWatcher(
        context.store, TABLE, rows.append, context.parts, lambda *_names, **_fields: None
    )
    watcher.load()
    return rows


def time_failure(context, call):
    """Record after how many seconds a call fails; None if it does not."""
    started_at = time.monotonic()
    context.failed_after = None
    try:
        call()
    except LavenderhookError:
        context.failed_after = time.monotonic() - started_at


@when("the table is read")
def step_read_table(context):
    context.unanswered_seconds = 0.0
    started_at = time.monotonic()
    reading = gevent.spawn(load_table, context)
    while not reading.dead:
        gevent.sleep(0.02)
        unanswered = context.store.measure_unanswered_seconds()
        context.unanswered_seconds = max(context.unanswered_seconds, unanswered)
    context.rows = reading.get()
    context.read_seconds = time.monotonic() - started_at


@then("all {parts:d} parts are read within {seconds:f} seconds")
def step_all_read(context, parts, seconds):
    assert len(context.rows) == parts, len(context.rows)
    assert context.read_seconds <= seconds, context.read_seconds


@then("the store did not count as unavailable meanwhile")
def step_not_unavailable(context):
    assert context.unanswered_seconds < STORE_OUTAGE_SECONDS, context.unanswered_seconds


@when("the link goes silent while the table is read")
def step_silence(context):
    def go_silent():
        context.proxy.mode = Mode.SILENT

    gevent.spawn_later(0.3, go_silent)
    time_failure(context, lambda: load_table(context))


@when("a response may arrive for {seconds:f} seconds")
def step_slow_response(context, seconds):
    transfer = Transfer(max_seconds=seconds)
    time_failure(
        context,
        lambda: context.store.read(
            TABLE, part=context.parts[0], timeout_seconds=seconds, transfer=transfer
        ),
    )


@then("the read fails within {seconds:f} seconds")
def step_read_fails(context, seconds):
    assert context.failed_after is not None, "it was complete"
    assert context.failed_after <= seconds, context.failed_after


@when("a part is read, and a small call {seconds:f} seconds later is answered before it")
def step_small_call(context, seconds):
    reading = gevent.spawn(context.store.read, TABLE, part=context.parts[0])
    gevent.sleep(seconds)
    context.store.read(TABLE, part="an empty part")
    assert not reading.dead, "it was complete before the small call"
    context.reading = reading


@then("the part is read as a whole")
def step_part_read(context):
    assert len(context.reading.get().rows) == 1
