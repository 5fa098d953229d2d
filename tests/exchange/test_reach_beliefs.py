"""Tests of what a node concludes from failed connections."""

import pytest

from savorylift.exchange.reach_beliefs import SUSPICION_S, ReachBeliefs

IDS = ["i-1", "i-2", "i-3"]


def failed(*server_ids: str, now_s: float = 10.0) -> ReachBeliefs:
    beliefs = ReachBeliefs()
    for server_id in server_ids:
        beliefs.record_failure(server_id, now_s)
    return beliefs


@pytest.mark.parametrize(
    ("suspects", "servers", "expected"),
    [
        ([], IDS, False),
        (["i-1"], IDS, False),
        (["i-1", "i-2"], IDS, True),
        (["i-1"], ["i-1"], True),
        ([], [], False),
    ],
)
def test_one_failing_server_of_several_is_no_sign_of_a_cut(
    suspects: list[str], servers: list[str], *, expected: bool
) -> None:
    assert failed(*suspects).may_be_cut_off(servers, 10.1) is expected


def test_two_failures_of_one_server_are_worth_a_check() -> None:
    beliefs = failed("i-1", "i-1")
    assert beliefs.may_be_cut_off(IDS, 10.1)
    beliefs.record_answer("i-2", 10.0, 10.2)
    assert not beliefs.may_be_cut_off(IDS, 10.3)


def test_another_server_that_answers_shows_that_there_is_no_cut() -> None:
    beliefs = failed("i-1", "i-2")
    beliefs.record_answer("i-3", 10.0, 10.0)
    assert not beliefs.may_be_cut_off(IDS, 10.5)
    assert beliefs.may_be_cut_off(IDS, 11.5)


def test_answer_on_an_older_connection_ends_no_suspicion() -> None:
    beliefs = failed("i-1")
    beliefs.record_answer("i-1", opened_s=9.0, now_s=10.5)
    assert beliefs.is_suspect("i-1", 10.5)
    beliefs.record_answer("i-1", opened_s=10.2, now_s=10.5)
    assert not beliefs.is_suspect("i-1", 10.5)


def test_suspicion_ends_with_time() -> None:
    beliefs = failed("i-1", "i-2")
    later_s = 10.0 + SUSPICION_S
    assert not beliefs.is_suspect("i-1", later_s)
    beliefs.forget_old(later_s)
    assert not beliefs.may_be_cut_off(IDS, later_s)
