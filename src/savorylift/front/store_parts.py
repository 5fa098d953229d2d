"""The parts of a node that follow the store and write to it."""

import time
from collections.abc import Callable
from typing import NamedTuple

from savorylift.backends.registry import BackendServer
from savorylift.exchange.drain_poller import DrainPoller
from savorylift.exchange.generation import GenerationDispatcher
from savorylift.fleet.answering_span import told_spans
from savorylift.fleet.peer_transport import PeerTransport
from savorylift.fleet.read_policy import ReadPolicy
from savorylift.fleet.reader_choice import (
    reading_age_s,
    servers_reading_age_s,
)
from savorylift.fleet.registration import Registration
from savorylift.fleet.store_reader import StoreReader
from savorylift.fleet.store_records import Delta
from savorylift.fleet.version_recorder import VersionRecorder
from savorylift.front.interface import LoadPoller
from savorylift.front.server_parts import ServerParts
from savorylift.front.shared_parts import SharedParts
from savorylift.platform.store_record import Record

# A node that starts waits so long for others before it reads the records of
# software versions: by then it hears the writers if one of its seeds is live.
VERSIONS_HEARING_S = 1.0


class StoreParts(NamedTuple):
    """What reads the store, or servers in its place, and writes to it.

    Attributes:
        reader: Reads the topics.
        drain_poller: Asks engines while the store is away.
        load_poller: Asks servers that write no entries; None if there are
            none.
        version_recorder: Writes which software versions have served.
        registration: Writes this node's address, and finds other nodes.
    """

    reader: StoreReader
    drain_poller: DrainPoller
    load_poller: LoadPoller | None
    version_recorder: VersionRecorder
    registration: Registration


class ReaderRole(NamedTuple):
    """Whether this node is one of the store's readers.

    Attributes:
        is_reader: Finds out whether it is one.
        was_reader: Returns whether it was one when last asked.
        was_first: Returns whether it was the first of them then.
    """

    is_reader: Callable[[], bool]
    was_reader: Callable[[], bool]
    was_first: Callable[[], bool]


def make_store_parts(
    shared: SharedParts,
    servers: ServerParts,
    generations: GenerationDispatcher,
    transport: PeerTransport,
    role: ReaderRole,
    on_change: Callable[[Delta | None], None],
) -> StoreParts:
    """Creates the parts; opens no connection.

    Args:
        shared: What all parts have in common.
        servers: The parts that decide on servers.
        generations: Told when servers may have changed.
        transport: Carries messages to the other nodes.
        role: Whether this node reads the store.
        on_change: Called after each change of the store, with the delta to
            send to the other nodes; None after a full listing.
    """
    policy = _make_read_policy(shared, transport, role)
    reader = StoreReader(
        shared.store,
        shared.interface.topic,
        shared.store_view,
        policy,
        on_change,
        transport.send_soon,
        lambda since_s: told_spans(
            shared.membership, time.monotonic(), since_s
        ),
    )
    drain_poller = _make_drain_poller(shared, servers, generations, policy)
    load_poller = shared.interface.make_load_poller(
        shared.store_view.registry, generations.on_change
    )
    version_recorder = _make_version_recorder(shared, servers, role)
    registration = Registration(
        shared.store,
        shared.membership,
        Record(shared.identity.ip, shared.identity.caller_address.encode()),
        role.was_first,
        lambda: transport.send(include_silent=True),
    )
    return StoreParts(
        reader, drain_poller, load_poller, version_recorder, registration
    )


def _make_version_recorder(
    shared: SharedParts, servers: ServerParts, role: ReaderRole
) -> VersionRecorder:
    return VersionRecorder(
        shared.store,
        servers.version_history,
        lambda name: shared.find_service(name) is not None,
        role.was_reader,
        shared.store_era,
        VERSIONS_HEARING_S if shared.membership.addresses else 0.0,
        role.was_first,
    )


def _make_read_policy(
    shared: SharedParts, transport: PeerTransport, role: ReaderRole
) -> ReadPolicy:
    return ReadPolicy(
        role.is_reader,
        lambda: reading_age_s(shared.membership, time.monotonic()),
        lambda: shared.store_view.configuration is None,
        lambda: transport.reader_interval_s,
        is_standby=lambda: role.was_reader() and not role.was_first(),
        peers_servers_age_s=lambda: servers_reading_age_s(
            shared.membership, time.monotonic()
        ),
        count_nodes=lambda: shared.membership.count_live_nodes(
            time.monotonic()
        ),
    )


def _make_drain_poller(
    shared: SharedParts,
    servers: ServerParts,
    generations: GenerationDispatcher,
    policy: ReadPolicy,
) -> DrainPoller:
    def newest_reading_age_s() -> float | None:
        """Returns the age of the newest reading of the servers' entries."""
        read_s = shared.entries_read_s()
        return None if read_s is None else time.monotonic() - read_s

    return DrainPoller(
        shared.store_view.registry,
        servers.limit_gate,
        servers.recorder,
        servers.pool.holds.is_held,
        lambda: policy.notice_slack_s(newest_reading_age_s()),
        lambda: _engines_that_move_runs(shared),
        lambda: [
            peer.state.ip
            for peer in shared.membership.live_peers(time.monotonic())
            if not peer.state.unreached_services
        ],
        shared.identity.ip,
        generations.on_change,
    )


def _engines_that_move_runs(shared: SharedParts) -> list[BackendServer]:
    """Returns the engines whose runs can go on elsewhere."""
    cfg = shared.store_view.configuration
    services = {} if cfg is None else cfg.services
    movable = {
        name
        for name, service in services.items()
        if service.engine is not None and service.engine.can_move
    }
    return [
        server
        for server in shared.store_view.registry.servers.values()
        if server.entry.service in movable
    ]
