"""Addresses of nodes, kept for as long as the nodes allow."""

import json
import threading
import time
from collections.abc import Iterator

import urllib3

LOOKUP_TIMEOUT_S = 1.0
AVOID_S = 2.0  # a node that just failed is tried last for this long


class Entries:
    """Finds the nodes that a team should use."""

    def __init__(
        self, seeds: tuple[str, ...], team: str, pool: urllib3.PoolManager
    ) -> None:
        """Starts from known addresses.

        Args:
            seeds: `http://ip:port` of some nodes.
            team: Team to ask for.
            pool: Makes the requests.
        """
        self._seeds = seeds
        self._scheme = seeds[0].partition("://")[0]
        self._team = team
        self._pool = pool
        self._found: tuple[str, ...] = ()
        self._valid_until_s = 0.0
        self._failed_s: dict[str, float] = {}
        self._lock = threading.Lock()

    def in_order(self) -> Iterator[str]:
        """Yields base URLs to try, best first, each one once."""
        yielded: set[str] = set()
        for url in self._sorted((*self._current(), *self._seeds)):
            if url not in yielded:
                yielded.add(url)
                yield url

    def note_failed(self, url: str) -> None:
        """Puts a node that gave no answer behind the others for a while."""
        with self._lock:
            self._failed_s[url] = time.monotonic()
            self._valid_until_s = 0.0

    def _sorted(self, urls: tuple[str, ...]) -> list[str]:
        recent_s = time.monotonic() - AVOID_S
        with self._lock:
            failed = dict(self._failed_s)
        return sorted(urls, key=lambda url: failed.get(url, 0.0) > recent_s)

    def _current(self) -> tuple[str, ...]:
        with self._lock:
            if time.monotonic() < self._valid_until_s:
                return self._found
        for url in self._sorted((*self._found, *self._seeds)):
            if self._look_up(url):
                break
        return self._found

    def _look_up(self, url: str) -> bool:
        try:
            response = self._pool.request(
                "GET",
                f"{url}/v1/entry",
                fields={"team": self._team},
                timeout=LOOKUP_TIMEOUT_S,
                retries=False,
            )
            body = json.loads(response.data)
            found = tuple(f"{self._scheme}://{a}" for a in body["entries"])
            ttl_s = float(body["ttl_s"])
        except (urllib3.exceptions.HTTPError, ValueError, KeyError):
            with self._lock:
                self._failed_s[url] = time.monotonic()
            return False
        with self._lock:
            self._found = found or self._found
            self._valid_until_s = time.monotonic() + ttl_s
        return bool(found)
