"""Bandwidth that connections share."""

import time

import gevent

MAX_SEGMENT_BYTES = 8192  # connections that receive at the same time take turns after each


class ThinLink:
    """Bandwidth that all connections share for what they receive.

    Parameters
    ----------
    mbps : float
        In Mbit/s.
    """

    def __init__(self, mbps):
        self._bytes_per_second = mbps * 1e6 / 8
        self._free_at = 0.0

    def carry(self, count):
        """Wait until the link has carried a number of bytes."""
        now = time.monotonic()
        self._free_at = max(now, self._free_at) + count / self._bytes_per_second
        gevent.sleep(self._free_at - now)
