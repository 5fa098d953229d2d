"""A small store that speaks the users' platform's published protocol.

Run as `python -m tests.standins.platform_store`; control fields are those of
`StoreSettings`.
"""

import asyncio
import base64
import collections
import json
import struct
import sys
import urllib.parse

from savorylift.wire.listener import Listener, answering
from savorylift.wire.message import Request, Response
from savorylift.wire.server_connection import InputLimits
from tests.standins import control

LENGTH = struct.Struct(">I")
READ_HEAD = struct.Struct(">QQ")


class StoreSettings(control.Settings):
    """Faults of the store.

    Attributes:
        is_silent: Whether calls get no answer.
        status: Status of every answer instead of the real one.
        trim: One-shot: the history is forgotten.
    """

    is_silent: bool = False
    status: int | None = None
    trim: bool = False


class Topic:
    """One partition: records from the first that is kept."""

    def __init__(self) -> None:
        """Starts empty."""
        self.first = 0
        self.records: list[bytes] = []
        self.newest: dict[str, tuple[int, bytes]] = {}

    @property
    def end(self) -> int:
        """Offset after the last record."""
        return self.first + len(self.records)

    def add(self, key: str, value: bytes) -> int:
        """Adds a record; an empty value drops the key."""
        offset = self.end
        name = key.encode()
        self.records.append(bytes([len(name)]) + name + value)
        if value:
            self.newest[key] = (offset, value)
        else:
            self.newest.pop(key, None)
        return offset

    def trim(self) -> None:
        """Forgets the history, but for the newest record of each key."""
        self.first = self.end
        self.records = []


class PlatformStore:
    """Keyed topics over HTTP, with faults that a test sets.

    Attributes:
        topics: Topics by name.
        calls: Calls by path.
        status: Status of every answer instead of the real one.
        is_silent: Whether calls get no answer.
        delay_s: Time before each answer.
        page_items: Items on a page of newest records.
        loses_answers: Appends whose answers are lost.
        forgets_appends: Whether these take no effect either.
    """

    def __init__(self) -> None:
        """Starts empty and sound."""
        self.topics: dict[str, Topic] = {}
        self.calls: list[str] = []
        self.status: int | None = None
        self.is_silent = False
        self.delay_s = 0.0
        self.page_items = 500
        self.loses_answers = 0
        self.forgets_appends = False
        self.port = 0
        self._grown = asyncio.Event()

    async def start(self, port: int) -> None:
        """Listens on loopback."""
        self.port = port
        await Listener(answering(self._answer), InputLimits).start(
            "127.0.0.1", port
        )

    def topic(self, name: str) -> Topic:
        """Returns a topic, made on first use."""
        return self.topics.setdefault(name, Topic())

    def add(self, topic: str, key: str, value: object) -> int:
        """Adds a JSON record; None drops the key."""
        data = b"" if value is None else json.dumps(value).encode()
        offset = self.topic(topic).add(key, data)
        self._wake()
        return offset

    def _wake(self) -> None:
        self._grown.set()
        self._grown = asyncio.Event()

    async def _answer(self, req: Request) -> Response:
        path, _, query = req.target.partition("?")
        if path == "/control":
            return self._control(req)
        fields = dict(urllib.parse.parse_qsl(query))
        self.calls.append(path)
        if self.is_silent:
            await asyncio.sleep(60)
        await asyncio.sleep(self.delay_s)
        if self.status is not None:
            return Response(self.status, ())
        topic = self.topic(fields["topic"])
        if path == "/log-append":
            return self._append(topic, req.body, fields.get("at"))
        if path == "/log-newest":
            return self._newest(topic, fields.get("after", ""))
        return await self._read(topic, fields)

    def _control(self, req: Request) -> Response:
        if req.method == "POST":
            cfg = control.changed(StoreSettings(), json.loads(req.body))
            self.is_silent = cfg.is_silent
            self.status = cfg.status
            if cfg.trim:
                for topic in self.topics.values():
                    topic.trim()
        ends = {name: topic.end for name, topic in self.topics.items()}
        calls = collections.Counter(self.calls)
        body = json.dumps({"ends": ends, "calls": calls}).encode()
        return Response(200, (), body)

    def _append(self, topic: Topic, body: bytes, at: str | None) -> Response:
        if at is not None and int(at) != topic.end:
            answer = {"end": topic.end}
            return Response(412, (), json.dumps(answer).encode())
        if self.loses_answers and self.forgets_appends:
            raise ConnectionResetError("as the test wants")
        offset, position = topic.end, 0
        while position < len(body):
            (length,) = LENGTH.unpack_from(body, position)
            position += LENGTH.size
            record = body[position : position + length]
            key = record[1 : 1 + record[0]].decode()
            topic.add(key, record[1 + record[0] :])
            position += length
        self._wake()
        if self.loses_answers:
            self.loses_answers -= 1
            raise ConnectionResetError("as the test wants")
        answer = {"offset": offset, "end": topic.end}
        return Response(200, (), json.dumps(answer).encode())

    def _newest(self, topic: Topic, after: str) -> Response:
        keys = sorted(key for key in topic.newest if key > after)
        page = keys[: self.page_items]
        items = [
            {
                "key": key,
                "value": base64.b64encode(topic.newest[key][1]).decode(),
                "offset": topic.newest[key][0],
            }
            for key in page
        ]
        answer = {
            "items": items,
            "hasMore": len(page) < len(keys),
            "end": topic.end,
        }
        return Response(200, (), json.dumps(answer).encode())

    async def _read(self, topic: Topic, fields: dict[str, str]) -> Response:
        start = int(fields["from"])
        if start < topic.first:
            body = json.dumps({"first": topic.first}).encode()
            return Response(410, (), body)
        wait_s = int(fields.get("waitMs", "0")) / 1000
        try:
            async with asyncio.timeout(wait_s):
                while start >= topic.end:
                    await self._grown.wait()
        except TimeoutError:
            pass
        body = READ_HEAD.pack(topic.end, topic.first)
        for record in topic.records[start - topic.first :]:
            body += LENGTH.pack(len(record)) + record
        return Response(200, (), body)


async def serve(port: int) -> None:
    """Serves a store until the process ends."""
    await PlatformStore().start(port)
    control.announce(port)
    await asyncio.Event().wait()


if __name__ == "__main__":
    asyncio.run(
        serve(control.parse_command_line(StoreSettings, sys.argv[1:])[0])
    )
