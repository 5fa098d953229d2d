"""Selects the protocol for callers, backend servers and operators.

The modules of an interface are imported only if the settings select it, to
save memory.
"""

from collections.abc import Callable, Mapping, Sequence
from typing import NamedTuple, Protocol

from savorylift.backends.registry import Registry
from savorylift.exchange.codec import Codec
from savorylift.fleet.rollout_messages import Stage
from savorylift.fleet.store_view import Decoders
from savorylift.front.settings import FrontSettings
from savorylift.guarded import guard
from savorylift.platform.backend_servers import decode_server
from savorylift.platform.store_record import Record
from savorylift.rollouts.order import RolloutOrder
from savorylift.wire.message import Request, Response


class LoadPoller(Protocol):
    """Polls the state of backend servers."""

    async def run(self) -> None:
        """Polls until cancelled."""
        ...


# A prompt is in the request as it came, as it is kept, and as it is sent.
COMPLETION_COPIES = 3

OrderDecoder = Callable[[Mapping[str, bytes]], list[RolloutOrder]]


class RolloutCodec(NamedTuple):
    """Translates what operators write and read of roll-outs.

    Attributes:
        decode_orders: Returns the orders among the operators' records.
        encode_status: Returns the record of the status of a stage.
    """

    decode_orders: OrderDecoder
    encode_status: Callable[[Stage], Record | None]


AddressProvider = Callable[[], Sequence[str]]


class Interface(NamedTuple):
    """The parts of a node that depend on the selected interface.

    Attributes:
        body_copies: How often the body of a request is in memory while it is
            served.
        codec: Encodes and decodes requests, responses and streams.
        topic: Store topic that operators write to.
        decoders: Decode the records of operators and backend servers.
        answer_locally: Answers requests that are for the node itself; returns
            None for all others.
        make_load_poller: Creates the poller for backend servers that write no
            entries to the store; returns None if it is not needed.
        rollouts: Translates orders of roll-outs; None if there are none.
    """

    body_copies: int
    codec: Codec
    topic: str
    decoders: Decoders
    answer_locally: Callable[[Request, AddressProvider], Response | None]
    make_load_poller: Callable[
        [Registry, Callable[[], None]], LoadPoller | None
    ]
    rollouts: RolloutCodec | None = None


def choose_interface(settings: FrontSettings, ttl_s: float) -> Interface:
    """Returns the interface that the settings select.

    Args:
        settings: The settings.
        ttl_s: How long callers may cache the addresses of nodes.
    """
    if settings.interface == "completions":
        return _completions(ttl_s)
    return _platform()


def _platform() -> Interface:
    from savorylift.platform import configuration, rollouts
    from savorylift.platform.codec import PlatformCodec
    from savorylift.platform.store import OPERATORS_TOPIC

    decoders = Decoders(
        guard(configuration.decode_configuration),
        guard(decode_server),
        configuration.CONFIGURATION_KEY,
        configuration.EVACUATION_PREFIX,
    )
    return Interface(
        1,
        PlatformCodec(),
        OPERATORS_TOPIC,
        decoders,
        lambda _req, _get_addresses: None,
        lambda _registry, _on_change: None,
        RolloutCodec(rollouts.decode_orders, rollouts.encode_status),
    )


def _completions(ttl_s: float) -> Interface:
    from savorylift.completions import load_poller
    from savorylift.completions.codec import CompletionCodec, entry_response
    from savorylift.platform.store import RULES_TOPIC
    from savorylift.rules import publication

    decoders = Decoders(
        guard(publication.decode_configuration),
        guard(decode_server),
        publication.RULES_KEY,
        publication.OUT_OF_SERVICE_PREFIX,
    )
    return Interface(
        COMPLETION_COPIES,
        CompletionCodec(),
        RULES_TOPIC,
        decoders,
        lambda req, get_addresses: entry_response(req, get_addresses, ttl_s),
        load_poller.LoadPoller,
    )
