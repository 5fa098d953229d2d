"""What this node has seen of the answers of a service that is rolled out.

Only what was lost is counted by server: it may be due to one that crashed.
"""

import collections
import enum
import time
from collections.abc import Iterator
from typing import NamedTuple

from savorylift.backends.server import ServerEntry
from savorylift.fleet.rollout_messages import AnswerCell, RunTimes
from savorylift.rollouts.durations import duration_class

# Requests that are open for longer are told before they end.
MIN_TOLD_AGE_S = 0.25
# Most cells of one service; the oldest are dropped.
MAX_CELLS = 4096
# Most requests that are followed at the same time.
MAX_OPEN = 4096
# Most routes whose run times are counted.
MAX_TIMED_ROUTES = 64
# Name of the series of a route's pauses between events.
PAUSE_SUFFIX = "/pause"


class Outcome(enum.Enum):
    """How a request ended at a server.

    Attributes:
        SUCCEEDED: With a whole answer that is no failure of the server.
        FAILED: With an answer that is one.
        LOST: Without a whole answer.
        ENDED: By this node or the caller, or not run: it tells nothing.
    """

    SUCCEEDED = "succeeded"
    FAILED = "failed"
    LOST = "lost"
    ENDED = "ended"


class _Key(NamedTuple):
    slice_number: int
    is_new: bool
    server_id: str
    series: str


class _Counts:
    """Counts of one cell; `cut` has durations up to a request's early end."""

    def __init__(self) -> None:
        self.succeeded = 0
        self.failed = 0
        self.lost = 0
        self.times: collections.Counter[int] = collections.Counter()
        self.cut: collections.Counter[int] = collections.Counter()


class _Open(NamedTuple):
    key: _Key
    server_id: str
    began_s: float
    is_timed: bool


class AnswerLog:
    """Counts answers by server, route and slice of time.

    A request counts in the slice in which it was sent.
    """

    def __init__(self, version: str, slice_s: float, elapsed_s: float) -> None:
        """Starts without answers.

        Args:
            version: The new software version.
            slice_s: Length of a slice.
            elapsed_s: Time since the order.
        """
        self._version = version
        self._slice_s = slice_s
        self._ordered_s = time.monotonic() - elapsed_s
        self._counts: dict[_Key, _Counts] = {}
        self._open: dict[str, _Open] = {}
        # Durations of whole requests at the old version, by route.
        self._run_times: dict[str, collections.Counter[int]] = {}
        self._changed: set[_Key] = set()
        # Cells that were taken once since they changed, and those of them that
        # are to be taken again.
        self._taken: set[_Key] = set()
        self._repeated: set[_Key] = set()

    def is_new(self, entry: ServerEntry) -> bool:
        """Whether a server is of the new version."""
        return entry.software_version == self._version

    def begin(self, entry: ServerEntry, route: str, attempt_id: str) -> None:
        """Records that a request is sent to a server."""
        now_s = time.monotonic()
        if len(self._open) >= MAX_OPEN:
            return
        number = int((now_s - self._ordered_s) / self._slice_s)
        key = _Key(max(number, 0), self.is_new(entry), "", route)
        self._open[attempt_id] = _Open(
            key, entry.server_id, now_s, is_timed=False
        )

    def note_answer(self, attempt_id: str) -> None:
        """Records that the answer of a request has begun."""
        found = self._open.get(attempt_id)
        if found is None or found.is_timed:
            return
        self._open[attempt_id] = found._replace(is_timed=True)
        took_s = time.monotonic() - found.began_s
        self._change(found.key).times[duration_class(took_s)] += 1

    def note_pause(self, attempt_id: str, pause_s: float) -> None:
        """Records the mean pause between the first events of a stream."""
        found = self._open.get(attempt_id)
        if found is None:
            return
        key = found.key._replace(series=found.key.series + PAUSE_SUFFIX)
        self._change(key).times[duration_class(pause_s)] += 1

    def finish(self, attempt_id: str, outcome: Outcome) -> None:
        """Records how a request ended; only the first time counts."""
        if outcome is Outcome.SUCCEEDED:
            # The answers of plain services are only noted as they end.
            self.note_answer(attempt_id)
        found = self._open.pop(attempt_id, None)
        if found is None:
            return
        if outcome is Outcome.SUCCEEDED and not found.key.is_new:
            self._note_run(found)
        counts = self._change(found.key)
        counts.succeeded += outcome is Outcome.SUCCEEDED
        counts.failed += outcome is Outcome.FAILED
        if outcome is Outcome.LOST:
            lost_key = found.key._replace(server_id=found.server_id)
            self._change(lost_key).lost += 1
        if not found.is_timed and outcome is not Outcome.FAILED:
            took_s = time.monotonic() - found.began_s
            counts.cut[duration_class(took_s)] += 1

    def run_times(self) -> tuple[RunTimes, ...]:
        """Returns how long requests have run at the old version."""
        return tuple(map(self._make_run_times, self._run_times))

    def take_run_times(self, limit: int) -> tuple[RunTimes, ...]:
        """Returns how long requests have run, for some routes in turn.

        Args:
            limit: Most routes; later calls return the others.
        """
        routes = list(self._run_times)[:limit]
        for route in routes:
            self._run_times[route] = self._run_times.pop(route)
        return tuple(map(self._make_run_times, routes))

    def take_changed(self, limit: int) -> tuple[AnswerCell, ...]:
        """Returns cells that changed since they were last taken."""
        waiting = self._find_waiting()
        wanted = self._changed | self._repeated | waiting.keys()
        keys = sorted(wanted, reverse=True)[:limit]
        self._taken.update(self._changed.intersection(keys))
        self._changed.difference_update(keys)
        self._repeated.difference_update(keys)
        return tuple(self._make_cell(key, waiting.get(key, ())) for key in keys)

    def repeat_taken(self) -> None:
        """Lets what was taken be taken once more."""
        self._repeated |= self._taken
        self._taken.clear()

    def mark_all_changed(self) -> None:
        """Lets all cells be taken again, for a node that has none."""
        self._changed.update(self._counts)

    def all_cells(self) -> Iterator[AnswerCell]:
        """Yields all cells."""
        waiting = self._find_waiting()
        for key in self._counts.keys() | waiting.keys():
            yield self._make_cell(key, waiting.get(key, ()))

    def _note_run(self, found: _Open) -> None:
        route = found.key.series
        times = self._run_times.get(route)
        if times is None:
            if len(self._run_times) >= MAX_TIMED_ROUTES:
                return
            times = self._run_times[route] = collections.Counter()
        times[duration_class(time.monotonic() - found.began_s)] += 1

    def _make_run_times(self, route: str) -> RunTimes:
        return RunTimes(route, tuple(sorted(self._run_times[route].items())))

    def _find_waiting(self) -> dict[_Key, list[int]]:
        """Returns how long requests are open that have no answer yet."""
        now_s = time.monotonic()
        found: dict[_Key, list[int]] = {}
        for key, _, began_s, is_timed in self._open.values():
            if not is_timed and now_s - began_s >= MIN_TOLD_AGE_S:
                ages = found.setdefault(key, [])
                ages.append(duration_class(now_s - began_s))
        return found

    def _make_cell(
        self, key: _Key, waiting: list[int] | tuple[()]
    ) -> AnswerCell:
        counts = self._counts.get(key) or _Counts()
        cut = counts.cut + collections.Counter(waiting)
        return AnswerCell(
            *key,
            counts.succeeded,
            counts.failed,
            counts.lost,
            tuple(sorted(counts.times.items())),
            tuple(sorted(cut.items())),
        )

    def _change(self, key: _Key) -> _Counts:
        """Returns the counts of a cell that is about to change."""
        self._changed.add(key)
        counts = self._counts.get(key)
        if counts is None:
            counts = self._counts[key] = _Counts()
            if len(self._counts) > MAX_CELLS:
                oldest = next(iter(self._counts))
                del self._counts[oldest]
                for keys in (self._changed, self._taken, self._repeated):
                    keys.discard(oldest)
        return counts
