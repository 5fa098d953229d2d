"""Tests of fleets whose backend servers name limits on their requests."""

import asyncio
import pathlib
import time
from collections.abc import Callable

import pytest

from tests.front.environment import run_with_timeout
from tests.front.node_fleet import (
    REACTION_S,
    NodeFleet,
    most_allowed,
    most_in_window,
)
from tests.front.process_fleet import ProcessFleet
from tests.harness.virtual_time import run_in_virtual_time
from tests.standins.platform_server import PlatformServer

LIMITED_S = 15.0
# A server must get its part again within this time after its limit ended.
RECOVERY_S = 3.0
# Time over which its part is counted. Nodes of a large fleet learn of each
# other's requests once a second, so that its part varies from one to the next.
RECOVERED_S = 9.0
# No responses come for this long, and then only after this time.
QUIET_S = 150.0
SLOW_S = 2.0
# A changed limit must be held after this time; then it is counted for longer.
CHANGE_S = 3.0
CHANGED_S = 6.0
# A request without a server is refused within this time.
AT_ONCE_S = 0.3


@pytest.mark.parametrize(
    ("nodes", "servers", "per_s", "path"),
    [
        (6, 3, 1.8, "/safe/x"),
        (6, 3, 2.9, "/stream/x"),
        (9, 1, 1.8, "/once/x"),
        (24, 3, 1.8, "/safe/x"),
        (81, 3, 1.8, "/safe/x"),
        (6, 3, 0.5, "/safe/x"),
    ],
)
def test_server_gets_no_more_than_the_limit_that_it_named(
    nodes: int,
    servers: int,
    per_s: float,
    path: str,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def scenario() -> None:
        fleet = NodeFleet(nodes, servers)
        server = fleet.service(path)[0]
        async with fleet.running():
            await fleet.call_for(path, 3.0)
            server.named_limit = str(per_s)
            named_s = time.monotonic()
            await fleet.call_for(path, LIMITED_S)
            server.named_limit = None
            ended_s = time.monotonic()
            await fleet.call_for(path, RECOVERY_S + RECOVERED_S)
        limited = [t for t in server.arrivals if named_s <= t < ended_s]
        since_s = named_s + REACTION_S
        assert most_in_window(limited, since_s) <= most_allowed(per_s)
        used = sum(t >= since_s for t in limited)
        assert used >= per_s * (LIMITED_S - REACTION_S) / 2
        recovered = [t for t in server.arrivals if t > ended_s + RECOVERY_S]
        assert len(recovered) >= 30.0 * RECOVERED_S / servers / 2
        endings = fleet.endings_since(since_s)
        if servers > 1:
            assert {ending.status for ending in endings} == {200}

    run_in_virtual_time(monkeypatch, scenario)


async def limit_and_call(
    fleet: NodeFleet, path: str, per_s: float, duration_s: float
) -> float:
    """Sends requests while the first server names a limit.

    Returns:
        Monotonic time from which the limit must be held.
    """
    server = fleet.service(path)[0]
    await fleet.call_for(path, 3.0)
    server.named_limit = str(per_s)
    since_s = time.monotonic() + REACTION_S
    await fleet.call_for(path, duration_s)
    return since_s


@pytest.mark.parametrize(
    ("servers", "path"), [(1, "/once/x"), (1, "/stream/x"), (3, "/safe/x")]
)
def test_rest_is_refused_at_once_if_all_servers_name_limits(
    servers: int, path: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def scenario() -> None:
        fleet = NodeFleet(6, servers)
        async with fleet.running():
            for server in fleet.service(path):
                server.named_limit = "1.8"
            since_s = await limit_and_call(fleet, path, 1.8, 10.0)
        for server in fleet.service(path):
            arrivals = server.arrivals
            assert most_in_window(arrivals, since_s) <= most_allowed(1.8)
            assert sum(t >= since_s for t in arrivals) >= 1.8 * 7.0 / 2
        endings = fleet.endings_since(since_s)
        refused = [ending for ending in endings if ending.status != 200]
        assert refused
        for ending in refused:
            assert ending.status == 503
            assert ending.took_s < AT_ONCE_S
            assert ending.retry_after_s is not None
            assert 0 < ending.retry_after_s <= 8.0

    run_in_virtual_time(monkeypatch, scenario)


def test_limit_holds_while_nodes_are_cut_off_from_each_other(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def scenario() -> None:
        fleet = NodeFleet(9, 2)
        server = fleet.app[0]
        async with fleet.running():
            since_s = await limit_and_call(fleet, "/safe/x", 1.8, 6.0)
            for index in range(3):
                fleet.cut_off(index)
            await fleet.call_for("/safe/x", 12.0)
        assert most_in_window(server.arrivals, since_s) <= most_allowed(1.8)
        used = sum(t >= since_s for t in server.arrivals)
        assert used >= 1.8 * 15.0 / 3

    run_in_virtual_time(monkeypatch, scenario)


def test_limit_holds_after_a_time_without_requests(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def scenario() -> None:
        fleet = NodeFleet(9, 2)
        server = fleet.app[0]
        async with fleet.running():
            await limit_and_call(fleet, "/once/x", 1.8, 6.0)
            await asyncio.sleep(QUIET_S)
            for slow in fleet.app:
                slow.delay_s = SLOW_S
            since_s = time.monotonic()
            await fleet.call_for("/once/x", 6.0)
        assert most_in_window(server.arrivals, since_s) <= most_allowed(1.8)
        used = sum(t >= since_s for t in server.arrivals)
        assert used >= 1.8 * 6.0 / 2

    run_in_virtual_time(monkeypatch, scenario)


@pytest.mark.parametrize("value", ["soon", "-1", "nan", ""])
def test_limit_that_can_not_be_read_changes_nothing(
    value: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def scenario() -> None:
        fleet = NodeFleet(2, 2)
        async with fleet.running():
            fleet.app[0].named_limit = value
            await fleet.call_for("/safe/x", 4.0)
        assert len(fleet.app[0].arrivals) >= 30
        assert {ending.status for ending in fleet.endings} == {200}

    run_in_virtual_time(monkeypatch, scenario)


def reject_all(server: PlatformServer) -> None:
    server.rejects_all = True


def break_off(server: PlatformServer) -> None:
    server.closes_after = 1


def fail(server: PlatformServer) -> None:
    server.status = 500


@pytest.mark.parametrize("break_server", [reject_all, break_off, fail])
@pytest.mark.parametrize("path", ["/safe/x", "/resumable/x"])
def test_repeats_and_probes_keep_to_limits_of_failing_servers(
    path: str,
    break_server: Callable[[PlatformServer], None],
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def scenario() -> None:
        fleet = NodeFleet(4, 2)
        servers = fleet.service(path)
        async with fleet.running():
            for server in servers:
                server.named_limit = "2"
                break_server(server)
            since_s = time.monotonic() + REACTION_S
            await fleet.call_for(path, 10.0)
        for server in servers:
            opened = server.connections
            assert most_in_window(opened, since_s) <= most_allowed(2.0)
            assert sum(t >= since_s for t in opened) >= 2.0 * 7.0 / 3

    run_in_virtual_time(monkeypatch, scenario)


def test_runs_move_to_engines_without_limit(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def scenario() -> None:
        fleet = NodeFleet(4, 3)
        draining, limited, other = fleet.pool
        for engine in fleet.pool:
            engine.events_per_stream = 60
        async with fleet.running():
            limited.named_limit = "1"
            await fleet.call_for("/resumable/x", 8.0, per_s=6.0)
            since_s = time.monotonic()
            fleet.publish_entry(draining, "pool", "draining")
            await fleet.call_for("/resumable/x", 8.0, per_s=6.0)
        assert most_in_window(limited.arrivals, since_s) <= most_allowed(1.0)
        assert {ending.status for ending in fleet.endings} == {200}
        assert len(other.runs) > len(limited.runs)

    run_in_virtual_time(monkeypatch, scenario)


def test_server_that_restarted_under_another_id_has_no_limit(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def scenario() -> None:
        fleet = NodeFleet(4, 2)
        server = fleet.app[0]
        async with fleet.running():
            await limit_and_call(fleet, "/safe/x", 0.5, 6.0)
            server.named_limit = None
            fleet.restart_under_other_id(server, "app")
            await fleet.call_for("/safe/x", 1.0)
            since_s = time.monotonic()
            await fleet.call_for("/safe/x", 3.0)
        assert sum(t >= since_s for t in server.arrivals) >= 30

    run_in_virtual_time(monkeypatch, scenario)


@pytest.mark.processes
def test_limit_holds_while_nodes_freeze_and_restart(
    tmp_path: pathlib.Path,
) -> None:
    async def scenario() -> None:
        fleet = ProcessFleet(9, 2, tmp_path)
        server = fleet.app[0]
        async with fleet.running():
            processes = [fleet.processes[ip] for ip in fleet.ips]
            since_s = await limit_and_call(fleet, "/safe/x", 1.8, 6.0)
            for process in processes[:3]:
                process.pause()
            await fleet.call_for("/safe/x", 3.0)
            for process in processes[:3]:
                process.resume()
            await fleet.call_for("/safe/x", 2.0)
            for index in (2, 5, 7):
                processes[index].kill()
                fleet.start_node(fleet.ips[index])
                await fleet.call_for("/safe/x", 1.0)
            processes[4].terminate()
            await fleet.call_for("/safe/x", 6.0)
        assert most_in_window(server.arrivals, since_s) <= most_allowed(1.8)
        used = sum(t >= since_s for t in server.arrivals)
        assert used >= 1.8 * 17.0 / 3

    run_with_timeout(scenario())


def test_no_request_is_refused_when_all_servers_name_what_suffices(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def scenario() -> None:
        fleet = NodeFleet(6, 3)
        async with fleet.running():
            await fleet.call_for("/safe/x", 2.0)
            for server in fleet.app:
                server.named_limit = "30"
            await fleet.call_for("/safe/x", 5.0)
        assert {ending.status for ending in fleet.endings} == {200}

    run_in_virtual_time(monkeypatch, scenario)


def test_each_value_of_a_changing_limit_is_held(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def scenario() -> None:
        fleet = NodeFleet(9, 2)
        server = fleet.app[0]
        async with fleet.running():
            for per_s in (4.0, 0.5, 0.0, 6.0):
                server.named_limit = str(per_s)
                since_s = time.monotonic() + CHANGE_S
                await fleet.call_for("/safe/x", CHANGE_S + CHANGED_S)
                later = [t for t in server.arrivals if t >= since_s]
                assert most_in_window(later, since_s) <= most_allowed(per_s)
                assert len(later) >= per_s * CHANGED_S / 2
        assert {ending.status for ending in fleet.endings} == {200}

    run_in_virtual_time(monkeypatch, scenario)


@pytest.mark.parametrize("path", ["/safe/x", "/resumable/x"])
@pytest.mark.parametrize(
    ("state", "cold_ms"), [("ready", 20_000.0), ("draining", 0.0)]
)
def test_limit_of_a_cold_or_draining_server_is_held(
    state: str, cold_ms: float, path: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def scenario() -> None:
        fleet = NodeFleet(9, 3)
        server = fleet.service(path)[0]
        service = "pool" if server in fleet.pool else "app"
        async with fleet.running():
            since_s = await limit_and_call(fleet, path, 1.8, 6.0)
            fleet.publish_entry(server, service, state, cold_ms)
            await fleet.call_for(path, 8.0)
        assert most_in_window(server.arrivals, since_s) <= most_allowed(1.8)
        assert {ending.status for ending in fleet.endings} == {200}

    run_in_virtual_time(monkeypatch, scenario)
