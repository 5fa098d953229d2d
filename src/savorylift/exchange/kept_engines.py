"""Engines whose room one node may keep for all."""

import time
from collections.abc import Callable, Collection, Iterator
from typing import NamedTuple

from savorylift.backends.brittle_services import BrittleServices
from savorylift.backends.registry import BackendServer
from savorylift.backends.server import ServerEntry
from savorylift.exchange.admission import AdmittedRequest
from savorylift.exchange.allowed_servers import AllowedServers
from savorylift.exchange.server_gate import ServerGate
from savorylift.routing.configuration import Service

# Most engines that a request to a keeper names, excluded and spare ones.
MAX_BARRED = 64


class Barred(NamedTuple):
    """Engines that a request doesn't go to, or only if others have no room.

    Attributes:
        excluded: IDs of those that it may not go to.
        spare: IDs of those that it goes to only if no other has room.
    """

    excluded: frozenset[str]
    spare: frozenset[str] = frozenset()


class KeptEngines:
    """Tells which engines a keeper grants, and which grants to follow.

    What nodes share in another way stays with the nodes: places at cold
    engines, at those that name a limit, and at brittle ones.
    """

    def __init__(
        self,
        allowed: AllowedServers,
        gate: ServerGate,
        brittle: BrittleServices,
        is_limited: Callable[[ServerEntry], bool],
    ) -> None:
        """Reads what it is given at each question.

        Args:
            allowed: Which servers may run which requests.
            gate: What stands between this node and a server.
            brittle: Services whose servers fall over if they reject much.
            is_limited: Whether a server names a limit.
        """
        self._allowed = allowed
        self._gate = gate
        self._brittle = brittle
        self._is_limited = is_limited

    def is_kept(self, service: Service) -> bool:
        """Whether the room of a service's engines may be kept by one node."""
        if service.engine is None or self._brittle.is_brittle(service.name):
            return False
        servers = self._allowed.servers_in_service(service.name)
        return not any(self._is_limited(server.entry) for server in servers)

    def count(self, service: str) -> int:
        """Returns the number of a service's engines, whatever they get now."""
        return self._allowed.count_servers(service)

    def find(self, service: str) -> list[BackendServer]:
        """Returns the engines that a keeper may grant, full ones included."""
        servers = self._allowed.servers_in_service(service)
        return [server for server in servers if self._is_open(server)]

    def find_barred(
        self, admitted: AdmittedRequest, tried: Collection[str]
    ) -> Barred | None:
        """Returns the engines that a keeper must not grant to a request.

        While a service is rolled out, they are those of the version that the
        request isn't for. None if they are too many to name.

        Args:
            admitted: The request.
            tried: IDs of the engines that have failed it.
        """
        rule = self._allowed.find_version_rule(admitted, tried)
        if rule is None:
            return Barred(frozenset(tried))
        servers = self._allowed.servers_in_service(admitted.service.name)
        ids = {server.entry.server_id for server in servers}
        allowed = [s for s in servers if rule.allows(s.entry)]
        allowed_ids = {server.entry.server_id for server in allowed}
        preferred_ids = {
            server.entry.server_id
            for server in allowed
            if rule.prefers(server.entry) and self._is_open(server)
        }
        excluded = (ids - allowed_ids).union(tried)
        spare = allowed_ids - preferred_ids if preferred_ids else set()
        if len(excluded) + len(spare) > MAX_BARRED:
            return None
        return Barred(frozenset(excluded), frozenset(spare))

    def find_granted(
        self,
        admitted: AdmittedRequest,
        tried: Collection[str],
        server_id: str,
    ) -> BackendServer | None:
        """Returns an engine that was granted, unless this node knows better."""
        for server in self._allowed.find(admitted, tried):
            if server.entry.server_id == server_id:
                return server if self._is_open(server) else None
        return None

    def find_cold(
        self, admitted: AdmittedRequest, tried: Collection[str]
    ) -> Iterator[BackendServer]:
        """Yields the cold engines that may run a request."""
        now_s = time.monotonic()
        for server in self._allowed.find(admitted, tried):
            if server.is_cold(now_s):
                yield server

    def _is_open(self, server: BackendServer) -> bool:
        if server.is_cold(time.monotonic()):
            return False
        return self._gate.find_pause(server.entry) is None
