"""Composition root: builds every part of a node out of its settings."""

import ssl
import time
from collections.abc import Sequence
from typing import NamedTuple

from prometheus_client import REGISTRY

from savorylift import tls
from savorylift.calls.budget import RetryBudget
from savorylift.calls.caller import CallParts, CallService
from savorylift.calls.claim_desk import ClaimDesk, DeskParts
from savorylift.calls.dispatch import HttpDispatcher
from savorylift.entry.caller_face import CallerFace, CallerParts
from savorylift.entry.completions import Completions
from savorylift.entry.node_state import NodeState
from savorylift.entry.operator_face import OperatorFace, OperatorParts
from savorylift.entry.server import HttpListener, ServerOptions
from savorylift.identity import NodeInfo, NodeRef, new_incarnation
from savorylift.log_service.counters import PlatformCounters
from savorylift.log_service.json_client import ClientConfig
from savorylift.log_service.log_client import HttpLog
from savorylift.log_service.vm_client import HttpVmList
from savorylift.peers.addresses import roster_link_options
from savorylift.peers.auth import PeerKeys
from savorylift.peers.core import GossipOptions
from savorylift.peers.membership import Membership
from savorylift.peers.roster import RosterFold
from savorylift.peers.service import Peers, PeersOptions, PeersParts
from savorylift.peers.staleness import StalenessOptions
from savorylift.peers.transport import WebsocketLink
from savorylift.peers.view import RosterSource
from savorylift.peers.watcher import WatcherOptions
from savorylift.permits.keeper_gate import KeeperGate
from savorylift.permits.load import LoadPoller
from savorylift.permits.tally import Tally
from savorylift.refusals.desk import RefusalDesk
from savorylift.refusals.roll_up import RollUpCfg
from savorylift.refusals.roller import RollUpThread
from savorylift.restrictions import Restrictions
from savorylift.rules.node import NodeConfig
from savorylift.rules.service import RulesOptions, RulesParts, RulesService
from savorylift.rules.view import RulesSource
from savorylift.settings import Settings
from savorylift.streams.canceller import EngineCanceller
from savorylift.streams.cleaner import Cleaner
from savorylift.streams.engine_control import EngineControl
from savorylift.streams.memory_placement import MemoryPlacement
from savorylift.streams.parts import GenerationParts
from savorylift.streams.relay import Relay
from savorylift.trail import Trail

ROSTER_FOLD = "roster"
LIVE_PEER_S = 3.0


class Contexts(NamedTuple):
    """TLS contexts; None where connections are plain."""

    callers: ssl.SSLContext | None
    operators: ssl.SSLContext | None
    peer_server: ssl.SSLContext | None
    peer_client: ssl.SSLContext | None


class Views(NamedTuple):
    """Published state that request threads read."""

    rules: RulesSource
    roster: RosterSource
    state: NodeState
    trail: Trail


class Agreement(NamedTuple):
    """What nodes agree through: log, link, roster, rules and staleness."""

    log: HttpLog
    link: WebsocketLink
    membership: Membership
    peers: Peers
    rules: RulesService


class Work(NamedTuple):
    """What carries generations and calls, and accounts for refusals."""

    gate: KeeperGate
    load_poller: LoadPoller
    relay: Relay
    cleaner: Cleaner
    generations: GenerationParts
    claims: ClaimDesk
    calls: CallService
    refusals: RefusalDesk
    roll_up: RollUpThread


class Parts(NamedTuple):
    """A node's parts, built and wired but not started.

    Attributes:
        cfg: The settings.
        ref: This incarnation.
        contexts: TLS contexts of the listeners.
        views: Published state.
        agreement: What nodes agree through.
        work: What carries requests.
    """

    cfg: Settings
    ref: NodeRef
    contexts: Contexts
    views: Views
    agreement: Agreement
    work: Work


def compose(cfg: Settings) -> Parts:
    """Builds a node; actors run from here on, threads do not.

    Raises:
        OSError: A TLS file can't be read.
    """
    # Before any actor runs, since a missing file must end the process.
    contexts = Contexts(
        tls.server_context(cfg.caller_tls),
        tls.server_context(cfg.operator_tls),
        tls.server_context(cfg.peer_tls, asks_certificate=True),
        tls.client_context(cfg.peer_tls),
    )
    ref = NodeRef(cfg.vm, new_incarnation())
    views = Views(RulesSource(), RosterSource(), NodeState(), Trail())
    agreement = _build_agreement(cfg, ref, views, contexts)
    work = _build_work(cfg, ref, views, agreement)
    return Parts(cfg, ref, contexts, views, agreement, work)


def build_faces(
    parts: Parts, operator_parts: OperatorParts
) -> tuple[HttpListener, HttpListener]:
    """Returns the listeners for callers and for operators."""
    cfg, views, work = parts.cfg, parts.views, parts.work
    bounds = cfg.bounds
    callers = CallerFace(
        CallerParts(
            state=views.state,
            rules=views.rules,
            roster=views.roster,
            completions=Completions(
                work.generations, bounds.stream_buffer_bytes
            ),
            calls=work.calls,
            refusals=work.refusals,
            own_address=cfg.caller_listen,
            max_in_flight=bounds.caller_threads,
            request_timeout_s=cfg.timing.request_timeout_s,
            entry_ttl_s=cfg.timing.entry_ttl_s,
            trail=views.trail,
        )
    )
    base = ServerOptions(
        name="callers",
        address=cfg.caller_listen,
        threads=bounds.caller_threads + bounds.caller_backlog,
        body_bytes=bounds.body_bytes,
        header_bytes=bounds.header_bytes,
        request_read_s=bounds.request_read_s,
        tls=parts.contexts.callers,
    )
    for_operators = base._replace(
        name="operators",
        address=cfg.operator_listen,
        threads=bounds.operator_threads,
        tls=parts.contexts.operators,
    )
    return (
        HttpListener(base, callers.handle),
        HttpListener(for_operators, OperatorFace(operator_parts).handle),
    )


def _build_agreement(
    cfg: Settings, ref: NodeRef, views: Views, contexts: Contexts
) -> Agreement:
    counters = PlatformCounters(REGISTRY)
    timing = cfg.timing
    read_s = timing.log_poll_s + timing.connect_timeout_s
    log = HttpLog(
        ClientConfig(cfg.log_urls, timing.connect_timeout_s, read_s), counters
    )
    link = _build_link(cfg, ref, views, contexts)
    membership = Membership(_info(cfg, ref), log, views.roster)
    surroundings = _Surroundings(views)
    peers = Peers(
        PeersOptions(
            GossipOptions(
                own=ref,
                seeds=cfg.seeds,
                gossip_s=timing.heartbeat_s,
                staleness=StalenessOptions(
                    stale_after_s=timing.stale_after_s,
                    heard_within_s=timing.stale_after_s,
                ),
            ),
            WatcherOptions(own=ref),
        ),
        PeersParts(
            link=link,
            roster=views.roster,
            membership=membership,
            vms=HttpVmList(ClientConfig(cfg.vm_list_urls), counters),
            surroundings=surroundings,
            registry=REGISTRY,
        ),
    )
    rules = RulesService(
        RulesOptions(NodeConfig(ref), log_wait_s=timing.log_poll_s),
        RulesParts(
            log=log,
            link=link,
            source=views.rules,
            roster=views.roster,
            folds={ROSTER_FOLD: RosterFold(views.roster)},
            live_peers=lambda: _live_peers(peers),
            on_tail_proof=peers.on_tail_proof,
            on_folded=lambda: None,
            registry=REGISTRY,
        ),
    )
    surroundings.rules_service = rules
    return Agreement(log, link, membership, peers, rules)


def _build_link(
    cfg: Settings, ref: NodeRef, views: Views, contexts: Contexts
) -> WebsocketLink:
    host, _, port = cfg.peer_listen.partition(":")
    options = roster_link_options(ref, host, int(port), views.roster, REGISTRY)
    return WebsocketLink(
        options._replace(
            keys=PeerKeys(tuple(key.secret.encode() for key in cfg.peer_keys)),
            server_tls=contexts.peer_server,
            client_tls=contexts.peer_client,
        )
    )


def _info(cfg: Settings, ref: NodeRef) -> NodeInfo:
    return NodeInfo(
        ref,
        cfg.failure_domain,
        cfg.caller_listen,
        cfg.peer_listen,
        cfg.operator_listen,
    )


def _live_peers(peers: Peers) -> Sequence[NodeRef]:
    since_s = time.monotonic() - LIVE_PEER_S
    heard = peers.view().heard_s
    return [ref for ref, heard_s in heard.items() if heard_s >= since_s]


class _Surroundings:
    """What the peers slice asks of the rest of a node.

    Attributes:
        rules_service: Set once it is built, before any thread starts.
    """

    rules_service: RulesService

    def __init__(self, views: Views) -> None:
        self._views = views

    def rules_offset(self) -> int:
        return self._views.rules.current().offset

    def load(self) -> tuple[int, ...]:
        return (self._views.state.in_flight(),)

    def on_peer_offset(self, node: NodeRef, offset: int) -> None:
        self.rules_service.on_peer_offset(node, offset)


def _build_work(
    cfg: Settings, ref: NodeRef, views: Views, agreement: Agreement
) -> Work:
    rules, peers = views.rules, agreement.peers
    control = EngineControl()
    gate = KeeperGate(
        ref,
        rules,
        views.roster,
        agreement.link,
        EngineCanceller(rules, control),
        tally=Tally(REGISTRY),
    )
    restrictions = Restrictions(
        rules, lambda vm: peers.view().marks.is_leaving(vm)
    )

    def mark_leaving(vm: str, _: str | None) -> None:
        # A server names its engine's incarnation; the list names the VM's.
        peers.mark_leaving(vm, "")

    placement = MemoryPlacement(rules)
    relay = Relay()
    cleaner = Cleaner(gate, rules, control)
    generations = GenerationParts(
        ref=ref,
        rules=rules,
        restrictions=restrictions,
        may_dispatch=peers.guard.may_dispatch,
        gate=gate,
        relay=relay,
        cleaner=cleaner,
        placement=placement,
        budget=RetryBudget(),
        mark_leaving=mark_leaving,
        ticket_keys=cfg.ticket_keys,
        timing=cfg.timing,
        trail=views.trail,
    )
    claims = ClaimDesk(
        DeskParts(ref, agreement.log, agreement.link, views.roster)
    )
    calls = CallService(
        CallParts(
            rules=rules,
            gate=gate,
            claims=claims,
            dispatcher=HttpDispatcher(),
            is_open=restrictions.is_open,
            may_dispatch=peers.guard.may_dispatch,
            budget=RetryBudget(),
            mark_leaving=mark_leaving,
        )
    )
    return Work(
        gate=gate,
        load_poller=LoadPoller(
            rules,
            gate.kept_servers,
            gate.load,
            mark_leaving,
            placement.note_preemptions,
        ),
        relay=relay,
        cleaner=cleaner,
        generations=generations,
        claims=claims,
        calls=calls,
        refusals=RefusalDesk(ref, agreement.log, agreement.link, views.roster),
        roll_up=RollUpThread(ref, agreement.log, views.roster, RollUpCfg()),
    )
