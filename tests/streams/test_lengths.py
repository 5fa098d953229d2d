"""Learned lengths against a sorted list of the same lengths."""

import itertools
import math

import pytest
from hypothesis import given
from hypothesis import strategies as st

from savorylift.streams.lengths import BINS_PER_DOUBLING, Lengths

BIN_RATIO = 2 ** (1 / BINS_PER_DOUBLING)
LENGTHS = st.lists(st.integers(1, 30_000), min_size=1, max_size=60)
TEAM, MODEL = "desk", "m"


def learned(lengths: list[int], copies: int = 1) -> Lengths:
    found = Lengths()
    for length in lengths * copies:
        found.note(TEAM, MODEL, length)
    return found


@given(LENGTHS, st.floats(0.05, 0.95), st.data())
def test_quantile_is_within_a_bin_of_a_sorted_list(
    lengths: list[int], level: float, data: st.DataObject
) -> None:
    # So many copies that the prior is a small part of what is known.
    found = learned(lengths, copies=900 // len(lengths))
    produced = data.draw(st.integers(0, max(lengths) - 1))
    left = sorted(n for n in lengths if n > produced)
    slack = 0.15  # prior, and lengths that share the bin of `produced`
    low = left[max(0, math.floor((level - slack) * len(left)))]
    high = left[min(len(left) - 1, math.floor((level + slack) * len(left)))]
    quantile = found.quantile(TEAM, MODEL, level, produced)
    if len(left) >= len(lengths) / 2:
        assert low / BIN_RATIO - 1 <= quantile <= high * BIN_RATIO + 1


@given(LENGTHS, st.floats(0.0, 1.0), st.lists(st.integers(0, 70_000)))
def test_estimates_grow_with_output_and_stay_above_it(
    lengths: list[int], level: float, produced: list[int]
) -> None:
    found, outputs = learned(lengths), sorted(produced)
    for estimate in (
        [found.quantile(TEAM, MODEL, level, n) for n in outputs],
        [found.mean(TEAM, MODEL, n) for n in outputs],
    ):
        pairs = itertools.pairwise(estimate)
        assert all(b >= a * (1 - 1e-9) for a, b in pairs)
        both = zip(outputs, estimate, strict=True)
        assert all(count <= value for count, value in both)


class StepwiseLengths(Lengths):
    """Baseline: turns to the model's lengths past the team's usual ones."""

    def mean(self, team: str, model: str, produced: int) -> float:
        is_unusual = produced > 900
        return super().mean("new" if is_unusual else team, model, produced)


@pytest.mark.parametrize("kind", [Lengths, StepwiseLengths])
def test_falling_back_to_the_model_makes_no_step(
    kind: type[Lengths],
) -> None:
    found = kind()
    for team, length, count in (("other", 850, 500), ("other", 950, 500)):
        for _ in range(count):
            found.note(team, MODEL, length)
    for _ in range(100):
        found.note(TEAM, MODEL, 3000)
    means = [found.mean(TEAM, MODEL, n) for n in range(0, 1300, 10)]
    is_monotone = all(b >= a - 1e-6 for a, b in itertools.pairwise(means))
    assert is_monotone is (kind is Lengths)


@pytest.mark.parametrize(
    ("team", "model", "low", "high"),
    [
        (TEAM, MODEL, 900, 1100),  # its own lengths
        ("new", MODEL, 900, 1100),  # the model's
        (TEAM, "other", 16, 1300),  # the prior
    ],
)
def test_little_known_falls_back(
    team: str, model: str, low: float, high: float
) -> None:
    found = learned([1000] * 500)
    assert low <= found.quantile(team, model, 0.5, 0) <= high


def test_old_lengths_are_forgotten() -> None:
    found = learned([2000] * 1000 + [20] * 4000)
    assert found.quantile(TEAM, MODEL, 0.9, 0) < 40


def test_number_of_teams_is_bounded() -> None:
    found = Lengths(max_sketches=16)
    for number in range(100):
        found.note(f"team-{number}", MODEL, 10)
    assert len(found) == 16
