"""Wires the gossip actor, its ticks and the watcher of the VM list."""

import contextlib
import threading
import time
from concurrent.futures import Future
from typing import NamedTuple

import pykka
from prometheus_client import CollectorRegistry

from savorylift.identity import NodeRef
from savorylift.log_service.vms import VmEntry, VmList
from savorylift.peers.actor import (
    LeavingNoticed,
    ListArrived,
    NewsArrived,
    PeersActor,
    ProofArrived,
    QuestionArrived,
    Tick,
)
from savorylift.peers.board import PeersBoard, PeersView
from savorylift.peers.core import (
    GossipOptions,
    PeersCore,
    Published,
)
from savorylift.peers.counters import GossipCounters
from savorylift.peers.link import Message, PeerLink
from savorylift.peers.membership import Membership
from savorylift.peers.messages import GossipNews, GossipQuestion
from savorylift.peers.staleness import DispatchGuard, TailProof
from savorylift.peers.status import PeersStatus, describe
from savorylift.peers.surroundings import Surroundings
from savorylift.peers.ticker import Ticker
from savorylift.peers.view import RosterSource
from savorylift.peers.watcher import VmWatcher, WatcherOptions

TICK_S = 0.2
HEARD_WITHIN_S = 5.0


class PeersOptions(NamedTuple):
    """Options of the slice.

    Attributes:
        gossip: Options of the gossip actor.
        watcher: Options of the VM list's watcher.
    """

    gossip: GossipOptions
    watcher: WatcherOptions


class PeersParts(NamedTuple):
    """What the slice works with.

    Attributes:
        link: Link to the other nodes, not yet started.
        roster: Roster that the fold publishes.
        membership: Writer of roster records.
        vms: The platform's list of VMs.
        surroundings: What other slices tell and are told.
        registry: Where counters are registered.
    """

    link: PeerLink
    roster: RosterSource
    membership: Membership
    vms: VmList
    surroundings: Surroundings
    registry: CollectorRegistry


class Peers:
    """Everything that a node knows of the others.

    Attributes:
        guard: The last check before a dispatch.
        board: Published knowledge of the other nodes.
    """

    def __init__(self, cfg: PeersOptions, parts: PeersParts) -> None:
        """Registers the gossip handler on the link; starts nothing else."""
        own = cfg.gossip.own
        counters = GossipCounters(parts.registry)
        self.guard = DispatchGuard(
            cfg.gossip.staleness,
            lambda reason: counters.refusal(reason.value),
        )
        self.board = PeersBoard(own)
        core = PeersCore(
            cfg.gossip,
            parts.roster,
            Published(self.guard, self.board),
            parts.surroundings,
            counters,
        )
        self._actor = PeersActor.start(
            core, parts.link, cfg.gossip.ask_timeout_s, counters
        )
        self._tick_taken = threading.Event()
        self._tick_taken.set()
        self._ticker = Ticker(TICK_S, self._tick, "peers-ticker")
        watcher = VmWatcher(
            cfg.watcher,
            parts.vms,
            parts.roster,
            parts.membership,
            lambda: self.view().heard(HEARD_WITHIN_S),
            self._take_list,
        )
        self._list_reader = Ticker(
            cfg.watcher.interval_s,
            watcher.read_once,
            "vm-watcher",
            is_immediate=True,
        )
        parts.link.on_ask(GossipQuestion, self._take_question)
        parts.link.on_tell(GossipNews, self._take_news)

    def start(self) -> None:
        """Starts to ask neighbours and to read the list; after the link."""
        self._ticker.start()
        self._list_reader.start()

    def stop(self, timeout_s: float = 2.0) -> bool:
        """Ends all threads; False if one did not end in time."""
        deadline_s = time.monotonic() + timeout_s
        is_stopped = self._ticker.stop(timeout_s)
        is_stopped &= self._list_reader.stop(
            max(0.0, deadline_s - time.monotonic())
        )
        self._actor.stop(block=False)
        return is_stopped

    def view(self) -> PeersView:
        """Returns what is known of the other nodes."""
        return self.board.current()

    def status(self) -> PeersStatus:
        """Returns what `savorylift status` shows."""
        return describe(self.view(), self.guard.view())

    def on_tail_proof(self, sent_at_s: float, next_offset: int) -> None:
        """Takes in a read that reached the log's tail; any thread.

        Args:
            sent_at_s: Monotonic time at which the read was sent.
            next_offset: The tail that the answer named.
        """
        proof = TailProof(sent_at_s, next_offset)
        self._post(ProofArrived(proof))

    def mark_leaving(self, vm: str, incarnation: str) -> None:
        """Notes that a VM said it is leaving; any thread.

        Args:
            vm: Name of the VM.
            incarnation: Its incarnation; empty for the one listed now.
        """
        marked = self.view().marks.leaving.get(vm, frozenset())
        is_known = incarnation in marked if incarnation else bool(marked)
        if not is_known:
            self._post(LeavingNoticed(vm, incarnation))

    def _tick(self) -> None:
        if self._tick_taken.is_set():
            self._tick_taken.clear()
            self._post(Tick(self._tick_taken))

    def _post(self, message: object) -> None:
        """Queues a message for the actor, unless it has ended."""
        with contextlib.suppress(pykka.ActorDeadError):
            self._actor.tell(message)

    def _take_list(self, entries: tuple[VmEntry, ...]) -> None:
        self._post(ListArrived(entries))

    def _take_question(
        self, sender: NodeRef, question: GossipQuestion, fut: "Future[Message]"
    ) -> None:
        self._post(QuestionArrived(sender, question, fut))

    def _take_news(self, sender: NodeRef, _news: GossipNews) -> None:
        self._post(NewsArrived(sender))
