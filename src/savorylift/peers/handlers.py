"""Received messages on their way to the handlers of the slices."""

from collections.abc import Callable
from concurrent.futures import Future
from typing import Any, NamedTuple

import structlog
from returns.pipeline import is_successful

from savorylift.identity import NodeRef
from savorylift.peers.codec import Envelope, decode_message
from savorylift.peers.counters import Drop, LinkCounters
from savorylift.peers.link import Message

TellHandler = Callable[[NodeRef, Any], None]
AskHandler = Callable[[NodeRef, Any, "Future[Message]"], None]
Reply = Callable[[Message], None]


class _TellEntry(NamedTuple):
    msg_type: type[Message]
    handler: TellHandler


class _AskEntry(NamedTuple):
    msg_type: type[Message]
    handler: AskHandler


class HandlerTable:
    """Finds and runs the handler of each message type."""

    def __init__(self, counters: LinkCounters) -> None:
        """Starts with no handlers."""
        self._counters = counters
        self._log = structlog.get_logger()
        self._tells: dict[str, _TellEntry] = {}
        self._asks: dict[str, _AskEntry] = {}

    def add_tell(self, msg_type: type[Message], handler: TellHandler) -> None:
        """Registers a one-way type; a name is registered once."""
        assert msg_type.__name__ not in self._tells, msg_type
        self._tells[msg_type.__name__] = _TellEntry(msg_type, handler)

    def add_ask(self, msg_type: type[Message], handler: AskHandler) -> None:
        """Registers a question type; a name is registered once."""
        assert msg_type.__name__ not in self._asks, msg_type
        self._asks[msg_type.__name__] = _AskEntry(msg_type, handler)

    def receive(self, envelope: Envelope, size: int, reply: Reply) -> None:
        """Decodes a tell or a question and runs its handler."""
        is_ask = envelope.request is not None
        table = self._asks if is_ask else self._tells
        entry = table.get(envelope.type_name)
        if entry is None:
            self._counters.dropped(Drop.UNKNOWN_TYPE)
            return
        self._counters.received(envelope.type_name, size)
        decoded = decode_message(envelope, entry.msg_type)
        if not is_successful(decoded):
            self._counters.dropped(Drop.MALFORMED)
            return
        if is_ask:
            self.run_ask(envelope.sender, decoded.unwrap(), reply)
        else:
            self.run_tell(envelope.sender, decoded.unwrap())

    def run_tell(self, sender: NodeRef, msg: Message) -> None:
        """Runs the handler of a one-way message."""
        entry = self._tells.get(type(msg).__name__)
        if entry is None:
            self._counters.dropped(Drop.UNKNOWN_TYPE)
            return
        try:
            entry.handler(sender, msg)
        except Exception:
            self._fail(type(msg).__name__)

    def run_ask(self, sender: NodeRef, msg: Message, reply: Reply) -> None:
        """Runs the handler of a question; `reply` gets the answer, if any."""
        entry = self._asks.get(type(msg).__name__)
        if entry is None:
            self._counters.dropped(Drop.UNKNOWN_TYPE)
            return
        fut: Future[Message] = Future()
        fut.add_done_callback(lambda done: self._finish(done, msg, reply))
        try:
            entry.handler(sender, msg, fut)
        except Exception:
            self._fail(type(msg).__name__)

    def _finish(
        self, fut: "Future[Message]", msg: Message, reply: Reply
    ) -> None:
        if fut.cancelled() or fut.exception() is not None:
            self._counters.dropped(Drop.HANDLER_ERROR)
            self._log.error("peer_answer_failed", type=type(msg).__name__)
            return
        reply(fut.result())

    def _fail(self, type_name: str) -> None:
        self._counters.dropped(Drop.HANDLER_ERROR)
        self._log.exception("peer_handler_failed", type=type_name)
