"""Tests of the admission of requests by the configuration."""

from typing import Any

import pytest
from returns.pipeline import is_successful

from savorylift.exchange.admission import admit
from savorylift.outcomes import Reason
from savorylift.routing.configuration import Configuration, Target, Team
from tests.exchange.factories import (
    make_caller_request,
    make_configuration,
    make_route,
)

TEAMS = {"k": Team("t", 1), "plain": Team("u", None)}


@pytest.mark.parametrize(
    ("cfg", "fields", "status", "reason"),
    [
        (None, {}, 503, Reason.NODE_STARTING),
        (make_configuration(), {"path": "/z"}, 404, Reason.NOT_FOUND),
        (make_configuration(), {"host": "z"}, 404, Reason.NOT_FOUND),
        (make_configuration(teams=TEAMS), {}, 401, Reason.UNKNOWN_TEAM),
        (
            make_configuration(teams=TEAMS),
            {"api_key": "x"},
            401,
            Reason.UNKNOWN_TEAM,
        ),
        (
            make_configuration(
                [make_route()._replace(targets=(Target("gone", 1.0),))]
            ),
            {},
            503,
            Reason.UNKNOWN_SERVICE,
        ),
        (
            make_configuration([make_route()._replace(targets=())]),
            {},
            503,
            Reason.UNKNOWN_SERVICE,
        ),
    ],
)
def test_refuses_request_with_status_and_reason(
    cfg: Configuration | None,
    fields: dict[str, Any],
    status: int,
    reason: Reason,
) -> None:
    result = admit(make_caller_request()._replace(**fields), cfg, 60.0)
    assert not is_successful(result)
    refused = result.failure()
    assert (refused.status, refused.reason) == (status, reason)
    assert (refused.retry_after_s is not None) is (status == 503)


@pytest.mark.parametrize(("key", "priority"), [("k", 1), ("plain", 2)])
def test_team_priority_overrides_route_priority(
    key: str, priority: int
) -> None:
    cfg = make_configuration(teams=TEAMS)
    admitted = admit(
        make_caller_request()._replace(api_key=key), cfg, 60.0
    ).unwrap()
    assert admitted.team is not None
    assert admitted.priority == priority


def test_public_route_requires_no_api_key() -> None:
    cfg = make_configuration(
        [make_route()._replace(is_public=True)], teams=TEAMS
    )
    assert admit(make_caller_request(), cfg, 60.0).unwrap().team is None


@pytest.mark.parametrize(
    ("left_s", "timeout_s", "expected_s"),
    [(3.0, 1.5, 1.5), (1.0, 1.5, 1.0), (None, 1.5, 1.5), (None, None, 60.0)],
)
def test_shortest_timeout_sets_the_deadline(
    left_s: float | None, timeout_s: float | None, expected_s: float
) -> None:
    cfg = make_configuration([make_route()._replace(timeout_s=timeout_s)])
    caller_request = make_caller_request()._replace(
        time_left_s=left_s, arrived_s=10.0
    )
    assert (
        admit(caller_request, cfg, 60.0).unwrap().deadline_s
        == 10.0 + expected_s
    )


def test_traffic_split_follows_weights() -> None:
    cfg = make_configuration(
        [
            make_route()._replace(
                targets=(Target("s", 90.0), Target("missing", 10.0))
            )
        ]
    )
    served = sum(
        is_successful(
            admit(make_caller_request()._replace(attempt_id=f"a{n}"), cfg, 60.0)
        )
        for n in range(2000)
    )
    assert 0.85 < served / 2000 < 0.95


def test_same_attempt_always_gets_same_service() -> None:
    cfg = make_configuration(
        [
            make_route()._replace(
                targets=(Target("s", 1.0), Target("missing", 1.0))
            )
        ]
    )
    results = {
        is_successful(admit(make_caller_request(), cfg, 60.0)) for _ in range(9)
    }
    assert len(results) == 1
