"""Tests of generations against engine processes that fail on order."""

import json
import threading
import time
from collections.abc import Iterator
from contextlib import ExitStack

import pytest
from returns.pipeline import is_successful
from returns.result import Result

from savorylift.outcomes import Ending, Reason, Refusal
from savorylift.streams import settle
from savorylift.streams.engine_control import EngineControl
from savorylift.streams.generation import Generation
from savorylift.streams.resumption import Resumption
from savorylift.streams.ticket import open_ticket
from tests.harness.fixtures import StartStandIn
from tests.harness.fixtures import start_standin as start_standin
from tests.harness.standin import Kind, StandIn
from tests.standins.tokens import Text
from tests.streams.fakes import KEYS, Bench, Caller, request

FAST = {"interval_s": 0.005, "first_token_s": 0.01, "starts_cold": False}
PROMPT = "vine report len=60"
EXPECTED = "".join(Text(PROMPT, 7, "v1", (8, 256)).tokens(10_000))


class Outcome:
    """A generation running on its own thread."""

    def __init__(self, bench: Bench, caller: Caller, prompt: str) -> None:
        self.caller = caller
        self._result: Result[None, Refusal] | None = None
        self._generation = Generation(bench.parts, request(prompt), caller.sink)
        self._thread = threading.Thread(target=self._run)
        self._thread.start()

    def _run(self) -> None:
        self._result = self._generation.run()

    def result(self) -> Result[None, Refusal]:
        self._thread.join(15.0)
        assert self._result is not None
        return self._result

    def wait_started(self) -> None:
        deadline_s = time.monotonic() + 5.0
        while not self.caller.sink.is_started():
            assert time.monotonic() < deadline_s
            time.sleep(0.002)
        time.sleep(0.05)


def events(raw: bytes) -> list[dict[str, object]]:
    body = raw.partition(b"\r\n\r\n")[2]
    blocks = [block for block in body.split(b"\n\n") if block]
    texts = [block.split(b"data: ", 1)[1] for block in blocks]
    return [json.loads(text) for text in texts if text != b"[DONE]"]


def answer(raw: bytes) -> str:
    """Returns the text; checks that each token came once and in order."""
    text, expected_index = "", 0
    for event in events(raw):
        if event.get("restart"):
            text, expected_index = "", 0
        for choice in event.get("choices", []):  # type: ignore[attr-defined]
            assert event["token_index"] == expected_index
            expected_index += 1
            text += choice["text"]
    return text


@pytest.fixture
def engines(start_standin: StartStandIn) -> list[StandIn]:
    names = ("engine-a", "engine-b")
    return [start_standin(Kind.ENGINE, name, **FAST) for name in names]


@pytest.fixture
def bench(engines: list[StandIn]) -> Iterator[Bench]:
    addresses = {e.process.name: e.address for e in engines}
    with ExitStack() as stack:
        yield stack.enter_context(Bench(addresses))


def by_name(engines: list[StandIn], name: str) -> StandIn:
    return next(e for e in engines if e.process.name == name)


def run_with_fault(
    bench: Bench,
    engines: list[StandIn],
    caller: Caller,
    fault: dict[str, object],
) -> Result[None, Refusal]:
    """Starts a stream, then brings the fault about at its engine."""
    outcome = Outcome(bench, caller, PROMPT)
    outcome.wait_started()
    by_name(engines, bench.gate.granted[0]).control(**fault)
    return outcome.result()


def test_stream_is_whole(bench: Bench) -> None:
    caller = Caller()
    assert is_successful(Outcome(bench, caller, PROMPT).result())
    assert answer(caller.received()) == EXPECTED
    assert [use.completed for _, use in bench.gate.uses] == [True]
    assert bench.gate.starts == bench.gate.granted


@pytest.mark.parametrize(
    ("fault", "engines_used"),
    [
        ({"drop_connections": True}, 1),
        ({"silence_open": True}, 1),
        ({"die_s": 30.0}, 2),
        ({"die_s": 30.0, "hang_when_dead": True}, 2),
        ({"stall": True}, 2),
    ],
)
def test_fault_in_mid_stream_leaves_the_answer_whole(
    bench: Bench,
    engines: list[StandIn],
    fault: dict[str, object],
    engines_used: int,
) -> None:
    caller = Caller()
    assert is_successful(run_with_fault(bench, engines, caller, fault))
    assert answer(caller.received()) == EXPECTED
    assert len(bench.gate.granted) == engines_used


@pytest.mark.parametrize("fault", ["wrong_ids", "lose_answers"])
def test_fault_at_dispatch_leaves_the_answer_whole(
    bench: Bench, engines: list[StandIn], fault: str
) -> None:
    by_name(engines, "engine-a").control(**{fault: 1})  # asked first
    caller = Caller()
    result = Outcome(bench, caller, PROMPT).result()
    assert is_successful(result), result.failure()
    assert answer(caller.received()) == EXPECTED
    bench.wait_cleaned()


def test_crossed_answers_are_not_mixed(
    bench: Bench, engines: list[StandIn]
) -> None:
    del bench.rules.current().backend_servers["engine-b"]  # type: ignore[attr-defined]
    first = Outcome(bench, Caller(), PROMPT)
    first.wait_started()
    by_name(engines, "engine-a").control(cross_answers=1)
    second = Outcome(bench, Caller(), "other report len=60")
    for outcome in (first, second):
        assert is_successful(outcome.result())
    assert answer(first.caller.received()) == EXPECTED
    other = Text("other report len=60", 7, "v1", (8, 256))
    assert answer(second.caller.received()) == "".join(other.tokens(100))


@pytest.mark.parametrize("accepts_restart", [True, False])
def test_replay_that_differs_restarts_or_fails(
    bench: Bench,
    engines: list[StandIn],
    accepts_restart: bool,  # noqa: FBT001
) -> None:
    for engine in engines:
        engine.control(nondeterministic=True)
    caller = Caller(accepts_restart=accepts_restart)
    result = run_with_fault(bench, engines, caller, {"die_s": 1.0})
    assert is_successful(result) == accepts_restart
    kinds = [next(iter(e.keys() - {"id"})) for e in events(caller.received())]
    assert bool(kinds) is True
    if not accepts_restart:
        assert result.failure().reason is Reason.GENERATION_DIVERGED
        assert result.failure().ending is Ending.FAILED
    bench.wait_cleaned(10.0)


def test_caller_that_leaves_for_good_frees_the_engine(
    bench: Bench, engines: list[StandIn]
) -> None:
    caller = Caller()
    outcome = Outcome(bench, caller, "long report len=5000")
    outcome.wait_started()
    caller.near.close()
    assert outcome.result().failure().reason is Reason.CALLER_GONE
    assert bench.gate.held, "the caller may still come back"
    bench.wait_cleaned(10.0)
    seen = by_name(engines, bench.gate.granted[0]).seen()
    assert len(seen["cancels"]) == 1


def test_ticket_resumes_where_the_caller_stopped(bench: Bench) -> None:
    caller = Caller()
    outcome = Outcome(bench, caller, PROMPT)
    outcome.wait_started()
    got = caller.near.recv(65_536)
    caller.near.close()
    outcome.result()
    cut = got[: got.rindex(b"\n\n") + 2]
    first = events(cut)
    tickets = [str(e["resume_ticket"]) for e in first if "resume_ticket" in e]
    ticket = open_ticket(tickets[-1], KEYS, "desk").unwrap()
    again = Caller()
    count = len(first) - 1
    deadline_s = time.monotonic() + 10
    resumption = Resumption(bench.parts, ticket, again.sink, count, deadline_s)
    assert is_successful(resumption.run())
    rest = "".join(
        choice["text"]
        for event in events(again.received())
        for choice in event["choices"]  # type: ignore[attr-defined]
    )
    assert answer(cut) + rest == EXPECTED
    assert bench.gate.delays_s[0] > 0
    assert bench.gate.delays_s[1:] == [-1.0], "nothing to learn from"


def test_deadline_ends_a_stream_at_once(bench: Bench) -> None:
    caller = Caller()
    req = request("long report len=5000", timeout_s=0.5)
    started_s = time.monotonic()
    result = Generation(bench.parts, req, caller.sink).run()
    assert result.failure().reason is Reason.DEADLINE
    assert time.monotonic() - started_s < 1.0
    bench.wait_cleaned()


def test_engine_that_says_it_is_leaving_gets_nothing_more(
    bench: Bench, engines: list[StandIn]
) -> None:
    engines[0].control(leaving=True)
    for _ in range(4):
        assert is_successful(Outcome(bench, Caller(), PROMPT).result())
    assert bench.gate.granted.count("engine-a") <= 1


def test_generation_cancelled_at_the_engine_is_no_whole_answer(
    bench: Bench, engines: list[StandIn]
) -> None:
    caller = Caller()
    outcome = Outcome(bench, caller, PROMPT)
    outcome.wait_started()
    engine = by_name(engines, "engine-a")
    generation_id = engine.seen()["dispatches"][0]["generation_id"]
    EngineControl().cancel(engine.address, generation_id)
    assert is_successful(outcome.result())
    assert answer(caller.received()) == EXPECTED


def test_caller_that_came_back_is_not_cut_off_later(
    bench: Bench, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(settle, "RECONNECT_S", 0.3)
    caller = Caller()
    outcome = Outcome(bench, caller, "long report len=300")
    outcome.wait_started()
    got = caller.near.recv(65_536)
    caller.near.close()
    outcome.result()
    first = events(got[: got.rindex(b"\n\n") + 2])
    tickets = [str(e["resume_ticket"]) for e in first if "resume_ticket" in e]
    ticket = open_ticket(tickets[-1], KEYS, "desk").unwrap()
    again = Caller()
    resumption = Resumption(
        bench.parts, ticket, again.sink, len(first) - 1, time.monotonic() + 10
    )
    assert is_successful(resumption.run())
    again.received()


def test_engine_death_replays_every_stream_of_a_quiet_node(
    bench: Bench, engines: list[StandIn]
) -> None:
    outcomes = [Outcome(bench, Caller(), PROMPT) for _ in range(8)]
    for outcome in outcomes:
        outcome.wait_started()
    by_name(engines, bench.gate.granted[0]).control(die_s=1.0)
    results = [outcome.result() for outcome in outcomes]
    assert all(map(is_successful, results)), results
    for outcome in outcomes:
        assert answer(outcome.caller.received()) == EXPECTED
