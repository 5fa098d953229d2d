"""Places that requests take at backend servers."""

import random
import time
from collections.abc import Callable, Collection, Mapping

from savorylift.backends.brittle_services import BrittleServices
from savorylift.backends.load import Load, LoadTracker
from savorylift.backends.registry import BackendServer
from savorylift.backends.server import ServerEntry
from savorylift.exchange.admission import AdmittedRequest
from savorylift.exchange.allowed_servers import AllowedServers
from savorylift.exchange.kept_engines import KeptEngines
from savorylift.exchange.node_retries import NodeRetries
from savorylift.exchange.request import CallerRequest
from savorylift.exchange.retry_budget import RetryBudget
from savorylift.exchange.run import Run
from savorylift.exchange.server_blocks import ServerBlocks
from savorylift.exchange.server_choice import ServerChoice
from savorylift.exchange.server_gate import ServerGate
from savorylift.exchange.server_holds import ServerHolds
from savorylift.exchange.server_places import ServerPlaces
from savorylift.exchange.server_waits import ServerWaits
from savorylift.fleet.membership import Membership
from savorylift.fleet.store_view import StoreView
from savorylift.limits.limit_gate import LimitGate
from savorylift.moves.move_queue import MoveQueue
from savorylift.placement.engines import EngineOptions
from savorylift.rollouts.answers import AnswerObserver
from savorylift.rollouts.board import RolloutBoard
from savorylift.speeds.speed_book import SpeedBook
from savorylift.speeds.usual_times import Work


class ServerPool:
    """Reserves backend servers and accounts for the requests sent to them.

    Attributes:
        load_tracker: Requests of this node at each server.
        brittle: Services whose servers fall over if they reject much.
        holds: Which servers want nothing for a while.
        move_queue: Which run may be copied next.
        choice: Which server a request would get.
        waits: When servers take requests again.
        blocks: Why servers get no requests.
        retries: This node's share of the retry budget.
        answers: Follows the requests to services that are rolled out.
        kept: Engines whose room one node may keep for all.
        speeds: How fast each server is.
    """

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
        rollouts: RolloutBoard | None = None,
        answers: AnswerObserver | None = None,
        announce_load: Callable[[], None] | None = None,
        *,
        uses_speeds: bool = True,
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
            rollouts: Which software versions a request may go to.
            answers: Follows the requests to services that are rolled out.
            announce_load: Schedules a message about load that others need at
                their next choice; None for `announce`.
            uses_speeds: Whether the choice of servers depends on how fast they
                are.
        """
        self._registry = store_view.registry
        self._membership = membership
        self._announce_load = announce_load or announce
        self._limit_gate = limit_gate
        self._allowed = AllowedServers(
            store_view, region_by_domain, holds, rollouts
        )
        self.answers = answers or AnswerObserver()
        self.load_tracker = LoadTracker()
        self.speeds = SpeedBook(self._registry.find_entry, is_used=uses_speeds)
        self.brittle = BrittleServices()
        self.holds = holds
        self._places = ServerPlaces(
            membership, self.load_tracker, self.brittle, rng
        )
        self._gate = ServerGate(
            self._allowed, holds, limit_gate.is_open, self._places
        )
        self.choice = ServerChoice(
            self._registry,
            membership,
            self.load_tracker,
            self._allowed,
            self._gate,
            self._places,
            limit_gate,
            self.speeds,
            rng,
        )
        self.waits = ServerWaits(self._allowed, limit_gate, holds)
        self.kept = KeptEngines(
            self._allowed, self._gate, self.brittle, limit_gate.is_limited
        )
        self.blocks = ServerBlocks(
            self._registry,
            self._allowed,
            self._gate,
            self._places,
            self.choice.loads,
        )
        self.retries = NodeRetries(budget, membership)
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
        found = self.choice.find_plain_server(admitted, tried)
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
        found = self.choice.find_engine(admitted, options, tried)
        if found is not None:
            generation = admitted.req.generation
            prefill_tokens = generation.prompt_tokens if generation else 0
            self._record_start(found, admitted, options.tokens, prefill_tokens)
        return found

    def reserve_granted_engine(
        self,
        admitted: AdmittedRequest,
        options: EngineOptions,
        tried: Collection[str],
        server_id: str,
    ) -> BackendServer | None:
        """Reserves the engine that the keeper of its room granted.

        The keeper knows of it, so the other nodes needn't be told.
        """
        server = self.kept.find_granted(admitted, tried, server_id)
        if server is not None:
            self._record_start(
                server,
                admitted,
                options.tokens,
                options.prompt_tokens,
                is_granted=True,
            )
        return server

    def reserve_cold_engine(
        self,
        admitted: AdmittedRequest,
        options: EngineOptions,
        tried: Collection[str],
    ) -> BackendServer | None:
        """Reserves this node's share of a cold engine, if one has room."""
        cold = {s.entry.server_id for s in self.kept.find_cold(admitted, tried)}
        if not cold:
            return None
        servers = self._allowed.find(admitted, tried)
        warm = {s.entry.server_id for s in servers} - cold
        return self.reserve_engine(admitted, options, warm.union(tried))

    def reserve_known_engine(
        self,
        admitted: AdmittedRequest,
        options: EngineOptions,
        tried: Collection[str],
    ) -> BackendServer | None:
        """Reserves the engine of the run that the caller names, full or not.

        The run has its place there already.
        """
        server = self._allowed.find_known_engine(admitted, tried)
        if server is not None:
            self._record_start(server, admitted, options.tokens, 0)
        return server

    def may_send(self, server: BackendServer, req: CallerRequest) -> bool:
        """Returns whether a request may still go to the server chosen for it.

        One that drains or is out of service gets nothing new, but the run that
        the caller names goes on there.
        """
        return self._allowed.may_send(server, req)

    def are_all_leaving(self, admitted: AdmittedRequest) -> bool:
        """Whether a request has servers, and all of them are draining."""
        return self._allowed.are_all_leaving(admitted)

    def servers_in_service(self, service: str) -> list[BackendServer]:
        """Returns the servers of a service that may get requests."""
        return self._allowed.servers_in_service(service)

    def is_in_service(self, server: BackendServer) -> bool:
        """Returns whether a server is still registered and not draining."""
        return self._allowed.is_in_service(server)

    def find_server(self, server_id: str) -> BackendServer | None:
        """Returns a server that is registered."""
        return self._registry.servers.get(server_id)

    def find_entry(self, server_id: str) -> ServerEntry | None:
        """Returns the newest entry of a server that is known."""
        return self._registry.find_entry(server_id)

    def record_time(
        self, server: BackendServer, kind: str, slots: int, took_s: float
    ) -> None:
        """Records how long a server took for work that is comparable.

        Args:
            server: The server.
            kind: Which work of its service.
            slots: Requests that it runs at once.
            took_s: The time.
        """
        now_s = time.monotonic()
        if server.is_cold(now_s):
            return
        entry = server.entry
        others = self._membership.loads(now_s).get(entry.server_id, Load())
        own = self.load_tracker.open_requests(entry.server_id)
        load_share = (others.requests + own) / max(slots, 1)
        self.speeds.record(entry, Work(entry.service, kind, load_share), took_s)

    def remove_run(self, run: Run) -> None:
        """Removes a run from the load of its engine, if it has one."""
        if run.server is not None:
            self.load_tracker.remove_request(
                run.server.entry.server_id, run.attempt_id
            )

    def _record_start(
        self,
        server: BackendServer,
        admitted: AdmittedRequest,
        tokens: int,
        prefill_tokens: int,
        *,
        is_granted: bool = False,
    ) -> None:
        self.load_tracker.add_request(
            server.entry.server_id,
            admitted.req.attempt_id,
            tokens,
            prefill_tokens,
        )
        # A request to a limited server may still be denied a permit.
        is_limited = self._limit_gate.is_limited(server.entry)
        if prefill_tokens and not is_granted and not is_limited:
            self._announce_load()
        self._places.record_start(server)
        self.answers.begin(
            server.entry,
            admitted.route.name,
            admitted.req.attempt_id,
            is_cold=server.is_cold(time.monotonic()),
        )
