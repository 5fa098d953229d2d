"""Quarantines requests that crash servers.

A request whose processing crashes its server is known as a query of death or
poison pill. One crash can't tell it from the other requests on its server.
Over several crashes, what all of them have in common, and no server has
survived since, is what crashes servers: a request that comes again, or parts
of prompts.
"""

import time
from collections.abc import Iterable, Sequence

from savorylift.backends.crash_log import UNKNOWN_SENT_S, Crash, CrashLog
from savorylift.backends.culprit import find_culprit
from savorylift.backends.past_traits import PastTraits
from savorylift.backends.quarantine import Quarantine, QuarantinedTraits
from savorylift.backends.quarantine_reports import QuarantineReports
from savorylift.backends.quarantine_set import QuarantineSet
from savorylift.backends.sound_traits import SoundTraits
from savorylift.backends.traits import Traits, is_request
from savorylift.fleet.quarantine_news import (
    QuarantinedParts,
    QuarantineNews,
    SoundPart,
)
from savorylift.rendezvous import rank

# Crashes after which a request is not sent again within the same attempt.
CRASHES_TO_STOP_REPEATS = 2
# While evidence arrives, it is judged no more often than this.
UPDATE_INTERVAL_S = 0.02
# Quarantines that begin at once; the search for others goes on later.
MAX_BEGUN_AT_ONCE = 4
# Bounds on what is remembered and sent.
MAX_QUARANTINES = 256
MAX_SOUND_TRAITS_SENT = 16


class RequestQuarantine:
    """Decides which requests may not be sent to servers."""

    def __init__(self, node_ip: str) -> None:
        """Creates a decision without any evidence.

        Args:
            node_ip: This node's address, by which trials are assigned.
        """
        self._node_ip = node_ip
        self._crashes = CrashLog()
        # Whether a crash was recorded that no quarantine was derived from yet.
        self._has_new_crash = False
        self._next_update_s = 0.0
        self._sound = SoundTraits()
        self._quarantines = QuarantineSet()
        self._past_traits = PastTraits()
        self._reports = QuarantineReports()

    def find(
        self, traits: Traits, live_ips: Iterable[str]
    ) -> Quarantine | None:
        """Returns the quarantine that a request falls under, if any.

        The request prolongs it. Once in a while one of the nodes lets a
        request through, to learn whether servers survive it by now.

        Args:
            traits: Traits of the request.
            live_ips: Addresses of the other nodes.
        """
        now_s = time.monotonic()
        matching = self._quarantines.matching(traits)
        found = next((q for q in matching if now_s < q.until_s), None)
        if found is None:
            return None
        if now_s >= found.next_trial_s and self._runs_trials(
            found.traits, live_ips
        ):
            self._quarantines.put(found.begin_trial(now_s))
            return None
        extended = found.extend(now_s)
        self._quarantines.put(extended)
        return extended

    def record_crash(
        self,
        server_id: str,
        traits: Traits,
        sent_s: float | None = None,
        crashed_s: float | None = None,
    ) -> None:
        """Records that a server crashed before it had answered a request.

        Args:
            server_id: Identifier of the server.
            traits: Traits of the request.
            sent_s: Monotonic time at which it was sent; None if unknown.
            crashed_s: Monotonic time of the crash; None for now.
        """
        now_s = time.monotonic()
        if traits and self._crashes.add_own(
            server_id,
            traits,
            UNKNOWN_SENT_S if sent_s is None else sent_s,
            now_s if crashed_s is None else crashed_s,
        ):
            self._has_new_crash = True

    def may_repeat(self, traits: Traits) -> bool:
        """Whether a request may be sent again after it has failed.

        Not if it is in several crashes by now, as far as anyone knows: it may
        crash the next server while their cause is still being judged.
        """
        return not any(
            self._crashes.count_known(trait, self._sound.time_s(trait))
            >= CRASHES_TO_STOP_REPEATS
            for trait in traits
            if is_request(trait)
        )

    def update(self) -> set[QuarantinedTraits]:
        """Quarantines the traits that explain enough crashes.

        Returns:
            The quarantines that begin.
        """
        begun: set[QuarantinedTraits] = set()
        now_s = time.monotonic()
        if not self._has_new_crash or now_s < self._next_update_s:
            return begun
        self._next_update_s = now_s + UPDATE_INTERVAL_S
        self._has_new_crash = self._crashes.has_unsettled(now_s)
        while True:
            if len(begun) == MAX_BEGUN_AT_ONCE:
                self._has_new_crash = True
                break
            culprit = find_culprit(
                self._unexplained_crashes(now_s),
                self._sound,
                self._past_traits.known,
                now_s,
            )
            if culprit is None:
                break
            self._past_traits.add(culprit.suspects)
            self._add(Quarantine.begin(culprit.traits, now_s))
            begun.add(culprit.traits)
        return begun

    def record_sound(self, traits: Iterable[str]) -> bool:
        """Records that a server has survived requests with these traits.

        Returns:
            Whether it clears one of a suspicion, so that the other nodes
            should hear of it at once.
        """
        now_s = time.monotonic()
        survived = tuple(traits)
        suspects = self._crashes.suspects(now_s)
        is_news = any(
            is_suspect(trait, suspects.get(trait, ()))
            and max(suspects[trait]) > self._sound.time_s(trait)
            for trait in survived
        )
        for trait in survived:
            self._sound.add(trait, now_s)
        self._past_traits.remove(survived)
        if self._quarantines.has_any_trait(survived):
            self._drop_sound()
        return is_news

    def merge(self, news: QuarantineNews) -> set[QuarantinedTraits]:
        """Applies what another node has reported.

        Returns:
            The quarantines that begin because of it.
        """
        if news == QuarantineNews():
            return set()
        now_s = time.monotonic()
        for sound in news.sound_parts:
            self._sound.add(sound.part, now_s - sound.age_s)
        if news.sound_parts:
            self._drop_sound()
        merged = [
            self._merge_quarantine(item, now_s) for item in news.quarantined
        ]
        for report in news.crash_reports:
            if self._crashes.add(report, now_s):
                self._has_new_crash = True
        return {traits for traits in merged if traits is not None}

    def news(self) -> QuarantineNews:
        """Returns what the other nodes should know."""
        now_s = time.monotonic()
        self._drop_expired(now_s)
        return QuarantineNews(
            self._crashes.own_reports(now_s),
            self._sound_traits(now_s),
            self._reports.next_reports(tuple(self._quarantines), now_s),
        )

    def _unexplained_crashes(self, now_s: float) -> list[Crash]:
        """Returns the crashes that no quarantine explains."""
        return [
            crash
            for crash in self._crashes.settled(now_s)
            if not any(map(self._is_quarantined, crash.requests))
        ]

    def _is_quarantined(self, traits: Traits) -> bool:
        return any(True for _ in self._quarantines.matching(traits))

    def _add(self, quarantine: Quarantine) -> None:
        if len(self._quarantines) >= MAX_QUARANTINES:
            oldest = min(self._quarantines, key=lambda q: q.until_s)
            self._quarantines.remove(oldest.traits)
        self._past_traits.add(quarantine.traits)
        self._quarantines.put(quarantine)

    def _merge_quarantine(
        self, item: QuarantinedParts, now_s: float
    ) -> QuarantinedTraits | None:
        """Applies another node's quarantine; returns its traits if new."""
        since_s, until_s = now_s - item.age_s, now_s + item.remaining_s
        traits = self._without_sound(item.parts, since_s)
        if not traits or until_s <= now_s:
            return None
        known = self._quarantines.get(traits)
        if known is not None:
            until_s = max(known.until_s, until_s)
            since_s = min(known.since_s, since_s)
            self._quarantines.put(
                known._replace(since_s=since_s, until_s=until_s)
            )
            return None
        begun = Quarantine.begin(traits, now_s)
        self._add(begun._replace(since_s=since_s, until_s=until_s))
        return traits

    def _drop_sound(self) -> None:
        """Narrows quarantines to the traits that no server survived since."""
        for item in self._quarantines:
            left = self._without_sound(item.traits, item.since_s)
            if left == item.traits:
                continue
            self._quarantines.remove(item.traits)
            if left:
                self._quarantines.put(item._replace(traits=left))
            self._past_traits.remove(item.traits - left)

    def _without_sound(
        self, traits: Iterable[str], since_s: float
    ) -> QuarantinedTraits:
        return frozenset(
            trait for trait in traits if self._sound.time_s(trait) <= since_s
        )

    def _sound_traits(self, now_s: float) -> tuple[SoundPart, ...]:
        """Returns when servers last survived the suspected traits."""
        known = [
            trait
            for trait, crashes_s in self._crashes.suspects(now_s).items()
            if trait in self._sound and is_suspect(trait, crashes_s)
        ]
        known.sort(key=lambda trait: (is_request(trait), trait))
        return tuple(
            SoundPart(trait, now_s - self._sound.time_s(trait))
            for trait in known[:MAX_SOUND_TRAITS_SENT]
        )

    def _runs_trials(
        self, traits: QuarantinedTraits, live_ips: Iterable[str]
    ) -> bool:
        key = " ".join(sorted(traits))
        return rank(key, [self._node_ip, *live_ips])[0] == self._node_ip

    def _drop_expired(self, now_s: float) -> None:
        for quarantine in self._quarantines:
            if now_s >= quarantine.until_s:
                self._quarantines.remove(quarantine.traits)


def is_suspect(trait: str, crashes_s: Sequence[float]) -> bool:
    """Whether the other nodes should hear that a trait is sound.

    Each crash has its own requests; only one that is in several stands out.
    """
    return len(crashes_s) > (1 if is_request(trait) else 0)
