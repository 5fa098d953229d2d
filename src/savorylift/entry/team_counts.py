"""Requests in flight on this node by team."""

import threading


class TeamCounts:
    """Counts requests in and out; safe from any thread."""

    def __init__(self) -> None:
        """Starts with nothing in flight."""
        self._counts: dict[str, int] = {}
        self._lock = threading.Lock()

    def enter(self, team: str, bound: int) -> bool:
        """Counts a request in; False if `bound` (0 for none) is reached."""
        with self._lock:
            count = self._counts.get(team, 0)
            if bound and count >= bound:
                return False
            self._counts[team] = count + 1
            return True

    def leave(self, team: str) -> None:
        """Counts a request out."""
        with self._lock:
            left = self._counts.pop(team) - 1
            if left:
                self._counts[team] = left
