"""Tests of messages between nodes of different builds."""

import cbor2
import msgspec
import pytest
from returns.pipeline import is_successful

from savorylift.fleet.codec import (
    HEADER_BYTES,
    LAYOUT_VERSION,
    Message,
    Packing,
    decode,
    encode,
)
from savorylift.fleet.move_messages import MoveEnd, MoveReply, MoveRequest
from savorylift.fleet.room_messages import (
    RoomEnds,
    RoomOutcome,
    RoomReply,
    RoomRequest,
)
from savorylift.fleet.state import (
    AnswerCell,
    AnswerReport,
    BrittleNews,
    Change,
    CrashReport,
    Delta,
    LeavingServer,
    LimitNews,
    LimitReport,
    NodeState,
    OriginAck,
    OriginNews,
    OriginQuery,
    OriginReply,
    PermitReply,
    PermitRequest,
    QuarantineNews,
    RolloutPhase,
    ServerLoad,
    ServerProcess,
    Snapshot,
    SoundPart,
    Stage,
    StageNews,
    StreamOrigin,
    Topic,
    VersionSighting,
)
from savorylift.moves.move_order import PlannedMove
from tests.fleet.test_membership import state

REPORT = LimitReport("i-1", 1, 1.8, 0.5)
PROCESS = ServerProcess("i-1", 5, "v1", 0.5)
ORIGIN = StreamOrigin("a1", "s", "v1", 30.0, "m1", PROCESS)
ROOM_REQUEST = RoomRequest(
    7, "a1", "s", 1, "t", 2.0, 30, 20, 99.0, 1.5, 3.0, 0.1, 30.0,
    ("i-1",), "v1", ("r",), (5, 6), ("i-2",), "c1", "d1", 1, 2,
)  # fmt: skip
STAGE = Stage(
    "s", "o1", "v2", 12.0, RolloutPhase.WATCH, 2, 0.1, 1, 3.0, ("v0",)
)
MESSAGES: list[Message] = [
    state(2)._replace(
        loads=(ServerLoad("i-1", 1, 2, 3, 4, 5),),
        moves=(PlannedMove("i-1", 7, "a1"),),
        reading_age_s=0.5,
        version_sightings=(VersionSighting("s", "v1", 2.0),),
        quarantine_news=QuarantineNews(
            (CrashReport("i-1", 1.0, (("p", "q"),)),), (SoundPart("p", 2.0),)
        ),
        brittle_services=(BrittleNews("s", 1.0),),
        leaving_servers=(LeavingServer("i-1", 5),),
    ),
    Delta(Topic.SERVERS, (1, 2), (3, 4), (Change("k", b"v"),)),
    Snapshot(1, (2, 3), {"k": b"v"}, {}),
    LimitNews((REPORT,)),
    PermitRequest(7, REPORT, 0.5, True),
    PermitReply(7, True, 0.1),
    OriginNews((ORIGIN,)),
    OriginAck(("a1",)),
    OriginAck((), ("a1",)),
    OriginQuery(7, "a1"),
    OriginReply(7, ORIGIN),
    OriginReply(7, None),
    StageNews((STAGE,)),
    MoveRequest(
        7, "a1", "s", "i-1", "z1", 0.1, 100, 200, 2, 0.5, False, 1.5, ("i-2",)
    ),
    MoveReply(7, "go", "i-2"),
    MoveEnd(7, "i-2"),
    AnswerReport(
        "o1", "s", 7, (AnswerCell(0, True, "i-1", "r", 1, 2, 3, ((4, 5),)),)
    ),
    ROOM_REQUEST,
    RoomReply(7, RoomOutcome.GRANTED, "i-1", 0.0, 3, 0.4, 5),
    RoomEnds((5, 6)),
]


def type_name(message: object) -> str:
    return type(message).__name__


def repack(fields: object) -> bytes:
    return bytes([LAYOUT_VERSION, Packing.PLAIN]) + cbor2.dumps(fields)


def add_fields(value: object) -> object:
    """Returns a message with an unknown field at the end of each record."""
    if not isinstance(value, tuple):
        return value
    fields = [add_fields(item) for item in value]
    return [*fields, {"unknown": [1]}] if hasattr(value, "_fields") else fields


@pytest.mark.parametrize("message", MESSAGES, ids=type_name)
def test_message_is_decoded_as_sent(message: Message) -> None:
    assert decode(encode(message)).unwrap() == message


@pytest.mark.parametrize("message", MESSAGES, ids=type_name)
def test_unknown_field_of_a_newer_build_is_ignored(message: Message) -> None:
    kind, _ = cbor2.loads(encode(message)[HEADER_BYTES:])
    data = repack([kind, add_fields(message)])
    assert decode(data).unwrap() == message


def test_state_of_an_older_build_lacks_only_its_later_fields() -> None:
    message = MESSAGES[0]
    fields = list(msgspec.to_builtins(message))
    for missing in range(1, len(NodeState._field_defaults) + 1):
        decoded = decode(repack(["state", fields[:-missing]])).unwrap()
        later = NodeState._fields[-missing:]
        defaults = {n: NodeState._field_defaults[n] for n in later}
        assert isinstance(message, NodeState)
        assert decoded == message._replace(**defaults)


def test_room_request_of_an_older_build_asks_for_all_engines() -> None:
    fields = list(msgspec.to_builtins(ROOM_REQUEST))
    later = RoomRequest._fields.index("caller")
    decoded = decode(repack(["room_request", fields[:later]])).unwrap()
    assert isinstance(decoded, RoomRequest)
    assert (decoded.caller, decoded.repeat_id) == ("", "")
    assert (decoded.group, decoded.groups) == (0, 1)


def test_unknown_part_of_a_newer_build_is_ignored() -> None:
    fields = msgspec.to_builtins(MESSAGES[0])
    data = repack(["state", fields, "unknown"])
    assert decode(data).unwrap() == MESSAGES[0]


@pytest.mark.parametrize(
    "fields",
    [
        ["unknown", [1, 2]],
        ["state", []],
        ["state", [1, 2, 3]],
        ["state"],
        [],
        7,
        {"state": 1},
        [["state"], [1]],
    ],
)
def test_message_that_can_not_be_read_is_a_failure(fields: object) -> None:
    assert not is_successful(decode(repack(fields)))
