"""The completion interface of a whole node, as callers see it."""

import asyncio

import pytest

from savorylift.wire.client_call import BrokenAnswerError
from tests.completions.stage import (
    Stage,
    completion,
    error_of,
    events,
    expected,
    on_stage,
    text_of,
)
from tests.front.stage import play

COMPLETIONS = "/v1/completions"
PROMPT = "report len=30"


def test_whole_and_streamed_answers_are_the_model_s() -> None:
    async def scene(stage: Stage) -> None:
        whole = await stage.complete(PROMPT, {"x-request-id": "r1"})
        assert whole.status == 200
        assert expected(PROMPT) in whole.body.decode()
        assert whole.value("x-request-id") == "r1"
        stream = await stage.complete(PROMPT, stream=True)
        assert text_of(stream) == expected(PROMPT)
        indices = [event["token_index"] for event in events(stream)]
        assert indices == list(range(31))
        assert stage.cancelled == []

    on_stage(scene)


def test_stream_goes_on_after_the_last_event_that_the_caller_has() -> None:
    async def scene(stage: Stage) -> None:
        stream = await stage.complete(
            PROMPT, {"last-event-id": "9"}, stream=True
        )
        assert events(stream)[0]["token_index"] == 10
        whole = expected(PROMPT)
        assert whole.endswith(text_of(stream))

    on_stage(scene)


@pytest.mark.parametrize(
    "fault",
    [
        {"drop_connections": True},
        {"die_s": 30.0},
        {"silence_open": True},
        {"stall": True},
    ],
)
def test_generation_is_made_again_when_its_engine_fails(
    fault: dict[str, object],
) -> None:
    async def scene(stage: Stage) -> None:
        prompt = "report len=60"
        body = completion(prompt, stream=True)
        call = await stage.open("POST", COMPLETIONS, body)
        head = await call.read_head()
        first = await call.read_part()
        assert first is not None
        (busy,) = [s for s in stage.engines if s.record.generations]
        for other in busy.exchanges:
            asking = other
        busy.change(fault, asking=None)  # type: ignore[arg-type]
        async with asyncio.timeout(8.0):
            rest = await call.read_rest(head)
        whole = rest._replace(body=first + rest.body)
        assert text_of(whole) == expected(prompt)
        assert stage.started == 2
        del asking

    on_stage(scene)


@pytest.mark.parametrize("fault", ["wrong_ids", "lose_answers"])
def test_answers_that_are_lost_or_of_another_are_made_again(
    fault: str,
) -> None:
    async def scene(stage: Stage) -> None:
        for state in stage.engines:
            setattr(state.cfg, fault, 1)
        whole = await stage.complete(PROMPT)
        assert expected(PROMPT) in whole.body.decode()

    on_stage(scene)


def test_engines_that_all_fail_end_the_stream_with_an_error() -> None:
    async def scene(stage: Stage) -> None:
        body = completion("report len=200", stream=True)
        call = await stage.open("POST", COMPLETIONS, body)
        head = await call.read_head()
        await call.read_part()
        for state in stage.engines:
            state.change({"die_s": 60.0}, None)  # type: ignore[arg-type]
        rest = await call.read_rest(head)
        assert b"event: error" in rest.body
        assert b"[DONE]" not in rest.body
        error = events(rest)[-1]["error"]
        assert error["ending"] == "failed"

    on_stage(scene)


def test_generation_of_a_caller_that_left_is_cancelled() -> None:
    async def scene(stage: Stage) -> None:
        body = completion("report len=2000", stream=True)
        call = await stage.open("POST", COMPLETIONS, body)
        await call.read_head()
        call.close()
        async with asyncio.timeout(3.0):
            while not stage.cancelled:
                await asyncio.sleep(0.02)

    on_stage(scene)


def test_call_reaches_its_service_as_it_was_written() -> None:
    async def scene(stage: Stage) -> None:
        target = "/a%20b/%2F?c=%26&c=d"
        headers = {"idempotency-key": "k", "x-request-id": "r1"}
        answer = await stage.ask(
            "POST", f"/v1/services/crew{target}", b"body", headers
        )
        assert answer.body == f"POST {target}".encode()
        (got,) = [req for crew in stage.crew for req in crew.requests]
        assert got.values("idempotency-key") == ["k"]
        assert got.values("x-request-id") == ["r1"]
        assert got.values("x-team") == []
        assert got.body == b"body"

    on_stage(scene)


@pytest.mark.parametrize(
    ("method", "runs", "ending"),
    [("GET", 2, "unknown"), ("POST", 1, "unknown")],
)
def test_only_repeatable_calls_run_again(
    method: str, runs: int, ending: str
) -> None:
    async def scene(stage: Stage) -> None:
        for crew in stage.crew:
            crew.drops = True
        answer = await stage.ask(method, "/v1/services/crew/x")
        assert answer.status == 502
        error = error_of(answer)
        assert (error["code"], error["ending"]) == ("answer_lost", ending)
        assert sum(len(crew.requests) for crew in stage.crew) == runs

    on_stage(scene)


def test_team_limit_names_its_rule() -> None:
    async def scene(stage: Stage) -> None:
        for crew in stage.crew:
            crew.gate.clear()
        small = {"x-team": "small"}
        first = await stage.open("GET", "/v1/services/crew/x", b"", small)
        await asyncio.sleep(0.2)
        second = await stage.ask("GET", "/v1/services/crew/x", b"", small)
        error = error_of(second)
        assert (second.status, error["code"]) == (429, "team_limit")
        assert error["asked_by"] == "eve: trial"
        assert error["rule"].startswith("team small weight 1")
        assert error["ending"] == "not_run"
        for crew in stage.crew:
            crew.gate.set()
        assert (await first.read_answer()).status == 200
        third = await stage.ask("GET", "/v1/services/crew/x", b"", small)
        assert third.status == 200

    on_stage(scene)


def test_out_of_service_servers_get_nothing() -> None:
    async def scene(stage: Stage) -> None:
        stage.store.add("keyed.rules", "out/runner-0", {"author": "ada"})
        await asyncio.sleep(0.5)
        for _ in range(4):
            assert (await stage.complete("report len=3")).status == 200
        assert not stage.engines[0].record.dispatches
        stage.store.add("keyed.rules", "out/z", {"author": "ada"})
        await asyncio.sleep(0.5)
        answer = await stage.ask("GET", "/v1/services/crew/x")
        assert error_of(answer)["code"] == "no_backend_server"

    on_stage(scene)


def test_cold_engine_gets_no_more_than_it_bears() -> None:
    async def scene() -> None:
        stage = Stage(starts_cold=True, cold_requests=3, cold_limit=2)
        await stage.start()
        asked = [stage.complete(f"report {n} len=5") for n in range(8)]
        answers = await asyncio.gather(*asked)
        assert [answer.status for answer in answers] == [200] * 8
        assert all(not state.record.overruns for state in stage.engines)

    play(scene())


def test_entries_are_told() -> None:
    async def scene(stage: Stage) -> None:
        answer = await stage.ask("GET", "/v1/entry?team=desk")
        assert stage.addresses[1].encode() in answer.body

    on_stage(scene)


def test_cut_upload_leaves_no_request() -> None:
    async def scene(stage: Stage) -> None:
        call = await stage.open("POST", COMPLETIONS, completion("p"))
        call.close()
        with pytest.raises(BrokenAnswerError):
            await call.read_head()

    on_stage(scene)
