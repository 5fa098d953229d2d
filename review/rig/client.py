"""A client as the pages tell it: deadlines, new tries, resumed streams."""

import asyncio
import itertools
import random
import secrets
import time
from collections.abc import Callable, Sequence
from typing import NamedTuple

from review.rig import http
from review.rig.record import Record

HOST = "rota.example"
KEY = "xd9dnn2ctnfzs989anu6"


class Event(NamedTuple):
    """A piece of a stream: its number and what it says."""

    number: int
    data: str


class Attempt(NamedTuple):
    """How an attempt ended.

    Attributes:
        attempt_id: Its ID.
        status: Status of the answer; 0 if there was none.
        is_whole: Whether the answer was complete.
        events: Pieces of a stream.
        retry_after_s: When to come back, if the answer said so.
        took_s: Time until the answer ended.
    """

    attempt_id: str
    status: int
    is_whole: bool
    events: list[Event]
    retry_after_s: float | None
    took_s: float


_numbers = itertools.count()


async def send(
    address: str,
    method: str,
    path: str,
    deadline_s: float,
    record: Record,
    headers: dict[str, str] | None = None,
    body: bytes = b"",
    on_connect: Callable[[asyncio.StreamWriter], None] = lambda _: None,
) -> Attempt:
    """Sends one attempt to a node and reads its answer until the deadline."""
    attempt = f"{secrets.token_hex(6)}{next(_numbers):04x}"
    began_s = time.monotonic()
    all_headers = {
        "Host": HOST,
        "X-Savorylift-Attempt-Id": attempt,
        "X-Savorylift-Deadline-Remaining": str(int(deadline_s * 1000)),
        "X-Api-Key": KEY,
    } | (headers or {})
    record.add("sent", attempt=attempt, node=address, path=path)
    status, is_whole, retry_after = 0, False, None
    data = bytearray()
    writer = None
    try:
        async with asyncio.timeout(deadline_s):
            reader, writer = await http.connect(address)
            on_connect(writer)
            writer.write(http.encode_request(method, path, all_headers, body))
            head = await http.read_head(reader)
            status = head.status
            retry_after = head.headers.get("retry-after")
            async for chunk in http.body_chunks(reader, head):
                data += chunk
            is_whole = True
    except (http.BrokenError, OSError):
        pass
    finally:
        if writer is not None:
            writer.close()
    took_s = time.monotonic() - began_s
    events = parse_events(bytes(data))
    record.add(
        "answered",
        attempt=attempt,
        status=status,
        whole=is_whole,
        events=len(events),
        retry_after=retry_after,
        took_s=f"{took_s:.3f}",
    )
    return Attempt(
        attempt,
        status,
        is_whole,
        events,
        None if retry_after is None else float(retry_after),
        took_s,
    )


def parse_events(data: bytes) -> list[Event]:
    """Returns the whole pieces of a stream."""
    events = []
    for block in data.split(b"\n\n")[:-1]:
        fields = dict(
            line.split(b": ", 1) for line in block.split(b"\n") if b": " in line
        )
        if b"id" in fields:
            text = fields.get(b"data", b"").decode()
            events.append(Event(int(fields[b"id"]), text))
    return events


class TakeUp(NamedTuple):
    """A try that takes a stream up again.

    Attributes:
        sent_s: Monotonic time at which it was sent.
        status: Status of the answer; 0 if there was none.
        goes_on: Whether it brought further pieces.
    """

    sent_s: float
    status: int
    goes_on: bool


class StreamClient:
    """Reads one resumable stream, with a few tries.

    Attributes:
        take_ups: The tries that took the stream up again.
        events: All pieces that it has, over its tries.
        is_whole: Whether the last piece has come and the stream has ended.
    """

    def __init__(
        self,
        addresses: Sequence[str],
        path: str,
        deadline_s: float,
        waits_s: Sequence[float],
        record: Record,
    ) -> None:
        """Creates a client that has sent nothing yet.

        Args:
            addresses: Addresses of the nodes.
            path: Path of the stream.
            deadline_s: How long it waits for the whole stream.
            waits_s: Shortest wait before each try after the first.
            record: Where to write what happens.
        """
        self._addresses = list(addresses)
        self._path = path
        self._until_s = time.monotonic() + deadline_s
        self._waits_s = waits_s
        self._writer: asyncio.StreamWriter | None = None
        self._record = record
        self._first: str | None = None
        self.events: list[Event] = []
        self.take_ups: list[TakeUp] = []
        self.is_whole = False

    def cut(self) -> None:
        """Loses the connection of the try under way."""
        if self._writer is not None:
            self._writer.transport.abort()

    @property
    def _left_s(self) -> float:
        return self._until_s - time.monotonic()

    async def run(self) -> None:
        """Sends tries, each on a new connection, until the stream is whole."""
        failed: set[str] = set()
        for least_wait_s in (*self._waits_s, 0.0):
            if self._left_s <= 0:
                return
            usable = [a for a in self._addresses if a not in failed]
            address = random.choice(usable or self._addresses)
            attempt = await self._send(address)
            if attempt.is_whole and attempt.status == 200:
                self.is_whole = True
                return
            if attempt.status == 0:
                failed.add(address)
            wait_s = max(attempt.retry_after_s or 0.0, least_wait_s)
            await asyncio.sleep(min(wait_s, max(self._left_s, 0.0) / 3))

    async def _send(self, address: str) -> Attempt:
        headers = {
            "X-Savorylift-Model": "m",
            "X-Savorylift-Token-Counts": "300,400",
            "X-Savorylift-Prompt-Prefix": f"5c1e07a2:200,{id(self):x}:100",
        }
        if self.events:
            headers["Last-Event-Id"] = str(self.events[-1].number)
            headers["Resumes"] = self._first or ""
        sent_s = time.monotonic()
        attempt = await send(
            address,
            "POST",
            self._path,
            self._left_s,
            self._record,
            headers,
            b"question",
            self._keep_writer,
        )
        if self.events:
            goes_on = bool(attempt.events)
            self.take_ups.append(TakeUp(sent_s, attempt.status, goes_on))
        if attempt.events and self._first is None:
            self._first = attempt.attempt_id
        self.events += attempt.events
        return attempt

    def _keep_writer(self, writer: asyncio.StreamWriter) -> None:
        self._writer = writer
