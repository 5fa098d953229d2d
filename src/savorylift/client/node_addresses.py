"""Discovers the addresses of nodes and caches them for their TTL."""

import json
import threading
import time
from collections.abc import Iterator
from typing import NamedTuple

import urllib3

LOOKUP_TIMEOUT_S = 1.0
# A node that failed is tried after the others for this long.
FAILURE_COOLDOWN_S = 2.0
FOUND_STATUS = 200


class _Lookup(NamedTuple):
    """What a node says of the others.

    Attributes:
        addresses: Their addresses, IP:PORT.
        ttl_s: How long these hold.
    """

    addresses: tuple[str, ...]
    ttl_s: float


class NodeAddresses:
    """Thread-safe list of the nodes that a team should send requests to."""

    def __init__(
        self, seeds: tuple[str, ...], team: str, pool: urllib3.PoolManager
    ) -> None:
        """Initializes the list; the first lookup is made on first use.

        Args:
            seeds: Base URLs, `http://ip:port`, of nodes known in advance.
            team: Team whose nodes are looked up.
            pool: Connection pool for the lookups.
        """
        self._seeds = seeds
        self._scheme = seeds[0].partition("://")[0]
        self._team = team
        self._pool = pool
        self._discovered: tuple[str, ...] = ()
        self._valid_until_s = 0.0
        self._failed_at_s: dict[str, float] = {}
        self._lock = threading.Lock()

    def in_order(self) -> Iterator[str]:
        """Yields each known base URL once, recently failed nodes last."""
        seen: set[str] = set()
        for url in self._sort_by_health(
            (*self._discovered_urls(), *self._seeds)
        ):
            if url not in seen:
                seen.add(url)
                yield url

    def note_failed(self, url: str) -> None:
        """Puts a node last for a while and expires the cached addresses."""
        with self._lock:
            self._failed_at_s[url] = time.monotonic()
            self._valid_until_s = 0.0

    def _sort_by_health(self, urls: tuple[str, ...]) -> list[str]:
        cooldown_start_s = time.monotonic() - FAILURE_COOLDOWN_S
        with self._lock:
            failed_at_s = dict(self._failed_at_s)
        return sorted(
            urls, key=lambda url: failed_at_s.get(url, 0.0) > cooldown_start_s
        )

    def _discovered_urls(self) -> tuple[str, ...]:
        with self._lock:
            if time.monotonic() < self._valid_until_s:
                return self._discovered
        for url in self._sort_by_health((*self._discovered, *self._seeds)):
            if self._discover(url):
                break
        return self._discovered

    def _discover(self, url: str) -> bool:
        """Asks one node for addresses; returns whether it named any."""
        try:
            response = self._pool.request(
                "GET",
                f"{url}/v1/entry",
                fields={"team": self._team},
                timeout=LOOKUP_TIMEOUT_S,
                retries=False,
            )
        except urllib3.exceptions.HTTPError:
            lookup = None
        else:
            lookup = _decode_lookup(response)
        if lookup is None:
            with self._lock:
                self._failed_at_s[url] = time.monotonic()
            return False
        discovered = tuple(f"{self._scheme}://{a}" for a in lookup.addresses)
        with self._lock:
            self._discovered = discovered or self._discovered
            self._valid_until_s = time.monotonic() + lookup.ttl_s
        return bool(discovered)


def _decode_lookup(response: urllib3.BaseHTTPResponse) -> _Lookup | None:
    """Returns the addresses in a node's answer; None if it has none."""
    if response.status != FOUND_STATUS:
        return None
    try:
        body = json.loads(response.data)
        return _Lookup(tuple(body["entries"]), float(body["ttl_s"]))
    except (ValueError, KeyError, TypeError):
        return None
