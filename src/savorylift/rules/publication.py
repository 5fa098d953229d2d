"""Stores versions of the rules file and publishes new ones.

A version is one record. It is appended only if the topic has not grown since
the writer read it, so if two operators publish changes to the same version,
only one of them succeeds.
"""

import time
import zlib
from typing import NamedTuple

import msgspec
from returns.pipeline import is_successful
from returns.result import Failure, Result, Success

from savorylift.identity import new_id
from savorylift.json_input import decode_json
from savorylift.platform.store import (
    RULES_TOPIC,
    Batch,
    StoreClient,
    StoreError,
    StoreFault,
)
from savorylift.platform.store_record import Record
from savorylift.routing.configuration import Configuration
from savorylift.rules.check import parse_rules_leniently, split_lines
from savorylift.rules.configuration import build_configuration
from savorylift.rules.edits import render_diff

RULES_KEY = "rules"
OUT_OF_SERVICE_PREFIX = "out/"
# Attempts at appending: one fails if another operator appended a record after
# the topic was read, or if the store's response was lost.
MAX_ATTEMPTS = 5


class RulesVersion(NamedTuple):
    """One version of the rules file.

    Attributes:
        version: Version number, one more than that of the previous version.
        author: Operator who published it.
        text: Content of the file.
        publication_id: Unique identifier. A writer that got no response to its
            append uses it to recognize its own record in the store.
        time_s: Unix time of publication.
    """

    version: int
    author: str
    text: str
    publication_id: str
    time_s: float

    def encode(self) -> bytes:
        """Returns the record's value, compressed to fit the store's limit."""
        return zlib.compress(msgspec.json.encode(self))


class StoredRules(NamedTuple):
    """The rules file as read from the store.

    Attributes:
        newest: The newest version; None if none was published yet.
        end: Offset after the last record of the topic.
    """

    newest: RulesVersion | None
    end: int

    @property
    def version(self) -> int:
        """Number of the newest version; 0 if none was published yet."""
        return 0 if self.newest is None else self.newest.version

    @property
    def lines(self) -> list[str]:
        """Lines of the newest version."""
        return [] if self.newest is None else split_lines(self.newest.text)


class PublishedVersion(NamedTuple):
    """The file was written to the store as a new version.

    Attributes:
        version: Number of the new version.
        offset: Offset after its record.
        diff: Removed and added lines, as from `render_diff`.
    """

    version: int
    offset: int
    diff: tuple[str, ...]


class UnchangedRules(NamedTuple):
    """The file is the same as the newest version; nothing was written."""

    version: int


class VersionConflict(NamedTuple):
    """The file was not made from the newest version; nothing was written.

    Attributes:
        base: Version that the file was made from.
        newest: The newest version.
        diff: Lines removed and added between `base` and `newest`; empty if
            the text of `base` isn't known.
    """

    base: int
    newest: RulesVersion
    diff: tuple[str, ...]


class WriteFailure(NamedTuple):
    """Nothing was written to the store; `message` says why."""

    message: str


class UnconfirmedWrite(NamedTuple):
    """The store may or may not have the record; `message` says why."""

    message: str


PublishResult = (
    PublishedVersion
    | UnchangedRules
    | VersionConflict
    | WriteFailure
    | UnconfirmedWrite
)


def decode_rules_version(value: bytes) -> Result[RulesVersion, str]:
    """Decodes a record's value, or returns an error message."""
    try:
        data = zlib.decompress(value)
    except zlib.error as exc:
        return Failure(str(exc))
    return decode_json(data, RulesVersion)


def decode_configuration(value: bytes) -> Result[Configuration, str]:
    """Returns the configuration for a record's value, or an error message.

    Lines that this release can't read are skipped and listed in
    `unread_lines`.
    """
    decoded = decode_rules_version(value)
    if not is_successful(decoded):
        return Failure(decoded.failure())
    rules_version = decoded.unwrap()
    rule_set, unread_lines = parse_rules_leniently(rules_version.text)
    cfg = build_configuration(rule_set, rules_version.version)
    return Success(cfg._replace(unread_lines=unread_lines))


async def read_rules(store: StoreClient) -> Result[StoredRules, StoreError]:
    """Reads the newest version of the rules file from the store."""
    return (await store.list_newest(RULES_TOPIC)).bind(_decode_stored_rules)


def _decode_stored_rules(batch: Batch) -> Result[StoredRules, StoreError]:
    values = {record.key: record.value for record in batch.records}
    value = values.get(RULES_KEY)
    if value is None:
        return Success(StoredRules(None, batch.next_offset))
    decoded = decode_rules_version(value)
    if not is_successful(decoded):
        return Failure(StoreError(StoreFault.UNREADABLE, decoded.failure()))
    return Success(StoredRules(decoded.unwrap(), batch.next_offset))


async def publish(
    store: StoreClient, text: str, author: str, base: int | None
) -> PublishResult:
    """Appends a rules file, which must be valid, as the next version.

    Args:
        store: Client of the store.
        text: Content of the file.
        author: Operator who publishes it.
        base: Version that the file was made from; None for the newest.
    """
    initial: StoredRules | None = None
    candidate: RulesVersion | None = None
    for _ in range(MAX_ATTEMPTS):
        read = await read_rules(store)
        if not is_successful(read):
            detail = read.failure().detail
            is_unsent = candidate is None
            return (WriteFailure if is_unsent else UnconfirmedWrite)(detail)
        current = read.unwrap()
        initial = current if initial is None else initial
        if candidate is not None and _is_same_publication(
            current.newest, candidate
        ):
            diff = render_diff(initial.lines, current.lines)
            return PublishedVersion(candidate.version, current.end, diff)
        obstacle = _find_obstacle(initial, current, text, base)
        if obstacle is not None:
            return obstacle
        candidate = candidate or RulesVersion(
            current.version + 1, author, text, new_id("rules"), time.time()
        )
        record = Record(RULES_KEY, candidate.encode())
        written = await store.append(
            RULES_TOPIC, [record], expected_offset=current.end
        )
        if is_successful(written):
            diff = render_diff(current.lines, split_lines(text))
            return PublishedVersion(candidate.version, current.end + 1, diff)
        error = written.failure()
        if error.fault is StoreFault.REFUSED:
            return WriteFailure(error.detail)
    return UnconfirmedWrite("the store did not confirm the write")


def _find_obstacle(
    initial: StoredRules, current: StoredRules, text: str, base: int | None
) -> VersionConflict | UnchangedRules | None:
    """Returns why a file isn't written over the newest version, if so."""
    if current.version != (initial.version if base is None else base):
        return _version_conflict(initial, current, base)
    if current.newest is not None and current.newest.text == text:
        return UnchangedRules(current.version)
    return None


def _is_same_publication(
    newest: RulesVersion | None, candidate: RulesVersion
) -> bool:
    return (
        newest is not None and newest.publication_id == candidate.publication_id
    )


def _version_conflict(
    initial: StoredRules, current: StoredRules, base: int | None
) -> VersionConflict:
    assert current.newest is not None
    base_version = initial.version if base is None else base
    diff: tuple[str, ...] = ()
    if base_version == initial.version:
        diff = render_diff(initial.lines, current.lines)
    return VersionConflict(base_version, current.newest, diff)
