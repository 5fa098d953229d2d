"""Versions of the rules file as records of the store.

A version is one record, appended only if nothing was appended since the
writer read. So of two operators who start from the same version one wins.
"""

import time
import zlib
from typing import NamedTuple

import msgspec
from returns.pipeline import is_successful
from returns.result import Failure, Result, Success

from savorylift.identity import new_id
from savorylift.platform.store import (
    RULES,
    Batch,
    Fault,
    Record,
    StoreClient,
    StoreError,
)
from savorylift.routing.configuration import Configuration
from savorylift.rules.check import readable_rules, split_lines
from savorylift.rules.configuration import configuration_of
from savorylift.rules.edits import render_diff

RULES_KEY = "rules"
OUT_PREFIX = "out/"
# Orders of other operators may come between reading and appending.
TRIES = 5


class Publication(NamedTuple):
    """One version of the rules file.

    Attributes:
        version: Number, one above the version before.
        author: Who published it.
        text: The file.
        publication_id: Tells an own record whose answer was lost.
        time_s: Unix time.
    """

    version: int
    author: str
    text: str
    publication_id: str
    time_s: float

    def encode(self) -> bytes:
        """Returns the record's value: compressed, as records are bounded."""
        return zlib.compress(msgspec.json.encode(self))


class Stored(NamedTuple):
    """What the store has.

    Attributes:
        newest: The newest version; None before the first.
        end: Offset after the topic's last record.
    """

    newest: Publication | None
    end: int

    @property
    def version(self) -> int:
        """Number of the newest version; 0 before the first."""
        return 0 if self.newest is None else self.newest.version

    @property
    def lines(self) -> list[str]:
        """Lines of the newest version."""
        return [] if self.newest is None else split_lines(self.newest.text)


class Published(NamedTuple):
    """The version is in the store.

    Attributes:
        version: Its number.
        offset: Offset after its record.
        changed: Lines that were removed and added.
    """

    version: int
    offset: int
    changed: tuple[str, ...]


class NothingChanged(NamedTuple):
    """The newest version is the same file."""

    version: int


class RaceLost(NamedTuple):
    """Somebody else published first; nothing of the file was taken.

    Attributes:
        base: Version that the file was made from.
        winner: The newest version.
        changed: What it changed since `base`, if that is known.
    """

    base: int
    winner: Publication
    changed: tuple[str, ...]


class NotWritten(NamedTuple):
    """The store certainly didn't take it, and why."""

    message: str


class Unknown(NamedTuple):
    """The store may take it yet, and why that isn't known."""

    message: str


Outcome = Published | NothingChanged | RaceLost | NotWritten | Unknown


def decode_publication(value: bytes) -> Result[Publication, str]:
    """Returns the version in a record, or what is wrong with it."""
    try:
        data = zlib.decompress(value)
        return Success(msgspec.json.decode(data, type=Publication))
    except (zlib.error, msgspec.DecodeError, UnicodeDecodeError) as exc:
        return Failure(str(exc))


def decode_configuration(value: bytes) -> Result[Configuration, str]:
    """Returns the configuration in a record, or what is wrong with it."""
    decoded = decode_publication(value)
    if not is_successful(decoded):
        return Failure(decoded.failure())
    published = decoded.unwrap()
    view, unread = readable_rules(published.text)
    cfg = configuration_of(view, published.version)
    return Success(cfg._replace(unread_lines=unread))


async def read_rules(store: StoreClient) -> Result[Stored, StoreError]:
    """Returns the newest version in the store."""
    return (await store.list_newest(RULES)).bind(_stored)


def _stored(batch: Batch) -> Result[Stored, StoreError]:
    values = {record.key: record.value for record in batch.records}
    value = values.get(RULES_KEY)
    if value is None:
        return Success(Stored(None, batch.next_offset))
    decoded = decode_publication(value)
    if not is_successful(decoded):
        return Failure(StoreError(Fault.UNREADABLE, decoded.failure()))
    return Success(Stored(decoded.unwrap(), batch.next_offset))


async def publish(
    store: StoreClient, text: str, author: str, base: int | None
) -> Outcome:
    """Appends a checked file as the next version.

    Args:
        store: The store.
        text: The file.
        author: Who publishes it.
        base: Version that the file was made from; None for the newest.
    """
    first: Stored | None = None
    published: Publication | None = None
    for _ in range(TRIES):
        read = await read_rules(store)
        if not is_successful(read):
            detail = read.failure().detail
            return NotWritten(detail) if published is None else Unknown(detail)
        now = read.unwrap()
        first = now if first is None else first
        if published is not None and _is_same(now.newest, published):
            changed = render_diff(first.lines, now.lines)
            return Published(published.version, now.end, changed)
        if now.version != (first.version if base is None else base):
            return _race_lost(first, now, base)
        if now.newest is not None and now.newest.text == text:
            return NothingChanged(now.version)
        published = published or Publication(
            now.version + 1, author, text, new_id("rules"), time.time()
        )
        record = Record(RULES_KEY, published.encode())
        written = await store.append(RULES, [record], at=now.end)
        if is_successful(written):
            changed = render_diff(now.lines, split_lines(text))
            return Published(published.version, now.end + 1, changed)
        error = written.failure()
        if error.fault is Fault.REFUSED:
            return NotWritten(error.detail)
    return Unknown("the store gave no answer that tells")


def _is_same(newest: Publication | None, published: Publication) -> bool:
    return (
        newest is not None and newest.publication_id == published.publication_id
    )


def _race_lost(first: Stored, now: Stored, base: int | None) -> RaceLost:
    assert now.newest is not None
    made_from = first.version if base is None else base
    changed: tuple[str, ...] = ()
    if made_from == first.version:
        changed = render_diff(first.lines, now.lines)
    return RaceLost(made_from, now.newest, changed)
