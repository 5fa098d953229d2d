"""TCP relays whose connections tests can silence, cut or delay."""

import asyncio
import concurrent.futures
import contextlib
import enum
import socket
import struct
import threading
import time
from collections.abc import Callable, Coroutine
from typing import Any

READ_BYTES = 65_536
START_TIMEOUT_S = 5.0
RESET = struct.pack("ii", 1, 0)  # linger 0: close with RST


class Way(enum.StrEnum):
    """Direction of bytes on a link."""

    TO_TARGET = "to_target"
    FROM_TARGET = "from_target"


class Relay:
    """Runs any number of links on one thread; a context manager."""

    def __init__(self) -> None:
        """Starts the thread."""
        self._loop = asyncio.new_event_loop()
        self._links: list[Link] = []
        self._thread = threading.Thread(
            target=self._loop.run_forever, name="relay", daemon=True
        )
        self._thread.start()

    def __enter__(self) -> "Relay":
        """Returns itself."""
        return self

    def __exit__(self, *_: object) -> None:
        """Closes the relay."""
        self.close()

    def link(self, target: str) -> "Link":
        """Returns a listening link to `target`, an `ip:port`."""
        link = Link(target, self._loop)
        self._links.append(link)
        self._run(link.listen())
        return link

    def close(self) -> None:
        """Cuts every connection and ends the thread."""
        if self._thread.is_alive():
            for link in self._links:
                link.close()
            self._run(_cancel_others())
            self._loop.call_soon_threadsafe(self._loop.stop)
            self._thread.join()
            self._loop.close()

    def _run(self, step: Coroutine[Any, Any, None]) -> None:
        fut = asyncio.run_coroutine_threadsafe(step, self._loop)
        fut.result(START_TIMEOUT_S)


class Link:
    """One relayed address; its methods may be called from any thread.

    Attributes:
        address: `ip:port` to connect to in place of the target's.
    """

    def __init__(self, target: str, loop: asyncio.AbstractEventLoop) -> None:
        """Describes a link; `Relay.link` makes it listen."""
        self.address = ""
        self._target = target
        self._loop = loop
        self._delay_s = 0.0
        self._cuts: set[Way] = set()
        self._refuses = False
        self._flowing = asyncio.Condition()
        self._connections: set[_Connection] = set()
        self._carrying: set[asyncio.Task[None]] = set()

    def silence_open(self) -> None:
        """Open connections carry nothing from now on; new ones work."""
        self._call(self._silence)

    def reset_open(self) -> None:
        """Cuts open connections so that both ends see it."""
        self._call(self._reset)

    def cut(self, *ways: Way) -> None:
        """Holds bytes back, on new connections too; both ways if none."""
        self._call(lambda: self._cuts.update(ways or Way))

    def refuse(self) -> None:
        """Closes new connections at once."""
        self._call(lambda: setattr(self, "_refuses", True))

    def heal(self) -> None:
        """Ends `cut` and `refuse`; held bytes go on their way."""
        self._call(self._heal)

    def delay(self, seconds: float) -> None:
        """Delays all bytes, each way."""
        self._call(lambda: setattr(self, "_delay_s", seconds))

    async def listen(self) -> None:
        """Begins to accept connections on a free port."""
        self._server = await asyncio.start_server(self._accept, "127.0.0.1", 0)
        port = self._server.sockets[0].getsockname()[1]
        self.address = f"127.0.0.1:{port}"

    def close(self) -> None:
        """Stops listening and cuts every connection."""
        self._call(self._server.close)
        self._call(self._reset)

    def _call(self, step: Callable[[], None]) -> None:
        done: concurrent.futures.Future[None] = concurrent.futures.Future()

        def run() -> None:
            step()
            done.set_result(None)

        self._loop.call_soon_threadsafe(run)
        done.result(START_TIMEOUT_S)

    def _silence(self) -> None:
        for conn in self._connections:
            conn.is_silent = True

    def _reset(self) -> None:
        for conn in self._connections:
            conn.reset()

    def _heal(self) -> None:
        self._cuts.clear()
        self._refuses = False
        self._loop.create_task(self._wake())

    async def _wake(self) -> None:
        async with self._flowing:
            self._flowing.notify_all()

    def _accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        task = self._loop.create_task(self._carry(reader, writer))
        self._carrying.add(task)
        task.add_done_callback(self._carrying.discard)

    async def _carry(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        host, _, port = self._target.rpartition(":")
        if self._refuses:
            _Connection(writer).reset()
            return
        try:
            streams = await asyncio.open_connection(host, int(port))
        except OSError:
            _Connection(writer).reset()
            return
        conn = _Connection(writer, streams[1])
        self._connections.add(conn)
        await asyncio.gather(
            self._pump(conn, Way.TO_TARGET, reader, streams[1]),
            self._pump(conn, Way.FROM_TARGET, streams[0], writer),
        )
        self._connections.discard(conn)
        conn.close()

    async def _pump(
        self,
        conn: "_Connection",
        way: Way,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        queue: asyncio.Queue[tuple[float, bytes]] = asyncio.Queue()
        reading = asyncio.create_task(self._read(reader, queue))
        data = b"-"
        while data:
            due_s, data = await queue.get()
            await asyncio.sleep(max(0.0, due_s - time.monotonic()))
            async with self._flowing:
                await self._flowing.wait_for(lambda: way not in self._cuts)
            if not conn.is_silent:
                conn.forward(writer, data)
        await reading

    async def _read(
        self,
        reader: asyncio.StreamReader,
        queue: asyncio.Queue[tuple[float, bytes]],
    ) -> None:
        data = b"-"
        while data:
            try:
                data = await reader.read(READ_BYTES)
            except OSError:
                data = b""
            queue.put_nowait((time.monotonic() + self._delay_s, data))


class _Connection:
    """One accepted connection and the one to the target."""

    def __init__(self, *writers: asyncio.StreamWriter) -> None:
        self.is_silent = False
        self._writers = writers

    def forward(self, writer: asyncio.StreamWriter, data: bytes) -> None:
        """Passes bytes on, or the end of them."""
        if writer.is_closing():
            return
        if data:
            writer.write(data)
        elif writer.can_write_eof():
            with contextlib.suppress(OSError):  # the other end has reset it
                writer.write_eof()

    def close(self) -> None:
        """Closes both sides."""
        for writer in self._writers:
            writer.close()

    def reset(self) -> None:
        """Cuts both sides, so that each end sees an error."""
        for writer in self._writers:
            sock = writer.get_extra_info("socket")
            if not writer.is_closing():
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
            writer.transport.abort()


async def _cancel_others() -> None:
    others = asyncio.all_tasks() - {asyncio.current_task()}
    for task in others:
        task.cancel()
    await asyncio.gather(*others, return_exceptions=True)
