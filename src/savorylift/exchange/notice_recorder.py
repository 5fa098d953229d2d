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
        *,
        start_ms: int | None = None,
    ) -> bool:
        """Records what a server has said.

        Args:
            server: The server, as known when it was asked.
            notice: What it said.
            source: Where this node heard it.
            start_ms: Start of the process that said it; None if it didn't say.

        Returns:
            Whether it is news that the server is draining.
        """
        entry = server.entry
        is_start_known = start_ms is not None
        if start_ms is None:
            start_ms = entry.started_ms
        if notice.hold_s is not None:
            self._holds.record(
                entry.server_id,
                notice.hold_s,
                start_ms=start_ms,
                is_start_known=is_start_known,
            )
        if not notice.is_leaving:
            return False
        return self.mark_leaving(
            entry.server_id, start_ms, source, is_start_known=is_start_known
        )

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
        if notice == NO_NOTICE and not self._registry.has_marks:
            return
        for server in list(self._registry.servers.values()):
            entry = server.entry
            if entry.address != address:
                continue
            if not _may_be_newest(entry, started_ms):
                self._log_unplaced(entry, started_ms, notice)
                continue
            if not notice.is_leaving:
                self._registry.clear_leaving(entry.server_id)
            self.record(server, notice, NoticeSource.CHECK, start_ms=started_ms)

    def mark_leaving(
        self,
        server_id: str,
        started_ms: int,
        source: NoticeSource,
        *,
        is_start_known: bool = False,
    ) -> bool:
        """Marks a server that leaves, and tells the other nodes.

        Args:
            server_id: Its ID.
            started_ms: Start of the process that said it.
            source: Where this node heard it.
            is_start_known: Whether that process named its start itself; else
                it is the start of the entry by which it was asked.

        Returns:
            Whether that is news.
        """
        entry = self._registry.find_entry(server_id)
        is_own = source is not NoticeSource.NODE
        if entry is not None and not is_own:
            is_earlier = started_ms < entry.started_ms
            if is_earlier or self._registry.is_static(server_id):
                return False
        if not self._registry.mark_leaving(
            server_id, started_ms, is_start_known=is_start_known
        ):
            return False
        metrics.LEAVING_NOTICES.labels(source).inc()
        _log.info(
            "server_leaves",
            server=server_id,
            source=source,
            start_ms=started_ms,
            is_start_known=is_start_known,
            entry_start_ms=None if entry is None else entry.started_ms,
        )
        if is_own:
            self._announce()
        return True

    def _log_unplaced(
        self, entry: ServerEntry, started_ms: int | None, notice: ServerNotice
    ) -> None:
        """Logs a notice of an earlier process than that of the entry."""
        if notice == NO_NOTICE:
            return
        metrics.UNPLACED_NOTICES.inc()
        _log.info(
            "notice_unplaced",
            server=entry.server_id,
            start_ms=started_ms,
            entry_start_ms=entry.started_ms,
            is_leaving=notice.is_leaving,
            hold_s=notice.hold_s,
        )


def _may_be_newest(entry: ServerEntry, started_ms: int | None) -> bool:
    """Whether a start may be that of an entry's process, or of a later one."""
    return started_ms is None or entry.started_ms <= started_ms
