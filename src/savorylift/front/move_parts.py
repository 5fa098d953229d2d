"""The parts of a node that plan moves off engines, or ask their planners."""

import asyncio
from typing import NamedTuple

from savorylift.fleet.move_messages import MoveMessage, MoveReply
from savorylift.fleet.peer_transport import PeerTransport
from savorylift.front.engine_site import EngineSite
from savorylift.front.room_parts import RoomParts
from savorylift.front.server_parts import ServerParts
from savorylift.front.shared_parts import SharedParts
from savorylift.moves.plan_client import PlanClient
from savorylift.moves.planner import MovePlanner
from savorylift.moves.planner_choice import PlannerChoice
from savorylift.moves.run_outlook import may_repeat
from savorylift.moves.turns import MoveTurns


class MoveParts(NamedTuple):
    """What plans moves, and asks for turns.

    Attributes:
        planner: Answers the nodes, where this one plans.
        client: Asks the planners.
        turns: Turns of this node's runs.
    """

    planner: MovePlanner
    client: PlanClient
    turns: MoveTurns

    def receive(self, message: MoveMessage, ip: str) -> None:
        """Handles a message from a node, which may be this one."""
        if isinstance(message, MoveReply):
            self.client.receive(message, ip)
        else:
            self.planner.receive(message, ip)


def make_move_parts(
    shared: SharedParts,
    servers: ServerParts,
    transport: PeerTransport,
    rooms: RoomParts,
) -> MoveParts:
    """Creates the parts.

    Args:
        shared: What all parts have in common.
        servers: The parts that decide on servers.
        transport: Carries messages to the other nodes.
        rooms: The parts that keep the room of engines.
    """
    pool, own_ip = servers.pool, shared.identity.ip
    is_safe = servers.crash_guard.may_repeat

    def send(message: MoveMessage, ip: str) -> None:
        if ip == own_ip:
            loop = asyncio.get_running_loop()
            loop.call_soon(parts.receive, message, ip)
        else:
            transport.send_message(message, ip)

    site = EngineSite(pool, shared.membership, rooms)
    choice = PlannerChoice(rooms.choice, rooms.groups)
    client = PlanClient(choice, send, shared.rng)
    is_planned = shared.settings.move_planner
    turns = MoveTurns(
        pool,
        client if is_planned else None,
        lambda run: may_repeat(run, pool, is_safe),
    )
    planner = MovePlanner(
        choice,
        shared.membership,
        site,
        send,
        lambda: transport.message_interval_s,
    )
    parts = MoveParts(planner, client, turns)
    return parts
