"""Crashes of servers that this and the other nodes have seen."""

import collections
import itertools
from collections.abc import Callable, Iterable, Iterator, Mapping, Sequence

from savorylift.backends.traits import Traits
from savorylift.fleet.quarantine_news import CrashReport

# Reports of one server within this time are about the same crash.
SAME_CRASH_S = 2.0
# The nodes whose requests a server had not answered report its crash within
# this time; a crash counts only then, since one of those requests caused it.
SETTLE_S = 0.25
# Servers that crash within this time of each other may have a common cause,
# such as a power loss.
SIMULTANEOUS_S = 0.1
# Times from other nodes are this inexact.
TOLERANCE_S = 0.005
# Older crashes no longer count: for parts of prompts, which sound requests
# share, and for a request, whose repeats may be far apart.
PART_WINDOW_S = 60.0
REQUEST_WINDOW_S = 1800.0
# How long a node repeats its own reports, in case messages are lost.
REPORT_REPEAT_S = 10.0
# Bounds on what is remembered and sent.
MAX_CRASHES = 64
MAX_OWN_CRASHES = 8
MAX_REQUESTS = 48
MAX_OWN_REQUESTS = 16
MAX_TRAITS = 8

# Time at which a request was sent, if that isn't known.
UNKNOWN_SENT_S = float("-inf")
# For how long the traits in the latest crashes are not collected again.
SUSPECTS_CACHE_S = 0.2


class Crash:
    """A crash of a server.

    Attributes:
        server_id: Identifier of the server.
        time_s: Monotonic time of the first report.
        requests: Traits of the requests that it had not answered yet, with
            the monotonic time at which the last of each was sent.
    """

    def __init__(
        self, server_id: str, time_s: float, max_requests: int
    ) -> None:
        """Creates a crash without requests."""
        self.server_id = server_id
        self.time_s = time_s
        self.requests: dict[Traits, float] = {}
        self._max_requests = max_requests

    def add(self, traits: Traits, sent_s: float) -> bool:
        """Adds a request; returns whether it is new and there was room."""
        traits = tuple(traits[:MAX_TRAITS])
        is_new = traits not in self.requests
        if is_new and len(self.requests) >= self._max_requests:
            return False
        known_s = self.requests.get(traits, UNKNOWN_SENT_S)
        self.requests[traits] = max(sent_s, known_s)
        return is_new


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
        self._suspects: dict[str, list[float]] = {}
        self._suspects_until_s = UNKNOWN_SENT_S

    def add_own(
        self, server_id: str, traits: Traits, sent_s: float, crashed_s: float
    ) -> bool:
        """Adds a crash that this node has seen; returns whether it is new."""
        own = _find_or_append(self._own, server_id, crashed_s, MAX_OWN_REQUESTS)
        own.add(traits, sent_s)
        known = _find_or_append(self._all, server_id, crashed_s, MAX_REQUESTS)
        self._suspects_until_s = UNKNOWN_SENT_S
        return known.add(traits, sent_s)

    def add(self, report: CrashReport, now_s: float) -> bool:
        """Adds another node's report; returns whether it has anything new."""
        time_s = now_s - report.age_s
        if report.age_s > REQUEST_WINDOW_S:
            return False
        crash = _find_or_append(
            self._all, report.server_id, time_s, MAX_REQUESTS
        )
        self._suspects_until_s = UNKNOWN_SENT_S
        # A node of an older build doesn't say when they were sent.
        requests = itertools.zip_longest(report.requests, report.sent_ages_s)
        has_new = False
        for traits, sent_age_s in requests:
            if traits is None:
                break
            sent_s = UNKNOWN_SENT_S
            if sent_age_s is not None:
                sent_s = now_s - sent_age_s
            has_new |= crash.add(traits, sent_s)
        return has_new

    def own_reports(self, now_s: float) -> tuple[CrashReport, ...]:
        """Returns the crashes to report to the other nodes."""
        return tuple(
            CrashReport(
                crash.server_id,
                now_s - crash.time_s,
                tuple(crash.requests),
                tuple(now_s - sent_s for sent_s in crash.requests.values()),
            )
            for crash in self._own
            if now_s - crash.time_s < REPORT_REPEAT_S
        )

    def has_unsettled(self, now_s: float) -> bool:
        """Whether reports of a crash may still arrive."""
        return any(now_s - crash.time_s < SETTLE_S for crash in self._all)

    def settled(self, now_s: float) -> Iterator[Crash]:
        """Yields the crashes that count now, at least for requests."""
        for crash in self._all:
            if SETTLE_S <= now_s - crash.time_s < REQUEST_WINDOW_S:
                yield crash

    def count_known(self, trait: str, since_s: float) -> int:
        """Returns how many crashes a trait is in, unsettled ones included.

        Args:
            trait: The trait.
            since_s: Monotonic time; earlier crashes don't count.
        """
        return sum(
            crash.time_s > since_s
            and any(trait in traits for traits in crash.requests)
            for crash in self._all
        )

    def suspects(self, now_s: float) -> Mapping[str, Sequence[float]]:
        """Returns the times of the latest crashes by trait involved."""
        if now_s >= self._suspects_until_s:
            self._suspects = self._collect_suspects(now_s)
            self._suspects_until_s = now_s + SUSPECTS_CACHE_S
        return self._suspects

    def _collect_suspects(self, now_s: float) -> dict[str, list[float]]:
        found: dict[str, list[float]] = {}
        for crash in self._all:
            if now_s - crash.time_s >= REPORT_REPEAT_S:
                continue
            for trait in set(itertools.chain.from_iterable(crash.requests)):
                found.setdefault(trait, []).append(crash.time_s)
        return found


def count_by_trait(
    crashes: Iterable[Crash], get_since_s: Callable[[str], float]
) -> dict[str, int]:
    """Returns how many independent crashes each trait was involved in.

    Args:
        crashes: The crashes.
        get_since_s: Returns the monotonic time up to which crashes don't
            count for a trait.
    """
    witnesses: dict[str, dict[float, float]] = {}
    for crash in crashes:
        for traits, sent_s in crash.requests.items():
            for trait in traits:
                if crash.time_s > get_since_s(trait):
                    times_s = witnesses.setdefault(trait, {})
                    known_s = times_s.get(crash.time_s, UNKNOWN_SENT_S)
                    times_s[crash.time_s] = max(sent_s, known_s)
    return {
        trait: _count_independent(sorted(times_s.items()))
        for trait, times_s in witnesses.items()
    }


def _count_independent(times_s: Iterable[tuple[float, float]]) -> int:
    """Counts crashes; simultaneous ones that may have one cause count once.

    A request that was sent after the first of them, such as a retry, is not
    there by chance.

    Args:
        times_s: Monotonic times of each crash, in order, and of the sending
            of a request that the server had not answered.
    """
    count = 0
    group_start_s = float("-inf")
    for crashed_s, sent_s in times_s:
        is_simultaneous = crashed_s - group_start_s <= SIMULTANEOUS_S
        is_later_sent = sent_s >= group_start_s - TOLERANCE_S
        if not is_simultaneous or is_later_sent:
            group_start_s = crashed_s
            count += 1
    return count


def _find_or_append(
    crashes: "collections.deque[Crash]",
    server_id: str,
    time_s: float,
    max_requests: int,
) -> Crash:
    for crash in crashes:
        is_near = abs(crash.time_s - time_s) < SAME_CRASH_S
        if crash.server_id == server_id and is_near:
            return crash
    crashes.append(Crash(server_id, time_s, max_requests))
    return crashes[-1]
