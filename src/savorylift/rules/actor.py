"""The actor that owns this node's state of the rules stream."""

import pykka
from returns.result import Success

from savorylift.rules import inbox
from savorylift.rules.node import RulesNode


class RulesActor(pykka.ThreadingActor):
    """Dispatches each message to `RulesNode`."""

    use_daemon_thread = True

    def __init__(self, node: RulesNode) -> None:
        """Takes over `node`, which nothing else may call any more."""
        super().__init__()
        self._node = node

    def on_receive(self, message: object) -> object:
        """Handles one message; returns the answer to an ask."""
        match message:
            case inbox.PageRead():
                return self._node.take_page(message)
            case inbox.ReadFailed():
                return self._node.read_failed()
            case inbox.SubmitOrder():
                return self._node.submit(message)
            case inbox.OrderQuestion():
                return self._node.order_state(message.record_id)
            case _:
                self._take(message)
                return None

    def _take(self, message: object) -> None:
        match message:
            case inbox.Tick():
                self._node.tick()
            case inbox.AppendEnded():
                self._node.append_ended(message)
            case inbox.PeerIsAhead():
                self._node.peer_is_ahead(message.node, message.offset)
            case inbox.GossipCame():
                self._node.take_gossip(message.gossip)
            case _:
                self._take_from_peer(message)

    def _take_from_peer(self, message: object) -> None:
        match message:
            case inbox.RecordsWanted():
                answer = self._node.answer_records(message.question)
                message.fut.set_result(answer)
            case inbox.StateWanted():
                state = self._node.answer_state(message.question)
                message.fut.set_result(state)
            case inbox.RecordsCame():
                self._take_records(message)
            case inbox.StateCame():
                self._take_state(message)
            case _:
                raise AssertionError(f"unknown message {message!r}")

    def _take_records(self, message: inbox.RecordsCame) -> None:
        if isinstance(message.result, Success):
            answer = message.result.unwrap()
            self._node.take_records(message.node, message.sent_s, answer)
        else:
            self._node.peer_failed()

    def _take_state(self, message: inbox.StateCame) -> None:
        if isinstance(message.result, Success):
            self._node.take_state(message.sent_s, message.result.unwrap())
        else:
            self._node.peer_failed()
