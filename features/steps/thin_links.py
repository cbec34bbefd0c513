"""Steps with instances on links of little bandwidth."""

import shutil
import tempfile
import time
from pathlib import Path

import gevent
from behave import given, then, when

from features.support.partitioned_cluster import PartitionedCluster
from lavenderhook.errors import TransportError

QUERY_INTERVAL_SECONDS = 0.05
MAX_WAIT_SECONDS = 20.0  # for a version that is late, after which the queries end
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
