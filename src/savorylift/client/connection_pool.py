"""Connections on which a response counts only with its whole head."""

import http.client
import io
import re
from typing import cast

import urllib3
from urllib3.connection import HTTPConnection, HTTPSConnection

LINE_END = b"\n"
# Of informational statuses nodes send 100 only, which is skipped.
STATUS_LINE = re.compile(rb"HTTP/1\.[0-9] (100|[2-5][0-9]{2})( [^\r\n]*)?\r?\n")
MAX_SHOWN_BYTES = 40


class _HeadReader:
    """Reads the lines of a head; the end of the input is none of the head.

    `http.client` takes it for the blank line that ends the headers. A node
    that stops within a head would seem to have answered without a body. It
    also accepts statuses and versions that don't exist.
    """

    def __init__(self, source: io.BufferedReader) -> None:
        self._source = source
        self._is_in_head = False

    def readline(self, limit: int = -1) -> bytes:
        """Returns the next line, with its end.

        Raises:
            http.client.RemoteDisconnected: The input ends before.
            http.client.BadStatusLine: The status line isn't valid HTTP/1.
        """
        line = self._source.readline(limit)
        if not line.endswith(LINE_END):
            raise http.client.RemoteDisconnected("the response head is cut off")
        if not self._is_in_head and not STATUS_LINE.fullmatch(line):
            raise http.client.BadStatusLine(repr(line[:MAX_SHOWN_BYTES]))
        # Another status line follows an informational head.
        self._is_in_head = line.strip() != b""
        return line

    def close(self) -> None:
        """Closes the source."""
        self._source.close()


class _Response(http.client.HTTPResponse):
    def begin(self) -> None:
        """Reads the head; fails if the connection ends within it.

        Raises:
            http.client.HTTPException: The head isn't valid HTTP/1, or names
                two lengths of the body.
        """
        source = self.fp
        self.fp = cast("io.BufferedReader", _HeadReader(source))
        try:
            super().begin()
        finally:
            if self.fp is not None:
                self.fp = source
        lengths = self.headers.get_all("content-length", [])
        if len(lengths) + ("transfer-encoding" in self.headers) > 1:
            raise http.client.HTTPException("the response has two lengths")


class _HttpConnection(HTTPConnection):
    response_class = _Response


class _HttpsConnection(HTTPSConnection):
    response_class = _Response


class _HttpPool(urllib3.HTTPConnectionPool):
    ConnectionCls = _HttpConnection


class _HttpsPool(urllib3.HTTPSConnectionPool):
    ConnectionCls = _HttpsConnection


def make_pool(authorities: str | None) -> urllib3.PoolManager:
    """Returns a pool of connections to nodes.

    Args:
        authorities: Path of a PEM file with the CA certificates for TLS; None
            for the system's.
    """
    pool = urllib3.PoolManager(maxsize=1, block=False, ca_certs=authorities)
    pool.pool_classes_by_scheme = {"http": _HttpPool, "https": _HttpsPool}
    return pool
