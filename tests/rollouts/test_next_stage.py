"""Tests of the steps of a roll-out."""

import pytest

from savorylift.fleet.rollout_messages import RolloutPhase, Stage
from savorylift.rollouts.next_stage import (
    LOAD_STEP,
    SHIFT_STEP,
    WATCH_STEP,
    Situation,
    find_next,
)
from savorylift.rollouts.order import RolloutLimits
from savorylift.rollouts.run_times import RouteRuns
from savorylift.rollouts.timetable import make_timetable
from savorylift.rollouts.verdict import Finding, Judgement, Opinion, Sample
from tests.rollouts.test_version_rules import STAGE

LIMITS = RolloutLimits(0.1, 0.0, 5.0)
DURATION_S = 20.0
FINDING = Finding("failed", "r", Sample(5, 9), Sample(0, 90), 1e-5)
TIMES = make_timetable(DURATION_S, {}, has_engines=True)
WATCH = STAGE._replace(duration_s=DURATION_S, step=WATCH_STEP, share=0.09)
FIRST = WATCH._replace(step=1, share=0.03)
BEGUN = WATCH._replace(step=0, share=0.0)
LOAD = WATCH._replace(step=LOAD_STEP, share=0.3)
SHIFT = WATCH._replace(step=SHIFT_STEP, share=1.0, phase=RolloutPhase.SHIFT)


def situation(
    elapsed_s: float, opinion: Opinion = Opinion.SOUND, **changes: object
) -> Situation:
    finding = FINDING if opinion is Opinion.BAD else None
    return Situation(
        elapsed_s=elapsed_s,
        step_age_s=2.0,
        judgement=Judgement(opinion, finding, 20, 200),
        has_new=True,
        has_old=True,
        has_engines=True,
        hears_enough=True,
        other_builds=0.0,
    )._replace(**changes)  # type: ignore[arg-type]


@pytest.mark.parametrize(
    ("stage", "now", "expected"),
    [
        # The first share goes out as soon as there are servers for it.
        (BEGUN, situation(0.1), (RolloutPhase.WATCH, 0.03)),
        (BEGUN, situation(0.1, has_new=False), None),
        (BEGUN, situation(0.1, hears_enough=False), None),
        (FIRST, situation(1.0), (RolloutPhase.WATCH, 0.09)),
        (FIRST, situation(1.0, Opinion.SUSPECT), None),
        (WATCH, situation(TIMES.load_s - 0.1), None),
        (WATCH, situation(TIMES.load_s), (RolloutPhase.WATCH, 0.3)),
        (WATCH, situation(TIMES.load_s, Opinion.UNKNOWN), None),
        (WATCH, situation(TIMES.load_s, Opinion.SUSPECT), None),
        (LOAD, situation(TIMES.load_s + 2.0), (RolloutPhase.SHIFT, 1.0)),
        (LOAD, situation(TIMES.load_s + 0.1, step_age_s=0.1), None),
        (LOAD, situation(9.0, Opinion.SUSPECT), None),
        (
            LOAD,
            situation(9.0, Opinion.SUSPECT, step_age_s=6.0),
            (RolloutPhase.ROLLED_BACK, 0.0),
        ),
        (SHIFT, situation(TIMES.complete_s - 0.1), None),
        (SHIFT, situation(TIMES.complete_s), (RolloutPhase.COMPLETED, 1.0)),
        (SHIFT, situation(TIMES.complete_s, has_new=False), None),
        (
            SHIFT,
            situation(DURATION_S + 0.1, has_new=False),
            (RolloutPhase.ROLLED_BACK, 0.0),
        ),
        # Whatever has been decided, a bad version is rolled back.
        (FIRST, situation(1.0, Opinion.BAD), (RolloutPhase.ROLLED_BACK, 0.0)),
        (SHIFT, situation(19.0, Opinion.BAD), (RolloutPhase.ROLLED_BACK, 0.0)),
        (
            WATCH,
            situation(1.0, Opinion.BAD, hears_enough=False),
            (RolloutPhase.ROLLED_BACK, 0.0),
        ),
        # So is one that nobody can vouch for in time, or wants any more.
        (
            WATCH,
            situation(TIMES.latest_load_s + 0.1, Opinion.UNKNOWN),
            (RolloutPhase.ROLLED_BACK, 0.0),
        ),
        (
            BEGUN,
            situation(TIMES.latest_load_s + 0.1, has_new=False),
            (RolloutPhase.ROLLED_BACK, 0.0),
        ),
        (
            SHIFT,
            situation(DURATION_S + 0.1, hears_enough=False),
            (RolloutPhase.ROLLED_BACK, 0.0),
        ),
        (
            WATCH,
            situation(1.0, is_ordered=False),
            (RolloutPhase.ROLLED_BACK, 0.0),
        ),
        # Nodes of other builds send to any version.
        (BEGUN, situation(0.1, other_builds=0.02), (RolloutPhase.WATCH, 0.01)),
        (BEGUN, situation(0.1, other_builds=0.5), (RolloutPhase.WATCH, 0.0)),
        (FIRST, situation(1.0, other_builds=0.05), (RolloutPhase.WATCH, 0.04)),
        # Other servers may be missing from a listing for a moment only.
        (WATCH, situation(1.0, has_old=False), None),
        (
            WATCH,
            situation(TIMES.load_s, Opinion.UNKNOWN, has_old=False),
            None,
        ),
        # Where there was never another version, nothing is compared.
        (
            WATCH,
            situation(
                TIMES.load_s,
                Opinion.UNKNOWN,
                has_old=False,
                judgement=Judgement(Opinion.UNKNOWN, None, 2, 0),
            ),
            (RolloutPhase.WATCH, 0.3),
        ),
        (WATCH._replace(phase=RolloutPhase.COMPLETED), situation(1.0), None),
        (
            WATCH._replace(phase=RolloutPhase.ROLLED_BACK),
            situation(1.0, Opinion.BAD),
            None,
        ),
    ],
)
def test_stages_follow_each_other(
    stage: Stage, now: Situation, expected: tuple[RolloutPhase, float] | None
) -> None:
    found = find_next(stage, now, LIMITS)
    if expected is None:
        assert found is None
        return
    assert found is not None
    phase, share = expected
    assert found.phase is phase
    assert found.share == pytest.approx(share, abs=0.005)
    assert found.step > stage.step


@pytest.mark.parametrize("slack", [0.0, 50.0, 1000.0])
@pytest.mark.parametrize("per_s", [1.0, 10.0, 100.0])
def test_the_watch_leaves_a_part_of_what_a_bad_version_may_get(
    per_s: float, slack: float
) -> None:
    limits = LIMITS._replace(slack=slack)
    answers = Judgement(Opinion.SOUND, None, 5, round(5 * per_s) - 5)
    found = find_next(FIRST, situation(5.0, judgement=answers), limits)
    assert found is not None
    assert limits.share * 0.9 <= found.share <= LOAD.share
    requests = per_s * DURATION_S
    exposed = found.share * per_s * TIMES.load_s
    assert exposed <= 0.75 * (limits.share * requests + slack)


def test_a_node_that_has_just_taken_over_raises_no_share() -> None:
    limits = LIMITS._replace(slack=50.0)
    now = situation(
        5.0, step_age_s=0.3, judgement=Judgement(Opinion.SOUND, None, 6, 9)
    )
    assert find_next(FIRST, now, limits) is None


@pytest.mark.parametrize(
    ("old_answers", "is_raised"),
    # Too few to know the rate, few, and enough for the first share to tell.
    [(4, False), (8, True), (100, False)],
)
def test_the_first_share_is_not_waited_for_where_requests_are_few(
    old_answers: int, *, is_raised: bool
) -> None:
    answers = Judgement(Opinion.UNKNOWN, None, 0, old_answers)
    now = situation(1.5, judgement=answers)
    assert (find_next(FIRST, now, LIMITS) is not None) is is_raised


@pytest.mark.parametrize("has_engines", [True, False])
@pytest.mark.parametrize("duration_s", [8.0, 12.0, 60.0, 600.0])
def test_a_timetable_ends_before_the_deadline(
    duration_s: float, *, has_engines: bool
) -> None:
    times = make_timetable(duration_s, {}, has_engines=has_engines)
    assert 0 < times.load_s <= times.latest_load_s < times.complete_s
    assert times.complete_s <= duration_s - 1.0


def test_routes_are_shifted_when_they_are_due() -> None:
    routes = {"short": RouteRuns(90, 0.5), "long": RouteRuns(30, 4.0)}
    times = make_timetable(DURATION_S, routes, has_engines=True)
    at_s = {shift.route: shift.at_s for shift in times.route_shifts}
    assert times.load_s < at_s["long"] < at_s["short"] < times.complete_s
    stages = [LOAD]
    for elapsed_s in (at_s["long"], at_s["short"] - 0.1, at_s["short"]):
        now = situation(elapsed_s, routes=routes)
        stages.append(find_next(stages[-1], now, LIMITS) or stages[-1])
    _, first, same, second = stages
    assert (first.phase, first.held_routes) == (RolloutPhase.SHIFT, ("short",))
    assert same is first
    assert (second.phase, second.held_routes) == (RolloutPhase.SHIFT, ())
    assert second.step > first.step
    completed = find_next(
        second, situation(times.complete_s, routes=routes), LIMITS
    )
    assert completed is not None
    assert completed.phase is RolloutPhase.COMPLETED


def test_nothing_is_completed_while_a_route_is_held() -> None:
    held = SHIFT._replace(held_routes=("r",))
    # A node has taken over late, and knows nothing of the route yet.
    now = situation(TIMES.complete_s + 0.1)
    assert find_next(held, now._replace(step_age_s=0.7), LIMITS) is None
    found = find_next(held, now, LIMITS)
    assert found is not None
    assert (found.phase, found.held_routes) == (RolloutPhase.SHIFT, ())
