"""A client as the pages tell it: deadlines, new tries, resumed streams."""

import asyncio
import itertools
import random
import secrets
import time
from collections.abc import Sequence
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


class StreamClient:
    """Reads one resumable stream, with a few tries.

    Attributes:
        events: All pieces that it has, over its tries.
        is_whole: Whether the last piece has come and the stream has ended.
    """

    def __init__(
        self,
        addresses: Sequence[str],
        path: str,
        deadline_s: float,
        tries: int,
        record: Record,
    ) -> None:
        """Creates a client that has sent nothing yet."""
        self._addresses = list(addresses)
        self._path = path
        self._until_s = time.monotonic() + deadline_s
        self._tries = tries
        self._record = record
        self._first: str | None = None
        self.events: list[Event] = []
        self.is_whole = False

    @property
    def _left_s(self) -> float:
        return self._until_s - time.monotonic()

    async def run(self) -> None:
        """Sends tries, each on a new connection, until the stream is whole."""
        failed: set[str] = set()
        for _ in range(self._tries):
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
            wait_s = attempt.retry_after_s or 0.2
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
        attempt = await send(
            address,
            "POST",
            self._path,
            self._left_s,
            self._record,
            headers,
            b"question",
        )
        if attempt.events and self._first is None:
            self._first = attempt.attempt_id
        self.events += attempt.events
        return attempt
