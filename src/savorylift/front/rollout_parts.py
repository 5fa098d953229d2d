"""The parts of a node that move services to other software versions."""

import time
from collections.abc import Callable, Iterable
from typing import NamedTuple

from savorylift.backends.server import ServerEntry
from savorylift.boot_clock import boot_time_s, read_boot_id
from savorylift.fleet.peer_transport import PeerTransport
from savorylift.fleet.rollout_messages import RolloutMessage
from savorylift.fleet.state import NodeState
from savorylift.front.interface import OrderDecoder
from savorylift.front.rollout_rules import find_limits
from savorylift.front.server_parts import ServerParts
from savorylift.front.shared_parts import SharedParts
from savorylift.rendezvous import rank
from savorylift.rollouts.agent import RolloutAgent
from savorylift.rollouts.order import RolloutOrder
from savorylift.rollouts.order_clock import BootTime
from savorylift.rollouts.recorder import StageRecorder
from savorylift.rollouts.rollout_site import FleetView

# For how long the choice of the deciding node is used.
VIEW_S = 0.2
# A node decides only if it hears so much of the fleet: with less, it may be cut
# off with its failure domain, or have just started.
SHARE_TO_DECIDE = 0.3
# Rendezvous hashing key for the choice of the deciding node.
DECIDER_KEY = "rollout"


def make_rollout_agent(
    shared: SharedParts,
    servers: ServerParts,
    transport: PeerTransport,
    has_store_fault: Callable[[], bool],
) -> RolloutAgent | None:
    """Creates this node's part in roll-outs; None if there are to be none.

    Args:
        shared: What all parts have in common.
        servers: The parts that decide on servers.
        transport: Carries messages to the other nodes.
        has_store_fault: Whether a call to the store failed recently.
    """
    limits, codec = find_limits(shared.settings), shared.interface.rollouts
    rules = servers.rollouts
    if limits is None or codec is None or rules.board is None:
        return None
    return RolloutAgent(
        limits,
        rules.board,
        rules.answers,
        StageRecorder(shared.store, codec.encode_status),
        NodeRolloutSite(
            shared,
            servers,
            transport,
            has_store_fault,
            codec.decode_orders,
        ),
        shared.identity.incarnation,
    )


class _CachedView(NamedTuple):
    """What was seen of the fleet, and until when that is used.

    Attributes:
        view: What was seen.
        expires_s: Monotonic time from which on it is looked at anew.
    """

    view: FleetView
    expires_s: float


class NodeRolloutSite:
    """What roll-outs need of this node."""

    def __init__(
        self,
        shared: SharedParts,
        servers: ServerParts,
        transport: PeerTransport,
        has_store_fault: Callable[[], bool],
        decode_orders: OrderDecoder,
    ) -> None:
        """Connects roll-outs with the parts of a node.

        Args:
            shared: What all parts have in common.
            servers: The parts that decide on servers.
            transport: Carries messages to the other nodes.
            has_store_fault: Whether a call to the store failed recently.
            decode_orders: Decodes the orders among the operators' records.
        """
        self._shared = shared
        self._servers = servers
        self._transport = transport
        self._has_store_fault = has_store_fault
        self._decode_orders = decode_orders
        self._read_version = -1
        self._boot_id = read_boot_id()
        self._views: dict[str, _CachedView] = {}

    def read_orders(self) -> list[RolloutOrder] | None:
        """Returns the orders that stand; None if they haven't changed."""
        store_view = self._shared.store_view
        if store_view.operators_version == self._read_version:
            return None
        self._read_version = store_view.operators_version
        return self._decode_orders(store_view.operator_records)

    def is_known(self) -> bool:
        """Whether this node knows the operators' records at all."""
        return self._shared.store_view.configuration is not None

    def find_servers(self, service: str) -> Iterable[ServerEntry]:
        """Returns the servers of a service that are in service."""
        found = self._servers.pool.servers_in_service(service)
        return [server.entry for server in found]

    def has_engines(self, service: str) -> bool:
        """Whether a service has engines."""
        found = self._shared.find_service(service)
        return found is not None and found.engine is not None

    def view_fleet(self, service: str) -> FleetView:
        """Returns what this node sees of the fleet."""
        now_s = time.monotonic()
        known = self._views.get(service)
        if known is not None and now_s < known.expires_s:
            return known.view
        view = self._view_fleet(service, now_s)
        self._views[service] = _CachedView(view, now_s + VIEW_S)
        return view

    def read_boot_clock(self) -> BootTime | None:
        """Returns the boot clock's time; None if the boot's ID is unknown."""
        if self._boot_id is None:
            return None
        # The address is part of it: containers of one VM may have boot clocks
        # of their own.
        host = f"{self._shared.identity.ip} {self._boot_id}"
        return BootTime(host, boot_time_s())

    def send(self, message: RolloutMessage, ip: str | None) -> None:
        """Sends a message to a node; to all live ones without an address."""
        self._transport.send_message(message, ip)

    def _view_fleet(self, service: str, now_s: float) -> FleetView:
        shared = self._shared
        own_ip = shared.identity.ip
        peers = [p.state for p in shared.membership.live_peers(now_s)]
        able = {s.ip for s in peers if _may_decide(s)}
        if not shared.lifecycle.is_leaving and not self._has_store_fault():
            able.add(own_ip)
        if not able:
            able = {s.ip for s in peers if s.knows_rollouts} | {own_ip}
        decider_ip = rank(f"{DECIDER_KEY} {service}", able)[0]
        unaware = sum(not state.knows_rollouts for state in peers)
        return FleetView(
            decider_ip,
            decider_ip == own_ip,
            shared.membership.live_share(now_s) > SHARE_TO_DECIDE,
            unaware / (1 + len(peers)),
        )


def _may_decide(state: NodeState) -> bool:
    is_able = state.knows_rollouts and state.is_ready
    return is_able and not state.is_leaving and not state.has_store_fault
