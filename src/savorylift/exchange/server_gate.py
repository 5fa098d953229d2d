"""Decides whether a server may get a request from this node now."""

from collections.abc import Callable

from savorylift.backends.registry import BackendServer
from savorylift.backends.server import ServerEntry
from savorylift.exchange.allowed_servers import AllowedServers
from savorylift.exchange.server_block import Block
from savorylift.exchange.server_holds import ServerHolds
from savorylift.exchange.server_places import Demand, ServerPlaces


class ServerGate:
    """Knows what stands between this node's requests and a server."""

    def __init__(
        self,
        allowed: AllowedServers,
        holds: ServerHolds,
        is_limit_open: Callable[[ServerEntry], bool],
        places: ServerPlaces,
    ) -> None:
        """Creates a gate.

        Args:
            allowed: Which servers are in service.
            holds: Servers that want a pause.
            is_limit_open: Whether the limit of a server, if any, may have room.
            places: This node's share of what servers take.
        """
        self._allowed = allowed
        self._holds = holds
        self._is_limit_open = is_limit_open
        self._places = places

    def find_block(
        self, server: BackendServer, demand: Demand, requests: int
    ) -> Block | None:
        """Returns why a server may get no request now; None if it may.

        Args:
            server: The server.
            demand: What the choice is made for.
            requests: Requests of all nodes that the server has.
        """
        return (
            self._allowed.find_service_block(server.entry)
            or self.find_pause(server.entry)
            or self._places.find_block(server, demand, requests)
        )

    def find_pause(self, entry: ServerEntry) -> Block | None:
        """Returns what keeps requests from a server with places, if so."""
        if self._holds.is_held(entry.server_id):
            return Block.HOLD
        if not self._is_limit_open(entry):
            return Block.LIMIT
        return None
