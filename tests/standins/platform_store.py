"""A simulated store of the platform that the nodes run on.

It speaks the platform's published protocol.

Run as `python -m tests.standins.platform_store`; `POST /control` sets the
fields of `StoreSettings`.
"""

import asyncio
import base64
import collections
import copy
import json
import struct
import sys
import urllib.parse

from savorylift.wire.listener import Listener, connection_handler
from savorylift.wire.message import Request, Response
from savorylift.wire.request_input import InputLimits
from tests.standins import control

RECORD_LENGTH = struct.Struct(">I")  # precedes each record
READ_HEADER = struct.Struct(">QQ")  # end and first offset of the topic


class StoreSettings(control.Settings):
    """Injected faults of the store.

    Attributes:
        is_silent: Whether calls get no response for a minute.
        status: Status code of every response instead of the real one.
        trim: One-shot: trims every topic to the newest record of each key.
    """

    is_silent: bool = False
    status: int | None = None
    trim: bool = False


class Topic:
    """The log of a topic, compacted by key.

    Attributes:
        first_offset: Offset of the first record that is still in the log.
        records: Encoded records from `first_offset` on.
        newest_by_key: Offset and value of the newest record of each key.
    """

    def __init__(self) -> None:
        """Creates an empty topic."""
        self.first_offset = 0
        self.records: list[bytes] = []
        self.newest_by_key: dict[str, tuple[int, bytes]] = {}

    @property
    def end_offset(self) -> int:
        """Offset after the last record."""
        return self.first_offset + len(self.records)

    def add(self, key: str, value: bytes) -> int:
        """Appends a record, returns its offset; an empty value deletes it."""
        offset = self.end_offset
        name = key.encode()
        self.records.append(bytes([len(name)]) + name + value)
        if value:
            self.newest_by_key[key] = (offset, value)
        else:
            self.newest_by_key.pop(key, None)
        return offset

    def trim(self) -> None:
        """Drops all records from the log; keeps the newest one of each key."""
        self.first_offset = self.end_offset
        self.records = []


class PlatformStore:
    """Keyed topics over HTTP, with faults that a test sets.

    Attributes:
        topics: Topics by name.
        called_paths: Path of each call, in order.
        status: Status code of every response instead of the real one.
        is_silent: Whether calls get no response for a minute.
        delay_s: Delay before each response.
        page_size: Maximum number of items on a page of newest records.
        unanswered_appends: Number of upcoming appends that get no response.
        discards_unanswered: Whether these appends also take no effect; their
            number then does not decrease.
        port: Port that the store listens on.
        era: Number of times that it has come back from a copy.
    """

    def __init__(self) -> None:
        """Creates an empty store without faults."""
        self.topics: dict[str, Topic] = {}
        self.called_paths: list[str] = []
        self.status: int | None = None
        self.is_silent = False
        self.delay_s = 0.0
        self.page_size = 500
        self.unanswered_appends = 0
        self.discards_unanswered = False
        self.port = 0
        self.era = 0
        self._appended = asyncio.Event()

    def copy(self) -> dict[str, Topic]:
        """Returns a copy of the topics as they are now."""
        return copy.deepcopy(self.topics)

    def restore(self, topics: dict[str, Topic]) -> None:
        """Comes back from a copy; all that was added since is lost."""
        self.topics = topics
        self.era += 1
        self._wake_readers()

    async def start(self, port: int) -> None:
        """Starts to listen on the loopback interface."""
        self.port = port
        handler = connection_handler(self._respond)
        await Listener(handler, InputLimits).start("127.0.0.1", port)

    def topic(self, name: str) -> Topic:
        """Returns a topic, which is created on first use."""
        return self.topics.setdefault(name, Topic())

    def add(self, topic: str, key: str, value: object) -> int:
        """Appends a JSON record, returns its offset; None deletes the key."""
        data = b"" if value is None else json.dumps(value).encode()
        offset = self.topic(topic).add(key, data)
        self._wake_readers()
        return offset

    def _wake_readers(self) -> None:
        self._appended.set()
        self._appended = asyncio.Event()

    async def _respond(self, req: Request) -> Response:
        response = await self._handle_request(req)
        era = ("store-era", str(self.era))
        return response._replace(headers=(*response.headers, era))

    async def _handle_request(self, req: Request) -> Response:
        path, _, query = req.target.partition("?")
        if path == "/control":
            return self._control(req)
        query_fields = dict(urllib.parse.parse_qsl(query))
        self.called_paths.append(path)
        if self.is_silent:
            await asyncio.sleep(60)
        await asyncio.sleep(self.delay_s)
        if self.status is not None:
            return Response(self.status, ())
        topic = self.topic(query_fields["topic"])
        if path == "/log-append":
            return self._append(topic, req.body, query_fields.get("at"))
        if path == "/log-newest":
            return self._newest(topic, query_fields.get("after", ""))
        return await self._read(topic, query_fields)

    def _control(self, req: Request) -> Response:
        if req.method == "POST":
            cfg = control.replace_fields(StoreSettings(), json.loads(req.body))
            self.is_silent = cfg.is_silent
            self.status = cfg.status
            if cfg.trim:
                for topic in self.topics.values():
                    topic.trim()
        ends = {name: topic.end_offset for name, topic in self.topics.items()}
        calls = collections.Counter(self.called_paths)
        body = json.dumps({"ends": ends, "calls": calls}).encode()
        return Response(200, (), body)

    def _append(self, topic: Topic, body: bytes, at: str | None) -> Response:
        if at is not None and int(at) != topic.end_offset:
            response_body = {"end": topic.end_offset}
            return Response(412, (), json.dumps(response_body).encode())
        if self.unanswered_appends and self.discards_unanswered:
            raise ConnectionResetError("injected fault: no response to append")
        offset, position = topic.end_offset, 0
        while position < len(body):
            (length,) = RECORD_LENGTH.unpack_from(body, position)
            position += RECORD_LENGTH.size
            record = body[position : position + length]
            key = record[1 : 1 + record[0]].decode()
            topic.add(key, record[1 + record[0] :])
            position += length
        self._wake_readers()
        if self.unanswered_appends:
            self.unanswered_appends -= 1
            raise ConnectionResetError("injected fault: no response to append")
        response_body = {"offset": offset, "end": topic.end_offset}
        return Response(200, (), json.dumps(response_body).encode())

    def _newest(self, topic: Topic, after: str) -> Response:
        keys = sorted(key for key in topic.newest_by_key if key > after)
        page = keys[: self.page_size]
        items = [
            {
                "key": key,
                "value": base64.b64encode(topic.newest_by_key[key][1]).decode(),
                "offset": topic.newest_by_key[key][0],
            }
            for key in page
        ]
        response_body = {
            "items": items,
            "hasMore": len(page) < len(keys),
            "end": topic.end_offset,
        }
        return Response(200, (), json.dumps(response_body).encode())

    async def _read(
        self, topic: Topic, query_fields: dict[str, str]
    ) -> Response:
        start = int(query_fields["from"])
        if not topic.first_offset <= start <= topic.end_offset:
            body = json.dumps({"first": topic.first_offset}).encode()
            return Response(410, (), body)
        wait_s = int(query_fields.get("waitMs", "0")) / 1000
        try:
            async with asyncio.timeout(wait_s):
                while start >= topic.end_offset:
                    await self._appended.wait()
                    topic = self.topic(query_fields["topic"])
        except TimeoutError:
            pass
        body = READ_HEADER.pack(topic.end_offset, topic.first_offset)
        for record in topic.records[start - topic.first_offset :]:
            body += RECORD_LENGTH.pack(len(record)) + record
        return Response(200, (), body)


async def serve(port: int) -> None:
    """Serves a store on the loopback interface until the process ends."""
    await PlatformStore().start(port)
    control.print_ready_line(port)
    await asyncio.Event().wait()


if __name__ == "__main__":
    asyncio.run(
        serve(control.parse_command_line(StoreSettings, sys.argv[1:])[0])
    )
