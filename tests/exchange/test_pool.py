"""Tests of which servers a request may reach."""

import time

import pytest

from savorylift.exchange.admission import Admitted
from savorylift.routing.configuration import Service, Team
from tests.exchange.fakes import admitted, knowledge, pool, route

DOMAIN = "z1"  # of every server of the fakes


def bound(route_to: set[str], team_to: set[str]) -> Admitted:
    """Returns a request whose route and team are bound to regions."""
    used = route()._replace(regions=frozenset(route_to))
    team = Team("t", None, frozenset(team_to))
    return admitted(used=used)._replace(team=team)


@pytest.mark.parametrize(
    ("route_to", "team_to", "is_found"),
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
    route_to: set[str], team_to: set[str], *, is_found: bool
) -> None:
    found = pool(knowledge(a=9), region_of={DOMAIN: "here"})
    adm = bound(route_to, team_to)
    assert (found.pick_plain(adm, ()) is not None) is is_found
    assert found.has_server(adm, ()) is is_found


def test_server_of_an_unknown_region_gets_no_bound_request() -> None:
    found = pool(knowledge(a=9))
    assert found.pick_plain(bound({"here"}, set()), ()) is None
    assert found.pick_plain(bound(set(), set()), ()) is not None


def test_cold_server_of_a_service_without_a_rate_is_spared() -> None:
    beliefs = knowledge(a=9)
    server = beliefs.registry.known["a"].entry
    beliefs.registry.put(
        server._replace(sequence=2, cold_s=60.0), time.monotonic()
    )
    adm = admitted()._replace(service=Service("s", 0.0, None))
    found = pool(beliefs)
    picked = [found.pick_plain(adm, ()) for _ in range(5)]
    assert sum(server is not None for server in picked) == 1
