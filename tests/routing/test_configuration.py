"""Tests of the choice of a request's route."""

import pytest

from savorylift.routing.configuration import find_route
from tests.exchange.factories import make_configuration, make_route


@pytest.mark.parametrize(
    ("host", "path", "name"),
    [
        ("h", "/a/x", "short"),
        ("h", "/a/b/", "long"),
        ("h", "/a/b", "short"),
        ("h", "/a", None),
        ("h", "/b/", None),
        ("other", "/a/x", None),
    ],
)
def test_longest_prefix_wins(host: str, path: str, name: str | None) -> None:
    cfg = make_configuration(
        routes=[
            make_route()._replace(name="long", path_prefix="/a/b/"),
            make_route()._replace(name="short", path_prefix="/a/"),
        ]
    )
    found = find_route(cfg, host, path)
    assert (found and found.name) == name
