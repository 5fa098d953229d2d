"""Keeps the room of the services that this node was chosen for.

A node that has just become the keeper, or that stood still, grants nothing
until it has heard the others: until then each node places by itself. What it
says only directs requests; the engines' own replies decide.
"""

import random
import time
from collections.abc import Callable, Iterable
from typing import Protocol

from savorylift.fleet.membership import Membership
from savorylift.fleet.room_messages import (
    RoomEnds,
    RoomMessage,
    RoomOutcome,
    RoomReply,
    RoomRequest,
)
from savorylift.fleet.state import ServerLoad
from savorylift.rooms import metrics
from savorylift.rooms.book import PlaceKey
from savorylift.rooms.decision_log import AloneReason, RoleChange, log_role
from savorylift.rooms.dispatch_timers import DispatchTimers
from savorylift.rooms.engine_groups import EngineGroups, RoomId, select_group
from savorylift.rooms.engines import Engines
from savorylift.rooms.handover import handover_hold_s
from savorylift.rooms.keeper_choice import KeeperChoice
from savorylift.rooms.request_check import is_sound
from savorylift.rooms.service_room import ServiceRoom
from savorylift.standstill import StandstillWatch

# A node that has just started doesn't know all others yet.
START_HOLD_S = 2.5
# A keeper that hears less of the fleet leaves the choice to the nodes.
MIN_LIVE_SHARE = 0.5


class SendRoomMessage(Protocol):
    """Sends a message to a node."""

    def __call__(self, message: RoomMessage, ip: str) -> None:
        """Sends it."""
        ...


class RoomKeeper:
    """Answers the requests for places of the services that it keeps."""

    def __init__(
        self,
        choice: KeeperChoice,
        membership: Membership,
        find_engines: Callable[[str], Engines | None],
        own_loads: Callable[[], Iterable[ServerLoad]],
        get_message_interval_s: Callable[[], float],
        send: SendRoomMessage,
        rng: random.Random,
        groups: EngineGroups | None = None,
        *,
        shares_by_held_room: bool = True,
    ) -> None:
        """Creates a keeper without services.

        Args:
            choice: Which node keeps which service.
            membership: The other nodes.
            find_engines: Returns the engines of a service by its name.
            own_loads: Returns what this node has at engines.
            get_message_interval_s: Returns the interval between the nodes'
                messages.
            send: Sends replies.
            rng: Spreads choices over nearly equal engines.
            groups: How services' engines are divided; None for one group each.
            shares_by_held_room: Whether turns go by what teams and callers
                hold; else by what teams were granted.
        """
        self._choice = choice
        self._membership = membership
        self._find_engines = find_engines
        self._own_loads = own_loads
        self._get_message_interval_s = get_message_interval_s
        self._send = send
        self._rng = rng
        self._groups = groups or EngineGroups(lambda _: 0)
        self._shares_by_held_room = shares_by_held_room
        self._rooms: dict[RoomId, ServiceRoom] = {}
        # Monotonic time from which each kept room's places are granted.
        self._ready_s: dict[RoomId, float] = {}
        self._start_ready_s = time.monotonic() + START_HOLD_S
        self._standstill = StandstillWatch()
        self._knowledge_age_s = 0.0
        self._timers = DispatchTimers(self._dispatch)

    def receive(self, message: RoomRequest | RoomEnds, ip: str) -> None:
        """Handles a message from a node."""
        self._note_running()
        if isinstance(message, RoomEnds):
            self._end(message.numbers, ip)
            return
        if not is_sound(message):
            return
        self._end(message.ends, ip)
        room_id = RoomId(message.service, message.group, message.groups)
        reason = self._keep(room_id)
        if reason is not None:
            self._leave_alone(message, ip, reason)
            return
        self._ask(room_id, PlaceKey(ip, message.number), message)

    @property
    def is_keeping(self) -> bool:
        """Whether this node keeps the room of any service now."""
        return bool(self._rooms)

    def rooms_of(self, service: str) -> dict[RoomId, ServiceRoom]:
        """Returns the rooms of a service that this node keeps."""
        return {i: r for i, r in self._rooms.items() if i.service == service}

    def hear(self, ip: str, loads: Iterable[ServerLoad]) -> None:
        """Notes what a node says that it has at engines."""
        for room_id, room in self._rooms.items():
            room.hear(ip, loads)
            self._dispatch_soon(room_id)

    def update(self) -> None:
        """Drops what is over; to be called periodically."""
        self._note_running()
        self._choice.refresh()
        for room_id in list(self._ready_s):
            self._leave_if_over(room_id)
        if not self._rooms:
            return
        now_s = time.monotonic()
        peers = list(self._membership.heard_peers(now_s))
        oldest_s = min((peer.heard_s for peer in peers), default=now_s)
        self._knowledge_age_s = now_s - oldest_s
        live = {peer.state.ip for peer in peers} | {self._choice.own_ip}
        for room_id, room in self._rooms.items():
            room.drop_old(live)
            self._dispatch_soon(room_id)

    def _note_running(self) -> None:
        """Begins anew if this process stood still."""
        if not self._standstill.has_stood_still():
            return
        for room_id in list(self._ready_s):
            self._leave(room_id, RoleChange.STOOD_STILL)
        ready_s = time.monotonic() + self._handover_hold_s()
        self._start_ready_s = max(self._start_ready_s, ready_s)

    def _handover_hold_s(self) -> float:
        return handover_hold_s(self._get_message_interval_s())

    def _keep(self, room_id: RoomId) -> AloneReason | None:
        """Keeps a room from now on, if this node may.

        Returns:
            Why it may grant no places of the room now; None if it may.
        """
        is_known = room_id in self._ready_s
        if not is_known and self._find_engines(room_id.service) is None:
            # Names in messages aren't kept if the configuration has none such.
            return AloneReason.UNKNOWN_SERVICE
        reason = self._leave_if_over(room_id)
        if reason is not None:
            return reason
        now_s = time.monotonic()
        if not is_known:
            regrouped_s = self._groups.changed_s(room_id.service)
            changed_s = max(self._choice.changed_s, regrouped_s)
            ready_s = changed_s + self._handover_hold_s()
            self._ready_s[room_id] = max(ready_s, self._start_ready_s)
        if now_s < self._ready_s[room_id]:
            return AloneReason.NOT_READY
        if room_id not in self._rooms:
            self._begin(room_id, now_s)
        return None if room_id in self._rooms else AloneReason.NOT_READY

    def _leave_if_over(self, room_id: RoomId) -> AloneReason | None:
        """Leaves a room that this node isn't to keep.

        Returns:
            Why it isn't; None if it is.
        """
        if self._groups.count(room_id.service) != room_id.groups:
            self._leave(room_id, RoleChange.REGROUPED)
            return AloneReason.OTHER_GROUPS
        if not self._choice.is_keeper(room_id.name):
            self._leave(room_id, RoleChange.NOT_CHOSEN)
            return AloneReason.NOT_CHOSEN
        return None

    def _begin(self, room_id: RoomId, now_s: float) -> None:
        """Starts to keep a room with what the nodes have said."""
        if self._membership.live_share(now_s) < MIN_LIVE_SHARE:
            return
        room = self._rooms[room_id] = ServiceRoom(
            self._rng, shares_by_held_room=self._shares_by_held_room
        )
        for peer in self._membership.heard_peers(now_s):
            room.hear(peer.state.ip, peer.state.loads)
        self._note_role(room_id, RoleChange.BEGUN, 0)

    def _leave(self, room_id: RoomId, change: RoleChange) -> None:
        """Leaves a room; the nodes that wait ask its next keeper."""
        self._ready_s.pop(room_id, None)
        room = self._rooms.pop(room_id, None)
        if room is not None:
            self._note_role(room_id, change, len(room))

    def _note_role(
        self, room_id: RoomId, change: RoleChange, waiting: int
    ) -> None:
        metrics.ROOM_SERVICES.set(len(self._rooms))
        self._show_waiting()
        log_role(room_id, change, waiting)

    def _leave_alone(
        self, req: RoomRequest, ip: str, reason: AloneReason
    ) -> None:
        metrics.ROOM_ALONE.labels(reason.value).inc()
        self._reply(RoomReply(req.number, RoomOutcome.ALONE), ip)

    def _ask(self, room_id: RoomId, key: PlaceKey, req: RoomRequest) -> None:
        room = self._rooms[room_id]
        is_over = room.has_ended(key)
        if is_over or (room.is_full and not room.is_known(key)):
            reason = AloneReason.ENDED if is_over else AloneReason.TOO_MANY
            self._leave_alone(req, key.ip, reason)
            return
        server_id = room.find_engine(key)
        if server_id is not None:
            reply = RoomReply(req.number, RoomOutcome.GRANTED, server_id)
            self._reply(reply, key.ip)
            return
        was_empty = len(room) == 0
        room.add(key, req)
        if was_empty:
            self._dispatch(room_id)
        else:
            self._dispatch_soon(room_id)
        if room.is_waiting(key):
            outcome = RoomOutcome.QUEUED
            reply = RoomReply(req.number, outcome, waiting=len(room))
            self._reply(reply, key.ip)

    def _end(self, numbers: Iterable[int], ip: str) -> None:
        keys = [PlaceKey(ip, number) for number in numbers]
        if not keys:
            return
        for room_id, room in self._rooms.items():
            for key in keys:
                room.end(key)
            self._dispatch_soon(room_id)

    def _dispatch_soon(self, room_id: RoomId) -> None:
        if len(self._rooms[room_id]):
            self._timers.set(room_id)

    def _dispatch(self, room_id: RoomId) -> None:
        self._timers.clear(room_id)
        room = self._rooms.get(room_id)
        if room is None:
            return
        begun_s = time.monotonic()
        engines = self._find_engines(room_id.service)
        if engines is None:
            # This node may be the last to hear of the service.
            for decision in room.leave_all_alone():
                self._reply(decision.reply, decision.key.ip)
            self._leave(room_id, RoleChange.UNKNOWN_SERVICE)
            return
        room.hear(self._choice.own_ip, self._own_loads())
        for decision in room.dispatch(select_group(engines, room_id)):
            self._reply(decision.reply, decision.key.ip)
        self._show_waiting()
        self._timers.record(time.monotonic() - begun_s)

    def _show_waiting(self) -> None:
        metrics.ROOM_WAITING.set(sum(map(len, self._rooms.values())))

    def _reply(self, reply: RoomReply, ip: str) -> None:
        metrics.ROOM_REPLIES.labels(str(reply.outcome)).inc()
        aged = reply._replace(knowledge_age_s=round(self._knowledge_age_s, 3))
        self._send(aged, ip)
