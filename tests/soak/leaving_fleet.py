"""Fleets whose servers are processes, and which calls came too late there."""

import bisect
import pathlib
import random
import time
from collections.abc import Iterator, Sequence
from typing import NamedTuple

from savorylift.wire.message import Headers
from tests.front.engine_fleet import EngineProcessFleet
from tests.front.engine_process import EngineProcess
from tests.standins.engine_record import EngineCall

# Requests that are sent later than this after an answer which says that its
# server leaves must not reach it.
DRAIN_S = 2.0
EVENTS = 12
EVENT_INTERVAL_S = 1 / 60
RUN_S = 0.03
# Which event callers who take a stream up have.
LAST_EVENT = "4"
STREAMS = ("/stream/x", "/resumable/x")
CALLS = ("/safe/x", "/once/x")


class LateCall(NamedTuple):
    """A call that reached a server which had said that it leaves.

    Attributes:
        attempt_id: ID of the caller's attempt.
        node: The node that passed it on.
        server_id: The server.
        born: When the process of the server started.
        heard_by: Attempt in whose answer the node had heard it.
        sent_after_s: Time from then until the caller sent the call.
    """

    attempt_id: str
    node: str
    server_id: str
    born: int
    heard_by: str
    sent_after_s: float


class _Sent(NamedTuple):
    """An attempt of a caller.

    Attributes:
        ip: The node that it was sent to.
        sent_s: Monotonic time before that.
        ended_s: Monotonic time after its answer; None if none came.
    """

    ip: str
    sent_s: float
    ended_s: float | None = None


class LeavingFleet(EngineProcessFleet):
    """An `EngineProcessFleet` whose plain servers are processes, too.

    Attributes:
        disturbed_s: Monotonic times at which each node ended, or stood still.
    """

    def __init__(
        self, nodes: int, directory: pathlib.Path, rng: random.Random
    ) -> None:
        """Starts nothing yet."""
        super().__init__(nodes, directory)
        self._rng = rng
        plain = [EngineProcess(s.server_id, directory) for s in self.app]
        self.app = [*plain]
        for number, engine in enumerate(self.engines):
            engine.has_unframed_streams = number % 2 == 0
            engine.events_per_stream = EVENTS
            engine.event_interval_s = EVENT_INTERVAL_S
            engine.resets_after = None
        self.engines += plain
        for server in self.engines:
            server.delay_s = RUN_S
        self._sent: dict[str, _Sent] = {}
        self.disturbed_s: dict[str, list[float]] = {ip: [] for ip in self.ips}

    def service_of(self, server: EngineProcess) -> str:
        """Returns the name of the service of a server."""
        return "app" if server in self.app else "pool"

    async def call_any(self) -> int:
        """Sends a request of a kind that is drawn; returns its status."""
        node = self._rng.randrange(len(self.ips))
        ip, number = self.ips[node], len(self._sent)
        attempt = f"{node}-{number}"
        is_call = self._rng.random() < 0.5
        path = self._rng.choice(CALLS if is_call else STREAMS)
        is_take_up = path == STREAMS[1] and self._rng.random() < 0.5
        sent = self._sent[attempt] = _Sent(ip, time.monotonic())
        if is_call:
            body = f"question {attempt}".encode()
            ending = await self.call(ip, path, attempt, body=body)
            status = ending.status
        else:
            self.path = path
            status = await self._stream(node, attempt, is_take_up=is_take_up)
        if status:
            ended = sent._replace(ended_s=time.monotonic())
            self._sent[attempt] = ended
        return status

    async def _stream(
        self, node: int, attempt: str, *, is_take_up: bool
    ) -> int:
        extra: Headers = ()
        first = f"{node}-first"
        if is_take_up:
            extra = (("last-event-id", LAST_EVENT), ("resumes", first))
        return (await self.stream(node, attempt, extra)).status

    def late_calls(self) -> list[LateCall]:
        """Returns the calls that came too late."""
        return [
            late
            for server in self.engines
            for late in self._late_at(server.server_id, server.calls)
        ]

    def _late_at(
        self, server_id: str, calls: Sequence[EngineCall]
    ) -> Iterator[LateCall]:
        # When and by which attempt each node was told first, by the process.
        heard: dict[tuple[str, int], tuple[float, str]] = {}
        told = [call for call in calls if call.is_leaving]
        for call in sorted(told, key=lambda call: call.arrived_s):
            sent = self._sent[call.attempt_id]
            key = sent.ip, call.born
            known = heard.get(key)
            if known is not None and not self._is_excused(sent.ip, known[0]):
                after_s = sent.sent_s - known[0]
                if after_s > DRAIN_S:
                    yield LateCall(
                        call.attempt_id,
                        sent.ip,
                        server_id,
                        call.born,
                        known[1],
                        after_s,
                    )
            elif sent.ended_s is not None:
                heard[key] = sent.ended_s, call.attempt_id

    def _is_excused(self, ip: str, since_s: float) -> bool:
        """Whether a node ended or stood still since a moment."""
        return bisect.bisect_left(self.disturbed_s[ip], since_s) < len(
            self.disturbed_s[ip]
        )
