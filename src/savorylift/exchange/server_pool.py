"""Selection of backend servers, with load accounting and the retry budget."""

import math
import random
import time
from collections.abc import Callable, Collection, Iterator, Mapping

import structlog

from savorylift.backends.brittle_services import BrittleServices
from savorylift.backends.cold_start import ColdStartLimiter
from savorylift.backends.load import Load, LoadTracker, sum_loads
from savorylift.backends.registry import BackendServer
from savorylift.backends.server import ServerEntry
from savorylift.exchange.admission import AdmittedRequest
from savorylift.exchange.limit_gate import LimitGate
from savorylift.exchange.limit_sync import MISDIRECTED_STATUS
from savorylift.exchange.move_queue import MoveQueue
from savorylift.exchange.request import AnswerHead, CallerRequest
from savorylift.exchange.retry_budget import RetryBudget
from savorylift.exchange.run import Run
from savorylift.exchange.server_holds import ServerHolds
from savorylift.fleet.membership import Membership
from savorylift.fleet.store_view import StoreView
from savorylift.placement.candidates import eligible_servers
from savorylift.placement.engines import (
    EngineOptions,
    choose_engine,
    choose_least_loaded_engine,
)
from savorylift.placement.plain_servers import choose_plain_server
from savorylift.routing.configuration import Service

_log = structlog.get_logger()


class ServerPool:
    """Chooses backend servers and accounts for the requests sent to them."""

    def __init__(
        self,
        store_view: StoreView,
        membership: Membership,
        budget: RetryBudget,
        rng: random.Random,
        announce: Callable[[], None],
        get_message_interval_s: Callable[[], float],
        region_by_domain: Mapping[str, str],
        limit_gate: LimitGate,
        holds: ServerHolds,
    ) -> None:
        """Creates a pool that reads the store view and members at each choice.

        Args:
            store_view: Servers and evacuations, as recorded in the store.
            membership: The other nodes and their loads.
            budget: This node's share of the retry budget.
            rng: Spreads choices over equal or nearly equal servers.
            announce: Schedules a message about a change to the other nodes.
            get_message_interval_s: Returns the interval between the nodes'
                messages.
            region_by_domain: Region of each failure domain.
            limit_gate: Holds the limits that servers name.
            holds: Which servers want nothing for a while.
        """
        self._store_view = store_view
        self._membership = membership
        self._budget = budget
        self._rng = rng
        self._cold_start = ColdStartLimiter(rng)
        self._announce = announce
        self._region_by_domain = region_by_domain
        self._limit_gate = limit_gate
        self.load_tracker = LoadTracker()
        self.brittle = BrittleServices()
        self.holds = holds
        self.move_queue = MoveQueue(
            lambda: membership.moves(time.monotonic()),
            announce,
            get_message_interval_s,
        )

    def reserve_plain_server(
        self, admitted: AdmittedRequest, tried: Collection[str]
    ) -> BackendServer | None:
        """Chooses a server for a plain call and adds the call to its load.

        The dispatcher removes it from the load tracker when the call has ended.
        """
        loads = self._loads()
        candidates = self._eligible_servers(admitted, tried, loads)
        found = choose_plain_server(
            candidates, loads, time.monotonic(), self._rng
        )
        if found is not None:
            self._record_start(found, admitted, 0, 0)
        return found

    def reserve_engine(
        self,
        admitted: AdmittedRequest,
        options: EngineOptions,
        tried: Collection[str],
    ) -> BackendServer | None:
        """Chooses an engine with room and adds the generation to its load.

        The dispatcher removes it from the load tracker when its run has ended.
        """
        found = self.find_engine(admitted, options, tried)
        if found is not None:
            generation = admitted.req.generation
            prefill_tokens = generation.prompt_tokens if generation else 0
            self._record_start(found, admitted, options.tokens, prefill_tokens)
        return found

    def reserve_known_engine(
        self,
        admitted: AdmittedRequest,
        options: EngineOptions,
        tried: Collection[str],
    ) -> BackendServer | None:
        """Reserves the engine of the run that the caller names, full or not.

        The run has its place there already.
        """
        server = self._find_known_engine(admitted, tried)
        if server is not None:
            self._record_start(server, admitted, options.tokens, 0)
        return server

    def find_engine(
        self,
        admitted: AdmittedRequest,
        options: EngineOptions,
        excluded: Collection[str],
    ) -> BackendServer | None:
        """Returns an engine with room, without adding to its load."""
        loads = self._loads()
        candidates = self._eligible_servers(admitted, excluded, loads)
        return choose_engine(candidates, loads, options, self._rng)

    def has_engine_with_room(
        self,
        admitted: AdmittedRequest,
        options: EngineOptions,
        tried: Collection[str],
    ) -> bool:
        """Returns whether an untried engine without a limit has room."""
        excluded = self.limited_ids().union(tried)
        return self.find_engine(admitted, options, excluded) is not None

    def pending_prefill_tokens(self, server: BackendServer) -> int:
        """Returns how many prompt tokens an engine has yet to prefill."""
        return self._loads().get(server.entry.server_id, Load()).prefill_tokens

    def has_untried_server(
        self, admitted: AdmittedRequest, tried: Collection[str]
    ) -> bool:
        """Returns whether an untried server without a limit has room."""
        excluded = self.limited_ids().union(tried)
        return any(
            True
            for _ in self._eligible_servers(admitted, excluded, self._loads())
        )

    def find_least_loaded_engine(
        self,
        admitted: AdmittedRequest,
        options: EngineOptions,
        tried: Collection[str],
    ) -> BackendServer | None:
        """Returns the engine with the most room, even if it is not enough."""
        loads = self._loads()
        candidates = self._eligible_servers(admitted, tried, loads)
        return choose_least_loaded_engine(candidates, loads, options, self._rng)

    def has_server(
        self, admitted: AdmittedRequest, tried: Collection[str]
    ) -> bool:
        """Returns whether an untried server may run it, full or not."""
        if self._find_known_engine(admitted, tried) is not None:
            return True
        return any(True for _ in self._allowed_servers(admitted, tried))

    def has_place_elsewhere(
        self, admitted: AdmittedRequest, tried: Collection[str]
    ) -> bool:
        """Whether another node has a place at a cold server, if this has none.

        To be asked when no server has room for this node. Places of nodes that
        are silent don't count: their runs may go on.
        """
        now_s = time.monotonic()
        nodes = self._membership.count_sharing_nodes(now_s)
        live = self._membership.count_live_nodes(now_s)
        silent = max(nodes - live, 0)
        loads = self._loads()
        return any(
            loads.get(server.entry.server_id, Load()).requests
            < max_cold - silent * math.ceil(max_cold / nodes)
            for server in self._allowed_servers(admitted, tried)
            if server.is_cold(now_s)
            and (max_cold := server.entry.max_cold_requests) is not None
            and not self.holds.is_held(server.entry.server_id)
            and self._limit_gate.is_open(server.entry)
        )

    def may_send(self, server: BackendServer, req: CallerRequest) -> bool:
        """Returns whether a request may still go to the server chosen for it.

        One that drains or is out of service gets nothing new, but the run that
        the caller names goes on there.
        """
        entry = server.entry
        known = self.find_entry(entry.server_id)
        if known is None or self.holds.is_held(entry.server_id):
            return False
        if (known.address, known.software_version) != (
            entry.address,
            entry.software_version,
        ):
            return False
        if req.has_run_at(entry.server_id):
            return True
        return not known.is_leaving and self._store_view.evacuated.isdisjoint(
            (entry.failure_domain, entry.server_id)
        )

    def servers_in_service(self, service: str) -> list[BackendServer]:
        """Returns the servers of a service that may get requests."""
        return list(
            eligible_servers(
                self._store_view.registry.servers,
                service,
                self._store_view.evacuated,
            )
        )

    def find_server(self, server_id: str) -> BackendServer | None:
        """Returns a server that is registered."""
        return self._store_view.registry.servers.get(server_id)

    def find_entry(self, server_id: str) -> ServerEntry | None:
        """Returns the newest entry of a server that is known."""
        return self._store_view.registry.find_entry(server_id)

    def is_in_service(self, server: BackendServer) -> bool:
        """Returns whether a server is still registered and not draining."""
        known = self._store_view.registry.servers.get(server.entry.server_id)
        return known is not None and not known.entry.is_leaving

    def limited_ids(self) -> set[str]:
        """Returns the IDs of the servers that name a limit."""
        return {
            server_id
            for server_id, server in self._store_view.registry.servers.items()
            if self._limit_gate.is_limited(server.entry)
        }

    def is_closed_by_limits(
        self, admitted: AdmittedRequest, tried: Collection[str]
    ) -> bool:
        """Whether the limits of all servers that remain are used up."""
        entries = [s.entry for s in self._allowed_servers(admitted, tried)]
        return bool(entries) and not any(map(self._limit_gate.is_open, entries))

    def assign_return_s(self, admitted: AdmittedRequest) -> float | None:
        """Returns after what time a caller refused by limits may return.

        None if no server that may run the request names a limit.
        """
        entries = [s.entry for s in self._allowed_servers(admitted, ())]
        return self._limit_gate.assign_return_s(entries)

    def count_request(self, service: str) -> None:
        """Adds a caller's request to the retry budget."""
        self._budget.count_request(service)

    def take_retry(self, service: str) -> bool:
        """Takes one retry from this node's budget; returns whether it could."""
        if not self.may_retry(service):
            return False
        self._budget.count_retry(service)
        return True

    def may_retry(self, service: str) -> bool:
        """Whether this node's budget has a retry left."""
        nodes = self._membership.count_sharing_nodes(time.monotonic())
        return self._budget.may_retry(service, nodes)

    def remove_run(self, run: Run) -> None:
        """Removes a run from the load of its engine, if it has one."""
        if run.server is not None:
            self.load_tracker.remove_request(
                run.server.entry.server_id, run.attempt_id
            )

    def _loads(self) -> Mapping[str, Load]:
        others = self._membership.loads(time.monotonic())
        return sum_loads([*self.load_tracker.loads(), *others])

    def _find_known_engine(
        self, admitted: AdmittedRequest, tried: Collection[str]
    ) -> BackendServer | None:
        """Returns the engine of the run that the caller names, if any.

        It may drain or be out of service: its runs finish.
        """
        known = admitted.req.known_run
        if known is None or known.server_id in tried:
            return None
        server = self._store_view.registry.servers.get(known.server_id)
        if server is None or self.holds.is_held(known.server_id):
            return None
        entry = server.entry
        if entry.service != admitted.service.name:
            return None
        if not self._is_allowed_domain(admitted, entry.failure_domain):
            return None
        if admitted.software_version not in (None, entry.software_version):
            return None
        return server

    def _is_allowed_domain(
        self, admitted: AdmittedRequest, domain: str
    ) -> bool:
        """Whether a request may run in the region of a failure domain."""
        regions = admitted.regions
        return regions is None or self._region_by_domain.get(domain) in regions

    def _allowed_servers(
        self, admitted: AdmittedRequest, tried: Collection[str]
    ) -> Iterator[BackendServer]:
        """Yields the servers that may run a request, full ones included."""
        found = eligible_servers(
            self._store_view.registry.servers,
            admitted.service.name,
            self._store_view.evacuated,
            tried,
            lambda domain: self._is_allowed_domain(admitted, domain),
        )
        version = admitted.software_version
        for server in found:
            if version in (None, server.entry.software_version):
                yield server

    def _eligible_servers(
        self,
        admitted: AdmittedRequest,
        tried: Collection[str],
        loads: Mapping[str, Load],
    ) -> Iterator[BackendServer]:
        now_s = time.monotonic()
        nodes = self._membership.count_sharing_nodes(now_s)
        service = admitted.service
        for server in self._allowed_servers(admitted, tried):
            if not self._limit_gate.is_open(server.entry):
                continue
            if self.holds.is_held(server.entry.server_id):
                continue
            load = loads.get(server.entry.server_id, Load())
            if server.is_cold(now_s):
                has_capacity = self._cold_server_has_capacity(
                    server, service, nodes, now_s
                )
            else:
                has_capacity = server.entry.has_capacity(load.requests)
            if has_capacity and self.brittle.is_brittle(service.name):
                has_capacity = self._has_own_place(server, now_s)
            if has_capacity:
                yield server

    def _has_own_place(self, server: BackendServer, now_s: float) -> bool:
        """Whether this node's share of a brittle server's places has room.

        All nodes together then send no more than it runs at once.
        """
        server_id, slots = server.entry.server_id, server.entry.slots
        share = self._membership.own_share(server_id, slots, now_s)
        return self.load_tracker.open_requests(server_id) < share

    def record_head(self, server: BackendServer, head: AnswerHead) -> bool:
        """Records what a server says of itself in the head of an answer.

        Returns:
            Whether it is news that the server is draining.
        """
        if head.status == MISDIRECTED_STATUS:
            return False
        service, server_id = server.entry.service, server.entry.server_id
        if head.hold_s is not None:
            self.holds.record(server_id, head.hold_s)
        if head.is_from_brittle and self.brittle.record(service):
            _log.warning("service_brittle", service=service, server=server_id)
            self._announce()
        if not head.is_from_leaving:
            return False
        is_news = self._store_view.registry.mark_leaving(
            server_id, server.entry.started_ms
        )
        if is_news:
            _log.info("server_leaves", server=server_id, source="answer")
            self._announce()
        return is_news

    def shortest_hold_s(
        self, admitted: AdmittedRequest, tried: Collection[str] = ()
    ) -> float | None:
        """Returns the time until a server may get a request again.

        None if one may now.
        """
        found = self._allowed_servers(admitted, tried)
        return self.holds.shortest_s([s.entry.server_id for s in found])

    def _cold_server_has_capacity(
        self, server: BackendServer, service: Service, nodes: int, now_s: float
    ) -> bool:
        """Returns whether this node's share of a cold server has room."""
        server_id, max_cold = (
            server.entry.server_id,
            server.entry.max_cold_requests,
        )
        if max_cold is None:
            return self._cold_start.may_send(
                server_id, service.cold_requests_per_s, nodes
            )
        share = self._membership.own_share(server_id, max_cold, now_s)
        return self.load_tracker.open_requests(server_id) < share

    def _record_start(
        self,
        server: BackendServer,
        admitted: AdmittedRequest,
        tokens: int,
        prefill_tokens: int,
    ) -> None:
        server_id = server.entry.server_id
        self.load_tracker.add_request(
            server_id, admitted.req.attempt_id, tokens, prefill_tokens
        )
        # A request to a limited server may still be denied a permit.
        if prefill_tokens and not self._limit_gate.is_limited(server.entry):
            self._announce()
        if server.is_cold(time.monotonic()):
            self._cold_start.record_request(server_id)
