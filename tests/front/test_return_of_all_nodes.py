"""Tests of fleets whose nodes are all killed and started again.

Each shape brings about what nodes may meet as they return. It returns the
monotonic time at which the machines were back.
"""

import asyncio
import pathlib
import signal
import time
from collections.abc import Awaitable, Callable

import pytest

from savorylift.platform.store import OPERATORS_TOPIC
from tests.front.environment import configuration
from tests.front.returning_fleet import ReturningFleet

NODES = 6
MANY_NODES = 24
# The stated time from the return of the machines until they serve.
RECOVERY_S = 12.0
# Of the share served before; the rule asks for a quarter.
MIN_SHARE = 0.9
WINDOW_S = 2.0
SERVED_FOR_S = 0.5
POLL_S = 0.1
REPEATING_CALLERS = 200

pytestmark = pytest.mark.processes

Shape = Callable[[ReturningFleet], Awaitable[float]]


async def kill_all(fleet: ReturningFleet) -> float:
    fleet.end_nodes()
    await fleet.wait_until_ended()
    return await fleet.wait_until_back()


async def kill_three_times(fleet: ReturningFleet) -> float:
    for _ in range(2):
        await kill_all(fleet)
        await asyncio.sleep(1.0)
    return await kill_all(fleet)


async def find_store_silent(fleet: ReturningFleet) -> float:
    fleet.store.is_silent = True
    back_s = await kill_all(fleet)
    await asyncio.sleep(4.0)
    fleet.store.is_silent = False
    return back_s


def find_store_refusing(status: int) -> Shape:
    async def refuse(fleet: ReturningFleet) -> float:
        fleet.set_store_status(status)
        await asyncio.sleep(1.0)
        back_s = await kill_all(fleet)
        await asyncio.sleep(3.0)
        fleet.set_store_status(None)
        return back_s

    return refuse


async def find_store_slow(fleet: ReturningFleet) -> float:
    fleet.store.delay_s = 0.5
    return await kill_all(fleet)


async def find_restored_store(fleet: ReturningFleet) -> float:
    older = fleet.copy_store()
    fleet.store.add(OPERATORS_TOPIC, "config", configuration(2))
    fleet.publish_entries()
    await asyncio.sleep(1.0)
    fleet.end_nodes()
    fleet.restore_store(older)
    return await fleet.wait_until_back()


async def find_trimmed_store(fleet: ReturningFleet) -> float:
    fleet.end_nodes()
    await fleet.wait_until_ended()
    for topic in fleet.store.topics.values():
        topic.trim()
    return await fleet.wait_until_back()


async def find_other_servers(fleet: ReturningFleet) -> float:
    fleet.end_nodes()
    await fleet.restart_servers()
    return await fleet.wait_until_back()


async def find_entries_gone(fleet: ReturningFleet) -> float:
    fleet.end_nodes()
    fleet.remove_entries()
    back_s = await fleet.wait_until_back()
    await asyncio.sleep(2.0)
    fleet.publish_entries()
    return back_s


async def meet_repeating_callers(fleet: ReturningFleet) -> float:
    fleet.end_nodes()
    fleet.add_repeating_callers(REPEATING_CALLERS)
    return await fleet.wait_until_back()


async def meet_hangups(fleet: ReturningFleet) -> float:
    fleet.end_nodes()
    await fleet.wait_until_ended()
    await fleet.signal_in_series(signal.SIGHUP, 2.0)
    return await fleet.wait_until_back()


async def find_settings_being_written(fleet: ReturningFleet) -> float:
    fleet.writes_in_place = True
    return await kill_all(fleet)


def find_ports_held(*, all_ports: bool) -> Shape:
    async def hold(fleet: ReturningFleet) -> float:
        fleet.end_nodes()
        await fleet.wait_until_ended()
        holders = fleet.hold_ports(all_ports=all_ports)
        back_s = await fleet.wait_until_back()
        await asyncio.sleep(2.0)
        for holder in holders:
            holder.close()
        return back_s

    return hold


async def return_in_part(fleet: ReturningFleet) -> float:
    fleet.held_back = set(fleet.ips[::3])
    fleet.end_nodes()
    await fleet.wait_until_ended()
    await asyncio.sleep(3.0)
    fleet.held_back = set()
    return await fleet.wait_until_back()


async def end_in_order_then_kill(fleet: ReturningFleet) -> float:
    fleet.end_nodes(signal.SIGTERM)
    await asyncio.sleep(0.5)
    return await kill_all(fleet)


async def meet_all_in_series(fleet: ReturningFleet) -> float:
    for shape in (
        find_store_refusing(503),
        find_other_servers,
        end_in_order_then_kill,
        find_ports_held(all_ports=True),
        find_entries_gone,
        find_restored_store,
        find_settings_being_written,
        return_in_part,
        meet_repeating_callers,
    ):
        await shape(fleet)
    return await find_store_silent(fleet)


SHAPES: dict[str, Shape] = {
    "plain": kill_all,
    "killed_three_times": kill_three_times,
    "store_silent": find_store_silent,
    "store_503": find_store_refusing(503),
    "store_429": find_store_refusing(429),
    "store_slow": find_store_slow,
    "store_restored": find_restored_store,
    "store_trimmed": find_trimmed_store,
    "servers_restarted": find_other_servers,
    "entries_gone": find_entries_gone,
    "repeating_callers": meet_repeating_callers,
    "hangups": meet_hangups,
    "settings_in_place": find_settings_being_written,
    "caller_ports_held": find_ports_held(all_ports=False),
    "all_ports_held": find_ports_held(all_ports=True),
    "third_back_later": return_in_part,
    "terminated_then_killed": end_in_order_then_kill,
    "all_in_series": meet_all_in_series,
}


async def measure_return(fleet: ReturningFleet, back_s: float) -> float:
    """Returns the share served once it is high, or after `RECOVERY_S`."""
    since_s = back_s + RECOVERY_S
    while time.monotonic() < since_s:
        await asyncio.sleep(POLL_S)
        now_s = time.monotonic()
        if fleet.share_served(now_s - SERVED_FOR_S, now_s) < MIN_SHARE:
            continue
        if not await fleet.are_all_ready():
            continue
        share = await fleet.measure(WINDOW_S)
        if share >= MIN_SHARE:
            return share
    return await fleet.measure(WINDOW_S)


async def check_return(fleet: ReturningFleet, shape: Shape) -> None:
    """Checks that a fleet serves as before, and no node ends by itself."""
    async with fleet.supervised():
        before = await fleet.measure(WINDOW_S)
        back_s = await shape(fleet)
        share = await measure_return(fleet, back_s)
        assert share >= MIN_SHARE * before
        assert before >= MIN_SHARE
        assert await fleet.are_all_ready()
        is_hung_up = shape is meet_hangups
        # What the interpreter meets before its program can't be prevented.
        counted = [e for e in fleet.own_ends if e.had_started or not is_hung_up]
        assert counted == []


@pytest.mark.parametrize("name", SHAPES)
def test_fleet_whose_nodes_all_ended_serves_again(
    name: str, tmp_path: pathlib.Path
) -> None:
    fleet = ReturningFleet(NODES, tmp_path)
    asyncio.run(check_return(fleet, SHAPES[name]))


def test_fleet_of_many_nodes_that_all_ended_serves_again(
    tmp_path: pathlib.Path,
) -> None:
    asyncio.run(check_return(ReturningFleet(MANY_NODES, tmp_path), kill_all))
