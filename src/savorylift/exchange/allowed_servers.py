"""Which backend servers may run a request, full ones included."""

from collections.abc import Collection, Iterator, Mapping

from savorylift.backends.registry import BackendServer
from savorylift.backends.server import ServerEntry
from savorylift.exchange.admission import AdmittedRequest
from savorylift.exchange.request import CallerRequest
from savorylift.exchange.server_block import Block
from savorylift.exchange.server_holds import ServerHolds
from savorylift.fleet.store_view import StoreView
from savorylift.rollouts.board import RolloutBoard
from savorylift.rollouts.version_rules import VersionRule


class AllowedServers:
    """Tells servers apart by service, region, software version and state."""

    def __init__(
        self,
        store_view: StoreView,
        region_by_domain: Mapping[str, str],
        holds: ServerHolds,
        rollouts: RolloutBoard | None = None,
    ) -> None:
        """Reads the store view and the holds at each choice.

        Args:
            store_view: Servers and evacuations, as recorded in the store.
            region_by_domain: Region of each failure domain.
            holds: Which servers want nothing for a while.
            rollouts: Which software versions a request may go to; None for any.
        """
        self._store_view = store_view
        self._region_by_domain = region_by_domain
        self._holds = holds
        self._rollouts = rollouts

    def find(
        self, admitted: AdmittedRequest, tried: Collection[str]
    ) -> Iterator[BackendServer]:
        """Yields the servers that may run a request.

        Args:
            admitted: The request.
            tried: IDs of the servers to leave out.
        """
        for server in self.find_matching(admitted, tried):
            if self.find_service_block(server.entry) is None:
                yield server

    def find_matching(
        self, admitted: AdmittedRequest, tried: Collection[str] = ()
    ) -> Iterator[BackendServer]:
        """Yields the servers that a request is for, in service or not."""
        service = admitted.service.name
        version = admitted.software_version
        rule = self.find_version_rule(admitted, tried)
        for server_id, server in self._store_view.registry.servers.items():
            entry = server.entry
            if entry.service != service or server_id in tried:
                continue
            if version not in (None, entry.software_version):
                continue
            if rule is not None and not rule.allows(entry):
                continue
            if self._is_allowed_domain(admitted, entry.failure_domain):
                yield server

    def find_version_rule(
        self, admitted: AdmittedRequest, tried: Collection[str]
    ) -> VersionRule | None:
        """Returns which versions a request may go to; None for any."""
        if self._rollouts is None:
            return None
        return self._rollouts.find_rule(
            admitted.service.name,
            admitted.req.attempt_id,
            route=admitted.route.name,
            is_repeat=bool(tried),
            is_bound=admitted.software_version is not None,
        )

    def are_all_leaving(self, admitted: AdmittedRequest) -> bool:
        """Whether a request has servers, and all of them are draining."""
        entries = [server.entry for server in self.find_matching(admitted)]
        return bool(entries) and all(entry.is_leaving for entry in entries)

    def find_service_block(self, entry: ServerEntry) -> Block | None:
        """Returns why a server is not in service, full or not."""
        if entry.is_leaving:
            return Block.LEAVING
        out_of_service = self._store_view.evacuated
        if entry.failure_domain in out_of_service:
            return Block.OUT_OF_SERVICE
        if entry.server_id in out_of_service:
            return Block.OUT_OF_SERVICE
        return None

    def find_known_engine(
        self, admitted: AdmittedRequest, tried: Collection[str]
    ) -> BackendServer | None:
        """Returns the engine of the run that the caller names, if any.

        It may drain or be out of service: its runs finish.
        """
        known = admitted.req.known_run
        if known is None or known.server_id in tried:
            return None
        server = self._store_view.registry.servers.get(known.server_id)
        if server is None or self._holds.is_held(known.server_id):
            return None
        entry = server.entry
        if entry.service != admitted.service.name:
            return None
        if not self._is_allowed_domain(admitted, entry.failure_domain):
            return None
        if admitted.software_version not in (None, entry.software_version):
            return None
        return server

    def may_send(self, server: BackendServer, req: CallerRequest) -> bool:
        """Returns whether a request may still go to the server chosen for it.

        One that drains or is out of service gets nothing new, but the run that
        the caller names goes on there.
        """
        entry = server.entry
        known = self._store_view.registry.find_entry(entry.server_id)
        if known is None or self._holds.is_held(entry.server_id):
            return False
        if self._rollouts is not None and self._rollouts.is_banned(known):
            return False
        if (known.address, known.software_version) != (
            entry.address,
            entry.software_version,
        ):
            return False
        if req.has_run_at(entry.server_id):
            return True
        return self.find_service_block(known) is None

    def servers_in_service(self, service: str) -> list[BackendServer]:
        """Returns the servers of a service that may get requests."""
        return [
            server
            for server in self._store_view.registry.servers.values()
            if server.entry.service == service
            and self.find_service_block(server.entry) is None
        ]

    def count_servers(self, service: str) -> int:
        """Returns the number of a service's servers, draining ones included."""
        servers = self._store_view.registry.servers.values()
        return sum(server.entry.service == service for server in servers)

    def is_in_service(self, server: BackendServer) -> bool:
        """Returns whether a server is still registered and not draining."""
        known = self._store_view.registry.find_entry(server.entry.server_id)
        return known is not None and not known.is_leaving

    def _is_allowed_domain(
        self, admitted: AdmittedRequest, domain: str
    ) -> bool:
        """Whether a request may run in the region of a failure domain."""
        regions = admitted.regions
        return regions is None or self._region_by_domain.get(domain) in regions
