"""Refusals on their way to the log: rows, and counts once rows have no room."""

from collections.abc import Iterable

from savorylift.refusals.messages import CountLine, LineKey, Row
from savorylift.refusals.ranges import Range, SequenceSet

MINUTE_MS = 60_000


class PendingRefusals:
    """Refusals of one node, each under its sequence number.

    Holds at most `max_rows` rows; older ones are only counted, by team,
    reason and minute, but keep their sequence numbers.
    """

    def __init__(self, max_rows: int) -> None:
        """Starts empty."""
        self._max_rows = max_rows
        self._rows: dict[int, Row] = {}
        self._lines: dict[LineKey, SequenceSet] = {}
        self._counted = 0

    def __len__(self) -> int:
        """Returns how many refusals are held."""
        return len(self._rows) + self._counted

    def first_sequence(self, otherwise: int) -> int:
        """Returns the lowest sequence number held, or `otherwise`."""
        firsts = [lines.ranges()[0][0] for lines in self._lines.values()]
        return min([*self._rows, *firsts], default=otherwise)

    def add_rows(self, rows: Iterable[Row]) -> None:
        """Adds rows, counting the oldest ones if there are too many."""
        for row in rows:
            self._rows[row.sequence] = row
        if len(self._rows) <= self._max_rows:
            return
        for sequence in sorted(self._rows)[: self._max_rows // 2]:
            row = self._rows.pop(sequence)
            self._count(minute_key(row), ((sequence, sequence + 1),))

    def add_lines(self, lines: Iterable[CountLine]) -> None:
        """Adds counted refusals."""
        for line in lines:
            self._count(line.key, line.sequences)

    def peek(
        self, max_rows: int, max_lines: int
    ) -> tuple[tuple[Row, ...], tuple[CountLine, ...]]:
        """Returns the oldest rows and lines."""
        picked = sorted(self._rows)[:max_rows]
        rows = tuple(self._rows[sequence] for sequence in picked)
        lines = tuple(
            CountLine(key, numbers.ranges())
            for key, numbers in list(self._lines.items())[:max_lines]
        )
        return rows, lines

    def remove(self, sequences: Iterable[Range]) -> None:
        """Removes the refusals with these numbers."""
        gone = SequenceSet(sequences)
        for sequence in [number for number in self._rows if number in gone]:
            del self._rows[sequence]
        for key, numbers in list(self._lines.items()):
            left = numbers.without(gone)
            if len(left):
                self._lines[key] = left
            else:
                del self._lines[key]
        self._counted = sum(map(len, self._lines.values()))

    def _count(self, key: LineKey, sequences: tuple[Range, ...]) -> None:
        numbers = self._lines.setdefault(key, SequenceSet())
        self._counted += numbers.add_all(sequences)


def minute_key(row: Row) -> LineKey:
    """Returns what `row` is counted by."""
    return LineKey(
        row.time_ms - row.time_ms % MINUTE_MS,
        row.team,
        row.ending,
        row.reason,
        row.rule,
        row.asked_by,
    )


def sequences_of(
    rows: Iterable[Row], lines: Iterable[CountLine]
) -> tuple[Range, ...]:
    """Returns the sequence numbers of rows and lines."""
    numbers = SequenceSet((row.sequence, row.sequence + 1) for row in rows)
    for line in lines:
        numbers.add_all(line.sequences)
    return numbers.ranges()
