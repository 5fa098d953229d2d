"""TCP relays that inject network faults into their connections."""

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
LOOP_CALL_TIMEOUT_S = 5.0
# SO_LINGER with a timeout of 0: closing the socket sends RST.
LINGER_RESET = struct.pack("ii", 1, 0)


class Direction(enum.StrEnum):
    """Direction of the data on a link."""

    TO_TARGET = "to_target"
    FROM_TARGET = "from_target"


class Relay:
    """Runs links on the event loop of one thread; a context manager."""

    def __init__(self) -> None:
        """Starts the thread and its event loop."""
        self._loop = asyncio.new_event_loop()
        self._links: list[Link] = []
        self._thread = threading.Thread(
            target=self._loop.run_forever, name="relay", daemon=True
        )
        self._thread.start()

    def __enter__(self) -> "Relay":
        """Returns the relay."""
        return self

    def __exit__(self, *_: object) -> None:
        """Closes the relay."""
        self.close()

    def add_link(self, target: str) -> "Link":
        """Starts a link to `target`, an `ip:port`, and returns it."""
        link = Link(target, self._loop)
        self._links.append(link)
        self._run_in_loop(link.listen())
        return link

    def close(self) -> None:
        """Resets every connection and stops the thread."""
        if self._thread.is_alive():
            for link in self._links:
                link.close()
            self._run_in_loop(_cancel_other_tasks())
            self._loop.call_soon_threadsafe(self._loop.stop)
            self._thread.join()
            self._loop.close()

    def _run_in_loop(self, coroutine: Coroutine[Any, Any, None]) -> None:
        fut = asyncio.run_coroutine_threadsafe(coroutine, self._loop)
        fut.result(LOOP_CALL_TIMEOUT_S)


class Link:
    """Forwards TCP connections to one target; thread-safe.

    Attributes:
        address: `ip:port` that clients use instead of the target's address.
    """

    def __init__(self, target: str, loop: asyncio.AbstractEventLoop) -> None:
        """Creates a link that does not listen yet; see `Relay.add_link`."""
        self.address = ""
        self._target = target
        self._loop = loop
        self._delay_s = 0.0
        self._cut_directions: set[Direction] = set()
        self._refuses = False
        self._cuts_changed = asyncio.Condition()
        self._connections: set[_Connection] = set()
        self._forward_tasks: set[asyncio.Task[None]] = set()

    def silence_open(self) -> None:
        """Discards all further data on open connections, not on new ones.

        The connections stay open; neither end sees an error.
        """
        self._call_in_loop(self._silence)

    def reset_open(self) -> None:
        """Resets open connections; both ends receive RST."""
        self._call_in_loop(self._reset)

    def cut(self, *directions: Direction) -> None:
        """Holds data back on open and new connections until `heal`.

        Args:
            directions: Directions to hold back; both if none is given.
        """
        self._call_in_loop(
            lambda: self._cut_directions.update(directions or Direction)
        )

    def refuse(self) -> None:
        """Resets new connections as soon as they are accepted."""
        self._call_in_loop(lambda: setattr(self, "_refuses", True))

    def heal(self) -> None:
        """Ends `cut` and `refuse`; data that was held back is forwarded."""
        self._call_in_loop(self._heal)

    def delay(self, seconds: float) -> None:
        """Delays data by `seconds` in each direction."""
        self._call_in_loop(lambda: setattr(self, "_delay_s", seconds))

    async def listen(self) -> None:
        """Starts to accept connections on a free port."""
        self._server = await asyncio.start_server(self._accept, "127.0.0.1", 0)
        port = self._server.sockets[0].getsockname()[1]
        self.address = f"127.0.0.1:{port}"

    def close(self) -> None:
        """Stops listening and resets every connection."""
        self._call_in_loop(self._server.close)
        self._call_in_loop(self._reset)

    def _call_in_loop(self, callback: Callable[[], None]) -> None:
        done: concurrent.futures.Future[None] = concurrent.futures.Future()

        def run() -> None:
            callback()
            done.set_result(None)

        self._loop.call_soon_threadsafe(run)
        done.result(LOOP_CALL_TIMEOUT_S)

    def _silence(self) -> None:
        for conn in self._connections:
            conn.is_silenced = True

    def _reset(self) -> None:
        for conn in self._connections:
            conn.reset()

    def _heal(self) -> None:
        self._cut_directions.clear()
        self._refuses = False
        self._loop.create_task(self._notify_pumps())

    async def _notify_pumps(self) -> None:
        async with self._cuts_changed:
            self._cuts_changed.notify_all()

    def _accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        task = self._loop.create_task(self._forward(reader, writer))
        self._forward_tasks.add(task)
        task.add_done_callback(self._forward_tasks.discard)

    async def _forward(
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
            self._pump(conn, Direction.TO_TARGET, reader, streams[1]),
            self._pump(conn, Direction.FROM_TARGET, streams[0], writer),
        )
        self._connections.discard(conn)
        conn.close()

    async def _pump(
        self,
        conn: "_Connection",
        direction: Direction,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        queue: asyncio.Queue[tuple[float, bytes]] = asyncio.Queue()
        read_task = asyncio.create_task(self._read(reader, queue))
        data = b"-"  # not empty, so that the loop is entered
        while data:
            due_s, data = await queue.get()
            await asyncio.sleep(max(0.0, due_s - time.monotonic()))
            async with self._cuts_changed:
                await self._cuts_changed.wait_for(
                    lambda: direction not in self._cut_directions
                )
            if not conn.is_silenced:
                conn.forward(writer, data)
        await read_task

    async def _read(
        self,
        reader: asyncio.StreamReader,
        queue: asyncio.Queue[tuple[float, bytes]],
    ) -> None:
        data = b"-"  # not empty, so that the loop is entered
        while data:
            try:
                data = await reader.read(READ_BYTES)
            except OSError:
                data = b""
            queue.put_nowait((time.monotonic() + self._delay_s, data))


class _Connection:
    """A connection from a client and, if open, the one to the target."""

    def __init__(self, *writers: asyncio.StreamWriter) -> None:
        self.is_silenced = False
        self._writers = writers

    def forward(self, writer: asyncio.StreamWriter, data: bytes) -> None:
        """Writes data; empty data, the end of the stream, sends FIN."""
        if writer.is_closing():
            return
        if data:
            writer.write(data)
        elif writer.can_write_eof():
            with contextlib.suppress(OSError):  # reset by the peer
                writer.write_eof()

    def close(self) -> None:
        """Closes both sockets."""
        for writer in self._writers:
            writer.close()

    def reset(self) -> None:
        """Resets both sockets, so that each end sees an error."""
        for writer in self._writers:
            sock = writer.get_extra_info("socket")
            if not writer.is_closing():
                sock.setsockopt(
                    socket.SOL_SOCKET, socket.SO_LINGER, LINGER_RESET
                )
            writer.transport.abort()


async def _cancel_other_tasks() -> None:
    others = asyncio.all_tasks() - {asyncio.current_task()}
    for task in others:
        task.cancel()
    await asyncio.gather(*others, return_exceptions=True)
