"""Typed callers, and what each of them got."""

import itertools
import random
import threading
from collections.abc import Iterator, Mapping
from typing import NamedTuple

from returns.result import Success

from savorylift.client import (
    Answer,
    CallReply,
    Client,
    ClientError,
    ClientOptions,
    Restarted,
    Token,
)
from savorylift.outcomes import Ending
from tests.demo.callers import new_key
from tests.faults.recorder import Attempt, RecordingPool
from tests.harness.plans import Plan
from tests.standins.tokens import Text

WHOLE = "whole"
CUT = "cut"
NO_NODE = "connection"  # the client's own code
KINDS = ("stream", "stream", "whole", "GET", "POST")
PROMPT_WORDS = 3
BOUNDS = (8, 256)
SILENCE_S = 1.0
REUSE_PAUSE_S = 0.2


class Got(NamedTuple):
    """What one caller got for one request.

    Attributes:
        kind: `stream`, `whole`, `GET` or `POST`.
        team: Team of the caller.
        number: Number of the prompt or call.
        key: Idempotency key, or an empty string.
        outcome: `whole`, `cut`, or the code of the error.
        ending: What the error says; None without one.
        fault: What was wrong about the answer; empty for nothing.
        resumes: Times that the client went on at another node.
        is_event: True if the error came within a stream.
        attempts: Requests to nodes, in order.
    """

    kind: str
    team: str
    number: int
    key: str
    outcome: str
    ending: Ending | None
    fault: str
    resumes: int
    is_event: bool
    attempts: tuple[Attempt, ...]


class Caller:
    """One client of one team, used by one thread."""

    def __init__(
        self,
        plan: Plan,
        team: str,
        seeds: tuple[str, ...],
        links: Mapping[str, str],
        timeout_s: float,
    ) -> None:
        """Opens no connection before the first request."""
        self.team = team
        self.pool = RecordingPool(links)
        self._plan = plan
        self._client = Client(
            ClientOptions(seeds, team, timeout_s, silence_s=SILENCE_S)
        )
        self._client._pool = self.pool
        self._client._entries._pool = self.pool

    def use_only(self, url: str) -> None:
        """Sends every request to one node."""
        self._client._entries._seeds = (url,)
        self._client._entries._valid_until_s = float("inf")

    def prompt(self, number: int, length: int) -> str:
        """Returns a prompt whose word count tells its number."""
        return f"report {number} len={length}" + " w" * number

    def expected(self, number: int, length: int) -> str:
        """Returns the answer to a prompt."""
        prompt = self.prompt(number, length)
        text = Text(prompt, number, self._plan.version, BOUNDS)
        return "".join(text.tokens(1 << 20))

    def stream(
        self,
        number: int,
        length: int,
        reached: Mapping[int, threading.Event] | None = None,
    ) -> Got:
        """Streams a generation; sets the event of an index when it came."""
        first = len(self.pool.attempts)
        prompt = self.prompt(number, length)
        stream = self._client.stream(self._plan.model, prompt, seed=number)
        text, fault, outcome, next_index = "", "", CUT, 0
        ending: Ending | None = None
        for item in stream:
            match item:
                case Token(_, index, token, finish_reason):
                    if outcome != CUT:
                        fault = "a token came after the end"
                    if index != next_index:
                        fault = f"token {index} where {next_index} was due"
                    text += token
                    next_index += 1
                    outcome = WHOLE if finish_reason else outcome
                    if reached and index in reached:
                        reached[index].set()
                case Restarted():
                    fault = "restarted, though not asked for"
                case ClientError(found, code):
                    outcome, ending = code, found
        attempts = tuple(self.pool.attempts[first:])
        if outcome == WHOLE and text != self.expected(number, length):
            fault = fault or "text is not that of one generation"
        elif not self.expected(number, length).startswith(text):
            fault = fault or "text is no prefix of one generation"
        is_event = bool(ending and attempts and attempts[-1].status == 200)
        return Got(
            "stream",
            self.team,
            number,
            "",
            outcome,
            ending,
            fault,
            stream.resumes,
            is_event,
            attempts,
        )

    def whole(self, number: int, length: int) -> Got:
        """Asks for a whole generation."""
        first = len(self.pool.attempts)
        prompt = self.prompt(number, length)
        result = self._client.complete(self._plan.model, prompt, seed=number)
        outcome, ending, fault = WHOLE, None, ""
        match result:
            case Success(Answer(_, text)):
                if text != self.expected(number, length):
                    fault = "wrong text"
            case _:
                outcome, ending = result.failure().code, result.failure().ending
        return Got(
            "whole",
            self.team,
            number,
            "",
            outcome,
            ending,
            fault,
            0,
            False,
            tuple(self.pool.attempts[first:]),
        )

    def call(self, method: str, number: int, key: str = "") -> Got:
        """Calls the plain service."""
        first = len(self.pool.attempts)
        path = f"/v1/{number}"
        result = self._client.call(
            self._plan.service,
            method,
            path,
            f"booking {number}".encode(),
            key or None,
        )
        outcome, ending, fault = WHOLE, None, ""
        match result:
            case Success(CallReply(status, _, body)):
                outcome = WHOLE if status == 200 else str(status)
                if f'"path":"{path}"'.encode() not in body.replace(b" ", b""):
                    fault = "answer to another request"
            case _:
                outcome, ending = result.failure().code, result.failure().ending
        return Got(
            method,
            self.team,
            number,
            key,
            outcome,
            ending,
            fault,
            0,
            False,
            tuple(self.pool.attempts[first:]),
        )


class Load:
    """Callers on threads of their own until `stop`."""

    def __init__(
        self,
        callers: list[Caller],
        seed: int,
        numbers: Iterator[int],
        kinds: tuple[str, ...],
    ) -> None:
        """Prepares a load; requests follow from `seed` alone."""
        self.got: list[Got] = []
        self._numbers = numbers
        self._kinds = kinds
        self._is_over = threading.Event()
        self._threads = [
            threading.Thread(
                target=self._run, args=(caller, random.Random(f"{seed}-{n}"))
            )
            for n, caller in enumerate(callers)
        ]

    def start(self) -> None:
        """Starts the callers."""
        for thread in self._threads:
            thread.start()

    def stop(self) -> list[Got]:
        """Lets each caller finish its request and returns all answers."""
        self._is_over.set()
        for thread in self._threads:
            thread.join()
        return self.got

    def _run(self, caller: Caller, rng: random.Random) -> None:
        while not self._is_over.is_set():
            self._request(caller, rng)

    def _request(self, caller: Caller, rng: random.Random) -> None:
        number = next(self._numbers)
        length = rng.choice((10, 30, 60, 120))
        kind = rng.choice(self._kinds)
        if kind == "stream":
            self.got.append(caller.stream(number, length))
        elif kind == "whole":
            self.got.append(caller.whole(number, length))
        elif kind == "GET":
            self.got.append(caller.call("GET", number))
        else:
            key = new_key()
            self.got.append(caller.call("POST", number, key))
            if rng.random() < 0.4:
                self._is_over.wait(REUSE_PAUSE_S)
                self.got.append(caller.call("POST", number, key))


def numbers() -> Iterator[int]:
    """Returns numbers of prompts and calls, from 1."""
    return itertools.count(1)
