"""Admission of requests to one keeper's share of a backend server."""

import itertools
import time

from savorylift.identity import NodeRef
from savorylift.outcomes import Reason
from savorylift.permits.co_keepers import CoKeepers, Sender
from savorylift.permits.fair_queue import FairQueue
from savorylift.permits.messages import (
    HeldPermit,
    PermitAsk,
    PermitDenied,
    PermitGrant,
    PermitQueued,
    ServerState,
)
from savorylift.permits.service_rate import ServiceRate
from savorylift.permits.share import Share
from savorylift.permits.tally import Tally
from savorylift.permits.warmth import Warmth

MAX_HOPS = 2
MIN_RETRY_AFTER_S = 0.1


class Admission:
    """Grants, forwards, queues or denies requests for permits.

    Attributes:
        queue: Waiting requests.
        rate: Permits that came back a second.
        last_decision: The newest decision and its cause, for operators.
    """

    def __init__(
        self,
        share: Share,
        warmth: Warmth,
        co_keepers: CoKeepers,
        max_waiting: int,
        sender: Sender,
        tally: Tally,
    ) -> None:
        """Takes the keeper's parts; the queue holds up to `max_waiting`."""
        self.queue = FairQueue()
        self.rate = ServiceRate()
        self.last_decision = ""
        self._share = share
        self._warmth = warmth
        self._co_keepers = co_keepers
        self._max_waiting = max_waiting
        self._sender = sender
        self._tally = tally
        self._had_room = False

    def state(self) -> ServerState:
        """Returns the state to tell other keepers and holders."""
        room = self._share.room(self._warmth.window)
        warmth = self._warmth
        spare = room.slots - self._overflow()
        return ServerState(
            self._share.server.name,
            warmth.incarnation,
            warmth.falls,
            warmth.window,
            max(0, spare - len(self.queue)),
            room.tokens,
            len(self.queue),
            warmth.is_cold,
            self._wait_s(len(self.queue)),
            self.rate.per_s,
            self._share.overflow(warmth.window),
        )

    def ask(self, msg: PermitAsk) -> None:
        """Grants, forwards, queues or denies a request."""
        permit = self._share.find(msg.permit_id)
        if permit is not None:
            self.confirm(permit)
        elif msg.permit_id in self.queue:
            self._tell_queued(msg)
        elif not self._place(msg):
            self._wait_or_deny(msg)

    def serve(self) -> None:
        """Grants to waiting requests while there is room."""
        while (waiter := self.queue.peek()) is not None:
            left_s = waiter.deadline_s - time.monotonic()
            ask = waiter.ask._replace(wait_s=left_s)
            if left_s <= 0 or not (self._grant(ask) or self._forward(ask)):
                break
            self.queue.pop()
        self._announce_room()

    def expire(self) -> None:
        """Refuses requests whose deadline has passed."""
        for waiter in self.queue.expire():
            self._deny(waiter.ask, Reason.DEADLINE, "deadline passed")
        self.serve()

    def confirm(self, permit: HeldPermit) -> None:
        """Tells the holder of a permit that it has been granted."""
        epoch = self._share.lots[permit.lot.number].epoch
        grant = PermitGrant(
            permit.permit_id, permit.stream_id, permit.lot, epoch, self.state()
        )
        self._sender.send(permit.holder, grant)

    def announce(self) -> None:
        """Tells the other keepers this keeper's state."""
        self._co_keepers.tell(self.state())

    def dismiss(self, successors: list[NodeRef]) -> None:
        """Forwards the queue to the nodes that now keep the shares."""
        for number in itertools.count():
            waiter = self.queue.pop()
            if waiter is None or not successors:
                return
            left_s = waiter.deadline_s - time.monotonic()
            msg = waiter.ask._replace(wait_s=left_s, hops=0)
            self._sender.send(successors[number % len(successors)], msg)

    def _place(self, msg: PermitAsk) -> bool:
        if len(self.queue) == 0 and self._grant(msg):
            return True
        return self._forward(msg)

    def _wait_or_deny(self, msg: PermitAsk) -> None:
        if msg.may_queue:
            self._enqueue(msg)
        else:
            self._deny(msg, None, "no room")

    def _grant(self, msg: PermitAsk) -> bool:
        tokens = min(msg.tokens, self._share.server.kv_tokens)
        owned = self._share.lot_with_room(tokens, self._warmth.window)
        room = self._share.room(self._warmth.window)
        if owned is None or room.slots <= self._overflow():
            return False
        permit = HeldPermit(
            msg.permit_id,
            msg.stream_id,
            owned.lot,
            tokens,
            msg.holder,
        )
        self._share.put(permit)
        self._tally.grants.labels(str(self._warmth.is_cold)).inc()
        self.last_decision = f"granted {msg.permit_id} to {msg.holder.vm}"
        self.confirm(permit)
        return True

    def _forward(self, msg: PermitAsk) -> bool:
        if msg.hops >= MAX_HOPS:
            return False
        other = self._co_keepers.take_place()
        if other is None:
            return False
        self._sender.send(other, msg._replace(hops=msg.hops + 1))
        self._tally.forwards.inc()
        self.last_decision = f"forwarded {msg.permit_id} to {other.vm}"
        return True

    def _enqueue(self, msg: PermitAsk) -> None:
        if len(self.queue) >= self._max_waiting:
            self._deny(msg, Reason.QUEUE_FULL, "queue full")
        elif self._expected_wait_s(msg) > msg.wait_s:
            self._deny(msg, Reason.DEADLINE, "expected wait exceeds deadline")
        else:
            self.queue.push(msg)
            self.last_decision = f"queued {msg.permit_id}: no room"
            self._tell_queued(msg)

    def _tell_queued(self, msg: PermitAsk) -> None:
        queued = PermitQueued(
            msg.permit_id, self._share.server.name, self.state()
        )
        self._sender.send(msg.holder, queued)

    def _deny(self, msg: PermitAsk, reason: Reason | None, cause: str) -> None:
        if reason is not None:
            self._tally.denials.labels(reason.value).inc()
        self.last_decision = f"denied {msg.permit_id}: {cause}"
        wait_s = max(MIN_RETRY_AFTER_S, self._expected_wait_s(msg))
        denied = PermitDenied(
            msg.permit_id, self._share.server.name, reason, wait_s, self.state()
        )
        self._sender.send(msg.holder, denied)

    def _overflow(self) -> int:
        """Returns the places that a cold server's other lots use too many.

        A server that turned cold while it ran more than its cold limit must
        get nothing new, though the work may all be charged to a few lots.
        """
        if not self._warmth.is_cold:
            return 0
        own = self._share.overflow(self._warmth.window)
        return own + self._co_keepers.overflow

    def _expected_wait_s(self, msg: PermitAsk) -> float:
        return self._wait_s(self.queue.ahead_of(msg))

    def _wait_s(self, ahead: int) -> float:
        # Any keeper's place may serve this queue, so all rates count. It is 0
        # while nothing is known, so that nothing is refused on a guess.
        rate = self.rate.per_s + self._co_keepers.rate
        waiting = ahead + 1 + self._co_keepers.waiting
        return waiting / rate if rate > 0 else 0.0

    def _announce_room(self) -> None:
        has_room = self.state().free_slots > 0
        if has_room != self._had_room:
            self._had_room = has_room
            self.announce()
