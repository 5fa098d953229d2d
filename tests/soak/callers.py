"""Callers of the soak: what they asked, and what they were told."""

import itertools
import random
import threading
import time
import uuid
from typing import NamedTuple

import urllib3
from returns.pipeline import is_successful

from savorylift.client import Client, ClientError, ClientOptions, Token
from savorylift.client.outcomes import error_from
from savorylift.outcomes import Ending
from tests.harness.deployment import Deployment
from tests.standins.tokens import Text

CALLERS = 6
TIMEOUT_S = 6.0
CALL_TIMEOUT_S = 3.0
PAUSE_S = 0.02
UNUSED_BOUNDS = (8, 256)  # prompts of the soak fix their length
LENGTHS = (5, 30, 80, 160)
NEVER_SENT = (
    urllib3.exceptions.NewConnectionError,
    urllib3.exceptions.ConnectTimeoutError,
)


class Got(NamedTuple):
    """What became of one request.

    Attributes:
        kind: `stream`, `whole`, `GET` or `POST`.
        request_id: The caller's name for a call; empty for generations.
        asked_s: Wall-clock time of the request.
        ending: What the caller was told; None for a whole answer.
        code: Code of the error; empty for a whole answer.
        fault: What was wrong with it; empty for nothing.
    """

    kind: str
    request_id: str
    asked_s: float
    ending: Ending | None
    code: str
    fault: str


class Crowd:
    """Callers that ask until they are told to stop."""

    def __init__(self, deployment: Deployment, seed: int) -> None:
        """Draws what each asks from `seed`."""
        self._deployment = deployment
        self._over = threading.Event()
        self._numbers = itertools.count(1)
        self.got: list[Got] = []
        self._threads = [
            threading.Thread(
                target=self._run, args=(random.Random(f"{seed}/{number}"),)
            )
            for number in range(CALLERS)
        ]

    def start(self) -> None:
        """Starts to ask."""
        for thread in self._threads:
            thread.start()

    def stop(self) -> list[Got]:
        """Lets every caller end its request; returns what all got."""
        self._over.set()
        for thread in self._threads:
            thread.join()
        return self.got

    def ask_each(self) -> list[Got]:
        """Asks once for each kind, with a client that knows every node."""
        rng = random.Random(0)
        client = self._client(rng)
        return [
            self._generation(client, rng, is_stream=True),
            self._generation(client, rng, is_stream=False),
            self._call(rng, "GET"),
            self._call(rng, "POST"),
        ]

    def _run(self, rng: random.Random) -> None:
        client = self._client(rng)
        while not self._over.wait(PAUSE_S):
            kind = rng.choice(("stream", "stream", "whole", "GET", "POST"))
            if kind in ("GET", "POST"):
                self.got.append(self._call(rng, kind))
            else:
                is_stream = kind == "stream"
                self.got.append(
                    self._generation(client, rng, is_stream=is_stream)
                )

    def _client(self, rng: random.Random) -> Client:
        nodes = self._deployment.nodes.values()
        seeds = tuple(node.caller_url for node in nodes)
        team = rng.choice(self._deployment.plan.teams).name
        return Client(ClientOptions(seeds, team, TIMEOUT_S))

    def _generation(
        self, client: Client, rng: random.Random, *, is_stream: bool
    ) -> Got:
        plan = self._deployment.plan
        number = next(self._numbers)
        prompt = f"report {number} len={rng.choice(LENGTHS)}"
        text = Text(prompt, number, plan.version, UNUSED_BOUNDS)
        expected = "".join(text.tokens(1 << 20))
        asked_s = time.time()
        if is_stream:
            error, fault = _read_stream(client, plan.model, prompt, number)
            if error is None and fault != expected:
                fault = f"the text of {prompt!r} is not that of one generation"
            else:
                fault = ""
            return _got("stream", "", asked_s, error, fault)
        answered = client.complete(plan.model, prompt, seed=number)
        if is_successful(answered):
            is_right = answered.unwrap().text == expected
            fault = "" if is_right else f"wrong text for {prompt!r}"
            return _got("whole", "", asked_s, None, fault)
        return _got("whole", "", asked_s, answered.failure(), "")

    def _call(self, rng: random.Random, method: str) -> Got:
        """Makes one call at one node; nothing repeats it."""
        node = rng.choice(list(self._deployment.nodes.values()))
        service = self._deployment.plan.service
        request_id = f"call-{uuid.uuid4().hex}"
        path = f"/{next(self._numbers)}"
        asked_s = time.time()
        try:
            answer = urllib3.request(
                method,
                f"{node.caller_url}/v1/services/{service}{path}",
                headers={
                    "X-Team": self._deployment.plan.teams[0].name,
                    "X-Request-Id": request_id,
                    "X-Deadline-Ms": str(int(CALL_TIMEOUT_S * 1000)),
                },
                timeout=CALL_TIMEOUT_S + 1.0,
                retries=False,
            )
        except NEVER_SENT:
            ending = Ending.NOT_RUN
            return Got(method, request_id, asked_s, ending, "not_reached", "")
        except urllib3.exceptions.HTTPError as exc:
            code = type(exc).__name__
            ending = Ending.UNKNOWN
            return Got(method, request_id, asked_s, ending, code, "")
        if answer.headers.get("X-Savorylift-Error") == "true":
            error = error_from(answer.data)
            fault = ""
            if (
                answer.status in (429, 503)
                and "Retry-After" not in answer.headers
            ):
                fault = f"a {answer.status} that doesn't say when to come back"
            return _got(method, request_id, asked_s, error, fault)
        fault = "" if path.encode() in answer.data else "another's answer"
        return _got(method, request_id, asked_s, None, fault)


def _read_stream(
    client: Client, model: str, prompt: str, seed: int
) -> tuple[ClientError | None, str]:
    """Returns the error that ended a stream, if any, and its text."""
    text = ""
    is_whole = False
    for item in client.stream(model, prompt, seed=seed):
        if isinstance(item, Token):
            text += item.text
            is_whole = item.finish_reason is not None
        else:
            return item, text
    if not is_whole:
        return ClientError(Ending.FAILED, "cut", "no end mark"), text
    return None, text


def _got(
    kind: str,
    request_id: str,
    asked_s: float,
    error: ClientError | None,
    fault: str,
) -> Got:
    if error is None:
        return Got(kind, request_id, asked_s, None, "", fault)
    return Got(kind, request_id, asked_s, error.ending, error.code, fault)
