"""A quarantine of requests that crash servers, and how long it lasts."""

from typing import NamedTuple

from savorylift.backends.traits import is_request

# Parts stay quarantined for this long after the last request with them, but no
# longer than the maximum in all; requests for as long as they come again.
PART_QUARANTINE_S = 120.0
MAX_PART_QUARANTINE_S = 600.0
REQUEST_QUARANTINE_S = 1800.0
# After this time one request is tried. If its server crashes, the next one
# follows after twice the time. A part is tried sooner, since many depend on it.
FIRST_PART_TRIAL_S = 40.0
FIRST_REQUEST_TRIAL_S = 600.0

QuarantinedTraits = frozenset[str]


class Quarantine(NamedTuple):
    """A quarantine of the requests that have all of some traits.

    Attributes:
        traits: The traits.
        since_s: Monotonic time at which it began.
        until_s: Monotonic time at which it ends.
        next_trial_s: Monotonic time from which one request may be tried.
        trials: Number of trials so far.
    """

    traits: QuarantinedTraits
    since_s: float
    until_s: float
    next_trial_s: float
    trials: int = 0

    @classmethod
    def begin(cls, traits: QuarantinedTraits, now_s: float) -> "Quarantine":
        """Returns a quarantine that begins now."""
        found = cls(traits, now_s, now_s, now_s)
        return found.extend(now_s)._replace(
            next_trial_s=now_s + found.first_trial_after_s
        )

    @property
    def is_for_request(self) -> bool:
        """Whether it is for one request and its repeats."""
        return any(map(is_request, self.traits))

    @property
    def first_trial_after_s(self) -> float:
        """Time from the beginning to the first trial."""
        if self.is_for_request:
            return FIRST_REQUEST_TRIAL_S
        return FIRST_PART_TRIAL_S

    def extend(self, now_s: float) -> "Quarantine":
        """Returns the quarantine after another request with the traits."""
        until_s = min(
            now_s + PART_QUARANTINE_S, self.since_s + MAX_PART_QUARANTINE_S
        )
        if self.is_for_request:
            until_s = now_s + REQUEST_QUARANTINE_S
        return self._replace(until_s=max(self.until_s, until_s))

    def begin_trial(self, now_s: float) -> "Quarantine":
        """Returns the quarantine after a request was let through."""
        trials = self.trials + 1
        next_trial_s = now_s + self.first_trial_after_s * 2**trials
        return self._replace(next_trial_s=next_trial_s, trials=trials)
