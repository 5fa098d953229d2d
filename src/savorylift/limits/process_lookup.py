"""Finds out for all nodes when limited servers started.

The node that issues the permits for a server also asks it which process it is.
An answer holds for all requests that were there before the question was sent,
so that the questions of all nodes together take a small part of the limit.
"""

import asyncio
from collections.abc import Awaitable, Callable, Collection
from typing import NamedTuple

import structlog

from savorylift.backends.server import ServerEntry
from savorylift.boot_clock import boot_time_s
from savorylift.limits import metrics
from savorylift.limits.permit_issuer import PermitIssuer

# A caller waits for the rest of its stream meanwhile.
REPORT_TIMEOUT_S = 0.4
# Part of a limit that questions take; more if callers would wait too long for
# the next one, up to the other part.
QUESTION_SHARE = 0.25
MAX_QUESTION_SHARE = 0.5
LONG_WAIT_S = 1.0
# Time between two questions while all streams are sound.
PROBE_INTERVAL_S = 0.5
# After this time without an answer, sound streams wait for a permit too: their
# server may crash, and then nothing shows which process began them.
DUE_S = 1.0
# Longest wait of a question for its permit.
MAX_PERMIT_WAIT_S = 1.0
# Time that a question takes, from its permit to the answer.
ANSWER_S = 0.03
# When a server that wants no requests is worth asking for again.
HELD_WAIT_S = 0.3

_log = structlog.get_logger()

# Returns the Unix time in milliseconds at which the server at an address
# started, given a timeout in seconds; `NO_START` if it doesn't say, `NO_REPORT`
# if it has no report, and None if it doesn't answer.
StartReader = Callable[[tuple[str, int], float], Awaitable[int | None]]


class ProcessAnswer(NamedTuple):
    """What is known of a server's process.

    Attributes:
        started_ms: When it started, as a `StartReader` says; None if that isn't
            known yet.
        is_silent: Whether the server didn't answer this node.
        wait_s: Time after which to ask again, if it isn't known.
    """

    started_ms: int | None
    is_silent: bool = False
    wait_s: float = 0.0


class _Known(NamedTuple):
    """The newest answer of a server.

    Attributes:
        started_ms: The start that it named; None if it didn't answer.
        asked_s: Boot time before the question was sent.
    """

    started_ms: int | None
    asked_s: float


class ProcessLookup:
    """Asks the servers whose permits this node issues."""

    def __init__(
        self,
        issuer: PermitIssuer,
        find_entry: Callable[[str], ServerEntry | None],
        is_held: Callable[[str], bool],
        read_start: StartReader,
    ) -> None:
        """Asks nobody yet.

        Args:
            issuer: Decides on the permits for questions.
            find_entry: Returns the entry of a server by its ID.
            is_held: Returns whether a server wants no requests.
            read_start: Asks a server.
        """
        self._issuer = issuer
        self._find_entry = find_entry
        self._is_held = is_held
        self._read_start = read_start
        self._known: dict[str, _Known] = {}
        # Boot time at which a sound stream first wanted an answer, by server.
        self._wanted_s: dict[str, float] = {}
        self._asking: dict[str, asyncio.Task[None]] = {}
        # Boot time before which no question is sent, by server. One that was
        # not asked before may be asked twice.
        self._next_s: dict[str, float] = {}

    def find(
        self, server_id: str, limit: float, since_s: float, *, is_probe: bool
    ) -> ProcessAnswer:
        """Returns which process has answered since a moment; else asks it.

        Args:
            server_id: The server.
            limit: Limit that it named.
            since_s: Boot time after which the question must be sent.
            is_probe: Whether to use what requests leave, at first.
        """
        known = self._known.get(server_id)
        if known is not None and known.asked_s >= since_s:
            is_silent = known.started_ms is None
            return ProcessAnswer(known.started_ms, is_silent)
        next_s = self._next_s.get(server_id, 0.0)
        if is_probe and known is not None:
            next_s = max(next_s, known.asked_s + PROBE_INTERVAL_S)
        wait_s = next_s - boot_time_s()
        if server_id in self._asking or wait_s > 0:
            return ProcessAnswer(None, wait_s=max(wait_s, 0.0) + ANSWER_S)
        if self._is_held(server_id):
            return ProcessAnswer(None, wait_s=HELD_WAIT_S)
        # Less than the limit while nodes are cut off from this one.
        per_s = self._issuer.own_rate(limit)
        takes_rest = is_probe and not self._is_due(server_id, per_s)
        decision = self._issuer.decide(
            server_id,
            limit,
            0.0 if takes_rest else MAX_PERMIT_WAIT_S,
            is_probe=takes_rest,
        )
        if not decision.is_granted:
            return ProcessAnswer(None, wait_s=decision.wait_s)
        interval_s = _interval_s(per_s)
        next_s = max(
            self._next_s.get(server_id, 0.0), boot_time_s() - interval_s
        )
        self._next_s[server_id] = next_s + interval_s
        self._asking[server_id] = asyncio.get_running_loop().create_task(
            self._ask(server_id, decision.wait_s)
        )
        return ProcessAnswer(None, wait_s=decision.wait_s + ANSWER_S)

    def record(
        self, server_id: str, started_ms: int | None, asked_s: float
    ) -> None:
        """Records what a server has answered this node, if it is the newest.

        Args:
            server_id: The server.
            started_ms: The start that it named, as a `StartReader` says.
            asked_s: Boot time before the question was sent.
        """
        known = self._known.get(server_id)
        if known is None or known.asked_s < asked_s:
            self._known[server_id] = _Known(started_ms, asked_s)

    def _is_due(self, server_id: str, per_s: float) -> bool:
        """Whether sound streams have waited long for what requests leave."""
        now_s = boot_time_s()
        known = self._known.get(server_id)
        asked_s = self._wanted_s.setdefault(server_id, now_s)
        if known is not None:
            asked_s = max(asked_s, known.asked_s)
        return now_s - asked_s >= max(DUE_S, 1 / (per_s * QUESTION_SHARE))

    def forget(self, limited_ids: Collection[str]) -> None:
        """Forgets the servers that name no limit any more."""
        for found in (self._known, self._next_s, self._wanted_s):
            for server_id in found.keys() - set(limited_ids):
                del found[server_id]

    async def _ask(self, server_id: str, wait_s: float) -> None:
        try:
            await asyncio.sleep(wait_s)
            entry = self._find_entry(server_id)
            if entry is None:
                return
            asked_s = boot_time_s()
            started_ms = await self._read_start(entry.address, REPORT_TIMEOUT_S)
            self.record(server_id, started_ms, asked_s)
            metrics.PROCESS_QUESTIONS.inc()
            _log.info(
                "process_asked",
                server=server_id,
                known_start_ms=entry.started_ms,
                start_ms=started_ms,
                took_ms=round((boot_time_s() - asked_s) * 1000),
            )
        finally:
            del self._asking[server_id]


def _interval_s(per_s: float) -> float:
    """Returns the time between two questions to a server."""
    interval_s = 1 / (per_s * QUESTION_SHARE)
    shortest_s = 1 / (per_s * MAX_QUESTION_SHARE)
    return min(interval_s, max(shortest_s, LONG_WAIT_S))
