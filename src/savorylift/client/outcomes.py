"""What a client gets: answers, and errors with what is known about them."""

import json
from typing import NamedTuple

from savorylift.outcomes import Ending


class ClientError(NamedTuple):
    """A request that ended without an answer.

    Attributes:
        ending: What is known about the request's effect.
        code: Stable code; `connection` if no node could be asked.
        message: One plain sentence.
        retry_after_s: Seconds until a retry may succeed, if one may.
        entries: Addresses of nodes that may take the request instead.
    """

    ending: Ending
    code: str
    message: str
    retry_after_s: float | None = None
    entries: tuple[str, ...] = ()


class Answer(NamedTuple):
    """A whole generation.

    Attributes:
        answer_id: Identifier of the answer.
        text: The output.
        finish_reason: `stop` or `length`.
    """

    answer_id: str
    text: str
    finish_reason: str


class CallReply(NamedTuple):
    """A plain service's answer."""

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes


def error_from(body: bytes) -> ClientError:
    """Reads a node's error body; an unreadable one has an unknown ending."""
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
        return ClientError(Ending.UNKNOWN, "bad_answer", "no error body")


def despite(error: ClientError, earlier: Ending) -> ClientError:
    """Returns an error with what earlier attempts leave possible.

    Args:
        error: How the last attempt ended.
        earlier: What is known about the effect of those before it.
    """
    if error.ending is Ending.NOT_RUN:
        return error._replace(ending=earlier)
    return error


def not_reached(message: str, ending: Ending = Ending.NOT_RUN) -> ClientError:
    """Returns the error for a node that gave no answer."""
    return ClientError(ending, "connection", message, 0.0)
