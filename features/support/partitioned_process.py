"""Runs an entry instance whose packets to some addresses are lost without an error.

The first argument is the path of a file that holds the addresses (``ip:port``), one a line; it is
read again whenever it changes. The second one is the bandwidth in Mbit/s, 0 for no limit, that
everything the instance receives on connections of its own has to share.
"""

import os
import runpy
import sys

import gevent.socket

from features.support.thin_link import MAX_SEGMENT_BYTES, ThinLink

CHECK_SECONDS = 0.01  # between checks whether a partition has ended


class Partition:
    """The addresses that can't be reached."""

    def __init__(self, path):
        self._path = path
        self._version = None
        self._addresses = frozenset()

    def covers(self, address):
        """Return whether packets to an address (host, port) are lost."""
        status = os.stat(self._path)
        version = status.st_mtime_ns, status.st_ino  # two changes may share a time
        if version != self._version:
            self._version = version
            with open(self._path, encoding="utf-8") as lines:
                self._addresses = frozenset(lines.read().split())
        return f"{address[0]}:{address[1]}" in self._addresses


def make_socket_class(partition, link=None):
    """Return a socket class whose connections go silent in a partition and share a link."""

    class PartitionedSocket(gevent.socket.socket):
        _target = None
        _has_lost_bytes = False

        def connect(self, address):
            if partition.covers(address):
                gevent.sleep(self.gettimeout())
                raise TimeoutError("timed out")
            super().connect(address)
            self._target = address

        def send(self, data, flags=0, **options):  # `sendall` passes a timeout if there is one
            if self._is_cut_off():
                self._has_lost_bytes = True
                return len(data)
            return super().send(data, flags, **options)

        def recv(self, *arguments):
            remaining = self.gettimeout()
            while self._has_lost_bytes or self._is_cut_off():
                if remaining <= 0:
                    raise TimeoutError("timed out")
                gevent.sleep(CHECK_SECONDS)
                remaining -= CHECK_SECONDS
            if link is None:
                return super().recv(*arguments)
            size, *flags = arguments
            data = super().recv(min(size, MAX_SEGMENT_BYTES), *flags)
            link.carry(len(data))
            return data

        def _is_cut_off(self):
            return self._target is not None and partition.covers(self._target)

    return PartitionedSocket


if __name__ == "__main__":
    mbps = float(sys.argv[2])
    gevent.socket.socket = make_socket_class(
        Partition(sys.argv[1]), ThinLink(mbps) if mbps > 0 else None
    )
    runpy.run_module("lavenderhook.platform", run_name="__main__", alter_sys=True)
