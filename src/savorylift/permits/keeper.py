"""Decisions of one node as a keeper of one backend server."""

import itertools
import time

from savorylift.identity import NodeRef
from savorylift.outcomes import Reason
from savorylift.permits.co_keepers import CoKeepers, Sender
from savorylift.permits.evidence import Evidence, LoadReport
from savorylift.permits.fair_queue import FairQueue
from savorylift.permits.holder_watch import HolderWatch
from savorylift.permits.messages import (
    Charge,
    ColdFall,
    HeldPermit,
    Lot,
    LotStatus,
    PermitAsk,
    PermitDenied,
    PermitGrant,
    PermitQueued,
    PermitReturn,
    PermitStarted,
    PermitTakeOver,
    ServerState,
)
from savorylift.permits.options import PermitOptions
from savorylift.permits.policies import SAFE, Policies
from savorylift.permits.service_rate import ServiceRate
from savorylift.permits.share import OwnedLot, Share
from savorylift.permits.status import LotView, ServerStatus
from savorylift.permits.tally import Tally
from savorylift.permits.warmth import Warmth
from savorylift.rules.view import BackendServer

__all__ = ["Keeper", "LoadReport"]

MAX_HOPS = 2
UNKNOWN_INCARNATION = "?"
MIN_RETRY_AFTER_S = 0.1


class Keeper:
    """Grants permits within the owned share of one backend server.

    Attributes:
        share: Owned lots and permits out.
        warmth: Window in force.
        queue: Waiting requests.
        co_keepers: The other keepers of the same backend server.
        watch: Watch over the holders of permits.
        last_decision: The newest decision and its cause, for operators.
    """

    def __init__(
        self,
        server: BackendServer,
        cfg: PermitOptions,
        sender: Sender,
        tally: Tally,
        policies: Policies = SAFE,
    ) -> None:
        """Starts with no lot, cold."""
        self.share = Share(server)
        self.warmth = Warmth(server.cold_limit, server.warm_limit)
        self.queue = FairQueue()
        self.co_keepers = CoKeepers(sender)
        self.watch = HolderWatch(
            self.share, self.warmth, cfg, sender, tally, policies
        )
        self.last_decision = ""
        self._cfg = cfg
        self._sender = sender
        self._tally = tally
        self._rate = ServiceRate()
        self._had_room = False
        self._evidence = Evidence(
            self.share, self.warmth, self.co_keepers, cfg.slow_ratio, tally
        )

    @property
    def name(self) -> str:
        """Name of the backend server."""
        return self.share.server.name

    def follow_rules(self, server: BackendServer) -> None:
        """Follows an edit of the backend server's rule."""
        self.share.server = server
        self.warmth.set_limits(server.cold_limit, server.warm_limit)

    def state(self) -> ServerState:
        """Returns the state to tell other keepers and holders."""
        room = self.share.room(self.warmth.window)
        warmth = self.warmth
        return ServerState(
            self.name,
            warmth.incarnation,
            warmth.falls,
            warmth.window,
            max(0, room.slots - len(self.queue)),
            room.tokens,
            len(self.queue),
            warmth.is_cold,
            self._wait_s(len(self.queue)),
            self._rate.per_s,
        )

    def ask(self, msg: PermitAsk) -> None:
        """Grants, forwards, queues or denies a request."""
        permit = self.share.find(msg.permit_id)
        if permit is not None:
            self._send_grant(permit)
        elif msg.permit_id in self.queue:
            self._confirm(msg)
        elif not self._place(msg):
            self._wait_or_deny(msg)

    def start(self, msg: PermitStarted, holder: NodeRef) -> None:
        """Notes the first output under a permit."""
        permit = self.share.find(msg.permit_id)
        if permit is None or permit.holder != holder:
            return
        self._evidence.judge(
            msg.incarnation, msg.first_token_s, is_cold=msg.cold
        )
        self.warmth.note(msg.incarnation, is_cold=msg.cold)
        if self.warmth.is_past(msg.incarnation):
            self.share.remove(msg.permit_id)
        else:
            incarnation = msg.incarnation or UNKNOWN_INCARNATION
            self.share.put(permit._replace(started_on=incarnation))
        self.serve()

    def adjust(self, permit_id: str, holder: NodeRef, tokens: int) -> None:
        """Replaces the memory reserved under a permit."""
        permit = self.share.find(permit_id)
        if permit is not None and permit.holder == holder:
            self.share.put(permit._replace(tokens=tokens))
            self.serve()

    def end(self, msg: PermitReturn) -> None:
        """Ends a permit on its holder's word, learning from its use."""
        self.queue.remove(msg.permit_id)
        permit = self.share.find(msg.permit_id)
        if permit is None or permit.holder != msg.holder:
            return
        if not msg.finished:
            self.watch.abandon(msg.permit_id)
            return
        self.share.remove(msg.permit_id)
        self._rate.add()
        is_judged = bool(permit.started_on)
        first_token_s = -1.0 if is_judged else msg.first_token_s
        self._evidence.judge(
            msg.incarnation, first_token_s, is_cold=msg.overloaded
        )
        if msg.completed:
            places = self.share.places(self.warmth.window)
            self.warmth.complete(msg.incarnation, places)
        self.serve()

    def forget(
        self, permit_id: str, holder: NodeRef, kept_lot: int = -1
    ) -> None:
        """Ends a permit that its holder uses under no lot but `kept_lot`."""
        self.queue.remove(permit_id)
        permit = self.share.find(permit_id)
        if permit is not None and permit.holder == holder:
            self.share.remove(permit_id, kept_lot)
        self.serve()

    def unknown(self, charges: tuple[Charge, ...], holder: NodeRef) -> None:
        """Ends permits that their holder doesn't use."""
        for charge in charges:
            self.share.remove_charge(charge, holder)
        self.serve()

    def give_lot(self, lot: Lot, epoch: int) -> LotStatus:
        """Stops granting from a lot and returns its table."""
        owned = self.share.lots.pop(lot.number)
        self.last_decision = f"released lot {lot.number} at {epoch}"
        return LotStatus(
            lot,
            epoch,
            was_owner=True,
            held=tuple(owned.held.values()),
            unaccounted=owned.unaccounted,
            incarnation=self.warmth.incarnation,
            falls=self.warmth.falls,
            window=self.warmth.window,
        )

    def take_lot(self, owned: OwnedLot, release: LotStatus | None) -> None:
        """Starts granting from a lot, telling the holders of its permits."""
        self.share.lots[owned.lot.number] = owned
        self.last_decision = f"acquired lot {owned.lot.number} at {owned.epoch}"
        if release is not None:
            self._evidence.see(release.incarnation)
            self.warmth.merge(
                release.incarnation, release.falls, release.window
            )
        for permit in owned.held.values():
            self._send_grant(permit)
        self.serve()
        self.announce()

    def status(self, acquiring: tuple[int, ...]) -> ServerStatus:
        """Returns what operators are shown."""
        warmth, share = self.warmth, self.share
        lots = tuple(
            LotView(index, lot.epoch, len(lot.held), lot.unaccounted)
            for index, lot in sorted(share.lots.items())
        )
        return ServerStatus(
            self.name,
            warmth.incarnation,
            warmth.is_cold,
            warmth.window,
            warmth.cause,
            share.places(warmth.window),
            len(self.queue),
            lots,
            acquiring,
            self.last_decision,
        )

    def take_over(self, msg: PermitTakeOver, holder: NodeRef) -> None:
        """Confirms a permit to the node that resumes its stream."""
        permit = self.watch.take_over(msg, holder)
        if permit is not None:
            self._send_grant(permit)

    def cold_fall(self, msg: ColdFall) -> None:
        """Follows another keeper's fall to cold."""
        self._evidence.hear_fall(msg)

    def hear(self, other: NodeRef, state: ServerState) -> None:
        """Notes another keeper's state and forwards requests to its room."""
        if self.co_keepers.note(other, state):
            self._evidence.hear_state(state)
            self.serve()

    def load(self, report: LoadReport) -> None:
        """Applies a load report; it can only restrict or end lost work."""
        incarnation = report.incarnation
        self._evidence.judge(incarnation, -1.0, is_cold=report.cold)
        self.warmth.note(incarnation, is_cold=report.cold)
        settled_s = report.asked_s - self._cfg.load_lag_s
        self._evidence.settle(report, settled_s)
        self.watch.load(report, settled_s)
        self.serve()

    def serve(self) -> None:
        """Grants to waiting requests while there is room."""
        while (waiter := self.queue.peek()) is not None:
            left_s = waiter.deadline_s - time.monotonic()
            ask = waiter.ask._replace(wait_s=left_s)
            if left_s <= 0 or not (self._grant(ask) or self._forward(ask)):
                break
            self.queue.pop()
        self._announce_room()

    def tick(self) -> None:
        """Refuses requests whose deadline has passed."""
        for waiter in self.queue.expire():
            self._deny(waiter.ask, Reason.DEADLINE, "deadline passed")
        self.serve()

    def announce(self) -> None:
        """Tells the other keepers this keeper's state."""
        self.co_keepers.tell(self.state())

    def dismiss(self, successors: list[NodeRef]) -> None:
        """Passes the queue on to the nodes that now keep the shares."""
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
        tokens = min(msg.tokens, self.share.server.kv_tokens)
        owned = self.share.lot_with_room(tokens, self.warmth.window)
        if owned is None:
            return False
        permit = HeldPermit(
            msg.permit_id,
            msg.stream_id,
            owned.lot,
            tokens,
            msg.holder,
        )
        self.share.put(permit)
        self._tally.grants.labels(str(self.warmth.is_cold)).inc()
        self.last_decision = f"granted {msg.permit_id} to {msg.holder.vm}"
        self._send_grant(permit)
        return True

    def _send_grant(self, permit: HeldPermit) -> None:
        epoch = self.share.lots[permit.lot.number].epoch
        grant = PermitGrant(
            permit.permit_id, permit.stream_id, permit.lot, epoch, self.state()
        )
        self._sender.send(permit.holder, grant)

    def _forward(self, msg: PermitAsk) -> bool:
        if msg.hops >= MAX_HOPS:
            return False
        other = self.co_keepers.take_place()
        if other is None:
            return False
        self._sender.send(other, msg._replace(hops=msg.hops + 1))
        self._tally.forwards.inc()
        self.last_decision = f"forwarded {msg.permit_id} to {other.vm}"
        return True

    def _enqueue(self, msg: PermitAsk) -> None:
        if len(self.queue) >= self._cfg.max_waiting:
            self._deny(msg, Reason.QUEUE_FULL, "queue full")
        elif self._expected_wait_s(msg) > msg.wait_s:
            self._deny(msg, Reason.DEADLINE, "expected wait exceeds deadline")
        else:
            self.queue.push(msg)
            self.last_decision = f"queued {msg.permit_id}: no room"
            self._confirm(msg)

    def _confirm(self, msg: PermitAsk) -> None:
        queued = PermitQueued(msg.permit_id, self.name, self.state())
        self._sender.send(msg.holder, queued)

    def _deny(self, msg: PermitAsk, reason: Reason | None, cause: str) -> None:
        if reason is not None:
            self._tally.denials.labels(reason.value).inc()
        self.last_decision = f"denied {msg.permit_id}: {cause}"
        wait_s = max(MIN_RETRY_AFTER_S, self._expected_wait_s(msg))
        self._sender.send(
            msg.holder, self._denied(msg.permit_id, reason, wait_s)
        )

    def _denied(
        self, permit_id: str, reason: Reason | None, wait_s: float
    ) -> PermitDenied:
        return PermitDenied(permit_id, self.name, reason, wait_s, self.state())

    def _expected_wait_s(self, msg: PermitAsk) -> float:
        return self._wait_s(self.queue.ahead_of(msg))

    def _wait_s(self, ahead: int) -> float:
        # Any keeper's place may serve this queue, so all rates count. It is 0
        # while nothing is known, so that nothing is refused on a guess.
        rate = self._rate.per_s + self.co_keepers.rate
        waiting = ahead + 1 + self.co_keepers.waiting
        return waiting / rate if rate > 0 else 0.0

    def _announce_room(self) -> None:
        has_room = self.state().free_slots > 0
        if has_room != self._had_room:
            self._had_room = has_room
            self.announce()
