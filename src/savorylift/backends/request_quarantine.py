"""Quarantines the combinations of prompt parts that crash engines.

A request whose processing crashes its engine is known as a query of death or
poison pill. One crash can't tell it from the other requests on its engine.
Over several crashes, the parts of prompts that all of them have in common, and
that no engine has begun to answer since, are what crashes engines.
"""

import collections
import time
from collections.abc import Iterable
from typing import NamedTuple

from savorylift.backends.crash_log import CrashLog, Prefix, count_by_part
from savorylift.fleet.state import (
    QuarantinedParts,
    QuarantineNews,
    SoundPart,
)
from savorylift.rendezvous import rank

# Crashes that a part must explain before it is quarantined.
CRASHES_TO_QUARANTINE = 3
# As above for a part that engines have answered before: sound requests of the
# same team share such parts with those that crash.
CRASHES_TO_QUARANTINE_KNOWN = 5
# As above for a part that was quarantined before.
CRASHES_TO_QUARANTINE_AGAIN = 2
# Parts stay quarantined for this long after the last request with them, but no
# longer than the maximum in all.
QUARANTINE_S = 120.0
MAX_QUARANTINE_S = 600.0
# After this time one request with the parts is tried. If its engine crashes,
# the next one follows after twice the time.
FIRST_TRIAL_S = 40.0
# Bounds on what is remembered and sent.
MAX_QUARANTINES = 32
MAX_PAST_PARTS = 64
MAX_SOUND_PARTS = 1024
MAX_SOUND_PARTS_SENT = 16

# Begins the IDs that stand for whole requests. IDs of parts have no colon.
REQUEST_PREFIX = "request:"

Parts = frozenset[str]


class Quarantine(NamedTuple):
    """A quarantine of the requests that have all of some parts.

    Attributes:
        parts: IDs of the parts.
        since_s: Monotonic time at which it began.
        until_s: Monotonic time at which it ends.
        next_trial_s: Monotonic time from which one request may be tried.
        trials: Number of trials so far.
    """

    parts: Parts
    since_s: float
    until_s: float
    next_trial_s: float
    trials: int = 0

    def extend(self, now_s: float) -> "Quarantine":
        """Returns the quarantine after another request with the parts."""
        until_s = min(now_s + QUARANTINE_S, self.since_s + MAX_QUARANTINE_S)
        return self._replace(until_s=max(self.until_s, until_s))

    def begin_trial(self, now_s: float) -> "Quarantine":
        """Returns the quarantine after a request was let through."""
        trials = self.trials + 1
        next_trial_s = now_s + FIRST_TRIAL_S * 2**trials
        return self._replace(next_trial_s=next_trial_s, trials=trials)


class RequestQuarantine:
    """Decides which requests may not be sent to engines."""

    def __init__(self, node_ip: str) -> None:
        """Creates a decision without any evidence.

        Args:
            node_ip: This node's address, by which trials are assigned.
        """
        self._node_ip = node_ip
        self._crashes = CrashLog()
        # Whether a crash was recorded that no quarantine was derived from yet.
        self._has_new_crash = False
        # Monotonic time at which an engine last began to answer a request
        # with the part; the part set last is at the end.
        self._sound_s: dict[str, float] = {}
        self._quarantines: dict[Parts, Quarantine] = {}
        self._past_parts: collections.deque[str] = collections.deque(
            maxlen=MAX_PAST_PARTS
        )

    def find(
        self, prefix: Prefix, live_ips: Iterable[str]
    ) -> Quarantine | None:
        """Returns the quarantine that a request falls under, if any.

        The request prolongs it. Once in a while one of the nodes lets a
        request through, to learn whether the parts are sound by now.

        Args:
            prefix: IDs of the parts of its prompt without the last.
            live_ips: Addresses of the other nodes.
        """
        now_s = time.monotonic()
        self._drop_expired(now_s)
        for parts, found in self._quarantines.items():
            if not parts.issubset(prefix):
                continue
            if now_s >= found.next_trial_s and self._runs_trials(
                parts, live_ips
            ):
                self._quarantines[parts] = found.begin_trial(now_s)
                return None
            self._quarantines[parts] = found.extend(now_s)
            return self._quarantines[parts]
        return None

    def record_crash(self, server_id: str, prefix: Prefix) -> None:
        """Records that an engine crashed before it had answered a request."""
        if prefix and self._crashes.add_own(
            server_id, prefix, time.monotonic()
        ):
            self._has_new_crash = True

    def update(self) -> set[Parts]:
        """Quarantines the parts that explain enough crashes.

        Returns:
            The quarantines that begin.
        """
        begun: set[Parts] = set()
        if not self._has_new_crash:
            return begun
        now_s = time.monotonic()
        self._has_new_crash = self._crashes.has_unsettled(now_s)
        while len(begun) < MAX_QUARANTINES:
            parts = self._find_culprit(now_s)
            if parts is None:
                break
            self._begin(parts, now_s)
            begun.add(parts)
        return begun

    def record_start(self, prefix: Prefix) -> bool:
        """Records that an engine got past the beginning of a response.

        Returns:
            Whether it clears a part of a suspicion, so that the other nodes
            should hear of it at once.
        """
        now_s = time.monotonic()
        is_news = any(
            part in prefix and crash_s > self._sound_s.get(part, 0.0)
            for crash_s, part in self._crashes.suspected_parts(now_s)
        )
        for part in prefix:
            self._set_sound(part, now_s)
        self._drop_sound_parts()
        return is_news

    def merge(self, news: QuarantineNews) -> set[Parts]:
        """Applies what another node has reported.

        Returns:
            The quarantines that begin because of it.
        """
        if news == QuarantineNews():
            return set()
        now_s = time.monotonic()
        for sound in news.sound_parts:
            self._set_sound(sound.part, now_s - sound.age_s)
        self._drop_sound_parts()
        merged = [
            self._merge_quarantine(item, now_s) for item in news.quarantined
        ]
        for report in news.crash_reports:
            if self._crashes.add(report, now_s):
                self._has_new_crash = True
        return {parts for parts in merged if parts is not None}

    def news(self) -> QuarantineNews:
        """Returns what the other nodes should know."""
        now_s = time.monotonic()
        self._drop_expired(now_s)
        return QuarantineNews(
            self._crashes.own_reports(now_s),
            self._sound_parts(now_s),
            tuple(
                QuarantinedParts(
                    tuple(sorted(item.parts)),
                    now_s - item.since_s,
                    item.until_s - now_s,
                )
                for item in self._quarantines.values()
            ),
        )

    def _find_culprit(self, now_s: float) -> Parts | None:
        """Returns the parts that best explain the unexplained crashes.

        A part that was never sound comes first, then the one in most crashes,
        then the one furthest back in prompts, which fewest requests share.
        Parts that only occur together can't be told apart, and are returned
        together: only requests that have all of them are suspected.
        """
        prefixes = self._unexplained_prefixes(now_s)
        counts = {
            part: count
            for part, count in count_by_part(prefixes, self._sound_s).items()
            if count >= self._crashes_needed(part)
        }
        if not counts:
            return None

        def rank_part(part: str) -> tuple[bool, int, int, str]:
            depth = max(p.index(part) for _, p in prefixes if part in p)
            return part not in self._sound_s, counts[part], depth, part

        first = max(counts, key=rank_part)
        is_known = first in self._sound_s
        common = {p for p in counts if (p in self._sound_s) is is_known}
        for _, prefix in prefixes:
            if first in prefix:
                common.intersection_update(prefix)
        return frozenset(common)

    def _unexplained_prefixes(self, now_s: float) -> list[tuple[float, Prefix]]:
        """Returns the prompts of crashes that no quarantine explains."""
        return [
            (crash.time_s, prefix)
            for crash in self._crashes.settled(now_s)
            if not any(map(self._is_quarantined, crash.prefixes))
            for prefix in crash.prefixes
        ]

    def _is_quarantined(self, prefix: Prefix) -> bool:
        return any(parts.issubset(prefix) for parts in self._quarantines)

    def _crashes_needed(self, part: str) -> int:
        if part in self._past_parts:
            return CRASHES_TO_QUARANTINE_AGAIN
        if part in self._sound_s:
            return CRASHES_TO_QUARANTINE_KNOWN
        return CRASHES_TO_QUARANTINE

    def _begin(self, parts: Parts, now_s: float) -> None:
        if len(self._quarantines) >= MAX_QUARANTINES:
            oldest = min(self._quarantines.values(), key=lambda q: q.until_s)
            del self._quarantines[oldest.parts]
        self._past_parts.extend(parts.difference(self._past_parts))
        self._quarantines[parts] = Quarantine(
            parts, now_s, now_s + QUARANTINE_S, now_s + FIRST_TRIAL_S
        )

    def _merge_quarantine(
        self, item: QuarantinedParts, now_s: float
    ) -> Parts | None:
        """Applies another node's quarantine; returns its parts if it is new."""
        since_s, until_s = now_s - item.age_s, now_s + item.remaining_s
        parts = self._without_sound(item.parts, since_s)
        if not parts or until_s <= now_s:
            return None
        is_new = parts not in self._quarantines
        if is_new:
            self._begin(parts, now_s)
        known = self._quarantines[parts]
        self._quarantines[parts] = known._replace(
            since_s=min(known.since_s, since_s),
            until_s=until_s if is_new else max(known.until_s, until_s),
        )
        return parts if is_new else None

    def _drop_sound_parts(self) -> None:
        """Narrows quarantines to the parts that no engine answered since."""
        for parts, item in list(self._quarantines.items()):
            left = self._without_sound(parts, item.since_s)
            if left == parts:
                continue
            del self._quarantines[parts]
            if left:
                self._quarantines[left] = item._replace(parts=left)
            for part in parts - left:
                if part in self._past_parts:
                    self._past_parts.remove(part)

    def _without_sound(self, parts: Iterable[str], since_s: float) -> Parts:
        return frozenset(
            part for part in parts if self._sound_s.get(part, 0.0) <= since_s
        )

    def _set_sound(self, part: str, time_s: float) -> None:
        self._sound_s[part] = max(time_s, self._sound_s.pop(part, 0.0))
        if len(self._sound_s) > MAX_SOUND_PARTS:
            del self._sound_s[next(iter(self._sound_s))]

    def _sound_parts(self, now_s: float) -> tuple[SoundPart, ...]:
        """Returns when engines last began to answer the suspected parts."""
        suspected = {part for _, part in self._crashes.suspected_parts(now_s)}
        known = sorted(suspected & self._sound_s.keys())
        return tuple(
            SoundPart(part, now_s - self._sound_s[part])
            for part in known[:MAX_SOUND_PARTS_SENT]
        )

    def _runs_trials(self, parts: Parts, live_ips: Iterable[str]) -> bool:
        key = " ".join(sorted(parts))
        return rank(key, [self._node_ip, *live_ips])[0] == self._node_ip

    def _drop_expired(self, now_s: float) -> None:
        for parts, item in list(self._quarantines.items()):
            if now_s >= item.until_s:
                del self._quarantines[parts]
