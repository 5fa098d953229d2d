"""Results of client requests: answers and errors."""

import json
from typing import NamedTuple

from savorylift.outcomes import Ending


class ClientError(NamedTuple):
    """A request that failed.

    Attributes:
        ending: What is known of the effect of the request.
        code: Stable error code; `connection` if no node responded.
        message: One plain sentence.
        retry_after_s: Seconds after which a retry may succeed; None if the
            request should not be retried.
        entries: Addresses of other nodes that may accept the request.
    """

    ending: Ending
    code: str
    message: str
    retry_after_s: float | None = None
    entries: tuple[str, ...] = ()


class Answer(NamedTuple):
    """A complete generation.

    Attributes:
        answer_id: Identifier of the answer.
        text: Generated text.
        finish_reason: `stop` or `length`.
    """

    answer_id: str
    text: str
    finish_reason: str


class CallReply(NamedTuple):
    """Response of a plain service."""

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes


def decode_error(body: bytes) -> ClientError:
    """Decodes a node's error body; `Ending.UNKNOWN` if it is unreadable."""
    try:
        error = json.loads(body)["error"]
        return ClientError(
            Ending(error["ending"]),
            str(error["code"]),
            str(error["message"]),
            error.get("retry_after_s"),
            tuple(error.get("entries", ())),
        )
    except (ValueError, KeyError, TypeError):
        return ClientError(
            Ending.UNKNOWN,
            "bad_answer",
            "the response has no readable error body",
        )


def with_earlier_ending(error: ClientError, earlier: Ending) -> ClientError:
    """Returns the error with an ending that covers earlier attempts too.

    Args:
        error: Error of the last attempt.
        earlier: Combined ending of the attempts before it.
    """
    if error.ending is Ending.NOT_RUN:
        return error._replace(ending=earlier)
    return error


def connection_error(
    message: str, ending: Ending = Ending.NOT_RUN
) -> ClientError:
    """Returns the error for a node that did not respond."""
    return ClientError(ending, "connection", message, 0.0)
