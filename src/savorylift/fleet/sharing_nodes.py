"""The nodes that share limits, and what this node's share is.

Requests ask for it, so that no answer takes time for each node: nodes are kept
in the order in which they were last heard, and what their ranking says of a
server is kept until they change.
"""

from typing import NamedTuple

from savorylift.rendezvous import rank

# A silent node still counts towards shared limits for this long: it may come
# back, or be cut off from just this node.
SHARING_TIMEOUT_S = 30.0
# Most servers whose ranking is kept.
MAX_PLACES = 4096


class _Place(NamedTuple):
    """Where this node stands among those that share a server.

    Attributes:
        nodes: Number of nodes, this one included.
        position: Number of nodes before this one.
    """

    nodes: int
    position: int


class SharingNodes:
    """Nodes that were heard lately; times must not go back."""

    def __init__(self, own_ip: str) -> None:
        """Starts with this node alone."""
        self._own_ip = own_ip
        # Monotonic time at which each other node was last heard, oldest first.
        self._heard_s: dict[str, float] = {}
        # By the ID of a server.
        self._places: dict[str, _Place] = {}

    def hear(self, ip: str, now_s: float) -> None:
        """Records a message of another node."""
        if self._heard_s.pop(ip, None) is None:
            self._places.clear()
        self._heard_s[ip] = now_s

    def count(self, now_s: float) -> int:
        """Returns how many nodes, including this one, share a limit."""
        self._drop_silent(now_s)
        return 1 + len(self._heard_s)

    def own_share(self, server_id: str, slots: int, now_s: float) -> int:
        """Returns how many of a server's slots this node may use.

        Nodes that see the same members never claim a slot twice.

        Args:
            server_id: Identifier of the server.
            slots: Requests that the server accepts from all nodes.
            now_s: Monotonic time.
        """
        self._drop_silent(now_s)
        place = self._places.get(server_id)
        if place is None:
            place = self._find_place(server_id)
        quotient, remainder = divmod(slots, place.nodes)
        return quotient + (place.position < remainder)

    def _find_place(self, server_id: str) -> _Place:
        order = rank(server_id, [self._own_ip, *self._heard_s])
        if len(self._places) >= MAX_PLACES:
            self._places.clear()
        place = _Place(len(order), order.index(self._own_ip))
        self._places[server_id] = place
        return place

    def _drop_silent(self, now_s: float) -> None:
        while self._heard_s:
            oldest = next(iter(self._heard_s))
            if now_s - self._heard_s[oldest] <= SHARING_TIMEOUT_S:
                return
            del self._heard_s[oldest]
            self._places.clear()
