"""Tests of why servers take nothing, and when callers may return."""

from types import SimpleNamespace
from typing import Any

import pytest

from savorylift.exchange.server_waits import ServerWaits
from tests.exchange.factories import make_server

ADMITTED: Any = None


def make_waits(server_ids: list[str], open_ids: set[str]) -> ServerWaits:
    """Makes servers of which some have a permit left."""
    allowed: Any = SimpleNamespace(
        find=lambda _admitted, tried: [
            make_server(s) for s in server_ids if s not in tried
        ]
    )
    gate: Any = SimpleNamespace(
        is_open=lambda entry: entry.server_id in open_ids
    )
    holds: Any = SimpleNamespace(
        assign_return_s=lambda ids: float(len(ids)) or None
    )
    return ServerWaits(allowed, gate, holds)


@pytest.mark.parametrize(
    ("servers", "open_ids", "tried", "is_closed"),
    [
        (["a", "b"], set(), [], True),
        (["a", "b"], {"b"}, [], False),
        (["a", "b"], {"b"}, ["b"], True),
        # Not for limits: there is none.
        (["a"], set(), ["a"], False),
        ([], set(), [], False),
    ],
)
def test_limits_close_a_service_if_none_of_the_rest_has_a_permit(
    servers: list[str], open_ids: set[str], tried: list[str], *, is_closed: bool
) -> None:
    waits = make_waits(servers, open_ids)
    assert waits.is_closed_by_limits(ADMITTED, tried) is is_closed


@pytest.mark.parametrize(
    ("tried", "expected_s"), [([], 2.0), (["a"], 1.0), (["a", "b"], None)]
)
def test_only_servers_that_remain_can_be_held(
    tried: list[str], expected_s: float | None
) -> None:
    waits = make_waits(["a", "b"], set())
    assert waits.shortest_hold_s(ADMITTED, tried) == expected_s
