"""A runner in trouble: its streams are line ends without end.

Usage: python3 -m review.1.endless IP:PORT SERVER_ID
"""

import asyncio
import contextlib
import sys

from review.rig import http
from review.rig.server import NOT_EXECUTED, SEAL

# A sixtieth of the slowest link of the sheet (1,000 Mbit/s).
BYTES_PER_S = 2_000_000
BLOCK_S = 0.01
BLOCK = http.encode_chunk(b"\n" * int(BYTES_PER_S * BLOCK_S))


async def serve(
    reader: asyncio.StreamReader, writer: asyncio.StreamWriter
) -> None:
    """Answers one request; its stream goes on until the caller closes."""
    with contextlib.suppress(http.BrokenError, ConnectionError):
        await answer(await http.read_request(reader), writer)
    writer.close()


async def answer(req: http.Request, writer: asyncio.StreamWriter) -> None:
    """Answers a health check or begins a stream of line ends."""
    server_id = sys.argv[2]
    if req.head.target == "/health":
        name = {"X-Savorylift-Instance-Id": server_id}
        writer.write(http.encode_answer(200, name, b""))
        return await writer.drain()
    headers = req.head.headers
    own = {"X-Savorylift-Attempt-Id": headers["x-savorylift-attempt-id"]}
    expected = headers.get("x-savorylift-expected-instance")
    if expected not in (None, server_id):
        writer.write(http.encode_answer(421, own | NOT_EXECUTED, b""))
        return await writer.drain()
    kind = {
        "Content-Type": "text/event-stream",
        "Transfer-Encoding": "chunked",
        "Connection": "close",
    }
    writer.write(http.encode_answer_head(200, own | SEAL | kind))
    while not writer.is_closing():
        writer.write(BLOCK)
        await writer.drain()
        await asyncio.sleep(BLOCK_S)
    return None


async def main() -> None:
    """Serves until the process is ended."""
    ip, _, port = sys.argv[1].rpartition(":")
    server = await asyncio.start_server(serve, ip, int(port))
    print("ready", flush=True)
    await server.serve_forever()


if __name__ == "__main__":
    asyncio.run(main())
