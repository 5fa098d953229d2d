"""The parts of a node that decide on backend servers and send to them."""

import time
from collections.abc import Callable
from functools import partial
from typing import NamedTuple

from savorylift.backends.registry import BackendServer
from savorylift.backends.request_quarantine import RequestQuarantine
from savorylift.exchange.crash_guard import CrashGuard
from savorylift.exchange.notice_recorder import NoticeRecorder, NoticeSource
from savorylift.exchange.reach_probe import ReachProbe
from savorylift.exchange.request import AnswerHead
from savorylift.exchange.retry_budget import RetryBudget, RetryBudgetOptions
from savorylift.exchange.send import Sender
from savorylift.exchange.server_holds import ServerHolds
from savorylift.exchange.server_notices import ServerNotices
from savorylift.exchange.server_opener import ServerOpener
from savorylift.exchange.server_pool import ServerPool
from savorylift.exchange.server_reach import Probe, ServerReach
from savorylift.fleet.peer_transport import PeerTransport
from savorylift.fleet.version_history import VersionHistory
from savorylift.front.rollout_rules import RolloutRules, make_rollout_rules
from savorylift.front.settings import FrontSettings
from savorylift.front.shared_parts import SharedParts
from savorylift.limits.limit_gate import LimitGate
from savorylift.limits.permit_issuer import PermitIssuer
from savorylift.limits.process_lookup import ProcessLookup, StartReader
from savorylift.platform.engine_client import read_start, read_start_on
from savorylift.processes.process_witness import ProcessWitness
from savorylift.processes.server_check import ServerCheck
from savorylift.processes.server_life import ServerLife
from savorylift.wire.message import ResponseHead

OnHead = Callable[[BackendServer, AnswerHead], None]


class ServerParts(NamedTuple):
    """What decides which server gets a request, and sends it.

    Attributes:
        limit_gate: Holds the limits that servers name.
        pool: Servers to choose from, and the retry budget.
        recorder: Records which servers leave, or want a pause.
        notices: Records what servers say of themselves in answers.
        crash_guard: Stops requests that crash servers.
        check: Finds out whether a server is gone.
        reach: Which services this node doesn't reach.
        version_history: Software versions that have served lately.
        witness: Shows which processes live of servers that don't say it.
        life: Finds out whether a server has started again.
        sender: Sends requests to servers.
        rollouts: Which software versions requests may go to.
    """

    limit_gate: LimitGate
    pool: ServerPool
    recorder: NoticeRecorder
    notices: ServerNotices
    crash_guard: CrashGuard
    check: ServerCheck
    reach: ServerReach
    version_history: VersionHistory
    witness: ProcessWitness
    life: ServerLife
    sender: Sender
    rollouts: RolloutRules


def make_server_parts(
    shared: SharedParts, transport: PeerTransport, on_head: OnHead
) -> ServerParts:
    """Creates the parts; opens no connection.

    Args:
        shared: What all parts have in common.
        transport: Carries messages to the other nodes.
        on_head: Called with each head of an answer and its server.
    """
    holds = ServerHolds(shared.rng)
    recorder = NoticeRecorder(
        shared.store_view.registry, holds, transport.send_soon
    )
    ask_start = partial(read_start, on_notice=recorder.record_at)
    limit_gate = _make_limit_gate(shared, transport, holds, ask_start)
    rollouts = make_rollout_rules(shared.settings)
    pool = _make_pool(shared, transport, holds, limit_gate, rollouts)
    reach = ServerReach(
        pool.servers_in_service,
        _make_reach_probe(shared, holds, limit_gate, recorder),
        transport.send_soon,
        pool.load_tracker.remove_request,
        shared.rng,
    )
    check = ServerCheck(
        limit_gate,
        pool.is_in_service,
        holds.is_held,
        partial(read_start_on, on_notice=recorder.record_at),
    )
    version_history = VersionHistory()
    witness = ProcessWitness(
        shared.store_view.registry.find_entry,
        shared.entries_read_s,
        version_history.has_versions,
        transport.send_soon,
    )
    life = ServerLife(
        limit_gate,
        holds.is_held,
        ask_start,
        version_history.sole_version,
        witness,
        lambda service: version_history.note_unread_process(
            service, time.monotonic()
        ),
    )
    sender = Sender(
        shared.interface.codec,
        limit_gate,
        check,
        ServerOpener(limit_gate, life, reach, pool.may_send),
        reach,
        on_head,
    )
    notices = ServerNotices(recorder, pool.brittle, transport.send_soon)
    crash_guard = CrashGuard(
        RequestQuarantine(shared.identity.ip),
        shared.membership,
        transport.send_soon,
    )
    return ServerParts(
        limit_gate,
        pool,
        recorder,
        notices,
        crash_guard,
        check,
        reach,
        version_history,
        witness,
        life,
        sender,
        rollouts,
    )


def _make_limit_gate(
    shared: SharedParts,
    transport: PeerTransport,
    holds: ServerHolds,
    ask_start: StartReader,
) -> LimitGate:
    membership, registry = shared.membership, shared.store_view.registry
    issuer = PermitIssuer(
        shared.identity.ip,
        membership,
        lambda: shared.lifecycle.is_leaving,
        shared.rng,
    )
    processes = ProcessLookup(
        issuer, registry.find_entry, holds.is_held, ask_start
    )
    return LimitGate(
        issuer,
        transport.send_message,
        lambda: membership.count_sharing_nodes(time.monotonic()),
        lambda: transport.message_interval_s,
        registry.is_registered,
        processes,
        shared.rng,
    )


def _make_pool(
    shared: SharedParts,
    transport: PeerTransport,
    holds: ServerHolds,
    limit_gate: LimitGate,
    rollouts: RolloutRules,
) -> ServerPool:
    return ServerPool(
        shared.store_view,
        shared.membership,
        _make_retry_budget(shared.settings),
        shared.rng,
        transport.send_soon,
        lambda: transport.message_interval_s,
        shared.settings.regions,
        limit_gate,
        holds,
        rollouts.board,
        rollouts.answers,
        transport.send_load_soon,
        uses_speeds=shared.settings.uses_server_speeds,
    )


def _make_retry_budget(settings: FrontSettings) -> RetryBudget:
    return RetryBudget(
        RetryBudgetOptions(
            settings.retry_ratio,
            settings.retry_window_s,
            settings.retry_slack,
        )
    )


def _make_reach_probe(
    shared: SharedParts,
    holds: ServerHolds,
    limit_gate: LimitGate,
    recorder: NoticeRecorder,
) -> Probe:
    """Returns what asks a server for a sign of life, unless it is on hold."""
    codec = shared.interface.codec

    def record_head(server: BackendServer, head: ResponseHead) -> None:
        notice = codec.decode_notice(head)
        recorder.record(server, notice, NoticeSource.CHECK)

    probe = ReachProbe(limit_gate, record_head)

    async def ask(server: BackendServer) -> bool | None:
        if holds.is_held(server.entry.server_id):
            return None
        service = shared.find_service(server.entry.service)
        health_path = None if service is None else service.health_path
        return await probe.ask(server, health_path)

    return ask
