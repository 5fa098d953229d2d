"""Which backend servers may get a request now, and which suits it best."""

import random
import time
from collections.abc import Callable, Collection, Iterator, Mapping

from savorylift.backends.load import Load, LoadTracker, add_loads
from savorylift.backends.registry import BackendServer, Registry
from savorylift.exchange.admission import AdmittedRequest
from savorylift.exchange.allowed_servers import AllowedServers
from savorylift.exchange.server_gate import ServerGate
from savorylift.exchange.server_places import ServerPlaces
from savorylift.fleet.membership import Membership
from savorylift.limits.limit_gate import LimitGate
from savorylift.placement.engines import (
    EngineOptions,
    choose_engine,
    choose_least_loaded_engine,
    count_free_tokens,
)
from savorylift.placement.plain_servers import choose_plain_server
from savorylift.routing.configuration import EngineTraits
from savorylift.speeds.speed_book import SpeedBook

# Chooses one of some engines, given all loads.
EngineChooser = Callable[
    [Iterator[BackendServer], Mapping[str, Load], EngineOptions, random.Random],
    BackendServer | None,
]


class ServerChoice:
    """Chooses servers; takes no place there."""

    def __init__(
        self,
        registry: Registry,
        membership: Membership,
        load_tracker: LoadTracker,
        allowed: AllowedServers,
        gate: ServerGate,
        places: ServerPlaces,
        limit_gate: LimitGate,
        speeds: SpeedBook,
        rng: random.Random,
    ) -> None:
        """Creates a choice that reads its arguments each time.

        Args:
            registry: The known servers.
            membership: The other nodes and their loads.
            load_tracker: Requests of this node at each server.
            allowed: Which servers may run a request.
            gate: What stands in the way of a server.
            places: Places at cold and brittle servers.
            limit_gate: Holds the limits that servers name.
            speeds: How fast each server is.
            rng: Spreads choices over equal or nearly equal servers.
        """
        self._registry = registry
        self._membership = membership
        self._load_tracker = load_tracker
        self._allowed = allowed
        self._gate = gate
        self._places = places
        self._limit_gate = limit_gate
        self._speeds = speeds
        self._rng = rng

    def loads(self) -> Mapping[str, Load]:
        """Returns the load of each server, that of all nodes together."""
        others = self._membership.loads(time.monotonic())
        return add_loads(others, self._load_tracker.loads())

    def find_plain_server(
        self, admitted: AdmittedRequest, tried: Collection[str]
    ) -> BackendServer | None:
        """Returns a server for a plain call."""
        loads = self.loads()
        candidates = self._eligible_servers(admitted, tried, loads)
        return choose_plain_server(
            candidates,
            loads,
            time.monotonic(),
            self._rng,
            self._speeds.slowdown,
        )

    def find_engine(
        self,
        admitted: AdmittedRequest,
        options: EngineOptions,
        excluded: Collection[str],
    ) -> BackendServer | None:
        """Returns an engine with room."""
        return self._find_engine(choose_engine, admitted, options, excluded)

    def find_least_loaded_engine(
        self,
        admitted: AdmittedRequest,
        options: EngineOptions,
        tried: Collection[str],
    ) -> BackendServer | None:
        """Returns the engine with the most room, even if it is not enough."""
        return self._find_engine(
            choose_least_loaded_engine, admitted, options, tried
        )

    def has_engine_with_room(
        self,
        admitted: AdmittedRequest,
        options: EngineOptions,
        tried: Collection[str],
    ) -> bool:
        """Returns whether an untried engine without a limit has room."""
        excluded = self.limited_ids().union(tried)
        return self.find_engine(admitted, options, excluded) is not None

    def has_untried_server(
        self, admitted: AdmittedRequest, tried: Collection[str]
    ) -> bool:
        """Returns whether an untried server without a limit has room."""
        excluded = self.limited_ids().union(tried)
        return any(
            True
            for _ in self._eligible_servers(admitted, excluded, self.loads())
        )

    def has_server(
        self, admitted: AdmittedRequest, tried: Collection[str]
    ) -> bool:
        """Returns whether an untried server may run it, full or not."""
        if self._allowed.find_known_engine(admitted, tried) is not None:
            return True
        return any(True for _ in self._allowed.find(admitted, tried))

    def is_bound_by_rule(
        self, admitted: AdmittedRequest, tried: Collection[str]
    ) -> bool:
        """Whether a roll-out decides on a request's servers by its ID."""
        return self._allowed.find_version_rule(admitted, tried) is not None

    def has_place_elsewhere(
        self, admitted: AdmittedRequest, tried: Collection[str]
    ) -> bool:
        """Whether another node has a place at a cold server, if this has none.

        To be asked when no server has room for this node.
        """
        allowed = self._allowed.find(admitted, tried)
        return any(
            self._gate.find_pause(server.entry) is None
            for server in self._places.find_elsewhere(allowed, self.loads())
        )

    def pending_prefill_tokens(self, server: BackendServer) -> int:
        """Returns how many prompt tokens an engine has yet to prefill."""
        return self.loads().get(server.entry.server_id, Load()).prefill_tokens

    def count_free_tokens(self, service: str, traits: EngineTraits) -> int:
        """Returns the memory that is free at a service's engines together."""
        loads = self.loads()
        found = (
            loads.get(server.entry.server_id, Load())
            for server in self._allowed.servers_in_service(service)
        )
        return count_free_tokens(found, traits)

    def limited_ids(self) -> set[str]:
        """Returns the IDs of the servers that name a limit."""
        return {
            server_id
            for server_id, server in self._registry.servers.items()
            if self._limit_gate.is_limited(server.entry)
        }

    def _find_engine(
        self,
        choose: EngineChooser,
        admitted: AdmittedRequest,
        options: EngineOptions,
        excluded: Collection[str],
    ) -> BackendServer | None:
        """Chooses an engine by the loads and speeds that are known now."""
        loads = self.loads()
        candidates = self._eligible_servers(admitted, excluded, loads)
        options = options._replace(slowdown=self._speeds.slowdown)
        return choose(candidates, loads, options, self._rng)

    def _eligible_servers(
        self,
        admitted: AdmittedRequest,
        tried: Collection[str],
        loads: Mapping[str, Load],
    ) -> Iterator[BackendServer]:
        """Returns the servers from which a request's server is chosen.

        They may run it and have room for it. While its service is rolled out,
        they are those of the version that it is for, if there are any.
        """
        found = self._find_with_room(admitted, tried, loads)
        rule = self._allowed.find_version_rule(admitted, tried)
        if rule is None:
            return found
        servers = list(found)
        preferred = [s for s in servers if rule.prefers(s.entry)]
        return iter(preferred or servers)

    def _find_with_room(
        self,
        admitted: AdmittedRequest,
        tried: Collection[str],
        loads: Mapping[str, Load],
    ) -> Iterator[BackendServer]:
        """Yields the servers that may run a request and have room for it."""
        demand = self._places.demand(admitted.service)
        for server in self._allowed.find_matching(admitted, tried):
            load = loads.get(server.entry.server_id, Load())
            block = self._gate.find_block(server, demand, load.requests)
            if block is None:
                yield server
