"""Other nodes as the source of records while the log does not answer."""

import time
from collections.abc import Callable, Sequence
from typing import NamedTuple

from savorylift.identity import NodeRef
from savorylift.rules.messages import RecordsAsk, StateAsk
from savorylift.rules.peer_ring import PeerRing
from savorylift.rules.stream import RulesStream

ASK_INTERVAL_S = 0.4
NEVER_S = float("-inf")


class PeerQuestions(NamedTuple):
    """Sends questions to other nodes; answers come back as messages.

    Attributes:
        live_peers: Returns the nodes that can be reached now.
        ask_records: Asks for records.
        ask_state: Asks for the whole state.
    """

    live_peers: Callable[[], Sequence[NodeRef]]
    ask_records: Callable[[NodeRef, RecordsAsk], None]
    ask_state: Callable[[NodeRef, StateAsk], None]


class PeerSource:
    """Decides when to ask which node for what."""

    def __init__(
        self, stream: RulesStream, questions: PeerQuestions, after_s: float
    ) -> None:
        """Asks once the log has not answered for `after_s`."""
        self._stream = stream
        self._questions = questions
        self._after_s = after_s
        self._log_answered_s = NEVER_S
        self._asked_s = NEVER_S
        self._ring = PeerRing(questions.live_peers)

    def log_answered(self) -> None:
        """Notes that the log answered."""
        self._log_answered_s = time.monotonic()

    def tick(self) -> None:
        """Asks the next node if the log fails to answer or has a gap."""
        if time.monotonic() - self._asked_s < ASK_INTERVAL_S:
            return
        if not self._stream.is_rebuilding and self._has_log():
            return
        node = self._ring.next()
        if node is None:
            return
        if self._stream.is_rebuilding:
            self.ask_state(node)
        else:
            self.ask_records(node)

    def peer_is_ahead(self, node: NodeRef, offset: int) -> None:
        """Asks a node with newer records, if the log does not answer."""
        if offset >= self._stream.next_offset and not self._has_log():
            self.ask_records(node)

    def ask_records(self, node: NodeRef) -> None:
        """Asks a node for the records that are next."""
        self._asked_s = time.monotonic()
        question = RecordsAsk(self._stream.next_offset)
        self._questions.ask_records(node, question)

    def ask_state(self, node: NodeRef) -> None:
        """Asks a node for its state."""
        self._asked_s = time.monotonic()
        question = StateAsk(self._stream.next_offset - 1)
        self._questions.ask_state(node, question)

    def _has_log(self) -> bool:
        return time.monotonic() - self._log_answered_s < self._after_s
