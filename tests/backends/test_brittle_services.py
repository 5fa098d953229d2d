"""Tests of which services count as brittle."""

import pytest

from savorylift.backends.brittle_services import EXPIRY_S, BrittleServices
from savorylift.fleet.server_sightings import BrittleNews


@pytest.fixture
def clock(monkeypatch: pytest.MonkeyPatch) -> list[float]:
    now_s = [100.0]
    monkeypatch.setattr("time.monotonic", lambda: now_s[0])
    return now_s


def test_service_is_brittle_until_none_of_its_servers_says_so(
    clock: list[float],
) -> None:
    services = BrittleServices()
    assert services.record("s")
    assert not services.record("s")
    clock[0] += EXPIRY_S - 0.1
    assert services.is_brittle("s")
    clock[0] += 0.2
    assert not services.is_brittle("s")
    assert services.news() == ()
    assert services.record("s")


def test_other_nodes_learn_it_with_its_age(clock: list[float]) -> None:
    first, second = BrittleServices(), BrittleServices()
    first.record("s")
    clock[0] += 1.0
    second.merge(first.news())
    assert second.is_brittle("s")
    clock[0] += EXPIRY_S - 0.9
    assert not second.is_brittle("s")


@pytest.mark.parametrize("age_s", [-1.0, EXPIRY_S, float("nan"), float("inf")])
def test_unsound_news_is_dropped(clock: list[float], age_s: float) -> None:
    services = BrittleServices()
    services.merge([BrittleNews("s", age_s)])
    assert not services.is_brittle("s")


def test_news_is_bounded(clock: list[float]) -> None:
    services = BrittleServices()
    services.merge([BrittleNews(f"s{n}", 0.0) for n in range(1000)])
    assert len(services.news()) <= 64
