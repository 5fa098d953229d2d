"""Asks the servers that a rules file names how they are.

They write no entries in the store, so a node learns from themselves whether
they are cold or leaving.
"""

import asyncio
from collections.abc import Callable

import msgspec
import structlog

from savorylift.backends.registry import Registry
from savorylift.backends.server import ServerEntry
from savorylift.wire.client_call import BrokenAnswerError, fetch

LOAD_PATH = "/v1/load"
ASK_S = 0.5
ANSWER_S = 0.4

_log = structlog.get_logger()


class _Load(msgspec.Struct):
    cold: bool
    leaving: bool


class LoadWatch:
    """Keeps what is believed of fixed servers up to date."""

    def __init__(self, registry: Registry, changed: Callable[[], None]) -> None:
        """Writes to `registry` and calls `changed` after news."""
        self._registry = registry
        self._changed = changed

    async def run(self) -> None:
        """Asks for ever."""
        while True:
            await asyncio.gather(*map(self._ask, self._registry.fixed))
            await asyncio.sleep(ASK_S)

    async def _ask(self, entry: ServerEntry) -> None:
        try:
            answer = await fetch(
                entry.address,
                "GET",
                LOAD_PATH,
                timeout_s=ANSWER_S,
                connect_s=ANSWER_S,
            )
            load = msgspec.json.decode(answer.body, type=_Load)
        except (OSError, BrokenAnswerError, msgspec.MsgspecError) as exc:
            detail = f"{type(exc).__name__}: {exc}"
            _log.info("load_unknown", server=entry.server_id, detail=detail)
            return
        is_news = self._registry.note_report(
            entry.server_id, is_cold=load.cold, is_leaving=load.leaving
        )
        if is_news:
            _log.info(
                "server_changed",
                server=entry.server_id,
                service=entry.service,
                is_leaving=load.leaving,
                is_cold=load.cold,
            )
            self._changed()
