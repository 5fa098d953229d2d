"""The actor that decides for the refusal book."""

import functools
import threading
from concurrent.futures import Future

import pykka
from returns.result import Result, Success

from savorylift.identity import NodeRef
from savorylift.log_service.log import Log
from savorylift.peers.link import PeerFault, PeerLink
from savorylift.peers.view import RosterSource
from savorylift.refusals.account import Account
from savorylift.refusals.appender import BatchAppender
from savorylift.refusals.copies import CopyPlan
from savorylift.refusals.counters import COPIES, DROPPED, PENDING
from savorylift.refusals.inbox import (
    AppendBatch,
    BatchAppended,
    CopyEnded,
    CountHeld,
    Drop,
    Flush,
    Hold,
    Tick,
    Write,
)
from savorylift.refusals.keeper import Keeper
from savorylift.refusals.messages import (
    CopyAnswer,
    CopyAsk,
    DropCopies,
)
from savorylift.refusals.ranges import Range
from savorylift.rendezvous import rank

COPY_TIMEOUT_S = 1.0


class BookActor(pykka.ThreadingActor):
    """Owns the account of this node and the copies it holds for others."""

    use_daemon_thread = True

    def __init__(
        self, me: NodeRef, log: Log, link: PeerLink, roster: RosterSource
    ) -> None:
        """Needs a `Tick` several times a second."""
        super().__init__()
        self._me = me
        self._log = log
        self._link = link
        self._roster = roster
        self._account = Account(me)
        self._copies = CopyPlan(me)
        self._keeper = Keeper()
        self._waiting: dict[int, threading.Event] = {}
        self._is_draining = False
        self._appender: pykka.ActorRef[BatchAppender] | None = None

    def on_start(self) -> None:
        """Starts the appending actor."""
        self._appender = BatchAppender.start(self._log, self.actor_ref)
        self._follow_roster()

    def on_stop(self) -> None:
        """Stops the appending actor."""
        if self._appender is not None:
            self._appender.stop(block=False)

    def on_receive(self, message: object) -> int:
        """Takes one message; returns how many refusals are pending."""
        if isinstance(message, CountHeld):
            return len(self._keeper)
        if isinstance(message, Write):
            self._write(message)
        elif isinstance(message, Hold):
            self._keeper.hold(message.batch)
            message.reply()
        elif isinstance(message, Drop):
            self._keeper.drop(message.source, message.sequences)
        elif isinstance(message, CopyEnded):
            self._note_copy(message)
        elif isinstance(message, BatchAppended):
            self._note_appended(message)
        elif isinstance(message, Flush):
            self._is_draining = True
            self._append_due()
        elif isinstance(message, Tick):
            self._follow_roster()
            self._append_due()
        PENDING.set(len(self._account))
        return len(self._account)

    def _write(self, message: Write) -> None:
        row = self._account.write(message.refused)
        if row is None:
            DROPPED.inc()
            message.done.set()
            return
        self._waiting[row.sequence] = message.done
        self._copies.add(row)
        self._send_copies()
        self._release_copied()

    def _send_copies(self) -> None:
        for ref, batch in self._copies.due(self._account.whole):
            fut = self._link.ask(
                ref, CopyAsk(batch), CopyAnswer, COPY_TIMEOUT_S
            )
            fut.add_done_callback(functools.partial(self._tell_copy, ref))

    def _tell_copy(
        self, ref: NodeRef, fut: "Future[Result[CopyAnswer, PeerFault]]"
    ) -> None:
        is_held = isinstance(fut.result(), Success)
        if self.actor_ref.is_alive():
            self.actor_ref.tell(CopyEnded(ref, is_held))

    def _note_copy(self, ended: CopyEnded) -> None:
        COPIES.labels("held" if ended.is_held else "failed").inc()
        self._copies.note(ended.peer, is_held=ended.is_held)
        if not ended.is_held:
            self._follow_roster()
        self._send_copies()
        self._release_copied()

    def _release_copied(self) -> None:
        copied = [s for s in self._waiting if self._copies.is_copied(s)]
        for sequence in copied:
            self._waiting.pop(sequence).set()

    def _follow_roster(self) -> None:
        self._copies.set_ranked(self._ranked_peers())
        self._send_copies()

    def _ranked_peers(self) -> tuple[NodeRef, ...]:
        members = self._roster.current().members
        refs = {
            vm: member.info.ref
            for vm, member in members.items()
            if vm != self._me.vm and not member.leaving
        }
        order = rank(f"copies-{self._me.vm}", refs)
        own = members.get(self._me.vm)
        if own is not None:  # a failure domain may be lost as a whole
            home = own.info.failure_domain
            order.sort(key=lambda vm: members[vm].info.failure_domain == home)
        return tuple(refs[vm] for vm in order)

    def _append_due(self) -> None:
        view = self._roster.current()
        own = self._account.take_batch(
            len(view.members), is_urgent=self._is_draining
        )
        others = self._keeper.take_batch(view)
        if self._appender is None:
            return
        if own is not None:
            self._appender.tell(AppendBatch(own, is_own=True))
        if others is not None:
            self._appender.tell(AppendBatch(others, is_own=False))

    def _note_appended(self, appended: BatchAppended) -> None:
        if not appended.is_own:
            self._keeper.note_appended(appended.result)
            return
        sequences = self._account.note_appended(appended.result)
        if sequences:
            self._drop_copies(sequences)
        if self._is_draining and sequences:
            self._append_due()

    def _drop_copies(self, sequences: tuple[Range, ...]) -> None:
        self._copies.discard(sequences)
        view = self._roster.current()
        refs = {member.info.ref for member in view.members.values()}
        for ref in self._copies.holders(refs):
            self._link.tell(ref, DropCopies(sequences))
