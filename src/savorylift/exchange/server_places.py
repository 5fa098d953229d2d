"""Which backend servers have a place for one more request of this node."""

import math
import random
import time
from collections.abc import Iterable, Iterator, Mapping
from typing import NamedTuple

from savorylift.backends.brittle_services import BrittleServices
from savorylift.backends.cold_start import ColdStartLimiter
from savorylift.backends.load import Load, LoadTracker
from savorylift.backends.registry import BackendServer
from savorylift.exchange.server_block import Block
from savorylift.fleet.membership import Membership
from savorylift.routing.configuration import Service


class Demand(NamedTuple):
    """What a choice of servers is made for.

    Attributes:
        service: The service.
        is_brittle: Whether its servers fall over if they reject much.
        nodes: Number of nodes that share its servers.
        now_s: Monotonic time.
    """

    service: Service
    is_brittle: bool
    nodes: int
    now_s: float


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

    def demand(self, service: Service) -> Demand:
        """Returns what a choice of a service's servers is made for, now."""
        now_s = time.monotonic()
        return Demand(
            service,
            self._brittle.is_brittle(service.name),
            self._membership.count_sharing_nodes(now_s),
            now_s,
        )

    def find_block(
        self, server: BackendServer, demand: Demand, requests: int
    ) -> Block | None:
        """Returns why a server has no place for a request of this node.

        Args:
            server: The server.
            demand: What the choice is made for.
            requests: Requests of all nodes that the server has.
        """
        if server.is_cold(demand.now_s):
            if not self._has_cold_place(server, demand):
                return Block.COLD
        elif not server.entry.has_capacity(requests):
            return Block.FULL
        slots, now_s = server.entry.slots, demand.now_s
        if demand.is_brittle and not self._has_own_place(server, slots, now_s):
            return Block.BRITTLE
        return None

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

    def _has_cold_place(self, server: BackendServer, demand: Demand) -> bool:
        """Whether this node's share of a cold server has room."""
        max_cold = server.entry.max_cold_requests
        if max_cold is not None:
            return self._has_own_place(server, max_cold, demand.now_s)
        return self._cold_start.may_send(
            server.entry.server_id,
            demand.service.cold_requests_per_s,
            demand.nodes,
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
