"""Tests of the configuration that is built from a rules file."""

import pytest

from savorylift.routing.configuration import (
    Configuration,
    RouteKind,
    find_route,
)
from savorylift.rules.check import check_rules
from savorylift.rules.configuration import build_configuration
from tests.rules.test_check import VALID_RULES


def configuration() -> Configuration:
    return build_configuration(check_rules(VALID_RULES, "r").unwrap(), 7)


@pytest.mark.parametrize(
    ("path", "kind", "repeatable"),
    [
        ("/v1/completions/vine/", RouteKind.STREAM, set()),
        ("/v1/services/crew-app/shifts/1", RouteKind.ONCE, {"GET", "HEAD"}),
        ("/v1/services/ledger/", RouteKind.ONCE, set()),
    ],
)
def test_models_and_services_have_routes(
    path: str, kind: RouteKind, repeatable: set[str]
) -> None:
    route = find_route(configuration(), "", path)
    assert route is not None
    assert route.kind is kind
    assert set(route.repeatable_methods) == repeatable


def test_unknown_names_have_no_route() -> None:
    assert find_route(configuration(), "", "/v1/completions/oak/") is None
    assert find_route(configuration(), "", "/v1/services/crew/x") is None


def test_servers_have_the_limits_of_their_rules() -> None:
    runner, crew = configuration().servers
    assert runner.server_id == "runner-1"
    assert runner.address == ("127.0.0.1", 9001)
    assert (runner.max_cold_requests, runner.slots) == (2, 16)
    assert crew.service == "service crew-app"
    service = configuration().services[runner.service]
    assert service.model_version == "v1"
    assert service.engine is not None
    assert service.engine.memory_tokens == 40_000


def test_teams_have_the_limits_of_their_rules() -> None:
    teams = configuration().teams_by_key
    assert teams is not None
    assert teams["weight"].services is None
    assert teams["weight"].max_open_requests == 64
    small = teams["small"]
    assert set(small.services or ()) == {
        "model vine",
        "service crew-app",
        "service ledger",
    }
    assert small.max_open_requests is None
    assert small.source is not None
    assert small.source.asked_by == "noor: trial"
