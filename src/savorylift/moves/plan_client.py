"""Asks the planners of moves for turns."""

import asyncio
import random
import time
from collections.abc import Callable

from savorylift.fleet.move_messages import (
    MoveEnd,
    MoveOutcome,
    MoveReply,
    MoveRequest,
)
from savorylift.moves.planner import SendMoveMessage
from savorylift.moves.planner_choice import PlannerChoice

# How long to wait for a reply to each try: many round trips between nodes.
ASK_TIMEOUTS_S = (0.04, 0.06)
# A node that waits asks again after this time, with what the run holds by then.
ASK_AGAIN_S = 0.15
# After more questions in a row without a reply, it goes on without the planner:
# the engine leaves soon.
MAX_UNANSWERED = 1
# A planner that didn't reply isn't asked for this time.
SILENT_PLANNER_S = 2.0
NUMBER_BITS = 48


class _Exchange:
    """A request, its latest reply, and an event that tells of a new one."""

    def __init__(self, ip: str, number: int) -> None:
        self.ip = ip
        self.number = number
        self.reply: MoveReply | None = None
        self.has_news = asyncio.Event()


class PlanClient:
    """Sends requests for turns, matches replies and tells of ends."""

    def __init__(
        self, choice: PlannerChoice, send: SendMoveMessage, rng: random.Random
    ) -> None:
        """Creates a client without requests.

        Args:
            choice: Which node plans for which service.
            send: Sends messages to nodes, this one included.
            rng: Chooses the first number, so that replies to an earlier
                process of this node match no request.
        """
        self._choice = choice
        self._send = send
        self._next_number = rng.getrandbits(NUMBER_BITS)
        self._exchanges: dict[int, _Exchange] = {}
        # Numbers of the requests whose turns are held.
        self._held: set[int] = set()
        # Monotonic time until which silent planners aren't asked.
        self._silent_until_s: dict[str, float] = {}

    def find_planner(self, service: str) -> str | None:
        """Returns the planner to ask; None to order moves without one."""
        ip = self._choice.find(service)
        if ip is None:
            return None
        until_s = self._silent_until_s.get(ip, 0.0)
        return None if time.monotonic() < until_s else ip

    async def ask(
        self, ip: str, make_request: Callable[[], MoveRequest], leave_s: float
    ) -> MoveReply | None:
        """Waits for a turn; returns None to order the move without a planner.

        A turn (`MoveOutcome.GO`) is to be given back by `end`.

        Args:
            ip: The planner.
            make_request: Returns the request as of now.
            leave_s: Monotonic time until which a turn is of use.
        """
        self._next_number += 1
        exchange = _Exchange(ip, self._next_number)
        self._exchanges[exchange.number] = exchange
        has_turn = False
        try:
            reply = await self._ask_first(exchange, make_request)
            if reply is not None and reply.outcome == MoveOutcome.WAIT:
                reply = await self._wait(exchange, make_request, leave_s)
            has_turn = reply is not None and reply.outcome == MoveOutcome.GO
        finally:
            del self._exchanges[exchange.number]
            if has_turn:
                self._held.add(exchange.number)
            else:
                self.end(ip, exchange.number)
        known = (MoveOutcome.GO, MoveOutcome.UNSAVED)
        # A later build may say what this one doesn't know.
        return reply if reply is not None and reply.outcome in known else None

    def end(self, ip: str, number: int, moved_to: str | None = None) -> None:
        """Tells a planner that a turn isn't needed any more.

        Args:
            ip: The planner.
            number: Number of the request for the turn.
            moved_to: Engine at which the run goes on; None if it wasn't moved.
        """
        self._held.discard(number)
        self._send(MoveEnd(number, moved_to), ip)

    def receive(self, reply: MoveReply, ip: str) -> None:
        """Passes a reply on; a turn that nobody waits for is given back."""
        exchange = self._exchanges.get(reply.number)
        if exchange is not None and exchange.ip == ip:
            exchange.reply = reply
            exchange.has_news.set()
        elif reply.outcome == MoveOutcome.GO and reply.number not in self._held:
            self.end(ip, reply.number)

    async def _ask_first(
        self, exchange: _Exchange, make_request: Callable[[], MoveRequest]
    ) -> MoveReply | None:
        for timeout_s in ASK_TIMEOUTS_S:
            self._send_request(exchange, make_request)
            if await _await_reply(exchange, timeout_s):
                return exchange.reply
        self._note_silence(exchange.ip)
        return None

    async def _wait(
        self,
        exchange: _Exchange,
        make_request: Callable[[], MoveRequest],
        leave_s: float,
    ) -> MoveReply | None:
        """Returns the last reply to a run that waits for its turn."""
        unanswered = 0
        while time.monotonic() < leave_s:
            if await _await_reply(exchange, ASK_AGAIN_S):
                unanswered = 0
                if not _is_waiting(exchange.reply):
                    return exchange.reply
                continue
            unanswered += 1
            if unanswered > MAX_UNANSWERED:
                # No other question: its end could overtake it.
                self._note_silence(exchange.ip)
                return None
            self._send_request(exchange, make_request)
        return None

    def _note_silence(self, ip: str) -> None:
        now_s = time.monotonic()
        self._silent_until_s = {
            known_ip: until_s
            for known_ip, until_s in self._silent_until_s.items()
            if until_s > now_s
        }
        self._silent_until_s[ip] = now_s + SILENT_PLANNER_S

    def _send_request(
        self, exchange: _Exchange, make_request: Callable[[], MoveRequest]
    ) -> None:
        req = make_request()._replace(number=exchange.number)
        self._send(req, exchange.ip)


def _is_waiting(reply: MoveReply | None) -> bool:
    return reply is not None and reply.outcome == MoveOutcome.WAIT


async def _await_reply(exchange: _Exchange, timeout_s: float) -> bool:
    """Returns whether another reply came within a time."""
    try:
        async with asyncio.timeout(timeout_s):
            await exchange.has_news.wait()
    except TimeoutError:
        # A busy event loop may see the reply and the timeout at once.
        if not exchange.has_news.is_set():
            return False
    exchange.has_news.clear()
    return True
