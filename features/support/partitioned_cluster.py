"""Entry instances in availability zones that can be cut off from one another and from the store."""

import dataclasses
import enum
import sys

from .queue_processes import EntryCluster, EntryProcess

PROGRAM = "features.support.partitioned_process"


class PartitionedEntry(EntryProcess):
    """An entry instance whose connections to some addresses go silent.

    Attributes
    ----------
    link_mbps : float
        Bandwidth, from the next start on, for all that it receives on connections of its own; 0 for
        no limit.
    """

    def __init__(self, cluster, name):
        super().__init__(cluster, name)
        self.link_mbps = 0.0
        self.partition = cluster.folder / f"{name}.partition"
        self.partition.touch()

    def make_command(self):
        """Return the command of the process."""
        return [sys.executable, "-m", PROGRAM, str(self.partition), str(self.link_mbps)]

    def cut_off(self, addresses):
        """Let no packets reach these addresses, and those only, from now on."""
        replacement = self.partition.with_suffix(".new")
        replacement.write_text("\n".join(addresses), encoding="utf-8")
        replacement.replace(self.partition)

    def get_peer_address(self):
        """Return the address at which peers call the instance."""
        return f"127.0.0.1:{self.internal_port}"


class Callers(enum.Enum):
    """Instances whose connections across a cut fail."""

    ALL = "all"
    INSIDE = "inside"
    OUTSIDE = "outside"


@dataclasses.dataclass(frozen=True, eq=False)
class Cut:
    """Instances and workers that are cut off from all others and from the store."""

    entries: tuple
    workers: tuple
    callers: Callers


class PartitionedCluster(EntryCluster):
    """Cluster from which parts can be cut off; the store is outside each of them."""

    def __init__(self, folder, instances, workers, seed=1):
        super().__init__(folder, instances, workers, seed, entry_class=PartitionedEntry)
        self._cuts = []

    def add_entry(self):
        """Return a further instance, at addresses of its own, that is not started."""
        entry = PartitionedEntry(self, f"entry-{len(self.entries)}")
        self.entries.append(entry)
        self._apply_cuts()
        return entry

    def cut_off(self, entries, workers, callers=Callers.ALL):
        """Cut instances and workers off in silence; return the cut, which may overlap others."""
        cut = Cut(tuple(entries), tuple(workers), callers)
        self._cuts.append(cut)
        self._apply_cuts()
        return cut

    def heal(self, cut=None):
        """End a cut, or all of them."""
        self._cuts = [c for c in self._cuts if cut is not None and c is not cut]
        self._apply_cuts()

    def is_cut_off(self, entry):
        """Return whether an instance is inside a cut."""
        return any(entry in cut.entries for cut in self._cuts)

    def _apply_cuts(self):
        for entry in self.entries:
            entry.cut_off({a for cut in self._cuts for a in self._list_unreachable(entry, cut)})

    def _list_unreachable(self, entry, cut):
        is_inside = entry in cut.entries
        if cut.callers is (Callers.OUTSIDE if is_inside else Callers.INSIDE):
            return []
        addresses = [entry.store_address] if is_inside else []
        addresses += [
            worker.get_address()
            for worker in self.platform.workers
            if (worker in cut.workers) is not is_inside
        ]
        addresses += [
            other.get_peer_address()
            for other in self.entries
            if (other in cut.entries) is not is_inside
        ]
        return addresses
