"""One generation in virtual time."""

import enum
from typing import NamedTuple

from savorylift.emulator.load_file import Arrivals
from savorylift.exchange.request import Generation
from savorylift.placement.engines import expected_tokens


class Ending(enum.StrEnum):
    """What became of a generation."""

    IN_TIME = "in time"
    LATE = "late"
    REFUSED = "refused"
    LOST = "lost"


class Job:
    """What is known of one generation.

    Attributes:
        number: Order of arrival.
        kind: What it asks for.
        at_s: When it arrived.
        output: Tokens that it makes; nobody knows them before.
        tokens: Tokens that it is expected to reach.
        engine: Number of its engine; None while it waits.
        begun_s: When its first token came.
        ends_s: When its last token will come.
        moves: Times that it went on at another engine.
        ending: What became of it; None before.
    """

    def __init__(
        self, number: int, kind: Arrivals, at_s: float, output: int, hint: int
    ) -> None:
        """Starts without an engine."""
        self.number = number
        self.kind = kind
        self.at_s = at_s
        self.output = output
        asked = Generation(kind.prompt_tokens, kind.output_tokens[1], hint)
        self.tokens = expected_tokens(asked)
        self.engine: int | None = None
        self.begun_s: float | None = None
        self.ends_s = 0.0
        self.moves = 0
        self.ending: Ending | None = None

    @property
    def name(self) -> str:
        """Name among moves."""
        return f"{self.number:08}"

    def memory_tokens(self, now_s: float) -> int:
        """Returns the tokens that it holds by now."""
        if self.begun_s is None:
            return self.kind.prompt_tokens
        span_s = max(self.ends_s - self.begun_s, 1e-9)
        share = min((now_s - self.begun_s) / span_s, 1.0)
        return self.kind.prompt_tokens + int(share * self.output)

    @property
    def first_token_s(self) -> float | None:
        """Time until its first token."""
        return None if self.begun_s is None else self.begun_s - self.at_s


class Sample(NamedTuple):
    """The fleet at a moment.

    Attributes:
        at_s: When.
        fill: Share of the memory of the engines that are there.
        waiting: Generations that wait.
    """

    at_s: float
    fill: float
    waiting: int
