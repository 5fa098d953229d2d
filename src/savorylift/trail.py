"""What this node decided about recent requests, for `explain`."""

import collections
import threading
import time
from typing import NamedTuple

MAX_REQUESTS = 4096
MAX_DECISIONS = 16  # of one request; more tell nothing new


class Decision(NamedTuple):
    """One decision about a request.

    Attributes:
        time_ms: Wall-clock time.
        what: `dispatched`, `answered` or the reason of a refusal.
        backend_server: Backend server concerned, or an empty string.
        keeper: VM of the node that granted the permit, or an empty string.
        rules_offset: Log offset of the rules that were judged against.
        detail: One plain sentence, or an empty string.
    """

    time_ms: int
    what: str
    backend_server: str
    keeper: str
    rules_offset: int
    detail: str


class Trail:
    """Keeps the decisions of the newest requests in memory."""

    def __init__(self, max_requests: int = MAX_REQUESTS) -> None:
        """Starts empty."""
        self._max_requests = max_requests
        self._requests: collections.OrderedDict[str, list[Decision]] = (
            collections.OrderedDict()
        )
        self._lock = threading.Lock()

    def note(
        self,
        request_id: str,
        what: str,
        rules_offset: int,
        backend_server: str = "",
        keeper: str = "",
        detail: str = "",
    ) -> None:
        """Keeps one decision; forgets the oldest request past the bound."""
        decision = Decision(
            int(time.time() * 1000),
            what,
            backend_server,
            keeper,
            rules_offset,
            detail,
        )
        with self._lock:
            decisions = self._requests.setdefault(request_id, [])
            if len(decisions) < MAX_DECISIONS:
                decisions.append(decision)
            if len(self._requests) > self._max_requests:
                self._requests.popitem(last=False)

    def find(self, request_id: str) -> tuple[Decision, ...]:
        """Returns what is kept of a request, oldest first."""
        with self._lock:
            return tuple(self._requests.get(request_id, ()))
