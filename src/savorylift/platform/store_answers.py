"""Decodes what the store answers.

Each record that can be read is, whatever another one of the same answer holds.
"""

import base64
import re
from collections.abc import Iterable, Iterator
from typing import Annotated, NamedTuple

import msgspec
import structlog
from returns.pipeline import is_successful
from returns.result import Failure, Result, Success

from savorylift.json_input import decode_json
from savorylift.platform.store_record import Record
from savorylift.wire.message import Response

# Number of times that the store has come back from an older copy. Offsets go
# back then and are given out again.
ERA_HEADER = "store-era"
# Positions of records grow with each era, so that later ones are always
# larger. No topic holds as many records.
OFFSETS_PER_ERA = 1 << 40
# With more digits, positions would not fit into 64 bits.
ERA_PATTERN = re.compile("[0-9]{1,6}")

Offset = Annotated[int, msgspec.Meta(ge=0, lt=OFFSETS_PER_ERA)]

_log = structlog.get_logger()


class Page(NamedTuple):
    """A part of a listing.

    Attributes:
        records: The records that can be read.
        end: Offset at which the topic ends.
        next_after: Key after which the next page begins; None without one.
    """

    records: list[Record]
    end: int
    next_after: str | None


class _Item(msgspec.Struct):
    key: str
    value: str


class _Page(msgspec.Struct, rename="camel"):
    items: list[msgspec.Raw]
    end: Offset
    has_more: bool = False


class _Trimmed(msgspec.Struct):
    first: Offset


class _Appended(msgspec.Struct):
    offset: Offset


def decode_page(body: bytes) -> Result[Page, str]:
    """Decodes a page of a listing; returns why it can't be read."""
    return decode_json(body, _Page).bind(_read_page)


def decode_first(body: bytes) -> Result[int, str]:
    """Returns the offset of the oldest record, as a refused read names it."""
    return decode_json(body, _Trimmed).map(lambda found: found.first)


def decode_appended(body: bytes) -> Result[int, str]:
    """Returns the offset of the first record that was appended."""
    return decode_json(body, _Appended).map(lambda found: found.offset)


def decode_era(response: Response) -> int:
    """Returns the era that an answer names; 0 if it names none."""
    text = response.header(ERA_HEADER) or ""
    return int(text) if ERA_PATTERN.fullmatch(text) else 0


def _read_page(page: _Page) -> Result[Page, str]:
    records = list(_read_items(page.items))
    if not page.has_more or not page.items:
        return Success(Page(records, page.end, None))
    if not records:
        return Failure("no item of a page can be read")
    return Success(Page(records, page.end, records[-1].key))


def _read_items(items: Iterable[msgspec.Raw]) -> Iterator[Record]:
    for raw in items:
        decoded = decode_json(bytes(raw), _Item)
        if is_successful(decoded):
            yield _to_record(decoded.unwrap())
        else:
            _log.warning("store_item_unreadable", detail=decoded.failure())


def _to_record(item: _Item) -> Record:
    """Returns a record; one whose value isn't encoded soundly has that text.

    Its key counts all the same: without it, it would seem to be removed.
    """
    try:
        return Record(item.key, base64.b64decode(item.value))
    except ValueError:
        return Record(item.key, item.value.encode())
