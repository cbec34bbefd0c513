"""Capacity of workers that changes while they run."""

# A smaller capacity counts once an owner in contact has had this time to learn of it.
NOTICE_SECONDS = 4.5


class ProcessorLimit:
    """Processors of a worker, and how many of them its running tasks may use.

    Parameters
    ----------
    processors : int
        In thousandths of a processor.
    """

    def __init__(self, processors):
        self.processors = processors
        self._former = []  # larger amounts, each with the time at which it was reduced

    def resize(self, processors, now):
        """Change the number of processors."""
        if processors < self.processors:
            self._former.append((now, self.processors))
        self.processors = processors

    def compute(self, now):
        """Return how many processors may be in use after a start."""
        self._former = [(at, former) for at, former in self._former if now - at < NOTICE_SECONDS]
        return max([self.processors, *(former for _, former in self._former)])
