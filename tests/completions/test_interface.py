"""End-to-end tests of the completion interface on one node."""

import asyncio
import time

import msgspec
import pytest

from savorylift.wire.client_call import BrokenAnswerError
from tests.completions.environment import (
    LOAD_POLL_WAIT_S,
    MODEL,
    VERSION,
    NodeEnvironment,
    completion,
    error_of,
    events,
    expected,
    run_in_environment,
    run_in_paced_environment,
    text_of,
)
from tests.front.environment import run_with_timeout
from tests.standins.engine_settings import CompletionRequest
from tests.standins.engine_state import EngineState

COMPLETIONS = "/v1/completions"
PROMPT = "report len=30"


def test_whole_and_streamed_responses_match_model_output() -> None:
    async def scenario(environment: NodeEnvironment) -> None:
        whole = await environment.complete(PROMPT, {"x-request-id": "r1"})
        assert whole.status == 200
        assert expected(PROMPT) in whole.body.decode()
        assert whole.header("x-request-id") == "r1"
        stream = await environment.complete(PROMPT, stream=True)
        assert text_of(stream) == expected(PROMPT)
        indices = [event["token_index"] for event in events(stream)]
        assert indices == list(range(31))
        assert environment.cancelled_generations == []

    run_in_environment(scenario)


def test_stream_resumes_after_last_event_id() -> None:
    async def scenario(environment: NodeEnvironment) -> None:
        stream = await environment.complete(
            PROMPT, {"last-event-id": "9"}, stream=True
        )
        assert events(stream)[0]["token_index"] == 10
        whole = expected(PROMPT)
        assert whole.endswith(text_of(stream))

    run_in_environment(scenario)


def begin_run(state: EngineState, run_id: str, prompt: str) -> None:
    """Begins a run at an engine, as a node does that is lost afterwards."""
    request = CompletionRequest(
        model=MODEL,
        version=VERSION,
        prompt=prompt,
        max_tokens=1024,
        generation_id=run_id,
        seed=7,
    )
    state.batch.submit(state.create_generation(request))


async def take_away(environment: NodeEnvironment, order: str) -> None:
    """Lets the second engine drain, or writes an order; waits until known."""
    if order == "drain":
        state = environment.engines[1]
        state.cfg = msgspec.structs.replace(state.cfg, leaving=True)
        await asyncio.sleep(LOAD_POLL_WAIT_S)
        return
    environment.store.add("keyed.rules", order, {"author": "ada"})
    await asyncio.sleep(0.5)


@pytest.mark.parametrize("order", [None, "out/runner-1", "out/z", "drain"])
def test_run_of_a_lost_node_goes_on_at_its_engine(
    order: str | None, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def scenario(environment: NodeEnvironment) -> None:
        prompt = "report len=250"  # 2.5 s
        run_id = "r1.0123456789abcdef.runner-1"
        begin_run(environment.engines[1], run_id, prompt)
        if order is not None:
            await take_away(environment, order)
        await asyncio.sleep(1.5)
        started_s = time.monotonic()
        stream = await environment.complete(
            prompt,
            {"x-request-id": "r1", "last-event-id": "99", "x-run": run_id},
            stream=True,
        )
        assert time.monotonic() - started_s < 1.5
        assert [e["token_index"] for e in events(stream)] == [*range(100, 251)]
        assert events(stream)[0]["run"] == run_id
        assert expected(prompt).endswith(text_of(stream))
        assert environment.generation_count == 1
        assert environment.cancelled_generations == []

    run_in_paced_environment(monkeypatch, scenario)


@pytest.mark.parametrize(
    "named_run",
    [
        "r1.fedcba9876543210.runner-1",  # unknown to its engine
        "r1.0123456789abcdef.runner-0",  # at another engine
        "r1.0123456789abcdef.runner-9",  # at no engine
        "r2.0123456789abcdef.runner-1",  # of another request
        "r2.0123456789abcdef.runner-1/../x",
        "r1.",
        "r1..",
    ],
)
def test_run_that_cannot_go_on_is_made_again(named_run: str) -> None:
    async def scenario(environment: NodeEnvironment) -> None:
        for request_id in ("r1", "r2"):
            run_id = f"{request_id}.0123456789abcdef.runner-1"
            begin_run(environment.engines[1], run_id, "another len=50")
        stream = await environment.complete(
            PROMPT,
            {"x-request-id": "r1", "last-event-id": "9", "x-run": named_run},
            stream=True,
        )
        assert events(stream)[0]["token_index"] == 10
        assert expected(PROMPT).endswith(text_of(stream))
        assert environment.generation_count == 3

    run_in_environment(scenario)


@pytest.mark.parametrize("order", ["out/runner-1", "drain"])
def test_run_that_its_engine_lost_is_not_begun_where_nothing_may_begin(
    order: str,
) -> None:
    async def scenario(environment: NodeEnvironment) -> None:
        await take_away(environment, order)
        run_id = "r1.0123456789abcdef.runner-1"
        stream = await environment.complete(
            PROMPT,
            {"x-request-id": "r1", "last-event-id": "9", "x-run": run_id},
            stream=True,
        )
        assert expected(PROMPT).endswith(text_of(stream))
        assert events(stream)[0]["run"] != run_id
        assert not environment.engines[1].record.dispatches
        assert environment.generation_count == 1

    run_in_environment(scenario)


def test_long_stream_is_taken_up_with_one_generation() -> None:
    async def scenario(environment: NodeEnvironment) -> None:
        prompt = "report len=250"  # 2.5 s, longer than a stall
        stream = await environment.complete(
            prompt, {"last-event-id": "239"}, stream=True
        )
        assert events(stream)[0]["token_index"] == 240
        assert expected(prompt).endswith(text_of(stream))
        assert environment.generation_count == 1
        assert environment.cancelled_generations == []

    run_in_environment(scenario)


@pytest.mark.parametrize(
    "fault",
    [
        {"drop_connections": True},
        {"die_s": 30.0},
        {"silence_open": True},
        {"stall": True},
    ],
)
def test_generation_is_retried_when_engine_fails(
    fault: dict[str, object],
) -> None:
    async def scenario(environment: NodeEnvironment) -> None:
        prompt = "report len=60"
        body = completion(prompt, stream=True)
        call = await environment.send_request("POST", COMPLETIONS, body)
        head = await call.read_head()
        first_part = await call.read_body_chunk()
        assert first_part is not None
        (busy_engine,) = [
            s for s in environment.engines if s.record.generations
        ]
        for conn in busy_engine.connections:
            last_conn = conn
        busy_engine.change(fault, requester=None)  # type: ignore[arg-type]
        async with asyncio.timeout(8.0):
            rest = await call.read_rest(head)
        whole = rest._replace(body=first_part + rest.body)
        assert text_of(whole) == expected(prompt)
        assert environment.generation_count == 2
        del last_conn

    run_in_environment(scenario)


@pytest.mark.parametrize("fault", ["wrong_ids", "lose_answers"])
def test_lost_or_mismatched_response_is_retried(
    fault: str,
) -> None:
    async def scenario(environment: NodeEnvironment) -> None:
        for state in environment.engines:
            setattr(state.cfg, fault, 1)
        whole = await environment.complete(PROMPT)
        assert expected(PROMPT) in whole.body.decode()

    run_in_environment(scenario)


def test_stream_ends_with_error_event_when_all_engines_fail() -> None:
    async def scenario(environment: NodeEnvironment) -> None:
        body = completion("report len=200", stream=True)
        call = await environment.send_request("POST", COMPLETIONS, body)
        head = await call.read_head()
        await call.read_body_chunk()
        for state in environment.engines:
            state.change({"die_s": 60.0}, None)  # type: ignore[arg-type]
        rest = await call.read_rest(head)
        assert b"event: error" in rest.body
        assert b"[DONE]" not in rest.body
        error = events(rest)[-1]["error"]
        assert error["ending"] == "failed"

    run_in_environment(scenario)


def test_generation_is_cancelled_when_caller_disconnects() -> None:
    async def scenario(environment: NodeEnvironment) -> None:
        body = completion("report len=2000", stream=True)
        call = await environment.send_request("POST", COMPLETIONS, body)
        await call.read_head()
        call.close()
        async with asyncio.timeout(3.0):
            while not environment.cancelled_generations:
                await asyncio.sleep(0.02)

    run_in_environment(scenario)


def test_service_call_is_forwarded_unchanged() -> None:
    async def scenario(environment: NodeEnvironment) -> None:
        target = "/a%20b/%2F?c=%26&c=d"
        headers = {"idempotency-key": "k", "x-request-id": "r1"}
        response = await environment.call_node(
            "POST", f"/v1/services/crew{target}", b"body", headers
        )
        assert response.body == f"POST {target}".encode()
        (received,) = [
            req for service in environment.services for req in service.requests
        ]
        assert received.header_values("idempotency-key") == ["k"]
        assert received.header_values("x-request-id") == ["r1"]
        assert received.header_values("x-team") == []
        assert received.body == b"body"

    run_in_environment(scenario)


@pytest.mark.parametrize(
    ("method", "runs", "ending"),
    [("GET", 2, "unknown"), ("POST", 1, "unknown")],
)
def test_only_repeatable_calls_are_retried(
    method: str, runs: int, ending: str
) -> None:
    async def scenario(environment: NodeEnvironment) -> None:
        for service in environment.services:
            service.drops_connections = True
        response = await environment.call_node(method, "/v1/services/crew/x")
        assert response.status == 502
        error = error_of(response)
        assert (error["code"], error["ending"]) == ("answer_lost", ending)
        assert (
            sum(len(service.requests) for service in environment.services)
            == runs
        )

    run_in_environment(scenario)


def test_refusal_by_team_limit_names_the_rule() -> None:
    async def scenario(environment: NodeEnvironment) -> None:
        for service in environment.services:
            service.may_respond.clear()
        small = {"x-team": "small"}
        first = await environment.send_request(
            "GET", "/v1/services/crew/x", b"", small
        )
        await asyncio.sleep(0.2)
        second = await environment.call_node(
            "GET", "/v1/services/crew/x", b"", small
        )
        error = error_of(second)
        assert (second.status, error["code"]) == (429, "team_limit")
        assert error["asked_by"] == "eve: trial"
        assert error["rule"].startswith("team small weight 1")
        assert error["ending"] == "not_run"
        for service in environment.services:
            service.may_respond.set()
        assert (await first.read_response()).status == 200
        third = await environment.call_node(
            "GET", "/v1/services/crew/x", b"", small
        )
        assert third.status == 200

    run_in_environment(scenario)


def test_out_of_service_servers_get_no_requests() -> None:
    async def scenario(environment: NodeEnvironment) -> None:
        environment.store.add("keyed.rules", "out/runner-0", {"author": "ada"})
        await asyncio.sleep(0.5)
        for _ in range(4):
            assert (await environment.complete("report len=3")).status == 200
        assert not environment.engines[0].record.dispatches
        environment.store.add("keyed.rules", "out/z", {"author": "ada"})
        await asyncio.sleep(0.5)
        response = await environment.call_node("GET", "/v1/services/crew/x")
        assert error_of(response)["code"] == "no_backend_server"

    run_in_environment(scenario)


def test_concurrent_requests_stay_within_cold_limit() -> None:
    async def scenario() -> None:
        environment = NodeEnvironment(
            starts_cold=True, cold_requests=3, cold_limit=2
        )
        await environment.start()
        requests = [environment.complete(f"report {n} len=5") for n in range(8)]
        responses = await asyncio.gather(*requests)
        assert [response.status for response in responses] == [200] * 8
        assert all(not state.record.overruns for state in environment.engines)

    run_with_timeout(scenario())


def test_entry_lookup_returns_address_of_the_node() -> None:
    async def scenario(environment: NodeEnvironment) -> None:
        response = await environment.call_node("GET", "/v1/entry?team=desk")
        assert environment.addresses[1].encode() in response.body

    run_in_environment(scenario)


def test_caller_reads_no_response_after_closing() -> None:
    async def scenario(environment: NodeEnvironment) -> None:
        call = await environment.send_request(
            "POST", COMPLETIONS, completion("p")
        )
        call.close()
        with pytest.raises(BrokenAnswerError):
            await call.read_head()

    run_in_environment(scenario)
