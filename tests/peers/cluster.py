"""Several nodes' peers slices in one process, linked over loopback."""

import random
import threading
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from typing import NamedTuple

from prometheus_client import CollectorRegistry
from returns.result import Failure, Result, Success

from savorylift.identity import NodeInfo, NodeRef
from savorylift.log_service.log import LogEntry, LogFault, LogPage
from savorylift.log_service.vms import VmEntry
from savorylift.peers.addresses import roster_link_options
from savorylift.peers.core import GossipOptions
from savorylift.peers.membership import Membership
from savorylift.peers.service import Peers, PeersOptions, PeersParts
from savorylift.peers.transport import WebsocketLink
from savorylift.peers.view import Member, RosterSource, RosterView
from savorylift.peers.watcher import WatcherOptions


class NoLog:
    """A log that is down."""

    def append(
        self, stream: str, entries: tuple[LogEntry, ...]
    ) -> Result[int, LogFault]:
        return Failure(LogFault(may_have_applied=False, message="down"))

    def read(
        self, stream: str, offset: int, wait_s: float = 0.0
    ) -> Result[LogPage, LogFault]:
        return Failure(LogFault(may_have_applied=False, message="down"))


class Listing:
    """A list of VMs that a test changes."""

    def __init__(self) -> None:
        self.entries: tuple[VmEntry, ...] = ()

    def read(self) -> Result[tuple[VmEntry, ...], str]:
        return Success(self.entries)


class LoopNode:
    """One node: link, gossip and watcher, with fakes for the rest."""

    def __init__(self, ref: NodeRef) -> None:
        self.ref = ref
        self.offset = 0
        self.told: list[tuple[str, int]] = []
        self.has_told = threading.Event()
        self.roster = RosterSource()
        self.registry = CollectorRegistry()
        self.listing = Listing()
        self.link = WebsocketLink(
            roster_link_options(ref, "127.0.0.1", 0, self.roster, self.registry)
        )
        self.info = NodeInfo(ref, "ikeja-a", "c", "", "o")
        self.peers = Peers(
            PeersOptions(GossipOptions(own=ref), WatcherOptions(own=ref)),
            PeersParts(
                self.link,
                self.roster,
                Membership(self.info, NoLog(), self.roster),
                self.listing,
                self,
                self.registry,
            ),
        )
        self.info = self.info._replace(peer_address=self.link.start().unwrap())

    def rules_offset(self) -> int:
        return self.offset

    def load(self) -> tuple[int, ...]:
        return (random.randrange(30), random.randrange(9), 300)

    def on_peer_offset(self, node: NodeRef, offset: int) -> None:
        self.told.append((node.vm, offset))
        self.offset = max(self.offset, offset)
        self.has_told.set()

    def routed(self, route: Callable[[str], str]) -> NodeInfo:
        """Returns what others know about this node."""
        address = route(self.info.peer_address)
        return self.info._replace(peer_address=address)

    def total(self, metric: str) -> float:
        """Returns a counter's sum over its labels."""
        return sum(
            sample.value
            for family in self.registry.collect()
            for sample in family.samples
            if sample.name == metric
        )


class Stopped(NamedTuple):
    """Whether a node's threads ended in time."""

    peers: bool
    link: bool


def join(nodes: list[LoopNode], infos: list[NodeInfo]) -> None:
    """Puts all of `infos` on the nodes' rosters and starts the nodes."""
    members = {
        info.ref.vm: Member(info, number, leaving=False)
        for number, info in enumerate(infos)
    }
    for node in nodes:
        node.roster.replace(RosterView(len(infos) - 1, members))
        node.peers.start()


@contextmanager
def cluster(
    count: int, route: Callable[[str], str] = str
) -> Iterator[list[LoopNode]]:
    """Starts nodes that have one another on their rosters.

    Args:
        count: How many nodes.
        route: Returns the address at which others reach a listener.
    """
    nodes = [LoopNode(NodeRef(f"n{i}", "1")) for i in range(count)]
    join(nodes, [node.routed(route) for node in nodes])
    try:
        yield nodes
    finally:
        stopped = [Stopped(n.peers.stop(), n.link.stop()) for n in nodes]
        assert all(all(one) for one in stopped), stopped
