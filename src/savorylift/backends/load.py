"""Requests and recent results of this node at each backend server."""

import collections
import time
from collections.abc import Iterable, Mapping
from typing import NamedTuple

from savorylift.fleet.state import ServerLoad

# Long enough for a failure rate at a few requests per second, short enough to
# try a server again soon after it has recovered.
RESULT_WINDOW_S = 5.0
MIN_HEALTH_SAMPLES = 4
MAX_FAILURE_RATE = 0.3


class Load(NamedTuple):
    """The load of one backend server from all nodes.

    Attributes:
        requests: Number of requests in flight.
        tokens: Tokens that its generations are expected to reach.
        prefill_tokens: Prompt tokens of the generations that have sent no
            event yet, because the server still has to prefill them.
        succeeded: Number of requests that recently succeeded.
        failed: Number of requests that recently failed.
    """

    requests: int = 0
    tokens: int = 0
    prefill_tokens: int = 0
    succeeded: int = 0
    failed: int = 0

    @property
    def is_unhealthy(self) -> bool:
        """Whether too many of the recent requests failed."""
        ended = self.succeeded + self.failed
        return (
            ended >= MIN_HEALTH_SAMPLES
            and self.failed > MAX_FAILURE_RATE * ended
        )


class LoadTracker:
    """Tracks the load that this node puts on each backend server."""

    def __init__(self) -> None:
        """Creates a tracker without requests."""
        self._tokens: dict[str, dict[str, int]] = {}
        self._prefill_tokens: dict[tuple[str, str], int] = {}
        self._results: dict[str, collections.deque[tuple[float, bool]]] = {}
        # Results of `_count_load` and `loads` that still hold.
        self._cached_loads: dict[str, ServerLoad] = {}
        self._cached_list: tuple[ServerLoad, ...] | None = None

    def add_request(
        self,
        server_id: str,
        attempt_id: str,
        tokens: int,
        prefill_tokens: int = 0,
    ) -> None:
        """Adds a request that is about to be sent.

        Args:
            server_id: Server that gets the request.
            attempt_id: Identifier of the request.
            tokens: Tokens that a generation is expected to reach.
            prefill_tokens: Prompt tokens, counted until the first event.
        """
        self._note_change(server_id)
        self._tokens.setdefault(server_id, {})[attempt_id] = tokens
        if prefill_tokens:
            self._prefill_tokens[server_id, attempt_id] = prefill_tokens

    def mark_prefilled(self, server_id: str, attempt_id: str) -> None:
        """Marks the prompt of a generation as prefilled."""
        if self._prefill_tokens.pop((server_id, attempt_id), None) is not None:
            self._note_change(server_id)

    def open_requests(self, server_id: str) -> int:
        """Returns the number of this node's requests in flight at a server."""
        return len(self._tokens.get(server_id, ()))

    def remove_request(self, server_id: str, attempt_id: str) -> None:
        """Removes a request that has ended; does nothing if it is unknown."""
        self._note_change(server_id)
        requests = self._tokens.get(server_id, {})
        requests.pop(attempt_id, None)
        self._prefill_tokens.pop((server_id, attempt_id), None)
        if not requests:
            self._tokens.pop(server_id, None)

    def record_result(self, server_id: str, *, is_success: bool) -> None:
        """Records whether a request succeeded at a server."""
        self._note_change(server_id)
        results = self._results.setdefault(server_id, collections.deque())
        results.append((time.monotonic(), is_success))

    def loads(self) -> tuple[ServerLoad, ...]:
        """Returns this node's load on each server.

        Servers without requests are included while they have recent results.
        """
        self._drop_old_results()
        if self._cached_list is None:
            server_ids = sorted(self._tokens.keys() | self._results.keys())
            self._cached_list = tuple(map(self._find_load, server_ids))
        return self._cached_list

    def _note_change(self, server_id: str) -> None:
        self._cached_loads.pop(server_id, None)
        self._cached_list = None

    def _find_load(self, server_id: str) -> ServerLoad:
        load = self._cached_loads.get(server_id)
        if load is None:
            load = self._cached_loads[server_id] = self._count_load(server_id)
        return load

    def _count_load(self, server_id: str) -> ServerLoad:
        requests = self._tokens.get(server_id, {})
        results = [
            is_success for _, is_success in self._results.get(server_id, ())
        ]
        return ServerLoad(
            server_id,
            len(requests),
            sum(requests.values()),
            sum(
                self._prefill_tokens.get((server_id, attempt_id), 0)
                for attempt_id in requests
            ),
            results.count(True),
            results.count(False),
        )

    def _drop_old_results(self) -> None:
        oldest_s = time.monotonic() - RESULT_WINDOW_S
        for server_id, results in list(self._results.items()):
            while results and results[0][0] < oldest_s:
                results.popleft()
                self._note_change(server_id)
            if not results:
                del self._results[server_id]


def add_loads(
    known: Mapping[str, Load], parts: Iterable[ServerLoad]
) -> dict[str, Load]:
    """Returns the load of each server with that of one more node."""
    totals = dict(known)
    for part in parts:
        total = totals.get(part.server_id, Load())
        totals[part.server_id] = Load(
            total.requests + part.requests,
            total.tokens + part.tokens,
            total.prefill_tokens + part.prefill_tokens,
            total.succeeded + part.succeeded,
            total.failed + part.failed,
        )
    return totals
