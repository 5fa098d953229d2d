"""The refusal book of a node."""

import contextlib
import threading
import time
from concurrent.futures import Future, InvalidStateError

import pykka

from savorylift.identity import NodeRef
from savorylift.log_service.log import Log
from savorylift.peers.link import Message, PeerLink
from savorylift.peers.ticker import Ticker
from savorylift.peers.view import RosterSource
from savorylift.refusals.actor import BookActor
from savorylift.refusals.book import RefusedRequest
from savorylift.refusals.counters import DROPPED
from savorylift.refusals.inbox import (
    CountHeld,
    Drop,
    Flush,
    Hold,
    Tick,
    Write,
)
from savorylift.refusals.messages import CopyAnswer, CopyAsk, DropCopies

COPY_WAIT_S = 0.02
TICK_S = 0.2
FLUSH_STEP_S = 0.05


class RefusalDesk:
    """Implements `RefusalBook`; runs a ticking thread and two actors."""

    def __init__(
        self, me: NodeRef, log: Log, link: PeerLink, roster: RosterSource
    ) -> None:
        """Starts the actors; call `start` for the rest."""
        self._link = link
        self._actor = BookActor.start(me, log, link, roster)
        self._stopped = threading.Event()
        self._ticker = Ticker(TICK_S, self._tick, "refusals-tick")

    def start(self) -> None:
        """Holds copies for other nodes and begins to append."""
        self._link.on_ask(CopyAsk, self._on_copy)
        self._link.on_tell(DropCopies, self._on_drop)
        self._ticker.start()

    def write(self, refused: RefusedRequest) -> None:
        """Keeps one refusal; returns once two peers hold it or soon after."""
        done = threading.Event()
        try:
            self._actor.tell(Write(refused, done))
        except pykka.ActorDeadError:
            DROPPED.inc()
            return
        done.wait(COPY_WAIT_S)

    def flush(self, timeout_s: float) -> bool:
        """Appends all pending refusals; False if some are left."""
        until_s = time.monotonic() + timeout_s
        while time.monotonic() < until_s:
            if self._actor.ask(Flush()) == 0:
                return True
            self._stopped.wait(FLUSH_STEP_S)
        return False

    def held_for_peers(self) -> int:
        """Returns how many refusals of other nodes this one holds."""
        return int(self._actor.ask(CountHeld(), block=True))

    def stop(self) -> None:
        """Stops the thread and the actors; call `flush` before."""
        self._stopped.set()
        self._ticker.stop(TICK_S * 5)
        self._actor.stop(block=False)

    def _tick(self) -> None:
        if self._actor.is_alive():
            self._actor.tell(Tick())

    def _on_copy(
        self, _sender: NodeRef, ask: CopyAsk, fut: "Future[Message]"
    ) -> None:
        def reply() -> None:
            with contextlib.suppress(InvalidStateError):  # timed out
                fut.set_result(CopyAnswer(is_held=True))

        self._actor.tell(Hold(ask.batch, reply))

    def _on_drop(self, sender: NodeRef, drop: DropCopies) -> None:
        self._actor.tell(Drop(sender, drop.sequences))
