"""Sets of numbers that are kept as ranges."""

from __future__ import annotations

import bisect
from collections.abc import Iterable, Iterator


class NumberRanges:
    """Set of whole numbers whose size in memory is that of its gaps."""

    def __init__(self, numbers: Iterable[int] = ()) -> None:
        self._firsts: list[int] = []  # ascending; no two ranges touch
        self._lasts: list[int] = []
        self._count = 0
        for number in sorted(numbers):
            self._append(number)

    def _append(self, number: int) -> None:
        """Add a number that isn't lower than any of the set."""
        if self._lasts and number <= self._lasts[-1] + 1:
            self._count += number - self._lasts[-1]
            self._lasts[-1] = number
        else:
            self._firsts.append(number)
            self._lasts.append(number)
            self._count += 1

    def __len__(self) -> int:
        return self._count

    def __contains__(self, number: int) -> bool:
        index = bisect.bisect_right(self._firsts, number) - 1
        return index >= 0 and number <= self._lasts[index]

    def __iter__(self) -> Iterator[tuple[int, int]]:
        """Yield the first and the last number of each range, in order."""
        return iter(zip(self._firsts, self._lasts, strict=True))

    def add_range(self, first: int, last: int) -> None:
        """Add the numbers from `first` to `last`, both included."""
        if last < first:
            return
        begin = bisect.bisect_left(self._lasts, first - 1)
        end = bisect.bisect_right(self._firsts, last + 1)
        merged = list(zip(self._firsts[begin:end], self._lasts[begin:end], strict=True))
        if merged:
            first, last = min(first, merged[0][0]), max(last, merged[-1][1])
        self._firsts[begin:end] = [first]
        self._lasts[begin:end] = [last]
        self._count += last - first + 1 - sum(end - start + 1 for start, end in merged)

    def find_missing(self, number: int) -> int:
        """Return the lowest number that isn't in the set and isn't below `number`."""
        index = bisect.bisect_right(self._firsts, number) - 1
        if index >= 0 and number <= self._lasts[index]:
            return self._lasts[index] + 1
        return number
