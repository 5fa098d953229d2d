"""The backend servers of which this node keeps a share."""

from collections.abc import Callable

from savorylift.identity import NodeRef
from savorylift.peers.view import RosterSource, RosterView
from savorylift.permits.keeper import Keeper
from savorylift.permits.keeper_directory import KeeperDirectory
from savorylift.permits.lots import lots_of
from savorylift.permits.policies import HandoverRule
from savorylift.rules.view import BackendServer, RulesSource, RulesView


class KeptServers:
    """Makes and drops keepers as rules and roster say.

    Attributes:
        keepers: By backend server name.
    """

    def __init__(
        self,
        ref: NodeRef,
        rules: RulesSource,
        roster: RosterSource,
        directory: KeeperDirectory,
        handover: HandoverRule,
        make_keeper: Callable[[BackendServer], Keeper],
    ) -> None:
        """Starts with no keeper."""
        self.keepers: dict[str, Keeper] = {}
        self._ref = ref
        self._rules = rules
        self._roster = roster
        self._directory = directory
        self._handover = handover
        self._make_keeper = make_keeper

    def follow(self) -> None:
        """Begins to acquire the lots that fall to this node."""
        roster = self._roster.current()
        for server in self._rules.current().backend_servers.values():
            self._follow_server(server, roster)

    def drop_removed(self, rules: RulesView) -> None:
        """Drops keepers without lots whose backend server has no rule."""
        for name in self.keepers.keys() - rules.backend_servers.keys():
            self._drop_if_empty(name)

    def _follow_server(self, server: BackendServer, roster: RosterView) -> None:
        chosen = self._directory.keepers_of(server.name)
        keeper = self.keepers.get(server.name)
        if keeper is not None:
            keeper.follow_rules(server)
            keeper.co_keepers.replace(set(chosen) - {self._ref})
        for lot in lots_of(server.name, len(chosen)):
            if chosen[lot.number] != self._ref:
                self._handover.abandon(lot)
            elif keeper is None or lot.number not in keeper.share.lots:
                self._ensure_keeper(server, chosen)
                self._handover.begin(lot, roster.offset)
        if self._ref not in chosen:
            self._drop_if_empty(server.name)

    def _ensure_keeper(
        self, server: BackendServer, chosen: list[NodeRef]
    ) -> None:
        if server.name not in self.keepers:
            keeper = self._make_keeper(server)
            keeper.co_keepers.replace(set(chosen) - {self._ref})
            self.keepers[server.name] = keeper

    def _drop_if_empty(self, name: str) -> None:
        keeper = self.keepers.get(name)
        if keeper is not None and not keeper.share.lots:
            keeper.admission.dismiss(self._directory.keepers_of(name))
            del self.keepers[name]
