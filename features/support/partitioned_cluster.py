"""Entry instances in availability zones that can be cut off from one another and from the store."""

import sys

from .queue_processes import EntryCluster, EntryProcess

PROGRAM = "features.support.partitioned_process"


class PartitionedEntry(EntryProcess):
    """An entry instance whose connections to some addresses go silent."""

    def __init__(self, cluster, name):
        super().__init__(cluster, name)
        self.partition = cluster.folder / f"{name}.partition"
        self.partition.touch()

    def make_command(self):
        """Return the command of the process."""
        return [sys.executable, "-m", PROGRAM, str(self.partition)]

    def cut_off(self, addresses):
        """Let no packets reach these addresses, and those only, from now on."""
        replacement = self.partition.with_suffix(".new")
        replacement.write_text("\n".join(addresses), encoding="utf-8")
        replacement.replace(self.partition)

    def get_peer_address(self):
        """Return the address at which peers call the instance."""
        return f"127.0.0.1:{self.internal_port}"


class PartitionedCluster(EntryCluster):
    """Cluster whose network can be parted in two, with the store in the second part."""

    def __init__(self, folder, instances, workers, seed=1):
        super().__init__(folder, instances, workers, seed, entry_class=PartitionedEntry)

    def cut_off(self, entries, workers):
        """Cut instances and workers off from all others and from the store, in silence."""
        outside_workers = [w for w in self.platform.workers if w not in workers]
        outside_entries = [e for e in self.entries if e not in entries]
        for entry in entries:
            entry.cut_off(
                [entry.store_address]
                + [w.listener.location for w in outside_workers]
                + [e.get_peer_address() for e in outside_entries]
            )
        for entry in outside_entries:
            entry.cut_off(
                [w.listener.location for w in workers] + [e.get_peer_address() for e in entries]
            )

    def heal(self):
        """End the partition."""
        for entry in self.entries:
            entry.cut_off([])
