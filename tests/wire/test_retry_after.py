"""Tests of parsing `Retry-After`."""

import pytest

from savorylift.wire.retry_after import parse_retry_after

SENT = "Sat, 05 Dec 2026 14:00:00 GMT"


@pytest.mark.parametrize(
    ("values", "expected"),
    [
        ([], None),
        (["5"], 5.0),
        (["0.25"], 0.25),
        ([" 2 "], 2.0),
        (["0"], None),
        (["-3"], None),
        (["1e9"], None),
        (["nan"], None),
        (["inf"], None),
        (["soon"], None),
        (["9" * 400], None),
        (["86400"], 86400.0),
        (["1", "7", "x"], 7.0),
        (["Sat, 05 Dec 2026 14:00:30 GMT"], 30.0),
        (["Sat, 05 Dec 2026 13:59:00 GMT"], None),
        (["Sat, 99 Dec 2026 13:59:00 GMT"], None),
    ],
)
def test_longest_delay_counts(
    values: list[str], expected: float | None
) -> None:
    assert parse_retry_after(values, SENT) == expected


@pytest.mark.parametrize("sent", [None, "", "yesterday"])
def test_date_counts_only_with_the_date_of_the_response(
    sent: str | None,
) -> None:
    assert parse_retry_after([SENT], sent) is None
