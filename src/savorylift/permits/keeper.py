"""Decisions of one node as a keeper of one backend server."""

import itertools
import time
from typing import NamedTuple, Protocol

from savorylift.identity import NodeRef
from savorylift.outcomes import Reason
from savorylift.peers.link import Message
from savorylift.peers.view import RosterView
from savorylift.permits.fair_queue import FairQueue
from savorylift.permits.messages import (
    Charge,
    ColdFall,
    HeldPermit,
    Lot,
    LotStatus,
    PermitAsk,
    PermitDenied,
    PermitGrant,
    PermitMoved,
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

MAX_HOPS = 2
UNKNOWN_INCARNATION = "?"
MIN_RETRY_AFTER_S = 0.1


class LoadReport(NamedTuple):
    """Content of a backend server's load report.

    Attributes:
        asked_s: `time.monotonic()` when the report was asked for.
        incarnation: Backend server's incarnation.
        cold: True if it says that it is cold.
        leaving: True if it says that it is leaving.
        active: Requests that it runs or has queued.
    """

    asked_s: float
    incarnation: str
    cold: bool
    leaving: bool
    active: int


class Sender(Protocol):
    """Sends one-way messages to nodes, this one included."""

    def send(self, node: NodeRef, msg: Message) -> None:
        """Sends `msg`; it may be lost, delayed or duplicated."""


class Keeper:
    """Grants permits within the owned share of one backend server.

    Attributes:
        share: Owned lots and permits out.
        warmth: Window in force.
        queue: Waiting requests.
        others: The other keepers of the same backend server.
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
        self.others: dict[NodeRef, ServerState | None] = {}
        self.last_decision = ""
        self._cfg = cfg
        self._sender = sender
        self._tally = tally
        self._rate = ServiceRate()
        self._had_room = False
        self._report: LoadReport | None = None
        self._moved: dict[str, HeldPermit] = {}
        self._lost = policies.lost_work(cfg.cancel_after_s)
        self._checked_s: dict[str, float] = {}

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
        self._judge(msg.incarnation, msg.first_token_s, is_cold=msg.cold)
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
            self._lost.abandon(msg.permit_id)
            return
        self.share.remove(msg.permit_id)
        self._rate.add()
        is_judged = bool(permit.started_on)
        first_token_s = -1.0 if is_judged else msg.first_token_s
        self._judge(msg.incarnation, first_token_s, is_cold=msg.overloaded)
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

    def cancelled(self, permit_id: str, holder: NodeRef) -> None:
        """Ends a permit whose work is known to be over."""
        if self._lost.is_lost(permit_id):
            self._end_lost(permit_id, holder)

    def has_ended(self, permit_id: str) -> bool:
        """Returns True if lost work under the permit is known to be over."""
        return self._lost.has_ended(permit_id)

    def watch_lost(self, roster: RosterView) -> list[HeldPermit]:
        """Ends work known to be over; returns the permits to cancel."""
        held = self.share.held()
        over, due = self._lost.review(held, roster, self._is_over)
        for permit in over:
            self._end_lost(permit.permit_id, permit.holder)
        return due

    def unknown(self, charges: tuple[Charge, ...], holder: NodeRef) -> None:
        """Ends permits that their holder doesn't use."""
        for charge in charges:
            self.share.remove_charge(charge, holder)
        self.serve()

    def due_queries(self) -> dict[NodeRef, tuple[Charge, ...]]:
        """Returns the permits to ask each holder about now."""
        now = time.monotonic()
        due: dict[NodeRef, tuple[Charge, ...]] = {}
        checked: dict[str, float] = {}
        moved: dict[str, HeldPermit] = {}
        for permit in self.share.held():
            checked_s = self._checked_s.get(permit.permit_id, now)
            if now - checked_s >= self._cfg.query_after_s:
                checked_s = now
                known = due.get(permit.holder, ())
                charge = Charge(permit.permit_id, permit.lot.number)
                due[permit.holder] = (*known, charge)
            checked[permit.permit_id] = checked_s
            if permit.permit_id in self._moved:
                moved[permit.permit_id] = self._moved[permit.permit_id]
                self._tell_moved(permit)
        self._checked_s, self._moved = checked, moved
        return due

    def set_others(self, others: set[NodeRef]) -> None:
        """Replaces the other keepers of this backend server."""
        self.others = {ref: self.others.get(ref) for ref in others}

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
            self._see(release.incarnation)
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
        """Moves a permit to the node that resumes its stream."""
        permit = self.share.find(msg.permit_id)
        if permit is None or permit.stream_id != msg.stream_id:
            return  # another keeper may know it
        if msg.attempt < permit.attempt:
            moved = PermitMoved(msg.permit_id, msg.attempt)
            self._sender.send(holder, moved)
            return
        if msg.attempt > permit.attempt:
            self._moved[permit.permit_id] = permit
            self._tell_moved(permit)
            permit = permit._replace(holder=holder, attempt=msg.attempt)
            self._lost.resume(msg.permit_id)
            self.share.put(permit)
        self._send_grant(permit)

    def cold_fall(self, msg: ColdFall) -> None:
        """Follows another keeper's fall to cold."""
        self._see(msg.incarnation)
        if not self.warmth.is_past(msg.incarnation):
            self.warmth.fall("told by another keeper", msg.falls)

    def hear(self, other: NodeRef, state: ServerState) -> None:
        """Notes another keeper's state and forwards requests to its room."""
        if other not in self.others:
            return
        self.others[other] = state
        self._see(state.incarnation)
        self.warmth.merge(state.incarnation, state.falls, state.window)
        self.serve()

    def load(self, report: LoadReport) -> None:
        """Applies a load report; it can only restrict or end lost work."""
        self._report = report
        self._judge(report.incarnation, -1.0, is_cold=report.cold)
        self.warmth.note(report.incarnation, is_cold=report.cold)
        settled_s = report.asked_s - self._cfg.load_lag_s
        for owned in self.share.lots.values():
            if settled_s >= owned.since_s:
                owned.settle(report.incarnation, report.active)
        self._lost.settle(settled_s, report.incarnation)
        self.serve()

    def is_idle_since(self, since_s: float) -> bool:
        """Returns True if a load report shows no work later than `since_s`."""
        report = self._report
        if report is None or report.active > 0:
            return False
        return report.asked_s - self._cfg.load_lag_s >= since_s

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
        state = self.state()
        for other in self.others:
            self._sender.send(other, state)

    def dismiss(self, successors: list[NodeRef]) -> None:
        """Passes the queue on to the nodes that now keep the shares."""
        for number in itertools.count():
            waiter = self.queue.pop()
            if waiter is None or not successors:
                return
            left_s = waiter.deadline_s - time.monotonic()
            msg = waiter.ask._replace(wait_s=left_s, hops=0)
            self._sender.send(successors[number % len(successors)], msg)

    def _tell_moved(self, permit: HeldPermit) -> None:
        old = self._moved.get(permit.permit_id)
        if old is not None:
            moved = PermitMoved(old.permit_id, old.attempt)
            self._sender.send(old.holder, moved)

    def _is_over(self, permit: HeldPermit, since_s: float) -> bool:
        if self.is_idle_since(since_s):
            return True
        return self.warmth.is_past(self._lost.settled_on(permit.permit_id))

    def _end_lost(self, permit_id: str, holder: NodeRef) -> None:
        self._tally.ended.labels("lost").inc()
        self._lost.end(permit_id)
        self.forget(permit_id, holder)

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
        for other, state in self.others.items():
            if state is None or state.free_slots < 1:
                continue
            left = state.free_slots - 1
            self.others[other] = state._replace(free_slots=left)
            self._sender.send(other, msg._replace(hops=msg.hops + 1))
            self._tally.forwards.inc()
            self.last_decision = f"forwarded {msg.permit_id} to {other.vm}"
            return True
        return False

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
        others = [state for state in self.others.values() if state]
        rate = self._rate.per_s + sum(state.rate for state in others)
        waiting = ahead + 1 + sum(state.waiting for state in others)
        return waiting / rate if rate > 0 else 0.0

    def _judge(
        self, incarnation: str, first_token_s: float, *, is_cold: bool
    ) -> None:
        self._see(incarnation)
        if self.warmth.is_past(incarnation):
            return
        slow = first_token_s >= 0 and self.warmth.is_slow(
            first_token_s, self._cfg.slow_ratio
        )
        if not (is_cold or slow) or self.warmth.is_cold:
            return
        self.warmth.fall("slow first token" if slow else "said to be cold")
        self._tell_fall()

    def _see(self, incarnation: str) -> None:
        if self.warmth.see_incarnation(incarnation):
            self._end_work_of_past_incarnations()
            self._tell_fall()

    def _end_work_of_past_incarnations(self) -> None:
        for owned in self.share.lots.values():
            if self.warmth.is_past(owned.settled_on):
                owned.unaccounted = 0
        for permit in self.share.held():
            if self.warmth.is_past(permit.started_on):
                self.share.remove(permit.permit_id)
                self._tally.ended.labels("restart").inc()

    def _tell_fall(self) -> None:
        self._tally.cold_falls.labels(self.warmth.cause).inc()
        for other in self.others:
            fall = ColdFall(
                self.name, self.warmth.incarnation, self.warmth.falls
            )
            self._sender.send(other, fall)

    def _announce_room(self) -> None:
        has_room = self.state().free_slots > 0
        if has_room != self._had_room:
            self._had_room = has_room
            self.announce()
