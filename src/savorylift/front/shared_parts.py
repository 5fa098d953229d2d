"""The parts of a node that all others share."""

import random
import time
from typing import NamedTuple

from savorylift.fleet.membership import Membership
from savorylift.fleet.pulse_messages import PULSE_LEVEL
from savorylift.fleet.reader_choice import servers_reading_age_s
from savorylift.fleet.store_view import StoreView
from savorylift.front.caller_directory import MAX_ENTRY_TTL_S
from savorylift.front.interface import Interface, choose_interface
from savorylift.front.lifecycle import Lifecycle
from savorylift.front.settings import FrontSettings
from savorylift.front.state_reporter import NodeIdentity
from savorylift.platform.store import StoreClient, era_of
from savorylift.routing.configuration import Service
from savorylift.wire.address import split_address

INCARNATION_BITS = 48


class SharedParts(NamedTuple):
    """What the parts of a node have in common.

    Attributes:
        settings: Settings that the node has started with.
        identity: Which node this is.
        rng: Source of random choices.
        interface: The parts that depend on the protocol for callers.
        entry_ttl_s: For how long callers may keep addresses of nodes.
        lifecycle: Whether the node is draining, and its open requests.
        membership: The other nodes.
        store_view: What is known of the store.
        store: Client of the store.
    """

    settings: FrontSettings
    identity: NodeIdentity
    rng: random.Random
    interface: Interface
    entry_ttl_s: float
    lifecycle: Lifecycle
    membership: Membership
    store_view: StoreView
    store: StoreClient

    def find_service(self, name: str) -> Service | None:
        """Returns a configured service by its name."""
        cfg = self.store_view.configuration
        return None if cfg is None else cfg.services.get(name)

    def entries_read_s(self) -> float | None:
        """Returns when a node last read the servers' entries.

        A monotonic time; None if this node hasn't, and has heard of none.
        """
        now_s = time.monotonic()
        age_s = servers_reading_age_s(self.membership, now_s)
        times_s = (
            self.store_view.servers_read_s,
            None if age_s is None else now_s - age_s,
        )
        return max((t for t in times_s if t is not None), default=None)

    def store_era(self) -> int:
        """Returns how often the store has come back from a copy."""
        return era_of(self.store_view.servers_version[0])


def make_shared_parts(settings: FrontSettings) -> SharedParts:
    """Creates the parts; opens no connection."""
    identity = _make_identity(settings)
    entry_ttl_s = min(MAX_ENTRY_TTL_S, settings.entry_ttl_max_s)
    interface = choose_interface(settings, entry_ttl_s)
    seeds = [split_address(seed)[0] for seed in settings.seeds]
    return SharedParts(
        settings,
        identity,
        random.Random(identity.incarnation),
        interface,
        entry_ttl_s,
        Lifecycle(settings.grace_period_s),
        Membership(identity.ip, seeds),
        StoreView(interface.decoders),
        StoreClient(split_address(settings.store)),
    )


def _make_identity(settings: FrontSettings) -> NodeIdentity:
    ip, _ = split_address(settings.caller_listen)
    return NodeIdentity(
        settings.vm,
        ip,
        settings.region,
        settings.failure_domain,
        settings.caller_listen,
        random.getrandbits(INCARNATION_BITS),
        PULSE_LEVEL if settings.peer_pulses else 0,
    )
