"""Datagrams and snapshot requests between nodes."""

import asyncio
import time
from collections.abc import Callable
from typing import NamedTuple, Protocol, cast

import structlog
from returns.pipeline import is_successful
from returns.result import Failure, Result

from savorylift.fleet import metrics
from savorylift.fleet.codec import Message, decode, encode
from savorylift.fleet.message_auth import MessageAuthenticator
from savorylift.fleet.state import Delta, NodeState, Snapshot
from savorylift.wire.client_call import BrokenAnswerError, fetch
from savorylift.wire.message import Request, Response

BASE_INTERVAL_S = 0.2
# With more nodes than this the interval grows in proportion, so that the
# traffic on a node's network link stays about the same.
NODES_AT_BASE_INTERVAL = 16
# One in this many periodic messages goes to every known address, including
# those of silent nodes, and names the live nodes.
INTERVALS_PER_SILENT_SEND = 5
# Larger deltas are not sent; the other nodes fetch a snapshot instead.
MAX_DELTA_BYTES = 16_384
# Delay that lets changes made at the same time share one message.
COALESCE_DELAY_S = 0.01
FETCH_TIMEOUT_S = 2.0
FETCH_CONNECT_TIMEOUT_S = 0.5
STATE_PATH = "/state"
# Parts of the query of a snapshot request, which gives the requester's
# versions: the store offset of its operators' records, that of its server
# entries, and the number of changes since the latter that are not records.
VERSION_PARTS = 3

_log = structlog.get_logger()


class FetchedSnapshot(NamedTuple):
    """A snapshot from another node.

    Attributes:
        snapshot: The snapshot.
        size: Number of bytes received.
        took_s: Time that the request took.
    """

    snapshot: Snapshot
    size: int
    took_s: float


class StateBuilder(Protocol):
    """Builds this node's next state message."""

    def __call__(self, *, include_peers: bool) -> NodeState:
        """Builds the message; with `include_peers`, it names the live nodes."""
        ...


class PeerAddresses(Protocol):
    """Returns the addresses of the other nodes."""

    def __call__(self, *, include_silent: bool) -> tuple[str, ...]:
        """Returns those of live nodes; with `include_silent`, all known."""
        ...


class PeerTransport(asyncio.DatagramProtocol):
    """Sends this node's state to the other nodes and receives theirs."""

    def __init__(
        self,
        port: int,
        make_state: StateBuilder,
        on_message: Callable[[NodeState | Delta], None],
        peer_addresses: PeerAddresses,
        authenticator: MessageAuthenticator,
    ) -> None:
        """Creates a transport without a socket; `start` opens it.

        Args:
            port: Port of datagrams and snapshot requests, on every node.
            make_state: Builds the state message to send.
            on_message: Called with each message received.
            peer_addresses: Returns the addresses to send to.
            authenticator: Signs and verifies the messages.
        """
        self._authenticator = authenticator
        self._port = port
        self._make_state = make_state
        self._on_message = on_message
        self._peer_addresses = peer_addresses
        self._transport: asyncio.DatagramTransport | None = None
        self._send_requested = asyncio.Event()

    async def start(self, host: str) -> None:
        """Opens the socket."""
        loop = asyncio.get_running_loop()
        await loop.create_datagram_endpoint(
            lambda: self, local_addr=(host, self._port)
        )

    @property
    def message_interval_s(self) -> float:
        """Interval of the periodic messages."""
        nodes = len(self._peer_addresses(include_silent=False))
        return BASE_INTERVAL_S * max(1.0, nodes / NODES_AT_BASE_INTERVAL)

    async def run(self) -> None:
        """Sends the state at each interval and soon after each change."""
        tick = 0
        next_s = time.monotonic()
        while True:
            wait_s = max(next_s - time.monotonic(), 0.0)
            try:
                await asyncio.wait_for(self._send_requested.wait(), wait_s)
                await asyncio.sleep(COALESCE_DELAY_S)
                self.send(include_silent=False)
            except TimeoutError:
                tick += 1
                next_s = time.monotonic() + self.message_interval_s
                self.send(include_silent=tick % INTERVALS_PER_SILENT_SEND == 1)
            self._send_requested.clear()

    def send_soon(self) -> None:
        """Sends the state after a short delay that coalesces changes."""
        self._send_requested.set()

    def send(self, *, include_silent: bool) -> None:
        """Sends the state now.

        With `include_silent` it also goes to silent nodes and names the live
        ones.
        """
        state = self._make_state(include_peers=include_silent)
        self._send_all(
            encode(state), self._peer_addresses(include_silent=include_silent)
        )

    def send_delta(self, delta: Delta) -> None:
        """Sends a delta to the live nodes, unless it is too large."""
        data = encode(delta)
        if len(data) > MAX_DELTA_BYTES:
            metrics.DELTAS.labels("too_large").inc()
            _log.info("delta_too_large", topic=delta.topic, bytes=len(data))
            return
        metrics.DELTAS.labels("sent").inc()
        self._send_all(data, self._peer_addresses(include_silent=False))

    def _send_all(self, data: bytes, ips: tuple[str, ...]) -> None:
        if self._transport is None or self._transport.is_closing():
            return
        signed = self._authenticator.sign(data)
        for ip in ips:
            self._transport.sendto(signed, (ip, self._port))

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Stores the transport of the opened socket."""
        self._transport = cast("asyncio.DatagramTransport", transport)

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        """Passes on a valid message; an invalid one is logged and dropped."""
        decoded = _verify_and_decode(data, self._authenticator)
        if not is_successful(decoded):
            detail = decoded.failure()
            _log.warning("peer_message_unreadable", peer=addr[0], detail=detail)
            return
        message = decoded.unwrap()
        if not isinstance(message, Snapshot):
            self._on_message(message)

    def error_received(self, exc: Exception) -> None:
        """Logs a socket error; later messages may still be delivered."""
        _log.info("peer_message_lost", detail=str(exc))


def snapshot_handler(
    make_snapshot: Callable[[int, tuple[int, int]], Snapshot],
    authenticator: MessageAuthenticator,
) -> Callable[[Request], "asyncio.Future[Response]"]:
    """Returns the handler of snapshot requests."""

    async def handle(req: Request) -> Response:
        path, _, query = req.target.partition("?")
        versions = query.split(".")
        if path != STATE_PATH or len(versions) != VERSION_PARTS:
            return Response(404, ())
        if not all(part.isdigit() for part in versions):
            return Response(400, ())
        operators, offset, changes = map(int, versions)
        snapshot = make_snapshot(operators, (offset, changes))
        data = authenticator.sign(encode(snapshot))
        metrics.SNAPSHOTS_SENT.inc()
        metrics.SNAPSHOT_BYTES_SENT.inc(len(data))
        return Response(200, (), data)

    return cast("Callable[[Request], asyncio.Future[Response]]", handle)


async def fetch_snapshot(
    ip: str,
    port: int,
    operators_version: int,
    servers_version: tuple[int, int],
    authenticator: MessageAuthenticator,
) -> FetchedSnapshot | None:
    """Requests what another node has beyond this node's versions.

    Returns:
        The snapshot; None after a failure, which is logged.
    """
    offset, changes = servers_version
    versions = f"{operators_version}.{offset}.{changes}"
    started_s = time.monotonic()
    try:
        response = await fetch(
            (ip, port),
            "GET",
            f"{STATE_PATH}?{versions}",
            timeout_s=FETCH_TIMEOUT_S,
            connect_timeout_s=FETCH_CONNECT_TIMEOUT_S,
        )
    except (OSError, BrokenAnswerError) as exc:
        detail = f"{type(exc).__name__}: {exc}"
        _log.info("peer_state_failed", peer=ip, detail=detail)
        return None
    decoded = _verify_and_decode(response.body, authenticator)
    if not is_successful(decoded):
        detail = decoded.failure()
        _log.warning("peer_state_unreadable", peer=ip, detail=detail)
        return None
    snapshot = decoded.unwrap()
    if not isinstance(snapshot, Snapshot):
        return None
    took_s = time.monotonic() - started_s
    metrics.SNAPSHOT_TIME.observe(took_s)
    return FetchedSnapshot(snapshot, len(response.body), took_s)


def _verify_and_decode(
    data: bytes, authenticator: MessageAuthenticator
) -> Result[Message, str]:
    message = authenticator.verify(data)
    if message is None:
        return Failure("message authentication failed with every peer key")
    return decode(message)
