"""Finds what crashes of servers have in common."""

from collections.abc import Container, Iterable, Sequence
from typing import NamedTuple

from savorylift.backends.crash_log import (
    PART_WINDOW_S,
    REQUEST_WINDOW_S,
    Crash,
    count_by_trait,
)
from savorylift.backends.quarantine import QuarantinedTraits
from savorylift.backends.sound_traits import SoundTraits
from savorylift.backends.traits import Traits, is_request

# Crashes that a trait must explain before it is quarantined.
CRASHES_TO_QUARANTINE = 3
# As above for a trait that servers have survived before: sound requests of the
# same team share parts with those that crash.
CRASHES_TO_QUARANTINE_KNOWN = 5
# As above for a part, or a request, that was quarantined before.
CRASHES_TO_QUARANTINE_PART_AGAIN = 2
CRASHES_TO_QUARANTINE_REQUEST_AGAIN = 1


class Culprit(NamedTuple):
    """What explains crashes best.

    Attributes:
        traits: Traits that the requests behind them have in common.
        suspects: These, and others that are in the same crashes: less evidence
            suffices for them, should servers go on crashing.
    """

    traits: QuarantinedTraits
    suspects: QuarantinedTraits


def find_culprit(
    crashes: Sequence[Crash],
    sound: SoundTraits,
    past_traits: Container[str],
    now_s: float,
) -> Culprit | None:
    """Returns what best explains crashes, if there is enough evidence.

    A trait that was never sound comes first, then the one in most crashes,
    then the one that fewest requests share. Parts that only occur together
    can't be told apart, and are returned together: only requests that have all
    of them are suspected. A request and its repeats are returned by the most
    general trait that stands for them.

    Args:
        crashes: Crashes that are not explained yet.
        sound: When servers survived requests.
        past_traits: Traits that were quarantined, or suspected, before.
        now_s: Monotonic time.
    """
    counts = _count_suspects(crashes, sound, past_traits, now_s)
    if not counts:
        return None
    requests = [traits for crash in crashes for traits in crash.requests]
    depths = _find_depths(requests)

    def rank_trait(trait: str) -> tuple[bool, int, int, str]:
        return trait not in sound, counts[trait], depths[trait], trait

    first = max(counts, key=rank_trait)
    common = {t for t in counts if (t in sound) is (first in sound)}
    _keep_common_to_all(common, first, crashes, now_s)
    if not is_request(first):
        return Culprit(frozenset(common), frozenset(common))
    traits = next(traits for traits in requests if first in traits)
    general = next(t for t in traits if t in common and is_request(t))
    return Culprit(frozenset({general}), frozenset(common))


def _count_suspects(
    crashes: Sequence[Crash],
    sound: SoundTraits,
    past_traits: Container[str],
    now_s: float,
) -> dict[str, int]:
    """Returns the crashes of each trait that has enough of them."""

    def counts_since_s(trait: str) -> float:
        window_s = REQUEST_WINDOW_S if is_request(trait) else PART_WINDOW_S
        return max(sound.time_s(trait), now_s - window_s)

    return {
        trait: count
        for trait, count in count_by_trait(crashes, counts_since_s).items()
        if count >= _crashes_needed(trait, sound, past_traits)
    }


def _keep_common_to_all(
    common: set[str], first: str, crashes: Iterable[Crash], now_s: float
) -> None:
    """Removes the traits that can be told apart from the first one."""
    for crash in crashes:
        if is_request(first) or now_s - crash.time_s < PART_WINDOW_S:
            _keep_common(common, first, crash)


def _find_depths(requests: Iterable[Traits]) -> dict[str, int]:
    """Returns how special each trait is, at most, among those of a request."""
    depths: dict[str, int] = {}
    for traits in requests:
        for depth, trait in enumerate(traits):
            depths[trait] = max(depth, depths.get(trait, 0))
    return depths


def _keep_common(common: set[str], first: str, crash: Crash) -> None:
    """Keeps the traits that all requests with the first one have."""
    for traits in crash.requests:
        if first in traits:
            common.intersection_update(traits)


def _crashes_needed(
    trait: str, sound: SoundTraits, past_traits: Container[str]
) -> int:
    if trait in past_traits:
        if is_request(trait):
            return CRASHES_TO_QUARANTINE_REQUEST_AGAIN
        return CRASHES_TO_QUARANTINE_PART_AGAIN
    if trait in sound:
        return CRASHES_TO_QUARANTINE_KNOWN
    return CRASHES_TO_QUARANTINE
