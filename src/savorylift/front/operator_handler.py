"""Serves the metrics and the status of a node to operators."""

from collections.abc import Awaitable, Callable

from savorylift.front.status import STATUS_PATH, Status, encode_status
from savorylift.wire.message import Request, Response

METRICS_PATH = "/metrics"
METRICS_TYPE = ("content-type", "text/plain; version=0.0.4")
JSON_TYPE = ("content-type", "application/json")


def operator_handler(
    status: Callable[[], Status],
) -> Callable[[Request], Awaitable[Response]]:
    """Returns the request handler of the metrics port."""

    async def handle(req: Request) -> Response:
        path = req.target.partition("?")[0]
        if path == METRICS_PATH:
            # Imported late: few nodes are ever asked, and all must start.
            from savorylift.front.metrics_page import render_metrics

            return Response(200, (METRICS_TYPE,), render_metrics())
        if path == STATUS_PATH:
            return Response(200, (JSON_TYPE,), encode_status(status()))
        return Response(404, ())

    return handle
