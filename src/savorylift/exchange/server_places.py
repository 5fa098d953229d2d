"""Which backend servers have a place for one more request of this node."""

import math
import random
import time
from collections.abc import Iterable, Iterator, Mapping

from savorylift.backends.brittle_services import BrittleServices
from savorylift.backends.cold_start import ColdStartLimiter
from savorylift.backends.load import Load, LoadTracker
from savorylift.backends.registry import BackendServer
from savorylift.fleet.membership import Membership
from savorylift.routing.configuration import Service


class ServerPlaces:
    """Keeps to this node's share of what cold and brittle servers take."""

    def __init__(
        self,
        membership: Membership,
        load_tracker: LoadTracker,
        brittle: BrittleServices,
        rng: random.Random,
    ) -> None:
        """Starts without requests to cold servers.

        Args:
            membership: The other nodes.
            load_tracker: Requests of this node at each server.
            brittle: Services whose servers fall over if they reject much.
            rng: Chooses when this node has its turns at cold servers.
        """
        self._membership = membership
        self._load_tracker = load_tracker
        self._brittle = brittle
        self._cold_start = ColdStartLimiter(rng)

    def find(
        self,
        servers: Iterable[BackendServer],
        service: Service,
        loads: Mapping[str, Load],
    ) -> Iterator[BackendServer]:
        """Yields the servers that have a place for a request of this node.

        Args:
            servers: Servers to choose from.
            service: Their service.
            loads: What all nodes together have at each server.
        """
        now_s = time.monotonic()
        nodes = self._membership.count_sharing_nodes(now_s)
        is_brittle = self._brittle.is_brittle(service.name)
        for server in servers:
            if server.is_cold(now_s):
                has_place = self._has_cold_place(server, service, nodes, now_s)
            else:
                load = loads.get(server.entry.server_id, Load())
                has_place = server.entry.has_capacity(load.requests)
            if has_place and is_brittle:
                slots = server.entry.slots
                has_place = self._has_own_place(server, slots, now_s)
            if has_place:
                yield server

    def find_elsewhere(
        self, servers: Iterable[BackendServer], loads: Mapping[str, Load]
    ) -> Iterator[BackendServer]:
        """Yields the cold servers at which another node has a place.

        Places of nodes that are silent don't count: their runs may go on.

        Args:
            servers: Servers at which this node has none.
            loads: What all nodes together have at each server.
        """
        now_s = time.monotonic()
        nodes = self._membership.count_sharing_nodes(now_s)
        silent = max(nodes - self._membership.count_live_nodes(now_s), 0)
        for server in servers:
            max_cold = server.entry.max_cold_requests
            if max_cold is None or not server.is_cold(now_s):
                continue
            load = loads.get(server.entry.server_id, Load())
            if load.requests < max_cold - silent * math.ceil(max_cold / nodes):
                yield server

    def record_start(self, server: BackendServer) -> None:
        """Records a request that is about to go to a server."""
        if server.is_cold(time.monotonic()):
            self._cold_start.record_request(server.entry.server_id)

    def _has_cold_place(
        self, server: BackendServer, service: Service, nodes: int, now_s: float
    ) -> bool:
        """Whether this node's share of a cold server has room."""
        max_cold = server.entry.max_cold_requests
        if max_cold is not None:
            return self._has_own_place(server, max_cold, now_s)
        return self._cold_start.may_send(
            server.entry.server_id, service.cold_requests_per_s, nodes
        )

    def _has_own_place(
        self, server: BackendServer, places: int, now_s: float
    ) -> bool:
        """Whether this node's share of a server's places has room.

        All nodes together then send no more than there are places.
        """
        server_id = server.entry.server_id
        share = self._membership.own_share(server_id, places, now_s)
        return self._load_tracker.open_requests(server_id) < share
