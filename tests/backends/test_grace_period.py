"""Tests of the time after an outage in which entries may be missing."""

from savorylift.backends.grace_period import GracePeriod


def test_period_counts_from_the_return_and_is_never_shortened_by_an_older() -> (
    None
):
    period = GracePeriod(2.0)
    assert period.is_over(0.0)
    period.start(10.0)
    period.start(9.0)
    assert not period.is_over(11.9)
    assert period.is_over(12.0)


def test_period_that_is_dated_back_ends_earlier_and_never_later() -> None:
    period = GracePeriod(2.0)
    period.start(10.0)
    period.date_back(9.0)
    assert period.is_over(11.0)
    period.date_back(20.0)
    assert period.is_over(11.0)
