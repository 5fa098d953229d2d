"""Questions to other nodes that have no answer yet."""

import asyncio
from concurrent.futures import Future
from typing import Any, NamedTuple

from returns.result import Failure, Result

from savorylift.peers.link import Message, PeerFault


class Question:
    """An ask that has no answer yet; used on the loop's thread only."""

    def __init__(
        self, request: int, answer_type: type[Message], fut: "Future[Any]"
    ) -> None:
        """Starts unsent."""
        self.request = request
        self.answer_type = answer_type
        self.sent = False
        self.timer: asyncio.TimerHandle | None = None
        self._fut = fut

    def resolve(self, result: Result[Message, PeerFault]) -> None:
        """Resolves the question, once."""
        if self.timer is not None:
            self.timer.cancel()
        if not self._fut.done():
            self._fut.set_result(result)

    def fail(self, message: str) -> None:
        """Ends the question without an answer."""
        self.resolve(Failure(PeerFault(self.sent, message)))


class Outbound(NamedTuple):
    """A frame that waits for its connection."""

    type_name: str
    frame: bytes
    question: Question | None
