"""An estimate of a server's speed that fades while nothing is heard."""

import math
from typing import NamedTuple

# After this time without news, half of what is known counts.
HALF_LIFE_S = 20.0
# Samples of the usual speed that are assumed beside those seen: a few slow ones
# by chance don't make a slow server.
PRIOR_SAMPLES = 8.0
# One sample says no more than that a server is so many times slower or faster.
MAX_RATIO = 4.0


class SpeedEstimate(NamedTuple):
    """How much longer than usual a server takes.

    Attributes:
        samples: Number of samples, as far as they still count.
        total: Sum of their binary logarithms of time by usual time.
        at_s: Monotonic time at which that was so.
    """

    samples: float = 0.0
    total: float = 0.0
    at_s: float = 0.0

    def add(self, ratio: float, now_s: float) -> "SpeedEstimate":
        """Returns it with another sample."""
        faded = self.fade(now_s)
        clipped = min(max(ratio, 1 / MAX_RATIO), MAX_RATIO)
        return SpeedEstimate(
            faded.samples + 1.0, faded.total + math.log2(clipped), now_s
        )

    def fade(self, now_s: float) -> "SpeedEstimate":
        """Returns what still counts of it."""
        share = 0.5 ** (max(now_s - self.at_s, 0.0) / HALF_LIFE_S)
        return SpeedEstimate(self.samples * share, self.total * share, now_s)

    def replace(
        self, old: "SpeedEstimate", new: "SpeedEstimate", now_s: float
    ) -> "SpeedEstimate":
        """Returns it with what is newly known of some of its samples.

        Args:
            old: The part of it that is replaced.
            new: What takes its place.
            now_s: Monotonic time.
        """
        faded, gone, come = self.fade(now_s), old.fade(now_s), new.fade(now_s)
        return SpeedEstimate(
            max(faded.samples - gone.samples, 0.0) + come.samples,
            faded.total - gone.total + come.total,
            now_s,
        )

    @property
    def slowdown(self) -> float:
        """How much longer it takes: 1.0 as long as little is known."""
        return float(2 ** (self.total / (self.samples + PRIOR_SAMPLES)))
