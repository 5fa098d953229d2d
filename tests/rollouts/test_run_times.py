"""Tests of how long requests run at the old version."""

import freezegun

from savorylift.fleet.rollout_messages import AnswerReport, RunTimes
from savorylift.rollouts.answer_log import AnswerLog, Outcome
from savorylift.rollouts.counting import MAX_REPORTED_ROUTES, Counting
from savorylift.rollouts.durations import duration_class
from savorylift.rollouts.run_times import MIN_RUNS, FleetRunTimes
from tests.rollouts.test_version_rules import NEW, OLD, ORDER

SHORT_S, LONG_S = 0.2, 6.0


def run_times(route: str, duration_s: float, count: int) -> RunTimes:
    return RunTimes(route, ((duration_class(duration_s), count),))


def test_nearly_all_requests_end_in_the_time_of_their_route() -> None:
    fleet = FleetRunTimes()
    fleet.merge(1, [run_times("r", SHORT_S, 60)])
    fleet.merge(2, [run_times("r", LONG_S, 30), run_times("s", SHORT_S, 40)])
    # A node tells all that it has counted.
    fleet.merge(1, [run_times("r", SHORT_S, 70)])
    routes = fleet.find_routes()
    assert routes["r"].requests == 100
    assert LONG_S <= routes["r"].run_s <= 1.25 * LONG_S
    assert SHORT_S <= routes["s"].run_s <= 1.25 * SHORT_S


def test_few_requests_that_take_longer_do_not_count() -> None:
    fleet = FleetRunTimes()
    fleet.merge(1, [run_times("r", SHORT_S, 99)])
    fleet.merge(2, [run_times("r", LONG_S, 1)])
    assert fleet.find_routes()["r"].run_s <= 1.25 * SHORT_S


def test_few_requests_tell_nothing() -> None:
    fleet = FleetRunTimes()
    fleet.merge(1, [run_times("r", SHORT_S, MIN_RUNS - 1)])
    assert not fleet.find_routes()


def test_only_whole_answers_of_the_old_version_tell_how_long_they_run() -> None:
    log = AnswerLog("v2", 1.0, 0.0)
    with freezegun.freeze_time() as clock:
        log.begin(OLD, "r", "a1")
        log.begin(OLD, "r", "a2")
        log.begin(NEW, "r", "a3")
        log.note_answer("a1")
        clock.tick(LONG_S)
        log.finish("a1", Outcome.SUCCEEDED)
        log.finish("a2", Outcome.LOST)
        log.finish("a3", Outcome.SUCCEEDED)
    assert log.run_times() == (run_times("r", LONG_S, 1),)


def test_all_routes_have_their_turn_in_reports() -> None:
    told: dict[str, RunTimes] = {}

    def send(report: AnswerReport, _ip: str) -> None:
        assert len(report.run_times) <= MAX_REPORTED_ROUTES
        told.update({found.route: found for found in report.run_times})

    with freezegun.freeze_time() as clock:
        counting = Counting(ORDER, 0.0, 1)
        for number in range(3 * MAX_REPORTED_ROUTES):
            counting.log.begin(OLD, f"r{number}", str(number))
            counting.log.finish(str(number), Outcome.SUCCEEDED)
        for number in range(4):
            counting.log.begin(OLD, "r0", f"more-{number}")
            counting.log.finish(f"more-{number}", Outcome.SUCCEEDED)
            counting.report("10.0.0.1", send)
            clock.tick(1.0)
    assert sorted(told) == sorted(f.route for f in counting.log.run_times())
    assert len(told) == 3 * MAX_REPORTED_ROUTES
