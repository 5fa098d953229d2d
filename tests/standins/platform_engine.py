"""A simulated engine of the platform in a process of its own.

Run as `python -m tests.standins.platform_engine`. It reads a line from its
standard input: a JSON object of `PlatformServer` attributes, its port among
them. Then it listens and prints a line with the Unix time in milliseconds of
its start. Later lines change attributes.
"""

import asyncio
import json
import sys
import time

from tests.standins.platform_server import PlatformServer


async def serve() -> None:
    """Serves as its input says, until the process or its input ends."""
    lines = await _open_input()
    first = await lines.readline()
    if not first:
        return
    server = PlatformServer("")
    _set_attributes(server, first)
    server.born = time.time_ns() // 1_000_000
    await server.start(server.port)
    print(server.born, flush=True)
    while line := await lines.readline():
        _set_attributes(server, line)


def _set_attributes(server: PlatformServer, line: bytes) -> None:
    for name, value in json.loads(line).items():
        assert hasattr(server, name), name
        setattr(server, name, value)


async def _open_input() -> asyncio.StreamReader:
    reader = asyncio.StreamReader()
    await asyncio.get_running_loop().connect_read_pipe(
        lambda: asyncio.StreamReaderProtocol(reader), sys.stdin
    )
    return reader


if __name__ == "__main__":
    asyncio.run(serve())
