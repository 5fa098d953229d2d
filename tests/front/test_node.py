"""End-to-end tests of a front node between callers and backend servers."""

import asyncio

import pytest

from savorylift.exchange import metrics
from savorylift.operators.refusals_command import RefusalsArguments, refusals
from savorylift.platform.store import (
    OPERATORS_TOPIC,
    REFUSALS_TOPIC,
    SERVERS_TOPIC,
)
from savorylift.wire.client_call import BrokenAnswerError
from tests.front.environment import (
    NodeEnvironment,
    configuration,
    decode_body,
    event_numbers,
    run_in_environment,
    run_with_timeout,
)

TOKEN_COUNTS = (("x-savorylift-token-counts", "100,50"),)


def test_each_kind_of_request_is_served() -> None:
    async def scenario(env: NodeEnvironment) -> None:
        for path in ("/safe/x?q=1", "/once/x"):
            response = await env.call(path)
            assert (response.status, response.body) == (200, b"answer of a1")
            assert response.header("x-savorylift-response-seal") == "seal"
        stream = await env.call("/stream/x", "s1", TOKEN_COUNTS)
        assert event_numbers(stream.body) == list(range(1, 11))

    run_in_environment(scenario)


def test_server_gets_headers_and_remaining_deadline() -> None:
    async def scenario(env: NodeEnvironment) -> None:
        extra = (("x-savorylift-tenant", "forged"), ("x-other", "kept"))
        await env.call("/once/x", headers=extra)
        (server,) = [s for s in env.app if s.runs]
        assert server.body == b"question"
        assert server.headers["x-savorylift-tenant"] == "team"
        assert server.headers["x-other"] == "kept"
        assert "x-api-key" not in server.headers
        remaining_ms = int(server.headers["x-savorylift-deadline-remaining"])
        assert 0 < remaining_ms <= 2000

    run_in_environment(scenario)


@pytest.mark.parametrize(
    ("path", "headers", "status"),
    [
        ("/nowhere/", (), 404),
        ("/safe/", (("x-api-key", "other"),), 401),
        ("/safe/", (("host", "other.example"),), 404),
    ],
)
def test_requests_outside_the_configuration_are_refused(
    path: str, headers: tuple[tuple[str, str], ...], status: int
) -> None:
    async def scenario(env: NodeEnvironment) -> None:
        assert (await env.call(path, headers=headers)).status == status
        assert not any(server.runs for server in env.app)

    run_in_environment(scenario)


@pytest.mark.parametrize(
    ("path", "fault", "status", "runs"),
    [
        ("/safe/", {"rejects_all": True}, 503, 0),
        ("/once/", {"rejects_all": True}, 503, 0),
        ("/safe/", {"closes_after": 3}, 502, 2),
        ("/once/", {"closes_after": 3}, 502, 1),
        ("/safe/", {"reported_attempt_id": "a9"}, 502, 2),
        ("/once/", {"reported_attempt_id": "a9"}, 502, 1),
        ("/safe/", {"status": 500}, 500, 2),
        ("/once/", {"status": 500}, 500, 1),
        ("/once/", {"delay_s": 9.0}, 504, 1),
        ("/safe/", {"delay_s": 9.0}, 504, 2),
    ],
)
def test_failed_call_is_retried_only_if_idempotent_or_not_run(
    path: str, fault: dict[str, object], status: int, runs: int
) -> None:
    async def scenario(env: NodeEnvironment) -> None:
        for server in env.app:
            for name, value in fault.items():
                setattr(server, name, value)
        began_s = asyncio.get_running_loop().time()
        response = await env.call(path)
        took_s = asyncio.get_running_loop().time() - began_s
        assert response.status == status
        assert sum(len(server.runs) for server in env.app) == runs
        assert (response.header("retry-after") is not None) is (status == 503)
        assert took_s < 2.5

    run_in_environment(scenario)


def test_call_that_may_have_run_is_not_refused_as_not_run() -> None:
    async def scenario(env: NodeEnvironment) -> None:
        env.app[0].closes_after = 3
        env.app[1].rejects_all = True
        for number in range(8):
            response = await env.call("/safe/", f"a{number}")
            has_run = f"a{number}" in env.app[0].runs
            assert response.status == (502 if has_run else 503)

    run_in_environment(scenario)


def test_idempotent_call_is_retried_at_another_server() -> None:
    async def scenario(env: NodeEnvironment) -> None:
        env.app[0].closes_after = 2
        for number in range(4):
            response = await env.call("/safe/", f"a{number}")
            assert response.status == 200

    run_in_environment(scenario)


def test_caller_disconnect_ends_the_generation() -> None:
    async def scenario(env: NodeEnvironment) -> None:
        for server in env.pool:
            server.events_per_stream = 1000
        call = await env.open_call("/stream/x", "s1", TOKEN_COUNTS)
        await call.read_head()
        call.close()
        await asyncio.sleep(0.5)
        sent_events = [
            server.streamed_events.get("s1", 0) for server in env.pool
        ]
        await asyncio.sleep(0.3)
        assert sent_events == [
            server.streamed_events.get("s1", 0) for server in env.pool
        ]

    run_in_environment(scenario)


def test_generation_moves_off_a_draining_engine() -> None:
    async def scenario(env: NodeEnvironment) -> None:
        for server in env.pool:
            server.events_per_stream = 60
        call = await env.open_call("/stream/x", "s1", TOKEN_COUNTS)
        head = await call.read_head()
        first = await call.read_body_chunk()
        assert first is not None
        (draining,) = [s for s in env.pool if "s1" in s.runs]
        env.publish_entry(draining, "pool", "draining")
        response = await call.read_rest(head)
        assert event_numbers(first + response.body) == list(range(1, 61))
        assert "s1" in draining.stopped
        assert sum(len(server.runs) for server in env.pool) == 1

    run_in_environment(scenario)


def test_broken_stream_does_not_look_complete() -> None:
    async def scenario(env: NodeEnvironment) -> None:
        for server in env.pool:
            server.closes_after = 4
        call = await env.open_call("/stream/x", "s1", TOKEN_COUNTS)
        head = await call.read_head()
        with pytest.raises(BrokenAnswerError):
            await call.read_rest(head)
        assert sum(len(server.runs) for server in env.pool) == 1

    run_in_environment(scenario)


def test_evacuated_and_draining_servers_get_no_requests() -> None:
    async def scenario(env: NodeEnvironment) -> None:
        env.store.add(OPERATORS_TOPIC, "evacuate/z0", {})
        await asyncio.sleep(0.5)
        for number in range(6):
            assert (await env.call("/safe/", f"a{number}")).status == 200
        assert not env.app[0].runs
        env.publish_entry(env.app[1], "app", "draining")
        await asyncio.sleep(0.5)
        response = await env.call("/safe/", "z")
        assert response.status == 503
        assert response.header("retry-after")

    run_in_environment(scenario)


def test_newest_configuration_is_used_after_the_store_log_is_trimmed() -> None:
    async def scenario(env: NodeEnvironment) -> None:
        env.store.add(OPERATORS_TOPIC, "config", configuration(5))
        await env.wait_for_version(5)
        env.store.add(OPERATORS_TOPIC, "config", configuration(9))
        env.store.topic(OPERATORS_TOPIC).trim()
        await env.wait_for_version(9)

    run_in_environment(scenario)


@pytest.mark.parametrize("fault", ["silent", "busy"])
def test_requests_are_served_during_store_outage(fault: str) -> None:
    async def scenario(env: NodeEnvironment) -> None:
        env.store.is_silent = fault == "silent"
        env.store.status = 503 if fault == "busy" else None
        await asyncio.sleep(2.5)
        assert (await env.call("/once/")).status == 200
        env.store.is_silent = False
        env.store.status = None
        env.store.add(OPERATORS_TOPIC, "config", configuration(5))
        await env.wait_for_version(5)

    run_in_environment(scenario)


def test_node_without_configuration_responds_503_with_retry_after() -> None:
    async def scenario() -> None:
        env = NodeEnvironment()
        await env.start(has_configuration=False)
        await asyncio.sleep(0.3)
        assert not await env.is_ready()
        response = await env.call("/safe/")
        assert response.status == 503
        assert response.header("retry-after")
        env.store.add(OPERATORS_TOPIC, "config", configuration())
        assert (await env.call("/safe/")).status == 200

    run_with_timeout(scenario())


def test_idle_node_polls_the_store_rarely() -> None:
    async def scenario(env: NodeEnvironment) -> None:
        await asyncio.sleep(1.0)
        before = len(env.store.called_paths)
        await asyncio.sleep(3.0)
        # Two topics, each polled once a second while nothing changes.
        assert len(env.store.called_paths) - before <= 8

    run_in_environment(scenario)


def test_draining_node_finishes_open_requests() -> None:
    async def scenario(env: NodeEnvironment) -> None:
        for server in env.app:
            server.delay_s = 0.6
        call = await env.open_call("/once/")
        await asyncio.sleep(0.1)
        assert env.node is not None
        assert env.node_task is not None
        env.node.leave()
        assert not await env.is_ready()
        response = await call.read_response()
        assert response.status == 200
        assert response.header("connection") == "close"
        refused = await env.call("/stream/x", "s1", TOKEN_COUNTS)
        assert refused.status == 503
        await asyncio.wait_for(env.node_task, 3.0)

    run_in_environment(scenario)


def test_directory_and_metrics_are_served() -> None:
    async def scenario(env: NodeEnvironment) -> None:
        resolution = await env.get(
            6, "/resolution?name=h.example&region=r&zone=z"
        )
        assert decode_body(resolution) == {
            "addresses": [env.settings().caller_listen],
            "ttlS": 1.5,
        }
        await env.call("/nowhere/")
        metrics = await env.get(9, "/metrics")
        assert (
            b'savorylift_front_refusals_total{reason="not_found"}'
            in metrics.body
        )

    run_in_environment(scenario)


def test_refusals_are_written_to_the_store_and_reported(
    capsys: pytest.CaptureFixture[str],
) -> None:
    async def scenario(env: NodeEnvironment) -> None:
        await env.call("/nowhere/")
        await env.call("/nowhere/", "a2")
        async with asyncio.timeout(9.0):
            while not env.store.topic(REFUSALS_TOPIC).newest_by_key:
                await asyncio.sleep(0.1)
        arguments = RefusalsArguments("2000-01-01", "2100-01-01")
        exit_code = asyncio.to_thread(refusals, env.settings(), arguments)
        assert await exit_code == 0

    run_in_environment(scenario)
    printed = capsys.readouterr().out.splitlines()
    (line,) = [line.split() for line in printed if line.startswith("team ")][1:]
    assert line == ["team", "not_run", "not_found", "404", "-", "-", "2"]


def test_invalid_server_entries_do_not_affect_others() -> None:
    async def scenario(env: NodeEnvironment) -> None:
        env.store.topic(SERVERS_TOPIC).add("bad", b"\xff\xfe")
        env.store.add(SERVERS_TOPIC, "worse", {"service": 3})
        env.store.add(SERVERS_TOPIC, "empty", None)
        await asyncio.sleep(0.5)
        assert (await env.call("/safe/")).status == 200

    run_in_environment(scenario)


@pytest.mark.parametrize("path", ["/stream/", "/resumable/"])
def test_generation_runs_again_only_on_a_route_with_stream_resumption(
    path: str,
) -> None:
    """Both engines have lost the KV cache copies that it could resume from."""

    async def scenario(env: NodeEnvironment) -> None:
        for server in env.pool:
            server.events_per_stream = 60
        call = await env.open_call(path, "s1", TOKEN_COUNTS)
        head = await call.read_head()
        (draining,) = [s for s in env.pool if "s1" in s.runs]
        (other,) = [s for s in env.pool if s is not draining]
        other.loses_copies = True
        draining.loses_copies = True
        env.publish_entry(draining, "pool", "draining")
        if path == "/stream/":
            with pytest.raises(BrokenAnswerError):
                await call.read_rest(head)
            assert other.runs == []
        else:
            response = await call.read_rest(head)
            assert event_numbers(response.body)[-1] == 60
            assert other.runs == ["s1"]

    run_in_environment(scenario)


def test_generation_resumes_at_source_if_destination_rejects_it() -> None:
    async def scenario(env: NodeEnvironment) -> None:
        for server in env.pool:
            server.events_per_stream = 60
        call = await env.open_call("/stream/x", "s1", TOKEN_COUNTS)
        head = await call.read_head()
        (draining,) = [s for s in env.pool if "s1" in s.runs]
        (other,) = [s for s in env.pool if s is not draining]
        other.loses_copies = True
        env.publish_entry(draining, "pool", "draining")
        response = await call.read_rest(head)
        assert event_numbers(response.body) == list(range(1, 61))
        assert other.runs == []

    run_in_environment(scenario)


def test_generation_moves_off_a_draining_engine_during_store_outage() -> None:
    async def scenario(env: NodeEnvironment) -> None:
        for server in env.pool:
            server.events_per_stream = 500
        env.store.is_silent = True
        await asyncio.sleep(1.0)
        call = await env.open_call("/stream/x", "s1", TOKEN_COUNTS)
        head = await call.read_head()
        (draining,) = [s for s in env.pool if "s1" in s.runs]
        draining.is_leaving = True
        while "s1" not in draining.stopped:
            await asyncio.sleep(0.05)
        for server in env.pool:
            server.events_per_stream = 1
        call.close()
        assert head.status == 200

    run_in_environment(scenario)


async def stream_while_draining(
    env: NodeEnvironment, **faults: object
) -> tuple[bytes, list[str]]:
    """Streams 120 events while the engine drains with the given faults.

    Returns the body and the attempts that any of the engines ran.
    """
    for server in env.pool:
        server.events_per_stream = 120
    call = await env.open_call("/stream/x", "s1", TOKEN_COUNTS)
    head = await call.read_head()
    first = await call.read_body_chunk()
    assert first is not None
    (draining,) = [s for s in env.pool if "s1" in s.runs]
    for name, value in faults.items():
        setattr(draining, name, value)
    env.publish_entry(draining, "pool", "draining")
    response = await call.read_rest(head)
    runs = [run for server in env.pool for run in server.runs]
    return first + response.body, runs


@pytest.mark.parametrize(
    "faults", [{"drops_final_copy": True}, {"copies_to_reject": 2}]
)
def test_generation_continues_although_a_kv_copy_fails(
    faults: dict[str, object],
) -> None:
    async def scenario(env: NodeEnvironment) -> None:
        body, runs = await stream_while_draining(env, **faults)
        assert event_numbers(body) == list(range(1, 121))
        assert runs == ["s1"]
        assert (
            env.pool[0].streamed_events["s1"]
            != env.pool[1].streamed_events["s1"]
        )

    run_in_environment(scenario)


def test_stream_that_fails_at_its_last_engine_is_counted_as_broken() -> None:
    broken = metrics.BROKEN_STREAMS.labels("backend_error")

    async def scenario(env: NodeEnvironment) -> None:
        before = broken.value
        first, other = env.pool
        env.publish_entry(other, "pool", "draining")
        await asyncio.sleep(0.5)
        first.events_per_stream, first.closes_after = 100, 80
        other.status = 500
        call = await env.open_call("/resumable/x", "s1", TOKEN_COUNTS)
        head = await call.read_head()
        ready_entry = other.entry("pool", "z1") | {"sequence": 2}
        env.store.add(SERVERS_TOPIC, other.server_id, ready_entry)
        with pytest.raises(BrokenAnswerError):
            await call.read_rest(head)
        assert other.runs == ["s1"]
        assert broken.value == before + 1

    run_in_environment(scenario)


def test_node_follows_the_servers_past_odd_entries() -> None:
    async def scenario(env: NodeEnvironment) -> None:
        odd = [b"[" * 100_000, b'{"a":' * 50_000, b'{"slots":' + b"9" * 9999]
        topic = env.store.topic(SERVERS_TOPIC)
        for number, value in enumerate(odd):
            topic.add(f"odd-{number}", value)
        for server in env.app:
            env.publish_entry(server, "app", "draining")
        env.app[0].server_id = "app-9"
        env.publish_entry(env.app[0], "app")
        await asyncio.sleep(0.5)
        assert (await env.call("/safe/x")).status == 200
        assert env.node_task is not None
        assert not env.node_task.done()
        assert await env.is_ready()

    run_in_environment(scenario)
