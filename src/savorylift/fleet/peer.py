"""What a node knows of another one."""

from typing import NamedTuple

from savorylift.fleet.state import NodeState

# A node is live for this long after its last message: five messages in a row
# are missing by then.
LIVENESS_TIMEOUT_S = 1.0
# A node with a longer message interval is live for this many intervals.
LIVENESS_TIMEOUT_INTERVALS = 4


class PatchOutcome(NamedTuple):
    """What became of a patch.

    Attributes:
        state: The state that it stands for, if it says something new.
        must_ask: Whether its sender must be asked for its whole state.
    """

    state: NodeState | None
    must_ask: bool


class Peer(NamedTuple):
    """Another node's newest state, and when it was heard.

    Attributes:
        state: The state.
        received_s: Monotonic time at which it was received.
        heard_s: Monotonic time of the node's last message, of any kind.
        running_s: The same on the clock that stands still while this process
            does.
        live_until_s: Time on that clock until which the node counts as live,
            as far as this node hears it.
        sequence: Number of its last message.
        base: The last state that came whole, which patches are for.
        base_s: Monotonic time at which that was received.
        is_silenced: Whether several others don't hear it any more.
    """

    state: NodeState
    received_s: float
    heard_s: float
    running_s: float
    live_until_s: float
    sequence: int
    base: NodeState
    base_s: float
    is_silenced: bool = False

    @classmethod
    def from_whole(
        cls, state: NodeState, now_s: float, running_s: float
    ) -> "Peer":
        """Returns a peer that has just sent its whole state."""
        return cls(
            state,
            now_s,
            now_s,
            running_s,
            running_s + _timeout_s(state),
            state.sequence,
            state,
            now_s,
        )

    def with_patch(
        self, state: NodeState, now_s: float, running_s: float
    ) -> "Peer":
        """Returns the peer after a patch of its state."""
        return Peer(
            state,
            now_s,
            now_s,
            running_s,
            running_s + _timeout_s(state),
            state.sequence,
            self.base,
            self.base_s,
        )

    def with_base(self, base: NodeState, now_s: float) -> "Peer":
        """Returns the peer with a whole state that patches are for."""
        return self._replace(base=base, base_s=now_s)

    def is_same_node(self, state: NodeState) -> bool:
        """Whether a state is of the same process at the same place."""
        last = self.state
        return (
            last.incarnation == state.incarnation
            and last.is_leaving == state.is_leaving
            and last.node == state.node
            and last.failure_domain == state.failure_domain
        )

    def touched(self, sequence: int, now_s: float, running_s: float) -> "Peer":
        """Returns the peer after a message that says nothing new."""
        return Peer(
            self.state,
            self.received_s,
            now_s,
            running_s,
            running_s + _timeout_s(self.state),
            sequence,
            self.base,
            self.base_s,
        )


def _timeout_s(state: NodeState) -> float:
    return max(
        LIVENESS_TIMEOUT_S, LIVENESS_TIMEOUT_INTERVALS * state.interval_s
    )
