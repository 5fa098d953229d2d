"""The parts of a node that serve callers."""

import functools
import time
from typing import NamedTuple

from savorylift.exchange import metrics
from savorylift.exchange.generation import GenerationDispatcher
from savorylift.exchange.plain_call import PlainCallDispatcher
from savorylift.fleet.store_view import StoreView
from savorylift.fleet.transport_sources import StateBuilder
from savorylift.front.caller_directory import CallerDirectory
from savorylift.front.caller_handler import CallerHandler
from savorylift.front.memory_shares import share_memory
from savorylift.front.node_relay import NodeRelay
from savorylift.front.request_handler import (
    RequestHandler,
    RequestHandlerOptions,
)
from savorylift.front.responder import Responder
from savorylift.front.server_parts import ServerParts
from savorylift.front.shared_parts import SharedParts
from savorylift.refusals.counts import RefusalCounts
from savorylift.refusals.writer import RefusalWriter
from savorylift.wire import metrics as wire_metrics
from savorylift.wire.body_admission import BodyAdmission
from savorylift.wire.body_budget import BodyBudget
from savorylift.wire.buffer_budget import RESPONSE_BUFFERS
from savorylift.wire.message import Headers

BYTES_PER_MB = 1_000_000


class CallerParts(NamedTuple):
    """What answers callers.

    Attributes:
        directory: Tells callers where to connect.
        admission: Decides when a body may be read.
        handler: Serves their connections.
        refusal_writer: Writes counts of refusals to the store.
    """

    directory: CallerDirectory
    admission: BodyAdmission
    handler: CallerHandler
    refusal_writer: RefusalWriter


def make_caller_parts(
    shared: SharedParts,
    servers: ServerParts,
    generations: GenerationDispatcher,
    make_state: StateBuilder,
) -> CallerParts:
    """Creates the parts; opens no socket.

    Args:
        shared: What all parts have in common.
        servers: The parts that decide on servers.
        generations: Serves streams.
        make_state: Builds the state of this node.
    """
    directory = CallerDirectory(
        shared.membership, shared.store_view, make_state, shared.entry_ttl_s
    )
    admission = _make_admission(shared)
    metrics.BODY_BYTES.set_function(lambda: admission.budget.held_bytes)
    wire_metrics.RESPONSE_BUFFER_BYTES.set_function(
        lambda: RESPONSE_BUFFERS.in_use
    )
    counts = RefusalCounts(shared.identity.vm, shared.identity.incarnation)
    handler = _make_handler(shared, servers, generations, directory, counts)
    refusal_writer = RefusalWriter(
        shared.store,
        counts,
        lambda: shared.membership.count_live_nodes(time.monotonic()),
    )
    return CallerParts(directory, admission, handler, refusal_writer)


def _make_admission(shared: SharedParts) -> BodyAdmission:
    memory_bytes = shared.settings.memory_mb * BYTES_PER_MB
    budget = BodyBudget(
        share_memory(memory_bytes).bodies,
        copies=shared.interface.body_copies,
        on_held=metrics.BODIES_HELD.inc,
        on_closed=wire_metrics.UPLOADS_CLOSED.inc,
    )
    return BodyAdmission(
        budget,
        shared.interface.codec.decode_time_left,
        metrics.ANSWERS_CUT.inc,
        functools.partial(
            _find_team, shared.store_view, shared.interface.codec.team_header
        ),
    )


def _find_team(store_view: StoreView, header: str, headers: Headers) -> str:
    """Returns the name of a caller's team; empty if it isn't known.

    Args:
        store_view: Holds the configuration.
        header: Name of the header with the key of the team.
        headers: Headers of the caller's request.
    """
    cfg = store_view.configuration
    if cfg is None or cfg.teams_by_key is None:
        return ""
    key = next((value for name, value in headers if name == header), "")
    team = cfg.teams_by_key.get(key)
    return "" if team is None else team.name


def _make_handler(
    shared: SharedParts,
    servers: ServerParts,
    generations: GenerationDispatcher,
    directory: CallerDirectory,
    counts: RefusalCounts,
) -> CallerHandler:
    settings, interface = shared.settings, shared.interface
    relay = NodeRelay(
        settings.peer_port,
        shared.membership,
        servers.reach,
        interface.codec,
        shared.rng,
    )
    responder = Responder(counts, shared.store_view, interface.codec)
    requests = RequestHandler(
        responder,
        shared.store_view,
        servers.pool,
        PlainCallDispatcher(servers.pool, servers.sender, servers.crash_guard),
        generations,
        interface.codec,
        shared.lifecycle,
        relay,
        RequestHandlerOptions(settings.request_timeout_s, settings.most_open),
    )
    return CallerHandler(
        responder,
        requests,
        interface.codec,
        shared.lifecycle,
        lambda req: interface.answer_locally(req, directory.all_addresses),
    )
