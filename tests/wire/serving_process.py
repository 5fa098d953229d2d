"""A process that answers one request without framing, and ends."""

import asyncio
import contextlib
import multiprocessing.connection
from collections.abc import Iterator

from savorylift.settings import TlsSettings
from savorylift.tls import server_context
from savorylift.wire.listener import Listener
from savorylift.wire.message import Request
from savorylift.wire.request_input import InputLimits
from savorylift.wire.server_connection import ServerConnection
from tests.harness.ports import free_addresses

HOST = "127.0.0.1"
END_MARK = b"end"
# As at the end of a node.
CLOSING_S = 0.1


def _serve(
    port_sender: multiprocessing.connection.Connection,
    files: TlsSettings | None,
    size: int,
    is_ended: bool,  # noqa: FBT001
    serving_s: float,
) -> None:
    has_written = asyncio.Event()

    async def serve(conn: ServerConnection) -> None:
        if not isinstance(await conn.next_request(), Request):
            return
        conn.start_response(200, (), is_close_delimited=True)
        conn.send_body(b"x" * size + END_MARK)
        has_written.set()
        if is_ended:
            conn.end_response()
            await conn.flush()
            await conn.channel.close_gracefully()
        else:
            await asyncio.Event().wait()

    async def run() -> None:
        (address,) = free_addresses(1)
        port = int(address.rpartition(":")[2])
        listener = Listener(serve, InputLimits)
        await listener.start(HOST, port, server_context(files))
        port_sender.send(port)
        await has_written.wait()
        await asyncio.sleep(serving_s)
        await listener.close_when_served(CLOSING_S)

    asyncio.run(run())


@contextlib.contextmanager
def serving(
    files: TlsSettings | None, size: int, serving_s: float, *, is_ended: bool
) -> Iterator[tuple[int, multiprocessing.context.SpawnProcess]]:
    """Runs the process; yields its port and itself.

    Args:
        files: TLS files; None for plain connections.
        size: Size of the response's body, without `END_MARK`.
        serving_s: The process ends so long after it has written the response.
        is_ended: Whether the response is ended.
    """
    context = multiprocessing.get_context("spawn")
    receiver, sender = context.Pipe(duplex=False)
    args = sender, files, size, is_ended, serving_s
    process = context.Process(target=_serve, args=args)
    process.start()
    try:
        yield receiver.recv(), process
    finally:
        process.kill()
        process.join()
