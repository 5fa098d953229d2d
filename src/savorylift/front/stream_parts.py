"""The parts of a node that serve streams and keep them at their version."""

import time
from typing import NamedTuple

from savorylift.exchange.generation import GenerationDispatcher
from savorylift.exchange.origin_log import OriginLog
from savorylift.exchange.room_placement import RoomPlacement
from savorylift.exchange.stream_origins import StreamOrigins
from savorylift.exchange.stream_resumption import StreamResumption
from savorylift.fleet.home_ring import Home
from savorylift.fleet.move_messages import MoveMessage
from savorylift.fleet.peer_transport import PeerTransport
from savorylift.fleet.room_messages import RoomMessage
from savorylift.fleet.state import NodeState
from savorylift.fleet.stored_versions import StoredVersions
from savorylift.front.move_parts import MoveParts, make_move_parts
from savorylift.front.room_parts import RoomParts, make_room_parts
from savorylift.front.server_news import ServerNews
from savorylift.front.server_parts import ServerParts
from savorylift.front.shared_parts import SharedParts
from savorylift.moves.mover import Mover


class StreamParts(NamedTuple):
    """What serves streams.

    Attributes:
        origins: Where streams began, as far as nodes know.
        origin_log: The same, as far as the store knows.
        server_news: What nodes tell each other of servers.
        mover: Moves runs off draining engines.
        generations: Serves the streams.
        rooms: Keeps the room of engines, or asks its keepers.
        moves: Plans moves off engines, or asks their planners.
    """

    origins: StreamOrigins
    origin_log: OriginLog
    server_news: ServerNews
    mover: Mover
    generations: GenerationDispatcher
    rooms: RoomParts
    moves: MoveParts

    def hear(self, state: NodeState) -> None:
        """Learns from the state of another node."""
        self.server_news.merge(state)
        self.rooms.groups.hear(state.divided_services)
        self.rooms.keeper.hear(state.ip, state.loads)

    def receive(self, message: RoomMessage | MoveMessage, ip: str) -> None:
        """Handles a message about room at engines or moves off them."""
        if isinstance(message, MoveMessage):
            self.moves.receive(message, ip)
        else:
            self.rooms.receive(message, ip)


def make_stream_parts(
    shared: SharedParts, servers: ServerParts, transport: PeerTransport
) -> StreamParts:
    """Creates the parts; opens no connection."""
    own_ip = shared.identity.ip
    origins = StreamOrigins(own_ip, transport.send_message, shared.rng)
    origin_log = _make_origin_log(shared, servers, origins)
    server_news = _make_server_news(shared, servers, origins)
    resumption = StreamResumption(
        origins,
        origin_log,
        servers.version_history,
        _make_stored_versions(shared),
        servers.life,
        servers.pool,
        shared.find_service,
        shared.rng,
    )
    rooms = make_room_parts(
        shared, servers, transport, lambda: generations.prefill_per_s
    )
    moves = make_move_parts(shared, servers, transport, rooms)
    mover = Mover(servers.pool, servers.check, moves.turns)
    generations = GenerationDispatcher(
        servers.pool,
        shared.interface.codec,
        servers.sender,
        servers.check,
        mover,
        servers.crash_guard,
        resumption,
        shared.rng,
        RoomPlacement(servers.pool, rooms.client, rooms.groups),
    )
    return StreamParts(
        origins, origin_log, server_news, mover, generations, rooms, moves
    )


def _make_origin_log(
    shared: SharedParts, servers: ServerParts, origins: StreamOrigins
) -> OriginLog:
    membership = shared.membership
    return OriginLog(
        shared.identity.vm,
        shared.store,
        origins,
        servers.version_history,
        lambda: membership.count_live_nodes(time.monotonic()),
        shared.store_era,
    )


def _make_stored_versions(shared: SharedParts) -> StoredVersions:
    return StoredVersions(
        shared.store,
        shared.interface.decoders.server,
        lambda: shared.membership.count_live_nodes(time.monotonic()),
    )


def _make_server_news(
    shared: SharedParts, servers: ServerParts, origins: StreamOrigins
) -> ServerNews:
    identity = shared.identity
    return ServerNews(
        Home(identity.ip, identity.failure_domain),
        shared.membership,
        shared.store_view.registry,
        servers.recorder,
        servers.pool,
        servers.reach,
        origins,
        servers.version_history,
        servers.witness,
    )
