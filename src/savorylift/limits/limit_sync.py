"""Shares between the nodes what backend servers name as their limits."""

import time
from collections.abc import Callable, Iterable
from typing import Protocol

import structlog

from savorylift.backends.named_limits import NamedLimit, NamedLimits
from savorylift.backends.registry import BackendServer
from savorylift.fleet.limit_messages import LimitNews, LimitReport
from savorylift.limits.permit_client import SendLimitMessage
from savorylift.limits.permit_issuer import PermitIssuer

MISDIRECTED_STATUS = 421
# All nodes are told of changes of a server at once no more often than this.
MIN_NEWS_INTERVAL_S = 1.0

_log = structlog.get_logger()


class LimitedAnswer(Protocol):
    """The head of a server's answer, as far as limits depend on it."""

    @property
    def status(self) -> int:
        """Status code."""
        ...

    @property
    def matches_request(self) -> bool:
        """Whether it responds to the request that was sent."""
        ...

    @property
    def is_not_run(self) -> bool:
        """Whether the server declares that it did not run the request."""
        ...

    @property
    def named_limit(self) -> NamedLimit | None:
        """Limit on its requests that the server names, if any."""
        ...


class LimitSync:
    """Limits from this node's responses and from the news of other nodes.

    Attributes:
        limits: The limits.
    """

    def __init__(
        self,
        issuer: PermitIssuer,
        send: SendLimitMessage,
        get_message_interval_s: Callable[[], float],
        is_registered: Callable[[str], bool],
        on_change: Callable[[str], None],
    ) -> None:
        """Starts without limits.

        Args:
            issuer: Knows the issuers of servers, which must be told changes.
            send: Sends messages to other nodes.
            get_message_interval_s: Returns the interval between the nodes'
                messages, which grows with their number.
            is_registered: Whether a server is registered, by its ID.
            on_change: Called with the ID of a server whose limit changed.
        """
        self._issuer = issuer
        self._send = send
        self._get_message_interval_s = get_message_interval_s
        self._is_registered = is_registered
        self._on_change = on_change
        self._next_news_s = 0.0
        # Monotonic time at which all nodes were last told of a server.
        self._told_s: dict[str, float] = {}
        self.limits = NamedLimits()

    def record_head(
        self, server: BackendServer, request: str, head: LimitedAnswer
    ) -> None:
        """Records whether the head of a response names a limit."""
        if head.status == MISDIRECTED_STATUS:
            return
        is_sound = head.matches_request and not head.is_not_run
        if head.named_limit is None and not is_sound:
            return
        entry = server.entry
        was_limited = self.limits.find(entry) is not None
        if not self.limits.record_response(entry, head.named_limit):
            return
        self._apply_change(entry.server_id, request=request)
        report = self.limits.report(entry.server_id)
        assert report is not None
        news = LimitNews((report,))
        is_limited = self.limits.find(entry) is not None
        if is_limited != was_limited and self._may_tell_all(entry.server_id):
            self._send(news, None)
            return
        # A limit may change, or come and go, with every response. So only the
        # issuer is told, which repeats it to all.
        issuer_ip = self._issuer.find_issuer(entry.server_id)
        if not self._issuer.is_own_ip(issuer_ip):
            self._send(news, issuer_ip)

    def _may_tell_all(self, server_id: str) -> bool:
        """Whether no node has told all others of a server for a while."""
        now_s = time.monotonic()
        told_s = self._told_s.get(server_id)
        if told_s is not None and now_s - told_s < MIN_NEWS_INTERVAL_S:
            return False
        self._told_s[server_id] = now_s
        return True

    def merge(self, reports: Iterable[LimitReport], ip: str) -> None:
        """Applies what another node heard."""
        for report in reports:
            if self.limits.merge(report):
                self._told_s[report.server_id] = time.monotonic()
                self._apply_change(report.server_id, peer=ip)

    def greet(self, ip: str) -> None:
        """Tells a node that has just been heard for the first time."""
        reports = self.limits.reports()
        if reports:
            self._send(LimitNews(reports), ip)

    def update(self) -> None:
        """Forgets old limits and repeats news; to be called periodically."""
        self.limits.forget_old(self._is_registered)
        now_s = time.monotonic()
        self._told_s = {
            server_id: told_s
            for server_id, told_s in self._told_s.items()
            if now_s - told_s < MIN_NEWS_INTERVAL_S
        }
        if now_s >= self._next_news_s:
            self._next_news_s = now_s + self._get_message_interval_s()
            self._repeat_news()

    def _repeat_news(self) -> None:
        """Tells all nodes the limits of this issuer's servers once more.

        The message in which they were told may have been lost.
        """
        reports = tuple(
            report
            for report in self.limits.reports()
            if report.server_id in self._issuer.issued_ids
        )
        if reports:
            self._send(LimitNews(reports), None)

    def _apply_change(self, server_id: str, **source: str) -> None:
        self._on_change(server_id)
        report = self.limits.report(server_id)
        assert report is not None
        _log.info(
            "server_limit",
            server=server_id,
            start_ms=report.started_ms,
            requests_per_s=report.requests_per_s,
            age_s=round(report.age_s, 3),
            **source,
        )
