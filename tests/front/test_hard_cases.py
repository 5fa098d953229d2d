"""Troubles that may come at any moment, met by a whole node."""

import asyncio
import time

import pytest

from savorylift.platform.store import OPERATORS, SERVERS
from tests.front.stage import Stage, configuration, on_stage, route

APPLIED_S = 2.0
STORM = 25  # the last version below it has the stage's own key
ROUTES = 300


@pytest.mark.parametrize("path", ["/safe/x", "/once/x"])
def test_address_that_belongs_to_another_server_by_now(path: str) -> None:
    async def scene(stage: Stage) -> None:
        taken = stage.app[0]
        taken.server_id = "another"
        for number in range(6):
            answer = await stage.call(path, f"a{number}")
            assert (answer.status, answer.body) == (
                200,
                f"answer of a{number}".encode(),
            )
        assert taken.runs == []

    on_stage(scene)


def test_configurations_in_quick_succession_end_with_the_newest() -> None:
    async def scene(stage: Stage) -> None:
        for version in range(2, STORM):
            cfg = configuration(version)
            if version % 2:
                cfg["tenants"] = [{"name": "team", "apiKeys": ["other"]}]
            stage.store.add(OPERATORS, "config", cfg)
            await asyncio.sleep(0.01)
        began_s = time.monotonic()
        await stage.wait_version(STORM - 1)
        assert time.monotonic() - began_s < APPLIED_S
        assert (await stage.call("/safe/x", "a1")).status == 200

    on_stage(scene)


def test_routes_among_hundreds_are_served_like_the_first() -> None:
    async def scene(stage: Stage) -> None:
        cfg = configuration(2)
        routes = [route(f"/added-{n}/", "safe", "app") for n in range(ROUTES)]
        nested = [route(f"/added-{n}/in/", "unsafe", "app") for n in range(9)]
        cfg["routes"] = [*routes, *nested]
        stage.store.add(OPERATORS, "config", cfg)
        await stage.wait_version(2)
        for number in (0, ROUTES // 2, ROUTES - 1):
            answer = await stage.call(f"/added-{number}/x", f"b{number}")
            assert answer.status == 200
        assert (await stage.call("/safe/x", "c")).status == 404

    on_stage(scene)


def test_key_that_is_revoked_is_refused_on_open_connections() -> None:
    async def scene(stage: Stage) -> None:
        assert (await stage.call("/safe/x")).status == 200
        cfg = configuration(2)
        cfg["tenants"] = [{"name": "team", "apiKeys": ["new"]}]
        stage.store.add(OPERATORS, "config", cfg)
        await stage.wait_version(2)
        assert (await stage.call("/safe/x", "a2")).status == 401
        runs = sum(len(server.runs) for server in stage.app)
        assert runs == 1

    on_stage(scene)


@pytest.mark.parametrize("delay_s", [0.3, 5.0])
def test_slow_store_holds_up_no_request(delay_s: float) -> None:
    async def scene(stage: Stage) -> None:
        stage.store.delay_s = delay_s
        await asyncio.sleep(0.5)
        began_s = time.monotonic()
        for number in range(5):
            assert (await stage.call("/safe/x", f"a{number}")).status == 200
        assert time.monotonic() - began_s < 1.0

    on_stage(scene)


def test_entries_that_lapsed_while_the_store_was_away_come_back() -> None:
    async def scene(stage: Stage) -> None:
        stage.store.status = 503
        await asyncio.sleep(2.5)
        for server in stage.app:
            stage.store.topic(SERVERS).newest.pop(server.server_id)
            stage.store.topic(SERVERS).trim()
        stage.store.status = None
        await asyncio.sleep(0.8)
        assert (await stage.call("/safe/x", "a1")).status == 200
        for server in stage.app:
            stage.put(server, "app")
        await asyncio.sleep(2.5)
        assert (await stage.call("/safe/x", "a2")).status == 200

    on_stage(scene)


def test_server_that_restarts_under_its_name_is_spared_while_cold() -> None:
    async def scene(stage: Stage) -> None:
        server = stage.app[0]
        entry = server.entry("app", "z0") | {
            "born": 2,
            "coldRemainingMs": 60_000,
        }
        stage.store.add(SERVERS, server.server_id, entry)
        await asyncio.sleep(0.4)
        for number in range(6):
            assert (await stage.call("/safe/x", f"a{number}")).status == 200
        assert server.runs == []

    on_stage(scene)
