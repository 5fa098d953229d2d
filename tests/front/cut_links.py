"""Cuts the links between single nodes of this process and servers."""

import asyncio
import contextvars
import enum
import importlib.util
from collections.abc import Iterator

import pytest

from savorylift.wire.channel import Channel
from savorylift.wire.connecting import connect
from savorylift.wire.listener import Listener
from savorylift.wire.purpose import Purpose
from savorylift.wire.request_input import InputLimits
from savorylift.wire.server_connection import ServerConnection

# Address of the node that the current task belongs to; empty for a test.
current_node: contextvars.ContextVar[str] = contextvars.ContextVar(
    "current_node", default=""
)
# Modules that open connections.
CONNECTING_MODULES = (
    "savorylift.exchange.server_opener",
    "savorylift.processes.server_contact",
    "savorylift.processes.idle_connections",
    "savorylift.exchange.reach_probe",
    "savorylift.wire.client_call",
)


class Cut(enum.Enum):
    """What becomes of a connection over a link that is cut.

    Attributes:
        SILENT: Nothing answers.
        REFUSED: It is refused.
        RESET: It is reset once a request was sent.
        HANGING: It is accepted, and nothing more is heard.
    """

    SILENT = "silent"
    REFUSED = "refused"
    RESET = "reset"
    HANGING = "hanging"


class CutLinks:
    """The links that are cut, by node.

    Attributes:
        server_ports: Ports of the servers.
        attempts: Number of connections tried over a cut link.
    """

    def __init__(self, monkeypatch: pytest.MonkeyPatch) -> None:
        self._cuts: dict[str, tuple[Cut, frozenset[int]]] = {}
        self.attempts = 0
        self._ports: dict[Cut, int] = {}
        for module in CONNECTING_MODULES:
            if importlib.util.find_spec(module) is not None:
                monkeypatch.setattr(f"{module}.connect", self._connect)

    async def start(self, reset_port: int, hole_port: int) -> None:
        """Starts the servers that stand behind cut links."""
        await Listener(_reset, InputLimits).start("127.0.0.1", reset_port)
        await Listener(_ignore, InputLimits).start("127.0.0.1", hole_port)
        self._ports = {Cut.RESET: reset_port, Cut.HANGING: hole_port}

    def cut(self, ip: str, how: Cut, ports: Iterator[int]) -> None:
        """Cuts a node off from the servers with some ports."""
        self._cuts[ip] = how, frozenset(ports)

    def heal(self) -> None:
        """Heals all links."""
        self._cuts.clear()

    async def _connect(
        self,
        host: str,
        port: int,
        timeout_s: float,
        purpose: Purpose = Purpose.OTHER,
    ) -> Channel:
        how, ports = self._cuts.get(current_node.get(), (None, frozenset()))
        if how is None or port not in ports:
            return await connect(host, port, timeout_s, purpose)
        self.attempts += 1
        if how is Cut.SILENT:
            await asyncio.sleep(timeout_s)
            raise TimeoutError
        if how is Cut.REFUSED:
            raise ConnectionRefusedError
        return await connect(host, self._ports[how], timeout_s, purpose)


async def _reset(conn: ServerConnection) -> None:
    await conn.next_request()
    conn.channel.reset_on_close()


async def _ignore(conn: ServerConnection) -> None:
    await conn.channel.peer_closed.wait()
