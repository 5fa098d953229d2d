"""Tests of what nodes report of the answers that they have seen."""

import freezegun

from savorylift.fleet.rollout_messages import AnswerReport
from savorylift.rollouts.answer_log import Outcome
from savorylift.rollouts.counting import REPORT_INTERVAL_S, Counting
from savorylift.rollouts.evidence import FleetEvidence
from tests.rollouts.test_version_rules import NEW, OLD, ORDER

PER_S = 60
ROUTES = 30
TIME_S = 8


def test_a_busy_node_tells_all_its_answers_within_a_second() -> None:
    evidence = FleetEvidence()

    def send(report: AnswerReport, _ip: str) -> None:
        evidence.merge(report.source, report.cells)

    with freezegun.freeze_time() as clock:
        counting = Counting(ORDER, 0.0, 1)
        for number in range(PER_S * TIME_S):
            entry = NEW if number % 2 else OLD
            route = f"r{number // 2 % ROUTES}"
            counting.log.begin(entry, route, str(number))
            clock.tick(1 / PER_S)
            counting.log.finish(str(number), Outcome.FAILED)
            counting.report("10.0.0.1", send)
        for _ in range(2):
            clock.tick(REPORT_INTERVAL_S)
            counting.report("10.0.0.1", send)
    pairs = evidence.compare().values()
    told = sum(pair.new.failed + pair.old.failed for pair in pairs)
    assert told == PER_S * TIME_S
