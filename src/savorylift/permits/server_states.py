"""What keepers last said about their backend servers."""

import time
from collections.abc import Iterable, Mapping

from savorylift.permits.gate import BackendHint
from savorylift.permits.messages import ServerState

UNKNOWN_WAIT_S = 1.0


class ServerStates:
    """Newest states, as hints for placement and as expected waits.

    Attributes:
        hints: By backend server name; replaced, never changed, so that other
            threads may read it.
    """

    def __init__(self) -> None:
        """Starts with no state."""
        self.hints: Mapping[str, BackendHint] = {}
        self._wait_s: dict[str, float] = {}

    def note(self, state: ServerState) -> None:
        """Notes a keeper's state."""
        hint = BackendHint(
            state.free_slots,
            state.free_tokens,
            state.waiting,
            state.cold,
            time.monotonic(),
        )
        self._wait_s[state.backend_server] = state.wait_s
        self.hints = {**self.hints, state.backend_server: hint}

    def least_wait_s(self, servers: Iterable[str]) -> float:
        """Returns the shortest expected wait, in seconds."""
        known = [self._wait_s.get(name) for name in servers]
        waits = [wait_s for wait_s in known if wait_s]
        return min(waits, default=UNKNOWN_WAIT_S)
