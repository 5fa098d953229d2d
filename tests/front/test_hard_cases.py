"""Tests of a whole node under faults and concurrent changes."""

import asyncio
import time

import pytest

from savorylift.platform.store import OPERATORS_TOPIC, SERVERS_TOPIC
from tests.front.environment import (
    NodeEnvironment,
    configuration,
    route,
    run_in_environment,
)

MAX_APPLY_S = 2.0
END_VERSION = 25  # exclusive; the last one has the API key that calls use
ROUTE_COUNT = 300


@pytest.mark.parametrize("path", ["/safe/x", "/once/x"])
def test_address_reused_by_another_server_runs_nothing(path: str) -> None:
    async def scenario(env: NodeEnvironment) -> None:
        replaced = env.app[0]
        replaced.server_id = "another"
        for number in range(6):
            response = await env.call(path, f"a{number}")
            assert (response.status, response.body) == (
                200,
                f"answer of a{number}".encode(),
            )
        assert replaced.runs == []

    run_in_environment(scenario)


def test_rapid_configuration_changes_end_with_the_newest() -> None:
    async def scenario(env: NodeEnvironment) -> None:
        for version in range(2, END_VERSION):
            cfg = configuration(version)
            if version % 2:
                cfg["tenants"] = [{"name": "team", "apiKeys": ["other"]}]
            env.store.add(OPERATORS_TOPIC, "config", cfg)
            await asyncio.sleep(0.01)
        began_s = time.monotonic()
        await env.wait_for_version(END_VERSION - 1)
        assert time.monotonic() - began_s < MAX_APPLY_S
        assert (await env.call("/safe/x", "a1")).status == 200

    run_in_environment(scenario)


def test_any_route_among_hundreds_is_served() -> None:
    async def scenario(env: NodeEnvironment) -> None:
        cfg = configuration(2)
        routes = [
            route(f"/added-{n}/", "safe", "app") for n in range(ROUTE_COUNT)
        ]
        nested = [route(f"/added-{n}/in/", "unsafe", "app") for n in range(9)]
        cfg["routes"] = [*routes, *nested]
        env.store.add(OPERATORS_TOPIC, "config", cfg)
        await env.wait_for_version(2)
        for number in (0, ROUTE_COUNT // 2, ROUTE_COUNT - 1):
            response = await env.call(f"/added-{number}/x", f"b{number}")
            assert response.status == 200
        assert (await env.call("/safe/x", "c")).status == 404

    run_in_environment(scenario)


def test_revoked_key_is_refused() -> None:
    async def scenario(env: NodeEnvironment) -> None:
        assert (await env.call("/safe/x")).status == 200
        cfg = configuration(2)
        cfg["tenants"] = [{"name": "team", "apiKeys": ["new"]}]
        env.store.add(OPERATORS_TOPIC, "config", cfg)
        await env.wait_for_version(2)
        assert (await env.call("/safe/x", "a2")).status == 401
        runs = sum(len(server.runs) for server in env.app)
        assert runs == 1

    run_in_environment(scenario)


@pytest.mark.parametrize("delay_s", [0.3, 5.0])
def test_slow_store_does_not_delay_requests(delay_s: float) -> None:
    async def scenario(env: NodeEnvironment) -> None:
        env.store.delay_s = delay_s
        await asyncio.sleep(0.5)
        began_s = time.monotonic()
        for number in range(5):
            assert (await env.call("/safe/x", f"a{number}")).status == 200
        assert time.monotonic() - began_s < 1.0

    run_in_environment(scenario)


def test_entries_lost_in_store_outage_are_kept_until_rewritten() -> None:
    async def scenario(env: NodeEnvironment) -> None:
        env.store.status = 503
        await asyncio.sleep(2.5)
        for server in env.app:
            env.store.topic(SERVERS_TOPIC).newest_by_key.pop(server.server_id)
            env.store.topic(SERVERS_TOPIC).trim()
        env.store.status = None
        await asyncio.sleep(0.8)
        assert (await env.call("/safe/x", "a1")).status == 200
        for server in env.app:
            env.publish_entry(server, "app")
        await asyncio.sleep(2.5)
        assert (await env.call("/safe/x", "a2")).status == 200

    run_in_environment(scenario)


def test_restarted_server_gets_nothing_while_cold() -> None:
    async def scenario(env: NodeEnvironment) -> None:
        server = env.app[0]
        entry = server.entry("app", "z0") | {
            "born": 2,
            "coldRemainingMs": 60_000,
        }
        env.store.add(SERVERS_TOPIC, server.server_id, entry)
        await asyncio.sleep(0.4)
        for number in range(6):
            assert (await env.call("/safe/x", f"a{number}")).status == 200
        assert server.runs == []

    run_in_environment(scenario)


def test_slow_call_is_waited_for_when_the_retry_budget_is_used_up() -> None:
    async def scenario(env: NodeEnvironment) -> None:
        for server in env.app:
            server.delay_s = 0.6
        responses = await asyncio.gather(
            *(env.call("/safe/x", f"a{number}") for number in range(120))
        )
        assert {response.status for response in responses} == {200}

    run_in_environment(scenario)
