"""Voids and outcomes on their way to a node that appends them."""

import functools
import itertools
import time
from collections.abc import Callable
from concurrent.futures import Future
from typing import NamedTuple

import pykka

from savorylift.calls.messages import ConcludeAnswer, ConcludeAsk

MAX_PENDING = 20_000
RETRY_S = 1.0
MAX_OUT = 200

Route = Callable[[ConcludeAsk, int], "Future[ConcludeAnswer]"]


class Retry(NamedTuple):
    """Time to try again what has not been appended."""


class _Ended(NamedTuple):
    record_id: str
    is_appended: bool


class Pending(NamedTuple):
    """Asks how many records are not known to be on the log."""


class _Item(NamedTuple):
    ask: ConcludeAsk
    attempt: int
    is_out: bool
    retry_s: float


class OutboxActor(pykka.ThreadingActor):
    """Holds records until some node says that they are on the log.

    Past `MAX_PENDING` the oldest is dropped; its key then stays `unknown`,
    which is never false.
    """

    use_daemon_thread = True

    def __init__(self, route: Route) -> None:
        """Sends through `route`, given the record and the attempt."""
        super().__init__()
        self._route = route
        self._items: dict[str, _Item] = {}
        self._out = 0

    def on_receive(self, message: object) -> int:
        """Takes one message; returns how many records are held."""
        if isinstance(message, ConcludeAsk):
            self._hold(message)
        elif isinstance(message, _Ended):
            self._note_ended(message)
            self._send_due()
        elif isinstance(message, Retry):
            self._send_due()
        return len(self._items)

    def _hold(self, ask: ConcludeAsk) -> None:
        if len(self._items) >= MAX_PENDING:
            del self._items[next(iter(self._items))]
        self._items[ask.record_id] = _Item(ask, 0, False, 0.0)
        self._send_due()

    def _send_due(self) -> None:
        if self._out >= MAX_OUT:
            return
        now_s = time.monotonic()
        due = (
            record_id
            for record_id, item in self._items.items()
            if not item.is_out and item.retry_s <= now_s
        )
        for record_id in list(itertools.islice(due, MAX_OUT - self._out)):
            self._send(record_id)

    def _send(self, record_id: str) -> None:
        item = self._items[record_id]
        self._items[record_id] = item._replace(is_out=True)
        self._out += 1
        fut = self._route(item.ask, item.attempt)
        fut.add_done_callback(functools.partial(self._tell_ended, record_id))

    def _tell_ended(
        self, record_id: str, fut: "Future[ConcludeAnswer]"
    ) -> None:
        if self.actor_ref.is_alive():
            self.actor_ref.tell(_Ended(record_id, fut.result().is_appended))

    def _note_ended(self, ended: _Ended) -> None:
        self._out -= 1
        item = self._items.get(ended.record_id)
        if item is None:
            return
        if ended.is_appended:
            del self._items[ended.record_id]
            return
        self._items[ended.record_id] = item._replace(
            attempt=item.attempt + 1,
            is_out=False,
            retry_s=time.monotonic() + RETRY_S,
        )
