"""How two versions have answered, put together from the counts of nodes."""

import collections
from collections.abc import Iterable, Mapping

from savorylift.fleet.rollout_messages import AnswerCell
from savorylift.rollouts.run_times import FleetRunTimes

# Most cells of all nodes together. Beyond that, the oldest slices stay as they
# have been counted so far.
MAX_CELLS = 30_000

# Random number of the process that counted, number of the slice, whether the
# server is new, its ID and the name of the series.
CellKey = tuple[int, int, bool, str, str]
# Number of a slice, and the name of a series.
SumKey = tuple[int, str]


class Answers:
    """Answers of one version in one series.

    Attributes:
        failed: Answers that are failures of the server.
        lost_by_server: Requests without a whole answer, by server.
        times: Number of durations by class.
        cut: The same for durations that went on for longer, or still do.
    """

    def __init__(self) -> None:
        """Starts without answers."""
        self.failed = 0
        self.lost_by_server: collections.Counter[str] = collections.Counter()
        self.times: collections.Counter[int] = collections.Counter()
        self.cut: collections.Counter[int] = collections.Counter()

    @property
    def answered(self) -> int:
        """Number of answers, those included that have only begun."""
        return self.failed + self.times.total()

    def add_cell(self, cell: AnswerCell, sign: int = 1) -> None:
        """Adds the counts of a cell, or takes them away."""
        self.failed += sign * cell.failed
        if cell.lost:
            self.lost_by_server[cell.server_id] += sign * cell.lost
        for number, count in cell.times:
            self.times[number] += sign * count
        for number, count in cell.cut:
            self.cut[number] += sign * count

    def add(self, other: "Answers") -> None:
        """Adds the counts of another slice."""
        self.failed += other.failed
        self.lost_by_server.update(other.lost_by_server)
        self.times.update(other.times)
        self.cut.update(other.cut)


class Comparison:
    """Answers of the old and the new version in one series.

    Attributes:
        old: Answers of the old version.
        new: Answers of the new version.
    """

    def __init__(self) -> None:
        """Starts without answers."""
        self.old = Answers()
        self.new = Answers()

    def add(self, other: "Comparison") -> None:
        """Adds the answers of another slice."""
        self.old.add(other.old)
        self.new.add(other.new)


class FleetEvidence:
    """The counts of all nodes for one order.

    Attributes:
        changes: Number of changes so far.
        runs: How long requests run at the old version.
    """

    def __init__(self) -> None:
        """Starts without counts."""
        self.changes = 0
        self.runs = FleetRunTimes()
        self._cells: dict[CellKey, AnswerCell] = {}
        self._sums: dict[SumKey, Comparison] = {}
        self._first_open_slice = 0

    def merge(self, source: int, cells: Iterable[AnswerCell]) -> None:
        """Replaces cells by what their node has counted by now.

        Args:
            source: Random number of the process that counted.
            cells: Its cells; those that it doesn't name stay.
        """
        for cell in cells:
            if cell.slice_number < self._first_open_slice:
                continue
            key = (
                source,
                cell.slice_number,
                cell.is_new,
                cell.server_id,
                cell.series,
            )
            last = self._cells.get(key)
            if last == cell:
                continue
            self._cells[key] = cell
            self.changes += 1
            if last is not None:
                self._find_answers(last).add_cell(last, -1)
            self._find_answers(cell).add_cell(cell)
            if len(self._cells) > MAX_CELLS:
                self._close_oldest_slice()

    @property
    def last_slice(self) -> int:
        """Number of the newest slice."""
        return max((number for number, _ in self._sums), default=0)

    def compare(self, first_slice: int = 0) -> Mapping[str, Comparison]:
        """Returns the answers of both versions by series.

        Args:
            first_slice: Number of the slice to begin with.
        """
        found: dict[str, Comparison] = {}
        for (slice_number, series), comparison in self._sums.items():
            if slice_number >= first_slice:
                found.setdefault(series, Comparison()).add(comparison)
        return found

    def _close_oldest_slice(self) -> None:
        """Forgets the cells of a slice; their sums stay as they are."""
        oldest = min(cell.slice_number for cell in self._cells.values())
        self._first_open_slice = oldest + 1
        self._cells = {
            key: cell
            for key, cell in self._cells.items()
            if cell.slice_number > oldest
        }

    def _find_answers(self, cell: AnswerCell) -> Answers:
        key = (cell.slice_number, cell.series)
        comparison = self._sums.get(key)
        if comparison is None:
            comparison = self._sums[key] = Comparison()
        return comparison.new if cell.is_new else comparison.old
