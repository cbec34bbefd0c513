"""Queues of waiting requests, ordered by class and then by deadline."""

from __future__ import annotations

import bisect
from collections.abc import Callable, Iterator
from typing import Generic, Protocol, TypeVar

from .identifiers import PriorityClass
from .labels import Labels

LabelKey = tuple[tuple[str, str], ...]


class QueueEntry(Protocol):
    """Attributes of a request that a queue needs."""

    @property
    def sequence(self) -> int:
        """Order of arrival, unique."""

    @property
    def deadline(self) -> float:
        """Absolute time in seconds."""

    @property
    def priority(self) -> PriorityClass:
        """Class of the queue."""

    @property
    def label_key(self) -> LabelKey:
        """The required labels in a fixed order."""

    @property
    def labels(self) -> Labels:
        """The required labels."""


Entry = TypeVar("Entry", bound=QueueEntry)


class ClassQueue(Generic[Entry]):
    """Waiting requests of one class, with one sorted list for each set of required labels.

    Lists are in descending order of deadline, so that the earliest is popped from the end.
    Requests with different labels are in separate lists, so that one that matches no free upstream
    does not block the others.
    """

    __slots__ = ("size", "_lists")

    def __init__(self) -> None:
        self.size = 0
        self._lists: dict[LabelKey, list[tuple[float, int, Entry]]] = {}

    def push(self, entry: Entry) -> None:
        """Add a request."""
        entries = self._lists.setdefault(entry.label_key, [])
        bisect.insort(entries, (-entry.deadline, -entry.sequence, entry))
        self.size += 1

    def remove(self, entry: Entry) -> bool:
        """Remove a request; return whether it was waiting here."""
        entries = self._lists.get(entry.label_key, [])
        index = bisect.bisect_left(entries, (-entry.deadline, -entry.sequence))
        if index >= len(entries) or entries[index][2] is not entry:
            return False
        del entries[index]
        self._record_removed(entry.label_key, entries)
        return True

    def _record_removed(self, key: LabelKey, entries: list[tuple[float, int, Entry]]) -> None:
        self.size -= 1
        if not entries:
            del self._lists[key]

    def count_before(self, deadline: float) -> int:
        """Return how many requests have an earlier deadline."""
        return sum(
            len(entries) - bisect.bisect_right(entries, (-deadline,))
            for entries in self._lists.values()
        )

    def pop_first(self, can_start: Callable[[Labels], bool]) -> Entry | None:
        """Pop the request with the earliest deadline among those that `can_start`."""
        best: tuple[float, int, Entry] | None = None
        for entries in self._lists.values():
            head = entries[-1]
            if (best is None or head[:2] > best[:2]) and can_start(head[2].labels):
                best = head
        if best is None:
            return None
        entries = self._lists[best[2].label_key]
        entries.pop()
        self._record_removed(best[2].label_key, entries)
        return best[2]

    def pop_due(self, is_due: Callable[[Entry], bool]) -> Iterator[Entry]:
        """Pop requests in order of deadline up to the first that is not due."""
        for key in list(self._lists):
            entries = self._lists[key]
            while entries and is_due(entries[-1][2]):
                entry = entries.pop()[2]
                self._record_removed(key, entries)
                yield entry


class ServiceQueue(Generic[Entry]):
    """The queues of one service.

    Parameters
    ----------
    lower_share : float
        Share of the starts that is reserved for lower classes while a higher one waits.
    """

    __slots__ = ("classes", "_lower_share", "_credit")

    def __init__(self, lower_share: float) -> None:
        # The order of the enumeration is the order of precedence.
        self.classes: dict[PriorityClass, ClassQueue[Entry]] = {
            priority: ClassQueue() for priority in PriorityClass
        }
        self._lower_share = lower_share
        self._credit = dict.fromkeys(PriorityClass, 0.0)

    def __len__(self) -> int:
        return sum(queue.size for queue in self.classes.values())

    def push(self, entry: Entry) -> None:
        """Add a request to its class."""
        self.classes[entry.priority].push(entry)

    def remove(self, entry: Entry) -> bool:
        """Remove a request; return whether it was waiting."""
        return self.classes[entry.priority].remove(entry)

    def count_ahead(self, priority: PriorityClass, deadline: float) -> int:
        """Return how many waiting requests precede one of this class and deadline."""
        ahead = 0
        for other, queue in self.classes.items():
            if other is priority:
                return ahead + queue.count_before(deadline)
            ahead += queue.size
        return ahead

    def pop_next(self, can_start: Callable[[Labels], bool]) -> Entry | None:
        """Pop the request that starts next, or return None if none can start."""
        for priority in self._order_classes():
            entry = self.classes[priority].pop_first(can_start)
            if entry is not None:
                return entry
        return None

    def _order_classes(self) -> list[PriorityClass]:
        waiting = [priority for priority, queue in self.classes.items() if queue.size]
        for index, priority in enumerate(waiting[:-1]):
            self._credit[priority] += self._lower_share
            if self._credit[priority] < 1.0:
                return waiting[index:] + waiting[:index]
            self._credit[priority] -= 1.0
        return waiting[-1:] + waiting[:-1]

    def pop_due(self, is_due: Callable[[Entry], bool]) -> Iterator[Entry]:
        """Pop requests in order of deadline up to the first that is not due, in each class."""
        for queue in self.classes.values():
            if queue.size:
                yield from queue.pop_due(is_due)

    def pop_all(self) -> Iterator[Entry]:
        """Pop every request, highest class and earliest deadline first."""
        return self.pop_due(lambda entry: True)
