"""Tests of the check whether a server that closed a connection is gone."""

import asyncio
import random
from typing import cast

import pytest

from savorylift.backends.registry import BackendServer
from savorylift.exchange.limit_gate import LimitGate, Permit
from savorylift.exchange.server_check import ServerCheck
from savorylift.wire.channel import Channel, connect
from tests.exchange.factories import make_server
from tests.harness.ports import free_addresses
from tests.wire.loopback import run_with_timeout, serve_bytes


class FakeGate:
    """Grants permits, or none."""

    def __init__(self, *, grants: bool) -> None:
        self._grants = grants
        self.asked = 0

    async def acquire(
        self,
        _server: BackendServer,
        _request: str,
        _max_wait_s: float,
        *,
        is_probe: bool,
    ) -> Permit | None:
        assert is_probe
        self.asked += 1
        return Permit(None) if self._grants else None


def make_check(
    *, grants: bool = True, in_service: bool = True
) -> tuple[ServerCheck, FakeGate]:
    gate = FakeGate(grants=grants)
    check = ServerCheck(cast("LimitGate", gate), lambda _: in_service)
    return check, gate


def server_at(port: int, server_id: str = "i-1") -> BackendServer:
    server = make_server(server_id)
    entry = server.entry._replace(address=("127.0.0.1", port))
    return server._replace(entry=entry)


async def discard(channel: Channel) -> None:
    await channel.read()


@pytest.mark.parametrize(
    ("is_listening", "grants", "in_service", "is_gone"),
    [
        (False, True, True, True),
        (True, True, True, False),
        (False, False, True, False),
        (False, True, False, False),
    ],
    ids=["gone", "accepts", "no permit", "draining"],
)
def test_server_is_gone_only_if_it_refuses_connections_unexpectedly(
    is_listening: bool,  # noqa: FBT001
    grants: bool,  # noqa: FBT001
    in_service: bool,  # noqa: FBT001
    is_gone: bool,  # noqa: FBT001
) -> None:
    async def scenario() -> None:
        port = int(free_addresses(1)[0].rpartition(":")[2])
        if is_listening:
            _, port = await serve_bytes(discard)
        check, _ = make_check(grants=grants, in_service=in_service)
        assert await check.is_gone(server_at(port), "a1") is is_gone

    run_with_timeout(scenario())


def test_server_with_an_open_connection_is_not_gone() -> None:
    async def scenario() -> None:
        listener, port = await serve_bytes(discard)
        server = server_at(port)
        check, _ = make_check()
        channel = await connect("127.0.0.1", port, 1.0)
        check.add_channel(server, channel)
        listener.close()
        assert not await check.is_gone(server, "a1")
        channel.abort()
        await asyncio.sleep(0.01)
        assert await check.is_gone(server, "a2")

    run_with_timeout(scenario())


def test_later_answer_is_not_judged_by_an_earlier_connection() -> None:
    async def scenario() -> None:
        check, gate = make_check()
        listener, port = await serve_bytes(discard)
        server = server_at(port)
        first = asyncio.ensure_future(check.is_gone(server, "a0"))
        await asyncio.sleep(0)
        await asyncio.sleep(0)
        listener.close()
        later = [
            asyncio.ensure_future(check.is_gone(server, f"a{number}"))
            for number in range(1, 9)
        ]
        assert not await first
        assert await asyncio.gather(*later) == [True] * 8
        assert gate.asked == 2

    run_with_timeout(scenario())


def test_checks_leave_nothing_behind() -> None:
    async def scenario() -> None:
        check, _ = make_check()
        rng = random.Random(1)
        for number in range(50):
            server = server_at(rng.randrange(1, 100), f"s{number}")
            await check.is_gone(server, f"a{number}")
        assert not check._checks._running
        assert not check._checks._waiting

    run_with_timeout(scenario())
