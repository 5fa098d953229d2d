"""Asks servers that started again whether they leave, as they said before.

A notice may be that of the process that ended, or of the one that an entry
names since. Such a server stays closed until it has said which it is.
"""

import asyncio
import enum
import time
from collections.abc import Callable, Coroutine

import structlog

from savorylift.backends.registry import Registry
from savorylift.exchange import metrics
from savorylift.processes.server_life import ServerLife

# A server that says nothing, or can't be asked, opens after this time.
MAX_CLOSED_S = 10.0
# Longest wait for a permit.
MAX_PERMIT_WAIT_S = 1.0
FIRST_PAUSE_S = 0.05
MAX_PAUSE_S = 0.5
# What the questions are called in logs.
REQUEST = "successor"

_log = structlog.get_logger()


class Answer(enum.StrEnum):
    """What became of a question.

    Attributes:
        LEAVES: The process of the entry leaves.
        STAYS: It doesn't.
        NONE: Nothing has told them apart.
        GONE: The server's entry is gone.
    """

    LEAVES = "leaves"
    STAYS = "stays"
    NONE = "none"
    GONE = "gone"


class SuccessorCheck:
    """Asks each server that is in doubt, one question at a time."""

    def __init__(
        self,
        registry: Registry,
        life: ServerLife,
        is_held: Callable[[str], bool],
        spawn: Callable[[Coroutine[object, object, None]], None],
        on_change: Callable[[], None],
    ) -> None:
        """Asks nobody yet.

        Args:
            registry: Knows which servers are in doubt. What they answer is
                recorded there as they are asked.
            life: Asks a server.
            is_held: Returns whether a server, given by its ID, wants no
                requests.
            spawn: Runs a coroutine in the background.
            on_change: Called once a server is in doubt no more.
        """
        self._registry = registry
        self._life = life
        self._is_held = is_held
        self._spawn = spawn
        self._on_change = on_change
        self._asking: set[str] = set()

    def update(self) -> None:
        """Begins to ask; to be called on changes, and periodically."""
        for server_id in self._registry.ids_in_doubt():
            if server_id not in self._asking:
                self._asking.add(server_id)
                self._spawn(self._resolve(server_id))

    async def _resolve(self, server_id: str) -> None:
        began_s = time.monotonic()
        try:
            answer = await self._ask_until_known(server_id)
        finally:
            self._asking.discard(server_id)
        metrics.SUCCESSOR_CHECKS.labels(answer.value).inc()
        entry = self._registry.find_entry(server_id)
        _log.info(
            "server_successor",
            server=server_id,
            start_ms=None if entry is None else entry.started_ms,
            outcome=answer.value,
            took_ms=round((time.monotonic() - began_s) * 1000),
        )
        self._on_change()

    async def _ask_until_known(self, server_id: str) -> Answer:
        pause_s = FIRST_PAUSE_S
        open_at_s = time.monotonic() + MAX_CLOSED_S
        while True:
            await self._ask(server_id)
            answer = self._find_answer(server_id)
            if answer is not Answer.NONE:
                return answer
            if self._is_held(server_id):
                open_at_s = time.monotonic() + MAX_CLOSED_S
            elif time.monotonic() >= open_at_s:
                self._registry.clear_leaving(server_id)
                return Answer.NONE
            await asyncio.sleep(pause_s)
            pause_s = min(2 * pause_s, MAX_PAUSE_S)

    async def _ask(self, server_id: str) -> None:
        """Asks a server; what it answers is recorded in the registry."""
        server = self._registry.servers.get(server_id)
        if server is not None:
            await self._life.check(
                server,
                REQUEST,
                MAX_PERMIT_WAIT_S,
                is_probe=False,
                must_ask=True,
            )

    def _find_answer(self, server_id: str) -> Answer:
        if self._registry.is_in_doubt(server_id):
            return Answer.NONE
        entry = self._registry.find_entry(server_id)
        if entry is None:
            return Answer.GONE
        return Answer.LEAVES if entry.is_leaving else Answer.STAYS
