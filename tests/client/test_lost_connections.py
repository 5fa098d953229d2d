"""Tests of retries, resumption and error endings after lost connections."""

import json
import socket
import threading
import time
from collections.abc import Iterator, Sequence
from contextlib import ExitStack

import pytest
from returns.result import Failure

from savorylift.client import Client, ClientError, ClientOptions, Token
from savorylift.client.stream import StreamItem
from savorylift.outcomes import Ending

STREAM_HEAD = b"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n"
SILENCE_S = 0.2
LONG_RETRY_S = 4.0


def token_event(index: int, finish_reason: str | None = None) -> bytes:
    data = {
        "id": "a",
        "choices": [{"text": "t", "finish_reason": finish_reason}],
        "token_index": index,
    }
    return b"data: " + json.dumps(data).encode() + b"\n\n"


STREAM_REST = (
    STREAM_HEAD + token_event(1) + token_event(2, "stop") + b"data: [DONE]\n\n"
)


def refusal_response(code: str) -> bytes:
    error = {"ending": "not_run", "code": code, "message": "no"}
    body = json.dumps({"error": error}).encode()
    return (
        b"HTTP/1.1 503 Busy\r\nX-Savorylift-Error: true\r\n"
        b"Connection: close\r\nContent-Length: %d\r\n\r\n%s" % (len(body), body)
    )


class ScriptedNode:
    """Fake node that sends one scripted response on each new connection."""

    def __init__(self, responses: list[bytes | None]) -> None:
        """Starts the node.

        Args:
            responses: Raw responses in order. The connection stays open after
                each; None closes it without a response.
        """
        self._responses = iter(responses)
        self._open_sockets: list[socket.socket] = []
        self._server = socket.create_server(("127.0.0.1", 0))
        self.url = f"http://127.0.0.1:{self._server.getsockname()[1]}"
        threading.Thread(target=self._run, daemon=True).start()

    def close(self) -> None:
        for sock in (self._server, *self._open_sockets):
            sock.close()

    def _run(self) -> None:
        while True:
            try:
                sock, _ = self._server.accept()
            except OSError:
                return
            if b"/v1/entry" in sock.recv(65_536):
                sock.close()
                continue
            response = next(self._responses, None)
            if response is None:
                sock.close()
                continue
            sock.sendall(response)
            self._open_sockets.append(sock)


@pytest.fixture(name="client")
def _client(request: pytest.FixtureRequest) -> Iterator[Client]:
    with ExitStack() as stack:
        node = ScriptedNode(request.param)
        stack.callback(node.close)
        options = ClientOptions((node.url,), "t", 2.0, silence_s=SILENCE_S)
        yield Client(options)


def read_stream(
    responses: Sequence[list[bytes | None]],
) -> tuple[list[StreamItem], float]:
    """Returns a stream of scripted nodes, and how long it took."""
    with ExitStack() as stack:
        nodes = [ScriptedNode(script) for script in responses]
        for node in nodes:
            stack.callback(node.close)
        urls = tuple(node.url for node in nodes)
        client = Client(ClientOptions(urls, "t", 6.0, silence_s=SILENCE_S))
        start_s = time.monotonic()
        items = list(client.stream("m", "p"))
        took_s = time.monotonic() - start_s
    return items, took_s


@pytest.mark.parametrize(
    "client",
    [
        [
            STREAM_HEAD + token_event(0),
            STREAM_REST,
        ]
    ],
    indirect=True,
)
def test_silent_stream_is_resumed_on_new_connection(client: Client) -> None:
    start_s = time.monotonic()
    items = list(client.stream("m", "p"))
    assert [item.token_index for item in items if isinstance(item, Token)] == [
        0,
        1,
        2,
    ]
    assert time.monotonic() - start_s < 1.0


def refusal_event(retry_after_s: float = 0.05) -> bytes:
    error = {
        "ending": "not_run",
        "code": "queue_full",
        "message": "no",
        "retry_after_s": retry_after_s,
    }
    return (
        b"event: error\ndata: "
        + json.dumps({"error": error}).encode()
        + b"\n\n"
    )


@pytest.mark.parametrize(
    "client",
    [
        [
            STREAM_HEAD + token_event(0),
            STREAM_HEAD + refusal_event(),
            STREAM_REST,
        ]
    ],
    indirect=True,
)
def test_resumption_refused_by_full_queue_is_retried(client: Client) -> None:
    items = list(client.stream("m", "p"))
    assert [item.token_index for item in items if isinstance(item, Token)] == [
        0,
        1,
        2,
    ]


REFUSAL = STREAM_HEAD + refusal_event(LONG_RETRY_S)


@pytest.mark.parametrize(
    ("responses", "max_s"),
    [
        # The second node has room.
        (([STREAM_HEAD + token_event(0), REFUSAL], [STREAM_REST]), 1.0),
        # All nodes refuse once; the second names the sooner time.
        (
            (
                [STREAM_HEAD + token_event(0), REFUSAL, STREAM_REST],
                [STREAM_HEAD + refusal_event()],
            ),
            1.0,
        ),
    ],
)
def test_refused_rest_of_a_stream_is_asked_of_the_other_nodes_first(
    responses: tuple[list[bytes | None], ...], max_s: float
) -> None:
    items, took_s = read_stream(responses)
    indices = [item.token_index for item in items if isinstance(item, Token)]
    assert indices == [0, 1, 2]
    assert took_s < max_s


def test_caller_waits_after_all_nodes_have_refused_the_rest() -> None:
    retry_after_s = 0.5
    refusal = STREAM_HEAD + refusal_event(retry_after_s)
    responses: tuple[list[bytes | None], ...] = (
        [STREAM_HEAD + token_event(0), refusal, STREAM_REST],
        [refusal],
    )
    items, took_s = read_stream(responses)
    assert isinstance(items[-1], Token)
    assert took_s >= retry_after_s


@pytest.mark.parametrize(
    ("client", "ending"),
    [
        ([refusal_response("queue_full")], Ending.NOT_RUN),
        (
            [STREAM_HEAD + token_event(0), refusal_response("unknown_team")],
            Ending.FAILED,
        ),
        ([None, refusal_response("queue_full")], Ending.UNKNOWN),
    ],
    indirect=["client"],
)
def test_stream_ending_covers_all_attempts(
    client: Client, ending: Ending
) -> None:
    last = list(client.stream("m", "p"))[-1]
    assert isinstance(last, ClientError)
    assert last.ending is ending


@pytest.mark.parametrize(
    ("client", "ending"),
    [
        ([refusal_response("node_busy")], Ending.NOT_RUN),
        ([None, refusal_response("queue_full")], Ending.UNKNOWN),
    ],
    indirect=["client"],
)
def test_call_ending_covers_all_attempts(
    client: Client, ending: Ending
) -> None:
    result = client.call("s", "POST", "/", b"", "key")
    assert isinstance(result, Failure)
    assert result.failure().ending is ending


@pytest.mark.parametrize(
    "client",
    [
        [
            STREAM_HEAD + token_event(0) + token_event(1, "stop"),
            STREAM_HEAD + token_event(1, "stop") + b"data: [DONE]\n\n",
        ]
    ],
    indirect=True,
)
def test_end_of_an_answer_comes_once_if_the_connection_is_lost_after_it(
    client: Client,
) -> None:
    items = list(client.stream("m", "p"))
    indices = [item.token_index for item in items if isinstance(item, Token)]
    assert indices == [0, 1]
    assert len(items) == len(indices)
