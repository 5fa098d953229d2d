"""Tests of roll-outs while nodes are killed, or stand still."""

import asyncio
import pathlib
import signal

import pytest

from savorylift.front.rollout_parts import DECIDER_KEY
from savorylift.rendezvous import rank
from tests.front.process_fleet import ProcessFleet
from tests.front.test_rollouts import (
    AFTER_S,
    NODES,
    PATH,
    PER_S,
    SERVERS,
    SHARE,
    SLACK,
    RolloutFleet,
)

DURATION_S = 14.0
# Moments of what happens, in seconds since the order.
DISRUPTED_S = 3.0
TURNS_BAD_S = 5.0
WAKES_S = 8.0

pytestmark = pytest.mark.processes


class RolloutProcessFleet(RolloutFleet, ProcessFleet):
    """The same, with a process for each node."""

    def __init__(self, directory: pathlib.Path) -> None:
        ProcessFleet.__init__(self, NODES, SERVERS, directory)
        self._has_new = False
        self._set_up_servers()

    @property
    def decider(self) -> str:
        """Address of the node that decides while all live."""
        return rank(f"{DECIDER_KEY} app", self.ips)[0]


async def disrupt(fleet: RolloutProcessFleet, kind: str) -> None:
    """Disrupts the node that decides, or all nodes."""
    await asyncio.sleep(DISRUPTED_S)
    decider = fleet.processes[fleet.decider]
    if kind == "killed":
        decider.kill()
    elif kind == "frozen":
        decider.send_signal(signal.SIGSTOP)
        await asyncio.sleep(WAKES_S - DISRUPTED_S)
        decider.send_signal(signal.SIGCONT)
    else:
        for process in fleet.processes.values():
            process.kill()
        for ip in fleet.ips:
            fleet.start_node(ip)


async def turn_bad(fleet: RolloutProcessFleet) -> None:
    await asyncio.sleep(TURNS_BAD_S)
    for server in fleet.new:
        server.status = 500


@pytest.mark.parametrize("kind", ["killed", "frozen", "all_killed"])
@pytest.mark.parametrize("is_bad", [False, True])
def test_roll_outs_end_in_time(
    kind: str, *, is_bad: bool, tmp_path: pathlib.Path
) -> None:
    async def scenario() -> None:
        fleet = RolloutProcessFleet(tmp_path)
        async with fleet.running():
            stopping = asyncio.ensure_future(fleet.stop_old_when_completed())
            fleet.order(DURATION_S)
            disrupting = asyncio.ensure_future(disrupt(fleet, kind))
            turning = asyncio.ensure_future(turn_bad(fleet)) if is_bad else None
            await fleet.call_for(PATH, DURATION_S, PER_S)
            state, exposed = fleet.state, fleet.exposed
            await fleet.call_for(PATH, AFTER_S, PER_S)
            await disrupting
            stopping.cancel()
            if turning is None:
                assert state == "completed"
                return
            assert state == fleet.state == "rolled_back"
            assert (
                fleet.exposed == exposed <= SHARE * PER_S * DURATION_S + SLACK
            )

    asyncio.run(scenario())
