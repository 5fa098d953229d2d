"""Tells why servers get no requests of this node."""

from collections import Counter
from collections.abc import Callable, Iterable, Mapping
from itertools import islice

import structlog

from savorylift.backends.load import Load
from savorylift.backends.registry import BackendServer, Registry
from savorylift.exchange import metrics
from savorylift.exchange.admission import AdmittedRequest
from savorylift.exchange.allowed_servers import AllowedServers
from savorylift.exchange.server_block import Block
from savorylift.exchange.server_gate import ServerGate
from savorylift.exchange.server_places import ServerPlaces
from savorylift.routing.configuration import Service

# Servers that one log entry names.
MAX_LOGGED_SERVERS = 8

_log = structlog.get_logger()


class ServerBlocks:
    """Looks through servers for what stands in the way of requests."""

    def __init__(
        self,
        registry: Registry,
        allowed: AllowedServers,
        gate: ServerGate,
        places: ServerPlaces,
        get_loads: Callable[[], Mapping[str, Load]],
    ) -> None:
        """Creates a view of the servers.

        Args:
            registry: All known servers.
            allowed: Finds the servers of a request.
            gate: Decides on each.
            places: This node's share of what servers take.
            get_loads: Returns what all nodes together have at each server.
        """
        self._registry = registry
        self._allowed = allowed
        self._gate = gate
        self._places = places
        self._get_loads = get_loads

    def record_unserved(self, admitted: AdmittedRequest) -> None:
        """Counts and logs why no server takes a request."""
        servers = self._allowed.find_matching(admitted)
        blocks = self._find(servers, admitted.service, self._get_loads())
        for block in blocks.values():
            metrics.SERVERS_BLOCKED.labels(block).inc()
        _log.info(
            "servers_blocked",
            request=admitted.req.attempt_id,
            service=admitted.service.name,
            reasons=Counter(blocks.values()),
            servers=dict(islice(blocks.items(), MAX_LOGGED_SERVERS)),
        )

    def find_all(self, services: Iterable[Service]) -> dict[str, Block]:
        """Returns why servers of services get no request now, by their ID."""
        loads = self._get_loads()
        found: dict[str, Block] = {}
        for service in services:
            servers = [
                server
                for server in self._registry.servers.values()
                if server.entry.service == service.name
            ]
            found |= self._find(servers, service, loads)
        return found

    def _find(
        self,
        servers: Iterable[BackendServer],
        service: Service,
        loads: Mapping[str, Load],
    ) -> dict[str, Block]:
        demand = self._places.demand(service)
        blocks = {}
        for server in servers:
            server_id = server.entry.server_id
            requests = loads.get(server_id, Load()).requests
            block = self._gate.find_block(server, demand, requests)
            if block is not None:
                blocks[server_id] = block
        return blocks
