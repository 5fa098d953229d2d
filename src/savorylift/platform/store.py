"""Client of the platform's store, a log with compaction by key."""

import enum
import urllib.parse
from collections.abc import Sequence
from typing import NamedTuple

from returns.pipeline import is_successful
from returns.result import Failure, Result, Success

from savorylift.metric import Counter
from savorylift.platform.store_answers import (
    OFFSETS_PER_ERA,
    decode_appended,
    decode_era,
    decode_first,
    decode_page,
)
from savorylift.platform.store_record import (
    Record,
    decode_records,
    encode_record,
)
from savorylift.wire.client_call import BrokenAnswerError, fetch
from savorylift.wire.message import Response
from savorylift.wire.purpose import Purpose

OPERATORS_TOPIC = "keyed.op"
SERVERS_TOPIC = "keyed.servers"
NODES_TOPIC = "keyed.nodes"
REFUSALS_TOPIC = "keyed.refusals"
RULES_TOPIC = "keyed.rules"
VERSIONS_TOPIC = "keyed.versions"
ROLLOUTS_TOPIC = "keyed.rollouts"
STATUS_TOPIC = "keyed.status"
# Its records expire by themselves.
ORIGINS_TOPIC = "origins"

CALLS = Counter(
    "savorylift_store_calls", "Calls to the store by what they are.", ["call"]
)

CONNECT_TIMEOUT_S = 0.5
# Slower responses aren't waited for: a retry uses a new connection.
RESPONSE_TIMEOUT_S = 0.8
MAX_READ_KB = 1024
GONE_STATUS = 410
# A store may come back from a copy, and its first record be expired.
MAX_REPOSITIONS = 3


class StoreFault(enum.Enum):
    """Reason why a call to the store failed."""

    UNREACHABLE = "unreachable"
    REFUSED = "refused"
    TRIMMED = "trimmed"
    RESTORED = "restored"
    CONFLICT = "outrun"
    UNREADABLE = "unreadable"


class StoreError(NamedTuple):
    """A failed call to the store.

    Attributes:
        fault: Reason of the failure.
        detail: HTTP status or error text, for logs.
        start: Position of the oldest record, if a read failed since its own
            position is not there any more.
    """

    fault: StoreFault
    detail: str
    start: int | None = None


class Batch(NamedTuple):
    """Records returned by one call.

    Attributes:
        records: Records in the order in which the store returned them.
        next_offset: Position at which the next read should start: the offset,
            and OFFSETS_PER_ERA for each era of the store.
    """

    records: tuple[Record, ...]
    next_offset: int


class StoreClient:
    """Client that reads and writes partition 0 of keyed topics."""

    def __init__(self, address: tuple[str, int]) -> None:
        """Initializes the client; each call opens a connection to `address`."""
        self._address = address

    async def list_newest(self, topic: str) -> Result[Batch, StoreError]:
        """Returns the newest record of each key.

        The pages are not one consistent snapshot, so `next_offset` is the end
        of the topic as of the first page: later records may be read twice, but
        none is missed.
        """
        records: list[Record] = []
        start: int | None = None
        after = ""
        begun = {after}
        while True:
            query = {"topic": topic, "part": "0"}
            if after:
                query["after"] = after
            response = await self._call("GET", "/log-newest", query)
            if isinstance(response, StoreError):
                return Failure(response)
            decoded = decode_page(response.body)
            if not is_successful(decoded):
                return Failure(_unreadable(decoded.failure()))
            page = decoded.unwrap()
            records += page.records
            era = decode_era(response)
            if start is None:
                start = _position(era, page.end)
            elif start // OFFSETS_PER_ERA != era:
                return Failure(_restored(era))
            if page.next_after is None:
                return Success(Batch(tuple(records), start))
            if page.next_after in begun:
                return Failure(_unreadable("the listing has no end"))
            after = page.next_after
            begun.add(after)

    async def read(
        self, topic: str, offset: int, wait_s: float
    ) -> Result[Batch, StoreError]:
        """Returns records from a position on, waiting up to `wait_s` for one.

        Fails with the fault `RESTORED` if the store has come back from a copy
        since the position was returned.
        """
        known_era, raw_offset = divmod(offset, OFFSETS_PER_ERA)
        query = {
            "topic": topic,
            "part": "0",
            "from": str(raw_offset),
            "maxKb": str(MAX_READ_KB),
            "waitMs": str(round(wait_s * 1000)),
        }
        response = await self._call("GET", "/log-read", query, wait_s=wait_s)
        if isinstance(response, StoreError):
            return Failure(response)
        era = decode_era(response)
        if era != known_era:
            return Failure(_restored(era))
        if response.status == GONE_STATUS:
            first = decode_first(response.body)
            start = first.map(lambda found: _position(era, found)).value_or(
                None
            )
            return Failure(StoreError(StoreFault.TRIMMED, "410", start))
        records = decode_records(response.body)
        if records is None:
            return Failure(
                StoreError(
                    StoreFault.UNREADABLE,
                    "the response is shorter than its header",
                )
            )
        # The response may end within a record: only complete ones are counted.
        # Records without a readable key are skipped but have an offset.
        keyed = tuple(record for record in records if record is not None)
        return Success(Batch(keyed, offset + len(records)))

    async def read_retained(
        self, topic: str, position: int | None
    ) -> Result[Batch, StoreError]:
        """Returns records from a position on, without waiting for one.

        Those from the oldest one on if that position is None, has expired, or
        is of an earlier era of the store.
        """
        if position is None:
            position = 0
        batch = await self.read(topic, position, 0.0)
        for _ in range(MAX_REPOSITIONS):
            if is_successful(batch):
                break
            start = batch.failure().start
            if start is None:
                break
            batch = await self.read(topic, start, 0.0)
        return batch

    async def append(
        self,
        topic: str,
        records: Sequence[Record],
        expected_offset: int | None = None,
    ) -> Result[int, StoreError]:
        """Appends records atomically; returns the position of the first.

        With `expected_offset`, the call fails with the fault `CONFLICT` unless
        the topic ends at this position.
        """
        body = b"".join(encode_record(record) for record in records)
        query = {"topic": topic, "part": "0"}
        if expected_offset is not None:
            query["at"] = str(expected_offset % OFFSETS_PER_ERA)
        response = await self._call("POST", "/log-append", query, body=body)
        if isinstance(response, StoreError):
            return Failure(response)
        return (
            decode_appended(response.body)
            .map(lambda found: _position(decode_era(response), found))
            .alt(_unreadable)
        )

    async def _call(
        self,
        method: str,
        path: str,
        query: dict[str, str],
        *,
        body: bytes = b"",
        wait_s: float = 0.0,
    ) -> Response | StoreError:
        CALLS.labels(f"{path[1:]} {query['topic']}").inc()
        target = f"{path}?{urllib.parse.urlencode(query)}"
        try:
            response = await fetch(
                self._address,
                method,
                target,
                body=body,
                timeout_s=RESPONSE_TIMEOUT_S + wait_s,
                connect_timeout_s=CONNECT_TIMEOUT_S,
                purpose=Purpose.STORE,
            )
        except (OSError, BrokenAnswerError) as exc:
            return StoreError(
                StoreFault.UNREACHABLE, f"{type(exc).__name__}: {exc}"
            )
        if response.status == 412:
            return StoreError(StoreFault.CONFLICT, "412")
        if response.status not in (200, GONE_STATUS):
            return StoreError(StoreFault.REFUSED, str(response.status))
        return response


def era_of(position: int) -> int:
    """Returns how often the store had come back from a copy by then."""
    return position // OFFSETS_PER_ERA


def _position(era: int, offset: int) -> int:
    return era * OFFSETS_PER_ERA + offset


def _unreadable(detail: str) -> StoreError:
    return StoreError(StoreFault.UNREADABLE, detail)


def _restored(era: int) -> StoreError:
    detail = f"the store is in era {era} now"
    return StoreError(StoreFault.RESTORED, detail, _position(era, 0))
