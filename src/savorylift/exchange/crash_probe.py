"""Finds out whether a server that answered no request has crashed."""

import asyncio
import time
from collections import deque
from collections.abc import Callable, Coroutine, Iterable
from typing import NamedTuple

import structlog

from savorylift.backends.registry import BackendServer
from savorylift.exchange import metrics
from savorylift.exchange.request_traits import RequestTraits
from savorylift.processes.server_contact import is_accepting

CONNECT_TIMEOUT_S = 0.2
# Neither a lost packet nor a reset must hide a crash.
ATTEMPTS = 2
# A server is watched for this long after a request was given up there, since it
# may still be running it.
WATCH_S = 0.8
WATCH_INTERVAL_S = 0.3
# Requests given up at one server that are remembered; the latest ones.
MAX_GIVEN_UP = 16

_log = structlog.get_logger()


class LostAnswer(NamedTuple):
    """A request whose server gave no whole answer.

    Attributes:
        traits: Traits of the request.
        sent_s: Monotonic time at which it was sent to the server.
        lost_s: Monotonic time at which the server broke the connection, or
            up to which it is known to have lived after the request was given
            up.
        had_begun: Whether the server had got past the beginning of a stream.
    """

    traits: RequestTraits
    sent_s: float
    lost_s: float
    had_begun: bool = False


class CrashProbe:
    """Connects to servers that gave no whole answer to a request.

    The process of a server that has crashed is gone for some seconds, and its
    connections are refused. One that has reset a single connection accepts.
    A connection without a request takes no part of a limit.
    """

    def __init__(self, on_crash: Callable[[str, LostAnswer], None]) -> None:
        """Creates a probe.

        Args:
            on_crash: Called with the ID of a server that has crashed, for
                each request that it had not answered.
        """
        self._on_crash = on_crash
        # Requests by the server that is being probed for them.
        self._lost: dict[str, list[LostAnswer]] = {}
        # Requests by the server that is watched for them, oldest first.
        self._given_up: dict[str, deque[LostAnswer]] = {}
        self._tasks: set[asyncio.Task[None]] = set()

    def start(self, server: BackendServer, lost: LostAnswer) -> None:
        """Probes a server that broke a connection, once for all requests."""
        server_id = server.entry.server_id
        if server_id in self._lost:
            self._lost[server_id].append(lost)
            return
        self._lost[server_id] = [lost]
        self._run(self._probe(server))

    def watch(self, server: BackendServer, lost: LostAnswer) -> None:
        """Probes a server for a while after a request was given up there.

        The connection is closed by then, so that only this shows whether the
        server crashes on the request.
        """
        server_id = server.entry.server_id
        if server_id in self._given_up:
            self._given_up[server_id].append(lost)
            return
        self._given_up[server_id] = deque([lost], maxlen=MAX_GIVEN_UP)
        self._run(self._watch(server))

    def _run(self, probing: Coroutine[None, None, None]) -> None:
        task = asyncio.get_running_loop().create_task(probing)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _probe(self, server: BackendServer) -> None:
        server_id = server.entry.server_id
        try:
            is_gone = await _refuses_connections(server)
        finally:
            lost_answers = self._lost.pop(server_id)
        if is_gone:
            self._record_all(server_id, lost_answers)

    async def _watch(self, server: BackendServer) -> None:
        server_id = server.entry.server_id
        given_up = self._given_up[server_id]
        alive_s = float("-inf")
        try:
            while given_up:
                await asyncio.sleep(WATCH_INTERVAL_S)
                asked_s = time.monotonic()
                if await _refuses_connections(server):
                    break
                alive_s = asked_s
                while given_up and asked_s - given_up[0].lost_s >= WATCH_S:
                    given_up.popleft()
        finally:
            del self._given_up[server_id]
        self._record_all(
            server_id,
            [
                lost._replace(lost_s=max(lost.lost_s, alive_s))
                for lost in given_up
            ],
        )

    def _record_all(self, server_id: str, lost: Iterable[LostAnswer]) -> None:
        for lost_answer in lost:
            self._record(server_id, lost_answer)

    def _record(self, server_id: str, lost: LostAnswer) -> None:
        metrics.ENGINE_CRASHES.inc()
        _log.warning(
            "server_crashed",
            server=server_id,
            request=lost.traits.attempt_id,
            prompt_parts=lost.traits.prompt_parts,
            repeat_id=lost.traits.repeat_id,
            had_begun=lost.had_begun,
            age_ms=round((time.monotonic() - lost.lost_s) * 1000),
        )
        self._on_crash(server_id, lost)


async def _refuses_connections(server: BackendServer) -> bool:
    for _ in range(ATTEMPTS):
        accepts = await is_accepting(server.entry.address, CONNECT_TIMEOUT_S)
        if accepts is not None:
            return not accepts
    return False
