"""The addresses on which a node accepts connections."""

from collections.abc import Awaitable, Callable, Iterator

from savorylift.front.caller_parts import BYTES_PER_MB, CallerParts
from savorylift.front.connection_shares import (
    most_descriptors,
    share_connections,
)
from savorylift.front.memory_shares import share_memory
from savorylift.front.openings import Opening
from savorylift.front.operator_handler import operator_handler
from savorylift.front.peer_handler import peer_connection_handler
from savorylift.front.shared_parts import SharedParts
from savorylift.front.state_reporter import StateReporter
from savorylift.platform.directory import directory_handler, readiness_handler
from savorylift.tls import server_context
from savorylift.wire import metrics
from savorylift.wire.address import split_address
from savorylift.wire.connection_limit import ConnectionLimit
from savorylift.wire.listener import Listener, connection_handler
from savorylift.wire.message import Request, Response
from savorylift.wire.request_input import InputLimits

# Added to the head of a request that another node hands over.
RELAY_HEAD_BYTES = 1024
# Time for the last responses before the process ends.
CLOSING_TIMEOUT_S = 0.3

HttpHandler = Callable[[Request], Awaitable[Response]]


class Listeners:
    """Accepts connections of callers, nodes, operators and the platform."""

    def __init__(
        self,
        shared: SharedParts,
        callers: CallerParts,
        reporter: StateReporter,
        serve_snapshots: HttpHandler,
    ) -> None:
        """Opens no socket yet.

        Args:
            shared: What all parts have in common.
            callers: Serves callers.
            reporter: Has the node's status.
            serve_snapshots: Serves other nodes' requests for snapshots.

        Raises:
            OSError: A TLS file can't be read.
        """
        self._settings = shared.settings
        self._ip = shared.identity.ip
        self._lifecycle = shared.lifecycle
        self._store_view = shared.store_view
        self._callers = callers
        self._reporter = reporter
        self._serve_snapshots = serve_snapshots
        self._shares = share_connections(
            most_descriptors(self._settings.descriptors),
            share_memory(self._settings.memory_mb * BYTES_PER_MB).connections,
            has_tls=self._settings.caller_tls is not None,
        )
        self._caller_listener = Listener(
            callers.handler.serve,
            self._input_limits,
            callers.admission,
            _make_limit("callers", self._shares.callers),
        )
        self._caller_tls = server_context(self._settings.caller_tls)

    def openings(self) -> Iterator[Opening]:
        """Yields how to open each socket, that of callers last."""
        yield Opening("nodes", self._listen_to_nodes)
        yield self._http_opening(
            "directory",
            self._settings.directory_listen,
            directory_handler(self._callers.directory.resolve),
            self._shares.directory,
        )
        yield self._http_opening(
            "readiness",
            self._settings.readiness_listen,
            readiness_handler(lambda: self._reporter.is_ready),
            self._shares.readiness,
        )
        yield self._http_opening(
            "metrics",
            f"{self._ip}:{self._settings.metrics_port}",
            operator_handler(self._reporter.status),
            self._shares.metrics,
        )
        yield Opening("callers", self._listen_to_callers)

    def close_after_response(self) -> None:
        """Makes callers' connections close after their next response."""
        self._caller_listener.close_after_response()

    async def close_when_served(self) -> None:
        """Closes callers' connections once they are served."""
        await self._caller_listener.close_when_served(CLOSING_TIMEOUT_S)

    async def _listen_to_nodes(self) -> None:
        handler = peer_connection_handler(
            self._serve_snapshots,
            self._callers.handler.serve_relayed,
            self._callers.handler.refuse_unreadable,
        )
        listener = Listener(
            handler,
            self._peer_limits,
            self._callers.admission,
            _make_limit("nodes", self._shares.nodes),
        )
        await listener.start(self._ip, self._settings.peer_port)

    async def _listen_to_callers(self) -> None:
        await self._caller_listener.start(
            *split_address(self._settings.caller_listen), self._caller_tls
        )
        self._lifecycle.takes_callers = True

    def _http_opening(
        self, name: str, address: str, handle: HttpHandler, max_open: int
    ) -> Opening:
        listener = Listener(
            connection_handler(handle),
            InputLimits,
            self._callers.admission,
            _make_limit(name, max_open),
        )
        host, port = split_address(address)
        return Opening(name, lambda: listener.start(host, port))

    def _input_limits(self) -> InputLimits:
        cfg = self._store_view.configuration
        return InputLimits() if cfg is None else cfg.limits

    def _peer_limits(self) -> InputLimits:
        """Returns the limits of requests that other nodes hand over."""
        limits = self._input_limits()
        max_head_bytes = limits.max_head_bytes + RELAY_HEAD_BYTES
        return limits._replace(max_head_bytes=max_head_bytes)


def _make_limit(listener: str, max_open: int) -> ConnectionLimit:
    """Returns the limit of a listener, which counts what it closes."""

    def count(reason: str) -> None:
        metrics.CONNECTIONS_CLOSED.labels(listener, reason).inc()

    return ConnectionLimit(max_open, count)
