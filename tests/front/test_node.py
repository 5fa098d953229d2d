"""Tests of a whole front node, as callers and backend servers see it."""

import asyncio

import pytest
from prometheus_client import REGISTRY

from savorylift.operators.account_commands import ReportRequest, refusals
from savorylift.platform.store import OPERATORS, REFUSALS, SERVERS
from savorylift.wire.client_call import BrokenAnswerError
from tests.front.stage import (
    Stage,
    as_json,
    configuration,
    event_numbers,
    on_stage,
    play,
)

COUNTS = (("x-savorylift-token-counts", "100,50"),)


def test_serves_each_kind_of_request() -> None:
    async def scene(stage: Stage) -> None:
        for path in ("/safe/x?q=1", "/once/x"):
            answer = await stage.call(path)
            assert (answer.status, answer.body) == (200, b"answer of a1")
            assert answer.value("x-savorylift-response-seal") == "seal"
        stream = await stage.call("/stream/x", "s1", COUNTS)
        assert event_numbers(stream.body) == list(range(1, 11))

    on_stage(scene)


def test_passes_on_what_the_platform_asks_for() -> None:
    async def scene(stage: Stage) -> None:
        extra = (("x-savorylift-tenant", "forged"), ("x-other", "kept"))
        await stage.call("/once/x", headers=extra)
        (server,) = [s for s in stage.app if s.runs]
        assert server.body == b"question"
        assert server.headers["x-savorylift-tenant"] == "team"
        assert server.headers["x-other"] == "kept"
        assert "x-api-key" not in server.headers
        left = int(server.headers["x-savorylift-deadline-remaining"])
        assert 0 < left <= 2000

    on_stage(scene)


@pytest.mark.parametrize(
    ("path", "headers", "status"),
    [
        ("/nowhere/", (), 404),
        ("/safe/", (("x-api-key", "other"),), 401),
        ("/safe/", (("host", "other.example"),), 404),
    ],
)
def test_refuses_what_the_configuration_does_not_allow(
    path: str, headers: tuple[tuple[str, str], ...], status: int
) -> None:
    async def scene(stage: Stage) -> None:
        assert (await stage.call(path, headers=headers)).status == status
        assert not any(server.runs for server in stage.app)

    on_stage(scene)


@pytest.mark.parametrize(
    ("path", "fault", "status", "runs"),
    [
        ("/safe/", {"sheds": True}, 503, 0),
        ("/once/", {"sheds": True}, 503, 0),
        ("/safe/", {"breaks_after": 3}, 502, 2),
        ("/once/", {"breaks_after": 3}, 502, 1),
        ("/safe/", {"answers_as": "a9"}, 502, 2),
        ("/once/", {"answers_as": "a9"}, 502, 1),
        ("/safe/", {"status": 500}, 500, 2),
        ("/once/", {"status": 500}, 500, 1),
        ("/once/", {"delay_s": 9.0}, 504, 1),
        ("/safe/", {"delay_s": 9.0}, 504, 2),
    ],
)
def test_tells_the_truth_about_what_ran(
    path: str, fault: dict[str, object], status: int, runs: int
) -> None:
    async def scene(stage: Stage) -> None:
        for server in stage.app:
            for name, value in fault.items():
                setattr(server, name, value)
        began_s = asyncio.get_running_loop().time()
        answer = await stage.call(path)
        took_s = asyncio.get_running_loop().time() - began_s
        assert answer.status == status
        assert sum(len(server.runs) for server in stage.app) == runs
        assert (answer.value("retry-after") is not None) is (status == 503)
        assert took_s < 2.5

    on_stage(scene)


def test_second_server_helps_an_idempotent_call() -> None:
    async def scene(stage: Stage) -> None:
        stage.app[0].breaks_after = 2
        for number in range(4):
            answer = await stage.call("/safe/", f"a{number}")
            assert answer.status == 200

    on_stage(scene)


def test_caller_that_leaves_ends_its_run() -> None:
    async def scene(stage: Stage) -> None:
        for server in stage.pool:
            server.events = 1000
        call = await stage.open("/stream/x", "s1", COUNTS)
        await call.read_head()
        call.close()
        await asyncio.sleep(0.5)
        made = [server.streams.get("s1", 0) for server in stage.pool]
        await asyncio.sleep(0.3)
        assert made == [server.streams.get("s1", 0) for server in stage.pool]

    on_stage(scene)


def test_run_goes_on_when_its_engine_leaves() -> None:
    async def scene(stage: Stage) -> None:
        for server in stage.pool:
            server.events = 60
        call = await stage.open("/stream/x", "s1", COUNTS)
        head = await call.read_head()
        first = await call.read_part()
        assert first is not None
        (leaving,) = [s for s in stage.pool if "s1" in s.runs]
        stage.put(leaving, "pool", "draining")
        answer = await call.read_rest(head)
        assert event_numbers(first + answer.body) == list(range(1, 61))
        assert "s1" in leaving.stopped
        assert sum(len(server.runs) for server in stage.pool) == 1

    on_stage(scene)


def test_broken_stream_does_not_look_complete() -> None:
    async def scene(stage: Stage) -> None:
        for server in stage.pool:
            server.breaks_after = 4
        call = await stage.open("/stream/x", "s1", COUNTS)
        head = await call.read_head()
        with pytest.raises(BrokenAnswerError):
            await call.read_rest(head)
        assert sum(len(server.runs) for server in stage.pool) == 1

    on_stage(scene)


def test_evacuated_and_leaving_servers_get_nothing() -> None:
    async def scene(stage: Stage) -> None:
        stage.store.add(OPERATORS, "evacuate/z0", {})
        await asyncio.sleep(0.5)
        for number in range(6):
            assert (await stage.call("/safe/", f"a{number}")).status == 200
        assert not stage.app[0].runs
        stage.put(stage.app[1], "app", "draining")
        await asyncio.sleep(0.5)
        answer = await stage.call("/safe/", "z")
        assert answer.status == 503
        assert answer.value("retry-after")

    on_stage(scene)


def test_follows_the_configuration_through_a_trimmed_history() -> None:
    async def scene(stage: Stage) -> None:
        stage.store.add(OPERATORS, "config", configuration(5))
        await stage.wait_version(5)
        stage.store.add(OPERATORS, "config", configuration(9))
        stage.store.topic(OPERATORS).trim()
        await stage.wait_version(9)

    on_stage(scene)


@pytest.mark.parametrize("fault", ["silent", "busy"])
def test_serves_while_the_store_is_away(fault: str) -> None:
    async def scene(stage: Stage) -> None:
        stage.store.is_silent = fault == "silent"
        stage.store.status = 503 if fault == "busy" else None
        await asyncio.sleep(2.5)
        assert (await stage.call("/once/")).status == 200
        stage.store.is_silent = False
        stage.store.status = None
        stage.store.add(OPERATORS, "config", configuration(5))
        await stage.wait_version(5)

    on_stage(scene)


def test_node_without_a_configuration_says_when_to_come_back() -> None:
    async def scene() -> None:
        stage = Stage()
        await stage.start(has_configuration=False)
        await asyncio.sleep(0.3)
        assert not await stage.is_ready()
        answer = await stage.call("/safe/")
        assert answer.status == 503
        assert answer.value("retry-after")
        stage.store.add(OPERATORS, "config", configuration())
        assert (await stage.call("/safe/")).status == 200

    play(scene())


def test_calls_to_the_store_are_few() -> None:
    async def scene(stage: Stage) -> None:
        await asyncio.sleep(1.0)
        before = len(stage.store.calls)
        await asyncio.sleep(3.0)
        # Two topics, each asked once a second while nothing changes.
        assert len(stage.store.calls) - before <= 8

    on_stage(scene)


def test_stopped_node_serves_what_is_open() -> None:
    async def scene(stage: Stage) -> None:
        for server in stage.app:
            server.delay_s = 0.6
        call = await stage.open("/once/")
        await asyncio.sleep(0.1)
        assert stage.front is not None
        assert stage.node is not None
        stage.front.leave()
        assert not await stage.is_ready()
        answer = await call.read_answer()
        assert answer.status == 200
        assert answer.value("connection") == "close"
        refused = await stage.call("/stream/x", "s1", COUNTS)
        assert refused.status == 503
        await asyncio.wait_for(stage.node, 3.0)

    on_stage(scene)


def test_directory_and_metrics_answer() -> None:
    async def scene(stage: Stage) -> None:
        found = await stage.get(6, "/resolution?name=h.example&region=r&zone=z")
        assert as_json(found) == {
            "addresses": [stage.settings().caller_listen],
            "ttlS": 1.5,
        }
        await stage.call("/nowhere/")
        metrics = await stage.get(9, "/metrics")
        assert (
            b'savorylift_front_refusals_total{reason="not_found"}'
            in metrics.body
        )

    on_stage(scene)


def test_refusals_are_accounted_for_in_the_store(
    capsys: pytest.CaptureFixture[str],
) -> None:
    async def scene(stage: Stage) -> None:
        await stage.call("/nowhere/")
        await stage.call("/nowhere/", "a2")
        async with asyncio.timeout(9.0):
            while not stage.store.topic(REFUSALS).newest:
                await asyncio.sleep(0.1)
        wanted = ReportRequest("2000-01-01", "2100-01-01")
        ran = asyncio.to_thread(refusals, stage.settings(), wanted)
        assert await ran == 0

    on_stage(scene)
    printed = capsys.readouterr().out.splitlines()
    (line,) = [line.split() for line in printed if line.startswith("team ")][1:]
    assert line == ["team", "not_run", "not_found", "404", "-", "-", "2"]


def test_foreign_entries_leave_the_others() -> None:
    async def scene(stage: Stage) -> None:
        stage.store.topic(SERVERS).add("bad", b"\xff\xfe")
        stage.store.add(SERVERS, "worse", {"service": 3})
        stage.store.add(SERVERS, "empty", None)
        await asyncio.sleep(0.5)
        assert (await stage.call("/safe/")).status == 200

    on_stage(scene)


@pytest.mark.parametrize("path", ["/stream/", "/resumable/"])
def test_run_that_finds_no_place_to_go_on_is_not_started_again(
    path: str,
) -> None:
    """Only a stream that may be resumed may run a second time."""

    async def scene(stage: Stage) -> None:
        for server in stage.pool:
            server.events = 60
        call = await stage.open(path, "s1", COUNTS)
        head = await call.read_head()
        (leaving,) = [s for s in stage.pool if "s1" in s.runs]
        (other,) = [s for s in stage.pool if s is not leaving]
        other.loses_copies = True
        leaving.loses_copies = True
        stage.put(leaving, "pool", "draining")
        if path == "/stream/":
            with pytest.raises(BrokenAnswerError):
                await call.read_rest(head)
            assert other.runs == []
        else:
            answer = await call.read_rest(head)
            assert event_numbers(answer.body)[-1] == 60
            assert other.runs == ["s1"]

    on_stage(scene)


def test_run_goes_on_at_its_source_when_the_destination_rejects_it() -> None:
    async def scene(stage: Stage) -> None:
        for server in stage.pool:
            server.events = 60
        call = await stage.open("/stream/x", "s1", COUNTS)
        head = await call.read_head()
        (leaving,) = [s for s in stage.pool if "s1" in s.runs]
        (other,) = [s for s in stage.pool if s is not leaving]
        other.loses_copies = True
        stage.put(leaving, "pool", "draining")
        answer = await call.read_rest(head)
        assert event_numbers(answer.body) == list(range(1, 61))
        assert other.runs == []

    on_stage(scene)


def test_run_goes_on_when_its_engine_leaves_while_the_store_is_away() -> None:
    async def scene(stage: Stage) -> None:
        for server in stage.pool:
            server.events = 500
        stage.store.is_silent = True
        await asyncio.sleep(1.0)
        call = await stage.open("/stream/x", "s1", COUNTS)
        head = await call.read_head()
        (leaving,) = [s for s in stage.pool if "s1" in s.runs]
        leaving.is_leaving = True
        while "s1" not in leaving.stopped:
            await asyncio.sleep(0.05)
        for server in stage.pool:
            server.events = 1
        call.close()
        assert head.status == 200

    on_stage(scene)


async def move_away(stage: Stage, **faults: object) -> tuple[bytes, list[str]]:
    """Streams 120 events from an engine that leaves with faults.

    Returns the body and the attempts that any engine ran.
    """
    for server in stage.pool:
        server.events = 120
    call = await stage.open("/stream/x", "s1", COUNTS)
    head = await call.read_head()
    first = await call.read_part()
    assert first is not None
    (leaving,) = [s for s in stage.pool if "s1" in s.runs]
    for name, value in faults.items():
        setattr(leaving, name, value)
    stage.put(leaving, "pool", "draining")
    answer = await call.read_rest(head)
    runs = [run for server in stage.pool for run in server.runs]
    return first + answer.body, runs


@pytest.mark.parametrize(
    "faults", [{"dies_at_last_copy": True}, {"copies_rejected": 2}]
)
def test_run_goes_on_although_a_copy_fails(faults: dict[str, object]) -> None:
    async def scene(stage: Stage) -> None:
        body, runs = await move_away(stage, **faults)
        assert event_numbers(body) == list(range(1, 121))
        assert runs == ["s1"]
        assert stage.pool[0].streams["s1"] != stage.pool[1].streams["s1"]

    on_stage(scene)


def test_stream_whose_last_engine_fails_is_counted_as_broken() -> None:
    labels = {"reason": "backend_error"}
    name = "savorylift_front_broken_streams_total"

    async def scene(stage: Stage) -> None:
        before = REGISTRY.get_sample_value(name, labels) or 0.0
        first, other = stage.pool
        stage.put(other, "pool", "draining")
        await asyncio.sleep(0.5)
        first.events, first.breaks_after = 100, 80
        other.status = 500
        call = await stage.open("/resumable/x", "s1", COUNTS)
        head = await call.read_head()
        back = other.entry("pool", "z1") | {"sequence": 2}
        stage.store.add(SERVERS, other.server_id, back)
        with pytest.raises(BrokenAnswerError):
            await call.read_rest(head)
        assert other.runs == ["s1"]
        after = REGISTRY.get_sample_value(name, labels)
        assert after == before + 1

    on_stage(scene)
