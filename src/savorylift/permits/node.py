"""Permit decisions of one node: its holder, its keepers and handovers."""

import time
from collections.abc import Callable, Mapping
from typing import Any, NamedTuple, Protocol

from savorylift.identity import NodeRef
from savorylift.peers.link import Message
from savorylift.peers.view import RosterSource
from savorylift.permits import messages as m
from savorylift.permits.co_keepers import Sender
from savorylift.permits.evidence import LoadReport
from savorylift.permits.holder import Holder, Resolver
from savorylift.permits.keeper import Keeper
from savorylift.permits.keeper_directory import KeeperDirectory
from savorylift.permits.kept_servers import KeptServers
from savorylift.permits.lot_exchange import LotExchange
from savorylift.permits.lot_messages import LotQuery, LotReport
from savorylift.permits.lots import lots_of
from savorylift.permits.options import PermitOptions
from savorylift.permits.policies import SAFE, Policies
from savorylift.permits.status import PermitStatus, ServerStatus
from savorylift.permits.tally import Tally
from savorylift.rules.view import RulesSource


class Effects(Sender, Resolver, Protocol):
    """What decisions cause outside of the node's state."""

    def cancel(self, backend_server: str, permit: m.HeldPermit) -> None:
        """Starts to cancel work; `PermitNode.cancelled` gets the success."""


class _Offsets(NamedTuple):
    """Log offsets of the rules and the roster that were followed."""

    rules: int
    roster: int


class PermitNode:
    """Threadless state of one node; an actor owns it.

    Attributes:
        holder: Permits that this node holds or waits for.
        keepers: Backend servers of which this node keeps a share, by name.
    """

    def __init__(
        self,
        ref: NodeRef,
        rules: RulesSource,
        roster: RosterSource,
        cfg: PermitOptions,
        effects: Effects,
        tally: Tally,
        policies: Policies = SAFE,
    ) -> None:
        """Starts with no share; `tick` begins to acquire them."""
        self._rules = rules
        self._roster = roster
        self._cfg = cfg
        self._effects = effects
        self._handover = policies.handover(ref)
        self._followed: _Offsets | None = None
        self._refreshed_s = -float("inf")
        self._directory = KeeperDirectory(rules, roster)
        self._kept = KeptServers(
            ref,
            rules,
            roster,
            self._directory,
            self._handover,
            lambda rule: Keeper(rule, cfg, effects, tally, policies),
        )
        self.keepers: Mapping[str, Keeper] = self._kept.keepers
        self.holder = Holder(
            ref,
            roster,
            self._directory.keepers_of,
            cfg,
            effects,
            effects,
            tally,
        )
        self._exchange = LotExchange(
            roster,
            self._directory,
            self.keepers,
            self.holder,
            self._handover,
            effects,
            tally,
        )
        self._handlers = self._routes()

    def receive(self, sender: NodeRef, msg: Message) -> None:
        """Applies a message from a node, this one included."""
        self._handlers[type(msg)](sender, msg)

    def tick(self) -> None:
        """Follows rules and roster and does what is due."""
        self._follow_views()
        for keeper in self.keepers.values():
            keeper.tick()
        self.holder.tick()
        if time.monotonic() - self._refreshed_s >= self._cfg.refresh_s:
            self._refreshed_s = time.monotonic()
            self._refresh()

    def load(self, backend_server: str, report: LoadReport) -> None:
        """Applies a backend server's load report."""
        keeper = self.keepers.get(backend_server)
        if keeper is not None:
            keeper.load(report)

    def cancelled(self, backend_server: str, permit: m.HeldPermit) -> None:
        """Ends a permit whose work was cancelled or is unknown."""
        keeper = self.keepers.get(backend_server)
        if keeper is not None:
            keeper.watch.cancelled(permit)
            keeper.admission.serve()

    def keepers_of(self, server: str) -> list[NodeRef]:
        """Returns the keeper of each lot by the roster seen now."""
        return self._directory.keepers_of(server)

    def status(self) -> PermitStatus:
        """Returns what operators are shown."""
        servers = [self._server_status(k) for k in self.keepers.values()]
        held = len(self.holder.holdings.all())
        return PermitStatus(held, self.holder.waiting_count, tuple(servers))

    def _follow_views(self) -> None:
        rules, roster = self._rules.current(), self._roster.current()
        offsets = _Offsets(rules.offset, roster.offset)
        if offsets == self._followed:
            return
        self._followed = offsets
        self._kept.follow()
        self._kept.drop_removed(rules)
        self._exchange.recheck(roster)
        self._exchange.query_members()

    def _refresh(self) -> None:
        self.holder.holdings.refresh()
        self._kept.follow()
        self._exchange.query_members()
        roster = self._roster.current()
        for name, keeper in self.keepers.items():
            keeper.admission.announce()
            keeper.watch.repeat_moves()
            for permit in keeper.watch.review(roster):
                self._effects.cancel(name, permit)
            for holder, charges in keeper.watch.due_queries().items():
                self._effects.send(holder, m.PermitQuery(name, charges))

    def _on_ask(self, _: NodeRef, msg: m.PermitAsk) -> None:
        keeper = self.keepers.get(msg.backend_server)
        if keeper is not None and self._roster.current().is_member(msg.holder):
            keeper.ask(msg)
            return
        denied = m.PermitDenied(
            msg.permit_id, msg.backend_server, None, 0.0, None
        )
        self._effects.send(msg.holder, denied)

    def _on_return(self, sender: NodeRef, msg: m.PermitReturn) -> None:
        keeper = self.keepers.get(msg.backend_server)
        if keeper is not None and keeper.share.find(msg.permit_id):
            keeper.end(msg)
        elif keeper is not None and keeper.watch.has_ended(msg.permit_id):
            self._effects.send(msg.holder, m.PermitEnded(msg.permit_id))
        elif sender == msg.holder:
            for node in self._handover.successors(msg.backend_server):
                self._effects.send(node, msg)

    def _on_query(self, sender: NodeRef, msg: m.PermitQuery) -> None:
        unknown = self.holder.unknown_of(sender, msg)
        if unknown:
            answer = m.PermitUnknown(msg.backend_server, unknown)
            self._effects.send(sender, answer)

    def _server_status(self, keeper: Keeper) -> ServerStatus:
        lots = lots_of(keeper.name, keeper.share.lot_count)
        acquiring = filter(self._handover.is_acquiring, lots)
        return keeper.status(tuple(lot.number for lot in acquiring))

    def _routes(self) -> Mapping[type, Callable[[NodeRef, Any], None]]:
        return {**self._holder_routes(), **self._keeper_routes()}

    def _holder_routes(self) -> Mapping[type, Callable[[NodeRef, Any], None]]:
        holder = self.holder
        return {
            m.PermitGrant: holder.granted,
            m.PermitDenied: holder.denied,
            m.PermitQueued: holder.queued,
            m.PermitQuery: self._on_query,
            m.PermitEnded: lambda _, msg: holder.holdings.ended(msg.permit_id),
            m.PermitMoved: lambda _, msg: holder.holdings.moved(msg),
        }

    def _keeper_routes(self) -> Mapping[type, Callable[[NodeRef, Any], None]]:
        to_keeper = self._to_keeper
        return {
            m.PermitAsk: self._on_ask,
            m.PermitReturn: self._on_return,
            m.PermitGiveUp: to_keeper(
                lambda keeper, sender, msg: keeper.forget(
                    msg.permit_id, sender, msg.kept_lot
                )
            ),
            m.PermitStarted: to_keeper(
                lambda keeper, sender, msg: keeper.start(msg, sender)
            ),
            m.PermitAdjust: to_keeper(
                lambda keeper, sender, msg: keeper.adjust(
                    msg.permit_id, sender, msg.tokens
                )
            ),
            m.PermitUnknown: to_keeper(
                lambda keeper, sender, msg: keeper.unknown(msg.charges, sender)
            ),
            m.PermitTakeOver: to_keeper(
                lambda keeper, sender, msg: keeper.take_over(msg, sender)
            ),
            m.ColdFall: to_keeper(lambda keeper, _, msg: keeper.cold_fall(msg)),
            m.ServerState: to_keeper(
                lambda keeper, sender, msg: keeper.hear(sender, msg)
            ),
            LotQuery: self._exchange.answer,
            LotReport: self._exchange.take_report,
        }

    def _to_keeper(
        self, apply: Callable[[Keeper, NodeRef, Any], None]
    ) -> Callable[[NodeRef, Any], None]:
        """Returns a handler that ignores unknown backend servers."""

        def handle(sender: NodeRef, msg: Any) -> None:  # noqa: ANN401
            keeper = self.keepers.get(msg.backend_server)
            if keeper is not None:
                apply(keeper, sender, msg)

        return handle
