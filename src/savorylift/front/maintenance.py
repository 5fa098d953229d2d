"""What a node does periodically."""

import time
from collections.abc import Callable, Iterator

import structlog

from savorylift.beat import wait_for_beat
from savorylift.fleet import metrics
from savorylift.front.loop_turns import take_longest_turn_s
from savorylift.front.metrics import LOOP_HELD
from savorylift.front.server_parts import ServerParts
from savorylift.front.shared_parts import SharedParts
from savorylift.front.stream_parts import StreamParts
from savorylift.front.tasks import run_step
from savorylift.processes.successor_check import SuccessorCheck
from savorylift.rollouts.agent import RolloutAgent

MAINTENANCE_INTERVAL_S = 0.2
# How often nodes that were silent for long are dropped.
FORGET_INTERVAL_S = 1.0
# Delay of the event loop that is logged.
LATE_LOOP_S = 0.2

_log = structlog.get_logger()


class Maintenance:
    """Periodically drops what is out of date, and serves what waits."""

    def __init__(
        self,
        shared: SharedParts,
        servers: ServerParts,
        streams: StreamParts,
        successors: SuccessorCheck,
        on_expired: Callable[[], None],
        watch_peers: Callable[[], None],
        rollouts: RolloutAgent | None = None,
    ) -> None:
        """Does nothing until `run` is called.

        Args:
            shared: What all parts have in common.
            servers: The parts that decide on servers.
            streams: The parts that serve streams.
            successors: Asks servers that started again whether they leave.
            on_expired: Called after entries of servers have expired.
            watch_peers: Tells nodes that this one lives, and which don't.
            rollouts: This node's part in roll-outs, if there are any.
        """
        self._shared = shared
        self._servers = servers
        self._streams = streams
        self._successors = successors
        self._on_expired = on_expired
        self._watch_peers = watch_peers
        self._next_forget_s = 0.0
        self._rollouts = rollouts

    async def run(self) -> None:
        """Repeats until cancelled."""
        while True:
            _record_loop_delay(await wait_for_beat(MAINTENANCE_INTERVAL_S))
            for step in self._steps():
                run_step(step)

    def _steps(self) -> Iterator[Callable[[], object]]:
        yield self._note_running
        yield self._watch_peers
        yield self._forget_silent
        yield self._servers.crash_guard.update
        yield self._servers.limit_gate.update
        yield self._update_news
        yield self._streams.rooms.keeper.update
        yield self._streams.moves.planner.update
        yield self._successors.update
        if self._rollouts is not None:
            yield self._rollouts.update
        yield self._drop_expired

    def _note_running(self) -> None:
        self._shared.membership.note_running(time.monotonic())

    def _forget_silent(self) -> None:
        now_s = time.monotonic()
        if now_s >= self._next_forget_s:
            self._next_forget_s = now_s + FORGET_INTERVAL_S
            self._shared.membership.forget_silent(now_s)

    def _update_news(self) -> None:
        is_leaving = self._shared.lifecycle.is_leaving
        self._streams.server_news.update(is_leaving=is_leaving)

    def _drop_expired(self) -> None:
        if self._shared.store_view.drop_expired():
            self._on_expired()
        else:
            self._streams.generations.on_change()


def _record_loop_delay(delay_s: float) -> None:
    metrics.LOOP_DELAY.observe(delay_s)
    longest_s = take_longest_turn_s()
    if longest_s is not None:
        LOOP_HELD.observe(longest_s)
    if delay_s > LATE_LOOP_S:
        _log.warning("event_loop_late", delay_ms=round(delay_s * 1000))
