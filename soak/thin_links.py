"""Series of large configurations while links to the store are thin."""

import gevent

from features.support.thin_link import ThinLink

PAUSE_SECONDS = (2.0, 8.0)
LINK_MBPS = 5.0  # one large version takes over half a second
LARGE_QUEUES = 1400
VERSIONS = (3, 6)
VERSION_INTERVAL_SECONDS = (0.3, 1.2)


class ThinLinkInjector:
    """Narrow the links of some instances to the store, and write large versions in series.

    Parameters
    ----------
    soak : soak.run.Soak
    generator : random.Random
    """

    def __init__(self, soak, generator):
        self._soak = soak
        self._random = generator

    def run(self, faults):
        """Inject faults until the greenlet is killed.

        Parameters
        ----------
        faults : soak.faults.RandomFaultInjector
        """
        while True:
            gevent.sleep(self._random.uniform(*PAUSE_SECONDS))
            faults.inject(
                self._write_series, self._random.uniform(*VERSION_INTERVAL_SECONDS)
            ).join()

    def _write_series(self, interval_seconds):
        proxies = self._soak.store_proxies
        chosen = self._random.sample(proxies, self._random.randrange(1, len(proxies)))
        for proxy in chosen:
            proxy.link = ThinLink(LINK_MBPS)
        self._soak.extra_queues = LARGE_QUEUES
        for _ in range(self._random.randint(*VERSIONS)):
            if self._soak.faults_ended.is_set():
                break
            self._soak.change_configuration()
            gevent.sleep(interval_seconds)
        self._soak.extra_queues = 0
        self._soak.change_configuration()
        gevent.sleep(interval_seconds)
        for proxy in chosen:
            proxy.link = None
