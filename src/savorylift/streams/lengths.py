"""Output lengths learned per team and model, in tokens.

A sketch counts lengths in bins whose edges grow by a factor of `2 ** (1 / 3)`
and halves its counts at `MAX_COUNT`, so that old lengths are forgotten slowly
and a sketch has a fixed size.
"""

import math
import operator
import threading
from array import array
from bisect import bisect_left, bisect_right
from collections import OrderedDict
from collections.abc import Sequence
from itertools import accumulate, pairwise
from typing import NamedTuple

BINS = 48
BINS_PER_DOUBLING = 3
EDGES = [0.0] + [2 ** (i / BINS_PER_DOUBLING) for i in range(1, BINS + 1)]
MIDDLES = [(low + high) / 2 for low, high in pairwise(EDGES)]
MAX_COUNT = 1024  # halved there
TEAM_PRIOR_WEIGHT = 12.0  # observations that the model's lengths count for
MODEL_PRIOR_WEIGHT = 12.0
PRIOR_FROM_TOKENS = 16
PRIOR_TO_TOKENS = 1024
MAX_SKETCHES = 8192
LEAST_LEVEL = 1e-9


class Sketch:
    """Counts of lengths in logarithmic bins, with exponential forgetting."""

    __slots__ = ("counts", "total")

    def __init__(self) -> None:
        """Starts without observations."""
        self.counts = array("H", bytes(2 * BINS))
        self.total = 0

    def add(self, length: int) -> None:
        """Counts one length."""
        self.counts[bin_of(length)] += 1
        self.total += 1
        if self.total >= MAX_COUNT:
            self.counts = array("H", (count // 2 for count in self.counts))
            self.total = sum(self.counts)


class LengthKey(NamedTuple):
    """Whose lengths a sketch counts."""

    team: str
    model: str


class Lengths:
    """Distributions of output lengths, for any number of threads.

    A team's counts are added to the model's, scaled to `TEAM_PRIOR_WEIGHT`
    observations, and those to a prior. A team that is little known is thus
    judged by its model, and a model by the prior, without a step that could
    make an estimate fall while an output grows.
    """

    def __init__(self, max_sketches: int = MAX_SKETCHES) -> None:
        """Starts with the prior alone; keeps `max_sketches` teams' lengths."""
        self._lock = threading.Lock()
        self._max_sketches = max_sketches
        self._teams: OrderedDict[LengthKey, Sketch] = OrderedDict()
        self._models: dict[str, Sketch] = {}
        self._blends: dict[str, Sequence[float]] = {}

    def __len__(self) -> int:
        """Returns the number of teams' sketches kept."""
        return len(self._teams)

    def note(self, team: str, model: str, length: int) -> None:
        """Learns the length of a completed output."""
        key = LengthKey(team, model)
        with self._lock:
            self._team_sketch(key).add(length)
            sketch = self._models.setdefault(model, Sketch())
            sketch.add(length)
            self._blends[model] = _blend(
                sketch.counts, _PRIOR, MODEL_PRIOR_WEIGHT
            )

    def quantile(
        self, team: str, model: str, level: float, produced: int
    ) -> float:
        """Returns a quantile of the whole length, given `produced` tokens.

        The result grows with `produced` and is never below it.
        """
        weights = self._weights(team, model)
        return conditional_quantile(weights, level, produced)

    def mean(self, team: str, model: str, produced: int) -> float:
        """Returns the expected whole length, given `produced` tokens."""
        weights = self._weights(team, model)
        return conditional_mean(weights, produced)

    def _weights(self, team: str, model: str) -> Sequence[float]:
        key = LengthKey(team, model)
        blend = self._blends.get(model, _PRIOR)
        with self._lock:
            sketch = self._teams.get(key)
            if sketch is None:
                return blend
            self._teams.move_to_end(key)
            counts = sketch.counts
            return [
                count + TEAM_PRIOR_WEIGHT * share
                for count, share in zip(counts, blend, strict=True)
            ]

    def _team_sketch(self, key: LengthKey) -> Sketch:
        sketch = self._teams.get(key)
        if sketch is None:
            sketch = self._teams[key] = Sketch()
            if len(self._teams) > self._max_sketches:
                self._teams.popitem(last=False)
        self._teams.move_to_end(key)
        return sketch


def bin_of(length: float) -> int:
    """Returns the bin that counts a length."""
    return min(BINS - 1, bisect_right(EDGES, length) - 1) if length > 0 else 0


def conditional_quantile(
    weights: Sequence[float], level: float, produced: int
) -> float:
    """Returns a quantile of the lengths above `produced`.

    Lengths are taken as uniform within a bin. Above the last length known,
    the output is expected to double.
    """
    first = bin_of(produced)
    first_share = _share_above(first, produced)
    masses = [weights[first] * first_share, *weights[first + 1 :]]
    sums = list(accumulate(masses))
    if sums[-1] <= 0:
        return 2.0 * max(1, produced)
    wanted = max(level, LEAST_LEVEL) * sums[-1]
    offset = bisect_left(sums, wanted)  # its mass is not zero
    index = first + offset
    low = max(float(produced), EDGES[index])
    before = sums[offset] - masses[offset]
    part = (wanted - before) / masses[offset]
    return low + min(1.0, part) * max(0.0, EDGES[index + 1] - low)


def conditional_mean(weights: Sequence[float], produced: int) -> float:
    """Returns the mean of the lengths above `produced`."""
    first = bin_of(produced)
    total = weights[first] * _share_above(first, produced)
    low = max(float(produced), EDGES[first])
    weighted = total * (low + max(low, EDGES[first + 1])) / 2
    above = weights[first + 1 :]
    total += sum(above)
    weighted += sum(map(operator.mul, above, MIDDLES[first + 1 :]))
    return weighted / total if total > 0 else 2.0 * max(1, produced)


def _share_above(index: int, produced: int) -> float:
    low, high = EDGES[index], EDGES[index + 1]
    return min(1.0, max(0.0, (high - produced) / (high - low)))


def _blend(
    counts: Sequence[float], base: Sequence[float], weight: float
) -> Sequence[float]:
    """Returns shares that sum to 1, of counts and `weight` times `base`."""
    mixed = [c + weight * b for c, b in zip(counts, base, strict=True)]
    total = math.fsum(mixed)
    return array("d", (value / total for value in mixed))


def _prior() -> Sequence[float]:
    first, last = bin_of(PRIOR_FROM_TOKENS), bin_of(PRIOR_TO_TOKENS)
    known = [1.0 if first <= i <= last else 0.0 for i in range(BINS)]
    return _blend(known, [0.0] * BINS, 0.0)


_PRIOR = _prior()
