"""Load generator of the soak test: concurrent callers that check responses."""

import itertools
import random
import threading
import time
import uuid
from typing import NamedTuple

import urllib3
from returns.pipeline import is_successful

from savorylift.client import Client, ClientError, ClientOptions, Token
from savorylift.client.outcomes import decode_error
from savorylift.outcomes import Ending
from tests.harness.deployment import Deployment
from tests.harness.node import Node
from tests.standins.tokens import GeneratedText

CALLER_COUNT = 6
GENERATION_TIMEOUT_S = 6.0
CALL_TIMEOUT_S = 3.0
PAUSE_BETWEEN_REQUESTS_S = 0.02
STEADY_PAUSE_S = 0.005
UNUSED_LENGTH_BOUNDS = (8, 256)  # prompts set their output length
OUTPUT_LENGTHS_TOKENS = (5, 30, 80, 160)
# Errors that are raised before a request is sent, so it cannot have run.
CONNECTION_FAILURES = (
    urllib3.exceptions.NewConnectionError,
    urllib3.exceptions.ConnectTimeoutError,
)


class RequestResult(NamedTuple):
    """Result of one request.

    Attributes:
        kind: `stream`, `whole`, `GET` or `POST`.
        request_id: Request id that the caller sent; empty for generations.
        sent_at_s: Wall-clock time at which the request was sent.
        ending: What the error tells about the effect of the request; None
            for a complete response.
        code: Code of the error, or name of the exception that a service call
            raised; empty for a complete response.
        violation: Violated guarantee; empty if there is none.
        vm: Name of the node's VM that was called; empty for generations, which
            several nodes may serve.
    """

    kind: str
    request_id: str
    sent_at_s: float
    ending: Ending | None
    code: str
    violation: str
    vm: str = ""


class LoadGenerator:
    """Callers on their own threads that send requests until `stop`.

    Attributes:
        results: Results of all requests so far.
    """

    def __init__(self, deployment: Deployment, seed: int) -> None:
        """Creates the callers; `seed` determines their requests."""
        self._deployment = deployment
        self._stop_requested = threading.Event()
        self._request_numbers = itertools.count(1)
        self.results: list[RequestResult] = []
        self._threads = [
            threading.Thread(
                target=self._run_caller,
                args=(random.Random(f"{seed}/{number}"),),
            )
            for number in range(CALLER_COUNT)
        ]
        self._threads += [
            threading.Thread(
                target=self._run_steady_caller,
                args=(random.Random(f"{seed}/{vm}"), vm),
            )
            for vm in deployment.nodes
        ]

    def start(self) -> None:
        """Starts the callers."""
        for thread in self._threads:
            thread.start()

    def stop(self) -> list[RequestResult]:
        """Stops the callers after their open requests; returns all results."""
        self._stop_requested.set()
        for thread in self._threads:
            thread.join()
        return self.results

    def send_one_of_each_kind(self) -> list[RequestResult]:
        """Sends one request of each kind and returns the results.

        Generations go through a client that knows the addresses of all nodes.
        """
        rng = random.Random(0)
        client = self._create_client(rng)
        return [
            self._request_generation(client, rng, is_stream=True),
            self._request_generation(client, rng, is_stream=False),
            self._call_service(self._random_vm(rng), "GET"),
            self._call_service(self._random_vm(rng), "POST"),
        ]

    def _run_caller(self, rng: random.Random) -> None:
        client = self._create_client(rng)
        while not self._stop_requested.wait(PAUSE_BETWEEN_REQUESTS_S):
            kind = rng.choice(("stream", "stream", "whole", "GET", "POST"))
            if kind in ("GET", "POST"):
                self.results.append(
                    self._call_service(self._random_vm(rng), kind)
                )
            else:
                is_stream = kind == "stream"
                self.results.append(
                    self._request_generation(client, rng, is_stream=is_stream)
                )

    def _run_steady_caller(self, rng: random.Random, vm: str) -> None:
        """Calls one node, whether it is in the directory or not."""
        while not self._stop_requested.wait(STEADY_PAUSE_S):
            self.results.append(
                self._call_service(vm, rng.choice(("GET", "POST")))
            )

    def _create_client(self, rng: random.Random) -> Client:
        nodes = self._deployment.nodes.values()
        seeds = tuple(node.caller_url for node in nodes)
        team = rng.choice(self._deployment.plan.teams).name
        return Client(ClientOptions(seeds, team, GENERATION_TIMEOUT_S))

    def _request_generation(
        self, client: Client, rng: random.Random, *, is_stream: bool
    ) -> RequestResult:
        plan = self._deployment.plan
        number = next(self._request_numbers)
        prompt = f"report {number} len={rng.choice(OUTPUT_LENGTHS_TOKENS)}"
        text = GeneratedText(prompt, number, plan.version, UNUSED_LENGTH_BOUNDS)
        expected = "".join(text.tokens(1 << 20))
        sent_at_s = time.time()
        if is_stream:
            error, received = _read_stream(client, plan.model, prompt, number)
            if error is None and received != expected:
                violation = (
                    f"the text streamed for {prompt!r} is not the expected one"
                )
            else:
                violation = ""
            return _create_result("stream", "", sent_at_s, error, violation)
        outcome = client.complete(plan.model, prompt, seed=number)
        if is_successful(outcome):
            is_expected = outcome.unwrap().text == expected
            violation = "" if is_expected else f"wrong text for {prompt!r}"
            return _create_result("whole", "", sent_at_s, None, violation)
        return _create_result("whole", "", sent_at_s, outcome.failure(), "")

    def _random_vm(self, rng: random.Random) -> str:
        return rng.choice(list(self._deployment.nodes))

    def _call_service(self, vm: str, method: str) -> RequestResult:
        """Calls the plain service through a node, without retries."""
        result = self._call_service_at(self._deployment.nodes[vm], method)
        return result._replace(vm=vm)

    def _call_service_at(self, node: Node, method: str) -> RequestResult:
        service = self._deployment.plan.service
        request_id = f"call-{uuid.uuid4().hex}"
        path = f"/{next(self._request_numbers)}"
        sent_at_s = time.time()
        try:
            response = urllib3.request(
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
        except CONNECTION_FAILURES:
            ending = Ending.NOT_RUN
            return RequestResult(
                method, request_id, sent_at_s, ending, "not_reached", ""
            )
        except urllib3.exceptions.HTTPError as exc:
            code = type(exc).__name__
            ending = Ending.UNKNOWN
            return RequestResult(
                method, request_id, sent_at_s, ending, code, ""
            )
        if response.headers.get("X-Savorylift-Error") == "true":
            error = decode_error(response.data)
            violation = ""
            if (
                response.status in (429, 503)
                and "Retry-After" not in response.headers
            ):
                violation = (
                    f"status {response.status} without a Retry-After header"
                )
            return _create_result(
                method, request_id, sent_at_s, error, violation
            )
        violation = (
            ""
            if path.encode() in response.data
            else "response to another request"
        )
        return _create_result(method, request_id, sent_at_s, None, violation)


def _read_stream(
    client: Client, model: str, prompt: str, seed: int
) -> tuple[ClientError | None, str]:
    """Reads a stream; returns its error, if any, and the text received."""
    text = ""
    is_complete = False
    for item in client.stream(model, prompt, seed=seed):
        if isinstance(item, Token):
            text += item.text
            is_complete = item.finish_reason is not None
        else:
            return item, text
    if not is_complete:
        return ClientError(
            Ending.FAILED, "cut", "stream ended without a finish reason"
        ), text
    return None, text


def _create_result(
    kind: str,
    request_id: str,
    sent_at_s: float,
    error: ClientError | None,
    violation: str,
) -> RequestResult:
    if error is None:
        return RequestResult(kind, request_id, sent_at_s, None, "", violation)
    return RequestResult(
        kind, request_id, sent_at_s, error.ending, error.code, violation
    )
