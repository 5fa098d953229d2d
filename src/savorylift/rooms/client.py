"""Asks the keepers of engines' room for places."""

import asyncio
import random
import time
from collections.abc import Callable
from typing import Generic, NamedTuple, TypeVar

from savorylift.fleet.room_messages import (
    RoomEnds,
    RoomOutcome,
    RoomReply,
    RoomRequest,
)
from savorylift.rooms.keeper import SendRoomMessage
from savorylift.rooms.keeper_choice import KeeperChoice

# How long to wait for a reply to each try: many round trips between nodes.
ASK_TIMEOUTS_S = (0.04, 0.06)
# A keeper that didn't reply is not asked again for this time, and for twice as
# long after each further try: it may be of an earlier build, cut off, or stand
# still.
SILENT_KEEPER_S = 1.0
MAX_SILENT_KEEPER_S = 8.0
# A node that waits for its turn asks again after this time, which shows that
# it still waits, and whether the keeper still lives. After more than so many
# questions in a row without a reply, it places without the keeper.
ASK_AGAIN_S = 0.4
MAX_UNANSWERED = 2
# Ends that come within this time share a message.
END_DELAY_S = 0.02
NUMBER_BITS = 48


_PlaceT = TypeVar("_PlaceT")


class RoomAnswer(NamedTuple, Generic[_PlaceT]):
    """What became of a request for a place.

    Attributes:
        reply: The keeper's latest decision; None to place without it.
        other_place: A place that needs no grant and was found meanwhile; None
            without one.
    """

    reply: RoomReply | None
    other_place: _PlaceT | None = None


class _Place(NamedTuple):
    ip: str
    number: int


class _Silence(NamedTuple):
    until_s: float
    pause_s: float


class _Exchange:
    """A request and the replies to it."""

    def __init__(self, ip: str, number: int) -> None:
        self.place = _Place(ip, number)
        self.reply: RoomReply | None = None
        self.has_news = asyncio.Event()


class RoomClient:
    """Sends requests for places, matches replies and tells of ends."""

    def __init__(
        self, choice: KeeperChoice, send: SendRoomMessage, rng: random.Random
    ) -> None:
        """Creates a client without requests.

        Args:
            choice: Which node keeps which service.
            send: Sends messages to nodes, this one included.
            rng: Chooses the first number, so that replies to an earlier
                process of this node match no request.
        """
        self._choice = choice
        self._send = send
        self._next_number = rng.getrandbits(NUMBER_BITS)
        self._exchanges: dict[int, _Exchange] = {}
        self._places: dict[str, _Place] = {}
        # Keepers that didn't reply lately.
        self._silences: dict[str, _Silence] = {}
        self._ends: dict[str, list[int]] = {}

    def has_keeper(self, service: str) -> bool:
        """Whether a service has a keeper, which may be silent."""
        return self._choice.find(service) is not None

    def find_keeper(self, room: str) -> str | None:
        """Returns the keeper to ask; None to place without one.

        Args:
            room: Service, or name of a group of its engines (`RoomId.name`).
        """
        ip = self._choice.find(room)
        if ip is None:
            return None
        silence = self._silences.get(ip)
        if silence is not None and time.monotonic() < silence.until_s:
            return None
        return ip

    async def ask(
        self,
        ip: str,
        attempt_id: str,
        make_request: Callable[[], RoomRequest],
        find_other_place: Callable[[], _PlaceT | None],
        leave_s: float,
    ) -> RoomAnswer[_PlaceT]:
        """Returns the keeper's decision, or a place that was found meanwhile.

        The place, if granted, is to be given back by `end`.

        Args:
            ip: The keeper.
            attempt_id: The caller's ID for the generation.
            make_request: Returns the request as of now.
            find_other_place: Takes a place that needs no grant; asked from
                time to time until there is one.
            leave_s: Monotonic time until which the generation can wait.
        """
        self._next_number += 1
        exchange = _Exchange(ip, self._next_number)
        self._exchanges[self._next_number] = exchange
        is_granted = False
        try:
            reply = await self._ask_first(exchange, make_request)
            answer: RoomAnswer[_PlaceT] = RoomAnswer(reply)
            if reply is not None and reply.outcome == RoomOutcome.QUEUED:
                answer = await self._wait(
                    exchange, make_request, find_other_place, leave_s
                )
            reply = answer.reply
            is_granted = reply is not None and _is_grant(reply)
        finally:
            del self._exchanges[exchange.place.number]
            if not is_granted:
                self._tell_end(exchange.place)
        if reply is None or reply.outcome == RoomOutcome.ALONE:
            return RoomAnswer(None)
        if is_granted:
            self.end(attempt_id)
            self._places[attempt_id] = exchange.place
        return answer

    def end(self, attempt_id: str) -> None:
        """Gives back the place of a generation, if it has one."""
        place = self._places.pop(attempt_id, None)
        if place is not None:
            self._tell_end(place)

    def receive(self, reply: RoomReply, ip: str) -> None:
        """Passes a reply on; a place that nobody waits for is given back."""
        exchange = self._exchanges.get(reply.number)
        if exchange is not None and exchange.place.ip == ip:
            exchange.reply = reply
            exchange.has_news.set()
            return
        place = _Place(ip, reply.number)
        if _is_grant(reply) and place not in self._places.values():
            self._tell_end(place)

    async def _ask_first(
        self, exchange: _Exchange, make_request: Callable[[], RoomRequest]
    ) -> RoomReply | None:
        for timeout_s in ASK_TIMEOUTS_S:
            self._send_request(exchange, make_request)
            if await _await_reply(exchange, timeout_s):
                self._silences.pop(exchange.place.ip, None)
                return exchange.reply
        self._record_silence(exchange.place.ip)
        return None

    def _record_silence(self, ip: str) -> None:
        now_s = time.monotonic()
        oldest_s = now_s - MAX_SILENT_KEEPER_S
        self._silences = {
            known_ip: silence
            for known_ip, silence in self._silences.items()
            if silence.until_s > oldest_s
        }
        known = self._silences.get(ip)
        if known is not None and now_s < known.until_s:
            # Another question that was asked before the pause began.
            return
        pause_s = SILENT_KEEPER_S
        if known is not None:
            pause_s = min(2 * known.pause_s, MAX_SILENT_KEEPER_S)
        self._silences[ip] = _Silence(now_s + pause_s, pause_s)

    async def _wait(
        self,
        exchange: _Exchange,
        make_request: Callable[[], RoomRequest],
        find_other_place: Callable[[], _PlaceT | None],
        leave_s: float,
    ) -> RoomAnswer[_PlaceT]:
        """Returns what becomes of a generation that waits for its turn."""
        unanswered = 0
        while unanswered <= MAX_UNANSWERED:
            left_s = leave_s - time.monotonic()
            if left_s <= 0:
                return RoomAnswer(exchange.reply)
            other_place = find_other_place()
            if other_place is not None:
                return RoomAnswer(exchange.reply, other_place)
            if await _await_reply(exchange, min(ASK_AGAIN_S, left_s)):
                unanswered = 0
                reply = exchange.reply
                if reply is None or reply.outcome != RoomOutcome.QUEUED:
                    return RoomAnswer(reply)
            else:
                unanswered += 1
                self._send_request(exchange, make_request)
        return RoomAnswer(None)

    def _send_request(
        self, exchange: _Exchange, make_request: Callable[[], RoomRequest]
    ) -> None:
        ip, number = exchange.place
        ends = tuple(self._ends.pop(ip, ()))
        self._send(make_request()._replace(number=number, ends=ends), ip)

    def _tell_end(self, place: _Place) -> None:
        if place.ip not in self._ends:
            asyncio.get_running_loop().call_later(
                END_DELAY_S, self._send_ends, place.ip
            )
        self._ends.setdefault(place.ip, []).append(place.number)

    def _send_ends(self, ip: str) -> None:
        numbers = tuple(self._ends.pop(ip, ()))
        if numbers:
            self._send(RoomEnds(numbers), ip)


async def _await_reply(exchange: _Exchange, timeout_s: float) -> bool:
    """Returns whether another reply came within a time."""
    try:
        async with asyncio.timeout(timeout_s):
            await exchange.has_news.wait()
    except TimeoutError:
        # A loop that was busy finds the reply and the end of the time at once.
        if not exchange.has_news.is_set():
            return False
    exchange.has_news.clear()
    return True


def _is_grant(reply: RoomReply) -> bool:
    return reply.outcome == RoomOutcome.GRANTED and reply.server_id is not None
