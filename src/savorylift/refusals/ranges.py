"""Sets of sequence numbers, kept as sorted ranges."""

import bisect
from collections.abc import Iterable

Range = tuple[int, int]  # first number, and the one past the last


class SequenceSet:
    """Numbers of one writer; small while they are mostly consecutive."""

    def __init__(self, ranges: Iterable[Range] = ()) -> None:
        """Starts with `ranges`, which may overlap."""
        self._starts: list[int] = []
        self._ends: list[int] = []
        for start, end in ranges:
            self.add(start, end)

    def __len__(self) -> int:
        """Returns how many numbers are in the set."""
        return sum(self._ends) - sum(self._starts)

    def __contains__(self, number: int) -> bool:
        """Returns True if `number` is in the set."""
        index = bisect.bisect_right(self._starts, number) - 1
        return index >= 0 and number < self._ends[index]

    def ranges(self) -> tuple[Range, ...]:
        """Returns the set as sorted ranges with gaps between them."""
        return tuple(zip(self._starts, self._ends, strict=True))

    def add(self, start: int, end: int) -> int:
        """Adds the numbers of a range; returns how many were new."""
        if end <= start:
            return 0
        low = bisect.bisect_left(self._ends, start)
        high = bisect.bisect_right(self._starts, end)
        known = sum(
            max(0, min(end, self._ends[i]) - max(start, self._starts[i]))
            for i in range(low, high)
        )
        if low < high:
            first = min(start, self._starts[low])
            last = max(end, self._ends[high - 1])
        else:
            first, last = start, end
        self._starts[low:high] = [first]
        self._ends[low:high] = [last]
        return end - start - known

    def add_all(self, ranges: Iterable[Range]) -> int:
        """Adds several ranges; returns how many numbers were new."""
        return sum(self.add(start, end) for start, end in ranges)

    def without(self, other: "SequenceSet") -> "SequenceSet":
        """Returns the numbers that are not in `other`."""
        left = SequenceSet()
        for start, end in self.ranges():
            index = bisect.bisect_right(other._ends, start)
            at = start
            while index < len(other._starts) and at < end:
                left.add(at, min(end, other._starts[index]))
                at = max(at, other._ends[index])
                index += 1
            left.add(at, end)
        return left
