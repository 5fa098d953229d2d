"""Composition root: builds a node out of its settings and runs it."""

import ssl
import threading
import time
from collections.abc import Callable, Mapping, Sequence
from typing import NamedTuple

import structlog
from prometheus_client import REGISTRY, Gauge
from returns.result import Failure, Result, Success

from savorylift import tls
from savorylift.calls.budget import RetryBudget
from savorylift.calls.caller import CallParts, CallService
from savorylift.calls.claim_desk import ClaimDesk, DeskParts
from savorylift.calls.dispatch import HttpDispatcher
from savorylift.entry.caller_face import CallerFace, CallerParts
from savorylift.entry.completions import Completions
from savorylift.entry.node_state import NodeState, Phase
from savorylift.entry.operator_face import OperatorFace, OperatorParts
from savorylift.entry.server import HttpListener, ServerOptions
from savorylift.identity import NodeInfo, NodeRef, new_incarnation
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
from savorylift.platform.counters import PlatformCounters
from savorylift.platform.json_client import ClientConfig
from savorylift.platform.log_client import HttpLog
from savorylift.platform.vm_client import HttpVmList
from savorylift.refusals.desk import RefusalDesk
from savorylift.refusals.request import answer as answer_report
from savorylift.refusals.roll_up import RollUpCfg
from savorylift.refusals.roller import RollUpThread
from savorylift.restrictions import Restrictions
from savorylift.rules.node import NodeConfig
from savorylift.rules.service import RulesOptions, RulesParts, RulesService
from savorylift.rules.view import RulesSource
from savorylift.settings import Settings
from savorylift.streams.cleaner import Cleaner
from savorylift.streams.engine_control import EngineControl
from savorylift.streams.parts import GenerationParts
from savorylift.streams.placement import LeastLoadedPlacement
from savorylift.streams.relay import Relay
from savorylift.trail import Trail

ROSTER_FOLD = "roster"
JOIN_TIMEOUT_S = 2.0
JOIN_RETRY_S = 0.2
LIVE_PEER_S = 3.0
SHARES_TIMEOUT_S = 5.0
FLUSH_TIMEOUT_S = 5.0
POLL_S = 0.05

log = structlog.get_logger()
IN_FLIGHT = Gauge("savorylift_in_flight", "Callers' requests being served.")


class _Contexts(NamedTuple):
    """TLS contexts; None where connections are plain."""

    callers: ssl.SSLContext | None
    operators: ssl.SSLContext | None
    peer_server: ssl.SSLContext | None
    peer_client: ssl.SSLContext | None


class _Views(NamedTuple):
    """Published state that request threads read."""

    rules: RulesSource
    roster: RosterSource
    state: NodeState


class Node:
    """All parts of one node, wired together."""

    def __init__(self, cfg: Settings) -> None:
        """Builds every part; `start` opens the listeners.

        Raises:
            OSError: A TLS file can't be read.
        """
        self._cfg = cfg
        # Before any actor runs, since a missing file must end the process.
        self._tls = _Contexts(
            tls.server_context(cfg.caller_tls),
            tls.server_context(cfg.operator_tls),
            tls.server_context(cfg.peer_tls, asks_certificate=True),
            tls.client_context(cfg.peer_tls),
        )
        self.ref = NodeRef(cfg.vm, new_incarnation())
        self._views = _Views(RulesSource(), RosterSource(), NodeState())
        self._trail = Trail()
        self._stopping = threading.Event()
        self._build_platform()
        self._build_agreement()
        self._build_work()
        self._build_faces()

    def _build_platform(self) -> None:
        cfg = self._cfg
        counters = PlatformCounters(REGISTRY)
        read_s = cfg.timing.log_poll_s + cfg.timing.connect_timeout_s
        log_cfg = ClientConfig(
            cfg.log_urls, cfg.timing.connect_timeout_s, read_s
        )
        self._log = HttpLog(log_cfg, counters)
        self._vms = HttpVmList(ClientConfig(cfg.vm_list_urls), counters)

    def _build_agreement(self) -> None:
        """Builds what nodes agree on: link, roster, rules and staleness."""
        cfg = self._cfg
        roster = self._views.roster
        host, _, port = cfg.peer_listen.partition(":")
        keys = tuple(key.secret.encode() for key in cfg.peer_keys)
        self._link = WebsocketLink(
            roster_link_options(
                self.ref, host, int(port), roster, REGISTRY
            )._replace(
                keys=PeerKeys(keys),
                server_tls=self._tls.peer_server,
                client_tls=self._tls.peer_client,
            )
        )
        self._membership = Membership(self._info(), self._log, roster)
        timing = cfg.timing
        self._peers = Peers(
            PeersOptions(
                GossipOptions(
                    own=self.ref,
                    seeds=cfg.seeds,
                    gossip_s=timing.heartbeat_s,
                    staleness=StalenessOptions(
                        stale_after_s=timing.stale_after_s,
                        heard_within_s=timing.stale_after_s,
                    ),
                ),
                WatcherOptions(own=self.ref),
            ),
            PeersParts(
                link=self._link,
                roster=roster,
                membership=self._membership,
                vms=self._vms,
                surroundings=_Surroundings(self),
                registry=REGISTRY,
            ),
        )
        self.rules_service = RulesService(
            RulesOptions(NodeConfig(self.ref), log_wait_s=timing.log_poll_s),
            RulesParts(
                log=self._log,
                link=self._link,
                source=self._views.rules,
                roster=roster,
                folds={ROSTER_FOLD: RosterFold(roster)},
                live_peers=self._live_peers,
                on_tail_proof=self._peers.on_tail_proof,
                on_folded=lambda: None,
                registry=REGISTRY,
            ),
        )

    def _build_work(self) -> None:
        """Builds what carries generations and calls."""
        cfg = self._cfg
        rules = self._views.rules
        control = EngineControl()
        self._gate = KeeperGate(
            self.ref,
            rules,
            self._views.roster,
            self._link,
            _Canceller(rules, control),
            tally=Tally(REGISTRY),
        )
        self._restrictions = Restrictions(
            rules, lambda vm: self._peers.view().marks.is_leaving(vm)
        )
        # A report names the engine's incarnation, the list that of the VM.
        self._load_poller = LoadPoller(
            rules,
            self._gate.kept_servers,
            self._gate.load,
            lambda vm, _: self._mark_leaving(vm, None),
        )
        self._relay = Relay()
        self._cleaner = Cleaner(self._gate, rules, control)
        self._generations = GenerationParts(
            ref=self.ref,
            rules=rules,
            restrictions=self._restrictions,
            may_dispatch=self._peers.guard.may_dispatch,
            gate=self._gate,
            relay=self._relay,
            cleaner=self._cleaner,
            placement=LeastLoadedPlacement(),
            budget=RetryBudget(),
            mark_leaving=self._mark_leaving,
            ticket_keys=cfg.ticket_keys,
            timing=cfg.timing,
            trail=self._trail,
        )
        self._desk = ClaimDesk(
            DeskParts(self.ref, self._log, self._link, self._views.roster)
        )
        self._refusals = RefusalDesk(
            self.ref, self._log, self._link, self._views.roster
        )
        self._roll_up = RollUpThread(
            self.ref, self._log, self._views.roster, RollUpCfg()
        )
        self._calls = CallService(
            CallParts(
                rules=rules,
                gate=self._gate,
                claims=self._desk,
                dispatcher=HttpDispatcher(),
                is_open=self._restrictions.is_open,
                may_dispatch=self._peers.guard.may_dispatch,
                budget=RetryBudget(),
                mark_leaving=lambda vm, _: self._mark_leaving(vm, None),
            )
        )

    def _build_faces(self) -> None:
        cfg = self._cfg
        bounds = cfg.bounds
        views = self._views
        callers = CallerFace(
            CallerParts(
                state=views.state,
                rules=views.rules,
                roster=views.roster,
                completions=Completions(
                    self._generations, bounds.stream_buffer_bytes
                ),
                calls=self._calls,
                refusals=self._refusals,
                own_address=cfg.caller_listen,
                max_in_flight=bounds.caller_threads,
                request_timeout_s=cfg.timing.request_timeout_s,
                entry_ttl_s=cfg.timing.entry_ttl_s,
                trail=self._trail,
            )
        )
        operators = OperatorFace(
            OperatorParts(
                is_ready=self.is_ready,
                status=self.status,
                submit_order=self.rules_service.submit,
                order_state=self.rules_service.order_state,
                report=lambda wanted: answer_report(self._log, wanted),
                trail=self._trail,
                keys=cfg.operator_keys,
            )
        )
        base = ServerOptions(
            name="callers",
            address=cfg.caller_listen,
            threads=bounds.caller_threads + bounds.caller_backlog,
            body_bytes=bounds.body_bytes,
            header_bytes=bounds.header_bytes,
            request_read_s=bounds.request_read_s,
            tls=self._tls.callers,
        )
        self._callers = HttpListener(base, callers.handle)
        self._operators = HttpListener(
            base._replace(
                name="operators",
                address=cfg.operator_listen,
                threads=bounds.operator_threads,
                tls=self._tls.operators,
            ),
            operators.handle,
        )

    def start(self) -> Result[None, str]:
        """Opens the listeners and starts every thread.

        Returns:
            The cause if a listener can't be opened.
        """
        for listener, address in (
            (self._operators, self._cfg.operator_listen),
            (self._callers, self._cfg.caller_listen),
        ):
            cause = listener.start()
            if cause is not None:
                return Failure(f"{address}: {cause}")
        linked = self._link.start()
        if isinstance(linked, Failure):
            return Failure(f"{self._cfg.peer_listen}: {linked.failure()}")
        self._relay.start()
        self._cleaner.start()
        self.rules_service.start()
        self._peers.start()
        self._load_poller.start()
        self._desk.start()
        self._refusals.start()
        self._roll_up.start()
        IN_FLIGHT.set_function(self._views.state.in_flight)
        log.info("started", incarnation=self.ref.incarnation)
        return Success(None)

    def serve(self) -> None:
        """Joins the roster and serves until `begin_shutdown`."""
        while not self._stopping.is_set():
            joined = self._membership.join(JOIN_TIMEOUT_S)
            if isinstance(joined, Success):
                break
            log.warning("not on the roster yet", cause=joined.failure())
            self._stopping.wait(JOIN_RETRY_S)
        while not self._stopping.is_set() and not self._may_serve():
            self._stopping.wait(POLL_S)
        if not self._stopping.is_set():
            self._views.state.enter(Phase.SERVING)
            log.info("serving", rules=self._views.rules.current().version)
        self._stopping.wait()

    def begin_shutdown(self) -> None:
        """Ends `serve`; safe in a signal handler."""
        self._stopping.set()

    def drain(self) -> None:
        """Leaves the roster without cutting a request short."""
        state = self._views.state
        state.enter(Phase.LEAVING)
        began = self._membership.begin_leave(JOIN_TIMEOUT_S)
        log.info("leaving", on_roster=isinstance(began, Success))
        time.sleep(self._cfg.timing.entry_ttl_s)
        state.enter(Phase.DRAINING)
        is_idle = state.wait_idle(self._cfg.timing.drain_s or None)
        log.info("drained", whole=is_idle)
        _wait_for(lambda: self._cleaner.pending() == 0, FLUSH_TIMEOUT_S)
        self._desk.flush(FLUSH_TIMEOUT_S)
        self._refusals.flush(FLUSH_TIMEOUT_S)
        _wait_for(lambda: not self._gate.kept_servers(), SHARES_TIMEOUT_S)
        self._membership.end_leave(JOIN_TIMEOUT_S)

    def stop(self) -> None:
        """Ends every thread; streams still running end with an error."""
        self._membership.cancel()
        self._relay.stop()
        self._callers.stop()
        self._cleaner.stop()
        self._roll_up.stop()
        self._refusals.stop()
        self._desk.stop()
        self._load_poller.stop()
        self._gate.stop()
        self._peers.stop()
        self.rules_service.stop()
        self._link.stop()
        self._operators.stop()
        log.info("stopped")

    def is_ready(self) -> bool:
        """Returns True while the node takes new work."""
        is_serving = self._views.state.phase is Phase.SERVING
        return is_serving and self._may_serve()

    def status(self) -> Mapping[str, object]:
        """Returns what `savorylift status` shows."""
        rules = self._views.rules.current()
        members = self._views.roster.current().members.values()
        peers = self._peers.status()
        permits = self._gate.status()
        return {
            "vm": self.ref.vm,
            "incarnation": self.ref.incarnation,
            "phase": self._views.state.phase.value,
            "in_flight": self._views.state.in_flight(),
            "rules_version": rules.version,
            "rules_offset": rules.offset,
            "out_of_service": [
                order._asdict() for order in rules.out_of_service.values()
            ],
            "members": [
                {
                    "vm": member.info.ref.vm,
                    "operator_address": member.info.operator_address,
                    "leaving": member.leaving,
                }
                for member in members
            ],
            "peers": peers._asdict()
            | {"nodes": [item._asdict() for item in peers.nodes]},
            "permits": permits._asdict()
            | {"servers": [item._asdict() for item in permits.servers]},
        }

    def rules_offset(self) -> int:
        """Returns the newest log offset in force here."""
        return self._views.rules.current().offset

    def load(self) -> tuple[int, ...]:
        """Returns the requests in flight, for the other nodes."""
        return (self._views.state.in_flight(),)

    def _info(self) -> NodeInfo:
        cfg = self._cfg
        return NodeInfo(
            self.ref,
            cfg.failure_domain,
            cfg.caller_listen,
            cfg.peer_listen,
            cfg.operator_listen,
        )

    def _may_serve(self) -> bool:
        return isinstance(self._peers.guard.may_dispatch(), Success)

    def _live_peers(self) -> Sequence[NodeRef]:
        since_s = time.monotonic() - LIVE_PEER_S
        heard = self._peers.view().heard_s
        return [ref for ref, heard_s in heard.items() if heard_s >= since_s]

    def _mark_leaving(self, vm: str, incarnation: str | None) -> None:
        self._peers.mark_leaving(vm, incarnation or "")


class _Surroundings:
    """What the peers slice asks of the rest of a node."""

    def __init__(self, node: Node) -> None:
        self._node = node

    def rules_offset(self) -> int:
        return self._node.rules_offset()

    def load(self) -> tuple[int, ...]:
        return self._node.load()

    def on_peer_offset(self, node: NodeRef, offset: int) -> None:
        self._node.rules_service.on_peer_offset(node, offset)


class _Canceller:
    """Ends a lost holder's work for the permits slice."""

    def __init__(self, rules: RulesSource, control: EngineControl) -> None:
        self._rules = rules
        self._control = control

    def cancel(self, backend_server: str, stream_id: str) -> Result[None, str]:
        server = self._rules.current().backend_servers.get(backend_server)
        if server is None:
            return Success(None)
        if server.model is None:
            return Failure("a plain service's call can't be cancelled")
        cancelled = self._control.cancel(server.address, stream_id)
        return cancelled.map(lambda _: None)


def _wait_for(condition: Callable[[], bool], timeout_s: float) -> bool:
    deadline_s = time.monotonic() + timeout_s
    while not condition():
        if time.monotonic() >= deadline_s:
            return False
        time.sleep(POLL_S)
    return True
