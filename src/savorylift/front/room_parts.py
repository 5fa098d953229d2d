"""The parts of a node that keep the room of engines, or ask its keepers."""

import asyncio
import time
from collections.abc import Callable
from typing import NamedTuple

from savorylift.fleet.peer_transport import PeerTransport
from savorylift.fleet.room_messages import RoomMessage, RoomReply
from savorylift.front.server_parts import ServerParts
from savorylift.front.shared_parts import SharedParts
from savorylift.rooms.client import RoomClient
from savorylift.rooms.engine_groups import EngineGroups
from savorylift.rooms.engines import Engines
from savorylift.rooms.keeper import RoomKeeper
from savorylift.rooms.keeper_choice import KeeperChoice


class RoomParts(NamedTuple):
    """What keeps the room of engines, and asks for it.

    Attributes:
        keeper: Answers the nodes, where this one is the keeper.
        client: Asks the keepers.
        groups: How services' engines are divided among keepers.
        choice: Which node keeps which service.
        find_engines: Returns the engines of a service by its name.
    """

    keeper: RoomKeeper
    client: RoomClient
    groups: EngineGroups
    choice: KeeperChoice
    find_engines: Callable[[str], Engines | None]

    def receive(self, message: RoomMessage, ip: str) -> None:
        """Handles a message from a node, which may be this one."""
        if isinstance(message, RoomReply):
            self.client.receive(message, ip)
        else:
            self.keeper.receive(message, ip)


def make_room_parts(
    shared: SharedParts,
    servers: ServerParts,
    transport: PeerTransport,
    get_prefill_per_s: Callable[[], float],
) -> RoomParts:
    """Creates the parts.

    Args:
        shared: What all parts have in common.
        servers: The parts that decide on servers.
        transport: Carries messages to the other nodes.
        get_prefill_per_s: Returns the prompt tokens that an engine prefills
            each second.
    """
    membership, pool = shared.membership, servers.pool
    own_ip = shared.identity.ip
    choice = _make_keeper_choice(shared)
    find_engines = _make_engine_finder(shared, servers, get_prefill_per_s)

    def send(message: RoomMessage, ip: str) -> None:
        if ip == own_ip:
            loop = asyncio.get_running_loop()
            loop.call_soon(parts.receive, message, ip)
        else:
            transport.send_message(message, ip)

    groups = EngineGroups(pool.kept.count)
    keeper = RoomKeeper(
        choice,
        membership,
        find_engines,
        pool.load_tracker.loads,
        lambda: transport.message_interval_s,
        send,
        shared.rng,
        groups,
        shares_by_held_room=shared.settings.room_shares,
    )
    client = RoomClient(choice, send, shared.rng)
    parts = RoomParts(keeper, client, groups, choice, find_engines)
    return parts


def _make_keeper_choice(shared: SharedParts) -> KeeperChoice:
    return KeeperChoice(
        shared.identity.ip,
        shared.membership,
        lambda: shared.lifecycle.is_leaving,
        is_enabled=shared.settings.room_keeper,
    )


def _make_engine_finder(
    shared: SharedParts,
    servers: ServerParts,
    get_prefill_per_s: Callable[[], float],
) -> Callable[[str], Engines | None]:
    """Returns what finds the engines of a service by its name."""
    membership, pool = shared.membership, servers.pool

    def find_engines(name: str) -> Engines | None:
        service = shared.find_service(name)
        if service is None or service.engine is None:
            return None
        return Engines(
            pool.kept.find(name),
            service.engine,
            membership.loads(time.monotonic()),
            shared.settings.regions,
            get_prefill_per_s(),
            pool.speeds.slowdown,
        )

    return find_engines
