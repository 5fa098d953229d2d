"""Opens the sockets of a node, however long their addresses are held."""

import asyncio
import time
from collections.abc import Awaitable, Callable, Iterable, Iterator
from typing import NamedTuple

import structlog

from savorylift.fleet.peer_transport import PeerTransport
from savorylift.front import metrics
from savorylift.front.settings import FrontSettings
from savorylift.front.tasks import BackgroundTasks, record_failure
from savorylift.wire.address import split_address

RETRY_INTERVAL_S = 0.1

_log = structlog.get_logger()


class Opening(NamedTuple):
    """A socket that a node opens when it starts.

    Attributes:
        name: What the socket is for, in logs and metrics.
        open: Opens it; raises OSError while its address is held.
    """

    name: str
    open: Callable[[], Awaitable[None]]

    async def try_open(self) -> bool:
        """Opens the socket, or logs why it can't be opened now."""
        try:
            await self.open()
        except OSError as exc:
            metrics.ADDRESSES_HELD.labels(self.name).inc()
            _log.warning("address_held", socket=self.name, detail=str(exc))
            return False
        except Exception as exc:
            record_failure(f"open {self.name}", exc)
            return False
        return True

    async def keep_trying(self) -> None:
        """Opens the socket as soon as its address is free."""
        began_s = time.monotonic()
        while True:
            await asyncio.sleep(RETRY_INTERVAL_S)
            try:
                await self.open()
            except OSError:
                continue
            waited_ms = round((time.monotonic() - began_s) * 1000)
            _log.info("address_opened", socket=self.name, waited_ms=waited_ms)
            return


def message_openings(
    transport: PeerTransport, settings: FrontSettings, tasks: BackgroundTasks
) -> Iterator[Opening]:
    """Yields how to open the sockets of messages between nodes.

    Args:
        transport: Has these sockets.
        settings: Their addresses.
        tasks: Opens the one that all nodes need again if it is lost.
    """
    ip, _ = split_address(settings.caller_listen)

    async def open_bulk() -> None:
        transport.bulk.open(ip, settings.bulk_port)

    messages = Opening("messages", lambda: transport.start(ip))
    transport.on_lost = lambda: tasks.keep_running(messages.keep_trying)
    yield messages
    if settings.bulk_port:
        yield Opening("bulk_messages", open_bulk)


async def open_all(
    openings: Iterable[Opening], tasks: BackgroundTasks
) -> tuple[str, ...]:
    """Opens sockets in order, and those whose addresses are held later.

    An address may be held by the process before, or by a connection that got
    its port: the node serves what it can meanwhile.

    Args:
        openings: The sockets.
        tasks: Runs the further attempts.

    Returns:
        Names of the sockets that could not be opened yet.
    """
    held = [item for item in openings if not await item.try_open()]
    for opening in held:
        tasks.keep_running(opening.keep_trying)
    return tuple(opening.name for opening in held)
