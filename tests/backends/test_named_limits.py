"""Tests of what is believed of the limits that servers name."""

from collections.abc import Iterator

import pytest
from freezegun import freeze_time
from freezegun.api import FrozenDateTimeFactory

from savorylift.backends.named_limits import (
    ENDED_REPORT_S,
    MAX_REPORTS,
    RETENTION_S,
    NamedLimit,
    NamedLimits,
)
from savorylift.fleet.limit_messages import LimitReport
from tests.exchange.factories import make_server_entry

ENTRY = make_server_entry()
UNREADABLE = NamedLimit(None)


@pytest.fixture
def clock() -> Iterator[FrozenDateTimeFactory]:
    with freeze_time() as frozen:
        assert isinstance(frozen, FrozenDateTimeFactory)
        yield frozen


@pytest.mark.parametrize(
    ("responses", "limit", "changes"),
    [
        ([None], None, [False]),
        ([NamedLimit(1.8)], 1.8, [True]),
        ([NamedLimit(0.0)], 0.0, [True]),
        ([NamedLimit(1.8), NamedLimit(1.8)], 1.8, [True, False]),
        ([NamedLimit(1.8), NamedLimit(3.0)], 3.0, [True, True]),
        ([NamedLimit(1.8), None], None, [True, True]),
        ([NamedLimit(1.8), UNREADABLE], 1.8, [True, False]),
        ([UNREADABLE], None, [False]),
    ],
)
def test_newest_response_decides(
    responses: list[NamedLimit | None],
    limit: float | None,
    changes: list[bool],
) -> None:
    limits = NamedLimits()
    found = [limits.record_response(ENTRY, named) for named in responses]
    assert found == changes
    assert limits.find(ENTRY) == limit


def test_limit_is_not_held_against_a_server_that_started_again() -> None:
    limits = NamedLimits()
    limits.record_response(ENTRY, NamedLimit(1.8))
    assert limits.find(ENTRY._replace(started_ms=2)) is None
    assert limits.find(ENTRY._replace(server_id="i-2")) is None


@pytest.mark.parametrize(
    ("age_s", "started_ms", "limit"),
    [(0.5, 1, 5.0), (1.5, 1, 1.8), (1.5, 2, 5.0), (0.5, 0, 1.8)],
)
def test_newer_report_of_another_node_replaces_a_limit(
    clock: FrozenDateTimeFactory,
    age_s: float,
    started_ms: int,
    limit: float,
) -> None:
    limits = NamedLimits()
    limits.record_response(ENTRY, NamedLimit(1.8))
    clock.tick(1.0)
    limits.merge(LimitReport(ENTRY.server_id, started_ms, 5.0, age_s))
    assert limits.find(ENTRY._replace(started_ms=max(started_ms, 1))) == limit


def test_report_that_a_limit_ended_is_not_undone_by_an_older_one(
    clock: FrozenDateTimeFactory,
) -> None:
    limits = NamedLimits()
    limits.record_response(ENTRY, NamedLimit(1.8))
    clock.tick(1.0)
    assert limits.merge(LimitReport(ENTRY.server_id, 1, None, 0.0))
    assert not limits.merge(LimitReport(ENTRY.server_id, 1, 1.8, 0.5))
    assert limits.find(ENTRY) is None


def test_what_is_kept_and_reported_is_bounded(
    clock: FrozenDateTimeFactory,
) -> None:
    limits = NamedLimits()
    for number in range(2 * MAX_REPORTS):
        entry = make_server_entry(f"i-{number}")
        limits.record_response(entry, NamedLimit(1.0))
    assert len(limits.reports()) == MAX_REPORTS
    for number in range(2 * MAX_REPORTS):
        limits.record_response(make_server_entry(f"i-{number}"), None)
    clock.tick(ENDED_REPORT_S + 0.1)
    assert limits.reports() == ()
    clock.tick(RETENTION_S)
    limits.forget_old(lambda _: True)
    assert limits.report("i-1") is None


@pytest.mark.parametrize("is_registered", [True, False])
def test_limit_is_kept_for_as_long_as_its_server_is_registered(
    clock: FrozenDateTimeFactory, *, is_registered: bool
) -> None:
    limits = NamedLimits()
    limits.record_response(ENTRY, NamedLimit(1.8))
    clock.tick(10 * RETENTION_S)
    limits.forget_old(lambda _: is_registered)
    assert limits.find(ENTRY) == (1.8 if is_registered else None)


def test_age_is_that_of_the_response(clock: FrozenDateTimeFactory) -> None:
    limits = NamedLimits()
    limits.merge(LimitReport(ENTRY.server_id, 1, 1.8, 0.5))
    clock.tick(1.0)
    (report,) = limits.reports()
    assert report.age_s == pytest.approx(1.5)
