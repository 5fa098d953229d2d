"""The oracle sees each promise broken when the mechanism is left out."""

import concurrent.futures
from collections.abc import Callable

import pytest

from savorylift.outcomes import Ending
from tests.demo.callers import new_key
from tests.faults import oracle
from tests.faults.load import CUT, PROMPT_WORDS, WHOLE, Got
from tests.faults.world import Order
from tests.harness.answers import request
from tests.harness.fixtures import StartStandIn
from tests.harness.standin import Kind, StandIn

COLD_LIMIT = 2
GOT = Got("stream", "t", 1, "", WHOLE, None, "", 0, False, ())


def ask(engine: StandIn, number: int) -> None:
    body = {
        "model": "m",
        "version": "v1",
        "prompt": "w " * (number + PROMPT_WORDS) + "len=20",
        "max_tokens": 20,
        "generation_id": f"gen-{number}",
    }
    request("POST", f"{engine.url}/v1/completions", body)


def book(service: StandIn, key: str) -> None:
    headers = {"Idempotency-Key": key, "X-Request-Id": "req"}
    request("POST", f"{service.url}/shifts", {}, headers)


@pytest.mark.processes
def test_work_past_the_cold_limit(start_standin: StartStandIn) -> None:
    engine = start_standin(
        Kind.ENGINE, cold_limit=COLD_LIMIT, cold_grace_s=60.0
    )
    engine.control(turn_cold=True)
    before = {"runner-1": engine.seen()}
    with concurrent.futures.ThreadPoolExecutor() as pool:
        list(pool.map(lambda n: ask(engine, n), range(COLD_LIMIT)))
        after = {"runner-1": engine.seen()}
        assert list(oracle.overruns(before, after, ())) == []
        list(pool.map(lambda n: ask(engine, n), range(2, 4 + COLD_LIMIT)))
    after = {"runner-1": engine.seen()}
    assert len(list(oracle.overruns(before, after, ()))) >= 2


@pytest.mark.processes
def test_key_that_runs_twice(start_standin: StartStandIn) -> None:
    services = {
        f"crew-{n}": start_standin(Kind.PLAIN_SERVICE, f"crew-{n}")
        for n in (1, 2)
    }
    key = new_key()
    for service in services.values():
        records = {name: one.seen() for name, one in services.items()}
        assert list(oracle.double_runs(records, "crew")) == []
        book(service, key)
    records = {name: one.seen() for name, one in services.items()}
    assert list(oracle.double_runs(records, "crew")) == [
        f"key {key} ran 2 times"
    ]
    said = GOT._replace(kind="POST", key=key, ending=Ending.NOT_RUN)
    assert len(list(oracle.false_not_runs(records, records, [said]))) == 1
    unsure = said._replace(ending=Ending.UNKNOWN)
    assert list(oracle.false_not_runs(records, records, [unsure])) == []


@pytest.mark.processes
def test_generation_that_ran_and_is_said_not_to(
    start_standin: StartStandIn,
) -> None:
    engine = start_standin(Kind.ENGINE)
    before = {"runner-1": engine.seen()}
    ask(engine, 7)
    after = {"runner-1": engine.seen()}
    number = after["runner-1"]["generations"][0]["prompt_tokens"] - PROMPT_WORDS
    said = GOT._replace(number=number, ending=Ending.NOT_RUN)
    assert len(list(oracle.false_not_runs(before, after, [said]))) == 1
    assert list(oracle.false_not_runs(after, after, [said])) == []
    sent_s = after["runner-1"]["dispatches"][0]["time"]
    for age_s, late in ((2.5, 0), (3.5, 1)):
        order = Order(("runner-1",), sent_s - age_s, float("inf"))
        assert len(list(oracle.late_dispatches(after, [order]))) == late


Change = Callable[[Got], Got]


@pytest.mark.parametrize(
    "change",
    [
        lambda got: got._replace(fault="token 3 where 2 was due"),
        lambda got: got._replace(outcome=CUT),
    ],
)
def test_wrong_answers(change: Change) -> None:
    assert list(oracle.answer_faults([GOT])) == []
    assert len(list(oracle.answer_faults([change(GOT)]))) == 1


@pytest.mark.parametrize(("counted", "faults"), [(0, 1), (1, 0), (2, 1)])
def test_refusals_are_found_once(counted: int, faults: int) -> None:
    got = [
        GOT._replace(outcome="deadline", ending=Ending.NOT_RUN, is_event=True)
    ]
    row = {
        "team": "t",
        "ending": "not_run",
        "reason": "deadline",
        "refusals": counted,
    }
    given = oracle.refusals_given(got)
    found = oracle.account_faults(given, [row], got)
    assert len(list(found)) == faults
