"""Services whose servers fall over if they have to reject much."""

import time
from collections.abc import Iterable

from savorylift.fleet.server_sightings import BrittleNews

# Brittle servers say so in all their answers; after this time without one they
# count as sound.
EXPIRY_S = 4.0
MAX_SERVICES = 64


class BrittleServices:
    """Which services are brittle, as this node or another one has heard."""

    def __init__(self) -> None:
        """Starts with sound services."""
        self._heard_s: dict[str, float] = {}

    def record(self, service: str) -> bool:
        """Records that a server says so; returns whether that is news."""
        is_news = not self.is_brittle(service)
        self._heard_s[service] = time.monotonic()
        return is_news

    def is_brittle(self, service: str) -> bool:
        """Whether a service must not be sent more than it has room for."""
        heard_s = self._heard_s.get(service)
        return heard_s is not None and time.monotonic() - heard_s < EXPIRY_S

    def news(self) -> tuple[BrittleNews, ...]:
        """Returns what other nodes should know."""
        now_s = time.monotonic()
        self._heard_s = {
            service: heard_s
            for service, heard_s in self._heard_s.items()
            if now_s - heard_s < EXPIRY_S
        }
        return tuple(
            BrittleNews(service, now_s - heard_s)
            for service, heard_s in self._heard_s.items()
        )

    def merge(self, news: Iterable[BrittleNews]) -> None:
        """Adds what another node has heard."""
        now_s = time.monotonic()
        for service, age_s in news:
            if not 0 <= age_s < EXPIRY_S:
                continue
            heard_s = now_s - age_s
            if service in self._heard_s:
                self._heard_s[service] = max(self._heard_s[service], heard_s)
            elif len(self._heard_s) < MAX_SERVICES:
                self._heard_s[service] = heard_s
