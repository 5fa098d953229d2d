"""The generations of all nodes that wait for the engines of one service.

It is for times at which many nodes, each with only a few generations, together
bring more than the engines hold: all of them wait in one order. For one that
fits nowhere for a while an engine is kept free, so that large generations
aren't starved, and the other engines serve on.
"""

import random
import time
from collections.abc import Collection, Iterable, Iterator, Mapping, Sequence
from typing import NamedTuple

from savorylift.backends.load import Load
from savorylift.backends.registry import BackendServer
from savorylift.fleet.room_messages import RoomOutcome, RoomReply, RoomRequest
from savorylift.fleet.state import ServerLoad
from savorylift.placement.arrival_rate import ArrivalRate
from savorylift.placement.engines import count_free_tokens
from savorylift.placement.held_room import Holder
from savorylift.placement.memory_release_rate import MemoryReleaseRate
from savorylift.placement.return_schedule import ReturnSchedule
from savorylift.placement.shared_turns import SharedTurns
from savorylift.placement.ticket import Ticket
from savorylift.placement.turn_away import Room, find_hopeless
from savorylift.placement.turn_order import TurnOrder
from savorylift.placement.wait_queue import BYPASS_LIMIT_S
from savorylift.rooms import decision_log, metrics
from savorylift.rooms.book import PlaceKey, RoomBook
from savorylift.rooms.engines import (
    Engines,
    choose_allowed,
    find_most_room,
    has_allowed,
    without_kept_engine,
)
from savorylift.rooms.prefill_bounds import PrefillBounds, with_bound
from savorylift.rooms.returning import FirstVisit, ReturningRequests

# A generation is dropped if its node hasn't asked for this time.
MAX_SILENCE_S = 1.5
MAX_WAITING = 1000


class Decision(NamedTuple):
    """What to say to a request.

    Attributes:
        key: The request.
        reply: The reply.
    """

    key: PlaceKey
    reply: RoomReply


class _Waiting(NamedTuple):
    """A generation that waits.

    Attributes:
        key: The request for its place.
        req: The same, with what it asks for.
        ticket: What its turn depends on. If it was refused before, its times
            are those of its first visit.
        asked_s: Monotonic time at which it began to wait on this visit.
        heard_s: Monotonic time at which its node last asked for it.
    """

    key: PlaceKey
    req: RoomRequest
    ticket: Ticket
    asked_s: float
    heard_s: float


class ServiceRoom:
    """Decides whose generation gets which engine of a service."""

    def __init__(
        self, rng: random.Random, *, shares_by_held_room: bool = True
    ) -> None:
        """Starts without places and waiting generations.

        Args:
            rng: Spreads choices over nearly equal engines, and the returns of
                refused requests.
            shares_by_held_room: Whether turns go by what teams and callers
                hold; else by what teams were granted.
        """
        self._book = RoomBook()
        self._rng = rng
        self._order: SharedTurns | TurnOrder = TurnOrder()
        if shares_by_held_room:
            self._order = SharedTurns(self._book.held)
        self._returns = ReturnSchedule(rng)
        self._returning = ReturningRequests()
        self._release_rate = MemoryReleaseRate()
        self._arrivals = ArrivalRate()
        self._prefill_bounds = PrefillBounds()
        self._waiting: dict[PlaceKey, _Waiting] = {}
        self._last_number = 0

    def __len__(self) -> int:
        """Returns the number of waiting generations."""
        return len(self._waiting)

    @property
    def is_full(self) -> bool:
        """Whether no more generations may wait."""
        return len(self._waiting) >= MAX_WAITING

    def is_known(self, key: PlaceKey) -> bool:
        """Whether a request waits, or has a place."""
        return self.is_waiting(key) or self.find_engine(key) is not None

    def is_waiting(self, key: PlaceKey) -> bool:
        """Whether the generation of a request waits."""
        return key in self._waiting

    def add(self, key: PlaceKey, req: RoomRequest) -> None:
        """Adds a generation, or notes that its node still asks for it."""
        now_s = time.monotonic()
        known = self._waiting.get(key)
        if known is not None:
            self._waiting[key] = known._replace(heard_s=now_s)
            return
        self._arrivals.record(req.priority, req.tokens)
        self._prefill_bounds.record(req.priority, req.max_prefill_tokens)
        first = self._returning.claim(req.repeat_id)
        if first is None:
            self._last_number += 1
            first = FirstVisit(
                self._last_number, now_s - req.age_s, now_s + req.start_in_s
            )
        ticket = Ticket(
            req.priority,
            req.team,
            req.tokens / req.weight,
            req.tokens,
            first.arrived_s,
            first.latest_start_s,
            now_s + req.leave_in_s,
            first.number,
            req.caller,
        )
        asked_s = now_s - req.age_s
        self._waiting[key] = _Waiting(key, req, ticket, asked_s, now_s)

    def find_engine(self, key: PlaceKey) -> str | None:
        """Returns the ID of the engine at which a request has a place."""
        grant = self._book.find(key)
        return None if grant is None else grant.server_id

    def has_ended(self, key: PlaceKey) -> bool:
        """Whether a request is known to need no place any more."""
        return self._book.has_ended(key)

    def end(self, key: PlaceKey) -> None:
        """Ends a request, whether it waits or has a place."""
        self._waiting.pop(key, None)
        self._record_release(self._book.end(key))

    def hear(self, ip: str, loads: Iterable[ServerLoad]) -> None:
        """Takes over what a node says that it has at engines."""
        self._record_release(self._book.hear(ip, loads))

    def drop_old(self, live: Collection[str]) -> None:
        """Ends places whose time is over, and those of nodes not in `live`."""
        self._record_release(self._book.forget_nodes(live))
        self._record_release(self._book.drop_expired())

    def _record_release(self, tokens: int) -> None:
        if tokens:
            self._release_rate.record_release(tokens)

    def hold(self, tokens: Mapping[str, int]) -> None:
        """Keeps tokens free for moves, instead of those before, by engine."""
        self._book.planned = tokens

    def loads(self, engines: Engines) -> dict[str, Load]:
        """Returns the load of each engine, with what is kept for moves."""
        return {
            server.entry.server_id: self._book.load(
                server.entry.server_id, engines.known, engines.prefill_per_s
            )
            for server in engines.servers
        }

    def dispatch(self, engines: Engines) -> Iterator[Decision]:
        """Yields the decisions that can be made now."""
        now_s = time.monotonic()
        self._drop_silent(now_s)
        if not self._waiting:
            return
        by_number = {w.ticket.number: w for w in self._waiting.values()}
        tickets = [w.ticket for w in by_number.values()]
        loads = self.loads(engines)
        left = []
        all_engines = engines
        bounds = self._prefill_bounds.by_priority()
        most_tokens = find_most_room(engines, loads)
        for ticket in self._order.sort(tickets, now_s):
            waiting = by_number[ticket.number]
            req, server = waiting.req, None
            if req.tokens <= most_tokens:
                req = with_bound(req, bounds)
                server = choose_allowed(req, engines, loads, self._rng)
            if server is not None:
                yield self._grant(waiting, server, engines, loads)
                most_tokens = find_most_room(engines, loads)
                continue
            if not has_allowed(req, all_engines):
                yield self._leave_alone(waiting)
                continue
            left.append(ticket)
            if engines.servers and now_s - waiting.asked_s > BYPASS_LIMIT_S:
                engines = without_kept_engine(req, engines, loads)
                most_tokens = find_most_room(engines, loads)
        yield from self._turn_away(left, by_number, engines, loads)

    def leave_all_alone(self) -> Iterator[Decision]:
        """Yields that the nodes are to place all that wait by themselves."""
        for waiting in list(self._waiting.values()):
            yield self._leave_alone(waiting)

    def _leave_alone(self, waiting: _Waiting) -> Decision:
        del self._waiting[waiting.key]
        metrics.ROOM_ALONE.labels(decision_log.AloneReason.NO_ENGINE).inc()
        reply = RoomReply(waiting.req.number, RoomOutcome.ALONE)
        return Decision(waiting.key, reply)

    def _drop_silent(self, now_s: float) -> None:
        for key, waiting in list(self._waiting.items()):
            is_silent = now_s - waiting.heard_s > MAX_SILENCE_S
            if is_silent or now_s > waiting.ticket.leave_s:
                del self._waiting[key]
                metrics.ROOM_DROPPED.inc()

    def _grant(
        self,
        waiting: _Waiting,
        server: BackendServer,
        engines: Engines,
        loads: dict[str, Load],
    ) -> Decision:
        key, req = waiting.key, waiting.req
        server_id = server.entry.server_id
        prefill_s = req.prompt_tokens / engines.prefill_per_s
        holder = Holder(req.team, req.caller, waiting.ticket.cost)
        self._book.grant(
            key, server_id, req.tokens, req.lease_s, prefill_s, holder
        )
        decision_log.count_granted(req)
        loads[server_id] = self._book.load(
            server_id, engines.known, engines.prefill_per_s
        )
        self._order.record_turn(waiting.ticket)
        del self._waiting[key]
        reply = RoomReply(
            req.number,
            RoomOutcome.GRANTED,
            server_id,
            waiting=len(self._waiting),
            prefill_tokens=loads[server_id].prefill_tokens,
        )
        return Decision(key, reply)

    def _turn_away(
        self,
        left: Sequence[Ticket],
        by_number: Mapping[int, _Waiting],
        engines: Engines,
        loads: Mapping[str, Load],
    ) -> Iterator[Decision]:
        free = count_free_tokens(loads.values(), engines.traits)
        room = Room(
            free, self._release_rate.tokens_per_s, self._arrivals.per_s()
        )
        now_s = time.monotonic()
        for away in find_hopeless(left, room, now_s):
            ticket = away.ticket
            refused = by_number[ticket.number]
            key, req = refused.key, refused.req
            del self._waiting[key]
            return_in_s = self._returns.assign_s(
                away, room.rate_for(ticket, now_s)
            )
            self._returning.record(req.repeat_id, ticket, return_in_s)
            waiting = len(self._waiting)
            decision_log.log_refused(req, room, waiting, return_in_s)
            reply = RoomReply(
                req.number, RoomOutcome.REFUSED, None, return_in_s, waiting
            )
            yield Decision(key, reply)
