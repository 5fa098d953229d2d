"""What this node knows of its links to backend servers."""

from collections.abc import Collection
from typing import NamedTuple

# A failure says nothing about the link any more after this time.
SUSPICION_S = 5.0
# A server that answered this lately shows that the node isn't cut off.
FRESH_ANSWER_S = 1.0
# One connection may fail by itself.
MIN_FAILURES = 2


class _Failures(NamedTuple):
    """Failures since the last answer: their number, and monotonic times."""

    number: int
    first_s: float
    last_s: float


class ReachBeliefs:
    """Suspects servers whose connections fail without any answer.

    An answer counts only on a connection that was opened after the failure:
    those that were open before may live on while new ones are refused.
    """

    def __init__(self) -> None:
        """Starts without any suspicion."""
        self._failures: dict[str, _Failures] = {}
        self._answered_s: dict[str, float] = {}

    def record_failure(self, server_id: str, now_s: float) -> None:
        """Records a connection that brought no byte of an answer."""
        known = _Failures(0, now_s, now_s)
        if self.is_suspect(server_id, now_s):
            known = self._failures[server_id]
        self._failures[server_id] = _Failures(
            known.number + 1, known.first_s, now_s
        )

    def record_answer(
        self, server_id: str, opened_s: float, now_s: float
    ) -> None:
        """Records an answer on a connection that was opened at `opened_s`."""
        failures = self._failures.get(server_id)
        if failures is not None and opened_s < failures.first_s:
            return
        self._failures.pop(server_id, None)
        self._answered_s[server_id] = now_s

    def is_suspect(self, server_id: str, now_s: float) -> bool:
        """Whether the link to a server may be cut."""
        failures = self._failures.get(server_id)
        return failures is not None and now_s - failures.last_s < SUSPICION_S

    def may_be_cut_off(self, server_ids: Collection[str], now_s: float) -> bool:
        """Whether it is worth checking if a service's links are all cut."""
        suspects = [s for s in server_ids if self.is_suspect(s, now_s)]
        failures = sum(self._failures[s].number for s in suspects)
        if failures < min(MIN_FAILURES, len(server_ids)) or not suspects:
            return False
        return not any(
            now_s - self._answered_s.get(server_id, -FRESH_ANSWER_S)
            < FRESH_ANSWER_S
            for server_id in server_ids
            if server_id not in suspects
        )

    def suspects(self, now_s: float) -> list[str]:
        """Returns the IDs of the servers whose links may be cut."""
        return [s for s in self._failures if self.is_suspect(s, now_s)]

    def forget_old(self, now_s: float) -> None:
        """Drops what says nothing any more."""
        self._failures = {
            server_id: failures
            for server_id, failures in self._failures.items()
            if now_s - failures.last_s < SUSPICION_S
        }
        self._answered_s = {
            server_id: answered_s
            for server_id, answered_s in self._answered_s.items()
            if now_s - answered_s < FRESH_ANSWER_S
        }
