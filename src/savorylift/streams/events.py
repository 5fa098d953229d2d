"""Token events as engines send them and callers receive them."""

from typing import NamedTuple, NotRequired, TypedDict

import msgspec
from returns.result import Failure, Result, Success

END_MARK = b"[DONE]"
# Any other reason, such as `cancelled`, is no end of a whole answer.
FINISHED = frozenset({"stop", "length"})
MAX_EVENT_BYTES = 65_536  # one token each; more means a broken engine


class TokenEvent(NamedTuple):
    """One event of a generation.

    Attributes:
        generation_id: Generation that the engine names in the event.
        token_index: Position of the token in the output, from 0.
        token: Text of the token; empty in the finishing event.
        finish_reason: `stop` or `length` in the finishing event, else None.
    """

    generation_id: str
    token_index: int
    token: str
    finish_reason: str | None


class _EngineEvent(TypedDict):
    id: str
    index: int
    token: str
    finish_reason: NotRequired[str | None]


_decoder = msgspec.json.Decoder(_EngineEvent)


def decode_event(data: bytes) -> Result[TokenEvent, str]:
    """Decodes the data of one engine event; fails with the cause."""
    try:
        event = _decoder.decode(data)
    except msgspec.MsgspecError as exc:
        return Failure(f"bad engine event: {exc}")
    reason = event.get("finish_reason")
    if reason is not None and reason not in FINISHED:
        return Failure(f"generation ended early: {reason}")
    return Success(
        TokenEvent(
            event["id"],
            event["index"],
            event["token"],
            reason,
        )
    )


class EventSplitter:
    """Cuts a byte stream into the data of server-sent events."""

    def __init__(self) -> None:
        """Starts with no bytes received."""
        self._rest = b""

    def feed(self, data: bytes) -> list[bytes]:
        """Returns the data of each event completed by `data`."""
        *blocks, self._rest = (self._rest + data).split(b"\n\n")
        return [text for block in blocks if (text := _data_of(block))]

    def is_overfull(self) -> bool:
        """Returns True if an unfinished event exceeds its largest size."""
        return len(self._rest) > MAX_EVENT_BYTES


def _data_of(block: bytes) -> bytes:
    lines = block.splitlines()
    parts = [line[5:].strip() for line in lines if line.startswith(b"data:")]
    return b"\n".join(parts)
