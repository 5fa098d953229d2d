"""Sequence sets against plain sets."""

from hypothesis import given
from hypothesis import strategies as st

from savorylift.refusals.ranges import Range, SequenceSet

RANGES = st.lists(st.tuples(st.integers(0, 40), st.integers(0, 40)))


def numbers(ranges: list[Range]) -> set[int]:
    return {n for start, end in ranges for n in range(start, end)}


@given(RANGES, RANGES)
def test_behaves_like_a_set(first: list[Range], second: list[Range]) -> None:
    mine = SequenceSet(first)
    assert numbers(list(mine.ranges())) == numbers(first)
    assert len(mine) == len(numbers(first))
    assert {n for n in range(-1, 45) if n in mine} == numbers(first)
    left = mine.without(SequenceSet(second))
    assert numbers(list(left.ranges())) == numbers(first) - numbers(second)
    added = mine.add_all(second)
    assert added == len(numbers(second) - numbers(first))
    ends = [end for _, end in mine.ranges()]
    starts = [start for start, _ in mine.ranges()]
    assert all(e < s for e, s in zip(ends, starts[1:], strict=False))
