"""Outages of the store, and when it answered any node again."""

from collections.abc import Callable

# Entries in the store may expire during an outage that is longer than this.
OUTAGE_S = 1.0
# The same between two readings by other nodes: the store may hold a poll open
# for a second, which is no outage.
OTHERS_OUTAGE_S = 1.1


class StoreOutage:
    """The outage that this node's calls meet, by the readings of all nodes.

    The store is back for all nodes when it answers the first of them. This
    node's next call may come seconds later, or never.
    """

    def __init__(self, others_read_s: Callable[[], float | None]) -> None:
        """Starts without an outage.

        Args:
            others_read_s: Returns the monotonic time of the newest reading by
                another node; None without one.
        """
        self._others_read_s = others_read_s
        # Time of the newest reading by any node; None without an outage.
        self._since_s: float | None = None
        # From which a failure of the call under way counts: the newest reading
        # as it began, or later as far as others went on reading.
        self._before_s = 0.0
        self._fault_s = 0.0
        self._is_calling = False

    def begin_call(self, now_s: float, own_read_s: float | None) -> None:
        """Notes a call that may fail long after the store was lost, and back.

        Args:
            now_s: Monotonic time.
            own_read_s: Time of this node's last reading; None before the first.
        """
        readings = (own_read_s, self._others_read_s())
        self._before_s = max(
            (read_s for read_s in readings if read_s is not None), default=now_s
        )
        self._is_calling = True

    def follow(self) -> None:
        """Notes readings by others during a call; to be called periodically.

        A call that hangs may fail long after it began: only so is it known
        whether the store answered others all the while.
        """
        if not self._is_calling or self._since_s is not None:
            return
        read_s = self._others_read_s()
        if read_s is not None and read_s - self._before_s <= OTHERS_OUTAGE_S:
            self._before_s = max(self._before_s, read_s)

    def note_failure(self, now_s: float) -> None:
        """Notes that the call failed."""
        self._is_calling = False
        self._fault_s = now_s
        if self._since_s is None:
            self._since_s = self._before_s

    def note_reading(self, now_s: float) -> float | None:
        """Notes a reading by this node.

        Returns:
            Time at which an outage ended; None if none ends now.
        """
        self._is_calling = False
        ended_s = self.look()
        since_s, self._since_s = self._since_s, None
        if since_s is not None and now_s - since_s > OUTAGE_S:
            return now_s
        return ended_s

    def has_news(self) -> bool:
        """Whether another node has read since, so that `look` has to."""
        if self._since_s is None:
            return False
        read_s = self._others_read_s()
        return read_s is not None and read_s > self._since_s

    def look(self) -> float | None:
        """Returns when an outage ended for others; None if none ends now."""
        read_s = self._others_read_s()
        if self._since_s is None or read_s is None or read_s <= self._since_s:
            return None
        gap_s, self._since_s = read_s - self._since_s, read_s
        # A call that began before doesn't count this time again.
        self._before_s = max(self._before_s, read_s)
        if gap_s > OTHERS_OUTAGE_S:
            self._since_s = None
            return read_s
        if read_s - self._fault_s > OTHERS_OUTAGE_S:
            # The store has answered them all the while.
            self._since_s = None
        return None
