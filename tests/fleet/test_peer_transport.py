"""Tests of the periodic messages between nodes."""

import asyncio

import pytest

from savorylift.fleet.message_auth import MessageAuthenticator
from savorylift.fleet.peer_transport import PeerTransport
from savorylift.fleet.state import NodeState
from tests.fleet.test_membership import state
from tests.wire.loopback import run_with_timeout

END_S = 1.0


def make_state(*, include_peers: bool) -> NodeState:
    return state(1)


def no_addresses(*, include_silent: bool) -> tuple[str, ...]:
    return ()


@pytest.mark.parametrize("passes", range(4))
def test_cancellation_is_not_lost_beside_a_request_to_send(passes: int) -> None:
    async def scenario() -> None:
        transport = PeerTransport(
            1,
            make_state,
            lambda _message, _ip: None,
            no_addresses,
            lambda: False,
            MessageAuthenticator(()),
        )
        task = asyncio.ensure_future(transport.run())
        await asyncio.sleep(0.05)
        transport.send_soon()
        for _ in range(passes):
            await asyncio.sleep(0)
        task.cancel()
        await asyncio.wait((task,), timeout=END_S)
        is_ended = task.done()
        task.cancel()
        assert is_ended

    run_with_timeout(scenario())
