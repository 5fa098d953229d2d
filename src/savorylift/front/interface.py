"""What a node speaks with callers, servers and operators, by its settings.

Each interface is imported only where it is used: memory is dear.
"""

from collections.abc import Callable, Sequence
from typing import NamedTuple, Protocol

from savorylift.backends.registry import Registry
from savorylift.exchange.codec import Codec
from savorylift.fleet.knowledge import Decoders
from savorylift.front.settings import FrontSettings
from savorylift.platform.backend_servers import decode_server
from savorylift.wire.message import Request, Response


class LoadWatch(Protocol):
    """Asks backend servers how they are."""

    async def run(self) -> None:
        """Asks for ever."""
        ...


Resolve = Callable[[], Sequence[str]]


class Interface(NamedTuple):
    """One interface.

    Attributes:
        codec: Form of requests, answers and streams.
        topic: Topic of the store that operators write.
        decoders: Form of the operators' and servers' records.
        local_answer: Answers requests for the node itself; None for others.
        make_load_watch: Makes what asks servers that write no entries.
    """

    codec: Codec
    topic: str
    decoders: Decoders
    local_answer: Callable[[Request, Resolve], Response | None]
    make_load_watch: Callable[[Registry, Callable[[], None]], LoadWatch | None]


def choose_interface(cfg: FrontSettings, ttl_s: float) -> Interface:
    """Returns the interface that the settings name.

    Args:
        cfg: The settings.
        ttl_s: How long callers may keep an answer about where to connect.
    """
    if cfg.interface == "completions":
        return _completions(ttl_s)
    return _platform()


def _platform() -> Interface:
    from savorylift.platform import configuration
    from savorylift.platform.ingress import PlatformCodec
    from savorylift.platform.store import OPERATORS

    decoders = Decoders(
        configuration.decode_configuration,
        decode_server,
        configuration.CONFIGURATION_KEY,
        configuration.EVACUATION_PREFIX,
    )
    return Interface(
        PlatformCodec(),
        OPERATORS,
        decoders,
        lambda _req, _resolve: None,
        lambda _registry, _changed: None,
    )


def _completions(ttl_s: float) -> Interface:
    from savorylift.completions import load_watch
    from savorylift.completions.codec import CompletionCodec, entry_answer
    from savorylift.platform.store import RULES
    from savorylift.rules import publication

    decoders = Decoders(
        publication.decode_configuration,
        decode_server,
        publication.RULES_KEY,
        publication.OUT_PREFIX,
    )
    return Interface(
        CompletionCodec(),
        RULES,
        decoders,
        lambda req, resolve: entry_answer(req, resolve, ttl_s),
        load_watch.LoadWatch,
    )
