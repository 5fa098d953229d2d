"""Takes the reachable nodes in turn."""

from collections.abc import Callable, Sequence

from savorylift.identity import NodeRef


class PeerRing:
    """One user's place in the round of reachable nodes."""

    def __init__(self, live_peers: Callable[[], Sequence[NodeRef]]) -> None:
        """Takes the function that returns the nodes reachable now."""
        self._live_peers = live_peers
        self._turn = 0

    def next(self) -> NodeRef | None:
        """Returns the next node; None if none can be reached."""
        peers = self._live_peers()
        if not peers:
            return None
        self._turn += 1
        return peers[self._turn % len(peers)]
