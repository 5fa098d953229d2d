"""A small HTTP/1.1 client and server side, independent of the project's own.

Only what the clients and servers of the pages need: requests with a length,
answers with a length or in chunks.
"""

import asyncio
from collections.abc import AsyncIterator
from typing import NamedTuple

READ_BYTES = 65_536
CONNECT_TIMEOUT_S = 1.0


class BrokenError(Exception):
    """A connection ended before the message did."""


class Head(NamedTuple):
    """First line and headers of a message, names in lower case."""

    first_line: str
    headers: dict[str, str]

    @property
    def status(self) -> int:
        """Status of an answer."""
        return int(self.first_line.split(" ")[1])

    @property
    def target(self) -> str:
        """Path and query of a request."""
        return self.first_line.split(" ")[1]


class Request(NamedTuple):
    """A request that a server has read whole."""

    head: Head
    body: bytes


async def read_head(reader: asyncio.StreamReader) -> Head:
    """Reads first line and headers."""
    try:
        raw = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError) as exc:
        raise BrokenError("no whole head") from exc
    first, *rest = raw.decode("latin-1").split("\r\n")
    headers = {}
    for line in rest:
        name, _, value = line.partition(":")
        if name:
            headers[name.lower()] = value.strip()
    return Head(first, headers)


async def read_request(reader: asyncio.StreamReader) -> Request:
    """Reads a request with a length, or without a body."""
    head = await read_head(reader)
    length = int(head.headers.get("content-length", "0"))
    try:
        return Request(head, await reader.readexactly(length))
    except (asyncio.IncompleteReadError, ConnectionError) as exc:
        raise BrokenError("no whole body") from exc


def encode_request(
    method: str, target: str, headers: dict[str, str], body: bytes
) -> bytes:
    """Encodes a request with the length of its body."""
    lines = [f"{method} {target} HTTP/1.1"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    lines += [f"Content-Length: {len(body)}", "", ""]
    return "\r\n".join(lines).encode("latin-1") + body


def encode_answer(status: int, headers: dict[str, str], body: bytes) -> bytes:
    """Encodes a whole answer after which the connection closes."""
    return (
        encode_answer_head(
            status,
            headers | {"Content-Length": str(len(body)), "Connection": "close"},
        )
        + body
    )


def encode_answer_head(status: int, headers: dict[str, str]) -> bytes:
    """Encodes the head of an answer."""
    lines = [f"HTTP/1.1 {status} X"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    return "\r\n".join([*lines, "", ""]).encode("latin-1")


def encode_chunk(data: bytes) -> bytes:
    """Encodes a chunk of a body; the last one if there is no data."""
    return b"%x\r\n%s\r\n" % (len(data), data)


async def body_chunks(
    reader: asyncio.StreamReader, head: Head
) -> AsyncIterator[bytes]:
    """Yields the parts of an answer's body until it is complete.

    Raises:
        BrokenError: The connection ended before the body did.
    """
    try:
        if "content-length" in head.headers:
            yield await reader.readexactly(int(head.headers["content-length"]))
            return
        if head.headers.get("transfer-encoding") != "chunked":
            while data := await reader.read(READ_BYTES):
                yield data
            return
        while size := int(await reader.readuntil(b"\r\n"), 16):
            data = await reader.readexactly(size + 2)
            yield data[:-2]
        await reader.readuntil(b"\r\n")
    except (asyncio.IncompleteReadError, ConnectionError, ValueError) as exc:
        raise BrokenError("no whole body") from exc


async def connect(
    address: str,
) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
    """Opens a connection to `IP:PORT`, within the second that clients allow."""
    ip, _, port = address.rpartition(":")
    try:
        async with asyncio.timeout(CONNECT_TIMEOUT_S):
            return await asyncio.open_connection(ip, int(port))
    except OSError as exc:
        raise BrokenError(f"no connection: {exc}") from exc
