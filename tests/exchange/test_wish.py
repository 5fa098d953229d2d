"""Tests of what a generation wants, and for how long it can wait."""

import time

import freezegun
import pytest

from savorylift.exchange.admission import AdmittedRequest
from savorylift.exchange.run import Run
from savorylift.exchange.wish import (
    DEFAULT_OBJECTIVE_S,
    QUEUE_WAIT_FACTOR,
    QUEUE_WAIT_SHARE,
    STREAM_PRIORITY,
    Wish,
    first_event_objective_s,
    make_wish,
)
from savorylift.placement.engines import EngineOptions
from savorylift.routing.configuration import Team
from tests.exchange.factories import (
    ENGINE,
    make_admitted_request,
    make_generation_request,
    make_route,
)

PREFILL_PER_S = 1000.0
PROMPT_TOKENS = 200
EXPECTED_TOKENS = 600
OBJECTIVE_S = 1.0
AGE_S = 0.25


def admit(
    objective_s: float | None = OBJECTIVE_S, time_left_s: float | None = None
) -> AdmittedRequest:
    req = make_generation_request()._replace(time_left_s=time_left_s)
    route = make_route()._replace(objective_s=objective_s)
    admitted = make_admitted_request(req, route, ENGINE)
    return admitted._replace(deadline_s=req.arrived_s + 100.0)


def wish_of(admitted: AdmittedRequest, last_event: int | None = None) -> Wish:
    run = Run(admitted, EXPECTED_TOKENS)
    run.last_event = last_event
    options = EngineOptions(ENGINE, EXPECTED_TOKENS, PROMPT_TOKENS)
    return make_wish(run, options, PREFILL_PER_S)


@pytest.mark.parametrize(
    ("objective_s", "expected_s"), [(0.4, 0.4), (None, DEFAULT_OBJECTIVE_S)]
)
def test_route_without_an_objective_has_a_default(
    objective_s: float | None, expected_s: float
) -> None:
    assert first_event_objective_s(admit(objective_s)) == expected_s


def test_latest_start_leaves_time_to_read_the_prompt() -> None:
    with freezegun.freeze_time(tick=False) as clock:
        admitted = admit()
        clock.tick(AGE_S)
        wish = wish_of(admitted)
        left_s = wish.latest_start_s - time.monotonic()
        prefill_s = PROMPT_TOKENS / PREFILL_PER_S
        assert left_s == pytest.approx(OBJECTIVE_S - prefill_s - AGE_S)


@pytest.mark.parametrize(
    ("time_left_s", "deadline_s", "expected_s"),
    [
        (None, 100.0, QUEUE_WAIT_FACTOR * OBJECTIVE_S),
        # Callers who leave sooner must have time to come back.
        (3.0, 100.0, QUEUE_WAIT_SHARE * 3.0),
        (100.0, 100.0, QUEUE_WAIT_FACTOR * OBJECTIVE_S),
        (None, 0.5, 0.5),
    ],
)
def test_wait_is_bounded_from_the_arrival(
    time_left_s: float | None, deadline_s: float, expected_s: float
) -> None:
    with freezegun.freeze_time(tick=False) as clock:
        admitted = admit(time_left_s=time_left_s)
        arrived_s = admitted.req.arrived_s
        admitted = admitted._replace(deadline_s=arrived_s + deadline_s)
        clock.tick(AGE_S)
        wish = wish_of(admitted)
        assert wish.leave_s - arrived_s == pytest.approx(expected_s)


@pytest.mark.parametrize("deadline_s", [100.0, 0.5])
def test_stream_that_goes_on_is_first_and_waits_from_now(
    deadline_s: float,
) -> None:
    with freezegun.freeze_time(tick=False) as clock:
        admitted = admit()
        clock.tick(50.0)
        now_s = time.monotonic()
        admitted = admitted._replace(deadline_s=now_s + deadline_s)
        wish = wish_of(admitted, last_event=7)
        expected_s = min(QUEUE_WAIT_FACTOR * OBJECTIVE_S, deadline_s)
        assert wish.leave_s - now_s == pytest.approx(expected_s)
        assert wish.latest_start_s == wish.leave_s
        assert wish.parameters.priority == STREAM_PRIORITY


@pytest.mark.parametrize(
    ("team", "name", "cost"),
    [
        (None, "", EXPECTED_TOKENS),
        (Team("a", None), "a", EXPECTED_TOKENS),
        (Team("b", None, weight=4), "b", EXPECTED_TOKENS / 4),
    ],
)
def test_cost_is_divided_by_the_weight_of_the_team(
    team: Team | None, name: str, cost: float
) -> None:
    parameters = wish_of(admit()._replace(team=team, priority=3)).parameters
    assert parameters == (3, name, cost, EXPECTED_TOKENS)
