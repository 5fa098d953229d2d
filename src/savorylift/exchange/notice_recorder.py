"""Records what backend servers say of their own plans."""

import enum
from collections.abc import Callable

import structlog

from savorylift.backends.registry import BackendServer, Registry
from savorylift.backends.server import ServerEntry
from savorylift.exchange import metrics
from savorylift.exchange.server_holds import ServerHolds
from savorylift.exchange.server_notice import NO_NOTICE, ServerNotice

_log = structlog.get_logger()


class NoticeSource(enum.StrEnum):
    """Where a node heard that a server leaves.

    Attributes:
        ANSWER: In an answer to a request.
        CHECK: In an answer to a question of the node itself.
        NODE: In a message of another node.
    """

    ANSWER = "answer"
    CHECK = "check"
    NODE = "node"


class NoticeRecorder:
    """Marks servers that leave, and holds those that want a pause."""

    def __init__(
        self,
        registry: Registry,
        holds: ServerHolds,
        announce: Callable[[], None],
    ) -> None:
        """Creates a recorder.

        Args:
            registry: Registry in which servers that leave are marked.
            holds: Where pauses are kept.
            announce: Schedules a message to the other nodes.
        """
        self._registry = registry
        self._holds = holds
        self._announce = announce

    def record(
        self,
        server: BackendServer,
        notice: ServerNotice,
        source: NoticeSource = NoticeSource.ANSWER,
    ) -> bool:
        """Records what a server has said.

        Returns:
            Whether it is news that the server is draining.
        """
        entry = server.entry
        if notice.hold_s is not None:
            self._holds.record(entry.server_id, notice.hold_s)
        if not notice.is_leaving:
            return False
        return self.mark_leaving(entry.server_id, entry.started_ms, source)

    def record_at(
        self,
        address: tuple[str, int],
        started_ms: int | None,
        notice: ServerNotice,
    ) -> None:
        """Records what the server at an address has said.

        Args:
            address: The address.
            started_ms: Start of the process that said it; None if it didn't
                say.
            notice: What it said.
        """
        if notice == NO_NOTICE:
            return
        for server in list(self._registry.servers.values()):
            entry = server.entry
            if entry.address == address and _may_be(entry, started_ms):
                self.record(server, notice, NoticeSource.CHECK)

    def mark_leaving(
        self, server_id: str, started_ms: int, source: NoticeSource
    ) -> bool:
        """Marks a server that leaves, and tells the other nodes.

        Returns:
            Whether that is news.
        """
        if not self._registry.mark_leaving(server_id, started_ms):
            return False
        metrics.LEAVING_NOTICES.labels(source).inc()
        _log.info("server_leaves", server=server_id, source=source)
        if source is not NoticeSource.NODE:
            self._announce()
        return True


def _may_be(entry: ServerEntry, started_ms: int | None) -> bool:
    """Whether an entry may be that of a process that started then."""
    return started_ms is None or entry.started_ms == started_ms
