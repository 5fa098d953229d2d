"""Messages between nodes survive the peers' codec."""

import pytest

from savorylift.calls.messages import (
    ClaimAnswer,
    ClaimAsk,
    ClaimBody,
    ClaimState,
    ConcludeAnswer,
    ConcludeAsk,
)
from savorylift.identity import NodeRef
from savorylift.outcomes import Ending, Reason
from savorylift.peers.codec import decode_envelope, decode_message, encode
from savorylift.peers.link import Message
from savorylift.refusals.messages import (
    Batch,
    CopyAnswer,
    CopyAsk,
    CountLine,
    DropCopies,
    LineKey,
)
from tests.refusals.test_query import ROWS

KEY = LineKey(0, "t", Ending.FAILED, Reason.BACKEND_LOST, None, None)
CLAIM = ClaimBody(bytes(range(16)), "f", "entry-1", "i1", "r1")


@pytest.mark.parametrize(
    "message",
    [
        ClaimAsk(0, "c1", CLAIM, 900),
        ClaimAnswer(ClaimState.RUNNING, "entry-2", "i2", 7),
        ConcludeAsk(1, "void-c1", "claims.void", "[]"),
        ConcludeAnswer(is_appended=True),
        CopyAsk(Batch("n0", "i0", ROWS, (CountLine(KEY, ((0, 3),)),))),
        CopyAnswer(is_held=True),
        DropCopies(((0, 5), (7, 9))),
    ],
)
def test_round_trip(message: Message) -> None:
    frame = encode(NodeRef("n0", "i0"), message, 1)
    envelope = decode_envelope(frame).unwrap()
    assert decode_message(envelope, type(message)).unwrap() == message
