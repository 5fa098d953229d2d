"""This node's work on backend servers, and how it went lately."""

import collections
import time
from collections.abc import Iterable
from typing import NamedTuple

from savorylift.fleet.state import ServerLoad

# Long enough to see a pattern at a few requests a second, short enough that
# a server that is well again is tried soon.
WINDOW_S = 5.0
# Idle servers are still told of while their results are fresh.
GREY_SAMPLES = 4
GREY_FAILURES = 0.3


class Load(NamedTuple):
    """The work of all nodes on one backend server.

    Attributes:
        requests: Requests under way.
        tokens: Tokens that its generations are expected to reach.
        unread: Prompt tokens of those that have made no event yet.
        succeeded: Requests that ended well lately.
        failed: Requests that failed lately.
    """

    requests: int = 0
    tokens: int = 0
    unread: int = 0
    succeeded: int = 0
    failed: int = 0

    @property
    def is_grey(self) -> bool:
        """Whether the server fails far more often than it should."""
        ended = self.succeeded + self.failed
        return ended >= GREY_SAMPLES and self.failed > GREY_FAILURES * ended


class Work:
    """Requests under way from this node, by backend server."""

    def __init__(self) -> None:
        """Starts without work."""
        self._tokens: dict[str, dict[str, int]] = {}
        self._unread: dict[tuple[str, str], int] = {}
        self._results: dict[str, collections.deque[tuple[float, bool]]] = {}

    def begin(
        self, server_id: str, attempt_id: str, tokens: int, unread: int = 0
    ) -> None:
        """Counts a request that is about to be sent.

        Args:
            server_id: Where to.
            attempt_id: The request.
            tokens: Tokens that a generation is expected to reach.
            unread: Tokens of its prompt, until its first event.
        """
        self._tokens.setdefault(server_id, {})[attempt_id] = tokens
        if unread:
            self._unread[server_id, attempt_id] = unread

    def note_event(self, server_id: str, attempt_id: str) -> None:
        """Notes that a generation's prompt has been read."""
        self._unread.pop((server_id, attempt_id), None)

    def open_requests(self, server_id: str) -> int:
        """Returns how many requests this node has at a server."""
        return len(self._tokens.get(server_id, ()))

    def end(self, server_id: str, attempt_id: str) -> None:
        """Counts a request that is over; a second call does nothing."""
        requests = self._tokens.get(server_id, {})
        requests.pop(attempt_id, None)
        self._unread.pop((server_id, attempt_id), None)
        if not requests:
            self._tokens.pop(server_id, None)

    def judge(self, server_id: str, *, is_success: bool) -> None:
        """Remembers how a request ended at a server."""
        results = self._results.setdefault(server_id, collections.deque())
        results.append((time.monotonic(), is_success))

    def loads(self) -> tuple[ServerLoad, ...]:
        """Returns this node's part of the work."""
        self._drop_old_results()
        names = sorted(self._tokens.keys() | self._results.keys())
        return tuple(self._load(name) for name in names)

    def _load(self, server_id: str) -> ServerLoad:
        requests = self._tokens.get(server_id, {})
        results = [ok for _, ok in self._results.get(server_id, ())]
        return ServerLoad(
            server_id,
            len(requests),
            sum(requests.values()),
            sum(self._unread.get((server_id, name), 0) for name in requests),
            results.count(True),
            results.count(False),
        )

    def _drop_old_results(self) -> None:
        oldest_s = time.monotonic() - WINDOW_S
        for server_id, results in list(self._results.items()):
            while results and results[0][0] < oldest_s:
                results.popleft()
            if not results:
                del self._results[server_id]


def add_up(parts: Iterable[ServerLoad]) -> dict[str, Load]:
    """Returns the whole load of each server from the nodes' parts."""
    total: dict[str, Load] = {}
    for part in parts:
        so_far = total.get(part.server_id, Load())
        total[part.server_id] = Load(
            so_far.requests + part.requests,
            so_far.tokens + part.tokens,
            so_far.unread + part.unread,
            so_far.succeeded + part.succeeded,
            so_far.failed + part.failed,
        )
    return total
