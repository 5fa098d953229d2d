"""Tests of times in which the store answered without an outage."""

import pytest

from savorylift.fleet.answering_span import JOIN_GAP_S, AnsweringSpan

SPAN = AnsweringSpan(1, 10.0, 20.0)


@pytest.mark.parametrize(
    ("other", "since_s"),
    [
        (AnsweringSpan(1, 4.0, 12.0), 4.0),
        (AnsweringSpan(1, 4.0, 10.0 - JOIN_GAP_S / 2), 4.0),
        (AnsweringSpan(1, 4.0, 10.0 - 2 * JOIN_GAP_S), 10.0),
        (AnsweringSpan(0, 4.0, 12.0), 10.0),
        (AnsweringSpan(1, 12.0, 30.0), 10.0),
    ],
)
def test_spans_join_where_no_outage_of_their_era_lies_between(
    other: AnsweringSpan, since_s: float
) -> None:
    assert SPAN.joined([other]) == SPAN._replace(since_s=since_s)


def test_spans_join_over_several_others() -> None:
    others = [AnsweringSpan(1, 1.0, 5.0), AnsweringSpan(1, 4.5, 11.0)]
    assert SPAN.joined(others).since_s == 1.0
