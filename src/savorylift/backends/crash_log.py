"""Crashes of engines that this and the other nodes have seen."""

import collections
from collections.abc import Iterable, Iterator, Mapping, Sequence

from savorylift.fleet.state import CrashReport

# Reports of one engine within this time are about the same crash.
SAME_CRASH_S = 2.0
# The nodes whose requests an engine had not answered report its crash within
# this time; a crash counts only then, since one of those requests caused it.
SETTLE_S = 0.25
# Engines that crash within this time of each other have a common cause, such
# as a power loss, and count once.
SIMULTANEOUS_S = 0.1
# Older crashes no longer count.
CRASH_WINDOW_S = 60.0
# How long a node repeats its own reports, in case messages are lost.
REPORT_REPEAT_S = 10.0
# Bounds on what is remembered and sent.
MAX_CRASHES = 64
MAX_OWN_CRASHES = 8
MAX_PREFIXES = 16
MAX_PARTS = 8

# IDs of the parts of a prompt in order, without the last one, which belongs to
# the request itself.
Prefix = tuple[str, ...]


class Crash:
    """A crash of an engine.

    Attributes:
        server_id: Identifier of the engine.
        time_s: Monotonic time of the first report.
        prefixes: Prompts that it had not answered yet.
    """

    def __init__(self, server_id: str, time_s: float) -> None:
        """Creates a crash without prompts."""
        self.server_id = server_id
        self.time_s = time_s
        self.prefixes: set[Prefix] = set()

    def add(self, prefixes: Iterable[Prefix]) -> bool:
        """Adds prompts; returns whether any was new and there was room."""
        before = len(self.prefixes)
        for prefix in prefixes:
            if len(self.prefixes) < MAX_PREFIXES:
                self.prefixes.add(tuple(prefix[:MAX_PARTS]))
        return len(self.prefixes) > before


class CrashLog:
    """Recent crashes, each once however many nodes have reported it."""

    def __init__(self) -> None:
        """Creates an empty log."""
        self._own: collections.deque[Crash] = collections.deque(
            maxlen=MAX_OWN_CRASHES
        )
        self._all: collections.deque[Crash] = collections.deque(
            maxlen=MAX_CRASHES
        )

    def add_own(self, server_id: str, prefix: Prefix, now_s: float) -> bool:
        """Adds a crash that this node has seen; returns whether it is new."""
        _find_or_append(self._own, server_id, now_s).add([prefix])
        return _find_or_append(self._all, server_id, now_s).add([prefix])

    def add(self, report: CrashReport, now_s: float) -> bool:
        """Adds another node's report; returns whether it has anything new."""
        time_s = now_s - report.age_s
        if report.age_s > CRASH_WINDOW_S:
            return False
        crash = _find_or_append(self._all, report.server_id, time_s)
        return crash.add(report.prefixes)

    def own_reports(self, now_s: float) -> tuple[CrashReport, ...]:
        """Returns the crashes to report to the other nodes."""
        return tuple(
            CrashReport(
                crash.server_id,
                now_s - crash.time_s,
                tuple(sorted(crash.prefixes)),
            )
            for crash in self._own
            if now_s - crash.time_s < REPORT_REPEAT_S
        )

    def has_unsettled(self, now_s: float) -> bool:
        """Whether reports of a crash may still arrive."""
        return any(now_s - crash.time_s < SETTLE_S for crash in self._all)

    def settled(self, now_s: float) -> Iterator[Crash]:
        """Yields the crashes that count now."""
        for crash in self._all:
            if SETTLE_S <= now_s - crash.time_s < CRASH_WINDOW_S:
                yield crash

    def suspected_parts(self, now_s: float) -> Iterator[tuple[float, str]]:
        """Yields the parts in the latest crashes, with the time of each."""
        for crash in self._all:
            if now_s - crash.time_s < REPORT_REPEAT_S:
                for prefix in crash.prefixes:
                    for part in prefix:
                        yield crash.time_s, part


def count_by_part(
    crashes: Sequence[tuple[float, Prefix]], sound_s: Mapping[str, float]
) -> dict[str, int]:
    """Returns how many independent crashes each part was involved in.

    Args:
        crashes: Monotonic times of crashes with the prompts involved.
        sound_s: Monotonic times at which engines last began to answer
            requests with a part; earlier crashes don't count for it.
    """
    times_s: dict[str, set[float]] = {}
    for time_s, prefix in crashes:
        for part in prefix:
            if time_s > sound_s.get(part, 0.0):
                times_s.setdefault(part, set()).add(time_s)
    return {part: _count_independent(times) for part, times in times_s.items()}


def _count_independent(times_s: Iterable[float]) -> int:
    """Returns the number of crashes, with simultaneous ones counted once."""
    count = 0
    group_start_s = float("-inf")
    for time_s in sorted(times_s):
        if time_s - group_start_s > SIMULTANEOUS_S:
            group_start_s = time_s
            count += 1
    return count


def _find_or_append(
    crashes: "collections.deque[Crash]", server_id: str, time_s: float
) -> Crash:
    for crash in crashes:
        is_near = abs(crash.time_s - time_s) < SAME_CRASH_S
        if crash.server_id == server_id and is_near:
            return crash
    crashes.append(Crash(server_id, time_s))
    return crashes[-1]
