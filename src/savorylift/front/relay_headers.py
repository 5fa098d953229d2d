"""Headers of requests that a node hands over, and of their answers."""

from savorylift.wire.message import Headers, Request, end_to_end_headers

# Marks requests between nodes, and the responses of nodes that understand it.
RELAY_HEADER = "savorylift-relay"
RELAYED: Headers = ((RELAY_HEADER, "1"),)
# The response is a refusal of that node, and the request did not run.
RELAY_REFUSED: Headers = ((RELAY_HEADER, "refused"),)


def without_mark(req: Request) -> Request:
    """Returns a request as its caller sent it to the first node."""
    headers = tuple(item for item in req.headers if item[0] != RELAY_HEADER)
    return req._replace(headers=headers)


def passed_headers(headers: Headers) -> Headers:
    """Returns what a caller gets of the headers of an answer."""
    return tuple(
        item for item in end_to_end_headers(headers) if item[0] != RELAY_HEADER
    )
