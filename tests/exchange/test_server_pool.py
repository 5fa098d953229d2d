"""Tests of the servers that a request may be sent to."""

import time
from typing import Any

import pytest

from savorylift.exchange.admission import AdmittedRequest
from savorylift.exchange.request import KnownRun
from savorylift.placement.engines import EngineOptions
from savorylift.routing.configuration import Service, Team
from tests.exchange.factories import (
    ENGINE,
    make_admitted_request,
    make_full_pool,
    make_generation_request,
    make_pool,
    make_route,
    make_server_entry,
    make_store_view,
)

FAILURE_DOMAIN = "z1"  # of all servers that the factories make
OPTIONS = EngineOptions(ENGINE, 100)


def make_restricted_request(
    route_regions: set[str], team_regions: set[str]
) -> AdmittedRequest:
    """Returns a request whose route and team are restricted to regions."""
    route = make_route()._replace(regions=frozenset(route_regions))
    team = Team("t", None, frozenset(team_regions))
    return make_admitted_request(route=route)._replace(team=team)


@pytest.mark.parametrize(
    ("route_regions", "team_regions", "is_found"),
    [
        (set(), set(), True),
        ({"here"}, set(), True),
        (set(), {"here"}, True),
        ({"here", "there"}, {"here"}, True),
        ({"there"}, set(), False),
        ({"here"}, {"there"}, False),
    ],
)
def test_requests_stay_in_the_regions_of_route_and_team(
    route_regions: set[str], team_regions: set[str], *, is_found: bool
) -> None:
    server_pool = make_pool(
        make_store_view(a=9), region_by_domain={FAILURE_DOMAIN: "here"}
    )
    admitted = make_restricted_request(route_regions, team_regions)
    assert (
        server_pool.reserve_plain_server(admitted, ()) is not None
    ) is is_found
    assert server_pool.choice.has_untried_server(admitted, ()) is is_found


@pytest.mark.parametrize(
    ("changes", "is_eligible"),
    [
        ({}, True),
        ({"is_leaving": True}, False),
        ({"service": "other"}, False),
        ({"failure_domain": "out"}, False),
        ({"server_id": "tried"}, False),
        ({"server_id": "out-of-service"}, False),
    ],
)
def test_ineligible_servers_are_skipped(
    changes: dict[str, Any], *, is_eligible: bool
) -> None:
    store_view = make_store_view()
    store_view.evacuated = frozenset({"out", "out-of-service"})
    entry = make_server_entry()._replace(**changes)
    store_view.registry.put(entry, time.monotonic())
    server_pool = make_pool(store_view)
    admitted = make_admitted_request()
    assert server_pool.choice.has_server(admitted, {"tried"}) is is_eligible
    assert (
        server_pool.choice.has_untried_server(admitted, {"tried"})
        is is_eligible
    )
    found = server_pool.reserve_plain_server(admitted, {"tried"})
    assert bool(found) is is_eligible


def test_server_in_unknown_region_gets_no_restricted_request() -> None:
    server_pool = make_pool(make_store_view(a=9))
    assert (
        server_pool.reserve_plain_server(
            make_restricted_request({"here"}, set()), ()
        )
        is None
    )
    assert (
        server_pool.reserve_plain_server(
            make_restricted_request(set(), set()), ()
        )
        is not None
    )


def test_cold_server_of_service_without_rate_gets_one_request() -> None:
    store_view = make_store_view(a=9)
    server = store_view.registry.servers["a"].entry
    store_view.registry.put(
        server._replace(sequence=2, cold_s=60.0), time.monotonic()
    )
    admitted = make_admitted_request()._replace(service=Service("s", 0.0, None))
    server_pool = make_pool(store_view)
    picked = [server_pool.reserve_plain_server(admitted, ()) for _ in range(5)]
    assert sum(server is not None for server in picked) == 1


@pytest.mark.parametrize(
    ("peer_requests", "silent_count", "is_cold", "is_found"),
    [
        ((0, 2), 0, True, True),
        ((2, 1), 0, True, True),
        ((2, 2), 0, True, False),
        # The runs of a silent node may go on: its places aren't free.
        ((2, 2), 1, True, False),
        ((2, 0), 1, True, True),
        ((2, 2), 2, True, False),
        # A warm server has the same room for all nodes.
        ((0, 0), 0, False, False),
    ],
)
def test_places_of_other_nodes_at_a_cold_server_are_known(
    peer_requests: tuple[int, int],
    silent_count: int,
    *,
    is_cold: bool,
    is_found: bool,
) -> None:
    server_pool = make_full_pool(peer_requests, silent_count, is_cold=is_cold)
    admitted = make_admitted_request()
    assert server_pool.choice.has_place_elsewhere(admitted, ()) is is_found
    assert not server_pool.choice.has_place_elsewhere(admitted, ("a",))


def make_taken_up_request(server_id: str) -> AdmittedRequest:
    """Returns a request for the rest of a run that it names."""
    req = make_generation_request()._replace(
        known_run=KnownRun("run-1", server_id)
    )
    return make_admitted_request(req, engine=ENGINE)


@pytest.mark.parametrize(
    ("change", "is_asked"),
    [
        ({}, True),
        ({"is_leaving": True}, True),
        ({"failure_domain": "out"}, True),
        ({"service": "other"}, False),
        ({"failure_domain": "elsewhere"}, False),
        ({"software_version": "v2"}, False),
    ],
)
def test_known_run_goes_on_where_nothing_new_may_begin(
    change: dict[str, Any], *, is_asked: bool
) -> None:
    store_view = make_store_view(a=9, b=10)
    entry = store_view.registry.servers["a"].entry
    entry = entry._replace(sequence=2, **{"software_version": "v1", **change})
    store_view.registry.put(entry, time.monotonic())
    store_view.evacuated = frozenset({"out"})
    server_pool = make_pool(
        store_view, region_by_domain={FAILURE_DOMAIN: "here", "out": "here"}
    )
    admitted = make_taken_up_request("a")._replace(
        route=make_route()._replace(regions=frozenset({"here"})),
        software_version="v1",
    )
    found = server_pool.reserve_known_engine(admitted, OPTIONS, ())
    assert (found is not None) is is_asked
    assert server_pool.choice.has_server(admitted, ("b",)) is is_asked
    assert server_pool.reserve_known_engine(admitted, OPTIONS, ("a",)) is None
    if found is not None:
        assert server_pool.may_send(found, admitted.req)
        server_pool.holds.record("a", 1.0)
        assert not server_pool.may_send(found, admitted.req)
        assert server_pool.reserve_known_engine(admitted, OPTIONS, ()) is None
