"""The engines that runs may move to, as far as this node knows them."""

import time

from savorylift.backends.load import Load, add_loads
from savorylift.exchange.server_pool import ServerPool
from savorylift.fleet.membership import Membership
from savorylift.front.room_parts import RoomParts
from savorylift.moves.move_inputs import Destination
from savorylift.moves.move_order import PlannedMove
from savorylift.moves.service_moves import PlanConditions
from savorylift.placement.engines import free_tokens
from savorylift.rooms.engine_groups import select_group
from savorylift.rooms.engines import Engines

# Rooms aren't told what came earlier than this again: they have heard it, and
# it shows nothing that was granted or ended since.
JUST_READ_S = 0.05


class EngineSite:
    """The engines, as far as this node knows them."""

    def __init__(
        self, pool: ServerPool, membership: Membership, rooms: RoomParts
    ) -> None:
        """Reads what it is given at each question.

        Args:
            pool: This node's loads and moves.
            membership: The other nodes.
            rooms: Which engines may be used, and what has room there.
        """
        self._pool = pool
        self._membership = membership
        self._rooms = rooms
        # Tokens that this node keeps for moves, by service and engine.
        self._held: dict[str, dict[str, int]] = {}

    def look(self, service: str) -> PlanConditions | None:
        """Returns what plans depend on; None if no engine is known."""
        engines = self._rooms.find_engines(service)
        if engines is None or not engines.servers:
            return None
        traits = engines.traits
        if traits.link_bytes_per_s <= 0 or traits.token_bytes <= 0:
            return None
        link_tokens_per_s = traits.link_bytes_per_s / traits.token_bytes
        announced = self.find_announced()
        loads = self._find_loads(service, engines)
        destinations = {}
        for server in engines.servers:
            entry = server.entry
            load = loads.get(entry.server_id, Load())
            destinations[entry.server_id] = Destination(
                entry.failure_domain,
                engines.region_by_domain.get(entry.failure_domain),
                entry.software_version,
                free_tokens(load, traits),
                traits.slots - load.requests,
                link_tokens_per_s,
            )
        return PlanConditions(destinations, link_tokens_per_s, announced)

    def find_announced(self) -> list[PlannedMove]:
        """Returns the moves that nodes have announced, this one included.

        The nodes' loads include the copies that they announce. So the rooms
        that this node keeps are told the loads that came with them, if they
        don't know them yet: this node's, which they would ask for at the next
        decision, and those of messages that were read just now.
        """
        now_s = time.monotonic()
        announced = [
            *self._pool.move_queue.planned,
            *self._membership.moves(now_s),
        ]
        keeper, own_ip = self._rooms.keeper, self._rooms.choice.own_ip
        keeper.hear(own_ip, self._pool.load_tracker.loads())
        for peer in self._membership.live_peers(now_s):
            is_new = now_s - peer.received_s < JUST_READ_S
            if is_new and peer.state.moves:
                keeper.hear(peer.state.ip, peer.state.loads)
        return announced

    def hold(self, service: str, tokens: dict[str, int]) -> None:
        """Keeps room for moves, in place of what was kept before.

        Args:
            service: Name of the service.
            tokens: Tokens to keep free, by the ID of the engine.
        """
        self._held.pop(service, None)
        if tokens:
            self._held[service] = tokens
        for room in self._rooms.keeper.rooms_of(service).values():
            room.hold(tokens)

    def _find_loads(self, service: str, engines: Engines) -> dict[str, Load]:
        """Returns the loads of engines, without what is kept for moves.

        They are exact where this node keeps the room.
        """
        loads = add_loads(engines.known, self._pool.load_tracker.loads())
        held = self._held.get(service, {})
        rooms = self._rooms.keeper.rooms_of(service)
        for room_id, room in rooms.items():
            kept = room.loads(select_group(engines, room_id))
            for server_id, load in kept.items():
                tokens = held.get(server_id, 0)
                # What is kept for moves counts there as one request.
                loads[server_id] = load._replace(
                    requests=load.requests - (tokens > 0),
                    tokens=load.tokens - tokens,
                )
        return loads
